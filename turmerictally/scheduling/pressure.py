"""Bound the bytes that a host holds for callers and servers that are slow."""

import attrs

MB = 1_000_000
# What the program itself takes, with its copies of tables and its connections.
PROGRAM_MB = 80.0
# How often a body may lie in memory while it is read or written.
COPIES = 3
# Above this share of the bound only small requests are taken: what is accepted needs
# room for its answer.
FULL_RATIO = 0.75
SMALL_BYTES = 16 * 1024  # of a body that is taken while there is any room
# Of a caller that takes nothing. Servers cut off what stays unread for some seconds,
# and a caller that reads on takes a piece of an answer in less.
STALLED_S = 4.0
PIECE_BYTES = 64 * 1024  # of a long answer that is written at once


def bound_bytes(limit_mb: float) -> int:
    """Return how many bytes may be held below a memory limit, 0 for any."""
    if not limit_mb:
        return 0
    return max(MB, int((limit_mb - PROGRAM_MB) * MB / COPIES))


@attrs.define(eq=False)
class Held:
    """Count the bytes that a host holds for others, in sum; a bound of 0 is none."""

    bound: int = 0
    bytes: int = 0
    refused: int = 0

    def fits(self, size: int) -> bool:
        """Return whether so many bytes more may be held."""
        if not self.bound:
            return True
        most = self.bound if size <= SMALL_BYTES else self.bound * FULL_RATIO
        return self.bytes + size <= most

    def share(self) -> "Share":
        """Return the count of one exchange, to be closed at its end."""
        return Share(self)


@attrs.define(eq=False)
class Share:
    """Count the bytes held for one exchange."""

    held: Held
    bytes: int = 0

    def admit(self, size: int) -> bool:
        """Take so many bytes more; return whether they fitted."""
        if not self.held.fits(size):
            self.held.refused += 1
            return False
        self.take(size)
        return True

    def take(self, size: int) -> None:
        """Take bytes that are held already."""
        self.bytes += size
        self.held.bytes += size

    def close(self) -> None:
        """Give all of it back."""
        self.held.bytes -= self.bytes
        self.bytes = 0
