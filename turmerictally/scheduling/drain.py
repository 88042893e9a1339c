"""Decide which requests a host that is stopping still takes."""

import collections
import collections.abc
import contextlib
import enum
import math

import attrs

# Retry delay of a refused caller that another host can serve at once; randomized, so
# that callers don't return together.
OTHER_HOST_RETRY_AFTER_S = (0.05, 0.15)
# The same if no other host is ready, which takes until one has started.
NO_HOST_RETRY_AFTER_S = (1.0, 2.0)
MAX_SAMPLES = 128  # per route, the newest
# Sizes within this ratio count as similar: how long an answer gets is up to the model,
# so that newer requests tell more than those of the very same size.
SIMILAR_RATIO = 2.0
SIMILAR_SAMPLES = 16  # the newest of similar size, on which an estimate rests
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
    that must not be cut off: nobody may run them again, or their response begins before
    it is complete. ``GUARANTEED`` is for the same once a refused caller reaches another
    host for sure; then only the request's own limit counts.
    """

    POSSIBLE = (0.5, 1.0)
    LIKELY = (0.8, 1.1)
    CERTAIN = (1.0, 1.25)
    GUARANTEED = (1.0, math.inf)


@attrs.frozen
class Deadlines:
    """Hold the deadlines of a stop in monotonic seconds, infinite before there is one.

    New connections may come until ``in_rotation_until``. Every request that has no
    response by ``answer_by`` gets an error response. Begun responses are cut off at
    ``ends_at``, and then the process exits.
    """

    in_rotation_until: float = math.inf
    answer_by: float = math.inf
    ends_at: float = math.inf


@attrs.frozen
class Refusal:
    """Hold why a request was refused; ``left_s`` is the time until ``answer_by``."""

    reason: str
    left_s: float
    expected_s: float
    retry_after_s: float


def deadlines(now: float, grace_s: float, unready_s: float) -> Deadlines:
    """Return the deadlines of a stop that begins now; ``grace_s`` ends in a kill."""
    reserved_s = MAX_RESERVED_RATIO * grace_s
    ends_at = now + grace_s - min(EXIT_S, reserved_s)
    answer_by = ends_at - min(DELIVERY_S, reserved_s)
    return Deadlines(min(now + unready_s, answer_by), answer_by, ends_at)


def required_certainty(
    *, repeatable: bool, streamed: bool, other_host_ready: bool, in_rotation: bool
) -> Certainty:
    """Return how sure it must be that a request ends in time.

    A caller that is refused while this host is ``in_rotation`` may be sent here again.
    """
    if not other_host_ready:
        return Certainty.POSSIBLE
    if repeatable and not streamed:
        return Certainty.LIKELY
    return Certainty.CERTAIN if in_rotation else Certainty.GUARANTEED


def fits(left_s: float, expected_s: float) -> bool:
    """Return whether a request is expected to end in the time that is left."""
    return 0 < left_s >= expected_s


@attrs.define(eq=False)
class RunningRequest:
    """Hold a request that has not ended; ``started_at`` is monotonic seconds."""

    route: str
    size: int
    started_at: float


@attrs.define(eq=False)
class Durations:
    """Estimate how long requests take from the latest ones of their routes.

    ``samples`` holds each route's pairs of size and seconds; a size of 0 is unknown.
    ``running`` holds the requests that have not ended.
    """

    samples: dict[str, collections.deque[tuple[int, float]]] = attrs.Factory(dict)
    running: set[RunningRequest] = attrs.Factory(set)

    @contextlib.contextmanager
    def track(
        self, route: str, size: int, started_at: float
    ) -> collections.abc.Iterator[None]:
        """Count a request as running during a block."""
        request = RunningRequest(route, size, started_at)
        self.running.add(request)
        try:
            yield
        finally:
            self.running.discard(request)

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
        self,
        route: str,
        size: int,
        certainty: Certainty,
        remaining_s: float,
        now: float,
    ) -> float:
        """Return the expected duration, at most ``remaining_s``, the request's limit.

        Seconds of smaller requests are scaled up to this one's size. Running requests
        count if they have outlasted what the complete ones lead to expect.
        """
        found = self.samples.get(route, ())
        if certainty is Certainty.GUARANTEED:
            return remaining_s
        if len(found) < MIN_SAMPLES:
            return 0.0 if certainty is Certainty.POSSIBLE else remaining_s
        nearest = list(reversed(found))
        # A stable sort: the newest of those that are equally far in size come first.
        nearest.sort(key=lambda sample: _octaves_apart(size, sample[0]))
        seconds = [
            _scale(duration_s, of_size, size)
            for of_size, duration_s in nearest[:SIMILAR_SAMPLES]
        ]
        quantile, factor = certainty.value
        typical_s = _quantile(seconds, quantile)
        seconds += [age for age in self._ages(route, size, now) if age > typical_s]
        return min(remaining_s, factor * _quantile(seconds, quantile))

    def _ages(self, route: str, size: int, now: float) -> list[float]:
        """Return how long requests have run, scaled as those that ended."""
        return [
            _scale(now - request.started_at, request.size, size)
            for request in self.running
            if request.route == route
        ]


def _scale(seconds: float, of_size: int, size: int) -> float:
    """Return the seconds that a request of another size would take, never less."""
    return seconds * max(1.0, size / of_size if of_size else 1.0)


def _quantile(seconds: list[float], quantile: float) -> float:
    ordered = sorted(seconds)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _octaves_apart(size: int, other: int) -> int:
    """Return how far apart two sizes are, 0 if they are similar or unknown."""
    if not (size and other):
        return 0
    return int(abs(math.log(size / other, SIMILAR_RATIO)))
