"""Take over orphaned batch jobs: their owner failed or released them."""

import contextlib
import hashlib

import attrs
import trio

from turmerictally.entry import gossip, item_runner, jobs
from turmerictally.entry import worker as workers
from turmerictally.scheduling import ownership
from turmerictally.store import rows

MAX_LOGGED_S = 1e6  # ages beyond it, which may be infinite, are logged as this
RANK_DELAY_S = 0.6  # a host of rank n waits n times as long to take a job over


@attrs.define(eq=False)
class Takeover:
    """Find orphaned jobs and make this host their owner.

    ``orphaned_at`` holds the monotonic time at which a job was first seen as orphaned.
    """

    worker: workers.Worker
    orphaned_at: dict[str, float] = attrs.Factory(dict)
    taking_over: bool = False

    def start_takeovers(self, nursery: trio.Nursery) -> None:
        """Start to take over orphaned jobs, unless a takeover is already running."""
        states = self.worker.state_watch
        blocked = (
            self.worker.stopping or states.store_unavailable or not states.complete
        )
        if not blocked and not self.taking_over and (orphans := self.orphans_to_take()):
            self.taking_over = True
            nursery.start_soon(self._take_over_all, orphans)

    async def _take_over_all(self, orphans: list[jobs.VersionedState]) -> None:
        try:
            for versioned in orphans:
                await self._take_over(versioned)
        finally:
            self.taking_over = False

    def orphans_to_take(self) -> list[jobs.VersionedState]:
        """Return the orphaned jobs that this host may take over now.

        Hosts wait in the order of their rank for a job, so that one takes it.
        """
        now = self.worker.clock.monotonic()
        takeable = []
        orphaned = set()
        for versioned in self.worker.job_states.by_id.values():
            if not versioned.state.open:
                continue
            job = versioned.state.job
            if job in self.worker.owned_jobs or self._has_live_owner(versioned.state):
                continue
            orphaned.add(job)
            since = self.orphaned_at.setdefault(job, now)
            if now >= since + self.rendezvous_rank(job) * RANK_DELAY_S:
                takeable.append(versioned)
        for job in self.orphaned_at.keys() - orphaned:
            del self.orphaned_at[job]
        return takeable

    def _has_live_owner(self, state: jobs.State) -> bool:
        if not state.owner or state.owner == self.worker.host_id:
            return False
        evidence = owner_evidence(self.worker.hosts, state.owner, state.instance)
        return not ownership.is_lost(evidence)

    def rendezvous_rank(self, key: str) -> int:
        """Return how many reachable hosts come before this one for a job or host id."""
        names = [digest.host for digest in self.worker.hosts.reachable()]

        def weight(name: str) -> bytes:
            return hashlib.blake2b(f"{key}/{name}".encode()).digest()

        own_weight = weight(self.worker.host_id)
        return sum(weight(name) > own_weight for name in names)

    async def _take_over(self, versioned: jobs.VersionedState) -> None:
        previous, worker = versioned.state, self.worker
        evidence = owner_evidence(worker.hosts, previous.owner, previous.instance)
        owned_state = attrs.evolve(
            previous, owner=worker.host_id, instance=worker.instance
        )
        try:
            written = await worker.job_store.replace_state(versioned, owned_state)
            items = await worker.job_store.read_items(owned_state)
            progress = await worker.job_store.read_progress(owned_state.job)
            results: list[jobs.Result] = []
            while len(results) < owned_state.listed:
                page = await worker.job_store.read_results(
                    owned_state.job, len(results)
                )
                if not page:
                    raise rows.UnavailableError("results are not all there")
                results += page
        except (rows.ConflictError, rows.UnavailableError) as error:
            worker.trace.emit("job_not_taken", job=previous.job, reason=str(error))
            return
        finished = {result.id for result in results}
        owned = worker.start_job(written, items, finished, progress.attempts)
        if owned is not None:
            _resume(owned.tasks, jobs.join_progress(progress.events))
        worker.trace.emit(
            "job_taken",
            job=previous.job,
            owner_before=previous.owner,
            listed=previous.listed,
            failed_attempts=worker.attempts.total(previous.job),
            **_log_fields(evidence),
            outcome="ended or owned meanwhile"
            if owned is None
            else f"{len(items) - len(results)} items left",
        )
        with contextlib.suppress(KeyError):
            del self.orphaned_at[previous.job]


def owner_evidence(
    hosts: gossip.HostDirectory, host: str, instance: str
) -> ownership.OwnerEvidence:
    """Return what is known of an incarnation of a host that owns batch jobs."""
    now = hosts.clock.monotonic()
    peer, record = hosts.peers.get(host), hosts.records.get(host)
    is_known = peer is not None and peer.digest.instance == instance
    return ownership.OwnerEvidence(
        registered=record is not None and record.instance == instance,
        reachable=hosts.is_reachable(host, instance),
        store_age_s=peer.digest.store_age_s if is_known else 0.0,
        silent_s=now - (peer.received_at if is_known else hosts.started_at),
        row_age_s=hosts.renewals_known_until() - record.renewed_at
        if record is not None
        else float("inf"),
        row_renewal_s=hosts.row_renewal_s(),
        reaches_majority=hosts.reaches_majority(),
    )


def _log_fields(evidence: ownership.OwnerEvidence) -> dict[str, float]:
    """Return what was known of a lost owner as log fields."""
    return {
        "silent_s": round(min(evidence.silent_s, MAX_LOGGED_S), 2),
        "store_age_s": round(min(evidence.store_age_s, MAX_LOGGED_S), 2),
    }


def _resume(
    tasks: dict[str, item_runner.ItemTask], progress: dict[str, jobs.Progress]
) -> None:
    """Resume items after the last event of theirs that was checkpointed."""
    for item, saved in progress.items():
        task = tasks.get(item)
        if task is not None and saved.event_data:
            event_data = [data.encode() for data in saved.event_data]
            task.add_events(event_data, len(event_data))
            task.saved_events = len(event_data)
            task.origin, task.beginning = saved.origin, saved.beginning
