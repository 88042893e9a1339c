"""Store uploaded files of batch items, checking each line as it streams."""

import collections.abc
import json
import logging
import uuid

import attrs

from turmerictally import errors, settings
from turmerictally.batch import records, store
from turmerictally.store import table

logger = logging.getLogger(__name__)

RANGE_BYTES = 4 * 1024 * 1024
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_BAD_LINES = 1000
MAX_MODELS = 64
MAX_CUSTOM_ID = 512
MAX_RANGES = 2000
METHODS = ("POST", "PUT", "PATCH", "GET", "DELETE")


@attrs.frozen
class Item:
    """Hold one item: its place in the file, the request to make and its team."""

    index: int
    custom_id: str
    method: str
    url: str
    body: dict
    team: str = ""

    @property
    def model(self) -> str:
        """Return the model that the item names, or an empty text."""
        model = self.body.get("model", "")
        return model if isinstance(model, str) else ""


def parse(line: bytes, index: int, team: str = "") -> Item:
    """Return the item of a line; raise ``ValueError`` with the reason."""
    try:
        value = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise ValueError("not valid JSON") from error
    if not isinstance(value, dict):
        raise ValueError("not a JSON object")
    custom_id = value.get("custom_id")
    if not isinstance(custom_id, str) or not 0 < len(custom_id) <= MAX_CUSTOM_ID:
        raise ValueError("custom_id must be a text of 1 to 512 characters")
    if value.get("method") not in METHODS:
        raise ValueError(f"method must be one of {', '.join(METHODS)}")
    url = value.get("url")
    if not isinstance(url, str) or not url.startswith("/"):
        raise ValueError("url must be a path")
    if not isinstance(value.get("body"), dict):
        raise ValueError("body must be a JSON object")
    return Item(index, custom_id, value["method"], url, value["body"], team)


@attrs.define
class Scanner:
    """Check lines as they stream by and record where each range starts."""

    range_items: int
    max_items: int
    max_bytes: int
    size: int = 0
    lines: int = 0
    items: int = 0
    first: int = 0
    start: int = 0
    position: int = 0
    rest: bytearray = attrs.Factory(bytearray)
    slices: list[records.Slice] = attrs.Factory(list)
    bad: list[records.BadLine] = attrs.Factory(list)
    models: set[str] = attrs.Factory(set)
    seen: set[int] = attrs.Factory(set)

    def feed(self, chunk: bytes) -> None:
        """Check the lines that end in this chunk."""
        self.size += len(chunk)
        if self.size > self.max_bytes:
            raise errors.Error(errors.Kind.BODY_TOO_LARGE)
        pieces = chunk.split(b"\n")
        for piece in pieces[:-1]:
            self.rest += piece
            self._line(1)
        self.rest += pieces[-1]
        if len(self.rest) > MAX_LINE_BYTES:
            raise _bad(f"Line {self.lines + 1} is longer than {MAX_LINE_BYTES} bytes.")

    def finish(self) -> None:
        """Check the last line and close the last range."""
        if self.rest:
            self._line(0)
        self._cut()
        if not self.items:
            raise _bad("The file holds no items.")
        if len(self.bad) == self.items:
            raise _bad(f"No line is valid. {self._reasons()}")

    def _line(self, newline: int) -> None:
        line = bytes(self.rest)
        self.rest.clear()
        self.lines += 1
        if line.strip():
            self._item(line)
        self.position += len(line) + newline
        full = self.items - self.first >= self.range_items
        if full or self.position - self.start >= RANGE_BYTES:
            self._cut()

    def _item(self, line: bytes) -> None:
        if self.items >= self.max_items:
            raise _bad(f"The file holds more than {self.max_items} items.")
        try:
            self._accept(parse(line, self.items))
        except ValueError as error:
            bad = records.BadLine(self.lines, self.items, str(error))
            self.bad.append(bad)
            if len(self.bad) > MAX_BAD_LINES:
                message = f"More than {MAX_BAD_LINES} lines are not valid."
                raise _bad(f"{message} {self._reasons()}") from error
        self.items += 1

    def _accept(self, item: Item) -> None:
        digest = hash(item.custom_id)
        if digest in self.seen:
            raise ValueError("custom_id occurs twice")
        self.seen.add(digest)
        if len(self.models) < MAX_MODELS:
            self.models.add(item.model)

    def _cut(self) -> None:
        if self.items > self.first:
            if len(self.slices) >= MAX_RANGES:
                raise _bad("The file is too large.")
            count = self.items - self.first
            found = records.Slice(self.first, count, self.start, self.position)
            self.slices.append(found)
        self.first = self.items
        self.start = self.position

    def _reasons(self) -> str:
        shown = [f"Line {bad.line}: {bad.reason}." for bad in self.bad[:20]]
        return " ".join(shown)


async def upload(
    kept: store.Store,
    given: settings.Settings,
    team: str,
    filename: str,
    source: collections.abc.AsyncIterable[bytes],
) -> records.File:
    """Store a file of items and return its description.

    Invalid lines are listed in ``bad`` and fail alone when the job runs. Raises
    ``errors.Error``: ``BAD_REQUEST``, ``BODY_TOO_LARGE``, ``PLATFORM_UNAVAILABLE``.
    """
    file_id = f"file-{uuid.UUID(int=kept.rng.getrandbits(128)).hex}"
    batch = given.batch
    limit = given.listen.max_upload_bytes
    scanner = Scanner(batch.range_items, batch.max_items, limit)
    await _put(kept, file_id, _scan(source, scanner))
    now = kept.clock.wall()
    record = records.File(
        id=file_id,
        team=team,
        filename=filename,
        size=scanner.size,
        items=scanner.items,
        slices=tuple(scanner.slices),
        bad=tuple(scanner.bad),
        models=tuple(sorted(scanner.models)),
        created_at=now,
        expires_at=now + batch.retention_s,
    )
    await _register(kept, record)
    return record


async def get(kept: store.Store, team: str, file_id: str) -> records.File:
    """Return a team's file; raise ``NOT_FOUND`` also for another team's."""
    key = _key(team, file_id)
    row = await kept.read_for_caller(lambda: kept.table.get(key))
    if row is None:
        raise errors.Error(errors.Kind.NOT_FOUND, "No such file.")
    return records.load(records.File, row.value)


async def _scan(source, scanner):
    async for chunk in source:
        scanner.feed(chunk)
        yield chunk
    scanner.finish()


async def _put(kept: store.Store, file_id: str, data) -> None:
    key = f"{records.UPLOADS}{file_id}"
    try:
        await kept.objects.put(key, data, if_absent=True)
    except table.UnavailableError as error:
        head = await kept.read_for_caller(lambda: kept.objects.head(key))
        if head is None:
            raise store.unavailable() from error


async def _register(kept: store.Store, record: records.File) -> None:
    key = _key(record.team, record.id)
    expiry = f"{records.EXPIRES}{int(record.expires_at):011d}/file/{record.id}"
    writes = [
        table.Put(key, records.dump(record)),
        table.Put(expiry, {"row": key, "object": record.object_key}),
    ]
    for attempt in range(store.CALLER_ATTEMPTS):
        try:
            await kept.table.commit([], writes)
            return
        except table.UnavailableError:
            await kept.pause(attempt)
    raise store.unavailable()


def _key(team: str, file_id: str) -> str:
    return f"{records.FILES}{team}/{file_id}"


def _bad(detail: str) -> errors.Error:
    return errors.Error(errors.Kind.BAD_REQUEST, detail)
