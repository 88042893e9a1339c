"""Derive the time-out of new connections from the times that earlier ones took."""

import collections

import attrs

MAX_S = 0.4  # a hundred times the longest delay between failure domains
# Above a host's typical pause for garbage collection or scheduling, so that it doesn't
# make a living server count as unreachable.
MIN_S = 0.12
FACTOR = 20.0  # of the longest recent connection time
MAX_SAMPLES = 32


@attrs.define
class ConnectTimes:
    """Hold how long the latest connections took to open, in seconds."""

    samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    def record(self, seconds: float) -> None:
        """Record an opened connection."""
        self.samples.append(seconds)

    def timeout_s(self) -> float:
        """Return the seconds after which a connection attempt is given up."""
        if not self.samples:
            return MAX_S
        return min(MAX_S, max(MIN_S, FACTOR * max(self.samples)))
