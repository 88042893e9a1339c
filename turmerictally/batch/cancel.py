"""Cancel jobs: one outcome, nothing new started, results so far kept."""

import collections.abc
import logging

import attrs
import trio

from turmerictally import errors, settings
from turmerictally.batch import choice, jobs, records, store
from turmerictally.peers import calls
from turmerictally.store import table

logger = logging.getLogger(__name__)

PUSH_TIMEOUT_S = 2.0
PUSHES = 32  # calls in progress at once
PAGE = 500


async def request(
    kept: store.Store, team: str, job_id: str, who: str = ""
) -> records.Job:
    """Write that a job is to be cancelled and return it.

    A job that is final already is returned as it is. Raises ``errors.Error``:
    ``NOT_FOUND``, ``PLATFORM_UNAVAILABLE``; repeating the call is safe.
    """
    for attempt in range(jobs.CONFLICT_ATTEMPTS):
        stored = await jobs.get(kept, team, job_id)
        if stored.job.state is not records.JobState.IN_PROGRESS:
            return stored.job
        state = records.JobState.CANCELLING
        now = kept.clock.wall()
        changed = attrs.evolve(stored.job, state=state, cancelled_at=now)
        notice = {"job": job_id, "key": changed.key}
        try:
            await kept.table.commit(
                [table.Check(changed.key, stored.version)],
                [
                    table.Put(changed.key, records.dump(changed)),
                    table.Put(changed.cancel_key, notice),
                    table.Delete(changed.ready_key),
                ],
            )
        except table.ConflictError:
            continue
        except table.UnavailableError:
            await kept.pause(attempt)
            continue
        logger.info("Job %s is being cancelled.", job_id)
        return changed
    raise store.unavailable(errors.Ran.MAY_HAVE_RUN)


async def notify_holders(kept: store.Store, peers: calls.Peers, job_id: str) -> int:
    """Tell the hosts that hold ranges of a job; return how many answered.

    The hosts' own polls stand behind this call.
    """
    rows = await kept.scan_all(f"{records.RANGES}{job_id}/")
    holders = {row.value["holder"] for row in rows} - {""}
    answered = []
    limiter = trio.CapacityLimiter(PUSHES)
    async with trio.open_nursery() as nursery:
        for holder in holders:
            await limiter.acquire_on_behalf_of(holder)
            nursery.start_soon(_notify, kept, peers, holder, job_id, answered, limiter)
    return len(answered)


async def _notify(kept, peers, holder, job_id, answered, limiter) -> None:
    deadline = trio.current_time() + PUSH_TIMEOUT_S
    try:
        row = await kept.get(f"{records.WORKERS}{holder}")
        if row is None:
            return
        address = row.value["address"]
        kind = calls.Kind.JOB_CANCEL
        await peers.call(address, kind, job_id.encode(), deadline=deadline)
        answered.append(holder)
    except (errors.Error, table.UnavailableError) as error:
        logger.info("Worker %s was not told of a cancellation: %s.", holder, error)
    finally:
        limiter.release_on_behalf_of(holder)


def handler(stop_job: collections.abc.Callable[[str], None]) -> calls.Handler:
    """Return the handler of ``JOB_CANCEL``; its body is the job's id."""

    async def handle(caller: calls.Caller, body: bytes) -> bytes:
        stop_job(body.decode())
        return b""

    return handle


async def finish(kept: store.Store, given: settings.Batch, key: str) -> bool:
    """Make a cancelled job final once no host holds any of its ranges.

    Returns True when the job is final. Raises ``table.UnavailableError``.
    """
    row = await kept.get(key)
    if row is None:
        return True
    stored = jobs.Stored(records.load(records.Job, row.value), row.version)
    if stored.job.state in records.FINAL:
        return True
    rows = await kept.scan_all(f"{records.RANGES}{stored.job.id}/")
    held = records.RangeState.HELD.value
    if any(found.value["state"] == held for found in rows):
        return False
    counts = choice.count(stored.job, rows)
    state = records.JobState.CANCELLED
    return await jobs.finish(kept, stored, state, counts, given.retention_s)


@attrs.define
class Poll:
    """Learn of cancellations from the table and help to finish them."""

    kept: store.Store
    given: settings.Batch
    open: dict[str, str] = attrs.Factory(dict)

    async def look(self, stop_job: collections.abc.Callable[[str], None]) -> None:
        """Stop cancelled jobs on this host and finish those that stopped."""
        self.kept.reads.charge()
        try:
            rows = await self.kept.table.scan(records.CANCELS, limit=PAGE)
        except table.UnavailableError:
            return
        for row in rows:
            stop_job(row.value["job"])
        self.open = {row.value["job"]: row.value["key"] for row in rows}
        for key in self._mine(list(self.open.values())):
            try:
                await finish(self.kept, self.given, key)
            except table.UnavailableError:
                return

    def _mine(self, keys: list[str]) -> list[str]:
        """Choose one open cancellation at random, so that hosts share them."""
        return [self.kept.rng.choice(keys)] if keys else []
