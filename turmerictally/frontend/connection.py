"""Receive request bodies with bounded memory."""

import quart_trio.asgi
import quart_trio.wrappers.request
import trio

UPLOAD_PATH = "/v1/files"
HIGH_WATER_BYTES = 1024 * 1024


class Body(quart_trio.wrappers.request.TrioBody):
    """Buffer the received part of a request's body that is still unread."""

    def __init__(
        self, expected_content_length: int | None, max_content_length: int | None
    ) -> None:
        super().__init__(expected_content_length, max_content_length)
        self.data_consumed = trio.Event()

    async def __anext__(self) -> bytes:
        data = await super().__anext__()
        self.data_consumed.set()
        return data

    async def wait_for_room(self) -> None:
        """Wait until fewer than ``HIGH_WATER_BYTES`` are buffered."""
        while len(self._data) >= HIGH_WATER_BYTES:
            self.data_consumed = trio.Event()
            await self.data_consumed.wait()


class Request(quart_trio.wrappers.request.TrioRequest):
    """Build requests with a body that can limit its buffer."""

    body_class = Body


class Connection(quart_trio.asgi.TrioASGIHTTPConnection):
    """Stop receiving an upload while too many of its bytes are buffered."""

    async def handle_messages(self, nursery, request, receive) -> None:
        """Append received data to the body; cancel the request on disconnect."""
        is_upload = self.scope["path"] == UPLOAD_PATH
        while True:
            if is_upload:
                await request.body.wait_for_room()
            message = await receive()
            if message["type"] == "http.disconnect":
                break
            if message["type"] == "http.request":
                request.body.append(message.get("body", b""))
                if not message.get("more_body", False):
                    request.body.set_complete()
        nursery.cancel_scope.cancel()

    def _create_request_from_scope(self, send) -> Request:
        request = super()._create_request_from_scope(send)
        if self.scope["path"] == UPLOAD_PATH:
            limit = self.app.config["MAX_UPLOAD_LENGTH"]
            request.body = Body(request.content_length, limit)
        return request
