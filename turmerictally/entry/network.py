"""Reach other processes over TCP and UDP, behind what tests can replace."""

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

BACKLOG = 1024
READ_BYTES = 64 * 1024
# Calls of one connection that find the socket ready, before other tasks have their
# turn; each moves 64 kB at most.
MAX_AT_ONCE = 16
# A reader that is slow stops its sender here, not after megabytes of socket buffers.
MAX_UNSENT_BYTES = 16 * 1024
# Of connections that ended before they were accepted.
LOST_CONNECTION_ERRORS = frozenset(
    {errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN}
)
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
        """Return the datagrams that are here, at least one; raises ``OSError``."""

    def close(self) -> None:
        """Close at once."""


class Network(typing.Protocol):
    """Open what a host needs; addresses are ``ip:port``."""

    async def connect(self, address: str) -> Stream:
        """Return a connection; raises ``OSError``."""

    async def listen(self, address: str) -> Listener:
        """Listen at an address."""

    async def open_datagram_socket(self, address: str) -> DatagramSocket:
        """Bind a datagram socket."""


@attrs.define(eq=False)
class SocketStream:
    """Implement ``Stream`` on a TCP socket that does not block.

    ``at_once`` counts the calls in a row that did not wait.
    """

    sock: socket.socket
    at_once: int = 0

    async def send_all(self, data: bytes) -> None:
        """Send bytes, without a task switch when the socket takes them at once."""
        await self._give_turns()
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
            raise _broken(error) from error

    async def receive_some(self) -> bytes:
        """Return the next bytes, without a task switch when they are here."""
        await self._give_turns()
        while True:
            try:
                return self.sock.recv(READ_BYTES)
            except BlockingIOError:
                await self._wait(trio.lowlevel.wait_readable)
            except OSError as error:
                raise _broken(error) from error

    async def _wait(
        self,
        until: collections.abc.Callable[
            [socket.socket], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self.at_once = 0
        await until(self.sock)

    async def _give_turns(self) -> None:
        """Let other tasks run after many calls that did not wait.

        This comes before a call, so that a cancelled one has moved no bytes.
        """
        if self.at_once >= MAX_AT_ONCE:
            self.at_once = 0
            await trio.lowlevel.checkpoint()
        self.at_once += 1

    async def send_eof(self) -> None:
        """Tell the other end that nothing more is sent."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise _broken(error) from error

    def close(self) -> None:
        """Close at once."""
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
    """Implement ``Listener`` on a TCP socket that does not block."""

    sock: socket.socket
    address: str
    at_once: int = 0

    async def accept(self) -> SocketStream:
        """Return the next connection."""
        if self.at_once >= MAX_AT_ONCE:
            self.at_once = 0
            await trio.lowlevel.checkpoint()
        self.at_once += 1
        while True:
            try:
                accepted, _ = self.sock.accept()
            except BlockingIOError:
                self.at_once = 0
                await trio.lowlevel.wait_readable(self.sock)
            except OSError as error:
                if error.errno == errno.EBADF:
                    raise trio.ClosedResourceError from error
                if error.errno in LOST_CONNECTION_ERRORS:
                    continue
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
                    raise
                logger.warning("A connection cannot be accepted: %s.", error)
                await trio.sleep(ACCEPT_PAUSE_S)
            else:
                break
        _set_up(accepted)
        return SocketStream(accepted)

    def close(self) -> None:
        """Stop accepting."""
        _close(self.sock)


@attrs.frozen
class UdpSocket:
    """Implement ``DatagramSocket`` on a UDP socket."""

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


class SocketNetwork:
    """Implement ``Network`` on the system's sockets."""

    async def connect(self, address: str) -> SocketStream:
        """Return a connection."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            _set_up(sock)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            try:
                sock.connect(_split(address))
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
            sock.bind(_split(address))
            sock.listen(BACKLOG)
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
        sock.bind(_split(address))
        return UdpSocket(sock)


def _set_up(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)


def _close(sock: socket.socket) -> None:
    if sock.fileno() >= 0:
        # Tasks that wait for the socket learn that it is closed.
        trio.lowlevel.notify_closing(sock)
        sock.close()


def _broken(error: OSError) -> Exception:
    if error.errno == errno.EBADF:
        return trio.ClosedResourceError()
    return trio.BrokenResourceError(str(error))


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
