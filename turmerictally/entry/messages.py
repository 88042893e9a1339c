"""Define requests and answers as they pass through an entry host."""

import typing

import attrs

from turmerictally.entry import batch_requests, jobs

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class Request:
    """Hold what a caller's request says, decoded.

    ``wait_s`` is how long the caller will wait, ``resume_after`` the last event it
    has. ``prompt_parts`` names the prompt's parts in order, the shared ones first.
    ``output_tokens`` are the expected ones.
    """

    method: bytes
    target: bytes
    hostname: str
    request_id: str
    headers: Headers = attrs.field(repr=False)
    key: str = attrs.field(default="", repr=False)
    timeout_s: float | None = None
    resume_after: int | None = None
    prompt_parts: tuple[str, ...] = ()
    poll_wait_s: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.decode("latin-1").partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query string."""
        return self.target.decode("latin-1").partition("?")[2]


@attrs.frozen
class ForwardingContext:
    """State what an entry host tells a backend server beside the caller's headers."""

    instance: str
    timeout_s: float
    team: str = ""
    resume_after: int | None = None


@attrs.frozen
class ResponseHead:
    """Hold the head of a backend server's answer, decoded.

    ``signed`` tells that the server's own signature is on it, ``not_run`` that the
    server states that it did not run the request, ``leaving`` that it is about to stop
    and takes no new ones.
    """

    status: int
    headers: Headers = attrs.field(repr=False)
    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    leaving: bool = False
    is_event_stream: bool = False
    keep_alive_s: float | None = None


class Codec(typing.Protocol):
    """Translate requests, answers and batch calls from and to wire names."""

    def read_request(self, method: bytes, target: bytes, headers: Headers) -> Request:
        """Decode a caller's request."""

    def server_headers(
        self, request: Request, context: ForwardingContext, length: int
    ) -> Headers:
        """Return the headers for a backend server."""

    def read_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of a server's answer."""

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of a server's answer for the caller."""

    def item_request(self, item: jobs.Item, hostname: str) -> Request:
        """Return the request of a batch item."""

    def read_batch_request(
        self, request: Request
    ) -> batch_requests.BatchRequest | None:
        """Return the call on a batch job that a request makes, or None."""

    def read_items(self, body: bytes) -> list[jobs.Item]:
        """Return the items of a submission; raises ``ValueError``."""

    def write_results(
        self, total: int, after: int, results: list[jobs.Result]
    ) -> dict[str, typing.Any]:
        """Return the body that lists results."""
