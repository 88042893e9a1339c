"""Play callers who compete for slots before many hosts, in virtual time.

Servers are semaphores and digests are handed over; nothing is sent.
"""

import random

import attrs
import trio
import trio.testing

from turmerictally.entry import admission, ejection, gossip, inflight, model
from turmerictally.scheduling import cold, placing, waiting
from turmerictally.tests.support import limits_fleet

SERVICE_S = 0.72
TOLD_S = 0.1  # between two digests of a host, as the hosts of a test have it
START_S = 0.225  # for a first event within an objective of 0.3 s
OBJECTIVE_S = 0.3
WAIT_S = 5.0
SIZE = 1000
FORMER_QUEUE = 0.375


class Clock:
    """Give the virtual time."""

    def monotonic(self):
        return trio.current_time()

    def suspended(self):
        return 0.0


class Quiet:
    """Drop log lines."""

    def emit(self, *given, **fields):
        pass


class Anywhere:
    """Let each server take something new."""

    budgets = cold.Budgets()

    def takes_new(self, server, now):
        return True


@attrs.define
class Servers:
    """List the servers as a registry does; those ``lost`` are not listed."""

    servers: dict
    lost: set = attrs.Factory(set)

    def usable(self, service):
        return [s for s in self.servers.values() if s.instance not in self.lost]


@attrs.define
class Asked:
    """Hold what became of one caller's request; times count from the day's start."""

    team: str
    at: float
    started: float | None = None
    first_tries: int = 0
    held_s: float = 0.0
    left: bool = False
    returned_at: float | None = None

    @property
    def on_time(self):
        return self.started is not None and self.started - self.at <= START_S

    @property
    def value(self):
        """Return 1 for an answer on time, less for a late one or after a refusal."""
        if self.started is None:
            return 0.0
        if self.on_time:
            return 1.0
        since = self.returned_at
        prompt = since is not None and self.started - since <= START_S
        return 0.57 if prompt else 0.15


class Member:
    """Hold one host's counts and turns."""

    def __init__(self, crowd, number):
        clock, trace = Clock(), Quiet()
        self.name = f"h{number}"
        self.hosts = gossip.HostDirectory(self.name, "i", clock, trace, domain="a")
        for n in range(crowd.size):
            self.hosts.records[f"h{n}"] = gossip.HostRecord(f"h{n}", "i", "", 0, 0.0)
        ejector = ejection.Ejector("a")
        self.inflight = inflight.InFlight(
            crowd.servers, self.hosts, clock, trace, ejector, Anywhere()
        )
        room = admission.make_wait_queue(self.hosts, crowd.rng)
        room.work.weights = crowd.weights
        room.durations.learn(SERVICE_S, SIZE)
        self.admission = admission.Admission(
            self.inflight, self.hosts, room, clock, trace
        )
        self.inflight.on_end = self.admission.offer_freed_slot
        self.sequence = 0

    def digest(self):
        self.sequence += 1
        room = self.admission.wait_queue
        counts = ({k: v for k, v in c.items() if v} for c in (self.inflight.online, {}))
        return gossip.Digest(
            self.name, "i", "", self.sequence, *counts, 0, {}, {}, {}, 0.0, [],
            work=room.work.told(trio.current_time()),
            callers_waiting=len(room.requests),
        )  # fmt: skip


class Crowd:
    """Run hosts, servers and callers; ``former`` plays the policy without shares."""

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
        self.asked = []
        self.members = []
        self.patience = {}

    def play(self, rates_at, seconds, *, seconds_of=lambda team: SERVICE_S, events=()):
        """Let each team ask at the rate that ``rates_at(now)`` gives it."""

        async def main():
            self.members = [Member(self, n) for n in range(self.size)]
            self.began = trio.current_time()
            async with trio.open_nursery() as nursery:
                for member in self.members:
                    nursery.start_soon(self.tell, member)
                for at, event in events:
                    nursery.start_soon(self.later, at, event)
                await self.arrive(nursery, rates_at, seconds, seconds_of)
                await trio.sleep(WAIT_S)
                nursery.cancel_scope.cancel()

        with limits_fleet.deterministic_order(0):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return self

    async def later(self, at, event):
        await trio.sleep(at)
        event(self)

    async def tell(self, member):
        await trio.sleep(self.rng.uniform(0, TOLD_S))
        while True:
            digest = member.digest()
            for other in self.members:
                if other is not member:
                    other.hosts.hear(attrs.evolve(digest))
                    other.admission.offer_reported_slots()
            await trio.sleep(TOLD_S)

    async def arrive(self, nursery, rates_at, seconds, seconds_of):
        while (now := trio.current_time() - self.began) < seconds:
            rates = rates_at(now)
            whole = sum(rates.values())
            await trio.sleep(self.rng.expovariate(whole))
            team = self.rng.choices(list(rates), list(rates.values()))[0]
            nursery.start_soon(self.caller, team, seconds_of(team))

    async def caller(self, team, service_s):
        asked = Asked(team, trio.current_time())
        self.asked.append(asked)
        patience = self.patience.get(team, WAIT_S)
        with trio.move_on_after(patience) as scope:
            for attempt in range(2):
                asked.first_tries += 1
                member = self.rng.choice(self.members)
                left_s = asked.at + WAIT_S - trio.current_time()
                again_s = await self.attempt(member, asked, service_s, left_s)
                if again_s is None or attempt:
                    return
                await trio.sleep(min(again_s, left_s / 3))
                asked.returned_at = trio.current_time()
        asked.left = scope.cancelled_caught

    async def attempt(self, member, asked, service_s, left_s):
        """Return None when served, else after how long the caller may come back."""
        now = trio.current_time()
        request = waiting.Request(
            service="llm",
            team=asked.team,
            rank=self.rng.random(),
            size=round(SIZE * service_s / SERVICE_S),
            bytes=1500,
            start_by=now + OBJECTIVE_S * waiting.START_RATIO,
            deadline=now + left_s,
        )
        if self.former:
            return await self.send(member, asked, service_s, self.loads(member))
        with member.admission.track_demand("llm", asked.team):
            found = await member.admission.admit(
                request, "", lambda: self.loads(member)
            )
            asked.held_s += trio.current_time() - now
            if isinstance(found, waiting.Refusal):
                return found.retry_after_s
            return await self.send(member, asked, service_s, found)

    def loads(self, member):
        return member.inflight.loads("llm")

    async def send(self, member, asked, service_s, loads):
        chosen = placing.choose(loads, domain="a", prompt_parts=(), rng=self.rng)
        if chosen is None:
            return self.rng.uniform(0.15, 0.45)
        member.inflight.count_online(chosen.name, 1)
        try:
            async with self.slots[chosen.name]:
                asked.started = trio.current_time()
                await trio.sleep(service_s)
        finally:
            member.inflight.count_online(chosen.name, -1)
        return None

    def of(self, *teams, since=0.0, until=float("inf")):
        """Return the requests of some teams that came in a part of the day."""
        return [
            each
            for each in self.asked
            if each.team in teams and since <= each.at - self.began < until
        ]


def worth(asked):
    """Return the mean value of requests."""
    return sum(each.value for each in asked) / len(asked)


def skewed(count, whole, skew=1.2):
    """Return teams' rates that sum to ``whole``, the first one largest."""
    weights = [1 / n**skew for n in range(1, count + 1)]
    return {f"t{n}": whole * w / sum(weights) for n, w in enumerate(weights)}
