"""Token bucket of one team in one home slot, with grants to other hosts."""

import collections.abc

import attrs

EPSILON = 1e-9  # tokens; smaller amounts are rounding errors


@attrs.define
class Grant:
    """Hold the tokens granted to another host; ``expires`` is on the local clock."""

    amount: float
    expires: float


@attrs.define
class Bucket:
    """Token bucket that keeps ``level`` + ``outstanding`` within ``burst``.

    ``rate`` is in tokens per second, ``updated`` in seconds on the local clock. A
    granted token counts as outstanding until its grant is settled or expires, since
    the other host may spend it at any time until then.
    """

    rate: float
    burst: float
    level: float
    updated: float
    grants: dict[collections.abc.Hashable, Grant] = attrs.Factory(dict)
    outstanding: float = 0.0
    next_expiry: float = float("inf")

    def advance(self, now: float) -> None:
        """Accrue tokens and drop expired grants, in chronological order."""
        while self.next_expiry <= now:
            self._accrue(self.next_expiry)
            self._expire(self.next_expiry)
        self._accrue(now)

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Apply a new rate and burst from ``now`` on."""
        if rate == self.rate and burst == self.burst:
            return
        self.advance(now)
        self.rate = rate
        self.burst = burst
        self._accrue(now)

    def take(self, amount: float, now: float) -> bool:
        """Spend tokens, or leave the bucket unchanged if it holds too few."""
        self.advance(now)
        if self.level + EPSILON < amount:
            return False
        self.level = max(0.0, self.level - amount)
        return True

    def grant(
        self, key: collections.abc.Hashable, amount: float, now: float, expires: float
    ) -> float:
        """Deduct up to ``amount`` tokens for another host and return how many.

        Repeating a grant returns the amount of the first one and deducts nothing.
        """
        self.advance(now)
        if key in self.grants:
            return self.grants[key].amount
        amount = min(amount, self.level)
        if amount <= EPSILON:
            return 0.0
        self.level -= amount
        self._add_grant(key, amount, expires)
        return amount

    def add_inherited_grants(self, amount: float, expires: float) -> None:
        """Count the previous holder's outstanding grants as outstanding here."""
        if amount > EPSILON:
            self._add_grant(None, amount, expires)

    def settle(
        self, key: collections.abc.Hashable, unspent: float, now: float
    ) -> float | None:
        """End a grant, refund ``unspent``; return its expiry, or None if unknown."""
        self.advance(now)
        grant = self.grants.pop(key, None)
        if grant is None:
            return None
        self._remove_grant(grant)
        self.level += min(max(0.0, unspent), grant.amount)
        self._accrue(now)
        return grant.expires

    def accrual_loss(self, seconds: float) -> float:
        """Return the tokens of ``seconds`` of accrual lost to outstanding grants."""
        free = max(0.0, self.burst - self.level - self.outstanding)
        return min(self.outstanding, max(0.0, self.rate * seconds - free))

    def _accrue(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        max_level = max(0.0, self.burst - self.outstanding)
        self.level = min(max_level, self.level + self.rate * elapsed)

    def _add_grant(
        self, key: collections.abc.Hashable, amount: float, expires: float
    ) -> None:
        self.grants[key] = Grant(amount, expires)
        self.outstanding += amount
        self.next_expiry = min(self.next_expiry, expires)

    def _expire(self, now: float) -> None:
        expired = [key for key, grant in self.grants.items() if grant.expires <= now]
        for key in expired:
            self._remove_grant(self.grants.pop(key))
        self._update_next_expiry()

    def _remove_grant(self, grant: Grant) -> None:
        self.outstanding = max(0.0, self.outstanding - grant.amount)
        if not self.grants:
            self.outstanding = 0.0
        self._update_next_expiry()

    def _update_next_expiry(self) -> None:
        expiries = (grant.expires for grant in self.grants.values())
        self.next_expiry = min(expiries, default=float("inf"))
