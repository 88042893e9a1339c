"""Keep batch jobs in the row store: their items, results and owner."""

import base64
import json
import zlib

import attrs
import msgspec

from turmerictally.store import rows

STATES = "jobs"  # one small row a job, followed by every host
ITEMS = "items"  # a job's items, written once
RESULTS = "results"  # a job's results by position, written once
PROGRESS = "progress"  # events of items that still run, so that others can go on
SHARDS = 8  # parts; one takes 200 transactions a second, each of 5 ms
PIECE_BYTES = 60_000  # of one row, below the store's 65,536
MAX_TRANSACTION_BYTES = 900_000  # below the store's 1 MB with its names
MAX_TRANSACTION_ROWS = 90  # below the store's 100
MAX_PROGRESS_ROWS = 50  # in one transaction, beside a release
READ_ROWS = 100  # of results in one read
MAX_READ_BYTES = 900_000  # of results told to a caller at once


@attrs.frozen
class Item:
    """Hold one item: a request to run and the tokens it may take."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)
    tokens: int


@attrs.frozen
class Result:
    """Hold the end of an item; ``text`` is all its events' data, by lines."""

    id: str
    succeeded: bool
    text: str = attrs.field(repr=False)


@attrs.frozen
class State:
    """Hold what every host knows of a job.

    ``created_s`` is on the store's clock. ``listed`` counts the results, and
    ``tokens`` the tokens of the items without one. ``pieces`` is the number of rows
    of the items. An empty ``owner`` is nobody.
    """

    job: str
    team: str
    route: str
    hostname: str
    path: str
    owner: str
    instance: str
    total: int
    listed: int
    tokens: int
    pieces: int
    created_s: float
    completion_s: float
    retention_s: float
    cancelled: bool = False

    @property
    def open(self) -> bool:
        """Return whether items are still to be run."""
        return self.listed < self.total and not self.cancelled

    def encode(self) -> bytes:
        """Return the row's value."""
        return msgspec.json.encode(self)


_STATES = msgspec.json.Decoder(State)


@attrs.frozen
class VersionedState:
    """Hold a state and the version of its row."""

    state: State
    version: int


def decode(row: rows.Row) -> VersionedState | None:
    """Return a job's state, or None when the row is not readable."""
    try:
        return VersionedState(_STATES.decode(row.value), row.version)
    except ValueError:
        return None


@attrs.define(eq=False)
class JobStates:
    """Hold the jobs' states as followed, decoded once."""

    by_id: dict[str, VersionedState] = attrs.Factory(dict)

    def update(self, changed: list[rows.Row]) -> None:
        """Take changed rows of the states' table."""
        for row in changed:
            found = None if row.value is None else decode(row)
            if found is None:
                self.by_id.pop(row.address.key, None)
            else:
                self.by_id[row.address.key] = found

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
    """Return the part of a job's rows."""
    return str(zlib.crc32(job.encode()) % SHARDS)


SHARD_NAMES = tuple(str(number) for number in range(SHARDS))


def state_address(job: str) -> rows.Address:
    """Return where a job's state is kept."""
    return rows.Address(STATES, shard(job), job)


def compress_pieces(data: bytes) -> list[bytes]:
    """Return compressed pieces that fit into rows."""
    packed = zlib.compress(data, 6)
    return [packed[i : i + PIECE_BYTES] for i in range(0, len(packed), PIECE_BYTES)]


def decompress_pieces(pieces: list[bytes]) -> bytes:
    """Return what ``compress_pieces`` was given."""
    return zlib.decompress(b"".join(pieces))


def item_puts(job: str, items: list[Item]) -> dict[rows.Address, bytes]:
    """Return the rows of a job's items."""
    listed = [
        [i.id, i.path, i.headers, base64.b64encode(i.body).decode(), i.tokens]
        for i in items
    ]
    part = shard(job)
    return {
        rows.Address(ITEMS, part, f"{job}/{number:04d}"): piece
        for number, piece in enumerate(compress_pieces(json.dumps(listed).encode()))
    }


def result_puts(job: str, position: int, result: Result) -> dict[rows.Address, bytes]:
    """Return the rows of one result."""
    data = json.dumps([result.id, result.succeeded, result.text]).encode()
    part = shard(job)
    return {
        rows.Address(RESULTS, part, f"{job}/{position:06d}/{number:02d}"): piece
        for number, piece in enumerate(compress_pieces(data))
    }


@attrs.frozen
class Progress:
    """Hold the data of consecutive events of an item, from ``first_event`` on.

    ``ownership_version`` is the version of the job's row at which the writer became
    its owner; later owners have higher ones.
    """

    item: str
    ownership_version: int
    first_event: int
    event_data: list[str] = attrs.field(repr=False)


def join_progress(progress: list[Progress]) -> dict[str, list[str]]:
    """Return each item's events as far as they are known without a gap.

    What a later owner wrote replaces an earlier owner's events from there on, as it
    went on from its own ones.
    """
    found: dict[str, list[str]] = {}
    for each in sorted(progress, key=lambda p: (p.ownership_version, p.first_event)):
        parts = found.setdefault(each.item, [])
        if each.first_event <= len(parts) + 1:
            parts[each.first_event - 1 :] = each.event_data
    return found


def progress_puts(
    job: str, progress: list[Progress]
) -> tuple[dict[rows.Address, bytes], list[Progress]]:
    """Return rows of items' progress, and which of it fits into one transaction."""
    puts: dict[rows.Address, bytes] = {}
    fitting = []
    size = 0
    for each in progress:
        packed = zlib.compress(json.dumps(each.event_data).encode())
        more = len(packed) * 4 // 3
        too_much = size + more > MAX_TRANSACTION_BYTES // 2
        if len(packed) > PIECE_BYTES or too_much or len(puts) >= MAX_PROGRESS_ROWS:
            continue
        size += more
        key = f"{job}/{each.item}/{each.ownership_version:012d}/{each.first_event:07d}"
        puts[rows.Address(PROGRESS, shard(job), key)] = packed
        fitting.append(each)
    return puts, fitting


@attrs.define(eq=False)
class JobStore:
    """Read and write jobs."""

    store: rows.RowStore

    async def create(self, state: State, items: list[Item]) -> rows.Commit:
        """Write a new job; raises ``rows.ConflictError`` when it is there."""
        puts = dict(item_puts(state.job, items))
        where = state_address(state.job)
        puts[where] = attrs.evolve(state, pieces=len(puts)).encode()
        return await self.store.transact({where: 0}, puts)

    async def replace_state(
        self,
        versioned: VersionedState,
        state: State,
        puts: dict[rows.Address, bytes] | None = None,
    ) -> VersionedState:
        """Replace a state, with more rows; raises ``rows.ConflictError``."""
        where = state_address(state.job)
        done = await self.store.transact(
            {where: versioned.version}, {**(puts or {}), where: state.encode()}
        )
        return VersionedState(state, done.version)

    async def add_rows(
        self, versioned: VersionedState, puts: dict[rows.Address, bytes]
    ) -> None:
        """Write rows of a job whose state is unchanged, which only its owner may do.

        Raises ``rows.ConflictError``. The state is not written, as every host reads it.
        """
        await self.store.transact(
            {state_address(versioned.state.job): versioned.version}, puts
        )

    async def read_state(self, job: str) -> tuple[VersionedState | None, rows.Page]:
        """Return a job's state as the store has it now, and the page it came in."""
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
        return [
            Item(key, path, headers, base64.b64decode(body), tokens)
            for key, path, headers, body, tokens in json.loads(
                decompress_pieces(pieces)
            )
        ]

    async def row_addresses(
        self, name: str, job: str, limit: int
    ) -> list[rows.Address]:
        """Return where rows of a job lie in one of its tables, at most so many."""
        page = await self.store.read(
            name, shard(job), start=f"{job}/", end=f"{job}0", limit=limit
        )
        return [row.address for row in page.rows]

    async def read_progress(self, job: str) -> list[Progress]:
        """Return what is kept of the progress of a job's items, in order."""
        found = []
        start = f"{job}/"
        while True:
            page = await self.store.read(
                PROGRESS, shard(job), start=start, end=f"{job}0", limit=READ_ROWS
            )
            for row in page.rows:
                _, item, ownership_version, first = row.address.key.split("/")
                parts = json.loads(zlib.decompress(row.value))
                found.append(Progress(item, int(ownership_version), int(first), parts))
            if not page.more:
                return found
            start = page.rows[-1].address.key + "\0"

    async def read_results(self, job: str, after: int) -> list[Result]:
        """Return results from a position on, at most ``MAX_READ_BYTES`` of them."""
        found: list[Result] = []
        start = f"{job}/{after:06d}/"
        size = 0
        while True:
            page = await self.store.read(
                RESULTS, shard(job), start=start, end=f"{job}0", limit=READ_ROWS
            )
            groups: dict[int, list[bytes]] = {}
            for row in page.rows:
                position = int(row.address.key.split("/")[1])
                groups.setdefault(position, []).append(row.value)
            if page.more and len(groups) > 1:
                groups.popitem()  # its last pieces may be on the next page
            for position in sorted(groups):
                key, succeeded, text = json.loads(decompress_pieces(groups[position]))
                size += len(text)
                if found and size > MAX_READ_BYTES:
                    return found
                found.append(Result(key, succeeded, text))
                after = position + 1
            if not page.more or not groups:
                return found
            start = f"{job}/{after:06d}/"
