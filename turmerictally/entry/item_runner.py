"""Run a batch item on a backend server, resuming after its last received event."""

import collections.abc
import typing

import attrs
import trio

from turmerictally.entry import (
    forwarder,
    incarnations,
    jobs,
    messages,
    model,
    pool,
    resumption,
    sse,
)
from turmerictally.scheduling import server_speeds, stream_origins

ITEM_TIMEOUT_S = 30.0  # several times the longest item on a slow server
NOT_CONNECTED = "broken: not connected"
NOT_RUN = "not run"
VERSION_UNKNOWN = "version unknown"
UNIDENTIFIED = "server not identified"
EVENT_TIMEOUT_S = 2.5  # between events, after which an item may resume elsewhere
# Events of an item are read in batches: no caller waits for one, and each read costs a
# host as much as forwarding an event to a caller.
READ_INTERVAL_S = 0.15
# Of an item's text: a page of results holds no more.
MAX_TEXT_BYTES = 1024 * 1024
FINAL_READ_TIMEOUT_S = 0.005  # enough for buffered data when an item is cancelled


class VersionUnknownError(Exception):
    """Report that events may be from another version than those before them."""


@attrs.define(eq=False)
class ItemTask:
    """Hold the progress of one item.

    ``position`` is its index among the items of the job. ``service`` is the one whose
    servers it waits for, empty while none of them can be used, and ``software`` their
    version, empty for any. ``origin`` is where its events come from, None if it has
    none, and ``beginning`` counts how often it began anew. ``text_bytes`` is the size
    of the data of its events, and ``saved_events`` counts those that are saved in the
    store. ``server_time_s`` is the time of its runs since it last began, scaled to a
    server of median speed. ``not_before`` is the monotonic time from which it may run
    again. ``urgency`` is that of its latest start. ``run_events`` counts the events of
    the latest run, ``server_closed`` is whether the server ended that run's connection,
    ``connection_fields`` tells in logs which connection that was, ``server_identity``
    is what is known of the process that serves it, ``shared_parts`` names the parts of
    its prompt that other requests may share, None until they are needed, and
    ``held_for`` is the quarantined part for which it waits.
    """

    item: jobs.Item
    position: int
    service: str = ""
    software: str = ""
    origin: stream_origins.Origin | None = None
    beginning: int = 0
    event_data: list[bytes] = attrs.Factory(list)
    text_bytes: int = 0
    last_event: int | None = None
    saved_events: int = 0
    server_time_s: float = 0.0
    not_before: float = 0.0
    server: str = ""
    urgency: int = 0
    counted_on_server: bool = False
    run_events: int = 0
    server_closed: bool = False
    connection_fields: dict[str, typing.Any] = attrs.Factory(dict)
    server_identity: incarnations.Identity = incarnations.Identity.UNKNOWN
    shared_parts: tuple[str, ...] | None = None
    held_for: str = ""
    cancel_scope: trio.CancelScope | None = None

    def add_events(self, event_data: list[bytes], last_event: int | None) -> None:
        """Add the data of further events, up to the one with this id."""
        self.event_data += event_data
        self.text_bytes += sum(map(len, event_data))
        self.last_event = last_event

    def discard_unsaved(self) -> None:
        """Go back to the events that are saved in the store."""
        del self.event_data[self.saved_events :]
        self.text_bytes = sum(map(len, self.event_data))
        self.last_event = self.saved_events or None
        if not self.event_data:
            self.beginning += 1
            self.origin = None

    def begin_anew(self) -> None:
        """Drop all events, so that the next run begins with the first one."""
        self.beginning += 1
        self.event_data = []
        self.text_bytes = self.saved_events = 0
        self.last_event = self.origin = None
        self.server_time_s = 0.0

    @property
    def running(self) -> bool:
        """Return whether the item runs on a server."""
        return self.cancel_scope is not None


@attrs.define(eq=False)
class ItemRunner:
    """Send items to servers and collect their events.

    ``on_connect`` is called once the attempt to connect has succeeded or failed, and
    ``on_head`` with each response's head, the time at which its request was sent and
    whether it went through a peer. ``begun_at`` returns the origin of events that a
    server sent just now.
    """

    pool: pool.Pool
    incarnations: incarnations.Incarnations
    codec: messages.Codec
    on_head: collections.abc.Callable[
        [model.Server, messages.ResponseHead, float, bool], None
    ] = lambda server, head, sent_at, tunnelled: None
    on_connect: collections.abc.Callable[[str], None] = lambda server: None
    on_events: collections.abc.Callable[[str, int, float], None] = (
        lambda server, events, seconds: None
    )
    on_first_event: collections.abc.Callable[[tuple[str, ...]], None] = lambda parts: (
        None
    )
    begun_at: collections.abc.Callable[
        [model.Server, incarnations.Identity], stream_origins.Origin
    ] = lambda server, identity: resumption.origin_of(server)

    def shared_parts(self, state: jobs.State, task: ItemTask) -> tuple[str, ...]:
        """Return the parts of an item's prompt that other requests may share."""
        if task.shared_parts is None:
            request = self.codec.item_request(task.item, state.hostname)
            task.shared_parts = request.shared_parts
        return task.shared_parts

    async def run(self, state: jobs.State, task: ItemTask, server: model.Server) -> str:
        """Run an item on one server; return the outcome."""
        task.run_events, task.server_closed = 0, False
        task.connection_fields = {}
        try:
            need = incarnations.Need.BEGINS
            if task.origin is not None:
                need = incarnations.Need.GOES_ON
            connection, task.server_identity = await self.incarnations.connect(
                server, need, request_id=task.item.id
            )
        except pool.ConnectError:
            return NOT_CONNECTED
        finally:
            self.on_connect(server.instance)
        if need is incarnations.Need.GOES_ON and not task.server_identity.is_known:
            self.pool.release(connection, None)
            return UNIDENTIFIED
        released = False
        try:
            with trio.fail_after(EVENT_TIMEOUT_S) as event_timeout:
                outcome, head = await self._exchange(
                    state, task, server, connection, event_timeout
                )
            if connection.is_reusable():
                self.pool.release(connection, head.keep_alive_s)
                released = True
            return outcome
        except (pool.BrokenError, sse.SequenceError) as error:
            if connection.dropped or task.text_bytes > MAX_TEXT_BYTES:
                task.discard_unsaved()
            task.server_closed = getattr(error, "peer_closed", False)
            if task.server_closed:
                self.incarnations.record_end(server.address)
            return f"broken: {error}"
        except VersionUnknownError:
            return VERSION_UNKNOWN
        except trio.TooSlowError:
            return "broken: silent"
        finally:
            if not released:
                self.pool.abandon(connection)

    async def _exchange(
        self,
        state: jobs.State,
        task: ItemTask,
        server: model.Server,
        connection: pool.Connection,
        event_timeout: trio.CancelScope,
    ) -> tuple[str, messages.ResponseHead]:
        request = self.codec.item_request(task.item, state.hostname)
        context = messages.ForwardingContext(
            server.instance, ITEM_TIMEOUT_S, state.team, task.last_event
        )
        headers = self.codec.server_headers(request, context, len(task.item.body))
        sent_at = trio.current_time()
        await connection.send_request(
            request.method, request.target, headers, task.item.body, request.request_id
        )
        task.connection_fields = connection.log_fields()
        head = await forwarder.read_response_head(
            self.codec, connection, request.request_id
        )
        self.on_head(server, head, sent_at, connection.tunnelled)
        if head.status != 200 or head.not_run:
            await connection.read_body(forwarder.MAX_BUFFERED_RESPONSE_BYTES)
            if head.not_run:
                return NOT_RUN, head
            if not head.signed:
                return "broken: no signature", head
            if head.status == 422:
                return "impossible", head
            if head.status == 500:
                return "error", head
            return f"answered {head.status}", head
        if not head.signed or not head.is_event_stream:
            raise pool.BrokenError("answer is no signed stream")
        splitter = sse.EventSplitter(task.last_event)
        meter = server_speeds.SpeedMeter(server.instance, self.on_events)
        reported_events = len(task.event_data)
        resumed = bool(task.event_data)
        while (data := await connection.read_data()) is not None:
            first = not task.run_events
            collected = self._collect(task, server, splitter, data)
            connection.record_held(task.text_bytes + len(splitter.buffer))
            if task.text_bytes > MAX_TEXT_BYTES:
                raise pool.BrokenError("answer too long")
            if collected:
                if first:
                    self.on_first_event(self.shared_parts(state, task))
                now = trio.current_time()
                event_timeout.deadline = now + EVENT_TIMEOUT_S
                meter.add(len(task.event_data) - reported_events, now)
                reported_events = len(task.event_data)
            try:
                await trio.sleep(READ_INTERVAL_S)
            except trio.Cancelled:
                # Events that have arrived by now need not be generated again.
                with trio.move_on_after(FINAL_READ_TIMEOUT_S, shield=True):
                    rest = await connection.read_data() or b""
                    self._collect(task, server, splitter, rest)
                raise
        connection.check_stream_end(task.run_events, splitter.buffer)
        await self.pool.check_sender(connection)
        if resumed:
            self._record_origin(task, server)
        return "done", head

    def _collect(
        self,
        task: ItemTask,
        server: model.Server,
        splitter: sse.EventSplitter,
        data: bytes,
    ) -> bool:
        """Add the events that data completes; return whether there are any."""
        texts = splitter.split_data(data)
        if texts:
            self._record_origin(task, server)
        task.add_events(texts, splitter.last_id)
        task.run_events += len(texts)
        return bool(texts)

    def _record_origin(self, task: ItemTask, server: model.Server) -> None:
        """Record where the events of a run come from.

        If another incarnation of the server may have sent them, their version is
        unknown. Raises ``VersionUnknownError`` if the item has other events, too.
        """
        origin = self.begun_at(server, task.server_identity)
        if task.origin is None:
            task.origin = origin
        elif task.origin != origin:
            task.origin = attrs.evolve(origin, software="")
            if task.run_events < len(task.event_data):
                raise VersionUnknownError
