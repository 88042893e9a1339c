"""Define the TCP and UDP interfaces of a host, and implement them on sockets.

Tests replace the implementation with an in-memory network.
"""

import collections.abc
import contextlib
import errno
import logging
import os
import socket
import struct
import typing

import attrs
import trio

logger = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
READ_BYTES = 64 * 1024
# Calls of one connection in a row that don't block, before other tasks may run; each
# moves 64 kB at most.
MAX_CALLS_WITHOUT_CHECKPOINT = 16
# A slow reader blocks its sender here, not after megabytes of socket buffers.
MAX_UNSENT_BYTES = 16 * 1024
# Errors of accept() for connections that ended before they were accepted.
LOST_CONNECTION_ERRORS = frozenset(
    {errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN}
)
MAX_DATAGRAMS_PER_READ = 100  # before other tasks may run
# SO_LINGER with a time-out of 0: closing resets the connection and drops unsent data.
# Otherwise the kernel retransmits it, even for a process that has ended, and delivers
# it once a network partition heals.
LINGER_RESET = struct.pack("ii", 1, 0)
# Unacknowledged data ends a connection after this time; TCP's default is minutes. Below
# the 2 s after which no request may reach a leaving server; allows three retransmits.
USER_TIMEOUT_MS = 1600
# Pause after accept() failed for lack of file descriptors or buffers.
ACCEPT_RETRY_S = 0.05


class Stream(typing.Protocol):
    """Carry bytes in both directions of a connection."""

    async def send_all(self, data: bytes) -> None:
        """Send bytes; raises ``trio.BrokenResourceError``."""

    async def receive_some(self) -> bytes:
        """Return the next bytes, empty at the end; raises as ``send_all`` does."""

    async def send_eof(self) -> None:
        """Shut down the sending side."""

    def close(self) -> None:
        """Close at once; unread received bytes cause a reset.

        A connection that this side opened is always reset, which drops what the other
        end has not received yet: an abandoned request must not arrive later.
        """

    def reset(self) -> None:
        """Reset the connection, so that what was sent doesn't look complete."""

    def is_idle(self) -> bool:
        """Return whether the connection is open and has nothing to read."""


class Listener(typing.Protocol):
    """Accept connections at ``address``."""

    address: str

    async def accept(self) -> Stream:
        """Return the next connection."""

    def close(self) -> None:
        """Stop accepting."""


class DatagramSocket(typing.Protocol):
    """Send and receive datagrams."""

    def send_to(self, address: str, data: bytes) -> None:
        """Send one datagram without waiting; raises ``OSError``."""

    async def receive(self) -> list[bytes]:
        """Wait for datagrams and return those available; raises ``OSError``."""

    def close(self) -> None:
        """Close at once."""


class Network(typing.Protocol):
    """Open connections, listeners and datagram sockets; addresses are ``ip:port``."""

    async def connect(self, address: str) -> Stream:
        """Open a connection; raises ``OSError``."""

    async def listen(self, address: str) -> Listener:
        """Listen at an address."""

    async def open_datagram_socket(self, address: str) -> DatagramSocket:
        """Bind a datagram socket."""


@attrs.define(eq=False)
class SocketStream:
    """Implement ``Stream`` on a non-blocking TCP socket.

    ``calls_without_checkpoint`` counts the calls in a row that did not block.
    """

    sock: socket.socket
    calls_without_checkpoint: int = 0

    async def send_all(self, data: bytes) -> None:
        """Send bytes, without a task switch if the socket's buffer has room."""
        await self._checkpoint_if_due()
        sent = self._send(data)
        if sent == len(data):
            return
        view = memoryview(data)
        while sent < len(data):
            await self._wait(trio.lowlevel.wait_writable)
            sent += self._send(view[sent:])

    def _send(self, data: bytes | memoryview) -> int:
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise _to_trio_error(error) from error

    async def receive_some(self) -> bytes:
        """Return the next bytes, without a task switch if they have arrived."""
        await self._checkpoint_if_due()
        while True:
            try:
                return self.sock.recv(READ_BYTES)
            except BlockingIOError:
                await self._wait(trio.lowlevel.wait_readable)
            except OSError as error:
                raise _to_trio_error(error) from error

    async def _wait(
        self,
        wait_ready: collections.abc.Callable[
            [socket.socket], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self.calls_without_checkpoint = 0
        await wait_ready(self.sock)

    async def _checkpoint_if_due(self) -> None:
        """Let other tasks run after many calls that did not block.

        Runs before the socket call, so that a cancelled call has moved no bytes.
        """
        if self.calls_without_checkpoint >= MAX_CALLS_WITHOUT_CHECKPOINT:
            self.calls_without_checkpoint = 0
            await trio.lowlevel.checkpoint()
        self.calls_without_checkpoint += 1

    async def send_eof(self) -> None:
        """Shut down the sending side."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise _to_trio_error(error) from error

    def close(self) -> None:
        """Close at once."""
        _close(self.sock)

    def reset(self) -> None:
        """Reset the connection."""
        if self.sock.fileno() >= 0:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        _close(self.sock)

    def is_idle(self) -> bool:
        """Return whether the connection is open and has nothing to read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            # Reset or closed.
            return False
        return False


@attrs.define(eq=False)
class SocketListener:
    """Implement ``Listener`` on a non-blocking TCP socket."""

    sock: socket.socket
    address: str
    calls_without_checkpoint: int = 0

    async def accept(self) -> SocketStream:
        """Return the next connection."""
        if self.calls_without_checkpoint >= MAX_CALLS_WITHOUT_CHECKPOINT:
            self.calls_without_checkpoint = 0
            await trio.lowlevel.checkpoint()
        self.calls_without_checkpoint += 1
        while True:
            try:
                accepted, _ = self.sock.accept()
            except BlockingIOError:
                self.calls_without_checkpoint = 0
                await trio.lowlevel.wait_readable(self.sock)
            except OSError as error:
                if error.errno == errno.EBADF:
                    raise trio.ClosedResourceError from error
                if error.errno in LOST_CONNECTION_ERRORS:
                    continue
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
                    raise
                logger.warning("Failed to accept a connection: %s.", error)
                await trio.sleep(ACCEPT_RETRY_S)
            else:
                break
        _configure(accepted)
        return SocketStream(accepted)

    def close(self) -> None:
        """Stop accepting."""
        _close(self.sock)


@attrs.frozen
class UdpSocket:
    """Implement ``DatagramSocket`` on a non-blocking UDP socket."""

    sock: socket.socket

    def send_to(self, address: str, data: bytes) -> None:
        """Send one datagram without waiting."""
        self.sock.sendto(data, _parse_address(address))

    async def receive(self) -> list[bytes]:
        """Wait for datagrams and return those available."""
        datagrams: list[bytes] = []
        while True:
            with contextlib.suppress(BlockingIOError):
                while len(datagrams) < MAX_DATAGRAMS_PER_READ:
                    datagrams.append(self.sock.recv(READ_BYTES))
            if datagrams:
                await trio.lowlevel.checkpoint()
                return datagrams
            await trio.lowlevel.wait_readable(self.sock)

    def close(self) -> None:
        """Close at once."""
        self.sock.close()


class SocketNetwork:
    """Implement ``Network`` on the operating system's sockets."""

    async def connect(self, address: str) -> SocketStream:
        """Open a connection; raises ``OSError``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            _configure(sock)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            try:
                sock.connect(_parse_address(address))
            except BlockingIOError:
                await trio.lowlevel.wait_writable(sock)
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    raise OSError(error, os.strerror(error)) from None
        except BaseException:
            sock.close()
            raise
        return SocketStream(sock)

    async def listen(self, address: str) -> SocketListener:
        """Listen at an address."""
        await trio.lowlevel.checkpoint()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(_parse_address(address))
            sock.listen(LISTEN_BACKLOG)
        except BaseException:
            sock.close()
            raise
        bound = sock.getsockname()
        return SocketListener(sock, f"{bound[0]}:{bound[1]}")

    async def open_datagram_socket(self, address: str) -> UdpSocket:
        """Bind a datagram socket."""
        await trio.lowlevel.checkpoint()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(_parse_address(address))
        return UdpSocket(sock)


def _configure(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)


def _close(sock: socket.socket) -> None:
    if sock.fileno() >= 0:
        # Wakes tasks that wait for the socket with ``trio.ClosedResourceError``.
        trio.lowlevel.notify_closing(sock)
        sock.close()


def _to_trio_error(error: OSError) -> Exception:
    if error.errno == errno.EBADF:
        return trio.ClosedResourceError()
    return trio.BrokenResourceError(str(error))


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
