"""Access the platform's services over HTTP."""

import collections.abc
import contextlib
import logging
import typing
import urllib.parse

import attrs
import cattrs
import httpx
import trio

from turmerictally import httpclient, settings
from turmerictally.store import guard, hosts, objects, table, weights

logger = logging.getLogger(__name__)

KEEPALIVE_EXPIRY_S = 4.0
# Limit of a response that is buffered in memory; several times the largest page or
# object range that is requested.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_CONNECTIONS = 32  # per HttpClient
STREAM_CHUNK_BYTES = 64 * 1024

# The request was not sent, so a write cannot have been applied.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

_MALFORMED_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    AttributeError,
    cattrs.BaseValidationError,
)
DEFAULT_RETRY_AFTER_S = 10.0  # if the response names no whole number of seconds


class HttpClient:
    """Send requests to the platform and raise failures as the store's exceptions."""

    def __init__(self, config: settings.Platform) -> None:
        self.url = config.url.rstrip("/")
        self.headers = {}
        if config.token:
            self.headers["authorization"] = f"Bearer {config.token}"
        self.timeout_s = config.timeout_s
        self.transport: httpx.AsyncBaseTransport = httpclient.transport(
            config.url,
            httpx.Limits(
                max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_EXPIRY_S
            ),
        )

    async def request(
        self,
        method: str,
        path: str,
        *,
        is_write: bool = False,
        accepted_statuses: tuple[int, ...] = (),
        limit_total_time: bool = True,
        timeout_s: float | None = None,
        **options: typing.Any,
    ) -> httpx.Response:
        """Send a request and return the response with its complete body.

        Raises ``table.UnavailableError`` for an error status that is not in
        ``accepted_statuses``. ``timeout_s`` replaces the configured time-out, for long
        polls. Without ``limit_total_time`` the time-out applies only to each wait on
        the connection, for objects of any size.
        """
        limit_s = self.timeout_s if timeout_s is None else timeout_s
        with translate_errors(is_write):
            with trio.fail_after(limit_s if limit_total_time else float("inf")):
                async with self.stream(method, path, limit_s, **options) as response:
                    response.stream = httpclient.Bounded(
                        response.stream, MAX_RESPONSE_BYTES
                    )
                    await response.aread()
        table.check_status(response.status_code, is_write, accepted_statuses)
        return response

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        timeout_s: float,
        *,
        params: dict[str, typing.Any] | None = None,
        headers: dict[str, str] | None = None,
        **body: typing.Any,
    ) -> collections.abc.AsyncIterator[httpx.Response]:
        """Send a request; leaving the context closes the response, read or not.

        ``timeout_s`` limits each wait on the connection. Raises ``httpx.HTTPError``.
        """
        query = f"?{urllib.parse.urlencode(params)}" if params else ""
        request = httpx.Request(
            method,
            f"{self.url}{path}{query}",
            headers=self.headers | (headers or {}),
            extensions={"timeout": httpx.Timeout(timeout_s).as_dict()},
            **body,
        )
        # httpx.AsyncClient's redirects, cookies and URL merging would double the cost.
        response = await self.transport.handle_async_request(request)
        try:
            yield response
        finally:
            await response.aclose()

    async def aclose(self) -> None:
        """Close the connections."""
        await self.transport.aclose()


@contextlib.contextmanager
def translate_errors(is_write: bool) -> collections.abc.Iterator[None]:
    """Raise transport errors and time-outs as ``table.UnavailableError``."""
    try:
        yield
    except _NOT_SENT_ERRORS as error:
        raise table.UnavailableError(_reason(error)) from error
    except (httpx.HTTPError, trio.TooSlowError) as error:
        raise table.UnavailableError(_reason(error), maybe_applied=is_write) from error


def read_json(response: httpx.Response, is_write: bool = False) -> typing.Any:
    """Return the decoded body; raise ``table.UnavailableError`` if it is not JSON."""
    try:
        return response.json()
    except ValueError as error:
        raise table.UnavailableError("bad JSON", maybe_applied=is_write) from error


@contextlib.contextmanager
def _translate_malformed(is_write: bool = False) -> collections.abc.Iterator[None]:
    try:
        yield
    except _MALFORMED_ERRORS as error:
        raise table.UnavailableError(
            "unexpected answer", maybe_applied=is_write
        ) from error


@attrs.frozen
class Table:
    """Implement ``table.Table`` over HTTP."""

    http_client: HttpClient

    async def get(self, key: str) -> table.Row | None:
        """Return the row, or None."""
        path = f"/table/rows/{_quote(key)}"
        response = await self.http_client.request("GET", path, accepted_statuses=(404,))
        if response.status_code == 404:
            return None
        body = read_json(response)
        with _translate_malformed():
            return cattrs.structure(body, table.Row)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[table.Row]:
        """Return rows under the prefix in key order."""
        params = {"prefix": prefix, "after": after, "limit": limit}
        response = await self.http_client.request("GET", "/table/scan", params=params)
        body = read_json(response)
        with _translate_malformed():
            return cattrs.structure(body["rows"], list[table.Row])

    async def commit(
        self, checks: list[table.Check], writes: list[table.Write]
    ) -> dict[str, int]:
        """Apply the writes if every check holds."""
        body = {
            "checks": [attrs.asdict(check) for check in checks],
            "writes": [_write_to_json(write) for write in writes],
        }
        response = await self.http_client.request(
            "POST", "/table/commit", is_write=True, accepted_statuses=(409,), json=body
        )
        result = read_json(response, is_write=True)
        with _translate_malformed(is_write=True):
            if response.status_code == 409:
                raise table.ConflictError(result["key"])
            return cattrs.structure(result["versions"], dict[str, int])


@attrs.frozen
class Objects:
    """Implement ``objects.Objects`` over HTTP."""

    http_client: HttpClient

    async def put(
        self,
        key: str,
        data: bytes | collections.abc.AsyncIterable[bytes],
        *,
        if_absent: bool = False,
    ) -> objects.ObjectInfo:
        """Store the object; raise ``table.ConflictError`` for status 409 or 412."""
        headers = {"if-none-match": "*"} if if_absent else {}
        response = await self.http_client.request(
            "PUT",
            _object_path(key),
            is_write=True,
            accepted_statuses=(409, 412),
            limit_total_time=False,
            content=data,
            headers=headers,
        )
        if response.status_code in (409, 412):
            raise table.ConflictError(key)
        body = read_json(response, is_write=True)
        with _translate_malformed(is_write=True):
            return cattrs.structure(body, objects.ObjectInfo)

    async def get(self, key: str, *, start: int = 0, end: int | None = None) -> bytes:
        """Return a range of bytes."""
        if end is not None and end <= start:
            return b""
        last_byte = "" if end is None else end - 1
        response = await self.http_client.request(
            "GET",
            _object_path(key),
            accepted_statuses=(404, 416),
            limit_total_time=False,
            headers={"range": f"bytes={start}-{last_byte}"},
        )
        if response.status_code == 404:
            raise KeyError(key)
        if response.status_code == 416:
            return b""
        return response.content

    async def stream(self, key: str) -> collections.abc.AsyncIterator[bytes]:
        """Yield the object in chunks."""
        with translate_errors(is_write=False):
            timeout_s = self.http_client.timeout_s
            path = _object_path(key)
            async with self.http_client.stream("GET", path, timeout_s) as response:
                if response.status_code == 404:
                    raise KeyError(key)
                table.check_status(response.status_code, False, ())
                async for chunk in response.aiter_bytes(STREAM_CHUNK_BYTES):
                    yield chunk

    async def head(self, key: str) -> objects.ObjectInfo | None:
        """Return the object's description, or None."""
        path = _object_path(key)
        response = await self.http_client.request(
            "HEAD", path, accepted_statuses=(404,)
        )
        if response.status_code == 404:
            return None
        with _translate_malformed():
            size = int(response.headers["content-length"])
            etag = response.headers["etag"].strip('"')
            return objects.ObjectInfo(key=key, size=size, etag=etag)

    async def delete(self, key: str) -> None:
        """Delete the object."""
        path = _object_path(key)
        await self.http_client.request(
            "DELETE", path, is_write=True, accepted_statuses=(404,)
        )

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[objects.ObjectInfo]:
        """Return descriptions in key order."""
        params = {"prefix": prefix, "after": after, "limit": limit}
        response = await self.http_client.request("GET", "/objects", params=params)
        body = read_json(response)
        with _translate_malformed():
            return cattrs.structure(body["objects"], list[objects.ObjectInfo])


@attrs.frozen
class HostList:
    """Implement ``hosts.HostList`` over HTTP."""

    http_client: HttpClient

    async def list(self, role: hosts.Role) -> list[hosts.ListedHost]:
        """Return the listed hosts of a role."""
        params = {"role": role.value}
        response = await self.http_client.request("GET", "/hosts", params=params)
        body = read_json(response)
        with _translate_malformed():
            return cattrs.structure(body["hosts"], list[hosts.ListedHost])

    async def register(self, host: hosts.ListedHost) -> None:
        """Add or update this host's entry."""
        path = f"/hosts/{_quote(host.id)}"
        body = cattrs.unstructure(host)
        await self.http_client.request("PUT", path, is_write=True, json=body)

    async def deregister(self, host_id: str, instance: str) -> None:
        """Remove this host's entry."""
        path = f"/hosts/{_quote(host_id)}"
        params = {"instance": instance}
        await self.http_client.request("DELETE", path, is_write=True, params=params)


@attrs.frozen
class WeightStore:
    """Implement ``weights.WeightStore`` over HTTP."""

    http_client: HttpClient

    async def list(self) -> list[weights.WeightsInfo]:
        """Return every stored version of all weights."""
        response = await self.http_client.request("GET", "/weights")
        body = read_json(response)
        with _translate_malformed():
            return cattrs.structure(body["weights"], list[weights.WeightsInfo])

    async def reserve(self, name: str, version: str) -> weights.WeightsInfo:
        """Reserve one download of a version."""
        response = await self.http_client.request(
            "POST",
            "/weights/reserve",
            is_write=True,
            accepted_statuses=(404, 429),
            json={"name": name, "version": version},
        )
        if response.status_code == 404:
            raise KeyError((name, version))
        if response.status_code == 429:
            raise weights.ThrottledError(_retry_after_s(response))
        body = read_json(response, is_write=True)
        with _translate_malformed(is_write=True):
            return cattrs.structure(body, weights.WeightsInfo)


class Client:
    """Provide the services; the object store has its own connection pool."""

    def __init__(self, config: settings.Platform) -> None:
        self.shared_client = HttpClient(config)
        self.object_client = HttpClient(config)
        self.table = Table(self.shared_client)
        self.objects = Objects(self.object_client)
        self.hosts = HostList(self.shared_client)
        self.weights = WeightStore(self.shared_client)

    async def aclose(self) -> None:
        """Close every connection."""
        await self.shared_client.aclose()
        await self.object_client.aclose()


@contextlib.asynccontextmanager
async def connect(
    config: settings.Platform,
) -> collections.abc.AsyncIterator[guard.Platform]:
    """Yield one host's guarded platform; close its connections on exit."""
    client = Client(config)
    try:
        yield guard.Platform(guard.Guard(config), client)
    finally:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
            await client.aclose()


def _retry_after_s(response: httpx.Response) -> float:
    header = response.headers.get("retry-after", "")
    return float(header) if header.isdecimal() else DEFAULT_RETRY_AFTER_S


def _write_to_json(write: table.Write) -> dict:
    if isinstance(write, table.Delete):
        return {"delete": write.key}
    return {"put": write.key, "value": write.value}


def _object_path(key: str) -> str:
    return f"/objects/{_quote(key)}"


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="/")


def _reason(error: Exception) -> str:
    return f"{type(error).__name__}: {error}".rstrip(": ")
