"""Read progress, output and error files from committed segments."""

import collections.abc
import logging

import attrs

from turmerictally import errors
from turmerictally.batch import choice, files, jobs, policy, records, store

logger = logging.getLogger(__name__)

OUTPUT = b"O"
ERROR = b"E"
MAX_LOOKS = 10  # jobs whose progress one overview reads


@attrs.frozen
class Progress:
    """Show a job with its counts as of now."""

    job: records.Job
    counts: records.Counts


async def progress(kept: store.Store, team: str, job_id: str) -> Progress:
    """Return a team's job with its counts.

    Raises ``errors.Error``: ``NOT_FOUND``, ``RESULT_EXPIRED``,
    ``PLATFORM_UNAVAILABLE``.
    """
    stored = await jobs.get(kept, team, job_id)
    _check_retention(kept, stored.job)
    if stored.job.counts is not None:
        return Progress(stored.job, stored.job.counts)
    rows = await _range_rows(kept, job_id)
    return Progress(stored.job, choice.count(stored.job, rows))


async def results(
    kept: store.Store, team: str, job_id: str, tag: bytes
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the lines of the output (``OUTPUT``) or error file (``ERROR``).

    Lines come in chunks, in order of the ranges, each ending in a newline; one
    segment is in memory at a time. Raises as ``progress`` does.
    """
    stored = await jobs.get(kept, team, job_id)
    _check_retention(kept, stored.job)
    for row in await _range_rows(kept, job_id):
        for part in records.load(records.Range, row.value).parts:
            chunk = await _segment(kept, part.key, tag)
            if chunk:
                yield chunk


async def content(
    kept: store.Store, team: str, file_id: str
) -> collections.abc.AsyncIterator[bytes]:
    """Yield an uploaded file's bytes in chunks."""
    file = await files.get(kept, team, file_id)
    try:
        async for chunk in kept.objects.stream(file.object_key):
            yield chunk
    except KeyError as error:
        raise errors.Error(errors.Kind.RESULT_EXPIRED) from error


async def forecast(
    kept: store.Store, team: str, job_id: str, rate: float
) -> policy.Forecast:
    """Estimate when an unfinished job finishes.

    ``rate`` is the fleet's items a second. The ready list is read up to the job's
    deadline.
    """
    found = await progress(kept, team, job_id)
    job = found.job
    done = found.counts.completed + found.counts.failed
    ahead = 0
    async for ready in jobs.unfinished(kept):
        if ready.deadline >= job.deadline:
            break
        if ready.job != job.id:
            ahead += ready.items
    ready = jobs.ready(job)
    return policy.forecast(ready, done, ahead, rate, kept.clock.wall())


@attrs.frozen
class Outlook:
    """Show an unfinished job to operators with its expected finish."""

    ready: records.Ready
    done: int
    forecast: policy.Forecast


async def overview(kept: store.Store, rate: float, *, limit: int) -> list[Outlook]:
    """Return unfinished jobs in order of deadline with their forecasts.

    ``rate`` is the fleet's items a second. Progress is read only for the few jobs
    with the least time to spare, so that the platform is spared; all others are
    shown as if nothing were done.
    """
    found: list[Outlook] = []
    ahead = 0
    now = kept.clock.wall()
    async for ready in jobs.unfinished(kept):
        if len(found) >= limit:
            break
        expected = policy.forecast(ready, 0, ahead, rate, now)
        found.append(Outlook(ready, 0, expected))
        ahead += ready.items
    for outlook in sorted(found, key=_spare_s)[:MAX_LOOKS]:
        at = found.index(outlook)
        before = sum(other.ready.items - other.done for other in found[:at])
        rows = await _range_rows(kept, outlook.ready.job)
        done = choice.committed(rows)
        expected = policy.forecast(outlook.ready, done, before, rate, now)
        found[at] = Outlook(outlook.ready, done, expected)
    return found


def _spare_s(outlook: Outlook) -> float:
    return outlook.forecast.deadline - outlook.forecast.finish


def _check_retention(kept: store.Store, job: records.Job) -> None:
    if job.expires_at is not None and kept.clock.wall() >= job.expires_at:
        raise errors.Error(errors.Kind.RESULT_EXPIRED)


async def _range_rows(kept: store.Store, job_id: str) -> list:
    prefix = f"{records.RANGES}{job_id}/"
    return await kept.read_for_caller(
        lambda: kept.table.scan(prefix, limit=files.MAX_RANGES)
    )


async def _segment(kept: store.Store, key: str, tag: bytes) -> bytes:
    try:
        data = await kept.read_for_caller(lambda: kept.objects.get(key))
    except KeyError as error:
        logger.error("Segment %s is missing.", key)
        raise errors.Error(errors.Kind.INTERNAL, "A segment is missing.") from error
    lines = data.split(b"\n")
    return b"".join(line[1:] + b"\n" for line in lines if line[:1] == tag)
