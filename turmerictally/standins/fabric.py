"""Connect hosts in memory, with delays, cuts, resets and silent connections."""

import collections
import contextlib
import itertools

import attrs
import trio

from turmerictally.entry import network

DELAY_S = 0.001  # one way, between failure domains of one region
RESEND_S = 0.2  # until bytes that a cut held up are sent again, at least
RESET = object()


@attrs.define(eq=False)
class Stream:
    """Hold one end of a connection; implements ``network.Stream``.

    ``held`` is what a cut keeps from the other end until it is sent again; closing an
    end that ``resets`` drops it. A reset is reported to one call, as by the kernel: if
    that sends, what had arrived is still received, and then an orderly end.
    """

    fabric: "Fabric"
    local: str
    remote: str
    inbox: collections.deque = attrs.Factory(collections.deque)
    arrived: trio.Event = attrs.field(factory=trio.Event)
    other: "Stream | None" = None
    closed: bool = False
    sent_eof: bool = False
    silent: bool = False
    resets: bool = False
    held: list = attrs.Factory(list)
    held_since: float = float("inf")
    reset_reported: bool = False

    async def send_all(self, data: bytes) -> None:
        """Send bytes."""
        await trio.lowlevel.checkpoint()
        if self.closed:
            raise trio.ClosedResourceError
        self._check_reset()
        fabric = self.fabric
        broken = fabric.is_path_broken(self.local, self.remote)
        if broken and self not in fabric.unbroken:
            self.reset()
            self._push_back_reset()
            return
        if self.other.closed and not self.fabric.is_cut(self.local, self.remote):
            self._push_back_reset()
            return
        part_bytes = self.fabric.window_bytes or len(data) or 1
        for start in range(0, len(data), part_bytes):
            while self._is_behind():
                await trio.sleep(self.fabric.delay_s)
            if start:
                self._check_reset()
            self._push(bytes(data[start : start + part_bytes]))

    def _check_reset(self) -> None:
        """Raise an error if the other end has reset the connection."""
        if self.reset_reported:
            raise trio.BrokenResourceError("broken pipe")
        now = trio.current_time()
        for index, (due, data) in enumerate(self.inbox):
            if due > now:
                return
            if data is RESET:
                self._report_reset(index)

    def _report_reset(self, index: int) -> None:
        self.inbox[index] = (self.inbox[index][0], b"")
        self.reset_reported = True
        raise trio.BrokenResourceError("reset")

    def _is_behind(self) -> bool:
        """Return whether the other end has left more than a window unread."""
        if self.fabric.window_bytes is None or self.closed:
            return False
        if self.other.closed:
            # Until the reset arrives.
            now = trio.current_time()
            return any(due > now and data is RESET for due, data in self.inbox)
        unread = sum(len(data) for _, data in self.other.inbox if data is not RESET)
        return unread > self.fabric.window_bytes

    async def receive_some(self) -> bytes:
        """Return the next bytes."""
        await trio.lowlevel.checkpoint()
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            if not self.inbox:
                await self.arrived.wait()
                continue
            due, data = self.inbox[0]
            if due > trio.current_time():
                await trio.sleep_until(due)
                continue
            if data is RESET:
                self._report_reset(0)
            if not data:
                return data
            return self._take_arrived()

    def _take_arrived(self) -> bytes:
        """Return all bytes that are here, as a socket does."""
        found = []
        now = trio.current_time()
        while self.inbox and self.inbox[0][0] <= now:
            _, data = self.inbox[0]
            if data is RESET or not data:
                break
            found.append(data)
            self.inbox.popleft()
        return b"".join(found)

    async def send_eof(self) -> None:
        """Tell the other end that nothing more is sent."""
        await trio.lowlevel.checkpoint()
        self._end()

    def close(self) -> None:
        """Close at once."""
        if self.closed:
            return
        unread = any(data for _, data in self.inbox if data is not RESET)
        self.closed = True
        self.fabric.streams.discard(self)
        if self.resets:
            self.held.clear()
        if unread or (self.resets and self.fabric.is_cut(self.local, self.remote)):
            self._push(RESET)
        else:
            self._end()
        self.arrived.set()

    def reset(self) -> None:
        """Break the connection for both ends."""
        self.other.inbox.append((trio.current_time(), RESET))
        self.other.arrived.set()
        self.closed = True
        self.arrived.set()
        self.fabric.streams.discard(self)

    def is_idle(self) -> bool:
        """Return whether the connection is open and has nothing to read."""
        now = trio.current_time()
        return not self.closed and not any(due <= now for due, _ in self.inbox)

    def _end(self) -> None:
        if not self.sent_eof:
            self.sent_eof = True
            self._push(b"")

    def _push(self, data) -> None:
        if self.silent:
            return
        if self.held or self.fabric.is_cut(self.local, self.remote):
            # A reset is sent once.
            if data is not RESET:
                if not self.held:
                    self.held_since = trio.current_time()
                self.held.append(data)
                self.fabric.holding.add(self)
            return
        self._deliver(data, self.fabric.delay_s)

    def send_again(self, delay_s: float) -> None:
        """Send what a cut held up."""
        held, self.held = self.held, []
        waited_s = trio.current_time() - self.held_since
        if self.resets and waited_s * 1000 > network.USER_TIMEOUT_MS:
            # The kernel has ended the connection, in which nothing was acknowledged.
            self._push_back_reset()
            return
        for data in held:
            self._deliver(data, delay_s)

    def _deliver(self, data, delay_s: float) -> None:
        self.other.inbox.append((trio.current_time() + delay_s, data))
        self.other.arrived.set()
        self.other.arrived = trio.Event()

    def _push_back_reset(self) -> None:
        self.inbox.append((trio.current_time() + 2 * self.fabric.delay_s, RESET))
        self.arrived.set()
        self.arrived = trio.Event()


@attrs.define(eq=False)
class Listener:
    """Accept connections; implements ``network.Listener``."""

    fabric: "Fabric"
    address: str
    sender: trio.MemorySendChannel
    receiver: trio.MemoryReceiveChannel

    async def accept(self) -> Stream:
        """Return the next connection."""
        return await self.receiver.receive()

    def close(self) -> None:
        """Stop accepting."""
        self.fabric.listeners.pop(self.address, None)


@attrs.define(eq=False)
class Datagrams:
    """Send and receive datagrams; implements ``network.DatagramSocket``."""

    fabric: "Fabric"
    address: str
    sender: trio.MemorySendChannel
    receiver: trio.MemoryReceiveChannel
    waiting: collections.deque = attrs.Factory(collections.deque)

    def send_to(self, address: str, data: bytes) -> None:
        """Send one datagram."""
        other = self.fabric.bound.get(address)
        if other is None or self.fabric.is_cut(self.address, address):
            return
        try:
            other.sender.send_nowait((trio.current_time(), data))
        except trio.WouldBlock:
            self.fabric.dropped += 1

    async def receive(self) -> list[bytes]:
        """Return the datagrams that are here, at least one, as a socket does."""
        if not self.waiting:
            self.waiting.append(await self.receiver.receive())
        await trio.sleep_until(self.waiting[0][0] + self.fabric.delay_s)
        with contextlib.suppress(trio.WouldBlock):
            while True:
                self.waiting.append(self.receiver.receive_nowait())
        now = trio.current_time()
        found = []
        while self.waiting and self.waiting[0][0] + self.fabric.delay_s <= now:
            found.append(self.waiting.popleft()[1])
        return found

    def close(self) -> None:
        """Close at once."""
        self.fabric.bound.pop(self.address, None)


@attrs.define(eq=False)
class Fabric:
    """Connect hosts by their IP addresses.

    ``cuts`` holds ordered pairs of IP addresses between which nothing passes. Between
    those in ``broken_paths``, new connections are refused and open ones are reset once
    either end sends, but for those in ``unbroken``. A writer waits while more than
    ``window_bytes`` are unread, unless that is None.
    """

    delay_s: float = DELAY_S
    window_bytes: int | None = None
    listeners: dict[str, Listener] = attrs.Factory(dict)
    bound: dict[str, Datagrams] = attrs.Factory(dict)
    cuts: set[tuple[str, str]] = attrs.Factory(set)
    broken_paths: set[tuple[str, str]] = attrs.Factory(set)
    unbroken: set[Stream] = attrs.Factory(set)
    streams: set[Stream] = attrs.Factory(set)
    holding: set[Stream] = attrs.Factory(set)
    ports: itertools.count = attrs.field(factory=lambda: itertools.count(40_000))
    dropped: int = 0

    def host(self, ip: str) -> "View":
        """Return the network as one host reaches it."""
        return View(self, ip)

    def separate(self, one: list[str], other: list[str]) -> None:
        """Cut two groups of IP addresses off from each other."""
        for a in one:
            for b in other:
                self.cuts |= {(a, b), (b, a)}

    def break_paths(
        self, one: list[str], other: list[str], *, new_only: bool = False
    ) -> None:
        """Refuse connections between two groups of IP addresses, and reset open ones.

        With ``new_only`` open ones live on.
        """
        for a in one:
            for b in other:
                self.broken_paths |= {(a, b), (b, a)}
        if new_only:
            self.unbroken |= {
                stream
                for stream in self.streams
                if self.is_path_broken(stream.local, stream.remote)
            }

    def is_path_broken(self, local: str, remote: str) -> bool:
        """Return whether connections between two addresses are refused and reset."""
        return (_ip(local), _ip(remote)) in self.broken_paths

    def restore(self, resend_s: float = RESEND_S) -> None:
        """End all cuts; what they held up arrives after so many seconds."""
        self.cuts.clear()
        for stream in self.holding:
            stream.send_again(resend_s)
        self.holding.clear()

    def is_cut(self, local: str, remote: str) -> bool:
        """Return whether nothing passes from one address to another."""
        return (_ip(local), _ip(remote)) in self.cuts

    def close_all(self, ip: str) -> None:
        """Close every connection of one host, as the end of its process does."""
        for stream in list(self.streams):
            if _ip(stream.local) == ip:
                stream.close()

    def reset_all(self, ip: str) -> None:
        """Break every connection of one host."""
        for stream in list(self.streams):
            if _ip(stream.local) == ip:
                stream.reset()


@attrs.frozen
class View:
    """Reach a ``Fabric`` as one host; implements ``network.Network``."""

    fabric: Fabric
    ip: str

    async def connect(self, address: str) -> Stream:
        """Return a connection."""
        fabric = self.fabric
        await trio.sleep(2 * fabric.delay_s)
        local = f"{self.ip}:{next(fabric.ports)}"
        if fabric.is_cut(local, address) or fabric.is_cut(address, local):
            await trio.sleep_forever()
        listener = fabric.listeners.get(address)
        if listener is None or fabric.is_path_broken(local, address):
            raise ConnectionRefusedError(address)
        near = Stream(fabric, local, address, resets=True)
        far = Stream(fabric, address, local)
        near.other, far.other = far, near
        fabric.streams |= {near, far}
        await listener.sender.send(far)
        return near

    async def listen(self, address: str) -> Listener:
        """Listen at an address."""
        await trio.lowlevel.checkpoint()
        listener = Listener(self.fabric, address, *trio.open_memory_channel(1024))
        self.fabric.listeners[address] = listener
        return listener

    async def open_datagram_socket(self, address: str) -> Datagrams:
        """Bind a datagram socket."""
        await trio.lowlevel.checkpoint()
        bound = Datagrams(self.fabric, address, *trio.open_memory_channel(1024))
        self.fabric.bound[address] = bound
        return bound


def _ip(address: str) -> str:
    return address.rpartition(":")[0]
