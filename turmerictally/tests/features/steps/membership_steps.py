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


def states(fleet, host_id):
    found = set()
    for host in fleet.hosts.values():
        if host.id != host_id:
            member = host.parts.members.lookup(host_id)
            found.add(None if member is None else member.state.name)
    return found


async def until(condition, limit_s):
    began = trio.current_time()
    while not condition() and trio.current_time() - began < limit_s:
        await trio.sleep(0.1)
    return trio.current_time() - began


class Claims:
    """Note which hosts were ever claimed to be in one of some states."""

    def __init__(self, fleet, *wanted):
        self.held = set()
        self.wanted = wanted
        for host in fleet.hosts.values():
            self.wrap(host.parts.members)

    def wrap(self, known):
        merge = known.merge

        def noted(claim):
            news = merge(claim)
            if news and claim.state in self.wanted:
                self.held.add(claim.id)
            return news

        known.merge = noted


@behave.given("{count:d} hosts that know each other")
def given_members(context, count):
    context.run = lambda scenario: config_fleet.run_fleet(scenario, count)


@behave.when("one host crashes")
def when_crash(context):
    async def scenario(fleet):
        old = fleet.hosts["h7"].parts.members.me
        fleet.kill("h7")
        context.death_s = await until(lambda: states(fleet, "h7") == {"DEAD"}, 60)
        new = fleet.start(7)
        known = fleet.hosts["h0"].parts.members

        def is_back():
            found = known.lookup("h7")
            back = found is not None and found.instance == new.instance
            return back and states(fleet, "h7") == {"LIVE"}

        context.return_s = await until(is_back, 60)
        dead = attrs.evolve(old, state=members.State.DEAD)
        fleet.hosts["h3"].parts.members.merge(dead)
        await trio.sleep(5)
        context.still = states(fleet, "h7")

    context.run(scenario)


@behave.then("every other host holds it dead within 8 seconds")
def then_dead(context):
    assert context.death_s < 8, context.death_s


@behave.then("it returns at its address under a new instance within 10 seconds")
def then_back(context):
    assert context.return_s < 10, context.return_s


@behave.then("a late claim about its earlier start changes nothing")
def then_still(context):
    assert context.still == {"LIVE"}, context.still


async def one_way(fleet, indirect=True):
    if not indirect:
        for host in fleet.hosts.values():
            host.parts.members.select_relays = lambda target, count: []
    target = fleet.hosts["h1"]
    for host in fleet.in_domain(target.domain):
        if host is not target:
            fleet.net.cut(host.address, target.address)
    claims = Claims(fleet, members.State.SUSPECT, members.State.DEAD)
    await trio.sleep(120)
    return claims.by_row


@behave.when("one host no longer gets what its own domain sends")
def when_one_way(context):
    context.held = context.run(one_way)


@behave.then("nobody suspects it or holds it dead")
def then_nobody(context):
    assert not context.held, context.held


@behave.then("without indirect pings it is suspected")
def then_direct_only(context):
    async def scenario(fleet):
        return await one_way(fleet, indirect=False)

    assert "h1" in context.run(scenario)


async def lossy(fleet, refute=True):
    if not refute:
        for host in fleet.hosts.values():
            host.parts.members._answer = lambda claim: False
    fleet.net.lose_request = fleet.net.lose_reply = 0.1
    claims = Claims(fleet, members.State.DEAD)
    await trio.sleep(150)
    return claims.by_row


@behave.when("one message in ten is lost for 150 seconds")
def when_lossy(context):
    context.held = context.run(lossy)


@behave.then("no live host was held dead")
def then_none_dead(context):
    assert not context.held, context.held


@behave.then("without refutation of suspicions some were")
def then_some_dead(context):
    async def scenario(fleet):
        return await lossy(fleet, refute=False)

    assert context.run(scenario)


@behave.when("one domain is cut off for 40 seconds while the list is down")
def when_partition(context):
    async def scenario(fleet):
        fleet.platform.hosts.faults.down = True
        inside = fleet.in_domain("luzon-c")
        outside = [host for host in fleet.hosts.values() if host not in inside]
        fleet.separate(inside, outside)
        await trio.sleep(40)
        context.sides = [
            {h.parts.members.lookup(other.id).state.name for h in one for other in two}
            for one, two in ((inside, outside), (outside, inside))
        ]
        fleet.net.heal()
        context.heal_s = await until(
            lambda: all(states(fleet, h) == {"LIVE"} for h in fleet.hosts), 120
        )

    context.run(scenario)


@behave.then("both sides hold each other dead")
def then_sides(context):
    assert context.sides == [{"DEAD"}, {"DEAD"}], context.sides


@behave.then("after it heals everyone knows everyone again")
def then_heals(context):
    assert context.heal_s < 30, context.heal_s


@behave.when("one host leaves")
def when_leaves(context):
    async def scenario(fleet):
        host = fleet.hosts["h5"]
        await host.parts.stop()
        await host.parts.detector.listing.deregister(host.id, host.instance)
        fleet.kill("h5")
        gone = {"LEAVING", "DEAD", None}
        context.leave_s = await until(lambda: states(fleet, "h5") <= gone, 30)
        context.forget_s = await until(lambda: states(fleet, "h5") == {None}, 120)

    context.run(scenario)


@behave.then("it is not live anywhere within 3 seconds")
def then_left(context):
    assert context.leave_s < 3, context.leave_s


@behave.then("it is forgotten later")
def then_forgotten(context):
    assert context.forget_s < 90, context.forget_s


@behave.then("the membership benchmark keeps its bounds at 13 and 40 hosts")
def then_bench(context):
    report = config_fleet.run(membership.run, (13, 40), 12.0)
    assert report.ok, report.text()


@behave.then("pinging every member does not keep them")
def then_all_to_all(context):
    async def main():
        return await membership.run((13, 25), 4.0, all_to_all=True)

    assert not config_fleet.run(main).ok


@behave.then(
    "a host reads the list each 5 s among 13 hosts and at most 1,000 B/s among 400"
)
def then_list_bounded(context):
    options = settings.build(MINIMAL).membership
    intervals = {}
    for count in (13, 400):
        known = types.SimpleNamespace(by_id=dict.fromkeys(range(count - 1)))
        read = types.SimpleNamespace(members=known, config=options)
        intervals[count] = detector.Detector.list_interval(read)
    assert intervals[13] == options.list_poll_s, intervals
    assert 400 * detector.BYTES_PER_LISTED_HOST / intervals[400] <= 1000.0, intervals
