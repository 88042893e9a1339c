"""Limit the memory that a host holds for callers and of servers' responses.

Each response has a bound of its own. Their sum has one too: above it, the server whose
responses hold most loses its largest one that is incomplete. A server that sends
without end thus pays for it, and not the others.
"""

import collections
import collections.abc

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
# Share of the memory budget. Held responses count in the whole budget too, so that
# callers' bodies get less room meanwhile.
RESPONSES_RATIO = 0.5
# At least one response of the greatest length fits.
MIN_RESPONSES_BYTES = 8 * 1024 * 1024


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


@attrs.define(eq=False)
class Hold:
    """Count the bytes held of one response from a server.

    A ``complete`` one is not dropped, as only its caller can end it. ``close`` ends the
    connection of a response that is dropped.
    """

    responses: "ResponseMemory"
    server: str
    close: collections.abc.Callable[[], None]
    held_bytes: int = 0
    complete: bool = False
    dropped: bool = False

    def resize(self, held_bytes: int) -> None:
        """Set the number of bytes held, which may drop this or another response."""
        self.responses.resize(self, held_bytes)


@attrs.frozen
class Drop:
    """Hold why a response was dropped; all figures are in bytes."""

    server: str
    held_bytes: int
    server_bytes: int
    total_bytes: int
    bound_bytes: int


@attrs.define(eq=False)
class ResponseMemory:
    """Track the bytes held of all responses; without a limit nothing is dropped.

    ``by_server`` holds the responses with any bytes, ``dropped`` counts the dropped
    ones.
    """

    budget: MemoryBudget
    on_drop: collections.abc.Callable[[Drop], None] = lambda drop: None
    by_server: dict[str, set[Hold]] = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    held_bytes: int = 0
    dropped: int = 0

    def hold(self, server: str, close: collections.abc.Callable[[], None]) -> Hold:
        """Return a hold without bytes for the responses on one connection."""
        return Hold(self, server, close)

    @property
    def bound_bytes(self) -> int:
        """Return how many bytes may be held, 0 for any number."""
        if not self.budget.limit_bytes:
            return 0
        return max(MIN_RESPONSES_BYTES, int(self.budget.limit_bytes * RESPONSES_RATIO))

    def resize(self, hold: Hold, held_bytes: int) -> None:
        """Set the bytes of a response, and drop responses above the bound."""
        if hold.dropped:
            return
        growth = held_bytes - hold.held_bytes
        self._count(hold, held_bytes)
        bound_bytes = self.bound_bytes
        while growth > 0 and bound_bytes and self.held_bytes > bound_bytes:
            victim = self.largest()
            if victim is None:
                return
            self._drop(victim, bound_bytes)

    def largest(self) -> Hold | None:
        """Return the response to drop, None if all are complete."""
        incomplete = {
            server: [hold for hold in holds if not hold.complete]
            for server, holds in self.by_server.items()
        }
        candidates = [server for server, holds in incomplete.items() if holds]
        if not candidates:
            return None
        server = max(candidates, key=self._server_bytes)
        return max(incomplete[server], key=lambda hold: hold.held_bytes)

    def _server_bytes(self, server: str) -> int:
        return sum(hold.held_bytes for hold in self.by_server[server])

    def _drop(self, hold: Hold, bound_bytes: int) -> None:
        self.dropped += 1
        drop = Drop(
            hold.server,
            hold.held_bytes,
            self._server_bytes(hold.server),
            self.held_bytes,
            bound_bytes,
        )
        self._count(hold, 0)
        hold.dropped = True
        hold.close()
        self.on_drop(drop)

    def _count(self, hold: Hold, held_bytes: int) -> None:
        change = held_bytes - hold.held_bytes
        hold.held_bytes = held_bytes
        self.held_bytes += change
        self.budget.reserved_bytes += change
        if held_bytes:
            self.by_server[hold.server].add(hold)
        elif hold.server in self.by_server:
            self.by_server[hold.server].discard(hold)
            if not self.by_server[hold.server]:
                del self.by_server[hold.server]
