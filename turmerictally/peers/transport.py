"""Put the inner protocol together for one host; implements ``calls.Peers``."""

import logging
import random

import grpc
import trio

from turmerictally import clock
from turmerictally.peers import bridge, calls, client, handshake, server, tls, traffic

logger = logging.getLogger(__name__)

STOP_TIMEOUT_S = 2.0


class Peers:
    """Call other hosts and answer them.

    ``serve`` must run while calls are made. ``files`` turns on mutual TLS.
    """

    def __init__(
        self,
        me: calls.Caller,
        secret: str,
        files: tls.Files | None = None,
        *,
        rng: random.Random | None = None,
        now: clock.Clock | None = None,
    ) -> None:
        self.credentials = handshake.Credentials(me, secret)
        self.tls = files or tls.Files()
        self.rng = rng or random.Random()
        self.clock = now or clock.Clock()
        self.traffic = traffic.Traffic()
        self.handlers: dict[calls.Kind, calls.Handler] = {}
        self.links: client.Links | None = None

    def handle(self, kind: calls.Kind, handler: calls.Handler) -> None:
        """Register the handler of one kind; it may raise ``errors.Error``."""
        self.handlers[kind] = handler

    async def call(
        self, address: str, kind: calls.Kind, body: bytes, *, deadline: float
    ) -> bytes:
        """Send a call and return the reply's body."""
        if self.links is None:
            raise RuntimeError("serve() is not running")
        return await self.links.get(address).call(kind, body, deadline)

    async def serve(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the bound ``ip:port`` once listening."""
        async with trio.open_nursery() as nursery:
            self.links = client.Links(
                nursery, self.credentials, self.tls, self.traffic, self.rng, self.clock
            )
            accepting = server.Server(
                nursery, self.credentials, self.handlers, self.traffic
            )
            listener, port = await bridge.shared().listen(
                address, self.tls.server(), accepting.accept
            )
            try:
                task_status.started(f"{address.rpartition(':')[0]}:{port}")
                await trio.sleep_forever()
            finally:
                await _stop(listener)


async def _stop(listener: grpc.aio.Server) -> None:
    deadline = trio.current_time() + STOP_TIMEOUT_S
    with trio.CancelScope(shield=True, deadline=deadline):
        await bridge.shared().stop(listener)
