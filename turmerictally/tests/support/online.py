"""Run hosts' online paths before engine stand-ins in virtual time."""

import json
import random

import attrs
import trio

from turmerictally import clock, settings
from turmerictally.config import model
from turmerictally.online import forward, idempotency, messages, pipeline
from turmerictally.routing import engines, headroom, polling, router, servers
from turmerictally.standins import (
    engine,
    engine_server,
    memory,
    service,
    transport,
)
from turmerictally.store import hosts
from turmerictally.tests.support import network

DOMAIN = "luzon-a"
PROMPT = " ".join(f"word{n}" for n in range(40))


def options(**sections):
    """Return settings with some sections' values replaced."""
    defaults = {
        "host_id": "h0",
        "region": "luzon",
        "failure_domain": DOMAIN,
        "peer_secret": "s",
        "platform": {"url": "http://127.0.0.1:9000"},
    }
    return settings.build(defaults | sections)


@attrs.define
class Host:
    """Hold the components of one host."""

    id: str
    router: router.Router
    poller: polling.Poller
    gate: headroom.BatchGate
    claims: idempotency.Claims
    pipeline: pipeline.Pipeline
    forwarder: forward.Forwarder
    events: list
    scope: trio.CancelScope


class Recording(transport.Transport):
    """Record the exchanges, so that a test can interrupt them."""

    def __init__(self, nursery, apps):
        super().__init__(nursery, apps)
        self.exchanges = []
        self.nursery = self
        self.real = nursery

    def start_soon(self, run, *args):
        self.exchanges.append(run.__self__)
        self.real.start_soon(run, *args)


class Fleet:
    """Run the platform, engines and hosts of one test."""

    def __init__(self, nursery, **sections):
        self.nursery = nursery
        self.options = options(**sections)
        self.platform = memory.Platform()
        self.network = network.Network()
        self.clock = clock.VirtualClock()
        self.apps = {}
        self.transport = Recording(nursery, self.apps)
        self.exchanges = self.transport.exchanges
        self.engines = {}
        self.hosts = {}
        self.dead = set()

    async def add_engine(self, address, domain=DOMAIN, **options):
        new_engine = engine.Engine(engine.Options(**options), instance=f"{address}/1")
        self.engines[address] = new_engine
        self.apps[address] = engine_server.app(new_engine)
        self.nursery.start_soon(new_engine.run)
        await self.list(address, new_engine.instance, domain, models=("small",))
        return new_engine

    async def add_service(self, address, domain=DOMAIN):
        new_service = service.Service()
        self.apps[address] = service.app(new_service)
        await self.list(address, new_service.instance, domain, name="booking")
        return new_service

    async def list(self, address, instance, domain, models=(), name="llm", **more):
        await self.platform.hosts.register(
            hosts.ListedHost(
                id=address,
                instance=instance,
                role=hosts.Role.BACKEND_SERVER,
                address=address,
                region="luzon",
                failure_domain=domain,
                service=name,
                models=models,
                **more,
            )
        )

    async def add_host(self, host_id, domain=DOMAIN, seed=0, poll=True):
        rng = random.Random(f"{host_id}/{seed}")
        options = self.options
        directory = servers.ServerDirectory(self.clock)
        chooser = router.Router(
            host_id, domain, options.routing, directory, clock=self.clock, rng=rng
        )
        control = engines.EngineClient(self.clock, self.transport)
        peers = self.network.attach(host_id, f"{host_id}/1")
        gate = headroom.BatchGate(
            host_id, chooser, options.batch, self.live, peers, clock=self.clock
        )
        poller = polling.Poller(
            chooser,
            control,
            self.platform.hosts,
            options.routing,
            clock=self.clock,
            rng=rng,
            extra_addresses=gate.owned,
        )
        claims = idempotency.Claims(
            host_id,
            f"{host_id}/1",
            self.platform.table,
            self.platform.objects,
            peers,
            options.online,
            clock=self.clock,
            rng=rng,
            is_alive=lambda host, instance: host not in self.dead,
            address_of=lambda host: host if host in self.hosts else None,
        )
        forwarder = forward.Forwarder(options.online, self.clock, self.transport)
        events = []
        path = pipeline.Pipeline(
            options,
            chooser,
            forwarder,
            control,
            claims,
            clock=self.clock,
            rng=rng,
            record=lambda rid, event, **f: events.append((rid, event, f)),
            mark_active=poller.mark_active,
        )
        poller.on_report += [path.load_reported, gate.load_reported]
        host = Host(
            host_id,
            chooser,
            poller,
            gate,
            claims,
            path,
            forwarder,
            events,
            trio.CancelScope(),
        )
        self.hosts[host_id] = host
        await self.nursery.start(self._run_host, host, poll)
        await poller.refresh()
        return host

    def live(self):
        return [
            hosts.ListedHost(h, f"{h}/1", hosts.Role.ENTRY, h, "luzon", DOMAIN)
            for h in self.hosts
            if h not in self.dead
        ]

    def kill(self, host_id):
        """Crash a host with all its state."""
        self.dead.add(host_id)
        self.network.detach(host_id)
        unreachable = memory.Table()
        unreachable.faults.down = True
        self.hosts[host_id].claims.table = unreachable
        self.hosts[host_id].scope.cancel()

    async def _run_host(self, host, poll, task_status):
        with host.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(host.pipeline.serve)
                nursery.start_soon(host.claims.run)
                nursery.start_soon(host.gate.run)
                if poll:
                    nursery.start_soon(host.poller.run)
                task_status.started()


def chat(request_id="r1", *, tokens=32, prompt=PROMPT, stream=True, **more):
    """Return a model request."""
    body = {
        "model": "small",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    defaults = {
        "request_id": request_id,
        "team": "dalisay",
        "contract": model.Contract("dalisay", 100.0, 100),
        "service": "llm",
        "method": "POST",
        "path": "/v1/chat/completions",
        "body": json.dumps(body).encode(),
        "model": "small",
        "streamed": stream,
        "idempotent": True,
        "deadline": trio.current_time() + 60.0,
    }
    return messages.Request(**(defaults | more))


def confirm(request_id="r1", *, key="k1", reference="b1", **more):
    """Return a booking confirmation, a non-idempotent request."""
    defaults = {
        "request_id": request_id,
        "team": "vanua",
        "contract": model.Contract("vanua", 100.0, 100),
        "service": "booking",
        "method": "POST",
        "path": "/confirmations",
        "body": json.dumps({"reference": reference}).encode(),
        "idempotency_key": key,
        "deadline": trio.current_time() + 30.0,
    }
    return messages.Request(**(defaults | more))


@attrs.define
class Read:
    """Record what a caller received from a stream."""

    tokens: list = attrs.Factory(list)
    complete: bool = False
    error: str = ""
    gaps: list = attrs.Factory(list)


async def read(response, pause_s=0.0):
    """Read a stream to its end as a caller would."""
    data = b""
    times = []
    async for part in response:
        data += part
        times.append(trio.current_time())
        await trio.sleep(pause_s)
    result = Read(gaps=[b - a for a, b in zip(times, times[1:], strict=False)])
    for event in data.split(b"\n\n")[:-1]:
        payload = event.removeprefix(b"data: ")
        if payload == b"[DONE]":
            result.complete = True
            continue
        chunk = json.loads(payload)
        if "error" in chunk:
            result.error = chunk["error"]["code"]
            continue
        text = chunk["choices"][0]["delta"].get("content")
        result.tokens += [text] if text else []
    return result


def run(main, seed=0, **sections):
    """Run an async test function with a fleet, in virtual time."""

    async def body():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, **sections)
            await main(fleet)
            nursery.cancel_scope.cancel()

    trio._core._run._r.seed(seed)
    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
