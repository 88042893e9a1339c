"""Let callers' requests wait on this host until a backend server has room."""

import collections
import collections.abc
import contextlib

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import gossip, inflight
from turmerictally.entry import trace as traces
from turmerictally.scheduling import placing, shares, waiting

Look = collections.abc.Callable[[], list[placing.Load]]


@attrs.define(eq=False)
class Turns:
    """Give turns to requests when there is less room than they ask for.

    ``limited`` holds teams to their shares; without ``room_on`` nothing waits.
    """

    inflight: inflight.InFlight
    hosts: gossip.Hosts
    room: waiting.Room
    clock: clocks.Clock
    trace: traces.Trace
    limited: bool = True
    room_on: bool = True
    looked_at: float = float("-inf")
    waited_s: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)

    @contextlib.contextmanager
    def counted(
        self, service: str, team: str
    ) -> collections.abc.Generator[None, None, None]:
        """Count a request as its team's work while it is here."""
        self.room.work.begin(service, team)
        try:
            yield
        finally:
            self.room.work.end(service, team)

    async def take(
        self, request: waiting.Request, request_id: str, look: Look
    ) -> list[placing.Load] | waiting.Refusal:
        """Return the servers that a request may go to now, waiting for one if need be.

        ``look`` returns the loads as known at the moment.
        """
        loads = look()
        if not loads:
            return loads
        limit = self.limit(loads)
        others = self.room.waiting(request.service)
        if not others and waiting.free_slots(loads):
            return limit
        now = self.clock.monotonic()
        situation = self.situation(loads)
        if not self.limited:
            request.rank = 0.0
        refusal = self.room.admits(request, situation, now)
        if refusal is None and not others and limit:
            return limit
        if refusal is None:
            return await self._wait(request, request_id, look)
        return self._refuse(request, refusal)

    def limit(self, loads: list[placing.Load]) -> list[placing.Load]:
        """Return the servers that may get a request more."""
        return waiting.open_to(loads) if self.room_on else loads

    def situation(self, loads: list[placing.Load]) -> waiting.Situation:
        """Return what decisions on a service rest on."""
        now = self.clock.monotonic()
        heard = [peer.heard_at for peer in self.hosts.peers.values() if not peer.silent]
        return waiting.Situation(
            slots=sum(load.slots for load in loads),
            waiting_elsewhere=self.hosts.totals.callers_waiting,
            hosts=1 + len(heard),
            age_s=round(now - min(heard, default=now), 3),
        )

    async def _wait(
        self, request: waiting.Request, request_id: str, look: Look
    ) -> list[placing.Load] | waiting.Refusal:
        since = self.clock.monotonic()
        self.room.add(request)
        # Those who came before may take what room there is.
        self._offer(request.service, look(), 1)
        loads = None
        try:
            with trio.move_on_after(max(0.0, request.start_by - since)):
                loads = await self._turn(request, look)
        finally:
            self.room.drop(request)
            waited_s = self.clock.monotonic() - since
            self.waited_s[request.team] += waited_s
            self.trace.emit(
                "waited",
                request_id,
                team=request.team,
                waited_s=round(waited_s, 3),
                others=len(self.room.requests),
                outcome="room" if loads else "left or too late",
            )
        if loads is not None:
            return loads
        now = self.clock.monotonic()
        situation = self.situation(look())
        share = self.room.work.part(request.service, request.team, situation.slots, now)
        return self._refuse(
            request,
            self.room.refuse(request, "no room in time", share, situation, now),
        )

    async def _turn(self, request: waiting.Request, look: Look) -> list[placing.Load]:
        while True:
            turn = trio.Event()
            request.turn = turn.set
            if not request.offered:
                await turn.wait()
            request.offered = False
            found = self.limit(look())
            if found:
                return found

    def _refuse(
        self, request: waiting.Request, refusal: waiting.Refusal
    ) -> waiting.Refusal:
        self.refused[request.team] += 1
        return refusal

    def freed(self) -> None:
        """Offer the room that an own request left."""
        for service in {request.service for request in self.room.requests}:
            self._offer(service, self.inflight.loads(service), 1)

    def heard(self) -> None:
        """Offer the room that other hosts tell of, once for each of their digests."""
        now = self.clock.monotonic()
        if not self.room.requests or now < self.looked_at + self.hosts.period_s():
            return
        self.looked_at = now
        for service in {request.service for request in self.room.requests}:
            loads = self.inflight.loads(service)
            situation = self.situation(loads)
            free = waiting.free_slots(loads)
            count = self.room.part_of(free, service, situation)
            self._offer(service, loads, count)

    def _offer(self, service: str, loads: list[placing.Load], count: int) -> None:
        if not self.limit(loads):
            return
        situation = self.situation(loads)
        now = self.clock.monotonic()
        for _ in range(count):
            request = self.room.next(service, situation, now)
            if request is None:
                return
            request.offered = True
            request.turn()


def make_room(hosts: gossip.Hosts, rng) -> waiting.Room:
    """Return an empty waiting room that knows the other hosts' work."""
    work = shares.TeamWork(hosts.totals.work)
    return waiting.Room(work, shares.Durations(), rng)
