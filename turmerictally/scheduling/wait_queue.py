"""Queue requests that found no free slot and serve them in fair order."""

import collections
import collections.abc
import random
import typing

import attrs

from turmerictally.scheduling import fair_shares, placement

MAX_QUEUED = 256  # requests per host; a tenth of a host's typical connections
# Total size of queued bodies; a twelfth of a small host's memory.
MAX_QUEUED_BYTES = 16 * 1024 * 1024
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
ABOVE_SHARE = "above the team's share"


@attrs.define(eq=False)
class QueuedRequest:
    """Hold a queued request; ``start_by`` and ``deadline`` are monotonic seconds.

    ``rank`` is its position among its team's requests in [0, 1); ``in_share`` tells
    whether it was within its team's share when it was queued. ``on_offer`` is called
    when a slot is offered to it. While ``offered``, it has not yet used the offer;
    ``server`` is the server with the slot, empty for any. With ``must_wait`` it is not
    refused for its expected wait: a server has begun with it, and its caller waits.
    ``software`` is the version of the servers that it may be sent to, None for any.
    """

    service: str
    team: str
    rank: float
    size: int
    body_bytes: int
    start_by: float
    deadline: float
    in_share: bool = True
    on_offer: typing.Callable[[], None] = lambda: None
    offered: bool = False
    server: str = ""
    must_wait: bool = False
    software: str | None = None

    def may_use(self, versions: collections.abc.Collection[str] | None) -> bool:
        """Return whether servers of these versions may get it; None for any version."""
        return None in (self.software, versions) or self.software in versions


@attrs.frozen
class QueueConditions:
    """Hold the inputs of a queueing decision for one service.

    ``slots`` counts the service's slots and ``waiting_elsewhere`` the requests within
    their team's share that are queued on other hosts. ``hosts`` counts the reachable
    hosts, including this one, and ``age_s`` is the age of the oldest of their digests.
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

    ``average_s`` is the average duration, 0 before one has ended; ``started_at`` is
    when the current shortage started (monotonic seconds).
    """

    average_s: float = 0.0
    started_at: float | None = None

    def update(self, short: bool, now: float) -> None:
        """Record whether slots are short now."""
        if short and self.started_at is None:
            self.started_at = now
        elif not short and self.started_at is not None:
            lasted, self.started_at = now - self.started_at, None
            if lasted >= MIN_SHORTAGE_S:
                previous_s = self.average_s or lasted
                self.average_s = previous_s + SMOOTHING * (lasted - previous_s)

    def remaining_s(self, now: float) -> float:
        """Return the expected remaining duration, 0 if slots are not short.

        A shortage that exceeds the average is expected to last as long again.
        """
        if self.started_at is None:
            return 0.0
        lasted = now - self.started_at
        expected_s = self.average_s or INITIAL_SHORTAGE_S
        return expected_s - lasted if lasted < expected_s else lasted


@attrs.define(eq=False)
class WaitQueue:
    """Hold the requests on this host that wait for a slot."""

    demand: fair_shares.TeamDemand
    service_times: fair_shares.ServiceTimes
    rng: random.Random
    requests: list[QueuedRequest] = attrs.Factory(list)
    next_retry_at: dict[str, float] = attrs.Factory(dict)
    shortages: dict[str, Shortage] = attrs.field(
        factory=lambda: collections.defaultdict(Shortage)
    )

    @property
    def queued_bytes(self) -> int:
        """Return the size of the queued bodies."""
        return sum(request.body_bytes for request in self.requests)

    def queued_for(self, service: str) -> list[QueuedRequest]:
        """Return the requests queued for one service."""
        return [request for request in self.requests if request.service == service]

    def count_in_share(self) -> collections.Counter[str]:
        """Return by service how many requests within their team's share are queued."""
        return collections.Counter(
            request.service for request in self.requests if request.in_share
        )

    def check_admission(
        self, request: QueuedRequest, conditions: QueueConditions, now: float
    ) -> Refusal | None:
        """Return None if a request may be queued, otherwise its refusal.

        A request above its team's share may use what those within theirs leave, so it
        is refused only if it could not start in time after all of them.
        """
        share = self.demand.relative_ratio(
            request.service, request.team, conditions.slots, now
        )
        request.in_share = request.rank < share
        if request.in_share:
            _, wait_s = self.estimate_wait(request, conditions)
        else:
            wait_s = self.backlog_s(request.service, conditions, now)
        if len(self.requests) >= MAX_QUEUED:
            reason = "too many wait here"
        elif self.queued_bytes + request.body_bytes > MAX_QUEUED_BYTES:
            reason = "too many bytes wait here"
        elif now + wait_s > request.start_by and not request.must_wait:
            reason = "no room in time" if request.in_share else ABOVE_SHARE
        else:
            return None
        return self.refuse(request, reason, share, conditions, now)

    def refuse(
        self,
        request: QueuedRequest,
        reason: str,
        share: float,
        conditions: QueueConditions,
        now: float,
    ) -> Refusal:
        """Refuse a request, with a retry delay after which a slot is expected.

        Retries are scheduled from the end of the shortage on, one per slot that is
        expected to become free.
        """
        ahead, wait_s = self.estimate_wait(request, conditions)
        interval_s = self.slot_interval_s(conditions)
        shortage_s = self.shortages[request.service].remaining_s(now)
        retry_at = max(
            now + max(wait_s, shortage_s), self.next_retry_at.get(request.service, now)
        )
        max_delay_s = max(0.0, request.deadline - now) * MAX_RETRY_RATIO
        # Callers would not wait for a later retry.
        retry_at = min(retry_at, now + max_delay_s)
        # Every host schedules retries for the same slots.
        self.next_retry_at[request.service] = retry_at + interval_s * conditions.hosts
        delay_s = (retry_at - now) * self.rng.uniform(
            1 - JITTER_RATIO, 1 + JITTER_RATIO
        )
        if retry_at - now >= max_delay_s:
            delay_s = max_delay_s * self.rng.uniform(1 - 2 * JITTER_RATIO, 1)
        until = now + self.service_times.expected_s(request.size)
        self.demand.record_refusal(request.service, request.team, until)
        retry_after_s = min(
            max(MIN_RETRY_AFTER_S, delay_s), max(MIN_RETRY_AFTER_S, max_delay_s)
        )
        return Refusal(reason, share, ahead, wait_s, retry_after_s, conditions.age_s)

    def estimate_wait(
        self, request: QueuedRequest, conditions: QueueConditions
    ) -> tuple[int, float]:
        """Return how many queued requests precede a new one, and its expected wait.

        This host uses a fraction of the freed slots equal to its fraction of all queued
        requests. Those above their team's share come last and are not counted.
        """
        queued = [r for r in self.queued_for(request.service) if r.in_share]
        counts = collections.Counter(other.team for other in queued)
        own_team = counts.pop(request.team, 0)
        ahead = own_team + sum(min(count, own_team + 1) for count in counts.values())
        here = len(queued) + 1
        fraction = here / (here + conditions.waiting_elsewhere)
        return ahead, (ahead + 1) * self.slot_interval_s(conditions) / fraction

    def backlog_s(self, service: str, conditions: QueueConditions, now: float) -> float:
        """Return the expected time until a request after all others gets a slot.

        All others are those that wait on any host and those refused lately, which may
        return at any time.
        """
        demand = sum(self.demand.demands(service, now).values())
        excess = max(0.0, demand - conditions.slots)
        return (excess + 1.0) * self.slot_interval_s(conditions)

    def slot_interval_s(self, conditions: QueueConditions) -> float:
        """Return the expected time between two slots that become free."""
        return self.service_times.mean_s / max(1, conditions.slots)

    def add(self, request: QueuedRequest) -> None:
        """Queue a request."""
        self.requests.append(request)

    def discard(self, request: QueuedRequest) -> None:
        """Remove a request that starts, was abandoned by its caller or timed out."""
        if request in self.requests:
            self.requests.remove(request)

    def next_request(
        self,
        service: str,
        conditions: QueueConditions,
        now: float,
        versions: collections.abc.Collection[str] | None = None,
    ) -> QueuedRequest | None:
        """Return the queued request that gets a service's next slot, or None.

        Requests already offered a slot are skipped, and those that may not be sent to
        servers of the ``versions`` with a slot.
        """
        candidates = [
            request
            for request in self.queued_for(service)
            if not request.offered and request.may_use(versions)
        ]
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        ratios = {
            team: self.demand.relative_ratio(service, team, conditions.slots, now)
            for team in {request.team for request in candidates}
        }
        ahead: collections.Counter[str] = collections.Counter()
        keys = {}
        for request in sorted(candidates, key=lambda request: request.deadline):
            in_share = request.rank < ratios[request.team]
            # Requests within their team's share come first, and among them those of
            # teams whose whole demand is within their share.
            keys[request] = (
                not in_share,
                ratios[request.team] < 1,
                ahead[request.team],
                request.deadline,
            )
            ahead[request.team] += 1
        return min(candidates, key=keys.__getitem__)

    def own_slots(
        self, free_slots: int, service: str, conditions: QueueConditions
    ) -> int:
        """Return how many of the free slots that all hosts see this host may use."""
        here = len(self.queued_for(service))
        if not here:
            return 0
        expected = free_slots * here / (here + conditions.waiting_elsewhere)
        return min(here, int(expected) + (self.rng.random() < expected % 1))

    def immediate_ratio(
        self,
        service: str,
        free_slots: int,
        online: int,
        propagation_s: float,
        now: float,
    ) -> float:
        """Return the fraction of new requests that may start without queueing.

        For ``propagation_s`` all hosts see the same free slots. If more requests are
        expected in that time than slots are free, each host starts this fraction of
        them. The others wait for a slot that one of this host's own requests frees,
        which no other host knows of yet.
        """
        expected = online / self.service_times.mean_s * propagation_s
        self.shortages[service].update(expected > free_slots, now)
        return min(1.0, free_slots / expected) if expected else float(free_slots > 0)


def with_free_slots(loads: list[placement.ServerLoad]) -> list[placement.ServerLoad]:
    """Return the servers with a slot that no online request uses.

    Batch items in such slots are preempted. Further requests wait on this host rather
    than in a server's own queue, which ignores teams and deadlines.
    """
    return [load for load in loads if load.online < load.slots]


def count_free_slots(loads: list[placement.ServerLoad]) -> int:
    """Return how many more online requests the servers' slots can take."""
    return sum(load.slots - load.online for load in with_free_slots(loads))
