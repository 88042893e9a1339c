"""Queue requests fairly among teams, and refuse early what cannot be met."""

import collections.abc
import heapq
import itertools

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors
from turmerictally.routing import servers

# Part of the queue's length that one team may use.
TEAM_SHARE = 0.5
# Weight of the latest interval in the estimated drain rate.
SMOOTHING = 0.1
# Least and most seconds that a refused caller is told to wait.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


@attrs.define(eq=False)
class Entry:
    """Hold one waiting request; ``expires_at`` is monotonic seconds."""

    team: str
    weight: float
    requirements: servers.ServerRequirements
    expires_at: float
    start_tag: float = 0.0
    server: servers.Server | None = None
    error: errors.Error | None = None
    done: trio.Event = attrs.field(factory=trio.Event)

    def settle(self) -> None:
        """Wake the waiting request."""
        self.done.set()


Place = collections.abc.Callable[[Entry], servers.Server | None]


class FairQueue:
    """Order one model's waiting requests by start-time fair queueing.

    A team's requests take virtual time in inverse ratio to its weight, so that a
    team with a long queue delays itself only. ``place`` returns the server for the
    next request, with its load counted, or None without room; ``release`` takes that
    back when the caller left meanwhile.
    """

    def __init__(
        self,
        place: Place,
        length: int,
        clock: clocks.Clock,
        release: collections.abc.Callable[[Entry], None] = lambda entry: None,
    ) -> None:
        self.place = place
        self.release = release
        self.length = length
        self.clock = clock
        self.heap: list[tuple[float, int, Entry]] = []
        self.counter = itertools.count()
        self.virtual_time = 0.0
        self.last_finish: dict[str, float] = {}
        self.queued: collections.Counter[str] = collections.Counter()
        self.dispatch_interval_s = 0.0
        self.dispatched_at = 0.0
        self.backlogged = False
        self.refused = 0

    async def enter(self, entry: Entry) -> servers.Server:
        """Wait for a turn and return the server.

        Raises ``errors.Error``; the request was then not run.
        """
        self.push(entry)
        try:
            await self._wait(entry)
        except BaseException:
            self._leave(entry)
            raise
        if entry.error is not None:
            raise entry.error
        return entry.server

    def push(self, entry: Entry) -> None:
        """Add a request, or raise ``errors.Error`` when it cannot be met."""
        now = self.clock.monotonic()
        entry.start_tag = max(self.virtual_time, self.last_finish.get(entry.team, 0.0))
        self._check_deadline(entry, now)
        self._check_length(entry)
        self.last_finish[entry.team] = entry.start_tag + 1.0 / entry.weight
        self.queued[entry.team] += 1
        heapq.heappush(self.heap, (entry.start_tag, next(self.counter), entry))
        self.pump()

    def pump(self) -> None:
        """Place waiting requests in fair order while there is room."""
        now = self.clock.monotonic()
        while self.heap:
            entry = self.heap[0][2]
            try:
                entry.server = self.place(entry)
            except errors.Error as error:
                entry.error = error
            if entry.server is None and entry.error is None:
                return
            self._pop(now)

    def estimate_s(self, start: float) -> float:
        """Return the expected seconds until a request with this tag is placed."""
        ahead = sum(1 for tag, _, _ in self.heap if tag <= start)
        return ahead * self.dispatch_interval_s

    def __len__(self) -> int:
        return len(self.heap)

    async def _wait(self, entry: Entry) -> None:
        left = entry.expires_at - self.clock.monotonic()
        with trio.move_on_after(max(0.0, left)):
            await entry.done.wait()
        if not entry.done.is_set():
            self._remove(entry)
            self._refuse(entry, errors.Kind.DEADLINE_UNREACHABLE)

    def _pop(self, now: float) -> None:
        start, _, entry = heapq.heappop(self.heap)
        self.virtual_time = max(self.virtual_time, start)
        self._forget(entry)
        self._measure(now)
        entry.settle()

    def _measure(self, now: float) -> None:
        # Only intervals with a backlog tell how fast requests can be placed.
        if self.backlogged:
            passed = now - self.dispatched_at
            self.dispatch_interval_s += SMOOTHING * (passed - self.dispatch_interval_s)
        self.dispatched_at = now
        self.backlogged = bool(self.heap)

    def _forget(self, entry: Entry) -> None:
        self.queued[entry.team] -= 1
        if self.queued[entry.team] <= 0:
            del self.queued[entry.team]
        if not self.heap:
            # Without waiting requests nobody has a claim on past virtual time.
            self.last_finish.clear()

    def _leave(self, entry: Entry) -> None:
        if not entry.done.is_set():
            self._remove(entry)
        elif entry.server is not None:
            self.release(entry)

    def _remove(self, entry: Entry) -> None:
        self.heap = [item for item in self.heap if item[2] is not entry]
        heapq.heapify(self.heap)
        self._forget(entry)

    def _check_deadline(self, entry: Entry, now: float) -> None:
        wait = self.estimate_s(entry.start_tag)
        if now + wait >= entry.expires_at:
            self.refused += 1
            raise self._error(errors.Kind.DEADLINE_UNREACHABLE)

    def _check_length(self, entry: Entry) -> None:
        if self.queued[entry.team] >= max(1, int(self.length * TEAM_SHARE)):
            self.refused += 1
            raise self._error(errors.Kind.OVERLOADED)
        if len(self.heap) < self.length:
            return
        victim = max((item[2] for item in self.heap), key=lambda e: e.start_tag)
        if victim.start_tag <= entry.start_tag:
            self.refused += 1
            raise self._error(errors.Kind.OVERLOADED)
        self._remove(victim)
        self._refuse(victim, errors.Kind.OVERLOADED)

    def _refuse(self, entry: Entry, kind: errors.Kind) -> None:
        self.refused += 1
        entry.error = self._error(kind)
        entry.settle()

    def _error(self, kind: errors.Kind) -> errors.Error:
        wait = len(self.heap) * self.dispatch_interval_s
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
        return errors.Error(kind, retry_after_s=bounded, ran=errors.Ran.NOT_RUN)
