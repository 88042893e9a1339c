"""Measure what measuring costs on one host, by hand.

Workload: 300 teams in all six kinds of series, of which 100 are named, 10,000
decisions, one scrape and the merge of ten hosts' totals.
Baseline: passing a token on without timing it.
Bound: a scrape every 30 s takes less than 4.9% of a core, the series and decisions
less than a quarter of 128 MB, and no other task waits longer than the 53 ms between
two tokens.
"""

import pathlib
import resource
import time

import trio

from turmerictally import settings
from turmerictally.bench import report
from turmerictally.metrics import exposition, host, latency

NAME = "metrics"
SUMMARY = (
    "300 teams on one host, by hand; against no timing; a scrape every 30 s within "
    "4.9% of a core, 32 MB, and 53 ms of waiting for others"
)

TEAMS = 300
VALUES = 20  # of each series
TOKENS = 100_000
DECISIONS = 10_000
HOSTS = 10
SCRAPE_INTERVAL_S = 30.0
CONTROL_CPU_RATIO = 0.049
MEMORY_BYTES = 32 * 1024 * 1024
TOKEN_GAP_S = 0.053


def main() -> report.Report:
    """Measure on the real clock."""
    return trio.run(run)


async def run() -> report.Report:
    """Fill one host's measurements, scrape and merge them."""
    result = report.Report(NAME)
    before = _resident_bytes()
    metrics = host.Metrics(settings.Metrics(**settings.DEFAULTS["metrics"]))
    _measure_recording(result, metrics)
    _fill(metrics)
    grown = _resident_bytes() - before
    result.rows.append({"measured": "memory", "MB": grown / 2**20})
    result.check("memory", grown <= MEMORY_BYTES, f"{grown / 2**20:.1f} MB")
    await _measure_scrape(result, metrics)
    await _measure_merge(result, metrics)
    return result


def _measure_recording(result: report.Report, metrics: host.Metrics) -> None:
    timer = metrics.start("t0", latency.Work.ONLINE)
    timed = _cpu_us(TOKENS, timer.record_token)
    bare = _cpu_us(TOKENS, lambda: None)
    record = metrics.decisions.record
    decided = _cpu_us(
        DECISIONS, lambda: record(f"r{time.process_time_ns()}", "placed", server="s")
    )
    result.rows.append({"measured": "a token", "us": timed, "baseline us": bare})
    result.rows.append({"measured": "a decision", "us": decided})


def _fill(metrics: host.Metrics) -> None:
    for number in range(TEAMS):
        for measure in latency.Measure:
            for work in latency.Work:
                for value in range(VALUES):
                    team = f"t{number}"
                    metrics.latencies.record(measure, work, team, 0.01 * value)


async def _measure_scrape(result: report.Report, metrics: host.Metrics) -> None:
    waits: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch, waits)
        await trio.sleep(0.01)
        waits.clear()
        started = time.process_time()
        text = await exposition.render(exposition.Sources(metrics))
        spent = time.process_time() - started
        nursery.cancel_scope.cancel()
    longest = max(waits)
    result.rows.append(
        {"measured": "a scrape", "CPU ms": spent * 1000, "bytes": len(text)}
        | {"longest wait ms": longest * 1000}
    )
    ratio = spent / SCRAPE_INTERVAL_S
    result.check("scrape CPU", ratio <= CONTROL_CPU_RATIO, f"{ratio:.2%} of a core")
    detail = f"{longest * 1000:.0f} ms"
    result.check("waiting for others", longest <= TOKEN_GAP_S, detail)


async def _measure_merge(result: report.Report, metrics: host.Metrics) -> None:
    encoded = latency.encode_totals(metrics.latencies.histograms)
    started = time.process_time()
    await latency.merge([encoded] * HOSTS, metrics.max_teams)
    spent = (time.process_time() - started) / HOSTS
    result.rows.append(
        {"measured": "a host's totals", "CPU ms": spent * 1000, "bytes": len(encoded)}
    )


async def _watch(waits: list[float]) -> None:
    while True:
        started = time.perf_counter()
        await trio.sleep(0)
        waits.append(time.perf_counter() - started)


def _cpu_us(times: int, function) -> float:
    started = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - started) / times * 1e6


def _resident_bytes() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()
