"""Define the interface of the platform's transactional table service."""

import typing

import attrs

from turmerictally.store import rows

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


UnavailableError = rows.UnavailableError
OverloadedError = rows.OverloadedError
check_status = rows.check_status


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
