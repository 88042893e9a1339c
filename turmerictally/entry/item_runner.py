"""Run a batch item on a backend server, going on where an earlier run stopped."""

import collections.abc

import attrs
import trio

from turmerictally.entry import forwarder, jobs, messages, model, pool, sse
from turmerictally.scheduling import server_speeds

ITEM_TIMEOUT_S = 30.0  # several times the longest item on a slow server
NOT_CONNECTED = "broken: not connected"
SILENCE_S = 2.5  # without an event; an item may go on elsewhere
# Events of an item are read together, several times a second: nobody waits for one, and
# each read costs a host as much as an event passed on to a caller.
READ_PAUSE_S = 0.15
LAST_READ_S = 0.005  # for reading what is here already when an item must stop


@attrs.define(eq=False)
class ItemTask:
    """Hold one item's progress; ``not_before`` is monotonic seconds.

    ``saved_events`` counts the events that are kept in the store.
    """

    item: jobs.Item
    position: int
    event_data: list[bytes] = attrs.Factory(list)
    last_event: int | None = None
    saved_events: int = 0
    server_time_s: float = 0.0
    errors: int = 0
    not_before: float = 0.0
    server: str = ""
    counted_on_server: bool = False
    cancel_scope: trio.CancelScope | None = None
    refused_by: set[str] = attrs.Factory(set)

    @property
    def running(self) -> bool:
        """Return whether a server works on it."""
        return self.cancel_scope is not None


@attrs.define(eq=False)
class ItemRunner:
    """Send items to servers and collect their events."""

    pool: pool.Pool
    codec: messages.Codec
    on_leaving: collections.abc.Callable[[model.Server, str], None] = (
        lambda server, source: None
    )
    on_sending: collections.abc.Callable[[str], None] = lambda server: None
    on_events: collections.abc.Callable[[str, int, float], None] = (
        lambda server, events, seconds: None
    )

    async def run(self, state: jobs.State, task: ItemTask, server: model.Server) -> str:
        """Run an item on one server; return how that ended."""
        try:
            connection = await self.pool.acquire(server.address)
        except pool.ConnectError:
            return NOT_CONNECTED
        finally:
            self.on_sending(server.instance)
        kept = False
        try:
            with trio.fail_after(SILENCE_S) as silence:
                outcome, head = await self._converse(
                    state, task, server, connection, silence
                )
            if connection.is_reusable():
                self.pool.release(connection, head.keep_alive_s)
                kept = True
            return outcome
        except (pool.BrokenError, sse.SequenceError) as error:
            return f"broken: {error}"
        except trio.TooSlowError:
            return "broken: silent"
        finally:
            if not kept:
                self.pool.abandon(connection)

    async def _converse(
        self,
        state: jobs.State,
        task: ItemTask,
        server: model.Server,
        connection: pool.Connection,
        silence: trio.CancelScope,
    ) -> tuple[str, messages.ResponseHead]:
        request = self.codec.item_request(task.item, state.hostname)
        context = messages.ForwardingContext(
            server.instance, ITEM_TIMEOUT_S, state.team, task.last_event
        )
        headers = self.codec.server_headers(request, context, len(task.item.body))
        await connection.send_request(
            request.method, request.target, headers, task.item.body
        )
        head = await forwarder.read_response_head(
            self.codec, connection, request.request_id
        )
        if head.leaving:
            self.on_leaving(server, "its answer")
        if head.status != 200 or head.not_run:
            await connection.read_body(forwarder.MAX_BUFFERED_RESPONSE_BYTES)
            if head.not_run:
                return "not run", head
            if not head.signed:
                return "broken: no signature", head
            if head.status == 422:
                return "impossible", head
            if head.status == 500:
                task.errors += 1
                return "error", head
            return f"answered {head.status}", head
        if not head.signed or not head.is_event_stream:
            raise pool.BrokenError("answer is no signed stream")
        splitter = sse.EventSplitter(task.last_event)
        meter = server_speeds.SpeedMeter(server.instance, self.on_events)
        had = len(task.event_data)
        while (data := await connection.read_data()) is not None:
            if _collect(task, splitter, data):
                now = trio.current_time()
                silence.deadline = now + SILENCE_S
                meter.add(len(task.event_data) - had, now)
                had = len(task.event_data)
            try:
                await trio.sleep(READ_PAUSE_S)
            except trio.Cancelled:
                # What has come meanwhile need not be made again.
                with trio.move_on_after(LAST_READ_S, shield=True):
                    _collect(task, splitter, await connection.read_data() or b"")
                raise
        if splitter.buffer:
            raise pool.BrokenError("stream ended within an event")
        return "done", head


def _collect(task: ItemTask, splitter: sse.EventSplitter, data: bytes) -> bool:
    """Take bytes of a stream; return whether they completed an event."""
    found = splitter.split_data(data)
    task.event_data += found
    task.last_event = splitter.last_id
    return bool(found)
