"""Carry one caller's request to backend servers and the answer back."""

import collections.abc
import enum
import math
import random
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import admission as admissions
from turmerictally.entry import availability as availabilities
from turmerictally.entry import inflight, messages, model, pool, sse, sweep
from turmerictally.entry import trace as traces
from turmerictally.scheduling import (
    failover,
    fair_shares,
    placement,
    server_speeds,
    wait_queue,
)

# Taken off the time handed to a server, for the way there and back.
DEADLINE_MARGIN_S = 0.02
# Less time than this is too short for a server to begin an answer.
MIN_SEND_S = 0.05
# Silence before a stream that may be resumed goes on elsewhere: callers leave after
# two seconds, so half of that leaves the next server as much.
MIN_SILENCE_S = 0.9
SILENCE_OBJECTIVES = 2.5  # in latency objectives, for the first event
SILENCE_GAPS = 3.0  # in longest on-time pauses, between two events
# Events that follow one another faster than this are passed on together: each pass
# costs a third of a millisecond of processor time, and a reader sees no such gap.
GATHER_S = 0.008
MAX_SENDS = 4  # of one request, counting servers that stated not to have run it
MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024  # of an answer that is no stream
MAX_SKIPPED_ANSWERS = 4  # to other requests, before the connection counts as broken
# When to come back after a refusal: about half of a request's usual service time,
# spread so that callers do not return together.
RETRY_AFTER_S = (0.15, 0.45)
# The same with all domains evacuated, which an operator ends after seconds at least.
EVACUATED_RETRY_AFTER_S = (1.0, 2.0)


class Refusal(enum.Enum):
    """Name the answers that an entry host gives by itself."""

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
    """Write one answer to a caller."""

    started: bool

    async def start(
        self, status: int, headers: messages.Headers, length: int | None
    ) -> None:
        """Send the head; without a length the body is sent in chunks."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body and end a whole answer."""

    def abort(self) -> None:
        """End an answer that is not whole, so that the caller sees it."""

    async def refuse(
        self, refusal: Refusal, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Send an answer of the entry host's own."""


class Result(enum.Enum):
    """Name how one attempt ended."""

    DONE = "done"
    NOT_RUN = "not run"
    UNSENT = "unsent"
    FAILED = "failed"
    BROKEN = "broken"
    LATE = "late to begin"


class FirstEventTimeoutError(Exception):
    """Report that a server did not begin and another one may be asked."""


@attrs.define(eq=False)
class PendingRequest:
    """Hold one request on its way; ``deadline`` is monotonic seconds."""

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
    head: messages.ResponseHead | None = None
    failure: tuple[messages.ResponseHead, bytes] | None = None
    reason: str = ""
    service: str = ""
    refusal: wait_queue.Refusal | None = None
    switched: bool = False

    @property
    def size(self) -> int:
        """Return its size for the expected time at a server."""
        return fair_shares.request_size(
            self.request.prompt_tokens, self.request.output_tokens
        )


@attrs.define(eq=False)
class Forwarder:
    """Send requests to backend servers, again where that is allowed."""

    inflight: inflight.InFlight
    pool: pool.Pool
    codec: messages.Codec
    clock: clocks.Clock
    trace: traces.Trace
    domain: str
    rng: random.Random
    on_slots_exceeded: collections.abc.Callable[[str], None]
    timers: sweep.TimerQueue
    admission: admissions.Admission | None = None
    failover_budget: failover.FailoverBudget | None = None

    async def run(self, pending: PendingRequest) -> str:
        """Answer one request; return the outcome for logs and metrics."""
        if self.failover_budget is not None:
            self.failover_budget.record_request()
        if self.admission is None:
            return await self._run(pending)
        pending.service = choose_service(pending.route, self.rng)
        with self.admission.track_demand(pending.service, pending.team):
            return await self._run(pending)

    async def _run(self, pending: PendingRequest) -> str:
        left = pending.deadline - self.clock.monotonic()
        with self.timers.timer(trio.current_time() + left):
            return await self._attempts(pending)
        pending.reason = pending.reason or "deadline"
        return await self._give_up(pending, at_deadline=True)

    async def _attempts(self, pending: PendingRequest) -> str:
        pending.last_event = pending.request.resume_after
        while True:
            server = await self._find(pending)
            if server is None:
                return await self._give_up(pending)
            result = await self._attempt(pending, server)
            if result is Result.DONE:
                return "done"
            pending.tried.add(server.instance)
            if not self._may_go_on(pending, result):
                return await self._give_up(pending)

    async def _find(self, pending: PendingRequest) -> model.Server | None:
        """Return the server to send to, once one has room."""
        if pending.deadline - self.clock.monotonic() < MIN_SEND_S:
            pending.reason = pending.reason or "too little time"
            return None
        if self.admission is None:
            return self._place(pending, self._loads(pending))
        found = await self.admission.admit(
            self._request(pending),
            pending.request.request_id,
            lambda: self._loads(pending),
        )
        if isinstance(found, wait_queue.Refusal):
            pending.refusal, pending.reason = found, found.reason
            return None
        return self._place(pending, found)

    def _loads(self, pending: PendingRequest) -> list[placement.ServerLoad]:
        if self.admission is None:
            pending.service = choose_service(pending.route, self.rng)
        return self.inflight.server_loads(
            pending.service, exclude=frozenset(pending.tried)
        )

    def _request(self, pending: PendingRequest) -> wait_queue.QueuedRequest:
        now = self.clock.monotonic()
        objective_s = pending.route.objective_s * wait_queue.START_RATIO
        start_by = pending.deadline - MIN_SEND_S
        if objective_s and not pending.response.started:
            start_by = min(start_by, now + objective_s)
        return wait_queue.QueuedRequest(
            service=pending.service,
            team=pending.team,
            # One that a server began already must not be refused for its rank.
            rank=0.0
            if pending.runs
            else fair_shares.request_rank(pending.request.request_id),
            size=pending.size,
            body_bytes=len(pending.body),
            start_by=start_by,
            deadline=pending.deadline,
        )

    def _place(
        self, pending: PendingRequest, loads: list[placement.ServerLoad]
    ) -> model.Server | None:
        servers = self.inflight.registry.servers
        idle = self.pool.idle
        chosen = placement.choose_server(
            loads,
            domain=self.domain,
            prompt_parts=pending.request.prompt_parts,
            rng=self.rng,
            repeatable=pending.route.repeatable,
            connected={
                load.name for load in loads if servers[load.name].address in idle
            },
            objective_s=pending.route.objective_s or math.inf,
            max_gap_s=pending.route.max_gap_s or math.inf,
        )
        if chosen is None:
            pending.reason = "servers full"
            if not loads:
                pending.reason = self.inflight.availability.unavailable_reason(
                    pending.service
                )
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
            **self.inflight.registry.log_fields(server.instance),
        )
        if chosen.total + 1 > chosen.slots:
            self.on_slots_exceeded(server.instance)
        return server

    def _may_go_on(self, pending: PendingRequest, result: Result) -> bool:
        if pending.sends >= MAX_SENDS:
            return False
        if result in (Result.NOT_RUN, Result.UNSENT):
            return True
        return pending.route.repeatable and pending.runs < pending.route.max_attempts

    async def _attempt(self, pending: PendingRequest, server: model.Server) -> Result:
        name = server.instance
        started = self.clock.monotonic()
        pending.sends += 1
        pending.head = None
        self.inflight.circuits.request_started(name, started)
        self.inflight.reserve_permit(name)
        self.inflight.add_online(name, 1)
        seen = pending.last_event
        try:
            result = await self._exchange(pending, server)
        except trio.Cancelled:
            silent_s = self.clock.monotonic() - started
            self.trace.emit(
                "attempt_cut",
                pending.request.request_id,
                server=name,
                after_s=round(silent_s, 3),
                last_event=pending.last_event,
                outcome="caller left or deadline",
            )
            if pending.last_event == seen and silent_s > MIN_SILENCE_S:
                # The caller left, or its time is up, without a first event.
                self.inflight.record_failure(name, refused=False)
            raise
        finally:
            self.inflight.add_online(name, -1)
        now = self.clock.monotonic()
        if result is Result.DONE and seen is None and self.admission is not None:
            self.admission.wait_queue.service_times.record(now - started, pending.size)
        if result in (Result.BROKEN, Result.UNSENT):
            self.inflight.record_failure(name, refused=result is Result.UNSENT)
        elif result is Result.LATE:
            # A server that never begins is left out by what all hosts see.
            self.inflight.record_error_response(name)
        elif result is Result.NOT_RUN or pending.head.status < 500:
            self.inflight.record_success(name)
        else:
            self.inflight.record_error_response(name)
        if result is not Result.DONE:
            self.trace.emit(
                "attempt_failed",
                pending.request.request_id,
                server=name,
                after_s=round(now - started, 3),
                last_event=pending.last_event,
                reason=pending.reason,
                outcome=result.value,
            )
        return result

    async def _exchange(self, pending: PendingRequest, server: model.Server) -> Result:
        try:
            sure = None if pending.route.repeatable else pool.SAFE_IDLE_S
            connection = await self.pool.acquire(server.address, sure)
        except pool.ConnectError as error:
            pending.reason = f"not connected: {error}"
            return Result.UNSENT
        finally:
            self.inflight.use_permit(server.instance)
        kept = False
        pending.runs += 1
        try:
            ends = trio.current_time() + self._silence_s(pending, first=True)
            with self.timers.timer(ends) as silence:
                result, head = await self._converse(
                    pending, server, connection, silence
                )
            if silence.expired:
                raise trio.TooSlowError
            if connection.is_reusable():
                self.pool.release(connection, head.keep_alive_s)
                kept = True
        except FirstEventTimeoutError:
            pending.reason = Result.LATE.value
            return Result.LATE
        except (pool.BrokenError, sse.SequenceError, trio.TooSlowError) as error:
            pending.reason = str(error) or "silent"
            return Result.BROKEN
        finally:
            if not kept:
                self.pool.abandon(connection)
        if result is Result.NOT_RUN:
            pending.runs -= 1
        return result

    async def _converse(
        self,
        pending: PendingRequest,
        server: model.Server,
        connection: pool.Connection,
        silence: sweep.Timer,
    ) -> tuple[Result, messages.ResponseHead]:
        left = pending.deadline - self.clock.monotonic() - DEADLINE_MARGIN_S
        resumed = (
            pending.last_event
            if pending.last_event != pending.request.resume_after
            else None
        )
        context = messages.ForwardingContext(
            server.instance, left, pending.team, resumed
        )
        headers = self.codec.server_headers(pending.request, context, len(pending.body))
        sent_at = trio.current_time()
        await connection.send_request(
            pending.request.method, pending.request.target, headers, pending.body
        )
        head = await self._read_head(pending, server, connection)
        silence.set_deadline(math.inf)
        pending.head = head
        if head.leaving:
            self.inflight.registry.mark_leaving(server, "its answer")
        if head.not_run:
            await connection.read_body(MAX_BUFFERED_RESPONSE_BYTES)
            pending.reason = f"server answered {head.status}"
            return Result.NOT_RUN, head
        if head.status >= 300 or not head.is_event_stream:
            return await self._whole(pending, connection, head)
        if not head.signed:
            raise pool.BrokenError("answer without the server's signature")
        await self._stream(pending, server, connection, head, silence, sent_at)
        return Result.DONE, head

    async def _read_head(
        self, pending: PendingRequest, server: model.Server, connection: pool.Connection
    ) -> messages.ResponseHead:
        """Return the head of a server's answer; raises ``FirstEventTimeoutError``."""
        late_at = self._late_at(pending, server)
        if late_at == math.inf:
            return await read_response_head(
                self.codec, connection, pending.request.request_id
            )
        with trio.move_on_at(late_at):
            return await read_response_head(
                self.codec, connection, pending.request.request_id
            )
        but = frozenset(pending.tried | {server.instance})
        loads = self.inflight.server_loads(server.service, exclude=but)
        if self.failover_budget.try_spend(loads):
            pending.switched = True
            raise FirstEventTimeoutError
        return await read_response_head(
            self.codec, connection, pending.request.request_id
        )

    def _late_at(self, pending: PendingRequest, server: model.Server) -> float:
        """Return when a stream that has not begun may be offered elsewhere."""
        route = pending.route
        may_run_again = route.repeatable and pending.runs < route.max_attempts
        if self.failover_budget is None or pending.switched or not may_run_again:
            return math.inf
        if route.kind is not model.Kind.STREAM or not route.objective_s:
            return math.inf
        first_s = self.inflight.speed_estimate(server.instance).first_event_s
        return trio.current_time() + failover.first_event_timeout_s(
            route.objective_s, first_s
        )

    async def _whole(
        self,
        pending: PendingRequest,
        connection: pool.Connection,
        head: messages.ResponseHead,
    ) -> tuple[Result, messages.ResponseHead]:
        """Pass on an answer that is no stream, once all of it is here."""
        body = await connection.read_body(MAX_BUFFERED_RESPONSE_BYTES)
        if head.status < 300 and not head.signed:
            raise pool.BrokenError("answer without the server's signature")
        if head.status >= 500 and not head.signed:
            raise pool.BrokenError(f"answer {head.status} without a signature")
        if head.status >= 500 and (
            pending.route.repeatable or pending.response.started
        ):
            pending.failure = (head, body)
            pending.reason = f"server answered {head.status}"
            return Result.FAILED, head
        if pending.response.started:
            raise pool.BrokenError("resumed stream is no stream")
        await pending.response.start(
            head.status, self.codec.caller_headers(head), len(body)
        )
        await pending.response.finish(body)
        return Result.DONE, head

    async def _stream(
        self,
        pending: PendingRequest,
        server: model.Server,
        connection: pool.Connection,
        head: messages.ResponseHead,
        silence: sweep.Timer,
        sent_at: float,
    ) -> None:
        splitter = sse.EventSplitter(pending.last_event)
        passed_at = -math.inf
        meter = server_speeds.SpeedMeter(server.instance, self.inflight.record_events)
        gap_s = self._silence_s(pending, first=False)
        ends = trio.current_time() + (
            gap_s if pending.response.started else self._silence_s(pending, first=True)
        )
        while True:
            # Bytes that complete no event do not end a silence.
            silence.set_deadline(ends)
            data = await connection.read_data()
            # A reader that is slow is no silence of the server.
            silence.deadline = math.inf
            if data is None:
                break
            whole = splitter.split(data)
            if not whole:
                continue
            if not pending.response.started:
                await pending.response.start(
                    head.status, self.codec.caller_headers(head), None
                )
            if connection.complete and not splitter.buffer:
                pending.last_event = splitter.last_id
                await pending.response.finish(whole)
                return
            await pending.response.send(whole)
            pending.last_event = splitter.last_id
            now = trio.current_time()
            if meter.add(splitter.event_count, now):
                self.inflight.record_first_event(server.instance, now - sent_at)
            ends = now + gap_s
            fast = splitter.event_count > 1 or now < passed_at + GATHER_S
            passed_at = now
            if fast and connection.needs_data:
                await trio.sleep(GATHER_S)
        if splitter.buffer:
            raise pool.BrokenError("stream ended within an event")
        if not pending.response.started:
            await pending.response.start(
                head.status, self.codec.caller_headers(head), None
            )
        await pending.response.finish()

    def _silence_s(self, pending: PendingRequest, *, first: bool) -> float:
        """Return how long a server may be silent where another one may go on."""
        if not pending.route.repeatable or pending.runs >= pending.route.max_attempts:
            return math.inf
        usual = (
            pending.route.objective_s * SILENCE_OBJECTIVES
            if first
            else pending.route.max_gap_s * SILENCE_GAPS
        )
        return max(MIN_SILENCE_S, usual)

    async def _give_up(
        self, pending: PendingRequest, *, at_deadline: bool = False
    ) -> str:
        response = pending.response
        outcome = "broken off" if response.started else "refused"
        if response.started:
            response.abort()
        elif pending.failure is not None:
            head, body = pending.failure
            outcome = "server error"
            await response.start(
                head.status, self.codec.caller_headers(head), len(body)
            )
            await response.finish(body)
        elif pending.runs and at_deadline:
            await response.refuse(Refusal.DEADLINE, pending.reason)
        elif pending.runs:
            await response.refuse(Refusal.BROKEN, pending.reason)
        else:
            evacuated = pending.reason == availabilities.REASON_EVACUATED
            wait = self.rng.uniform(
                *(EVACUATED_RETRY_AFTER_S if evacuated else RETRY_AFTER_S)
            )
            if pending.refusal is not None:
                wait = pending.refusal.retry_after_s
            await response.refuse(Refusal.UNAVAILABLE, pending.reason, wait)
        self.trace.emit(
            "given_up",
            pending.request.request_id,
            reason=pending.reason,
            sends=pending.sends,
            may_have_run=pending.runs,
            last_event=pending.last_event,
            outcome=outcome,
            **(_inputs(pending.refusal) if pending.refusal else {}),
        )
        return outcome


def _inputs(refusal: wait_queue.Refusal) -> dict[str, float]:
    """Return what a refusal rests on, for its log line."""
    return {
        "share": round(refusal.share, 3),
        "ahead": refusal.ahead,
        "wait_s": round(refusal.wait_s, 3),
        "retry_after_s": round(refusal.retry_after_s, 3),
        "age_s": refusal.age_s,
    }


def choose_service(route: model.Route, rng: random.Random) -> str:
    """Return a service by the route's weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if not any(weights):
        return route.targets[0].service
    return rng.choices(route.targets, weights)[0].service


async def read_response_head(
    codec: messages.Codec, connection: pool.Connection, request_id: str
) -> messages.ResponseHead:
    """Return the head of this request's answer, passing over another's."""
    for _ in range(1 + MAX_SKIPPED_ANSWERS):
        response = await connection.read_head()
        head = codec.read_head(response.status, response.headers)
        if head.request_id == request_id:
            return head
        if not head.request_id:
            if head.not_run:
                return head
            raise pool.BrokenError(f"answer {head.status} without a request id")
        await connection.skip_response()
    raise pool.BrokenError("too many answers to other requests")
