import types

import attrs
import behave
import trio

from turmerictally import settings
from turmerictally.bench import membership
from turmerictally.membership import detector, members
from turmerictally.tests.support import config_fleet

MINIMAL = {
    "host_id": "h",
    "region": "r",
    "failure_domain": "d",
    "peer_secret": "s",
    "platform": {"url": "http://127.0.0.1:1"},
}


def states_seen(fleet, host_id):
    """Return the states in which the other hosts see a host; None if unknown."""
    names = set()
    for host in fleet.hosts.values():
        if host.id != host_id:
            member = host.parts.members.lookup(host_id)
            names.add(None if member is None else member.state.name)
    return names


async def wait_until(condition, timeout_s):
    """Wait until the condition holds or the time-out; return the seconds waited."""
    started = trio.current_time()
    while not condition() and trio.current_time() - started < timeout_s:
        await trio.sleep(0.1)
    return trio.current_time() - started


class ClaimRecorder:
    """Record the ids of hosts claimed at any time to be in one of the given states."""

    def __init__(self, fleet, *recorded_states):
        self.host_ids = set()
        self.recorded_states = recorded_states
        for host in fleet.hosts.values():
            self.wrap(host.parts.members)

    def wrap(self, membership):
        merge = membership.merge

        def merge_and_record(claim):
            is_new = merge(claim)
            if is_new and claim.state in self.recorded_states:
                self.host_ids.add(claim.id)
            return is_new

        membership.merge = merge_and_record


@behave.given("{count:d} hosts that are members of one fleet")
def given_members(context, count):
    context.run = lambda scenario: config_fleet.run_fleet(scenario, count)


@behave.when("one host crashes")
def when_crash(context):
    async def scenario(fleet):
        old_claim = fleet.hosts["h7"].parts.members.me
        fleet.kill("h7")
        context.detection_s = await wait_until(
            lambda: states_seen(fleet, "h7") == {"DEAD"}, 60
        )
        restarted = fleet.start(7)
        membership = fleet.hosts["h0"].parts.members

        def is_back():
            member = membership.lookup("h7")
            is_new = member is not None and member.instance == restarted.instance
            return is_new and states_seen(fleet, "h7") == {"LIVE"}

        context.rejoin_s = await wait_until(is_back, 60)
        dead_claim = attrs.evolve(old_claim, state=members.State.DEAD)
        fleet.hosts["h3"].parts.members.merge(dead_claim)
        await trio.sleep(5)
        context.states_after_late_claim = states_seen(fleet, "h7")

    context.run(scenario)


@behave.then("every other host declares it dead within 8 seconds")
def then_dead(context):
    assert context.detection_s < 8, context.detection_s


@behave.then("it rejoins at its address as a new instance within 10 seconds")
def then_back(context):
    assert context.rejoin_s < 10, context.rejoin_s


@behave.then("a late claim about its earlier instance changes nothing")
def then_still(context):
    assert context.states_after_late_claim == {"LIVE"}, context.states_after_late_claim


async def cut_one_way(fleet, indirect_pings=True):
    if not indirect_pings:
        for host in fleet.hosts.values():
            host.parts.members.select_relays = lambda target, count: []
    target = fleet.hosts["h1"]
    for host in fleet.in_domain(target.domain):
        if host is not target:
            fleet.net.cut(host.address, target.address)
    claims = ClaimRecorder(fleet, members.State.SUSPECT, members.State.DEAD)
    await trio.sleep(120)
    return claims.host_ids


@behave.when("one host receives nothing from its own failure domain")
def when_one_way(context):
    context.claimed_host_ids = context.run(cut_one_way)


@behave.then("no host suspects it or declares it dead")
def then_nobody(context):
    assert not context.claimed_host_ids, context.claimed_host_ids


@behave.then("without indirect pings it is suspected")
def then_direct_only(context):
    async def scenario(fleet):
        return await cut_one_way(fleet, indirect_pings=False)

    assert "h1" in context.run(scenario)


async def lose_messages(fleet, refute=True):
    if not refute:
        for host in fleet.hosts.values():
            host.parts.members._refute = lambda claim: False
    fleet.net.lose_request = fleet.net.lose_reply = 0.1
    claims = ClaimRecorder(fleet, members.State.DEAD)
    await trio.sleep(150)
    return claims.host_ids


@behave.when("one message in ten is lost for 150 seconds")
def when_lossy(context):
    context.claimed_host_ids = context.run(lose_messages)


@behave.then("no live host was declared dead")
def then_none_dead(context):
    assert not context.claimed_host_ids, context.claimed_host_ids


@behave.then("without refutation some are")
def then_some_dead(context):
    async def scenario(fleet):
        return await lose_messages(fleet, refute=False)

    assert context.run(scenario)


@behave.when(
    "one failure domain is cut off for 40 seconds while the host list is unavailable"
)
def when_partition(context):
    async def scenario(fleet):
        fleet.platform.hosts.faults.down = True
        minority = fleet.in_domain("luzon-c")
        majority = [host for host in fleet.hosts.values() if host not in minority]
        fleet.separate(minority, majority)
        await trio.sleep(40)
        context.states_across = [
            {
                h.parts.members.lookup(other.id).state.name
                for h in side
                for other in opposite
            }
            for side, opposite in ((minority, majority), (majority, minority))
        ]
        fleet.net.heal()
        context.heal_duration_s = await wait_until(
            lambda: all(states_seen(fleet, h) == {"LIVE"} for h in fleet.hosts), 120
        )

    context.run(scenario)


@behave.then("both sides declare each other dead")
def then_sides(context):
    assert context.states_across == [{"DEAD"}, {"DEAD"}], context.states_across


@behave.then("after it heals every host sees all others live")
def then_heals(context):
    assert context.heal_duration_s < 30, context.heal_duration_s


@behave.when("one host leaves")
def when_leaves(context):
    async def scenario(fleet):
        host = fleet.hosts["h5"]
        await host.parts.stop()
        await host.parts.detector.listing.deregister(host.id, host.instance)
        fleet.kill("h5")
        not_live = {"LEAVING", "DEAD", None}
        context.leaving_s = await wait_until(
            lambda: states_seen(fleet, "h5") <= not_live, 30
        )
        context.removal_s = await wait_until(
            lambda: states_seen(fleet, "h5") == {None}, 120
        )

    context.run(scenario)


@behave.then("no host sees it as live after 3 seconds")
def then_left(context):
    assert context.leaving_s < 3, context.leaving_s


@behave.then("it is removed from the members within 90 seconds")
def then_forgotten(context):
    assert context.removal_s < 90, context.removal_s


@behave.then("the membership benchmark is within its bounds at 13 and 40 hosts")
def then_bench(context):
    report = config_fleet.run(membership.run, (13, 40), 12.0)
    assert report.ok, report.text()


@behave.then("pinging every member in each round exceeds them")
def then_all_to_all(context):
    async def main():
        return await membership.run((13, 25), 4.0, all_to_all=True)

    assert not config_fleet.run(main).ok


@behave.then(
    "a host reads the list every 5 s among 13 hosts and at most 1,000 B/s among 400"
)
def then_list_bounded(context):
    options = settings.build(MINIMAL).membership
    intervals = {}
    for count in (13, 400):
        fleet_members = types.SimpleNamespace(by_id=dict.fromkeys(range(count - 1)))
        stand_in = types.SimpleNamespace(members=fleet_members, config=options)
        intervals[count] = detector.Detector.list_interval(stand_in)
    assert intervals[13] == options.list_poll_s, intervals
    assert 400 * detector.BYTES_PER_LISTED_HOST / intervals[400] <= 1000.0, intervals
