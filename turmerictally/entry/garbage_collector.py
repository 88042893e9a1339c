"""Delete the rows of expired batch jobs and of hosts that will not return."""

import attrs
import trio

from turmerictally.entry import gossip, jobs
from turmerictally.entry import takeover as takeovers
from turmerictally.store import rows

INTERVAL_S = 5.0  # short beside the minutes for which results are kept
# Added to the promised retention, for readers whose clocks are slow.
RETENTION_MARGIN_S = 30.0
# A host that has not renewed its row for this long has been replaced. One that was only
# without the store writes its row again.
HOST_EXPIRY_S = 120.0
MAX_DELETED_ROWS = 90  # in one transaction, below the store's limit of 100


@attrs.define(eq=False)
class GarbageCollector:
    """Delete expired rows; one reachable host, chosen by hash, does it for each job.

    ``min_retention_s`` is how long results are promised from a job's submission.
    """

    takeover: takeovers.Takeover
    min_retention_s: float

    async def run(self) -> None:
        """Delete expired rows periodically until cancelled."""
        worker = self.takeover.worker
        while True:
            await trio.sleep(INTERVAL_S * worker.rng.uniform(0.8, 1.2))
            for versioned in self.expired_jobs():
                try:
                    await self._delete_job(versioned)
                except (rows.UnavailableError, rows.ConflictError) as error:
                    worker.trace.emit(
                        "job_not_deleted", job=versioned.state.job, reason=str(error)
                    )
            for name in self.expired_hosts():
                address = rows.Address(gossip.TABLE, "", name)
                try:
                    await worker.job_store.store.transact({}, {address: None})
                except rows.UnavailableError as error:
                    worker.trace.emit("host_not_deleted", host=name, reason=str(error))

    def expired_jobs(self) -> list[jobs.VersionedState]:
        """Return the expired jobs that this host is to delete."""
        states = self.takeover.worker.state_watch
        now_s = states.store_now_s()
        if now_s is None or states.store_unavailable:
            return []
        expired = []
        for versioned in self.takeover.worker.job_states.by_id.values():
            state = versioned.state
            retention_s = (
                max(self.min_retention_s, state.retention_s) + RETENTION_MARGIN_S
            )
            # An open job must end first: its owner still writes results.
            if now_s < state.created_s + retention_s or state.open:
                continue
            if self.takeover.rendezvous_rank(state.job) == 0:
                expired.append(versioned)
        return expired

    def expired_hosts(self) -> list[str]:
        """Return the expired hosts whose rows this host is to delete."""
        worker = self.takeover.worker
        hosts = worker.hosts
        return [
            name
            for name, record in hosts.records.items()
            if not hosts.is_renewed(record, HOST_EXPIRY_S) and name not in hosts.peers
            if name != worker.host_id and self.takeover.rendezvous_rank(name) == 0
        ]

    async def _delete_job(self, versioned: jobs.VersionedState) -> None:
        """Delete a job's rows, the state last, so that a failed run is repeated."""
        worker = self.takeover.worker
        job = versioned.state.job
        deleted = 0
        for table in (jobs.PROGRESS, jobs.RESULTS, jobs.ITEMS):
            while addresses := await worker.job_store.row_addresses(
                table, job, MAX_DELETED_ROWS
            ):
                await worker.job_store.store.transact({}, dict.fromkeys(addresses))
                deleted += len(addresses)
        address = jobs.state_address(job)
        await worker.job_store.store.transact(
            {address: versioned.version}, {address: None}
        )
        worker.trace.emit("job_deleted", job=job, rows=deleted + 1)
