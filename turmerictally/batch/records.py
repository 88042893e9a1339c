"""Define the rows of batch files, jobs, ranges and worker leases."""

import enum
import typing

import attrs
import cattrs

FILES = "files/"
JOBS = "jobs/"
READY = "ready/"
RANGES = "ranges/"
WORKERS = "batch-workers/"
CANCELS = "cancels/"
ACTIVE = "active-jobs/"
EXPIRES = "expires/"
RESULTS = "results/"
UPLOADS = "uploads/"


class JobState(enum.Enum):
    """Name the states of a job; the last three are final."""

    IN_PROGRESS = "in_progress"
    CANCELLING = "cancelling"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


FINAL = (JobState.COMPLETED, JobState.CANCELLED)


class RangeState(enum.Enum):
    """Name the states of a range of items."""

    OPEN = "open"
    HELD = "held"
    DONE = "done"


@attrs.frozen
class BadLine:
    """Report one invalid line; ``line`` counts from 1 and ``item`` from 0."""

    line: int
    item: int
    reason: str


@attrs.frozen
class Slice:
    """Locate one range in a file: first item, item count, first and end byte."""

    first: int
    items: int
    start: int
    end: int


@attrs.frozen
class File:
    """Describe an uploaded file; times are in Unix seconds."""

    id: str
    team: str
    filename: str
    size: int
    items: int
    slices: tuple[Slice, ...]
    bad: tuple[BadLine, ...]
    models: tuple[str, ...]
    created_at: float
    expires_at: float

    @property
    def object_key(self) -> str:
        """Return the key of the file's content in the object store."""
        return f"{UPLOADS}{self.id}"


@attrs.frozen
class Counts:
    """Count a job's items."""

    total: int
    completed: int = 0
    failed: int = 0


@attrs.frozen
class Job:
    """Describe a job; times are in Unix seconds."""

    id: str
    team: str
    file: str
    endpoint: str
    fingerprint: str
    metadata: dict[str, str]
    state: JobState
    items: int
    ranges: int
    models: tuple[str, ...]
    created_at: float
    deadline: float
    cancelled_at: float | None = None
    finished_at: float | None = None
    expires_at: float | None = None
    counts: Counts | None = None

    @property
    def key(self) -> str:
        """Return the key of the job's row."""
        return f"{JOBS}{self.team}/{self.id}"

    @property
    def ready_key(self) -> str:
        """Return the key of the row that workers scan, ordered by deadline."""
        return f"{READY}{int(self.deadline):011d}/{self.id}"

    @property
    def cancel_key(self) -> str:
        """Return the key of the row that announces a cancellation."""
        return f"{CANCELS}{self.id}"


@attrs.frozen
class Ready:
    """Summarize an unfinished job for the workers that choose among jobs."""

    job: str
    team: str
    items: int
    ranges: int
    models: tuple[str, ...]
    created_at: float
    deadline: float


@attrs.frozen
class Part:
    """Name one committed segment of results; ``size`` is in bytes."""

    key: str
    completed: int
    failed: int
    size: int


@attrs.frozen
class Range:
    """Hold the progress of one range.

    ``done`` and ``started`` are bit sets over the range's items. ``fence`` grows
    with each change of holder. ``takeovers`` counts lost holders since the last
    progress. ``alone`` is the item that runs by itself, ``alone_tries`` counts the
    holders lost while an item ran by itself. ``failed_tries`` counts the failed tries
    of items without a result, over all holders.
    """

    state: RangeState = RangeState.OPEN
    holder: str = ""
    fence: int = 0
    takeovers: int = 0
    parts_at_claim: int = 0
    done: str = "0"
    started: str = "0"
    alone: int | None = None
    alone_tries: dict[int, int] = attrs.field(factory=dict)
    failed_tries: dict[int, int] = attrs.field(factory=dict)
    parts: tuple[Part, ...] = ()


@attrs.frozen
class Worker:
    """Hold the lease of one host's worker; ``counter`` grows with each renewal."""

    address: str
    counter: int
    held: tuple[str, ...] = ()


converter = cattrs.Converter()
Record = typing.TypeVar("Record")


def dump(record: typing.Any) -> dict:
    """Return a record as a JSON-compatible mapping."""
    return converter.unstructure(record)


def load(kind: type[Record], value: dict) -> Record:
    """Return the record that ``dump`` wrote."""
    return converter.structure(value, kind)


def range_key(job: str, index: int) -> str:
    """Return the key of a range's row."""
    return f"{RANGES}{job}/{index:05d}"


def bits(items: typing.Iterable[int]) -> int:
    """Return the bit set of these items."""
    value = 0
    for item in items:
        value |= 1 << item
    return value


def union(text: str, items: typing.Iterable[int]) -> str:
    """Add items to a stored bit set."""
    return f"{int(text, 16) | bits(items):x}"


def contains(text: str, item: int) -> bool:
    """Tell whether a stored bit set contains an item."""
    return bool(int(text, 16) >> item & 1)


def size(text: str) -> int:
    """Count the items of a stored bit set."""
    return int(text, 16).bit_count()
