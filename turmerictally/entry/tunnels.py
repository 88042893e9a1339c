"""Reach servers through other hosts while this host's own paths to them are lost.

A tunnel carries the bytes of one connection. Requests, retries, streams, quotas and
batch items stay with the host that has the request; the peer sees none of them.

The server's bytes travel in the chunks of the peer's response. Only the last chunk
stands for the orderly end of the server's connection: the end of the connection between
the hosts says nothing of the server. Peers of versions before this send the bytes as
they are; the end of such a tunnel always counts as cut off.
"""

import collections.abc
import contextlib
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import gossip, http_server, inflight, network, pool
from turmerictally.entry import trace as traces

# To open a tunnel: two round trips between hosts and the peer's connection.
OPEN_TIMEOUT_S = 0.4
CONNECT_TIMEOUT_S = 0.3  # of the peer's connection to the server
MAX_PEERS_TRIED = 2  # for one connection
# Carried for other hosts at once; each takes two file descriptors and some 10 kB.
MAX_CARRIED = 1000
PROBE_TIMEOUT_S = 0.2
# A tunnel without bytes for longer counts as idle, unless a request is unanswered:
# servers that are slow but sound send more often.
IDLE_AFTER_S = 1.2
# Asks the peer for the server's bytes in chunks.
FRAMING_HEADER = (b"tunnel-framing", b"chunked")
CUT_OFF = "tunnel cut off"


@attrs.define(eq=False)
class TunnelStream:
    """Implement ``network.Stream`` on the connection to a peer.

    ``framed`` is whether the peer tells the server's orderly end from its own.
    """

    connection: pool.Connection
    framed: bool

    async def send_all(self, data: bytes) -> None:
        """Send bytes; raises ``trio.BrokenResourceError``."""
        await self.connection.stream.send_all(data)

    async def receive_some(self) -> bytes:
        """Return the server's next bytes, empty at its orderly end."""
        if not self.framed:
            data = await self.connection.stream.receive_some()
            if not data:
                raise trio.BrokenResourceError(CUT_OFF)
            return data
        try:
            return await self.connection.read_data() or b""
        except pool.BrokenError as error:
            raise trio.BrokenResourceError(f"{CUT_OFF}: {error}") from error

    async def send_eof(self) -> None:
        """Shut down the sending side."""
        await self.connection.stream.send_eof()

    def close(self) -> None:
        """Close at once."""
        self.connection.stream.close()

    def reset(self) -> None:
        """Reset the connection."""
        self.connection.stream.reset()

    def is_idle(self) -> bool:
        """Return whether the tunnel is open and has nothing to read."""
        return not self.connection.reader.buffer and self.connection.stream.is_idle()


@attrs.define(eq=False)
class CarriedTunnel:
    """Hold when bytes last passed in each direction, in monotonic seconds.

    ``send_failed`` is whether bytes could not be sent to the server.
    """

    clock: clocks.Clock
    to_server_at: float = float("-inf")
    from_server_at: float = float("-inf")
    send_failed: bool = False

    def is_busy(self) -> bool:
        """Return whether a request waits for its response or is being answered."""
        awaits_response = self.to_server_at > self.from_server_at
        idle_at = self.from_server_at + IDLE_AFTER_S
        return awaits_response or self.clock.monotonic() < idle_at


@attrs.define(eq=False)
class Tunnels:
    """Open connections to servers through peers, and carry those of other hosts.

    ``carried`` holds the open tunnels of other hosts, ``opened`` counts those that this
    host opened.
    """

    network: network.Network
    pool: pool.Pool
    inflight: inflight.InFlight
    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    rng: random.Random
    domain: str
    max_carried: int = MAX_CARRIED
    carried: set[CarriedTunnel] = attrs.Factory(set)
    opened: int = 0

    def needed(self) -> bool:
        """Return whether this host reaches servers through peers only."""
        return self.inflight.reach.lost_since is not None

    async def connect(self, address: str) -> network.Stream:
        """Open a connection to a server through a peer; raises ``OSError``."""
        reason = "no host reaches servers"
        for digest in self._peers()[:MAX_PEERS_TRIED]:
            try:
                with trio.fail_after(OPEN_TIMEOUT_S):
                    stream = await self._open(digest.address, address)
            except (OSError, pool.BrokenError, trio.TooSlowError) as error:
                reason = f"{digest.host}: {error or 'timeout'}"
                self.trace.emit(
                    "tunnel_not_opened", host=digest.host, to=address, reason=reason
                )
                continue
            self.opened += 1
            self.trace.emit("tunnel_opened", host=digest.host, to=address)
            return stream
        raise ConnectionError(f"through peers: {reason}")

    def _peers(self) -> list[gossip.Digest]:
        """Return the hosts to try: those of this domain first, in random order."""
        peers = [
            digest
            for digest in self.hosts.reachable()
            if not digest.paths_lost and not digest.stopping
        ]
        self.rng.shuffle(peers)
        return sorted(peers, key=lambda digest: digest.domain != self.domain)

    async def _open(self, peer: str, address: str) -> TunnelStream:
        stream = await self.network.connect(peer)
        try:
            connection = pool.make_connection(peer, stream, self.clock)
            await connection.send_request(
                b"POST",
                f"{pool.TUNNELS_PATH}{address}".encode(),
                [(b"Host", peer.encode()), FRAMING_HEADER],
                b"",
            )
            head = await connection.read_head()
            if head.status != 200:
                raise pool.BrokenError(f"answer {head.status}")
        except BaseException:
            stream.close()
            raise
        return TunnelStream(connection, framed=head.chunked)

    async def serve(self, exchange: http_server.Exchange) -> None:
        """Carry a connection of another host to a server."""
        address = exchange.target.decode("latin-1").removeprefix(pool.TUNNELS_PATH)
        servers = self.inflight.registry.servers.values()
        if address not in {server.address for server in servers}:
            await exchange.reply(404)
            return
        # Through one other host only: two that lost their paths would go in circles.
        if self.needed() or len(self.carried) >= self.max_carried:
            await exchange.reply(503)
            return
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                server = await self.network.connect(address)
        except (OSError, trio.TooSlowError):
            await exchange.reply(502)
            return
        framed = FRAMING_HEADER in exchange.headers
        started_at = self.clock.monotonic()
        tunnel = CarriedTunnel(self.clock)
        self.carried.add(tunnel)
        try:
            await self._carry(exchange, server, tunnel, framed=framed)
        finally:
            self.carried.remove(tunnel)
            server.close()
            if not exchange.finished:
                # Whatever ended the tunnel, the server's answer may be incomplete.
                exchange.stream.reset()
            self.trace.emit(
                "tunnel_ended",
                to=address,
                framed=framed,
                after_s=round(self.clock.monotonic() - started_at, 3),
                outcome="server ended" if exchange.finished else "cut off",
            )

    def is_busy(self) -> bool:
        """Return whether requests of other hosts are on their way through this one."""
        return any(tunnel.is_busy() for tunnel in self.carried)

    async def _carry(
        self,
        exchange: http_server.Exchange,
        server: network.Stream,
        tunnel: CarriedTunnel,
        *,
        framed: bool,
    ) -> None:
        """Carry bytes both ways until one side ends; then the exchange is finished.

        It stays unfinished unless the server ended its connection in order.
        """
        # The connection between the hosts ends with the tunnel.
        exchange.close_after = True
        await exchange.start(200, [], None if framed else 0)
        await exchange.send(b"")
        near = await exchange.detach()
        early, exchange.reader.buffer = exchange.reader.buffer, b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _copy_to_server, early, near, server, tunnel, nursery.cancel_scope
            )
            send = exchange.send if framed else near.send_all
            if await _copy_from_server(server, send, tunnel):
                await exchange.finish()
            nursery.cancel_scope.cancel()

    async def probe(self) -> None:
        """Try to reach a server directly; a connection is kept and ends the tunnels."""
        servers = list(self.inflight.registry.servers.values())
        if not servers:
            return
        address = self.rng.choice(servers).address
        with contextlib.suppress(OSError), trio.move_on_after(PROBE_TIMEOUT_S):
            self.pool.add_idle(address, await self.network.connect(address))
            self.inflight.record_connected()


async def _copy_to_server(
    data: bytes,
    near: network.Stream,
    server: network.Stream,
    tunnel: CarriedTunnel,
    scope: trio.CancelScope,
) -> None:
    """Copy bytes, first those given; the other host's end ends the tunnel."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while data := data or await near.receive_some():
            tunnel.to_server_at = tunnel.clock.monotonic()
            await _send_to_server(server, data, tunnel)
            data = b""
    scope.cancel()


async def _send_to_server(
    server: network.Stream, data: bytes, tunnel: CarriedTunnel
) -> None:
    """Send bytes until that fails; what follows is dropped.

    The server may have responded before it read the entire request, and the other host
    reads the response once it has sent all of it.
    """
    if tunnel.send_failed:
        return
    try:
        await server.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        tunnel.send_failed = True


async def _copy_from_server(
    server: network.Stream,
    send: collections.abc.Callable[[bytes], collections.abc.Awaitable[None]],
    tunnel: CarriedTunnel,
) -> bool:
    """Copy bytes until a connection ends; return whether the server's did in order.

    A connection that broke as bytes were sent also ends like one that did.
    """
    try:
        while data := await server.receive_some():
            tunnel.from_server_at = tunnel.clock.monotonic()
            await send(data)
    except (
        http_server.CallerDisconnectedError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
    ):
        return False
    return not tunnel.send_failed
