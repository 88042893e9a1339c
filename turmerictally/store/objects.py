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
    """Read, write, list and delete objects.

    Every call raises ``table.UnavailableError`` if the store does not respond.
    """

    async def put(
        self,
        key: str,
        data: bytes | collections.abc.AsyncIterable[bytes],
        *,
        if_absent: bool = False,
    ) -> ObjectInfo:
        """Store an object atomically: it is readable only when complete.

        With ``if_absent``, raises ``table.ConflictError`` if the key exists.
        """

    async def get(self, key: str, *, start: int = 0, end: int | None = None) -> bytes:
        """Return the bytes from ``start`` to before ``end``, or to the object's end.

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
        """Return up to ``limit`` objects under the prefix in key order.

        Only keys greater than ``after`` are returned.
        """
