"""Run batch work on one host: claim ranges, keep the lease, watch other hosts."""

import collections.abc
import hashlib
import logging
import random

import attrs
import trio

from turmerictally import clock, errors, settings
from turmerictally.batch import (
    cancel,
    capacity,
    choice,
    context,
    files,
    jobs,
    lease,
    ranges,
    records,
    store,
    work,
)
from turmerictally.config import model
from turmerictally.online import messages
from turmerictally.peers import calls
from turmerictally.store import table

logger = logging.getLogger(__name__)

RENEWALS = 2  # renewals in the time of a lease
LOOKS = 3  # looks at the neighbours in the time of a lease
WATCHED = 3  # workers that each host watches, next to its own id
ANNOUNCED = 8  # hosts that are told of a new job
IDLE_LOOKS = 10  # an idle host skips all but one in this many looks for cancels
IDLE_MAX_S = 8.0  # longest pause between looks for work, in seconds


@attrs.define
class Executor:
    """Run batch items of all jobs on one host.

    ``view`` returns the configuration, ``hosts`` the number of live hosts,
    ``idempotent`` tells whether an item's route allows a repeat.
    """

    host_id: str
    instance: str
    address: str
    kept: store.Store
    given: settings.Settings
    gate: capacity.Gate
    send: capacity.Send
    view: collections.abc.Callable[[], model.View]
    hosts: collections.abc.Callable[[], int]
    idempotent: collections.abc.Callable[[files.Item], bool]
    rng: random.Random
    record: collections.abc.Callable[..., None] = messages.ignore
    chooser: choice.Choice = attrs.field(init=False)
    cancels: cancel.Poll = attrs.field(init=False)
    held: lease.Lease | None = None
    shared: context.Context | None = None
    works: dict[str, work.Work] = attrs.Factory(dict)
    tally: context.Tally = attrs.Factory(context.Tally)
    sessions: int = 0
    stopping: bool = False
    wake: trio.Event = attrs.Factory(trio.Event)

    def __attrs_post_init__(self) -> None:
        self.chooser = choice.build(self)
        self.cancels = cancel.Poll(self.kept, self.given.batch)

    @property
    def clock(self) -> clock.Clock:
        """Return the host's clock."""
        return self.kept.clock

    async def run(self) -> None:
        """Run until cancelled; a lapsed lease starts a new one."""
        while not self.stopping:
            await self._run_session()

    async def stop(self) -> None:
        """Commit results, give all ranges back and end the lease."""
        self.stopping = True
        for running in list(self.works.values()):
            running.stop()
        while self.works:
            await trio.sleep(work.CHECK_S)
        if self.held is not None:
            await self.held.close()

    def notify(self) -> None:
        """Look for work at once, as after a job was accepted."""
        self.wake.set()

    async def _run_session(self) -> None:
        self.sessions += 1
        worker = _name_worker(self.host_id, self.instance, self.sessions)
        batch = self.given.batch
        self.held = lease.Lease(self.kept, worker, self.address, batch.lease_s)
        limiter = trio.CapacityLimiter(batch.max_concurrent_items)
        self.shared = context.Context(
            batch,
            self.held,
            self.gate,
            self.send,
            self.idempotent,
            limiter,
            self.rng,
            self._other_works,
            self.tally,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew, nursery.cancel_scope)
            nursery.start_soon(self._watch)
            nursery.start_soon(self._poll_cancels)
            nursery.start_soon(self._claim, nursery)
        self.works.clear()

    async def _renew(self, scope: trio.CancelScope) -> None:
        """Renew the lease while ranges are held; end the session when it lapsed."""
        period = self.given.batch.lease_s / RENEWALS
        while not self.held.lapsed:
            await trio.sleep(period / 2)
            due = self.clock.monotonic() - self.held.renewed >= period * 0.75
            if self.held.held and due and not self.held.lapsed:
                try:
                    await self.held.renew()
                except lease.LapsedError:
                    break
        for running in self.works.values():
            self.tally.wasted += len(running.pending)
            self._record(running, "lease_lapsed")
        scope.cancel()

    async def _watch(self) -> None:
        """Open the ranges of workers next to this one whose lease lapsed."""
        seen = lease.Watch(self.clock, self.given.batch.lease_s)
        while True:
            period = self.given.batch.lease_s / LOOKS
            await trio.sleep(period * self.rng.uniform(0.9, 1.1))
            try:
                await self._look(seen)
            except table.UnavailableError:
                seen.clear()

    async def _look(self, seen: lease.Watch) -> None:
        rows = await self._neighbours()
        seen.retain({row.key for row in rows})
        for row in rows:
            counter = records.load(records.Worker, row.value).counter
            if seen.observe(row.key, counter):
                await ranges.recover(self.kept, row.key, row)
                self.notify()

    async def _neighbours(self) -> list[table.Row]:
        prefix = records.WORKERS
        after = self.held.key
        rows = await self.kept.scan(prefix, after=after, limit=WATCHED)
        if len(rows) < WATCHED:
            more = await self.kept.scan(prefix, limit=WATCHED - len(rows) + 1)
            rows = {row.key: row for row in [*rows, *more]}.values()
        return [row for row in rows if row.key != self.held.key]

    async def _poll_cancels(self) -> None:
        looks = 0
        while True:
            await trio.sleep(self.given.batch.cancel_poll_s)
            looks += 1
            if self.works or self.cancels.open or looks % IDLE_LOOKS == 0:
                await self.cancels.look(self.stop_job)

    async def cancel(self, peers: calls.Peers, team: str, job_id: str) -> records.Job:
        """Cancel a job and tell its holders; see ``cancel.request``."""
        job = await cancel.request(self.kept, team, job_id)
        if job.state is records.JobState.CANCELLING:
            self.cancels.open[job.id] = job.key
            self.stop_job(job.id)
            try:
                await cancel.notify_holders(self.kept, peers, job.id)
            except table.UnavailableError as error:
                logger.info("Holders were not told of a cancellation: %s.", error)
        return job

    def serve(self, peers: calls.Peers) -> None:
        """Register the handlers of the calls between hosts."""
        peers.handle(calls.Kind.JOB_CANCEL, cancel.handler(self.stop_job))
        peers.handle(calls.Kind.JOB_READY, self._handle_ready)

    async def announce(self, peers: calls.Peers, addresses: list[str]) -> None:
        """Tell a few hosts that a job was accepted; their scans stand behind it."""
        self.notify()
        chosen = self.rng.sample(addresses, min(ANNOUNCED, len(addresses)))
        async with trio.open_nursery() as nursery:
            for address in chosen:
                nursery.start_soon(self._announce_to, peers, address)

    async def _announce_to(self, peers: calls.Peers, address: str) -> None:
        deadline = self.clock.monotonic() + cancel.PUSH_TIMEOUT_S
        try:
            await peers.call(address, calls.Kind.JOB_READY, b"", deadline=deadline)
        except errors.Error:
            logger.debug("Host %s was not told of a job.", address)

    async def _handle_ready(self, caller: calls.Caller, body: bytes) -> bytes:
        self.notify()
        return b""

    def stop_job(self, job_id: str) -> None:
        """Stop a cancelled job's ranges on this host."""
        for running in list(self.works.values()):
            if running.job.id == job_id:
                self._record(running, "stopped")
                running.stop()

    async def _claim(self, nursery: trio.Nursery) -> None:
        pause = self.given.batch.claim_poll_s
        while True:
            with trio.move_on_after(pause * self.rng.uniform(0.75, 1.25)):
                await self.wake.wait()
            self.wake = trio.Event()
            if self.stopping or not self._wants_work():
                pause = self.given.batch.claim_poll_s
                continue
            found = await self._claim_one(nursery)
            pause = (
                self.given.batch.claim_poll_s if found else min(pause * 2, IDLE_MAX_S)
            )

    def _wants_work(self) -> bool:
        batch = self.given.batch
        if len(self.works) >= batch.max_ranges or self.held.lapsed:
            return False
        if any(running.claim.suspect for running in self.works.values()):
            return False
        if not self._any_free():
            return False
        waiting = sum(running.unstarted for running in self.works.values())
        room = self.shared.limiter.available_tokens > 0
        return room and waiting < batch.max_concurrent_items

    def _any_free(self) -> bool:
        if not self.view().version:
            return False  # items of every model would fail as unknown
        services = self.view().services.values()
        names = [name for service in services for name in service.models]
        return not names or any(self.gate.free(name) > 0 for name in names)

    def _other_works(self) -> int:
        """Count the ranges whose items run together."""
        return sum(not running.claim.suspect for running in self.works.values())

    async def _claim_one(self, nursery: trio.Nursery) -> bool:
        try:
            claimed = await self.chooser.claim(self.held)
            if claimed is None:
                return False
        except (table.UnavailableError, lease.LapsedError) as error:
            logger.info("No range was claimed: %s.", error)
            return False
        except Exception:
            logger.exception("A look for work failed.")
            return False
        file = self.chooser.file(claimed.stored.job)
        running = work.Work(self.shared, claimed, file)
        self.works[claimed.key] = running
        self._record(running, "claimed", suspect=claimed.suspect)
        nursery.start_soon(self._work, running)
        return True

    async def _work(self, running: work.Work) -> None:
        started = self.clock.monotonic()
        open_items = len(running.claim.open_offsets())
        try:
            await running.run()
        except Exception:
            logger.exception("Range %s failed.", running.claim.key)
            await trio.sleep(IDLE_MAX_S)
            await running.abandon()
        state = running.claim.range.state.value
        self._record(running, "range_ended", state=state)
        self.works.pop(running.claim.key, None)
        self.chooser.learn(open_items, self.clock.monotonic() - started)
        if running.claim.range.state is records.RangeState.DONE:
            await self._finish(running.claim.stored)
        self.wake.set()

    def _record(self, running: work.Work, event: str, **fields: object) -> None:
        """Record a decision about a range under its job's id."""
        key = running.claim.key
        self.record(running.job.id, event, range=key, host=self.host_id, **fields)

    async def _finish(self, stored: jobs.Stored) -> None:
        """Complete the job if this was its last range."""
        try:
            await self.chooser.finish_if_done(stored)
        except table.UnavailableError as error:
            logger.info("A finished range was not followed up: %s.", error)


def _name_worker(host_id: str, instance: str, session: int) -> str:
    """Return a name whose order is random, so that neighbours fail apart.

    Hosts of one failure domain often have similar ids; workers that watch each
    other should not be lost together.
    """
    name = f"{host_id}.{instance}.{session}"
    return f"{hashlib.sha256(name.encode()).hexdigest()[:8]}.{name}"
