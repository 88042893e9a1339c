"""Keep a local copy of a table of the row store, through peers in a store outage."""

import base64
import collections.abc
import json
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import decoding
from turmerictally.entry import trace as traces
from turmerictally.store import rows

LONG_POLL_S = 1.5  # delays the detection of a dead connection by as much
STALE_S = 2.2  # longer than a long poll takes; the interval between reads is added
MIN_RETRY_S = 0.15  # doubled with each failed call
MAX_RETRY_S = 0.6  # detects within a second that the store is available again
OUTAGE_S = 1.0  # without a response, after which the store counts as unavailable
# Full reads are repeated after this when the change feed has a gap: the store may still
# serve reads from an earlier version.
REREAD_DELAY_S = 4.0
# Far more removals than a table has in the seconds for which the store may serve reads
# from an earlier version.
MAX_TOMBSTONES = 2000
PAGE_ROWS = 500  # the store's limit for one page

MAX_CLOCK_DRIFT = 2e-4  # of two steady clocks against each other
CLOCK_TOLERANCE_S = 0.01  # of their rounded times

OnChange = collections.abc.Callable[[list[rows.Row]], None]


@attrs.define(eq=False)
class Watch:
    """Keep a local copy of the rows of some parts of a table.

    Rows are never replaced by older versions, and removed rows are not restored by
    them: ``tombstones`` holds the versions of the newest removals. ``fresh_at`` is the
    monotonic time as of which the copy is known to be up to date, from the store or
    from a peer. ``confirmed_at`` is when the store gave its last answer, by its own
    clock: an answer may have waited for a host that was paused. ``store_offset_s`` is
    the most that the store's clock was seen ahead of the local one, at
    ``store_clock_at`` for the last time. ``from_peer`` is set while
    ``on_change`` runs for changes that come only from a peer's copy, which may lack
    rows.
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
    confirmed_at: float = float("-inf")
    store_clock_s: float | None = None
    store_clock_at: float = 0.0
    store_offset_s: float = float("-inf")
    changed: trio.Event = attrs.field(factory=trio.Event)
    complete: bool = False
    reread_at: float = float("inf")

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        failures = 0
        while True:
            try:
                self.call_started_at = self.clock.monotonic()
                await self._step()
                failures = 0
                self._record_response()
                remaining_s = (
                    self.call_started_at + self.interval_s() - self.clock.monotonic()
                )
                if remaining_s > 0:
                    await trio.sleep(remaining_s)
            except rows.UnavailableError as error:
                failures += 1
                self._record_failure(error)
                pause_s = min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(failures, 8))
                # The pause includes the time that the failed call took.
                retry_at = self.call_started_at + pause_s * self.rng.uniform(0.5, 1.0)
                min_pause_s = MIN_RETRY_S * self.rng.uniform(0.5, 1.0)
                await trio.sleep(max(min_pause_s, retry_at - self.clock.monotonic()))

    def age_s(self) -> float:
        """Return the seconds since the copy was known to be up to date."""
        return self.clock.monotonic() - self.fresh_at

    def is_stale(self) -> bool:
        """Return whether the store has not updated the copy in time."""
        return self.age_s() > STALE_S + self.interval_s()

    def store_now_s(self) -> float | None:
        """Return the store's steady clock, advanced by the local one, if known."""
        if self.store_clock_s is None:
            return None
        return self.store_clock_s + (self.clock.monotonic() - self.store_clock_at)

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until the next change, for at most ``seconds``."""
        with trio.move_on_after(seconds):
            await self.changed.wait()

    async def _step(self) -> None:
        if not self.complete or self.clock.monotonic() >= self.reread_at:
            self.reread_at = float("inf")
            await self._read_all()
            return
        # After a failure, poll without waiting: an available store responds at once.
        wait_s = 0.0 if self.failing else LONG_POLL_S
        try:
            page = await self.store.changes(
                self.name, after=self.version, wait_s=wait_s
            )
        except rows.HistoryLostError:
            self.trace.emit("history_lost", table=self.name, version=self.version)
            self.complete = False
            self.reread_at = self.clock.monotonic() + REREAD_DELAY_S
            # A read may be served from before the gap; the feed then fails again.
            await trio.sleep(MIN_RETRY_S)
            return
        self._record_page(page)
        self.apply(page.rows, page.version)

    async def catch_up(self) -> None:
        """Apply all that the store holds by now; raises ``rows.UnavailableError``."""
        try:
            page = await self.store.changes(self.name, after=self.version, wait_s=0.0)
        except rows.HistoryLostError as error:
            raise rows.UnavailableError("history lost") from error
        self.apply(page.rows, page.version)

    async def _read_all(self) -> None:
        table_rows: list[rows.Row] = []
        version = None
        for part in self.parts:
            start = ""
            while True:
                page = await self.store.read(
                    self.name, part, start=start, limit=PAGE_ROWS
                )
                # The change feed repeats changes made since the first page.
                version = page.version if version is None else version
                table_rows.extend(page.rows)
                if not page.more or not page.rows:
                    break
                start = page.rows[-1].address.key + "\0"
        self._record_page(page)
        self.replace(table_rows, version or 0)
        self.complete = True

    def _record_page(self, page: rows.Page) -> None:
        self._record_clock(page.now_s)
        if self.failing:
            self.failing = False
            self.trace.emit(
                "store_answers",
                table=self.name,
                version=page.version,
                unanswered_s=traces.seconds(
                    self.store_clock_at - self.store_responded_at
                ),
                call_s=traces.seconds(self.store_clock_at - self.call_started_at),
            )

    def _record_clock(self, store_now_s: float) -> None:
        """Record the store's clock in an answer, and when it gave that."""
        now = self.clock.monotonic()
        elapsed_s = now - self.store_clock_at
        # Without a delay on the way the difference is the largest.
        self.store_offset_s = max(
            self.store_offset_s - MAX_CLOCK_DRIFT * elapsed_s, store_now_s - now
        )
        given_at = store_now_s - self.store_offset_s
        if given_at < self.call_started_at - CLOCK_TOLERANCE_S:
            # No answer precedes its call: the store's clock was set back.
            self.store_offset_s = store_now_s - now
        self.confirmed_at = max(given_at, self.call_started_at)
        self.store_clock_s, self.store_clock_at = store_now_s, now

    def replace(self, snapshot: list[rows.Row], version: int) -> None:
        """Apply a complete copy as of a version; rows newer than it stay."""
        present = {row.address for row in snapshot}
        missing = [
            rows.Row(address, None, version)
            for address, row in self.rows_by_address.items()
            if address not in present and row.version <= version
        ]
        if version < self.version:
            # Read from an earlier version; the change feed repeats what came after it.
            self.reread_at = self.clock.monotonic() + REREAD_DELAY_S
        self.apply([*snapshot, *missing], version)

    def apply(self, changed_rows: list[rows.Row], version: int) -> None:
        """Apply changed rows as of a version, and pass on those that are new here."""
        updates = []
        ignored = 0
        for row in changed_rows:
            old = self.rows_by_address.get(row.address)
            if old is not None and old.version > row.version:
                continue
            if row.value is None:
                if not self.from_peer:
                    self._record_removal(row)
                if old is None:
                    continue
                del self.rows_by_address[row.address]
            else:
                if old is not None and old.version == row.version:
                    continue
                removed_version = self.tombstones.get(row.address, 0)
                if row.version <= removed_version and (
                    self.from_peer or version < removed_version
                ):
                    ignored += 1
                    continue
                self.rows_by_address[row.address] = row
            updates.append(row)
        if ignored:
            self.trace.emit(
                "removed_rows_ignored", table=self.name, version=version, rows=ignored
            )
        self.version = max(self.version, version)
        if updates:
            self._pass_on(updates)
            self.changed.set()
            self.changed = trio.Event()

    def newer_row(self, address: rows.Address, version: int) -> rows.Row | None:
        """Return the row at an address, or its removal, if newer than a version."""
        row = self.rows_by_address.get(address)
        if row is None and address in self.tombstones:
            row = rows.Row(address, None, self.tombstones[address])
        return row if row is not None and row.version > version else None

    def _pass_on(self, updates: list[rows.Row]) -> None:
        """Call ``on_change`` with all updates, or with each one if that fails.

        A row that cannot be applied must not keep the others from being applied.
        """
        try:
            self.on_change(updates)
        except Exception as error:
            if len(updates) > 1:
                for row in updates:
                    self._pass_on([row])
                return
            self.trace.emit(
                "row_not_applied",
                table=self.name,
                key=decoding.loggable(updates[0].address.key),
                version=updates[0].version,
                reason=traces.locate(error),
            )

    def _record_removal(self, row: rows.Row) -> None:
        version = max(row.version, self.tombstones.pop(row.address, 0))
        self.tombstones[row.address] = version
        if len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def _record_response(self) -> None:
        now = self.clock.monotonic()
        if self.store_unavailable:
            outage_s = round(now - self.store_responded_at, 2)
            self.trace.emit("store_regained", table=self.name, gone_s=outage_s)
            self.store_unavailable = False
        self.fresh_at = self.store_responded_at = now

    def _record_failure(self, error: Exception) -> None:
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
        if not self.store_unavailable and now - self.store_responded_at > OUTAGE_S:
            self.store_unavailable = True
            self.trace.emit("store_lost", table=self.name, reason=str(error))

    def encode(self) -> bytes:
        """Return the copy in the form that ``load_peer_copy`` reads."""
        encoded_rows = [
            [a.part, a.key, row.version, base64.b64encode(row.value).decode()]
            for a, row in self.rows_by_address.items()
        ]
        return json.dumps({"version": self.version, "rows": encoded_rows}).encode()

    def load_peer_copy(self, data: bytes, age_s: float) -> None:
        """Apply a peer's copy that was up to date ``age_s`` ago."""
        try:
            version, copied_rows = self._read_copy(data)
        except decoding.DecodeError as error:
            self.trace.emit("peer_copy_unreadable", table=self.name, reason=str(error))
            return
        if version >= self.version:
            self.from_peer = True
            try:
                self.replace(copied_rows, version)
            finally:
                self.from_peer = False
        self.fresh_at = max(self.fresh_at, self.clock.monotonic() - age_s)

    def _read_copy(self, data: bytes) -> tuple[int, list[rows.Row]]:
        """Return a copy's version and rows; raises ``decoding.DecodeError``."""
        copy = decoding.read_object(data)
        copied_rows = []
        for fields in copy.get("rows", decoding.check_list):
            match fields:
                case [str(part), str(key), version, value]:
                    copied_rows.append(
                        rows.Row(
                            rows.Address(self.name, part, key),
                            decoding.check_base64(value),
                            decoding.check_integer(version),
                        )
                    )
                case _:
                    raise decoding.DecodeError("rows: expected four fields")
        return copy.integer("version"), copied_rows
