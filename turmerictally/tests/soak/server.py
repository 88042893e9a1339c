"""Run a stand-in of a model server as a process of its own.

It writes a JSON line for each request that it begins or ends to work on. On SIGTERM it
registers as draining, serves on for a while and leaves; on SIGUSR1 it leaves in the
same way without saying so before. It refuses some of what comes for the first time, and
writes the refusal once more if the same request comes again on the same connection. It
fails some of the requests that it runs with a status by which callers know that they
did not run, and some batch items each time.
"""

import base64
import json
import signal
import sys
import time
import types
import zlib

import httpx
import trio

from turmerictally import httpclient
from turmerictally.entry import network
from turmerictally.tests.soak import world
from turmerictally.tests.support import users_platform

HEARTBEAT_S = 0.5
RETRY_S = 0.1
DRAIN_S = 2.0  # promised after the store knows that it drains
LINGER_S = 2.0  # that it serves beyond that, so that late requests are seen
REFUSED_ONE_IN = 4  # of the requests that come for the first time
FAILED_ONE_IN = 40  # of the online requests that it runs
FAILURES = (408, 429, 503)  # without stating that the request did not run
STALL_S = 0.1  # by which a sleep may take too long on a busy machine
COPY_LEAD_S = 0.5  # from the copy of a refusal to the run's first event, at least


def note(event, **fields):
    print(json.dumps({"event": event, "at": time.monotonic()} | fields), flush=True)


class Server(users_platform.Server):
    """Log what it works on, with the time at which it came."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self.arrived = {}
        self.refused = {}  # by request: the connection and the refusal
        self.cold_until = 0.0
        self.status_of = self.draw_status

    def remaining_ms(self):
        return max(0.0, self.cold_until - time.monotonic()) * 1000

    def refuses(self, request, headers):
        """Return whether a request that comes for the first time is refused."""
        drawn = headers["x-request-id"]
        if "last-event-id" not in headers and not request.target.startswith(b"/night/"):
            # Another server takes it. What waits for a slot is refused by all of them,
            # so that it comes again to a connection that carried its refusal.
            drawn += self.name
        return zlib.crc32(drawn.encode()) % REFUSED_ONE_IN == 0

    def draw_status(self, run):
        if run.target.startswith("/night/"):
            return 500 if world.fails_always(run.request) else 200
        drawn = zlib.crc32(f"fails {run.request} at {self.name}".encode())
        if drawn % FAILED_ONE_IN:
            return 200
        return FAILURES[drawn // FAILED_ONE_IN % len(FAILURES)]

    async def answer(self, stream, parser, request, headers, body):
        name = headers["x-request-id"]
        new = name not in self.arrived
        self.arrived[name] = time.monotonic()
        if new and self.refuses(request, headers):
            return await self.refuse(stream, parser, headers, 503)
        return await super().answer(stream, parser, request, headers, body)

    async def refuse(self, stream, parser, headers, status):
        kept = await super().refuse(stream, parser, headers, status)
        name = headers["x-request-id"]
        self.refused[name] = stream, self.refusals.pop(id(stream))
        return kept

    async def work(self, stream, parser, run):
        arrived = self.arrived[run.request]
        note(
            "run",
            request=run.request,
            server=self.name,
            team=run.team,
            target=run.target,
            body=base64.b64encode(run.body).decode(),
            after=run.resumed_after,
            arrived=arrived,
        )
        try:
            await self.copy_refusal(stream, run.request)
            return await super().work(stream, parser, run)
        finally:
            note(
                "end",
                request=run.request,
                server=self.name,
                arrived=arrived,
                ended=run.ended,
            )

    async def copy_refusal(self, stream, name):
        """Repeat a request's refusal if it was written on this connection."""
        if name not in self.refused:
            return
        connection, refusal = self.refused[name]
        copied = connection is stream
        note("again", request=name, server=self.name, copied=copied)
        if copied:
            del self.refused[name]
            await stream.send_all(refusal)
            await trio.sleep(COPY_LEAD_S)


async def change(store, put=(), remove=()):
    body = {"expect": [], "put": list(put), "remove": list(remove)}
    try:
        answer = await store.post("/-/rows-tx", json=body)
        return answer.status_code == 200
    except httpx.HTTPError:
        # The next heartbeat repeats it.
        return False


async def main(name, domain, address, known_as, store_url, software):
    quiet = types.SimpleNamespace(runs=[], slowness={}, store=None)
    quiet.fabric = types.SimpleNamespace(host=lambda ip: network.SocketNetwork())
    server = Server(quiet, name, address, domain)
    server.known_as = known_as
    server.software, server.marks_software = software, True
    server.born = int(time.time() * 1000)
    async with httpclient.client(base_url=store_url, timeout=1.0) as store:
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            nursery.start_soon(note_stalls, name)
            server.cold_until = time.monotonic() + world.COLD_S
            note("serving", server=name, software=software)
            if await serve_until_told(server, store):
                server.state = "draining"
                await leave(server, lambda: change_state(server, store))
                await unregister(server, store)
            else:
                await leave(server, lambda: unregister(server, store))
            await trio.sleep(LINGER_S)
            nursery.cancel_scope.cancel()
    note("left", server=name)


async def note_stalls(name):
    """Log when this process did not run, as it then does not see that callers leave."""
    while True:
        since = time.monotonic()
        await trio.sleep(STALL_S)
        if time.monotonic() - since > 2 * STALL_S:
            note("stalled", server=name, since=since)


async def serve_until_told(server, store):
    """Keep the server registered; return whether it shall say that it leaves."""
    told = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(beat, server, store, told)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGUSR1) as signals:
            number = await anext(aiter(signals))
        # The last heartbeat must not come after what is written next.
        told.set()
    return number == signal.SIGTERM


async def leave(server, tell):
    """Tell the store, note when it knew, and serve on for as long as is promised."""
    while not await tell():
        await trio.sleep(RETRY_S)
    note("leaving", server=server.name)
    await trio.sleep(DRAIN_S)


async def unregister(server, store):
    row = {"table": "servers", "part": "", "key": server.name}
    return await change(store, remove=[row])


async def change_state(server, store):
    value = {
        "service": server.service,
        "address": server.known_as,
        "zone": server.domain,
        "slots": server.slots,
        "state": server.state,
        "born": server.born,
        "version": server.software,
        "coldRemainingMs": server.remaining_ms(),
    }
    row = {"table": "servers", "part": "", "key": server.name}
    row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
    return await change(store, put=[row])


async def beat(server, store, told):
    while not told.is_set():
        await change_state(server, store)
        with trio.move_on_after(HEARTBEAT_S):
            await told.wait()


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])
