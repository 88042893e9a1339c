"""Forward callers' requests to backend servers, with retries and failover."""

import collections
import collections.abc
import enum
import functools
import math
import random
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import admission as admissions
from turmerictally.entry import availability as availabilities
from turmerictally.entry import (
    incarnations,
    inflight,
    messages,
    model,
    pool,
    prompt_guard,
    request_guard,
    resumption,
    shutdown,
    sse,
    sweep,
)
from turmerictally.entry import trace as traces
from turmerictally.scheduling import (
    drain,
    failover,
    fair_shares,
    mechanisms,
    placement,
    prompt_quarantine,
    request_quarantine,
    server_speeds,
    server_verdicts,
    stream_origins,
    wait_queue,
)

# Subtracted from the time-out that is sent to a server, for the network's round trip.
DEADLINE_MARGIN_S = 0.02
# With less time left a server could not start its response.
MIN_TIME_LEFT_S = 0.05
# Least time without an event before a resumable stream fails over: callers disconnect
# after two seconds, so the next server gets half of that.
MIN_SILENCE_S = 0.9
# Between checks whether another server can take over from a silent one.
SILENCE_CHECK_S = 0.1
# Between checks for a server that can continue a started stream.
RESUME_CHECK_S = 0.1
FIRST_EVENT_OBJECTIVES = 2.5  # silence before the first event, in latency objectives
EVENT_GAP_OBJECTIVES = 3.0  # silence between two events, in longest on-time gaps
# Events that arrive in quicker succession are sent together: each send costs a third of
# a millisecond of processor time, and a reader doesn't notice such a gap.
COALESCE_S = 0.008
MAX_SENDS = 4  # of one request, including to servers that state not to have run it
# Pause before each further send of a started stream, until its caller leaves.
RESEND_PAUSE_S = 0.3
MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024  # of a response that is not a stream
MAX_SKIPPED_RESPONSES = 4  # to other requests, before the connection counts as broken
# Range of retry delays of refused callers: about half of a request's typical service
# time, randomized so that they don't return together.
RETRY_AFTER_S = (0.15, 0.45)
# The same if all domains are evacuated, which an operator ends after seconds at least.
EVACUATED_RETRY_AFTER_S = (1.0, 2.0)


class Refusal(enum.Enum):
    """List the error responses of an entry host's own by their status."""

    NOT_FOUND = 404
    UNAUTHENTICATED = 401
    BAD_REQUEST = 400
    TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431
    TIMEOUT = 408
    OVER_QUOTA = 429
    UNAVAILABLE = 503
    BROKEN = 502
    DEADLINE = 504


class ResponseWriter(typing.Protocol):
    """Write one response to a caller."""

    started: bool

    async def start(
        self, status: int, headers: messages.Headers, length: int | None
    ) -> None:
        """Send the head; a body without a length is sent in chunks."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body and complete the response."""

    def abort(self) -> None:
        """Truncate the response so that the caller detects it."""

    async def refuse(
        self, refusal: Refusal, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Send an error response of the entry host's own."""


class AttemptResult(enum.Enum):
    """Name how an attempt on one server ended."""

    DONE = "done"
    NOT_RUN = "not run"
    UNSENT = "unsent"
    UNIDENTIFIED = "unidentified"
    FAILED = "failed"
    BROKEN = "broken"
    FIRST_EVENT_TIMEOUT = "late to begin"


NOT_RUN_RESULTS = frozenset(
    {AttemptResult.NOT_RUN, AttemptResult.UNSENT, AttemptResult.UNIDENTIFIED}
)


class FirstEventTimeoutError(Exception):
    """Report that a stream has not started and may fail over to another server."""


@attrs.define(eq=False)
class PendingRequest:
    """Hold a request that is being forwarded.

    ``deadline`` is monotonic seconds. ``tried`` names the instances of failed attempts,
    ``sends`` counts the attempts, and ``runs`` those in which a server may have run the
    request. ``last_event`` is the id of the last event that the caller has,
    ``attempt_events`` the number of events of the last attempt, ``server_closed``
    whether the server ended that attempt's connection, and ``server_ended`` whether it
    accepted no other one then. ``rerouted`` is set once it tries servers again because
    the host's paths are lost. ``connection`` is that of the last attempt, None if it
    wasn't sent.
    ``server_error`` is an error response, passed on if no other attempt succeeds.
    ``failed_over`` is whether a server that might have gone on was given up, and
    ``origin`` where the events that the caller has come from, None if it has none.
    ``server_identity`` is what is known of the process that serves the last attempt.
    """

    request: messages.Request
    body: bytes = attrs.field(repr=False)
    route: model.Route
    team: str
    deadline: float
    response: ResponseWriter
    tried: set[str] = attrs.Factory(set)
    sends: int = 0
    runs: int = 0
    last_event: int | None = None
    response_head: messages.ResponseHead | None = None
    server_error: tuple[messages.ResponseHead, bytes] | None = None
    reason: str = ""
    service: str = ""
    refusal: (
        wait_queue.Refusal
        | prompt_quarantine.Refusal
        | request_quarantine.Refusal
        | drain.Refusal
        | resumption.Refusal
        | None
    ) = None
    failed_over: bool = False
    attempt_events: int = 0
    server_closed: bool = False
    server_ended: bool = False
    rerouted: bool = False
    connection: pool.Connection | None = None
    origin: stream_origins.Origin | None = None
    server_identity: incarnations.Identity = incarnations.Identity.UNKNOWN

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have run it, so that no refusal may deny it."""
        return self.runs > 0

    @functools.cached_property
    def identity(self) -> str:
        """Return the digest by which the request is known when it comes again."""
        return request_quarantine.request_identity(
            self.team, self.request.method, self.request.target, self.body
        )

    @property
    def takes_up(self) -> bool:
        """Return whether it goes on with a stream whose first events its caller has."""
        return self.route.resumable and bool(self.request.resume_after)

    @property
    def software(self) -> str | None:
        """Return the version of servers that it may be sent to, None for any."""
        return self.origin.software if self.origin is not None else None

    @property
    def need(self) -> incarnations.Need:
        """Return what it needs to know of the process that serves it."""
        if self.origin is not None:
            return incarnations.Need.GOES_ON
        if self.route.resumable:
            return incarnations.Need.BEGINS
        return incarnations.Need.NOTHING

    @property
    def size(self) -> int:
        """Return its size, which determines the expected service time."""
        return fair_shares.request_size(
            self.request.prompt_tokens, self.request.output_tokens
        )


@attrs.define(eq=False)
class Forwarder:
    """Send requests to backend servers, and retry on others where that is allowed.

    ``in_check`` counts the broken-off runs by server of which it isn't known yet
    whether the server has ended, and ``unsupported_promises`` by status the responses
    that promised to callers what their servers didn't state.
    """

    inflight: inflight.InFlight
    pool: pool.Pool
    codec: messages.Codec
    clock: clocks.Clock
    trace: traces.Trace
    domain: str
    rng: random.Random
    on_slots_exceeded: collections.abc.Callable[[str], None]
    timers: sweep.TimerQueue
    prompts: prompt_guard.PromptGuard
    requests: request_guard.RequestGuard
    shutdown: shutdown.Shutdown
    resumption: resumption.Resumption
    incarnations: incarnations.Incarnations
    admission: admissions.Admission | None = None
    failover_budget: failover.FailoverBudget | None = None
    disabled: frozenset[mechanisms.Mechanism] = frozenset()
    in_check: collections.Counter[str] = attrs.field(factory=collections.Counter)
    unsupported_promises: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )

    async def run(self, pending: PendingRequest) -> str:
        """Forward a request and respond; return the outcome for the log."""
        if self.failover_budget is not None:
            self.failover_budget.record_request()
        if pending.takes_up:
            found = await self.resumption.find(
                pending.request, pending.route, pending.team
            )
            if isinstance(found, resumption.Refusal):
                pending.refusal, pending.reason = found, found.reason
                return await self._give_up(pending)
            pending.origin = found
        if self.admission is None:
            return await self._run(pending)
        pending.service = self._choose_service(pending)
        with self.admission.track_demand(pending.service, pending.team):
            return await self._run(pending)

    async def _run(self, pending: PendingRequest) -> str:
        time_left_s = pending.deadline - self.clock.monotonic()
        with (
            self.shutdown.answer_in_time(pending.response) as stop_scope,
            self.timers.timer(trio.current_time() + time_left_s),
        ):
            return await self._try_servers(pending)
        if stop_scope.cancelled_caught:
            pending.refusal = self.shutdown.end_request(pending.deadline)
            pending.reason = pending.refusal.reason
        pending.reason = pending.reason or "deadline"
        return await self._give_up(pending, at_deadline=True)

    async def _try_servers(self, pending: PendingRequest) -> str:
        pending.last_event = pending.request.resume_after
        while True:
            server = await self._acquire_server(pending)
            if server is None:
                return await self._give_up(pending)
            result = await self._attempt(pending, server)
            if result is AttemptResult.DONE:
                return "done"
            pending.tried.add(server.instance)
            if not self._may_retry(pending, result) or self._crashed(pending, result):
                return await self._give_up(pending)

    async def _acquire_server(self, pending: PendingRequest) -> model.Server | None:
        """Return the server to send to, waiting for a free slot; None to give up."""
        if pending.deadline - self.clock.monotonic() < MIN_TIME_LEFT_S:
            pending.reason = pending.reason or "too little time"
            return None
        if self._ends_too_late(pending) or self._is_quarantined(pending):
            return None
        if pending.response.started:
            await self._wait_for_server(pending)
        if self.admission is None:
            return self._choose_server(pending, self._loads(pending))
        admitted = await self.admission.admit(
            self._queued_request(pending),
            pending.request.request_id,
            lambda: self._loads(pending),
        )
        if isinstance(admitted, wait_queue.Refusal):
            pending.refusal, pending.reason = admitted, admitted.reason
            return None
        # It may have been quarantined, or a stop begun, while it waited.
        if self._ends_too_late(pending, again=True) or self._is_quarantined(pending):
            return None
        return self._choose_server(pending, admitted)

    async def _wait_for_server(self, pending: PendingRequest) -> None:
        """Wait until some server can continue a stream, also one that failed it."""
        if pending.sends >= MAX_SENDS:
            await trio.sleep(RESEND_PAUSE_S)
        while not self._loads(pending) and self._can_go_on(pending):
            await trio.sleep(RESUME_CHECK_S)
            pending.tried.clear()

    def _can_go_on(self, pending: PendingRequest) -> bool:
        """Return whether some server may still go on with a started stream."""
        return pending.origin is None or self.resumption.can_go_on(pending.origin)

    def _choose_service(self, pending: PendingRequest) -> str:
        if pending.origin is not None:
            return pending.origin.service
        return choose_service(pending.route, self.rng)

    def _is_quarantined(self, pending: PendingRequest) -> bool:
        """Return whether the request must not be sent, and note why."""
        refusal = self.requests.check(pending.identity)
        if refusal is None:
            refusal = self.prompts.check(pending.request.shared_parts)
            if refusal is None:
                return False
            self.prompts.refusals[refusal.part] += 1
        pending.refusal, pending.reason = refusal, refusal.reason
        return True

    def _ends_too_late(self, pending: PendingRequest, *, again: bool = False) -> bool:
        """Return whether this host stops before the request would end, and note it."""
        if pending.response.started:
            # Without another attempt it would be cut off now.
            return False
        refusal = self.shutdown.check(
            pending.request.request_id,
            pending.route,
            pending.size,
            pending.deadline,
            again=again,
        )
        if refusal is None:
            return False
        pending.refusal, pending.reason = refusal, refusal.reason
        return True

    def _crashed(self, pending: PendingRequest, result: AttemptResult) -> bool:
        """Return whether the request seems to have crashed its server.

        Servers crash as they begin to respond, so that those of a request that only
        waited there have sent no head.
        """
        return (
            result is AttemptResult.BROKEN
            and pending.server_ended
            and not pending.attempt_events
            and pending.response_head is not None
            and (
                self.requests.is_accused(pending.identity)
                or self.prompts.is_accused(pending.request.shared_parts)
            )
        )

    def _loads(self, pending: PendingRequest) -> list[placement.ServerLoad]:
        if self.admission is None:
            pending.service = self._choose_service(pending)
        if not self._can_go_on(pending):
            return []
        exclude = frozenset(pending.tried)
        if pending.origin is None and pending.route.resumable:
            exclude |= self.resumption.unlisted_servers(pending.service)
        return self.inflight.server_loads(
            pending.service, exclude=exclude, software=pending.software
        )

    def _queued_request(self, pending: PendingRequest) -> wait_queue.QueuedRequest:
        now = self.clock.monotonic()
        objective_s = pending.route.objective_s * wait_queue.START_RATIO
        start_by = pending.deadline - MIN_TIME_LEFT_S
        must_wait = pending.origin is not None or pending.failed_over
        if objective_s and not must_wait:
            start_by = min(start_by, now + objective_s)
        return wait_queue.QueuedRequest(
            service=pending.service,
            team=pending.team,
            # A request that a server may have run must not be refused for its rank,
            # nor one whose caller has its first events.
            rank=0.0
            if pending.may_have_run or pending.origin is not None
            else fair_shares.request_rank(pending.request.request_id),
            size=pending.size,
            body_bytes=len(pending.body),
            start_by=start_by,
            deadline=pending.deadline,
            must_wait=must_wait,
            software=pending.software,
        )

    def _choose_server(
        self, pending: PendingRequest, loads: list[placement.ServerLoad]
    ) -> model.Server | None:
        servers = self.inflight.registry.servers
        idle_connections = self.pool.idle
        chosen = placement.choose_server(
            loads,
            domain=self.domain,
            prompt_parts=pending.request.prompt_parts,
            rng=self.rng,
            repeatable=pending.route.repeatable,
            connected={
                load.name
                for load in loads
                if servers[load.name].address in idle_connections
            },
            objective_s=pending.route.objective_s or math.inf,
            max_gap_s=pending.route.max_gap_s or math.inf,
            disabled=self.disabled,
        )
        if chosen is None:
            pending.reason = "servers full"
            if not loads:
                pending.reason = self.inflight.availability.unavailable_reason(
                    pending.service
                )
                if not self._can_go_on(pending):
                    pending.reason = resumption.REASON_GONE
            return None
        server = servers[chosen.name]
        self.trace.emit(
            "placed",
            pending.request.request_id,
            server=server.instance,
            online=chosen.online,
            batch=chosen.batch,
            reliability=round(chosen.reliability, 2),
            **self.inflight.speed_log_fields(chosen.name),
            of=len(loads),
            sends=pending.sends,
            last_event=pending.last_event,
            resumes=pending.request.resumes,
            **self.inflight.registry.log_fields(server.instance),
        )
        if chosen.total + 1 > chosen.slots:
            self.on_slots_exceeded(server.instance)
        return server

    def _may_retry(self, pending: PendingRequest, result: AttemptResult) -> bool:
        if (
            result is AttemptResult.UNSENT
            and self.inflight.reach.lost_since is not None
            and not pending.rerouted
        ):
            # Through a peer the servers that were tried may be reached.
            pending.rerouted = True
            pending.sends = pending.runs
            pending.tried.clear()
            return True
        if (
            result in (AttemptResult.NOT_RUN, AttemptResult.UNIDENTIFIED)
            and pending.response.started
        ):
            # A full server may have a slot, or its registration may arrive, before the
            # caller leaves.
            return True
        if pending.sends >= MAX_SENDS:
            return False
        if result in NOT_RUN_RESULTS:
            return True
        return self._may_run_again(pending)

    async def _attempt(
        self, pending: PendingRequest, server: model.Server
    ) -> AttemptResult:
        name = server.instance
        started_at = self.clock.monotonic()
        pending.sends += 1
        pending.response_head = None
        pending.attempt_events = 0
        pending.server_closed = pending.server_ended = False
        pending.connection = None
        parts = pending.request.shared_parts
        self.prompts.record_send(pending.request.request_id, name, parts)
        self.requests.record_send(pending.request.request_id, pending.identity, name)
        self.inflight.circuits.request_started(name, started_at)
        self.inflight.reserve_permit(name)
        self.inflight.add_online(name, 1)
        last_event_before = pending.last_event
        try:
            result = await self._exchange(pending, server)
        except trio.Cancelled:
            elapsed_s = self.clock.monotonic() - started_at
            self.trace.emit(
                "attempt_cut",
                pending.request.request_id,
                server=name,
                after_s=round(elapsed_s, 3),
                last_event=pending.last_event,
                outcome="caller left, deadline or stop",
            )
            if (
                pending.last_event == last_event_before
                and elapsed_s > MIN_SILENCE_S
                and not self.shutdown.answers_due
            ):
                # The caller disconnected or its deadline passed without any event.
                self.inflight.record_failure(name, refused=False)
            raise
        finally:
            self.inflight.add_online(name, -1)
        now = self.clock.monotonic()
        if (
            result is AttemptResult.DONE
            and last_event_before is None
            and self.admission is not None
        ):
            self.admission.wait_queue.service_times.record(
                now - started_at, pending.size
            )
        if result is AttemptResult.DONE and _succeeded(pending.response_head):
            self.requests.record_complete(pending.identity)
        if result in (AttemptResult.BROKEN, AttemptResult.UNSENT):
            self.inflight.record_failure(name, refused=result is AttemptResult.UNSENT)
        elif result is AttemptResult.FIRST_EVENT_TIMEOUT:
            # Leaves the circuit as it is; ejection rests on all hosts' outcomes.
            self.inflight.record_error_response(name)
        elif result is AttemptResult.FAILED or _is_server_error(pending.response_head):
            self.inflight.record_error_response(name)
        else:
            self.inflight.record_success(name)
        if result is AttemptResult.BROKEN and pending.server_closed:
            await self._check_crash(pending, server)
        if result is not AttemptResult.DONE:
            self.trace.emit(
                "attempt_failed",
                pending.request.request_id,
                server=name,
                after_s=round(now - started_at, 3),
                last_event=pending.last_event,
                events=pending.attempt_events,
                head=pending.response_head is not None,
                status=_status(pending.response_head),
                server_closed=pending.server_closed,
                server_ended=pending.server_ended,
                identity=pending.identity,
                shared_parts=pending.request.shared_parts,
                reason=pending.reason,
                outcome=result.value,
                **(pending.connection.log_fields() if pending.connection else {}),
            )
        return result

    async def _check_crash(self, pending: PendingRequest, server: model.Server) -> None:
        """Find out whether the server of a request that it broke off has ended."""
        name = server.instance
        # Other runs that the same server's end broke off are checked at the same time.
        others = self.inflight.count_on(name) + self.in_check[name]
        self.in_check[name] += 1
        pending.server_ended = True
        try:
            pending.server_ended = await self.pool.has_ended(server.address)
        finally:
            # Counts as a crash if the caller leaves meanwhile; an answer refutes it.
            self.in_check[name] -= 1
            if not self.in_check[name]:
                del self.in_check[name]
            if pending.server_ended:
                self._record_crash(pending, server, others)

    def _record_crash(
        self, pending: PendingRequest, server: model.Server, others: int
    ) -> None:
        """Record that a server ended under a request, and so many others."""
        request = pending.request
        self.requests.record_crash(
            request.request_id,
            pending.identity,
            server,
            request.shared_parts,
            began_without_event=pending.response_head is not None
            and not pending.attempt_events,
            others=others,
        )
        if not pending.attempt_events:
            self.prompts.record_crash(request.request_id, server, request.shared_parts)

    async def _exchange(
        self, pending: PendingRequest, server: model.Server
    ) -> AttemptResult:
        try:
            max_idle_s = None if pending.route.repeatable else pool.SAFE_IDLE_S
            if not pending.request.request_id:
                # Nothing tells its response from a copy of an earlier one.
                max_idle_s = pool.NEW_CONNECTION
            connection, pending.server_identity = await self.incarnations.connect(
                server, pending.need, max_idle_s, pending.request.request_id
            )
        except pool.ConnectError as error:
            pending.reason = f"not connected: {error}"
            return AttemptResult.UNSENT
        finally:
            self.inflight.use_permit(server.instance)
        if pending.origin is not None and not pending.server_identity.is_known:
            self.pool.release(connection, None)
            pending.reason = f"server is {pending.server_identity.value}"
            return AttemptResult.UNIDENTIFIED
        released = False
        pending.connection = connection
        pending.runs += 1
        try:
            silence_deadline = trio.current_time() + self._max_silence_s(
                pending, before_first_event=True
            )
            with self.timers.timer(
                silence_deadline,
                functools.partial(self._postpone_failover, pending, server),
            ) as silence_timer:
                result, head = await self._send_and_respond(
                    pending, server, connection, silence_timer
                )
            if silence_timer.expired:
                pending.failed_over = True
                raise trio.TooSlowError
            if connection.is_reusable():
                self.pool.release(connection, head.keep_alive_s)
                released = True
        except FirstEventTimeoutError:
            pending.reason = AttemptResult.FIRST_EVENT_TIMEOUT.value
            return AttemptResult.FIRST_EVENT_TIMEOUT
        except (pool.BrokenError, sse.SequenceError, trio.TooSlowError) as error:
            pending.reason = str(error) or "silent"
            pending.server_closed = getattr(error, "peer_closed", False)
            if pending.server_closed:
                self.incarnations.record_end(server.address)
            return AttemptResult.BROKEN
        finally:
            if not released:
                self.pool.abandon(connection)
        if result is AttemptResult.NOT_RUN:
            pending.runs -= 1
        return result

    async def _send_and_respond(
        self,
        pending: PendingRequest,
        server: model.Server,
        connection: pool.Connection,
        silence_timer: sweep.Timer,
    ) -> tuple[AttemptResult, messages.ResponseHead]:
        timeout_s = pending.deadline - self.clock.monotonic() - DEADLINE_MARGIN_S
        resume_id = (
            pending.last_event
            if pending.last_event != pending.request.resume_after
            else None
        )
        context = messages.ForwardingContext(
            server.instance, timeout_s, pending.team, resume_id
        )
        headers = self.codec.server_headers(pending.request, context, len(pending.body))
        sent_at = trio.current_time()
        await connection.send_request(
            pending.request.method,
            pending.request.target,
            headers,
            pending.body,
            pending.request.request_id,
        )
        head = await self._read_head(pending, server, connection)
        silence_timer.set_deadline(math.inf)
        pending.response_head = head
        self.inflight.availability.record_head(server, head)
        self.prompts.record_answer(server, head, sent_at)
        if not connection.tunnelled:
            self.inflight.record_answer(sent_at)
        if head.verdict is server_verdicts.Verdict.NOT_RUN:
            await connection.read_body(MAX_BUFFERED_RESPONSE_BYTES)
            pending.reason = f"server answered {head.status}"
            return AttemptResult.NOT_RUN, head
        if head.status >= 300 or not head.is_event_stream:
            return await self._forward_buffered(pending, connection, head)
        _check_signed(head)
        await self._forward_stream(
            pending, server, connection, head, silence_timer, sent_at
        )
        return AttemptResult.DONE, head

    async def _read_head(
        self, pending: PendingRequest, server: model.Server, connection: pool.Connection
    ) -> messages.ResponseHead:
        """Return the head of the response; raises ``FirstEventTimeoutError``.

        If neither the failover budget nor free slots elsewhere allow a failover, the
        wait continues.
        """
        failover_at = self._failover_at(pending, server)
        if failover_at == math.inf:
            return await read_response_head(
                self.codec, connection, pending.request.request_id
            )
        with trio.move_on_at(failover_at):
            return await read_response_head(
                self.codec, connection, pending.request.request_id
            )
        excluded = frozenset(pending.tried | {server.instance})
        loads = self.inflight.server_loads(
            server.service, exclude=excluded, software=pending.software
        )
        if self.failover_budget.try_spend(loads):
            pending.failed_over = True
            raise FirstEventTimeoutError
        return await read_response_head(
            self.codec, connection, pending.request.request_id
        )

    def _failover_at(self, pending: PendingRequest, server: model.Server) -> float:
        """Return when a stream without a response head may fail over, inf for never."""
        route = pending.route
        if self.failover_budget is None or pending.failed_over:
            return math.inf
        if not self._may_run_again(pending):
            return math.inf
        if route.kind is not model.Kind.STREAM or not route.objective_s:
            return math.inf
        first_s = self.inflight.speed_estimate(server.instance).first_event_s
        return trio.current_time() + failover.first_event_timeout_s(
            route.objective_s, first_s
        )

    async def _forward_buffered(
        self,
        pending: PendingRequest,
        connection: pool.Connection,
        head: messages.ResponseHead,
    ) -> tuple[AttemptResult, messages.ResponseHead]:
        """Pass on a response that is not a stream, once it is complete."""
        body = await connection.read_body(MAX_BUFFERED_RESPONSE_BYTES)
        await self.pool.check_sender(connection)
        _check_signed(head)
        verdict = head.verdict
        if verdict is server_verdicts.Verdict.UNSUPPORTED_PROMISE:
            self.unsupported_promises[head.status] += 1
            pending.reason = f"server answered {head.status}: {verdict.value}"
            return AttemptResult.FAILED, head
        if verdict is server_verdicts.Verdict.SERVER_ERROR and (
            pending.route.repeatable or pending.response.started
        ):
            pending.server_error = (head, body)
            pending.reason = f"server answered {head.status}"
            return AttemptResult.FAILED, head
        if pending.response.started:
            raise pool.BrokenError("resumed stream is no stream")
        self.prompts.record_first_event(pending.request.shared_parts)
        await self._pass_on(pending, head, body)
        return AttemptResult.DONE, head

    async def _pass_on(
        self, pending: PendingRequest, head: messages.ResponseHead, body: bytes
    ) -> None:
        """Pass on a server's response, whose status promises nothing."""
        await pending.response.start(
            head.status, self.codec.caller_headers(head), len(body)
        )
        await pending.response.finish(body)

    async def _forward_stream(
        self,
        pending: PendingRequest,
        server: model.Server,
        connection: pool.Connection,
        head: messages.ResponseHead,
        silence_timer: sweep.Timer,
        sent_at: float,
    ) -> None:
        splitter = sse.EventSplitter(pending.last_event)
        sent_to_caller_at = -math.inf
        meter = server_speeds.SpeedMeter(server.instance, self.inflight.record_events)
        max_gap_s = self._max_silence_s(pending, before_first_event=False)
        silence_deadline = trio.current_time() + (
            max_gap_s
            if pending.response.started
            else self._max_silence_s(pending, before_first_event=True)
        )
        while True:
            # Only a complete event extends the deadline, not any bytes.
            silence_timer.set_deadline(silence_deadline)
            data = await connection.read_data()
            # A caller that reads slowly must not count as silence of the server.
            silence_timer.deadline = math.inf
            if data is None:
                break
            events = splitter.split(data)
            connection.record_held(len(splitter.buffer))
            if not events:
                continue
            if not pending.attempt_events:
                self.prompts.record_first_event(pending.request.shared_parts)
                self._record_origin(pending, server)
            pending.attempt_events += splitter.event_count
            if not pending.response.started:
                await pending.response.start(
                    head.status, self.codec.caller_headers(head), None
                )
            ended = connection.complete and not connection.ends_with_connection
            if ended and not splitter.buffer:
                pending.last_event = splitter.last_id
                await pending.response.finish(events)
                return
            await pending.response.send(events)
            pending.last_event = splitter.last_id
            now = trio.current_time()
            if meter.add(splitter.event_count, now):
                self.inflight.record_first_event(server.instance, now - sent_at)
            silence_deadline = now + max_gap_s
            coalesce = splitter.event_count > 1 or now < sent_to_caller_at + COALESCE_S
            sent_to_caller_at = now
            if coalesce and connection.needs_data:
                await trio.sleep(COALESCE_S)
        connection.check_stream_end(pending.attempt_events, splitter.buffer)
        await self.pool.check_sender(connection)
        if not pending.response.started:
            await pending.response.start(
                head.status, self.codec.caller_headers(head), None
            )
        await pending.response.finish()

    def _record_origin(self, pending: PendingRequest, server: model.Server) -> None:
        """Bind a stream to the version of the server of its first event."""
        origin = self.resumption.begun_at(server, pending.server_identity)
        # Without versions of servers no host lets a stream go on.
        if pending.route.resumable and server.software:
            self.resumption.record_stream(pending.request, pending.team, origin)
        if pending.origin is None:
            pending.origin = origin

    def _max_silence_s(
        self, pending: PendingRequest, *, before_first_event: bool
    ) -> float:
        """Return after which silence a request may fail over, inf for never."""
        if not self._may_run_again(pending):
            return math.inf
        limit_s = (
            pending.route.objective_s * FIRST_EVENT_OBJECTIVES
            if before_first_event
            else pending.route.max_gap_s * EVENT_GAP_OBJECTIVES
        )
        return max(MIN_SILENCE_S, limit_s)

    def _may_run_again(self, pending: PendingRequest) -> bool:
        """Return whether a request that a server may have run may go to another."""
        return (
            pending.route.repeatable
            and pending.runs < pending.route.max_attempts
            and pending.sends < MAX_SENDS
        )

    def _postpone_failover(
        self, pending: PendingRequest, server: model.Server
    ) -> float:
        """Return when to check again whether a silent server's request may fail over.

        A silent server may go on, so its response is given up only for a server that
        can take over at once.
        """
        loads = self.inflight.server_loads(
            pending.service,
            exclude=frozenset(pending.tried | {server.instance}),
            trusted_only=True,
            software=pending.software,
        )
        can_take_over = bool(wait_queue.with_free_slots(loads))
        refused = self.requests.check(pending.identity) or self.prompts.check(
            pending.request.shared_parts
        )
        if can_take_over and not refused:
            return -math.inf
        return trio.current_time() + SILENCE_CHECK_S

    async def _give_up(
        self, pending: PendingRequest, *, at_deadline: bool = False
    ) -> str:
        response = pending.response
        outcome = "broken off" if response.started else "refused"
        if response.started:
            response.abort()
        elif pending.server_error is not None:
            head, body = pending.server_error
            outcome = "server error"
            await self._pass_on(pending, head, body)
        elif pending.may_have_run:
            refusal = Refusal.DEADLINE if at_deadline else Refusal.BROKEN
            await response.refuse(refusal, pending.reason)
        else:
            evacuated = pending.reason == availabilities.REASON_EVACUATED
            delay_s = self.rng.uniform(
                *(EVACUATED_RETRY_AFTER_S if evacuated else RETRY_AFTER_S)
            )
            if pending.refusal is not None:
                delay_s = pending.refusal.retry_after_s
            await response.refuse(Refusal.UNAVAILABLE, pending.reason, delay_s)
        self.trace.emit(
            "given_up",
            pending.request.request_id,
            reason=pending.reason,
            sends=pending.sends,
            may_have_run=pending.runs,
            server_status=_status(pending.response_head),
            last_event=pending.last_event,
            outcome=outcome,
            **(_refusal_log_fields(pending.refusal) if pending.refusal else {}),
        )
        return outcome


@functools.singledispatch
def _refusal_log_fields(refusal: object) -> dict[str, typing.Any]:
    """Return the figures behind a refusal as log fields."""
    raise TypeError(f"not a refusal: {refusal!r}")


@_refusal_log_fields.register
def _(refusal: prompt_quarantine.Refusal) -> dict[str, typing.Any]:
    return {
        "part": refusal.part,
        "crashes": refusal.crashes,
        "age_s": refusal.age_s,
        "retry_after_s": round(refusal.retry_after_s, 3),
    }


@_refusal_log_fields.register
def _(refusal: request_quarantine.Refusal) -> dict[str, typing.Any]:
    return {
        "identity": refusal.identity,
        "crashes": refusal.crashes,
        "age_s": refusal.age_s,
        "retry_after_s": round(refusal.retry_after_s, 3),
    }


@_refusal_log_fields.register
def _(refusal: resumption.Refusal) -> dict[str, typing.Any]:
    return {"retry_after_s": round(refusal.retry_after_s, 3)}


@_refusal_log_fields.register
def _(refusal: drain.Refusal) -> dict[str, typing.Any]:
    return {
        "left_s": round(refusal.left_s, 3),
        "expected_s": round(refusal.expected_s, 3),
        "retry_after_s": round(refusal.retry_after_s, 3),
    }


@_refusal_log_fields.register
def _(refusal: wait_queue.Refusal) -> dict[str, typing.Any]:
    return {
        "share": round(refusal.share, 3),
        "ahead": refusal.ahead,
        "wait_s": round(refusal.wait_s, 3),
        "retry_after_s": round(refusal.retry_after_s, 3),
        "age_s": refusal.age_s,
    }


def _succeeded(head: messages.ResponseHead) -> bool:
    return head.signed and head.status < server_verdicts.FIRST_ERROR_STATUS


def _is_server_error(head: messages.ResponseHead | None) -> bool:
    """Return whether a response, if there is one, tells of the server's own failure."""
    return head is not None and head.verdict is server_verdicts.Verdict.SERVER_ERROR


def _status(head: messages.ResponseHead | None) -> int | None:
    return None if head is None else head.status


def _check_signed(head: messages.ResponseHead) -> None:
    """Raise ``pool.BrokenError`` if a response can't be the server's own."""
    if head.verdict is server_verdicts.Verdict.UNSIGNED:
        raise pool.BrokenError(f"answer {head.status} without the server's signature")


def choose_service(route: model.Route, rng: random.Random) -> str:
    """Pick one of a route's services at random, by their weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if not any(weights):
        return route.targets[0].service
    return rng.choices(route.targets, weights)[0].service


async def read_response_head(
    codec: messages.Codec, connection: pool.Connection, request_id: str
) -> messages.ResponseHead:
    """Return the head of the response to this request, skipping those to others."""
    for skipped in range(1 + MAX_SKIPPED_RESPONSES):
        raw_head = await connection.read_head()
        head = codec.read_head(raw_head.status, raw_head.headers)
        if (
            head.request_id in ("", request_id)
            and head.verdict is server_verdicts.Verdict.CONTRADICTORY
        ):
            raise pool.BrokenError(f"answer {head.status}: {head.verdict.value}")
        if head.request_id == request_id:
            return head
        if not head.request_id:
            # On a kept connection it may repeat the refusal of an earlier request.
            if head.not_run and connection.requests_sent == 1 and not skipped:
                return head
            raise pool.BrokenError(f"answer {head.status} without a request id")
        await connection.skip_response()
    raise pool.BrokenError("too many answers to other requests")
