"""Run batch work on spare capacity and give it back when online needs room."""

import collections.abc
import contextlib
import logging
import math

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.peers import calls, routing_pb2
from turmerictally.routing import router, servers, subset
from turmerictally.store import hosts

logger = logging.getLogger(__name__)

# Longest time in seconds that room which another host asked for stays reserved.
DEMAND_S = 1.25
# Time in seconds within which an announced request reaches its server.
ARRIVAL_S = 0.01
# Seconds without new batch work on a server after it yielded.
HOLD_S = 0.25
# Shortest time between two calls to the owner of one server, in seconds.
YIELD_INTERVAL_S = 0.02
YIELD_TIMEOUT_S = 0.25
# Seconds between two looks for room that opened without an event.
WAKE_S = 0.05
# Seconds in which batch work fills an idle server.
RAMP_S = 0.25
# Seconds between two checks of who owns which servers.
OWNERSHIP_S = 0.25

LiveHosts = collections.abc.Callable[[], list[hosts.ListedHost]]


@attrs.define(eq=False)
class BatchSlot:
    """Hold room for one batch item.

    When it must yield, ``scope`` is cancelled, or ``stop`` called if it is set.
    """

    server: servers.Server
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    preempted: trio.Event = attrs.field(factory=trio.Event)
    stop: collections.abc.Callable[[], None] | None = None

    def preempt(self) -> None:
        """Tell the item to stop."""
        self.preempted.set()
        if self.stop is None:
            self.scope.cancel()
        else:
            self.stop()


@attrs.frozen
class AnnouncedRequests:
    """Hold the online requests one host announced at a monotonic time."""

    started: int
    at: float

    def counts(self, now: float, sampled_at: float) -> bool:
        """Return whether no report can include these requests yet."""
        reported = sampled_at > self.at + ARRIVAL_S
        return not reported and now < self.at + DEMAND_S


@attrs.define
class OwnedServer:
    """Hold the batch state of one server that this host owns."""

    slots: list[BatchSlot] = attrs.Factory(list)
    demands: dict[str, AnnouncedRequests] = attrs.Factory(dict)
    hold_until: float = 0.0
    next_start: float = 0.0

    def demand(self, now: float, sampled_at: float) -> int:
        """Return the announced online requests that the last report lacks."""
        held = self.demands.items()
        self.demands = {h: d for h, d in held if d.counts(now, sampled_at)}
        return sum(each.started for each in self.demands.values())


def batch_owner(
    address: str, domain: str, live: list[hosts.ListedHost]
) -> hosts.ListedHost | None:
    """Return the one host of a domain that may send batch work to a server."""
    local = {host.id: host for host in live if host.failure_domain == domain}
    return local.get(subset.rendezvous_choice(address, list(local)) or "")


class BatchGate:
    """Hand out batch slots on the servers this host owns.

    Each server's batch owner is the rendezvous choice among the live hosts of its
    failure domain. While hosts disagree about who is live, two may own a server;
    each then counts the other's work from the server's reports.
    """

    def __init__(
        self,
        host_id: str,
        chooser: router.Router,
        options: settings.Batch,
        live_hosts: LiveHosts,
        peers: calls.Peers,
        *,
        clock: clocks.Clock,
    ) -> None:
        self.host_id = host_id
        self.router = chooser
        self.options = options
        self.live_hosts = live_hosts
        self.peers = peers
        self.clock = clock
        self.owned_servers: dict[str, OwnedServer] = {}
        self.changed = trio.Event()
        self.asked: dict[str, float] = {}
        self.asks, self.asked_for = trio.open_memory_channel[str](64)
        self.owned_cache: tuple = ()
        self.owned_key: object = None
        self.owned_until = 0.0
        self.owned_version = -1
        self.preempted_total = 0
        self.stopping = False
        chooser.on_request_started.append(self.online_request_started)
        chooser.loads.on_piggyback.append(self.load_changed)
        peers.handle(calls.Kind.YIELD, self.handle_preemption_request)

    async def run(self) -> None:
        """Send calls for room to other owners and wake waiting items."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wake)
            async for address in self.asked_for:
                nursery.start_soon(self._ask_owner, address)

    def owned(self) -> tuple[str, ...]:
        """Return the servers whose batch work this host sends."""
        now = self.clock.monotonic()
        version = self.router.servers.version
        if now < self.owned_until and version == self.owned_version:
            return self.owned_cache
        self.owned_version = version
        self.owned_until = now + OWNERSHIP_S
        live = self.live_hosts()
        members = tuple(sorted(h.id for h in live))
        key = (version, members)
        if key != self.owned_key:
            known = self.router.servers.by_address.values()
            mine = [s.address for s in known if self._owns(s, live)]
            self.owned_cache = tuple(mine)
            self.owned_key = key
            self._drop_lost()
        return self.owned_cache

    def free_slots(self, address: str) -> int:
        """Return how many more batch items the server takes; negative when over."""
        now = self.clock.monotonic()
        owned = self.owned_servers.setdefault(address, OwnedServer())
        return self.max_batch_items(address, now) - self._batch(address, owned, now)

    def max_batch_items(self, address: str, now: float) -> int:
        """Return how many batch items the server may run beside online work."""
        loads = self.router.loads
        usable = loads.capacity(address) - self._reserve(address)
        online = max(
            0, loads.total_requests(address, now) - loads.batch_requests(address, now)
        )
        owned = self.owned_servers.get(address)
        if owned is not None:
            online += owned.demand(now, loads.sampled_at(address))
        return usable - online

    def free_slots_for_model(self, model: str) -> int:
        """Return how many items of a model could start now."""
        rooms = [self.free_slots(a) for a in self._eligible(model)]
        return sum(room for room in rooms if room > 0)

    @contextlib.asynccontextmanager
    async def slot(self, model: str) -> collections.abc.AsyncIterator[BatchSlot]:
        """Wait for room, then hold it; leave the block soon after ``preempted``."""
        taken = await self._wait(model)
        try:
            yield taken
        finally:
            self.release(taken)

    def online_request_started(self, address: str) -> None:
        """Make room for a request that this host sends."""
        if address in self.owned():
            self.preempt_excess(address)
        elif self._is_tight(address):
            self.queue_preemption_request(address)

    def preempt_excess(self, address: str) -> int:
        """Cancel the newest batch items when the headroom is half used.

        Return how many were cancelled.
        """
        # Half of the headroom absorbs small swings of online load; cancelling for
        # each of them would waste the work done so far.
        over = -self.free_slots(address) - self._reserve(address) // 2
        if over <= 0:
            return 0
        owned = self.owned_servers[address]
        victims = [s for s in owned.slots if not s.preempted.is_set()][-over:]
        for slot in victims:
            slot.preempt()
        if victims:
            owned.hold_until = self.clock.monotonic() + HOLD_S
            self.preempted_total += len(victims)
            logger.debug("%d batch items yield on %s.", len(victims), address)
        return len(victims)

    def load_reported(self, address: str) -> None:
        """React to a new load report."""
        self.load_changed(address)
        self._notify()

    def load_changed(self, address: str) -> None:
        """React to a load that came with an answer."""
        if address in self.owned_servers:
            self.preempt_excess(address)

    async def handle_preemption_request(
        self, caller: calls.Caller, body: bytes
    ) -> bytes:
        """Make room that another host asks for."""
        message = routing_pb2.Yield.FromString(body)
        cancelled = self.reserve_for_online(
            caller.host_id, message.address, message.started
        )
        return routing_pb2.YieldReply(cancelled=cancelled).SerializeToString()

    def reserve_for_online(self, host_id: str, address: str, started: int) -> int:
        """Reserve room another host announced; return how many items must stop."""
        if address not in self.owned():
            return 0
        owned = self.owned_servers.setdefault(address, OwnedServer())
        started = min(self.router.loads.capacity(address), started)
        owned.demands[host_id] = AnnouncedRequests(started, self.clock.monotonic())
        return self.preempt_excess(address)

    def preempt_all(self) -> None:
        """Stop batch work, as before a planned stop."""
        self.stopping = True
        for owned in self.owned_servers.values():
            for slot in owned.slots:
                slot.preempt()

    def _owns(self, server: servers.Server, live: list[hosts.ListedHost]) -> bool:
        found = batch_owner(server.address, server.failure_domain, live)
        return found is not None and found.id == self.host_id

    def _drop_lost(self) -> None:
        for address in self.owned_servers.keys() - set(self.owned_cache):
            for slot in self.owned_servers[address].slots:
                slot.preempt()
            if not self.owned_servers[address].slots:
                del self.owned_servers[address]

    def _batch(self, address: str, owned: OwnedServer, now: float) -> int:
        kept = sum(1 for slot in owned.slots if not slot.preempted.is_set())
        yielding = len(owned.slots) - kept
        return max(kept, self.router.loads.batch_requests(address, now) - yielding)

    def _eligible(self, model: str) -> list[str]:
        now = self.clock.monotonic()
        return [a for a in self.owned() if self._takes_batch(a, model, now)]

    def _takes_batch(self, address: str, model: str, now: float) -> bool:
        server = self.router.servers.by_address.get(address)
        if self.stopping or server is None or model not in server.models:
            return False
        owned = self.owned_servers.get(address)
        held = owned is not None and max(owned.hold_until, owned.next_start) > now
        loads = self.router.loads
        # Without a report nobody knows how much room the server has.
        known = loads.if_fresh(loads.server(address).polled, now) is not None
        usable = known and self.router.servers.takes_work(address)
        return usable and not held and self.router.health.allows(address, now)

    async def _wait(self, model: str) -> BatchSlot:
        await trio.lowlevel.checkpoint()
        while True:
            taken = self.try_acquire(model)
            if taken is not None:
                return taken
            changed = self.changed
            await changed.wait()

    def try_acquire(self, model: str) -> BatchSlot | None:
        """Hold room for one batch item, or return None; ``release`` must follow."""
        best = max(self._eligible(model), key=self.free_slots, default=None)
        if best is None or self.free_slots(best) <= 0:
            return None
        taken = BatchSlot(self.router.servers.by_address[best])
        self._pace(best)
        self.owned_servers[best].slots.append(taken)
        self.router.loads.request_started(best, self.clock.monotonic(), batch=True)
        return taken

    def _pace(self, address: str) -> None:
        """Spread starts, because each prompt delays the engine's next step."""
        now = self.clock.monotonic()
        owned = self.owned_servers[address]
        usable = self.router.loads.capacity(address) - self._reserve(address)
        earliest = max(owned.next_start, now - WAKE_S)
        owned.next_start = earliest + RAMP_S / max(1, usable)

    def release(self, taken: BatchSlot) -> None:
        """Let go of a slot."""
        address = taken.server.address
        self.router.loads.request_ended(address, self.clock.monotonic(), batch=True)
        if address in self.owned_servers:
            self.owned_servers[address].slots.remove(taken)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def _wake(self) -> None:
        # Holds and demands run out without an event of their own.
        while True:
            await trio.sleep(WAKE_S)
            self._notify()

    def _is_tight(self, address: str) -> bool:
        now = self.clock.monotonic()
        loads = self.router.loads
        if loads.if_fresh(loads.server(address).polled, now) is None:
            return True
        free = loads.capacity(address) - loads.total_requests(address, now)
        low = free < self._reserve(address)
        return loads.batch_requests(address, now) > 0 and low

    def _reserve(self, address: str) -> int:
        limit = self.router.loads.capacity(address)
        return math.ceil(limit * self.options.headroom_ratio)

    def queue_preemption_request(self, address: str) -> None:
        """Ask the owner of a server for room, in the background."""
        now = self.clock.monotonic()
        if now - self.asked.get(address, -1e9) < YIELD_INTERVAL_S:
            return
        self.asked[address] = now
        with contextlib.suppress(trio.WouldBlock):
            self.asks.send_nowait(address)

    async def _ask_owner(self, address: str) -> None:
        server = self.router.servers.by_address.get(address)
        if server is None:
            return
        found = batch_owner(address, server.failure_domain, self.live_hosts())
        if found is None or found.id == self.host_id:
            return
        started = self.router.loads.unreported_online(address)
        body = routing_pb2.Yield(address=address, started=started)
        deadline = self.clock.monotonic() + YIELD_TIMEOUT_S
        with contextlib.suppress(errors.Error):
            await self.peers.call(
                found.address,
                calls.Kind.YIELD,
                body.SerializeToString(),
                deadline=deadline,
            )
