"""Steps for the data path's work per request, timers, sockets and framing."""

import os

import behave
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally.bench import path
from turmerictally.entry import http_server, model, network, sweep
from turmerictally.entry import trace as traces
from turmerictally.standins import fabric
from turmerictally.tests.support import users_platform

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n"
REQUESTS = {
    "two requests at once": 2 * (GET + b"\r\n"),
    "HEAD": GET.replace(b"GET", b"HEAD") + b"\r\n",
    "HTTP/1.0": b"GET /s HTTP/1.0\r\n\r\n",
    "an offer to upgrade the protocol": GET
    + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    "a body after 100 Continue": GET
    + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n",
    "a head of 20 kB": GET + b"X: " + b"m" * 20_000 + b"\r\n\r\n",
    "a bare line feed": GET.replace(b"\r\n", b"\n") + b"\n",
}
OK = b"HTTP/1.1 200 \r\n"
HEAD_WITH_LENGTH = OK + b"Content-Length: 2\r\n\r\n"
RESPONSES = {
    "two, each with a length": 2 * (HEAD_WITH_LENGTH + b"ok"),
    "one without a body": HEAD_WITH_LENGTH,
    "one that ends with the connection": OK + b"Connection: close\r\n\r\nok",
    "one, and the connection is kept": HEAD_WITH_LENGTH + b"ok",
    "100 Continue, then one": http_server.CONTINUE_RESPONSE + HEAD_WITH_LENGTH + b"ok",
}


def run_in_virtual_time(main, *args):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *args, clock=clock)


@behave.when(
    "{count:d} streams of {events:d} events pass through an HTTP server and a forwarder"
)
def streams(context, count, events):
    assert count == path.STREAMS and events == path.EVENTS[1]
    context.report = path.main(rounds=3, repeats=1)


@behave.then(
    "an event costs at most {event_steps:g} task steps and a request at most "
    "{request_steps:g}"
)
def steps(context, event_steps, request_steps):
    assert (event_steps, request_steps) == (
        path.STEPS_PER_EVENT,
        path.STEPS_PER_REQUEST,
    )
    assert context.report.ok, context.report.text()


@behave.when(
    "{count:d} exchanges move their deadline {ahead:g} s ahead every {interval:g} s"
    " for {seconds:g} s"
)
def move(context, count, ahead, interval, seconds):
    async def exchange(timers):
        with timers.timer(trio.current_time() + ahead) as timer:
            for _ in range(round(seconds / interval)):
                await trio.sleep(interval)
                timer.set_deadline(trio.current_time() + ahead)
            moved_at = trio.current_time()
            await trio.sleep_forever()
        assert timer.expired
        context.delays.append(trio.current_time() - moved_at)

    async def main():
        timers = sweep.TimerQueue()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            async with trio.open_nursery() as exchanges:
                for _ in range(count):
                    exchanges.start_soon(exchange, timers)
            context.checks = next(timers.sequence) / count
            nursery.cancel_scope.cancel()

    context.delays, context.ahead, context.count = [], ahead, count
    run_in_virtual_time(main)


@behave.then("each timer is checked at most {limit:d} times, and none is cancelled")
def checks(context, limit):
    assert context.checks <= limit, context.checks
    assert len(context.delays) == context.count


@behave.then("each is cancelled {seconds:g} s after its last move")
def ended(context, seconds):
    assert all(abs(delay - seconds) < 1e-6 for delay in context.delays), context.delays


@behave.when("a deadline in {late:g} s is moved to {soon:g} s from now")
def sooner(context, late, soon):
    async def main():
        timers = sweep.TimerQueue()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            await trio.sleep(0.1)
            began = trio.current_time()
            with timers.timer(began + late) as timer:
                await trio.sleep(0.1)
                timer.set_deadline(began + soon)
                await trio.sleep_forever()
            context.took_s = trio.current_time() - began
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main)


@behave.then("its block is cancelled after {seconds:g} s")
def block_cancelled(context, seconds):
    assert abs(context.took_s - seconds) < 1e-6, context.took_s


async def socket_pair():
    listener = await network.SocketNetwork().listen("127.0.0.1:0")
    near = await network.SocketNetwork().connect(listener.address)
    far = await listener.accept()
    listener.close()
    return near, far


class ReadySocket:
    """Stand in for a socket that always has data."""

    sent = 0

    def recv(self, size):
        self.sent += size
        return bytes(size)


@behave.when("{size:d} MB are read from a socket that always has data")
def fast_peer(context, size):
    async def record_progress():
        while True:
            context.progress.append(context.read)
            await trio.lowlevel.checkpoint()

    async def main():
        stream = network.SocketStream(ReadySocket())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(record_progress)
            while context.read < size * 1024 * 1024:
                context.read += len(await stream.receive_some())
            nursery.cancel_scope.cancel()

    context.progress, context.read = [0], 0
    trio.run(main)


@behave.when("a task reads from a socket that always has data and is cancelled")
def cancelled_read(context):
    async def main():
        stream = network.SocketStream(context.socket)
        with trio.CancelScope() as scope:
            scope.cancel()
            while context.reads < 100:
                context.read += len(await stream.receive_some())
                context.reads += 1

    context.socket, context.read, context.reads = ReadySocket(), 0, 0
    trio.run(main)


@behave.then("it received all bytes that were consumed, in at most {limit:d} reads")
def all_received(context, limit):
    assert 0 < context.reads <= limit, context.reads
    assert context.read == context.socket.sent, (context.read, context.socket.sent)


@behave.then("other tasks run at least once for every {size:d} MB that is read")
def no_starvation(context, size):
    sizes = [*context.progress, context.read]
    gaps = [b - a for a, b in zip(sizes, sizes[1:], strict=False)]
    assert max(gaps) <= size * 1024 * 1024, max(gaps)


@behave.when("a peer does not read from its connection")
def slow_reader(context):
    async def main():
        near, far = await socket_pair()
        context.accepted = 0
        with trio.move_on_after(0.5):
            while True:
                await near.send_all(bytes(64 * 1024))
                context.accepted += 64 * 1024
        near.close()
        far.close()

    trio.run(main)


@behave.then("at most {size:d} MB are accepted before the sender blocks")
def accepted(context, size):
    assert 0 < context.accepted <= size * 1024 * 1024, context.accepted


@behave.when("an HTTP server receives {requests}")
def send(context, requests):
    async def handle(exchange):
        if exchange.target == b"/a":
            await exchange.reply(200, b"ok")
            return
        await exchange.start(200, [], None)
        await exchange.send(b"o")
        await exchange.finish(b"k")

    async def main():
        links = fabric.Fabric()
        server = http_server.HttpServer(
            links.host("10.1.0.0"),
            "10.1.0.0:80",
            handle,
            model.CallerLimits,
            clocks.Clock(),
            100,
            traces.Trace("h0", os.open(os.devnull, os.O_WRONLY)),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            stream = await links.host("10.7.0.1").connect("10.1.0.0:80")
            await stream.send_all(REQUESTS[requests])
            context.data = b""
            if b"Expect" in REQUESTS[requests]:
                context.data += await stream.receive_some()
                await stream.send_all(b"x")
            context.kept = True
            with trio.move_on_after(1.0):
                while data := await stream.receive_some():
                    context.data += data
                context.kept = False
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main)


@behave.then("the HTTP server responds with {responses}")
def responds(context, responses):
    if responses.isdigit():
        assert context.data.startswith(b"HTTP/1.1 %b " % responses.encode()), (
            context.data
        )
        assert not context.kept
        return
    assert context.data == RESPONSES[responses], context.data
    assert context.kept == (b"close" not in context.data), context.kept


@behave.when("a caller's request is served at once")
def served_at_once(context):
    async def main(world):
        assert (await users_platform.Caller(world).ask(request_id="r-1")).whole

    world = users_platform.play(main)
    lines = (line for host in world.hosts.values() for line in host.lines)
    context.lines = [line["event"] for line in lines if line["request"] == "r-1"]


@behave.then("its log lines are {names}")
def lines_are(context, names):
    assert context.lines == names.split(", "), context.lines
