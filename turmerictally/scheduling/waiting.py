"""Queue requests that found no free slot and serve them in fair order."""

import collections
import random
import typing

import attrs

from turmerictally.scheduling import fair_shares, placement

MAX_WAITING = 256  # requests per host; a tenth of a host's typical connections
MAX_BYTES = 16 * 1024 * 1024  # of queued bodies; a twelfth of a small host's memory
# Share of the latency objective within which a request must start; the rest is for its
# first event.
START_RATIO = 0.75
# Weight of the latest shortage in the exponentially weighted average duration: the last
# few predict the next one better than older ones.
SMOOTHING = 0.4
MIN_SHORTAGE_S = 0.3  # shorter ones are noise and not averaged
# Before one has ended: enough time for each slot to be used twice.
INITIAL_SHORTAGE_S = 1.5
# Limit of a caller's retry delay, as a share of the time to its deadline: callers do
# not wait longer.
MAX_RETRY_RATIO = 1 / 3
JITTER_RATIO = 0.25  # of retry delays, in both directions
MIN_RETRY_AFTER_S = 0.15  # about a fifth of a typical service time


@attrs.define(eq=False)
class Request:
    """Hold a queued request; ``start_by`` and ``deadline`` are monotonic seconds.

    ``rank`` is its position among its team's requests in [0, 1); ``bytes`` is the size
    of its body. ``turn`` is called when a slot is offered to it. While ``offered``, it
    has not yet used the offer; ``server`` is the server with the slot, empty for any.
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
    """Hold the inputs of a queueing decision for one service.

    ``slots`` counts the service's slots and ``waiting_elsewhere`` the requests queued
    on other hosts. ``hosts`` counts the reachable hosts, including this one, and
    ``age_s`` is the age of the oldest of their digests.
    """

    slots: int
    waiting_elsewhere: int = 0
    hosts: int = 1
    age_s: float = 0.0


@attrs.frozen
class Refusal:
    """Hold why a request is refused and when the caller should retry.

    ``share`` is the fraction of its team's requests that may start, ``ahead`` counts
    the requests before it in this host's queue, ``wait_s`` is the expected wait.
    """

    reason: str
    share: float
    ahead: int
    wait_s: float
    retry_after_s: float
    age_s: float


@attrs.define
class Shortage:
    """Track how long slots are short at a time, as load comes in waves.

    ``usual_s`` is the average duration, 0 before one has ended; ``began`` is when the
    current shortage started (monotonic seconds).
    """

    usual_s: float = 0.0
    began: float | None = None

    def note(self, short: bool, now: float) -> None:
        """Record whether slots are short now."""
        if short and self.began is None:
            self.began = now
        elif not short and self.began is not None:
            lasted, self.began = now - self.began, None
            if lasted >= MIN_SHORTAGE_S:
                average_s = self.usual_s or lasted
                self.usual_s = average_s + SMOOTHING * (lasted - average_s)

    def left_s(self, now: float) -> float:
        """Return the expected remaining duration, 0 if slots are not short.

        A shortage that exceeds the average is expected to last as long again.
        """
        if self.began is None:
            return 0.0
        lasted = now - self.began
        expected_s = self.usual_s or INITIAL_SHORTAGE_S
        return expected_s - lasted if lasted < expected_s else lasted


@attrs.define(eq=False)
class Room:
    """Hold the requests on this host that wait for a slot."""

    work: fair_shares.TeamDemand
    durations: fair_shares.ServiceTimes
    rng: random.Random
    requests: list[Request] = attrs.Factory(list)
    returns_at: dict[str, float] = attrs.Factory(dict)
    shortages: dict[str, Shortage] = attrs.field(
        factory=lambda: collections.defaultdict(Shortage)
    )

    @property
    def bytes(self) -> int:
        """Return the size of the queued bodies."""
        return sum(request.bytes for request in self.requests)

    def waiting(self, service: str) -> list[Request]:
        """Return the requests queued for one service."""
        return [each for each in self.requests if each.service == service]

    def admits(
        self, request: Request, situation: Situation, now: float
    ) -> Refusal | None:
        """Return None if a request may be queued, otherwise its refusal."""
        share = self.work.admitted_ratio(
            request.service, request.team, situation.slots, now
        )
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
        """Refuse a request, with a retry delay after which a slot is expected.

        Retries are scheduled from the end of the shortage on, one per slot that is
        expected to become free.
        """
        ahead, wait_s = self.expect(request, situation)
        interval_s = self.slot_interval_s(situation)
        shortage_s = self.shortages[request.service].left_s(now)
        retry_at = max(
            now + max(wait_s, shortage_s), self.returns_at.get(request.service, now)
        )
        max_delay_s = max(0.0, request.deadline - now) * MAX_RETRY_RATIO
        # Callers would not wait for a later retry.
        retry_at = min(retry_at, now + max_delay_s)
        # Every host schedules retries for the same slots.
        self.returns_at[request.service] = retry_at + interval_s * situation.hosts
        delay_s = (retry_at - now) * self.rng.uniform(
            1 - JITTER_RATIO, 1 + JITTER_RATIO
        )
        if retry_at - now >= max_delay_s:
            delay_s = max_delay_s * self.rng.uniform(1 - 2 * JITTER_RATIO, 1)
        until = now + self.durations.expected_s(request.size)
        self.work.record_refusal(request.service, request.team, until)
        retry_after_s = min(
            max(MIN_RETRY_AFTER_S, delay_s), max(MIN_RETRY_AFTER_S, max_delay_s)
        )
        return Refusal(reason, share, ahead, wait_s, retry_after_s, situation.age_s)

    def expect(self, request: Request, situation: Situation) -> tuple[int, float]:
        """Return how many queued requests precede a new one, and its expected wait.

        This host uses a fraction of the freed slots equal to its fraction of all queued
        requests.
        """
        queued = self.waiting(request.service)
        counts = collections.Counter(each.team for each in queued)
        own_team = counts.pop(request.team, 0)
        ahead = own_team + sum(min(count, own_team + 1) for count in counts.values())
        here = len(queued) + 1
        fraction = here / (here + situation.waiting_elsewhere)
        return ahead, (ahead + 1) * self.slot_interval_s(situation) / fraction

    def slot_interval_s(self, situation: Situation) -> float:
        """Return the expected time between two slots that become free."""
        return self.durations.mean_s / max(1, situation.slots)

    def add(self, request: Request) -> None:
        """Queue a request."""
        self.requests.append(request)

    def drop(self, request: Request) -> None:
        """Remove a request that starts, was abandoned by its caller or timed out."""
        if request in self.requests:
            self.requests.remove(request)

    def next(self, service: str, situation: Situation, now: float) -> Request | None:
        """Return the queued request that gets a service's next slot, or None.

        Requests already offered a slot are skipped.
        """
        candidates = [each for each in self.waiting(service) if not each.offered]
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        ratios = {
            team: self.work.admitted_ratio(service, team, situation.slots, now)
            for team in {each.team for each in candidates}
        }
        ahead: collections.Counter[str] = collections.Counter()
        keys = {}
        for each in sorted(candidates, key=lambda request: request.deadline):
            in_share = each.rank < ratios[each.team]
            # Next come teams whose demand is within their share.
            keys[each] = (
                not in_share,
                ratios[each.team] < 1,
                ahead[each.team],
                each.deadline,
            )
            ahead[each.team] += 1
        return min(candidates, key=keys.__getitem__)

    def part_of(self, places: int, service: str, situation: Situation) -> int:
        """Return how many of the free slots that all hosts see this host may use."""
        here = len(self.waiting(service))
        if not here:
            return 0
        expected = places * here / (here + situation.waiting_elsewhere)
        return min(here, int(expected) + (self.rng.random() < expected % 1))

    def part_to_begin(
        self, service: str, places: int, online: int, told_s: float, now: float
    ) -> float:
        """Return the fraction of new requests that may start without queueing.

        For ``told_s`` all hosts see the same free slots. If more requests are expected
        in that time than slots are free, each host starts this fraction of them. The
        others wait for a slot that one of this host's own requests frees, which no
        other host knows of yet.
        """
        expected = online / self.durations.mean_s * told_s
        self.shortages[service].note(expected > places, now)
        return min(1.0, places / expected) if expected else float(places > 0)


def open_to(loads: list[placement.ServerLoad]) -> list[placement.ServerLoad]:
    """Return the servers with a slot that no online request uses.

    Batch items there are preempted. Requests beyond that wait on the host, because a
    server's own queue ignores teams and deadlines.
    """
    return [load for load in loads if load.online < load.slots]


def places(loads: list[placement.ServerLoad]) -> int:
    """Return how many more online requests the servers' slots can take."""
    return sum(load.slots - load.online for load in open_to(loads))
