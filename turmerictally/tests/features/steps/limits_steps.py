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
SMALL_TEAM = model.Contract("quiet", 2.0, 8)
TRAFFIC_S = 30.0


def simulate(context, body, contracts=(TEAM,), **options):
    options = {"domains": DOMAINS, "hosts": 12, "slots": 32, **options}

    async def body_after_claims(fleet):
        await limits_fleet.wait_for_claims(fleet)
        await body(fleet)
        context.limits = fleet

    limits_fleet.simulate(body_after_claims, contracts=list(contracts), **options)


async def send(fleet, team, rate, hosts, seconds=TRAFFIC_S, seed=1):
    """Send Poisson arrivals to the hosts that ``hosts`` chooses; return their times."""
    rng = random.Random(seed)
    end = trio.current_time() + seconds
    times = []
    while trio.current_time() < end:
        await trio.sleep(rng.expovariate(rate))
        times.append(trio.current_time())
        fleet.nursery.start_soon(fleet.request, hosts(rng), team)
    return times


def any_host(rng):
    return f"h{rng.randrange(12)}"


def first_host(rng):
    return "h0"


def moving_host(rng):
    return f"h{int(trio.current_time() / 3) % 12}"


TRAFFIC = {"spread": any_host, "on one host": first_host, "moving": moving_host}


@behave.when("the limits run through many generated schedules of faults")
def run_schedules(context):
    context.totals = limits_schedules.run_many(SCHEDULES)


@behave.then("no schedule admitted more than a team's limits")
def assert_no_schedule_excess(context):
    assert context.totals["excess"] == 0.0, context.totals


@behave.then("the schedules admitted requests and caused slot takeovers")
def schedules_had_effect(context):
    assert context.totals["admitted"] > SCHEDULES, context.totals
    assert context.totals["takeovers"] > SCHEDULES / 2, context.totals


@behave.when('the limits schedule for "{mechanism}" runs as built')
def run_with_mechanism(context, mechanism):
    context.excess = limits_mechanisms.run(mechanism, disabled=False)


@behave.when('the limits schedule for "{mechanism}" runs without it')
def run_without_mechanism(context, mechanism):
    context.excess = limits_mechanisms.run(mechanism, disabled=True)


@behave.then("that limits schedule shows no excess")
def shows_no_excess(context):
    assert context.excess == 0.0, context.excess


@behave.then("that limits schedule shows an excess")
def shows_excess(context):
    assert context.excess > 0.0


@behave.when('a team sends at 0.8 of its rate with traffic "{traffic}"')
def send_within_rate(context, traffic):
    async def body(fleet):
        times = await send(fleet, "team", 0.8 * TEAM.rate, TRAFFIC[traffic])
        await trio.sleep(1.0)
        context.admissible = limits_fleet.admitted_by_one_bucket(times, TEAM)

    simulate(context, body)


@behave.then("the limits refuse at most 1 in 100 of its requests")
def refuse_few(context):
    admitted = len(context.limits.admitted)
    assert admitted >= 0.99 * context.admissible, (admitted, context.admissible)


@behave.then("the limits checker finds no excess")
def no_excess(context):
    assert context.limits.excess() == 0.0, context.limits.excess()


@behave.when("a team sends its complete burst at once to one host")
def send_burst(context):
    async def body(fleet):
        for host in ("h0", "h7"):
            before = len(fleet.admitted)
            await limits_mechanisms.burst(fleet, host, TEAM.burst + 1)
            context.bursts.append(len(fleet.admitted) - before)
            context.burst_refusals.append(fleet.refusals[-1])
            await trio.sleep(fleet.refusals[-1].retry_after_s)
            context.retries_admitted.append(await fleet.request(host, "team"))
            await trio.sleep(3.0)

    context.bursts, context.burst_refusals, context.retries_admitted = [], [], []
    simulate(context, body)


@behave.then("every request of the burst is admitted and the next is refused")
def burst_admitted(context):
    assert context.bursts == [TEAM.burst] * 2, context.bursts


@behave.then("the refusal gives a retry time after which a request is admitted")
def refusal_gives_retry_time(context):
    kinds = {error.kind for error in context.burst_refusals}
    assert kinds == {errors.Kind.RATE_LIMITED}, kinds
    assert all(0 < error.retry_after_s < 1.0 for error in context.burst_refusals)
    assert all(context.retries_admitted)


@behave.when("a team sends at 0.8, 5 and 20 times its rate while another sends little")
def send_above(context):
    async def body(fleet):
        sent = fleet.net.sent
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, fleet, "team", load * TEAM.rate, any_host, 15.0)
            nursery.start_soon(send, fleet, "quiet", 1.0, any_host, 15.0)
        await trio.sleep(1.0)
        context.messages.append(fleet.net.sent - sent)
        context.offered.append(len(fleet.admitted) + len(fleet.refusals))

    context.messages, context.offered = [], []
    for load in (0.8, 20.0, 5.0):
        simulate(context, body, contracts=(TEAM, SMALL_TEAM))


@behave.then("a request over the rate causes at most 1.5 times as many limits messages")
def cost_is_no_higher(context):
    costs = [m / n for m, n in zip(context.messages, context.offered, strict=True)]
    assert max(costs[1:]) <= 1.5 * costs[0], costs


@behave.then("the limits messages do not grow from 5 to 20 times the rate")
def cost_does_not_grow(context):
    _, most, more = context.messages
    assert most <= 1.2 * more, context.messages


@behave.then("the limits refuse none of the other team's requests")
def other_team_not_refused(context):
    assert context.limits.refused.get("quiet", 0) == 0, context.limits.refused


@behave.then("the team over its rate is admitted at 0.9 of its rate or more")
def admitted_at_rate(context):
    admitted = sum(1 for _, team in context.limits.admitted if team == "team")
    assert admitted >= 0.9 * TEAM.rate * 15.0, admitted


def slots_per_host(fleet, domain):
    """Return the sorted numbers of slots that a failure domain's hosts hold."""
    members = [host for host in fleet.hosts.values() if host.domain == domain]
    return sorted(len(host.leases.held_slots) for host in members)


@behave.when("hosts join and stop while the limits run")
def hosts_join(context):
    async def body(fleet):
        context.slot_counts = [slots_per_host(fleet, "a")]
        fleet.start("h12", "a")
        await trio.sleep(20.0)
        context.slot_counts.append(slots_per_host(fleet, "a"))
        await fleet.stop("h0")
        await fleet.stop("h4")
        await trio.sleep(20.0)
        context.slot_counts.append(slots_per_host(fleet, "a"))

    simulate(context, body)


@behave.then(
    "every failure domain's limit slots are evenly distributed after each change"
)
def slots_are_even(context):
    assert context.slot_counts == [[10, 11, 11], [8, 8, 8, 8], [16, 16]], (
        context.slot_counts
    )


@behave.when("a host stops while the response to its slots' renewal is in flight")
def stop_during_renewal(context):
    async def body(fleet):
        for row in list(fleet.table.rows.values()):
            if row.value.get("host") == "h0":
                await fleet.table.commit([], [table.Put(row.key, row.value)])
        await fleet.stop("h0")
        rows = fleet.table.rows.values()
        context.still_held = [r.key for r in rows if r.value.get("host") == "h0"]

    simulate(context, body)


@behave.then("the table shows no limit slot held by the stopped host")
def none_still_held(context):
    assert context.still_held == [], context.still_held


async def admitted_in(fleet, seconds, hosts=any_host):
    """Return the requests admitted per second at twice the team's rate."""
    await send(fleet, "team", 2 * TEAM.rate, hosts, 5.0)
    before = len(fleet.admitted)
    await send(fleet, "team", 2 * TEAM.rate, hosts, seconds)
    return (len(fleet.admitted) - before) / seconds


@behave.when("the platform goes down for more than a limits lease")
def platform_goes_down(context):
    async def body(fleet):
        fleet.table.faults.down = True
        await trio.sleep(20.0)
        context.rate_in_outage = await admitted_in(fleet, 10.0)
        await trio.sleep(40.0)
        fleet.refusals.clear()
        context.admitted_after_lease = [
            await fleet.request("h0", "team") for _ in range(5)
        ]
        context.refusal_kinds = {error.kind for error in fleet.refusals}
        fleet.table.faults.down = False
        await trio.sleep(20.0)
        context.rate_after_recovery = await admitted_in(fleet, 10.0)

    simulate(context, body, share_lease_s=60.0, renew_s=5.0)


@behave.then("the limits admit the team's rate during the outage")
def admits_during(context):
    assert 0.9 * TEAM.rate <= context.rate_in_outage <= 1.05 * TEAM.rate, (
        context.rate_in_outage
    )


@behave.then(
    "after the limits lease has expired every request is refused as unavailable"
)
def unavailable_after_lease(context):
    assert not any(context.admitted_after_lease)
    assert context.refusal_kinds == {errors.Kind.LIMITS_UNAVAILABLE}, (
        context.refusal_kinds
    )


@behave.then("the limits admit the team's rate again after the platform recovers")
def admits_after_recovery(context):
    assert context.rate_after_recovery >= 0.9 * TEAM.rate, context.rate_after_recovery
    assert context.limits.excess() == 0.0


@behave.when("two failure domains are partitioned from each other")
def partition_domains(context):
    async def body(fleet):
        side_a = [h for h, host in fleet.hosts.items() if host.domain == "a"]
        side_b = [h for h, host in fleet.hosts.items() if host.domain == "b"]
        fleet.net.separate(side_a, side_b)
        context.rates = {}
        for domain, hosts in (("a", side_a), ("b", side_b)):
            context.rates[domain] = await admitted_in(fleet, 10.0, hosts=any_of(hosts))

    simulate(context, body, domains=("a", "b"), hosts=6)


def any_of(hosts):
    return lambda rng: rng.choice(hosts)


@behave.then("each failure domain admits half of the team's rate")
def each_admits_half(context):
    half = TEAM.rate / 2
    assert all(0.9 * half <= r <= 1.05 * half for r in context.rates.values()), (
        context.rates
    )


def isolate_hosts(fleet, case):
    """Inject a case's fault and return the ids of the hosts to send requests to."""
    if case == "a slow platform":
        fleet.table.faults.delay_s = 1.5
        return list(fleet.hosts)
    isolated = [h for h, host in fleet.hosts.items() if host.domain == "a"]
    if case == "a host alone":
        isolated = [limits_mechanisms.holder_of(fleet)]
    if case != "a domain cut off from the platform":
        fleet.net.separate(isolated, [h for h in fleet.hosts if h not in isolated])
    if case != "a domain cut off from the others":
        for host in isolated:
            fleet.hosts[host].store.is_cut_off = True
    return isolated


@behave.when("the limits run with {case} for longer than a lease")
def run_isolated(context, case):
    async def body(fleet):
        hosts = isolate_hosts(fleet, case)
        home_slots = set(fleet.slot_layout.home_slots(TEAM))
        held_homes = home_slots & fleet.hosts[hosts[0]].leases.held_slots.keys()
        context.own_share = len(held_homes) / len(home_slots)
        context.rate_at_first = await admitted_in(fleet, 8.0, hosts=any_of(hosts))
        await trio.sleep(50.0)
        context.rate_after_lease = await admitted_in(fleet, 8.0, hosts=any_of(hosts))

    simulate(context, body, share_lease_s=40.0, renew_s=5.0)


@behave.then(
    "the limits admit {first} of the rate at first and {later} after the lease"
)
def admitted_when_isolated(context, first, later):
    expected_at_first = context.own_share if first == "own" else float(first)
    for rate, expected in (
        (context.rate_at_first, expected_at_first),
        (context.rate_after_lease, float(later)),
    ):
        assert 0.9 * expected <= rate / TEAM.rate <= 1.05 * expected, (rate, expected)
    assert context.limits.excess() == 0.0


@behave.when("a host that holds limit slots crashes")
def holder_crashes(context):
    async def body(fleet):
        crashed_id = limits_mechanisms.holder_of(fleet)
        home_slots = fleet.slot_layout.home_slots(TEAM)
        lost_slots = set(home_slots) & fleet.hosts[crashed_id].leases.held_slots.keys()
        context.remaining_share = 1 - len(lost_slots) / len(home_slots)
        fleet.kill(crashed_id)
        other_ids = list(fleet.hosts)
        context.rate_after_crash = await admitted_in(
            fleet, 10.0, hosts=any_of(other_ids)
        )
        await fleet.hosts[other_ids[0]].leases.release_dead_host(crashed_id)
        await trio.sleep(10.0)
        context.rate_after_release = await admitted_in(
            fleet, 10.0, hosts=any_of(other_ids)
        )

    simulate(context, body)


@behave.then("the team's admitted rate falls only by the crashed host's share")
def rate_falls_by_share(context):
    expected = TEAM.rate * context.remaining_share
    assert 0.9 * expected <= context.rate_after_crash <= 1.05 * expected, (
        context.rate_after_crash,
        expected,
    )


@behave.then(
    "the share is available within seconds after an operator declares the host dead"
)
def share_back(context):
    assert context.rate_after_release >= 0.95 * TEAM.rate, context.rate_after_release
    assert context.limits.excess() == 0.0


@behave.when("a host joins with a different number of limit slots")
def join_with_other_layout(context):
    async def body(fleet):
        fleet.slot_layout = layout.SlotLayout(DOMAINS, 16, 2)
        host = fleet.start("h12", "a")
        await trio.sleep(10.0)
        context.other_host = host
        try:
            await host.leases.reconcile()
        except errors.Error as error:
            context.layout_error = error

    simulate(context, body)


@behave.then("that host holds no limit slot and reports a conflict")
def holds_no_slot(context):
    assert not context.other_host.leases.held_slots
    assert context.layout_error.kind is errors.Kind.CONFLICT


@behave.when("the limits benchmark runs without faults and with all faults")
def run_benchmark(context):
    context.report = limits_bench.measure(
        ("dalisay",), ("even split", "leased"), ("none", "all")
    )
    limits_bench.check(context.report)


@behave.then("every check of the limits benchmark passes")
def benchmark_passes(context):
    assert context.report.checks and context.report.ok, context.report.text()


@behave.then("the even split refuses more requests within the rate than the leases")
def even_split_refuses_more(context):
    even_split, leased = context.report.rows[:2]
    assert even_split["wrongful"] > 10 * leased["wrongful"], context.report.text()
