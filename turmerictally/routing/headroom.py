"""Run batch requests on idle capacity and preempt them for online requests."""

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

# How long slots stay reserved for online requests that another host announced.
RESERVATION_S = 1.25
# An announced request reaches its server within this time.
MAX_ARRIVAL_DELAY_S = 0.01
# No batch request starts on a server for this long after a preemption.
PREEMPTION_PAUSE_S = 0.25
# Minimum time between two preemption requests to the batch owner of one server.
MIN_REQUEST_INTERVAL_S = 0.02
REQUEST_TIMEOUT_S = 0.25
# How often waiting batch items check for slots that became free without an event.
RECHECK_INTERVAL_S = 0.05
# How long batch requests take to fill an idle server.
RAMP_UP_S = 0.25
# How often batch ownership of the servers is recomputed.
OWNERSHIP_REFRESH_S = 0.25

LiveHosts = collections.abc.Callable[[], list[hosts.ListedHost]]


@attrs.define(eq=False)
class BatchSlot:
    """Hold a server slot for one batch item.

    Preemption calls ``stop`` if it is set and cancels ``scope`` otherwise.
    """

    server: servers.Server
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    preempted: trio.Event = attrs.field(factory=trio.Event)
    stop: collections.abc.Callable[[], None] | None = None

    def preempt(self) -> None:
        """Stop the item to free the slot."""
        self.preempted.set()
        if self.stop is None:
            self.scope.cancel()
        else:
            self.stop()


@attrs.frozen
class AnnouncedRequests:
    """Count the online requests that one host announced at a monotonic time."""

    started: int
    at: float

    def is_unreported(self, now: float, sampled_at: float) -> bool:
        """Return whether the last report cannot include these requests yet."""
        included = sampled_at > self.at + MAX_ARRIVAL_DELAY_S
        return not included and now < self.at + RESERVATION_S


@attrs.define
class OwnedServer:
    """Hold the batch state of a server whose batch owner is this host."""

    slots: list[BatchSlot] = attrs.Factory(list)
    announced: dict[str, AnnouncedRequests] = attrs.Factory(dict)
    paused_until: float = 0.0
    next_start_at: float = 0.0

    def unreported_requests(self, now: float, sampled_at: float) -> int:
        """Return the number of announced requests that the last report lacks."""
        entries = self.announced.items()
        self.announced = {h: a for h, a in entries if a.is_unreported(now, sampled_at)}
        return sum(entry.started for entry in self.announced.values())


def batch_owner(
    address: str, domain: str, live: list[hosts.ListedHost]
) -> hosts.ListedHost | None:
    """Return the one host of a domain that may send batch requests to a server."""
    hosts_by_id = {host.id: host for host in live if host.failure_domain == domain}
    return hosts_by_id.get(subset.rendezvous_choice(address, list(hosts_by_id)) or "")


class BatchGate:
    """Grant batch slots on the servers whose batch owner is this host.

    A server's batch owner is the rendezvous choice among the live hosts of its
    failure domain. While hosts disagree about which hosts are live, a server may have
    two owners; each then sees the other's batch requests in the server's reports.
    """

    def __init__(
        self,
        host_id: str,
        server_router: router.Router,
        options: settings.Batch,
        live_hosts: LiveHosts,
        peers: calls.Peers,
        *,
        clock: clocks.Clock,
    ) -> None:
        self.host_id = host_id
        self.router = server_router
        self.options = options
        self.live_hosts = live_hosts
        self.peers = peers
        self.clock = clock
        self.owned_servers: dict[str, OwnedServer] = {}
        self.slots_changed = trio.Event()
        self.last_requested_at: dict[str, float] = {}
        self.requests_send, self.requests_receive = trio.open_memory_channel[str](64)
        self.owned_addresses: tuple = ()
        self.owned_computed_for: object = None
        self.owned_refresh_at = 0.0
        self.owned_version = -1
        self.preempted_total = 0
        self.stopping = False
        server_router.on_request_started.append(self.online_request_started)
        server_router.loads.on_piggyback.append(self.load_changed)
        peers.handle(calls.Kind.YIELD, self.handle_preemption_request)

    async def run(self) -> None:
        """Send preemption requests to other owners and wake waiting items."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._recheck_periodically)
            async for address in self.requests_receive:
                nursery.start_soon(self._request_preemption, address)

    def owned(self) -> tuple[str, ...]:
        """Return the addresses of the servers whose batch owner is this host."""
        now = self.clock.monotonic()
        version = self.router.servers.version
        if now < self.owned_refresh_at and version == self.owned_version:
            return self.owned_addresses
        self.owned_version = version
        self.owned_refresh_at = now + OWNERSHIP_REFRESH_S
        live = self.live_hosts()
        members = tuple(sorted(h.id for h in live))
        computed_for = (version, members)
        if computed_for != self.owned_computed_for:
            listed = self.router.servers.by_address.values()
            owned_now = [s.address for s in listed if self._owns(s, live)]
            self.owned_addresses = tuple(owned_now)
            self.owned_computed_for = computed_for
            self._preempt_lost()
        return self.owned_addresses

    def free_slots(self, address: str) -> int:
        """Return the number of free batch slots; negative when over the limit."""
        now = self.clock.monotonic()
        owned = self.owned_servers.setdefault(address, OwnedServer())
        return self.max_batch_items(address, now) - self._batch_items(
            address, owned, now
        )

    def max_batch_items(self, address: str, now: float) -> int:
        """Return how many batch items may run beside the server's online requests."""
        loads = self.router.loads
        usable_slots = loads.capacity(address) - self._headroom(address)
        online = max(
            0, loads.total_requests(address, now) - loads.batch_requests(address, now)
        )
        owned = self.owned_servers.get(address)
        if owned is not None:
            online += owned.unreported_requests(now, loads.sampled_at(address))
        return usable_slots - online

    def free_slots_for_model(self, model: str) -> int:
        """Return how many items of a model can start now."""
        slot_counts = [self.free_slots(a) for a in self._eligible(model)]
        return sum(count for count in slot_counts if count > 0)

    @contextlib.asynccontextmanager
    async def slot(self, model: str) -> collections.abc.AsyncIterator[BatchSlot]:
        """Wait for a slot and hold it; leave the block soon after its preemption."""
        slot = await self._wait_for_slot(model)
        try:
            yield slot
        finally:
            self.release(slot)

    def online_request_started(self, address: str) -> None:
        """Make room for an online request that this host sends."""
        if address in self.owned():
            self.preempt_excess(address)
        elif self._is_short_of_slots(address):
            self.queue_preemption_request(address)

    def preempt_excess(self, address: str) -> int:
        """Preempt the newest batch items once half of the headroom is in use.

        Returns how many were preempted.
        """
        # Half of the headroom absorbs small fluctuations of the online load:
        # preempting for each of them would waste the tokens generated so far.
        excess = -self.free_slots(address) - self._headroom(address) // 2
        if excess <= 0:
            return 0
        owned = self.owned_servers[address]
        preempted_slots = [s for s in owned.slots if not s.preempted.is_set()][-excess:]
        for slot in preempted_slots:
            slot.preempt()
        if preempted_slots:
            owned.paused_until = self.clock.monotonic() + PREEMPTION_PAUSE_S
            self.preempted_total += len(preempted_slots)
            logger.debug(
                "Preempted %d batch items on server %s.", len(preempted_slots), address
            )
        return len(preempted_slots)

    def load_reported(self, address: str) -> None:
        """Handle a new polled load report."""
        self.load_changed(address)
        self._wake_waiters()

    def load_changed(self, address: str) -> None:
        """Preempt batch items if a new load estimate leaves too few slots."""
        if address in self.owned_servers:
            self.preempt_excess(address)

    async def handle_preemption_request(
        self, caller: calls.Caller, body: bytes
    ) -> bytes:
        """Handle ``YIELD``: make room for another host's online requests."""
        message = routing_pb2.Yield.FromString(body)
        cancelled = self.reserve_for_online(
            caller.host_id, message.address, message.started
        )
        return routing_pb2.YieldReply(cancelled=cancelled).SerializeToString()

    def reserve_for_online(self, host_id: str, address: str, started: int) -> int:
        """Reserve slots for another host's requests; return how many items stop."""
        if address not in self.owned():
            return 0
        owned = self.owned_servers.setdefault(address, OwnedServer())
        started = min(self.router.loads.capacity(address), started)
        owned.announced[host_id] = AnnouncedRequests(started, self.clock.monotonic())
        return self.preempt_excess(address)

    def preempt_all(self) -> None:
        """Preempt all batch items before a planned stop and grant no more slots."""
        self.stopping = True
        for owned in self.owned_servers.values():
            for slot in owned.slots:
                slot.preempt()

    def _owns(self, server: servers.Server, live: list[hosts.ListedHost]) -> bool:
        owner = batch_owner(server.address, server.failure_domain, live)
        return owner is not None and owner.id == self.host_id

    def _preempt_lost(self) -> None:
        for address in self.owned_servers.keys() - set(self.owned_addresses):
            for slot in self.owned_servers[address].slots:
                slot.preempt()
            if not self.owned_servers[address].slots:
                del self.owned_servers[address]

    def _batch_items(self, address: str, owned: OwnedServer, now: float) -> int:
        active = sum(1 for slot in owned.slots if not slot.preempted.is_set())
        being_preempted = len(owned.slots) - active
        return max(
            active, self.router.loads.batch_requests(address, now) - being_preempted
        )

    def _eligible(self, model: str) -> list[str]:
        now = self.clock.monotonic()
        return [a for a in self.owned() if self._accepts_batch(a, model, now)]

    def _accepts_batch(self, address: str, model: str, now: float) -> bool:
        server = self.router.servers.by_address.get(address)
        if self.stopping or server is None or model not in server.models:
            return False
        owned = self.owned_servers.get(address)
        is_paused = (
            owned is not None and max(owned.paused_until, owned.next_start_at) > now
        )
        loads = self.router.loads
        # Without a recent report the number of free slots is unknown.
        has_report = loads.if_fresh(loads.server(address).polled, now) is not None
        is_available = has_report and self.router.servers.accepts_requests(address)
        return (
            is_available and not is_paused and self.router.health.allows(address, now)
        )

    async def _wait_for_slot(self, model: str) -> BatchSlot:
        await trio.lowlevel.checkpoint()
        while True:
            slot = self.try_acquire(model)
            if slot is not None:
                return slot
            slots_changed = self.slots_changed
            await slots_changed.wait()

    def try_acquire(self, model: str) -> BatchSlot | None:
        """Acquire a slot without waiting, or return None; the caller releases it."""
        best = max(self._eligible(model), key=self.free_slots, default=None)
        if best is None or self.free_slots(best) <= 0:
            return None
        slot = BatchSlot(self.router.servers.by_address[best])
        self._delay_next_start(best)
        self.owned_servers[best].slots.append(slot)
        self.router.loads.request_started(best, self.clock.monotonic(), batch=True)
        return slot

    def _delay_next_start(self, address: str) -> None:
        """Space out starts, because each new prompt delays the engine's next step."""
        now = self.clock.monotonic()
        owned = self.owned_servers[address]
        usable_slots = self.router.loads.capacity(address) - self._headroom(address)
        earliest = max(owned.next_start_at, now - RECHECK_INTERVAL_S)
        owned.next_start_at = earliest + RAMP_UP_S / max(1, usable_slots)

    def release(self, slot: BatchSlot) -> None:
        """Release a slot."""
        address = slot.server.address
        self.router.loads.request_ended(address, self.clock.monotonic(), batch=True)
        if address in self.owned_servers:
            self.owned_servers[address].slots.remove(slot)
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        self.slots_changed.set()
        self.slots_changed = trio.Event()

    async def _recheck_periodically(self) -> None:
        # Pauses and reservations expire without an event.
        while True:
            await trio.sleep(RECHECK_INTERVAL_S)
            self._wake_waiters()

    def _is_short_of_slots(self, address: str) -> bool:
        now = self.clock.monotonic()
        loads = self.router.loads
        if loads.if_fresh(loads.server(address).polled, now) is None:
            return True
        free_slots = loads.capacity(address) - loads.total_requests(address, now)
        below_headroom = free_slots < self._headroom(address)
        return loads.batch_requests(address, now) > 0 and below_headroom

    def _headroom(self, address: str) -> int:
        capacity = self.router.loads.capacity(address)
        return math.ceil(capacity * self.options.headroom_ratio)

    def queue_preemption_request(self, address: str) -> None:
        """Queue a request to a server's batch owner to make room."""
        now = self.clock.monotonic()
        if now - self.last_requested_at.get(address, -1e9) < MIN_REQUEST_INTERVAL_S:
            return
        self.last_requested_at[address] = now
        with contextlib.suppress(trio.WouldBlock):
            self.requests_send.send_nowait(address)

    async def _request_preemption(self, address: str) -> None:
        server = self.router.servers.by_address.get(address)
        if server is None:
            return
        owner = batch_owner(address, server.failure_domain, self.live_hosts())
        if owner is None or owner.id == self.host_id:
            return
        started = self.router.loads.unreported_online(address)
        body = routing_pb2.Yield(address=address, started=started)
        deadline = self.clock.monotonic() + REQUEST_TIMEOUT_S
        with contextlib.suppress(errors.Error):
            await self.peers.call(
                owner.address,
                calls.Kind.YIELD,
                body.SerializeToString(),
                deadline=deadline,
            )
