"""Run a fleet of limiters over fake hosts, and check what it admitted."""

import contextlib

import attrs
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.config import model
from turmerictally.limits import layout, leases, limiter, local_slots, rows
from turmerictally.standins import memory
from turmerictally.tests.support import network

TOLERANCE = 1e-6  # tokens


class PauseGate:
    """Stop a host's progress while it is paused."""

    def __init__(self) -> None:
        self.open = trio.Event()
        self.open.set()

    def close(self) -> None:
        """Pause."""
        self.open = trio.Event()


class GatedTable:
    """Pass calls to the table; a paused host sees no answer before it resumes."""

    def __init__(self, table, gate: PauseGate) -> None:
        self.table = table
        self.gate = gate
        self.cut = False

    def __getattr__(self, name):
        async def call(*args, **options):
            await self.gate.open.wait()
            if self.cut:
                raise memory.table.UnavailableError("cut off")
            try:
                return await getattr(self.table, name)(*args, **options)
            finally:
                await self.gate.open.wait()

        return call


class GatedPeers:
    """Pass calls to the network; a paused host sees no reply before it resumes."""

    def __init__(self, peers, gate: PauseGate) -> None:
        self.peers = peers
        self.gate = gate

    def handle(self, kind, handler) -> None:
        self.peers.handle(kind, handler)

    async def call(self, *args, **options):
        try:
            return await self.peers.call(*args, **options)
        finally:
            await self.gate.open.wait()


@attrs.define
class Host:
    """Hold one simulated host."""

    id: str
    domain: str
    clock: clocks.Clock
    gate: PauseGate
    store: GatedTable
    leases: leases.LeaseManager
    home: local_slots.LocalSlots
    limiter: limiter.RateLimiter
    scope: trio.CancelScope
    endpoint: network.Peers


@attrs.define
class Fleet:
    """Start, stop, pause and kill hosts; log every admitted request."""

    nursery: trio.Nursery
    net: network.Network
    slot_layout: layout.SlotLayout
    options: settings.Limits
    contracts: dict[str, model.Contract]
    bounds: dict[str, model.Contract]
    table: memory.Table = attrs.Factory(memory.Table)
    hosts: dict[str, Host] = attrs.Factory(dict)
    listed: dict[str, str] = attrs.Factory(dict)
    starts: int = 0
    admitted: list[tuple[float, str]] = attrs.Factory(list)
    refused: dict[str, int] = attrs.Factory(dict)
    refusals: list[errors.Error] = attrs.Factory(list)
    leases_class: type = leases.LeaseManager
    home_class: type = local_slots.LocalSlots
    limiter_class: type = limiter.RateLimiter

    def live(self, domain):
        return [host for host, where in self.listed.items() if where == domain]

    def count(self):
        return len(self.listed)

    def start(self, host_id: str, domain: str, rate: float = 1.0) -> Host:
        self.starts += 1
        instance = f"i{self.starts}"
        clock = clocks.VirtualClock(offset=1000.0 * self.starts, rate=rate)
        gate = PauseGate()
        endpoint = self.net.attach(host_id, instance)
        peers = GatedPeers(endpoint, gate)
        me = rows.Holder(host_id, instance, host_id)
        store = GatedTable(self.table, gate)
        parts = (self.contracts.get, clock, self.options)
        held = self.leases_class(me, domain, self.slot_layout, store, self, *parts)
        slots = self.home_class(held, *parts)
        limit = self.limiter_class(held, slots, peers, clock, self.options)
        scope = trio.CancelScope()
        host = Host(
            host_id, domain, clock, gate, store, held, slots, limit, scope, endpoint
        )
        self.hosts[host_id] = host
        self.listed[host_id] = domain
        self.nursery.start_soon(self._run, host)
        return host

    async def _run(self, host: Host) -> None:
        with host.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.leases.run)
                nursery.start_soon(host.limiter.run)

    def kill(self, host_id: str) -> None:
        host = self.hosts.pop(host_id)
        host.scope.cancel()
        self.net.detach(host_id)
        self.listed.pop(host_id, None)

    def pause(self, host_id: str) -> None:
        host = self.hosts[host_id]
        host.gate.close()
        host.endpoint.paused = host.gate.open

    def resume(self, host_id: str) -> None:
        host = self.hosts[host_id]
        host.gate.open.set()
        host.endpoint.paused = None

    async def stop(self, host_id: str) -> None:
        host = self.hosts.pop(host_id)
        await host.limiter.stop()
        host.scope.cancel()
        self.net.detach(host_id)
        self.listed.pop(host_id, None)

    async def request(self, host_id: str, team: str, cost: float = 1.0) -> bool:
        """Admit one request at a host and log the outcome."""
        host = self.hosts.get(host_id)
        if host is None:
            return False
        await host.gate.open.wait()
        deadline = host.clock.monotonic() + 5.0
        contract = self.contracts[team]
        try:
            await host.limiter.admit(contract, cost, deadline=deadline)
        except errors.Error as error:
            self.refused[team] = self.refused.get(team, 0) + 1
            self.refusals.append(error)
            return False
        self.admitted.append((trio.current_time(), team))
        return True

    def excess(self, drift: float = 0.0) -> float:
        """Return the worst excess of any team over any window, in requests."""
        worst = 0.0
        for team, contract in self.bounds.items():
            times = [at for at, name in self.admitted if name == team]
            worst = max(worst, excess(times, contract, drift))
        return worst


def excess(times: list[float], contract: model.Contract, drift: float = 0.0) -> float:
    """Return by how much the worst window exceeds rate x time + burst.

    One full token bucket that may go below zero finds the worst of all windows.
    """
    level = float(contract.burst)
    last = 0.0
    worst = 0.0
    for at in sorted(times):
        level += (at - last) * contract.rate * (1 + drift)
        level = min(contract.burst, level) - 1.0
        worst = max(worst, -level)
        last = at
    return worst if worst > TOLERANCE else 0.0


def admitted_by_one_bucket(times: list[float], contract: model.Contract) -> int:
    """Return how many of these arrivals one central bucket admits."""
    level = float(contract.burst)
    last = 0.0
    admitted = 0
    for at in sorted(times):
        level = min(contract.burst, level + (at - last) * contract.rate)
        last = at
        if level >= 1.0:
            level -= 1.0
            admitted += 1
    return admitted


async def wait_for_claims(fleet: Fleet, seconds: float = 15.0) -> None:
    """Let every host claim its slots."""
    await trio.sleep(seconds)


def simulate(body, seed: int = 0, **options):
    """Run ``await body(fleet)`` in virtual time over a fleet and return its result."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = build(nursery, seed=seed, **options)
            result = await body(fleet)
            nursery.cancel_scope.cancel()
        return result

    with deterministic_order(seed):
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def build(nursery, *, contracts, domains=("a", "b"), hosts=4, slots=8, seed=0, **more):
    """Return a fleet whose hosts h0, h1, ... are spread over the failure domains."""
    net = more.pop("net", None) or network.Network(seed=seed)
    store = more.pop("store", None) or memory.Table()
    classes = {k: more.pop(k) for k in list(more) if k.endswith("_class")}
    placed = layout.SlotLayout(tuple(domains), slots, 2)
    by_team = {contract.team: contract for contract in contracts}
    options = limits_settings(**more)
    bounds = dict(by_team)
    fleet = Fleet(nursery, net, placed, options, by_team, bounds, store, **classes)
    for index in range(hosts):
        fleet.start(f"h{index}", domains[index % len(domains)])
    return fleet


def limits_settings(**changes) -> settings.Limits:
    """Return the default settings of limits with changes."""
    return settings.Limits(**{**settings.DEFAULTS["limits"], **changes})


@contextlib.contextmanager
def deterministic_order(seed: int):
    """Run trio's tasks in an order that depends on the seed alone."""
    scheduler = trio._core._run
    before = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = before
