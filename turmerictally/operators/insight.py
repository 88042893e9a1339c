"""Endpoints for metrics, and for decisions and latencies gathered from all hosts."""

import json

import attrs
import quart
import trio

from turmerictally import errors
from turmerictally.metrics import decisions, exposition, latency, refusals
from turmerictally.metrics import host as metrics_host
from turmerictally.peers import bridge, calls

blueprint = quart.Blueprint("insight", __name__)

CALL_TIMEOUT_S = 3.0
MAX_CONCURRENT_CALLS = 16
PERCENTILES = (50, 95, 99)


@attrs.frozen
class HostMeasures:
    """One host's latencies and refusals, serialized for other hosts."""

    totals: str
    first_tokens: str
    refusals: str


def register(peers: calls.Peers, metrics: metrics_host.Metrics) -> None:
    """Register the handlers for other hosts' requests for this host's data."""

    async def explain(caller: calls.Caller, body: bytes) -> bytes:
        history = metrics.decisions.lookup(body.decode())
        return decisions.encode(history)

    async def measures(caller: calls.Caller, body: bytes) -> bytes:
        return json.dumps(attrs.asdict(local_measures(metrics))).encode()

    peers.handle(calls.Kind.EXPLAIN, explain)
    peers.handle(calls.Kind.MEASURES, measures)


def local_measures(metrics: metrics_host.Metrics) -> HostMeasures:
    """Return this host's total and per-team first-token latencies and its refusals."""
    histograms = metrics.latencies.histograms
    first_tokens = {
        series: histogram
        for series, histogram in histograms.items()
        if series.measure is latency.Measure.FIRST_TOKEN
    }
    return HostMeasures(
        latency.encode_totals(histograms).decode(),
        latency.encode(first_tokens).decode(),
        refusals.encode(metrics.refusals.windows).decode(),
    )


@blueprint.get("/metrics")
async def scrape() -> quart.Response:
    """Return this host's metrics in the Prometheus text format."""
    host = _host()
    sources = exposition.Sources(
        host.metrics,
        host.platform.guard,
        host.peers.traffic,
        bridge.shared().cpu_s,
        lambda: _batch_events(host),
    )
    text = await exposition.render(sources)
    return quart.Response(text, content_type=exposition.CONTENT_TYPE)


@blueprint.get("/v1/explain/<path:id>")
async def explain(id: str) -> dict:
    """Return the decisions of all reachable hosts on a request or job."""
    bodies = await _call_live_hosts(calls.Kind.EXPLAIN, id.encode())
    remote = [decisions.decode(body) for body in bodies]
    local = _host().metrics.decisions.lookup(id)
    histories = [history for history in (local, *remote) if history is not None]
    if not histories:
        raise errors.Error(errors.Kind.NOT_FOUND, "No host remembers this id.")
    merged = decisions.merge(histories)
    rows = [
        {"at": entry.at, "event": entry.event, "fields": entry.fields}
        for entry in merged.entries
    ]
    return {"data": rows, "dropped": merged.dropped}


@blueprint.get("/v1/measures")
async def measures() -> dict:
    """Return fleet-wide latencies, the worst-served team and refusals within rates."""
    host = _host()
    bodies = await _call_live_hosts(calls.Kind.MEASURES, b"")
    parts = [HostMeasures(**json.loads(body)) for body in bodies]
    parts.append(local_measures(host.metrics))
    max_teams = host.metrics.max_teams
    totals = await latency.merge([part.totals.encode() for part in parts], max_teams)
    first_tokens = await latency.merge(
        [part.first_tokens.encode() for part in parts], max_teams
    )
    windows = refusals.merge([part.refusals.encode() for part in parts])
    contracts = host.configuration.replica.view.contracts
    rates = {team: contract.rate for team, contract in contracts.items()}
    worst = latency.worst_served(
        first_tokens, latency.Measure.FIRST_TOKEN, latency.Work.ONLINE, 95
    )
    return {
        "hosts_answered": len(parts),
        "latency": _percentiles(totals),
        "worst_served": None if worst is None else {"team": worst[0], "p95": worst[1]},
        "wrongful_refusals": dict(refusals.refusals_within_rate(windows, rates)),
    }


def _host():
    return quart.current_app.extensions["host"]


def _batch_events(host) -> dict[str, int]:
    tally = attrs.asdict(host.executor.tally)
    tally.pop("pending_bytes", None)
    return tally | {"yielded": host.online.gate.preempted_total}


def _percentiles(histograms: latency.Histograms) -> dict[str, dict[str, float]]:
    rows = {}
    for series, histogram in histograms.items():
        counts = latency.cumulative_counts(histogram)
        values = {
            f"p{q}": latency.percentile_from_counts(counts, q) for q in PERCENTILES
        }
        name = f"{series.work.value} {series.measure.value}"
        rows[name] = values | {"count": counts[-1]}
    return rows


async def _call_live_hosts(kind: calls.Kind, body: bytes) -> list[bytes]:
    """Return the response bodies of the live hosts that respond in time."""
    host = _host()
    deadline = host.clock.monotonic() + CALL_TIMEOUT_S
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
    responses: list[bytes] = []

    async def call_host(address: str) -> None:
        async with limiter:
            try:
                call = host.peers.call(address, kind, body, deadline=deadline)
                responses.append(await call)
            except errors.Error:
                return

    async with trio.open_nursery() as nursery:
        for member in host.configuration.members.live():
            nursery.start_soon(call_host, member.address)
    return responses
