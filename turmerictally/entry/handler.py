"""Handle callers' requests: key, route, quota, then the servers or a batch job."""

import collections.abc
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import (
    batch_requests,
    forwarder,
    http_server,
    jobs,
    messages,
    model,
    quota,
    registry,
    watch,
    worker,
)
from turmerictally.entry import trace as traces
from turmerictally.metrics import latency
from turmerictally.store import rows

CALL_TIMEOUT_S = 4.0  # of a call on a batch job whose caller names no time
RETRY_S = 0.15  # between tries of a transaction whose fate is unknown
# How long a store that refuses a new job is asked again; the latency objective of a
# submission is about as long.
SUBMIT_TRIES_S = 0.6
STORE_RETRY_AFTER_S = 0.5  # to callers, when the store does not answer
# The same when it answers most other hosts, which can take the job at once; spread, so
# that callers do not return together.
ELSEWHERE_RETRY_AFTER_S = (0.05, 0.15)
QUOTA_RETRY_AFTER_S = 2.0  # when a team's waiting tokens leave no room for a job
MAX_ITEMS = 200  # of one job
MAX_ID = 120  # characters of a job's id, which is part of row keys
# A followed copy older than this is not trusted to know the newest results.
FRESH_S = 2.5
# Copies that are read more rarely than this are behind what callers saw elsewhere, and
# are not asked alone whether a job has more results.
LAG_S = 0.4
ANSWER_MARGIN_S = 0.05  # to send an answer before its deadline


@attrs.define(eq=False)
class RequestHandler:
    """Answer each request on the callers' address."""

    active_configuration: registry.ActiveConfiguration
    quotas: quota.Quotas
    forwarder: forwarder.Forwarder
    worker: worker.Worker
    states: watch.Watch
    job_states: jobs.JobStates
    jobs: jobs.JobStore
    codec: messages.Codec
    clock: clocks.Clock
    trace: traces.Trace
    latencies: latency.Latencies
    config_age_s: collections.abc.Callable[[], float]
    rng: random.Random

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Answer one request."""
        request = self.codec.read_request(
            exchange.method, exchange.target, exchange.headers
        )
        try:
            outcome, route, team = await self._handle(exchange, request)
        except trio.Cancelled:
            self.trace.emit(
                "caller_left",
                request.request_id,
                after_s=round(self.clock.monotonic() - exchange.received_at, 3),
                outcome="left",
            )
            raise
        took = self.clock.monotonic() - exchange.received_at
        self.trace.emit(
            "answered",
            request.request_id,
            team=team,
            route=route,
            status=exchange.status,
            took_s=round(took, 3),
            config=self._version(),
            config_age_s=round(self.config_age_s(), 2),
            outcome=outcome,
        )
        if route:
            self.latencies.record(
                latency.Measure.WHOLE_ANSWER, latency.Work.ONLINE, team, took
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
        needed = bool(view.teams) and not (route and route.public)
        if needed and team is None:
            await exchange.refuse(forwarder.Refusal.UNAUTHENTICATED, "unknown key")
            return "unknown key", route.name if route else "", ""
        name = team.name if team else ""
        if batch_request is not None:
            return await self._call(exchange, request, batch_request, name), "", name
        if route.kind is model.Kind.BATCH:
            return await self._submit(exchange, request, route, name), route.name, name
        return await self._online(exchange, request, route, name), route.name, name

    async def _online(
        self,
        exchange: http_server.Exchange,
        request: messages.Request,
        route: model.Route,
        team: str,
    ) -> str:
        wait = self.quotas.admit(team)
        if wait is not None:
            await exchange.refuse(forwarder.Refusal.OVER_QUOTA, "over quota", wait)
            return f"over quota, share {self.quotas.share:.2f}"
        given = route.timeout_s if request.timeout_s is None else request.timeout_s
        deadline = exchange.received_at + min(given, route.timeout_s) - ANSWER_MARGIN_S
        pending = forwarder.PendingRequest(
            request, exchange.body, route, team, deadline, exchange
        )
        outcome = await self.forwarder.run(pending)
        if not pending.runs:
            self.quotas.give_back(team)
        return outcome

    async def _submit(
        self,
        exchange: http_server.Exchange,
        request: messages.Request,
        route: model.Route,
        team: str,
    ) -> str:
        try:
            items = self.codec.read_items(exchange.body)
        except ValueError as error:
            await exchange.refuse(forwarder.Refusal.BAD_REQUEST, str(error))
            return "unreadable"
        job = request.request_id
        bad_id = not 0 < len(job) <= MAX_ID or "/" in job
        if bad_id or not 0 < len(items) <= MAX_ITEMS or exchange.method != b"POST":
            await exchange.refuse(forwarder.Refusal.BAD_REQUEST, "not a batch job")
            return "unreadable"
        if job in self.job_states.by_id:
            await exchange.reply_json(202, {"id": job})
            return "accepted before"
        tokens = sum(item.tokens for item in items)
        waiting = self.job_states.waiting_tokens(team, route.hostname, route.prefix)
        if route.max_waiting_tokens and waiting + tokens > route.max_waiting_tokens:
            await exchange.refuse(
                forwarder.Refusal.OVER_QUOTA, "too much waits", QUOTA_RETRY_AFTER_S
            )
            return f"{waiting} tokens wait, {tokens} more asked"
        now_s = self.states.store_now_s()
        if now_s is None:
            await exchange.refuse(
                forwarder.Refusal.UNAVAILABLE, "store unknown", STORE_RETRY_AFTER_S
            )
            return "store unknown"
        if self.states.lost and self._store_answers_others():
            wait = self.rng.uniform(*ELSEWHERE_RETRY_AFTER_S)
            await exchange.refuse(
                forwarder.Refusal.UNAVAILABLE, "store not reached", wait
            )
            return "refused: the store answers other hosts"
        state = jobs.State(
            job=job,
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
        )
        if self.worker.stopping:
            # Another host takes it at once.
            state = attrs.evolve(state, owner="", instance="")
        given = route.timeout_s if request.timeout_s is None else request.timeout_s
        deadline = exchange.received_at + min(given, route.timeout_s) - ANSWER_MARGIN_S
        return await self._create(exchange, state, items, deadline)

    def _store_answers_others(self) -> bool:
        """Return whether most of the hosts that are heard reach the store."""
        ages = [digest.store_age_s for digest in self.worker.hosts.reachable()]
        return 2 * sum(age < FRESH_S for age in ages) > len(ages)

    async def _create(
        self,
        exchange: http_server.Exchange,
        state: jobs.State,
        items: list[jobs.Item],
        deadline: float,
    ) -> str:
        """Write a job; while its fate is unknown, no refusal would be true."""
        maybe_there = False
        reason = "deadline"
        with trio.move_on_after(max(0.0, deadline - self.clock.monotonic())):
            while True:
                try:
                    await self._write(state, items)
                    await exchange.reply_json(202, {"id": state.job})
                    return "accepted"
                except rows.ConflictError:
                    await exchange.reply_json(202, {"id": state.job})
                    return "accepted before"
                except rows.UnavailableError as error:
                    maybe_there = maybe_there or error.maybe_applied
                    reason = str(error)
                spent = self.clock.monotonic() - exchange.received_at
                if not maybe_there and spent > SUBMIT_TRIES_S:
                    break
                await trio.sleep(RETRY_S)
        if maybe_there:
            await exchange.refuse(forwarder.Refusal.DEADLINE, "store did not answer")
            return f"unknown: {reason}"
        await exchange.refuse(
            forwarder.Refusal.UNAVAILABLE, "store not reached", STORE_RETRY_AFTER_S
        )
        return f"refused: {reason}"

    async def _write(self, state: jobs.State, items: list[jobs.Item]) -> None:
        done = await self.jobs.create(state, items)
        pieces = len(jobs.item_puts(state.job, items))
        versioned = jobs.VersionedState(
            attrs.evolve(state, pieces=pieces), done.version
        )
        if state.owner:
            self.worker.start_job(versioned, items, set())
        else:
            self.worker.publish(versioned)

    async def _call(
        self,
        exchange: http_server.Exchange,
        request: messages.Request,
        batch_request: batch_requests.BatchRequest,
        team: str,
    ) -> str:
        left = (request.timeout_s or CALL_TIMEOUT_S) - ANSWER_MARGIN_S
        reason = "deadline"
        deadline = exchange.received_at + left
        with trio.move_on_after(max(0.0, deadline - self.clock.monotonic())):
            try:
                return await self._answer_call(exchange, batch_request, team, deadline)
            except rows.UnavailableError as error:
                reason = str(error)
        await exchange.refuse(
            forwarder.Refusal.UNAVAILABLE, "job cannot be read now", STORE_RETRY_AFTER_S
        )
        return f"store not reached: {reason}"

    async def _answer_call(
        self,
        exchange: http_server.Exchange,
        batch_request: batch_requests.BatchRequest,
        team: str,
        deadline: float,
    ) -> str:
        versioned = await self._find(batch_request.job)
        if versioned is None or versioned.state.team != team:
            await exchange.refuse(forwarder.Refusal.NOT_FOUND, "no such job")
            return "no such job"
        if isinstance(batch_request, batch_requests.ResultsRequest):
            return await self._read_results(
                exchange, batch_request, versioned, deadline
            )
        if isinstance(batch_request, batch_requests.ItemBodyRequest):
            return await self._read_item(exchange, batch_request, versioned)
        return await self._cancel(exchange, versioned)

    async def _find(self, job: str) -> jobs.VersionedState | None:
        """Return a job's state, or None when there surely is no such job."""
        known = self.job_states.by_id.get(job)
        if known is not None and self.states.age_s() < FRESH_S:
            return known
        newest = self.states.version
        try:
            versioned, page = await self.jobs.read_state(job)
        except rows.UnavailableError:
            if known is not None:
                return known
            raise
        if versioned is None and known is not None:
            return known
        if versioned is None and page.version < newest:
            raise rows.UnavailableError("the store answers from an earlier moment")
        return versioned

    async def _read_results(
        self,
        exchange: http_server.Exchange,
        batch_request: batch_requests.ResultsRequest,
        versioned: jobs.VersionedState,
        deadline: float,
    ) -> str:
        now = self.clock.monotonic()
        until = min(now + batch_request.wait_s, deadline - 3 * ANSWER_MARGIN_S)
        while versioned.state.listed <= batch_request.after and versioned.state.open:
            left = until - self.clock.monotonic()
            if left <= 0:
                break
            await self.states.wait_for_change(left)
            versioned = self.job_states.by_id.get(batch_request.job, versioned)
        if (
            versioned.state.listed <= batch_request.after
            and self.states.interval_s() > LAG_S
        ):
            # Another host may have shown results that this copy does not have yet.
            versioned = await self._newest(versioned)
        found = []
        if versioned.state.listed > batch_request.after:
            found = await self.jobs.read_results(batch_request.job, batch_request.after)
            if not found:
                raise rows.UnavailableError("the store answers from an earlier moment")
        await exchange.reply_json(
            200,
            self.codec.write_results(versioned.state.total, batch_request.after, found),
        )
        return f"{len(found)} results after {batch_request.after}"

    async def _newest(self, versioned: jobs.VersionedState) -> jobs.VersionedState:
        """Return a known job's state as the store has it now."""
        found, _ = await self.jobs.read_state(versioned.state.job)
        if found is None or found.version <= versioned.version:
            return versioned
        self.worker.publish(found)
        return found

    async def _read_item(
        self,
        exchange: http_server.Exchange,
        batch_request: batch_requests.ItemBodyRequest,
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

    async def _cancel(
        self, exchange: http_server.Exchange, versioned: jobs.VersionedState
    ) -> str:
        while not versioned.state.cancelled:
            ended = attrs.evolve(versioned.state, cancelled=True)
            try:
                versioned = await self.jobs.replace_state(versioned, ended)
            except rows.ConflictError as error:
                found = [jobs.decode(row) for row in error.found if row.value]
                if not found or found[0] is None:
                    raise rows.UnavailableError("job cannot be read") from error
                versioned = found[0]
            except rows.UnavailableError as error:
                if not error.maybe_applied:
                    raise
                # Asked again, the store tells whether it was done.
                await trio.sleep(RETRY_S)
            else:
                self.worker.publish(versioned)
        await exchange.reply_json(200, {"id": versioned.state.job})
        return "cancelled"
