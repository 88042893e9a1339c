"""Measure batch policy, platform cost and recovery in virtual time.

Workload: ``batch_policy`` for the choice among jobs; for cost, four hosts at the
target's rate for one host (6.65 items a second) with the default settings of ranges,
parts and leases. Baseline: first-come and earliest deadline; for cost, one write an
item. Bound: at most a quarter of the platform's writes and reads at 2,660 items a
second; a lost host's range runs elsewhere within three lease times.
"""

import json

import attrs
import trio

from turmerictally import settings
from turmerictally.batch import files, jobs
from turmerictally.bench import batch_policy, report
from turmerictally.config import model
from turmerictally.standins import memory
from turmerictally.tests.support import batch_fleet

NAME = "batch"
SUMMARY = (
    "jobs of 13 teams with lost hosts and bursts; against first-come and earliest "
    "deadline; worst-served team above both in a flood, platform use below a quarter"
)

TARGET_ITEMS_PER_S = 2660.0
TARGET_JOBS_PER_S = 12_000 / 86_400
WRITES_PER_JOB = 5  # upload, its row, acceptance, completion, deletion
PLATFORM_SHARE = 0.25
RECOVERY_LEASES = 3.0
ON_TIME_FEASIBLE = 0.95
ON_TIME_FLOOD = 0.9
CONTROL_BYTES_PER_S = 6000.0
COST_HOSTS = 4
FULL_S = 600.0
FULL_TEAMS = 20
FULL_JOBS = 12_000
FULL_ITEMS = 19_000
COST_ITEMS = 8_000
ITEM_S = (0.9, 1.5)  # with 8 slots a host: 6.65 items a second


@attrs.frozen
class Cost:
    """Report platform calls an item, of rows and of objects."""

    table_writes: float
    table_reads: float
    object_writes: float
    object_reads: float
    items_per_s: float
    duplicates: int
    table_bytes_per_s: float


class CountingTable:
    """Count the bytes of rows that pass between the hosts and the table."""

    def __init__(self, inner):
        self.inner = inner
        self.size = 0

    def __getattr__(self, name):
        return getattr(self.inner, name)

    async def get(self, key):
        """Read a row."""
        row = await self.inner.get(key)
        self.size += _size([row])
        return row

    async def scan(self, prefix, *, after="", limit=1000):
        """Read a page of rows."""
        rows = await self.inner.scan(prefix, after=after, limit=limit)
        self.size += _size(rows)
        return rows

    async def commit(self, checks, writes):
        """Write rows."""
        self.size += _size(writes) + sum(len(check.key) for check in checks)
        return await self.inner.commit(checks, writes)


def _size(rows: list) -> int:
    values = [getattr(row, "value", None) for row in rows]
    return sum(len(json.dumps(value)) for value in values) + 40 * len(rows)


def defaults(**changes) -> settings.Settings:
    """Return the default settings of batch."""
    given = dict(settings.DEFAULTS["batch"])
    return batch_fleet.make_settings(**(given | changes))


def measure_cost() -> Cost:
    """Run one large job and count what the platform served."""

    async def body(nursery):
        fleet = batch_fleet.Fleet(nursery, hosts=COST_HOSTS, given=defaults())
        fleet.item_s = ITEM_S
        counting = CountingTable(fleet.platform.table)
        fleet.table = counting
        for host in fleet.hosts:
            host.boot()
        job = await fleet.accept(batch_fleet.items(COST_ITEMS))
        counting.size = 0
        fleet.start()
        start = trio.current_time()
        services = (fleet.platform.table, fleet.platform.objects)
        before = [c.count for s in services for c in (s.writes, s.reads)]
        while not await _final(fleet, job):
            await trio.sleep(5.0)
        after = [c.count for s in services for c in (s.writes, s.reads)]
        elapsed = trio.current_time() - start
        spent = [(b - a) / COST_ITEMS for a, b in zip(before, after, strict=True)]
        duplicates = len(fleet.sends) - COST_ITEMS
        rate = COST_ITEMS / elapsed / COST_HOSTS
        traffic = counting.size / elapsed / COST_HOSTS
        return Cost(*spent, rate, duplicates, traffic)

    return batch_fleet.run(body)


def measure_full_list() -> Cost:
    """Run for ten minutes with 12,000 unfinished jobs of 19,000 items."""

    async def body(nursery):
        fleet = batch_fleet.Fleet(nursery, hosts=COST_HOSTS, given=defaults())
        fleet.item_s = ITEM_S
        counting = CountingTable(fleet.platform.table)
        await _fill(fleet)
        fleet.table = counting
        for host in fleet.hosts:
            host.boot()
        fleet.start()
        services = (fleet.platform.table, fleet.platform.objects)
        before = [c.count for s in services for c in (s.writes, s.reads)]
        await trio.sleep(FULL_S)
        after = [c.count for s in services for c in (s.writes, s.reads)]
        done = len(fleet.sends)
        spent = [(b - a) / done for a, b in zip(before, after, strict=True)]
        traffic = counting.size / FULL_S / COST_HOSTS
        return Cost(*spent, done / FULL_S / COST_HOSTS, 0, traffic)

    return batch_fleet.run(body)


async def _fill(fleet) -> None:
    """Accept many jobs of many teams over one file each."""
    kept = fleet.reader
    for number in range(FULL_TEAMS):
        team = f"team-{number}"
        lines = batch_fleet.chunks(batch_fleet.items(FULL_ITEMS), size=65536)
        file = await files.upload(kept, fleet.given, team, "f", lines)
        contract = model.Contract(team, rate=1000.0, burst=10)
        for job in range(FULL_JOBS // FULL_TEAMS):
            window_s = 3600.0 + 6.0 * (number + job * FULL_TEAMS)
            request = jobs.Request(file.id, "/v1/chat", window_s)
            await jobs.create(kept, fleet.given, contract, request)


async def _final(fleet, job) -> bool:
    row = fleet.platform.table.rows[job.key]
    await trio.lowlevel.checkpoint()
    return row.value["finished_at"] is not None


def measure_recovery(seed: int) -> float:
    """Return the seconds from a host's loss until its items run elsewhere."""

    async def body(nursery):
        fleet = batch_fleet.Fleet(nursery, hosts=4, seed=seed, given=defaults())
        fleet.item_s = ITEM_S
        fleet.start()
        await fleet.accept(batch_fleet.items(2000))
        await trio.sleep(20.0)
        lost = fleet.hosts[1]
        held = {work.claim.slice.first for work in lost.executor.works.values()}
        lost.cut = True
        await lost.crash()
        at = trio.current_time()
        while True:
            await trio.sleep(0.5)
            for sent, name, custom_id in fleet.sends:
                first = int(custom_id[1:]) // 500 * 500
                if sent > at and first in held and name != lost.name:
                    return sent - at

    return batch_fleet.run(body, seed)


def main() -> report.Report:
    """Run every measurement."""
    made = report.Report(NAME)
    _add_policies(made)
    _add_cost(made)
    _add_recovery(made)
    return made


def _add_policies(made: report.Report) -> None:
    for flood in (False, True):
        outcomes = batch_policy.compare(flood)
        label = "flood" if flood else "feasible"
        for outcome in outcomes:
            made.rows.append({"workload": label, **attrs.asdict(outcome)})
        fair = outcomes[-1]
        bound = ON_TIME_FLOOD if flood else ON_TIME_FEASIBLE
        made.check(f"{label}: jobs on time", fair.on_time >= bound, f"{fair.on_time}")
    others = max(outcome.worst_team for outcome in outcomes[:-1])
    detail = f"{fair.worst_team:.3f} against {others:.3f}"
    made.check("flood: worst-served team", fair.worst_team > others, detail)


def _add_cost(made: report.Report) -> None:
    cost = measure_cost()
    made.rows.append({"workload": "cost an item", **attrs.asdict(cost)})
    per_item = cost.table_writes + cost.object_writes
    writes = per_item * TARGET_ITEMS_PER_S + WRITES_PER_JOB * TARGET_JOBS_PER_S
    reads = (cost.table_reads + cost.object_reads) * TARGET_ITEMS_PER_S
    row = {"workload": "target", "writes_per_s": writes, "reads_per_s": reads}
    made.rows.append(row)
    most = PLATFORM_SHARE * memory.WRITES_PER_S
    made.check("writes at the target", writes <= most, f"{writes:.0f} of {most:.0f}")
    most = PLATFORM_SHARE * memory.READS_PER_S
    made.check("reads at the target", reads <= most, f"{reads:.0f} of {most:.0f}")
    most = CONTROL_BYTES_PER_S / 2
    detail = f"{cost.table_bytes_per_s:.0f} of {most:.0f}"
    made.check("bytes a second a host", cost.table_bytes_per_s <= most, detail)
    made.check("no item ran twice", cost.duplicates == 0, f"{cost.duplicates}")


def _add_recovery(made: report.Report) -> None:
    times = sorted(measure_recovery(seed) for seed in range(3))
    lease_s = settings.DEFAULTS["batch"]["lease_s"]
    row = {"workload": "recovery", "least_s": times[0], "most_s": times[-1]}
    made.rows.append(row)
    bound = RECOVERY_LEASES * lease_s
    made.check("recovery", times[-1] <= bound, f"{times[-1]:.1f} of {bound:.1f} s")


if __name__ == "__main__":
    print(main().text())
