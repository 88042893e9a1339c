"""Serve HTTP/1.1 to callers, the load balancer and peers."""

import collections.abc
import contextlib
import json
import logging
import math

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import forwarder, http1, messages, model, network, shutdown
from turmerictally.entry import trace as traces
from turmerictally.scheduling import memory_budget

logger = logging.getLogger(__name__)

# Time to read what a caller still sends before its connection is closed: with unread
# bytes, closing would reset it and the last response could be lost.
LINGER_S = 0.5
FINAL_ACCEPT_S = 0.05  # to accept connections that the kernel completed before the stop
# A new connection doesn't count as idle for this long: its first request is on the way.
FIRST_BYTES_S = 0.3
MAX_REQUEST_LINE_BYTES = 1024  # in addition to the limit of the headers
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MEMORY_RETRY_AFTER_S = 0.3  # about half of a request's typical service time
INTERNAL_ERROR = "internal error"  # reason of the refusal after an unexpected error
STOP_RETRY_AFTER_S = 0.1  # for callers whose request was not read before a stop
MAX_PIPELINED_READS = 4  # of bytes that follow a request still being handled


class CallerDisconnectedError(Exception):
    """Report that the caller closed the connection."""


class InvalidRequestError(Exception):
    """Report a request that is refused before it reaches the handler."""

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
    """Hold one request and write its response; a ``forwarder.ResponseWriter``.

    ``received_at`` is the monotonic time at which the request was complete.
    ``pending_head`` is sent with the first part of the body. ``until_close`` is whether
    only the connection's end tells that of the body. ``reservation`` counts the
    memory held for the exchange. A write that still waits at ``stall_deadline``, on
    trio's clock, counts as stalled.
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
    pending_head: bytes = b""
    chunked: bool = False
    until_close: bool = False
    bodiless: bool = False
    started: bool = False
    finished: bool = False
    aborted: bool = False
    status: int = 0
    reservation: memory_budget.Reservation | None = None
    stall_deadline: float = math.inf
    handler_scope: trio.CancelScope | None = None
    watch_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    watch_ended: trio.Event = attrs.field(factory=trio.Event)

    async def start(
        self, status: int, headers: messages.Headers, length: int | None
    ) -> None:
        """Send the head."""
        all_headers = list(headers)
        self.bodiless = self.method == b"HEAD" or status in http1.BODILESS_STATUSES
        unknown_length = length is None and status not in http1.BODILESS_STATUSES
        self.chunked = unknown_length and self.version != b"1.0"
        self.until_close = unknown_length and not self.chunked
        if length is not None:
            all_headers.append((b"Content-Length", b"%d" % length))
        elif self.chunked:
            all_headers.append((b"Transfer-Encoding", b"chunked"))
        if self.close_after:
            all_headers.append((b"Connection", b"close"))
        self.pending_head = http1.write_response_head(status, all_headers)
        self.started = True
        self.status = status

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if len(data) <= memory_budget.CHUNK_BYTES:
            await self._write_part(data)
            return
        if self.reservation is not None:
            # Released below, or with the reservation when the exchange ends.
            self.reservation.reserve(len(data))
        view = memoryview(data)
        for start in range(0, len(data), memory_budget.CHUNK_BYTES):
            await self._write_part(view[start : start + memory_budget.CHUNK_BYTES])
        if self.reservation is not None:
            self.reservation.reserve(-len(data))

    async def _write_part(self, data: bytes | memoryview) -> None:
        if self.chunked and data:
            data = http1.write_chunk(data)
        await self._write(data)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body and complete the response."""
        if self.chunked:
            data = http1.write_chunk(data) if data else b""
            data += http1.LAST_CHUNK
        await self._write(data)
        self.finished = True

    def abort(self) -> None:
        """Truncate the response; its connection is closed."""
        self.aborted = True

    async def detach(self) -> network.Stream:
        """Return the connection for other use; it is closed when the handler ends.

        What it has received since the request is in the reader's buffer.
        """
        self.watch_scope.cancel()
        await self.watch_ended.wait()
        return self.stream

    async def refuse(
        self,
        refusal: forwarder.Refusal,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Send an error response of this host's own."""
        body = json.dumps({"error": refusal.name.lower(), "reason": reason}).encode()
        headers = [(b"Content-Type", b"application/json")]
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        await self.reply(refusal.value, body, headers)

    async def fail(
        self,
        refusal: forwarder.Refusal,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Refuse the request, or truncate the response if a part of it was sent."""
        if self.started and not self.pending_head:
            self.abort()
            return
        await self.refuse(refusal, reason, retry_after_s)

    async def reply(
        self,
        status: int,
        body: bytes = b"",
        headers: messages.Headers | tuple = (),
    ) -> None:
        """Send a complete response with a short body."""
        await self.start(status, list(headers), len(body))
        await self.finish(body)

    async def reply_json(self, status: int, body: object) -> None:
        """Send a complete response with a JSON body."""
        data = json.dumps(body, separators=(",", ":")).encode()
        await self.reply(status, data, [(b"Content-Type", b"application/json")])

    async def _write(self, data: bytes) -> None:
        if self.bodiless:
            data = b""
        data, self.pending_head = self.pending_head + data, b""
        if data:
            self.stall_deadline = trio.current_time() + memory_budget.STALL_TIMEOUT_S
            try:
                await self.stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise CallerDisconnectedError from error
            self.stall_deadline = math.inf


Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


@attrs.define(eq=False)
class HttpServer:
    """Accept connections on one address and pass each request to ``handle``.

    ``limits`` is called for each request. After ``start_draining`` each response closes
    its connection; ``close_idle`` then closes those that wait for a request.
    """

    network: network.Network
    address: str
    handle: Handler
    limits: collections.abc.Callable[[], model.CallerLimits]
    clock: clocks.Clock
    max_connections: int
    trace: traces.Trace
    memory: memory_budget.MemoryBudget = attrs.field(factory=memory_budget.MemoryBudget)
    exchanges: set[Exchange] = attrs.Factory(set)
    draining: bool = False
    accept_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    open_connections: int = 0
    active_requests: int = 0
    idle_scopes: set[trio.CancelScope] = attrs.Factory(set)
    reading_scopes: set[trio.CancelScope] = attrs.Factory(set)
    refusing_unread: bool = False

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listener = await self.network.listen(self.address)
        try:
            async with trio.open_nursery() as nursery:
                task_status.started(listener.address)
                with self.accept_scope:
                    await self._accept(listener, nursery)
                # Closing the listener would reset connections not yet accepted.
                with trio.move_on_after(FINAL_ACCEPT_S):
                    await self._accept(listener, nursery)
                listener.close()
        finally:
            listener.close()

    async def _accept(self, listener: network.Listener, nursery: trio.Nursery) -> None:
        while True:
            stream = await listener.accept()
            if self.open_connections >= self.max_connections:
                logger.warning(
                    "Refused a connection: %d are open.", self.open_connections
                )
                stream.close()
                continue
            self.open_connections += 1
            nursery.start_soon(self._serve, stream)

    def start_draining(self) -> None:
        """Close each connection after the next response that begins."""
        self.draining = True
        for exchange in self.exchanges:
            exchange.close_after = exchange.close_after or not exchange.started

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        self.accept_scope.cancel()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self.idle_scopes):
            scope.cancel()

    def refuse_unread(self) -> None:
        """Refuse requests that have not arrived whole, from now on."""
        self.refusing_unread = True
        for scope in list(self.reading_scopes):
            scope.cancel()

    def close_stalled(self) -> None:
        """Close the connections of callers that stopped reading their responses."""
        now = trio.current_time()
        for exchange in [each for each in self.exchanges if now >= each.stall_deadline]:
            self.trace.emit(
                "caller_stalled",
                status=exchange.status,
                held_bytes=exchange.reservation.reserved_bytes
                if exchange.reservation
                else 0,
                stalled_s=memory_budget.STALL_TIMEOUT_S,
                outcome="closed",
            )
            exchange.abort()
            exchange.handler_scope.cancel()

    async def _serve(self, stream: network.Stream) -> None:
        linger = False
        try:
            linger = await self._serve_requests(stream)
        except (
            CallerDisconnectedError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            # The caller closed or reset the connection.
            return
        except Exception:
            logger.exception("Unexpected error on a connection.")
        finally:
            try:
                if linger:
                    await _linger(stream)
            finally:
                stream.close()
                self.open_connections -= 1

    async def _serve_requests(self, stream: network.Stream) -> bool:
        """Serve consecutive requests; return whether to linger before closing."""
        limits = self.limits()
        reader = http1.Reader(limits.max_header_bytes + MAX_REQUEST_LINE_BYTES, False)
        had_request = False
        reservation = self.memory.reservation()
        while True:
            exchange = None
            try:
                exchange = await self._read_request(
                    stream, reader, reservation, had_request=had_request
                )
            except InvalidRequestError as error:
                reservation.release()
                exchange = Exchange(b"", b"", [], b"", 0.0, stream, reader, True)
                await exchange.refuse(error.refusal, str(error), error.retry_after_s)
                return True
            except BaseException:
                reservation.release()
                raise
            if exchange is None:
                return False
            self.active_requests += 1
            try:
                await self._handle(exchange)
            finally:
                self.active_requests -= 1
                reservation.release()
                if exchange.until_close and not exchange.finished:
                    # An orderly end would pass for that of the body.
                    stream.reset()
            if exchange.aborted or not exchange.finished:
                return False
            if exchange.close_after:
                return True
            had_request = True

    async def _read_request(
        self,
        stream: network.Stream,
        reader: http1.Reader,
        reservation: memory_budget.Reservation,
        *,
        had_request: bool,
    ) -> Exchange | None:
        """Return the next request, or None if the connection ended without one.

        ``had_request`` is whether the connection has had a request before.
        """
        data = b""
        if not reader.buffer:
            idle = had_request
            if not had_request:
                with trio.move_on_after(FIRST_BYTES_S) as first_bytes_scope:
                    data = await stream.receive_some()
                idle = first_bytes_scope.cancelled_caught
            if idle:
                data = await self._wait_for_request(stream)
            if not data:
                return None
        limits = self.limits()
        reader.max_head_bytes = limits.max_header_bytes + MAX_REQUEST_LINE_BYTES
        with trio.move_on_after(limits.header_timeout_s) as read_scope:
            if data:
                reader.feed(data)
            self.reading_scopes.add(read_scope)
            if self.refusing_unread:
                read_scope.cancel()
            try:
                request = await self._read_head(stream, reader)
                read_scope.deadline = trio.current_time() + limits.idle_timeout_s
                max_bytes = limits.max_body_bytes
                body = await self._read_body(
                    stream, reader, request, max_bytes, reservation
                )
            finally:
                self.reading_scopes.discard(read_scope)
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
                reservation=reservation,
            )
        if self.refusing_unread:
            raise InvalidRequestError(
                forwarder.Refusal.UNAVAILABLE, shutdown.REASON, STOP_RETRY_AFTER_S
            )
        raise InvalidRequestError(forwarder.Refusal.TIMEOUT, "request not read in time")

    async def _wait_for_request(self, stream: network.Stream) -> bytes:
        """Return the first bytes of a request, empty if the connection is to close.

        The idle time-out may change meanwhile.
        """
        idle_since = trio.current_time()
        while True:
            idle_scope = trio.CancelScope(deadline=self._idle_deadline(idle_since))
            self.idle_scopes.add(idle_scope)
            try:
                with idle_scope:
                    return await stream.receive_some()
            finally:
                self.idle_scopes.discard(idle_scope)
            if not stream.is_idle():
                # A request arrived just as the connection was about to be closed.
                return await stream.receive_some()
            timed_out = trio.current_time() >= idle_scope.deadline
            if not timed_out or self._idle_deadline(idle_since) <= idle_scope.deadline:
                return b""

    def _idle_deadline(self, idle_since: float) -> float:
        return idle_since + self.limits().idle_timeout_s

    async def _read_head(
        self, stream: network.Stream, reader: http1.Reader
    ) -> http1.Head:
        while True:
            try:
                head = reader.head()
            except http1.ProtocolError as error:
                raise _map_error(reader, error) from error
            if head is not None:
                return head
            reader.feed(await stream.receive_some())

    async def _read_body(
        self,
        stream: network.Stream,
        reader: http1.Reader,
        request: http1.Head,
        max_bytes: int,
        reservation: memory_budget.Reservation,
    ) -> bytes:
        if request.length is not None and request.length > max_bytes:
            raise InvalidRequestError(forwarder.Refusal.TOO_LARGE, "body too large")
        if request.length is not None:
            self._reserve(reservation, request.length)
        expected = request.values.get(b"expect", b"").lower()
        if expected == b"100-continue" and not reader.complete and not reader.buffer:
            await stream.send_all(CONTINUE_RESPONSE)
        parts = []
        size = 0
        while not reader.complete:
            try:
                data = reader.body()
            except http1.ProtocolError as error:
                raise _map_error(reader, error) from error
            size += len(data)
            if size > max_bytes:
                raise InvalidRequestError(forwarder.Refusal.TOO_LARGE, "body too large")
            if size > reservation.reserved_bytes:
                self._reserve(reservation, size - reservation.reserved_bytes)
            if data:
                parts.append(data)
            elif not reader.complete:
                reader.feed(await stream.receive_some())
        return b"".join(parts)

    def _reserve(self, reservation: memory_budget.Reservation, size: int) -> None:
        """Reserve memory for a body before it is read, or refuse the request."""
        if reservation.try_reserve(size):
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
        """Run the handler, and cancel it if the caller disconnects."""
        self.exchanges.add(exchange)
        try:
            async with trio.open_nursery() as nursery:
                exchange.handler_scope = nursery.cancel_scope
                nursery.start_soon(
                    self._watch_for_disconnect, exchange, nursery.cancel_scope
                )
                # The response could not be written: the caller is gone.
                with contextlib.suppress(CallerDisconnectedError):
                    await self._respond(exchange)
                nursery.cancel_scope.cancel()
        finally:
            self.exchanges.discard(exchange)

    async def _respond(self, exchange: Exchange) -> None:
        """Run the handler; respond also if it raises an unexpected error."""
        try:
            await self.handle(exchange)
        except CallerDisconnectedError:
            raise
        except Exception:
            logger.exception("Unexpected error in a request handler.")
            if not exchange.finished:
                # What was done before the error is unknown.
                await exchange.fail(forwarder.Refusal.BROKEN, INTERNAL_ERROR)

    async def _watch_for_disconnect(
        self, exchange: Exchange, scope: trio.CancelScope
    ) -> None:
        with exchange.watch_scope:
            for _ in range(MAX_PIPELINED_READS):
                try:
                    data = await exchange.stream.receive_some()
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    exchange.abort()
                    scope.cancel()
                    break
                exchange.reader.feed(data)
        exchange.watch_ended.set()


def _map_error(reader: http1.Reader, error: http1.ProtocolError) -> Exception:
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
