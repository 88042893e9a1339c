"""Send one attempt of a request to a backend server and check its answer."""

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
# An idle connection is dropped before servers usually close theirs, in seconds.
IDLE_S = 4.0
# Largest whole answer of a server that is kept in memory.
MAX_ANSWER_BYTES = 32 * 1024 * 1024

# Characters of a decoded path that are not escaped again.
PATH_CHARACTERS = "/:@!$&'()*+,;=~"

NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
SEND_STARTED = ("http11.send_request_headers.started",)


@attrs.define(eq=False)
class Attempt:
    """Hold one attempt; ``sent`` tells that bytes may have reached the server."""

    request: messages.Request
    server: servers.Server
    id: str
    resume_offset: int | None = None
    prefix: list[str] | None = None
    sent: bool = False
    traced: bool = False

    async def trace(self, event: str, info: dict) -> None:
        """Follow the HTTP library's progress."""
        self.traced = True
        if event in SEND_STARTED:
            self.sent = True

    @property
    def maybe_sent(self) -> bool:
        """Return whether bytes may have been sent, when the attempt was cut short."""
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
    """Hold a stream whose headers have arrived."""

    attempt: Attempt
    response: httpx.Response


class Forwarder:
    """Own the connection pools; batch work never shares one with online requests."""

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
        """Return the whole answer; raise ``AttemptError`` when it is not whole."""
        try:
            body = await self._read(opened)
        finally:
            await close(opened)
        answer = _answer(opened, body)
        _check_whole(opened, answer)
        return answer

    async def open(self, attempt: Attempt) -> OpenResponse:
        """Send the request and return once the checked headers have arrived."""
        try:
            with trio.fail_at(self._local(attempt.request.deadline)):
                response = await self._send(attempt)
        except trio.TooSlowError as error:
            raise AttemptError(
                errors.Kind.DEADLINE_EXCEEDED, "no answer", sent=attempt.maybe_sent
            ) from error
        except NEVER_SENT as error:
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
        built = client.build_request(
            request.method,
            _url(request, attempt.server),
            headers=_headers(attempt),
            content=request.body or None,
            extensions={"trace": attempt.trace},
        )
        built.extensions["timeout"] = {
            "connect": self.options.connect_timeout_s,
            "pool": self.options.connect_timeout_s,
        }
        return await client.send(built, stream=True)

    async def _read(self, opened: OpenResponse) -> bytes:
        parts = []
        size = 0
        try:
            with trio.fail_at(self._local(opened.attempt.request.deadline)):
                async for part in opened.response.aiter_raw():
                    parts.append(part)
                    size += len(part)
                    if size > MAX_ANSWER_BYTES:
                        raise _incomplete("answer too large")
        except trio.TooSlowError as error:
            raise AttemptError(
                errors.Kind.DEADLINE_EXCEEDED, "answer not finished"
            ) from error
        except httpx.HTTPError as error:
            raise _incomplete(type(error).__name__) from error
        return b"".join(parts)

    async def _check_owner(self, opened: OpenResponse) -> None:
        """Refuse an answer that belongs to another request."""
        echoed = opened.response.headers.get(headers.REQUEST_ID)
        if echoed == opened.attempt.id:
            return
        is_model = bool(opened.attempt.request.model)
        if echoed is None and not (is_model and opened.response.is_success):
            return
        logger.warning("An answer of %s was crossed.", opened.attempt.server.address)
        await close(opened)
        raise _incomplete("answer of another request")

    def _local(self, deadline: float) -> float:
        return trio.current_time() + deadline - self.clock.monotonic()

    def _client(self, transport: httpx.AsyncBaseTransport | None) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=IDLE_S,
        )
        return httpclient.client(transport=transport, limits=limits, timeout=None)


async def close(opened: OpenResponse) -> None:
    """Close a response, also while being cancelled."""
    with trio.CancelScope(shield=True), trio.move_on_after(1.0):
        await opened.response.aclose()


def _url(request: messages.Request, server: servers.Server) -> str:
    path = urllib.parse.quote(request.path, safe=PATH_CHARACTERS)
    url = f"http://{server.address}{path}"
    query = headers.query_for_server(request.query)
    return f"{url}?{query}" if query else url


def _headers(attempt: Attempt) -> list[tuple[bytes, bytes]]:
    found = headers.for_server(attempt.request, attempt.id)
    if attempt.resume_offset is not None:
        found.append((headers.RESUME_OFFSET, str(attempt.resume_offset)))
    if attempt.prefix is not None:
        found.append((headers.PREFIX_TOKENS, json.dumps(attempt.prefix)))
    return [(n.encode("latin-1"), v.encode("latin-1", "replace")) for n, v in found]


def _answer(opened: OpenResponse, body: bytes) -> messages.Response:
    response = opened.response
    return messages.Response(
        status=response.status_code,
        headers=headers.for_caller(response.headers.multi_items()),
        body=body,
        server=opened.attempt.server.address,
    )


def _check_whole(opened: OpenResponse, answer: messages.Response) -> None:
    _check_framing(opened, answer)
    if opened.attempt.request.path.endswith("/completions") and answer.status == 200:
        _check_completion(opened.attempt.id, answer.body)


def _check_framing(opened: OpenResponse, answer: messages.Response) -> None:
    """Require that the answer's end was marked by its framing."""
    request, response = opened.attempt.request, opened.response
    if request.method == "HEAD" or answer.status in (204, 304):
        return
    length = response.headers.get("content-length")
    if length is not None and int(length) != len(answer.body):
        raise _incomplete("shorter or longer than its length")
    chunked = "chunked" in response.headers.get("transfer-encoding", "").lower()
    if length is None and not chunked:
        raise _incomplete("answer without length")


def _check_completion(attempt_id: str, body: bytes) -> None:
    """Require a model's answer to name this attempt and to be finished."""
    try:
        found = json.loads(body)
        finished = all(choice["finish_reason"] for choice in found["choices"])
        owner = str(found["id"])
    except (ValueError, KeyError, TypeError) as error:
        raise _incomplete("malformed answer") from error
    if not owner.endswith(attempt_id):
        raise _incomplete("answer of another request")
    if not finished:
        raise _incomplete("answer without an end")


def _incomplete(reason: str) -> AttemptError:
    return AttemptError(errors.Kind.ANSWER_INCOMPLETE, reason)
