"""Render a host's metrics in the Prometheus text format."""

import bisect
import collections.abc
import time
import typing

import attrs
import hdrh.histogram
import prometheus_client
import prometheus_client.core
import prometheus_client.registry
import trio

from turmerictally.metrics import host, latency
from turmerictally.peers import calls, traffic
from turmerictally.store import guard

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
PREFIX = "turmerictally"
BUCKET_BOUNDS_S = (
    0.005,
    0.01,
    0.02,
    0.035,
    0.053,
    0.08,
    0.12,
    0.25,
    0.5,
    0.91,
    1.5,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)
TEAM_PERCENTILES = (50.0, 95.0)

Family = prometheus_client.core.Metric


@attrs.frozen
class Sources:
    """The components whose metrics are rendered."""

    metrics: host.Metrics
    platform: guard.Guard | None = None
    peers: traffic.Traffic | None = None
    control_cpu_s: collections.abc.Callable[[], float] | None = None
    batch: collections.abc.Callable[[], dict[str, int]] | None = None


@attrs.frozen
class Summary:
    """One team's quantiles in seconds, in the order of ``TEAM_PERCENTILES``."""

    series: latency.Series
    quantiles: tuple[float, ...]


async def render(sources: Sources) -> bytes:
    """Render all metrics; yields to other tasks after each histogram."""
    histograms = sources.metrics.latencies.histograms
    summaries = []
    for series, histogram in list(histograms.items()):
        counts = latency.cumulative_counts(histogram)
        quantiles = tuple(
            latency.percentile_from_counts(counts, q) for q in TEAM_PERCENTILES
        )
        summaries.append(Summary(series, quantiles))
        await trio.lowlevel.checkpoint()
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(Families(list(_collect(sources, summaries))))
    # Rendering takes longer than the gap between two tokens of a stream, so it runs
    # in a worker thread.
    return await trio.to_thread.run_sync(prometheus_client.generate_latest, registry)


@attrs.frozen(eq=False)
class Families(prometheus_client.registry.Collector):
    """Collector over a fixed list of metric families, for one rendering."""

    families: list[Family]

    def collect(self) -> list[Family]:
        """Return the metric families."""
        return self.families


def _collect(
    sources: Sources, summaries: list[Summary]
) -> collections.abc.Iterator[Family]:
    metrics = sources.metrics
    yield latency_family(metrics.latencies.histograms)
    yield _team_latency(summaries)
    yield from _counters(metrics)
    yield _counter("process_cpu_seconds", [], [((), time.process_time())])
    if sources.platform is not None:
        yield _platform_calls(sources.platform)
    if sources.peers is not None:
        yield from _control_traffic(sources.peers)
    if sources.control_cpu_s is not None:
        yield _counter("control_cpu_seconds", [], [((), sources.control_cpu_s())])
    if sources.batch is not None:
        values = [((event,), n) for event, n in sources.batch().items()]
        yield _counter("batch_events", ["event"], values)


def latency_family(histograms: latency.Histograms) -> Family:
    """Return the latency histograms, summed over all teams."""
    family = prometheus_client.core.HistogramMetricFamily(
        f"{PREFIX}_latency_seconds",
        "Latency over all teams.",
        labels=["measure", "work"],
    )
    for measure in latency.Measure:
        for work in latency.Work:
            merged = latency.sum_over_teams(histograms, measure, work)
            buckets, sum_s = _buckets(merged)
            family.add_metric([measure.value, work.value], buckets, sum_s)
    return family


def duration_family(
    name: str, text: str, histogram: hdrh.histogram.HdrHistogram, short: int
) -> Family:
    """Return a histogram of durations, with ``short`` more below the first bound.

    Their sum counts those as 0.
    """
    buckets, sum_s = _buckets(histogram)
    return prometheus_client.core.HistogramMetricFamily(
        f"{PREFIX}_{name}",
        text,
        [(bound, count + short) for bound, count in buckets],
        sum_s,
    )


def _buckets(
    histogram: hdrh.histogram.HdrHistogram,
) -> tuple[list[tuple[str, float]], float]:
    upper_bounds = latency.upper_bounds()
    counts = latency.cumulative_counts(histogram)
    buckets = []
    for bound in BUCKET_BOUNDS_S:
        index = bisect.bisect_right(upper_bounds, bound) - 1
        buckets.append((str(bound), float(counts[index])))
    buckets.append(("+Inf", float(counts[-1])))
    sum_s = sum(
        upper_bound * count
        for upper_bound, count in zip(
            upper_bounds, latency.bucket_counts(histogram), strict=True
        )
        if count
    )
    return buckets, sum_s


def _team_latency(summaries: list[Summary]) -> Family:
    family = prometheus_client.core.GaugeMetricFamily(
        f"{PREFIX}_team_latency_seconds",
        "Latency quantiles of the busiest teams.",
        labels=["team", "measure", "work", "quantile"],
    )
    for summary in summaries:
        series = summary.series
        labels = [series.team, series.measure.value, series.work.value]
        for percent, value in zip(TEAM_PERCENTILES, summary.quantiles, strict=True):
            family.add_metric([*labels, f"{percent / 100:g}"], value)
    return family


def _counters(metrics: host.Metrics) -> collections.abc.Iterator[Family]:
    requests = [((r.work.value, r.outcome), n) for r, n in metrics.requests.items()]
    yield _counter("requests", ["work", "outcome"], requests)
    refused = [((kind.value,), n) for kind, n in metrics.refused.items()]
    yield _counter("refusals", ["kind"], refused)
    retries = [((reason,), n) for reason, n in metrics.retries.items()]
    yield _counter("retries", ["reason"], retries)
    yield _counter("cut_answers", [], [((), metrics.cut_answers)])


def _platform_calls(platform: guard.Guard) -> Family:
    values = [((c.service, c.lane, c.outcome), n) for c, n in platform.counts.items()]
    return _counter("platform_calls", ["service", "lane", "outcome"], values)


def _control_traffic(counts: traffic.Traffic) -> collections.abc.Iterator[Family]:
    sent, received = counts.sent_bytes, counts.received_bytes
    values = _label_by_kind("sent", sent) + _label_by_kind("received", received)
    yield _counter("control_bytes", ["direction", "kind"], values)
    sent, received = counts.sent_messages, counts.received_messages
    values = _label_by_kind("sent", sent) + _label_by_kind("received", received)
    yield _counter("control_messages", ["direction", "kind"], values)


def _label_by_kind(direction: str, counts: dict[int, int]) -> list[tuple]:
    values: dict[tuple[str, str], int] = {}
    for kind, count in counts.items():
        try:
            name = calls.Kind(kind).name.lower()
        except ValueError:
            name = "unknown"
        values[(direction, name)] = values.get((direction, name), 0) + count
    return list(values.items())


def _counter(
    name: str, labels: list[str], values: list[tuple[typing.Any, float]]
) -> Family:
    words = name.replace("_", " ")
    family = prometheus_client.core.CounterMetricFamily(
        f"{PREFIX}_{name}", f"Count of {words}.", labels=labels
    )
    for label_values, value in values:
        family.add_metric(list(label_values), value)
    return family
