"""Pair each mechanism of the limits with a schedule that breaks without it."""

import contextlib
import math
from unittest import mock

import attrs
import trio

from turmerictally.config import model
from turmerictally.limits import bucket, held_slot, leases, limiter, rows
from turmerictally.tests.support import limits_fleet

LEASE_S = 12.0
FAST = model.Contract("team", 20.0, 20)
SLOW = model.Contract("team", 0.1, 20)


def holder(fleet):
    """Return a host that holds a home slot of the team."""
    homes = fleet.slot_layout.home_slots(fleet.contracts["team"])
    return next(
        h for h, host in fleet.hosts.items() if homes[0] in host.leases.held_slots
    )


def others(fleet):
    """Return the hosts that hold no home slot of the team."""
    homes = set(fleet.slot_layout.home_slots(fleet.contracts["team"]))
    return [
        h
        for h, host in fleet.hosts.items()
        if not homes & host.leases.held_slots.keys()
    ]


async def burst(fleet, host, count):
    """Send requests to one host at once and wait for all answers."""
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(fleet.request, host, "team")


async def burst_on(fleet, hosts, count):
    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(burst, fleet, host, count)


async def burst_everywhere(fleet, count=25):
    await burst_on(fleet, list(fleet.hosts), count)


async def send_steadily(fleet, host, rate, seconds):
    for _ in range(int(rate * seconds)):
        fleet.nursery.start_soon(fleet.request, host, "team")
        await trio.sleep(1 / rate)


async def leave_grants_unspent(fleet):
    for host in others(fleet):
        await send_steadily(fleet, host, 15.0, 0.5)
    await trio.sleep(10.0)
    await burst_everywhere(fleet)


async def spend_and_lose_holder(fleet):
    victim = holder(fleet)
    await burst_everywhere(fleet)
    fleet.kill(victim)
    await trio.sleep(LEASE_S + 8.0)
    await burst_everywhere(fleet)


async def suspect_live_holder(fleet):
    victim = holder(fleet)
    fleet.hosts[victim].store.cut = True
    fleet.listed.pop(victim)
    await trio.sleep(4.0)
    for _ in range(30):
        await burst_everywhere(fleet, 10)
        await trio.sleep(0.2)


async def ask_from_many_hosts(fleet):
    await burst_on(fleet, others(fleet), 20)
    await burst_everywhere(fleet)


async def resume_after_lease(fleet):
    victim = holder(fleet)
    fleet.pause(victim)
    fleet.listed.pop(victim)
    await trio.sleep(LEASE_S + 10.0)
    rest = [host for host in fleet.hosts if host != victim]
    await burst_on(fleet, rest, 20)
    fleet.table.faults.delay_s = 0.1
    fleet.resume(victim)
    await burst(fleet, victim, 20)


async def lose_and_repeat(fleet):
    await burst(fleet, others(fleet)[0], 12)
    fleet.net.lose_reply = 1.0
    fleet.net.duplicate = 1.0
    for host in others(fleet) * 2:
        await burst(fleet, host, 4)
        await trio.sleep(1.0)
    fleet.net.lose_reply = 0.0
    await trio.sleep(3.0)
    await burst_everywhere(fleet)
    await trio.sleep(3.0)
    await burst_everywhere(fleet)


async def spend_and_stop(fleet):
    victim = holder(fleet)
    await burst_everywhere(fleet)
    await fleet.stop(victim)
    await trio.sleep(8.0)
    await burst_everywhere(fleet)


def keep_grants(original):
    def accept(self, account, *arguments):
        progress = original(self, account, *arguments)
        for grant in account.cached:
            grant.expires = grant.idle_at = math.inf
        return progress

    return accept


def claim_full(original):
    def claim_of(self, row):
        return attrs.evolve(original(self, row), start=rows.FULL)

    return claim_of


def lapse_when_unlisted(original):
    def has_lapsed(self, row):
        return row.holder.host_id not in self.members.live(self.domain)

    return has_lapsed


def grant_without_deducting(original):
    def grant(self, key, amount, now, expires):
        self.advance(now)
        return min(amount, self.level)

    return grant


def use_any_held(original):
    def usable(self, slot, now):
        return self.held_slots.get(slot)

    return usable


def credit_every_return(original):
    def settle(self, key, unspent, now):
        if original(self, key, unspent, now) is None:
            self.level = min(self.burst - self.outstanding, self.level + unspent)

    return settle


def release_full(original):
    def release(self, *arguments):
        return rows.FULL

    return release


@attrs.frozen
class Mechanism:
    """Name what is replaced by what, and the schedule that needs it."""

    owner: type
    name: str
    replace: object
    contract: model.Contract
    schedule: object


MECHANISMS = {
    "the expiry of grants": Mechanism(
        limiter.RateLimiter, "_accept", keep_grants, FAST, leave_grants_unspent
    ),
    "an empty start after takeover": Mechanism(
        leases.LeaseManager, "_claim_of", claim_full, SLOW, spend_and_lose_holder
    ),
    "the wait before takeover": Mechanism(
        leases.LeaseManager,
        "_has_lapsed",
        lapse_when_unlisted,
        FAST,
        suspect_live_holder,
    ),
    "the deduction before a grant": Mechanism(
        bucket.Bucket, "grant", grant_without_deducting, SLOW, ask_from_many_hosts
    ),
    "the holder's lease check": Mechanism(
        leases.LeaseManager, "usable", use_any_held, FAST, resume_after_lease
    ),
    "returns counted once": Mechanism(
        bucket.Bucket, "settle", credit_every_return, SLOW, lose_and_repeat
    ),
    "levels handed over at release": Mechanism(
        held_slot.HeldSlot, "release", release_full, SLOW, spend_and_stop
    ),
}


def run(name: str, *, without: bool) -> float:
    """Run a mechanism's schedule, with or without it; return the excess."""
    mechanism = MECHANISMS[name]

    async def body(fleet):
        await limits_fleet.wait_for_claims(fleet)
        await mechanism.schedule(fleet)
        return fleet.excess()

    replaced = contextlib.nullcontext()
    if without:
        original = getattr(mechanism.owner, mechanism.name)
        replaced = mock.patch.object(
            mechanism.owner, mechanism.name, mechanism.replace(original)
        )
    with replaced:
        return limits_fleet.simulate(
            body,
            contracts=[mechanism.contract],
            hosts=8,
            share_lease_s=LEASE_S,
            renew_s=3.0,
        )
