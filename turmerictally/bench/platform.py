"""Measure what many hosts do to the platform during and after an outage.

Workload: 40 hosts offer half of what the table takes; the table is down for 30 s.
Baseline: the same hosts without budget and circuit, each write retried alone.
Bound: the outage costs each host at most its probes, and refusals after it stay
below a fifth of the baseline's.
"""

import random

import attrs
import trio
import trio.testing

from turmerictally import settings
from turmerictally.bench import report
from turmerictally.standins import memory
from turmerictally.store import guard, table

NAME = "platform"
SUMMARY = (
    "40 hosts through a 30 s outage of the table; against unguarded retries; "
    "at most the probes in the outage, a fifth of the refusals after it"
)

HOSTS = 40
TABLE_WRITES_PER_S = 40.0
HOST_BUDGET_PER_S = 2.0
WRITE_INTERVAL_S = 2.0  # of each host
RETRY_S = 1.0
OUTAGE_START_S = 10.0
OUTAGE_S = 30.0
OFFERED_S = 50.0
MAX_RUN_S = 300.0
REFUSAL_RATIO = 0.2
SEED = 7


@attrs.define
class Outcome:
    """Count what reached the table and when the last write was applied."""

    calls_in_outage: int = 0
    refused_after: int = 0
    applied: int = 0
    drained_at: float = 0.0


@attrs.define
class Observed:
    """Count the calls that reach a table; implements ``commit`` of ``table.Table``."""

    inner: memory.Table
    outcome: Outcome = attrs.Factory(Outcome)

    async def commit(
        self, checks: list[table.Check], writes: list[table.Write]
    ) -> dict[str, int]:
        """Pass the call on."""
        self.outcome.calls_in_outage += self.inner.faults.down
        try:
            versions = await self.inner.commit(checks, writes)
        except table.OverloadedError:
            self.outcome.refused_after += 1
            raise
        self.outcome.applied += 1
        self.outcome.drained_at = trio.current_time()
        return versions


async def run(guarded: bool) -> Outcome:
    """Run the workload in virtual time."""
    services = memory.Platform()
    services.table = memory.Table(writes_per_s=TABLE_WRITES_PER_S)
    observed = Observed(services.table)
    with trio.move_on_after(MAX_RUN_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_outage, services.table)
            for number in range(HOSTS):
                rng = random.Random(SEED * 1000 + number)
                rows = _guarded(observed, rng) if guarded else observed
                nursery.start_soon(_host, rows, rng)
    return observed.outcome


def main() -> report.Report:
    """Compare guarded with unguarded hosts."""
    result = report.Report(NAME)
    outcomes = {}
    for guarded in (True, False):
        clock = trio.testing.MockClock(autojump_threshold=0)
        outcomes[guarded] = trio.run(run, guarded, clock=clock)
        name = "guarded" if guarded else "unguarded"
        result.rows.append({"hosts": name} | attrs.asdict(outcomes[guarded]))
    _check(result, outcomes[True], outcomes[False])
    return result


def _check(result: report.Report, ours: Outcome, baseline: Outcome) -> None:
    # Three failures open a circuit; then a probe comes every 2.5 s or later.
    allowed = HOSTS * (3 + 8 + OUTAGE_S / 2.5)
    result.check(
        "calls during the outage",
        ours.calls_in_outage <= allowed,
        f"{ours.calls_in_outage}, at most {allowed:.0f}",
    )
    result.check(
        "refusals after the outage",
        ours.refused_after <= REFUSAL_RATIO * baseline.refused_after,
        f"{ours.refused_after} against {baseline.refused_after} unguarded",
    )
    result.check(
        "every write applied",
        ours.applied == baseline.applied,
        f"{ours.applied} of {baseline.applied}",
    )


def _guarded(observed: Observed, rng: random.Random) -> guard.Table:
    values = settings.DEFAULTS["platform"] | {
        "url": "-",
        "writes_per_s": HOST_BUDGET_PER_S,
    }
    host_guard = guard.Guard(settings.Platform(**values), rng=rng)
    services = memory.Platform()
    services.table = observed
    return guard.Platform(host_guard, services).table


async def _outage(rows: memory.Table) -> None:
    await trio.sleep(OUTAGE_START_S)
    rows.faults.down = True
    await trio.sleep(OUTAGE_S)
    rows.faults.down = False


async def _host(rows: table.Table, rng: random.Random) -> None:
    await trio.sleep(rng.uniform(0, WRITE_INTERVAL_S))
    async with trio.open_nursery() as nursery:
        for _ in range(int(OFFERED_S / WRITE_INTERVAL_S)):
            nursery.start_soon(_write, rows, rng)
            await trio.sleep(WRITE_INTERVAL_S)


async def _write(rows: table.Table, rng: random.Random) -> None:
    while True:
        try:
            await rows.commit([], [])
            return
        except table.UnavailableError:
            await trio.sleep(rng.uniform(0.5, 1.5) * RETRY_S)
