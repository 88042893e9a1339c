"""Implement the codec that an entry host uses for the platform's formats."""

import typing

import attrs

from turmerictally.entry import jobs, messages
from turmerictally.platform import jobs as job_requests
from turmerictally.platform import requests


@attrs.frozen
class PlatformCodec:
    """Implement ``messages.Codec``."""

    def read_request(
        self, method: bytes, target: bytes, headers: messages.Headers
    ) -> messages.Request:
        """Decode a caller's request."""
        return requests.read_request(method, target, headers)

    def server_headers(
        self,
        request: messages.Request,
        context: messages.ForwardingContext,
        length: int,
    ) -> messages.Headers:
        """Return the headers for a backend server."""
        return requests.server_headers(request, context, length)

    def read_head(
        self, status: int, headers: messages.Headers
    ) -> messages.ResponseHead:
        """Decode the head of a server's response."""
        return requests.read_head(status, headers)

    def caller_headers(self, head: messages.ResponseHead) -> messages.Headers:
        """Return the headers of a server's response to pass to the caller."""
        return requests.caller_headers(head)

    def report_request(
        self, address: str, request_id: str
    ) -> tuple[bytes, bytes, messages.Headers]:
        """Return the request for a server's report on itself."""
        return requests.report_request(address, request_id)

    def read_start_time(self, body: bytes) -> int | None:
        """Return when a server started, in Unix milliseconds, None if unreadable."""
        return requests.read_start_time(body)

    def item_request(self, item: jobs.Item, hostname: str) -> messages.Request:
        """Return the request to a backend server for a batch item."""
        return job_requests.item_request(item, hostname)

    def read_batch_request(
        self, request: messages.Request
    ) -> messages.BatchRequest | None:
        """Decode a request on a batch job; return None for any other request."""
        return job_requests.read_batch_request(request)

    def read_items(self, body: bytes) -> list[jobs.Item]:
        """Return the items of a submitted job; raises ``decoding.DecodeError``."""
        return job_requests.read_items(body)

    def write_results(
        self, total: int, after: int, results: list[jobs.Result]
    ) -> dict[str, typing.Any]:
        """Return the body of a response that lists results."""
        return job_requests.write_results(total, after, results)
