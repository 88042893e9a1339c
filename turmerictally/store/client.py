"""Reach the platform's services over HTTP."""

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
# Of one answer that is read whole: several times the largest page or object piece.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_CONNECTIONS = 32  # for each of the table and the object store
STREAM_CHUNK_BYTES = 64 * 1024

# The request was never sent, so a write cannot have taken effect.
_NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

_MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    AttributeError,
    cattrs.BaseValidationError,
)
DEFAULT_RETRY_AFTER_S = 10.0


class HttpClient:
    """Send requests to one service and classify what goes wrong."""

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
        write: bool = False,
        passed: tuple[int, ...] = (),
        whole_timeout: bool = True,
        timeout_s: float | None = None,
        **options: typing.Any,
    ) -> httpx.Response:
        """Send a request; statuses in ``passed`` are left to the caller.

        ``timeout_s`` replaces the usual time limit, for calls that wait for news.
        """
        limit_s = self.timeout_s if timeout_s is None else timeout_s
        with classified(write):
            with trio.fail_after(limit_s if whole_timeout else float("inf")):
                async with self.stream(method, path, limit_s, **options) as response:
                    response.stream = httpclient.Bounded(
                        response.stream, MAX_ANSWER_BYTES
                    )
                    await response.aread()
        table.check_status(response.status_code, write, passed)
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
        """Send a request; the answer is read, or left, within the context.

        ``timeout_s`` bounds each wait on the connection; raises ``httpx.HTTPError``.
        """
        query = f"?{urllib.parse.urlencode(params)}" if params else ""
        request = httpx.Request(
            method,
            f"{self.url}{path}{query}",
            headers=self.headers | (headers or {}),
            extensions={"timeout": httpx.Timeout(timeout_s).as_dict()},
            **body,
        )
        # A client's redirects, cookies and merging of addresses cost as much again.
        response = await self.transport.handle_async_request(request)
        try:
            yield response
        finally:
            await response.aclose()

    async def aclose(self) -> None:
        """Close the connections."""
        await self.transport.aclose()


@contextlib.contextmanager
def classified(write: bool) -> collections.abc.Iterator[None]:
    """Turn transport errors into ``table.UnavailableError``."""
    try:
        yield
    except _NOT_SENT as error:
        raise table.UnavailableError(_reason(error)) from error
    except (httpx.HTTPError, trio.TooSlowError) as error:
        raise table.UnavailableError(_reason(error), maybe_applied=write) from error


def read_json(response: httpx.Response, write: bool = False) -> typing.Any:
    """Return the decoded body; a broken body is an unanswered call."""
    try:
        return response.json()
    except ValueError as error:
        raise table.UnavailableError("bad JSON", maybe_applied=write) from error


@contextlib.contextmanager
def _structured(write: bool = False) -> collections.abc.Iterator[None]:
    try:
        yield
    except _MALFORMED as error:
        raise table.UnavailableError(
            "unexpected answer", maybe_applied=write
        ) from error


@attrs.frozen
class Table:
    """Implement ``table.Table``."""

    http_client: HttpClient

    async def get(self, key: str) -> table.Row | None:
        """Return the row, or None."""
        path = f"/table/rows/{_quote(key)}"
        response = await self.http_client.request("GET", path, passed=(404,))
        if response.status_code == 404:
            return None
        body = read_json(response)
        with _structured():
            return cattrs.structure(body, table.Row)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[table.Row]:
        """Return rows under the prefix in key order."""
        params = {"prefix": prefix, "after": after, "limit": limit}
        response = await self.http_client.request("GET", "/table/scan", params=params)
        body = read_json(response)
        with _structured():
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
            "POST", "/table/commit", write=True, passed=(409,), json=body
        )
        answer = read_json(response, write=True)
        with _structured(write=True):
            if response.status_code == 409:
                raise table.ConflictError(answer["key"])
            return cattrs.structure(answer["versions"], dict[str, int])


@attrs.frozen
class Objects:
    """Implement ``objects.Objects``."""

    http_client: HttpClient

    async def put(
        self,
        key: str,
        data: bytes | collections.abc.AsyncIterable[bytes],
        *,
        if_absent: bool = False,
    ) -> objects.ObjectInfo:
        """Store the object once all its bytes have arrived."""
        headers = {"if-none-match": "*"} if if_absent else {}
        response = await self.http_client.request(
            "PUT",
            _object_path(key),
            write=True,
            passed=(409, 412),
            whole_timeout=False,
            content=data,
            headers=headers,
        )
        if response.status_code in (409, 412):
            raise table.ConflictError(key)
        body = read_json(response, write=True)
        with _structured(write=True):
            return cattrs.structure(body, objects.ObjectInfo)

    async def get(self, key: str, *, start: int = 0, end: int | None = None) -> bytes:
        """Return a range of bytes."""
        if end is not None and end <= start:
            return b""
        last = "" if end is None else end - 1
        response = await self.http_client.request(
            "GET",
            _object_path(key),
            passed=(404, 416),
            whole_timeout=False,
            headers={"range": f"bytes={start}-{last}"},
        )
        if response.status_code == 404:
            raise KeyError(key)
        if response.status_code == 416:
            return b""
        return response.content

    async def stream(self, key: str) -> collections.abc.AsyncIterator[bytes]:
        """Yield the object in chunks."""
        with classified(write=False):
            wait_s = self.http_client.timeout_s
            path = _object_path(key)
            async with self.http_client.stream("GET", path, wait_s) as response:
                if response.status_code == 404:
                    raise KeyError(key)
                table.check_status(response.status_code, False, ())
                async for chunk in response.aiter_bytes(STREAM_CHUNK_BYTES):
                    yield chunk

    async def head(self, key: str) -> objects.ObjectInfo | None:
        """Return the object's description, or None."""
        path = _object_path(key)
        response = await self.http_client.request("HEAD", path, passed=(404,))
        if response.status_code == 404:
            return None
        with _structured():
            size = int(response.headers["content-length"])
            etag = response.headers["etag"].strip('"')
            return objects.ObjectInfo(key=key, size=size, etag=etag)

    async def delete(self, key: str) -> None:
        """Delete the object."""
        path = _object_path(key)
        await self.http_client.request("DELETE", path, write=True, passed=(404,))

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[objects.ObjectInfo]:
        """Return descriptions in key order."""
        params = {"prefix": prefix, "after": after, "limit": limit}
        response = await self.http_client.request("GET", "/objects", params=params)
        body = read_json(response)
        with _structured():
            return cattrs.structure(body["objects"], list[objects.ObjectInfo])


@attrs.frozen
class HostList:
    """Implement ``hosts.HostList``."""

    http_client: HttpClient

    async def list(self, role: hosts.Role) -> list[hosts.ListedHost]:
        """Return the listed hosts of a role."""
        params = {"role": role.value}
        response = await self.http_client.request("GET", "/hosts", params=params)
        body = read_json(response)
        with _structured():
            return cattrs.structure(body["hosts"], list[hosts.ListedHost])

    async def register(self, host: hosts.ListedHost) -> None:
        """Announce this host."""
        path = f"/hosts/{_quote(host.id)}"
        body = cattrs.unstructure(host)
        await self.http_client.request("PUT", path, write=True, json=body)

    async def deregister(self, host_id: str, instance: str) -> None:
        """Remove this host."""
        path = f"/hosts/{_quote(host_id)}"
        params = {"instance": instance}
        await self.http_client.request("DELETE", path, write=True, params=params)


@attrs.frozen
class WeightStore:
    """Implement ``weights.WeightStore``."""

    http_client: HttpClient

    async def list(self) -> list[weights.WeightsInfo]:
        """Return every stored version."""
        response = await self.http_client.request("GET", "/weights")
        body = read_json(response)
        with _structured():
            return cattrs.structure(body["weights"], list[weights.WeightsInfo])

    async def reserve(self, name: str, version: str) -> weights.WeightsInfo:
        """Reserve one download."""
        response = await self.http_client.request(
            "POST",
            "/weights/reserve",
            write=True,
            passed=(404, 429),
            json={"name": name, "version": version},
        )
        if response.status_code == 404:
            raise KeyError((name, version))
        if response.status_code == 429:
            raise weights.ThrottledError(_retry_after_s(response))
        body = read_json(response, write=True)
        with _structured(write=True):
            return cattrs.structure(body, weights.WeightsInfo)


class Client:
    """Bundle the services; the object store has connections of its own."""

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
    """Return the guarded platform of one host for the time of the context."""
    client = Client(config)
    try:
        yield guard.Platform(guard.Guard(config), client)
    finally:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
            await client.aclose()


def _retry_after_s(response: httpx.Response) -> float:
    given = response.headers.get("retry-after", "")
    return float(given) if given.isdecimal() else DEFAULT_RETRY_AFTER_S


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
