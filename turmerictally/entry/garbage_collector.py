"""Delete the rows of old batch jobs and of hosts that are gone for good."""

import attrs
import trio

from turmerictally.entry import gossip, jobs
from turmerictally.entry import takeover as takeovers
from turmerictally.store import rows

PERIOD_S = 5.0  # results are kept for minutes
# Beyond the time for which results are promised, for readers with slow clocks.
GRACE_S = 30.0
# A host that did not renew its row for this long has been replaced; one that only could
# not reach the store writes its row again.
HOST_GONE_S = 120.0
MAX_ROWS = 90  # in one transaction, below the store's 100


@attrs.define(eq=False)
class GarbageCollector:
    """Delete old jobs; of the hosts that are heard, one does it for each job.

    ``min_retention_s`` is how long results are promised from a job's submission.
    """

    takeover: takeovers.Takeover
    min_retention_s: float

    async def run(self) -> None:
        """Delete until cancelled."""
        worker = self.takeover.worker
        while True:
            await trio.sleep(PERIOD_S * worker.rng.uniform(0.8, 1.2))
            for versioned in self.expired_jobs():
                try:
                    await self._delete(versioned)
                except (rows.UnavailableError, rows.ConflictError) as error:
                    worker.trace.emit(
                        "job_not_deleted", job=versioned.state.job, reason=str(error)
                    )
            for name in self.expired_hosts():
                where = rows.Address(gossip.TABLE, "", name)
                try:
                    await worker.job_store.store.transact({}, {where: None})
                except rows.UnavailableError as error:
                    worker.trace.emit("host_not_deleted", host=name, reason=str(error))

    def expired_jobs(self) -> list[jobs.VersionedState]:
        """Return the jobs to delete here and now."""
        states = self.takeover.worker.state_watch
        now_s = states.store_now_s()
        if now_s is None or states.lost:
            return []
        found = []
        for versioned in self.takeover.worker.job_states.by_id.values():
            state = versioned.state
            keep_s = max(self.min_retention_s, state.retention_s) + GRACE_S
            # What is still open must end first, so that its owner lists it.
            if now_s < state.created_s + keep_s or state.open:
                continue
            if self.takeover.rendezvous_rank(state.job) == 0:
                found.append(versioned)
        return found

    def expired_hosts(self) -> list[str]:
        """Return the hosts whose rows this one deletes."""
        worker = self.takeover.worker
        hosts = worker.hosts
        return [
            name
            for name, found in hosts.records.items()
            if not hosts.is_renewed(found, HOST_GONE_S) and name not in hosts.peers
            if name != worker.host_id and self.takeover.rendezvous_rank(name) == 0
        ]

    async def _delete(self, versioned: jobs.VersionedState) -> None:
        """Delete all rows, the state last, so that a broken-off run is repeated."""
        worker = self.takeover.worker
        job = versioned.state.job
        count = 0
        for name in (jobs.PROGRESS, jobs.RESULTS, jobs.ITEMS):
            while addresses := await worker.job_store.row_addresses(
                name, job, MAX_ROWS
            ):
                await worker.job_store.store.transact({}, dict.fromkeys(addresses))
                count += len(addresses)
        where = jobs.state_address(job)
        await worker.job_store.store.transact({where: versioned.version}, {where: None})
        worker.trace.emit("job_deleted", job=job, rows=count + 1)
