"""Define the interface of a versioned row store with a change feed."""

import typing

import attrs


@attrs.frozen
class Address:
    """Identify one row; a transaction may span the rows of one ``part``."""

    table: str
    part: str
    key: str


@attrs.frozen
class Row:
    """Hold a row as of ``version``; ``value`` is None if it was deleted."""

    address: Address
    value: bytes | None
    version: int


@attrs.frozen
class Page:
    """Hold rows read from one snapshot.

    ``version`` is the store's version at the snapshot and ``now_s`` its monotonic
    clock; ``more`` is True if further rows follow.
    """

    rows: list[Row]
    version: int
    now_s: float
    more: bool = False


@attrs.frozen
class Commit:
    """Hold the version of a committed transaction and the store's clock in seconds."""

    version: int
    now_s: float


class ConflictError(Exception):
    """A row's version was not the expected one; ``current_rows`` holds stored rows."""

    def __init__(self, current_rows: list[Row]) -> None:
        self.current_rows = current_rows
        super().__init__("a row has changed")


class UnavailableError(Exception):
    """The platform did not respond, or not as its interface requires.

    ``maybe_applied`` is True if a write may have been applied.
    """

    def __init__(self, reason: str, *, maybe_applied: bool = False) -> None:
        self.maybe_applied = maybe_applied
        super().__init__(reason)


class OverloadedError(UnavailableError):
    """The platform throttled a call; nothing was applied."""


class HistoryLostError(Exception):
    """The feed no longer holds all changes since the requested version."""


class RowStore(typing.Protocol):
    """Read, change and watch rows.

    Each call raises ``UnavailableError`` if the store does not respond in time;
    if its ``maybe_applied`` is True, a transaction may still be applied later.
    """

    async def transact(
        self, expected: dict[Address, int], puts: dict[Address, bytes | None]
    ) -> Commit:
        """Put rows (None deletes) if all rows in ``expected`` have their version.

        Version 0 requires that the row does not exist. Raises ``ConflictError``.
        """

    async def read(
        self,
        name: str,
        part: str,
        *,
        start: str = "",
        end: str = "",
        limit: int = 500,
    ) -> Page:
        """Read rows of one part in key order, from ``start`` to before ``end``.

        ``name`` is the table.
        """

    async def changes(self, name: str, *, after: int, wait_s: float) -> Page:
        """Return the rows of a table that changed after version ``after``.

        Waits up to ``wait_s`` for the first change. Raises ``HistoryLostError``.
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
