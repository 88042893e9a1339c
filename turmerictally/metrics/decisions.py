"""Keep a bounded record of what was decided for each request and job."""

import collections
import json

import attrs

from turmerictally import clock

MAX_ENTRIES_PER_ID = 64
KEPT_FIRST = 16  # of one id's entries, when later ones must go
MAX_TEXT = 200  # characters of one field


@attrs.frozen
class Entry:
    """Hold one decision; ``at`` is in Unix seconds."""

    at: float
    event: str
    fields: dict[str, str | int | float | bool | None]


@attrs.define
class History:
    """Hold the entries of one id; ``dropped`` counts those that had to go."""

    entries: list[Entry] = attrs.Factory(list)
    dropped: int = 0


class DecisionLog:
    """Record decisions by request or job id, forgetting the oldest ids first."""

    def __init__(self, max_entries: int, now: clock.Clock | None = None) -> None:
        self.max_entries = max_entries
        self.clock = now or clock.Clock()
        self.histories: collections.OrderedDict[str, History] = (
            collections.OrderedDict()
        )
        self.size = 0

    def record(self, id: str, event: str, **fields: object) -> None:
        """Add a decision; secrets must not be among the fields."""
        history = self.histories.setdefault(id, History())
        self.histories.move_to_end(id)
        values = {name: _bounded(value) for name, value in fields.items()}
        history.entries.append(Entry(self.clock.wall(), event, values))
        self.size += 1
        if len(history.entries) > MAX_ENTRIES_PER_ID:
            del history.entries[KEPT_FIRST]
            history.dropped += 1
            self.size -= 1
        while self.size > self.max_entries:
            _, oldest = self.histories.popitem(last=False)
            self.size -= len(oldest.entries)

    def lookup(self, id: str) -> History | None:
        """Return what is still known about an id."""
        return self.histories.get(id)


def encode(history: History | None) -> bytes:
    """Return a history for the inner protocol; empty for None."""
    return b"" if history is None else json.dumps(attrs.asdict(history)).encode()


def decode(body: bytes) -> History | None:
    """Return the history that ``encode`` wrote, or raise ``ValueError``."""
    if not body:
        return None
    try:
        row = json.loads(body)
        entries = [Entry(**entry) for entry in row["entries"]]
        return History(entries, int(row["dropped"]))
    except (KeyError, TypeError) as error:
        raise ValueError("not a history") from error


def merge(histories: list[History]) -> History:
    """Return what several hosts know about one id, in order of time."""
    entries = [entry for history in histories for entry in history.entries]
    entries.sort(key=lambda entry: entry.at)
    return History(entries, sum(history.dropped for history in histories))


def _bounded(value: object) -> str | int | float | bool | None:
    if value is None or isinstance(value, bool | int | float):
        return value
    text = str(value)
    return text if len(text) <= MAX_TEXT else f"{text[:MAX_TEXT]}..."
