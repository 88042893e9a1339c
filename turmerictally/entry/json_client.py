"""Call a service over HTTP/1.1 by the code that also reaches backend servers."""

import json
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import network, pool
from turmerictally.store import table

# Of one answer: several times a page of 1 MB of rows with its encoding.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
JSON_HEADERS = [(b"Content-Type", b"application/json")]


@attrs.frozen
class Response:
    """Hold a status and the decoded JSON body."""

    status: int
    body: typing.Any


@attrs.define(eq=False)
class JsonClient:
    """Send calls to one address and classify what goes wrong."""

    address: str
    timeout_s: float
    pool: pool.Pool

    async def request(
        self,
        method: bytes,
        target: bytes,
        body: typing.Any = None,
        *,
        is_write: bool = False,
        accepted_statuses: tuple[int, ...] = (),
        timeout_s: float | None = None,
    ) -> Response:
        """Return an answer; raises ``table.UnavailableError``.

        Statuses in ``accepted_statuses`` are left to the caller; ``timeout_s`` replaces
        the usual time limit, for calls that wait for news.
        """
        limit_s = self.timeout_s if timeout_s is None else timeout_s
        sent = b"" if body is None else json.dumps(body).encode()
        try:
            with trio.fail_after(limit_s):
                status, data = await self._exchange(method, target, sent)
        except pool.ConnectError as error:
            raise table.UnavailableError(f"not connected: {error}") from error
        except (pool.BrokenError, trio.TooSlowError) as error:
            reason = str(error) or "timeout"
            raise table.UnavailableError(reason, maybe_applied=is_write) from error
        table.check_status(status, is_write, accepted_statuses)
        try:
            return Response(status, json.loads(data))
        except ValueError as error:
            raise table.UnavailableError("bad JSON", maybe_applied=is_write) from error

    async def _exchange(
        self, method: bytes, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        headers = [(b"Host", self.address.encode())]
        if body:
            headers += [*JSON_HEADERS, (b"Content-Length", b"%d" % len(body))]
        connection = await self.pool.acquire(self.address)
        kept = False
        try:
            await connection.send_request(method, target, headers, body)
            head = await connection.read_head()
            data = await connection.read_body(MAX_ANSWER_BYTES)
            if connection.is_reusable():
                self.pool.release(connection, None)
                kept = True
            return head.status, data
        finally:
            if not kept:
                self.pool.abandon(connection)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close_idle(self.address)


def connect(address: str, timeout_s: float, reach: network.Network) -> JsonClient:
    """Return a channel with connections of its own."""
    return JsonClient(address, timeout_s, pool.Pool(reach, clocks.Clock()))
