"""Measure what the whole configuration costs one host in memory and processor time.

Workload: one contract and two keys a team, 32 routes and services; changes of one
contract and withdrawals of one key; authentication of known secrets. Baseline: eight
teams. Bound: at 7,600 teams one change takes at most 49 ms (4.9% of a core for one
change a second, where 5,600 a day are asked), and memory stays under 32 MB, a quarter
of the budget. Processor time differs from run to run, so CI runs the sizes only.
"""

import gc
import time
import tracemalloc

import trio

from turmerictally import clock as clocks
from turmerictally.bench import report as reports
from turmerictally.config import keys, model, replica

NAME = "config_view"
SUMMARY = "7,600 teams, two keys each; baseline 8 teams; bound 49 ms a change, 32 MB"
TEAMS = (8, 1000, 7600)
KEYS_PER_TEAM = 2
ROUTES = 32
CHANGES = 50
LOOKUPS = 5000
MAX_CHANGE_MS = 49.0
MAX_MEMORY_MB = 32.0
MEBIBYTE = 1024 * 1024


async def run(teams: tuple[int, ...] = TEAMS) -> reports.Report:
    """Return sizes and times for each number of teams."""
    report = reports.Report(NAME)
    for count in teams:
        row = _measure(count)
        report.rows.append(row)
        memory = row["memory_mb"]
        ok = memory <= MAX_MEMORY_MB
        report.check(f"memory at {count}", ok, f"{memory:.1f} MB")
    return report


def main() -> reports.Report:
    """Run every size and check the time of a change."""
    report = trio.run(run)
    for row in report.rows:
        spent = row["change_ms"]
        ok = spent <= MAX_CHANGE_MS
        report.check(f"change at {row['teams']}", ok, f"{spent:.2f} ms")
    return report


def _measure(teams: int) -> dict:
    gc.collect()
    tracemalloc.start()
    copy = replica.Replica(clocks.Clock(), 3600.0)
    secrets = _fill(copy, teams)
    memory = tracemalloc.get_traced_memory()[0] / MEBIBYTE
    tracemalloc.stop()
    data = model.view_to_bytes(copy.view)
    began = time.process_time()
    model.view_from_bytes(data)
    load_ms = (time.process_time() - began) * 1000
    return {
        "teams": teams,
        "memory_mb": memory,
        "snapshot_kb": len(data) / 1024,
        "load_ms": load_ms,
        "change_ms": _time_changes(copy),
        "authenticate_us": _time_lookups(copy, secrets),
    }


def _fill(copy: replica.Replica, teams: int) -> list[keys.Secret]:
    view = model.View(version=1)
    secrets = []
    for number in range(teams):
        team = f"team-{number:05d}"
        view.contracts[team] = model.Contract(team, 5.0, 10)
        view.versions[f"contract/{team}"] = 1
        for _ in range(KEYS_PER_TEAM):
            secret = keys.create(team)
            view.keys[secret.key.digest] = secret.key
            view.versions[f"key/{secret.key.id}"] = 1
            secrets.append(secret)
    for number in range(ROUTES):
        name = f"service-{number}"
        view.services[name] = model.Service(name)
        view.routes[f"/{name}"] = model.Route(f"/{name}", name)
    copy.adopt(view)
    copy.confirm(1, copy.clock.monotonic())
    return secrets


def _time_changes(copy: replica.Replica) -> float:
    began = time.process_time()
    for number in range(CHANGES):
        team = next(iter(copy.view.contracts))
        item = model.Contract(team, number + 1.0, 10)
        _apply(copy, model.ItemKind.CONTRACT, team, item)
        key = next(iter(copy.view.keys.values()))
        if len(copy.view.keys) > 1:
            _apply(copy, model.ItemKind.KEY, key.id, None)
    changes = copy.view.version - 1
    return (time.process_time() - began) * 1000 / changes


def _apply(
    copy: replica.Replica, kind: model.ItemKind, name: str, item: model.Item | None
) -> None:
    version = copy.view.version + 1
    copy.apply([model.Change(version, kind, name, item, "ann", 0.0)])


def _time_lookups(copy: replica.Replica, secrets: list[keys.Secret]) -> float:
    copy.confirm(copy.view.version, copy.clock.monotonic())
    ring = keys.KeyRing(copy)
    held = [s.text for s in secrets if s.key.digest in copy.view.keys]
    began = time.process_time()
    for number in range(LOOKUPS):
        ring.authenticate(held[number % len(held)])
    return (time.process_time() - began) * 1e6 / LOOKUPS
