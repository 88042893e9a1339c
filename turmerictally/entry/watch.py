"""Follow a table of the row store, also through a peer when the store is silent."""

import base64
import collections.abc
import contextlib
import json
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import trace as traces
from turmerictally.store import rows

WAIT_S = 1.5  # of a long poll; a silent connection is noticed this much later
RETRY_S = 0.15  # first pause after a failed call
MAX_RETRY_S = 0.6  # so that a store that is back is noticed within a second
LOST_AFTER_S = 1.0  # without an answer, beside the poll's own wait
# After a gap the store may still answer reads from an earlier moment.
REREAD_AFTER_GAP_S = 4.0
# Removed rows whose versions are kept; a table loses far fewer in the seconds for which
# an earlier moment can still be read.
MAX_REMOVED = 2000
PAGE_ROWS = 500  # the most that the store returns at once

OnChange = collections.abc.Callable[[list[rows.Row]], None]


@attrs.define(eq=False)
class Watch:
    """Keep a copy of the rows of one table's parts.

    A row never goes back to an older version, nor does a removed one come back with
    one; ``removed`` holds the versions of the newest removals. ``fresh_at`` is the
    local monotonic time as of which the copy is known to be complete, from the store or
    a peer. ``from_peer`` tells while a change is passed on that a peer's copy, which
    may lack rows, is the only source of it.
    """

    store: rows.RowStore
    name: str
    parts: tuple[str, ...]
    on_change: OnChange
    clock: clocks.Clock
    trace: traces.Trace
    rng: random.Random = attrs.field(factory=random.Random)
    interval_s: collections.abc.Callable[[], float] = lambda: 0.0
    rows_by_address: dict[rows.Address, rows.Row] = attrs.Factory(dict)
    tombstones: dict[rows.Address, int] = attrs.Factory(dict)
    from_peer: bool = False
    version: int = 0
    fresh_at: float = float("-inf")
    store_responded_at: float = float("-inf")
    store_unavailable: bool = False
    failing: bool = False
    call_started_at: float = float("-inf")
    now_s: float | None = None
    now_at: float = 0.0
    changed: trio.Event = attrs.field(factory=trio.Event)
    complete: bool = False
    reread_at: float = float("inf")

    async def run(self) -> None:
        """Follow the table until cancelled."""
        failures = 0
        while True:
            try:
                self.call_started_at = self.clock.monotonic()
                await self._step()
                failures = 0
                self._answered()
                left = self.call_started_at + self.interval_s() - self.clock.monotonic()
                if left > 0:
                    await trio.sleep(left)
            except rows.UnavailableError as error:
                failures += 1
                self._failed(error)
                pause = min(MAX_RETRY_S, RETRY_S * 2 ** min(failures, 8))
                # A call that went unanswered for long has made its pause already.
                again_at = self.call_started_at + pause * self.rng.uniform(0.5, 1.0)
                least = RETRY_S * self.rng.uniform(0.5, 1.0)
                await trio.sleep(max(least, again_at - self.clock.monotonic()))

    def age_s(self) -> float:
        """Return for how long the copy may have been out of date, in seconds."""
        return self.clock.monotonic() - self.fresh_at

    def store_now_s(self) -> float | None:
        """Return the store's steady clock, carried on by the local one, if known."""
        if self.now_s is None:
            return None
        return self.now_s + (self.clock.monotonic() - self.now_at)

    async def wait_for_change(self, seconds: float) -> None:
        """Return at the next change, or after this time."""
        with trio.move_on_after(seconds):
            await self.changed.wait()

    async def _step(self) -> None:
        if not self.complete or self.clock.monotonic() >= self.reread_at:
            self.reread_at = float("inf")
            await self._read_all()
            return
        # After a failure no waiting for news, so that a return is noticed at once.
        wait_s = 0.0 if self.failing else WAIT_S
        try:
            page = await self.store.changes(
                self.name, after=self.version, wait_s=wait_s
            )
        except rows.HistoryLostError:
            self.trace.emit("history_lost", table=self.name, version=self.version)
            self.complete = False
            self.reread_at = self.clock.monotonic() + REREAD_AFTER_GAP_S
            # Reads may still answer from before the gap, which leads here again.
            await trio.sleep(RETRY_S)
            return
        self._mark(page)
        self.apply(page.rows, page.version)

    async def _read_all(self) -> None:
        found: list[rows.Row] = []
        version = None
        for part in self.parts:
            start = ""
            while True:
                page = await self.store.read(
                    self.name, part, start=start, limit=PAGE_ROWS
                )
                # Changes after the first page are told again by the feed.
                version = page.version if version is None else version
                found.extend(page.rows)
                if not page.more:
                    break
                start = page.rows[-1].address.key + "\0"
        self._mark(page)
        self.replace(found, version or 0)
        self.complete = True

    def _mark(self, page: rows.Page) -> None:
        self.now_s = page.now_s
        self.now_at = self.clock.monotonic()
        if self.failing:
            self.failing = False
            self.trace.emit(
                "store_answers",
                table=self.name,
                version=page.version,
                unanswered_s=traces.seconds(self.now_at - self.store_responded_at),
                call_s=traces.seconds(self.now_at - self.call_started_at),
            )

    def replace(self, found: list[rows.Row], version: int) -> None:
        """Take a complete copy as of a version; an older one removes nothing newer."""
        kept = {row.address for row in found}
        gone = [
            rows.Row(address, None, version)
            for address, row in self.rows_by_address.items()
            if address not in kept and row.version <= version
        ]
        if version < self.version:
            # An answer from an earlier moment; the feed repeats what lies between.
            self.reread_at = self.clock.monotonic() + REREAD_AFTER_GAP_S
        self.apply([*found, *gone], version)

    def apply(self, found: list[rows.Row], version: int) -> None:
        """Take changed rows."""
        news = []
        past = 0
        for row in found:
            old = self.rows_by_address.get(row.address)
            if old is not None and old.version > row.version:
                continue
            if row.value is None:
                if not self.from_peer:
                    self._note_removal(row)
                if old is None:
                    continue
                del self.rows_by_address[row.address]
            else:
                if old is not None and old.version == row.version:
                    continue
                removed = self.tombstones.get(row.address, 0)
                if row.version <= removed and (self.from_peer or version < removed):
                    past += 1
                    continue
                self.rows_by_address[row.address] = row
            news.append(row)
        if past:
            self.trace.emit(
                "removed_rows_ignored", table=self.name, version=version, rows=past
            )
        self.version = max(self.version, version)
        if news:
            self.on_change(news)
            self.changed.set()
            self.changed = trio.Event()

    def _note_removal(self, row: rows.Row) -> None:
        version = max(row.version, self.tombstones.pop(row.address, 0))
        self.tombstones[row.address] = version
        if len(self.tombstones) > MAX_REMOVED:
            del self.tombstones[next(iter(self.tombstones))]

    def _answered(self) -> None:
        now = self.clock.monotonic()
        if self.store_unavailable:
            gone = round(now - self.store_responded_at, 2)
            self.trace.emit("store_regained", table=self.name, gone_s=gone)
            self.store_unavailable = False
        self.fresh_at = self.store_responded_at = now

    def _failed(self, error: Exception) -> None:
        now = self.clock.monotonic()
        if not self.failing:
            self.trace.emit(
                "store_call_failed",
                table=self.name,
                version=self.version,
                reason=str(error),
                age_s=traces.seconds(now - self.store_responded_at),
                call_s=traces.seconds(now - self.call_started_at),
            )
        self.failing = True
        if not self.store_unavailable and now - self.store_responded_at > LOST_AFTER_S:
            self.store_unavailable = True
            self.trace.emit("store_lost", table=self.name, reason=str(error))

    def encode(self) -> bytes:
        """Return the copy for a peer."""
        listed = [
            [a.part, a.key, row.version, base64.b64encode(row.value).decode()]
            for a, row in self.rows_by_address.items()
        ]
        return json.dumps({"version": self.version, "rows": listed}).encode()

    def load_peer_copy(self, data: bytes, age_s: float) -> None:
        """Take a peer's copy that was complete ``age_s`` ago."""
        with contextlib.suppress(ValueError, KeyError, TypeError):
            given = json.loads(data)
            found = [
                rows.Row(
                    rows.Address(self.name, part, key),
                    base64.b64decode(value),
                    int(version),
                )
                for part, key, version, value in given["rows"]
            ]
            if int(given["version"]) >= self.version:
                self.from_peer = True
                try:
                    self.replace(found, int(given["version"]))
                finally:
                    self.from_peer = False
            self.fresh_at = max(self.fresh_at, self.clock.monotonic() - age_s)
            return
        self.trace.emit("peer_copy_unreadable", table=self.name)
