"""Send one attempt of a request to a backend server and check the response."""

import json
import logging
import urllib.parse

import attrs
import httpx
import trio

from turmerictally import clock as clocks
from turmerictally import errors, httpclient, settings
from turmerictally.online import headers, messages
from turmerictally.routing import servers

logger = logging.getLogger(__name__)

MAX_CONNECTIONS = 1024
MAX_IDLE_CONNECTIONS = 128
# Shorter than typical keep-alive timeouts of servers, so that the host closes first.
IDLE_TIMEOUT_S = 4.0
# Largest non-streamed response that is buffered in memory.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024

# Characters of a decoded path that are not percent-encoded again.
SAFE_PATH_CHARACTERS = "/:@!$&'()*+,;=~"

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
SEND_STARTED_EVENTS = ("http11.send_request_headers.started",)


@attrs.define(eq=False)
class Attempt:
    """Represent one attempt; ``sent`` means bytes may have reached the server."""

    request: messages.Request
    server: servers.Server
    id: str
    resume_offset: int | None = None
    prefix: list[str] | None = None
    sent: bool = False
    traced: bool = False

    async def trace(self, event: str, info: dict) -> None:
        """Handle a trace event of the HTTP client."""
        self.traced = True
        if event in SEND_STARTED_EVENTS:
            self.sent = True

    @property
    def maybe_sent(self) -> bool:
        """Return whether bytes may have been sent before an interruption."""
        return self.sent or not self.traced


class AttemptError(Exception):
    """Report that an attempt failed.

    ``sent`` is False only when no byte of the request reached the server.
    """

    def __init__(
        self,
        kind: errors.Kind,
        reason: str,
        *,
        sent: bool = True,
        response: messages.Response | None = None,
    ) -> None:
        self.kind = kind
        self.reason = reason
        self.sent = sent
        self.response = response
        super().__init__(reason)


@attrs.define(eq=False)
class OpenResponse:
    """Hold a response whose headers were received and whose body is still unread."""

    attempt: Attempt
    response: httpx.Response


class Forwarder:
    """Own the connection pools: one for online requests and one for batch work."""

    def __init__(
        self,
        options: settings.Online,
        clock: clocks.Clock,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.clients = {work: self._client(transport) for work in messages.WorkClass}

    async def aclose(self) -> None:
        """Close the connections."""
        for client in self.clients.values():
            await client.aclose()

    async def finish(self, opened: OpenResponse) -> messages.Response:
        """Return the complete response; raise ``AttemptError`` if it is truncated."""
        try:
            body = await self._read(opened)
        finally:
            await close(opened)
        response = _build_response(opened, body)
        _check_complete(opened, response)
        return response

    async def open(self, attempt: Attempt) -> OpenResponse:
        """Send the request; return once the headers are received and checked."""
        try:
            with trio.fail_at(self._trio_deadline(attempt.request.deadline)):
                response = await self._send(attempt)
        except trio.TooSlowError as error:
            raise AttemptError(
                errors.Kind.DEADLINE_EXCEEDED, "no answer", sent=attempt.maybe_sent
            ) from error
        except NOT_SENT_ERRORS as error:
            attempt.sent = False
            raise AttemptError(
                errors.Kind.BACKEND_SERVER_UNREACHABLE,
                type(error).__name__,
                sent=False,
            ) from error
        except httpx.HTTPError as error:
            raise AttemptError(
                errors.Kind.BACKEND_SERVER_ERROR, type(error).__name__
            ) from error
        opened = OpenResponse(attempt, response)
        await self._check_owner(opened)
        return opened

    async def _send(self, attempt: Attempt) -> httpx.Response:
        request = attempt.request
        client = self.clients[request.work]
        http_request = client.build_request(
            request.method,
            _url(request, attempt.server),
            headers=_headers(attempt),
            content=request.body or None,
            extensions={"trace": attempt.trace},
        )
        http_request.extensions["timeout"] = {
            "connect": self.options.connect_timeout_s,
            "pool": self.options.connect_timeout_s,
        }
        return await client.send(http_request, stream=True)

    async def _read(self, opened: OpenResponse) -> bytes:
        chunks = []
        size = 0
        try:
            with trio.fail_at(self._trio_deadline(opened.attempt.request.deadline)):
                async for chunk in opened.response.aiter_raw():
                    chunks.append(chunk)
                    size += len(chunk)
                    if size > MAX_RESPONSE_BYTES:
                        raise _incomplete("answer too large")
        except trio.TooSlowError as error:
            raise AttemptError(
                errors.Kind.DEADLINE_EXCEEDED, "answer not finished"
            ) from error
        except httpx.HTTPError as error:
            raise _incomplete(type(error).__name__) from error
        return b"".join(chunks)

    async def _check_owner(self, opened: OpenResponse) -> None:
        """Reject a response that belongs to another request."""
        echoed = opened.response.headers.get(headers.REQUEST_ID)
        if echoed == opened.attempt.id:
            return
        is_model = bool(opened.attempt.request.model)
        if echoed is None and not (is_model and opened.response.is_success):
            return
        logger.warning(
            "Server %s returned the response of another request.",
            opened.attempt.server.address,
        )
        await close(opened)
        raise _incomplete("answer of another request")

    def _trio_deadline(self, deadline: float) -> float:
        return trio.current_time() + deadline - self.clock.monotonic()

    def _client(self, transport: httpx.AsyncBaseTransport | None) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=IDLE_TIMEOUT_S,
        )
        return httpclient.client(transport=transport, limits=limits, timeout=None)


async def close(opened: OpenResponse) -> None:
    """Close a response, even if the current task is cancelled."""
    with trio.CancelScope(shield=True), trio.move_on_after(1.0):
        await opened.response.aclose()


def _url(request: messages.Request, server: servers.Server) -> str:
    path = urllib.parse.quote(request.path, safe=SAFE_PATH_CHARACTERS)
    url = f"http://{server.address}{path}"
    query = headers.query_for_server(request.query)
    return f"{url}?{query}" if query else url


def _headers(attempt: Attempt) -> list[tuple[bytes, bytes]]:
    fields = headers.for_server(attempt.request, attempt.id)
    if attempt.resume_offset is not None:
        fields.append((headers.RESUME_OFFSET, str(attempt.resume_offset)))
    if attempt.prefix is not None:
        fields.append((headers.PREFIX_TOKENS, json.dumps(attempt.prefix)))
    return [(n.encode("latin-1"), v.encode("latin-1", "replace")) for n, v in fields]


def _build_response(opened: OpenResponse, body: bytes) -> messages.Response:
    response = opened.response
    return messages.Response(
        status=response.status_code,
        headers=headers.for_caller(response.headers.multi_items()),
        body=body,
        server=opened.attempt.server.address,
    )


def _check_complete(opened: OpenResponse, response: messages.Response) -> None:
    _check_framing(opened, response)
    if opened.attempt.request.path.endswith("/completions") and response.status == 200:
        _check_completion(opened.attempt.id, response.body)


def _check_framing(opened: OpenResponse, response: messages.Response) -> None:
    """Check that the body's end was marked by its framing."""
    request, http_response = opened.attempt.request, opened.response
    if request.method == "HEAD" or response.status in (204, 304):
        return
    length = http_response.headers.get("content-length")
    if length is not None and int(length) != len(response.body):
        raise _incomplete("shorter or longer than its length")
    chunked = "chunked" in http_response.headers.get("transfer-encoding", "").lower()
    if length is None and not chunked:
        raise _incomplete("answer without length")


def _check_completion(attempt_id: str, body: bytes) -> None:
    """Check that a completion names this attempt and is finished."""
    try:
        completion = json.loads(body)
        finished = all(choice["finish_reason"] for choice in completion["choices"])
        owner = str(completion["id"])
    except (ValueError, KeyError, TypeError) as error:
        raise _incomplete("malformed answer") from error
    if not owner.endswith(attempt_id):
        raise _incomplete("answer of another request")
    if not finished:
        raise _incomplete("answer without an end")


def _incomplete(reason: str) -> AttemptError:
    return AttemptError(errors.Kind.ANSWER_INCOMPLETE, reason)
