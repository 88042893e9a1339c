"""Simulate how hosts choose among batch jobs under one schedule of faults.

Workload: twelve teams, two of them large by weight, send big and small jobs with
short and long windows, together 90 % of the fleet's capacity; hosts are lost and
online bursts make hosts yield. The schedule of jobs and faults is the same for each
policy. Only the choice differs.
"""

import heapq
import itertools
import random

import attrs

from turmerictally.batch import policy, records

HOSTS = 20
SLOTS = 4
RANGE_ITEMS = 500
RANGE_S = 300.0  # seconds that one range takes in one slot
PART_S = 60.0
LEASE_S = 30.0
RECOVERY_S = 45.0
HORIZON_S = 6 * 3600.0
LOSS_EVERY_S = 1800.0
BURST_EVERY_S = 240.0
BURST_S = 10.0
IN_FLIGHT = 8  # items of one slot that a yield interrupts
LOAD = 0.9
FLOOD_BASE_LOAD = 0.6
FLOOD_TEAM = 12
FLOOD_RANGES = 40
FLOOD_EVERY_S = 120.0  # 1.25 times the fleet's capacity
FLOOD_WINDOW_S = 900.0
SEED = 20261203


@attrs.define
class SimJob:
    """Track one simulated job; times are in seconds from the start."""

    row: records.Ready
    weight: float
    open: int
    left: int
    finished: float | None = None


@attrs.define
class Outcome:
    """Report one policy's run; shares are from 0 to 1."""

    name: str
    on_time: float
    worst_team: float
    worst_small: float
    items_per_s: float
    wasted: float
    max_late_s: float


def workload(flood: bool = False) -> list[SimJob]:
    """Return the jobs in order of acceptance.

    With ``flood``, one more team sends above the fleet's capacity with the
    shortest windows.
    """
    load = FLOOD_BASE_LOAD if flood else LOAD
    jobs = _base_jobs(load)
    if flood:
        jobs += _flood_jobs()
    return sorted(jobs, key=lambda job: job.row.created_at)


def _flood_jobs() -> list[SimJob]:
    jobs = []
    for number in range(int(HORIZON_S / 2 / FLOOD_EVERY_S)):
        at = number * FLOOD_EVERY_S
        team = f"t{FLOOD_TEAM}"
        row = _row(f"f{number}", team, FLOOD_RANGES, at, at + FLOOD_WINDOW_S)
        jobs.append(SimJob(row, 10.0, FLOOD_RANGES, FLOOD_RANGES))
    return jobs


def _base_jobs(load: float) -> list[SimJob]:
    rng = random.Random(SEED)
    capacity = HOSTS * SLOTS * HORIZON_S / RANGE_S
    jobs, used = [], 0
    while used < load * capacity:
        team = rng.randrange(12)
        weight = 40.0 if team < 2 else 10.0
        big = rng.random() < (0.5 if team < 2 else 0.1)
        ranges = rng.randint(60, 160) if big else rng.randint(1, 6)
        work_s = ranges * RANGE_S / (HOSTS * SLOTS) + RANGE_S
        window = work_s * rng.choice([3.0, 6.0, 20.0]) + 600.0
        at = rng.uniform(0.0, HORIZON_S * 0.8)
        row = _row(f"j{len(jobs)}", f"t{team}", ranges, at, at + window)
        jobs.append(SimJob(row, weight, ranges, ranges))
        used += ranges
    return jobs


def _row(job, team, ranges, at, deadline):
    items = ranges * RANGE_ITEMS
    return records.Ready(job, team, items, ranges, ("m",), at, deadline)


@attrs.define
class Simulation:
    """Run one policy; events are ``(time, order, action)``."""

    name: str
    jobs: list[SimJob]
    rng: random.Random = attrs.Factory(lambda: random.Random(SEED + 1))
    events: list = attrs.Factory(list)
    order: object = attrs.Factory(itertools.count)
    now: float = 0.0
    epoch: list[int] = attrs.Factory(lambda: [0] * HOSTS)
    running: list[dict] = attrs.Factory(lambda: [{} for _ in range(HOSTS)])
    idle: set = attrs.Factory(set)
    choosers: list = attrs.Factory(list)
    wasted: float = 0.0
    done: int = 0

    def run(self) -> Outcome:
        """Run until every job is done."""
        self.choosers = [self._chooser(host) for host in range(HOSTS)]
        for job in self.jobs:
            self._at(job.row.created_at, self._wake)
        for host in range(HOSTS):
            for slot in range(SLOTS):
                self.idle.add((host, slot))
        self._at(LOSS_EVERY_S, self._lose)
        self._at(BURST_EVERY_S, self._burst)
        while any(job.left for job in self.jobs):
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self._outcome()

    def _chooser(self, host: int) -> policy.Share:
        rng = random.Random(f"{SEED}.{host}.{self.epoch[host]}")
        rate = RANGE_ITEMS / RANGE_S
        fleet = rate * HOSTS * SLOTS
        return policy.Share(rng, lambda: fleet, lambda: rate, RANGE_ITEMS)

    def _at(self, when: float, action) -> None:
        heapq.heappush(self.events, (when, next(self.order), action))

    def _wake(self) -> None:
        for place in sorted(self.idle):
            self._start(place)

    def _start(self, place: tuple[int, int]) -> None:
        job = self._choose(place[0])
        if job is None:
            self.idle.add(place)
            return
        self.idle.discard(place)
        job.open -= 1
        host, slot = place
        token = next(self.order)
        self.running[host][slot] = (token, job, self.now)
        length = RANGE_S * self.rng.uniform(0.8, 1.2)
        self._at(self.now + length, lambda: self._end(place, token))

    def _choose(self, host: int) -> SimJob | None:
        found = {
            job.row.job: job
            for job in self.jobs
            if job.open and job.row.created_at <= self.now
        }
        candidates = [self._candidate(job) for job in found.values()]
        if not candidates:
            return None
        if self.name == "first-come":
            first = policy.first_come(candidates, self.now)[0]
        elif self.name == "earliest-deadline":
            first = policy.earliest_deadline(candidates, self.now)[0]
        else:
            first = self.choosers[host].order(candidates, self.now)[0]
            self.choosers[host].charge(first, RANGE_ITEMS)
        return found[first.job]

    def _candidate(self, job: SimJob) -> policy.Candidate:
        row = job.row
        left = job.left * RANGE_ITEMS
        return policy.Candidate(row.job, row.team, job.weight, left, row.deadline, row)

    def _end(self, place: tuple[int, int], token: int) -> None:
        host, slot = place
        current = self.running[host].get(slot)
        if current is None or current[0] != token:
            return
        del self.running[host][slot]
        job = current[1]
        job.left -= 1
        self.done += RANGE_ITEMS
        if not job.left:
            job.finished = self.now
        self._start(place)

    def _lose(self) -> None:
        """Lose a host: what it did since its last part is done again."""
        host = self.rng.randrange(HOSTS)
        for slot, (_, job, since) in sorted(self.running[host].items()):
            lost_s = (self.now - since) % PART_S
            self.wasted += RANGE_ITEMS * lost_s / RANGE_S
            self._at(self.now + RECOVERY_S, lambda job=job: self._reopen(job))
            del slot
        self.running[host].clear()
        self.epoch[host] += 1
        self.choosers[host] = self._chooser(host)
        for slot in range(SLOTS):
            self.idle.add((host, slot))
        self._at(self.now + LOSS_EVERY_S, self._lose)
        self._at(self.now + 1.0, self._wake)

    def _reopen(self, job: SimJob) -> None:
        job.open += 1
        self._wake()

    def _burst(self) -> None:
        """Make one host yield: items in flight run again after the burst."""
        host = self.rng.randrange(HOSTS)
        for slot, (token, job, since) in sorted(self.running[host].items()):
            self.wasted += IN_FLIGHT / 2
            renewed = next(self.order)
            self.running[host][slot] = (renewed, job, since)
            left = max(1.0, RANGE_S - (self.now - since))
            place = (host, slot)
            self._at(
                self.now + BURST_S + left,
                lambda place=place, renewed=renewed: self._end(place, renewed),
            )
            del token
        self._at(self.now + BURST_EVERY_S, self._burst)

    def _outcome(self) -> Outcome:
        teams: dict[str, list[bool]] = {}
        small: dict[str, list[bool]] = {}
        for job in self.jobs:
            on_time = job.finished <= job.row.deadline
            teams.setdefault(job.row.team, []).append(on_time)
            if job.row.ranges <= 6:
                small.setdefault(job.row.team, []).append(on_time)
        flood = f"t{FLOOD_TEAM}"
        late = [
            job.finished - job.row.deadline
            for job in self.jobs
            if job.row.team != flood
        ]
        total = sum(job.row.items for job in self.jobs)
        last = max(job.finished for job in self.jobs)
        teams.pop(f"t{FLOOD_TEAM}", None)
        every = [on_time for results in teams.values() for on_time in results]
        return Outcome(
            name=self.name,
            on_time=sum(every) / len(every),
            worst_team=min(sum(r) / len(r) for r in teams.values()),
            worst_small=min(sum(r) / len(r) for r in small.values()),
            items_per_s=total / last,
            wasted=self.wasted / total,
            max_late_s=max(0.0, *late),
        )


def compare(flood: bool = False) -> list[Outcome]:
    """Run the three policies on the same schedule; count all but the flood."""
    names = ("first-come", "earliest-deadline", "fair-slack")
    return [Simulation(name, workload(flood)).run() for name in names]
