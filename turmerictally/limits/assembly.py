"""Assemble the rate limiting of one host."""

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.config import replica
from turmerictally.limits import layout, leases, limiter, local_slots, rows
from turmerictally.membership import members
from turmerictally.peers import calls
from turmerictally.store import table


@attrs.frozen
class MembershipView:
    """Adapt the membership to ``leases.Membership``."""

    members: members.Members

    def live(self, domain: str) -> set[str]:
        """Return the ids of a failure domain's live hosts, including this host."""
        host_ids = {member.id for member in self.members.live(domain)}
        if self.members.me.failure_domain == domain:
            host_ids.add(self.members.me.id)
        return host_ids

    def count(self) -> int:
        """Return the number of live hosts in the fleet."""
        return 1 + len(self.members.live())


@attrs.define
class FleetLimits:
    """Run one host's part of the fleet-wide rate limits."""

    leases: leases.LeaseManager
    limiter: limiter.RateLimiter

    async def run(self) -> None:
        """Maintain leases and settle grants until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.leases.run)
            nursery.start_soon(self.limiter.run)

    async def stop(self) -> None:
        """Refund unspent grants and release the slots."""
        await self.limiter.stop()


def build(
    config: settings.Settings,
    instance: str,
    store: table.Table,
    membership: members.Members,
    config_replica: replica.Replica,
    peers: calls.Peers,
    clock: clocks.Clock,
) -> FleetLimits:
    """Build the limits of one host; ``instance`` is unique to this start."""
    options = config.limits
    domains = tuple(options.failure_domains) or (config.failure_domain,)
    slot_layout = layout.SlotLayout(
        domains, options.slots_per_domain, options.shares_per_domain
    )
    me = rows.Holder(config.host_id, instance, config.listen.peers)

    def contract_of(team: str):
        return config_replica.view.contracts.get(team)

    lease_manager = leases.LeaseManager(
        me,
        config.failure_domain,
        slot_layout,
        store,
        MembershipView(membership),
        contract_of,
        clock,
        options,
    )
    slots = local_slots.LocalSlots(lease_manager, contract_of, clock, options)
    return FleetLimits(
        lease_manager, limiter.RateLimiter(lease_manager, slots, peers, clock, options)
    )
