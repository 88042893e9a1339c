"""Limit retries by a budget, so that they do not multiply load in an outage."""

import random

import attrs

# Capacity of the token bucket, in seconds of the minimum retry rate.
BUDGET_CAP_S = 10.0
FIRST_DELAY_S = 0.01
MAX_DELAY_S = 0.25


@attrs.define
class Budget:
    """Allow retries in proportion to first attempts, plus a minimum rate.

    ``ratio`` is retries per first attempt, ``min_per_s`` the minimum rate in retries
    per second. ``take`` and ``deposit`` take the monotonic time in seconds.
    """

    ratio: float
    min_per_s: float
    tokens: float = attrs.field(init=False)
    refilled_at: float = attrs.field(init=False, default=0.0)
    spent: int = attrs.field(init=False, default=0)
    refused: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.tokens = self._max_tokens

    def deposit(self, now: float) -> None:
        """Credit the budget for a first attempt."""
        self._refill(now)
        self.tokens = min(self._max_tokens, self.tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Return whether one retry is allowed, and spend a token for it."""
        self._refill(now)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    @property
    def _max_tokens(self) -> float:
        return max(1.0, BUDGET_CAP_S * self.min_per_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(self._max_tokens, self.tokens + elapsed_s * self.min_per_s)


def delay(attempt: int, rng: random.Random) -> float:
    """Return the jittered delay in seconds after an attempt, counted from 1."""
    max_delay_s = min(MAX_DELAY_S, FIRST_DELAY_S * 2 ** (attempt - 1))
    return rng.uniform(0.0, max_delay_s)
