"""Implement the codec that an entry host uses for the platform's formats."""

import typing

import attrs

from turmerictally.entry import batchcalls, jobs, messages
from turmerictally.platform import jobs as job_calls
from turmerictally.platform import requests


@attrs.frozen
class Wire:
    """Implement ``messages.Wire``."""

    def read_ask(
        self, method: bytes, target: bytes, headers: messages.Headers
    ) -> messages.Ask:
        """Decode a caller's request."""
        return requests.read_ask(method, target, headers)

    def onward(
        self, ask: messages.Ask, onward: messages.Onward, length: int
    ) -> messages.Headers:
        """Return the headers for a backend server."""
        return requests.onward(ask, onward, length)

    def read_head(self, status: int, headers: messages.Headers) -> messages.Head:
        """Decode the head of a server's response."""
        return requests.read_head(status, headers)

    def to_caller(self, head: messages.Head) -> messages.Headers:
        """Return the headers of a server's response to pass to the caller."""
        return requests.to_caller(head)

    def item(self, item: jobs.Item, hostname: str) -> messages.Ask:
        """Return the request to a backend server for a batch item."""
        return job_calls.item_ask(item, hostname)

    def read_call(self, ask: messages.Ask) -> batchcalls.Call | None:
        """Return the operation on a batch job that a request makes, or None."""
        return job_calls.read_call(ask)

    def read_items(self, body: bytes) -> list[jobs.Item]:
        """Return the items of a submitted job; raise ``ValueError`` if malformed."""
        return job_calls.read_items(body)

    def write_results(
        self, total: int, after: int, results: list[jobs.Result]
    ) -> dict[str, typing.Any]:
        """Return the body of a response that lists results."""
        return job_calls.write_results(total, after, results)
