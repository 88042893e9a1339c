"""Accept batch jobs once and bring them to their final state once."""

import collections.abc
import hashlib
import json
import logging
import uuid

import attrs

from turmerictally import errors, settings
from turmerictally.batch import files, records, store
from turmerictally.config import model
from turmerictally.store import table

logger = logging.getLogger(__name__)

CONFLICT_ATTEMPTS = 8


@attrs.frozen
class Request:
    """Hold what a caller asks for; ``window_s`` is in seconds from acceptance."""

    file: str
    endpoint: str
    window_s: float
    metadata: dict[str, str] = attrs.field(factory=dict)
    idempotency_key: str = ""

    @property
    def fingerprint(self) -> str:
        """Return a digest of everything but the idempotency key."""
        parts = [self.file, self.endpoint, self.window_s, self.metadata]
        text = json.dumps(parts, sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


@attrs.frozen
class Stored:
    """Pair a job with the version of its row."""

    job: records.Job
    version: int


async def create(
    kept: store.Store,
    given: settings.Settings,
    contract: model.Contract,
    request: Request,
) -> records.Job:
    """Accept a job and return it once it is durable.

    The same team and idempotency key give the same job at every host. Raises
    ``errors.Error``: ``NOT_FOUND``, ``BAD_REQUEST``, ``RATE_LIMITED``,
    ``IDEMPOTENCY_MISMATCH``, ``PLATFORM_UNAVAILABLE``; the last says "may have run"
    only when a write's answer was lost and could not be read back.
    """
    job_id = _job_id(kept, contract.team, request)
    file = await _usable_file(kept, given, contract.team, request, job_id)
    if isinstance(file, records.Job):
        return file
    job = _new_job(kept, job_id, file, request)
    ambiguous = False
    for attempt in range(CONFLICT_ATTEMPTS):
        try:
            existing = await _accept(kept, contract, job)
            return existing or job
        except table.ConflictError:
            continue
        except table.UnavailableError as error:
            ambiguous = ambiguous or error.maybe_applied
            await kept.pause(attempt)
    if not ambiguous:
        raise store.unavailable()
    raise store.unavailable(errors.Ran.MAY_HAVE_RUN)


async def get(kept: store.Store, team: str, job_id: str) -> Stored:
    """Return a team's job; raise ``NOT_FOUND`` also for another team's."""
    key = f"{records.JOBS}{team}/{job_id}"
    row = await kept.read_for_caller(lambda: kept.table.get(key))
    if row is None:
        raise errors.Error(errors.Kind.NOT_FOUND, "No such batch job.")
    return Stored(records.load(records.Job, row.value), row.version)


async def page(
    kept: store.Store, team: str, *, after: str = "", limit: int = 20
) -> list[records.Job]:
    """Return a page of a team's jobs ordered by id."""
    prefix = f"{records.JOBS}{team}/"
    start = f"{prefix}{after}" if after else ""
    rows = await kept.read_for_caller(
        lambda: kept.table.scan(prefix, after=start, limit=limit)
    )
    return [records.load(records.Job, row.value) for row in rows]


async def unfinished(kept: store.Store) -> collections.abc.AsyncIterator[records.Ready]:
    """Yield every unfinished job in order of deadline, for operators."""
    after = ""
    while True:
        start = after
        rows = await kept.read_for_caller(
            lambda: kept.table.scan(records.READY, after=start, limit=500)  # noqa: B023
        )
        for row in rows:
            yield records.load(records.Ready, row.value)
        if len(rows) < 500:
            return
        after = rows[-1].key


async def finish(
    kept: store.Store,
    stored: Stored,
    state: records.JobState,
    counts: records.Counts,
    retention_s: float,
) -> bool:
    """Bring a job to a final state; return False when another state won.

    Raises ``table.UnavailableError``; repeating the call is safe.
    """
    job = stored.job
    now = kept.clock.wall()
    final = attrs.evolve(
        job,
        state=state,
        counts=counts,
        finished_at=now,
        expires_at=now + retention_s,
    )
    active_key = f"{records.ACTIVE}{job.team}"
    active = await kept.get(active_key)
    checks = [table.Check(job.key, stored.version)]
    writes = [
        table.Put(job.key, records.dump(final)),
        table.Delete(job.ready_key),
        table.Delete(job.cancel_key),
        table.Put(_expiry_key(final), {"row": job.key, "job": job.id}),
    ]
    if active is not None:
        checks.append(table.Check(active_key, active.version))
        writes.append(table.Put(active_key, {"jobs": active.value["jobs"] - 1}))
    await kept.writes.take()
    try:
        await kept.table.commit(checks, writes)
    except table.ConflictError:
        return False
    logger.info("Job %s is %s.", job.id, state.value)
    return True


async def _usable_file(kept, given, team, request, job_id):
    """Return the input file, or the job when it was accepted before."""
    if request.idempotency_key:
        key = f"{records.JOBS}{team}/{job_id}"
        row = await kept.read_for_caller(lambda: kept.table.get(key))
        if row is not None:
            return _same(records.load(records.Job, row.value), request.fingerprint)
    file = await files.get(kept, team, request.file)
    if not 0 < request.window_s <= given.batch.window_s:
        limit = given.batch.window_s
        message = f"The completion window must be at most {limit:.0f} s."
        raise errors.Error(errors.Kind.BAD_REQUEST, message)
    if file.expires_at < kept.clock.wall() + 2 * request.window_s:
        raise errors.Error(errors.Kind.BAD_REQUEST, "The file expires too soon.")
    return file


async def _accept(
    kept: store.Store, contract: model.Contract, job: records.Job
) -> records.Job | None:
    """Write the job, or return the one that is there already."""
    row = await kept.table.get(job.key)
    if row is not None:
        return _same(records.load(records.Job, row.value), job.fingerprint)
    active_key = f"{records.ACTIVE}{contract.team}"
    active = await kept.table.get(active_key)
    running = active.value["jobs"] if active else 0
    if running >= contract.max_jobs:
        message = f"The team has {running} unfinished batch jobs."
        kind = errors.Kind.RATE_LIMITED
        raise errors.Error(kind, message, retry_after_s=60.0)
    version = active.version if active else table.ABSENT
    await kept.table.commit(
        [table.Check(job.key, table.ABSENT), table.Check(active_key, version)],
        [
            table.Put(job.key, records.dump(job)),
            table.Put(job.ready_key, records.dump(ready(job))),
            table.Put(active_key, {"jobs": running + 1}),
        ],
    )
    return None


def _job_id(kept: store.Store, team: str, request: Request) -> str:
    if not request.idempotency_key:
        return f"batch_{uuid.UUID(int=kept.rng.getrandbits(128)).hex}"
    text = f"{len(team)}:{team}:{request.idempotency_key}"
    return f"batch_{hashlib.sha256(text.encode()).hexdigest()[:32]}"


def _new_job(
    kept: store.Store, job_id: str, file: records.File, request: Request
) -> records.Job:
    now = kept.clock.wall()
    return records.Job(
        id=job_id,
        team=file.team,
        file=file.id,
        endpoint=request.endpoint,
        fingerprint=request.fingerprint,
        metadata=request.metadata,
        state=records.JobState.IN_PROGRESS,
        items=file.items,
        ranges=len(file.slices),
        models=file.models,
        created_at=now,
        deadline=now + request.window_s,
    )


def ready(job: records.Job) -> records.Ready:
    """Return the summary of an unfinished job."""
    return records.Ready(
        job=job.id,
        team=job.team,
        items=job.items,
        ranges=job.ranges,
        models=job.models,
        created_at=job.created_at,
        deadline=job.deadline,
    )


def _same(job: records.Job, fingerprint: str) -> records.Job:
    if job.fingerprint != fingerprint:
        raise errors.Error(errors.Kind.IDEMPOTENCY_MISMATCH)
    return job


def _expiry_key(job: records.Job) -> str:
    return f"{records.EXPIRES}{int(job.expires_at):011d}/job/{job.id}"
