"""Harm loopback connections from outside: delay, silence, cut one way, reset."""

import select

import attrs
import trio

from turmerictally.entry import network

READ_BYTES = 64 * 1024


@attrs.define(eq=False)
class Proxy:
    """Forward connections from ``address`` to ``target``.

    ``delay_s`` holds bytes up, ``silent`` ("", "both", "up" or "down") swallows them
    without an end, as on a link that lost its way. ``holding`` keeps bytes, as a cut
    does, until it ends; those whose sender reset the connection meanwhile are dropped.
    ``refusing`` resets new connections.
    """

    target: str
    address: str = ""
    delay_s: float = 0.0
    silent: str = ""
    holding: bool = False
    refusing: bool = False
    open: set = attrs.Factory(set)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started(self.address)
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._serve, await listeners[0].accept())

    def reset(self):
        """Break every open connection."""
        for scope in list(self.open):
            scope.cancel()

    def heal(self):
        """Forward as usual; connections that were silenced end."""
        if self.silent:
            self.reset()
        self.delay_s, self.silent, self.refusing = 0.0, "", False
        self.holding = False

    async def _serve(self, near):
        scope = trio.CancelScope()
        self.open.add(scope)
        far = None
        try:
            with scope:
                if self.refusing:
                    return
                try:
                    stream = await network.SocketNetwork().connect(self.target)
                except OSError:
                    return
                sock = trio.socket.from_stdlib_socket(stream.sock)
                far = trio.SocketStream(sock)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, near, far, "up", nursery)
                    nursery.start_soon(self._pump, far, near, "down", nursery)
        finally:
            self.open.discard(scope)
            for stream in (near, far):
                if stream is not None:
                    # Closing with bytes unread resets the other end as well.
                    stream.socket.close()

    async def _pump(self, source, sink, way, nursery):
        try:
            while data := await source.receive_some(READ_BYTES):
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                while self.silent in ("both", way):
                    await trio.sleep(0.05)
                while self.holding:
                    await trio.sleep(0.05)
                if _is_reset(source):
                    raise trio.BrokenResourceError
                await sink.send_all(data)
            while self.holding:
                await trio.sleep(0.05)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            nursery.cancel_scope.cancel()


def _is_reset(stream):
    """Return whether the sender has reset its connection, so that nothing arrives."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), 0)
    return bool(poll.poll(0))
