"""Make HTTP clients and transports that share one TLS context.

They check what the library passes over: whether a request was sent whole, where only
the connection's end ends its response, and what no valid head contains.
"""

import collections.abc
import contextlib
import functools
import importlib
import re
import socket
import ssl
import struct
import typing

import attrs
import httpx

# Closing a connection drops what was not delivered: a call that was given up must not
# arrive later, when a partition has healed.
SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]

# Trace events of the library. It drops these errors, as a server may respond before it
# has read the entire request.
SEND_FAILED_EVENTS = frozenset(
    {"http11.send_request_headers.failed", "http11.send_request_body.failed"}
)
STATUSES = range(100, 600)
BODILESS_STATUSES = frozenset({204, 304})
CONTROL_BYTES = re.compile(rb"[^\t\x20-\x7e\x80-\xff]")


@attrs.define
class Bounded(httpx.AsyncByteStream):
    """Pass on a body of at most ``most_bytes``; a longer one breaks off."""

    inner: httpx.AsyncByteStream
    most_bytes: int

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body's bytes; raises ``httpx.ReadError``."""
        size = 0
        async for data in self.inner:
            size += len(data)
            if size > self.most_bytes:
                raise httpx.ReadError(f"body of over {self.most_bytes} bytes")
            yield data

    async def aclose(self) -> None:
        """Close the connection, or give it back after a whole answer."""
        await self.inner.aclose()


@attrs.define(eq=False)
class Sending:
    """Note whether a request was sent whole, from the library's trace of it."""

    inner: collections.abc.Callable[[str, dict], typing.Any] | None
    failed: bool = False

    def trace(self, event: str, info: dict) -> typing.Any:
        """Handle a trace event; return what the caller's own handler returns."""
        self.failed = self.failed or event in SEND_FAILED_EVENTS
        return self.inner(event, info) if self.inner is not None else None

    async def trace_async(self, event: str, info: dict) -> None:
        """Handle a trace event of an asynchronous transport."""
        handled = self.trace(event, info)
        if handled is not None:
            await handled


@attrs.define
class BrokenOff(httpx.AsyncByteStream, httpx.SyncByteStream):
    """Pass on a body whose connection broke; its end is an error."""

    inner: typing.Any

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body's bytes; raises ``httpx.ReadError``."""
        async for data in self.inner:
            yield data
        raise _broken_off()

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the body's bytes; raises ``httpx.ReadError``."""
        yield from self.inner
        raise _broken_off()

    async def aclose(self) -> None:
        """Close the connection."""
        await self.inner.aclose()

    def close(self) -> None:
        """Close the connection."""
        self.inner.close()


@attrs.define(eq=False)
class CheckedTransport(httpx.AsyncBaseTransport):
    """Check the responses of an asynchronous transport."""

    inner: httpx.AsyncBaseTransport

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Return the response; raises ``httpx.HTTPError``."""
        sending = Sending(request.extensions.get("trace"))
        with _traced(request, sending.trace_async):
            response = await self.inner.handle_async_request(request)
        reason = _invalid_head(response)
        if reason:
            await response.aclose()
            raise httpx.RemoteProtocolError(reason, request=request)
        return _checked(request, response, sending)

    async def aclose(self) -> None:
        """Close the connections."""
        await self.inner.aclose()


@attrs.define(eq=False)
class CheckedSyncTransport(httpx.BaseTransport):
    """Check the responses of a synchronous transport."""

    inner: httpx.BaseTransport

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        """Return the response; raises ``httpx.HTTPError``."""
        sending = Sending(request.extensions.get("trace"))
        with _traced(request, sending.trace):
            response = self.inner.handle_request(request)
        reason = _invalid_head(response)
        if reason:
            response.close()
            raise httpx.RemoteProtocolError(reason, request=request)
        return _checked(request, response, sending)

    def close(self) -> None:
        """Close the connections."""
        self.inner.close()


@contextlib.contextmanager
def _traced(
    request: httpx.Request, trace: collections.abc.Callable[[str, dict], typing.Any]
) -> collections.abc.Iterator[None]:
    """Let the library trace a request while it is sent."""
    before = request.extensions
    request.extensions = {**before, "trace": trace}
    try:
        yield
    finally:
        request.extensions = before


def _invalid_head(response: httpx.Response) -> str:
    """Return what is invalid in a response's head, empty if nothing is."""
    if response.status_code not in STATUSES:
        return f"status {response.status_code}"
    for name, value in response.headers.raw:
        if CONTROL_BYTES.search(value):
            return f"control byte in the value of {name!r}"
    return ""


def _checked(
    request: httpx.Request, response: httpx.Response, sending: Sending
) -> httpx.Response:
    """Return a response whose end is an error if its connection broke."""
    if sending.failed and _ends_with_connection(request, response):
        response.stream = BrokenOff(response.stream)
    return response


def _ends_with_connection(request: httpx.Request, response: httpx.Response) -> bool:
    """Return whether only the connection's end tells that of the body."""
    bodiless = request.method == "HEAD" or response.status_code in BODILESS_STATUSES
    framed = "content-length" in response.headers or (
        "transfer-encoding" in response.headers
    )
    return not (bodiless or framed)


def _broken_off() -> httpx.ReadError:
    return httpx.ReadError("connection broke as the request was sent")


@functools.cache
def tls_context() -> ssl.SSLContext:
    """Return the context by which servers are verified."""
    # A process that reaches its services without TLS never loads the authorities.
    certifi = importlib.import_module("certifi")
    return ssl.create_default_context(cafile=certifi.where())


def client(
    *,
    transport: httpx.AsyncBaseTransport | None = None,
    limits: httpx.Limits | None = None,
    **options: typing.Any,
) -> httpx.AsyncClient:
    """Return a client that ignores the environment's proxies."""
    if transport is None:
        transport = CheckedTransport(
            httpx.AsyncHTTPTransport(
                verify=tls_context(),
                trust_env=False,
                limits=limits or httpx.Limits(),
                socket_options=SOCKET_OPTIONS,
            )
        )
    return httpx.AsyncClient(transport=transport, trust_env=False, **options)


def sync_client(**options: typing.Any) -> httpx.Client:
    """Return a synchronous client that ignores the environment's proxies."""
    transport = httpx.HTTPTransport(verify=tls_context(), trust_env=False)
    return httpx.Client(
        transport=CheckedSyncTransport(transport), trust_env=False, **options
    )


def transport(url: str, limits: httpx.Limits) -> httpx.AsyncBaseTransport:
    """Return a transport to one service, without a client's redirects and cookies."""
    # Loading the authorities takes 0.1 s; without them every TLS server is rejected.
    plain = url.startswith("http://")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT) if plain else tls_context()
    return CheckedTransport(
        httpx.AsyncHTTPTransport(
            verify=context,
            trust_env=False,
            limits=limits,
            socket_options=SOCKET_OPTIONS,
        )
    )
