"""Bound what a host holds of servers' responses, and choose which one is dropped.

Each response has a bound of its own. Their sum has one too: above it, the server whose
responses hold most loses its largest one that is incomplete. A server that sends
without end thus pays for it, and not the others.
"""

import collections
import collections.abc

import attrs

from turmerictally.scheduling import memory_budget

# Share of the memory budget. Held responses count in the whole budget too, so that
# callers' bodies get less room meanwhile.
BUDGET_RATIO = 0.5
# At least one response of the greatest length fits.
MIN_BOUND_BYTES = 8 * 1024 * 1024


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

    budget: memory_budget.MemoryBudget
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
        return max(MIN_BOUND_BYTES, int(self.budget.limit_bytes * BUDGET_RATIO))

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
