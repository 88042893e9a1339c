"""Queue requests fairly among teams; reject early those that cannot be met in time."""

import collections.abc
import heapq
import itertools

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors
from turmerictally.routing import servers

# Share of the queue's length that one team may occupy.
MAX_TEAM_SHARE = 0.5
# Weight of the latest dispatch interval in its exponential moving average.
DRAIN_RATE_SMOOTHING = 0.1
# Bounds of the retry-after time of a rejected request.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


@attrs.define(eq=False)
class Entry:
    """Describe a queued request; ``expires_at`` is on the monotonic clock."""

    team: str
    weight: float
    requirements: servers.ServerRequirements
    expires_at: float
    start_tag: float = 0.0
    server: servers.Server | None = None
    error: errors.Error | None = None
    done: trio.Event = attrs.field(factory=trio.Event)

    def wake(self) -> None:
        """Wake the task that waits for this entry."""
        self.done.set()


Place = collections.abc.Callable[[Entry], servers.Server | None]


class FairQueue:
    """Order the requests for one group of servers by start-time fair queueing.

    A team's requests take virtual time in inverse ratio to its weight, so that a
    team with a long queue delays itself only. ``place`` returns the server for the
    next request, with its load counted, or None without a free slot; ``release`` undoes
    that if the caller disconnects before it runs.
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
        self.sequence = itertools.count()
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.queued: collections.Counter[str] = collections.Counter()
        self.dispatch_interval_s = 0.0
        self.dispatched_at = 0.0
        self.backlogged = False
        self.refused = 0

    async def enter(self, entry: Entry) -> servers.Server:
        """Wait until the request is placed and return its server.

        Raises ``errors.Error`` if it is rejected; the request was then not run.
        """
        self.push(entry)
        try:
            await self._wait(entry)
        except BaseException:
            self._cancel(entry)
            raise
        if entry.error is not None:
            raise entry.error
        return entry.server

    def push(self, entry: Entry) -> None:
        """Queue a request; raise ``errors.Error`` if it expires first or cannot fit."""
        now = self.clock.monotonic()
        entry.start_tag = max(self.virtual_time, self.finish_tags.get(entry.team, 0.0))
        self._check_deadline(entry, now)
        self._check_length(entry)
        self.finish_tags[entry.team] = entry.start_tag + 1.0 / entry.weight
        self.queued[entry.team] += 1
        heapq.heappush(self.heap, (entry.start_tag, next(self.sequence), entry))
        self.pump()

    def pump(self) -> None:
        """Place queued requests in fair order while servers have free slots."""
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

    def estimate_s(self, start_tag: float) -> float:
        """Return the expected wait of a request with this start tag."""
        ahead = sum(1 for tag, _, _ in self.heap if tag <= start_tag)
        return ahead * self.dispatch_interval_s

    def __len__(self) -> int:
        return len(self.heap)

    async def _wait(self, entry: Entry) -> None:
        remaining_s = entry.expires_at - self.clock.monotonic()
        with trio.move_on_after(max(0.0, remaining_s)):
            await entry.done.wait()
        if not entry.done.is_set():
            self._remove(entry)
            self._refuse(entry, errors.Kind.DEADLINE_UNREACHABLE)

    def _pop(self, now: float) -> None:
        start_tag, _, entry = heapq.heappop(self.heap)
        self.virtual_time = max(self.virtual_time, start_tag)
        self._uncount(entry)
        self._update_dispatch_interval(now)
        entry.wake()

    def _update_dispatch_interval(self, now: float) -> None:
        # Intervals without a backlog measure arrivals, not the rate of placement.
        if self.backlogged:
            elapsed_s = now - self.dispatched_at
            self.dispatch_interval_s += DRAIN_RATE_SMOOTHING * (
                elapsed_s - self.dispatch_interval_s
            )
        self.dispatched_at = now
        self.backlogged = bool(self.heap)

    def _uncount(self, entry: Entry) -> None:
        self.queued[entry.team] -= 1
        if self.queued[entry.team] <= 0:
            del self.queued[entry.team]
        if not self.heap:
            # When the queue is empty, no team is charged for past use.
            self.finish_tags.clear()

    def _cancel(self, entry: Entry) -> None:
        if not entry.done.is_set():
            self._remove(entry)
        elif entry.server is not None:
            self.release(entry)

    def _remove(self, entry: Entry) -> None:
        self.heap = [item for item in self.heap if item[2] is not entry]
        heapq.heapify(self.heap)
        self._uncount(entry)

    def _check_deadline(self, entry: Entry, now: float) -> None:
        wait_s = self.estimate_s(entry.start_tag)
        if now + wait_s >= entry.expires_at:
            self.refused += 1
            raise self._error(errors.Kind.DEADLINE_UNREACHABLE)

    def _check_length(self, entry: Entry) -> None:
        if self.queued[entry.team] >= max(1, int(self.length * MAX_TEAM_SHARE)):
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
        entry.wake()

    def _error(self, kind: errors.Kind) -> errors.Error:
        wait_s = len(self.heap) * self.dispatch_interval_s
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return errors.Error(kind, retry_after_s=retry_after_s, ran=errors.Ran.NOT_RUN)
