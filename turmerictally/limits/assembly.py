"""Put the limits of one host together."""

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
    """Show the membership as the limits need it; implements ``leases.Members``."""

    members: members.Members

    def live(self, domain: str) -> set[str]:
        """Return the ids of a failure domain's live hosts, this one among them."""
        found = {member.id for member in self.members.live(domain)}
        if self.members.me.failure_domain == domain:
            found.add(self.members.me.id)
        return found

    def count(self) -> int:
        """Return the number of live hosts of the fleet."""
        return 1 + len(self.members.live())


@attrs.define
class FleetLimits:
    """Hold one host's part of the fleet's limits."""

    leases: leases.LeaseManager
    limiter: limiter.RateLimiter

    async def run(self) -> None:
        """Keep leases and settle grants until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.leases.run)
            nursery.start_soon(self.limiter.run)

    async def stop(self) -> None:
        """Return grants and release slots."""
        await self.limiter.stop()


def build(
    config: settings.Settings,
    instance: str,
    store: table.Table,
    known: members.Members,
    copy: replica.Replica,
    peers: calls.Peers,
    clock: clocks.Clock,
) -> FleetLimits:
    """Return the limits of one host; ``instance`` differs for each start."""
    options = config.limits
    domains = tuple(options.failure_domains) or (config.failure_domain,)
    fleet = layout.SlotLayout(
        domains, options.slots_per_domain, options.shares_per_domain
    )
    me = rows.Holder(config.host_id, instance, config.listen.peers)

    def contract_of(team: str):
        return copy.view.contracts.get(team)

    held = leases.LeaseManager(
        me,
        config.failure_domain,
        fleet,
        store,
        MembershipView(known),
        contract_of,
        clock,
        options,
    )
    owned = local_slots.LocalSlots(held, contract_of, clock, options)
    return FleetLimits(held, limiter.RateLimiter(held, owned, peers, clock, options))
