"""Pool connections to backend servers and read responses from them."""

import collections
import collections.abc
import math
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import http1, messages, network
from turmerictally.scheduling import connect_timeout, memory_budget

# A body up to this size is joined with the head into one call; a longer one isn't, as
# that would copy it.
MAX_JOINED_BODY_BYTES = 16 * 1024
MAX_IDLE_PER_SERVER = 16  # twice a server's slots
DEFAULT_KEEP_ALIVE_S = 4.0  # if the server sends no keep-alive time-out
MAX_KEEP_ALIVE_S = 30.0  # a connection unused for longer isn't needed
# Servers may drop idle connections without notice. A request that may run only once
# uses only a connection released this recently, as it couldn't be sent again.
SAFE_IDLE_S = 1.0
NEW_CONNECTION = -1.0  # in place of an idle time
KEEP_ALIVE_MARGIN_S = (
    0.7  # an idle connection is closed this long before the server's end
)
END_CHECK_DELAY_S = 0.03
TUNNELS_PATH = "/tunnels/"  # at the address for other hosts
MAX_HEAD_BYTES = 64 * 1024
MAX_SKIPPED_BODY_BYTES = 1024 * 1024  # of a response to another request
# After this many a connection is closed, which bounds the ids remembered for it.
MAX_REQUESTS_PER_CONNECTION = 1000
MAX_INFORMATIONAL_HEADS = 8  # of status 1xx before the final response
DROPPED = "response dropped: too many bytes held of this server's responses"


class ConnectError(Exception):
    """Report that no connection was made, so that nothing was sent."""


class BrokenError(Exception):
    """Report a missing or truncated response; the request may have run.

    ``peer_closed`` is whether the server ended or reset the connection.
    """

    def __init__(self, reason: str, *, peer_closed: bool = False) -> None:
        super().__init__(reason)
        self.peer_closed = peer_closed


@attrs.define(eq=False)
class Connection:
    """Hold one connection to a backend server.

    ``number`` tells the connections of one pool apart. ``idle_deadline`` is the
    monotonic time after which it must not be reused, ``tunnelled`` whether it goes
    through a peer, ``carried_ids`` holds hashes of the ids of the requests sent on it,
    ``id_repeated`` is whether the last of them had been sent on it before, ``hold``
    counts what is held of the response, and ``send_error`` is why the last request was
    not sent whole, empty if it was. ``born_ms`` is when the process at its other end
    started, None if unknown, and ``told`` whether that process said so.
    """

    address: str
    stream: network.Stream
    reader: http1.Reader
    clock: clocks.Clock
    number: int = 0
    requests_sent: int = 0
    carried_ids: set[int] = attrs.Factory(set)
    id_repeated: bool = False
    idle_deadline: float = float("inf")
    released_at: float = float("-inf")
    tunnelled: bool = False
    hold: memory_budget.Hold | None = None
    send_error: str = ""
    born_ms: int | None = None
    told: bool = False

    def record_held(self, held_bytes: int, *, complete: bool = False) -> None:
        """Count the bytes held of the response; raises ``BrokenError`` if dropped."""
        if self.hold is None:
            return
        self.hold.complete = complete
        if held_bytes != self.hold.held_bytes:
            self.hold.resize(held_bytes)
        if self.hold.dropped:
            raise BrokenError(DROPPED)

    @property
    def dropped(self) -> bool:
        """Return whether the response was dropped, as too many bytes are held."""
        return self.hold is not None and self.hold.dropped

    async def send_request(
        self,
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
        request_id: str = "",
    ) -> None:
        """Send a complete request; raises ``BrokenError``.

        A server may respond before it has read the entire request, so a connection that
        breaks meanwhile is noted, and its response is read.
        """
        try:
            head = http1.write_request_head(method, target, headers)
        except http1.ProtocolError as error:
            raise BrokenError(f"request cannot be sent: {error}") from error
        self.requests_sent += 1
        self.id_repeated = self.has_carried(request_id)
        if request_id:
            self.carried_ids.add(hash(request_id))
        self.record_held(0)
        self.reader.expect_response(method)
        try:
            if len(body) <= MAX_JOINED_BODY_BYTES:
                await self.stream.send_all(head + body)
                return
            await self.stream.send_all(head)
            await self.stream.send_all(body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.send_error = str(error) or type(error).__name__

    async def read_head(self) -> http1.Head:
        """Return the head of the final response; raises ``BrokenError``."""
        informational = 0
        while True:
            try:
                head = self.reader.head()
            except http1.ProtocolError as error:
                raise BrokenError(
                    f"no answer: {error}", peer_closed=self.reader.eof
                ) from error
            if head is None:
                await self._receive()
            elif head.status >= 200:
                return head
            else:
                informational += 1
                if informational > MAX_INFORMATIONAL_HEADS:
                    raise BrokenError("no end of informational answers")

    async def read_data(self) -> bytes | None:
        """Return the body's next bytes, None at its end; raises ``BrokenError``."""
        while True:
            try:
                data = self.reader.body()
            except http1.ProtocolError as error:
                raise BrokenError(
                    f"answer cut off: {error}", peer_closed=self.reader.eof
                ) from error
            if data:
                return data
            if self.reader.complete:
                return None
            await self._receive()

    @property
    def complete(self) -> bool:
        """Return whether the response was read to its end."""
        return self.reader.complete

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the connection's end tells that of the response."""
        return self.reader.ends_with_connection

    @property
    def needs_data(self) -> bool:
        """Return whether the response is incomplete and all received was returned."""
        return self.reader.needs_data

    def check_stream_end(self, events: int, rest: bytes) -> None:
        """Check that a stream of so many events is complete; raises ``BrokenError``.

        ``rest`` is what follows the last event. Without a length or chunks, a server
        that ended before its first event can't be told from one that is done.
        """
        if rest:
            raise BrokenError(
                "stream ended within an event", peer_closed=self.reader.eof
            )
        if not events and self.reader.ends_with_connection:
            raise BrokenError("stream ended before its first event", peer_closed=True)

    async def _receive(self) -> None:
        try:
            data = await self.stream.receive_some()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            if self.dropped:
                raise BrokenError(DROPPED) from error
            reason = str(error) if self.tunnelled else "connection reset"
            raise BrokenError(reason, peer_closed=True) from error
        if self.send_error and not data:
            # The kernel reports a reset to one call. After that call has sent, what had
            # arrived ends like an orderly closed connection.
            raise BrokenError(
                f"connection broke as the request was sent: {self.send_error}",
                peer_closed=True,
            )
        self.reader.feed(data)

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id was sent on the connection before."""
        return hash(request_id) in self.carried_ids

    def log_fields(self) -> dict[str, typing.Any]:
        """Return the log fields that tell which exchange of a connection this is."""
        return {
            "connection": self.number,
            "exchange": self.requests_sent,
            "id_repeated": self.id_repeated,
            "send_error": self.send_error,
        }

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on this connection."""
        clean = self.reader.keeps_alive() and not self.reader.buffer
        has_room = len(self.carried_ids) < MAX_REQUESTS_PER_CONNECTION
        return clean and has_room and not (self.dropped or self.send_error)

    def is_usable(self) -> bool:
        """Return whether a pooled connection is unexpired, open and has no input."""
        if self.clock.monotonic() >= self.idle_deadline:
            return False
        # Input would be the connection's end or bytes that belong to no request.
        return self.stream.is_idle()

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the rest of the body; raises ``BrokenError``."""
        parts = []
        size = 0
        while (data := await self.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise BrokenError("answer too long")
            self.record_held(size)
        self.record_held(size, complete=True)
        return b"".join(parts)

    async def skip_response(self) -> None:
        """Discard a response to another request; raises ``BrokenError``."""
        await self.read_body(MAX_SKIPPED_BODY_BYTES)
        if not self.reader.keeps_alive():
            raise BrokenError("connection closed after another request's answer")
        # The request was sent already; its response comes next.
        self.reader.expect_response(self.reader.request_method)

    def close(self) -> None:
        """Close at once."""
        if self.hold is not None:
            self.hold.resize(0)
        self.stream.close()


def make_connection(
    address: str,
    stream: network.Stream,
    clock: clocks.Clock,
    *,
    tunnelled: bool = False,
) -> Connection:
    """Return a connection over a new stream."""
    reader = http1.Reader(MAX_HEAD_BYTES, reads_responses=True)
    return Connection(address, stream, reader, clock, tunnelled=tunnelled)


# Opens a connection to a server through another host; raises ``OSError``.
OpenTunnel = collections.abc.Callable[[str], collections.abc.Awaitable[network.Stream]]


class Pool:
    """Reuse idle connections, the most recently used first."""

    def __init__(self, net: network.Network, clock: clocks.Clock) -> None:
        self.network = net
        self.clock = clock
        self.idle: dict[str, list[Connection]] = collections.defaultdict(list)
        self.connect_times = connect_timeout.ConnectTimes()
        self.paths_lost: collections.abc.Callable[[], bool] = lambda: False
        self.open_tunnel: OpenTunnel | None = None
        self.on_connected: collections.abc.Callable[[], None] = lambda: None
        # Called with the address of an idle connection that its server has ended.
        self.on_ended: collections.abc.Callable[[str], None] = lambda address: None
        self.responses: memory_budget.ResponseMemory | None = None
        self.made = 0  # connections, tunnels too
        self.opened = 0
        self.passed_over = 0  # idle connections that had carried the request's id
        self.abandoned = 0

    async def acquire(
        self, address: str, max_idle_s: float | None = None, request_id: str = ""
    ) -> Connection:
        """Return a connection that was idle for at most ``max_idle_s``, or a new one.

        A connection that has carried ``request_id`` is passed over: a copy of the
        earlier response could not be told from the response to come. A negative
        ``max_idle_s`` always opens a new one. Raises ``ConnectError``.
        """
        since = -math.inf
        if max_idle_s is not None:
            since = self.clock.monotonic() - max_idle_s
        for connection in reversed(self.idle.get(address, ())):
            if connection.released_at < since:
                break
            if connection.has_carried(request_id):
                self.passed_over += 1
                continue
            self._remove_idle(connection)
            if connection.is_usable():
                return connection
            if self.clock.monotonic() < connection.idle_deadline:
                self.on_ended(address)
            connection.close()
        return await self._open(address)

    def _remove_idle(self, connection: Connection) -> None:
        connections = self.idle[connection.address]
        connections.remove(connection)
        if not connections:
            del self.idle[connection.address]

    async def _open(self, address: str) -> Connection:
        if self.paths_lost():
            return await self._open_tunnel(address)
        started_at = trio.current_time()
        try:
            with trio.fail_after(self.connect_times.timeout_s()):
                stream = await self.network.connect(address)
        except (OSError, trio.TooSlowError) as error:
            raise ConnectError(str(error) or "timeout") from error
        self.connect_times.record(trio.current_time() - started_at)
        self.on_connected()
        self.opened += 1
        return self._connection(address, stream)

    async def _open_tunnel(self, address: str) -> Connection:
        try:
            stream = await self.open_tunnel(address)
        except OSError as error:
            raise ConnectError(str(error)) from error
        return self._connection(address, stream, tunnelled=True)

    def _connection(
        self, address: str, stream: network.Stream, *, tunnelled: bool = False
    ) -> Connection:
        connection = make_connection(address, stream, self.clock, tunnelled=tunnelled)
        self.made += 1
        connection.number = self.made
        if self.responses is not None:
            connection.hold = self.responses.hold(address, stream.close)
        return connection

    def add_idle(self, address: str, stream: network.Stream) -> None:
        """Keep an open connection for the next request."""
        self.opened += 1
        connection = self._connection(address, stream)
        self._keep_idle(connection, DEFAULT_KEEP_ALIVE_S)

    def close_unused_paths(self, *, lost: bool, answered_at: float) -> None:
        """Close idle connections of paths that are lost, or tunnels not needed now.

        Direct connections that were released after ``answered_at`` go on.
        """
        for address, connections in list(self.idle.items()):
            for connection in list(connections):
                stale = not connection.tunnelled and (
                    connection.released_at <= answered_at
                )
                if stale if lost else connection.tunnelled:
                    connections.remove(connection)
                    connection.close()
            if not connections:
                del self.idle[address]

    async def has_ended(self, address: str) -> bool:
        """Return whether a server that ended a connection accepts no other.

        The connection that shows that it does is kept.
        """
        # The connections of a server that ends close before its listener does.
        await trio.sleep(END_CHECK_DELAY_S)
        try:
            connection = await self._open(address)
        except ConnectError:
            return True
        if len(self.idle.get(address, ())) < MAX_IDLE_PER_SERVER:
            self._keep_idle(connection, DEFAULT_KEEP_ALIVE_S)
        else:
            connection.close()
        return False

    async def check_sender(self, connection: Connection) -> None:
        """Check that the server outlives a response; raises ``BrokenError``.

        The kernel of a server that dies ends its connections in order, as a server does
        that is done with a response without a length.
        """
        if connection.ends_with_connection and await self.has_ended(connection.address):
            raise BrokenError("server ended with its response", peer_closed=True)

    def release(self, connection: Connection, keep_alive_s: float | None) -> None:
        """Return a connection to the pool after a complete response, or close it.

        ``keep_alive_s`` is the idle time-out that the server announced.
        """
        full = len(self.idle.get(connection.address, ())) >= MAX_IDLE_PER_SERVER
        idle_s = (
            DEFAULT_KEEP_ALIVE_S
            if keep_alive_s is None
            else min(MAX_KEEP_ALIVE_S, keep_alive_s - KEEP_ALIVE_MARGIN_S)
        )
        if not connection.is_reusable() or full or idle_s <= 0:
            connection.close()
            return
        self._keep_idle(connection, idle_s)

    def _keep_idle(self, connection: Connection, idle_s: float) -> None:
        if connection.hold is not None:
            connection.hold.resize(0)
        connection.released_at = self.clock.monotonic()
        connection.idle_deadline = connection.released_at + idle_s
        self.idle[connection.address].append(connection)

    def abandon(self, connection: Connection) -> None:
        """Close a connection, and count it if its response was incomplete."""
        self.abandoned += not connection.is_reusable()
        connection.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that was removed or is leaving."""
        for connection in self.idle.pop(address, []):
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections whose keep-alive time is over."""
        now = self.clock.monotonic()
        for address, connections in list(self.idle.items()):
            for connection in connections:
                if now >= connection.idle_deadline:
                    connection.close()
            self.idle[address] = [c for c in connections if now < c.idle_deadline]
            if not self.idle[address]:
                del self.idle[address]
