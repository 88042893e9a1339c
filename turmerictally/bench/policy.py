"""Compare scheduling policies on named load patterns, over seeds, in virtual time.

What a caller gets is counted: served within the objective, late, refused, failed, and
batch results in time. Differences are paired: the same seed with and without a change.
"""

import collections.abc
import json
import pathlib
import random
import statistics
import sys

import attrs

from turmerictally.bench import crowd, patterns, registry, report
from turmerictally.scheduling import mechanisms

NAME = "policy"
SUMMARY = "policies on load patterns over seeds; variants switch off one mechanism each"
BASE = "base"
WINDOW_S = 2.0  # of the worst window
DEFAULT_SEEDS = 2


@attrs.frozen
class Figures:
    """Hold what callers got in one play; ratios are from 0 to 1."""

    on_time: float
    late: float
    refused: float
    failed: float
    results_in_time: float
    worst_domain: float
    worst_team: float
    worst_window: float
    disturbed_on_time: float
    refused_with_room: float
    item_runs: int
    preempted: int
    runs_without_event: int


COMPARED = tuple(field.name for field in attrs.fields(Figures))


def play(
    pattern: str, variant: str, seed: int, options: patterns.Options
) -> tuple[Figures, report.Series]:
    """Play one seed of a pattern with one variant; return figures and their course."""
    plan = patterns.PATTERNS[pattern](random.Random(seed), options)
    disabled = mechanisms.parse([] if variant == BASE else [variant])
    simulation = crowd.Crowd(
        hosts=plan.hosts,
        servers=plan.servers,
        slots=patterns.SLOTS,
        quotas=plan.quotas,
        seed=seed,
        digest_s=0.05,
        service_s=plan.service_s,
        disabled=disabled,
    )
    simulation.run(
        plan.rates_at,
        plan.seconds,
        events=plan.events,
        batch_jobs=plan.batch_jobs,
        tail_s=options.completion_s + 1.0,
    )
    label = f"{pattern} {variant} seed {seed}"
    return figures(simulation, plan), course(simulation, plan, label)


def course(simulation: crowd.Crowd, plan: patterns.Plan, label: str) -> report.Series:
    """Return what callers got, by the window in which they sent their request."""
    windows = int(plan.seconds / WINDOW_S) + 1
    values = {
        name: [0.0] * windows for name in ("on time", "late", "refused", "preempted")
    }

    def count(name: str, at: float) -> None:
        window = int((at - simulation.started_at) / WINDOW_S)
        if window < windows:
            values[name][window] += 1

    for request in simulation.requests:
        if request.outcome in values:
            count(request.outcome, request.arrived_at)
    for at in simulation.trace.times["item_gives_way"]:
        count("preempted", at)
    return report.Series(label, [n * WINDOW_S for n in range(windows)], values)


def figures(simulation: crowd.Crowd, plan: patterns.Plan) -> Figures:
    """Return what the callers of a finished play got."""
    requests = simulation.requests
    counts = dict.fromkeys(("on time", "late", "refused", "failed"), 0)
    for request in requests:
        counts[request.outcome] += 1
    total = max(1, len(requests))
    items = sum(job.items for job in simulation.jobs.values())
    in_time = sum(job.count_in_time() for job in simulation.jobs.values())
    disturbed_at = simulation.started_at + plan.disturbed_from
    disturbed = [r for r in requests if disturbed_at <= r.arrived_at]
    return Figures(
        on_time=counts["on time"] / total,
        late=counts["late"] / total,
        refused=counts["refused"] / total,
        failed=counts["failed"] / total,
        results_in_time=in_time / max(1, items),
        worst_domain=_worst(requests, lambda r: r.domain),
        worst_team=_worst(requests, lambda r: r.team),
        worst_window=_worst(requests, lambda r: int(r.arrived_at / WINDOW_S)),
        disturbed_on_time=_ratio(disturbed),
        refused_with_room=_refused_with_room(simulation),
        item_runs=simulation.item_runs,
        preempted=len(simulation.trace.times["item_gives_way"]),
        runs_without_event=simulation.runs_without_event,
    )


def _ratio(requests: collections.abc.Sequence[crowd.CallerRequest]) -> float:
    return sum(r.outcome == "on time" for r in requests) / max(1, len(requests))


def _worst(
    requests: collections.abc.Sequence[crowd.CallerRequest],
    key: collections.abc.Callable[[crowd.CallerRequest], object],
) -> float:
    groups: dict[object, list[crowd.CallerRequest]] = {}
    for request in requests:
        groups.setdefault(key(request), []).append(request)
    return min((_ratio(group) for group in groups.values()), default=1.0)


def _refused_with_room(simulation: crowd.Crowd) -> float:
    """Return the part of the refusals after which slots were free in time."""
    refused = [r for r in simulation.requests if r.refused_at is not None]
    with_room = 0
    for request in refused:
        until = request.refused_at + crowd.MAX_START_S
        with_room += any(
            free > 0
            for at, free in simulation.free_at
            if request.refused_at < at <= until
        )
    return with_room / max(1, len(refused))


def compare(
    names: collections.abc.Sequence[str],
    variants: collections.abc.Sequence[str],
    seeds: collections.abc.Sequence[int],
    options: patterns.Options,
    progress: collections.abc.Callable[[str], None] = lambda line: None,
) -> report.Report:
    """Report a row for each pattern and variant: means and paired differences.

    Raises ``registry.OptionError``.
    """
    _check("pattern", names, patterns.PATTERNS)
    _check("variant", variants, (BASE, *mechanisms.NAMES))
    ordered = [BASE, *(v for v in variants if v != BASE)]
    found = report.Report(NAME)
    for pattern in names:
        base: list[Figures] = []
        for variant in ordered:
            played = []
            for seed in seeds:
                seed_figures, series = play(pattern, variant, seed, options)
                played.append(seed_figures)
                found.series.append(series)
                progress(series.label)
            base = base or played
            found.rows.append(_row(pattern, variant, played, base))
    return found


def _check(
    kind: str,
    names: collections.abc.Iterable[str],
    known: collections.abc.Collection[str],
) -> None:
    for name in names:
        if name not in known:
            listed = ", ".join(sorted(known))
            raise registry.OptionError(f"unknown {kind} {name}; there are: {listed}")


def _row(
    pattern: str, variant: str, played: list[Figures], base: list[Figures]
) -> dict:
    row: dict = {"pattern": pattern, "variant": variant, "seeds": len(played)}
    for name in COMPARED:
        values = [getattr(each, name) for each in played]
        row[name] = round(statistics.mean(values), 4)
        if variant != BASE:
            pairs = zip(values, (getattr(each, name) for each in base), strict=True)
            differences = [value - before for value, before in pairs]
            row[f"{name}_diff"] = round(statistics.mean(differences), 4)
            if len(differences) > 1:
                row[f"{name}_spread"] = round(statistics.stdev(differences), 4)
    return row


def main(
    pattern: str = "",
    variant: str = "",
    seeds: int = DEFAULT_SEEDS,
    out: str = "",
    **sizes: float,
) -> report.Report:
    """Compare variants; names are separated by commas, ``sizes`` set the options."""
    known_sizes = {field.name for field in attrs.fields(patterns.Options)}
    _check("size", sizes, known_sizes)
    found = compare(
        _split(pattern) or list(patterns.PATTERNS),
        _split(variant) or [BASE],
        range(1, seeds + 1),
        patterns.Options(**sizes),
        lambda line: print(line, file=sys.stderr, flush=True),
    )
    if out:
        text = json.dumps(found.rows, indent=1)
        pathlib.Path(out).write_text(text, encoding="utf-8")
    return found


def _split(names: str | collections.abc.Sequence[str]) -> list[str]:
    """Return names that the command line gives as text or as a list."""
    if isinstance(names, str):
        return [name for name in names.split(",") if name]
    return list(names)
