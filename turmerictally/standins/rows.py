"""Keep a versioned row store in memory, for tests and the model of a deployment."""

import collections

import attrs
import trio

from turmerictally.standins import faults
from turmerictally.store import rows

PAGE_ROWS = 500
# A caller gives up an unanswered call after this, beyond the time it asks to wait.
GIVE_UP_S = 0.7


class RowStore:
    """Stand in for the row store; implements ``rows.RowStore``.

    ``late_s`` delays transactions whose answer is lost, in seconds, which then apply
    if their conditions still hold. ``stale_by`` makes reads answer as of an earlier
    version. ``refused`` names callers (see ``view``) that are turned away,
    ``silenced`` those that get no answer, ``refused_tables`` pairs of a caller and a
    table of which it is told nothing.
    """

    def __init__(self) -> None:
        self.faults = faults.Faults()
        self.rows: dict[rows.Address, rows.Row] = {}
        self.log: list[rows.Row] = []
        self.version = 0
        self.kept_from = 0
        self.late_s = 0.0
        self.stale_at: int | None = None
        self.refused: set[str] = set()
        self.silenced: set[str] = set()
        self.refused_tables: set[tuple[str, str]] = set()
        self.hung: collections.Counter[str] = collections.Counter()
        self.changed = trio.Event()
        self.calls = 0

    def view(self, caller: str) -> "View":
        """Return the store as one host reaches it."""
        return View(self, caller)

    def silence(self, caller: str) -> None:
        """Leave a caller's calls unanswered until it is no longer ``silenced``."""
        self.silenced.add(caller)
        self.hang(caller)

    def hang(self, caller: str) -> None:
        """Leave a caller's open calls unanswered; new ones are answered."""
        self.hung[caller] += 1

    def put(self, name: str, key: str, value: bytes | None, part: str = "") -> int:
        """Change one row at once, as the operator or a server does."""
        return self.apply({}, {rows.Address(name, part, key): value}).version

    def apply(
        self,
        expected: dict[rows.Address, int],
        puts: dict[rows.Address, bytes | None],
    ) -> rows.Commit:
        """Change rows at once; raises ``rows.ConflictError``."""
        found = [self.rows.get(address) for address in expected]
        versions = [row.version if row else 0 for row in found]
        if versions != list(expected.values()):
            raise rows.ConflictError([row for row in found if row])
        self.version += 1
        for address, value in puts.items():
            row = rows.Row(address, value, self.version)
            self.log.append(row)
            if value is None:
                self.rows.pop(address, None)
            else:
                self.rows[address] = row
        self.changed.set()
        self.changed = trio.Event()
        return rows.Commit(self.version, trio.current_time())

    def forget_history(self) -> None:
        """Drop what changed before now."""
        self.kept_from = self.version

    def since(self, name: str, version: int) -> list[rows.Row]:
        """Return what changed in a table after a version."""
        return [
            row
            for row in self.log
            if row.version > version and row.address.table == name
        ]

    def as_of(self, version: int) -> dict[rows.Address, rows.Row]:
        """Return the rows as they were at a version."""
        found: dict[rows.Address, rows.Row] = {}
        for row in self.log:
            if row.version > version:
                break
            if row.value is None:
                found.pop(row.address, None)
            else:
                found[row.address] = row
        return found


@attrs.frozen
class View:
    """Reach a ``RowStore`` as one host; implements ``rows.RowStore``."""

    store: RowStore
    caller: str

    async def transact(
        self,
        expected: dict[rows.Address, int],
        puts: dict[rows.Address, bytes | None],
    ) -> rows.Commit:
        """Change rows in one transaction."""
        call = await self._before()
        store = self.store
        if store.late_s and store.faults.rng.random() < store.faults.lose_answer:
            trio.lowlevel.spawn_system_task(self._apply_late, expected, puts)
            raise rows.UnavailableError("answer lost", maybe_applied=True)
        done = store.apply(expected, puts)
        store.faults.after()
        await call.answer()
        return done

    async def _apply_late(self, expected: dict, puts: dict) -> None:
        await trio.sleep(self.store.late_s)
        try:
            self.store.apply(expected, puts)
        except rows.ConflictError:
            # Its condition no longer holds, so it never takes effect.
            return

    async def read(
        self,
        name: str,
        part: str,
        *,
        start: str = "",
        end: str = "",
        limit: int = PAGE_ROWS,
    ) -> rows.Page:
        """Read rows of one part in key order."""
        call = await self._before()
        stale_at = self.store.stale_at
        kept = self.store.rows if stale_at is None else self.store.as_of(stale_at)
        found = sorted(
            (
                row
                for address, row in kept.items()
                if (address.table, address.part) == (name, part)
                and address.key >= start
                and (not end or address.key < end)
            ),
            key=lambda row: row.address.key.encode(errors="surrogatepass"),
        )
        version = self.store.version if stale_at is None else stale_at
        await call.answer()
        return rows.Page(
            found[:limit], version, trio.current_time(), len(found) > limit
        )

    async def changes(self, name: str, *, after: int, wait_s: float) -> rows.Page:
        """Return rows changed after a version."""
        call = await self._before(wait_s)
        store = self.store
        with trio.move_on_after(wait_s):
            while True:
                if after < store.kept_from:
                    raise rows.HistoryLostError(name)
                if store.since(name, after):
                    break
                await store.changed.wait()
        # Rows and version are of one moment, also at the end of the wait.
        found, version = store.since(name, after), store.version
        refused = (self.caller, name) in store.refused_tables
        if refused or self.caller in store.refused or store.faults.down:
            raise rows.UnavailableError("outage")
        await call.answer()
        return rows.Page(found, version, trio.current_time())

    async def _before(self, wait_s: float = 0.0) -> "Call":
        self.store.calls += 1
        give_up_at = trio.current_time() + wait_s + GIVE_UP_S
        call = Call(self.store, self.caller, give_up_at, self.store.hung[self.caller])
        await self.store.faults.before()
        if self.caller in self.store.refused:
            raise rows.UnavailableError("refused")
        await call.answer()
        return call


@attrs.frozen
class Call:
    """Hold one call of a caller, who gives it up at ``give_up_at``."""

    store: RowStore
    caller: str
    give_up_at: float
    hung: int

    async def answer(self) -> None:
        """Return if the answer arrives; raises ``rows.UnavailableError``."""
        store = self.store
        if self.caller in store.silenced or store.hung[self.caller] != self.hung:
            await trio.sleep_until(self.give_up_at)
            raise rows.UnavailableError("silent")
