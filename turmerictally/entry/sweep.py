"""Cancel what is overdue: one task for the deadlines of all exchanges of a host."""

import heapq
import itertools
import math
import types

import attrs
import trio


@attrs.define(eq=False)
class Timer:
    """Cancel the block that it surrounds when ``deadline`` passes.

    ``deadline`` is monotonic seconds. To move it costs no more than storing a number,
    unless it moves before ``queued_at``, when the sweep looks at it next.
    """

    timers: "TimerQueue"
    deadline: float = math.inf
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
        """Set another deadline."""
        self.deadline = deadline
        if deadline < self.queued_at:
            self.timers.push(self)

    @property
    def expired(self) -> bool:
        """Return whether the block was ended by its deadline."""
        return self.scope.cancelled_caught


@attrs.define(eq=False)
class TimerQueue:
    """Hold the timers by the times at which to look at them; ``run`` does so."""

    queued: list[tuple[float, int, Timer]] = attrs.Factory(list)
    sequence: itertools.count = attrs.field(factory=itertools.count)
    pause: trio.CancelScope | None = None

    def timer(self, deadline: float) -> Timer:
        """Return a timer to surround a block with."""
        return Timer(self, deadline)

    def push(self, timer: Timer) -> None:
        """Look at a timer again at its deadline."""
        timer.queued_at = timer.deadline
        heapq.heappush(self.queued, (timer.deadline, next(self.sequence), timer))
        if self.pause is not None and timer.deadline < self.pause.deadline:
            self.pause.deadline = timer.deadline

    async def run(self) -> None:
        """Cancel what is overdue until cancelled."""
        while True:
            until = self.queued[0][0] if self.queued else math.inf
            with trio.CancelScope(deadline=until) as self.pause:
                await trio.sleep_forever()
            self._look(trio.current_time())

    def _look(self, now: float) -> None:
        while self.queued and self.queued[0][0] <= now:
            at, _, timer = heapq.heappop(self.queued)
            if at != timer.queued_at:
                # It was queued again for an earlier time.
                continue
            timer.queued_at = math.inf
            if timer.deadline <= now:
                timer.scope.cancel()
            elif timer.deadline < math.inf:
                self.push(timer)
