"""Inject outages, delays, throttling and lost answers into stand-ins."""

import math
import random

import attrs
import trio

from turmerictally.store import table


@attrs.define
class Faults:
    """Hold the faults in force for one stand-in; all may change at run time.

    ``delay_s`` and ``jitter_s`` are in seconds. ``lose_answer`` and
    ``lose_request`` are probabilities from 0 to 1.
    """

    down: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    lose_request: float = 0.0
    lose_answer: float = 0.0
    seed: int = 0
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def before(self) -> None:
        """Delay a call, or fail it before it takes effect."""
        delay = self.delay_s + self.jitter_s * self.rng.random()
        await trio.sleep(delay)
        if self.down:
            raise table.UnavailableError("outage")
        if self.rng.random() < self.lose_request:
            raise table.UnavailableError("request lost", maybe_applied=True)

    def after(self) -> None:
        """Lose the answer of a call that took effect."""
        if self.down or self.rng.random() < self.lose_answer:
            raise table.UnavailableError("answer lost", maybe_applied=True)


@attrs.define
class RateLimit:
    """Throttle calls at the stated limit of a service, in calls per second."""

    rate: float = math.inf
    level: float = attrs.field(init=False)
    updated: float = attrs.field(init=False, default=-math.inf)
    count: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.level = self.rate

    def take(self, amount: int = 1) -> None:
        """Count calls, or raise ``table.OverloadedError`` above the rate."""
        self.count += amount
        if math.isinf(self.rate):
            return
        now = trio.current_time()
        refill = max(0.0, now - self.updated) * self.rate
        self.level = min(self.rate, self.level + refill)
        self.updated = now
        if self.level < amount:
            raise table.OverloadedError("throttled")
        self.level -= amount
