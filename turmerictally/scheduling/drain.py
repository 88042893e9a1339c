"""Decide which requests a host that is stopping still takes."""

import collections
import enum
import math

import attrs

# Retry delay of a refused caller that another host can serve at once; randomized, so
# that callers don't return together.
OTHER_HOST_RETRY_AFTER_S = (0.05, 0.15)
# The same if no other host is ready, which takes until one has started.
NO_HOST_RETRY_AFTER_S = (1.0, 2.0)
MAX_SAMPLES = 128  # per route, the newest
SIMILAR_SAMPLES = 16  # of the requests nearest in size, on which an estimate rests
MIN_SAMPLES = 4  # with fewer, a request counts as lasting until its deadline
MAX_ROUTES = 128
# Parts of the grace period: for the process to exit, and for responses to reach callers
# before their connections close.
EXIT_S = 0.3
DELIVERY_S = 0.5
MAX_RESERVED_RATIO = 0.1  # of the grace period, for each of the two


class Certainty(enum.Enum):
    """Name how sure it must be that a request ends in time, as (quantile, factor).

    ``POSSIBLE`` is for requests that no other host can serve, and ``CERTAIN`` for those
    that must not be cut off: nobody may run them again, or their response has begun.
    """

    POSSIBLE = (0.5, 1.0)
    LIKELY = (0.8, 1.1)
    CERTAIN = (1.0, 1.25)


@attrs.frozen
class Deadlines:
    """Hold the deadlines of a stop in monotonic seconds, infinite before there is one.

    Every request that has no response by ``answer_by`` gets an error response. Begun
    responses are cut off at ``ends_at``, and then the process exits.
    """

    answer_by: float = math.inf
    ends_at: float = math.inf


@attrs.frozen
class Refusal:
    """Hold why a request was refused; ``left_s`` is the time until ``answer_by``."""

    reason: str
    left_s: float
    expected_s: float
    retry_after_s: float


def deadlines(now: float, grace_s: float) -> Deadlines:
    """Return the deadlines of a stop that begins now; ``grace_s`` ends in a kill."""
    reserved_s = MAX_RESERVED_RATIO * grace_s
    ends_at = now + grace_s - min(EXIT_S, reserved_s)
    return Deadlines(ends_at - min(DELIVERY_S, reserved_s), ends_at)


def required_certainty(
    *, repeatable: bool, streamed: bool, other_host_ready: bool
) -> Certainty:
    """Return how sure it must be that a request ends in time."""
    if not other_host_ready:
        return Certainty.POSSIBLE
    return Certainty.LIKELY if repeatable and not streamed else Certainty.CERTAIN


def fits(left_s: float, expected_s: float) -> bool:
    """Return whether a request is expected to end in the time that is left."""
    return 0 < left_s >= expected_s


@attrs.define(eq=False)
class Durations:
    """Estimate how long requests take from the latest ones of their routes.

    ``samples`` holds each route's pairs of size and seconds; a size of 0 is unknown.
    """

    samples: dict[str, collections.deque[tuple[int, float]]] = attrs.Factory(dict)

    def record(self, route: str, size: int, seconds: float) -> None:
        """Add a request that a server has worked on."""
        found = self.samples.pop(route, None)
        if found is None:
            found = collections.deque(maxlen=MAX_SAMPLES)
            if len(self.samples) >= MAX_ROUTES:
                del self.samples[next(iter(self.samples))]
        # The routes are in the order of their latest samples.
        self.samples[route] = found
        found.append((size, seconds))

    def expected_s(
        self, route: str, size: int, certainty: Certainty, remaining_s: float
    ) -> float:
        """Return the expected duration, at most ``remaining_s``, the request's limit.

        Seconds of smaller requests are scaled up to this one's size.
        """
        found = self.samples.get(route, ())
        if len(found) < MIN_SAMPLES:
            return 0.0 if certainty is Certainty.POSSIBLE else remaining_s
        nearest = sorted(found, key=lambda sample: _distance(size, sample[0]))
        seconds = sorted(
            duration_s * max(1.0, size / of_size if of_size else 1.0)
            for of_size, duration_s in nearest[:SIMILAR_SAMPLES]
        )
        quantile, factor = certainty.value
        index = min(len(seconds) - 1, int(quantile * len(seconds)))
        return min(remaining_s, factor * seconds[index])


def _distance(size: int, other: int) -> float:
    """Return how far apart two sizes are, as a logarithm of their ratio."""
    return abs(math.log(size / other)) if size and other else 0.0
