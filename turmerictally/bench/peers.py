"""Measure CPU, bytes and memory of the inner protocol over real sockets, by hand.

Workload: calls with bodies of 50, 500 and 5000 bytes between two hosts in one
process, in turn and 50 at once; then 25, 50 and 100 streams.
Baseline: one plain TCP exchange of the same body in the same run.
Bound: as many small calls as 6 KB/s carry, sent and answered by one host, fit in 4.9%
of a core, and 400 streams in half of 128 MB.
"""

import collections.abc
import functools
import pathlib
import resource
import statistics
import time

import attrs
import trio
import trio.testing

from turmerictally.bench import report
from turmerictally.peers import calls, transport

NAME = "peers"
SUMMARY = (
    "inner protocol over loopback, by hand; against plain TCP; "
    "the calls that 6 KB/s carry within 4.9% of a core, 400 streams within 64 MB"
)

BODY_BYTES = (50, 500, 5000)
STREAMS = (25, 50, 100)
CALLS = 300
AT_ONCE = 50
REPEATS = 3
CALL_TIMEOUT_S = 30.0
CONTROL_CPU_RATIO = 0.049  # of a core, for one host
CONTROL_BYTES_PER_S = 6000  # of one host
TARGET_PEERS = 400
PEERS_MEMORY_BYTES = 64 * 1024 * 1024
KIND = calls.Kind.PING
ANY = "0.0.0.0:0"

Exchange = collections.abc.Callable[[bytes], collections.abc.Awaitable[object]]


@attrs.define
class Relay:
    """Pass TCP bytes on to a port and count them in both directions."""

    port: int
    count: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Relay one connection."""
        target = await trio.open_tcp_stream("127.0.0.1", self.port)
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, stream, target)
            await self._copy(target, stream)
            nursery.cancel_scope.cancel()

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        try:
            async for data in source:
                self.count += len(data)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


def main() -> report.Report:
    """Measure and compare with the control budget of one host."""
    return trio.run(run)


async def run() -> report.Report:
    """Run every part against one pair of hosts."""
    result = report.Report(NAME)
    async with trio.open_nursery() as nursery:
        caller = _host("caller")
        answering = _host("answering")
        await nursery.start(caller.serve, ANY)
        port = _port(await nursery.start(answering.serve, ANY))
        per_call = await _measure_bytes(result, nursery, caller, port)
        # Half of the bytes go to calls that this host sends, half to answering.
        calls_per_s = CONTROL_BYTES_PER_S / (2 * per_call)
        await _measure_cpu(result, nursery, caller, port, calls_per_s)
        await _measure_streams(result, caller, port)
        nursery.cancel_scope.cancel()
    return result


async def _measure_cpu(
    result: report.Report,
    nursery: trio.Nursery,
    caller: transport.Peers,
    port: int,
    calls_per_s: float,
) -> None:
    call = functools.partial(_call, caller, f"127.0.0.1:{port}")
    plain = await _open_echo(nursery)
    medians = []
    for size in BODY_BYTES:
        body = b"x" * size
        await call(body)
        base = [await _cpu_in_turn(plain, body) for _ in range(REPEATS)]
        in_turn = [await _cpu_in_turn(call, body) for _ in range(REPEATS)]
        at_once = [await _cpu_at_once(call, body) for _ in range(REPEATS)]
        medians.append(statistics.median(in_turn))
        result.rows.append(
            {
                "measured": f"CPU ms a call, both ends, {size} B",
                "in turn": _spread(in_turn),
                "50 at once": _spread(at_once),
                "plain TCP": _spread(base),
            }
        )
    # One end takes half; a host sends and answers, which makes a whole call.
    spent = max(medians) / 1000 * calls_per_s
    result.check(
        "control CPU",
        spent <= CONTROL_CPU_RATIO,
        f"{calls_per_s:.0f} calls/s sent and answered take {spent:.1%} of a core, "
        f"at most {CONTROL_CPU_RATIO:.1%}",
    )


async def _measure_bytes(
    result: report.Report, nursery: trio.Nursery, caller: transport.Peers, port: int
) -> float:
    relay = Relay(port)
    serve = functools.partial(trio.serve_tcp, relay.serve, 0, host="127.0.0.1")
    listeners = await nursery.start(serve)
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    await _call(caller, address, b"x")
    opening = relay.count
    row = {"measured": "TCP bytes", "opening with one call": opening}
    per_call = []
    for size in BODY_BYTES:
        before = relay.count
        for _ in range(CALLS):
            await _call(caller, address, b"x" * size)
        per_call.append((relay.count - before) / CALLS)
        row[f"a call of {size} B, both ways"] = per_call[-1]
    result.rows.append(row)
    return per_call[0]


async def _measure_streams(
    result: report.Report, caller: transport.Peers, port: int
) -> None:
    opened = 0
    memory = _resident_bytes()
    for count in STREAMS:
        started = time.process_time()
        for number in range(opened, count):
            await _call(caller, f"127.0.1.{number + 1}:{port}", b"x")
        spent = (time.process_time() - started) / (count - opened)
        now = _resident_bytes()
        per_stream = (now - memory) / (count - opened)
        opened, memory = count, now
        row = {
            "measured": f"{count} streams, both ends",
            "KB each further stream": per_stream / 1024,
            "CPU ms to open": spent * 1000,
        }
        result.rows.append(row)
    needed = per_stream * TARGET_PEERS
    result.check(
        "memory of streams",
        needed <= PEERS_MEMORY_BYTES,
        f"{TARGET_PEERS} streams, both ends, take {needed / 2**20:.1f} MB",
    )


async def _cpu_in_turn(exchange: Exchange, body: bytes) -> float:
    started = time.process_time()
    for _ in range(CALLS):
        await exchange(body)
    return (time.process_time() - started) / CALLS * 1000


async def _cpu_at_once(exchange: Exchange, body: bytes) -> float:
    started = time.process_time()
    for _ in range(CALLS // AT_ONCE):
        async with trio.open_nursery() as nursery:
            for _ in range(AT_ONCE):
                nursery.start_soon(exchange, body)
    return (time.process_time() - started) / CALLS * 1000


async def _open_echo(nursery: trio.Nursery) -> Exchange:
    async def echo(stream: trio.SocketStream) -> None:
        async for data in stream:
            await stream.send_all(data)

    serve = functools.partial(trio.serve_tcp, echo, 0, host="127.0.0.1")
    listeners = await nursery.start(serve)
    stream = await trio.testing.open_stream_to_socket_listener(listeners[0])

    async def exchange(body: bytes) -> None:
        await stream.send_all(body)
        left = len(body)
        while left > 0:
            left -= len(await stream.receive_some())

    return exchange


async def _call(peers: transport.Peers, address: str, body: bytes) -> bytes:
    deadline = trio.current_time() + CALL_TIMEOUT_S
    return await peers.call(address, KIND, body, deadline=deadline)


async def _echo(caller: calls.Caller, body: bytes) -> bytes:
    return body


def _host(name: str) -> transport.Peers:
    peers = transport.Peers(calls.Caller(name, "1", 1), "bench")
    peers.handle(KIND, _echo)
    return peers


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _resident_bytes() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def _spread(values: list[float]) -> str:
    return f"{min(values):.2f}-{max(values):.2f}"
