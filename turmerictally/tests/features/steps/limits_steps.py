"""Steps for the limits feature."""

import random

import behave
import trio

from turmerictally import errors
from turmerictally.bench import limits as limits_bench
from turmerictally.config import model
from turmerictally.limits import layout
from turmerictally.store import table
from turmerictally.tests.support import (
    limits_fleet,
    limits_mechanisms,
    limits_schedules,
)

SCHEDULES = 80
DOMAINS = ("a", "b", "c", "d")
TEAM = model.Contract("team", 20.0, 20)
QUIET = model.Contract("quiet", 2.0, 8)
SECONDS = 30.0


def simulate(context, body, contracts=(TEAM,), **options):
    options = {"domains": DOMAINS, "hosts": 12, "slots": 32, **options}

    async def settled(fleet):
        await limits_fleet.wait_for_claims(fleet)
        await body(fleet)
        context.limits = fleet

    limits_fleet.simulate(settled, contracts=list(contracts), **options)


async def send(fleet, team, rate, hosts, seconds=SECONDS, seed=1):
    """Send Poisson arrivals to hosts chosen by time; return their times."""
    rng = random.Random(seed)
    end = trio.current_time() + seconds
    times = []
    while trio.current_time() < end:
        await trio.sleep(rng.expovariate(rate))
        times.append(trio.current_time())
        fleet.nursery.start_soon(fleet.request, hosts(rng), team)
    return times


def on_all(rng):
    return f"h{rng.randrange(12)}"


def on_one(rng):
    return "h0"


def on_moving(rng):
    return f"h{int(trio.current_time() / 3) % 12}"


TRAFFIC = {"spread": on_all, "on one host": on_one, "moving": on_moving}


@behave.when("limits are tried over many schedules of faults")
def try_schedules(context):
    context.totals = limits_schedules.try_many(SCHEDULES)


@behave.then("no schedule admitted an excess over a team's limits")
def no_schedule_excess(context):
    assert context.totals["excess"] == 0.0, context.totals


@behave.then("the limit schedules admitted requests and took slots over")
def schedules_did_something(context):
    assert context.totals["admitted"] > SCHEDULES, context.totals
    assert context.totals["takeovers"] > SCHEDULES / 2, context.totals


@behave.when('the limits schedule for "{mechanism}" runs as built')
def run_as_built(context, mechanism):
    context.excess = limits_mechanisms.run(mechanism, without=False)


@behave.when('the limits schedule for "{mechanism}" runs without it')
def run_without(context, mechanism):
    context.excess = limits_mechanisms.run(mechanism, without=True)


@behave.then("that limits schedule shows no excess")
def shows_no_excess(context):
    assert context.excess == 0.0, context.excess


@behave.then("that limits schedule shows an excess")
def shows_excess(context):
    assert context.excess > 0.0


@behave.when('a team sends at 0.8 of its rate with traffic "{traffic}"')
def send_in_rate(context, traffic):
    async def body(fleet):
        times = await send(fleet, "team", 0.8 * TEAM.rate, TRAFFIC[traffic])
        await trio.sleep(1.0)
        context.in_rate = limits_fleet.admitted_by_one_bucket(times, TEAM)

    simulate(context, body)


@behave.then("the limits refuse at most 1 in 100 of its requests")
def refuse_few(context):
    admitted = len(context.limits.admitted)
    assert admitted >= 0.99 * context.in_rate, (admitted, context.in_rate)


@behave.then("the limits checker finds no excess")
def checker_finds_none(context):
    assert context.limits.excess() == 0.0, context.limits.excess()


@behave.when("a team sends its whole burst at once to one host")
def send_burst(context):
    async def body(fleet):
        for host in ("h0", "h7"):
            before = len(fleet.admitted)
            await limits_mechanisms.burst(fleet, host, TEAM.burst + 1)
            context.bursts.append(len(fleet.admitted) - before)
            context.waits.append(fleet.refusals[-1])
            await trio.sleep(fleet.refusals[-1].retry_after_s)
            context.returns.append(await fleet.request(host, "team"))
            await trio.sleep(3.0)

    context.bursts, context.waits, context.returns = [], [], []
    simulate(context, body)


@behave.then("every request of the burst is admitted and the next is refused")
def burst_admitted(context):
    assert context.bursts == [TEAM.burst] * 2, context.bursts


@behave.then("the limits refusal names a time at which a request is admitted")
def refusal_names_time(context):
    kinds = {error.kind for error in context.waits}
    assert kinds == {errors.Kind.RATE_LIMITED}, kinds
    assert all(0 < error.retry_after_s < 1.0 for error in context.waits)
    assert all(context.returns)


@behave.when("a team sends at 0.8, 5 and 20 times its rate beside a quiet team")
def send_above(context):
    async def body(fleet):
        sent = fleet.net.sent
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, fleet, "team", load * TEAM.rate, on_all, 15.0)
            nursery.start_soon(send, fleet, "quiet", 1.0, on_all, 15.0)
        await trio.sleep(1.0)
        context.messages.append(fleet.net.sent - sent)
        context.offered.append(len(fleet.admitted) + len(fleet.refusals))

    context.messages, context.offered = [], []
    for load in (0.8, 20.0, 5.0):
        simulate(context, body, contracts=(TEAM, QUIET))


@behave.then("a request above the rate costs at most 1.5 times the limits messages")
def cost_is_no_higher(context):
    costs = [m / n for m, n in zip(context.messages, context.offered, strict=True)]
    assert max(costs[1:]) <= 1.5 * costs[0], costs


@behave.then("the limits messages do not grow from 5 to 20 times the rate")
def cost_does_not_grow(context):
    _, most, more = context.messages
    assert most <= 1.2 * more, context.messages


@behave.then("the quiet team has no request refused by the limits")
def quiet_not_refused(context):
    assert context.limits.refused.get("quiet", 0) == 0, context.limits.refused


@behave.then("the team above its rate is admitted at 0.9 of its rate or more")
def admitted_at_rate(context):
    admitted = sum(1 for _, team in context.limits.admitted if team == "team")
    assert admitted >= 0.9 * TEAM.rate * 15.0, admitted


def spread_of(fleet, domain):
    """Return how many slots each of a failure domain's hosts holds, sorted."""
    members = [host for host in fleet.hosts.values() if host.domain == domain]
    return sorted(len(host.leases.held_slots) for host in members)


@behave.when("hosts join and stop while the limits run")
def hosts_join(context):
    async def body(fleet):
        context.spreads = [spread_of(fleet, "a")]
        fleet.start("h12", "a")
        await trio.sleep(20.0)
        context.spreads.append(spread_of(fleet, "a"))
        await fleet.stop("h0")
        await fleet.stop("h4")
        await trio.sleep(20.0)
        context.spreads.append(spread_of(fleet, "a"))

    simulate(context, body)


@behave.then("every failure domain's limit slots are spread evenly after each change")
def spread_evenly(context):
    assert context.spreads == [[10, 11, 11], [8, 8, 8, 8], [16, 16]], context.spreads


@behave.when("a host stops while the answer of its slots' renewal is on the way")
def stop_during_renewal(context):
    async def body(fleet):
        for row in list(fleet.table.rows.values()):
            if row.value.get("host") == "h0":
                await fleet.table.commit([], [table.Put(row.key, row.value)])
        await fleet.stop("h0")
        rows = fleet.table.rows.values()
        context.left = [r.key for r in rows if r.value.get("host") == "h0"]

    simulate(context, body)


@behave.then("none of the stopped host's limit slots is still held in the table")
def none_left(context):
    assert context.left == [], context.left


async def admitted_in(fleet, seconds, hosts=on_all):
    """Return how many requests are admitted per second of steady excess load."""
    await send(fleet, "team", 2 * TEAM.rate, hosts, 5.0)
    before = len(fleet.admitted)
    await send(fleet, "team", 2 * TEAM.rate, hosts, seconds)
    return (len(fleet.admitted) - before) / seconds


@behave.when("the platform is down for half of a limits lease")
def platform_down(context):
    async def body(fleet):
        fleet.table.faults.down = True
        await trio.sleep(20.0)
        context.during = await admitted_in(fleet, 10.0)
        await trio.sleep(40.0)
        fleet.refusals.clear()
        context.late = [await fleet.request("h0", "team") for _ in range(5)]
        context.kinds = {error.kind for error in fleet.refusals}
        fleet.table.faults.down = False
        await trio.sleep(20.0)
        context.healed = await admitted_in(fleet, 10.0)

    simulate(context, body, share_lease_s=60.0, renew_s=5.0)


@behave.then("the limits admit the team's rate during the outage")
def admits_during(context):
    assert 0.9 * TEAM.rate <= context.during <= 1.05 * TEAM.rate, context.during


@behave.then("after the limits lease has ended every request is refused as unavailable")
def unavailable_late(context):
    assert not any(context.late)
    assert context.kinds == {errors.Kind.LIMITS_UNAVAILABLE}, context.kinds


@behave.then("the limits admit again after the platform heals")
def admits_healed(context):
    assert context.healed >= 0.9 * TEAM.rate, context.healed
    assert context.limits.excess() == 0.0


@behave.when("the limits of two failure domains are cut off from each other")
def domains_cut(context):
    async def body(fleet):
        one = [h for h, host in fleet.hosts.items() if host.domain == "a"]
        other = [h for h, host in fleet.hosts.items() if host.domain == "b"]
        fleet.net.separate(one, other)
        context.rates = {}
        for domain, hosts in (("a", one), ("b", other)):
            context.rates[domain] = await admitted_in(fleet, 10.0, hosts=pick(hosts))

    simulate(context, body, domains=("a", "b"), hosts=6)


def pick(hosts):
    return lambda rng: rng.choice(hosts)


@behave.then("each failure domain admits its own half of the team's rate")
def half_each(context):
    half = TEAM.rate / 2
    assert all(0.9 * half <= r <= 1.05 * half for r in context.rates.values()), (
        context.rates
    )


def cut_off(fleet, case):
    """Bring a case about and return the hosts that are sent requests."""
    if case == "a slow platform":
        fleet.table.faults.delay_s = 1.5
        return list(fleet.hosts)
    cut = [h for h, host in fleet.hosts.items() if host.domain == "a"]
    if case == "a host alone":
        cut = [limits_mechanisms.holder(fleet)]
    if case != "a domain cut off from the platform":
        fleet.net.separate(cut, [h for h in fleet.hosts if h not in cut])
    if case != "a domain cut off from the others":
        for host in cut:
            fleet.hosts[host].store.cut = True
    return cut


@behave.when("the limits run with {case} for longer than a lease")
def run_cut_off(context, case):
    async def body(fleet):
        hosts = cut_off(fleet, case)
        homes = set(fleet.slot_layout.home_slots(TEAM))
        own = homes & fleet.hosts[hosts[0]].leases.held_slots.keys()
        context.own = len(own) / len(homes)
        context.first = await admitted_in(fleet, 8.0, hosts=pick(hosts))
        await trio.sleep(50.0)
        context.later = await admitted_in(fleet, 8.0, hosts=pick(hosts))

    simulate(context, body, share_lease_s=40.0, renew_s=5.0)


@behave.then(
    "the limits admit {first} of the rate at first and {later} after the lease"
)
def admitted_when_cut_off(context, first, later):
    wanted = context.own if first == "own" else float(first)
    for rate, part in ((context.first, wanted), (context.later, float(later))):
        assert 0.9 * part <= rate / TEAM.rate <= 1.05 * part, (rate, part)
    assert context.limits.excess() == 0.0


@behave.when("a host that holds limit slots dies")
def holder_dies(context):
    async def body(fleet):
        victim = limits_mechanisms.holder(fleet)
        homes = fleet.slot_layout.home_slots(TEAM)
        lost = set(homes) & fleet.hosts[victim].leases.held_slots.keys()
        context.share = 1 - len(lost) / len(homes)
        fleet.kill(victim)
        rest = list(fleet.hosts)
        context.after = await admitted_in(fleet, 10.0, hosts=pick(rest))
        await fleet.hosts[rest[0]].leases.release_dead_host(victim)
        await trio.sleep(10.0)
        context.freed = await admitted_in(fleet, 10.0, hosts=pick(rest))

    simulate(context, body)


@behave.then("the team's admitted rate falls by the dead host's share alone")
def falls_by_share(context):
    left = TEAM.rate * context.share
    assert 0.9 * left <= context.after <= 1.05 * left, (context.after, left)


@behave.then(
    "the share is back within seconds after an operator declares the host dead"
)
def share_back(context):
    assert context.freed >= 0.95 * TEAM.rate, context.freed
    assert context.limits.excess() == 0.0


@behave.when("a host joins with another number of limit slots")
def other_layout(context):
    async def body(fleet):
        fleet.slot_layout = layout.SlotLayout(DOMAINS, 16, 2)
        host = fleet.start("h12", "a")
        await trio.sleep(10.0)
        context.odd = host
        try:
            await host.leases.reconcile()
        except errors.Error as error:
            context.odd_error = error

    simulate(context, body)


@behave.then("that host holds no limit slot and reports a conflict")
def holds_none(context):
    assert not context.odd.leases.held_slots
    assert context.odd_error.kind is errors.Kind.CONFLICT


@behave.when("the limits benchmark runs calm and with all faults")
def run_benchmark(context):
    context.report = limits_bench.measure(
        ("dalisay",), ("even split", "leased"), ("none", "all")
    )
    limits_bench.check(context.report)


@behave.then("every check of the limits benchmark holds")
def benchmark_holds(context):
    assert context.report.checks and context.report.ok, context.report.text()


@behave.then("the even split refuses more requests inside the rate than the leases")
def even_split_is_worse(context):
    split, leased = context.report.rows[:2]
    assert split["wrongful"] > 10 * leased["wrongful"], context.report.text()
