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


@attrs.define(eq=False)
class Contact:
    """Hold when the store answered, over all tables and transactions.

    An outage is a gap between two answers in which a call failed. All times are
    monotonic seconds; ``back_at`` is the first answer after the last outage.
    """

    clock: clocks.Clock
    trace: traces.Trace
    answered_at: float = float("-inf")
    back_at: float = float("-inf")
    failing: bool = False
    away: bool = False

    def answered(self) -> None:
        """Note an answer."""
        now = self.clock.monotonic()
        if self.failing and self._is_outage():
            self.back_at = now
            self.trace.emit("store_back", gone_s=self._gone_s())
        self.failing = self.away = False
        self.answered_at = now

    def failed(self, reason: str) -> None:
        """Note a call without an answer."""
        self.failing = True
        if not self.away and self._is_outage():
            self.away = True
            self.trace.emit("store_away", gone_s=self._gone_s(), reason=reason)

    def _is_outage(self) -> bool:
        return self.clock.monotonic() - self.answered_at >= MIN_OUTAGE_S

    def _gone_s(self) -> float:
        return traces.seconds(self.clock.monotonic() - self.answered_at)


@attrs.frozen
class Observed:
    """Pass calls to a row store and note which are answered."""

    inner: rows.RowStore
    contact: Contact

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
            self.contact.answered()
            raise
        except rows.UnavailableError as error:
            self.contact.failed(str(error))
            raise
        self.contact.answered()
