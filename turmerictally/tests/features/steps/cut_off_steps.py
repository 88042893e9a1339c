import behave
import trio

from turmerictally import errors
from turmerictally.config import model
from turmerictally.tests.support import config_fleet

DOMAIN = "luzon-b"
LIMIT_S = 40.0


def apply_cut(fleet, cut):
    inside = fleet.in_domain(DOMAIN)
    outside = [h for h in fleet.hosts.values() if h.domain != DOMAIN]
    if cut == "platform slow":
        fleet.platform.table.faults.delay_s = 0.8
    if cut == "platform down for everyone":
        fleet.platform.table.faults.down = fleet.platform.hosts.faults.down = True
    if cut in ("no platform", "neither", "neither, each host alone"):
        for host in inside:
            host.cut_from_platform = True
    if cut in ("no other domains", "neither", "neither, each host alone"):
        fleet.separate(inside, outside)
    if cut == "neither, each host alone":
        fleet.separate(inside[:1], inside[1:])
    if cut == "nothing comes in from others":
        for host in inside:
            for other in outside:
                fleet.net.cut(other.address, host.address)


def heal(fleet):
    fleet.net.heal()
    fleet.platform.table.faults.delay_s = 0.0
    fleet.platform.table.faults.down = fleet.platform.hosts.faults.down = False
    for host in fleet.hosts.values():
        host.cut_from_platform = False


async def try_change(host, team):
    try:
        outcome = await host.parts.operations.put("ann", model.Contract(team, 1.0, 1))
    except errors.Error as error:
        return error.kind.value
    return outcome.status.value


def answer(host, secret):
    try:
        host.parts.keys.authenticate(secret.text)
    except errors.Error as error:
        return error.kind.value
    return "served"


@behave.given("8 hosts in 4 domains, of which luzon-b meets: {cut}")
def given_cut(context, cut):
    async def scenario(fleet):
        ops = fleet.hosts["h0"].parts.operations
        await ops.put("ann", model.Contract("vanua", 5.0, 10))
        secret = (await ops.give_key("ann", "vanua")).secret
        await trio.sleep(5)
        apply_cut(fleet, cut)
        await trio.sleep(1)
        context.elsewhere = await try_change(fleet.hosts["h2"], "elsewhere")
        context.there = await try_change(fleet.hosts["h1"], "there")
        context.soon = {answer(h, secret) for h in fleet.in_domain(DOMAIN)}
        await trio.sleep(10)
        context.later = context.elsewhere
        if context.elsewhere == "pending":
            outcome = await fleet.hosts["h2"].parts.operations.status(3)
            context.later = outcome.status.value
        await trio.sleep(LIMIT_S - 5)
        context.late = {answer(h, secret) for h in fleet.in_domain(DOMAIN)}
        heal(fleet)
        await trio.sleep(12)
        newest = fleet.platform.table.rows["config/head"].value["version"]
        context.healed = {(h.version - newest, h.may_serve) for h in iterate(fleet)}

    config = {"max_staleness_s": LIMIT_S}
    config_fleet.run_fleet(scenario, 8, config=config)


def iterate(fleet):
    return fleet.hosts.values()


@behave.then("a change made elsewhere is {result} within the acceptance time-out")
def then_elsewhere(context, result):
    assert context.elsewhere == result, context.elsewhere


@behave.then("ten seconds later it is {result}")
def then_elsewhere_later(context, result):
    assert context.later == result, context.later


@behave.then("a change made in luzon-b is {result}")
def then_there(context, result):
    assert context.there == result, context.there


@behave.then("within the staleness limit luzon-b serves keys")
def then_soon(context):
    assert context.soon == {"served"}, context.soon


@behave.then("after the staleness limit luzon-b answers {result}")
def then_late(context, result):
    assert context.late == {result}, context.late


@behave.then("after healing every host serves on the newest version")
def then_healed(context):
    assert context.healed == {(0, True)}, context.healed


@behave.then("it takes the highest version among its peers and serves")
def then_highest(context):
    async def scenario(fleet):
        ops = fleet.hosts["h0"].parts.operations
        await ops.put("ann", model.Contract("vanua", 5.0, 10))
        lagging = fleet.hosts["h4"]
        lagging.cut_from_platform = True
        fleet.separate([lagging], [h for h in fleet.hosts.values() if h is not lagging])
        await ops.put("ann", model.Contract("vanua", 6.0, 10))
        await trio.sleep(2)
        fleet.platform.table.faults.down = fleet.platform.hosts.faults.down = True
        fleet.net.heal()
        fleet.seeds = [fleet.address(number) for number in (4, 1, 2)]
        new = fleet.start(8)
        with trio.fail_after(10):
            while not new.started:
                await trio.sleep(0.1)
        return lagging.version, new.version, new.may_serve

    assert config_fleet.run_fleet(scenario, 5)[1:] == (2, True)


@behave.then("alone it is not ready")
def then_alone(context):
    async def scenario(fleet):
        fleet.platform.table.faults.down = fleet.platform.hosts.faults.down = True
        alone = fleet.start(8)
        await trio.sleep(60)
        try:
            alone.parts.sync.ready()
        except errors.Error as error:
            return error.kind
        return None

    assert config_fleet.run_fleet(scenario, 4) is errors.Kind.NOT_READY
