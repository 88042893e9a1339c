"""Run the configuration of several hosts in virtual time."""

import contextlib

import attrs
import trio
import trio._core._run as trio_run
import trio.testing

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.config import assembly
from turmerictally.standins import memory
from turmerictally.store import hosts, table
from turmerictally.tests.support import network

DOMAINS = ("luzon-a", "luzon-b", "luzon-c", "luzon-d")


class Link:
    """Reach one service of the platform, unless this host is cut off from it."""

    def __init__(self, service, host):
        self.service = service
        self.host = host

    def __getattr__(self, name):
        call = getattr(self.service, name)

        async def reach(*args, **kwargs):
            if self.host.cut_from_platform:
                await trio.sleep(0.01)
                raise table.UnavailableError("cut off")
            return await call(*args, **kwargs)

        return reach


@attrs.define(eq=False)
class FleetHost:
    id: str
    domain: str
    address: str
    instance: str
    scope: trio.CancelScope
    clock: clocks.VirtualClock
    cut_from_platform: bool = False
    started: bool = False
    parts: assembly.Configuration = None

    @property
    def version(self):
        return self.parts.replica.view.version

    @property
    def may_serve(self):
        return self.started and not self.parts.replica.is_stale()


class Fleet:
    """Hold hosts h0, h1, ... spread over the failure domains in turn."""

    def __init__(self, nursery, seed=0, **changes):
        self.nursery = nursery
        self.platform = memory.Platform()
        self.net = network.Network(seed=seed)
        self.hosts = {}
        self.starts = 0
        self.seeds = []
        self.domains = DOMAINS
        self.changes = {"config": {}, "membership": {}} | changes

    def address(self, number):
        return f"10.0.{number // 250}.{number % 250 + 1}:8082"

    def settings_of(self, number, domain):
        given = {
            "host_id": f"h{number}",
            "region": "luzon",
            "failure_domain": domain,
            "listen": {"peers": self.address(number)},
            "peer_secret": "s",
            "platform": {"url": "http://127.0.0.1:1"},
            "config": self.changes["config"],
            "membership": {"seeds": self.seeds} | self.changes["membership"],
        }
        return settings.build(given)

    def start(self, number, rate=1.0, **flags):
        """Start or replace host ``number``; it gets ready in the background."""
        domain = self.domains[number % len(self.domains)]
        config = self.settings_of(number, domain)
        self.kill(f"h{number}")
        self.starts += 1
        instance = f"i{self.starts}"
        clock = clocks.VirtualClock(offset=1000.0 * self.starts, rate=rate)
        scope = trio.CancelScope()
        address = config.listen.peers
        host = FleetHost(config.host_id, domain, address, instance, scope, clock)
        for name, value in flags.items():
            setattr(host, name, value)
        peers = self.net.attach(address, instance)
        peers = ClockedPeers(peers, clock)
        listing = Link(self.platform.hosts, host)
        rows = Link(self.platform.table, host)
        objects = Link(self.platform.objects, host)
        host.parts = assembly.build(
            config, instance, rows, objects, listing, peers, clock
        )
        self.hosts[host.id] = host
        self.nursery.start_soon(self._run, host)
        return host

    async def _run(self, host):
        with host.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._register, host)
                await nursery.start(host.parts.run)
                host.started = True

    async def _register(self, host):
        listed = hosts.ListedHost(
            host.id, host.instance, hosts.Role.ENTRY, host.address, "luzon", host.domain
        )
        while True:
            with contextlib.suppress(table.UnavailableError):
                await host.parts.detector.listing.register(listed)
                return
            await trio.sleep(1)

    def kill(self, host_id):
        """Crash a host without notice."""
        host = self.hosts.pop(host_id, None)
        if host is not None:
            self.net.detach(host.address)
            host.scope.cancel()

    async def start_all(self, count):
        for number in range(count):
            self.start(number)
        await self.settle()

    async def settle(self, limit_s=60):
        """Wait until every host is ready and knows every other."""
        with trio.fail_after(limit_s):
            while not all(self._is_settled(host) for host in self.hosts.values()):
                await trio.sleep(0.5)

    def _is_settled(self, host):
        known = len(host.parts.members.live()) == len(self.hosts) - 1
        return host.started and known

    def in_domain(self, domain):
        return [host for host in self.hosts.values() if host.domain == domain]

    def separate(self, one, other):
        self.net.separate([h.address for h in one], [h.address for h in other])

    def everyone_has(self, version):
        return all(h.version >= version for h in self.hosts.values())


class ClockedPeers:
    """Translate deadlines from a host's skewed clock to virtual time."""

    def __init__(self, peers, clock):
        self.peers = peers
        self.clock = clock

    def handle(self, kind, handler):
        self.peers.handle(kind, handler)

    async def call(self, address, kind, body, *, deadline):
        left = (deadline - self.clock.monotonic()) / self.clock.rate
        until = trio.current_time() + left
        return await self.peers.call(address, kind, body, deadline=until)


def run(function, *args, seed=0):
    """Run an async function in virtual time with a fixed order of tasks."""
    trio_run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


def run_fleet(scenario, count=4, seed=0, domains=DOMAINS, **changes):
    """Run ``scenario(fleet)`` on a settled fleet of ``count`` hosts."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, seed=seed, **changes)
            fleet.domains = domains
            await fleet.start_all(count)
            result = await scenario(fleet)
            nursery.cancel_scope.cancel()
        return result

    return run(main, seed=seed)
