"""Assemble and run an entry host that shares a row store with the others."""

import contextlib
import functools
import importlib
import itertools
import json
import os
import random
import time
import typing

import attrs
import hdrh.histogram
import trio

from turmerictally import clock as clocks
from turmerictally import settings as base_settings
from turmerictally.entry import (
    admission,
    availability,
    decoding,
    dissemination,
    ejection,
    forwarder,
    gossip,
    handler,
    http_server,
    incarnations,
    inflight,
    item_runner,
    jobs,
    messages,
    model,
    network,
    pool,
    prompt_guard,
    quota,
    registry,
    request_guard,
    resumption,
    settings,
    shutdown,
    store_health,
    sweep,
    watch,
    worker,
)
from turmerictally.entry import trace as traces
from turmerictally.metrics import latency
from turmerictally.scheduling import (
    failover,
    mechanisms,
    memory_budget,
    placement,
    server_speeds,
)
from turmerictally.store import rows

if typing.TYPE_CHECKING:
    from turmerictally.entry import (
        garbage_collector,
        table_copies,
        takeover,
        tunnels,
    )

MAX_TEAM_HISTOGRAMS = 20  # the busiest teams get one each; the rest share one
# Interval between reads of job changes, which batches them. With many hosts it grows
# so that the fleet makes about MAX_JOBS_READS_PER_S.
JOBS_INTERVAL_S = 0.25
# The same while digests carry job changes. With the wait of a poll it stays below the
# age at which callers' reads bypass the local copy.
RELAYED_JOBS_INTERVAL_S = 0.9
MAX_JOBS_READS_PER_S = 400.0
# Between checks for expired entries, stale tables and orphaned jobs.
MAINTENANCE_INTERVAL_S = 0.25
MAX_BASELINE_REQUESTS = 64  # per digest; about 1 kB
FINAL_WRITE_S = 0.6  # for the last store write of a stop
# Of a starting host's first write of its row, if the others' rows cannot be read.
MAX_ROW_DELAY_S = 1.0
ROW_POLL_S = 0.02
# Of one pass of the event loop, up to which it is only counted, and from which on it is
# logged.
SHORT_PASS_S, LATE_PASS_S = 0.005, 0.25
SAMPLER_DELAY_S = 1.0  # until a starting host samples stalls of its event loop
GARBAGE_DELAY_S = 1.0  # until a starting host looks for expired rows
PROBE_INTERVAL_S = 0.25  # between attempts to reach a server while paths are lost
DRAIN_POLL_S = 0.05  # between checks for connections that became idle


@attrs.frozen
class PlatformSchema:
    """Name the platform's tables and the functions that decode their rows."""

    configuration_table: str
    configuration_key: str
    servers_table: str
    read_configuration: model.ReadConfiguration
    read_server: model.ReadServer
    read_evacuation: model.ReadEvacuation


@attrs.define(eq=False)
class LoopMonitor(trio.abc.Instrument):
    """Record the busy time of each pass of the event loop, and count wake-ups.

    ``short_passes`` counts those that ``busy_times`` leaves out. ``busy_since`` is the
    monotonic time at which the current pass began, None while the loop waits, and
    ``stack`` is where the sampler found it.
    """

    trace: traces.Trace
    wake_ups: int = 0
    busy_since: float | None = None
    short_passes: int = 0
    busy_times: hdrh.histogram.HdrHistogram = attrs.field(factory=latency.new_histogram)
    stack: list[str] = attrs.Factory(list)

    def after_io_wait(self, timeout: float) -> None:
        """Begin a pass; with a timeout of 0 other tasks were ready."""
        self.wake_ups += timeout > 0
        self.busy_since = time.monotonic()

    def before_io_wait(self, timeout: float) -> None:
        """End a pass, and log it if it took long."""
        if self.busy_since is None:
            return
        busy_s = time.monotonic() - self.busy_since
        self.busy_since = None
        if busy_s < SHORT_PASS_S:
            self.short_passes += 1
            return
        latency.record_seconds(self.busy_times, busy_s)
        if busy_s >= LATE_PASS_S:
            self.trace.emit("loop_late", busy_s=round(busy_s, 3), stack=self.stack)
            self.stack = []


class Host:
    """Run one entry host; ``stop`` drains it."""

    def __init__(
        self,
        config: settings.Settings,
        schema: PlatformSchema,
        store: rows.RowStore,
        codec: messages.Codec,
        reach: network.Network,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
        descriptor: int = 1,
    ) -> None:
        self.settings = config
        self.instance = os.urandom(6).hex()
        self.clock = clock or clocks.Clock()
        self.rng = rng or random.Random()
        self.trace = traces.Trace(config.host_id, descriptor)
        self.store_health = store_health.StoreHealth(self.clock, self.trace)
        self.store = store_health.ObservedRowStore(store, self.store_health)
        self.network = reach
        self.stop_requested = trio.Event()
        self.row_changed = trio.Event()
        self.stopping = False
        self.loop_monitor = LoopMonitor(self.trace)
        self.latencies = latency.Latencies(MAX_TEAM_HISTOGRAMS, self.clock)
        self._build_state(schema)
        self._build_request_path(codec)
        self._build_listeners()

    def _build_state(self, schema: PlatformSchema) -> None:
        config, clock, trace = self.settings, self.clock, self.trace
        self.active_configuration = registry.ActiveConfiguration(
            schema.configuration_key, schema.read_configuration, trace, clock
        )
        self.registry = registry.Registry(
            schema.read_server, self.store_health, clock, trace
        )
        self.hosts = gossip.HostDirectory(
            config.host_id,
            self.instance,
            clock,
            trace,
            domain=config.failure_domain,
            started_at=clock.monotonic(),
        )
        self.availability = availability.Availability(
            schema.read_evacuation,
            self.active_configuration,
            self.registry,
            self.hosts,
            clock,
            trace,
            config.cold.overshoot,
        )
        self.prompts = prompt_guard.PromptGuard(
            self.hosts,
            clock,
            trace,
            enabled=mechanisms.Mechanism.PROMPT_QUARANTINE
            not in config.scheduling.disabled_mechanisms,
        )
        self.requests = request_guard.RequestGuard(
            self.hosts,
            clock,
            trace,
            self.prompts.quarantine.answers,
            enabled=mechanisms.Mechanism.REQUEST_QUARANTINE
            not in config.scheduling.disabled_mechanisms,
        )
        self.item_prompts = prompt_guard.make_item_guard(self.prompts, self.requests)
        self._configure_quarantines()
        self.quotas = quota.Quotas(clock, config.quota.overshoot, config.quota.window_s)
        self.hosts.on_unreachable = self.quotas.remove_peer

        def watch_table(name: str, on_change: watch.OnChange, **options: typing.Any):
            return watch.Watch(
                self.store,
                name,
                options.pop("parts", ("",)),
                on_change,
                clock,
                trace,
                self.rng,
                **options,
            )

        self.configuration_watch = watch_table(
            schema.configuration_table, self._on_configuration
        )
        self.servers_watch = watch_table(schema.servers_table, self._on_servers)
        self.hosts_watch = watch_table(
            gossip.TABLE, self._on_hosts, interval_s=self.hosts.table_read_s
        )
        self.hosts.table_age_s = self.hosts_watch.age_s
        self.states_watch = watch_table(
            jobs.STATES,
            self._on_states,
            parts=jobs.SHARD_NAMES,
            interval_s=self._jobs_interval_s,
        )
        self.watches = {
            w.name: w
            for w in (
                self.configuration_watch,
                self.servers_watch,
                self.hosts_watch,
                self.states_watch,
            )
        }
        self.disseminator = dissemination.Disseminator(
            self.network,
            self.hosts,
            config.listen.peers,
            self._digest,
            self._on_digest,
            self._on_received,
            self._on_heartbeat,
        )
        self.disseminator.early_digests_enabled = (
            mechanisms.Mechanism.EARLY_DIGESTS
            not in config.scheduling.disabled_mechanisms
        )
        self.hosts.on_reachable = self.disseminator.on_peer_reachable
        self.prompts.on_evidence = self.disseminator.send_full_digest
        self.item_prompts.on_evidence = self.disseminator.send_full_digest
        self.availability.on_limit_change = self.disseminator.send_full_digest
        self.prompts.on_quarantine = lambda: self.row_changed.set()
        self.requests.on_evidence = self.prompts.on_evidence
        self.requests.on_quarantine = self.prompts.on_quarantine

        self.shutdown = shutdown.Shutdown(self.hosts, clock, trace, self.rng)
        self.resumption = resumption.Resumption(
            self.registry,
            self.hosts,
            clock,
            trace,
            self._read_newest_servers,
            lambda: self.row_changed.set(),
        )

    def _configure_quarantines(self) -> None:
        prompts, requests = self.settings.prompts, self.settings.requests
        for guard in (self.prompts, self.item_prompts):
            guard.configure(prompts.exempt, prompts.quarantined)
        self.requests.configure(requests.exempt, requests.quarantined)

    def _build_request_path(self, codec: messages.Codec) -> None:
        config, clock, trace = self.settings, self.clock, self.trace
        disabled = config.scheduling.disabled_mechanisms
        self.pool = pool.Pool(self.network, clock)
        self.sweep = sweep.TimerQueue()
        self.inflight = inflight.InFlight(
            self.registry,
            self.hosts,
            clock,
            trace,
            ejection.Ejector(config.failure_domain),
            self.availability,
        )
        self.pool.paths_lost = self._are_paths_lost
        self.pool.open_tunnel = self._open_tunnel
        self.pool.on_connected = self.inflight.record_connected
        self.incarnations = incarnations.Incarnations(
            self.pool,
            codec,
            self.registry,
            self.store_health,
            lambda: self.servers_watch.confirmed_at,
            self.resumption.read_registrations,
            clock,
            trace,
        )
        self.pool.on_ended = self.incarnations.record_end
        self.inflight.on_paths_change = self._on_paths_change
        self.inflight.disabled = disabled
        learns = self._enables(
            config.scheduling.learned_speeds, mechanisms.Mechanism.LEARNED_SPEEDS
        )
        self.inflight.speed_tracker = server_speeds.SpeedTracker() if learns else None
        self.jobs = jobs.JobStore(self.store, self._on_unreadable_row)
        self.job_states = jobs.JobStates(self._on_unreadable_row)
        self.inflight.on_failure = self.disseminator.send_full_digest
        self.inflight.on_change = self.disseminator.on_load_change
        self.worker = worker.Worker(
            host_id=config.host_id,
            instance=self.instance,
            job_store=self.jobs,
            state_watch=self.states_watch,
            job_states=self.job_states,
            active_configuration=self.active_configuration,
            hosts=self.hosts,
            inflight=self.inflight,
            runner=item_runner.ItemRunner(
                self.pool,
                self.incarnations,
                codec,
                self._on_item_head,
                self.inflight.use_permit,
                self.inflight.record_events,
                self.item_prompts.record_first_event,
            ),
            prompts=self.item_prompts,
            clock=clock,
            trace=trace,
            rng=self.rng,
            send_early_digest=self.disseminator.send_early_digest,
            max_running_items=(
                placement.max_batch_items(config.processor.cores) if learns else None
            ),
            fair_to_teams=config.scheduling.fair_shares,
            on_state_change=self._on_job,
            disabled=disabled,
        )
        self.worker.can_go_on = self.resumption.can_go_on
        self.worker.runner.begun_at = self.resumption.begun_at
        self.registry.on_leaving = self._on_leaving
        self.admission = self._make_admission()
        self.forwarder = forwarder.Forwarder(
            inflight=self.inflight,
            pool=self.pool,
            codec=codec,
            clock=clock,
            trace=trace,
            domain=config.failure_domain,
            rng=self.rng,
            on_slots_exceeded=self._on_slots_exceeded,
            admission=self.admission,
            timers=self.sweep,
            prompts=self.prompts,
            requests=self.requests,
            shutdown=self.shutdown,
            resumption=self.resumption,
            incarnations=self.incarnations,
            failover_budget=failover.FailoverBudget()
            if self._enables(
                config.scheduling.switch_late, mechanisms.Mechanism.FAILOVER
            )
            else None,
            disabled=disabled,
        )
        self.request_handler = handler.RequestHandler(
            active_configuration=self.active_configuration,
            quotas=self.quotas,
            forwarder=self.forwarder,
            worker=self.worker,
            state_watch=self.states_watch,
            job_states=self.job_states,
            jobs=self.jobs,
            codec=codec,
            clock=clock,
            trace=trace,
            latencies=self.latencies,
            config_age_s=self.configuration_watch.age_s,
            rng=self.rng,
            shutdown=self.shutdown,
        )

    def _enables(self, setting: bool, mechanism: mechanisms.Mechanism) -> bool:
        """Return whether a mechanism is set on and not switched off."""
        disabled = self.settings.scheduling.disabled_mechanisms
        return setting and mechanism not in disabled

    def _make_admission(self) -> admission.Admission | None:
        scheduling = self.settings.scheduling
        enforce_shares = self._enables(
            scheduling.fair_shares, mechanisms.Mechanism.FAIR_SHARES
        )
        queueing_enabled = self._enables(
            scheduling.waiting_room, mechanisms.Mechanism.WAIT_QUEUE
        )
        if not (enforce_shares or queueing_enabled):
            return None
        controller = admission.Admission(
            inflight=self.inflight,
            hosts=self.hosts,
            wait_queue=admission.make_wait_queue(self.hosts, self.rng),
            clock=self.clock,
            trace=self.trace,
            enforce_shares=enforce_shares,
            queueing_enabled=queueing_enabled,
        )
        self.inflight.on_finished = controller.offer_freed_slot
        self.hosts.request_ttl_s = controller.request_ttl_s
        return controller

    def _build_listeners(self) -> None:
        listen = self.settings.listen

        def make(address: str, handle: http_server.Handler) -> http_server.HttpServer:
            return http_server.HttpServer(
                self.network,
                address,
                handle,
                self.active_configuration.caller_limits,
                self.clock,
                listen.max_connections,
                self.trace,
            )

        self.callers = make(listen.callers, self.request_handler.handle)
        self.callers.memory.limit_bytes = memory_budget.budget_bytes(
            self.settings.memory.limit_mb
        )
        self.responses = memory_budget.ResponseMemory(
            self.callers.memory, self._on_response_dropped
        )
        self.pool.responses = self.responses
        self.health = make(listen.health, self._health)
        self.peer_server = make(listen.peers, self._serve_peer)
        self.metrics_server = make(listen.metrics, self._metrics)

    # Starts wait for each module, so those that only some situations need are imported
    # then.

    @functools.cached_property
    def table_copies(self) -> "table_copies.TableCopies":
        """Return the exchange of tables with peers, for a store outage."""
        module = importlib.import_module("turmerictally.entry.table_copies")
        # Connections to hosts say nothing of the paths to servers.
        host_pool = pool.Pool(self.network, self.clock)
        host_pool.responses = self.responses
        return module.TableCopies(
            self.watches,
            self.hosts,
            host_pool,
            self.clock,
            self.trace,
            self.rng,
        )

    @functools.cached_property
    def tunnels(self) -> "tunnels.Tunnels":
        """Return the tunnels to servers, for hosts whose own paths are lost."""
        module = importlib.import_module("turmerictally.entry.tunnels")
        return module.Tunnels(
            self.network,
            self.pool,
            self.inflight,
            self.hosts,
            self.clock,
            self.trace,
            self.rng,
            self.settings.failure_domain,
        )

    @functools.cached_property
    def takeover(self) -> "takeover.Takeover":
        """Return what takes over orphaned jobs."""
        module = importlib.import_module("turmerictally.entry.takeover")
        return module.Takeover(self.worker)

    @functools.cached_property
    def garbage_collector(self) -> "garbage_collector.GarbageCollector":
        """Return what deletes expired rows."""
        module = importlib.import_module("turmerictally.entry.garbage_collector")
        return module.GarbageCollector(self.takeover, self.settings.batch.keep_s)

    async def sample_stalls(self) -> None:
        """Log where the event loop of this thread stands still, from soon on."""
        await trio.sleep(SAMPLER_DELAY_S)
        module = importlib.import_module("turmerictally.entry.stall_sampler")
        module.StallSampler(self.loop_monitor).start()

    async def _collect_garbage(self) -> None:
        await trio.sleep(GARBAGE_DELAY_S)
        await self.garbage_collector.run()

    def _are_paths_lost(self) -> bool:
        return self.inflight.reach.lost_since is not None

    async def _open_tunnel(self, address: str) -> network.Stream:
        return await self.tunnels.connect(address)

    async def _probe_paths(self) -> None:
        """Try to reach servers directly while the paths are lost, until cancelled."""
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            if self._are_paths_lost():
                await self.tunnels.probe()

    async def run(self) -> None:
        """Serve until stopped, then drain."""
        trio.lowlevel.add_instrument(self.loop_monitor)
        self.trace.emit(
            "started",
            host=self.settings.host_id,
            instance=self.instance,
            domain=self.settings.failure_domain,
            callers=self.settings.listen.callers,
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.trace.run)
                await self._start(nursery)
                await self.stop_requested.wait()
                await self._drain()
                nursery.cancel_scope.cancel()
        finally:
            self.trace.emit("stopped", host=self.settings.host_id)
            self.trace.flush()

    async def _start(self, nursery: trio.Nursery) -> None:
        for http in (self.peer_server, self.metrics_server, self.callers, self.health):
            await nursery.start(http.run)
        await nursery.start(self.disseminator.run)
        for table_watch in self.watches.values():
            nursery.start_soon(table_watch.run)
        nursery.start_soon(self.sweep.run)
        nursery.start_soon(self._register)
        nursery.start_soon(self._run_maintenance, nursery)
        nursery.start_soon(self.worker.run)
        nursery.start_soon(self._collect_garbage)
        nursery.start_soon(self._probe_paths)

    def stop(self) -> None:
        """Request a graceful shutdown."""
        self.stop_requested.set()

    def reload(self, path: str) -> None:
        """Reload the settings file and apply the stop and batch settings.

        So do the operator's lists of prompt parts and requests. All other settings
        apply from the next start; an invalid file changes nothing.
        """
        try:
            loaded = settings.load(path)
        except base_settings.SettingsError as error:
            self.trace.emit("reload_failed", path=path, reason=str(error))
            return
        applied = attrs.evolve(
            self.settings,
            stop=loaded.stop,
            batch=loaded.batch,
            prompts=loaded.prompts,
            requests=loaded.requests,
        )
        self.trace.emit(
            "reloaded",
            path=path,
            changed=applied != self.settings,
            whole=applied == loaded,
        )
        self.settings = applied
        self._configure_quarantines()
        self.garbage_collector.min_retention_s = loaded.batch.keep_s

    def not_ready(self) -> str | None:
        """Return why this host is not ready for connections, or None if it is."""
        if self.stopping:
            return "stopping"
        if self.active_configuration.current is None:
            return "no configuration"
        if not self.servers_watch.complete:
            return "servers unknown"
        return None

    async def _health(self, exchange: http_server.Exchange) -> None:
        reason = self.not_ready()
        await exchange.reply_json(503 if reason else 200, {"reason": reason})

    async def _metrics(self, exchange: http_server.Exchange) -> None:
        # Imported on the first scrape, in a thread: the import takes an eighth of the
        # start-up time.
        module = "turmerictally.entry.metrics"
        metrics = await trio.to_thread.run_sync(importlib.import_module, module)
        body = metrics.text(self)
        content_type = (b"Content-Type", metrics.CONTENT_TYPE.encode())
        await exchange.reply(200, body, [content_type])

    def _jobs_interval_s(self) -> float:
        min_interval_s = (
            RELAYED_JOBS_INTERVAL_S if self.hosts.relayed else JOBS_INTERVAL_S
        )
        return max(min_interval_s, len(self.hosts.records) / MAX_JOBS_READS_PER_S)

    def _on_configuration(self, changed: list[rows.Row]) -> None:
        self.active_configuration.update(changed)
        self.availability.update_evacuations(
            changed, from_peer=self.configuration_watch.from_peer
        )
        if self.active_configuration.current is not None:
            teams = self.active_configuration.current.teams
            self.quotas.configure(teams)
            if self.admission is not None:
                weights = {team.name: team.rate_per_s for team in teams}
                self.admission.wait_queue.demand.weights = weights

    def _on_hosts(self, changed: list[rows.Row]) -> None:
        self.hosts.update(changed)
        store_now_s = self.hosts_watch.store_now_s()
        if store_now_s is not None and self.quotas.is_restarting():
            self.quotas.use_recorded_levels(self.hosts.recorded_levels(store_now_s))
        if store_now_s is None:
            return
        for name in {row.address.key for row in changed} & self.hosts.records.keys():
            record = self.hosts.records[name]
            if record.quarantined_requests:
                self.requests.restore(name, record.quarantined_requests, store_now_s)
            if record.quarantined_parts:
                self.prompts.restore(name, record.quarantined_parts, store_now_s)
            self.resumption.restore(
                record.software_versions,
                record.streams,
                store_now_s,
                own=name == self.settings.host_id,
            )

    async def _read_newest_servers(self) -> None:
        """Apply the newest registrations; raises ``rows.UnavailableError``.

        Rows of hosts tell which versions were there before this host started.
        """
        if not (self.hosts_watch.complete and self.servers_watch.complete):
            raise rows.UnavailableError("tables not read yet")
        await self.servers_watch.catch_up()

    def _on_servers(self, changed: list[rows.Row]) -> None:
        before = dict(self.registry.servers)
        self.registry.update(changed, from_peer=self.servers_watch.from_peer)
        after = self.registry.servers
        self.resumption.record_servers([*before.values(), *after.values()])
        for name, server in before.items():
            if name in after and after[name].born_ms != server.born_ms:
                self.prompts.record_restart(server)
                self.inflight.reset_server(name)
                self.incarnations.record_registration(after[name])
                self.availability.limits.remove(name)
        self.availability.update_cold_servers(
            before, complete=self.servers_watch.complete
        )
        self._close_connections(before)

    def _close_connections(self, before: dict[str, model.Server]) -> None:
        """Close idle connections to addresses without a registered server."""
        previous = {s.address for s in before.values()}
        for address in previous - {s.address for s in self.registry.servers.values()}:
            self.pool.close_idle(address)

    def _on_leaving(self, server: model.Server) -> None:
        self.pool.close_idle(server.address)
        self.disseminator.send_full_digest()

    def _on_removed(self, host: str, removed: dict[str, int]) -> None:
        """Remove servers that another host saw removed, also from the local copy."""
        before = dict(self.registry.servers)
        applied = self.registry.apply_peer_removals(host, removed)
        if not applied:
            return
        table = self.servers_watch.name
        removals = [
            rows.Row(rows.Address(table, "", name), None, version)
            for name, version in applied.items()
        ]
        self.servers_watch.apply(removals, self.servers_watch.version)
        self._close_connections(before)

    def _on_states(self, changed: list[rows.Row]) -> None:
        self.job_states.update(changed)
        self.worker.apply_changes(changed)

    def _on_item_head(
        self,
        server: model.Server,
        head: messages.ResponseHead,
        sent_at: float,
        tunnelled: bool,
    ) -> None:
        self.availability.record_head(server, head)
        self.prompts.record_answer(server, head, sent_at)
        if not tunnelled:
            self.inflight.record_answer(sent_at)

    def _on_response_dropped(self, drop: memory_budget.Drop) -> None:
        servers = self.registry.servers.items()
        self.trace.emit(
            "response_dropped",
            address=drop.server,
            servers=[name for name, server in servers if server.address == drop.server],
            held_bytes=drop.held_bytes,
            server_bytes=drop.server_bytes,
            total_bytes=drop.total_bytes,
            bound_bytes=drop.bound_bytes,
        )

    def _on_paths_change(self) -> None:
        reach = self.inflight.reach
        self.pool.close_unused_paths(
            lost=reach.lost_since is not None, answered_at=reach.answered_at
        )

    async def _serve_peer(self, exchange: http_server.Exchange) -> None:
        if exchange.target.startswith(pool.TUNNELS_PATH.encode()):
            if self.stopping:
                await exchange.reply(503)
                return
            await self.tunnels.serve(exchange)
        else:
            await self.table_copies.serve(exchange)

    def _on_unreadable_row(self, row: rows.Row, reason: str) -> None:
        self.trace.emit(
            "job_row_unreadable",
            table=row.address.table,
            key=decoding.loggable(row.address.key),
            version=row.version,
            reason=reason,
        )

    def _on_job(self, versioned: jobs.VersionedState) -> None:
        state = versioned.state
        self.disseminator.send_job_state(state.job, versioned.version, state.encode())

    def _on_digest(self, digest: gossip.Digest) -> None:
        self._on_heartbeat(digest)
        if digest.batch_urgencies:
            self.resumption.receive_digest(digest.batch_urgencies, digest.host)
            self.worker.receive_attempts(digest.batch_urgencies, digest.host)
        if digest.paths_lost and digest.full:
            self.inflight.reconsider_ejections()
        if self.settings.host_id in digest.baseline_requests:
            self.disseminator.send_baseline(digest.host)
        if digest.removed:
            self._on_removed(digest.host, digest.removed)
        if digest.job_states:
            changed = [
                rows.Row(jobs.state_address(job), value, version)
                for job, (version, value) in digest.job_states.items()
            ]
            self.states_watch.apply(changed, 0)
        if digest.leaving:
            self.registry.apply_peer_leaving(digest.host, digest.leaving)
        if digest.limits:
            self.availability.receive_limits(digest.host, digest.limits)
        if digest.answered_servers:
            self.prompts.receive_answers(digest.host, digest.answered_servers)
        if digest.accused_requests:
            self.requests.receive(digest.host, digest.accused_requests)
        if digest.accused_parts:
            self.prompts.receive(digest.host, digest.accused_parts)
        if digest.accused_item_parts:
            self.item_prompts.receive(digest.host, digest.accused_item_parts)
        if digest.speeds and self.inflight.speed_tracker is not None:
            now = self.clock.monotonic()
            self.inflight.speed_tracker.receive(digest.host, digest.speeds, now)

    def _on_heartbeat(self, digest: gossip.Digest) -> None:
        self.quotas.record_peer(
            digest.host,
            digest.instance,
            digest.admitted,
            digest.requested,
            digest.baseline,
        )

    def _on_received(self) -> None:
        self.worker.preempt_items()
        self.inflight.evaluate_if_due()
        if self.admission is not None:
            self.admission.offer_reported_slots()

    def _on_slots_exceeded(self, server: str) -> None:
        """Preempt batch items on a server with more requests than slots."""
        self.worker.preempt_items()
        self.disseminator.send_early_digest()

    def _digest(self, sequence: int, full: bool, base: bool) -> gossip.Digest:
        waiting = self.worker.waiting_urgencies()
        callers = self._callers_waiting()
        self.quotas.set_group(*self.hosts.count_quota_holders())
        admitted, requested = self.quotas.report(base)
        return gossip.Digest(
            host=self.settings.host_id,
            instance=self.instance,
            address=self.settings.listen.peers,
            sequence=sequence,
            online=gossip.named_callers(self.inflight.online, callers),
            batch={k: v for k, v in self.inflight.batch.items() if v},
            items_waiting=len(self.worker.waiting_items()),
            admitted=admitted,
            requested=requested,
            table_ages=self._table_ages() if full else {},
            store_age_s=round(
                min(1e6, self.clock.monotonic() - self.states_watch.store_responded_at),
                2,
            ),
            failing=self.inflight.failing_servers(),
            domain=self.settings.failure_domain,
            outcomes=self._outcomes() if full else {},
            full=full,
            baseline=base,
            baseline_requests=list(
                itertools.islice(self.quotas.missing_baselines, MAX_BASELINE_REQUESTS)
            ),
            stopping=self.stopping,
            removed=self.registry.recent_removals() if full else {},
            leaving=self.registry.leaving_start_times() if full else {},
            speeds=self._speeds() if full else {},
            demand=self._demand(),
            callers_waiting=sum(callers.values()),
            waiting_urgencies=gossip.most_urgent(waiting),
            batch_urgencies=gossip.named_urgencies(
                self.inflight.batch_urgencies, waiting
            )
            | self.resumption.digest_lists()
            | self.worker.reported_attempts(),
            accused_parts=self.prompts.report() if full else {},
            limits=self.availability.limits.report(self.clock.monotonic())
            if full
            else {},
            answered_servers=self.prompts.report_answers() if full else {},
            accused_requests=self.requests.report() if full else {},
            accused_item_parts=self.item_prompts.report() if full else {},
            paths_lost=self.inflight.reach.lost_since is not None,
            answer_age_s=self._answer_age_s(),
        )

    def _answer_age_s(self) -> float:
        age_s = self.clock.monotonic() - self.inflight.reach.answered_at
        return round(min(gossip.MAX_AGE_S, age_s), 3)

    def _callers_waiting(self) -> dict[str, int]:
        if self.admission is None:
            return {}
        return self.admission.wait_queue.count_in_share()

    def _demand(self) -> dict[str, int]:
        if self.admission is None:
            return {}
        return self.admission.wait_queue.demand.own_demand(self.clock.monotonic())

    def _table_ages(self) -> dict[str, tuple[int, float]]:
        return {
            name: (table_watch.version, round(min(table_watch.age_s(), 1e6), 2))
            for name, table_watch in self.watches.items()
        }

    def _outcomes(self) -> dict[str, list[int]]:
        return self.inflight.recent_outcomes.counts(self.clock.monotonic())

    def _speeds(self) -> dict[str, list[float]]:
        tracker = self.inflight.speed_tracker
        return (
            tracker.due_reports(self.clock.monotonic()) if tracker is not None else {}
        )

    async def _register(self) -> None:
        """Write and renew this host's row until it stops.

        The first write waits for a read: it overwrites what an earlier process left in
        the row for hosts that start again.
        """
        with trio.move_on_after(MAX_ROW_DELAY_S):
            while not self.hosts_watch.complete:
                await trio.sleep(ROW_POLL_S)
        address = rows.Address(gossip.TABLE, "", self.settings.host_id)
        renewals = 0
        while not self.stopping:
            value = {
                "instance": self.instance,
                "address": self.settings.listen.peers,
                "renewals": renewals,
                "domain": self.settings.failure_domain,
                "cores": self.settings.processor.cores,
            }
            store_now_s = self.hosts_watch.store_now_s()
            if store_now_s is not None and (levels := self.quotas.levels()):
                value |= {"quota_levels": levels, "levels_at_s": round(store_now_s, 2)}
            if store_now_s is not None and (parts := self.prompts.record(store_now_s)):
                value["quarantined_parts"] = parts
            if store_now_s is not None and (
                quarantined := self.requests.record(store_now_s)
            ):
                value["quarantined_requests"] = quarantined
            if store_now_s is not None:
                value |= self.resumption.row_fields(store_now_s)
            started_at = self.clock.monotonic()
            try:
                await self.store.transact({}, {address: json.dumps(value).encode()})
                self.availability.record_renewal(started_at)
                self.resumption.record_row(value)
                renewals += 1
                pause_s = self.hosts.row_renewal_s()
            except rows.UnavailableError as error:
                self.trace.emit("host_not_renewed", reason=str(error))
                pause_s = watch.MAX_RETRY_S
            self.row_changed = trio.Event()
            with trio.move_on_after(pause_s * self.rng.uniform(0.8, 1.2)):
                await self.row_changed.wait()
            await trio.sleep(self.resumption.row_wait_s())

    async def _run_maintenance(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            if any(table_watch.is_stale() for table_watch in self.watches.values()):
                self.table_copies.refresh_stale(nursery)
            self.takeover.start_takeovers(nursery)
            self.registry.expire()
            self.availability.expire()
            self.resumption.expire()
            self.incarnations.expire()
            self.pool.close_expired()
            self.callers.close_stalled()
            if self.inflight.speed_tracker is not None:
                self.inflight.speed_tracker.retain(self.registry.servers)
            for name in [n for n, count in self.inflight.online.items() if not count]:
                if name not in self.registry.servers:
                    self.inflight.remove_server(name)

    async def _drain(self) -> None:
        """Drain in order: readiness, batch jobs, then open requests and connections."""
        stop = self.settings.stop
        self.stopping = True
        self.shutdown.begin(stop.grace_s, stop.unready_s)
        deadlines = self.shutdown.deadlines
        self.trace.emit(
            "stopping",
            busy=self.callers.active_requests,
            open=self.callers.open_connections,
            answer_in_s=round(deadlines.answer_by - self.clock.monotonic(), 3),
        )
        self.callers.start_draining()
        with trio.move_on_at(deadlines.ends_at):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.worker.release_jobs)
                with trio.move_on_at(deadlines.in_rotation_until):
                    await trio.sleep_forever()
                # Refuse new connections unread, so that callers can try another host
                # at once.
                self.callers.stop_accepting()
                with trio.move_on_at(deadlines.answer_by):
                    await self._close_idle_callers()
                self.shutdown.end_unanswered()
                self.callers.refuse_unread()
                nursery.start_soon(self._deregister)
                await self._close_idle_callers()
                await self._finish_tunnels()

    async def _close_idle_callers(self) -> None:
        """Close callers' connections as they become idle, until none is open."""
        while self.callers.active_requests or self.callers.open_connections:
            self.callers.close_idle()
            await trio.sleep(DRAIN_POLL_S)

    async def _finish_tunnels(self) -> None:
        """Wait until no request of another host is on its way through this one."""
        # Without tunnels their module has not been imported.
        while "tunnels" in self.__dict__ and self.tunnels.is_busy():
            await trio.sleep(DRAIN_POLL_S)

    async def _deregister(self) -> None:
        address = rows.Address(gossip.TABLE, "", self.settings.host_id)
        with (
            trio.move_on_after(FINAL_WRITE_S),
            contextlib.suppress(rows.UnavailableError),
        ):
            # Without this the other hosts ignore the row only once it has expired.
            await self.store.transact({}, {address: None})
