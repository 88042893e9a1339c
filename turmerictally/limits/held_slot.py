"""Keep the buckets of one slot that this host holds."""

import collections.abc

import attrs

from turmerictally.config import model
from turmerictally.limits import bucket, layout, rows


@attrs.define
class HeldSlot:
    """Hold a slot's lease and buckets.

    ``usable_until`` is on the local clock, counted from before the last renewal
    was sent; nothing is spent afterwards. ``claimed`` is when accrual began.
    """

    slot: layout.Slot
    epoch: int
    version: int
    usable_until: float
    claimed: float
    start: rows.InitialLevels
    granted_until: float
    buckets: dict[str, bucket.Bucket] = attrs.Factory(dict)

    def bucket_of(
        self, contract: model.Contract, fleet: layout.SlotLayout, now: float
    ) -> bucket.Bucket:
        """Return the team's bucket with the contract's present part applied."""
        part = fleet.share(contract, self.slot)
        found = self.buckets.get(contract.team)
        if found is None:
            found = self._create(contract.team, part)
            self.buckets[contract.team] = found
        found.change(part.rate, part.burst, now)
        return found

    def release(
        self,
        contracts: collections.abc.Callable[[str], model.Contract | None],
        fleet: layout.SlotLayout,
        now: float,
    ) -> rows.InitialLevels:
        """Return how the next holder's buckets start after a release now."""
        levels = {}
        for team, carried in self.start.levels.items():
            contract = contracts(team)
            if contract is not None:
                self.bucket_of(contract, fleet, now)
            elif team not in self.buckets:
                levels[team] = carried
        for team, kept in self.buckets.items():
            kept.advance(now)
            if kept.level + bucket.EPSILON < kept.burst:
                levels[team] = rows.BucketLevel(kept.level, kept.outstanding)
        if len(levels) > rows.MAX_LEVELS:
            return rows.EMPTY
        accrued = self.start.accrued_s + max(0.0, now - self.claimed)
        return rows.InitialLevels(min(accrued, rows.FULL_S), levels)

    def _create(self, team: str, part: layout.QuotaShare) -> bucket.Bucket:
        level = self._first_level(team, part)
        created = bucket.Bucket(part.rate, part.burst, level, self.claimed)
        carried = self.start.levels.get(team)
        if carried is not None:
            created.hold(carried.granted, self.granted_until)
        return created

    def _first_level(self, team: str, part: layout.QuotaShare) -> float:
        carried = self.start.levels.get(team)
        if carried is not None:
            return min(carried.left, part.burst)
        if self.start.accrued_s >= rows.FULL_S:
            return part.burst
        return min(part.burst, part.rate * self.start.accrued_s)
