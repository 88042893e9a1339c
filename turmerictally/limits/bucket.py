"""Count one home slot's tokens of one team, with the grants still outstanding."""

import collections.abc

import attrs

EPSILON = 1e-9  # tokens, below which a rest is rounding


@attrs.define
class Grant:
    """Hold tokens handed to another host; ``expires`` is on the local clock."""

    amount: float
    expires: float


@attrs.define
class Bucket:
    """Keep ``level`` + ``outstanding`` within ``burst`` at all times.

    ``rate`` is in tokens a second, ``updated`` in seconds on the local clock. A
    granted token counts as outstanding until its grant is settled or expires, as
    the other host may spend it at any moment before.
    """

    rate: float
    burst: float
    level: float
    updated: float
    grants: dict[collections.abc.Hashable, Grant] = attrs.Factory(dict)
    outstanding: float = 0.0
    next_expiry: float = float("inf")

    def advance(self, now: float) -> None:
        """Add what has accrued and drop expired grants, in the order of time."""
        while self.next_expiry <= now:
            self._accrue(self.next_expiry)
            self._expire(self.next_expiry)
        self._accrue(now)

    def change(self, rate: float, burst: float, now: float) -> None:
        """Apply a new part from now on."""
        if rate == self.rate and burst == self.burst:
            return
        self.advance(now)
        self.rate = rate
        self.burst = burst
        self._accrue(now)

    def take(self, amount: float, now: float) -> bool:
        """Spend tokens here, or change nothing when too few are left."""
        self.advance(now)
        if self.level + EPSILON < amount:
            return False
        self.level = max(0.0, self.level - amount)
        return True

    def grant(
        self, key: collections.abc.Hashable, amount: float, now: float, expires: float
    ) -> float:
        """Deduct tokens for another host and return how many.

        A repeated grant returns the first one's amount.
        """
        self.advance(now)
        if key in self.grants:
            return self.grants[key].amount
        amount = min(amount, self.level)
        if amount <= EPSILON:
            return 0.0
        self.level -= amount
        self._hold(key, amount, expires)
        return amount

    def hold(self, amount: float, expires: float) -> None:
        """Count grants of an earlier holder as outstanding."""
        if amount > EPSILON:
            self._hold(None, amount, expires)

    def settle(
        self, key: collections.abc.Hashable, unspent: float, now: float
    ) -> float | None:
        """End a grant, take back its rest, and return its expiry if it was live."""
        self.advance(now)
        grant = self.grants.pop(key, None)
        if grant is None:
            return None
        self._forget(grant)
        self.level += min(max(0.0, unspent), grant.amount)
        self._accrue(now)
        return grant.expires

    def clipped(self, seconds: float) -> float:
        """Return the accrual of this time that outstanding grants would cut off."""
        room = max(0.0, self.burst - self.level - self.outstanding)
        return min(self.outstanding, max(0.0, self.rate * seconds - room))

    def _accrue(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        room = max(0.0, self.burst - self.outstanding)
        self.level = min(room, self.level + self.rate * elapsed)

    def _hold(
        self, key: collections.abc.Hashable, amount: float, expires: float
    ) -> None:
        self.grants[key] = Grant(amount, expires)
        self.outstanding += amount
        self.next_expiry = min(self.next_expiry, expires)

    def _expire(self, now: float) -> None:
        due = [key for key, grant in self.grants.items() if grant.expires <= now]
        for key in due:
            self._forget(self.grants.pop(key))
        self._find_next_expiry()

    def _forget(self, grant: Grant) -> None:
        self.outstanding = max(0.0, self.outstanding - grant.amount)
        if not self.grants:
            self.outstanding = 0.0
        self._find_next_expiry()

    def _find_next_expiry(self) -> None:
        expiries = (grant.expires for grant in self.grants.values())
        self.next_expiry = min(expiries, default=float("inf"))
