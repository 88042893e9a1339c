"""Run the items of the batch jobs that this host owns, in free slots only."""

import collections
import collections.abc
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import (
    forwarder,
    gossip,
    inflight,
    item_runner,
    jobs,
    model,
    registry,
    watch,
)
from turmerictally.entry import trace as traces
from turmerictally.scheduling import item_order, placement
from turmerictally.store import rows

TICK_S = 0.1  # between looks for free slots; as often as the hosts tell theirs
RETRY_S = 0.3  # pause of an item whose server refused or broke off
FAILED_RETRY_S = 0.8  # pause after a server's error, so that causes can pass
SAVE_DELAY_S = 0.06  # results that end close together share a transaction
SAVE_RETRY_S = 0.4
RELEASE_POLL_S = 0.02  # between looks for items that still end
# Between two writes of running items' events: what a host's loss costs an item at
# most, at about one transaction a second for each job that runs.
PROGRESS_S = 1.0
MIN_PROGRESS_EVENTS = 10  # fewer are made again sooner than they are written


@attrs.define(eq=False)
class OwnedJob:
    """Hold a job that this host runs since the row's version ``ownership_version``."""

    versioned: jobs.VersionedState
    ownership_version: int
    tasks: dict[str, item_runner.ItemTask]
    unsaved_results: list[jobs.Result] = attrs.Factory(list)
    writing: bool = False
    dropped: bool = False


@attrs.define(eq=False)
class Worker:
    """Run owned jobs, save their results, and take over jobs without an owner."""

    host_id: str
    instance: str
    job_store: jobs.JobStore
    state_watch: watch.Watch
    job_states: jobs.JobStates
    active_configuration: registry.ActiveConfiguration
    hosts: gossip.HostDirectory
    inflight: inflight.InFlight
    runner: item_runner.ItemRunner
    clock: clocks.Clock
    trace: traces.Trace
    rng: random.Random
    send_early_digest: collections.abc.Callable[[], None]
    on_state_change: collections.abc.Callable[[jobs.VersionedState], None] = (
        lambda versioned: None
    )
    owned_jobs: dict[str, OwnedJob] = attrs.Factory(dict)
    stopping: bool = False
    fair_to_teams: bool = False  # whether teams take turns with the free slots
    has_jobs: trio.Event = attrs.field(factory=trio.Event)
    estimate: item_order.ItemEstimate = attrs.field(factory=item_order.ItemEstimate)
    nursery: trio.Nursery | None = None
    max_running_items: int | None = None  # that this host runs at once; None is any

    async def run(self) -> None:
        """Work until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._keep_progress)
            while True:
                if not self.stopping:
                    self._start_items()
                    self.preempt_items()
                    self._leave_slow()
                if not self.owned_jobs:
                    self.has_jobs = trio.Event()
                    await self.has_jobs.wait()
                await trio.sleep(TICK_S * self.rng.uniform(0.8, 1.2))

    def start_job(
        self, versioned: jobs.VersionedState, items: list[jobs.Item], listed: set[str]
    ) -> None:
        """Begin to run a job whose row names this host.

        The takeover may have found the row before the store answered its writer, so
        that both come here; the newer version goes on.
        """
        before = self.owned_jobs.get(versioned.state.job)
        if before is not None:
            if before.versioned.version >= versioned.version:
                self.trace.emit(
                    "job_owned_already",
                    job=versioned.state.job,
                    version=before.versioned.version,
                )
                return
            before.dropped = True
            self._stop(before)
        tasks = {
            item.id: item_runner.ItemTask(item, order)
            for order, item in enumerate(items)
            if item.id not in listed
        }
        self.owned_jobs[versioned.state.job] = OwnedJob(
            versioned, versioned.version, tasks
        )
        self.has_jobs.set()
        self.publish(versioned)

    def _forget(self, owned: OwnedJob) -> None:
        job = owned.versioned.state.job
        if self.owned_jobs.get(job) is owned:
            del self.owned_jobs[job]

    def publish(self, versioned: jobs.VersionedState) -> None:
        """Take an own change into the followed copy at once."""
        where = jobs.state_address(versioned.state.job)
        self.state_watch.apply(
            [rows.Row(where, versioned.state.encode(), versioned.version)], 0
        )
        self.on_state_change(versioned)

    def waiting_items(self) -> list[tuple[OwnedJob, item_runner.ItemTask]]:
        """Return the items that could run now."""
        now = self.clock.monotonic()
        return [
            (owned, task)
            for owned in self.owned_jobs.values()
            if owned.versioned.state.open and not owned.dropped
            for task in owned.tasks.values()
            if not task.running and task.not_before <= now
        ]

    def _rank_of(self, owned: OwnedJob, task: item_runner.ItemTask) -> tuple:
        state = owned.versioned.state
        now_s = self.state_watch.store_now_s()
        candidate = item_order.Candidate(
            state.created_s + state.completion_s, len(task.event_data), task.position
        )
        return item_order.sort_key(
            candidate, self.estimate, state.created_s if now_s is None else now_s
        )

    def apply_changes(self, changed: list[rows.Row]) -> None:
        """Take other hosts' changes to owned jobs: an end, or another owner."""
        for row in changed:
            owned = self.owned_jobs.get(row.address.key)
            if owned is None or row.version <= owned.versioned.version:
                continue
            versioned = None if row.value is None else jobs.decode(row)
            if not owned.writing:
                self._take_state(owned, versioned)
            elif versioned is not None and versioned.state.cancelled:
                self._stop(owned)

    def preempt_items(self) -> None:
        """Stop own items on servers that are over their slots."""
        for name in [name for name, count in self.inflight.batch.items() if count]:
            if self.inflight.excess_requests(name) <= 0:
                continue
            load = self.inflight.server_load(name)
            count = placement.count_preemptions(load, self.host_id) if load else 0
            if count:
                self._stop_on(name, count)

    async def release_jobs(self) -> None:
        """Stop all items and give the jobs up, for a planned stop."""
        self.stopping = True
        for owned in self.owned_jobs.values():
            self._stop(owned)
        for owned in list(self.owned_jobs.values()):
            await self._release(owned)

    async def _keep_progress(self) -> None:
        """Write the events of running items, so that another host can go on."""
        while True:
            await trio.sleep(PROGRESS_S * self.rng.uniform(0.8, 1.2))
            for owned in list(self.owned_jobs.values()):
                if not owned.writing and not owned.dropped and not self.stopping:
                    await self._write_progress(owned)

    async def _write_progress(self, owned: OwnedJob) -> None:
        puts, written = _unsaved_progress(owned, MIN_PROGRESS_EVENTS)
        if not puts:
            return
        owned.writing = True
        try:
            await self.job_store.add_rows(owned.versioned, puts)
            for each in written:
                if each.item in owned.tasks:
                    owned.tasks[each.item].saved_events = (
                        each.first_event - 1 + len(each.event_data)
                    )
        except rows.ConflictError as error:
            found = [jobs.decode(row) for row in error.found if row.value]
            self._take_state(owned, found[0] if found else None)
        except rows.UnavailableError as error:
            # The next write repeats these rows.
            self.trace.emit(
                "progress_not_kept", job=owned.versioned.state.job, reason=str(error)
            )
        finally:
            owned.writing = False
            if owned.unsaved_results and not owned.dropped:
                owned.writing = True
                self.nursery.start_soon(self._save, owned)

    async def _release(self, owned: OwnedJob) -> None:
        while owned.writing or any(task.running for task in owned.tasks.values()):
            await trio.sleep(RELEASE_POLL_S)
        state = owned.versioned.state
        if owned.dropped or not state.open:
            return
        free = attrs.evolve(state, owner="", instance="")
        try:
            puts, _ = _unsaved_progress(owned, 1)
            self.on_state_change(
                await self.job_store.replace_state(owned.versioned, free, puts)
            )
        except (rows.ConflictError, rows.UnavailableError) as error:
            # The others find this host gone and take the job over a little later.
            self.trace.emit("job_not_released", job=state.job, reason=str(error))
            return
        self.trace.emit("job_released", job=state.job, listed=state.listed)

    def _stop(self, owned: OwnedJob) -> None:
        for task in owned.tasks.values():
            if task.cancel_scope is not None:
                task.cancel_scope.cancel()

    def _stop_on(self, server: str, count: int) -> None:
        running = [
            (owned, task)
            for owned in self.owned_jobs.values()
            for task in owned.tasks.values()
            if task.server == server and task.cancel_scope is not None
            if not task.cancel_scope.cancel_called
        ]
        running.sort(key=lambda pair: self._rank_of(*pair), reverse=True)
        for _, task in running[:count]:
            self.trace.emit(
                "item_gives_way",
                task.item.id,
                server=server,
                last_event=task.last_event,
            )
            task.cancel_scope.cancel()
            self._uncount(task)

    def _leave_slow(self) -> None:
        """Stop an item that ends too late on its slow server, to go on elsewhere.

        One at a time: each takes a free slot that others see too.
        """
        for owned in self.owned_jobs.values():
            for task in owned.tasks.values():
                running = (
                    task.cancel_scope is not None
                    and not task.cancel_scope.cancel_called
                )
                slowness = self.inflight.speed_estimate(task.server).slowness
                if running and slowness > 1.0 and self._leaves(owned, task):
                    task.cancel_scope.cancel()
                    self._uncount(task)
                    return

    def _leaves(self, owned: OwnedJob, task: item_runner.ItemTask) -> bool:
        server = self.inflight.registry.servers.get(task.server)
        if server is None:
            return False
        loads = {load.name: load for load in self.inflight.server_loads(server.service)}
        here = loads.pop(task.server, None)
        need = self._need(owned, task)
        if here is None or not placement.should_move(need, here, loads.values()):
            return False
        self.trace.emit(
            "item_leaves",
            task.item.id,
            server=task.server,
            last_event=task.last_event,
            left_s=round(need.remaining_s, 2),
            due_in_s=round(need.until_deadline_s, 2),
            **self.inflight.speed_log_fields(task.server),
        )
        return True

    def _uncount(self, task: item_runner.ItemTask) -> None:
        """Take an item off its server's count, once."""
        if task.counted_on_server:
            task.counted_on_server = False
            self.inflight.add_batch(task.server, -1)

    def _start_items(self) -> None:
        if self.owned_jobs:
            self.inflight.update_peaks()
        waiting = self._ordered()
        if not waiting or self.active_configuration.current is None:
            return
        groups: dict[str, list[tuple[OwnedJob, item_runner.ItemTask]]] = {}
        for owned, task in waiting:
            service = self._service(owned, task)
            if service is not None:
                groups.setdefault(service, []).append((owned, task))
        elsewhere = self.hosts.totals.items_waiting
        for service, pairs in groups.items():
            loads = self.inflight.server_loads(service)
            starts = placement.choose_batch_starts(
                loads,
                waiting=len(pairs),
                waiting_elsewhere=elsewhere,
                rng=self.rng,
                limit=self._may_start(),
            )
            by_name = {load.name: load for load in loads}
            slowness = {name: load.slowness for name, load in by_name.items()}
            needs = [self._need(*pair) for pair in pairs[: len(starts)]]
            starts = placement.assign_items(needs, starts, slowness)
            for pair, need, name in zip(pairs, needs, starts, strict=False):
                if not placement.should_move(need, by_name[name], loads):
                    self._start(*pair, name)
            if starts:
                self.send_early_digest()

    def _may_start(self) -> int | None:
        """Return how many items more this host may run, None when any."""
        if self.max_running_items is None:
            return None
        running = sum(
            task.running
            for owned in self.owned_jobs.values()
            for task in owned.tasks.values()
        )
        return max(0, self.max_running_items - running)

    def _need(
        self, owned: OwnedJob, task: item_runner.ItemTask
    ) -> placement.ItemTiming:
        state = owned.versioned.state
        due_s = state.created_s + state.completion_s
        now_s = self.state_watch.store_now_s()
        left_s = self.estimate.remaining_s(len(task.event_data))
        return placement.ItemTiming(
            left_s, due_s - (state.created_s if now_s is None else now_s)
        )

    def _ordered(self) -> list[tuple[OwnedJob, item_runner.ItemTask]]:
        """Return the waiting items, the first in order first."""
        ranked = [(self._rank_of(*pair), pair) for pair in self.waiting_items()]
        ranked.sort(key=lambda each: each[0])
        if not self.fair_to_teams:
            return [pair for _, pair in ranked]
        running = collections.Counter(
            owned.versioned.state.team
            for owned in self.owned_jobs.values()
            for task in owned.tasks.values()
            if task.running
        )
        teams = [(owned.versioned.state.team, rank[0]) for rank, (owned, _) in ranked]
        return [ranked[at][1] for at in item_order.interleave_teams(teams, running)]

    def _start(self, owned: OwnedJob, task: item_runner.ItemTask, name: str) -> None:
        server = self.inflight.registry.servers[name]
        task.cancel_scope = trio.CancelScope()
        task.server = name
        task.counted_on_server = True
        self.inflight.add_batch(name, 1)
        self.inflight.reserve_permit(name)
        self.trace.emit(
            "item_placed",
            task.item.id,
            job=owned.versioned.state.job,
            server=name,
            last_event=task.last_event,
            errors=task.errors,
            **self.inflight.speed_log_fields(name),
            **self.inflight.registry.evidence(name),
        )
        self.nursery.start_soon(self._run_item, owned, task, server)

    def _service(self, owned: OwnedJob, task: item_runner.ItemTask) -> str | None:
        """Return the service that runs an item, or end it when there is none."""
        state = owned.versioned.state
        route = self.active_configuration.current.route(state.hostname, task.item.path)
        if route is None:
            self._end(owned, task, False, "route ended")
            return None
        now_s = self.state_watch.store_now_s()
        if now_s is not None and now_s >= state.created_s + state.retention_s:
            self._end(owned, task, False, "retention is over")
            return None
        return forwarder.choose_service(route, self.rng)

    async def _run_item(
        self, owned: OwnedJob, task: item_runner.ItemTask, server: model.Server
    ) -> None:
        name = server.instance
        outcome = "gave way"
        started = self.clock.monotonic()
        try:
            with task.cancel_scope, trio.move_on_after(item_runner.ITEM_TIMEOUT_S):
                outcome = await self.runner.run(owned.versioned.state, task, server)
        finally:
            self._uncount(task)
            task.cancel_scope = None
            task.server = ""
        now = self.clock.monotonic()
        task.server_time_s += (now - started) / self.inflight.speed_estimate(
            name
        ).slowness
        if outcome == "done":
            self.inflight.record_success(name)
            self.estimate.record(task.server_time_s, len(task.event_data))
            text = b"\n".join(task.event_data).decode("utf-8", "replace")
            self._end(owned, task, True, "done", text)
            return
        if outcome == "error" and self._is_hopeless(owned, task):
            self._end(owned, task, False, f"{task.errors} errors")
            return
        if outcome == "impossible":
            self._end(owned, task, False, "impossible")
            return
        if outcome.startswith("broken"):
            refused = outcome == item_runner.NOT_CONNECTED
            self.inflight.record_failure(name, refused=refused)
        if outcome != "gave way":
            pause = FAILED_RETRY_S if outcome == "error" else RETRY_S
            task.not_before = now + pause * self.rng.uniform(0.7, 1.3)
        self.trace.emit(
            "item_not_done",
            task.item.id,
            job=owned.versioned.state.job,
            server=name,
            last_event=task.last_event,
            errors=task.errors,
            outcome=outcome,
        )

    def _is_hopeless(self, owned: OwnedJob, task: item_runner.ItemTask) -> bool:
        view = self.active_configuration.current
        route = view.route(owned.versioned.state.hostname, task.item.path)
        return route is not None and task.errors >= route.max_attempts

    def _end(
        self,
        owned: OwnedJob,
        task: item_runner.ItemTask,
        succeeded: bool,
        reason: str,
        text: str = "",
    ) -> None:
        if owned.dropped or owned.tasks.pop(task.item.id, None) is None:
            return
        self.trace.emit(
            "item_ended",
            task.item.id,
            job=owned.versioned.state.job,
            reason=reason,
            events=len(task.event_data),
            outcome="succeeded" if succeeded else "given up",
        )
        owned.unsaved_results.append(jobs.Result(task.item.id, succeeded, text))
        if not owned.writing:
            owned.writing = True
            self.nursery.start_soon(self._save, owned)

    async def _save(self, owned: OwnedJob) -> None:
        """Write results until none waits; a result's position never changes."""
        try:
            await trio.sleep(SAVE_DELAY_S)
            while owned.unsaved_results and not owned.dropped:
                await self._save_some(owned)
        finally:
            owned.writing = False

    async def _save_some(self, owned: OwnedJob) -> None:
        base = owned.versioned.state.listed
        puts, count = _fitting(owned.versioned.state.job, base, owned.unsaved_results)
        target = base + count
        while not owned.dropped:
            state = owned.versioned.state
            if state.listed == target:
                break
            # Items that a server has finished wait no more, saved or not.
            left = sum(task.item.tokens for task in owned.tasks.values())
            wanted = attrs.evolve(state, listed=target, tokens=left)
            try:
                self._take_state(
                    owned,
                    await self.job_store.replace_state(owned.versioned, wanted, puts),
                )
            except rows.ConflictError as error:
                found = [jobs.decode(row) for row in error.found if row.value]
                self._take_state(owned, found[0] if found else None)
            except rows.UnavailableError as error:
                self.trace.emit(
                    "results_not_saved",
                    job=state.job,
                    results=count,
                    maybe_applied=error.maybe_applied,
                    reason=str(error),
                )
                await trio.sleep(SAVE_RETRY_S * self.rng.uniform(0.5, 1.5))
        if not owned.dropped:
            del owned.unsaved_results[:count]
            self.publish(owned.versioned)

    def _take_state(
        self, owned: OwnedJob, versioned: jobs.VersionedState | None
    ) -> None:
        state = None if versioned is None else versioned.state
        mine = state is not None and (state.owner, state.instance) == (
            self.host_id,
            self.instance,
        )
        if mine:
            if versioned.version > owned.versioned.version:
                owned.versioned = versioned
            if state.cancelled or state.listed >= state.total:
                self._stop(owned)
                if state.cancelled:
                    owned.unsaved_results.clear()
                    owned.dropped = True
                    self.trace.emit("job_cancelled", job=state.job)
                self._forget(owned)
            return
        owned.dropped = True
        self._stop(owned)
        self._forget(owned)
        self.trace.emit(
            "job_lost",
            job=owned.versioned.state.job,
            owner=None if state is None else state.owner,
        )


def _fitting(
    job: str, base: int, results: list[jobs.Result]
) -> tuple[dict[rows.Address, bytes], int]:
    """Return the rows of as many results as one transaction takes, and how many."""
    puts: dict[rows.Address, bytes] = {}
    size = 0
    for number, result in enumerate(results):
        more = jobs.result_puts(job, base + number, result)
        size += sum(map(len, more.values())) * 4 // 3
        too_much = size > jobs.MAX_TRANSACTION_BYTES
        if puts and (too_much or len(puts) + len(more) > jobs.MAX_TRANSACTION_ROWS):
            return puts, number
        puts |= more
    return puts, len(results)


def _unsaved_progress(
    owned: OwnedJob, least: int
) -> tuple[dict[rows.Address, bytes], list[jobs.Progress]]:
    """Return the rows of events that are not kept yet, at least so many an item."""
    found = []
    for task in owned.tasks.values():
        new = len(task.event_data) - task.saved_events
        # Events are numbered from 1, as the parts are from 0.
        if new >= least and task.last_event == len(task.event_data):
            parts = [part.decode("utf-8", "replace") for part in task.event_data[-new:]]
            first = task.saved_events + 1
            found.append(
                jobs.Progress(task.item.id, owned.ownership_version, first, parts)
            )
    return jobs.progress_puts(owned.versioned.state.job, found)
