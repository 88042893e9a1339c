"""Simulate a fleet of rate limiters and check which requests it admitted."""

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
    """Block a host's calls while it is paused."""

    def __init__(self) -> None:
        self.open = trio.Event()
        self.open.set()

    def close(self) -> None:
        """Block calls until ``open`` is set."""
        self.open = trio.Event()


class GatedTable:
    """Forward calls to the table; a paused host gets no response until it resumes."""

    def __init__(self, table, gate: PauseGate) -> None:
        self.table = table
        self.gate = gate
        self.is_cut_off = False

    def __getattr__(self, name):
        async def call(*args, **options):
            await self.gate.open.wait()
            if self.is_cut_off:
                raise memory.table.UnavailableError(
                    "this host is cut off from the table"
                )
            try:
                return await getattr(self.table, name)(*args, **options)
            finally:
                await self.gate.open.wait()

        return call


class GatedPeers:
    """Forward calls to the network; a paused host gets no reply until it resumes."""

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
    """Hold the parts of one simulated host."""

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
    """Start, stop, pause and kill hosts; record all admitted requests."""

    nursery: trio.Nursery
    net: network.Network
    slot_layout: layout.SlotLayout
    options: settings.Limits
    contracts: dict[str, model.Contract]
    checked_contracts: dict[str, model.Contract]
    table: memory.Table = attrs.Factory(memory.Table)
    hosts: dict[str, Host] = attrs.Factory(dict)
    listed: dict[str, str] = attrs.Factory(dict)
    start_count: int = 0
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
        self.start_count += 1
        instance = f"i{self.start_count}"
        clock = clocks.VirtualClock(offset=1000.0 * self.start_count, rate=rate)
        gate = PauseGate()
        endpoint = self.net.attach(host_id, instance)
        peers = GatedPeers(endpoint, gate)
        me = rows.Holder(host_id, instance, host_id)
        store = GatedTable(self.table, gate)
        parts = (self.contracts.get, clock, self.options)
        lease_manager = self.leases_class(
            me, domain, self.slot_layout, store, self, *parts
        )
        slots = self.home_class(lease_manager, *parts)
        limit = self.limiter_class(lease_manager, slots, peers, clock, self.options)
        scope = trio.CancelScope()
        host = Host(
            host_id,
            domain,
            clock,
            gate,
            store,
            lease_manager,
            slots,
            limit,
            scope,
            endpoint,
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
        """Send a request to a host; record and return whether it was admitted."""
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
        """Return the largest excess of any team in any time window, in requests."""
        max_excess = 0.0
        for team, contract in self.checked_contracts.items():
            times = [admitted_at for admitted_at, name in self.admitted if name == team]
            max_excess = max(max_excess, excess(times, contract, drift))
        return max_excess


def excess(times: list[float], contract: model.Contract, drift: float = 0.0) -> float:
    """Return the largest excess over rate x time + burst in any time window.

    A token bucket that starts full and may go negative finds the maximum over all
    windows.
    """
    level = float(contract.burst)
    previous = 0.0
    max_excess = 0.0
    for admitted_at in sorted(times):
        level += (admitted_at - previous) * contract.rate * (1 + drift)
        level = min(contract.burst, level) - 1.0
        max_excess = max(max_excess, -level)
        previous = admitted_at
    return max_excess if max_excess > TOLERANCE else 0.0


def admitted_by_one_bucket(times: list[float], contract: model.Contract) -> int:
    """Return how many of these arrivals a single token bucket would admit."""
    level = float(contract.burst)
    previous = 0.0
    admitted = 0
    for admitted_at in sorted(times):
        level = min(contract.burst, level + (admitted_at - previous) * contract.rate)
        previous = admitted_at
        if level >= 1.0:
            level -= 1.0
            admitted += 1
    return admitted


async def wait_for_claims(fleet: Fleet, seconds: float = 15.0) -> None:
    """Wait until every host has claimed its slots."""
    await trio.sleep(seconds)


def simulate(body, seed: int = 0, **options):
    """Run ``await body(fleet)`` in virtual time and return its result."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = build(nursery, seed=seed, **options)
            result = await body(fleet)
            nursery.cancel_scope.cancel()
        return result

    with deterministic_order(seed):
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def build(
    nursery, *, contracts, domains=("a", "b"), hosts=4, slots=8, seed=0, **overrides
):
    """Return a fleet with hosts h0, h1, ... in alternating failure domains."""
    net = overrides.pop("net", None) or network.Network(seed=seed)
    store = overrides.pop("store", None) or memory.Table()
    classes = {k: overrides.pop(k) for k in list(overrides) if k.endswith("_class")}
    slot_layout = layout.SlotLayout(tuple(domains), slots, 2)
    by_team = {contract.team: contract for contract in contracts}
    options = limits_settings(**overrides)
    checked_contracts = dict(by_team)
    fleet = Fleet(
        nursery, net, slot_layout, options, by_team, checked_contracts, store, **classes
    )
    for index in range(hosts):
        fleet.start(f"h{index}", domains[index % len(domains)])
    return fleet


def limits_settings(**changes) -> settings.Limits:
    """Return the default limits settings with overrides."""
    return settings.Limits(**{**settings.DEFAULTS["limits"], **changes})


@contextlib.contextmanager
def deterministic_order(seed: int):
    """Make trio's task order depend only on the seed."""
    scheduler = trio._core._run
    before = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = before
