"""Define the calls that callers make on batch jobs."""

import attrs


@attrs.frozen
class ReadResults:
    """Ask for results from a position on, waiting up to ``wait_s`` for the first."""

    job: str
    after: int
    wait_s: float


@attrs.frozen
class ReadItem:
    """Ask for the body of an item without a result."""

    job: str
    item: str


@attrs.frozen
class Cancel:
    """End a job."""

    job: str


BatchRequest = ReadResults | ReadItem | Cancel
