"""Decide when a stream that begins late is offered to another backend server."""

import collections.abc

import attrs

from turmerictally.scheduling import placing

# Part of the latency objective that a server may be silent: the rest suffices for
# another one with a free slot.
OBJECTIVE_PART = 0.5
# The same in expected times to the first event, where that is usually long.
EXPECTED_TIMES = 3.0
# Requests that are offered again, of all: more would feed an overload.
SHARE = 0.05
MAX_SAVED = 2.0  # that a host may offer again at once after a calm time
# Servers with free slots to spare, of all: below that the fleet counts as full.
MIN_FREE_RATIO = 0.2
SPARE_SLOTS = 2  # free on such a server, as others see it at the same moment


@attrs.define
class Budget:
    """Bound how many streams are offered to a second server."""

    saved: float = MAX_SAVED
    switched: int = 0

    def note_request(self) -> None:
        """Count a request."""
        self.saved = min(MAX_SAVED, self.saved + SHARE)

    def spend(self, loads: collections.abc.Sequence[placing.Load]) -> bool:
        """Return whether a stream may go on to one of these other servers."""
        spare = sum(load.slots - load.total >= SPARE_SLOTS for load in loads)
        if self.saved < 1.0 or spare < max(1, MIN_FREE_RATIO * len(loads)):
            return False
        self.saved -= 1.0
        self.switched += 1
        return True


def patience_s(objective_s: float, first_s: float) -> float:
    """Return how long a server may be silent, with its expected first event."""
    return max(OBJECTIVE_PART * objective_s, EXPECTED_TIMES * first_s)
