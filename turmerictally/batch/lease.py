"""Hold one host's worker lease and watch the leases of others.

Every commit of a worker also renews its lease, since it rewrites the worker's row
in the same transaction. A row that was deleted by another host ends the lease.
"""

import logging

import attrs
import trio

from turmerictally import clock
from turmerictally.batch import records, store
from turmerictally.store import table

logger = logging.getLogger(__name__)

DRIFT_RATIO = 0.01  # most by which two hosts' clocks differ in rate


class LapsedError(Exception):
    """Report that another host ended this worker's lease."""


@attrs.define
class Lease:
    """Renew a worker's lease and commit under it; times are monotonic seconds."""

    kept: store.Store
    worker: str
    address: str
    lease_s: float
    counter: int = 0
    version: int = table.ABSENT
    held: frozenset[str] = frozenset()
    expires: float = 0.0
    renewed: float = 0.0
    lapsed: bool = False
    lock: trio.Lock = attrs.Factory(trio.Lock)

    @property
    def key(self) -> str:
        """Return the key of the worker's row."""
        return f"{records.WORKERS}{self.worker}"

    @property
    def valid(self) -> bool:
        """Tell whether work may start under this lease."""
        return not self.lapsed and self.kept.clock.monotonic() < self.expires

    async def renew(self) -> None:
        """Renew the lease, ahead of other writes."""
        await self._commit([], [], frozenset(), frozenset(), urgent=True)

    async def commit(
        self,
        checks: list[table.Check],
        writes: list[table.Write],
        *,
        hold: frozenset[str] = frozenset(),
        drop: frozenset[str] = frozenset(),
    ) -> dict[str, int] | None:
        """Apply writes under the lease, repeating until the outcome is known.

        ``hold`` and ``drop`` are keys of ranges. Returns the new versions, or None
        when an earlier attempt took effect and they must be read. Raises
        ``table.ConflictError`` or ``LapsedError``; nothing was written then.
        """
        return await self._commit(checks, writes, hold, drop, urgent=False)

    async def close(self) -> None:
        """End the lease at a planned stop; ranges still held are left to lapse."""
        async with self.lock:
            self.lapsed = True
            if self.held or self.version == table.ABSENT:
                return
            checks = [table.Check(self.key, self.version)]
            try:
                await self.kept.table.commit(checks, [table.Delete(self.key)])
            except (table.ConflictError, table.UnavailableError):
                logger.info("The worker's row was left behind.")

    async def _commit(self, checks, writes, hold, drop, *, urgent):
        async with self.lock:
            if self.lapsed:
                raise LapsedError(self.worker)
            held = (self.held | hold) - drop
            worker = records.Worker(self.address, self.counter + 1, sorted(held))
            row = table.Put(self.key, records.dump(worker))
            started = self.kept.clock.monotonic()
            versions = await self._apply(checks, [row, *writes], worker, urgent)
            self.counter = worker.counter
            self.held = held
            self.renewed = started
            self.expires = started + self.lease_s
            return versions

    async def _apply(self, checks, writes, worker, urgent):
        ambiguous = False
        attempt = 0
        while True:
            await self._spend(urgent)
            mine = table.Check(self.key, self.version)
            try:
                versions = await self.kept.table.commit([mine, *checks], writes)
            except table.ConflictError:
                if await self._took_effect(worker, ambiguous):
                    return None
                if self.version == mine.version:
                    raise
                continue
            except table.UnavailableError as error:
                ambiguous = ambiguous or error.maybe_applied
                attempt += 1
                await self.kept.pause(attempt)
                continue
            self.version = versions[self.key]
            return versions

    async def _spend(self, urgent: bool) -> None:
        if urgent:
            self.kept.writes.charge()
        else:
            await self.kept.writes.take()

    async def _took_effect(self, worker: records.Worker, ambiguous: bool) -> bool:
        row = await self.kept.read(lambda: self.kept.table.get(self.key))
        version = row.version if row else table.ABSENT
        if version == self.version:
            return False
        if row is None and not self.held:
            self.version = table.ABSENT  # an idle worker's row was removed
            return False
        if row is not None and ambiguous:
            found = records.load(records.Worker, row.value)
            if found.counter == worker.counter:
                self.version = row.version
                return True
        self.lapsed = True
        raise LapsedError(self.worker)


@attrs.define
class Sighting:
    """Remember since when a counter has been seen unchanged."""

    counter: int
    since: float
    last: float


@attrs.define
class Watch:
    """Decide that a lease lapsed, from this host's own observations only.

    A lease lapsed when its counter did not change for longer than its holder may
    trust it, as seen by reads that never failed in between.
    """

    clock: clock.Clock
    lease_s: float
    seen: dict[str, Sighting] = attrs.Factory(dict)

    def observe(self, key: str, counter: int) -> bool:
        """Record a counter and tell whether its lease has lapsed."""
        now = self.clock.monotonic()
        sighting = self.seen.get(key)
        stale = sighting is None or sighting.counter != counter
        if stale or now - sighting.last > self.lease_s:
            self.seen[key] = Sighting(counter, now, now)
            return False
        sighting.last = now
        return now - sighting.since > self.lease_s * (1 + DRIFT_RATIO)

    def retain(self, keys: set[str]) -> None:
        """Forget the leases that are no longer watched."""
        self.seen = {key: self.seen[key] for key in keys & self.seen.keys()}

    def clear(self) -> None:
        """Start over, as after a read that failed."""
        self.seen.clear()
