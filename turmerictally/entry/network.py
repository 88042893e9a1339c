"""Reach other processes over TCP and UDP, behind what tests can replace."""

import contextlib
import errno
import logging
import os
import select
import socket
import struct
import typing

import attrs
import trio

logger = logging.getLogger(__name__)

BACKLOG = 1024
READ_BYTES = 64 * 1024
MAX_DATAGRAMS = 100  # read at once, before other tasks have their turn
# Closing drops what was not delivered; the kernel would go on sending it, also for a
# process that has ended, and a partition that heals would let it through.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# Unacknowledged data ends a connection, where TCP waits for minutes. Below the 2 s
# after which a request must not reach a leaving server; enough for three resends.
USER_TIMEOUT_MS = 1600
# Pause after the system refused a new connection for want of descriptors.
ACCEPT_PAUSE_S = 0.05


class Stream(typing.Protocol):
    """Carry bytes both ways."""

    async def send_all(self, data: bytes) -> None:
        """Send bytes; raises ``trio.BrokenResourceError``."""

    async def receive_some(self) -> bytes:
        """Return the next bytes, none at the end; raises as ``send_all`` does."""

    async def send_eof(self) -> None:
        """Tell the other end that nothing more is sent."""

    def close(self) -> None:
        """Close at once; bytes that were not read reset the connection.

        A connection that this side opened is always reset, which drops what the other
        end has not received: a request that was given up must not arrive later.
        """

    def is_quiet(self) -> bool:
        """Return whether the connection is open and has nothing to read."""


class Listener(typing.Protocol):
    """Accept connections at ``address``."""

    address: str

    async def accept(self) -> Stream:
        """Return the next connection."""

    def close(self) -> None:
        """Stop accepting."""


class Datagrams(typing.Protocol):
    """Send and receive datagrams."""

    def send_to(self, address: str, data: bytes) -> None:
        """Send one datagram without waiting; raises ``OSError``."""

    async def receive(self) -> list[bytes]:
        """Return the datagrams that are here, at least one; raises ``OSError``."""

    def close(self) -> None:
        """Close at once."""


class Network(typing.Protocol):
    """Open what a host needs; addresses are ``ip:port``."""

    async def connect(self, address: str) -> Stream:
        """Return a connection; raises ``OSError``."""

    async def listen(self, address: str) -> Listener:
        """Listen at an address."""

    async def datagrams(self, address: str) -> Datagrams:
        """Bind a datagram socket."""


@attrs.frozen
class SocketStream:
    """Implement ``Stream`` on a TCP connection."""

    inner: trio.SocketStream

    async def send_all(self, data: bytes) -> None:
        """Send bytes, without a task switch when the socket takes them at once."""
        try:
            sent = os.write(self.inner.socket.fileno(), data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            if error.errno == errno.EBADF:
                raise trio.ClosedResourceError from error
            raise trio.BrokenResourceError from error
        if sent < len(data):
            await self.inner.send_all(memoryview(data)[sent:])

    async def receive_some(self) -> bytes:
        """Return the next bytes."""
        return bytes(await self.inner.receive_some(READ_BYTES))

    async def send_eof(self) -> None:
        """Tell the other end that nothing more is sent."""
        await self.inner.send_eof()

    def close(self) -> None:
        """Close at once."""
        self.inner.socket.close()

    def is_quiet(self) -> bool:
        """Return whether the connection is open and has nothing to read."""
        poll = select.poll()
        poll.register(self.inner.socket.fileno(), select.POLLIN)
        return not poll.poll(0)


@attrs.frozen
class SocketListener:
    """Implement ``Listener`` on a TCP socket."""

    inner: trio.SocketListener
    address: str

    async def accept(self) -> SocketStream:
        """Return the next connection."""
        while True:
            try:
                return SocketStream(await self.inner.accept())
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
                    raise
                logger.warning("A connection cannot be accepted: %s.", error)
                await trio.sleep(ACCEPT_PAUSE_S)

    def close(self) -> None:
        """Stop accepting."""
        self.inner.socket.close()


@attrs.frozen
class SocketDatagrams:
    """Implement ``Datagrams`` on a UDP socket."""

    inner: socket.socket

    def send_to(self, address: str, data: bytes) -> None:
        """Send one datagram without waiting."""
        self.inner.sendto(data, _split(address))

    async def receive(self) -> list[bytes]:
        """Return the datagrams that are here, at least one."""
        found: list[bytes] = []
        while True:
            with contextlib.suppress(BlockingIOError):
                while len(found) < MAX_DATAGRAMS:
                    found.append(self.inner.recv(READ_BYTES))
            if found:
                await trio.lowlevel.checkpoint()
                return found
            await trio.lowlevel.wait_readable(self.inner)

    def close(self) -> None:
        """Close at once."""
        self.inner.close()


class Sockets:
    """Implement ``Network`` on the system's sockets."""

    async def connect(self, address: str) -> SocketStream:
        """Return a connection."""
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            await sock.connect(_split(address))
        except BaseException:
            sock.close()
            raise
        return SocketStream(trio.SocketStream(sock))

    async def listen(self, address: str) -> SocketListener:
        """Listen at an address."""
        host, port = _split(address)
        found = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        bound = found[0].socket.getsockname()
        return SocketListener(found[0], f"{bound[0]}:{bound[1]}")

    async def datagrams(self, address: str) -> SocketDatagrams:
        """Bind a datagram socket."""
        await trio.lowlevel.checkpoint()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(_split(address))
        return SocketDatagrams(sock)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
