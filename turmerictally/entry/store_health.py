"""Know from all calls whether the row store answers this host."""

import collections.abc
import contextlib

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import trace as traces
from turmerictally.store import rows

# A registration lapses after three heartbeats of silence. An outage shorter than one
# of them, 1.2 s, costs a live server one heartbeat, and no registration lapses.
MIN_OUTAGE_S = 1.0
# Some call is answered at least this often, by the length of a long poll and the pause
# before the next; a host that notices none for longer was itself paused.
MAX_QUIET_S = 2.5


@attrs.define(eq=False)
class StoreHealth:
    """Hold when the store answered, over all tables and transactions.

    An outage is a gap between two answers in which a call failed, or through which this
    host was paused. All times are monotonic seconds; ``recovered_at`` is the first answer
    after the last outage.
    """

    clock: clocks.Clock
    trace: traces.Trace
    answered_at: float = float("-inf")
    recovered_at: float = float("-inf")
    failing: bool = False
    unavailable: bool = False
    suspended_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.suspended_s = self.clock.suspended()

    def record_response(self) -> None:
        """Note an answer."""
        gap_s = self._gap_s()
        now = self.clock.monotonic()
        paused = MAX_QUIET_S <= gap_s < float("inf")  # infinite at the first answer
        if paused or (self.failing and gap_s >= MIN_OUTAGE_S):
            self.recovered_at = now
            self.trace.emit(
                "store_back", gone_s=traces.seconds(gap_s), failed=self.failing
            )
        self.failing = self.unavailable = False
        self.answered_at = now
        self.suspended_s = self.clock.suspended()

    def record_failure(self, reason: str) -> None:
        """Note a call without an answer."""
        self.failing = True
        gap_s = self._gap_s()
        if not self.unavailable and gap_s >= MIN_OUTAGE_S:
            self.unavailable = True
            self.trace.emit("store_away", gone_s=traces.seconds(gap_s), reason=reason)

    def _gap_s(self) -> float:
        """Return the seconds since the last answer, also those in suspension."""
        asleep_s = self.clock.suspended() - self.suspended_s
        return self.clock.monotonic() - self.answered_at + asleep_s


@attrs.frozen
class ObservedRowStore:
    """Pass calls to a row store and note which are answered."""

    inner: rows.RowStore
    store_health: StoreHealth

    async def transact(
        self,
        expected: dict[rows.Address, int],
        puts: dict[rows.Address, bytes | None],
    ) -> rows.Commit:
        """Change rows in one transaction."""
        with self._noted():
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
        with self._noted():
            return await self.inner.read(name, part, start=start, end=end, limit=limit)

    async def changes(self, name: str, *, after: int, wait_s: float) -> rows.Page:
        """Return rows of a table changed after a version, waiting for the first."""
        with self._noted():
            return await self.inner.changes(name, after=after, wait_s=wait_s)

    @contextlib.contextmanager
    def _noted(self) -> collections.abc.Iterator[None]:
        try:
            yield
        except (rows.ConflictError, rows.HistoryLostError):
            self.store_health.record_response()
            raise
        except rows.UnavailableError as error:
            self.store_health.record_failure(str(error))
            raise
        self.store_health.record_response()
