"""Keep the append-only trail of every change, accepted or refused."""

import collections
import enum
import logging
import secrets

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.config import model
from turmerictally.store import table

logger = logging.getLogger(__name__)

PREFIX = "audit/"
BUFFER_ENTRIES = 1000
RETRY_S = 1.0
BATCH_ENTRIES = 20


class Result(enum.Enum):
    """Name the outcome of an attempted change."""

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class Entry:
    """Record one attempted change; ``at`` is in Unix seconds.

    ``before`` and ``after`` are the object as JSON-compatible mappings without a
    key's digest, or None when absent. ``version`` is 0 for a refused change.
    """

    id: str
    at: float
    who: str
    host: str
    kind: model.ItemKind
    name: str
    before: dict | None
    after: dict | None
    result: Result
    version: int = 0
    change_id: str = ""
    reason: str = ""

    @property
    def key(self) -> str:
        """Return the entry's row key, ordered by time."""
        return PREFIX + self.id


@attrs.frozen
class Page:
    """Hold one page of the trail; ``after`` continues it, or is empty at the end."""

    entries: tuple[Entry, ...]
    after: str


def entry_id(at: float) -> str:
    """Return a new id that sorts by time, given in Unix seconds."""
    return f"{int(at * 1000):015d}-{secrets.token_hex(4)}"


def redact(item: model.Item | None) -> dict | None:
    """Return an object for the trail, without a key's digest."""
    if item is None:
        return None
    value = model.converter.unstructure(item)
    value.pop("digest", None)
    return value


def put(entry: Entry) -> table.Put:
    """Return the write that appends an entry."""
    return table.Put(entry.key, model.converter.unstructure(entry))


class Trail:
    """Append refused changes in the background and list the trail.

    Committed changes are written by the store in the change's own transaction.
    """

    def __init__(self, rows: table.Table, clock: clocks.Clock) -> None:
        self.rows = rows
        self.clock = clock
        self.waiting: collections.deque[Entry] = collections.deque()
        self.dropped = 0
        self.work = trio.Event()

    def add(self, entry: Entry) -> None:
        """Queue an entry of a change that was not committed."""
        if len(self.waiting) >= BUFFER_ENTRIES:
            self.waiting.popleft()
            self.dropped += 1
            logger.warning("Audit buffer full, dropped %d entries.", self.dropped)
        self.waiting.append(entry)
        self.work.set()

    async def run(self) -> None:
        """Write queued entries until cancelled."""
        while True:
            await self.work.wait()
            self.work = trio.Event()
            while self.waiting and not await self.flush():
                await trio.sleep(RETRY_S)

    async def flush(self) -> bool:
        """Write what is queued; return False when the platform does not answer."""
        while self.waiting:
            batch = list(self.waiting)[:BATCH_ENTRIES]
            try:
                await self.rows.commit([], [put(entry) for entry in batch])
            except table.UnavailableError:
                return False
            self._forget(batch)
        return True

    def _forget(self, batch: list[Entry]) -> None:
        written = {entry.id for entry in batch}
        kept = [entry for entry in self.waiting if entry.id not in written]
        self.waiting = collections.deque(kept)

    async def list(
        self, *, after: str = "", since: float = 0.0, limit: int = 100
    ) -> Page:
        """Return a page in order of time; ``since`` is in Unix seconds.

        Raises ``table.UnavailableError``.
        """
        start = after or f"{int(since * 1000):015d}"
        rows = await self.rows.scan(PREFIX, after=PREFIX + start, limit=limit)
        entries = tuple(model.converter.structure(r.value, Entry) for r in rows)
        more = entries[-1].id if len(entries) == limit else ""
        return Page(entries=entries, after=more)
