"""Steps for the benchmarks' registry."""

import pathlib

import behave

from turmerictally import bench
from turmerictally.bench import registry, report


@behave.then("each benchmark module is listed under its own name")
def listed(context):
    lines = registry.listing().splitlines()
    names = [line.split()[0] for line in lines]
    assert len(names) == len(set(names)) and {"platform", "peers"} <= set(names)
    folder = pathlib.Path(bench.__path__[0])
    stating = [p for p in folder.glob("*.py") if "\nNAME = " in p.read_text()]
    assert len(stating) == len(names), (stating, names)
    assert all(len(line.split(maxsplit=1)[1]) > 20 for line in lines)


@behave.then("a report whose bound fails is not ok and says so")
def failing_bound(context):
    result = report.Report("x", rows=[{"way": "ours", "p95": 0.25}])
    result.check("tail", True, "0.25 of 0.91")
    assert result.ok and "ok: tail" in result.text()
    result.check("share", False, "0.4, at most 0.1")
    assert not result.ok and "FAILED: share: 0.4, at most 0.1" in result.text()
