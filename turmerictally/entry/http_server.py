"""Serve HTTP/1.1 connections of callers, of the balancer and of peers."""

import collections.abc
import contextlib
import json
import logging
import math

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import forwarder, http1, messages, model, network
from turmerictally.entry import trace as traces
from turmerictally.scheduling import memory_budget

logger = logging.getLogger(__name__)

# Time to read what a caller still sends before its connection is closed, so that
# the last answer is not lost with a reset.
LINGER_S = 0.5
LAST_ACCEPTS_S = 0.05  # for connections that the system took before the stop
# A new connection is not idle before this: its first request is on the way.
FIRST_BYTES_S = 0.3
REQUEST_LINE_BYTES = 1024  # beyond the limit of the headers
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MEMORY_RETRY_AFTER_S = 0.3  # about half of a request's usual service time
MAX_CHUNK_READS = 4  # reads of bytes that follow a request still being answered


class CallerDisconnectedError(Exception):
    """Report that the caller closed the connection."""


class InvalidRequestError(Exception):
    """Report a request that is refused before it is handled."""

    def __init__(
        self,
        refusal: forwarder.Refusal,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        self.refusal = refusal
        self.retry_after_s = retry_after_s
        super().__init__(reason)


@attrs.define(eq=False)
class Exchange:
    """Hold one request and write its answer; implements ``forwarder.ResponseWriter``.

    ``arrived`` is the monotonic time at which the request was read whole. The head is
    sent with the first part of the body. ``share`` counts what is held for it, and
    ``stalled_at`` is the time on trio's clock at which the write that waits now counts
    as stalled.
    """

    method: bytes
    target: bytes
    headers: messages.Headers
    body: bytes
    received_at: float
    stream: network.Stream
    reader: http1.Reader
    close_after: bool = False
    version: bytes = b"1.1"
    head: bytes = b""
    chunked: bool = False
    bodiless: bool = False
    started: bool = False
    finished: bool = False
    aborted: bool = False
    status: int = 0
    share: memory_budget.Reservation | None = None
    stalled_at: float = math.inf
    scope: trio.CancelScope | None = None

    async def start(
        self, status: int, headers: messages.Headers, length: int | None
    ) -> None:
        """Send the head."""
        kept = list(headers)
        self.bodiless = self.method == b"HEAD" or status in http1.BODILESS_STATUSES
        unbounded = length is None and status not in http1.BODILESS_STATUSES
        self.chunked = unbounded and self.version != b"1.0"
        if length is not None:
            kept.append((b"Content-Length", b"%d" % length))
        elif self.chunked:
            kept.append((b"Transfer-Encoding", b"chunked"))
        if self.close_after:
            kept.append((b"Connection", b"close"))
        self.head = http1.write_response_head(status, kept)
        self.started = True
        self.status = status

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if len(data) <= memory_budget.CHUNK_BYTES:
            await self._write_part(data)
            return
        if self.share is not None:
            # Given back below, or with the rest when the exchange ends.
            self.share.reserve(len(data))
        whole = memoryview(data)
        for first in range(0, len(data), memory_budget.CHUNK_BYTES):
            await self._write_part(whole[first : first + memory_budget.CHUNK_BYTES])
        if self.share is not None:
            self.share.reserve(-len(data))

    async def _write_part(self, data: bytes | memoryview) -> None:
        if self.chunked and data:
            data = http1.write_chunk(data)
        await self._write(data)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body and end a whole answer."""
        if self.chunked:
            data = http1.write_chunk(data) if data else b""
            data += http1.LAST_CHUNK
        await self._write(data)
        self.finished = True

    def abort(self) -> None:
        """End an answer that is not whole."""
        self.aborted = True

    async def refuse(
        self,
        refusal: forwarder.Refusal,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Send an answer of this host's own."""
        body = json.dumps({"error": refusal.name.lower(), "reason": reason}).encode()
        headers = [(b"Content-Type", b"application/json")]
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        await self.reply(refusal.value, body, headers)

    async def reply(
        self,
        status: int,
        body: bytes = b"",
        headers: messages.Headers | tuple = (),
    ) -> None:
        """Send a whole small answer."""
        await self.start(status, list(headers), len(body))
        await self.finish(body)

    async def reply_json(self, status: int, body: object) -> None:
        """Send a whole JSON answer."""
        data = json.dumps(body, separators=(",", ":")).encode()
        await self.reply(status, data, [(b"Content-Type", b"application/json")])

    async def _write(self, data: bytes) -> None:
        if self.bodiless:
            data = b""
        data, self.head = self.head + data, b""
        if data:
            self.stalled_at = trio.current_time() + memory_budget.STALL_TIMEOUT_S
            try:
                await self.stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise CallerDisconnectedError from error
            self.stalled_at = math.inf


Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


@attrs.define(eq=False)
class HttpServer:
    """Accept connections on one address and hand each request to ``handle``.

    ``limits`` is read anew for each request. After ``stop`` each answer closes its
    connection; ``close_idle`` then ends those that wait for a request.
    """

    network: network.Network
    address: str
    handle: Handler
    limits: collections.abc.Callable[[], model.CallerLimits]
    clock: clocks.Clock
    max_connections: int
    trace: traces.Trace
    memory: memory_budget.MemoryBudget = attrs.field(factory=memory_budget.MemoryBudget)
    running: set[Exchange] = attrs.Factory(set)
    draining: bool = False
    accepting: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    open_connections: int = 0
    active_requests: int = 0
    idle: set[trio.CancelScope] = attrs.Factory(set)

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listener = await self.network.listen(self.address)
        try:
            async with trio.open_nursery() as nursery:
                task_status.started(listener.address)
                with self.accepting:
                    await self._accept(listener, nursery)
                # Closing the listener would reset what waits to be accepted.
                with trio.move_on_after(LAST_ACCEPTS_S):
                    await self._accept(listener, nursery)
                listener.close()
        finally:
            listener.close()

    async def _accept(self, listener: network.Listener, nursery: trio.Nursery) -> None:
        while True:
            stream = await listener.accept()
            if self.open_connections >= self.max_connections:
                logger.warning("%d connections are open.", self.open_connections)
                stream.close()
                continue
            self.open_connections += 1
            nursery.start_soon(self._serve, stream)

    def start_draining(self) -> None:
        """Close each connection after its next answer."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        self.accepting.cancel()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self.idle):
            scope.cancel()

    def close_stalled(self) -> None:
        """Close the connections of callers that take nothing of their answers."""
        now = trio.current_time()
        for exchange in [each for each in self.running if now >= each.stalled_at]:
            self.trace.emit(
                "caller_stalled",
                status=exchange.status,
                held_bytes=exchange.share.reserved_bytes if exchange.share else 0,
                stalled_s=memory_budget.STALL_TIMEOUT_S,
                outcome="closed",
            )
            exchange.abort()
            exchange.scope.cancel()

    async def _serve(self, stream: network.Stream) -> None:
        linger = False
        try:
            linger = await self._requests(stream)
        except (
            CallerDisconnectedError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            # The caller closed or reset the connection; there is nobody to tell.
            return
        except Exception:
            logger.exception("A connection failed.")
        finally:
            self.open_connections -= 1
            try:
                if linger:
                    await _linger(stream)
            finally:
                stream.close()

    async def _requests(self, stream: network.Stream) -> bool:
        """Serve requests one after another; return whether to linger at the end."""
        limits = self.limits()
        reader = http1.Reader(limits.max_header_bytes + REQUEST_LINE_BYTES, False)
        used = False
        share = self.memory.reservation()
        while True:
            exchange = None
            try:
                exchange = await self._read(stream, reader, share, used=used)
            except InvalidRequestError as error:
                share.release()
                exchange = Exchange(b"", b"", [], b"", 0.0, stream, reader, True)
                await exchange.refuse(error.refusal, str(error), error.retry_after_s)
                return True
            except BaseException:
                share.release()
                raise
            if exchange is None:
                return False
            self.active_requests += 1
            try:
                await self._handle(exchange)
            finally:
                self.active_requests -= 1
                share.release()
            if exchange.aborted or not exchange.finished:
                return False
            if exchange.close_after:
                return True
            used = True

    async def _read(
        self,
        stream: network.Stream,
        reader: http1.Reader,
        share: memory_budget.Reservation,
        *,
        used: bool,
    ) -> Exchange | None:
        """Return the next request, or None when none comes.

        A connection that is ``used`` has had a request before.
        """
        limits = self.limits()
        scope = trio.CancelScope(deadline=trio.current_time() + limits.idle_timeout_s)
        data = b""
        if not reader.buffer:
            waits = used
            if not used:
                with trio.move_on_after(FIRST_BYTES_S) as opening:
                    data = await stream.receive_some()
                waits = opening.cancelled_caught
            if waits:
                self.idle.add(scope)
                with scope:
                    data = await stream.receive_some()
                self.idle.discard(scope)
            if scope.cancelled_caught and not stream.is_idle():
                # A request came at the moment at which the connection was to be closed.
                data = await stream.receive_some()
            if not data:
                return None
        with trio.move_on_after(limits.header_timeout_s) as reading:
            if data:
                reader.feed(data)
            request = await self._head(stream, reader)
            reading.deadline = trio.current_time() + limits.idle_timeout_s
            most = limits.max_body_bytes
            body = await self._body(stream, reader, request, most, share)
            return Exchange(
                method=request.method,
                target=request.target,
                headers=request.headers,
                body=body,
                received_at=self.clock.monotonic(),
                stream=stream,
                reader=reader,
                close_after=self.draining or request.closes_connection,
                version=request.version,
                share=share,
            )
        raise InvalidRequestError(forwarder.Refusal.TIMEOUT, "request not read in time")

    async def _head(self, stream: network.Stream, reader: http1.Reader) -> http1.Head:
        while True:
            try:
                head = reader.head()
            except http1.ProtocolError as error:
                raise _unacceptable(reader, error) from error
            if head is not None:
                return head
            reader.feed(await stream.receive_some())

    async def _body(
        self,
        stream: network.Stream,
        reader: http1.Reader,
        request: http1.Head,
        most: int,
        share: memory_budget.Reservation,
    ) -> bytes:
        if request.length is not None and request.length > most:
            raise InvalidRequestError(forwarder.Refusal.TOO_LARGE, "body too large")
        if request.length is not None:
            self._hold(share, request.length)
        expected = request.values.get(b"expect", b"").lower()
        if expected == b"100-continue" and not reader.complete and not reader.buffer:
            await stream.send_all(CONTINUE_RESPONSE)
        parts = []
        size = 0
        while not reader.complete:
            try:
                data = reader.body()
            except http1.ProtocolError as error:
                raise _unacceptable(reader, error) from error
            size += len(data)
            if size > most:
                raise InvalidRequestError(forwarder.Refusal.TOO_LARGE, "body too large")
            if size > share.reserved_bytes:
                self._hold(share, size - share.reserved_bytes)
            if data:
                parts.append(data)
            elif not reader.complete:
                reader.feed(await stream.receive_some())
        return b"".join(parts)

    def _hold(self, share: memory_budget.Reservation, size: int) -> None:
        """Count bytes of a body before they are read, or refuse them."""
        if share.try_reserve(size):
            return
        self.trace.emit(
            "memory_full",
            wanted_bytes=size,
            held_bytes=self.memory.reserved_bytes,
            bound_bytes=self.memory.limit_bytes,
            outcome="refused",
        )
        raise InvalidRequestError(
            forwarder.Refusal.UNAVAILABLE, "memory full", MEMORY_RETRY_AFTER_S
        )

    async def _handle(self, exchange: Exchange) -> None:
        """Run the handler; end it when the caller leaves."""
        self.running.add(exchange)
        try:
            async with trio.open_nursery() as nursery:
                exchange.scope = nursery.cancel_scope
                nursery.start_soon(self._notice_leaving, exchange, nursery.cancel_scope)
                # An answer that cannot be written has no reader any more.
                with contextlib.suppress(CallerDisconnectedError):
                    await self.handle(exchange)
                nursery.cancel_scope.cancel()
        finally:
            self.running.discard(exchange)

    async def _notice_leaving(
        self, exchange: Exchange, scope: trio.CancelScope
    ) -> None:
        for _ in range(MAX_CHUNK_READS):
            try:
                data = await exchange.stream.receive_some()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                exchange.abort()
                scope.cancel()
                return
            exchange.reader.feed(data)


def _unacceptable(reader: http1.Reader, error: http1.ProtocolError) -> Exception:
    if reader.eof:
        return CallerDisconnectedError(str(error))
    if error.too_large:
        return InvalidRequestError(forwarder.Refusal.HEADERS_TOO_LARGE, str(error))
    return InvalidRequestError(forwarder.Refusal.BAD_REQUEST, str(error))


async def _linger(stream: network.Stream) -> None:
    with trio.move_on_after(LINGER_S), contextlib.suppress(trio.BrokenResourceError):
        await stream.send_eof()
        while await stream.receive_some():
            pass
