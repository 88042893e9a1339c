"""Detect outages of the row store from the results of all calls to it."""

import collections.abc
import contextlib

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import trace as traces
from turmerictally.store import rows

# A registration lapses after three missing heartbeats. An outage shorter than one
# heartbeat, 1.2 s, costs a live server one of them, so that no registration lapses.
MIN_OUTAGE_S = 1.0
# Some call is answered at least this often: a long poll and the pause before the next
# one take no longer. A longer gap without failed calls means that this host was paused.
MAX_CALL_GAP_S = 2.5


@attrs.define(eq=False)
class StoreHealth:
    """Track when the store responded, over all tables and transactions.

    An outage is a gap between two responses in which a call failed, or during which
    this host was paused. All times are monotonic seconds; ``recovered_at`` is the first
    response after the last outage.
    """

    clock: clocks.Clock
    trace: traces.Trace
    responded_at: float = float("-inf")
    recovered_at: float = float("-inf")
    failing: bool = False
    unavailable: bool = False
    suspended_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.suspended_s = self.clock.suspended()

    def record_response(self) -> None:
        """Record that a call got a response, whatever its result."""
        gap_s = self._gap_s()
        now = self.clock.monotonic()
        # The gap before the first response is infinite.
        paused = MAX_CALL_GAP_S <= gap_s < float("inf")
        if paused or (self.failing and gap_s >= MIN_OUTAGE_S):
            self.recovered_at = now
            self.trace.emit(
                "store_back", gone_s=traces.seconds(gap_s), failed=self.failing
            )
        self.failing = self.unavailable = False
        self.responded_at = now
        self.suspended_s = self.clock.suspended()

    def record_failure(self, reason: str) -> None:
        """Record a call that got no response."""
        self.failing = True
        gap_s = self._gap_s()
        if not self.unavailable and gap_s >= MIN_OUTAGE_S:
            self.unavailable = True
            self.trace.emit("store_away", gone_s=traces.seconds(gap_s), reason=reason)

    def _gap_s(self) -> float:
        """Return the seconds since the last response, including suspensions."""
        suspended_s = self.clock.suspended() - self.suspended_s
        return self.clock.monotonic() - self.responded_at + suspended_s


@attrs.frozen
class ObservedRowStore:
    """Wrap a row store and report each call's result to its ``StoreHealth``."""

    inner: rows.RowStore
    store_health: StoreHealth

    async def transact(
        self,
        expected: dict[rows.Address, int],
        puts: dict[rows.Address, bytes | None],
    ) -> rows.Commit:
        """Change rows in one transaction."""
        with self._observed():
            return await self.inner.transact(expected, puts)

    async def read(
        self,
        name: str,
        part: str,
        *,
        start: str = "",
        end: str = "",
        limit: int = 500,
    ) -> rows.Page:
        """Read rows of one part in key order."""
        with self._observed():
            return await self.inner.read(name, part, start=start, end=end, limit=limit)

    async def changes(self, name: str, *, after: int, wait_s: float) -> rows.Page:
        """Return rows changed after a version, waiting for the first of them."""
        with self._observed():
            return await self.inner.changes(name, after=after, wait_s=wait_s)

    @contextlib.contextmanager
    def _observed(self) -> collections.abc.Iterator[None]:
        try:
            yield
        except (rows.ConflictError, rows.HistoryLostError):
            self.store_health.record_response()
            raise
        except rows.UnavailableError as error:
            self.store_health.record_failure(str(error))
            raise
        self.store_health.record_response()
