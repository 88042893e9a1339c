"""Grant tokens from the slots this host holds and accept refunds."""

import math

import attrs

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.config import model
from turmerictally.limits import bucket, layout, leases
from turmerictally.peers import calls, limits_pb2

MAX_PREFETCH_RATIO = 0.5  # of the surplus, so that other hosts find tokens too
MIN_GRANT = 1e-6  # tokens
MAX_ACCRUAL_LOSS = 0.1  # tokens; above it spent grants are settled early


@attrs.frozen(cache_hash=True)
class GrantId:
    """Identify a grant across retries by the requesting process and its request."""

    host_id: str
    instance: str
    request_id: int


class LocalSlots:
    """Spend and grant the tokens of the slots this host holds."""

    def __init__(
        self,
        lease_manager: leases.LeaseManager,
        contracts: leases.Contracts,
        clock: clocks.Clock,
        options: settings.Limits,
    ) -> None:
        self.leases = lease_manager
        self.contracts = contracts
        self.clock = clock
        self.options = options
        self.settled_until: dict[tuple[GrantId, layout.Slot], float] = {}
        self.prune_at = -math.inf

    def take(self, contract: model.Contract, amount: float) -> bool:
        """Spend tokens from the team's slots held here, all or nothing."""
        now = self.clock.monotonic()
        buckets = self._buckets(contract, now)
        if sum(team_bucket.level for team_bucket in buckets) + bucket.EPSILON < amount:
            return False
        for team_bucket in buckets:
            part = min(amount, team_bucket.level)
            team_bucket.take(part, now)
            amount -= part
        return True

    def level(self, contract: model.Contract) -> float:
        """Return the number of the team's tokens that can be spent here now."""
        now = self.clock.monotonic()
        return sum(team_bucket.level for team_bucket in self._buckets(contract, now))

    def rate(self, contract: model.Contract) -> float:
        """Return the team's rate that accrues here, in tokens per second."""
        now = self.clock.monotonic()
        shares = layout.quota_shares(self.leases.slot_layout, contract)
        return sum(
            share.rate
            for slot, share in shares.items()
            if self.leases.usable(slot, now) is not None
        )

    async def handle_grant_request(self, caller: calls.Caller, body: bytes) -> bytes:
        """Handle ``LIMIT_GRANT``: settle previous grants and grant tokens."""
        request = limits_pb2.Ask.FromString(body)
        self._settle_all(caller, request.settlements)
        return self._grant(caller, request).SerializeToString()

    async def handle_return(self, caller: calls.Caller, body: bytes) -> bytes:
        """Handle ``LIMIT_RETURN``: settle grants; idempotent."""
        message = limits_pb2.Return.FromString(body)
        self._settle_all(caller, message.settlements)
        return limits_pb2.Returned().SerializeToString()

    def _buckets(self, contract: model.Contract, now: float) -> list[bucket.Bucket]:
        buckets = []
        for slot in layout.quota_shares(self.leases.slot_layout, contract):
            held = self.leases.usable(slot, now)
            if held is not None:
                team_bucket = held.bucket_for(contract, self.leases.slot_layout, now)
                team_bucket.advance(now)
                buckets.append(team_bucket)
        return buckets

    def _grant(self, caller: calls.Caller, request: limits_pb2.Ask) -> limits_pb2.Grant:
        reply = limits_pb2.Grant(ttl_s=self._ttl(request))
        grant_id = GrantId(caller.host_id, caller.instance, request.ask_id)
        contract = self.contracts(request.team)
        needed = request.need
        for slot_message in request.slots:
            slot = layout.Slot(slot_message.domain, slot_message.index)
            part = reply.parts.add(slot=slot_message)
            needed -= self._grant_part(
                contract, slot, grant_id, needed, request, part, reply
            )
        return reply

    def _grant_part(
        self,
        contract: model.Contract | None,
        slot: layout.Slot,
        grant_id: GrantId,
        needed: float,
        request: limits_pb2.Ask,
        part: limits_pb2.Part,
        reply: limits_pb2.Grant,
    ) -> float:
        now = self.clock.monotonic()
        held = self.leases.usable(slot, now)
        if held is None or contract is None:
            self._redirect_to_holder(slot, part)
            return 0.0
        team_bucket = held.bucket_for(contract, self.leases.slot_layout, now)
        team_bucket.advance(now)
        part.held = True
        part.epoch = held.epoch
        if (grant_id, slot) not in self.settled_until:
            amount = self._grant_amount(team_bucket, needed, request.prefetch)
            expires = now + reply.ttl_s * self.leases.clock_drift_factor
            if expires < held.usable_until and team_bucket.level >= max(
                request.least - MIN_GRANT, MIN_GRANT
            ):
                part.amount = team_bucket.grant(grant_id, amount, now, expires)
        part.left = team_bucket.level
        if team_bucket.accrual_loss(reply.ttl_s) > MAX_ACCRUAL_LOSS:
            reply.settle_early = True
        return part.amount

    def _grant_amount(
        self, team_bucket: bucket.Bucket, needed: float, prefetch: float
    ) -> float:
        needed = max(0.0, needed)
        surplus = max(0.0, team_bucket.level - needed)
        return needed + min(prefetch, surplus * MAX_PREFETCH_RATIO)

    def _ttl(self, request: limits_pb2.Ask) -> float:
        return min(request.ttl_s, self.options.grant_ttl_s)

    def _redirect_to_holder(self, slot: layout.Slot, part: limits_pb2.Part) -> None:
        row = self.leases.rows_by_slot.get(slot)
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
        # A delayed copy of the request must not be granted after its settlement.
        ttl = self.options.grant_ttl_s * self.leases.clock_drift_factor
        self.settled_until[(grant_id, slot)] = now + ttl
        held = self.leases.usable(slot, now)
        team_bucket = held.buckets.get(settlement.team) if held else None
        if team_bucket is not None:
            team_bucket.settle(grant_id, settlement.unspent, now)

    def _prune(self, now: float) -> None:
        if now < self.prune_at:
            return
        self.prune_at = now + self.options.grant_ttl_s
        self.settled_until = {
            key: end for key, end in self.settled_until.items() if end > now
        }
