"""Keep requests that found no room until a server has some, in fair order."""

import collections
import random
import typing

import attrs

from turmerictally.scheduling import placing, shares

# Requests in a server's own queue, which knows neither teams nor deadlines: one covers
# the time until other hosts hear of a free slot.
SERVER_QUEUE = 1
MAX_WAITING = 256  # requests of one host; a tenth of its usual connections
MAX_BYTES = 16 * 1024 * 1024  # of their bodies; a twelfth of a small host's memory
# Part of the latency objective within which a request must start; the rest is for its
# first event.
START_RATIO = 0.75
# Part of its time left that a caller is told to wait at most: callers honour no more.
MAX_RETURN_RATIO = 1 / 3
SPREAD = 0.25  # of the time told to callers, either way
MIN_RETRY_AFTER_S = 0.15  # about a fifth of a request's usual service time


@attrs.define(eq=False)
class Request:
    """Hold one request; ``start_by`` and ``deadline`` are monotonic seconds.

    ``rank`` is its place among its team's requests, in [0, 1). ``turn`` is called when
    it may start. An ``offered`` one was told so and has not taken it yet.
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

    ``share`` is the part of its team's requests that may start, ``ahead`` the callers
    that wait over all hosts, ``wait_s`` the expected wait.
    """

    reason: str
    share: float
    ahead: int
    wait_s: float
    retry_after_s: float
    age_s: float


@attrs.define(eq=False)
class Room:
    """Hold the requests of this host that wait for a server."""

    work: shares.TeamWork
    durations: shares.Durations
    rng: random.Random
    requests: list[Request] = attrs.Factory(list)
    returns_at: dict[str, float] = attrs.Factory(dict)

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
        here = len(self.waiting(request.service))
        ahead = here + situation.waiting_elsewhere
        wait_s = (ahead + 1) * self.slot_interval_s(situation)
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

        Each takes a turn after those that wait and those told to return before.
        """
        here = len(self.waiting(request.service))
        ahead = here + situation.waiting_elsewhere
        interval_s = self.slot_interval_s(situation)
        wait_s = (ahead + 1) * interval_s
        turn = max(now + wait_s, self.returns_at.get(request.service, now))
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
            keys[each] = each.rank >= part[each.team], ahead[each.team], each.deadline
            ahead[each.team] += 1
        return min(waiting, key=keys.__getitem__)

    def part_of(self, free: int, service: str, situation: Situation) -> int:
        """Return how many of the slots that all hosts see free this one takes."""
        here = len(self.waiting(service))
        if not here:
            return 0
        part = free * here / (here + situation.waiting_elsewhere)
        return min(here, int(part) + (self.rng.random() < part % 1))


def open_to(loads: list[placing.Load]) -> list[placing.Load]:
    """Return the servers that take one more request, without a queue of their own."""
    return [load for load in loads if load.online < load.slots + SERVER_QUEUE]


def free_slots(loads: list[placing.Load]) -> int:
    """Return the slots that online requests leave; batch items give way."""
    return sum(max(0, load.slots - load.online) for load in loads)
