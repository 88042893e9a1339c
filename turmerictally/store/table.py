"""Define the interface of the platform's transactional table service."""

import typing

import attrs

ABSENT = 0  # the version in a Check for a row that must not exist


@attrs.frozen
class Row:
    """Hold one row: its key, JSON-compatible value and version.

    The service sets ``version``: it increases with each write of the row and is never
    reused for a key, not even after a delete.
    """

    key: str
    value: dict
    version: int


@attrs.frozen
class Check:
    """Require a row to have this version, or not to exist if it is ``ABSENT``."""

    key: str
    version: int


@attrs.frozen
class Put:
    """Create a row or replace its value."""

    key: str
    value: dict


@attrs.frozen
class Delete:
    """Delete a row; deleting an absent row succeeds."""

    key: str


Write = Put | Delete


class ConflictError(Exception):
    """A check of a transaction failed; nothing was written."""

    def __init__(self, key: str) -> None:
        self.key = key
        super().__init__(f"version check failed for {key}")


class UnavailableError(Exception):
    """The platform did not respond, or not as its interface requires.

    ``maybe_applied`` is True if a write may have been applied.
    """

    def __init__(self, reason: str, *, maybe_applied: bool = False) -> None:
        self.maybe_applied = maybe_applied
        super().__init__(reason)


class OverloadedError(UnavailableError):
    """The platform throttled a call; nothing was applied."""


class Table(typing.Protocol):
    """Read and write rows of the table service.

    Every call raises ``UnavailableError`` if the service does not respond in time.
    Keys are slash-separated paths; a scan is ordered by key.
    """

    async def get(self, key: str) -> Row | None:
        """Return the latest committed row, or None."""

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return up to ``limit`` rows whose keys start with ``prefix``.

        Only keys greater than ``after`` are returned.
        """

    async def commit(self, checks: list[Check], writes: list[Write]) -> dict[str, int]:
        """Apply all writes if all checks hold; return the new version of each put.

        Raises ``ConflictError`` if a check fails; then nothing is written.
        """


def check_status(
    status: int, is_write: bool, accepted_statuses: tuple[int, ...]
) -> None:
    """Raise ``UnavailableError`` for an error status that is not accepted.

    A write may have been applied after a 5xx status other than 503.
    """
    if status < 300 or status in accepted_statuses:
        return
    if status == 429:
        raise OverloadedError("status 429")
    refused = status == 503 or status < 500
    maybe_applied = is_write and not refused
    raise UnavailableError(f"status {status}", maybe_applied=maybe_applied)
