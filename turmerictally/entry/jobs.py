"""Store batch jobs in the row store: their items, results and owner."""

import base64
import collections.abc
import json
import re
import zlib

import attrs
import msgspec

from turmerictally.entry import decoding
from turmerictally.scheduling import item_attempts, stream_origins
from turmerictally.store import rows

# Tables of the row store.
STATES = "jobs"  # one small row for each job, watched by every host
ITEMS = "items"  # a job's items, written once
RESULTS = "results"  # a job's results by position, written once
PROGRESS = "progress"  # events and failed attempts of items, for later owners
SHARDS = 8  # partitions; each takes 200 transactions a second of 5 ms
MAX_PIECE_BYTES = 60_000  # of a row's value, below the store's limit of 65,536
MAX_TRANSACTION_BYTES = 900_000  # of values; the store's limit of 1 MB includes names
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024  # of a job's items, or of one result
MAX_TRANSACTION_ROWS = 90  # below the store's limit of 100
MAX_PROGRESS_ROWS = 50  # in one transaction, which may also release the job
MAX_ATTEMPTS_ROWS = 40  # the same
READ_PAGE_ROWS = 100
MAX_READ_BYTES = 900_000  # of results in one response to a caller
MAX_ID_LENGTH = 120  # of a job or an item; both are parts of row keys
MAX_ITEM_TOKENS = 10**9


@attrs.frozen
class Item:
    """Hold one item: a request to run and the maximum number of its tokens."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)
    tokens: int


@attrs.frozen
class Result:
    """Hold the result of an item; ``text`` is the data of its events, one a line."""

    id: str
    succeeded: bool
    text: str = attrs.field(repr=False)


def check_id(value: str) -> None:
    """Check the id of a job or an item, a part of row keys and headers."""
    if not 0 < len(value) <= MAX_ID_LENGTH or "/" in value or not value.isascii():
        raise decoding.DecodeError(
            f"id: expected 1 to {MAX_ID_LENGTH} characters of ASCII without a slash"
        )


OnUnreadable = collections.abc.Callable[[rows.Row, str], None]


@attrs.frozen
class State:
    """Hold the state of a job, which every host watches.

    ``created_s`` is a time of the store's clock. ``listed`` counts the results, and
    ``tokens`` the tokens of the items without a result. ``pieces`` is the number of
    rows that hold the items. A job without an owner has an empty ``owner``.
    ``configuration`` is the version of the configuration by which it was accepted, 0 if
    unknown.
    """

    job: str
    team: str
    route: str
    hostname: str
    path: str
    owner: str
    instance: str
    total: decoding.Count
    listed: decoding.Count
    tokens: decoding.Count
    pieces: decoding.Count
    created_s: decoding.Seconds
    completion_s: decoding.Seconds
    retention_s: decoding.Seconds
    cancelled: bool = False
    configuration: decoding.Count = 0

    @property
    def open(self) -> bool:
        """Return whether some items have no result and the job is not cancelled."""
        return self.listed < self.total and not self.cancelled

    def encode(self) -> bytes:
        """Return the value of the job's row."""
        return msgspec.json.encode(self)


_STATE_DECODER = msgspec.json.Decoder(State)
# Id, path, headers, body and tokens of each item.
_ITEMS_DECODER = msgspec.json.Decoder(
    list[tuple[str, str, dict[str, str], bytes, decoding.Count]]
)
# Id, whether it succeeded, and text.
_RESULT_DECODER = msgspec.json.Decoder(tuple[str, bool, str])


@attrs.frozen
class SavedEvents:
    """Hold the value of a row of progress; see ``Progress``."""

    service: str
    software: str
    beginning: decoding.Count
    events: list[str] = attrs.field(repr=False)


@attrs.frozen
class SavedAttempts:
    """Hold the value of a row of failed attempts; see ``item_attempts.Attempts``."""

    errors: dict[decoding.Count, decoding.Count]
    impossible: bool


_ATTEMPTS_DECODER = msgspec.json.Decoder(SavedAttempts)
# Rows of versions of hosts that didn't save where the events come from hold a list.
_EVENTS_DECODER = msgspec.json.Decoder(SavedEvents | list[str])


@attrs.frozen
class VersionedState:
    """Hold a job's state and the version of its row."""

    state: State
    version: int


def read_state(row: rows.Row) -> VersionedState:
    """Return the state in a job's row; raises ``decoding.DecodeError``."""
    state = decoding.decode(_STATE_DECODER, row.value)
    if state.job != row.address.key:
        raise decoding.DecodeError("job: expected the row's key")
    check_id(state.job)
    texts = (state.team, state.route, state.hostname, state.path)
    for text in (*texts, state.owner, state.instance):
        decoding.check_text(text)
    return VersionedState(state, row.version)


def decode(row: rows.Row) -> VersionedState | None:
    """Return a job's state, or None if the row cannot be decoded."""
    try:
        return read_state(row)
    except decoding.DecodeError:
        return None


@attrs.define(eq=False)
class JobStates:
    """Hold the decoded states of all jobs in the watched table.

    ``on_unreadable`` is called with a malformed row and the reason.
    """

    on_unreadable: OnUnreadable = lambda row, reason: None
    by_id: dict[str, VersionedState] = attrs.Factory(dict)

    def update(self, changed: list[rows.Row]) -> None:
        """Apply changed rows of the table of states."""
        for row in changed:
            versioned = None
            if row.value is not None:
                try:
                    versioned = read_state(row)
                except decoding.DecodeError as error:
                    self.on_unreadable(row, str(error))
            if versioned is None:
                self.by_id.pop(row.address.key, None)
            else:
                self.by_id[row.address.key] = versioned

    def waiting_tokens(self, team: str, hostname: str, path: str) -> int:
        """Return the tokens of a team's items without a result on one route."""
        return sum(
            versioned.state.tokens
            for versioned in self.by_id.values()
            if versioned.state.team == team
            and versioned.state.open
            and (versioned.state.hostname, versioned.state.path) == (hostname, path)
        )


def shard(job: str) -> str:
    """Return the partition of the store that holds a job's rows."""
    return str(zlib.crc32(job.encode()) % SHARDS)


SHARD_NAMES = tuple(str(number) for number in range(SHARDS))


def state_address(job: str) -> rows.Address:
    """Return the address of the row of a job's state."""
    return rows.Address(STATES, shard(job), job)


def compress_pieces(data: bytes) -> list[bytes]:
    """Compress data and split it into pieces that fit into rows."""
    packed = zlib.compress(data, 6)
    return [
        packed[i : i + MAX_PIECE_BYTES] for i in range(0, len(packed), MAX_PIECE_BYTES)
    ]


def decompress_pieces(pieces: list[bytes]) -> bytes:
    """Return what ``compress_pieces`` compressed; raises ``decoding.DecodeError``."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(b"".join(pieces), MAX_DECOMPRESSED_BYTES)
    except (zlib.error, TypeError) as error:
        raise decoding.DecodeError("not compressed") from error
    if not decompressor.eof:
        raise decoding.DecodeError("compressed data is cut off or too long")
    return data


def item_puts(job: str, items: list[Item]) -> dict[rows.Address, bytes]:
    """Return the rows of a job's items."""
    fields = [
        [i.id, i.path, i.headers, base64.b64encode(i.body).decode(), i.tokens]
        for i in items
    ]
    partition = shard(job)
    return {
        rows.Address(ITEMS, partition, f"{job}/{number:04d}"): piece
        for number, piece in enumerate(compress_pieces(json.dumps(fields).encode()))
    }


def result_puts(job: str, position: int, result: Result) -> dict[rows.Address, bytes]:
    """Return the rows of one result."""
    data = json.dumps([result.id, result.succeeded, result.text]).encode()
    partition = shard(job)
    return {
        rows.Address(RESULTS, partition, f"{job}/{position:06d}/{number:02d}"): piece
        for number, piece in enumerate(compress_pieces(data))
    }


@attrs.frozen
class Progress:
    """Hold the data of consecutive events of an item, from ``first_event`` on.

    ``ownership_version`` is the version of the job's row at which the writer became
    its owner; later owners have higher ones. ``origin`` is where the events come from,
    and ``beginning`` how often the item had begun anew before them.
    """

    item: str
    ownership_version: int
    first_event: int
    event_data: list[str] = attrs.field(repr=False)
    origin: stream_origins.Origin
    beginning: int = 0


@attrs.frozen
class SavedProgress:
    """Hold what was saved of a job's unfinished items.

    ``events`` is in the order of the rows, and ``attempts`` is by item.
    """

    events: list[Progress] = attrs.Factory(list)
    attempts: dict[str, item_attempts.Attempts] = attrs.Factory(dict)


_PROGRESS_KEY = re.compile(
    r"[^/]*/(?P<item>[^/]+)/(?P<version>[0-9]{1,16})/(?P<first>[0-9]{1,16})"
)
# Versions of hosts that didn't save attempts pass such a row over, and delete it with
# the job's other rows.
_ATTEMPTS_KEY = re.compile(r"[^/]*/(?P<item>[^/]+)/[0-9]{1,16}/attempts")
_RESULT_KEY = re.compile(r"[^/]*/(?P<position>[0-9]{1,16})/[0-9]{1,16}")


def join_progress(progress: list[Progress]) -> dict[str, Progress]:
    """Return each item's events up to the first gap, as if they were one row.

    Events that a later owner wrote replace an earlier owner's from the same event on:
    the later owner resumed without them. An item that begins anew leaves rows of its
    earlier runs behind, so that only rows of one beginning are joined. Events of an
    unknown version don't count.
    """
    joined: dict[str, Progress] = {}
    for part in sorted(progress, key=lambda p: (p.ownership_version, p.first_event)):
        if not part.origin.software:
            continue
        before = joined.get(part.item)
        if part.first_event == 1:
            joined[part.item] = part
        elif before is not None and _continues(before, part):
            event_data = before.event_data[: part.first_event - 1] + part.event_data
            joined[part.item] = attrs.evolve(part, first_event=1, event_data=event_data)
    return joined


def _continues(before: Progress, part: Progress) -> bool:
    """Return whether a row goes on with events from the first one on, without a gap."""
    same = (part.origin, part.beginning) == (before.origin, before.beginning)
    return same and part.first_event <= len(before.event_data) + 1


def progress_puts(
    job: str, progress: list[Progress]
) -> tuple[dict[rows.Address, bytes], list[Progress]]:
    """Return rows of the progress that fits into one transaction, and that progress."""
    puts: dict[rows.Address, bytes] = {}
    fitting = []
    size = 0
    for part in progress:
        saved = SavedEvents(
            part.origin.service, part.origin.software, part.beginning, part.event_data
        )
        packed = zlib.compress(msgspec.json.encode(saved))
        value_bytes = len(packed) * 4 // 3
        too_large = size + value_bytes > MAX_TRANSACTION_BYTES // 2
        if len(packed) > MAX_PIECE_BYTES or too_large or len(puts) >= MAX_PROGRESS_ROWS:
            continue
        size += value_bytes
        key = f"{job}/{part.item}/{part.ownership_version:012d}/{part.first_event:07d}"
        puts[rows.Address(PROGRESS, shard(job), key)] = packed
        fitting.append(part)
    return puts, fitting


def attempts_puts(
    job: str,
    ownership_version: int,
    attempts: collections.abc.Mapping[str, item_attempts.Attempts],
) -> dict[rows.Address, bytes]:
    """Return the rows of items' failed attempts, one for each item and owner."""
    return {
        rows.Address(
            PROGRESS, shard(job), f"{job}/{item}/{ownership_version:012d}/attempts"
        ): msgspec.json.encode(SavedAttempts(known.errors, known.impossible))
        for item, known in attempts.items()
    }


@attrs.define(eq=False)
class JobStore:
    """Read and write batch jobs in the row store.

    ``on_unreadable`` is called with a malformed row and the reason. Rows of items and
    results that are malformed fail the call with ``rows.UnavailableError``.
    """

    store: rows.RowStore
    on_unreadable: OnUnreadable = lambda row, reason: None

    async def create(self, state: State, items: list[Item]) -> rows.Commit:
        """Write a new job; raises ``rows.ConflictError`` if it exists already."""
        puts = dict(item_puts(state.job, items))
        address = state_address(state.job)
        puts[address] = attrs.evolve(state, pieces=len(puts)).encode()
        return await self.store.transact({address: 0}, puts)

    async def replace_state(
        self,
        versioned: VersionedState,
        state: State,
        puts: dict[rows.Address, bytes] | None = None,
    ) -> VersionedState:
        """Replace a job's state and write ``puts`` in the same transaction.

        Raises ``rows.ConflictError`` if the state has changed since it was read.
        """
        address = state_address(state.job)
        commit = await self.store.transact(
            {address: versioned.version}, {**(puts or {}), address: state.encode()}
        )
        return VersionedState(state, commit.version)

    async def add_rows(
        self, versioned: VersionedState, puts: dict[rows.Address, bytes]
    ) -> None:
        """Write rows of a job whose state is unchanged; only its owner may do so.

        Raises ``rows.ConflictError`` if the state has changed. The state is not
        rewritten: every host would read it again.
        """
        await self.store.transact(
            {state_address(versioned.state.job): versioned.version}, puts
        )

    async def read_state(self, job: str) -> tuple[VersionedState | None, rows.Page]:
        """Return a job's current state in the store, and the page that holds it."""
        page = await self.store.read(
            STATES, shard(job), start=job, end=job + "\0", limit=1
        )
        for row in page.rows:
            return decode(row), page
        return None, page

    async def read_items(self, state: State) -> list[Item]:
        """Return a job's items."""
        page = await self.store.read(
            ITEMS, shard(state.job), start=f"{state.job}/", end=f"{state.job}0"
        )
        pieces = [row.value for row in page.rows]
        if len(pieces) != state.pieces:
            raise rows.UnavailableError("items are not all there")
        try:
            items = decoding.decode(_ITEMS_DECODER, decompress_pieces(pieces))
            return [_check_item(Item(*fields)) for fields in items]
        except decoding.DecodeError as error:
            self.on_unreadable(page.rows[0], str(error))
            raise rows.UnavailableError("items are unreadable") from error

    async def row_addresses(
        self, table: str, job: str, limit: int
    ) -> list[rows.Address]:
        """Return the addresses of up to ``limit`` rows of a job in one table."""
        page = await self.store.read(
            table, shard(job), start=f"{job}/", end=f"{job}0", limit=limit
        )
        return [row.address for row in page.rows]

    async def read_progress(self, job: str) -> SavedProgress:
        """Return the saved progress of a job's items."""
        progress = SavedProgress()
        start = f"{job}/"
        while True:
            page = await self.store.read(
                PROGRESS, shard(job), start=start, end=f"{job}0", limit=READ_PAGE_ROWS
            )
            for row in page.rows:
                try:
                    _add_progress(progress, row)
                except decoding.DecodeError as error:
                    self.on_unreadable(row, str(error))
            if not page.more or not page.rows:
                return progress
            start = page.rows[-1].address.key + "\0"

    async def read_results(self, job: str, after: int) -> list[Result]:
        """Return results from a position on, up to ``MAX_READ_BYTES`` of text."""
        results: list[Result] = []
        start = f"{job}/{after:06d}/"
        size = 0
        while True:
            page = await self.store.read(
                RESULTS, shard(job), start=start, end=f"{job}0", limit=READ_PAGE_ROWS
            )
            pieces_by_position: dict[int, list[bytes]] = {}
            for row in page.rows:
                position = _read_position(row.address.key)
                if position is None:
                    self.on_unreadable(row, "key: expected a position")
                    continue
                pieces_by_position.setdefault(position, []).append(row.value)
            if page.more and len(pieces_by_position) > 1:
                # The rest of the last result may be on the next page.
                pieces_by_position.popitem()
            for position in sorted(pieces_by_position):
                try:
                    data = decompress_pieces(pieces_by_position[position])
                    result = Result(*decoding.decode(_RESULT_DECODER, data))
                except decoding.DecodeError as error:
                    raise rows.UnavailableError("a result is unreadable") from error
                size += len(result.text)
                if results and size > MAX_READ_BYTES:
                    return results
                results.append(result)
                after = position + 1
            if not page.more or not pieces_by_position:
                return results
            start = f"{job}/{after:06d}/"


def _check_item(item: Item) -> Item:
    """Check that a request can be made of an item."""
    check_id(item.id)
    try:
        "".join([item.path, *item.headers, *item.headers.values()]).encode("latin-1")
    except UnicodeEncodeError as error:
        raise decoding.DecodeError("path, headers: expected Latin-1") from error
    return item


def _add_progress(progress: SavedProgress, row: rows.Row) -> None:
    """Add what a row holds; raises ``decoding.DecodeError``."""
    match = _ATTEMPTS_KEY.fullmatch(row.address.key)
    if match is None:
        progress.events.append(_read_progress(row))
        return
    saved = decoding.decode(_ATTEMPTS_DECODER, row.value)
    attempts = item_attempts.Attempts(saved.errors, saved.impossible)
    known = progress.attempts.get(match["item"], item_attempts.NONE)
    progress.attempts[match["item"]] = known.merge(attempts)


def _read_progress(row: rows.Row) -> Progress:
    """Return the progress in a row; raises ``decoding.DecodeError``."""
    match = _PROGRESS_KEY.fullmatch(row.address.key)
    if match is None or int(match["first"]) < 1:
        raise decoding.DecodeError("key: expected an item, a version and an event")
    saved = decoding.decode(_EVENTS_DECODER, decompress_pieces([row.value]))
    if isinstance(saved, list):
        saved = SavedEvents("", "", 0, saved)
    for name in (saved.service, saved.software):
        decoding.check_text(name, decoding.MAX_NAME_LENGTH)
    return Progress(
        match["item"],
        int(match["version"]),
        int(match["first"]),
        saved.events,
        stream_origins.Origin(saved.service, saved.software),
        saved.beginning,
    )


def _read_position(key: str) -> int | None:
    """Return the position in the key of a result's row, or None."""
    match = _RESULT_KEY.fullmatch(key)
    return None if match is None else int(match["position"])
