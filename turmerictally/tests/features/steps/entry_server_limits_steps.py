"""Steps for servers that name the request rate that they take."""

import bisect
import collections
import math

import behave
import trio

from turmerictally.scheduling import permit_rings, server_rates
from turmerictally.tests.support import users_platform

SERVERS, LIMITED = 8, 5
RATES = (2.5, 2.8, 3.2, 3.4, 3.6)
RATE_PER_S = 40
LIMITED_S, AFTER_S = 16.0, 8.0
STABLE_S, WINDOW_S = 3.0, 4.0
FACTOR, SLACK = 1.5, 5
EVENT_FROM_S, EVENT_S = 4.0, 5.0
NUMBER_KNOWN_S = 6.0  # for which callers ask while a server names a large number


@behave.given(
    "{hosts:d} hosts and eight servers, of which five name limits of 2.5 to 3.6 a "
    "second for 16 s"
)
def given_hosts(context, hosts):
    context.hosts = hosts


async def ask(context, world):
    number = world.rng.randrange(context.hosts)
    try:
        reply = await users_platform.Caller(world, number).ask()
    except ConnectionRefusedError:
        return
    context.replies.append(reply)


async def disturb(context, world, event):
    await trio.sleep(EVENT_FROM_S)
    if "restarts" in event:
        for n in range(3):
            world.kill_host(n)
            await trio.sleep(0.7)
            world.start_host(n)
            context.restarted[f"h{n}"] = trio.current_time()
            await trio.sleep(1.0)
    elif "store" in event:
        world.store.faults.down = True
        await trio.sleep(EVENT_S)
        world.store.faults.down = False
    elif "cut off" in event:
        groups = [
            [f"10.1.0.{n}" for n in range(context.hosts) if n % 2 == part]
            for part in (0, 1)
        ]
        world.fabric.separate(*groups)
        await trio.sleep(EVENT_S)
        world.fabric.restore()
    elif "items" in event:
        for n in range(8):
            body, _ = users_platform.lot(world, 10, name=f"j{n}-")
            caller = users_platform.Caller(world, n % context.hosts)
            await caller.ask("/night/x", body=body, request_id=f"job-{n}")


@behave.when("40 requests a second arrive while {event}")
def arrive(context, event):
    context.replies, context.restarted = [], {}

    async def main(world):
        await trio.sleep(server_rates.VIEW_SETTLE_S + 1.0)
        async with trio.open_nursery() as nursery:
            context.named_at = trio.current_time()
            context.ended_at = context.named_at + LIMITED_S
            context.limited = list(world.servers.values())[:LIMITED]
            for server, rate in zip(context.limited, RATES, strict=True):
                server.limit_per_s = rate
            nursery.start_soon(disturb, context, world, event)
            while trio.current_time() < context.ended_at + AFTER_S:
                if trio.current_time() >= context.ended_at:
                    for server in context.limited:
                        server.limit_per_s = None
                nursery.start_soon(ask, context, world)
                await trio.sleep(world.rng.expovariate(RATE_PER_S))
            context.until = trio.current_time()

    context.world = users_platform.play(main, hosts=context.hosts, servers=SERVERS)


def most_in_window(times):
    return max(
        (bisect.bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times)),
        default=0,
    )


def limited_times(context, server):
    since = context.named_at + STABLE_S
    return [at for at in server.arrived_at if since <= at < context.ended_at]


@behave.then(
    "from 3 s after a limit was named its server gets in any 4 s at most one and a "
    "half times what it allows plus 5"
)
def within_limit(context):
    for server, rate in zip(context.limited, RATES, strict=True):
        most = most_in_window(limited_times(context, server))
        allowed = FACTOR * rate * WINDOW_S + SLACK
        assert most <= allowed, (server.name, rate, most, allowed)


def usable_ratio(context, server, rate):
    """Return how much of a limit's permits hosts may use: restarted ones wait."""
    hosts = frozenset(f"h{n}" for n in range(context.hosts))
    since, until = context.named_at + STABLE_S, context.ended_at
    permits = math.ceil(rate)
    usable_s = 0.0
    for host in hosts:
        rings = permit_rings.PermitRings(host)
        rings.update(hosts)
        unused_s = 0.0
        if host in context.restarted:
            restarted_at = context.restarted[host]
            settled_at = min(until, restarted_at + server_rates.VIEW_SETTLE_S)
            unused_s = settled_at - restarted_at
        usable_s += rings.count_owned(server.name, permits) * (until - since - unused_s)
    return usable_s / permits / (until - since)


@behave.then("it gets at least half of what it allows hosts that may use their permits")
def used(context):
    for server, rate in zip(context.limited, RATES, strict=True):
        count = len(limited_times(context, server))
        allowed = usable_ratio(context, server, rate) * rate * (LIMITED_S - STABLE_S)
        assert count >= 0.5 * allowed, (server.name, rate, count, allowed)


@behave.then("together the limited servers get at least half of what they allow")
def used_together(context):
    count = sum(len(limited_times(context, server)) for server in context.limited)
    assert count >= 0.5 * sum(RATES) * (LIMITED_S - STABLE_S), count


@behave.then("4 s after the limits ended these servers get their part again")
def used_again(context):
    seconds = context.until - context.ended_at - WINDOW_S
    for server in context.limited:
        count = sum(at >= context.ended_at + WINDOW_S for at in server.arrived_at)
        assert count >= 0.5 * seconds * RATE_PER_S / SERVERS, (server.name, count)


@behave.given("five hosts and six servers")
def five_hosts(context):
    context.hosts = 5


@behave.when(
    "40 requests a second meet hosts that learn that {who} {number:d} a second"
)
def large_number(context, who, number):
    context.replies = []

    async def main(world):
        named = list(world.servers.values())[:2]
        if "configuration" in who:
            cold = {"name": "llm", "coldStartS": 3.0, "coldPerS": number}
            world.configure(services=[cold])
        await trio.sleep(server_rates.VIEW_SETTLE_S + 1.0)
        if "configuration" in who:
            for server in named:
                server.cold_ms = 1000 * NUMBER_KNOWN_S
                server.register()
            await trio.sleep(1.0)
        else:
            named[0].limit_per_s = number
        context.named_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < context.named_at + NUMBER_KNOWN_S:
                nursery.start_soon(ask, context, world)
                await trio.sleep(world.rng.expovariate(RATE_PER_S))

    context.world = users_platform.play(main, hosts=context.hosts, servers=6)


@behave.then("all of them are served")
def all_served(context):
    statuses = collections.Counter(reply.status for reply in context.replies)
    assert set(statuses) == {200}, statuses


@behave.then("every server gets its part of them")
def equal_parts(context):
    part = NUMBER_KNOWN_S * RATE_PER_S / len(context.world.servers)
    for server in context.world.servers.values():
        count = sum(at >= context.named_at for at in server.arrived_at)
        assert count >= 0.5 * part, (server.name, count, part)


def ask_100_times(context, text, servers):
    context.replies = []

    async def main(world):
        for server in list(world.servers.values())[:servers]:
            server.limit_per_s = text
        for _ in range(100):
            await ask(context, world)

    context.world = users_platform.play(main, hosts=context.hosts, servers=6)


@behave.when('callers ask while a server names "{text}" as its limit')
def one_names(context, text):
    ask_100_times(context, text, 1)


@behave.when('callers ask at once after the start while all servers name "{text}"')
def all_name(context, text):
    ask_100_times(context, text, 6)


@behave.then('each host that heard of it logs once that "{text}" is {reason}')
def logged_once(context, text, reason):
    lines = context.world.lines("server_limit_ignored")
    assert lines
    assert all((x["named"], x["reason"]) == (text, reason) for x in lines), lines
    assert len(lines) <= context.hosts, lines
