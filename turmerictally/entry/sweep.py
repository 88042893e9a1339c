"""Enforce the deadlines of all requests of a host with one task."""

import collections.abc
import heapq
import itertools
import logging
import math
import types

import attrs
import trio

logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Timer:
    """Cancel the block that it surrounds when ``deadline`` passes.

    ``deadline`` is monotonic seconds. Moving it only stores a number, unless it moves
    before ``queued_at``, the time of the timer's next entry in the queue. ``postpone``
    is called when it passes and returns a new deadline, in the past to cancel.
    """

    timers: "TimerQueue"
    deadline: float = math.inf
    postpone: collections.abc.Callable[[], float] = lambda: -math.inf
    queued_at: float = math.inf
    scope: trio.CancelScope = attrs.Factory(trio.CancelScope)

    def __enter__(self) -> "Timer":
        self.scope.__enter__()
        self.set_deadline(self.deadline)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool | None:
        self.deadline = math.inf
        return self.scope.__exit__(kind, error, trace)

    def set_deadline(self, deadline: float) -> None:
        """Move the deadline, and requeue the timer if it is now earlier."""
        self.deadline = deadline
        if deadline < self.queued_at:
            self.timers.push(self)

    @property
    def expired(self) -> bool:
        """Return whether the deadline cancelled the block."""
        return self.scope.cancelled_caught


@attrs.define(eq=False)
class TimerQueue:
    """Hold timers in a heap ordered by the time of their next check.

    Entries are ``(time, sequence number, timer)``; ``run`` processes them.
    """

    heap: list[tuple[float, int, Timer]] = attrs.Factory(list)
    sequence: itertools.count = attrs.field(factory=itertools.count)
    sleep_scope: trio.CancelScope | None = None

    def timer(
        self,
        deadline: float,
        postpone: collections.abc.Callable[[], float] = lambda: -math.inf,
    ) -> Timer:
        """Return a timer to use as a context manager."""
        return Timer(self, deadline, postpone)

    def push(self, timer: Timer) -> None:
        """Queue a timer for a check at its deadline."""
        timer.queued_at = timer.deadline
        heapq.heappush(self.heap, (timer.deadline, next(self.sequence), timer))
        if self.sleep_scope is not None and timer.deadline < self.sleep_scope.deadline:
            self.sleep_scope.deadline = timer.deadline

    async def run(self) -> None:
        """Cancel expired timers until cancelled."""
        while True:
            next_at = self.heap[0][0] if self.heap else math.inf
            with trio.CancelScope(deadline=next_at) as self.sleep_scope:
                await trio.sleep_forever()
            self._check_due(trio.current_time())

    def _check_due(self, now: float) -> None:
        while self.heap and self.heap[0][0] <= now:
            at, _, timer = heapq.heappop(self.heap)
            if at != timer.queued_at:
                # Stale entry: the timer was queued again for an earlier time.
                continue
            timer.queued_at = math.inf
            if timer.deadline <= now:
                timer.deadline = _postponed_deadline(timer)
            if timer.deadline <= now:
                timer.scope.cancel()
            elif timer.deadline < math.inf:
                self.push(timer)


def _postponed_deadline(timer: Timer) -> float:
    try:
        return timer.postpone()
    except Exception:
        # Must not end the task that enforces all other deadlines.
        logger.exception("Cannot postpone a deadline.")
        return -math.inf
