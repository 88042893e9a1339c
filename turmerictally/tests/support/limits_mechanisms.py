"""Pair each mechanism of the limits with a schedule that exceeds them without it."""

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


def holder_of(fleet):
    """Return the id of a host that holds a home slot of the team."""
    homes = fleet.slot_layout.home_slots(fleet.contracts["team"])
    return next(
        h for h, host in fleet.hosts.items() if homes[0] in host.leases.held_slots
    )


def non_holders(fleet):
    """Return the ids of the hosts that hold no home slot of the team."""
    homes = set(fleet.slot_layout.home_slots(fleet.contracts["team"]))
    return [
        h
        for h, host in fleet.hosts.items()
        if not homes & host.leases.held_slots.keys()
    ]


async def burst(fleet, host, count):
    """Send requests to one host at once and wait for all outcomes."""
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
    for host in non_holders(fleet):
        await send_steadily(fleet, host, 15.0, 0.5)
    await trio.sleep(10.0)
    await burst_everywhere(fleet)


async def spend_and_crash_holder(fleet):
    holder_id = holder_of(fleet)
    await burst_everywhere(fleet)
    fleet.kill(holder_id)
    await trio.sleep(LEASE_S + 8.0)
    await burst_everywhere(fleet)


async def suspect_live_holder(fleet):
    holder_id = holder_of(fleet)
    fleet.hosts[holder_id].store.is_cut_off = True
    fleet.listed.pop(holder_id)
    await trio.sleep(4.0)
    for _ in range(30):
        await burst_everywhere(fleet, 10)
        await trio.sleep(0.2)


async def request_from_many_hosts(fleet):
    await burst_on(fleet, non_holders(fleet), 20)
    await burst_everywhere(fleet)


async def resume_after_lease(fleet):
    holder_id = holder_of(fleet)
    fleet.pause(holder_id)
    fleet.listed.pop(holder_id)
    await trio.sleep(LEASE_S + 10.0)
    other_ids = [host for host in fleet.hosts if host != holder_id]
    await burst_on(fleet, other_ids, 20)
    fleet.table.faults.delay_s = 0.1
    fleet.resume(holder_id)
    await burst(fleet, holder_id, 20)


async def lose_and_duplicate_messages(fleet):
    await burst(fleet, non_holders(fleet)[0], 12)
    fleet.net.lose_reply = 1.0
    fleet.net.duplicate = 1.0
    for host in non_holders(fleet) * 2:
        await burst(fleet, host, 4)
        await trio.sleep(1.0)
    fleet.net.lose_reply = 0.0
    await trio.sleep(3.0)
    await burst_everywhere(fleet)
    await trio.sleep(3.0)
    await burst_everywhere(fleet)


async def spend_and_stop(fleet):
    holder_id = holder_of(fleet)
    await burst_everywhere(fleet)
    await fleet.stop(holder_id)
    await trio.sleep(8.0)
    await burst_everywhere(fleet)


def never_expire_grants(original):
    def accept(self, account, *arguments):
        progress = original(self, account, *arguments)
        for grant in account.grants:
            grant.expires = grant.settle_if_idle_at = math.inf
        return progress

    return accept


def claim_with_full_buckets(original):
    def claim_of(self, row):
        return attrs.evolve(original(self, row), initial=rows.START_FULL)

    return claim_of


def lapse_at_once_if_unlisted(original):
    def has_lapsed(self, row):
        return row.holder.host_id not in self.members.live(self.domain)

    return has_lapsed


def grant_without_deducting(original):
    def grant(self, key, amount, now, expires):
        self.advance(now)
        return min(amount, self.level)

    return grant


def use_without_lease_check(original):
    def usable(self, slot, now):
        return self.held_slots.get(slot)

    return usable


def refund_every_settlement(original):
    def settle(self, key, unspent, now):
        if original(self, key, unspent, now) is None:
            self.level = min(self.burst - self.outstanding, self.level + unspent)

    return settle


def release_with_full_buckets(original):
    def release(self, *arguments):
        return rows.START_FULL

    return release


@attrs.frozen
class Mechanism:
    """Describe how a method is disabled and the schedule that depends on it."""

    cls: type
    method: str
    disable: object
    contract: model.Contract
    schedule: object


MECHANISMS = {
    "the expiry of grants": Mechanism(
        limiter.RateLimiter, "_accept", never_expire_grants, FAST, leave_grants_unspent
    ),
    "an empty start after takeover": Mechanism(
        leases.LeaseManager,
        "_claim_of",
        claim_with_full_buckets,
        SLOW,
        spend_and_crash_holder,
    ),
    "the wait before takeover": Mechanism(
        leases.LeaseManager,
        "_has_lapsed",
        lapse_at_once_if_unlisted,
        FAST,
        suspect_live_holder,
    ),
    "the deduction before a grant": Mechanism(
        bucket.Bucket, "grant", grant_without_deducting, SLOW, request_from_many_hosts
    ),
    "the holder's lease check": Mechanism(
        leases.LeaseManager, "usable", use_without_lease_check, FAST, resume_after_lease
    ),
    "idempotent refunds": Mechanism(
        bucket.Bucket,
        "settle",
        refund_every_settlement,
        SLOW,
        lose_and_duplicate_messages,
    ),
    "bucket levels kept at release": Mechanism(
        held_slot.HeldSlot,
        "levels_for_next_holder",
        release_with_full_buckets,
        SLOW,
        spend_and_stop,
    ),
}


def run(name: str, *, disabled: bool) -> float:
    """Run a mechanism's schedule with or without it and return the excess."""
    mechanism = MECHANISMS[name]

    async def body(fleet):
        await limits_fleet.wait_for_claims(fleet)
        await mechanism.schedule(fleet)
        return fleet.excess()

    patched = contextlib.nullcontext()
    if disabled:
        original = getattr(mechanism.cls, mechanism.method)
        patched = mock.patch.object(
            mechanism.cls, mechanism.method, mechanism.disable(original)
        )
    with patched:
        return limits_fleet.simulate(
            body,
            contracts=[mechanism.contract],
            hosts=8,
            share_lease_s=LEASE_S,
            renew_s=3.0,
        )
