"""Divide a host's platform request budget among lanes; break the circuit in outages."""

import enum
import random

import trio

from turmerictally import clock
from turmerictally.store import table

BURST_S = 1.0  # burst size, as seconds of the full rate
MIN_BURST_CALLS = 4.0
MIN_RATE_RATIO = 1 / 64  # of the full rate
SLOW_START_RATE_RATIO = 1 / 8  # of the full rate, after an outage
RECOVERY_RATIO_PER_S = 0.05  # of the full rate, added back per second
DECREASE_INTERVAL_S = 1.0
OPEN_AFTER_FAILURES = 3  # consecutive
EPSILON_CALLS = 1e-9  # absorbs the rounding errors of summed times


class Lane(enum.Enum):
    """Rank platform calls by priority, highest first."""

    CONTROL = "control"  # configuration, leases, quota shares and the host list
    ONLINE = "online"  # idempotency of online requests
    BATCH = "batch"  # progress and results of batch jobs


# Fraction of the burst that a lane leaves unused for the lanes above it.
RESERVED_BURST_RATIOS: dict[Lane, float] = {
    Lane.CONTROL: 0.0,
    Lane.ONLINE: 0.25,
    Lane.BATCH: 0.5,
}
# Fraction of the rate that a lane gets regardless of the load of the lanes above it;
# without it, a caller that polls a job's state would starve the job itself.
GUARANTEED_RATE_RATIOS: dict[Lane, float] = {
    Lane.CONTROL: 0.0,
    Lane.ONLINE: 0.05,
    Lane.BATCH: 0.05,
}


class Budget:
    """Limit reads or writes by a token bucket of adaptive rate, in calls per second.

    The rate halves when the platform throttles a call and recovers linearly, so that
    the hosts' total rate converges to what the platform accepts.
    """

    def __init__(self, full_rate: float, now: clock.Clock | None = None) -> None:
        self.clock = now or clock.Clock()
        self.full_rate = full_rate
        self.rate = full_rate
        self.burst = max(MIN_BURST_CALLS, full_rate * BURST_S)
        self.tokens = self.burst
        self.updated_at = self.clock.monotonic()
        self.decreased_at = self.updated_at - DECREASE_INTERVAL_S
        self.lane_locks = {lane: trio.Lock() for lane in Lane}
        self.guaranteed_tokens = dict.fromkeys(Lane, 0.0)

    async def acquire(self, lane: Lane, deadline: float) -> None:
        """Take one token, waiting for it in FIFO order within the lane.

        Raises ``table.UnavailableError`` if no token is available by ``deadline``
        (local monotonic seconds).
        """
        remaining_s = deadline - self.clock.monotonic()
        with trio.move_on_after(max(0.0, remaining_s)):
            async with self.lane_locks[lane]:
                await self._wait_for_token(lane)
                self.tokens -= 1.0
                return
        raise table.UnavailableError(f"the host's {lane.value} budget is used up")

    def decrease_rate(self) -> None:
        """Halve the rate after a throttled call, once per ``DECREASE_INTERVAL_S``."""
        self._refill()
        now = self.clock.monotonic()
        if now - self.decreased_at < DECREASE_INTERVAL_S:
            return
        self.decreased_at = now
        self.rate = max(self.rate / 2, self.full_rate * MIN_RATE_RATIO)
        self.tokens = min(self.tokens, 0.0)

    def slow_start(self) -> None:
        """Reduce the rate and empty the bucket after an outage."""
        self._refill()
        self.rate = min(self.rate, self.full_rate * SLOW_START_RATE_RATIO)
        self.tokens = min(self.tokens, 0.0)

    async def _wait_for_token(self, lane: Lane) -> None:
        needed = 1.0 + self.burst * RESERVED_BURST_RATIOS[lane]
        while True:
            self._refill()
            missing_tokens = needed - self.tokens
            if missing_tokens <= EPSILON_CALLS:
                return
            wait_s = missing_tokens / self.rate
            ratio = GUARANTEED_RATE_RATIOS[lane]
            if ratio:
                missing_guaranteed = 1.0 - self.guaranteed_tokens[lane]
                if missing_guaranteed <= EPSILON_CALLS:
                    self.guaranteed_tokens[lane] = 0.0
                    return
                wait_s = min(wait_s, missing_guaranteed / (self.rate * ratio))
            await trio.sleep(wait_s)

    def _refill(self) -> None:
        now = self.clock.monotonic()
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        for lane, ratio in GUARANTEED_RATE_RATIOS.items():
            credited = self.guaranteed_tokens[lane] + elapsed * self.rate * ratio
            self.guaranteed_tokens[lane] = min(1.0, credited)
        recovered = elapsed * RECOVERY_RATIO_PER_S * self.full_rate
        self.rate = min(self.full_rate, self.rate + recovered)


class CircuitBreaker:
    """Stop calls to a failing service, except one probe at a time.

    Probes are spaced by exponential back-off with jitter.
    """

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
        self.consecutive_failures = 0
        self.next_probe_at = 0.0
        self.probe_in_flight = False

    @property
    def is_open(self) -> bool:
        """Whether only probes may be sent."""
        return self.consecutive_failures >= OPEN_AFTER_FAILURES

    def check(self) -> None:
        """Raise ``table.UnavailableError`` if no call may be sent now."""
        if not self.is_open:
            return
        if self.probe_in_flight or self.clock.monotonic() < self.next_probe_at:
            raise table.UnavailableError("outage; waiting for the next probe")

    def begin_call(self) -> None:
        """Start a call, as the probe if the circuit is open.

        Raises ``table.UnavailableError`` if no call may be sent now.
        """
        self.check()
        self.probe_in_flight = self.is_open

    def record_success(self) -> bool:
        """Close the circuit after a response; return whether it was open."""
        was_open = self.is_open
        self.consecutive_failures = 0
        self.probe_in_flight = False
        return was_open

    def record_failure(self) -> None:
        """Count a call without a response and schedule the next probe."""
        self.consecutive_failures += 1
        self.probe_in_flight = False
        exponent = min(self.consecutive_failures, 32)
        max_wait_s = min(self.backoff_max_s, self.backoff_min_s * 2**exponent)
        wait_s = self.rng.uniform(max_wait_s / 2, max_wait_s)
        self.next_probe_at = self.clock.monotonic() + wait_s

    def cancel_call(self) -> None:
        """End a cancelled call without an outcome, so that another may probe."""
        self.probe_in_flight = False
