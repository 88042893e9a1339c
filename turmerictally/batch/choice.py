"""Find a range to claim: scan ready jobs, order them, look for an open range."""

import collections
import random
import typing

import attrs

from turmerictally import settings
from turmerictally.batch import jobs, lease, policy, ranges, records, store
from turmerictally.store import table

PAGE = 100  # jobs read from each place of the ready list
TRIED = 4  # jobs whose ranges are read in one look
FULL_S = 5.0  # time in which a job without open ranges is passed over, in seconds
FEW_RANGES = 20  # ranges left from which on each end of a range is looked at
COUNT_AGE_S = 60.0  # time for which a count of the items left is used, in seconds
MAX_FILES = 32
MAX_COUNTS = 5000
MIN_WEIGHT = 0.001  # weight of a team whose contract was removed
EWMA = 0.2  # weight of the newest measurement


@attrs.define
class Choice:
    """Choose and claim ranges for one host."""

    kept: store.Store
    given: settings.Batch
    rng: random.Random
    weight: typing.Callable[[str], float]
    free: typing.Callable[[str], int]
    hosts: typing.Callable[[], int]
    files: collections.OrderedDict = attrs.Factory(collections.OrderedDict)
    full: dict[str, float] = attrs.Factory(dict)
    left: dict[str, int] = attrs.Factory(dict)
    counted: dict[str, float] = attrs.Factory(dict)
    range_rate: float = 1.0
    share: policy.Share = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.share = policy.Share(
            self.rng, self.fleet_rate, lambda: self.range_rate, self.given.range_items
        )

    def fleet_rate(self) -> float:
        """Estimate the items a second that the whole fleet completes."""
        return self.range_rate * self.given.max_ranges * max(1, self.hosts())

    def learn(self, items: int, elapsed_s: float) -> None:
        """Take in how fast a range ran."""
        if items and elapsed_s > 0:
            self.range_rate += EWMA * (items / elapsed_s - self.range_rate)

    def file(self, job: records.Job) -> records.File:
        """Return the cached description of a claimed job's file."""
        return self.files[job.file]

    async def claim(self, held: lease.Lease) -> ranges.Claim | None:
        """Claim the best open range, or return None.

        Raises ``table.UnavailableError`` or ``lease.LapsedError``.
        """
        ready = await self._ready()
        ordered = self.share.order(ready, self.kept.clock.wall())
        for candidate in ordered[:TRIED]:
            claimed = await self._claim_from(candidate, held)
            if claimed is not None:
                self.share.charge(candidate, len(claimed.open_offsets()))
                return claimed
        return None

    async def finish_if_done(self, stored: jobs.Stored) -> bool:
        """Complete a job whose ranges are all done; tell whether they are.

        The ranges are not read while a recent count shows that many are left; the
        looks for work find the end then.
        """
        job_id = stored.job.id
        age_s = self.kept.clock.monotonic() - self.counted.get(job_id, -COUNT_AGE_S)
        many = self.left.get(job_id, 0) >= FEW_RANGES * self.given.range_items
        if many and age_s < COUNT_AGE_S:
            return False
        rows = await self._ranges(stored.job.id)
        return await self._finish(stored, rows)

    async def _ready(self) -> list[policy.Candidate]:
        """Read the jobs due first and a random further page."""
        rows = await self.kept.scan(records.READY, limit=PAGE)
        if len(rows) == PAGE:
            first = int(rows[-1].key.split("/")[1])
            at = first + int(self.rng.uniform(0, self.given.window_s))
            after = max(rows[-1].key, f"{records.READY}{at:011d}/")
            rows += await self.kept.scan(records.READY, after=after, limit=PAGE)
        now = self.kept.clock.monotonic()
        if len(self.left) > MAX_COUNTS:
            self.left.clear()
            self.counted.clear()
        self.full = {job: until for job, until in self.full.items() if until > now}
        found = [records.load(records.Ready, row.value) for row in rows]
        return [self._candidate(row) for row in found if self._eligible(row)]

    def _eligible(self, row: records.Ready) -> bool:
        if row.job in self.full:
            return False
        return not row.models or any(self.free(name) > 0 for name in row.models)

    def _candidate(self, row: records.Ready) -> policy.Candidate:
        return policy.Candidate(
            job=row.job,
            team=row.team,
            weight=self.weight(row.team),
            left=self.left.get(row.job, row.items),
            deadline=row.deadline,
            row=row,
        )

    async def _claim_from(
        self, candidate: policy.Candidate, held: lease.Lease
    ) -> ranges.Claim | None:
        key = f"{records.JOBS}{candidate.team}/{candidate.job}"
        row = await self.kept.get(key)
        if row is None:
            return self._pass_over(candidate)
        stored = jobs.Stored(records.load(records.Job, row.value), row.version)
        if stored.job.state is not records.JobState.IN_PROGRESS:
            return self._pass_over(candidate)
        rows = await self._ranges(candidate.job)
        if await self._finish(stored, rows):
            return self._pass_over(candidate)
        index = self._open_index(stored.job, rows)
        if index is None:
            return self._pass_over(candidate)
        file = await self._file(stored.job)
        row = rows.get(index)
        return await ranges.claim(self.kept, held, stored, file, index, row)

    def _pass_over(self, candidate: policy.Candidate) -> None:
        self.full[candidate.job] = self.kept.clock.monotonic() + FULL_S

    def _open_index(self, job: records.Job, rows: dict[int, table.Row]) -> int | None:
        """Choose an open range at random, so that hosts seldom collide."""
        is_open = records.RangeState.OPEN.value
        indexes = [
            index
            for index in range(job.ranges)
            if index not in rows or rows[index].value["state"] == is_open
        ]
        return self.rng.choice(indexes) if indexes else None

    async def _ranges(self, job_id: str) -> dict[int, table.Row]:
        prefix = f"{records.RANGES}{job_id}/"
        rows = await self.kept.scan_all(prefix)
        return {int(row.key.rpartition("/")[2]): row for row in rows}

    async def _finish(self, stored: jobs.Stored, rows: dict[int, table.Row]) -> bool:
        counts = count(stored.job, list(rows.values()))
        self.left[stored.job.id] = counts.total - counts.completed - counts.failed
        self.counted[stored.job.id] = self.kept.clock.monotonic()
        if self.left[stored.job.id]:
            return False
        self.left.pop(stored.job.id)
        self.counted.pop(stored.job.id)
        state = records.JobState.COMPLETED
        await jobs.finish(self.kept, stored, state, counts, self.given.retention_s)
        return True

    async def _file(self, job: records.Job) -> records.File:
        if job.file not in self.files:
            row = await self.kept.get(f"{records.FILES}{job.team}/{job.file}")
            if row is None:
                raise table.UnavailableError("the job's file has no row")
            self.files[job.file] = records.load(records.File, row.value)
            if len(self.files) > MAX_FILES:
                self.files.popitem(last=False)
        self.files.move_to_end(job.file)
        return self.files[job.file]


def count(job: records.Job, rows: list[table.Row]) -> records.Counts:
    """Add up the committed parts of a job's ranges."""
    completed = failed = 0
    for row in rows:
        for part in row.value["parts"]:
            completed += part["completed"]
            failed += part["failed"]
    return records.Counts(job.items, completed, failed)


def committed(rows: list[table.Row]) -> int:
    """Count the items that have results."""
    parts = [part for row in rows for part in row.value["parts"]]
    return sum(part["completed"] + part["failed"] for part in parts)


def build(executor) -> Choice:
    """Return the choice of one host's executor."""

    def weight(team: str) -> float:
        contract = executor.view().contracts.get(team)
        return contract.weight if contract else MIN_WEIGHT

    def free(name: str) -> int:
        services = executor.view().services.values()
        known = any(name in service.models for service in services)
        return executor.gate.free(name) if known else 1

    return Choice(
        kept=executor.kept,
        given=executor.given.batch,
        rng=executor.rng,
        weight=weight,
        free=free,
        hosts=executor.hosts,
    )
