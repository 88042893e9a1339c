"""Define decoded requests and responses, and the codec for their wire format."""

import typing

import attrs

from turmerictally.entry import jobs
from turmerictally.scheduling import server_verdicts

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class Request:
    """Hold a caller's request, decoded.

    ``timeout_s`` is how long the caller waits, ``poll_wait_s`` how long a poll may be
    held open, and ``resume_after`` the id of the last event that the caller has.
    ``resumes`` is the id of the request that brought the stream's first event, if this
    one takes the stream up.
    ``prompt_parts`` names the prompt's parts in order, the shared ones first.
    ``output_tokens`` is the expected number.
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
    resumes: str = ""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the prompt's parts that other requests may share, all but the last."""
        return self.prompt_parts[:-1]

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.decode("latin-1").partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query string."""
        return self.target.decode("latin-1").partition("?")[2]


@attrs.frozen
class ResultsRequest:
    """Request results from a position on, waiting up to ``wait_s`` for the first."""

    job: str
    after: int
    wait_s: float


@attrs.frozen
class ItemBodyRequest:
    """Request the body of an item."""

    job: str
    item: str


@attrs.frozen
class CancelRequest:
    """Request the cancellation of a job."""

    job: str


BatchRequest = ResultsRequest | ItemBodyRequest | CancelRequest


@attrs.frozen
class ForwardingContext:
    """Hold what an entry host adds to the headers of a forwarded request.

    ``resume_after`` is the id of the last event received from an earlier attempt.
    """

    instance: str
    timeout_s: float
    team: str = ""
    resume_after: int | None = None


@attrs.frozen
class ResponseHead:
    """Hold the head of a backend server's response, decoded.

    ``signed`` is whether it carries the server's own signature, ``not_run`` whether the
    server states that it did not run the request, ``leaving`` whether the server is
    about to stop and takes no new requests. ``keep_alive_s`` is the idle time-out that
    the server announces, and ``limit_per_s`` how many requests a second it takes from
    all hosts together, as ``limit_text`` says.
    """

    status: int
    headers: Headers = attrs.field(repr=False)
    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    leaving: bool = False
    is_event_stream: bool = False
    keep_alive_s: float | None = None
    limit_per_s: float | None = None
    limit_text: str = ""

    @property
    def verdict(self) -> server_verdicts.Verdict:
        """Return what the response tells of its request."""
        return server_verdicts.judge(
            self.status, signed=self.signed, not_run=self.not_run
        )


class Codec(typing.Protocol):
    """Translate requests, responses and batch requests from and to the wire format."""

    def read_request(self, method: bytes, target: bytes, headers: Headers) -> Request:
        """Decode a caller's request."""

    def server_headers(
        self, request: Request, context: ForwardingContext, length: int
    ) -> Headers:
        """Return the headers to send to a backend server."""

    def read_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of a server's response."""

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of a server's response to pass to the caller."""

    def report_request(
        self, address: str, request_id: str
    ) -> tuple[bytes, bytes, Headers]:
        """Return the request for a server's report on itself."""

    def read_start_time(self, body: bytes) -> int | None:
        """Return when a server started, in Unix milliseconds, None if unreadable."""

    def item_request(self, item: jobs.Item, hostname: str) -> Request:
        """Return the request that runs a batch item."""

    def read_batch_request(self, request: Request) -> BatchRequest | None:
        """Decode a request on a batch job; None if the request is of another kind."""

    def read_items(self, body: bytes) -> list[jobs.Item]:
        """Decode the items of a job submission; raises ``decoding.DecodeError``."""

    def write_results(
        self, total: int, after: int, results: list[jobs.Result]
    ) -> dict[str, typing.Any]:
        """Return the JSON body of a list of results."""
