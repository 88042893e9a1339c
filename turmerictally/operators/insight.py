"""Show operators measurements and decisions of the whole fleet."""

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
CALLS_AT_ONCE = 16
QUANTILES = (50, 95, 99)


@attrs.frozen
class Part:
    """Hold one host's share of the fleet's measures, encoded."""

    totals: str
    first_tokens: str
    refusals: str


def register(peers: calls.Peers, metrics: metrics_host.Metrics) -> None:
    """Answer other hosts' questions about this host."""

    async def explain(caller: calls.Caller, body: bytes) -> bytes:
        history = metrics.decisions.lookup(body.decode())
        return decisions.encode(history)

    async def measures(caller: calls.Caller, body: bytes) -> bytes:
        return json.dumps(attrs.asdict(own_part(metrics))).encode()

    peers.handle(calls.Kind.EXPLAIN, explain)
    peers.handle(calls.Kind.MEASURES, measures)


def own_part(metrics: metrics_host.Metrics) -> Part:
    """Return this host's measures: totals, and first tokens by team."""
    histograms = metrics.latencies.histograms
    first_tokens = {
        series: histogram
        for series, histogram in histograms.items()
        if series.measure is latency.Measure.FIRST_TOKEN
    }
    return Part(
        latency.encode_totals(histograms).decode(),
        latency.encode(first_tokens).decode(),
        refusals.encode(metrics.refusals.windows).decode(),
    )


@blueprint.get("/metrics")
async def scrape() -> quart.Response:
    """Return this host's measurements in the scraped format."""
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
    """Tell what every host that can be reached decided for a request or job."""
    answers = await _ask(calls.Kind.EXPLAIN, id.encode())
    found = [decisions.decode(answer) for answer in answers]
    own = _host().metrics.decisions.lookup(id)
    known = [history for history in (own, *found) if history is not None]
    if not known:
        raise errors.Error(errors.Kind.NOT_FOUND, "No host remembers this id.")
    merged = decisions.merge(known)
    rows = [
        {"at": entry.at, "event": entry.event, "fields": entry.fields}
        for entry in merged.entries
    ]
    return {"data": rows, "dropped": merged.dropped}


@blueprint.get("/v1/measures")
async def measures() -> dict:
    """Return latency over the fleet, the worst-served team and wrongful refusals."""
    host = _host()
    answers = await _ask(calls.Kind.MEASURES, b"")
    parts = [Part(**json.loads(answer)) for answer in answers]
    parts.append(own_part(host.metrics))
    limit = host.metrics.max_teams
    totals = await latency.merge([part.totals.encode() for part in parts], limit)
    firsts = await latency.merge([part.first_tokens.encode() for part in parts], limit)
    windows = refusals.merge([part.refusals.encode() for part in parts])
    contracts = host.configuration.replica.view.contracts
    rates = {team: contract.rate for team, contract in contracts.items()}
    worst = latency.worst_served(
        firsts, latency.Measure.FIRST_TOKEN, latency.Work.ONLINE, 95
    )
    return {
        "hosts_answered": len(parts),
        "latency": _quantiles(totals),
        "worst_served": None if worst is None else {"team": worst[0], "p95": worst[1]},
        "wrongful_refusals": dict(refusals.refusals_within_rate(windows, rates)),
    }


def _host():
    return quart.current_app.extensions["host"]


def _batch_events(host) -> dict[str, int]:
    tally = attrs.asdict(host.executor.tally)
    tally.pop("pending_bytes", None)
    return tally | {"yielded": host.online.gate.preempted_total}


def _quantiles(histograms: latency.Histograms) -> dict[str, dict[str, float]]:
    found = {}
    for series, histogram in histograms.items():
        counts = latency.cumulative_counts(histogram)
        values = {f"p{q}": latency.percentile_from_counts(counts, q) for q in QUANTILES}
        name = f"{series.work.value} {series.measure.value}"
        found[name] = values | {"count": counts[-1]}
    return found


async def _ask(kind: calls.Kind, body: bytes) -> list[bytes]:
    """Return the answers of all live hosts that answer in time."""
    host = _host()
    deadline = host.clock.monotonic() + CALL_TIMEOUT_S
    limiter = trio.CapacityLimiter(CALLS_AT_ONCE)
    answers: list[bytes] = []

    async def ask(address: str) -> None:
        async with limiter:
            try:
                call = host.peers.call(address, kind, body, deadline=deadline)
                answers.append(await call)
            except errors.Error:
                return

    async with trio.open_nursery() as nursery:
        for member in host.configuration.members.live():
            nursery.start_soon(ask, member.address)
    return answers
