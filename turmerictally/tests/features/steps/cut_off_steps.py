"""Steps for configuration during store outages and network partitions."""

import behave
import trio

from turmerictally import errors
from turmerictally.config import model
from turmerictally.tests.support import config_fleet

DOMAIN = "luzon-b"
MAX_STALENESS_S = 40.0


def inject_fault(fleet, fault):
    inside = fleet.in_domain(DOMAIN)
    outside = [h for h in fleet.hosts.values() if h.domain != DOMAIN]
    if fault == "platform slow":
        fleet.platform.table.faults.delay_s = 0.8
    if fault == "platform down for everyone":
        fleet.platform.table.faults.down = fleet.platform.hosts.faults.down = True
    if fault in (
        "no platform",
        "no other domains or platform",
        "no peers, no platform",
    ):
        for host in inside:
            host.cut_from_platform = True
    if fault in (
        "no other domains",
        "no other domains or platform",
        "no peers, no platform",
    ):
        fleet.separate(inside, outside)
    if fault == "no peers, no platform":
        fleet.separate(inside[:1], inside[1:])
    if fault == "inbound from others blocked":
        for host in inside:
            for other in outside:
                fleet.net.cut(other.address, host.address)


def clear_faults(fleet):
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


def authenticate(host, secret):
    try:
        host.parts.keys.authenticate(secret.text)
    except errors.Error as error:
        return error.kind.value
    return "served"


@behave.given("8 hosts in 4 failure domains, with this fault in luzon-b: {fault}")
def run_with_fault(context, fault):
    async def scenario(fleet):
        ops = fleet.hosts["h0"].parts.operations
        await ops.put("ann", model.Contract("vanua", 5.0, 10))
        secret = (await ops.give_key("ann", "vanua")).secret
        await trio.sleep(5)
        inject_fault(fleet, fault)
        await trio.sleep(1)
        context.other_domain_status = await try_change(fleet.hosts["h2"], "elsewhere")
        context.luzon_b_status = await try_change(fleet.hosts["h1"], "there")
        context.responses_when_fresh = {
            authenticate(h, secret) for h in fleet.in_domain(DOMAIN)
        }
        await trio.sleep(10)
        context.status_after_10_s = context.other_domain_status
        if context.other_domain_status == "pending":
            outcome = await fleet.hosts["h2"].parts.operations.status(3)
            context.status_after_10_s = outcome.status.value
        await trio.sleep(MAX_STALENESS_S - 5)
        context.responses_when_stale = {
            authenticate(h, secret) for h in fleet.in_domain(DOMAIN)
        }
        clear_faults(fleet)
        await trio.sleep(12)
        newest = fleet.platform.table.rows["config/head"].value["version"]
        context.recovered = {
            (h.version - newest, h.may_serve) for h in all_hosts(fleet)
        }

    config = {"max_staleness_s": MAX_STALENESS_S}
    config_fleet.run_fleet(scenario, 8, config=config)


def all_hosts(fleet):
    return fleet.hosts.values()


@behave.then(
    "a change made in another domain is {result} within the acceptance time-out"
)
def status_in_other_domain(context, result):
    assert context.other_domain_status == result, context.other_domain_status


@behave.then("ten seconds later its status is {result}")
def status_after_10_s(context, result):
    assert context.status_after_10_s == result, context.status_after_10_s


@behave.then("a change made in luzon-b is {result}")
def status_in_luzon_b(context, result):
    assert context.luzon_b_status == result, context.luzon_b_status


@behave.then("within the staleness limit luzon-b accepts the key")
def accepts_key_when_fresh(context):
    assert context.responses_when_fresh == {"served"}, context.responses_when_fresh


@behave.then("after the staleness limit luzon-b responds {result}")
def responds_when_stale(context, result):
    assert context.responses_when_stale == {result}, context.responses_when_stale


@behave.then("after recovery every host serves with the newest version")
def recovered(context):
    assert context.recovered == {(0, True)}, context.recovered


@behave.then("it applies the newest version among its peers and serves")
def applies_newest(context):
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
        starting = fleet.start(8)
        with trio.fail_after(10):
            while not starting.started:
                await trio.sleep(0.1)
        return lagging.version, starting.version, starting.may_serve

    assert config_fleet.run_fleet(scenario, 5)[1:] == (2, True)


@behave.then("without peers it is not ready")
def not_ready_alone(context):
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
