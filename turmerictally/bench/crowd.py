"""Simulate callers and batch jobs that compete for slots through many hosts.

The hosts' decisions are the product's own; servers, digests and callers are objects in
virtual time, without a network.
"""

import collections
import collections.abc
import contextlib
import itertools
import random

import attrs
import trio
import trio.testing

from turmerictally.entry import (
    admission,
    ejection,
    gossip,
    inflight,
    item_runner,
    jobs,
    model,
    prompt_guard,
    worker,
)
from turmerictally.scheduling import (
    connect_timeout,
    mechanisms,
    placement,
    server_limits,
    server_rates,
    wait_queue,
)
from turmerictally.store import rows
from turmerictally.tests.support import limits_fleet

SERVICE = "llm"
SERVICE_S = 0.72
DIGEST_S = 0.1  # between two digests of a host
MAX_START_S = 0.225  # a request that starts later misses the objective
OBJECTIVE_S = 0.3
CALLER_TIMEOUT_S = 5.0
SIZE = 1000
MAX_ATTEMPTS = 4  # servers to which a host sends one request
SILENCE_S = 0.9  # after which a host gives up a stream whose server fell silent
DOMAINS = "abc"
ITEM_EVENTS = 160
EVENT_S = 0.03
FIRST_EVENT_S = 0.07
CONNECT_S = 0.003  # to open a connection to a reachable server
TAKEOVER_S = 0.5  # from the loss of a job's owner until another host has its items
HOSTNAME = "h"
ITEM_ROUTE = model.Route(
    "batch", HOSTNAME, "/", model.Kind.BATCH, 30.0, 0.5, (model.Target(SERVICE, 1.0),)
)


class Clock:
    """Return trio's virtual time."""

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return trio.current_time()

    def suspended(self) -> float:
        """Return 0, as no simulated host is suspended."""
        return 0.0


@attrs.define
class CountingTrace:
    """Record the times of log lines by event and drop the lines."""

    times: dict[str, list[float]] = attrs.Factory(lambda: collections.defaultdict(list))

    def emit(self, event: str, *args: object, **fields: object) -> None:
        """Record a line."""
        self.times[event].append(trio.current_time())


class AllAvailable:
    """Mark every server as available for new requests."""

    budgets = server_rates.RateBudgets()
    limits = server_limits.ServerLimits()

    def accepts_requests(self, server: model.Server, now: float) -> bool:
        """Return True."""
        return True


@attrs.define
class Servers:
    """Stand in for the registry; the servers in ``lost`` are not listed."""

    servers: dict[str, model.Server]
    lost: set[str] = attrs.Factory(set)

    def usable(self, service: str) -> list[model.Server]:
        """Return the listed servers."""
        return [s for s in self.servers.values() if s.instance not in self.lost]

    def log_fields(self, name: str) -> dict:
        """Return no fields."""
        return {}


@attrs.define
class Engine:
    """Run as many requests at a time as there are slots, the others in order."""

    domain: str
    slots: int
    running: int = 0
    online: int = 0
    queue: collections.deque[trio.Event] = attrs.Factory(collections.deque)

    async def acquire(self) -> None:
        """Wait for a slot and take it."""
        if self.running < self.slots:
            self.running += 1
            return
        turn = trio.Event()
        self.queue.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn.is_set():
                self.release()
            else:
                self.queue.remove(turn)
            raise

    def release(self) -> None:
        """Free a slot, or hand it to the next request in the queue."""
        if self.queue:
            self.queue.popleft().set()
        else:
            self.running -= 1


@attrs.define
class CallerRequest:
    """Hold the outcome of one caller's request; times are virtual seconds."""

    team: str
    arrived_at: float
    domain: str = ""
    started_at: float | None = None
    attempts: int = 0
    queued_s: float = 0.0
    disconnected: bool = False
    retried_at: float | None = None
    refused_at: float | None = None
    failures: int = 0
    complete: bool = False

    @property
    def on_time(self) -> bool:
        """Return whether it started early enough for its objective."""
        return (
            self.started_at is not None
            and self.started_at - self.arrived_at <= MAX_START_S
        )

    @property
    def value(self) -> float:
        """Return 1 if it started on time, less if late or refused once, 0 if never."""
        if self.started_at is None:
            return 0.0
        if self.on_time:
            return 1.0
        since = self.retried_at
        retry_on_time = since is not None and self.started_at - since <= MAX_START_S
        return 0.57 if retry_on_time else 0.15

    @property
    def outcome(self) -> str:
        """Return how the caller was served."""
        if self.complete:
            return "on time" if self.on_time else "late"
        return "failed" if self.failures else "refused"


@attrs.define(eq=False)
class BatchJob:
    """Hold a simulated batch job; ``ended_at`` has the end of each finished item."""

    name: str
    team: str
    items: int
    submitted_at: float
    completion_s: float
    ended_at: dict[str, float] = attrs.Factory(dict)
    host: "SimulatedHost | None" = None
    version: int = 1

    def count_in_time(self) -> int:
        """Return how many items ended before the job's deadline."""
        limit = self.submitted_at + self.completion_s
        return sum(at <= limit for at in self.ended_at.values())


class JobStore:
    """Stand in for the row store's jobs: every write succeeds."""

    async def replace_state(
        self,
        versioned: jobs.VersionedState,
        state: jobs.State,
        puts: dict | None = None,
    ) -> jobs.VersionedState:
        """Return the state with the next version."""
        return jobs.VersionedState(state, versioned.version + 1)

    async def add_rows(self, versioned: jobs.VersionedState, puts: dict) -> None:
        """Accept rows of progress."""


class StateWatch:
    """Stand in for the local copy of the jobs' table."""

    def store_now_s(self) -> float:
        """Return the virtual time as the store's clock."""
        return trio.current_time()

    def apply(self, changed: list, version: int) -> None:
        """Drop a change, as no other host reads it."""

    def newer_row(self, address: rows.Address, version: int) -> None:
        """Return no row, as nothing else changes jobs."""


class ActiveConfiguration:
    """Stand in for a configuration with one route for batch items."""

    @property
    def current(self) -> "ActiveConfiguration":
        """Return the configuration."""
        return self

    def route(self, hostname: str, path: str) -> model.Route:
        """Return the route of batch items."""
        return ITEM_ROUTE


@attrs.define(eq=False)
class ItemRunner:
    """Run batch items of one host on simulated engines."""

    crowd: "Crowd"
    host: "SimulatedHost"

    def shared_parts(
        self, state: jobs.State, task: item_runner.ItemTask
    ) -> tuple[str, ...]:
        """Return the shared parts of an item's prompt, of which these have none."""
        return ()

    async def run(
        self, state: jobs.State, task: item_runner.ItemTask, server: model.Server
    ) -> str:
        """Run an item on one server; return the outcome."""
        engine = self.crowd.engines[server.instance]
        if not self.crowd.reaches(self.host.domain, engine.domain):
            await trio.sleep(self.crowd.connect_times.timeout_s())
            return item_runner.NOT_CONNECTED
        self.crowd.item_runs += 1
        first = len(task.event_data)
        try:
            async with self.crowd.slot(self.host, engine, ITEM_EVENTS * EVENT_S):
                started_at = trio.current_time() + FIRST_EVENT_S
                await trio.sleep(next(self.crowd.offsets_s))
                while len(task.event_data) < ITEM_EVENTS:
                    await trio.sleep(item_runner.READ_INTERVAL_S)
                    if not self.crowd.reaches(self.host.domain, engine.domain):
                        await trio.sleep(item_runner.EVENT_TIMEOUT_S)
                        return "broken: silent"
                    elapsed_s = max(0.0, trio.current_time() - started_at)
                    count = min(ITEM_EVENTS, first + int(elapsed_s / EVENT_S))
                    task.event_data = [b""] * count
                    task.last_event = count or None
        finally:
            self.crowd.runs_without_event += len(task.event_data) == first
        job = self.crowd.jobs[state.job]
        job.ended_at.setdefault(task.item.id, trio.current_time())
        return "done"


class SimulatedHost:
    """Hold one host's counts, its queue and its batch worker."""

    def __init__(self, crowd: "Crowd", number: int, instance: str = "i") -> None:
        clock = Clock()
        self.crowd = crowd
        self.number = number
        self.name, self.instance = f"h{number}", instance
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.hosts = gossip.HostDirectory(
            self.name, instance, clock, crowd.trace, domain=self.domain
        )
        for n in range(crowd.size):
            domain = DOMAINS[n % len(DOMAINS)]
            self.hosts.records[f"h{n}"] = gossip.HostRecord(
                f"h{n}", "i", "", 0, 0.0, domain
            )
        self.inflight = inflight.InFlight(
            crowd.servers,
            self.hosts,
            clock,
            crowd.trace,
            ejection.Ejector(self.domain),
            AllAvailable(),
            disabled=crowd.disabled,
        )
        queue = admission.make_wait_queue(self.hosts, crowd.rng)
        queue.demand.weights = crowd.weights
        queue.service_times.record(crowd.service_s, SIZE)
        self.admission = admission.Admission(
            self.inflight,
            self.hosts,
            queue,
            clock,
            crowd.trace,
            enforce_shares=mechanisms.Mechanism.FAIR_SHARES not in crowd.disabled,
            queueing_enabled=mechanisms.Mechanism.WAIT_QUEUE not in crowd.disabled,
        )
        self.inflight.on_finished = self.admission.offer_freed_slot
        self.hosts.request_ttl_s = self.admission.request_ttl_s
        self.worker = worker.Worker(
            host_id=self.name,
            instance=instance,
            job_store=JobStore(),
            state_watch=StateWatch(),
            job_states=jobs.JobStates(),
            active_configuration=ActiveConfiguration(),
            hosts=self.hosts,
            inflight=self.inflight,
            runner=ItemRunner(crowd, self),
            prompts=prompt_guard.PromptGuard(self.hosts, clock, crowd.trace),
            clock=clock,
            trace=crowd.trace,
            rng=crowd.rng,
            send_early_digest=self.send_early_digest,
            fair_to_teams=True,
            disabled=crowd.disabled,
        )
        self.sequence = 0
        self.sent_at = float("-inf")
        self.scope = trio.CancelScope()
        self.request_scopes: set[trio.CancelScope] = set()

    @property
    def alive(self) -> bool:
        """Return whether the host was not killed."""
        return not self.scope.cancel_called

    async def run(self) -> None:
        """Send digests and schedule batch items until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.worker.run)
                await trio.sleep(self.crowd.rng.uniform(0, self.crowd.digest_s))
                while True:
                    self.send_digest()
                    self.hosts.expire()
                    await trio.sleep(self.crowd.digest_s)

    def send_digest(self) -> None:
        """Send a digest to all hosts that can be reached."""
        self.sent_at = trio.current_time()
        digest = self.digest()
        for other in self.crowd.members:
            reached = self.crowd.reaches(self.domain, other.domain)
            if other is not self and other.alive and reached:
                other.receive(attrs.evolve(digest))

    def send_early_digest(self) -> None:
        """Send a digest before its time, unless one was sent just now."""
        if mechanisms.Mechanism.EARLY_DIGESTS in self.crowd.disabled:
            return
        if trio.current_time() >= self.sent_at + gossip.MIN_DIGEST_GAP_S:
            self.send_digest()

    def receive(self, digest: gossip.Digest) -> None:
        """Apply another host's digest."""
        if self.hosts.receive(digest):
            self.worker.preempt_items()
            self.inflight.evaluate_if_due()
            self.admission.offer_reported_slots()

    def digest(self) -> gossip.Digest:
        """Return a digest of this host's state."""
        self.sequence += 1
        queue, counts = self.admission.wait_queue, self.inflight
        waiting = self.worker.waiting_urgencies()
        callers = queue.count_in_share()
        return gossip.Digest(
            host=self.name,
            instance=self.instance,
            address="",
            sequence=self.sequence,
            online=gossip.named_callers(counts.online, callers),
            batch={k: v for k, v in counts.batch.items() if v},
            items_waiting=len(self.worker.waiting_items()),
            admitted={},
            requested={},
            table_ages={},
            store_age_s=0.0,
            failing=counts.open_circuits(),
            domain=self.domain,
            outcomes=counts.recent_outcomes.counts(trio.current_time()),
            demand=queue.demand.own_demand(trio.current_time()),
            callers_waiting=sum(callers.values()),
            waiting_urgencies=gossip.most_urgent(waiting),
            batch_urgencies=gossip.named_urgencies(counts.batch_urgencies, waiting),
        )


class Crowd:
    """Simulate hosts, servers and callers; ``former`` is the policy without shares.

    ``free_at`` holds, for times of the play, how many slots neither run nor await
    online requests. Hosts in ``cut_domains`` reach only their own domain.
    """

    def __init__(
        self,
        *,
        hosts: int = 20,
        servers: int = 12,
        slots: int = 8,
        quotas: dict[str, float] | None = None,
        former: bool = False,
        seed: int = 5,
        digest_s: float = DIGEST_S,
        service_s: float = SERVICE_S,
        disabled: frozenset[mechanisms.Mechanism] = frozenset(),
    ) -> None:
        self.size, self.former = hosts, former
        self.digest_s, self.service_s = digest_s, service_s
        self.disabled = disabled
        self.rng = random.Random(seed)
        self.weights = quotas or {}
        listed = {
            f"s{n}": model.Server(
                f"s{n}", f"a{n}", SERVICE, DOMAINS[n % len(DOMAINS)], slots
            )
            for n in range(servers)
        }
        self.servers = Servers(listed)
        self.engines = {
            name: Engine(server.domain, slots) for name, server in listed.items()
        }
        self.trace = CountingTrace()
        self.connect_times = connect_timeout.ConnectTimes()
        self.connect_times.record(CONNECT_S)
        self.requests: list[CallerRequest] = []
        self.jobs: dict[str, BatchJob] = {}
        self.members: list[SimulatedHost] = []
        self.max_wait_s: dict[str, float] = {}
        self.cut_domains: set[str] = set()
        self.free_at: list[tuple[float, int]] = []
        self.item_runs = self.runs_without_event = 0
        # Tasks that wake up at the same time would do so in an arbitrary order.
        self.offsets_s = (n * 1e-7 for n in itertools.count())
        self.started_at = 0.0
        self.nursery: trio.Nursery | None = None

    def run(
        self,
        rates_at: collections.abc.Callable[[float], dict[str, float]],
        seconds: float,
        *,
        seconds_of: collections.abc.Callable[[str], float] | None = None,
        events: collections.abc.Iterable[tuple[float, collections.abc.Callable]] = (),
        batch_jobs: collections.abc.Iterable[BatchJob] = (),
        tail_s: float = CALLER_TIMEOUT_S,
    ) -> "Crowd":
        """Send each team's requests at its rate in ``rates_at(now)``."""
        seconds_of = seconds_of or (lambda team: self.service_s)

        async def main() -> None:
            self.members = [SimulatedHost(self, n) for n in range(self.size)]
            self.started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                for member in self.members:
                    nursery.start_soon(member.run)
                for at, event in events:
                    nursery.start_soon(self.run_at, at, event)
                for job in batch_jobs:
                    nursery.start_soon(self.run_at, job.submitted_at, self.submit(job))
                nursery.start_soon(self.sample_free_slots)
                await self.arrive(nursery, rates_at, seconds, seconds_of)
                await trio.sleep(tail_s)
                nursery.cancel_scope.cancel()

        with limits_fleet.deterministic_order(0):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return self

    async def run_at(self, at: float, event: collections.abc.Callable) -> None:
        """Run an event at a time after the start."""
        await trio.sleep(at)
        event(self)

    async def sample_free_slots(self) -> None:
        """Record how many slots neither run nor await online requests."""
        while True:
            free = sum(e.slots - min(e.slots, e.online) for e in self.engines.values())
            waiting = sum(len(m.admission.wait_queue.requests) for m in self.members)
            self.free_at.append((trio.current_time(), free - waiting))
            await trio.sleep(self.digest_s / 2)

    def reaches(self, domain: str, other: str) -> bool:
        """Return whether two failure domains reach each other."""
        return domain == other or not {domain, other} & self.cut_domains

    @contextlib.asynccontextmanager
    async def slot(
        self, host: SimulatedHost, engine: Engine, seconds: float
    ) -> collections.abc.AsyncGenerator[None, None]:
        """Hold a slot; a server that doesn't see the end runs the request on."""
        await engine.acquire()
        ends_at = trio.current_time() + seconds
        try:
            yield
        finally:
            if self.reaches(host.domain, engine.domain):
                engine.release()
            else:
                self.nursery.start_soon(self.release_later, engine, ends_at)

    async def release_later(self, engine: Engine, at: float) -> None:
        """Free a slot whose server finishes a request that nobody reads."""
        await trio.sleep_until(at)
        engine.release()

    def submit(self, job: BatchJob) -> collections.abc.Callable[["Crowd"], None]:
        """Return an event that submits a job to a random host."""

        def event(crowd: "Crowd") -> None:
            job.submitted_at = trio.current_time()
            self.jobs[job.name] = job
            self.own(job, self.choose_host())

        return event

    def own(self, job: BatchJob, host: SimulatedHost) -> None:
        """Make a host the owner of a job's unfinished items."""
        before = job.host and job.host.worker.owned_jobs.get(job.name)
        progress = {}
        if before is not None:
            progress = {name: task.event_data for name, task in before.tasks.items()}
        job.host, job.version = host, job.version + 1000
        state = jobs.State(
            job.name, job.team, "batch", HOSTNAME, "/", host.name, host.instance,
            job.items, len(job.ended_at), 0, 1, job.submitted_at, job.completion_s,
            10 * job.completion_s,
        )  # fmt: skip
        items = [
            jobs.Item(f"{job.name}/{n}", "/", {}, b"", 0) for n in range(job.items)
        ]
        host.worker.start_job(
            jobs.VersionedState(state, job.version), items, set(job.ended_at)
        )
        for name, task in host.worker.owned_jobs[job.name].tasks.items():
            task.event_data = progress.get(name, [])
            task.last_event = len(task.event_data) or None

    def choose_host(self, domain: str = "") -> SimulatedHost:
        """Return a random live host, of a domain where one is named."""
        alive = [member for member in self.members if member.alive]
        in_domain = [m for m in alive if m.domain == domain]
        return self.rng.choice(in_domain or alive or self.members)

    def kill(self, numbers: collections.abc.Iterable[int], down_s: float) -> None:
        """Kill hosts, and start them again after some seconds."""
        for number in numbers:
            for scope in (
                self.members[number].scope,
                *self.members[number].request_scopes,
            ):
                scope.cancel()
            self.nursery.start_soon(self.restart, number, down_s)

    async def restart(self, number: int, down_s: float) -> None:
        """Start a host again and let live hosts take its jobs over."""
        killed = self.members[number]
        await trio.sleep(down_s + next(self.offsets_s))
        host = SimulatedHost(self, number, killed.instance + "i")
        self.members[number] = host
        self.nursery.start_soon(host.run)
        await trio.sleep(TAKEOVER_S)
        for job in self.jobs.values():
            if job.host is killed and len(job.ended_at) < job.items:
                self.own(job, self.choose_host())

    async def arrive(
        self,
        nursery: trio.Nursery,
        rates_at: collections.abc.Callable[[float], dict[str, float]],
        seconds: float,
        seconds_of: collections.abc.Callable[[str], float],
    ) -> None:
        """Start callers at random times."""
        while (now := trio.current_time() - self.started_at) < seconds:
            rates = rates_at(now)
            total = sum(rates.values())
            await trio.sleep(self.rng.expovariate(total))
            team = self.rng.choices(list(rates), list(rates.values()))[0]
            nursery.start_soon(self.caller, team, seconds_of(team))

    async def caller(self, team: str, service_s: float) -> None:
        """Send one caller's request, and a second one after a refusal or failure."""
        domain = self.rng.choice(DOMAINS)
        request = CallerRequest(team, trio.current_time(), domain)
        self.requests.append(request)
        max_wait_s = self.max_wait_s.get(team, CALLER_TIMEOUT_S)
        with trio.move_on_after(max_wait_s) as scope:
            for attempt in range(2):
                request.attempts += 1
                member = self.choose_host(domain)
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

    async def attempt(
        self,
        member: SimulatedHost,
        request: CallerRequest,
        service_s: float,
        remaining_s: float,
    ) -> float | None:
        """Return None when served, otherwise the delay before the caller may retry."""
        with trio.CancelScope() as scope:
            member.request_scopes.add(scope)
            try:
                return await self.try_servers(member, request, service_s, remaining_s)
            finally:
                member.request_scopes.discard(scope)
        request.failures += 1
        return 0.0

    async def try_servers(
        self,
        member: SimulatedHost,
        request: CallerRequest,
        service_s: float,
        remaining_s: float,
    ) -> float | None:
        """Offer a request to one server after the other, as a host does."""
        deadline = trio.current_time() + remaining_s
        tried: set[str] = set()

        def read_loads() -> list[placement.ServerLoad]:
            return member.inflight.server_loads(SERVICE, exclude=frozenset(tried))

        with member.admission.track_demand(SERVICE, request.team):
            while len(tried) < MAX_ATTEMPTS:
                loads = read_loads()
                if not self.former:
                    result = await self.admit(
                        member, request, service_s, deadline, read_loads
                    )
                    if isinstance(result, wait_queue.Refusal):
                        request.refused_at = trio.current_time()
                        return result.retry_after_s
                    loads = result
                chosen = placement.choose_server(
                    loads,
                    domain=member.domain,
                    prompt_parts=(),
                    rng=self.rng,
                    disabled=self.disabled,
                )
                if chosen is None:
                    return self.rng.uniform(0.15, 0.45)
                outcome = await self.send(member, request, service_s, chosen)
                if outcome == "done":
                    request.complete = True
                    return None
                if outcome == "failed":
                    request.failures += 1
                    return 0.0
                tried.add(chosen.name)
        request.failures += 1
        return 0.0

    async def admit(
        self,
        member: SimulatedHost,
        request: CallerRequest,
        service_s: float,
        deadline: float,
        read_loads: collections.abc.Callable[[], list[placement.ServerLoad]],
    ) -> list[placement.ServerLoad] | wait_queue.Refusal:
        """Return the servers that may get a request, or its refusal."""
        now = trio.current_time()
        queued = wait_queue.QueuedRequest(
            service=SERVICE,
            team=request.team,
            rank=self.rng.random(),
            size=round(SIZE * service_s / self.service_s),
            body_bytes=1500,
            start_by=now + OBJECTIVE_S * wait_queue.START_RATIO,
            deadline=deadline,
        )
        try:
            return await member.admission.admit(queued, "", read_loads)
        finally:
            request.queued_s += trio.current_time() - now

    async def send(
        self,
        member: SimulatedHost,
        request: CallerRequest,
        service_s: float,
        chosen: placement.ServerLoad,
    ) -> str:
        """Run a request on a server; return the outcome."""
        engine = self.engines[chosen.name]
        inflight_counts = member.inflight
        inflight_counts.circuits.request_started(chosen.name, trio.current_time())
        inflight_counts.add_online(chosen.name, 1)
        if chosen.total + 1 > chosen.slots:
            member.worker.preempt_items()
            member.send_early_digest()
        try:
            if not self.reaches(member.domain, engine.domain):
                await trio.sleep(self.connect_times.timeout_s())
                inflight_counts.record_failure(chosen.name, refused=True)
                return "not connected"
            async with self.slot(member, engine, service_s):
                engine.online += 1
                try:
                    request.started_at = trio.current_time()
                    await trio.sleep(service_s + next(self.offsets_s))
                finally:
                    engine.online -= 1
                if not self.reaches(member.domain, engine.domain):
                    request.started_at = None
                    await trio.sleep(SILENCE_S)
                    inflight_counts.record_failure(chosen.name, refused=False)
                    return "failed"
            inflight_counts.record_success(chosen.name)
            return "done"
        finally:
            inflight_counts.add_online(chosen.name, -1)

    def of(
        self, *teams: str, since: float = 0.0, until: float = float("inf")
    ) -> list[CallerRequest]:
        """Return the requests of some teams that arrived in an interval."""
        return [
            request
            for request in self.requests
            if request.team in teams
            and since <= request.arrived_at - self.started_at < until
        ]


def mean_value(requests: collections.abc.Sequence[CallerRequest]) -> float:
    """Return the mean value of requests."""
    return sum(request.value for request in requests) / len(requests)


def skewed(count: int, total: float, skew: float = 1.2) -> dict[str, float]:
    """Return teams' rates that sum to ``total``, the first one largest."""
    weights = [1 / n**skew for n in range(1, count + 1)]
    return {f"t{n}": total * w / sum(weights) for n, w in enumerate(weights)}
