"""Receive request bodies with bounded memory."""

import quart_trio.asgi
import quart_trio.wrappers.request
import trio

UPLOAD_PATH = "/v1/files"
HIGH_WATER_BYTES = 1024 * 1024


class Body(quart_trio.wrappers.request.TrioBody):
    """Hold the part of a request's body that was not read yet."""

    def __init__(
        self, expected_content_length: int | None, max_content_length: int | None
    ) -> None:
        super().__init__(expected_content_length, max_content_length)
        self.taken = trio.Event()

    async def __anext__(self) -> bytes:
        data = await super().__anext__()
        self.taken.set()
        return data

    async def wait_for_room(self) -> None:
        """Wait until a streamed body has been read far enough."""
        while len(self._data) >= HIGH_WATER_BYTES:
            self.taken = trio.Event()
            await self.taken.wait()


class Request(quart_trio.wrappers.request.TrioRequest):
    """Use the bounded body."""

    body_class = Body


class Connection(quart_trio.asgi.TrioASGIHTTPConnection):
    """Stop reading an upload while its bytes wait to be stored."""

    async def handle_messages(self, nursery, request, receive) -> None:
        """Feed the body until the caller leaves, then cancel the request."""
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
