"""Define the interface of the platform's object store."""

import collections.abc
import typing

import attrs


@attrs.frozen
class ObjectInfo:
    """Describe one stored object; ``size`` is in bytes."""

    key: str
    size: int
    etag: str


class Objects(typing.Protocol):
    """Read and write whole objects.

    Every call raises ``table.UnavailableError`` when the store does not answer.
    """

    async def put(
        self,
        key: str,
        data: bytes | collections.abc.AsyncIterable[bytes],
        *,
        if_absent: bool = False,
    ) -> ObjectInfo:
        """Store an object at once; it is readable only when complete.

        With ``if_absent``, raises ``table.ConflictError`` if the key exists.
        """

    async def get(self, key: str, *, start: int = 0, end: int | None = None) -> bytes:
        """Return bytes ``start`` up to but not including ``end``.

        Raises ``KeyError`` for an absent key.
        """

    def stream(self, key: str) -> collections.abc.AsyncIterator[bytes]:
        """Yield an object's bytes in chunks with bounded memory.

        Raises ``KeyError`` for an absent key.
        """

    async def head(self, key: str) -> ObjectInfo | None:
        """Return an object's description, or None."""

    async def delete(self, key: str) -> None:
        """Delete an object; deleting an absent object succeeds."""

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[ObjectInfo]:
        """Return objects under a prefix, ordered by key, after ``after``."""
