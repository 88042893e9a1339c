"""Join real routers, queues and batch gates with simulated engines."""

import random

import attrs

from turmerictally import settings
from turmerictally.bench import simulated
from turmerictally.online import queue
from turmerictally.routing import headroom, load, router, servers
from turmerictally.store import hosts

POLL_S = 0.5
DOMAINS = ("a", "b", "c", "d")
HOP_S = 0.001
SERVICE = "llm"
MODEL = "small"


class NoPeers:
    """Register no handlers; calls between simulated hosts are made directly."""

    def handle(self, kind, handler) -> None:
        """Ignore a handler."""


@attrs.define(eq=False)
class Host:
    """Hold one entry host's policies."""

    id: str
    domain: str
    router: router.Router
    waiting: queue.FairQueue | None = None
    gate: headroom.BatchGate | None = None


class Fleet:
    """Hold engines and hosts that share one timeline and one seed."""

    def __init__(self, seed: int, engines: int, entry_hosts: int, slow=None) -> None:
        self.timeline = simulated.Timeline()
        self.rng = random.Random(seed)
        self.options = settings.build(
            {
                "host_id": "h0",
                "region": "luzon",
                "failure_domain": "a",
                "peer_secret": "s",
                "platform": {"url": "http://127.0.0.1:9000"},
            }
        )
        slow = slow or {}
        self.engines = {}
        for n in range(engines):
            address = f"10.0.0.{n}:8000"
            factor = slow.get(n, 1.0)
            self.engines[address] = simulated.Engine(self.timeline, address, factor)
        self.hosts = [self._host(n) for n in range(entry_hosts)]
        for host in self.hosts:
            for address in self.engines:
                self.timeline.after(
                    self.rng.random() * POLL_S, self._poll, host, address
                )

    def live(self) -> list[hosts.ListedHost]:
        """Return the entry hosts as a membership would."""
        return [
            hosts.ListedHost(h.id, "1", hosts.Role.ENTRY, h.id, "luzon", h.domain)
            for h in self.hosts
        ]

    def _host(self, number: int) -> Host:
        domain = DOMAINS[number % len(DOMAINS)]
        known = servers.ServerDirectory(self.timeline)
        known.update([self._listed(n, a) for n, a in enumerate(self.engines)])
        chooser = router.Router(
            f"h{number}",
            domain,
            self.options.routing,
            known,
            clock=self.timeline,
            rng=random.Random(self.rng.getrandbits(64)),
        )
        return Host(f"h{number}", domain, chooser)

    def _listed(self, number: int, address: str) -> hosts.ListedHost:
        return hosts.ListedHost(
            id=address,
            instance="1",
            role=hosts.Role.BACKEND_SERVER,
            address=address,
            region="luzon",
            failure_domain=DOMAINS[number % len(DOMAINS)],
            service=SERVICE,
            models=(MODEL,),
        )

    def _poll(self, host: Host, address: str) -> None:
        running, waiting, batch = self.engines[address].report()
        sampled_at = self.timeline.now - simulated.REPORT_LAG_S
        report = load.LoadReport(
            running, waiting, simulated.CAPACITY, sampled_at, batch
        )
        host.router.loads.record_polled(address, report)
        if host.gate is not None:
            host.gate.load_reported(address)
        if host.waiting is not None:
            host.waiting.pump()
        self.timeline.after(
            POLL_S * self.rng.uniform(0.8, 1.2), self._poll, host, address
        )

    def send(self, host: Host, address: str, work: simulated.Work) -> None:
        """Send a request whose load is counted already."""
        engine = self.engines[address]
        name = servers.ServerRequirements(SERVICE, MODEL).group
        sent = self.timeline.now
        first, end = work.on_first, work.on_end

        def on_first(work: simulated.Work) -> None:
            now = self.timeline.now
            running, waiting, _ = engine.current()
            text = f"{running},{waiting},{simulated.CAPACITY}"
            host.router.loads.record_piggybacked(address, text, now)
            host.router.loads.observe_first_token(address, name, now - sent, now)
            first(work)

        def on_end(work: simulated.Work) -> None:
            host.router.request_ended(address)
            end(work)
            if host.waiting is not None:
                host.waiting.pump()

        work.on_first, work.on_end = on_first, on_end
        self.timeline.after(HOP_S, engine.submit, work)
