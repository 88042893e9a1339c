"""Claim ranges of items, commit their results and take them over."""

import json
import logging

import attrs

from turmerictally.batch import files, jobs, lease, records, store
from turmerictally.store import table

logger = logging.getLogger(__name__)

POISON_TAKEOVERS = 2  # holders lost without progress before items run alone


class FencedError(Exception):
    """Report that the range has another holder or its job was stopped."""


@attrs.frozen
class Result:
    """Hold the outcome of one item, as one line of the output or error file."""

    offset: int
    completed: bool
    line: bytes


@attrs.define
class Claim:
    """Hold a range under the worker's lease."""

    kept: store.Store
    lease: lease.Lease
    stored: jobs.Stored
    slice: records.Slice
    index: int
    range: records.Range
    version: int
    sequence: int = 0

    @property
    def key(self) -> str:
        """Return the key of the range's row."""
        return records.range_key(self.stored.job.id, self.index)

    @property
    def suspect(self) -> bool:
        """Tell whether the items must run alone, one at a time."""
        return self.range.takeovers >= POISON_TAKEOVERS

    def open_offsets(self) -> list[int]:
        """Return the offsets of items without a committed result."""
        done = int(self.range.done, 16)
        return [at for at in range(self.slice.items) if not done >> at & 1]

    async def commit(
        self,
        results: list[Result],
        failed_tries: dict[int, int],
        *,
        alone: int | None = None,
    ) -> None:
        """Make results readable; the first commit of an item is the only one.

        ``failed_tries`` counts those of items without a result, and ``alone`` names the
        item that runs by itself next. Raises ``FencedError`` or ``lease.LapsedError``;
        the results are then not readable.
        """
        changed = attrs.evolve(self.range, alone=alone, failed_tries=failed_tries)
        if results:
            part = await self._store(results)
            done = records.union(changed.done, [r.offset for r in results])
            parts = (*changed.parts, part)
            changed = attrs.evolve(changed, done=done, parts=parts)
        drop = frozenset()
        if records.size(changed.done) == self.slice.items:
            drop = frozenset([self.key])
            changed = attrs.evolve(
                changed, state=records.RangeState.DONE, holder="", started="0"
            )
        await self._write(changed, drop)

    async def mark_started(self, offsets: list[int]) -> None:
        """Record that items on non-idempotent routes are about to be sent."""
        started = records.union(self.range.started, offsets)
        await self._write(attrs.evolve(self.range, started=started), frozenset())

    async def release(self) -> None:
        """Give the range back to any host."""
        changed = attrs.evolve(
            self.range,
            state=records.RangeState.OPEN,
            holder="",
            takeovers=_takeovers(self.range),
            alone=None,
        )
        await self._write(changed, frozenset([self.key]))

    async def _store(self, results: list[Result]) -> records.Part:
        job = self.stored.job.id
        self.sequence += 1
        name = f"{self.range.fence:06d}-{self.lease.worker}-{self.sequence:04d}"
        key = f"{records.RESULTS}{job}/{self.index:05d}/{name}"
        data = encode(results)
        await self.kept.put_object(key, data)
        completed = sum(result.completed for result in results)
        failed = len(results) - completed
        return records.Part(key, completed, failed, len(data))

    async def _write(self, changed: records.Range, drop: frozenset[str]) -> None:
        checks = [table.Check(self.key, self.version)]
        writes = [table.Put(self.key, records.dump(changed))]
        try:
            versions = await self.lease.commit(checks, writes, drop=drop)
        except table.ConflictError as error:
            raise FencedError(self.key) from error
        self.range = changed
        if versions is not None:
            self.version = versions[self.key]
        elif not drop:
            self.version = await _version(self.kept, self.key)


async def claim(
    kept: store.Store,
    held: lease.Lease,
    stored: jobs.Stored,
    file: records.File,
    index: int,
    row: table.Row | None,
) -> Claim | None:
    """Claim one open range, or return None when another host was first.

    The claim fails when the job was cancelled or finished in the meantime.
    """
    key = records.range_key(stored.job.id, index)
    found = records.load(records.Range, row.value) if row else records.Range()
    taken = attrs.evolve(
        found,
        state=records.RangeState.HELD,
        holder=held.worker,
        fence=found.fence + 1,
        parts_at_claim=len(found.parts),
    )
    checks = [
        table.Check(stored.job.key, stored.version),
        table.Check(key, row.version if row else table.ABSENT),
    ]
    writes = [table.Put(key, records.dump(taken))]
    try:
        versions = await held.commit(checks, writes, hold=frozenset([key]))
    except table.ConflictError:
        return None
    version = versions[key] if versions else await _version(kept, key)
    return Claim(kept, held, stored, file.slices[index], index, taken, version)


async def recover(kept: store.Store, key: str, row: table.Row) -> list[str]:
    """End a lapsed lease and open its ranges in one transaction.

    ``row`` is the lapsed worker's row as last seen; a renewal since then makes the
    call do nothing. Raises ``table.UnavailableError``; repeating it is safe.
    """
    worker = key.removeprefix(records.WORKERS)
    checks = [table.Check(key, row.version)]
    writes: list[table.Write] = [table.Delete(key)]
    opened = []
    for held in records.load(records.Worker, row.value).held:
        range_row = await kept.get(held)
        if range_row is None:
            continue
        found = records.load(records.Range, range_row.value)
        if found.holder != worker:
            continue
        checks.append(table.Check(held, range_row.version))
        writes.append(table.Put(held, records.dump(_opened(found))))
        opened.append(held)
    await kept.writes.take()
    try:
        await kept.table.commit(checks, writes)
    except table.ConflictError:
        return []
    level = logging.WARNING if opened else logging.DEBUG
    logger.log(level, "Worker %s lapsed; %d ranges were opened.", worker, len(opened))
    return opened


def encode(results: list[Result]) -> bytes:
    """Return a segment: one tagged line for each result."""
    tags = {True: b"O", False: b"E"}
    return b"".join(tags[r.completed] + r.line + b"\n" for r in results)


def answered(job: records.Job, item: files.Item, status: int, body) -> bytes:
    """Return the output or error file's line for an answered item."""
    response = {"status_code": status, "request_id": "", "body": body}
    return _line(job, item.index, item.custom_id, response, None)


def failure(
    job: records.Job, index: int, custom_id: str, code: str, message: str, ran: str
) -> bytes:
    """Return the error file's line for a failed item."""
    error = {"code": code, "message": message, "ran": ran}
    return _line(job, index, custom_id, None, error)


def _line(job, index, custom_id, response, error) -> bytes:
    value = {
        "id": f"{job.id}-{index}",
        "custom_id": custom_id,
        "response": response,
        "error": error,
    }
    return json.dumps(value, separators=(",", ":")).encode()


def _opened(found: records.Range) -> records.Range:
    takeovers = _takeovers(found)
    tries = dict(found.alone_tries)
    if found.alone is not None:
        tries[found.alone] = tries.get(found.alone, 0) + 1
        takeovers = max(takeovers, POISON_TAKEOVERS - 1)
    return attrs.evolve(
        found,
        state=records.RangeState.OPEN,
        holder="",
        fence=found.fence + 1,
        takeovers=takeovers + 1,
        alone=None,
        alone_tries=tries,
    )


def _takeovers(found: records.Range) -> int:
    progressed = len(found.parts) > found.parts_at_claim
    return 0 if progressed else found.takeovers


async def _version(kept: store.Store, key: str) -> int:
    row = await kept.read(lambda: kept.table.get(key))
    return row.version if row else table.ABSENT
