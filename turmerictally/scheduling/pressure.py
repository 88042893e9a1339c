"""Limit the memory that a host holds for slow callers and servers."""

import attrs

MB = 1_000_000
# Memory of the process itself, with its table copies and connections.
BASELINE_MB = 80.0
# How often a body may be in memory while it is read or written.
BODY_COPIES = 3
# Above this share of the budget only small bodies are accepted, because the responses
# to accepted requests need memory too.
LARGE_BODY_RATIO = 0.75
SMALL_BODY_BYTES = 16 * 1024  # a body of this size may use the whole budget
# Time after which a caller that reads nothing of its response is disconnected. Servers
# abort a response that stays unread for some seconds, and a caller that reads takes
# less time for one chunk.
STALLED_S = 4.0
PIECE_BYTES = 64 * 1024  # chunk size for writing a long response


def bound_bytes(limit_mb: float) -> int:
    """Return the budget below a process's memory limit, 0 for no limit."""
    if not limit_mb:
        return 0
    return max(MB, int((limit_mb - BASELINE_MB) * MB / BODY_COPIES))


@attrs.define(eq=False)
class Held:
    """Track the bytes reserved for all exchanges; a ``bound`` of 0 means no limit."""

    bound: int = 0
    bytes: int = 0
    refused: int = 0

    def fits(self, size: int) -> bool:
        """Return whether ``size`` more bytes fit into the budget."""
        if not self.bound:
            return True
        limit = (
            self.bound if size <= SMALL_BODY_BYTES else self.bound * LARGE_BODY_RATIO
        )
        return self.bytes + size <= limit

    def share(self) -> "Share":
        """Return an empty reservation for one exchange, to be closed at its end."""
        return Share(self)


@attrs.define(eq=False)
class Share:
    """Track the bytes reserved for one exchange."""

    held: Held
    bytes: int = 0

    def admit(self, size: int) -> bool:
        """Reserve ``size`` more bytes if they fit; return whether they did."""
        if not self.held.fits(size):
            self.held.refused += 1
            return False
        self.take(size)
        return True

    def take(self, size: int) -> None:
        """Count bytes that are in memory already; a negative ``size`` releases some."""
        self.bytes += size
        self.held.bytes += size

    def close(self) -> None:
        """Release all bytes of the exchange."""
        self.held.bytes -= self.bytes
        self.bytes = 0
