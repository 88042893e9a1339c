"""Run one request from admission into the fair queue to its complete response."""

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
# Interval at which queued requests are dispatched even without a load report.
DISPATCH_INTERVAL_S = 0.05
# Response statuses after which another server may still succeed.
RETRY_STATUSES = frozenset({429, 500, 502, 503, 504})
# Number of fair queues above which idle ones are evicted, least recently used first.
MAX_QUEUES = 256


@attrs.define
class SendStatus:
    """Record whether any attempt of a request may have reached a server."""

    maybe_sent: bool = False

    @property
    def ran(self) -> errors.Ran:
        """Return whether the request may have run."""
        return errors.Ran.MAY_HAVE_RUN if self.maybe_sent else errors.Ran.NOT_RUN


class Pipeline:
    """Queue requests, claim idempotency keys, choose servers, forward and retry.

    ``serve`` must run before and while requests run. ``mark_active`` is called with
    the group of servers that a request needs.
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
        """Run the tasks of streams and claimed requests until cancelled.

        Dispatches queued requests periodically, because capacity may become free
        without a load report, for example after a probe.
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(DISPATCH_INTERVAL_S)
                self.load_reported("")

    async def run(
        self, request: messages.Request
    ) -> messages.Response | messages.StreamResponse:
        """Return the complete response or a started stream; raise ``errors.Error``."""
        self._check(request)
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._count_running(request))
            if not request.idempotent and request.idempotency_key:
                return await self._run_once(request)
            return await self._run_until_revoked(request, stack)

    def load_reported(self, address: str) -> None:
        """Dispatch queued requests after a load report."""
        for fair_queue in list(self.queues.values()):
            if len(fair_queue):
                fair_queue.pump()

    def cancel_engine(self, server: servers.Server, request_id: str) -> None:
        """Cancel a request on an engine in the background."""
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
    def _count_running(self, request: messages.Request):
        self.running[request.team] += 1
        try:
            yield
        finally:
            self.running[request.team] -= 1
            if not self.running[request.team]:
                del self.running[request.team]

    async def _run_once(self, request: messages.Request) -> messages.Response:
        """Run a request under an idempotency claim, even if its caller disconnects."""
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
            outcome.append(await self._run_with_claim(request))
        except errors.Error as error:
            outcome.append(error)
        except Exception:
            logger.exception("Unexpected error in a request with an idempotency claim.")
            outcome.append(errors.Error(errors.Kind.INTERNAL))
        finally:
            done.set()

    async def _run_with_claim(self, request: messages.Request) -> messages.Response:
        claim = await self.claims.begin(request)
        if isinstance(claim, messages.Response):
            self.record(request.request_id, "replayed")
            return claim
        send_status = SendStatus()
        try:
            response = await self._run_attempts(request, send_status, None)
        except errors.Error as error:
            await self.claims.fail(claim, error.ran)
            raise
        except BaseException:
            await self.claims.fail(claim, send_status.ran)
            raise
        await self.claims.finish(claim, response)
        return response

    async def _run_until_revoked(
        self, request: messages.Request, stack: contextlib.ExitStack
    ):
        """Run the request and cancel it if its key is revoked."""
        outcomes: list = []
        send_status = SendStatus()
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(_cancel_when, request.withdrawn, scope)
                outcomes.append(
                    await self._response_or_error(request, send_status, stack)
                )
                scope.cancel()
            if request.withdrawn.is_set():
                raise errors.Error(errors.Kind.KEY_WITHDRAWN, ran=send_status.ran)
        except BaseException:
            _cancel_streams(outcomes)
            raise
        if isinstance(outcomes[0], errors.Error):
            raise outcomes[0]
        return outcomes[0]

    async def _response_or_error(
        self, request, send_status: SendStatus, stack: contextlib.ExitStack
    ):
        try:
            return await self._run_attempts(request, send_status, stack)
        except errors.Error as error:
            return error

    async def _run_attempts(
        self,
        request: messages.Request,
        send_status: SendStatus,
        stack: contextlib.ExitStack | None,
    ) -> messages.Response | messages.StreamResponse:
        requirements = self._wanted(request)
        server = await self._wait_for_server(request, requirements)
        self.budget.deposit(self.clock.monotonic())
        tried_addresses: set[str] = set()
        number = 1
        while True:
            attempt = forward.Attempt(request, server, _attempt_id(request, number))
            self._record(request, "attempt", server=server.address, number=number)
            try:
                return await self._run_attempt(
                    attempt, requirements, send_status, stack
                )
            except forward.AttemptError as error:
                failure = error
            tried_addresses.add(server.address)
            self._record(request, "failed", reason=failure.reason, sent=failure.sent)
            server = await self._next_server(
                request, requirements, tried_addresses, failure, number
            )
            if server is None:
                return self._final_response(request, failure, send_status)
            number += 1

    async def _wait_for_server(
        self, request: messages.Request, requirements: servers.ServerRequirements
    ) -> servers.Server:
        self.mark_active(requirements.group)
        now = self.clock.monotonic()
        weight = request.contract.weight if request.contract else 1.0
        expires_at = min(request.deadline, now + self.options.queue_wait_s)
        entry = queue.Entry(request.team, weight, requirements, expires_at)
        server = await self._queue_for(requirements.group).enter(entry)
        if request.withdrawn.is_set():
            self._request_ended(server.address, requirements)
            raise errors.Error(errors.Kind.KEY_WITHDRAWN, ran=errors.Ran.NOT_RUN)
        self._record(request, "placed", waited=self.clock.monotonic() - now)
        return server

    def _queue_for(self, name: str) -> queue.FairQueue:
        fair_queue = self.queues.get(name)
        if fair_queue is None:
            fair_queue = queue.FairQueue(
                self._try_place,
                self.options.queue_length,
                self.clock,
                self._release_placement,
            )
            self.queues[name] = fair_queue
            self._drop_idle_queues()
        self.queues.move_to_end(name)
        return fair_queue

    def _drop_idle_queues(self) -> None:
        idle = [name for name, waiting in self.queues.items() if not len(waiting)]
        for name in idle[: max(0, len(self.queues) - MAX_QUEUES)]:
            del self.queues[name]

    def _try_place(self, entry: queue.Entry) -> servers.Server | None:
        server = self.router.choose(entry.requirements, require_free_slot=True)
        if server is not None:
            self.router.request_started(server.address, entry.requirements.prefix)
        return server

    def _release_placement(self, entry: queue.Entry) -> None:
        self._request_ended(entry.server.address, entry.requirements)

    def _request_ended(
        self, address: str, requirements: servers.ServerRequirements
    ) -> None:
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

    async def _run_attempt(self, attempt, requirements, send_status: SendStatus, stack):
        """Run one attempt; end its load count here unless a relay now owns it."""
        address = attempt.server.address
        is_relayed = False
        try:
            if attempt.request.streamed:
                response = await self._open_stream(attempt, requirements, stack)
                is_relayed = isinstance(response, messages.StreamResponse)
            else:
                response = await self._send(attempt)
            send_status.maybe_sent = True
            return response
        except forward.AttemptError as error:
            send_status.maybe_sent = send_status.maybe_sent or error.sent
            self._record_failure(attempt, error)
            raise
        except BaseException:
            send_status.maybe_sent = send_status.maybe_sent or attempt.maybe_sent
            self.cancel_engine(attempt.server, attempt.id)
            raise
        finally:
            if not is_relayed:
                self._request_ended(address, requirements)

    def _record_failure(
        self, attempt: forward.Attempt, error: forward.AttemptError
    ) -> None:
        if error.sent:
            self.cancel_engine(attempt.server, attempt.id)
        if error.kind is not errors.Kind.DEADLINE_EXCEEDED:
            now = self.clock.monotonic()
            address = attempt.server.address
            self.router.health.failed(address, now, refused=not error.sent)

    async def _send(self, attempt: forward.Attempt) -> messages.Response:
        opened = await self.forwarder.open(attempt)
        self._record_load(opened)
        response = await self.forwarder.finish(opened)
        self._check_status(attempt, response)
        self.router.health.succeeded(attempt.server.address)
        return response

    async def _open_stream(self, attempt, requirements, stack):
        opened = await self.forwarder.open(attempt)
        self._record_load(opened)
        if opened.response.status_code != 200:
            response = await self.forwarder.finish(opened)
            self._check_status(attempt, response)
            return response
        relay = streams.Relay(self.relay_context, opened, requirements)
        send, receive = trio.open_memory_channel[bytes](0)
        response = messages.StreamResponse(
            status=200,
            headers=headers.for_caller(opened.response.headers.multi_items()),
            server=attempt.server.address,
            chunks=receive,
        )
        running_count = stack.pop_all()
        self.nursery.start_soon(
            self._relay, relay, send, response.scope, running_count, requirements
        )
        return response

    async def _relay(self, relay, send, scope, running_count, requirements) -> None:
        try:
            with running_count:
                await relay.run(send, scope)
        except Exception:
            logger.exception("Unexpected error while relaying a stream.")
        if requirements.group in self.queues:
            self.queues[requirements.group].pump()

    def _record_load(self, opened: forward.OpenResponse) -> None:
        text = opened.response.headers.get(headers.LOAD)
        if text:
            address = opened.attempt.server.address
            self.router.loads.record_piggybacked(address, text, self.clock.monotonic())

    def _check_status(
        self, attempt: forward.Attempt, response: messages.Response
    ) -> None:
        """Raise ``AttemptError`` for a retryable status of an idempotent request."""
        if response.status not in RETRY_STATUSES or not attempt.request.idempotent:
            return
        raise forward.AttemptError(
            errors.Kind.BACKEND_SERVER_ERROR,
            f"status {response.status}",
            response=response,
        )

    async def _next_server(
        self, request, requirements, tried_addresses, failure, number: int
    ):
        """Return the server for a retry, or None if the request must not be retried."""
        if number >= self.options.max_attempts:
            return None
        if failure.kind is errors.Kind.DEADLINE_EXCEEDED:
            return None
        if failure.sent and not self._may_repeat(request):
            return None
        delay_s = retries.delay(number, self.rng)
        if self.clock.monotonic() + delay_s >= request.deadline:
            return None
        await trio.sleep(delay_s)
        # With no untried server left, retry on one that failed before.
        for exclude in (tried_addresses, ()):
            with contextlib.suppress(errors.Error):
                server = self.router.choose(requirements, exclude)
                self.router.request_started(server.address, requirements.prefix)
                return server
        return None

    def _may_repeat(self, request: messages.Request) -> bool:
        return request.idempotent and self.budget.take(self.clock.monotonic())

    def _final_response(
        self, request, failure, send_status: SendStatus
    ) -> messages.Response:
        if failure.response is not None and not request.model:
            return failure.response
        kind = failure.kind
        if send_status.maybe_sent and not request.idempotent:
            kind = errors.Kind.OUTCOME_UNKNOWN
        raise errors.Error(
            kind,
            f"Last failure: {failure.reason}.",
            ran=send_status.ran,
            retry_after_s=RETRY_AFTER_S,
        )

    def _record(self, request: messages.Request, event: str, **fields) -> None:
        self.record(request.request_id, event, **fields)

    async def _cancel(self, server: servers.Server, request_id: str) -> None:
        with contextlib.suppress(engines.ControlError):
            await self.engines.cancel(server.address, request_id)


def _cancel_streams(outcomes: list) -> None:
    """Cancel streams that were started but cannot be returned to the caller."""
    for outcome in outcomes:
        if isinstance(outcome, messages.StreamResponse):
            outcome.cancel()


async def _cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


def _attempt_id(request: messages.Request, number: int) -> str:
    """Return an id unique to the attempt, so that late responses can be rejected."""
    return request.request_id if number == 1 else f"{request.request_id}.{number}"
