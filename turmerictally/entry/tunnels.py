"""Reach servers through other hosts while this host's own paths to them are lost.

A tunnel carries the bytes of one connection. Requests, retries, streams, quotas and
batch items stay with the host that has the request; the peer sees none of them.
"""

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


@attrs.define(eq=False)
class Tunnels:
    """Open connections to servers through peers, and carry those of other hosts.

    ``carried`` counts the open tunnels of other hosts, ``opened`` this host's own.
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
    carried: int = 0
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

    async def _open(self, peer: str, address: str) -> network.Stream:
        stream = await self.network.connect(peer)
        try:
            connection = pool.make_connection(peer, stream, self.clock)
            await connection.send_request(
                b"POST",
                f"{pool.TUNNELS_PATH}{address}".encode(),
                [(b"Host", peer.encode())],
                b"",
            )
            head = await connection.read_head()
            if head.status != 200:
                raise pool.BrokenError(f"answer {head.status}")
        except BaseException:
            stream.close()
            raise
        return stream

    async def serve(self, exchange: http_server.Exchange) -> None:
        """Carry a connection of another host to a server."""
        address = exchange.target.decode("latin-1").removeprefix(pool.TUNNELS_PATH)
        servers = self.inflight.registry.servers.values()
        if address not in {server.address for server in servers}:
            await exchange.reply(404)
            return
        # Through one other host only: two that lost their paths would go in circles.
        if self.needed() or self.carried >= self.max_carried:
            await exchange.reply(503)
            return
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                server = await self.network.connect(address)
        except (OSError, trio.TooSlowError):
            await exchange.reply(502)
            return
        self.carried += 1
        try:
            await exchange.reply(200)
            await self._carry(await exchange.detach(), server)
        finally:
            self.carried -= 1
            server.close()
            # The connection has ended with the tunnel.
            exchange.abort()

    async def _carry(self, near: network.Stream, server: network.Stream) -> None:
        async with trio.open_nursery() as nursery:
            for source, target in ((near, server), (server, near)):
                nursery.start_soon(_copy, source, target, nursery.cancel_scope)

    async def probe(self) -> None:
        """Try to reach a server directly; a connection is kept and ends the tunnels."""
        servers = list(self.inflight.registry.servers.values())
        if not servers:
            return
        address = self.rng.choice(servers).address
        with contextlib.suppress(OSError), trio.move_on_after(PROBE_TIMEOUT_S):
            self.pool.add_idle(address, await self.network.connect(address))
            self.inflight.record_connected()


async def _copy(
    source: network.Stream, target: network.Stream, scope: trio.CancelScope
) -> None:
    """Copy bytes until one side ends; a reset is passed on as one."""
    try:
        while data := await source.receive_some():
            await target.send_all(data)
        await target.send_eof()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        target.reset()
    scope.cancel()
