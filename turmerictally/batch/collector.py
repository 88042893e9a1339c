"""Delete expired jobs and files; one host at a time does it under a lease."""

import logging

import attrs
import trio

from turmerictally import settings
from turmerictally.batch import lease, records, store
from turmerictally.store import table

logger = logging.getLogger(__name__)

LEASE_KEY = "batch-collector"
PERIOD_S = 60.0
PAGE = 100
LEASE_PERIODS = 5  # periods without progress after which another host takes over


@attrs.define
class Collector:
    """Delete what outlived its stored deadline.

    Deleting twice is harmless, so that the lease only saves work and needs no
    fence.
    """

    kept: store.Store
    given: settings.Batch
    host: str
    watch: lease.Watch = attrs.field(init=False)
    counter: int = 0

    def __attrs_post_init__(self) -> None:
        self.watch = lease.Watch(self.kept.clock, LEASE_PERIODS * PERIOD_S)

    async def run(self) -> None:
        """Collect once a period while this host holds the lease."""
        while True:
            await trio.sleep(PERIOD_S * self.kept.rng.uniform(0.9, 1.1))
            try:
                if await self._lead():
                    await self.collect()
            except table.UnavailableError:
                self.watch.clear()

    async def collect(self) -> int:
        """Delete every expired entry of one page; return how many."""
        rows = await self.kept.scan(records.EXPIRES, limit=PAGE)
        now = int(self.kept.clock.wall())
        expired = [row for row in rows if int(row.key.split("/")[1]) < now]
        for row in expired:
            await self._delete(row)
        return len(expired)

    async def _lead(self) -> bool:
        """Take or renew the lease."""
        row = await self.kept.get(LEASE_KEY)
        other = row is not None and row.value["host"] != self.host
        if other and not self.watch.observe(LEASE_KEY, row.version):
            return False
        self.counter += 1
        value = {"host": self.host, "counter": self.counter}
        version = row.version if row else table.ABSENT
        await self.kept.writes.take()
        try:
            await self.kept.table.commit(
                [table.Check(LEASE_KEY, version)], [table.Put(LEASE_KEY, value)]
            )
        except table.ConflictError:
            return False
        return True

    async def _delete(self, row: table.Row) -> None:
        writes: list[table.Write] = [table.Delete(row.value["row"])]
        if "job" in row.value:
            await self._delete_objects(f"{records.RESULTS}{row.value['job']}/")
            prefix = f"{records.RANGES}{row.value['job']}/"
            found = await self.kept.scan_all(prefix)
            writes += [table.Delete(each.key) for each in found]
        else:
            await self.kept.writes.take()
            await self.kept.objects.delete(row.value["object"])
        writes.append(table.Delete(row.key))
        await self.kept.writes.take()
        await self.kept.table.commit([], writes)
        logger.info("Expired row %s was deleted.", row.value["row"])

    async def _delete_objects(self, prefix: str) -> None:
        """Delete a job's segments, also those never committed."""
        while True:
            await self.kept.reads.take()
            found = await self.kept.objects.list(prefix, limit=PAGE)
            for info in found:
                await self.kept.writes.take()
                await self.kept.objects.delete(info.key)
            if len(found) < PAGE:
                return
