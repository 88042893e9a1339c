"""Relay streams with bounded memory, and resume them after interruptions."""

import collections.abc
import logging
import random

import attrs
import httpx
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.online import events, forward, messages, retries
from turmerictally.routing import router, servers

logger = logging.getLogger(__name__)

# Share of the target gap between tokens for which events are coalesced.
COALESCE_RATIO = 0.5
# Time in which a slow caller must accept the final error event.
LAST_EVENT_TIMEOUT_S = 1.0


class Buffer:
    """Buffer bytes for the caller up to a limit, and return them in one chunk."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parts: list[bytes] = []
        self.size = 0
        self.closed = False
        self.changed = trio.Event()

    async def put(self, data: bytes) -> None:
        """Append bytes; wait while the buffer is full (backpressure)."""
        while self.size >= self.limit:
            await self.changed.wait()
        self.parts.append(data)
        self.size += len(data)
        self._notify()

    def close(self, last: bytes = b"") -> None:
        """Close the buffer; ``last`` is appended even if the buffer is full."""
        if last:
            self.parts.append(last)
        self.closed = True
        self._notify()

    async def take(self) -> bytes:
        """Return all buffered bytes, or b"" once the buffer is closed and empty."""
        while not self.parts and not self.closed:
            await self.changed.wait()
        data = b"".join(self.parts)
        self.parts.clear()
        self.size = 0
        self._notify()
        return data

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


@attrs.define(kw_only=True)
class RelayContext:
    """Hold the collaborators shared by all relays."""

    forwarder: forward.Forwarder
    router: router.Router
    budget: retries.Budget
    options: settings.Online
    clock: clocks.Clock
    rng: random.Random
    cancel: collections.abc.Callable[[servers.Server, str], None]
    record: messages.Record = messages.ignore


class Relay:
    """Relay one stream from the engine to the caller.

    ``opened`` must have status 200, and its request must be counted in the server's
    load; the relay ends that count.
    """

    def __init__(
        self,
        context: RelayContext,
        opened: forward.OpenResponse,
        requirements: servers.ServerRequirements,
    ) -> None:
        self.context = context
        self.opened = opened
        self.request = opened.attempt.request
        self.requirements = requirements
        self.progress = events.Progress(opened.attempt.id)
        self.buffer = Buffer(context.options.stream_buffer_bytes)
        self.sent_at = context.clock.monotonic()
        self.excluded: set[str] = set()
        self.counted_address: str | None = opened.attempt.server.address
        self.error: errors.Error | None = None
        self.is_finished = False

    async def run(
        self, send: trio.MemorySendChannel[bytes], scope: trio.CancelScope
    ) -> None:
        """Relay until the end; cancel the engine's work if the stream is incomplete."""
        try:
            with scope, send:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write, send, scope)
                    await self._read_until_closed()
        finally:
            await self._finish()

    async def _finish(self) -> None:
        """Close the engine's response and end the load count; idempotent."""
        if self.is_finished:
            return
        self.is_finished = True
        await forward.close(self.opened)
        self._end_load_count()
        if not self.progress.done:
            attempt = self.opened.attempt
            self.context.cancel(attempt.server, attempt.id)
        code = self.error.kind.value if self.error else ""
        self.context.record(
            self.request.request_id,
            "stream_end",
            whole=self.progress.done,
            tokens=self.progress.next,
            error=code,
        )

    async def _write(
        self, send: trio.MemorySendChannel[bytes], scope: trio.CancelScope
    ) -> None:
        coalesce_s = self.context.options.token_gap_target_s * COALESCE_RATIO
        while data := await self.buffer.take():
            timeout_s = self.context.options.slow_reader_timeout_s
            if self.error is not None:
                timeout_s = min(timeout_s, LAST_EVENT_TIMEOUT_S)
            with trio.move_on_after(timeout_s) as timeout_scope:
                try:
                    await send.send(data)
                except trio.BrokenResourceError:
                    scope.cancel()
                    return
            if timeout_scope.cancelled_caught:
                logger.info("The caller reads too slowly; closing its stream.")
                scope.cancel()
                return
            if not self.buffer.closed:
                await trio.sleep(coalesce_s)

    async def _read_until_closed(self) -> None:
        """Read until the stream ends, its deadline passes or its key is revoked."""
        last = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_key, nursery.cancel_scope)
            nursery.start_soon(self._watch_deadline, nursery.cancel_scope)
            try:
                await self._read()
            except errors.Error as error:
                self.error = error
            nursery.cancel_scope.cancel()
        if self.error is not None:
            last = events.error_event(self.error)
        self.buffer.close(last)
        await self._finish()

    async def _watch_key(self, scope: trio.CancelScope) -> None:
        await self.request.withdrawn.wait()
        self.error = errors.Error(errors.Kind.KEY_WITHDRAWN)
        scope.cancel()

    async def _watch_deadline(self, scope: trio.CancelScope) -> None:
        remaining_s = self.request.deadline - self.context.clock.monotonic()
        await trio.sleep(max(0.0, remaining_s))
        self.error = errors.Error(errors.Kind.DEADLINE_EXCEEDED)
        scope.cancel()

    async def _read(self) -> None:
        resumes = 0
        while True:
            try:
                await self._read_response()
                self.context.router.health.succeeded(self.opened.attempt.server.address)
                return
            except (events.StreamInterruptedError, httpx.HTTPError) as error:
                reason = getattr(error, "reason", type(error).__name__)
            resumes += 1
            await self._resume(reason, resumes)

    async def _read_response(self) -> None:
        """Deliver events until the end marker; raise if the response ends before."""
        parser = events.Parser()
        async for data in self.opened.response.aiter_raw():
            for event in parser.feed(data):
                await self._deliver(event)
                if self.progress.done:
                    return
        raise events.StreamInterruptedError("stream without its end")

    async def _deliver(self, event: bytes) -> None:
        first = self.progress.next == 0
        accepted = self.progress.accept(event)
        if accepted is None:
            return
        if first and self.progress.next:
            self._observe_first_token()
        await self.buffer.put(accepted)

    def _observe_first_token(self) -> None:
        now = self.context.clock.monotonic()
        address = self.opened.attempt.server.address
        time_to_first_token_s = now - self.sent_at
        self.context.router.loads.observe_first_token(
            address, self.requirements.group, time_to_first_token_s, now
        )

    async def _resume(self, reason: str, number: int) -> None:
        """Resume on the same server, else on another; raise if neither is possible."""
        old = self.opened.attempt
        now = self.context.clock.monotonic()
        self.context.router.health.failed(old.server.address, now)
        await forward.close(self.opened)
        self._end_load_count()
        self.context.record(
            self.request.request_id, "stream_cut", reason=reason, at=self.progress.next
        )
        while number <= self.context.options.max_attempts:
            self._check_resumable(reason)
            if await self._reopen(number):
                return
            number += 1
        raise self._incomplete(reason)

    def _check_resumable(self, reason: str) -> None:
        may_restart = not self.progress.delivered and self.request.idempotent
        if not (self.progress.resumable or may_restart):
            raise self._incomplete(reason)
        if not self.context.budget.take(self.context.clock.monotonic()):
            raise self._incomplete(f"{reason}; the retry budget is spent")

    def _incomplete(self, reason: str) -> errors.Error:
        return errors.Error(
            errors.Kind.ANSWER_INCOMPLETE,
            f"It ends after {self.progress.next} tokens: {reason}.",
            retry_after_s=1.0,
        )

    async def _reopen(self, number: int) -> bool:
        attempt = self._next_attempt(number)
        self._start_load_count(attempt.server.address)
        try:
            opened = await self.context.forwarder.open(attempt)
        except forward.AttemptError as error:
            self._record_failure(attempt, refused=not error.sent)
            return False
        if opened.response.status_code != 200:
            await forward.close(opened)
            self._record_failure(attempt, refused=None)
            return False
        self.opened = opened
        return True

    def _next_attempt(self, number: int) -> forward.Attempt:
        old = self.opened.attempt
        if number == 1 and self._may_resume_on(old.server.address):
            return forward.Attempt(
                self.request, old.server, old.id, resume_offset=self.progress.next
            )
        if not self.request.idempotent:
            raise self._incomplete("the server no longer has it")
        self.context.cancel(old.server, old.id)
        self.excluded.add(old.server.address)
        server = self._other_server()
        prefix = list(self.progress.tokens) if self.progress.next else None
        return forward.Attempt(self.request, server, old.id, prefix=prefix)

    def _may_resume_on(self, address: str) -> bool:
        chooser = self.context.router
        now = self.context.clock.monotonic()
        return address in chooser.servers.by_address and chooser.health.allows(
            address, now
        )

    def _other_server(self) -> servers.Server:
        try:
            return self.context.router.choose(self.requirements, self.excluded)
        except errors.Error:
            raise self._incomplete("no other backend server is available") from None

    def _record_failure(self, attempt: forward.Attempt, refused: bool | None) -> None:
        self._end_load_count()
        address = attempt.server.address
        if attempt.prefix is not None:
            self.excluded.add(address)
            self.context.cancel(attempt.server, attempt.id)
        if refused is not None:
            now = self.context.clock.monotonic()
            self.context.router.health.failed(address, now, refused=refused)

    def _start_load_count(self, address: str) -> None:
        self.context.router.request_started(address)
        self.counted_address = address

    def _end_load_count(self) -> None:
        if self.counted_address is not None:
            self.context.router.request_ended(self.counted_address)
            self.counted_address = None
