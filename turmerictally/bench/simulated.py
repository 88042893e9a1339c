"""Simulate engines that batch continuously, for benchmarks without wall time."""

import collections
import collections.abc
import heapq
import itertools
import random

import attrs

STEP_S = 0.020
STEP_PER_SEQUENCE_S = 0.0006
PREFILL_PER_TOKEN_S = 0.00015
CAPACITY = 32
CACHED_PREFIXES = 12
REPORT_LAG_S = 0.5
HISTORY_S = 2.0


class Timeline:
    """Run callbacks in order of virtual time; also serves as the policies' clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list = []
        self.counter = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def at(self, when: float, call: collections.abc.Callable, *args) -> None:
        """Run a callback at a time."""
        heapq.heappush(self.queue, (when, next(self.counter), call, args))

    def after(self, delay: float, call: collections.abc.Callable, *args) -> None:
        """Run a callback after a delay in seconds."""
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Run every callback up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)


@attrs.define(eq=False)
class Work:
    """Hold one request to a simulated engine."""

    prompt_tokens: int
    output_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    team: str = ""
    batch: bool = False
    arrived: float = 0.0
    first_token: float | None = None
    produced: int = 0
    cancelled: bool = False
    cache_hit: bool = False
    on_first: collections.abc.Callable = lambda work: None
    on_end: collections.abc.Callable = lambda work: None


class Engine:
    """Give each running request one token a step; admit in order of arrival."""

    def __init__(self, timeline: Timeline, address: str, slow: float = 1.0) -> None:
        self.timeline = timeline
        self.address = address
        self.slow = slow
        self.waiting: collections.deque[Work] = collections.deque()
        self.running: list[Work] = []
        self.stepping = False
        self.cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.history: collections.deque = collections.deque([(0.0, (0, 0, 0))])
        self.served = 0
        self.busy_s = 0.0  # summed over running requests

    def submit(self, work: Work) -> None:
        """Queue a request."""
        self.waiting.append(work)
        self._note()
        self._wake()

    def cancel(self, work: Work) -> None:
        """Stop a request."""
        work.cancelled = True
        if work in self.waiting:
            self.waiting.remove(work)
        if work in self.running:
            self.running.remove(work)
        self._note()

    def report(self) -> tuple[int, int, int]:
        """Return running, waiting and batch requests as of the lag ago."""
        horizon = self.timeline.now - REPORT_LAG_S
        found = self.history[0][1]
        for at, figures in self.history:
            if at > horizon:
                break
            found = figures
        return found

    def current(self) -> tuple[int, int, int]:
        """Return running, waiting and batch requests as of now."""
        batch = sum(w.batch for w in self.running) + sum(w.batch for w in self.waiting)
        return len(self.running), len(self.waiting), batch

    def _wake(self) -> None:
        if not self.stepping and (self.running or self.waiting):
            self.stepping = True
            self.timeline.after(self._admit(), self._finish_step)

    def _admit(self) -> float:
        prefill = 0
        while self.waiting and len(self.running) < CAPACITY:
            work = self.waiting.popleft()
            prefill += self._prefill(work)
            self.running.append(work)
        duration = STEP_S + STEP_PER_SEQUENCE_S * len(self.running)
        self._note()
        duration = (duration + prefill * PREFILL_PER_TOKEN_S) * self.slow
        self.busy_s += duration * len(self.running)
        return duration

    def _prefill(self, work: Work) -> int:
        if not work.prefix:
            return work.prompt_tokens
        work.cache_hit = work.prefix in self.cache
        self.cache[work.prefix] = None
        self.cache.move_to_end(work.prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return work.prompt_tokens - (work.prefix_tokens if work.cache_hit else 0)

    def _finish_step(self) -> None:
        self.stepping = False
        for work in list(self.running):
            self._advance(work)
        self._note()
        self._wake()

    def _advance(self, work: Work) -> None:
        work.produced += 1
        if work.first_token is None:
            work.first_token = self.timeline.now
            work.on_first(work)
        if work.produced >= work.output_tokens and not work.cancelled:
            self.running.remove(work)
            self.served += 1
            work.on_end(work)

    def _note(self) -> None:
        now = self.timeline.now
        self.history.append((now, self.current()))
        while len(self.history) > 2 and self.history[1][0] < now - HISTORY_S:
            self.history.popleft()


def poisson(
    rng: random.Random,
    until: float,
    rate: collections.abc.Callable[[float], float],
    most: float,
) -> list[float]:
    """Return arrival times of a process whose rate varies up to ``most`` a second."""
    times = []
    now = rng.expovariate(most)
    while now < until:
        if rng.random() * most < rate(now):
            times.append(now)
        now += rng.expovariate(most)
    return times


def percentile(values: list[float], part: float) -> float:
    """Return a percentile; ``part`` is from 0 to 1."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
