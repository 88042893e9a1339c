"""Steps for servers that leave while hosts have trouble with the store."""

import behave
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally.entry import contact, model, registry, trace
from turmerictally.store import rows
from turmerictally.tests.support import users_platform

DRAIN_S = 2.0  # a server that leaves serves on for this long
TOUCH_S = 3.0  # without trouble before a bound in time holds for a host
REMOVED_AFTER_S = 2.0  # the registration of a server that said it drains
ASK_S = 0.1  # between two requests of one host
ASKED_S = 1.5  # for which hosts are asked once nothing may reach the server
EVENTS = 5  # of an answer, so that many requests fit
SEEDS = range(2)  # they shift the polls against the trouble


def harm(world, trouble, name):
    """Let the store treat a host badly; ``cut off`` leaves its open calls only."""
    if trouble == "refused":
        world.store.refused.add(name)
    elif trouble == "silenced":
        world.store.silence(name)
    else:
        world.store.hang(name)


def heal(world, name):
    world.store.refused.discard(name)
    world.store.silenced.discard(name)


async def leave(world, leaves):
    server = world.servers["s0"]
    if leaves == "drains":
        server.state = "draining"
        server.register()
        await trio.sleep(REMOVED_AFTER_S)
    world.store.put("servers", server.name, None)


async def ask_often(world, asked, until):
    """Ask each host now and then; note in ``asked`` which host got which request."""

    async def ask(n, name):
        asked[name] = n
        await users_platform.Caller(world, n).ask(request_id=name)

    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            for n in world.hosts:
                nursery.start_soon(ask, n, world.new_id())
            await trio.sleep(ASK_S)


def play(seed, count, trouble, for_s, leaves, after_s):
    """Return the world, the host of each request, and by host the last time allowed."""
    asked, bounds = {}, {}

    async def main(world):
        names = list(world.hosts)[:count]
        for server in world.servers.values():
            server.events = EVENTS
        await trio.sleep(seed * 0.37)
        begun = trio.current_time()
        healed = begun + for_s
        left = healed + after_s
        bounds.update(dict.fromkeys(world.hosts, left + DRAIN_S))
        bounds.update({n: max(left + DRAIN_S, healed + TOUCH_S) for n in names})

        async def at(when, act, *given):
            await trio.sleep_until(when)
            result = act(world, *given)
            if result is not None:
                await result

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_often, world, asked, begun + 0.2)
            for n in names:
                harm(world, trouble, f"h{n}")
                nursery.start_soon(at, healed, heal, f"h{n}")
            nursery.start_soon(at, left, leave, leaves)
            await trio.sleep_until(left + DRAIN_S - 0.5)
            await ask_often(world, asked, max(bounds.values()) + ASKED_S)

    world = users_platform.play(main, hosts=4, servers=3, seed=seed)
    return world, asked, bounds


@behave.when(
    "{count:d} of four hosts are {trouble} by the store for {for_s:g} s, "
    "and a server {leaves} {after_s:g} s after that"
)
def leaves_after_trouble(context, count, trouble, for_s, leaves, after_s):
    context.played = [
        play(seed, count, trouble, for_s, leaves, after_s) for seed in SEEDS
    ]


@behave.then("nothing reaches it 2 s after that, from hosts whose trouble is 3 s past")
def nothing_late(context):
    for world, asked, bounds in context.played:
        runs = [run for run in world.runs if run.server == "s0"]
        assert runs
        late = [
            round(run.at - bounds[asked[run.request]], 2)
            for run in runs
            if run.at > bounds[asked[run.request]]
        ]
        assert not late, f"{len(late)} requests came up to {max(late)} s late"


def server_row(name, version, value=b"{}"):
    return rows.Row(rows.Address("servers", "", name), value, version)


@behave.when("a registration goes missing {seconds:g} s after the store's return")
def goes_missing(context, seconds):
    async def main():
        clock = clocks.VirtualClock()
        lines = trace.Trace("h0")
        reached = contact.Contact(clock, lines)
        found = registry.Registry(
            read=lambda name, value: model.Server(name, "ip:1", "llm", "a", 8),
            contact=reached,
            clock=clock,
            trace=lines,
        )
        found.update([server_row("s0", 1)])
        reached.failed("outage")
        reached.answered()
        returned_at = clock.monotonic()
        await trio.sleep(seconds)
        found.update([server_row("s0", 2, None)])
        context.used = {}
        while clock.monotonic() < returned_at + 3.0:
            await trio.sleep(0.05)
            after_s = round(clock.monotonic() - returned_at, 2)
            context.used[after_s] = bool(found.usable("llm"))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then(
    "its server is used {before:g} s after the return and not {after:g} s after it"
)
def used_until(context, before, after):
    assert context.used[before]
    assert not context.used[after]
