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
STALL_TIMEOUT_S = 4.0
CHUNK_BYTES = 64 * 1024  # chunk size for writing a long response


def budget_bytes(limit_mb: float) -> int:
    """Return the budget that a memory limit leaves for bodies, 0 for no limit."""
    if not limit_mb:
        return 0
    return max(MB, int((limit_mb - BASELINE_MB) * MB / BODY_COPIES))


@attrs.define(eq=False)
class MemoryBudget:
    """Track the bytes reserved for all exchanges; ``limit_bytes`` is 0 for no limit."""

    limit_bytes: int = 0
    reserved_bytes: int = 0
    refusals: int = 0

    def fits(self, size: int) -> bool:
        """Return whether ``size`` more bytes fit into the budget."""
        if not self.limit_bytes:
            return True
        limit = (
            self.limit_bytes
            if size <= SMALL_BODY_BYTES
            else self.limit_bytes * LARGE_BODY_RATIO
        )
        return self.reserved_bytes + size <= limit

    def reservation(self) -> "Reservation":
        """Return an empty reservation for one exchange, to be released at its end."""
        return Reservation(self)


@attrs.define(eq=False)
class Reservation:
    """Track the bytes reserved for one exchange."""

    budget: MemoryBudget
    reserved_bytes: int = 0

    def try_reserve(self, size: int) -> bool:
        """Reserve ``size`` more bytes if they fit; return whether they did."""
        if not self.budget.fits(size):
            self.budget.refusals += 1
            return False
        self.reserve(size)
        return True

    def reserve(self, size: int) -> None:
        """Count bytes that are in memory already; a negative ``size`` releases some."""
        self.reserved_bytes += size
        self.budget.reserved_bytes += size

    def release(self) -> None:
        """Release all bytes of the exchange."""
        self.budget.reserved_bytes -= self.reserved_bytes
        self.reserved_bytes = 0
