"""Define the requests and responses of the online path, for frontend and batch."""

import collections.abc
import enum

import attrs
import trio

from turmerictally.config import model

Headers = tuple[tuple[str, str], ...]


class WorkClass(enum.Enum):
    """Distinguish online requests from batch work."""

    ONLINE = "online"
    BATCH = "batch"


@attrs.define(kw_only=True)
class Request:
    """Describe one validated request of a team.

    ``deadline`` is on the local monotonic clock, in seconds. ``contract`` is None and
    ``team`` empty on routes without authentication. ``model`` is empty for plain
    services. ``withdrawn`` is set when the request's key is revoked. ``query`` is the
    raw query string without the question mark.
    """

    request_id: str
    team: str
    contract: model.Contract | None
    service: str
    method: str
    path: str
    deadline: float
    query: str = ""
    headers: Headers = ()
    body: bytes = attrs.field(default=b"", repr=False)
    model: str = ""
    streamed: bool = False
    idempotent: bool = False
    idempotency_key: str = attrs.field(default="", repr=False)
    work: WorkClass = WorkClass.ONLINE
    withdrawn: trio.Event = attrs.field(factory=trio.Event, repr=False)


@attrs.frozen(kw_only=True)
class Response:
    """Hold one complete response; ``replayed`` means that it was stored before."""

    status: int
    headers: Headers = ()
    body: bytes = attrs.field(default=b"", repr=False)
    server: str = ""
    replayed: bool = False


@attrs.define(kw_only=True)
class StreamResponse:
    """Represent a started stream of server-sent events.

    Iterate over ``chunks`` for bytes. The stream ends with ``data: [DONE]`` if it
    is complete, and with an error event otherwise. Use ``async with`` or call
    ``cancel`` if the caller disconnects, so that the engine's work is cancelled.
    """

    status: int
    headers: Headers = ()
    server: str = ""
    chunks: trio.MemoryReceiveChannel[bytes]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        return self.chunks.__aiter__()

    async def __aenter__(self) -> "StreamResponse":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.cancel()

    def cancel(self) -> None:
        """Stop the relay and cancel the engine's work; no effect after the end."""
        self.scope.cancel()
        self.chunks.close()


Record = collections.abc.Callable[..., None]


def ignore(request_id: str, event: str, **fields: object) -> None:
    """Discard a decision record (the default ``Record``)."""
