"""Share a host's platform budget among lanes, and hold back during an outage."""

import enum
import random

import trio

from turmerictally import clock
from turmerictally.store import table

BURST_S = 1.0  # seconds of the rate that may be spent at once
MIN_BURST = 4.0  # calls
MIN_RATE_RATIO = 1 / 64  # of the full rate
RESTART_RATE_RATIO = 1 / 8  # of the full rate, after an outage
RECOVERY_PER_S = 0.05  # of the full rate, regained each second
DECREASE_INTERVAL_S = 1.0  # refusals within this time count once
OPEN_AFTER_FAILURES = 3
EPSILON = 1e-9  # calls; rounding of sums of times


class Lane(enum.Enum):
    """Name the priority classes of platform calls, the most urgent first."""

    CONTROL = "control"  # configuration, leases, shares and the host list
    ONLINE = "online"  # idempotency of online requests
    BATCH = "batch"  # progress and results of batch jobs


# Share of the burst that a lane leaves to the lanes above it.
RESERVES: dict[Lane, float] = {
    Lane.CONTROL: 0.0,
    Lane.ONLINE: 0.25,
    Lane.BATCH: 0.5,
}
# Share of the rate that a lane gets whatever the lanes above it take; otherwise a
# caller who polls a job's state keeps the job from running.
GUARANTEED: dict[Lane, float] = {
    Lane.CONTROL: 0.0,
    Lane.ONLINE: 0.05,
    Lane.BATCH: 0.05,
}


class Budget:
    """Limit calls in one direction to an adaptive rate, in calls per second.

    The rate halves when the platform refuses a call for its own rate, and grows
    back linearly, so that all hosts together settle at what the platform takes.
    """

    def __init__(self, full_rate: float, now: clock.Clock | None = None) -> None:
        self.clock = now or clock.Clock()
        self.full_rate = full_rate
        self.rate = full_rate
        self.burst = max(MIN_BURST, full_rate * BURST_S)
        self.level = self.burst
        self.updated_at = self.clock.monotonic()
        self.decreased_at = self.updated_at - DECREASE_INTERVAL_S
        self.turns = {lane: trio.Lock() for lane in Lane}
        self.guaranteed = dict.fromkeys(Lane, 0.0)

    async def take(self, lane: Lane, deadline: float) -> None:
        """Wait for one call's turn, first in first out within the lane.

        Raises ``table.UnavailableError`` when the turn cannot come before the
        deadline (local monotonic seconds).
        """
        left = deadline - self.clock.monotonic()
        with trio.move_on_after(max(0.0, left)):
            async with self.turns[lane]:
                await self._wait_for_level(lane)
                self.level -= 1.0
                return
        raise table.UnavailableError(f"the host's {lane.value} budget is used up")

    def decrease(self) -> None:
        """Halve the rate after the platform refused a call for its rate."""
        self._refill()
        now = self.clock.monotonic()
        if now - self.decreased_at < DECREASE_INTERVAL_S:
            return
        self.decreased_at = now
        self.rate = max(self.rate / 2, self.full_rate * MIN_RATE_RATIO)
        self.level = min(self.level, 0.0)

    def restart(self) -> None:
        """Start again from a low rate and an empty bucket after an outage."""
        self._refill()
        self.rate = min(self.rate, self.full_rate * RESTART_RATE_RATIO)
        self.level = min(self.level, 0.0)

    async def _wait_for_level(self, lane: Lane) -> None:
        needed = 1.0 + self.burst * RESERVES[lane]
        while True:
            self._refill()
            missing = needed - self.level
            if missing <= EPSILON:
                return
            wait = missing / self.rate
            ratio = GUARANTEED[lane]
            if ratio:
                due = 1.0 - self.guaranteed[lane]
                if due <= EPSILON:
                    self.guaranteed[lane] = 0.0
                    return
                wait = min(wait, due / (self.rate * ratio))
            await trio.sleep(wait)

    def _refill(self) -> None:
        now = self.clock.monotonic()
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.level = min(self.burst, self.level + elapsed * self.rate)
        for lane, ratio in GUARANTEED.items():
            credit = self.guaranteed[lane] + elapsed * self.rate * ratio
            self.guaranteed[lane] = min(1.0, credit)
        regained = elapsed * RECOVERY_PER_S * self.full_rate
        self.rate = min(self.full_rate, self.rate + regained)


class Circuit:
    """Stop calls to a failing service and let one probe through at a time."""

    def __init__(
        self,
        backoff_min_s: float,
        backoff_max_s: float,
        *,
        rng: random.Random | None = None,
        now: clock.Clock | None = None,
    ) -> None:
        self.backoff_min_s = backoff_min_s
        self.backoff_max_s = backoff_max_s
        self.rng = rng or random.Random()
        self.clock = now or clock.Clock()
        self.failures = 0
        self.retry_at = 0.0
        self.probing = False

    @property
    def open(self) -> bool:
        """Tell whether calls are stopped except for probes."""
        return self.failures >= OPEN_AFTER_FAILURES

    def check(self) -> None:
        """Raise ``table.UnavailableError`` unless a call may be sent now."""
        if not self.open:
            return
        if self.probing or self.clock.monotonic() < self.retry_at:
            raise table.UnavailableError("outage; waiting for the next probe")

    def enter(self) -> None:
        """Begin a call; while the circuit is open it becomes the probe."""
        self.check()
        self.probing = self.open

    def succeed(self) -> bool:
        """End a call that was answered; tell whether that ended an outage."""
        ended = self.open
        self.failures = 0
        self.probing = False
        return ended

    def fail(self) -> None:
        """End a call that was not answered and set the time of the next probe."""
        self.failures += 1
        self.probing = False
        exponent = min(self.failures, 32)
        ceiling = min(self.backoff_max_s, self.backoff_min_s * 2**exponent)
        wait = self.rng.uniform(ceiling / 2, ceiling)
        self.retry_at = self.clock.monotonic() + wait

    def abandon(self) -> None:
        """End a call that was cancelled, so that another may probe."""
        self.probing = False
