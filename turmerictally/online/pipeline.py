"""Carry one request from the fair queue to its whole answer."""

import collections
import contextlib
import logging
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.online import (
    forward,
    headers,
    idempotency,
    messages,
    queue,
    retries,
    streams,
)
from turmerictally.routing import affinity, engines, router, servers

logger = logging.getLogger(__name__)

RETRY_AFTER_S = 1.0
# Seconds between two looks for room on behalf of waiting requests.
LOOK_S = 0.05
# Answers by which a server says that another one may do better.
RETRY_STATUSES = frozenset({429, 500, 502, 503, 504})
# Queues kept for groups of servers; idle ones go first.
MAX_QUEUES = 256


@attrs.define
class Sent:
    """Remember whether any attempt of a request may have reached a server."""

    maybe: bool = False

    @property
    def ran(self) -> errors.Ran:
        """Return what may be said of the request."""
        return errors.Ran.MAY_HAVE_RUN if self.maybe else errors.Ran.NOT_RUN


class Pipeline:
    """Run requests: queue, claim, choose, forward, retry.

    ``serve`` must run while requests do. ``mark_active`` is called with each group
    of servers that a request uses.
    """

    def __init__(
        self,
        options: settings.Settings,
        chooser: router.Router,
        forwarder: forward.Forwarder,
        control: engines.EngineClient,
        claims: idempotency.Claims,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        record: messages.Record = messages.ignore,
        mark_active=lambda name: None,
    ) -> None:
        self.options = options.online
        self.affinity_tokens = options.routing.affinity_tokens
        self.router = chooser
        self.forwarder = forwarder
        self.engines = control
        self.claims = claims
        self.clock = clock
        self.rng = rng
        self.record = record
        self.mark_active = mark_active
        self.budget = retries.Budget(
            self.options.retry_budget_ratio, self.options.retry_budget_min_per_s
        )
        self.queues: collections.OrderedDict[str, queue.FairQueue] = (
            collections.OrderedDict()
        )
        self.running: collections.Counter[str] = collections.Counter()
        self.nursery: trio.Nursery | None = None
        self.relay_context = streams.RelayContext(
            forwarder=forwarder,
            router=chooser,
            budget=self.budget,
            options=self.options,
            clock=clock,
            rng=rng,
            cancel=self.cancel_engine,
            record=record,
        )

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Own the streams and the claimed requests until cancelled.

        Room that opens without an event, as after a probe, is looked for here.
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(LOOK_S)
                self.load_reported("")

    async def run(
        self, request: messages.Request
    ) -> messages.Response | messages.StreamResponse:
        """Return the whole answer or a started stream; raise ``errors.Error``."""
        self._check(request)
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._counted(request))
            if not request.idempotent and request.idempotency_key:
                return await self._run_once(request)
            return await self._watched(request, stack)

    def load_reported(self, address: str) -> None:
        """Place waiting requests after a load report."""
        for waiting in list(self.queues.values()):
            if len(waiting):
                waiting.pump()

    def cancel_engine(self, server: servers.Server, request_id: str) -> None:
        """Cancel work on an engine in the background."""
        if self.nursery is not None and server.models:
            self.nursery.start_soon(self._cancel, server, request_id)

    def _check(self, request: messages.Request) -> None:
        now = self.clock.monotonic()
        if request.deadline <= now:
            raise errors.Error(errors.Kind.DEADLINE_UNREACHABLE)
        if any(part in (".", "..") for part in request.path.split("/")):
            raise errors.Error(
                errors.Kind.BAD_REQUEST, "The path must not hold dot segments."
            )
        if request.streamed and request.idempotency_key and not request.idempotent:
            raise errors.Error(
                errors.Kind.BAD_REQUEST,
                "A stream that may run once cannot be stored; leave stream out.",
            )
        contract = request.contract
        if contract and self.running[request.team] >= contract.max_running:
            raise errors.Error(
                errors.Kind.RATE_LIMITED,
                "Too many requests run at once.",
                retry_after_s=RETRY_AFTER_S,
            )

    @contextlib.contextmanager
    def _counted(self, request: messages.Request):
        self.running[request.team] += 1
        try:
            yield
        finally:
            self.running[request.team] -= 1
            if not self.running[request.team]:
                del self.running[request.team]

    async def _run_once(self, request: messages.Request) -> messages.Response:
        """Run a claimed request to its end, even when its caller leaves."""
        done = trio.Event()
        outcome: list = []
        self.nursery.start_soon(self._run_claimed, request, outcome, done)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when, request.withdrawn, nursery.cancel_scope)
            await done.wait()
            nursery.cancel_scope.cancel()
        if not outcome:
            raise errors.Error(errors.Kind.KEY_WITHDRAWN)
        if isinstance(outcome[0], BaseException):
            raise outcome[0]
        return outcome[0]

    async def _run_claimed(self, request, outcome: list, done: trio.Event) -> None:
        try:
            outcome.append(await self._claimed(request))
        except errors.Error as error:
            outcome.append(error)
        except Exception:
            logger.exception("A claimed request failed.")
            outcome.append(errors.Error(errors.Kind.INTERNAL))
        finally:
            done.set()

    async def _claimed(self, request: messages.Request) -> messages.Response:
        claim = await self.claims.begin(request)
        if isinstance(claim, messages.Response):
            self.record(request.request_id, "replayed")
            return claim
        sent = Sent()
        try:
            answer = await self._attempts(request, sent, None)
        except errors.Error as error:
            await self.claims.fail(claim, error.ran)
            raise
        except BaseException:
            await self.claims.fail(claim, sent.ran)
            raise
        await self.claims.finish(claim, answer)
        return answer

    async def _watched(self, request: messages.Request, stack: contextlib.ExitStack):
        """Run unless the key is withdrawn meanwhile."""
        outcomes: list = []
        sent = Sent()
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(_cancel_when, request.withdrawn, scope)
                outcomes.append(await self._outcome(request, sent, stack))
                scope.cancel()
            if request.withdrawn.is_set():
                raise errors.Error(errors.Kind.KEY_WITHDRAWN, ran=sent.ran)
        except BaseException:
            _abandon(outcomes)
            raise
        if isinstance(outcomes[0], errors.Error):
            raise outcomes[0]
        return outcomes[0]

    async def _outcome(self, request, sent: Sent, stack: contextlib.ExitStack):
        try:
            return await self._attempts(request, sent, stack)
        except errors.Error as error:
            return error

    async def _attempts(
        self,
        request: messages.Request,
        sent: Sent,
        stack: contextlib.ExitStack | None,
    ) -> messages.Response | messages.StreamResponse:
        requirements = self._wanted(request)
        server = await self._enter(request, requirements)
        self.budget.deposit(self.clock.monotonic())
        tried: set[str] = set()
        number = 1
        while True:
            attempt = forward.Attempt(request, server, _attempt_id(request, number))
            self._record(request, "attempt", server=server.address, number=number)
            try:
                return await self._attempt(attempt, requirements, sent, stack)
            except forward.AttemptError as error:
                failure = error
            tried.add(server.address)
            self._record(request, "failed", reason=failure.reason, sent=failure.sent)
            server = await self._next(request, requirements, tried, failure, number)
            if server is None:
                return self._final(request, failure, sent)
            number += 1

    async def _enter(
        self, request: messages.Request, requirements: servers.ServerRequirements
    ) -> servers.Server:
        self.mark_active(requirements.group)
        now = self.clock.monotonic()
        weight = request.contract.weight if request.contract else 1.0
        expires = min(request.deadline, now + self.options.queue_wait_s)
        entry = queue.Entry(request.team, weight, requirements, expires)
        server = await self._queue(requirements.group).enter(entry)
        if request.withdrawn.is_set():
            self._ended(server.address, requirements)
            raise errors.Error(errors.Kind.KEY_WITHDRAWN, ran=errors.Ran.NOT_RUN)
        self._record(request, "placed", waited=self.clock.monotonic() - now)
        return server

    def _queue(self, name: str) -> queue.FairQueue:
        found = self.queues.get(name)
        if found is None:
            found = queue.FairQueue(
                self._place, self.options.queue_length, self.clock, self._unplace
            )
            self.queues[name] = found
            self._drop_idle_queues()
        self.queues.move_to_end(name)
        return found

    def _drop_idle_queues(self) -> None:
        idle = [name for name, each in self.queues.items() if not len(each)]
        for name in idle[: max(0, len(self.queues) - MAX_QUEUES)]:
            del self.queues[name]

    def _place(self, entry: queue.Entry) -> servers.Server | None:
        server = self.router.choose(entry.requirements, require_free_slot=True)
        if server is not None:
            self.router.request_started(server.address, entry.requirements.prefix)
        return server

    def _unplace(self, entry: queue.Entry) -> None:
        self._ended(entry.server.address, entry.requirements)

    def _ended(self, address: str, requirements: servers.ServerRequirements) -> None:
        self.router.request_ended(address)
        if requirements.group in self.queues:
            self.queues[requirements.group].pump()

    def _wanted(self, request: messages.Request) -> servers.ServerRequirements:
        prefix = ""
        if request.model:
            prefix = affinity.prefix_hash(
                request.model, request.body, self.affinity_tokens
            )
        return servers.ServerRequirements(request.service, request.model, prefix)

    async def _attempt(self, attempt, requirements, sent: Sent, stack):
        """Make one attempt; whatever ends it is counted and cleaned up."""
        address = attempt.server.address
        relayed = False
        try:
            if attempt.request.streamed:
                answer = await self._open_stream(attempt, requirements, stack)
                relayed = isinstance(answer, messages.StreamResponse)
            else:
                answer = await self._send(attempt)
            sent.maybe = True
            return answer
        except forward.AttemptError as error:
            sent.maybe = sent.maybe or error.sent
            self._failed(attempt, error)
            raise
        except BaseException:
            sent.maybe = sent.maybe or attempt.maybe_sent
            self.cancel_engine(attempt.server, attempt.id)
            raise
        finally:
            if not relayed:
                self._ended(address, requirements)

    def _failed(self, attempt: forward.Attempt, error: forward.AttemptError) -> None:
        if error.sent:
            self.cancel_engine(attempt.server, attempt.id)
        if error.kind is not errors.Kind.DEADLINE_EXCEEDED:
            now = self.clock.monotonic()
            address = attempt.server.address
            self.router.health.failed(address, now, refused=not error.sent)

    async def _send(self, attempt: forward.Attempt) -> messages.Response:
        opened = await self.forwarder.open(attempt)
        self._take_load(opened)
        answer = await self.forwarder.finish(opened)
        self._check_status(attempt, answer)
        self.router.health.succeeded(attempt.server.address)
        return answer

    async def _open_stream(self, attempt, requirements, stack):
        opened = await self.forwarder.open(attempt)
        self._take_load(opened)
        if opened.response.status_code != 200:
            answer = await self.forwarder.finish(opened)
            self._check_status(attempt, answer)
            return answer
        relay = streams.Relay(self.relay_context, opened, requirements)
        send, receive = trio.open_memory_channel[bytes](0)
        answer = messages.StreamResponse(
            status=200,
            headers=headers.for_caller(opened.response.headers.multi_items()),
            server=attempt.server.address,
            chunks=receive,
        )
        held = stack.pop_all()
        self.nursery.start_soon(
            self._relay, relay, send, answer.scope, held, requirements
        )
        return answer

    async def _relay(self, relay, send, scope, held, requirements) -> None:
        try:
            with held:
                await relay.run(send, scope)
        except Exception:
            logger.exception("A stream failed.")
        if requirements.group in self.queues:
            self.queues[requirements.group].pump()

    def _take_load(self, opened: forward.OpenResponse) -> None:
        text = opened.response.headers.get(headers.LOAD)
        if text:
            address = opened.attempt.server.address
            self.router.loads.record_piggybacked(address, text, self.clock.monotonic())

    def _check_status(
        self, attempt: forward.Attempt, answer: messages.Response
    ) -> None:
        """Turn a server's failure into an attempt that may be repeated."""
        if answer.status not in RETRY_STATUSES or not attempt.request.idempotent:
            return
        raise forward.AttemptError(
            errors.Kind.BACKEND_SERVER_ERROR, f"status {answer.status}", answer=answer
        )

    async def _next(self, request, requirements, tried, failure, number: int):
        """Return the server of the next attempt, or None when this was the last."""
        if number >= self.options.max_attempts:
            return None
        if failure.kind is errors.Kind.DEADLINE_EXCEEDED:
            return None
        if failure.sent and not self._may_repeat(request):
            return None
        pause = retries.delay(number, self.rng)
        if self.clock.monotonic() + pause >= request.deadline:
            return None
        await trio.sleep(pause)
        # With no other server left, the same one may do better the next time.
        for exclude in (tried, ()):
            with contextlib.suppress(errors.Error):
                server = self.router.choose(requirements, exclude)
                self.router.request_started(server.address, requirements.prefix)
                return server
        return None

    def _may_repeat(self, request: messages.Request) -> bool:
        return request.idempotent and self.budget.take(self.clock.monotonic())

    def _final(self, request, failure, sent: Sent) -> messages.Response:
        if failure.answer is not None and not request.model:
            return failure.answer
        kind = failure.kind
        if sent.maybe and not request.idempotent:
            kind = errors.Kind.OUTCOME_UNKNOWN
        raise errors.Error(
            kind,
            f"Last failure: {failure.reason}.",
            ran=sent.ran,
            retry_after_s=RETRY_AFTER_S,
        )

    def _record(self, request: messages.Request, event: str, **fields) -> None:
        self.record(request.request_id, event, **fields)

    async def _cancel(self, server: servers.Server, request_id: str) -> None:
        with contextlib.suppress(engines.ControlError):
            await self.engines.cancel(server.address, request_id)


def _abandon(outcomes: list) -> None:
    """Cancel a stream that was started but cannot be handed over."""
    for outcome in outcomes:
        if isinstance(outcome, messages.StreamResponse):
            outcome.cancel()


async def _cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


def _attempt_id(request: messages.Request, number: int) -> str:
    """Return an id that no other attempt has, so that late answers are found out."""
    return request.request_id if number == 1 else f"{request.request_id}.{number}"
