"""Carry one caller's request to backend servers and the answer back."""

import collections.abc
import enum
import math
import random
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import events, inflight, messages, model, pool, sweep, turns
from turmerictally.entry import places as placed
from turmerictally.entry import trace as traces
from turmerictally.scheduling import placing, shares, speeds, switching, waiting

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
MAX_BUFFERED_BYTES = 8 * 1024 * 1024  # of an answer that is no stream
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


class Answer(typing.Protocol):
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


class LateError(Exception):
    """Report that a server did not begin and another one may be asked."""


@attrs.define(eq=False)
class Job:
    """Hold one request on its way; ``deadline`` is monotonic seconds."""

    ask: messages.Ask
    body: bytes = attrs.field(repr=False)
    route: model.Route
    team: str
    deadline: float
    answer: Answer
    tried: set[str] = attrs.Factory(set)
    sends: int = 0
    runs: int = 0
    last_event: int | None = None
    head: messages.Head | None = None
    failure: tuple[messages.Head, bytes] | None = None
    reason: str = ""
    service: str = ""
    refusal: waiting.Refusal | None = None
    switched: bool = False

    @property
    def size(self) -> int:
        """Return its size for the expected time at a server."""
        return shares.size_of(self.ask.prompt_tokens, self.ask.output_tokens)


@attrs.define(eq=False)
class Relay:
    """Send requests to backend servers, again where that is allowed."""

    inflight: inflight.InFlight
    pool: pool.Pool
    wire: messages.Wire
    clock: clocks.Clock
    trace: traces.Trace
    domain: str
    rng: random.Random
    crowded: collections.abc.Callable[[str], None]
    sweep: sweep.Sweep
    waiters: turns.Turns | None = None
    switches: switching.Budget | None = None

    async def run(self, job: Job) -> str:
        """Answer one request; return the outcome for logs and metrics."""
        if self.switches is not None:
            self.switches.note_request()
        if self.waiters is None:
            return await self._run(job)
        job.service = choose_service(job.route, self.rng)
        with self.waiters.counted(job.service, job.team):
            return await self._run(job)

    async def _run(self, job: Job) -> str:
        left = job.deadline - self.clock.monotonic()
        with self.sweep.timer(trio.current_time() + left):
            return await self._attempts(job)
        job.reason = job.reason or "deadline"
        return await self._give_up(job, at_deadline=True)

    async def _attempts(self, job: Job) -> str:
        job.last_event = job.ask.resume_after
        while True:
            server = await self._find(job)
            if server is None:
                return await self._give_up(job)
            result = await self._attempt(job, server)
            if result is Result.DONE:
                return "done"
            job.tried.add(server.instance)
            if not self._may_go_on(job, result):
                return await self._give_up(job)

    async def _find(self, job: Job) -> model.Server | None:
        """Return the server to send to, once one has room."""
        if job.deadline - self.clock.monotonic() < MIN_SEND_S:
            job.reason = job.reason or "too little time"
            return None
        if self.waiters is None:
            return self._place(job, self._loads(job))
        found = await self.waiters.take(
            self._request(job), job.ask.request_id, lambda: self._loads(job)
        )
        if isinstance(found, waiting.Refusal):
            job.refusal, job.reason = found, found.reason
            return None
        return self._place(job, found)

    def _loads(self, job: Job) -> list[placing.Load]:
        if self.waiters is None:
            job.service = choose_service(job.route, self.rng)
        return self.inflight.loads(job.service, but=frozenset(job.tried))

    def _request(self, job: Job) -> waiting.Request:
        now = self.clock.monotonic()
        objective_s = job.route.objective_s * waiting.START_RATIO
        start_by = job.deadline - MIN_SEND_S
        if objective_s and not job.answer.started:
            start_by = min(start_by, now + objective_s)
        return waiting.Request(
            service=job.service,
            team=job.team,
            # One that a server began already must not be refused for its rank.
            rank=0.0 if job.runs else shares.rank_of(job.ask.request_id),
            size=job.size,
            bytes=len(job.body),
            start_by=start_by,
            deadline=job.deadline,
        )

    def _place(self, job: Job, loads: list[placing.Load]) -> model.Server | None:
        servers = self.inflight.registry.servers
        idle = self.pool.idle
        chosen = placing.choose(
            loads,
            domain=self.domain,
            prompt_parts=job.ask.prompt_parts,
            rng=self.rng,
            repeatable=job.route.repeatable,
            connected={
                load.name for load in loads if servers[load.name].address in idle
            },
            objective_s=job.route.objective_s or math.inf,
            max_gap_s=job.route.max_gap_s or math.inf,
        )
        if chosen is None:
            job.reason = "servers full"
            if not loads:
                job.reason = self.inflight.places.why_none(job.service)
            return None
        server = servers[chosen.name]
        self.trace.emit(
            "placed",
            job.ask.request_id,
            server=server.instance,
            online=chosen.online,
            batch=chosen.batch,
            reliability=round(chosen.reliability, 2),
            **self.inflight.speed_evidence(chosen.name),
            of=len(loads),
            sends=job.sends,
            **self.inflight.registry.evidence(server.instance),
        )
        if chosen.total + 1 > chosen.slots:
            self.crowded(server.instance)
        return server

    def _may_go_on(self, job: Job, result: Result) -> bool:
        if job.sends >= MAX_SENDS:
            return False
        if result in (Result.NOT_RUN, Result.UNSENT):
            return True
        return job.route.repeatable and job.runs < job.route.max_attempts

    async def _attempt(self, job: Job, server: model.Server) -> Result:
        name = server.instance
        started = self.clock.monotonic()
        job.sends += 1
        job.head = None
        self.inflight.circuits.request_started(name, started)
        self.inflight.reserve(name)
        self.inflight.count_online(name, 1)
        seen = job.last_event
        try:
            result = await self._exchange(job, server)
        except trio.Cancelled:
            silent_s = self.clock.monotonic() - started
            self.trace.emit(
                "attempt_cut",
                job.ask.request_id,
                server=name,
                after_s=round(silent_s, 3),
                last_event=job.last_event,
                outcome="caller left or deadline",
            )
            if job.last_event == seen and silent_s > MIN_SILENCE_S:
                # The caller left, or its time is up, without a first event.
                self.inflight.failed(name, refused=False)
            raise
        finally:
            self.inflight.count_online(name, -1)
        now = self.clock.monotonic()
        if result is Result.DONE and seen is None and self.waiters is not None:
            self.waiters.room.durations.learn(now - started, job.size)
        if result in (Result.BROKEN, Result.UNSENT):
            self.inflight.failed(name, refused=result is Result.UNSENT)
        elif result is Result.LATE:
            # A server that never begins is left out by what all hosts see.
            self.inflight.answered_error(name)
        elif result is Result.NOT_RUN or job.head.status < 500:
            self.inflight.succeeded(name)
        else:
            self.inflight.answered_error(name)
        if result is not Result.DONE:
            self.trace.emit(
                "attempt_failed",
                job.ask.request_id,
                server=name,
                after_s=round(now - started, 3),
                last_event=job.last_event,
                reason=job.reason,
                outcome=result.value,
            )
        return result

    async def _exchange(self, job: Job, server: model.Server) -> Result:
        try:
            sure = None if job.route.repeatable else pool.SURE_IDLE_S
            connection = await self.pool.acquire(server.address, sure)
        except pool.ConnectError as error:
            job.reason = f"not connected: {error}"
            return Result.UNSENT
        finally:
            self.inflight.sending(server.instance)
        kept = False
        job.runs += 1
        try:
            ends = trio.current_time() + self._silence_s(job, first=True)
            with self.sweep.timer(ends) as silence:
                result, head = await self._converse(job, server, connection, silence)
            if silence.overdue:
                raise trio.TooSlowError
            if connection.reusable():
                self.pool.release(connection, head.idle_s)
                kept = True
        except LateError:
            job.reason = Result.LATE.value
            return Result.LATE
        except (pool.BrokenError, events.SequenceError, trio.TooSlowError) as error:
            job.reason = str(error) or "silent"
            return Result.BROKEN
        finally:
            if not kept:
                self.pool.abandon(connection)
        if result is Result.NOT_RUN:
            job.runs -= 1
        return result

    async def _converse(
        self,
        job: Job,
        server: model.Server,
        connection: pool.Connection,
        silence: sweep.Timer,
    ) -> tuple[Result, messages.Head]:
        left = job.deadline - self.clock.monotonic() - DEADLINE_MARGIN_S
        resumed = job.last_event if job.last_event != job.ask.resume_after else None
        onward = messages.Onward(server.instance, left, job.team, resumed)
        headers = self.wire.onward(job.ask, onward, len(job.body))
        sent_at = trio.current_time()
        await connection.request(job.ask.method, job.ask.target, headers, job.body)
        head = await self._read_head(job, server, connection)
        silence.move(math.inf)
        job.head = head
        if head.leaving:
            self.inflight.registry.note_leaving(server, "its answer")
        if head.not_run:
            await connection.body(MAX_BUFFERED_BYTES)
            job.reason = f"server answered {head.status}"
            return Result.NOT_RUN, head
        if head.status >= 300 or not head.events:
            return await self._whole(job, connection, head)
        if not head.signed:
            raise pool.BrokenError("answer without the server's signature")
        await self._stream(job, server, connection, head, silence, sent_at)
        return Result.DONE, head

    async def _read_head(
        self, job: Job, server: model.Server, connection: pool.Connection
    ) -> messages.Head:
        """Return the head of a server's answer; raises ``LateError``."""
        late_at = self._late_at(job, server)
        if late_at == math.inf:
            return await read_head(self.wire, connection, job.ask.request_id)
        with trio.move_on_at(late_at):
            return await read_head(self.wire, connection, job.ask.request_id)
        but = frozenset(job.tried | {server.instance})
        loads = self.inflight.loads(server.service, but=but)
        if self.switches.spend(loads):
            job.switched = True
            raise LateError
        return await read_head(self.wire, connection, job.ask.request_id)

    def _late_at(self, job: Job, server: model.Server) -> float:
        """Return when a stream that has not begun may be offered elsewhere."""
        route = job.route
        may_run_again = route.repeatable and job.runs < route.max_attempts
        if self.switches is None or job.switched or not may_run_again:
            return math.inf
        if route.kind is not model.Kind.STREAM or not route.objective_s:
            return math.inf
        first_s = self.inflight.expected(server.instance).first_s
        return trio.current_time() + switching.patience_s(route.objective_s, first_s)

    async def _whole(
        self, job: Job, connection: pool.Connection, head: messages.Head
    ) -> tuple[Result, messages.Head]:
        """Pass on an answer that is no stream, once all of it is here."""
        body = await connection.body(MAX_BUFFERED_BYTES)
        if head.status < 300 and not head.signed:
            raise pool.BrokenError("answer without the server's signature")
        if head.status >= 500 and not head.signed:
            raise pool.BrokenError(f"answer {head.status} without a signature")
        if head.status >= 500 and (job.route.repeatable or job.answer.started):
            job.failure = (head, body)
            job.reason = f"server answered {head.status}"
            return Result.FAILED, head
        if job.answer.started:
            raise pool.BrokenError("resumed stream is no stream")
        await job.answer.start(head.status, self.wire.to_caller(head), len(body))
        await job.answer.finish(body)
        return Result.DONE, head

    async def _stream(
        self,
        job: Job,
        server: model.Server,
        connection: pool.Connection,
        head: messages.Head,
        silence: sweep.Timer,
        sent_at: float,
    ) -> None:
        splitter = events.Splitter(job.last_event)
        passed_at = -math.inf
        meter = speeds.Meter(server.instance, self.inflight.note_events)
        gap_s = self._silence_s(job, first=False)
        ends = trio.current_time() + (
            gap_s if job.answer.started else self._silence_s(job, first=True)
        )
        while True:
            # Bytes that complete no event do not end a silence.
            silence.move(ends)
            data = await connection.data()
            # A reader that is slow is no silence of the server.
            silence.deadline = math.inf
            if data is None:
                break
            whole = splitter.take(data)
            if not whole:
                continue
            if not job.answer.started:
                await job.answer.start(head.status, self.wire.to_caller(head), None)
            if connection.complete and not splitter.rest:
                job.last_event = splitter.last
                await job.answer.finish(whole)
                return
            await job.answer.send(whole)
            job.last_event = splitter.last
            now = trio.current_time()
            if meter.add(splitter.count, now):
                self.inflight.note_first(server.instance, now - sent_at)
            ends = now + gap_s
            fast = splitter.count > 1 or now < passed_at + GATHER_S
            passed_at = now
            if fast and connection.waiting:
                await trio.sleep(GATHER_S)
        if splitter.rest:
            raise pool.BrokenError("stream ended within an event")
        if not job.answer.started:
            await job.answer.start(head.status, self.wire.to_caller(head), None)
        await job.answer.finish()

    def _silence_s(self, job: Job, *, first: bool) -> float:
        """Return how long a server may be silent where another one may go on."""
        if not job.route.repeatable or job.runs >= job.route.max_attempts:
            return math.inf
        usual = (
            job.route.objective_s * SILENCE_OBJECTIVES
            if first
            else job.route.max_gap_s * SILENCE_GAPS
        )
        return max(MIN_SILENCE_S, usual)

    async def _give_up(self, job: Job, *, at_deadline: bool = False) -> str:
        answer = job.answer
        outcome = "broken off" if answer.started else "refused"
        if answer.started:
            answer.abort()
        elif job.failure is not None:
            head, body = job.failure
            outcome = "server error"
            await answer.start(head.status, self.wire.to_caller(head), len(body))
            await answer.finish(body)
        elif job.runs and at_deadline:
            await answer.refuse(Refusal.DEADLINE, job.reason)
        elif job.runs:
            await answer.refuse(Refusal.BROKEN, job.reason)
        else:
            evacuated = job.reason == placed.EVACUATED
            wait = self.rng.uniform(
                *(EVACUATED_RETRY_AFTER_S if evacuated else RETRY_AFTER_S)
            )
            if job.refusal is not None:
                wait = job.refusal.retry_after_s
            await answer.refuse(Refusal.UNAVAILABLE, job.reason, wait)
        self.trace.emit(
            "given_up",
            job.ask.request_id,
            reason=job.reason,
            sends=job.sends,
            may_have_run=job.runs,
            last_event=job.last_event,
            outcome=outcome,
            **(_inputs(job.refusal) if job.refusal else {}),
        )
        return outcome


def _inputs(refusal: waiting.Refusal) -> dict[str, float]:
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


async def read_head(
    wire: messages.Wire, connection: pool.Connection, request_id: str
) -> messages.Head:
    """Return the head of this request's answer, passing over another's."""
    for _ in range(1 + MAX_SKIPPED_ANSWERS):
        response = await connection.head()
        head = wire.read_head(response.status, response.headers)
        if head.request_id == request_id:
            return head
        if not head.request_id:
            if head.not_run:
                return head
            raise pool.BrokenError(f"answer {head.status} without a request id")
        await connection.skip_answer()
    raise pool.BrokenError("too many answers to other requests")
