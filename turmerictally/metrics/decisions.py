"""Keep a bounded in-memory log of the decisions on each request and job."""

import collections
import json

import attrs

from turmerictally import clock

MAX_ENTRIES_PER_ID = 64
FIRST_ENTRIES_KEPT = 16  # when an id has too many, its entry after these is dropped
MAX_TEXT_CHARS = 200  # of one field


@attrs.frozen
class Entry:
    """One logged decision; ``at`` is in Unix seconds."""

    at: float
    event: str
    fields: dict[str, str | int | float | bool | None]


@attrs.define
class History:
    """The entries of one id; ``dropped`` counts entries removed to bound its length."""

    entries: list[Entry] = attrs.Factory(list)
    dropped: int = 0


class DecisionLog:
    """Log decisions per request or job, evicting the least recently updated first."""

    def __init__(self, max_entries: int, now: clock.Clock | None = None) -> None:
        self.max_entries = max_entries
        self.clock = now or clock.Clock()
        self.histories: collections.OrderedDict[str, History] = (
            collections.OrderedDict()
        )
        self.entry_count = 0

    def record(self, id: str, event: str, **fields: object) -> None:
        """Append a decision; the fields must not contain secrets."""
        history = self.histories.setdefault(id, History())
        self.histories.move_to_end(id)
        values = {name: _truncate(value) for name, value in fields.items()}
        history.entries.append(Entry(self.clock.wall(), event, values))
        self.entry_count += 1
        if len(history.entries) > MAX_ENTRIES_PER_ID:
            del history.entries[FIRST_ENTRIES_KEPT]
            history.dropped += 1
            self.entry_count -= 1
        while self.entry_count > self.max_entries:
            _, oldest = self.histories.popitem(last=False)
            self.entry_count -= len(oldest.entries)

    def lookup(self, id: str) -> History | None:
        """Return the retained entries of an id, if any."""
        return self.histories.get(id)


def encode(history: History | None) -> bytes:
    """Serialize a history for the protocol between hosts; None is an empty body."""
    return b"" if history is None else json.dumps(attrs.asdict(history)).encode()


def decode(body: bytes) -> History | None:
    """Parse the output of ``encode``; raise ``ValueError`` for other input."""
    if not body:
        return None
    try:
        row = json.loads(body)
        entries = [Entry(**entry) for entry in row["entries"]]
        return History(entries, int(row["dropped"]))
    except (KeyError, TypeError) as error:
        raise ValueError(
            f"expected entries and a dropped count, got: {error!r}"
        ) from error


def merge(histories: list[History]) -> History:
    """Merge several hosts' entries for one id, ordered by time."""
    entries = [entry for history in histories for entry in history.entries]
    entries.sort(key=lambda entry: entry.at)
    return History(entries, sum(history.dropped for history in histories))


def _truncate(value: object) -> str | int | float | bool | None:
    if value is None or isinstance(value, bool | int | float):
        return value
    text = str(value)
    return text if len(text) <= MAX_TEXT_CHARS else f"{text[:MAX_TEXT_CHARS]}..."
