"""Simulate callers that compete for slots through many hosts, in virtual time.

Servers are semaphores and digests are passed as objects, without a network.
"""

import random

import attrs
import trio
import trio.testing

from turmerictally.entry import admission, ejection, gossip, inflight, model
from turmerictally.scheduling import cold_start, placement, wait_queue
from turmerictally.tests.support import limits_fleet

SERVICE_S = 0.72
DIGEST_S = 0.1  # between two digests of a host
MAX_START_S = 0.225  # a request that starts later misses the objective
OBJECTIVE_S = 0.3
CALLER_TIMEOUT_S = 5.0
SIZE = 1000
FORMER_QUEUE = 0.375


class Clock:
    """Return trio's virtual time."""

    def monotonic(self):
        return trio.current_time()

    def suspended(self):
        return 0.0


class NullTrace:
    """Discard log lines."""

    def emit(self, *args, **fields):
        pass


class AllAvailable:
    """Mark every server as available for new requests."""

    budgets = cold_start.ColdStartBudgets()

    def accepts_requests(self, server, now):
        return True


@attrs.define
class Servers:
    """Stand in for the registry; the servers in ``lost`` are not listed."""

    servers: dict
    lost: set = attrs.Factory(set)

    def usable(self, service):
        return [s for s in self.servers.values() if s.instance not in self.lost]


@attrs.define
class CallerRequest:
    """Hold the outcome of one caller's request; times are virtual seconds."""

    team: str
    arrived_at: float
    started_at: float | None = None
    attempts: int = 0
    queued_s: float = 0.0
    disconnected: bool = False
    retried_at: float | None = None

    @property
    def on_time(self):
        return (
            self.started_at is not None
            and self.started_at - self.arrived_at <= MAX_START_S
        )

    @property
    def value(self):
        """Return 1 if it started on time, less if late or refused once, 0 if never."""
        if self.started_at is None:
            return 0.0
        if self.on_time:
            return 1.0
        since = self.retried_at
        retry_on_time = since is not None and self.started_at - since <= MAX_START_S
        return 0.57 if retry_on_time else 0.15


class SimulatedHost:
    """Hold one host's counts and its queue."""

    def __init__(self, crowd, number):
        clock, trace = Clock(), NullTrace()
        self.name = f"h{number}"
        self.hosts = gossip.HostDirectory(self.name, "i", clock, trace, domain="a")
        for n in range(crowd.size):
            self.hosts.records[f"h{n}"] = gossip.HostRecord(f"h{n}", "i", "", 0, 0.0)
        ejector = ejection.Ejector("a")
        self.inflight = inflight.InFlight(
            crowd.servers, self.hosts, clock, trace, ejector, AllAvailable()
        )
        queue = admission.make_wait_queue(self.hosts, crowd.rng)
        queue.demand.weights = crowd.weights
        queue.service_times.record(SERVICE_S, SIZE)
        self.admission = admission.Admission(
            self.inflight, self.hosts, queue, clock, trace
        )
        self.inflight.on_finished = self.admission.offer_freed_slot
        self.sequence = 0

    def digest(self):
        self.sequence += 1
        queue = self.admission.wait_queue
        counts = ({k: v for k, v in c.items() if v} for c in (self.inflight.online, {}))
        return gossip.Digest(
            self.name, "i", "", self.sequence, *counts, 0, {}, {}, {}, 0.0, [],
            demand=queue.demand.own_demand(trio.current_time()),
            callers_waiting=len(queue.requests),
        )  # fmt: skip


class Crowd:
    """Simulate hosts, servers and callers; ``former`` is the policy without shares."""

    def __init__(
        self, *, hosts=20, servers=12, slots=8, quotas=None, former=False, seed=5
    ):
        self.size, self.former = hosts, former
        self.rng = random.Random(seed)
        self.weights = quotas or {}
        listed = {
            f"s{n}": model.Server(f"s{n}", f"a{n}", "llm", "abc"[n % 3], slots)
            for n in range(servers)
        }
        self.servers = Servers(listed)
        self.slots = {name: trio.Semaphore(slots) for name in listed}
        self.requests = []
        self.members = []
        self.max_wait_s = {}

    def run(self, rates_at, seconds, *, seconds_of=lambda team: SERVICE_S, events=()):
        """Send each team's requests at its rate in ``rates_at(now)``."""

        async def main():
            self.members = [SimulatedHost(self, n) for n in range(self.size)]
            self.started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for member in self.members:
                    nursery.start_soon(self.send_digests, member)
                for at, event in events:
                    nursery.start_soon(self.run_at, at, event)
                await self.arrive(nursery, rates_at, seconds, seconds_of)
                await trio.sleep(CALLER_TIMEOUT_S)
                nursery.cancel_scope.cancel()

        with limits_fleet.deterministic_order(0):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return self

    async def run_at(self, at, event):
        await trio.sleep(at)
        event(self)

    async def send_digests(self, member):
        await trio.sleep(self.rng.uniform(0, DIGEST_S))
        while True:
            digest = member.digest()
            for other in self.members:
                if other is not member:
                    other.hosts.receive(attrs.evolve(digest))
                    other.admission.offer_reported_slots()
            await trio.sleep(DIGEST_S)

    async def arrive(self, nursery, rates_at, seconds, seconds_of):
        while (now := trio.current_time() - self.started_at) < seconds:
            rates = rates_at(now)
            total = sum(rates.values())
            await trio.sleep(self.rng.expovariate(total))
            team = self.rng.choices(list(rates), list(rates.values()))[0]
            nursery.start_soon(self.caller, team, seconds_of(team))

    async def caller(self, team, service_s):
        request = CallerRequest(team, trio.current_time())
        self.requests.append(request)
        max_wait_s = self.max_wait_s.get(team, CALLER_TIMEOUT_S)
        with trio.move_on_after(max_wait_s) as scope:
            for attempt in range(2):
                request.attempts += 1
                member = self.rng.choice(self.members)
                remaining_s = (
                    request.arrived_at + CALLER_TIMEOUT_S - trio.current_time()
                )
                retry_after_s = await self.attempt(
                    member, request, service_s, remaining_s
                )
                if retry_after_s is None or attempt:
                    return
                await trio.sleep(min(retry_after_s, remaining_s / 3))
                request.retried_at = trio.current_time()
        request.disconnected = scope.cancelled_caught

    async def attempt(self, member, request, service_s, remaining_s):
        """Return None when served, otherwise the delay before the caller may retry."""
        now = trio.current_time()
        queued = wait_queue.QueuedRequest(
            service="llm",
            team=request.team,
            rank=self.rng.random(),
            size=round(SIZE * service_s / SERVICE_S),
            body_bytes=1500,
            start_by=now + OBJECTIVE_S * wait_queue.START_RATIO,
            deadline=now + remaining_s,
        )
        if self.former:
            return await self.send(member, request, service_s, self.loads(member))
        with member.admission.track_demand("llm", request.team):
            result = await member.admission.admit(
                queued, "", lambda: self.loads(member)
            )
            request.queued_s += trio.current_time() - now
            if isinstance(result, wait_queue.Refusal):
                return result.retry_after_s
            return await self.send(member, request, service_s, result)

    def loads(self, member):
        return member.inflight.server_loads("llm")

    async def send(self, member, request, service_s, loads):
        chosen = placement.choose_server(
            loads, domain="a", prompt_parts=(), rng=self.rng
        )
        if chosen is None:
            return self.rng.uniform(0.15, 0.45)
        member.inflight.add_online(chosen.name, 1)
        try:
            async with self.slots[chosen.name]:
                request.started_at = trio.current_time()
                await trio.sleep(service_s)
        finally:
            member.inflight.add_online(chosen.name, -1)
        return None

    def of(self, *teams, since=0.0, until=float("inf")):
        """Return the requests of some teams that arrived in an interval."""
        return [
            request
            for request in self.requests
            if request.team in teams
            and since <= request.arrived_at - self.started_at < until
        ]


def mean_value(requests):
    """Return the mean value of requests."""
    return sum(request.value for request in requests) / len(requests)


def skewed(count, total, skew=1.2):
    """Return teams' rates that sum to ``total``, the first one largest."""
    weights = [1 / n**skew for n in range(1, count + 1)]
    return {f"t{n}": total * w / sum(weights) for n, w in enumerate(weights)}
