"""Relay streams with bounded memory, and resume them when they are cut."""

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

# Part of the gap between tokens that coalescing may use.
COALESCE_RATIO = 0.5
# Time for a slow caller to take the last error event, in seconds.
LAST_EVENT_S = 1.0


class Buffer:
    """Hold bytes for the caller up to a bound, and hand them out together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parts: list[bytes] = []
        self.size = 0
        self.closed = False
        self.changed = trio.Event()

    async def put(self, data: bytes) -> None:
        """Add bytes; wait while the buffer is full."""
        while self.size >= self.limit:
            await self.changed.wait()
        self.parts.append(data)
        self.size += len(data)
        self._notify()

    def close(self, last: bytes = b"") -> None:
        """End the buffer, with a last event that ignores the bound."""
        if last:
            self.parts.append(last)
        self.closed = True
        self._notify()

    async def take(self) -> bytes:
        """Return everything held, or b"" after the end."""
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
    """Bundle what relays need."""

    forwarder: forward.Forwarder
    router: router.Router
    budget: retries.Budget
    options: settings.Online
    clock: clocks.Clock
    rng: random.Random
    cancel: collections.abc.Callable[[servers.Server, str], None]
    record: messages.Record = messages.ignore


class Relay:
    """Carry one stream from the engine to the caller.

    ``opened`` must have answered 200 and its server's load must be counted; the
    relay ends that count.
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
        self.counted: str | None = opened.attempt.server.address
        self.error: errors.Error | None = None
        self.ended = False

    async def run(
        self, send: trio.MemorySendChannel[bytes], scope: trio.CancelScope
    ) -> None:
        """Relay until the end; cancel the engine's work unless it is whole."""
        try:
            with scope, send:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write, send, scope)
                    await self._read_guarded()
        finally:
            await self._finish()

    async def _finish(self) -> None:
        """Let go of the engine; harmless when repeated."""
        if self.ended:
            return
        self.ended = True
        await forward.close(self.opened)
        self._uncount()
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
        pause = self.context.options.token_gap_target_s * COALESCE_RATIO
        while data := await self.buffer.take():
            bound = self.context.options.slow_reader_timeout_s
            if self.error is not None:
                bound = min(bound, LAST_EVENT_S)
            with trio.move_on_after(bound) as wait:
                try:
                    await send.send(data)
                except trio.BrokenResourceError:
                    scope.cancel()
                    return
            if wait.cancelled_caught:
                logger.info("A caller reads too slowly; its stream ends.")
                scope.cancel()
                return
            if not self.buffer.closed:
                await trio.sleep(pause)

    async def _read_guarded(self) -> None:
        """Read to the end, to the deadline or to the key's withdrawal."""
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
        left = self.request.deadline - self.context.clock.monotonic()
        await trio.sleep(max(0.0, left))
        self.error = errors.Error(errors.Kind.DEADLINE_EXCEEDED)
        scope.cancel()

    async def _read(self) -> None:
        resumes = 0
        while True:
            try:
                await self._read_one()
                self.context.router.health.succeeded(self.opened.attempt.server.address)
                return
            except (events.StreamInterruptedError, httpx.HTTPError) as error:
                reason = getattr(error, "reason", type(error).__name__)
            resumes += 1
            await self._resume(reason, resumes)

    async def _read_one(self) -> None:
        """Deliver events until the terminal marker, or raise at a cut."""
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
        waited = now - self.sent_at
        self.context.router.loads.observe_first_token(
            address, self.requirements.group, waited, now
        )

    async def _resume(self, reason: str, number: int) -> None:
        """Continue on the same server, else on another; raise when neither works."""
        old = self.opened.attempt
        now = self.context.clock.monotonic()
        self.context.router.health.failed(old.server.address, now)
        await forward.close(self.opened)
        self._uncount()
        self.context.record(
            self.request.request_id, "stream_cut", reason=reason, at=self.progress.next
        )
        while number <= self.context.options.max_attempts:
            self._check_resumable(reason)
            if await self._reopen(number):
                return
            number += 1
        raise self._not_whole(reason)

    def _check_resumable(self, reason: str) -> None:
        fresh = not self.progress.delivered and self.request.idempotent
        if not (self.progress.resumable or fresh):
            raise self._not_whole(reason)
        if not self.context.budget.take(self.context.clock.monotonic()):
            raise self._not_whole(f"{reason}; the retry budget is spent")

    def _not_whole(self, reason: str) -> errors.Error:
        return errors.Error(
            errors.Kind.ANSWER_INCOMPLETE,
            f"It ends after {self.progress.next} tokens: {reason}.",
            retry_after_s=1.0,
        )

    async def _reopen(self, number: int) -> bool:
        attempt = self._next_attempt(number)
        self._count(attempt.server.address)
        try:
            opened = await self.context.forwarder.open(attempt)
        except forward.AttemptError as error:
            self._failed(attempt, refused=not error.sent)
            return False
        if opened.response.status_code != 200:
            await forward.close(opened)
            self._failed(attempt, refused=None)
            return False
        self.opened = opened
        return True

    def _next_attempt(self, number: int) -> forward.Attempt:
        old = self.opened.attempt
        if number == 1 and self._may_stay(old.server.address):
            return forward.Attempt(
                self.request, old.server, old.id, resume_offset=self.progress.next
            )
        if not self.request.idempotent:
            raise self._not_whole("the server no longer has it")
        self.context.cancel(old.server, old.id)
        self.excluded.add(old.server.address)
        server = self._other_server()
        prefix = list(self.progress.tokens) if self.progress.next else None
        return forward.Attempt(self.request, server, old.id, prefix=prefix)

    def _may_stay(self, address: str) -> bool:
        chooser = self.context.router
        now = self.context.clock.monotonic()
        return address in chooser.servers.by_address and chooser.health.allows(
            address, now
        )

    def _other_server(self) -> servers.Server:
        try:
            return self.context.router.choose(self.requirements, self.excluded)
        except errors.Error:
            raise self._not_whole("no other backend server is available") from None

    def _failed(self, attempt: forward.Attempt, refused: bool | None) -> None:
        self._uncount()
        address = attempt.server.address
        if attempt.prefix is not None:
            self.excluded.add(address)
            self.context.cancel(attempt.server, attempt.id)
        if refused is not None:
            now = self.context.clock.monotonic()
            self.context.router.health.failed(address, now, refused=refused)

    def _count(self, address: str) -> None:
        self.context.router.request_started(address)
        self.counted = address

    def _uncount(self) -> None:
        if self.counted is not None:
            self.context.router.request_ended(self.counted)
            self.counted = None
