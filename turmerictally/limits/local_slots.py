"""Answer for the slots this host holds: grant tokens and take them back."""

import math

import attrs

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.config import model
from turmerictally.limits import bucket, layout, leases
from turmerictally.peers import calls, limits_pb2

PREFETCH_RATIO = 0.5  # of what is left after the need, so that others find some
MIN_GRANT = 1e-6  # tokens
MAX_CLIPPED = 0.1  # tokens that may be lost rather than settled by a message


@attrs.frozen(cache_hash=True)
class GrantId:
    """Name a grant across retries: the asking process and its ask."""

    host_id: str
    instance: str
    ask_id: int


class LocalSlots:
    """Spend and grant the tokens of the slots this host holds."""

    def __init__(
        self,
        held: leases.LeaseManager,
        contracts: leases.Contracts,
        clock: clocks.Clock,
        options: settings.Limits,
    ) -> None:
        self.leases = held
        self.contracts = contracts
        self.clock = clock
        self.options = options
        self.ended: dict[tuple[GrantId, layout.Slot], float] = {}
        self.prune_at = -math.inf

    def take(self, contract: model.Contract, amount: float) -> bool:
        """Spend tokens from the team's slots held here, all or none."""
        now = self.clock.monotonic()
        buckets = self._buckets(contract, now)
        if sum(kept.level for kept in buckets) + bucket.EPSILON < amount:
            return False
        for kept in buckets:
            part = min(amount, kept.level)
            kept.take(part, now)
            amount -= part
        return True

    def level(self, contract: model.Contract) -> float:
        """Return the tokens of the team that can be spent here now."""
        now = self.clock.monotonic()
        return sum(kept.level for kept in self._buckets(contract, now))

    def rate(self, contract: model.Contract) -> float:
        """Return the part of the team's rate that accrues here, in tokens a second."""
        now = self.clock.monotonic()
        parts = layout.quota_shares(self.leases.slot_layout, contract)
        return sum(
            part.rate
            for slot, part in parts.items()
            if self.leases.usable(slot, now) is not None
        )

    async def handle_grant_request(self, caller: calls.Caller, body: bytes) -> bytes:
        """Handle ``LIMIT_GRANT``."""
        ask = limits_pb2.Ask.FromString(body)
        self._settle_all(caller, ask.settlements)
        return self._grant(caller, ask).SerializeToString()

    async def handle_return(self, caller: calls.Caller, body: bytes) -> bytes:
        """Handle ``LIMIT_RETURN``; repeating it changes nothing."""
        message = limits_pb2.Return.FromString(body)
        self._settle_all(caller, message.settlements)
        return limits_pb2.Returned().SerializeToString()

    def _buckets(self, contract: model.Contract, now: float) -> list[bucket.Bucket]:
        found = []
        for slot in layout.quota_shares(self.leases.slot_layout, contract):
            mine = self.leases.usable(slot, now)
            if mine is not None:
                kept = mine.bucket_of(contract, self.leases.slot_layout, now)
                kept.advance(now)
                found.append(kept)
        return found

    def _grant(self, caller: calls.Caller, ask: limits_pb2.Ask) -> limits_pb2.Grant:
        reply = limits_pb2.Grant(ttl_s=self._ttl(ask))
        grant_id = GrantId(caller.host_id, caller.instance, ask.ask_id)
        contract = self.contracts(ask.team)
        need = ask.need
        for wanted in ask.slots:
            slot = layout.Slot(wanted.domain, wanted.index)
            part = reply.parts.add(slot=wanted)
            need -= self._grant_part(contract, slot, grant_id, need, ask, part, reply)
        return reply

    def _grant_part(
        self,
        contract: model.Contract | None,
        slot: layout.Slot,
        grant_id: GrantId,
        need: float,
        ask: limits_pb2.Ask,
        part: limits_pb2.Part,
        reply: limits_pb2.Grant,
    ) -> float:
        now = self.clock.monotonic()
        mine = self.leases.usable(slot, now)
        if mine is None or contract is None:
            self._name_holder(slot, part)
            return 0.0
        kept = mine.bucket_of(contract, self.leases.slot_layout, now)
        kept.advance(now)
        part.held = True
        part.epoch = mine.epoch
        if (grant_id, slot) not in self.ended:
            wanted = self._wanted(kept, need, ask.prefetch)
            expires = now + reply.ttl_s * self.leases.wait_factor
            if expires < mine.usable_until and kept.level >= max(
                ask.least - MIN_GRANT, MIN_GRANT
            ):
                part.amount = kept.grant(grant_id, wanted, now, expires)
        part.left = kept.level
        if kept.clipped(reply.ttl_s) > MAX_CLIPPED:
            reply.settle_early = True
        return part.amount

    def _wanted(self, kept: bucket.Bucket, need: float, prefetch: float) -> float:
        need = max(0.0, need)
        rest = max(0.0, kept.level - need)
        return need + min(prefetch, rest * PREFETCH_RATIO)

    def _ttl(self, ask: limits_pb2.Ask) -> float:
        return min(ask.ttl_s, self.options.grant_ttl_s)

    def _name_holder(self, slot: layout.Slot, part: limits_pb2.Part) -> None:
        row = self.leases.rows.get(slot)
        if row is None or row.holder.address == self.leases.me.address:
            return
        part.holder_address = row.holder.address
        part.epoch = row.epoch

    def _settle_all(self, caller: calls.Caller, settlements: list) -> None:
        now = self.clock.monotonic()
        self._prune(now)
        for settlement in settlements:
            slot = layout.Slot(settlement.slot.domain, settlement.slot.index)
            grant_id = GrantId(caller.host_id, caller.instance, settlement.ask_id)
            self._settle(slot, grant_id, settlement, now)

    def _settle(
        self,
        slot: layout.Slot,
        grant_id: GrantId,
        settlement: limits_pb2.Settlement,
        now: float,
    ) -> None:
        # A late copy of the ask must not be granted after its settlement.
        ttl = self.options.grant_ttl_s * self.leases.wait_factor
        self.ended[(grant_id, slot)] = now + ttl
        mine = self.leases.usable(slot, now)
        kept = mine.buckets.get(settlement.team) if mine else None
        if kept is not None:
            kept.settle(grant_id, settlement.unspent, now)

    def _prune(self, now: float) -> None:
        if now < self.prune_at:
            return
        self.prune_at = now + self.options.grant_ttl_s
        self.ended = {key: end for key, end in self.ended.items() if end > now}
