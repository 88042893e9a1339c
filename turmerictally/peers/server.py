"""Answer calls of other hosts, with one task for each connection."""

import logging

import trio

from turmerictally import errors
from turmerictally.peers import (
    bridge,
    calls,
    envelope_pb2,
    failure,
    handshake,
    traffic,
)

logger = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 1024
MAX_RUNNING = 64  # calls of one connection at a time
OVERLOAD_RETRY_S = 1.0


class Server:
    """Authenticate connections and run the handlers of their calls."""

    def __init__(
        self,
        nursery: trio.Nursery,
        credentials: handshake.Credentials,
        handlers: dict[calls.Kind, calls.Handler],
        counts: traffic.Traffic,
    ) -> None:
        self.nursery = nursery
        self.credentials = credentials
        self.handlers = handlers
        self.counts = counts
        self.connections: set[bridge.Stream] = set()

    def accept(self, stream: bridge.Stream) -> None:
        """Start the task of a new connection."""
        if len(self.connections) >= MAX_CONNECTIONS:
            logger.warning("Refused a connection: there are too many.")
            stream.close()
            return
        self.connections.add(stream)
        try:
            self.nursery.start_soon(self._serve, stream)
        except RuntimeError:  # the nursery has closed: this host is stopping
            stream.close()

    async def _serve(self, stream: bridge.Stream) -> None:
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                caller = await handshake.welcome(stream, self.credentials)
            async with trio.open_nursery() as nursery:
                connection = Connection(self, stream, caller, nursery)
                await connection.run()
        except errors.Error as error:
            logger.warning("Refused a host: %s", error)
            _refuse(stream, error)
        except trio.TooSlowError:
            logger.warning("Refused a host: its greeting took too long.")
        except bridge.StreamClosedError:
            pass
        finally:
            stream.close()
            self.connections.discard(stream)


class Connection:
    """Serve the calls of one authenticated host."""

    def __init__(
        self,
        server: Server,
        stream: bridge.Stream,
        caller: calls.Caller,
        nursery: trio.Nursery,
    ) -> None:
        self.server = server
        self.stream = stream
        self.caller = caller
        self.nursery = nursery
        self.running = 0

    async def run(self) -> None:
        """Read calls until the stream ends, and cancel what still runs then."""
        try:
            while True:
                envelope = await self.stream.receive()
                self.server.counts.received(envelope.kind, envelope.ByteSize())
                self._start(envelope)
        except bridge.StreamClosedError:
            self.nursery.cancel_scope.cancel()

    def _start(self, envelope: envelope_pb2.Envelope) -> None:
        if self.running >= MAX_RUNNING:
            kind = errors.Kind.OVERLOADED
            error = errors.Error(kind, retry_after_s=OVERLOAD_RETRY_S)
            self._fail(envelope, error)
            return
        self.running += 1
        self.nursery.start_soon(self._answer, envelope)

    async def _answer(self, envelope: envelope_pb2.Envelope) -> None:
        try:
            with trio.fail_after(envelope.time_left_ms / 1000):
                body = await self._handle(envelope)
            self._reply(envelope, envelope_pb2.Envelope(body=body))
        except errors.Error as error:
            self._fail(envelope, error)
        except trio.TooSlowError:
            self._fail(envelope, errors.Error(errors.Kind.DEADLINE_EXCEEDED))
        except Exception:
            logger.exception("A handler failed on call kind %d.", envelope.kind)
            self._fail(envelope, errors.Error(errors.Kind.INTERNAL))
        finally:
            self.running -= 1

    async def _handle(self, envelope: envelope_pb2.Envelope) -> bytes:
        handler = self.server.handlers.get(envelope.kind)
        if handler is None:
            raise handshake.refusal(f"unknown call kind {envelope.kind}")
        return await handler(self.caller, envelope.body)

    def _fail(self, envelope: envelope_pb2.Envelope, error: errors.Error) -> None:
        message = failure.to_message(error)
        self._reply(envelope, envelope_pb2.Envelope(failure=message))

    def _reply(self, call: envelope_pb2.Envelope, reply: envelope_pb2.Envelope) -> None:
        reply.id = call.id
        reply.kind = call.kind
        reply.reply = True
        self.server.counts.sent(call.kind, reply.ByteSize())
        try:
            self.stream.send(reply)
        except bridge.StreamClosedError:
            self.stream.close()


def _refuse(stream: bridge.Stream, error: errors.Error) -> None:
    try:
        stream.send(envelope_pb2.Envelope(failure=failure.to_message(error)))
    except bridge.StreamClosedError:
        logger.debug("A refused host had gone.")
