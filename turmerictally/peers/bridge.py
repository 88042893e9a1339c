"""Bridge gRPC's asyncio streams to trio, in one thread for the whole process."""

import asyncio
import collections.abc
import concurrent.futures
import functools
import logging
import threading
import time

import grpc
import grpc.aio
import trio

from turmerictally.peers import envelope_pb2, envelope_pb2_grpc

logger = logging.getLogger(__name__)

MAX_QUEUED_BYTES = 4 * 1024 * 1024  # of one stream, before it counts as stuck
MAX_BUFFERED_MESSAGES = 4096  # received, but not yet taken by trio
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
STOP_GRACE_S = 0.5

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_retries", 0),
)

Accept = collections.abc.Callable[["Stream"], None]


class StreamClosedError(Exception):
    """Report that a stream ended or that its peer does not read."""


class Stream:
    """Pass envelopes both ways over one gRPC stream; used from trio."""

    def __init__(self, loop: asyncio.AbstractEventLoop, token: trio.lowlevel.TrioToken):
        self.loop = loop
        self.token = token
        self.sender, self.receiver = trio.open_memory_channel(MAX_BUFFERED_MESSAGES)
        self.outgoing: asyncio.Queue[envelope_pb2.Envelope | None] = asyncio.Queue()
        self.sent_bytes = 0  # changed by trio's thread only
        self.written_bytes = 0  # changed by asyncio's thread only
        self.reason = ""
        self.closed = False

    def send(self, envelope: envelope_pb2.Envelope) -> None:
        """Queue an envelope without waiting.

        Raises ``StreamClosedError`` when the stream has ended or its peer reads too
        slowly.
        """
        if self.closed:
            raise StreamClosedError(self.reason)
        size = envelope.ByteSize()
        if self.sent_bytes + size - self.written_bytes > MAX_QUEUED_BYTES:
            raise StreamClosedError("the peer reads too slowly")
        self.sent_bytes += size
        self.loop.call_soon_threadsafe(self.outgoing.put_nowait, envelope)

    async def receive(self) -> envelope_pb2.Envelope:
        """Return the next envelope, or raise ``StreamClosedError`` at the end."""
        try:
            return await self.receiver.receive()
        except trio.EndOfChannel as error:
            raise StreamClosedError(self.reason) from error

    def close(self) -> None:
        """End the stream after what is queued."""
        if not self.closed:
            self.closed = True
            self.loop.call_soon_threadsafe(self.outgoing.put_nowait, None)

    def written(self, envelope: envelope_pb2.Envelope) -> None:
        """Count an envelope as written; called from the asyncio thread."""
        self.written_bytes += envelope.ByteSize()

    def received(self, envelope: envelope_pb2.Envelope) -> None:
        """Hand an envelope to trio; called from the asyncio thread."""
        self.token_call(self._buffer, envelope)

    def ended(self, reason: str) -> None:
        """Tell trio that the stream ended; called from the asyncio thread."""
        self.token_call(self._end, reason)

    def token_call(self, function: collections.abc.Callable, *args) -> None:
        """Run a function soon in the trio thread, unless trio has finished."""
        try:
            self.token.run_sync_soon(function, *args)
        except trio.RunFinishedError:
            self.closed = True

    def _buffer(self, envelope: envelope_pb2.Envelope) -> None:
        try:
            self.sender.send_nowait(envelope)
        except (trio.WouldBlock, trio.ClosedResourceError, trio.BrokenResourceError):
            self.reason = "too many messages wait"
            self.close()

    def _end(self, reason: str) -> None:
        self.reason = self.reason or reason
        self.closed = True
        self.sender.close()


class Servicer(envelope_pb2_grpc.PeersServicer):
    """Turn each incoming gRPC stream into a ``Stream`` for trio."""

    def __init__(self, token: trio.lowlevel.TrioToken, accept: Accept) -> None:
        self.token = token
        self.accept = accept

    async def Connect(self, request_iterator, context):  # noqa: N802 - gRPC's name
        """Serve one stream until either side ends it."""
        stream = Stream(asyncio.get_running_loop(), self.token)
        stream.token_call(self.accept, stream)
        reader = asyncio.create_task(_read(request_iterator, stream))
        try:
            await _write(context.write, stream)
        finally:
            reader.cancel()
            stream.ended("closed")


class Bridge:
    """Run one asyncio loop in one thread for all gRPC work of the process."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.tasks: set[asyncio.Task] = set()
        self.thread = threading.Thread(target=self._run, name="grpc", daemon=True)
        self.thread.start()

    async def connect(
        self, address: str, credentials: grpc.ChannelCredentials | None, name: str
    ) -> Stream:
        """Open a stream; failures show when it is read.

        ``name`` is what a TLS certificate must be issued for.
        """
        token = trio.lowlevel.current_trio_token()
        return await self.run(self._connect(address, credentials, name, token))

    async def listen(
        self, address: str, credentials: grpc.ServerCredentials | None, accept: Accept
    ) -> tuple[grpc.aio.Server, int]:
        """Serve at an address; return the server and its port."""
        token = trio.lowlevel.current_trio_token()
        return await self.run(self._listen(address, credentials, token, accept))

    async def stop(self, server: grpc.aio.Server) -> None:
        """Stop a server and cut its streams after a short grace."""
        await self.run(server.stop(STOP_GRACE_S))

    async def run(self, coroutine: collections.abc.Coroutine):
        """Run a coroutine in the asyncio thread and return its result."""
        token = trio.lowlevel.current_trio_token()
        done = trio.Event()
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        future.add_done_callback(functools.partial(_set, token, done))
        try:
            await done.wait()
        except trio.Cancelled:
            future.cancel()
            raise
        return future.result()

    def cpu_s(self) -> float:
        """Return the processor time of the bridge's thread, in seconds."""
        return time.clock_gettime(time.pthread_getcpuclockid(self.thread.ident))

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    async def _connect(
        self,
        address: str,
        credentials: grpc.ChannelCredentials | None,
        name: str,
        token: trio.lowlevel.TrioToken,
    ) -> Stream:
        if credentials is None:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
        else:
            options = (*_OPTIONS, ("grpc.ssl_target_name_override", name))
            channel = grpc.aio.secure_channel(address, credentials, options=options)
        stream = Stream(self.loop, token)
        task = asyncio.create_task(_converse(channel, stream))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return stream

    async def _listen(
        self,
        address: str,
        credentials: grpc.ServerCredentials | None,
        token: trio.lowlevel.TrioToken,
        accept: Accept,
    ) -> tuple[grpc.aio.Server, int]:
        server = grpc.aio.server(options=_OPTIONS)
        servicer = Servicer(token, accept)
        envelope_pb2_grpc.add_PeersServicer_to_server(servicer, server)
        if credentials is None:
            port = server.add_insecure_port(address)
        else:
            port = server.add_secure_port(address, credentials)
        await server.start()
        return server, port


@functools.cache
def shared() -> Bridge:
    """Return the process's bridge, started at the first use."""
    return Bridge()


async def _converse(channel: grpc.aio.Channel, stream: Stream) -> None:
    reason = "closed"
    try:
        call = envelope_pb2_grpc.PeersStub(channel).Connect()
        reader = asyncio.create_task(_read(call, stream))
        writer = asyncio.create_task(_write(call.write, stream))
        await asyncio.wait([reader, writer], return_when=asyncio.FIRST_COMPLETED)
        reason = reader.result() if reader.done() else reason
        reader.cancel()
        writer.cancel()
        call.cancel()
    finally:
        stream.ended(reason)
        await channel.close()


async def _read(source: collections.abc.AsyncIterable, stream: Stream) -> str:
    try:
        async for envelope in source:
            stream.received(envelope)
    except grpc.aio.AioRpcError as error:
        return error.details() or str(error.code())
    except grpc.aio.UsageError as error:
        return str(error)
    finally:
        stream.ended("closed by the peer")
    return "closed by the peer"


async def _write(write: collections.abc.Callable, stream: Stream) -> None:
    while True:
        envelope = await stream.outgoing.get()
        if envelope is None:
            return
        try:
            await write(envelope)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
            return
        stream.written(envelope)


def _set(
    token: trio.lowlevel.TrioToken, done: trio.Event, _: concurrent.futures.Future
) -> None:
    try:
        token.run_sync_soon(done.set)
    except trio.RunFinishedError:
        logger.debug("A call ended after its host.")
