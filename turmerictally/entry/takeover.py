"""Take over batch jobs whose owner is lost or gave them up."""

import contextlib
import hashlib

import attrs
import trio

from turmerictally.entry import item_runner, jobs
from turmerictally.entry import worker as workers
from turmerictally.store import rows

RANK_DELAY_S = 0.6  # between the hosts that may take a job over
# A host whose row was not renewed for this long and that is not heard is taken for
# dead: two renewals missed.
DEAD_AFTER_S = 3.6
DEAD_RENEWALS = 2.4  # the same with many hosts, in renewals
# An owner that cannot reach the store cannot list results; others take its jobs.
STORELESS_S = 4.0


@attrs.define(eq=False)
class Takeover:
    """Find jobs without a live owner and make this host their owner."""

    worker: workers.Worker
    orphaned_at: dict[str, float] = attrs.Factory(dict)
    taking_over: bool = False

    def start_takeovers(self, nursery: trio.Nursery) -> None:
        """Begin to take jobs over, unless that goes on already."""
        states = self.worker.state_watch
        away = self.worker.stopping or states.lost or not states.complete
        if not away and not self.taking_over and (found := self.orphans_to_take()):
            self.taking_over = True
            nursery.start_soon(self._take_all, found)

    async def _take_all(self, found: list[jobs.VersionedState]) -> None:
        try:
            for versioned in found:
                await self._take(versioned)
        finally:
            self.taking_over = False

    def orphans_to_take(self) -> list[jobs.VersionedState]:
        """Return jobs without a live owner whose turn to be taken here has come."""
        now = self.worker.clock.monotonic()
        found = []
        seen = set()
        for versioned in self.worker.job_states.by_id.values():
            if not versioned.state.open:
                continue
            job = versioned.state.job
            if job in self.worker.owned_jobs or self._owner_lives(versioned.state):
                continue
            seen.add(job)
            since = self.orphaned_at.setdefault(job, now)
            if now >= since + self.rendezvous_rank(job) * RANK_DELAY_S:
                found.append(versioned)
        for job in self.orphaned_at.keys() - seen:
            del self.orphaned_at[job]
        return found

    def _owner_lives(self, state: jobs.State) -> bool:
        if not state.owner or state.owner == self.worker.host_id:
            return False
        hosts = self.worker.hosts
        heard = hosts.is_reachable(state.owner, state.instance)
        record = hosts.records.get(state.owner)
        if record is None or record.instance != state.instance:
            return heard
        if heard:
            return hosts.peers[state.owner].digest.store_age_s < STORELESS_S
        if hosts.relayed and hosts.reaches_majority():
            # Whom the relays do not hear is lost or cut off; rows are renewed rarely.
            return False
        return hosts.is_renewed(
            record, max(DEAD_AFTER_S, DEAD_RENEWALS * hosts.row_renewal_s())
        )

    def rendezvous_rank(self, job: str) -> int:
        """Return how many other live hosts come before this one for a job."""
        names = [digest.host for digest in self.worker.hosts.reachable()]

        def weight(name: str) -> bytes:
            return hashlib.blake2b(f"{job}/{name}".encode()).digest()

        own = weight(self.worker.host_id)
        return sum(weight(name) > own for name in names)

    async def _take(self, versioned: jobs.VersionedState) -> None:
        before, worker = versioned.state, self.worker
        mine = attrs.evolve(before, owner=worker.host_id, instance=worker.instance)
        try:
            taken = await worker.job_store.replace_state(versioned, mine)
            items = await worker.job_store.read_items(mine)
            progress = await worker.job_store.read_progress(mine.job)
            results: list[jobs.Result] = []
            while len(results) < mine.listed:
                more = await worker.job_store.read_results(mine.job, len(results))
                if not more:
                    raise rows.UnavailableError("results are not all there")
                results += more
        except (rows.ConflictError, rows.UnavailableError) as error:
            worker.trace.emit("job_not_taken", job=before.job, reason=str(error))
            return
        worker.start_job(taken, items, {result.id for result in results})
        _resume(worker.owned_jobs[mine.job].tasks, jobs.join_progress(progress))
        worker.trace.emit(
            "job_taken",
            job=before.job,
            owner_before=before.owner,
            listed=before.listed,
            outcome=f"{len(items) - len(results)} items left",
        )
        with contextlib.suppress(KeyError):
            del self.orphaned_at[before.job]


def _resume(
    tasks: dict[str, item_runner.ItemTask], progress: dict[str, list[str]]
) -> None:
    """Let items go on behind what is kept of them."""
    for name, parts in progress.items():
        task = tasks.get(name)
        if task is not None and parts:
            task.event_data = [part.encode() for part in parts]
            task.last_event = task.saved_events = len(parts)
