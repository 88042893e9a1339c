"""Call other hosts, over one stream and one task for each."""

import contextlib
import logging
import random
import typing

import attrs
import grpc
import trio

from turmerictally import clock, errors
from turmerictally.peers import (
    bridge,
    calls,
    envelope_pb2,
    failure,
    handshake,
    traffic,
)

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 3.0
IDLE_S = 300.0  # without calls, after which a stream is closed
FORGET_S = 900.0  # without calls, after which the task ends
MAX_UNANSWERED = 3  # timeouts in a row, after which a stream is given up
MAX_PENDING = 1024  # calls of one peer
TLS_NAME = "peers.turmerictally"  # name that hosts' certificates are issued for


class Connector(typing.Protocol):
    """Give the gRPC credentials of new connections, or None for plain TCP."""

    def channel(self) -> grpc.ChannelCredentials | None:
        """Return the credentials of a connecting host."""


@attrs.define(eq=False)
class Pending:
    """Hold one call that waits for its reply."""

    kind: int
    body: bytes
    deadline: float
    done: trio.Event = attrs.Factory(trio.Event)
    sent: bool = False
    reply: bytes | None = None
    error: errors.Error | None = None

    def fail(self, error: errors.Error) -> None:
        """End the call with an error."""
        self.error = error
        self.done.set()


class Link:
    """Keep the stream to one peer."""

    def __init__(
        self,
        address: str,
        credentials: handshake.Credentials,
        connector: Connector,
        counts: traffic.Traffic,
        rng: random.Random,
        now: clock.Clock,
    ) -> None:
        self.address = address
        self.credentials = credentials
        self.connector = connector
        self.counts = counts
        self.rng = rng
        self.clock = now
        self.stream: bridge.Stream | None = None
        self.peer: calls.Caller | None = None
        self.waiting: list[Pending] = []
        self.pending: dict[int, Pending] = {}
        self.last_id = 0
        self.wanted = trio.Event()
        self.failures = 0
        self.unanswered = 0
        self.retry_at = 0.0
        self.refused: errors.Error | None = None
        self.used_at = now.monotonic()

    async def call(self, kind: int, body: bytes, deadline: float) -> bytes:
        """Send one call and wait for its reply."""
        self.used_at = self.clock.monotonic()
        self._check(deadline)
        pending = Pending(kind, body, deadline)
        if self.stream is not None and not self.stream.closed:
            self._send(pending)
        else:
            self.waiting.append(pending)
            self.wanted.set()
        with trio.move_on_after(deadline - self.clock.monotonic()):
            await pending.done.wait()
        if not pending.done.is_set():
            self._time_out(pending)
        if pending.error is not None:
            raise pending.error
        return pending.reply or b""

    async def run(self) -> None:
        """Connect when there are calls, and again after failures."""
        while True:
            with trio.move_on_after(FORGET_S) as idle:
                await self.wanted.wait()
            if idle.cancelled_caught and not self.waiting:
                return
            self.wanted = trio.Event()
            try:
                await self._converse()
            except errors.Error as error:
                self._back_off(error)
            except (bridge.StreamClosedError, trio.TooSlowError) as error:
                self._back_off(_unavailable(f"{self.address}: {error}".rstrip(": ")))

    async def _converse(self) -> None:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await bridge.shared().connect(
                self.address, self.connector.channel(), TLS_NAME
            )
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                self.peer = await handshake.greet(stream, self.credentials)
            self._connected(stream)
            # Calls that come after the end get a new stream without back-off.
            with contextlib.suppress(bridge.StreamClosedError):
                await self._dispatch(stream)
        finally:
            stream.close()
            self._disconnected()

    def _connected(self, stream: bridge.Stream) -> None:
        self.stream = stream
        self.failures = 0
        self.unanswered = 0
        self.refused = None
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            self._send(pending)

    async def _dispatch(self, stream: bridge.Stream) -> None:
        while True:
            with trio.move_on_after(IDLE_S):
                envelope = await stream.receive()
                self._receive(envelope)
                continue
            if not self.pending and self.clock.monotonic() - self.used_at >= IDLE_S:
                logger.debug("Closed the idle stream to %s.", self.address)
                return

    def _receive(self, envelope: envelope_pb2.Envelope) -> None:
        if not envelope.reply:
            # A refusal that came after the handshake was thought to be over.
            if envelope.HasField("failure"):
                raise failure.to_error(envelope.failure)
            return
        self.unanswered = 0
        pending = self.pending.pop(envelope.id, None)
        if pending is None:
            return
        self.counts.received(pending.kind, envelope.ByteSize())
        if envelope.HasField("failure"):
            pending.fail(failure.to_error(envelope.failure))
            return
        pending.reply = envelope.body
        pending.done.set()

    def _send(self, pending: Pending) -> None:
        left_s = pending.deadline - self.clock.monotonic()
        if left_s <= 0 or pending.done.is_set():
            return
        self.last_id += 1
        envelope = envelope_pb2.Envelope(
            id=self.last_id,
            kind=pending.kind,
            time_left_ms=max(1, int(left_s * 1000)),
            body=pending.body,
        )
        try:
            self.stream.send(envelope)
        except bridge.StreamClosedError as error:
            pending.fail(_unavailable(f"{self.address}: {error}"))
            return
        pending.sent = True
        self.pending[self.last_id] = pending
        self.counts.sent(pending.kind, envelope.ByteSize())

    def _check(self, deadline: float) -> None:
        now = self.clock.monotonic()
        if deadline <= now:
            raise _unavailable("no time left")
        if len(self.pending) + len(self.waiting) >= MAX_PENDING:
            raise _unavailable(f"{self.address}: too many calls wait", 1.0)
        if self.stream is None and now < self.retry_at:
            left_s = self.retry_at - now
            if self.refused is not None:
                raise errors.Error(self.refused.kind, self.refused.detail)
            raise _unavailable(f"{self.address} failed just now", left_s)

    def _time_out(self, pending: Pending) -> None:
        if pending in self.waiting:
            self.waiting.remove(pending)
        stale = [key for key, value in self.pending.items() if value is pending]
        for key in stale:
            del self.pending[key]
        if pending.sent:
            self.unanswered += 1
        if self.unanswered >= MAX_UNANSWERED and self.stream is not None:
            logger.info("Gave up the silent stream to %s.", self.address)
            self.stream.close()
        pending.fail(_unavailable(f"{self.address}: timeout", sent=pending.sent))

    def _disconnected(self) -> None:
        self.stream = None
        lost = list(self.pending.values())
        self.pending.clear()
        for pending in lost:
            pending.fail(_unavailable(f"{self.address}: connection lost", sent=True))
        if self.waiting:
            self.wanted.set()

    def _back_off(self, error: errors.Error) -> None:
        self.failures += 1
        ceiling = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(self.failures, 16))
        wait = self.rng.uniform(ceiling / 2, ceiling)
        self.retry_at = self.clock.monotonic() + wait
        self.refused = error if error.kind is errors.Kind.PEER_REFUSED else None
        if self.failures == 1:
            logger.info("No stream to %s: %s", self.address, error)
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            pending.fail(errors.Error(error.kind, error.detail, retry_after_s=wait))


class Links:
    """Keep the links to all peers that this host calls."""

    def __init__(
        self,
        nursery: trio.Nursery,
        credentials: handshake.Credentials,
        connector: Connector,
        counts: traffic.Traffic,
        rng: random.Random,
        now: clock.Clock,
    ) -> None:
        self.nursery = nursery
        self.credentials = credentials
        self.connector = connector
        self.counts = counts
        self.rng = rng
        self.clock = now
        self.links: dict[str, Link] = {}

    def get(self, address: str) -> Link:
        """Return the link to an address, starting its task if needed."""
        link = self.links.get(address)
        if link is None:
            link = Link(
                address,
                self.credentials,
                self.connector,
                self.counts,
                self.rng,
                self.clock,
            )
            self.links[address] = link
            self.nursery.start_soon(self._run, link)
        return link

    async def _run(self, link: Link) -> None:
        try:
            await link.run()
        finally:
            del self.links[link.address]


def _unavailable(
    detail: str, retry_after_s: float | None = None, *, sent: bool = False
) -> errors.Error:
    ran = errors.Ran.MAY_HAVE_RUN if sent else errors.Ran.NOT_RUN
    kind = errors.Kind.PEER_UNAVAILABLE
    return errors.Error(kind, detail, ran=ran, retry_after_s=retry_after_s)
