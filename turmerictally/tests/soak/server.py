"""Run a stand-in of a model server as a process of its own.

It writes a JSON line for each request that it begins or ends to work on. On SIGTERM it
registers as draining, serves on for a while and leaves.
"""

import base64
import json
import signal
import sys
import time
import types

import httpx
import trio

from turmerictally import httpclient
from turmerictally.entry import network
from turmerictally.tests.support import users_platform

HEARTBEAT_S = 0.5
DRAIN_S = 2.0  # promised after the store knows that it drains
LINGER_S = 0.5  # that it serves beyond that


def note(event, **fields):
    print(json.dumps({"event": event, "at": time.monotonic()} | fields), flush=True)


class Server(users_platform.Server):
    """Log what it works on."""

    async def work(self, stream, parser, run):
        note(
            "run",
            request=run.request,
            server=self.name,
            team=run.team,
            target=run.target,
            body=base64.b64encode(run.body).decode(),
            after=run.resumed_after,
        )
        try:
            return await super().work(stream, parser, run)
        finally:
            note("end", request=run.request, server=self.name, ended=run.ended)


async def change(store, put=(), remove=()):
    body = {"expect": [], "put": list(put), "remove": list(remove)}
    try:
        answer = await store.post("/-/rows-tx", json=body)
        return answer.status_code == 200
    except httpx.HTTPError:
        # The next heartbeat repeats it.
        return False


async def main(name, domain, address, known_as, store_url):
    quiet = types.SimpleNamespace(runs=[], slowness={}, store=None)
    quiet.fabric = types.SimpleNamespace(host=lambda ip: network.Sockets())
    server = Server(quiet, name, address, domain)
    server.known_as = known_as
    server.born = int(time.time() * 1000)
    async with httpclient.client(base_url=store_url, timeout=1.0) as store:
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            note("serving", server=name)
            with trio.open_signal_receiver(signal.SIGTERM) as stops:
                nursery.start_soon(beat, server, store)
                async for _ in stops:
                    break
            server.state = "draining"
            while not await change_state(server, store):
                await trio.sleep(0.1)
            note("draining", server=name)
            await trio.sleep(DRAIN_S + LINGER_S)
            await change(
                store, remove=[{"table": "servers", "part": "", "key": server.name}]
            )
            nursery.cancel_scope.cancel()
    note("left", server=name)


async def change_state(server, store):
    value = {
        "service": server.service,
        "address": server.known_as,
        "zone": server.domain,
        "slots": server.slots,
        "state": server.state,
        "born": server.born,
    }
    row = {"table": "servers", "part": "", "key": server.name}
    row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
    return await change(store, put=[row])


async def beat(server, store):
    while True:
        await change_state(server, store)
        await trio.sleep(HEARTBEAT_S)


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])
