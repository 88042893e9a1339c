"""Run the items of the batch jobs that this host owns in free slots of servers."""

import collections
import collections.abc
import itertools
import logging
import math
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
    prompt_guard,
    registry,
    watch,
)
from turmerictally.entry import trace as traces
from turmerictally.scheduling import (
    item_attempts,
    item_order,
    mechanisms,
    placement,
    stream_origins,
)
from turmerictally.store import rows

logger = logging.getLogger(__name__)

SCHEDULE_INTERVAL_S = 0.1  # as often as hosts report their free slots
RETRY_S = 0.3  # before an item runs again after a refusal or a broken connection
CONFIGURATION_RECHECK_S = 0.3  # while this host's configuration is older than a job's
ERROR_RETRY_S = 0.8  # after a server error, so that a transient cause can clear
# A server that refused an item, or answered it with an error, gets none for this long
# while others have free slots.
REFUSAL_PAUSE_S = 2.0
# Lets results and failures that come close together share a transaction.
SAVE_DELAY_S = 0.06
SAVE_RETRY_S = 0.4
RELEASE_POLL_S = 0.02  # between checks for items that are still stopping
# Bounds the work that an item loses when its host fails, at the cost of about one
# transaction a second for each running job.
CHECKPOINT_INTERVAL_S = 1.0
MAX_REPORTED_URGENCIES = 16  # per digest and service, some 100 bytes
INTERNAL_ERROR = "internal error"
MIN_CHECKPOINT_EVENTS = 10  # regenerating fewer events is faster than writing them


@attrs.define(eq=False)
class OwnedJob:
    """Hold a job that this host owns and the items that have no result yet.

    ``ownership_version`` is the version of the job's row at which this host became its
    owner. ``writing`` is set while a task writes rows of the job: one writer at a time.
    A ``dropped`` job is cancelled or no longer owned here. ``awaits_configuration`` is
    set once its items have waited for a newer configuration. ``saved_attempts`` holds
    by item the failed attempts that the store has.
    """

    versioned: jobs.VersionedState
    ownership_version: int
    tasks: dict[str, item_runner.ItemTask]
    unsaved_results: list[jobs.Result] = attrs.Factory(list)
    writing: bool = False
    dropped: bool = False
    awaits_configuration: bool = False
    saved_attempts: dict[str, item_attempts.Attempts] = attrs.Factory(dict)

    def unsaved_ids(self) -> list[str]:
        """Return the items whose result is not saved yet."""
        return [result.id for result in self.unsaved_results]


@attrs.define(eq=False)
class Worker:
    """Schedule the items of owned jobs, save their results and checkpoint progress.

    With ``fair_to_teams`` teams take free slots in turn. ``max_running_items``
    limits the items that run on this host at once; None sets no limit.
    ``refused_until`` holds the servers that refused or failed an item lately, and
    ``can_go_on`` returns whether some server of an origin is registered.
    """

    host_id: str
    instance: str
    job_store: jobs.JobStore
    state_watch: watch.Watch
    job_states: jobs.JobStates
    active_configuration: registry.ActiveConfiguration
    hosts: gossip.HostDirectory
    inflight: inflight.InFlight
    runner: item_runner.ItemRunner
    prompts: prompt_guard.PromptGuard
    clock: clocks.Clock
    trace: traces.Trace
    rng: random.Random
    send_early_digest: collections.abc.Callable[[], None]
    on_state_change: collections.abc.Callable[[jobs.VersionedState], None] = (
        lambda versioned: None
    )
    owned_jobs: dict[str, OwnedJob] = attrs.Factory(dict)
    stopping: bool = False
    fair_to_teams: bool = False
    has_jobs: trio.Event = attrs.field(factory=trio.Event)
    estimate: item_order.ItemEstimate = attrs.field(factory=item_order.ItemEstimate)
    nursery: trio.Nursery | None = None
    max_running_items: int | None = None
    disabled: frozenset[mechanisms.Mechanism] = frozenset()
    refused_until: dict[str, float] = attrs.Factory(dict)
    attempts: item_attempts.AttemptLog = attrs.field(factory=item_attempts.AttemptLog)
    can_go_on: collections.abc.Callable[[stream_origins.Origin], bool] = bool

    async def run(self) -> None:
        """Schedule items until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._checkpoint_periodically)
            while True:
                if not self.stopping:
                    self._schedule()
                if not self.owned_jobs:
                    self.has_jobs = trio.Event()
                    await self.has_jobs.wait()
                await trio.sleep(SCHEDULE_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    def _schedule(self) -> None:
        """Start, preempt and move items; an unexpected error ends this round only."""
        for step in (self._start_items, self.preempt_items, self._move_late_item):
            try:
                step()
            except Exception as error:
                self._log_error(step.__name__.strip("_"), error)

    def _log_error(self, step: str, error: Exception, item: str = "") -> None:
        logger.error("Unexpected error in %s.", step, exc_info=error)
        self.trace.emit("batch_error", item, step=step, error=type(error).__name__)

    def start_job(
        self,
        versioned: jobs.VersionedState,
        items: list[jobs.Item],
        finished: set[str],
        attempts: collections.abc.Mapping[str, item_attempts.Attempts] | None = None,
    ) -> OwnedJob | None:
        """Start the unfinished items of a job whose row names this host as owner.

        ``attempts`` holds the failed attempts that the store has by item.

        A takeover may read the row before the store has responded to its writer, so
        both call this for the same job; the newer version wins. Returns None if this
        one has lost, or has ended meanwhile.
        """
        previous = self.owned_jobs.get(versioned.state.job)
        if previous is not None:
            if previous.versioned.version >= versioned.version:
                self.trace.emit(
                    "job_owned_already",
                    job=versioned.state.job,
                    version=previous.versioned.version,
                )
                return None
            previous.dropped = True
            self._cancel_items(previous)
        tasks = {
            item.id: item_runner.ItemTask(item, position)
            for position, item in enumerate(items)
            if item.id not in finished
        }
        owned = OwnedJob(versioned, versioned.version, tasks)
        owned.saved_attempts = dict(attempts or {})
        for item, saved in owned.saved_attempts.items():
            self.attempts.merge(versioned.state.job, item, saved)
        self.owned_jobs[versioned.state.job] = owned
        self.has_jobs.set()
        self.publish(versioned)
        # The feed may have passed on a newer state before the job was owned here.
        newer = self.state_watch.newer_row(
            jobs.state_address(versioned.state.job), versioned.version
        )
        if newer is not None:
            self.apply_changes([newer])
        self._start_writing(owned)
        return None if owned.dropped else owned

    def _remove_job(self, owned: OwnedJob) -> None:
        job = owned.versioned.state.job
        if self.owned_jobs.get(job) is owned:
            del self.owned_jobs[job]

    def publish(self, versioned: jobs.VersionedState) -> None:
        """Apply a written state to the local copy and report it to the other hosts."""
        address = jobs.state_address(versioned.state.job)
        self.state_watch.apply(
            [rows.Row(address, versioned.state.encode(), versioned.version)], 0
        )
        self.on_state_change(versioned)

    def waiting_items(self) -> list[tuple[OwnedJob, item_runner.ItemTask]]:
        """Return the items that wait for a server and whose retry pause is over."""
        now = self.clock.monotonic()
        return [
            (owned, task)
            for owned in self.owned_jobs.values()
            if owned.versioned.state.open and not owned.dropped
            for task in owned.tasks.values()
            if not task.running and task.not_before <= now
        ]

    def _order_key(self, owned: OwnedJob, task: item_runner.ItemTask) -> tuple:
        candidate, now_s = self._candidate(owned, task)
        return item_order.sort_key(candidate, self.estimate, now_s)

    def _urgency(self, owned: OwnedJob, task: item_runner.ItemTask) -> int:
        if mechanisms.Mechanism.ITEM_DEADLINE_ORDER in self.disabled:
            return self.rng.getrandbits(item_order.LATE_OFFSET.bit_length())
        candidate, now_s = self._candidate(owned, task)
        return item_order.urgency(candidate, self.estimate, now_s)

    def _candidate(
        self, owned: OwnedJob, task: item_runner.ItemTask
    ) -> tuple[item_order.Candidate, float]:
        """Return an item's sort inputs and the time, both on the store's clock."""
        state = owned.versioned.state
        now_s = self.state_watch.store_now_s()
        candidate = item_order.Candidate(
            state.created_s + state.completion_s, len(task.event_data), task.position
        )
        return candidate, state.created_s if now_s is None else now_s

    def waiting_urgencies(self) -> dict[str, list[int]]:
        """Return by service the urgencies of the most urgent items, for digests.

        Items that wait for servers of one version count under a name of their own.

        Other hosts leave free slots to these, so only items that this host could start
        count.
        """
        limit = MAX_REPORTED_URGENCIES
        if (capacity := self._remaining_capacity()) is not None:
            limit = min(limit, capacity)
        by_service: dict[str, list[int]] = {}
        for owned, task in self.waiting_items():
            if task.service:
                name = gossip.version_name(task.service, task.software)
                urgencies = by_service.setdefault(name, [])
                urgencies.append(self._urgency(owned, task))
        return {
            service: sorted(urgencies)[:limit]
            for service, urgencies in by_service.items()
            if limit
        }

    def apply_changes(self, changed: list[rows.Row]) -> None:
        """Apply changes by other hosts to owned jobs: cancellation or a new owner."""
        for row in changed:
            versioned = self.job_states.by_id.get(row.address.key)
            if versioned is None or not versioned.state.open:
                self.attempts.forget(row.address.key)
            owned = self.owned_jobs.get(row.address.key)
            if owned is None or row.version <= owned.versioned.version:
                continue
            versioned = None if row.value is None else jobs.decode(row)
            cancelled = versioned is not None and versioned.state.cancelled
            # Otherwise the conflict of the pending write tells what has changed.
            if cancelled or not owned.writing:
                self._apply_state(owned, versioned)

    def preempt_items(self) -> None:
        """Preempt items of this host on servers with more requests than slots."""
        for name in [name for name, count in self.inflight.batch.items() if count]:
            if self.inflight.excess_requests(name) <= 0:
                continue
            load = self.inflight.server_load(name)
            count = placement.count_preemptions(load, self.host_id) if load else 0
            if count:
                self._preempt_on(name, count)

    async def release_jobs(self) -> None:
        """Stop all items and release the jobs to other hosts, for a planned stop."""
        self.stopping = True
        for owned in self.owned_jobs.values():
            self._cancel_items(owned)
        for owned in list(self.owned_jobs.values()):
            await self._release_job(owned)

    async def _checkpoint_periodically(self) -> None:
        """Write the events of running items, so that another host can resume them."""
        while True:
            await trio.sleep(CHECKPOINT_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            for owned in list(self.owned_jobs.values()):
                if not owned.writing and not owned.dropped and not self.stopping:
                    await self._checkpoint(owned)

    async def _checkpoint(self, owned: OwnedJob) -> None:
        puts, written = _rows_of_progress(owned, MIN_CHECKPOINT_EVENTS)
        if not puts:
            return
        owned.writing = True
        try:
            await self.job_store.add_rows(owned.versioned, puts)
            for progress in written:
                task = owned.tasks.get(progress.item)
                if task is not None and task.beginning == progress.beginning:
                    saved_events = progress.first_event - 1 + len(progress.event_data)
                    # Some may have been discarded since.
                    task.saved_events = min(saved_events, len(task.event_data))
        except rows.ConflictError as error:
            current = [jobs.decode(row) for row in error.current_rows if row.value]
            self._apply_state(owned, current[0] if current else None)
        except rows.UnavailableError as error:
            # The next checkpoint includes these events again.
            self.trace.emit(
                "progress_not_kept", job=owned.versioned.state.job, reason=str(error)
            )
        finally:
            owned.writing = False
            self._start_writing(owned)

    async def _release_job(self, owned: OwnedJob) -> None:
        while owned.writing or any(task.running for task in owned.tasks.values()):
            await trio.sleep(RELEASE_POLL_S)
        state = owned.versioned.state
        if owned.dropped or not state.open:
            return
        released = attrs.evolve(state, owner="", instance="")
        try:
            puts, _ = _rows_of_progress(owned, 1)
            puts |= self._rows_of_attempts(owned)[0]
            self.on_state_change(
                await self.job_store.replace_state(owned.versioned, released, puts)
            )
        except (rows.ConflictError, rows.UnavailableError) as error:
            # Other hosts take the job over a little later, once this host is gone.
            self.trace.emit("job_not_released", job=state.job, reason=str(error))
            return
        self.trace.emit("job_released", job=state.job, listed=state.listed)

    def _cancel_items(self, owned: OwnedJob) -> None:
        for task in owned.tasks.values():
            if task.cancel_scope is not None:
                task.cancel_scope.cancel()

    def _preempt_on(self, server: str, count: int) -> None:
        running = [
            (owned, task)
            for owned in self.owned_jobs.values()
            for task in owned.tasks.values()
            if task.server == server and task.cancel_scope is not None
            if not task.cancel_scope.cancel_called
        ]
        running.sort(key=lambda pair: (-pair[1].urgency, len(pair[1].event_data)))
        for _, task in running[:count]:
            self.trace.emit(
                "item_gives_way",
                task.item.id,
                server=server,
                software=_software_of(task),
                last_event=task.last_event,
                urgency=task.urgency,
            )
            task.cancel_scope.cancel()
            self._uncount_item(task)

    def _move_late_item(self) -> None:
        """Stop one item that misses its deadline on a slow server, to resume elsewhere.

        Only one at a time: several would count on the same free slot.
        """
        if mechanisms.Mechanism.ITEM_MOVES in self.disabled:
            return
        for owned in self.owned_jobs.values():
            for task in owned.tasks.values():
                running = (
                    task.cancel_scope is not None
                    and not task.cancel_scope.cancel_called
                )
                slowness = self.inflight.speed_estimate(task.server).slowness
                if running and slowness > 1.0 and self._should_move(owned, task):
                    task.cancel_scope.cancel()
                    self._uncount_item(task)
                    return

    def _should_move(self, owned: OwnedJob, task: item_runner.ItemTask) -> bool:
        server = self.inflight.registry.servers.get(task.server)
        if server is None:
            return False
        # Without an event it can go on anywhere; with an unknown version nowhere.
        software = None if task.origin is None else task.origin.software
        if software == "":
            return False
        loads = {
            load.name: load
            for load in self.inflight.server_loads(server.service, software=software)
        }
        current = loads.pop(task.server, None)
        timing = self._timing(owned, task)
        if current is None or not placement.should_move(
            timing, current, loads.values()
        ):
            return False
        self.trace.emit(
            "item_leaves",
            task.item.id,
            server=task.server,
            software=_software_of(task),
            last_event=task.last_event,
            left_s=round(timing.remaining_s, 2),
            due_in_s=round(timing.until_deadline_s, 2),
            **self.inflight.speed_log_fields(task.server),
        )
        return True

    def _uncount_item(self, task: item_runner.ItemTask) -> None:
        """Remove an item from the count of its server, unless that has been done."""
        if task.counted_on_server:
            task.counted_on_server = False
            self.inflight.remove_item(task.server, task.urgency)

    def _start_items(self) -> None:
        if self.owned_jobs:
            self.inflight.update_peaks()
        waiting = self._waiting_in_order()
        if not waiting or self.active_configuration.current is None:
            return
        by_service: dict[str, list[tuple[OwnedJob, item_runner.ItemTask]]] = {}
        for owned, task in waiting:
            service = self._service_or_end(owned, task)
            if service is not None:
                by_service.setdefault(service, []).append((owned, task))
        for service, pairs in by_service.items():
            self._start_on(service, pairs)

    def _start_on(
        self, service: str, pairs: list[tuple[OwnedJob, item_runner.ItemTask]]
    ) -> None:
        """Start the most urgent items of a service in free slots that they can use."""
        versions = [placement.ANY_VERSION, *self._mixed_versions(service)]
        loads = {
            version: self._without_refusing(
                self.inflight.server_loads(service, software=version or None)
            )
            for version in versions
        }
        by_version: dict[str, list[tuple[OwnedJob, item_runner.ItemTask]]] = {}
        for owned, task in pairs:
            task.software = _software_of(task)
            if task.software not in versions:
                task.software = placement.ANY_VERSION
            task.service = service if loads[task.software] else ""
            by_version.setdefault(task.software, []).append((owned, task))
        starts = placement.choose_batch_starts(
            loads,
            waiting={
                version: sorted(self._urgency(*pair) for pair in each)
                for version, each in by_version.items()
            },
            waiting_elsewhere={
                version: self.hosts.waiting_urgencies(service, version)
                for version in versions
            },
            limit=self._remaining_capacity(),
        )
        for version, each in by_version.items():
            self._start_pairs(each, starts[version], loads[version])
        if any(starts.values()):
            self.send_early_digest()

    def _start_pairs(
        self,
        pairs: list[tuple[OwnedJob, item_runner.ItemTask]],
        servers: list[str],
        loads: list[placement.ServerLoad],
    ) -> None:
        """Start the first items, one in each of these servers' slots."""
        loads_by_name = {load.name: load for load in loads}
        slowness = {name: load.slowness for name, load in loads_by_name.items()}
        timings = [self._timing(*pair) for pair in pairs[: len(servers)]]
        servers = placement.assign_items(timings, servers, slowness)
        for pair, timing, name in zip(pairs, timings, servers, strict=False):
            if placement.should_move(timing, loads_by_name[name], loads):
                continue
            # An item that started just now may be the only trial of its prompt.
            if not self._is_quarantined(*pair):
                self._start_item(*pair, name)

    def _mixed_versions(self, service: str) -> list[str]:
        """Return the versions of a service's servers, none if there is only one."""
        versions = {
            server.software
            for server in self.inflight.registry.servers.values()
            if server.service == service
        }
        return sorted(filter(None, versions)) if len(versions) > 1 else []

    def _without_refusing(
        self, loads: list[placement.ServerLoad]
    ) -> list[placement.ServerLoad]:
        """Leave out servers that failed an item lately, if others have free slots."""
        now = self.clock.monotonic()
        for name in [n for n, until in self.refused_until.items() if now >= until]:
            del self.refused_until[name]
        others = [load for load in loads if load.name not in self.refused_until]
        return others if any(load.free_for_batch for load in others) else loads

    def _remaining_capacity(self) -> int | None:
        """Return how many more items this host may run, or None without a limit."""
        if self.max_running_items is None:
            return None
        running = sum(
            task.running
            for owned in self.owned_jobs.values()
            for task in owned.tasks.values()
        )
        return max(0, self.max_running_items - running)

    def _timing(
        self, owned: OwnedJob, task: item_runner.ItemTask
    ) -> placement.ItemTiming:
        state = owned.versioned.state
        deadline_s = state.created_s + state.completion_s
        now_s = self.state_watch.store_now_s()
        remaining_s = self.estimate.remaining_s(len(task.event_data))
        return placement.ItemTiming(
            remaining_s, deadline_s - (state.created_s if now_s is None else now_s)
        )

    def _waiting_in_order(self) -> list[tuple[OwnedJob, item_runner.ItemTask]]:
        """Return the waiting items in the order in which they are to start."""
        ranked = [(self._order_key(*pair), pair) for pair in self.waiting_items()]
        ranked.sort(key=lambda entry: entry[0])
        if not self._takes_team_turns():
            return [pair for _, pair in ranked]
        running = collections.Counter(
            owned.versioned.state.team
            for owned in self.owned_jobs.values()
            for task in owned.tasks.values()
            if task.running
        )
        teams = [(owned.versioned.state.team, rank[0]) for rank, (owned, _) in ranked]
        return [
            ranked[index][1] for index in item_order.interleave_teams(teams, running)
        ]

    def _takes_team_turns(self) -> bool:
        return (
            self.fair_to_teams and mechanisms.Mechanism.TEAM_TURNS not in self.disabled
        )

    def _start_item(
        self, owned: OwnedJob, task: item_runner.ItemTask, name: str
    ) -> None:
        server = self.inflight.registry.servers[name]
        parts = self.runner.shared_parts(owned.versioned.state, task)
        task.urgency = self._urgency(owned, task)
        task.cancel_scope = trio.CancelScope()
        task.server = name
        task.counted_on_server = True
        self.inflight.add_item(name, task.urgency)
        self.inflight.reserve_permit(name)
        self.prompts.record_send(task.item.id, name, parts)
        self.trace.emit(
            "item_placed",
            task.item.id,
            job=owned.versioned.state.job,
            server=name,
            last_event=task.last_event,
            errors=self._attempts_of(owned, task).total,
            urgency=task.urgency,
            **self.inflight.speed_log_fields(name),
            **self.inflight.registry.log_fields(name),
        )
        self.nursery.start_soon(self._run_item, owned, task, server)

    def _service_or_end(
        self, owned: OwnedJob, task: item_runner.ItemTask
    ) -> str | None:
        """Return the service that runs an item, None if it may not run.

        The item is ended if there is none. It waits if its prompt crashes servers, or
        while this host may not have heard of its route.
        """
        state = owned.versioned.state
        current = self.active_configuration.current
        route = current.route(state.hostname, task.item.path)
        if route is None and current.version >= state.configuration:
            self._finish_item(owned, task, False, "route ended")
            return None
        now_s = self.state_watch.store_now_s()
        if now_s is not None and now_s >= state.created_s + state.retention_s:
            self._finish_item(owned, task, False, "retention is over")
            return None
        if self._give_up(owned, task, route):
            return None
        if route is None:
            task.not_before = self.clock.monotonic() + CONFIGURATION_RECHECK_S
            if not owned.awaits_configuration:
                owned.awaits_configuration = True
                self.trace.emit(
                    "job_awaits_configuration",
                    job=state.job,
                    wanted=state.configuration,
                    version=current.version,
                )
            return None
        if self._is_quarantined(owned, task):
            return None
        return self._choose_service(owned, task, route)

    def _choose_service(
        self, owned: OwnedJob, task: item_runner.ItemTask, route: model.Route
    ) -> str:
        """Return the service that runs an item; it begins anew if it can't go on."""
        if task.origin is not None:
            services = {target.service for target in route.targets}
            reason = self._reason_to_begin_anew(task.origin, services)
            # Without any server it can't run, and its version may come back.
            if not reason or not self._has_servers(services):
                return task.origin.service
            self.trace.emit(
                "item_begins_anew",
                task.item.id,
                job=owned.versioned.state.job,
                service=task.origin.service,
                software=task.origin.software,
                events=len(task.event_data),
                saved_events=task.saved_events,
                reason=reason,
            )
            task.begin_anew()
        return forwarder.choose_service(route, self.rng)

    def _has_servers(self, services: set[str]) -> bool:
        """Return whether some server of these services is registered."""
        servers = self.inflight.registry.servers.values()
        return any(server.service in services for server in servers)

    def _reason_to_begin_anew(
        self, origin: stream_origins.Origin, services: set[str]
    ) -> str:
        """Return why an item can't go on with events of this origin, or ""."""
        if origin.service not in services:
            return "another service"
        if not origin.software:
            return "version unknown"
        return "" if self.can_go_on(origin) else "no server of its version"

    def _is_quarantined(self, owned: OwnedJob, task: item_runner.ItemTask) -> bool:
        """Return whether an item's prompt must not be sent now; it then waits."""
        state = owned.versioned.state
        refusal = self.prompts.check(self.runner.shared_parts(state, task))
        if refusal is None:
            task.held_for = ""
            return False
        task.not_before = self.clock.monotonic() + prompt_guard.ITEM_RECHECK_S
        if task.held_for != refusal.part:
            task.held_for = refusal.part
            self.trace.emit(
                "item_quarantined",
                task.item.id,
                job=state.job,
                part=refusal.part,
                crashes=refusal.crashes,
                age_s=refusal.age_s,
                wait_s=round(refusal.retry_after_s, 2),
            )
        return True

    async def _run_item(
        self, owned: OwnedJob, task: item_runner.ItemTask, server: model.Server
    ) -> None:
        name = server.instance
        outcome = "gave way"
        started = self.clock.monotonic()
        try:
            with task.cancel_scope, trio.move_on_after(item_runner.ITEM_TIMEOUT_S):
                outcome = await self.runner.run(owned.versioned.state, task, server)
        except Exception as error:
            # Other items and the callers of this host must not suffer from it.
            outcome = INTERNAL_ERROR
            self._log_error("run_item", error, task.item.id)
        finally:
            self._uncount_item(task)
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
            self._finish_item(owned, task, True, "done", text)
            return
        if outcome in ("error", "impossible"):
            self._record_failed_attempt(owned, task, outcome)
            view = self.active_configuration.current
            route = view.route(owned.versioned.state.hostname, task.item.path)
            if self._give_up(owned, task, route):
                return
        refusals = (item_runner.NOT_RUN, item_runner.UNIDENTIFIED)
        if outcome in refusals or outcome.startswith(("error", "answered")):
            self.refused_until[name] = now + REFUSAL_PAUSE_S
        if outcome.startswith("broken"):
            refused = outcome == item_runner.NOT_CONNECTED
            self.inflight.record_failure(name, refused=refused)
        if outcome != "gave way":
            pause = RETRY_S
            if outcome in ("error", INTERNAL_ERROR):
                pause = ERROR_RETRY_S
            task.not_before = now + pause * self.rng.uniform(0.7, 1.3)
        self.trace.emit(
            "item_not_done",
            task.item.id,
            job=owned.versioned.state.job,
            server=name,
            software=_software_of(task),
            last_event=task.last_event,
            events=task.run_events,
            server_closed=task.server_closed,
            shared_parts=self.runner.shared_parts(owned.versioned.state, task),
            errors=self._attempts_of(owned, task).total,
            outcome=outcome,
            **task.connection_fields,
        )
        if outcome.startswith("broken") and task.server_closed and not task.run_events:
            await self._record_crash(owned, task, server)

    async def _record_crash(
        self, owned: OwnedJob, task: item_runner.ItemTask, server: model.Server
    ) -> None:
        """Accuse an item's prompt if the server that ended its run has ended."""
        if await self.runner.pool.has_ended(server.address):
            parts = self.runner.shared_parts(owned.versioned.state, task)
            self.prompts.record_crash(task.item.id, server, parts)

    def _attempts_of(
        self, owned: OwnedJob, task: item_runner.ItemTask
    ) -> item_attempts.Attempts:
        return self.attempts.find(owned.versioned.state.job, task.item.id)

    def _record_failed_attempt(
        self, owned: OwnedJob, task: item_runner.ItemTask, outcome: str
    ) -> None:
        """Count a server's answer that an item failed, and tell later owners of it.

        The other hosts hear of it at once: this one may end before the row is written,
        or be without the store.
        """
        job, item, now = owned.versioned.state.job, task.item.id, self.clock.monotonic()
        if outcome == "impossible":
            self.attempts.record_impossible(job, item, now)
        else:
            self.attempts.record_error(job, item, owned.ownership_version, now)
        self.send_early_digest()
        self._start_writing(owned)

    def _give_up(
        self,
        owned: OwnedJob,
        task: item_runner.ItemTask,
        route: model.Route | None,
    ) -> bool:
        """End an item that must not run again; return whether it is ended."""
        known = self._attempts_of(owned, task)
        if not known.is_exhausted(math.inf if route is None else route.max_attempts):
            return False
        reason = "impossible" if known.impossible else f"{known.total} errors"
        self._finish_item(owned, task, False, reason)
        return True

    def receive_attempts(self, entries: dict[str, list[int]], host: str) -> None:
        """Add the failed attempts that another host's digest tells of."""
        for name, values in entries.items():
            found = item_attempts.read_digest(name, values)
            if found is None:
                continue
            job, item, attempts = found
            versioned = self.job_states.by_id.get(job)
            has_ended = versioned is not None and not versioned.state.open
            if has_ended or not self.attempts.merge(job, item, attempts):
                continue
            owned = self.owned_jobs.get(job)
            if owned is None:
                # Counts if this host takes the job over.
                continue
            self.trace.emit(
                "attempts_heard",
                item,
                job=job,
                host=host,
                errors=attempts.total,
                impossible=attempts.impossible,
            )
            self._start_writing(owned)

    def reported_attempts(self) -> dict[str, list[int]]:
        """Return the failed attempts that digests tell of."""
        if not self.attempts.reported_until:
            return {}
        unsaved = {
            (job, item)
            for job, owned in self.owned_jobs.items()
            for item in [*self._unsaved_attempts(owned), *owned.unsaved_ids()]
        }
        return self.attempts.report(unsaved, self.clock.monotonic())

    def _unsaved_attempts(self, owned: OwnedJob) -> dict[str, item_attempts.Attempts]:
        """Return by unfinished item the failed attempts that the store may not have.

        Of an item that has ended the result tells later owners enough.
        """
        known = self.attempts.by_job.get(owned.versioned.state.job, {})
        return {
            item: attempts
            for item, attempts in known.items()
            if item in owned.tasks and attempts != owned.saved_attempts.get(item)
        }

    def _rows_of_attempts(
        self, owned: OwnedJob
    ) -> tuple[dict[rows.Address, bytes], dict[str, item_attempts.Attempts]]:
        """Return rows of unsaved attempts that fit into a transaction, and those."""
        unsaved = self._unsaved_attempts(owned)
        fitting = dict(itertools.islice(unsaved.items(), jobs.MAX_ATTEMPTS_ROWS))
        state = owned.versioned.state
        return jobs.attempts_puts(state.job, owned.ownership_version, fitting), fitting

    def _finish_item(
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
            software=_software_of(task),
            events=len(task.event_data),
            outcome="succeeded" if succeeded else "given up",
        )
        owned.unsaved_results.append(jobs.Result(task.item.id, succeeded, text))
        self._start_writing(owned)

    def _start_writing(self, owned: OwnedJob) -> None:
        """Write what is unsaved, unless a task writes rows of the job already."""
        unsaved = owned.unsaved_results or self._unsaved_attempts(owned)
        if unsaved and not owned.writing and not owned.dropped:
            owned.writing = True
            self.nursery.start_soon(self._save, owned)

    async def _save(self, owned: OwnedJob) -> None:
        """Write failed attempts and results until none is left unsaved."""
        try:
            await trio.sleep(SAVE_DELAY_S)
            while not owned.dropped:
                if self._unsaved_attempts(owned):
                    await self._save_attempts(owned)
                if owned.unsaved_results:
                    await self._save_next_results(owned)
                elif not self._unsaved_attempts(owned):
                    break
        finally:
            owned.writing = False

    async def _save_attempts(self, owned: OwnedJob) -> None:
        """Write failed attempts, so that later owners count them; try once."""
        puts, written = self._rows_of_attempts(owned)
        state = owned.versioned.state
        try:
            await self.job_store.add_rows(owned.versioned, puts)
            owned.saved_attempts |= written
        except rows.ConflictError as error:
            current = [jobs.decode(row) for row in error.current_rows if row.value]
            self._apply_state(owned, current[0] if current else None)
        except rows.UnavailableError as error:
            self.trace.emit(
                "attempts_not_saved",
                job=state.job,
                items=len(written),
                maybe_applied=error.maybe_applied,
                reason=str(error),
            )
            await trio.sleep(SAVE_RETRY_S * self.rng.uniform(0.5, 1.5))

    async def _save_next_results(self, owned: OwnedJob) -> None:
        """Write the next results; a retry writes the same ones at the same positions.

        A caller may have read them already.
        """
        first_position = owned.versioned.state.listed
        puts, count = _rows_of_results(
            owned.versioned.state.job, first_position, owned.unsaved_results
        )
        target = first_position + count
        while not owned.dropped:
            state = owned.versioned.state
            if state.listed == target:
                break
            # Counts only unfinished items: one whose result is not saved yet has ended.
            remaining_tokens = sum(task.item.tokens for task in owned.tasks.values())
            updated = attrs.evolve(state, listed=target, tokens=remaining_tokens)
            try:
                self._apply_state(
                    owned,
                    await self.job_store.replace_state(owned.versioned, updated, puts),
                )
            except rows.ConflictError as error:
                current = [jobs.decode(row) for row in error.current_rows if row.value]
                self._apply_state(owned, current[0] if current else None)
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

    def _apply_state(
        self, owned: OwnedJob, versioned: jobs.VersionedState | None
    ) -> None:
        if owned.dropped:
            return
        state = None if versioned is None else versioned.state
        owned_here = state is not None and (state.owner, state.instance) == (
            self.host_id,
            self.instance,
        )
        if owned_here:
            if versioned.version > owned.versioned.version:
                owned.versioned = versioned
            if state.cancelled or state.listed >= state.total:
                self._cancel_items(owned)
                if state.cancelled:
                    owned.unsaved_results.clear()
                    owned.dropped = True
                    self.trace.emit("job_cancelled", job=state.job)
                self._remove_job(owned)
            return
        owned.dropped = True
        self._cancel_items(owned)
        self._remove_job(owned)
        # The new owner may not know of what this host couldn't save.
        self.attempts.report_again(owned.versioned.state.job, self.clock.monotonic())
        self.trace.emit(
            "job_lost",
            job=owned.versioned.state.job,
            owner=None if state is None else state.owner,
        )


def _rows_of_results(
    job: str, first_position: int, results: list[jobs.Result]
) -> tuple[dict[rows.Address, bytes], int]:
    """Return rows of the results that fit into one transaction, and their number."""
    puts: dict[rows.Address, bytes] = {}
    size = 0
    for index, result in enumerate(results):
        result_puts = jobs.result_puts(job, first_position + index, result)
        # The store's protocol carries values in base64.
        size += sum(map(len, result_puts.values())) * 4 // 3
        too_large = size > jobs.MAX_TRANSACTION_BYTES
        if puts and (
            too_large or len(puts) + len(result_puts) > jobs.MAX_TRANSACTION_ROWS
        ):
            return puts, index
        puts |= result_puts
    return puts, len(results)


def _software_of(task: item_runner.ItemTask) -> str:
    """Return the version that an item's events come from, "" if unknown."""
    return task.origin.software if task.origin is not None else ""


def _rows_of_progress(
    owned: OwnedJob, min_events: int
) -> tuple[dict[rows.Address, bytes], list[jobs.Progress]]:
    """Return rows of unsaved events of items that have at least ``min_events``."""
    unsaved = []
    for task in owned.tasks.values():
        count = len(task.event_data) - task.saved_events
        # Without a version no run can go on from them.
        if count < min_events or task.origin is None or not task.origin.software:
            continue
        # Event ids count from 1. Without a gap the last id is the number of events.
        if task.last_event == len(task.event_data):
            data = [d.decode("utf-8", "replace") for d in task.event_data[-count:]]
            first = task.saved_events + 1
            unsaved.append(
                jobs.Progress(
                    task.item.id,
                    owned.ownership_version,
                    first,
                    data,
                    task.origin,
                    task.beginning,
                )
            )
    return jobs.progress_puts(owned.versioned.state.job, unsaved)
