"""Keep requests that found no room until a server has some, in fair order."""

import collections
import random
import typing

import attrs

from turmerictally.scheduling import placing, shares

MAX_WAITING = 256  # requests of one host; a tenth of its usual connections
MAX_BYTES = 16 * 1024 * 1024  # of their bodies; a twelfth of a small host's memory
# Part of the latency objective within which a request must start; the rest is for its
# first event.
START_RATIO = 0.75
# Weight of the latest shortage in the usual length of one, of which the last few tell
# more than the older ones; shorter ones are chance.
SMOOTHING = 0.4
MIN_SHORTAGE_S = 0.3
FIRST_SHORTAGE_S = 1.5  # before one has ended: slots are taken twice in that time
# Part of its time left that a caller is told to wait at most: callers honour no more.
MAX_RETURN_RATIO = 1 / 3
SPREAD = 0.25  # of the time told to callers, either way
MIN_RETRY_AFTER_S = 0.15  # about a fifth of a request's usual service time


@attrs.define(eq=False)
class Request:
    """Hold one request; ``start_by`` and ``deadline`` are monotonic seconds.

    ``rank`` is its place among its team's requests, in [0, 1). ``turn`` is called when
    it may start. An ``offered`` one was told so and has not taken it yet; ``server`` is
    the one that has room, or nothing for any.
    """

    service: str
    team: str
    rank: float
    size: int
    bytes: int
    start_by: float
    deadline: float
    turn: typing.Callable[[], None] = lambda: None
    offered: bool = False
    server: str = ""


@attrs.frozen
class Situation:
    """Hold what a decision rests on: a service's slots, and callers waiting elsewhere.

    ``hosts`` counts those that are heard, ``age_s`` is that of the oldest digest.
    """

    slots: int
    waiting_elsewhere: int = 0
    hosts: int = 1
    age_s: float = 0.0


@attrs.frozen
class Refusal:
    """Tell why a request is refused and when to come back.

    ``share`` is the part of its team's requests that may start, ``ahead`` counts the
    callers before it on this host, ``wait_s`` is the expected wait.
    """

    reason: str
    share: float
    ahead: int
    wait_s: float
    retry_after_s: float
    age_s: float


@attrs.define
class Shortage:
    """Follow for how long room is short at a time, as load comes in waves.

    ``usual_s`` is learned from those before; ``began`` is monotonic seconds.
    """

    usual_s: float = 0.0
    began: float | None = None

    def note(self, short: bool, now: float) -> None:
        """Take whether room is short now."""
        if short and self.began is None:
            self.began = now
        elif not short and self.began is not None:
            lasted, self.began = now - self.began, None
            if lasted >= MIN_SHORTAGE_S:
                before = self.usual_s or lasted
                self.usual_s = before + SMOOTHING * (lasted - before)

    def left_s(self, now: float) -> float:
        """Return for how long it will probably go on.

        One that outlasts the usual is taken to last as long again.
        """
        if self.began is None:
            return 0.0
        lasted = now - self.began
        usual_s = self.usual_s or FIRST_SHORTAGE_S
        return usual_s - lasted if lasted < usual_s else lasted


@attrs.define(eq=False)
class Room:
    """Hold the requests of this host that wait for a server."""

    work: shares.TeamWork
    durations: shares.Durations
    rng: random.Random
    requests: list[Request] = attrs.Factory(list)
    returns_at: dict[str, float] = attrs.Factory(dict)
    shortages: dict[str, Shortage] = attrs.field(
        factory=lambda: collections.defaultdict(Shortage)
    )

    @property
    def bytes(self) -> int:
        """Return the bytes of the bodies that wait."""
        return sum(request.bytes for request in self.requests)

    def waiting(self, service: str) -> list[Request]:
        """Return the requests that wait for one service."""
        return [each for each in self.requests if each.service == service]

    def admits(
        self, request: Request, situation: Situation, now: float
    ) -> Refusal | None:
        """Return None when a request may wait, or why it must not."""
        share = self.work.part(request.service, request.team, situation.slots, now)
        _, wait_s = self.expect(request, situation)
        if request.rank >= share:
            reason = "above the team's share"
        elif len(self.requests) >= MAX_WAITING:
            reason = "too many wait here"
        elif self.bytes + request.bytes > MAX_BYTES:
            reason = "too many bytes wait here"
        elif now + wait_s > request.start_by:
            reason = "no room in time"
        else:
            return None
        return self.refuse(request, reason, share, situation, now)

    def refuse(
        self,
        request: Request,
        reason: str,
        share: float,
        situation: Situation,
        now: float,
    ) -> Refusal:
        """Refuse a request, with a time of return at which a slot is expected.

        That is once the shortage is over, and then one return after the other as slots
        become free.
        """
        ahead, wait_s = self.expect(request, situation)
        interval_s = self.slot_interval_s(situation)
        over_s = self.shortages[request.service].left_s(now)
        turn = max(now + max(wait_s, over_s), self.returns_at.get(request.service, now))
        most = max(0.0, request.deadline - now) * MAX_RETURN_RATIO
        # Beyond what callers honour there are no turns to give.
        turn = min(turn, now + most)
        self.returns_at[request.service] = turn + interval_s * situation.hosts
        found = (turn - now) * self.rng.uniform(1 - SPREAD, 1 + SPREAD)
        if turn - now >= most:
            found = most * self.rng.uniform(1 - 2 * SPREAD, 1)
        until = now + self.durations.expect_s(request.size)
        self.work.miss(request.service, request.team, until)
        retry = min(max(MIN_RETRY_AFTER_S, found), max(MIN_RETRY_AFTER_S, most))
        return Refusal(reason, share, ahead, wait_s, retry, situation.age_s)

    def expect(self, request: Request, situation: Situation) -> tuple[int, float]:
        """Return how many here are before a request that comes now, and its wait.

        This host gets the part of the freed slots that its callers are of all who wait.
        """
        waiting = self.waiting(request.service)
        counts = collections.Counter(each.team for each in waiting)
        own = counts.pop(request.team, 0)
        ahead = own + sum(min(count, own + 1) for count in counts.values())
        here = len(waiting) + 1
        part = here / (here + situation.waiting_elsewhere)
        return ahead, (ahead + 1) * self.slot_interval_s(situation) / part

    def slot_interval_s(self, situation: Situation) -> float:
        """Return the expected seconds between two slots that become free."""
        return self.durations.mean_s / max(1, situation.slots)

    def add(self, request: Request) -> None:
        """Let a request wait."""
        self.requests.append(request)

    def drop(self, request: Request) -> None:
        """Take out a request that starts, whose caller left or whose time is over."""
        if request in self.requests:
            self.requests.remove(request)

    def next(self, service: str, situation: Situation, now: float) -> Request | None:
        """Return the request that starts next at a service, or None."""
        waiting = [each for each in self.waiting(service) if not each.offered]
        if len(waiting) < 2:
            return waiting[0] if waiting else None
        part = {
            team: self.work.part(service, team, situation.slots, now)
            for team in {each.team for each in waiting}
        }
        ahead: collections.Counter[str] = collections.Counter()
        keys = {}
        for each in sorted(waiting, key=lambda request: request.deadline):
            below = each.rank < part[each.team]
            # A team that asks for no more than its share has the first claim.
            keys[each] = not below, part[each.team] < 1, ahead[each.team], each.deadline
            ahead[each.team] += 1
        return min(waiting, key=keys.__getitem__)

    def part_of(self, places: int, service: str, situation: Situation) -> int:
        """Return how many of the places that all hosts see this one takes."""
        here = len(self.waiting(service))
        if not here:
            return 0
        part = places * here / (here + situation.waiting_elsewhere)
        return min(here, int(part) + (self.rng.random() < part % 1))

    def part_to_begin(
        self, service: str, places: int, online: int, told_s: float, now: float
    ) -> float:
        """Return the part of requests that may begin in the places seen, 1 for all.

        All hosts see the same ones for ``told_s``. Where more requests come meanwhile,
        each takes its part of the places, and the others wait for a slot that this
        host's own requests leave, which no other host knows of yet.
        """
        come = online / self.durations.mean_s * told_s
        self.shortages[service].note(come > places, now)
        return min(1.0, places / come) if come else float(places > 0)


def open_to(loads: list[placing.Load]) -> list[placing.Load]:
    """Return the servers with a slot that no online request has.

    Batch items give way. A server's own queue knows neither teams nor deadlines.
    """
    return [load for load in loads if load.online < load.slots]


def places(loads: list[placing.Load]) -> int:
    """Return how many online requests more the servers' slots take."""
    return sum(load.slots - load.online for load in open_to(loads))
