"""Steps for hosts that reach servers through other hosts."""

import attrs
import behave
import trio

from turmerictally.entry import pool, settings, tunnels
from turmerictally.tests.support import users_platform

HOSTS, SERVERS = 6, 8
BEFORE_S, LOST_S, AFTER_S = 3.0, 6.0, 3.0
GAP_S = 0.04
LONG = 200  # events of a stream that a peer stops carrying
EVENT_S = users_platform.EVENT_S
SHORT_STOP = settings.Stop(1.0, 0.1)
GROUPS = {
    "one": (0,),
    "all hosts of a domain": (0, 2, 4),
    "five": (0, 1, 2, 3, 4),
    "six": tuple(range(HOSTS)),
}
ONCE = {
    "name": "once",
    "hostname": users_platform.HOSTNAME,
    "prefix": "/once/",
    "kind": "non_idempotent",
    "timeoutMs": 5000,
    "targetLatencyMs": 300,
    "service": "llm",
    "maxAttempts": 2,
}


class Traffic:
    """Send first tries to every host, each over a kept connection of its own."""

    def __init__(self, world):
        self.world = world
        self.replies = []

    async def ask(self, number, path):
        caller = users_platform.Caller(self.world, number)
        name = self.world.new_id()
        reply = await caller.ask(path, request_id=name)
        caller.close()
        self.replies.append((number, name, path, reply))

    async def send(self, until):
        async with trio.open_nursery() as nursery:
            count = 0
            while trio.current_time() < until:
                path = "/once/1" if count % 5 == 0 else "/ask/1"
                nursery.start_soon(self.ask, count % HOSTS, path)
                count += 1
                await trio.sleep(GAP_S * self.world.rng.uniform(0.5, 1.5))

    def served(self, numbers, since, until):
        """Return the ratio of requests that got a whole success."""
        found = [
            reply.status == 200 and reply.whole
            for number, _, _, reply in self.replies
            if number in numbers and since <= reply.asked_at < until
        ]
        assert len(found) >= 5, (numbers, since, until)
        return sum(found) / len(found)


def cut(world, numbers, kind):
    hosts = [f"10.1.0.{n}" for n in numbers]
    servers = [s.address.partition(":")[0] for s in world.servers.values()]
    if kind == "silence":
        world.fabric.separate(hosts, servers)
    else:
        world.fabric.break_paths(hosts, servers, new_only="refusals" in kind)


@behave.when("{hosts} of six hosts lose their paths to all servers for 6 s by {kind}")
def lose(context, hosts, kind):
    context.lost = GROUPS[hosts]

    async def main(world):
        world.configure(routes=[ONCE])
        for server in world.servers.values():
            server.plain_paths = ("/once/",)
        context.traffic = traffic = Traffic(world)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            until = start + BEFORE_S + LOST_S + AFTER_S
            nursery.start_soon(traffic.send, until)
            await trio.sleep(BEFORE_S)
            cut(world, context.lost, kind)
            context.lost_at = trio.current_time()
            await trio.sleep(LOST_S)
            world.fabric.broken_paths.clear()
            world.fabric.restore()
            context.back_at = trio.current_time()
            await trio.sleep(1.0)
            context.still_lost = [
                n for n in context.lost if world.hosts[n].tunnels.needed()
            ]

    context.world = users_platform.play(main, hosts=HOSTS, servers=SERVERS, seed=3)


@behave.then(
    "from 1 s after that first tries at these hosts are served at least {ratio:g} "
    "times as often as at the others"
)
def served(context, ratio):
    others = set(range(HOSTS)) - set(context.lost)
    since, until = context.lost_at + 1.0, context.back_at
    here = context.traffic.served(context.lost, since, until)
    there = context.traffic.served(others, since, until)
    assert here >= ratio * there, (here, there)
    assert context.world.lines("tunnel_opened")


@behave.then("no request that must not run twice ran twice")
def ran_once(context):
    runs = users_platform.counts(context.world.runs)
    once = [name for _, name, path, _ in context.traffic.replies if "once" in path]
    assert once and max(runs[name] for name in once) == 1


@behave.then("1 s after the paths are back these hosts reach servers directly")
def direct_again(context):
    assert not context.still_lost, context.still_lost


@behave.then("while that lasts each request is refused as not run within {seconds:g} s")
def refused(context, seconds):
    # The first ones find out.
    since, until = context.lost_at + 1.0, context.back_at - 0.5
    replies = [
        reply
        for _, _, _, reply in context.traffic.replies
        if since <= reply.asked_at < until
    ]
    assert len(replies) > 50
    assert {reply.status for reply in replies} == {503}
    assert max(reply.took_s for reply in replies) < seconds


@behave.given("a host that reaches servers through a peer only")
def through_peer(context):
    pass


@behave.given("a host that reaches servers through a peer {version}")
def through_peer_of_version(context, version):
    context.framed = "this" in version


async def reach_through_peer(world):
    """Make host 0 reach servers through host 1 only."""
    cut(world, (0,), "resets")
    world.hosts[0].inflight.reach.lost_since = trio.current_time()
    await trio.lowlevel.checkpoint()


def ignore_framing(served):
    """Let a host serve tunnels as versions without framing do."""
    handle = served.peer_server.handle

    async def handle_without(exchange):
        exchange.headers = [h for h in exchange.headers if h != tunnels.FRAMING_HEADER]
        await handle(exchange)

    served.peer_server.handle = handle_without


async def end_peer(world, how):
    peer = world.hosts[1]
    if how == "stops":
        peer.settings = attrs.evolve(peer.settings, stop=SHORT_STOP)
        peer.stop()
        await peer.ended.wait()
    else:
        # The kernel ends the connections of a killed process in order.
        world.fabric.close_all("10.1.0.1")
        world.scopes[1].cancel()
    await trio.sleep(0.5)


@behave.when(
    "through the peer a server sends {response} without a length and the peer {ends}"
)
def carry_until_end(context, response, ends):
    async def ask():
        context.reply = await users_platform.Caller(context.world, 0).ask()

    async def run_item():
        job, _ = users_platform.lot(context.world, count=1)
        caller = users_platform.Caller(context.world, 0)
        reply = await caller.ask("/night/1", body=job, request_id="lot")
        assert reply.status == 202, reply

    async def main(world):
        context.world = world
        await reach_through_peer(world)
        if not context.framed:
            ignore_framing(world.hosts[1])
        (server,) = world.servers.values()
        server.streams_until_close, server.events = True, LONG
        if response == "a plain body":
            server.plain, server.plain_s = "without a length", LONG * EVENT_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_item if response == "an item" else ask)
            await trio.sleep(1.0)
            await end_peer(world, ends)
        if response == "an item":
            world.fabric.broken_paths.clear()
            await trio.sleep(2 * LONG * EVENT_S)
            path = "/-/lots/lot?after=0"
            context.reply = await users_platform.Caller(world, 0).ask(path, "GET", b"")

    context.world = users_platform.play(main, hosts=2, servers=1)


@behave.then("through the peer no part of {response} counts as the whole")
def not_the_whole(context, response):
    assert context.world.lines("tunnel_opened")
    reply = context.reply
    if response == "an item":
        (result,) = reply.json()["results"]
        assert result["state"] == "succeeded", result
        assert len(result["text"].splitlines()) == LONG, result
        assert len(context.world.runs) > 1
        return
    if response == "a stream":
        assert 0 < len(reply.ids) < LONG, reply
    assert not reply.whole or reply.status == 502, reply


@behave.when("a host of the version before opens a tunnel and {event}")
def carry_raw(context, event):
    async def main(world):
        (server,) = world.servers.values()
        if "stops" in event:
            server.plain_s = 4.0
        server.plain = "without a length"
        stream = await world.fabric.host("10.1.0.9").connect("10.1.0.1:82")
        target = f"{pool.TUNNELS_PATH}{server.address}"
        await stream.send_all(f"POST {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        context.head = await stream.receive_some()
        await stream.send_all(b"POST /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n")
        if "stops" in event:
            await trio.sleep(0.2)
            await end_peer(world, "stops")
        context.raw, context.tunnel_reset = b"", False
        try:
            while data := await stream.receive_some():
                context.raw += data
        except trio.BrokenResourceError:
            context.tunnel_reset = True

    context.world = users_platform.play(main, hosts=2, servers=1)


@behave.then("that tunnel {ends}")
def tunnel_ended(context, ends):
    assert context.head.startswith(b"HTTP/1.1 200")
    assert b"chunked" not in context.head
    if "order" in ends:
        assert context.raw.endswith(b"\r\n\r\nplain body"), context.raw
    assert context.tunnel_reset is ("reset" in ends)


@behave.when("through the peer a server {answers} and the caller asks")
def ask_through_peer(context, answers):
    async def main(world):
        cut(world, (0,), "resets")
        served = world.hosts[0]
        served.inflight.reach.lost_since = trio.current_time()
        (server,) = world.servers.values()
        if "plain" in answers:
            server.plain = "without a length"
        elif "breaks" in answers:
            server.break_after = 5
        caller = users_platform.Caller(world, 0)
        if "leaves" not in answers:
            context.reply = await caller.ask()
            return
        with trio.move_on_after(0.2):
            await caller.ask()
        caller.close()
        context.left_at = trio.current_time()
        await trio.sleep(1.0)

    context.world = users_platform.play(main, hosts=2, servers=1)


@behave.then("through the peer the caller gets {result}")
def result(context, result):
    if "nothing" in result:
        (run,) = context.world.runs
        assert run.ended == "cut" and run.ended_at < context.left_at + 0.5, run
    elif "whole" in result:
        reply = context.reply
        assert reply.status == 200 and reply.whole, reply
        assert reply.body == b"plain body", reply
    else:
        assert not context.reply.whole or context.reply.status == 502, context.reply
    assert context.world.lines("tunnel_opened")


@behave.when("a host that stops carries {what}")
def stops_carrying(context, what):
    async def ask():
        context.reply = await users_platform.Caller(context.world, 0).ask()
        context.answered_at = trio.current_time()

    async def main(world):
        context.world = world
        await reach_through_peer(world)
        (server,) = world.servers.values()
        server.events = 800 if "outlasts" in what else LONG
        if "idle" in what:
            server.events = 2
            server.keep_alive_s = 30
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(1.5 if "idle" in what else 0.5)
            stopped_at = trio.current_time()
            world.hosts[1].stop()
            await world.hosts[1].ended.wait()
            context.ended_at = trio.current_time()
            context.took_s = context.ended_at - stopped_at
            nursery.cancel_scope.cancel()

    users_platform.play(main, hosts=2, servers=1)


@behave.then("the stream is whole and the host ends after it")
def carried_to_end(context):
    assert context.reply.whole and len(context.reply.ids) == LONG, context.reply
    assert context.answered_at <= context.ended_at


@behave.then("the host ends within {seconds:g} s")
def ends_within(context, seconds):
    assert context.took_s < seconds, context.took_s
    assert context.world.lines("tunnel_opened")


@behave.when("a host opens a tunnel and sends a request with it")
def sends_at_once(context):
    async def main(world):
        (server,) = world.servers.values()
        stream = await world.fabric.host("10.1.0.9").connect("10.1.0.1:82")
        target = f"{pool.TUNNELS_PATH}{server.address}"
        opening = f"POST {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
        request = b"POST /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n"
        await stream.send_all(opening + request)
        await trio.sleep(1.0)

    context.world = users_platform.play(main, hosts=2, servers=1)


@behave.then("the server runs that request")
def runs_it(context):
    assert [run.request for run in context.world.runs] == ["r"]
