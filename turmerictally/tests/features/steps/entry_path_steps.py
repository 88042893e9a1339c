"""Steps for the data path's counts and forms."""

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
    "an offer of another protocol": GET
    + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    "a body after leave to go on": GET
    + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n",
    "a head of 20 kB": GET + b"X: " + b"m" * 20_000 + b"\r\n\r\n",
    "a bare line feed": GET.replace(b"\r\n", b"\n") + b"\n",
}
OK = b"HTTP/1.1 200 \r\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\n"
ANSWERS = {
    "two, each with its length": 2 * (WHOLE + b"ok"),
    "one without a body": WHOLE,
    "one that ends with its connection": OK + b"Connection: close\r\n\r\nok",
    "one, then the connection is kept": WHOLE + b"ok",
    "leave to go on, then one": http_server.CONTINUE_RESPONSE + WHOLE + b"ok",
}


def virtual(main, *given):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *given, clock=clock)


@behave.when("{count:d} streams of {events:d} events pass through a front and a relay")
def streams(context, count, events):
    assert count == path.STREAMS and events == path.EVENTS[1]
    context.report = path.main(rounds=3, repeats=1)


@behave.then(
    "an event costs at most {most:g} task steps and a request at most {more:g}"
)
def steps(context, most, more):
    assert (most, more) == (path.STEPS_PER_EVENT, path.STEPS_PER_REQUEST)
    assert context.report.ok, context.report.text()


@behave.when(
    "{count:d} exchanges move their deadline {ahead:g} s ahead each {each:g} s"
    " for {seconds:g} s"
)
def move(context, count, ahead, each, seconds):
    async def one(deadlines):
        with deadlines.timer(trio.current_time() + ahead) as timer:
            for _ in range(round(seconds / each)):
                await trio.sleep(each)
                timer.set_deadline(trio.current_time() + ahead)
            moved_at = trio.current_time()
            await trio.sleep_forever()
        assert timer.expired
        context.ended.append(trio.current_time() - moved_at)

    async def main():
        deadlines = sweep.TimerQueue()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            async with trio.open_nursery() as exchanges:
                for _ in range(count):
                    exchanges.start_soon(one, deadlines)
            context.looks = next(deadlines.sequence) / count
            nursery.cancel_scope.cancel()

    context.ended, context.ahead, context.count = [], ahead, count
    virtual(main)


@behave.then("at most {most:d} looks were taken for each, and none was cancelled")
def looks(context, most):
    assert context.looks <= most, context.looks
    assert len(context.ended) == context.count


@behave.then("each is cancelled {seconds:g} s after its last move")
def ended(context, seconds):
    assert all(abs(each - seconds) < 1e-6 for each in context.ended), context.ended


@behave.when("a deadline in {late:g} s is moved to {soon:g} s from now")
def sooner(context, late, soon):
    async def main():
        deadlines = sweep.TimerQueue()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            await trio.sleep(0.1)
            began = trio.current_time()
            with deadlines.timer(began + late) as timer:
                await trio.sleep(0.1)
                timer.set_deadline(began + soon)
                await trio.sleep_forever()
            context.took_s = trio.current_time() - began
            nursery.cancel_scope.cancel()

    virtual(main)


@behave.then("its block ends after {seconds:g} s")
def block_ends(context, seconds):
    assert abs(context.took_s - seconds) < 1e-6, context.took_s


async def socket_pair():
    listener = await network.SocketNetwork().listen("127.0.0.1:0")
    near = await network.SocketNetwork().connect(listener.address)
    far = await listener.accept()
    listener.close()
    return near, far


class Ready:
    """Stand in for a socket that always has bytes."""

    taken = 0

    def recv(self, size):
        self.taken += size
        return bytes(size)


@behave.when("{size:d} MB are read from a socket that always has bytes")
def fast_peer(context, size):
    async def count_turns():
        while True:
            context.turns.append(context.read)
            await trio.lowlevel.checkpoint()

    async def main():
        stream = network.SocketStream(Ready())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            while context.read < size * 1024 * 1024:
                context.read += len(await stream.receive_some())
            nursery.cancel_scope.cancel()

    context.turns, context.read = [0], 0
    trio.run(main)


@behave.when("a task reads from a socket that always has bytes and is cancelled")
def cancelled_read(context):
    async def main():
        stream = network.SocketStream(context.socket)
        with trio.CancelScope() as scope:
            scope.cancel()
            while context.reads < 100:
                context.read += len(await stream.receive_some())
                context.reads += 1

    context.socket, context.read, context.reads = Ready(), 0, 0
    trio.run(main)


@behave.then("it has got all bytes that were taken, from at most {most:d} reads")
def all_taken(context, most):
    assert 0 < context.reads <= most, context.reads
    assert context.read == context.socket.taken, (context.read, context.socket.taken)


@behave.then("other tasks run at least once for each {size:d} MB that is read")
def turns(context, size):
    times = [*context.turns, context.read]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert max(gaps) <= size * 1024 * 1024, max(gaps)


@behave.when("a peer reads nothing of a connection")
def slow_reader(context):
    async def main():
        near, far = await socket_pair()
        context.taken = 0
        with trio.move_on_after(0.5):
            while True:
                await near.send_all(bytes(64 * 1024))
                context.taken += 64 * 1024
        near.close()
        far.close()

    trio.run(main)


@behave.then("at most {size:d} MB are taken before the sender waits")
def taken(context, size):
    assert 0 < context.taken <= size * 1024 * 1024, context.taken


@behave.when("a front is sent {requests}")
def send(context, requests):
    async def handle(exchange):
        if exchange.target == b"/a":
            await exchange.reply(200, b"ok")
            return
        await exchange.start(200, [], None)
        await exchange.send(b"o")
        await exchange.finish(b"k")

    async def main():
        net = fabric.Fabric()
        served = http_server.HttpServer(
            net.host("10.1.0.0"),
            "10.1.0.0:80",
            handle,
            model.CallerLimits,
            clocks.Clock(),
            100,
            traces.Trace("h0", os.open(os.devnull, os.O_WRONLY)),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(served.run)
            stream = await net.host("10.7.0.1").connect("10.1.0.0:80")
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

    virtual(main)


@behave.then("the front answers {answers}")
def answered(context, answers):
    if answers.isdigit():
        assert context.data.startswith(b"HTTP/1.1 %b " % answers.encode()), context.data
        assert not context.kept
        return
    assert context.data == ANSWERS[answers], context.data
    assert context.kept == (b"close" not in context.data), context.kept


@behave.when("a caller's request is served at once")
def served_at_once(context):
    async def main(world):
        assert (await users_platform.Caller(world).ask(request_id="r-1")).whole

    world = users_platform.play(main)
    lines = (line for served in world.hosts.values() for line in served.lines)
    context.lines = [line["event"] for line in lines if line["request"] == "r-1"]


@behave.then("its lines are {names}")
def lines_are(context, names):
    assert context.lines == names.split(", "), context.lines
