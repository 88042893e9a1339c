"""Exchange JSON with a service over HTTP/1.1, on the pool used for backend servers."""

import json
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import decoding, network, pool
from turmerictally.store import rows

# Several times a page of 1 MB of rows in its encoding.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
JSON_HEADERS = [(b"Content-Type", b"application/json")]


@attrs.frozen
class Response:
    """Hold a response's status and decoded JSON body."""

    status: int
    body: typing.Any


@attrs.define(eq=False)
class JsonClient:
    """Send requests to one address, and map failures to the errors of ``rows``."""

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
        """Return the response; raises ``rows.UnavailableError``.

        A status in ``accepted_statuses`` is returned, not raised, with None as its body
        if that is empty. ``timeout_s`` overrides the client's time-out, for long polls.
        """
        limit_s = self.timeout_s if timeout_s is None else timeout_s
        data = b"" if body is None else json.dumps(body).encode()
        try:
            with trio.fail_after(limit_s):
                status, content = await self._exchange(method, target, data)
        except pool.ConnectError as error:
            raise rows.UnavailableError(f"not connected: {error}") from error
        except (pool.BrokenError, trio.TooSlowError) as error:
            reason = str(error) or "timeout"
            raise rows.UnavailableError(reason, maybe_applied=is_write) from error
        rows.check_status(status, is_write, accepted_statuses)
        if not content and status in accepted_statuses:
            return Response(status, None)
        try:
            return Response(status, decoding.read_json(content))
        except decoding.DecodeError as error:
            raise rows.UnavailableError("bad JSON", maybe_applied=is_write) from error

    async def _exchange(
        self, method: bytes, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        headers = [(b"Host", self.address.encode())]
        if body:
            headers += [*JSON_HEADERS, (b"Content-Length", b"%d" % len(body))]
        connection = await self.pool.acquire(self.address)
        released = False
        try:
            await connection.send_request(method, target, headers, body)
            head = await connection.read_head()
            data = await connection.read_body(MAX_RESPONSE_BYTES)
            if connection.is_reusable():
                self.pool.release(connection, None)
                released = True
            return head.status, data
        finally:
            if not released:
                self.pool.abandon(connection)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close_idle(self.address)


def connect(address: str, timeout_s: float, net: network.Network) -> JsonClient:
    """Return a client with a connection pool of its own."""
    return JsonClient(address, timeout_s, pool.Pool(net, clocks.Clock()))
