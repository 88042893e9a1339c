"""Bound retries by a budget, so that an outage is not multiplied."""

import random

import attrs

# Budget that may be saved up, in seconds of the minimal rate.
BUDGET_CAP_S = 10.0
FIRST_DELAY_S = 0.01
MAX_DELAY_S = 0.25


@attrs.define
class Budget:
    """Allow retries as a share of first attempts, with a small floor.

    ``ratio`` is retries for each first attempt, ``min_per_s`` the floor in retries a
    second. ``take`` and ``deposit`` want the monotonic time in seconds.
    """

    ratio: float
    min_per_s: float
    tokens: float = attrs.field(init=False)
    updated: float = attrs.field(init=False, default=0.0)
    spent: int = attrs.field(init=False, default=0)
    refused: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.tokens = self._most

    def deposit(self, now: float) -> None:
        """Count a first attempt."""
        self._refill(now)
        self.tokens = min(self._most, self.tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Return whether one retry is allowed, and count it."""
        self._refill(now)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    @property
    def _most(self) -> float:
        return max(1.0, BUDGET_CAP_S * self.min_per_s)

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self.updated)
        self.updated = now
        self.tokens = min(self._most, self.tokens + passed * self.min_per_s)


def delay(attempt: int, rng: random.Random) -> float:
    """Return the jittered seconds before the attempt with this number, from 1."""
    bound = min(MAX_DELAY_S, FIRST_DELAY_S * 2 ** (attempt - 1))
    return rng.uniform(0.0, bound)
