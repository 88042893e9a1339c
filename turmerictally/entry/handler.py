"""Handle callers' requests: online requests, job submissions and job requests."""

import collections.abc
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import (
    decoding,
    forwarder,
    http_server,
    jobs,
    messages,
    model,
    quota,
    registry,
    shutdown,
    watch,
    worker,
)
from turmerictally.entry import trace as traces
from turmerictally.metrics import latency
from turmerictally.store import rows

# Of a request on a batch job, if the caller sends no time-out.
JOB_REQUEST_TIMEOUT_S = 4.0
STORE_RETRY_S = 0.15  # between attempts of a transaction with an unknown outcome
# How long a submission that the store refuses is retried; about its latency objective.
MAX_SUBMIT_RETRY_S = 0.6
STORE_RETRY_AFTER_S = 0.5  # for callers, while the store is unavailable
# The same if the store is available to most other hosts, which can take the job at
# once; randomized, so that callers don't return together.
OTHER_HOST_RETRY_AFTER_S = (0.05, 0.15)
QUOTA_RETRY_AFTER_S = 2.0  # if a job would exceed its team's limit of waiting tokens
MAX_ITEMS_PER_JOB = 200
# A local copy of the job states older than this may lack the newest results, and a
# host that has not reached the store for this long counts as without it.
MAX_COPY_AGE_S = 2.5
# With a longer interval between reads, a local copy may lack results that callers have
# seen on other hosts, so the store is read before a job counts as without new results.
MAX_READ_INTERVAL_S = 0.4
MAX_ERROR_LENGTH = 200  # of an unexpected error in the log, in characters
RESPONSE_MARGIN_S = 0.05  # to send a response before its deadline


@attrs.define(eq=False)
class RequestHandler:
    """Handle each request on the callers' address."""

    active_configuration: registry.ActiveConfiguration
    quotas: quota.Quotas
    forwarder: forwarder.Forwarder
    worker: worker.Worker
    state_watch: watch.Watch
    job_states: jobs.JobStates
    jobs: jobs.JobStore
    codec: messages.Codec
    clock: clocks.Clock
    trace: traces.Trace
    latencies: latency.Latencies
    config_age_s: collections.abc.Callable[[], float]
    rng: random.Random
    shutdown: shutdown.Shutdown

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Handle one request and log its outcome."""
        request = self.codec.read_request(
            exchange.method, exchange.target, exchange.headers
        )
        try:
            outcome, route, team = await self._handle(exchange, request)
        except trio.Cancelled:
            after_s = round(self.clock.monotonic() - exchange.received_at, 3)
            if self.shutdown.answers_due and not exchange.aborted:
                self.shutdown.outcomes["cut"] += 1
                self.trace.emit(
                    "response_cut",
                    request.request_id,
                    after_s=after_s,
                    outcome="host stopped",
                )
            else:
                self.trace.emit(
                    "caller_left", request.request_id, after_s=after_s, outcome="left"
                )
            raise
        except http_server.CallerDisconnectedError:
            raise
        except Exception as error:
            self.trace.emit(
                "request_error",
                request.request_id,
                error=f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH],
                status=exchange.status,
                config=self._version(),
                outcome="failed",
            )
            raise
        elapsed_s = self.clock.monotonic() - exchange.received_at
        self.trace.emit(
            "answered",
            request.request_id,
            team=team,
            route=route,
            status=exchange.status,
            took_s=round(elapsed_s, 3),
            config=self._version(),
            config_age_s=round(self.config_age_s(), 2),
            outcome=outcome,
        )
        if route:
            self.latencies.record(
                latency.Measure.WHOLE_ANSWER, latency.Work.ONLINE, team, elapsed_s
            )

    def _version(self) -> int | None:
        return (
            self.active_configuration.current.version
            if self.active_configuration.current
            else None
        )

    async def _handle(
        self, exchange: http_server.Exchange, request: messages.Request
    ) -> tuple[str, str, str]:
        view = self.active_configuration.current
        if view is None:
            await exchange.refuse(
                forwarder.Refusal.UNAVAILABLE,
                "no configuration yet",
                STORE_RETRY_AFTER_S,
            )
            return "no configuration", "", ""
        batch_request = self.codec.read_batch_request(request)
        route = None if batch_request else view.route(request.hostname, request.path)
        if batch_request is None and route is None:
            await exchange.refuse(forwarder.Refusal.NOT_FOUND, "no such route")
            return "no route", "", ""
        team = view.team_of(request.key)
        key_required = bool(view.teams) and not (route and route.public)
        if key_required and team is None:
            await exchange.refuse(forwarder.Refusal.UNAUTHENTICATED, "unknown key")
            return "unknown key", route.name if route else "", ""
        team_name = team.name if team else ""
        if batch_request is not None:
            return (
                await self._handle_job_request(
                    exchange, request, batch_request, team_name
                ),
                "",
                team_name,
            )
        if route.kind is model.Kind.BATCH:
            return (
                await self._submit_job(exchange, request, route, team_name),
                route.name,
                team_name,
            )
        return (
            await self._forward(exchange, request, route, team_name),
            route.name,
            team_name,
        )

    async def _forward(
        self,
        exchange: http_server.Exchange,
        request: messages.Request,
        route: model.Route,
        team: str,
    ) -> str:
        retry_after_s = self.quotas.admit(team)
        if retry_after_s is not None:
            await exchange.refuse(
                forwarder.Refusal.OVER_QUOTA, "over quota", retry_after_s
            )
            return f"over quota, share {self.quotas.share:.2f}"
        requested_s = (
            route.timeout_s if request.timeout_s is None else request.timeout_s
        )
        deadline = (
            exchange.received_at + min(requested_s, route.timeout_s) - RESPONSE_MARGIN_S
        )
        pending = forwarder.PendingRequest(
            request, exchange.body, route, team, deadline, exchange
        )
        try:
            with self.shutdown.durations.track(
                route.name, pending.size, exchange.received_at
            ):
                outcome = await self.forwarder.run(pending)
        except http_server.CallerDisconnectedError:
            raise
        except Exception:
            if not pending.may_have_run:
                self.quotas.refund(team)
                retry_after_s = self.rng.uniform(*forwarder.RETRY_AFTER_S)
                await exchange.fail(
                    forwarder.Refusal.UNAVAILABLE,
                    http_server.INTERNAL_ERROR,
                    retry_after_s,
                )
            raise
        if not pending.may_have_run:
            self.quotas.refund(team)
        self._record_duration(exchange, route, pending.size)
        return outcome

    def _record_duration(
        self, exchange: http_server.Exchange, route: model.Route, size: int
    ) -> None:
        """Add a request that was served, or that lasted until its deadline."""
        lasted = exchange.status == forwarder.Refusal.DEADLINE.value
        if exchange.finished and (exchange.status < 300 or lasted):
            elapsed_s = self.clock.monotonic() - exchange.received_at
            self.shutdown.durations.record(route.name, size, elapsed_s)

    async def _submit_job(
        self,
        exchange: http_server.Exchange,
        request: messages.Request,
        route: model.Route,
        team: str,
    ) -> str:
        job_id = request.request_id
        try:
            jobs.check_id(job_id)
            items = self.codec.read_items(exchange.body)
        except decoding.DecodeError as error:
            reason = f"not a batch job: {error}"
            await exchange.refuse(forwarder.Refusal.BAD_REQUEST, reason)
            return "unreadable"
        if not 0 < len(items) <= MAX_ITEMS_PER_JOB or exchange.method != b"POST":
            await exchange.refuse(forwarder.Refusal.BAD_REQUEST, "not a batch job")
            return "unreadable"
        if job_id in self.job_states.by_id:
            await exchange.reply_json(202, {"id": job_id})
            return "accepted before"
        tokens = sum(item.tokens for item in items)
        queued_tokens = self.job_states.waiting_tokens(
            team, route.hostname, route.prefix
        )
        if (
            route.max_waiting_tokens
            and queued_tokens + tokens > route.max_waiting_tokens
        ):
            await exchange.refuse(
                forwarder.Refusal.OVER_QUOTA, "too much waits", QUOTA_RETRY_AFTER_S
            )
            return f"{queued_tokens} tokens wait, {tokens} more asked"
        now_s = self.state_watch.store_now_s()
        if now_s is None:
            await exchange.refuse(
                forwarder.Refusal.UNAVAILABLE, "store unknown", STORE_RETRY_AFTER_S
            )
            return "store unknown"
        if self.state_watch.store_unavailable and self._is_store_up_elsewhere():
            retry_after_s = self.rng.uniform(*OTHER_HOST_RETRY_AFTER_S)
            await exchange.refuse(
                forwarder.Refusal.UNAVAILABLE, "store not reached", retry_after_s
            )
            return "refused: the store answers other hosts"
        state = jobs.State(
            job=job_id,
            team=team,
            route=route.name,
            hostname=request.hostname,
            path=route.prefix,
            owner=self.worker.host_id,
            instance=self.worker.instance,
            total=len(items),
            listed=0,
            tokens=tokens,
            pieces=0,
            created_s=now_s,
            completion_s=route.completion_s,
            retention_s=route.retention_s,
            configuration=self.active_configuration.current.version,
        )
        if self.worker.stopping:
            # Without an owner, another host takes it over at once.
            state = attrs.evolve(state, owner="", instance="")
        requested_s = (
            route.timeout_s if request.timeout_s is None else request.timeout_s
        )
        deadline = (
            exchange.received_at + min(requested_s, route.timeout_s) - RESPONSE_MARGIN_S
        )
        refusal = self.shutdown.check(job_id, route, 0, deadline)
        if refusal is not None:
            await exchange.refuse(
                forwarder.Refusal.UNAVAILABLE, refusal.reason, refusal.retry_after_s
            )
            return f"refused: {refusal.reason}"
        outcome = await self._create_job(exchange, state, items, deadline)
        self._record_duration(exchange, route, 0)
        return outcome

    def _is_store_up_elsewhere(self) -> bool:
        """Return whether the store is available to most of the reachable hosts."""
        ages = [digest.store_age_s for digest in self.worker.hosts.reachable()]
        return 2 * sum(age < MAX_COPY_AGE_S for age in ages) > len(ages)

    async def _create_job(
        self,
        exchange: http_server.Exchange,
        state: jobs.State,
        items: list[jobs.Item],
        deadline: float,
    ) -> str:
        """Write a job, with retries.

        Once a write has an unknown outcome the job may exist and a refusal be wrong,
        so the attempts continue until the deadline.
        """
        may_exist = False
        reason = "deadline"
        with (
            trio.move_on_after(max(0.0, deadline - self.clock.monotonic())),
            self.shutdown.answer_in_time(exchange) as stop_scope,
        ):
            while True:
                may_have_existed, may_exist = may_exist, True
                try:
                    await self._write_job(state, items)
                    await exchange.reply_json(202, {"id": state.job})
                    return "accepted"
                except rows.ConflictError:
                    await exchange.reply_json(202, {"id": state.job})
                    return "accepted before"
                except rows.UnavailableError as error:
                    may_exist = may_have_existed or error.maybe_applied
                    reason = str(error)
                elapsed_s = self.clock.monotonic() - exchange.received_at
                if not may_exist and elapsed_s > MAX_SUBMIT_RETRY_S:
                    break
                await trio.sleep(STORE_RETRY_S)
        if stop_scope.cancelled_caught:
            self.shutdown.outcomes["ended"] += 1
            reason = shutdown.REASON
        if exchange.started:
            exchange.abort()
            return f"broken off: {reason}"
        if may_exist:
            await exchange.fail(forwarder.Refusal.DEADLINE, "store did not answer")
            return f"unknown: {reason}"
        await exchange.fail(
            forwarder.Refusal.UNAVAILABLE, "store not reached", STORE_RETRY_AFTER_S
        )
        return f"refused: {reason}"

    async def _write_job(self, state: jobs.State, items: list[jobs.Item]) -> None:
        commit = await self.jobs.create(state, items)
        pieces = len(jobs.item_puts(state.job, items))
        versioned = jobs.VersionedState(
            attrs.evolve(state, pieces=pieces), commit.version
        )
        if state.owner:
            self.worker.start_job(versioned, items, set())
        else:
            self.worker.publish(versioned)

    async def _handle_job_request(
        self,
        exchange: http_server.Exchange,
        request: messages.Request,
        batch_request: messages.BatchRequest,
        team: str,
    ) -> str:
        time_left_s = (request.timeout_s or JOB_REQUEST_TIMEOUT_S) - RESPONSE_MARGIN_S
        reason = "deadline"
        deadline = exchange.received_at + time_left_s
        with (
            trio.move_on_after(max(0.0, deadline - self.clock.monotonic())),
            self.shutdown.answer_in_time(exchange) as stop_scope,
        ):
            try:
                return await self._dispatch_job_request(
                    exchange, batch_request, team, deadline
                )
            except rows.UnavailableError as error:
                reason = str(error)
        retry_after_s = STORE_RETRY_AFTER_S
        if stop_scope.cancelled_caught and not exchange.started:
            self.shutdown.outcomes["ended"] += 1
            reason, retry_after_s = shutdown.REASON, self.shutdown.retry_after_s()
        await exchange.fail(
            forwarder.Refusal.UNAVAILABLE, "job cannot be read now", retry_after_s
        )
        return f"store not reached: {reason}"

    async def _dispatch_job_request(
        self,
        exchange: http_server.Exchange,
        batch_request: messages.BatchRequest,
        team: str,
        deadline: float,
    ) -> str:
        versioned = await self._find_job(batch_request.job)
        if versioned is None or versioned.state.team != team:
            await exchange.refuse(forwarder.Refusal.NOT_FOUND, "no such job")
            return "no such job"
        if isinstance(batch_request, messages.ResultsRequest):
            return await self._read_results(
                exchange, batch_request, versioned, deadline
            )
        if isinstance(batch_request, messages.ItemBodyRequest):
            return await self._read_item(exchange, batch_request, versioned)
        return await self._cancel_job(exchange, versioned)

    async def _find_job(self, job_id: str) -> jobs.VersionedState | None:
        """Return a job's state, None if the job certainly does not exist."""
        cached = self.job_states.by_id.get(job_id)
        if cached is not None and self.state_watch.age_s() < MAX_COPY_AGE_S:
            return cached
        copy_version = self.state_watch.version
        try:
            versioned, page = await self.jobs.read_state(job_id)
        except rows.UnavailableError:
            if cached is not None:
                return cached
            raise
        if versioned is None and cached is not None:
            return cached
        if versioned is None and page.version < copy_version:
            raise rows.UnavailableError("the store answers from an earlier moment")
        return versioned

    async def _read_results(
        self,
        exchange: http_server.Exchange,
        batch_request: messages.ResultsRequest,
        versioned: jobs.VersionedState,
        deadline: float,
    ) -> str:
        now = self.clock.monotonic()
        poll_until = min(now + batch_request.wait_s, deadline - 3 * RESPONSE_MARGIN_S)
        with self.shutdown.poll():
            while (
                versioned.state.listed <= batch_request.after and versioned.state.open
            ):
                time_left_s = poll_until - self.clock.monotonic()
                if time_left_s <= 0:
                    break
                await self.state_watch.wait_for_change(time_left_s)
                versioned = self.job_states.by_id.get(batch_request.job, versioned)
        if (
            versioned.state.listed <= batch_request.after
            and self.state_watch.interval_s() > MAX_READ_INTERVAL_S
        ):
            # The caller may have seen newer results on another host.
            versioned = await self._refresh(versioned)
        new_results = []
        if versioned.state.listed > batch_request.after:
            new_results = await self.jobs.read_results(
                batch_request.job, batch_request.after
            )
            if not new_results:
                raise rows.UnavailableError("the store answers from an earlier moment")
        await exchange.reply_json(
            200,
            self.codec.write_results(
                versioned.state.total, batch_request.after, new_results
            ),
        )
        return f"{len(new_results)} results after {batch_request.after}"

    async def _refresh(self, versioned: jobs.VersionedState) -> jobs.VersionedState:
        """Read a job's state from the store; return the newer of the two."""
        stored, _ = await self.jobs.read_state(versioned.state.job)
        if stored is None or stored.version <= versioned.version:
            return versioned
        self.worker.publish(stored)
        return stored

    async def _read_item(
        self,
        exchange: http_server.Exchange,
        batch_request: messages.ItemBodyRequest,
        versioned: jobs.VersionedState,
    ) -> str:
        if versioned.state.cancelled:
            await exchange.refuse(forwarder.Refusal.NOT_FOUND, "job was cancelled")
            return "cancelled"
        owned = self.worker.owned_jobs.get(batch_request.job)
        if owned is not None and batch_request.item in owned.tasks:
            await exchange.reply(200, owned.tasks[batch_request.item].item.body)
            return "body from memory"
        for item in await self.jobs.read_items(versioned.state):
            if item.id == batch_request.item:
                await exchange.reply(200, item.body)
                return "body from the store"
        await exchange.refuse(forwarder.Refusal.NOT_FOUND, "no such item")
        return "no such item"

    async def _cancel_job(
        self, exchange: http_server.Exchange, versioned: jobs.VersionedState
    ) -> str:
        while not versioned.state.cancelled:
            cancelled_state = attrs.evolve(versioned.state, cancelled=True)
            try:
                versioned = await self.jobs.replace_state(versioned, cancelled_state)
            except rows.ConflictError as error:
                current = [jobs.decode(row) for row in error.current_rows if row.value]
                if not current or current[0] is None:
                    raise rows.UnavailableError("job cannot be read") from error
                versioned = current[0]
            except rows.UnavailableError as error:
                if not error.maybe_applied:
                    raise
                # If the change was applied, the retry conflicts with it and reads it.
                await trio.sleep(STORE_RETRY_S)
            else:
                self.worker.publish(versioned)
        await exchange.reply_json(200, {"id": versioned.state.job})
        return "cancelled"
