"""Define the calls that callers make on batch jobs."""

import attrs


@attrs.frozen
class ResultsRequest:
    """Ask for results from a position on, waiting up to ``wait_s`` for the first."""

    job: str
    after: int
    wait_s: float


@attrs.frozen
class ItemBodyRequest:
    """Ask for the body of an item without a result."""

    job: str
    item: str


@attrs.frozen
class CancelRequest:
    """End a job."""

    job: str


BatchRequest = ResultsRequest | ItemBodyRequest | CancelRequest
