"""Define the requests that callers make for existing batch jobs."""

import attrs


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
