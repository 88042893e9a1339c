"""Carry httpx requests to stand-ins without sockets, streaming, in virtual time."""

import collections.abc
import math

import httpx
import quart
import trio

BUFFERED_MESSAGES = 64  # of one response, before its sender waits


class Transport(httpx.AsyncBaseTransport):
    """Send each request to the application at its ``ip:port``.

    A missing address refuses the connection; an address in ``silent`` never
    answers. Applications run in ``nursery``.
    """

    def __init__(self, nursery: trio.Nursery, apps: dict[str, quart.Quart]) -> None:
        self.nursery = nursery
        self.apps = apps
        self.silent: set[str] = set()
        self.delay_s = 0.0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Start the application and return its response once it begins."""
        address = request.url.netloc.decode()
        if address in self.silent:
            await _time_out(request)
        await trio.sleep(self.delay_s)
        if address not in self.apps:
            raise httpx.ConnectError("connection refused", request=request)
        body = await request.aread()
        exchange = Exchange(request, body)
        self.nursery.start_soon(exchange.run, self.apps[address])
        try:
            return await exchange.response()
        except BaseException:
            exchange.scope.cancel()
            raise


class Exchange(httpx.AsyncByteStream):
    """Run one request through an application."""

    def __init__(self, request: httpx.Request, body: bytes) -> None:
        self.request = request
        self.body = body
        self.scope = trio.CancelScope()
        self.sender, self.receiver = trio.open_memory_channel(BUFFERED_MESSAGES)
        self.sent_body = False
        self.disconnected = trio.Event()
        self.ended = False

    async def run(self, app: quart.Quart) -> None:
        """Run the application; its failure cuts the response."""
        with self.scope, self.sender:
            try:
                await app.asgi_app(self._scope(), self._receive, self._send)
            except trio.BrokenResourceError:
                return
            except Exception:  # noqa: BLE001 - as a server would, cut the connection
                return

    async def response(self) -> httpx.Response:
        """Wait for the response's beginning."""
        left = (self.request.extensions.get("timeout") or {}).get("read") or math.inf
        try:
            with trio.fail_after(left):
                start = await self.receiver.receive()
        except trio.TooSlowError as error:
            raise httpx.ReadTimeout("no response", request=self.request) from error
        except trio.EndOfChannel as error:
            raise httpx.RemoteProtocolError("cut", request=self.request) from error
        return httpx.Response(
            start["status"], headers=start["headers"], stream=self, request=self.request
        )

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it is sent."""
        left = (self.request.extensions.get("timeout") or {}).get("read") or math.inf
        while True:
            try:
                with trio.fail_after(left):
                    message = await self.receiver.receive()
            except trio.TooSlowError as error:
                raise httpx.ReadTimeout("slow", request=self.request) from error
            except trio.EndOfChannel as error:
                raise httpx.RemoteProtocolError("cut", request=self.request) from error
            if message.get("body"):
                yield message["body"]
            if not message.get("more_body"):
                return

    async def aclose(self) -> None:
        """Hang up; the application sees the client leave."""
        self.disconnected.set()
        self.receiver.close()
        self.scope.cancel()

    def _scope(self) -> dict:
        url = self.request.url
        return {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": self.request.method,
            "scheme": url.scheme,
            "path": url.path,
            "raw_path": url.raw_path.split(b"?")[0],
            "query_string": url.query,
            "root_path": "",
            "headers": [(k.lower(), v) for k, v in self.request.headers.raw],
            "server": (url.host, url.port),
            "client": ("127.0.0.1", 1),
            "extensions": {},
        }

    async def _receive(self) -> dict:
        if not self.sent_body:
            self.sent_body = True
            return {"type": "http.request", "body": self.body, "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict) -> None:
        await self.sender.send(message)


async def _time_out(request: httpx.Request) -> None:
    timeout = request.extensions.get("timeout") or {}
    await trio.sleep(timeout.get("connect") or math.inf)
    raise httpx.ConnectTimeout("no answer", request=request)
