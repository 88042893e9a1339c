"""Keep the token buckets of a limit slot that this host holds."""

import collections.abc

import attrs

from turmerictally.config import model
from turmerictally.limits import bucket, layout, rows


@attrs.define
class HeldSlot:
    """Hold a slot's lease and its teams' buckets.

    ``epoch`` is the lease's fencing token. The lease ends at ``usable_until`` on the
    local clock, counted from before the last renewal was sent; no token is spent or
    granted afterwards. Buckets accrue from ``accrues_from``. Grants of the previous
    holder count as outstanding until ``granted_until``.
    """

    slot: layout.Slot
    epoch: int
    version: int
    usable_until: float
    accrues_from: float
    initial: rows.InitialLevels
    granted_until: float
    buckets: dict[str, bucket.Bucket] = attrs.Factory(dict)

    def bucket_for(
        self, contract: model.Contract, slot_layout: layout.SlotLayout, now: float
    ) -> bucket.Bucket:
        """Return the team's bucket, updated to its share of the current contract."""
        share = slot_layout.share(contract, self.slot)
        team_bucket = self.buckets.get(contract.team)
        if team_bucket is None:
            team_bucket = self._create_bucket(contract.team, share)
            self.buckets[contract.team] = team_bucket
        team_bucket.set_limits(share.rate, share.burst, now)
        return team_bucket

    def levels_for_next_holder(
        self,
        contracts: collections.abc.Callable[[str], model.Contract | None],
        slot_layout: layout.SlotLayout,
        now: float,
    ) -> rows.InitialLevels:
        """Return the initial levels of the next holder's buckets for a release now."""
        levels = {}
        for team, inherited in self.initial.levels.items():
            contract = contracts(team)
            if contract is not None:
                self.bucket_for(contract, slot_layout, now)
            elif team not in self.buckets:
                levels[team] = inherited
        for team, team_bucket in self.buckets.items():
            team_bucket.advance(now)
            if team_bucket.level + bucket.EPSILON < team_bucket.burst:
                levels[team] = rows.BucketLevel(
                    team_bucket.level, team_bucket.outstanding
                )
        if len(levels) > rows.MAX_LEVELS:
            return rows.START_EMPTY
        accrued = self.initial.accrued_s + max(0.0, now - self.accrues_from)
        return rows.InitialLevels(min(accrued, rows.FULL_ACCRUAL_S), levels)

    def _create_bucket(self, team: str, share: layout.QuotaShare) -> bucket.Bucket:
        level = self._initial_level(team, share)
        new_bucket = bucket.Bucket(share.rate, share.burst, level, self.accrues_from)
        inherited = self.initial.levels.get(team)
        if inherited is not None:
            new_bucket.add_inherited_grants(inherited.granted, self.granted_until)
        return new_bucket

    def _initial_level(self, team: str, share: layout.QuotaShare) -> float:
        inherited = self.initial.levels.get(team)
        if inherited is not None:
            return min(inherited.tokens, share.burst)
        if self.initial.accrued_s >= rows.FULL_ACCRUAL_S:
            return share.burst
        return min(share.burst, share.rate * self.initial.accrued_s)
