"""Admit callers' requests, or queue them until a backend server has a free slot."""

import collections
import collections.abc
import contextlib
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import gossip, inflight
from turmerictally.entry import trace as traces
from turmerictally.scheduling import fair_shares, placement, wait_queue

REQUEST_TTL_FACTOR = 1.5  # of the mean service time
RELAY_DELAY_S = 0.1  # a digest waits in the bundles of two relays on its way

ReadLoads = collections.abc.Callable[[], list[placement.ServerLoad]]


@attrs.define(eq=False)
class Admission:
    """Admit requests at once or queue them while the backend servers are full.

    ``enforce_shares`` limits teams to their fair shares. Without ``queueing_enabled``
    no request waits on this host.
    """

    inflight: inflight.InFlight
    hosts: gossip.HostDirectory
    wait_queue: wait_queue.WaitQueue
    clock: clocks.Clock
    trace: traces.Trace
    enforce_shares: bool = True
    queueing_enabled: bool = True
    last_offer_at: float = float("-inf")
    wait_s_by_team: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refusals_by_team: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    @contextlib.contextmanager
    def track_demand(
        self, service: str, team: str
    ) -> collections.abc.Generator[None, None, None]:
        """Count a request in its team's demand while it is on this host."""
        self.wait_queue.demand.add(service, team)
        try:
            yield
        finally:
            self.wait_queue.demand.remove(service, team)

    async def admit(
        self, request: wait_queue.QueuedRequest, request_id: str, read_loads: ReadLoads
    ) -> list[placement.ServerLoad] | wait_queue.Refusal:
        """Return the servers that may get a request, once there are any, or a refusal.

        ``read_loads`` returns the current loads.
        """
        loads = read_loads()
        if not loads:
            return loads
        immediate_ratio = self._immediate_ratio(request.service, loads)
        queued = self.wait_queue.queued_for(request.service)
        if immediate_ratio == 1:
            self._offer_slots(request.service, loads, len(queued))
            return self.eligible_servers(loads)
        now = self.clock.monotonic()
        with_queue_slot = [load for load in loads if load.online <= load.slots]
        if with_queue_slot and self.wait_queue.demand.is_within_guarantee(
            request.service, request.team, now
        ):
            # A rare request uses the one place in a server's own queue: this host may
            # have no other request whose end would free a slot.
            return with_queue_slot
        conditions = self.conditions(request.service, loads)
        if not self.enforce_shares:
            request.rank = 0.0
        refusal = self.wait_queue.check_admission(request, conditions, now)
        if refusal is not None:
            return self._refuse(request, refusal)
        if not self.queueing_enabled:
            return loads
        may_start = request.in_share and not queued
        if may_start and self.wait_queue.rng.random() < immediate_ratio:
            return self.eligible_servers(loads)
        return await self._wait(request, request_id, read_loads)

    def eligible_servers(
        self, loads: list[placement.ServerLoad]
    ) -> list[placement.ServerLoad]:
        """Return the servers that can take another request."""
        return wait_queue.with_free_slots(loads) if self.queueing_enabled else loads

    def _immediate_ratio(
        self, service: str, loads: list[placement.ServerLoad]
    ) -> float:
        free_slots = wait_queue.count_free_slots(loads)
        if not self.queueing_enabled:
            return float(free_slots > 0)
        online = sum(load.online for load in loads)
        now = self.clock.monotonic()
        return self.wait_queue.immediate_ratio(
            service, free_slots, online, self.propagation_s(), now
        )

    def request_ttl_s(self) -> float:
        """Return the seconds after which an unreachable host's requests have ended."""
        service_s = self.wait_queue.service_times.mean_s
        return min(gossip.PEER_TTL_S, REQUEST_TTL_FACTOR * service_s)

    def propagation_s(self) -> float:
        """Return the seconds until other hosts know of a change on this host."""
        if not self.hosts.peers:
            return 0.0
        if self.hosts.relayed:
            return self.hosts.min_digest_gap_s() + RELAY_DELAY_S
        return self.hosts.digest_period_s()

    def conditions(
        self, service: str, loads: list[placement.ServerLoad]
    ) -> wait_queue.QueueConditions:
        """Return the conditions on which decisions about a service are based.

        A server that named a limit counts for the slots that requests at this rate
        hold, at most its own, also if this host may send it none now: other hosts may.
        """
        now = self.clock.monotonic()
        limits = self.inflight.limits_per_s(service)
        slots = sum(load.slots for load in loads if load.name not in limits)
        servers = self.inflight.registry.servers
        mean_s = self.wait_queue.service_times.mean_s
        slots += round(
            sum(
                min(servers[name].slots, per_s * mean_s)
                for name, per_s in limits.items()
            )
        )
        report_times = [
            peer.received_at
            for peer in self.hosts.peers.values()
            if not peer.unreachable
        ]
        return wait_queue.QueueConditions(
            slots=slots,
            waiting_elsewhere=self.hosts.callers_waiting(service),
            hosts=1 + len(report_times),
            age_s=round(now - min(report_times, default=now), 3),
        )

    async def _wait(
        self, request: wait_queue.QueuedRequest, request_id: str, read_loads: ReadLoads
    ) -> list[placement.ServerLoad] | wait_queue.Refusal:
        started_at = self.clock.monotonic()
        self.wait_queue.add(request)
        loads = None
        try:
            with trio.move_on_after(max(0.0, request.start_by - started_at)):
                loads = await self._next_offer(request, read_loads)
        finally:
            self.wait_queue.discard(request)
            if loads is None and request.offered:
                # The wait was cancelled or timed out before the offer was taken.
                self.offer_freed_slot(request.server)
            waited_s = self.clock.monotonic() - started_at
            self.wait_s_by_team[request.team] += waited_s
            self.trace.emit(
                "waited",
                request_id,
                team=request.team,
                waited_s=round(waited_s, 3),
                others=len(self.wait_queue.requests),
                in_share=request.in_share,
                outcome="room" if loads else "left or too late",
            )
        if loads is not None:
            return loads
        now = self.clock.monotonic()
        conditions = self.conditions(request.service, read_loads())
        share = self.wait_queue.demand.admitted_ratio(
            request.service, request.team, conditions.slots, now
        )
        return self._refuse(
            request,
            self.wait_queue.refuse(request, "no room in time", share, conditions, now),
        )

    async def _next_offer(
        self, request: wait_queue.QueuedRequest, read_loads: ReadLoads
    ) -> list[placement.ServerLoad]:
        while True:
            offer = trio.Event()
            request.on_offer = offer.set
            if not request.offered:
                await offer.wait()
            request.offered = False
            eligible = self.eligible_servers(read_loads())
            offered = [load for load in eligible if load.name == request.server]
            if offered or eligible:
                return offered or eligible

    def _refuse(
        self, request: wait_queue.QueuedRequest, refusal: wait_queue.Refusal
    ) -> wait_queue.Refusal:
        self.refusals_by_team[request.team] += 1
        return refusal

    def offer_freed_slot(self, server: str) -> None:
        """Offer a slot freed here, before other hosts know that it is free."""
        record = self.inflight.registry.servers.get(server)
        if record is None or not self.wait_queue.queued_for(record.service):
            return
        loads = self.inflight.server_loads(record.service)
        if any(load.name == server for load in self.eligible_servers(loads)):
            self._offer_slots(record.service, loads, 1, server)

    def offer_reported_slots(self) -> None:
        """Offer the free slots that other hosts report, once a round of digests."""
        now = self.clock.monotonic()
        if (
            not self.wait_queue.requests
            or now < self.last_offer_at + self.propagation_s()
        ):
            return
        self.last_offer_at = now
        for service in {request.service for request in self.wait_queue.requests}:
            loads = self.inflight.server_loads(service)
            conditions = self.conditions(service, loads)
            count = self.wait_queue.own_slots(
                wait_queue.count_free_slots(loads), service, conditions
            )
            self._offer_slots(service, loads, count)

    def _offer_slots(
        self,
        service: str,
        loads: list[placement.ServerLoad],
        count: int,
        server: str = "",
    ) -> None:
        conditions = self.conditions(service, loads)
        now = self.clock.monotonic()
        servers = self.inflight.registry.servers
        free = wait_queue.with_free_slots(loads)
        versions = {
            servers[load.name].software for load in free if server in ("", load.name)
        }
        for _ in range(count):
            request = self.wait_queue.next_request(service, conditions, now, versions)
            if request is None:
                return
            request.offered, request.server = True, server
            request.on_offer()


def make_wait_queue(
    hosts: gossip.HostDirectory, rng: random.Random
) -> wait_queue.WaitQueue:
    """Return an empty wait queue that counts the demand on the other hosts."""
    demand = fair_shares.TeamDemand(hosts.totals.demand)
    return wait_queue.WaitQueue(demand, fair_shares.ServiceTimes(), rng)
