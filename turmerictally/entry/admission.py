"""Let callers' requests wait on this host until a backend server has room."""

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

RELAY_S = 0.1  # two bundles of relays, on the way between hosts

ReadLoads = collections.abc.Callable[[], list[placement.ServerLoad]]


@attrs.define(eq=False)
class Admission:
    """Admit requests at once or queue them while the backend servers are full.

    ``enforce_shares`` limits teams to their fair shares. Without ``queueing_enabled``
    no request waits here.
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
        """Count a request as its team's work while it is here."""
        self.wait_queue.demand.add(service, team)
        try:
            yield
        finally:
            self.wait_queue.demand.remove(service, team)

    async def admit(
        self, request: wait_queue.QueuedRequest, request_id: str, look: ReadLoads
    ) -> list[placement.ServerLoad] | wait_queue.Refusal:
        """Return the servers that a request may go to now, waiting for one if need be.

        ``look`` returns the loads as known at the moment.
        """
        loads = look()
        if not loads:
            return loads
        begins = self._part_to_begin(request.service, loads)
        others = self.wait_queue.queued_for(request.service)
        if begins == 1:
            self._offer(request.service, loads, len(others))
            return self.eligible_servers(loads)
        now = self.clock.monotonic()
        queues = [load for load in loads if load.online <= load.slots]
        if queues and self.wait_queue.demand.is_within_guarantee(
            request.service, request.team, now
        ):
            # A rare request takes the one place in a server's own queue: this host may
            # have no other request there whose end would make room.
            return queues
        situation = self.conditions(loads)
        if not self.enforce_shares:
            request.rank = 0.0
        refusal = self.wait_queue.check_admission(request, situation, now)
        if refusal is not None:
            return self._refuse(request, refusal)
        if not self.queueing_enabled:
            return loads
        if not others and self.wait_queue.rng.random() < begins:
            return self.eligible_servers(loads)
        return await self._wait(request, request_id, look)

    def eligible_servers(
        self, loads: list[placement.ServerLoad]
    ) -> list[placement.ServerLoad]:
        """Return the servers that may get a request more."""
        return wait_queue.with_free_slots(loads) if self.queueing_enabled else loads

    def _part_to_begin(self, service: str, loads: list[placement.ServerLoad]) -> float:
        places = wait_queue.count_free_slots(loads)
        if not self.queueing_enabled:
            return float(places > 0)
        online = sum(load.online for load in loads)
        now = self.clock.monotonic()
        return self.wait_queue.immediate_ratio(
            service, places, online, self.propagation_s(), now
        )

    def propagation_s(self) -> float:
        """Return the seconds until the others know what this host sends."""
        if not self.hosts.peers:
            return 0.0
        if self.hosts.relayed:
            return self.hosts.min_digest_gap_s() + RELAY_S
        return self.hosts.digest_period_s()

    def conditions(
        self, loads: list[placement.ServerLoad]
    ) -> wait_queue.QueueConditions:
        """Return what decisions on a service rest on."""
        now = self.clock.monotonic()
        heard = [
            peer.received_at
            for peer in self.hosts.peers.values()
            if not peer.unreachable
        ]
        return wait_queue.QueueConditions(
            slots=sum(load.slots for load in loads),
            waiting_elsewhere=self.hosts.totals.callers_waiting,
            hosts=1 + len(heard),
            age_s=round(now - min(heard, default=now), 3),
        )

    async def _wait(
        self, request: wait_queue.QueuedRequest, request_id: str, look: ReadLoads
    ) -> list[placement.ServerLoad] | wait_queue.Refusal:
        since = self.clock.monotonic()
        self.wait_queue.add(request)
        loads = None
        try:
            with trio.move_on_after(max(0.0, request.start_by - since)):
                loads = await self._turn(request, look)
        finally:
            self.wait_queue.discard(request)
            if loads is None and request.offered:
                # Its caller left, or its time was up, before it took its turn.
                self.offer_freed_slot(request.server)
            waited_s = self.clock.monotonic() - since
            self.wait_s_by_team[request.team] += waited_s
            self.trace.emit(
                "waited",
                request_id,
                team=request.team,
                waited_s=round(waited_s, 3),
                others=len(self.wait_queue.requests),
                outcome="room" if loads else "left or too late",
            )
        if loads is not None:
            return loads
        now = self.clock.monotonic()
        situation = self.conditions(look())
        share = self.wait_queue.demand.admitted_ratio(
            request.service, request.team, situation.slots, now
        )
        return self._refuse(
            request,
            self.wait_queue.refuse(request, "no room in time", share, situation, now),
        )

    async def _turn(
        self, request: wait_queue.QueuedRequest, look: ReadLoads
    ) -> list[placement.ServerLoad]:
        while True:
            turn = trio.Event()
            request.on_offer = turn.set
            if not request.offered:
                await turn.wait()
            request.offered = False
            found = self.eligible_servers(look())
            freed = [load for load in found if load.name == request.server]
            if freed or found:
                return freed or found

    def _refuse(
        self, request: wait_queue.QueuedRequest, refusal: wait_queue.Refusal
    ) -> wait_queue.Refusal:
        self.refusals_by_team[request.team] += 1
        return refusal

    def offer_freed_slot(self, server: str) -> None:
        """Offer the slot that an own request left, which no other host knows of."""
        found = self.inflight.registry.servers.get(server)
        if found is None or not self.wait_queue.queued_for(found.service):
            return
        loads = self.inflight.server_loads(found.service)
        if any(load.name == server for load in self.eligible_servers(loads)):
            self._offer(found.service, loads, 1, server)

    def offer_reported_slots(self) -> None:
        """Offer the room that other hosts tell of, once for each of their digests."""
        now = self.clock.monotonic()
        if (
            not self.wait_queue.requests
            or now < self.last_offer_at + self.propagation_s()
        ):
            return
        self.last_offer_at = now
        for service in {request.service for request in self.wait_queue.requests}:
            loads = self.inflight.server_loads(service)
            situation = self.conditions(loads)
            count = self.wait_queue.own_slots(
                wait_queue.count_free_slots(loads), service, situation
            )
            self._offer(service, loads, count)

    def _offer(
        self,
        service: str,
        loads: list[placement.ServerLoad],
        count: int,
        server: str = "",
    ) -> None:
        situation = self.conditions(loads)
        now = self.clock.monotonic()
        for _ in range(count):
            request = self.wait_queue.next_request(service, situation, now)
            if request is None:
                return
            request.offered, request.server = True, server
            request.on_offer()


def make_wait_queue(
    hosts: gossip.HostDirectory, rng: random.Random
) -> wait_queue.WaitQueue:
    """Return an empty waiting room that knows the other hosts' work."""
    work = fair_shares.TeamDemand(hosts.totals.demand)
    return wait_queue.WaitQueue(work, fair_shares.ServiceTimes(), rng)
