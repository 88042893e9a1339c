"""Steps for entry hosts that send to cold servers."""

import bisect

import behave
import trio

from turmerictally.scheduling import server_rates
from turmerictally.tests.support import users_platform

PER_S, SLACK, WARM_UP_S = 3, 5, 3.0
COLD_S = 3.0
EVENTS = 10
OUTAGE_S = 4.0


def service(**limits):
    return {"services": [{"name": "llm", "coldStartS": 3.0, "coldPerS": 3} | limits]}


def is_cold(world, name="s0"):
    now = trio.current_time()
    return [h.availability.budgets.is_cold(name, now) for h in world.hosts.values()]


@behave.given("four hosts and three servers that take 3 requests a second while cold")
def four_hosts(context):
    pass


@behave.when("one reports that it is cold for 3 s while {load}")
def says_cold(context, load):
    async def ask(world, n):
        await users_platform.Caller(world, n).ask()

    async def main(world):
        world.configure(**service())
        for server in world.servers.values():
            server.events = EVENTS
        # By then the hosts know each other's rows.
        await trio.sleep(server_rates.VIEW_SETTLE_S + 1.0)
        server = world.servers["s0"]
        server.cold_ms = COLD_S * 1000
        server.register()
        context.cold_until = trio.current_time() + COLD_S
        await trio.sleep(0.2)
        if "breaks" in load:
            world.servers["s1"].break_after = 2
        async with trio.open_nursery() as nursery:
            if "items" in load:
                for n in range(20):
                    body, _ = users_platform.lot(world, 30, name=f"j{n}-")
                    caller = users_platform.Caller(world, n % 4)
                    await caller.ask("/night/x", body=body, request_id=f"job-{n}")
            for n in range(240 if "items" not in load else 24):
                nursery.start_soon(ask, world, n % 4)
                await trio.sleep(6.0 / (240 if "items" not in load else 24))

    context.world = users_platform.play(main, hosts=4, servers=3)


def peak_rate(times):
    times = sorted(times)
    return max(
        (bisect.bisect_left(times, at + 1.0) - n for n, at in enumerate(times)),
        default=0,
    )


@behave.then(
    "until then it gets at least one request and in any second at most {per_s:d} plus "
    "{slack:d}"
)
def within(context, per_s, slack):
    times = [run.at for run in context.world.servers["s0"].runs]
    times = [at for at in times if at < context.cold_until]
    assert 1 <= peak_rate(times) <= per_s + slack, peak_rate(times)


@behave.then("it gets more than that in a second afterwards")
def more_afterwards(context):
    times = [run.at for run in context.world.servers["s0"].runs]
    peak = peak_rate([t for t in times if t >= context.cold_until])
    assert peak > PER_S + SLACK, peak


@behave.when("this happens to a server: it {event}")
def event(context, event):
    async def main(world):
        server = world.servers["s0"]
        limits = {"coldPerS": 0} if "without a rate" in event else {}
        if "at rate" in event:
            limits = {"coldPerS": float(event.split(" ")[-1])}
        world.configure(**service(**limits))
        await trio.sleep(1.0)
        if event.startswith("registers for the first time"):
            if "history" in event:
                world.store.forget_history()
            server = users_platform.Server(world, "s9", "10.9.0.9:80")
            server.register()
        elif event.startswith("starts again"):
            server.born += 1
            server.register()
        elif "evacuation" in event:
            world.store.put("op", "evacuate/a", b"{}")
            await trio.sleep(1.0)
            world.store.put("op", "evacuate/a", None)
        elif "outage" in event:
            world.store.faults.down = True
            await trio.sleep(OUTAGE_S)
            world.store.put("servers", server.name, None)
            world.store.faults.down = False
            # Longer than a lapsed registration is kept.
            await trio.sleep(OUTAGE_S)
            assert server.name not in world.hosts[0].registry.servers
            server.register()
        elif "said" in event or "says" in event:
            server.cold_ms = 2000
            server.register()
            if "said" in event:
                await trio.sleep(2.0)
            if "then" in event:
                await trio.sleep(0.3)
                server.cold_ms = 0
                server.register()
        await trio.sleep(0.5)
        context.states = is_cold(world, server.name)

    users_platform.play(main, hosts=4, servers=4)


@behave.then("it is {state} at the hosts")
def state_is(context, state):
    assert context.states == [state == "cold"] * 4, context.states


@behave.when("a server registers with a warm-up time of {time}")
def odd_time(context, time):
    async def main(world):
        world.configure(**service())
        await trio.sleep(1.0)
        server = world.servers["s0"]
        server.cold_ms = "TIME"
        put = world.store.put
        world.store.put = lambda table, key, value: put(
            table, key, value.replace(b'"TIME"', time.encode())
        )
        server.register()
        server.register()
        await trio.sleep(0.5)
        context.loads = [
            len(h.inflight.server_loads("llm")) for h in world.hosts.values()
        ]
        context.states = is_cold(world)
        context.remaining_s = [
            found.until - trio.current_time()
            for host in world.hosts.values()
            for found in host.availability.budgets.servers.values()
        ]
        context.lines = [line for h in world.hosts.values() for line in h.lines]

    users_platform.play(main)


@behave.then("it is {state}, and {line} is logged")
def odd_state(context, state, line):
    if state == "used as before":
        assert context.loads == [2, 2] and not any(context.states)
    else:
        assert all(context.states)
        assert all(
            0 < remaining <= server_rates.MAX_COLD_S
            for remaining in context.remaining_s
        )
    logged = [entry for entry in context.lines if entry["event"] == line]
    # Logged once per host rather than with every heartbeat.
    assert [entry["server"] for entry in logged] == ["s0", "s0"], logged


@behave.when("the configuration's rate of cold servers is {rate}")
def odd_rate(context, rate):
    async def main(world):
        put = world.store.put
        world.store.put = lambda table, key, value: put(
            table, key, value.replace(b'"RATE"', rate.encode())
        )
        world.configure(**service(coldPerS="RATE"))
        await trio.sleep(1.0)
        context.found = [
            (
                h.active_configuration.current.version,
                h.active_configuration.current.services["llm"],
            )
            for h in world.hosts.values()
        ]
        context.version = world.version

    users_platform.play(main)


@behave.then("the configuration is applied without a limit for cold servers")
def no_rate(context):
    for version, found in context.found:
        assert version == context.version
        assert found.cold_per_s == 0 and found.warm_up_s == WARM_UP_S, found
