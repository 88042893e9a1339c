"""Keep connections to backend servers and parse what comes back on them."""

import collections

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import http1, messages, network

# A body up to this long goes out with its head; a longer one isn't copied for that.
MAX_JOINED_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 0.4  # a hundred times the longest way between failure domains
MAX_IDLE_PER_SERVER = 16  # twice a server's slots
IDLE_S = 4.0  # when the server names no time of its own
MAX_IDLE_S = 30.0  # of what servers name; what is unused for longer is not needed
# Servers may drop idle connections without notice. A request that may run once only
# takes one that was used this recently, as it could not be sent again.
SAFE_IDLE_S = 1.0
IDLE_MARGIN_S = 0.7  # closed this much before the server would
MAX_HEAD_BYTES = 64 * 1024
MAX_SKIPPED_BYTES = 1024 * 1024  # of an answer that belongs to another request
MAX_INFORMATIONAL = 8  # heads of status 1xx before an answer's own


class ConnectError(Exception):
    """Report that no connection was made, so that nothing was sent."""


class BrokenError(Exception):
    """Report an answer that is not whole or no answer; the request may have run."""


@attrs.define(eq=False)
class Connection:
    """Hold one connection to a backend server.

    ``idle_deadline`` is the monotonic time at which it may no longer be used.
    """

    address: str
    stream: network.Stream
    reader: http1.Reader
    clock: clocks.Clock
    used: int = 0
    idle_deadline: float = float("inf")
    released_at: float = float("-inf")

    async def send_request(
        self, method: bytes, target: bytes, headers: messages.Headers, body: bytes
    ) -> None:
        """Send a whole request; raises ``BrokenError``."""
        try:
            data = http1.write_request_head(method, target, headers)
        except http1.ProtocolError as error:
            raise BrokenError(f"request cannot be sent: {error}") from error
        self.used += 1
        self.reader.expect_response(method)
        try:
            if len(body) <= MAX_JOINED_BYTES:
                await self.stream.send_all(data + body)
                return
            await self.stream.send_all(data)
            await self.stream.send_all(body)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The server may have answered before it read all of it.
            return

    async def read_head(self) -> http1.Head:
        """Return the head of the answer; raises ``BrokenError``."""
        informational = 0
        while True:
            try:
                head = self.reader.head()
            except http1.ProtocolError as error:
                raise BrokenError(f"no answer: {error}") from error
            if head is None:
                await self._receive()
            elif head.status >= 200:
                return head
            else:
                informational += 1
                if informational > MAX_INFORMATIONAL:
                    raise BrokenError("no end of informational answers")

    async def read_data(self) -> bytes | None:
        """Return the body's bytes that are here, or wait; None at its end."""
        while True:
            try:
                data = self.reader.body()
            except http1.ProtocolError as error:
                raise BrokenError(f"answer cut off: {error}") from error
            if data:
                return data
            if self.reader.complete:
                return None
            await self._receive()

    @property
    def complete(self) -> bool:
        """Return whether the answer was returned to its end."""
        return self.reader.complete

    @property
    def needs_data(self) -> bool:
        """Return whether all that has come was returned and the answer goes on."""
        return self.reader.needs_data

    async def _receive(self) -> None:
        try:
            data = await self.stream.receive_some()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise BrokenError("connection reset") from error
        self.reader.feed(data)

    def is_reusable(self) -> bool:
        """Return whether another request may be sent here."""
        return self.reader.keeps_alive() and not self.reader.buffer

    def is_usable(self) -> bool:
        """Return whether an idle connection is still open with nothing to read."""
        if self.clock.monotonic() >= self.idle_deadline:
            return False
        # Anything to read is the connection's end or bytes of no request.
        return self.stream.is_idle()

    async def read_body(self, most_bytes: int) -> bytes:
        """Return the rest of an answer; raises ``BrokenError``."""
        parts = []
        size = 0
        while (data := await self.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > most_bytes:
                raise BrokenError("answer too long")
        return b"".join(parts)

    async def skip_response(self) -> None:
        """Pass over an answer to another request; raises ``BrokenError``."""
        await self.read_body(MAX_SKIPPED_BYTES)
        if not self.reader.keeps_alive():
            raise BrokenError("connection closed after another request's answer")
        # The request lies with the server already.
        self.reader.expect_response(self.reader.request_method)

    def close(self) -> None:
        """Close at once."""
        self.stream.close()


class Pool:
    """Reuse idle connections, the latest used first."""

    def __init__(self, reach: network.Network, clock: clocks.Clock) -> None:
        self.network = reach
        self.clock = clock
        self.idle: dict[str, list[Connection]] = collections.defaultdict(list)
        self.opened = 0
        self.abandoned = 0

    async def acquire(self, address: str, idle_s: float | None = None) -> Connection:
        """Return a connection, idle for at most so many seconds.

        Raises ``ConnectError``.
        """
        kept = self.idle.get(address, [])
        since = self.clock.monotonic() - idle_s if idle_s is not None else None
        while kept and (since is None or kept[-1].released_at >= since):
            connection = kept.pop()
            if not kept:
                del self.idle[address]
            if connection.is_usable():
                return connection
            connection.close()
        return await self._open(address)

    async def _open(self, address: str) -> Connection:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self.network.connect(address)
        except (OSError, trio.TooSlowError) as error:
            raise ConnectError(str(error) or "timeout") from error
        self.opened += 1
        reader = http1.Reader(MAX_HEAD_BYTES, reads_responses=True)
        return Connection(address, stream, reader, self.clock)

    def release(self, connection: Connection, idle_s: float | None) -> None:
        """Keep a connection after a whole answer, or close it."""
        full = len(self.idle.get(connection.address, ())) >= MAX_IDLE_PER_SERVER
        wait = IDLE_S if idle_s is None else min(MAX_IDLE_S, idle_s - IDLE_MARGIN_S)
        if not connection.is_reusable() or full or wait <= 0:
            connection.close()
            return
        connection.released_at = self.clock.monotonic()
        connection.idle_deadline = connection.released_at + wait
        self.idle[connection.address].append(connection)

    def abandon(self, connection: Connection) -> None:
        """Reset a connection in the middle of an exchange, and count it."""
        self.abandoned += not connection.is_reusable()
        connection.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that is gone or leaves."""
        for connection in self.idle.pop(address, []):
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections whose time is over."""
        now = self.clock.monotonic()
        for address, kept in list(self.idle.items()):
            for connection in kept:
                if now >= connection.idle_deadline:
                    connection.close()
            self.idle[address] = [c for c in kept if now < c.idle_deadline]
            if not self.idle[address]:
                del self.idle[address]
