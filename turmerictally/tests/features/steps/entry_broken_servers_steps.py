"""Steps for servers, peers and stores that send endless data, or stall."""

import re
from unittest import mock

import attrs
import behave
import trio

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.entry import network, pool, sse, table_copies
from turmerictally.platform import store
from turmerictally.routing import engines
from turmerictally.store import client, table
from turmerictally.tests.support import users_platform

CALLERS = 8
MB = 1_000_000
# With the age that a peer's copy of a table has.
NO_END = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nage-ms: 5\r\n\r\n"


def part_of(text):
    return text.removeprefix("a ").removeprefix("an ")


async def ask_all(world, replies, count=CALLERS):
    async def ask():
        replies.append(await users_platform.Caller(world).ask())

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(ask)


def play(context, main, **options):
    context.replies = []
    options = getattr(context, "route", {}) | options
    context.world = users_platform.play(main, hosts=1, servers=2, **options)


@behave.when("one of two servers sends {part} without end to repeatable requests")
def endless_stream(context, part):
    async def main(world):
        world.servers["s0"].endless = part_of(part)
        await ask_all(world, context.replies)
        # A connection that was not cut off would still receive bytes.
        bytes_before = world.servers["s0"].endless_bytes
        await trio.sleep(1.0)
        assert world.servers["s0"].endless_bytes == bytes_before

    play(context, main)


def check_cut_off(context, limit_mb):
    server = context.world.servers["s0"]
    assert server.runs
    bytes_per_run = server.endless_bytes / len(server.runs)
    assert bytes_per_run <= limit_mb * MB, bytes_per_run
    failed = context.world.lines("attempt_failed")
    failed += context.world.lines("item_not_done")
    assert any(line["server"] == "s0" for line in failed)


@behave.then(
    "every caller gets all events, and the server is cut off after at most "
    "{limit:d} MB each"
)
def served_completely(context, limit):
    assert len(context.replies) == CALLERS
    expected = list(range(1, users_platform.EVENTS + 1))
    for reply in context.replies:
        assert reply.status == 200 and reply.whole and reply.ids == expected, reply
        typical_bytes = sum(len(b"id: 10\ndata: r10.10\n\n") for _ in expected)
        assert len(reply.body) <= typical_bytes + sse.MAX_UNNUMBERED_BYTES
    check_cut_off(context, limit)


@behave.when("every server sends {part} without end")
def endless_once(context, part):
    async def main(world):
        for server in world.servers.values():
            server.endless = part_of(part)
        await ask_all(world, context.replies, 4)

    play(context, main)


@behave.then(
    "every caller gets 502, 504 or a truncated response, and each request ran at most "
    "once"
)
def truthful_statuses(context):
    assert len(context.replies) == 4
    for reply in context.replies:
        assert reply.status in (502, 504) or not reply.whole, reply.status
    assert max(users_platform.counts(context.world.runs).values()) == 1


async def run_job(world, context):
    body, ids = users_platform.lot(world, 6)
    caller = users_platform.Caller(world)
    await caller.ask("/night/j", body=body, request_id="j1")
    began = trio.current_time()
    results = []
    while len(results) < len(ids) and trio.current_time() < began + 40.0:
        await trio.sleep(0.5)
        reply = await users_platform.Caller(world).ask(
            "/-/lots/j1?after=0", method="GET", body=b""
        )
        results = reply.json()["results"]
    context.took_s = trio.current_time() - began
    context.results, context.ids = results, ids


@behave.when("one of two servers sends {part} without end to batch items")
def endless_item(context, part):
    async def main(world):
        world.servers["s0"].endless = part_of(part)
        await run_job(world, context)

    play(context, main)


def check_done(context):
    assert sorted(result["id"] for result in context.results) == sorted(context.ids)
    for result in context.results:
        expected = [
            f"{result['id']}.{number}" for number in range(1, users_platform.EVENTS + 1)
        ]
        assert result["state"] == "succeeded"
        assert result["text"].split("\n") == expected


@behave.then(
    "every item is completed by the other server, and the server is cut off after at "
    "most {limit:d} MB each"
)
def items_done(context, limit):
    check_done(context)
    check_cut_off(context, limit)


async def send_without_end(stream, sent):
    """Respond without end; count the bytes that the other end accepted."""
    await stream.receive_some(65536)
    await stream.send_all(NO_END)
    try:
        while True:
            await stream.send_all(b'"' + b"m" * 65535)
            sent.append(65536)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The other end closed the connection.
        await stream.aclose()


def call_endless_server(context, call):
    """Run ``call(address)`` against a server that sends without end."""
    context.sent = []
    context.error = None

    async def body():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners,
                lambda stream: send_without_end(stream, context.sent),
                listeners,
            )
            try:
                await call(f"{host}:{port}")
            except (pool.BrokenError, table.UnavailableError) as error:
                context.error = error
            except engines.ControlError as error:
                context.error = error
            nursery.cancel_scope.cancel()

    trio.run(body)


class CountingStream(network.SocketStream):
    """Count the bytes received; those that kernels hold on the way have no bound."""

    received = []

    async def receive_some(self):
        data = await super().receive_some()
        self.received.append(len(data))
        return data


class CountingNetwork(network.SocketNetwork):
    """Open connections that count what they receive."""

    async def connect(self, address):
        return CountingStream((await super().connect(address)).sock)


@behave.when("a peer sends a copy of a table without end")
def endless_copy(context):
    async def call(address):
        clock = clocks.Clock()
        connections = pool.Pool(CountingNetwork(), clock)
        copies = table_copies.TableCopies({}, None, connections, clock, None, None)
        await copies.fetch(address, "jobs")

    CountingStream.received.clear()
    call_endless_server(context, call)
    context.sent = CountingStream.received
    assert str(context.error) == "answer too long"


@behave.when("the store sends a response without end")
def endless_answer(context):
    async def call(address):
        reached = store.connect(address, 300.0, network.SocketNetwork())
        await reached.read("jobs", "")

    call_endless_server(context, call)


@behave.when("the platform of a standalone host sends a response without end")
def endless_platform(context):
    async def call(address):
        platform = settings.Platform(f"http://{address}", "", 300.0, 0.0, 0.0, 0.0, 0.0)
        http_client = client.HttpClient(platform)
        try:
            await http_client.request("GET", "/table/scan")
        finally:
            await http_client.aclose()

    call_endless_server(context, call)


@behave.when("an engine sends a load report without end")
def endless_report(context):
    async def call(address):
        engine_client = engines.EngineClient(clocks.Clock())
        try:
            with trio.fail_after(300.0):
                await engine_client.load(address)
        finally:
            await engine_client.aclose()

    call_endless_server(context, call)


@behave.then("the copy is abandoned after at most {limit:d} MB")
@behave.then("the call fails after at most {limit:d} MB")
@behave.then("the report fails after at most {limit:d} MB")
def cut_after(context, limit):
    assert context.error is not None
    assert 0 < sum(context.sent) <= limit * MB, sum(context.sent)


@behave.when(
    "one of two servers sends occasional bytes but no event after its first event"
)
def drips(context):
    async def main(world):
        world.servers["s0"].drips = True
        await ask_all(world, context.replies)
        assert world.servers["s0"].runs

    play(context, main)


@behave.then("no caller waits longer than {seconds:g} s for all events")
def all_within(context, seconds):
    expected = list(range(1, users_platform.EVENTS + 1))
    for reply in context.replies:
        assert reply.whole and reply.ids == expected, reply
        assert reply.took_s <= seconds, reply.took_s


@behave.when(
    "one of two servers sends occasional bytes but no event after an item's first event"
)
def item_drips(context):
    async def main(world):
        world.servers["s0"].drips = True
        await run_job(world, context)
        assert world.servers["s0"].runs

    play(context, main)


@behave.then("every item is done within {seconds:g} s")
def done_within(context, seconds):
    check_done(context)
    assert context.took_s <= seconds, context.took_s


@behave.when("the events of a stream arrive {gap_s:g} s apart")
def slow_stream(context, gap_s):
    async def main(world):
        for name, server in world.servers.items():
            world.slowness[name] = gap_s / users_platform.EVENT_S
            server.events = 6
        await ask_all(world, context.replies, 1)

    play(context, main)


@behave.then("the caller gets all events from one run")
def one_run(context):
    reply = context.replies[0]
    assert reply.whole and reply.ids == list(range(1, 7)), reply
    assert len(context.world.runs) == 1


@behave.when("servers send each response again before the next one")
def second_copies(context):
    async def main(world):
        for server in world.servers.values():
            server.copies_answers = True
        caller = users_platform.Caller(world)
        for number in range(12):
            name = f"own-{number}"
            reply = await caller.ask(request_id=name)
            context.replies.append((name, reply))
        assert sum(s.connections for s in world.servers.values()) < 12

    play(context, main)


@behave.then("every caller gets its own complete response")
def own_answer(context):
    assert len(context.replies) == 12
    for name, reply in context.replies:
        assert reply.status == 200 and reply.whole
        data = [
            line[6:]
            for line in reply.body.decode().splitlines()
            if line.startswith("data: ")
        ]
        expected = [f"{name}.{n}" for n in range(1, users_platform.EVENTS + 1)]
        assert data == expected, (name, data[:3])


LONG_EVENTS = {
    "an event of one line": (b"data: ", b"m" * 1000, b"\nid: 1\n\n"),
    "an event with an id": (b"id: 1\ndata: ", b"m" * 1000, b"\n\n"),
    "an event of many lines": (b"id: 1\n", b"data: " + b"m" * 993 + b"\n", b"\n"),
}


@attrs.define
class CountingPattern:
    """Search like a pattern and count the bytes that it may look at."""

    pattern: re.Pattern[bytes]
    searched_bytes: int = 0

    def __getattr__(self, name):
        def call(data, at=0):
            found = getattr(self.pattern, name)(data, at)
            # What doesn't begin like a simple event is not looked at further.
            if name != "match" or data.startswith(b"id: ", at):
                self.searched_bytes += len(data) - at
            return found

        return call


@behave.when("{kind} of 900 kB arrives in parts of 1 kB, complete at last")
def long_event(context, kind):
    start, part, end = LONG_EVENTS[kind]
    context.patterns = [
        CountingPattern(getattr(sse, name)) for name in ("_EVENT_END", "_SIMPLE_EVENT")
    ]
    context.splitter = sse.EventSplitter()
    with (
        mock.patch.object(sse, "_EVENT_END", context.patterns[0]),
        mock.patch.object(sse, "_SIMPLE_EVENT", context.patterns[1]),
    ):
        for data in (start, *[part] * 900):
            assert not context.splitter.split(data)
        context.searched_bytes = sum(p.searched_bytes for p in context.patterns)
    context.event = start + part * 900 + end
    context.found = context.splitter.split(end)


@behave.then("it is one event, and each byte was searched at most {times:d} times")
def searched_once(context, times):
    assert context.found == context.event and context.splitter.event_count == 1
    assert context.searched_bytes <= times * len(context.event), context.searched_bytes
