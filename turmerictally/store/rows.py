"""Describe a versioned row store with transactions and a change feed."""

import typing

import attrs

from turmerictally.store import table


@attrs.frozen
class Address:
    """Name one row; rows of one ``part`` can change in one transaction."""

    table: str
    part: str
    key: str


@attrs.frozen
class Row:
    """Hold a row as of ``version``; ``value`` is None for a deleted row."""

    address: Address
    value: bytes | None
    version: int


@attrs.frozen
class Page:
    """Hold rows read at one moment.

    ``version`` is the store's version at that moment and ``now_s`` its steady clock.
    """

    rows: list[Row]
    version: int
    now_s: float
    more: bool = False


@attrs.frozen
class Commit:
    """Tell the version that a transaction got and the store's clock, in seconds."""

    version: int
    now_s: float


class ConflictError(Exception):
    """Report that a row differs from what was expected, with the rows as they are."""

    def __init__(self, current_rows: list[Row]) -> None:
        self.current_rows = current_rows
        super().__init__("a row has changed")


class HistoryLostError(Exception):
    """Report that changes since a version are no longer known."""


class RowStore(typing.Protocol):
    """Read, change and follow rows.

    Each call raises ``table.UnavailableError`` when there is no answer in time; its
    ``maybe_applied`` tells that a transaction may still take effect later.
    """

    async def transact(
        self, expected: dict[Address, int], puts: dict[Address, bytes | None]
    ) -> Commit:
        """Put rows (None deletes) if each expected row has its version.

        Version 0 expects no row. Raises ``ConflictError``.
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
        """Read rows of one part in key order, from ``start`` up to before ``end``."""

    async def changes(self, name: str, *, after: int, wait_s: float) -> Page:
        """Return rows of a table changed after a version, waiting for the first.

        Raises ``HistoryLostError``.
        """


UnavailableError = table.UnavailableError
