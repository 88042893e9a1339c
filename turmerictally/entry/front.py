"""Serve HTTP/1.1 connections of callers, of the balancer and of peers."""

import collections.abc
import contextlib
import json
import logging
import math

import attrs
import h11
import trio

from turmerictally import clock as clocks
from turmerictally.entry import messages, model, network, relay
from turmerictally.entry import trace as traces
from turmerictally.scheduling import pressure

logger = logging.getLogger(__name__)

# Time to read what a caller still sends before its connection is closed, so that
# the last answer is not lost with a reset.
LINGER_S = 0.5
LAST_ACCEPTS_S = 0.05  # for connections that the system took before the stop
# A new connection is not idle before this: its first request is on the way.
FIRST_BYTES_S = 0.3
MEMORY_RETRY_AFTER_S = 0.3  # about half of a request's usual service time
MAX_CHUNK_READS = 4  # reads of bytes that follow a request still being answered


class LeftError(Exception):
    """Report that the caller closed the connection."""


class UnacceptableError(Exception):
    """Report a request that is refused before it is handled."""

    def __init__(
        self,
        refusal: relay.Refusal,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        self.refusal = refusal
        self.retry_after_s = retry_after_s
        super().__init__(reason)


@attrs.define(eq=False)
class Exchange:
    """Hold one request and write its answer; implements ``relay.Answer``.

    ``arrived`` is the monotonic time at which the request was read whole, ``share``
    counts what is held for it, and ``stalled_at`` is the time on trio's clock at which
    the write that waits now counts as stalled.
    """

    method: bytes
    target: bytes
    headers: messages.Headers
    body: bytes
    arrived: float
    stream: network.Stream
    parser: h11.Connection
    close_after: bool = False
    started: bool = False
    finished: bool = False
    aborted: bool = False
    status: int = 0
    share: pressure.Share | None = None
    stalled_at: float = math.inf
    scope: trio.CancelScope | None = None

    async def start(
        self, status: int, headers: messages.Headers, length: int | None
    ) -> None:
        """Send the head."""
        kept = list(headers)
        if length is not None:
            kept.append((b"Content-Length", b"%d" % length))
        if self.close_after:
            kept.append((b"Connection", b"close"))
        self.started = True
        self.status = status
        await self._write(h11.Response(status_code=status, headers=kept))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if len(data) <= pressure.PIECE_BYTES:
            if data:
                await self._write(h11.Data(data=data))
            return
        if self.share is not None:
            # Given back below, or with the rest when the exchange ends.
            self.share.take(len(data))
        whole = memoryview(data)
        for first in range(0, len(data), pressure.PIECE_BYTES):
            piece = whole[first : first + pressure.PIECE_BYTES]
            await self._write(h11.Data(data=piece))
        if self.share is not None:
            self.share.take(-len(data))

    async def finish(self) -> None:
        """End a whole answer."""
        await self._write(h11.EndOfMessage())
        self.finished = True

    def abort(self) -> None:
        """End an answer that is not whole."""
        self.aborted = True

    async def refuse(
        self,
        refusal: relay.Refusal,
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
        await self.send(body)
        await self.finish()

    async def reply_json(self, status: int, body: object) -> None:
        """Send a whole JSON answer."""
        data = json.dumps(body, separators=(",", ":")).encode()
        await self.reply(status, data, [(b"Content-Type", b"application/json")])

    async def _write(self, event) -> None:
        data = self.parser.send(event)
        if data:
            self.stalled_at = trio.current_time() + pressure.STALLED_S
            try:
                await self.stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise LeftError from error
            self.stalled_at = math.inf


Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


@attrs.define(eq=False)
class Front:
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
    held: pressure.Held = attrs.field(factory=pressure.Held)
    running: set[Exchange] = attrs.Factory(set)
    stopping: bool = False
    accepting: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    open: int = 0
    busy: int = 0
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
            if self.open >= self.max_connections:
                logger.warning("%d connections are open.", self.open)
                stream.close()
                continue
            self.open += 1
            nursery.start_soon(self._serve, stream)

    def stop(self) -> None:
        """Close each connection after its next answer."""
        self.stopping = True

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        self.accepting.cancel()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self.idle):
            scope.cancel()

    def end_stalled(self) -> None:
        """Close the connections of callers that take nothing of their answers."""
        now = trio.current_time()
        for exchange in [each for each in self.running if now >= each.stalled_at]:
            self.trace.emit(
                "caller_stalled",
                status=exchange.status,
                held_bytes=exchange.share.bytes if exchange.share else 0,
                stalled_s=pressure.STALLED_S,
                outcome="closed",
            )
            exchange.abort()
            exchange.scope.cancel()

    async def _serve(self, stream: network.Stream) -> None:
        linger = False
        try:
            linger = await self._requests(stream)
        except (LeftError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller closed or reset the connection; there is nobody to tell.
            return
        except Exception:
            logger.exception("A connection failed.")
        finally:
            self.open -= 1
            try:
                if linger:
                    await _linger(stream)
            finally:
                stream.close()

    async def _requests(self, stream: network.Stream) -> bool:
        """Serve requests one after another; return whether to linger at the end."""
        limits = self.limits()
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes + 1024
        )
        used = False
        share = self.held.share()
        while True:
            exchange = None
            try:
                exchange = await self._read(stream, parser, share, used=used)
            except UnacceptableError as error:
                share.close()
                exchange = Exchange(b"", b"", [], b"", 0.0, stream, parser, True)
                if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                    return True
                await exchange.refuse(error.refusal, str(error), error.retry_after_s)
                return True
            except BaseException:
                share.close()
                raise
            if exchange is None:
                return False
            self.busy += 1
            try:
                await self._handle(exchange)
            finally:
                self.busy -= 1
                share.close()
            if exchange.aborted or not exchange.finished:
                return False
            if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                return True
            parser.start_next_cycle()
            used = True

    async def _read(
        self,
        stream: network.Stream,
        parser: h11.Connection,
        share: pressure.Share,
        *,
        used: bool,
    ) -> Exchange | None:
        """Return the next request, or None when none comes.

        A connection that is ``used`` has had a request before.
        """
        limits = self.limits()
        scope = trio.CancelScope(deadline=trio.current_time() + limits.idle_timeout_s)
        data = b""
        if not parser.trailing_data[0]:
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
            if scope.cancelled_caught and not stream.is_quiet():
                # A request came at the moment at which the connection was to be closed.
                data = await stream.receive_some()
            if not data:
                return None
        with trio.move_on_after(limits.header_timeout_s) as reading:
            request = await self._head(stream, parser, data)
            reading.deadline = trio.current_time() + limits.idle_timeout_s
            most = limits.max_body_bytes
            body = await self._body(stream, parser, request, most, share)
            close = self.stopping or _wants_close(request)
            return Exchange(
                method=request.method,
                target=request.target,
                headers=request.headers.raw_items(),
                body=body,
                arrived=self.clock.monotonic(),
                stream=stream,
                parser=parser,
                close_after=close,
                share=share,
            )
        raise UnacceptableError(relay.Refusal.TIMEOUT, "request not read in time")

    async def _head(
        self, stream: network.Stream, parser: h11.Connection, data: bytes
    ) -> h11.Request:
        if data:
            parser.receive_data(data)
        event = await _next(stream, parser)
        if not isinstance(event, h11.Request):
            raise LeftError
        names = [name for name, _ in event.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise UnacceptableError(
                relay.Refusal.BAD_REQUEST, "both a length and a transfer encoding"
            )
        return event

    async def _body(
        self,
        stream: network.Stream,
        parser: h11.Connection,
        request: h11.Request,
        most: int,
        share: pressure.Share,
    ) -> bytes:
        for name, value in request.headers:
            if name != b"content-length":
                continue
            if int(value) > most:
                raise UnacceptableError(relay.Refusal.TOO_LARGE, "body too large")
            self._hold(share, int(value))
        if parser.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(parser.send(go_on))
        parts = []
        size = 0
        while True:
            event = await _next(stream, parser)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise LeftError
            size += len(event.data)
            if size > most:
                raise UnacceptableError(relay.Refusal.TOO_LARGE, "body too large")
            if size > share.bytes:
                self._hold(share, size - share.bytes)
            parts.append(bytes(event.data))

    def _hold(self, share: pressure.Share, size: int) -> None:
        """Count bytes of a body before they are read, or refuse them."""
        if share.admit(size):
            return
        self.trace.emit(
            "memory_full",
            wanted_bytes=size,
            held_bytes=self.held.bytes,
            bound_bytes=self.held.bound,
            outcome="refused",
        )
        raise UnacceptableError(
            relay.Refusal.UNAVAILABLE, "memory full", MEMORY_RETRY_AFTER_S
        )

    async def _handle(self, exchange: Exchange) -> None:
        """Run the handler; end it when the caller leaves."""
        self.running.add(exchange)
        try:
            async with trio.open_nursery() as nursery:
                exchange.scope = nursery.cancel_scope
                nursery.start_soon(self._notice_leaving, exchange, nursery.cancel_scope)
                # An answer that cannot be written has no reader any more.
                with contextlib.suppress(LeftError):
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
            with contextlib.suppress(h11.RemoteProtocolError):
                exchange.parser.receive_data(data)


async def _next(stream: network.Stream, parser: h11.Connection):
    """Return the next event of a request."""
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError as error:
            hint = error.error_status_hint
            refusal = (
                relay.Refusal.HEADERS_TOO_LARGE
                if hint == 431
                else relay.Refusal.BAD_REQUEST
            )
            raise UnacceptableError(refusal, str(error)) from error
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some())
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise LeftError
        else:
            return event


async def _linger(stream: network.Stream) -> None:
    with trio.move_on_after(LINGER_S), contextlib.suppress(trio.BrokenResourceError):
        await stream.send_eof()
        while await stream.receive_some():
            pass


def _wants_close(request: h11.Request) -> bool:
    values = [value for name, value in request.headers if name == b"connection"]
    return any(b"close" in value.lower() for value in values)
