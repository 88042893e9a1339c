"""Steps for metrics.feature."""

import contextlib
import random

import behave
import hypothesis
import prometheus_client.parser
import trio
from hypothesis import strategies

from turmerictally import errors, settings
from turmerictally.metrics import decisions, exposition, host, latency, refusals
from turmerictally.peers import calls, traffic
from turmerictally.store import guard

FIRST = latency.Measure.FIRST_TOKEN
ONLINE = latency.Work.ONLINE


class Clock:
    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now

    wall = monotonic


@behave.given("any latencies of many teams on many hosts")
def any_latencies(context):
    value = strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from("abcdef"),
        strategies.floats(0.0001, 4000),
    )
    context.values = strategies.lists(value, min_size=1, max_size=60)


@behave.then("the merged histogram equals one that recorded every value")
def merges(context):
    @hypothesis.settings(max_examples=50)
    @hypothesis.given(context.values)
    def check(values):
        now = Clock()
        hosts = [latency.Latencies(2, now) for _ in range(3)]
        reference = latency.Latencies(100, now)
        for number, team, seconds in values:
            hosts[number].record(FIRST, ONLINE, team, seconds)
            reference.record(FIRST, ONLINE, team, seconds)
            now.now += 7
        parts = [latency.encode(h.histograms) for h in hosts]
        merged = trio.run(latency.merge, parts, 3)
        expected = latency.sum_over_teams(reference.histograms, FIRST, ONLINE)
        actual = latency.sum_over_teams(merged, FIRST, ONLINE)
        library_value = expected.get_value_at_percentile(95) * latency.UNIT_S
        assert abs(latency.percentile(actual, 95) - library_value) < 1e-9
        totals = [latency.encode_totals(h.histograms) for h in hosts]
        summed = trio.run(latency.merge, totals, 3)
        assert list(latency.sum_over_teams(summed, FIRST, ONLINE).counts) == list(
            actual.counts
        )
        assert list(actual.counts) == list(expected.counts)
        assert len({series.team for series in merged} - {latency.OTHER}) <= 3

    check()


@behave.then("averaging percentiles instead would be wrong")
def averages_differ(context):
    hosts = [latency.Latencies(1, Clock()) for _ in range(2)]
    for _ in range(990):
        hosts[0].record(FIRST, ONLINE, "a", 0.1)
    for _ in range(10):
        hosts[1].record(FIRST, ONLINE, "a", 10.0)
    parts = [h.histograms for h in hosts]
    merged = trio.run(latency.merge, [latency.encode(part) for part in parts], 1)
    merged_p95 = latency.percentile(latency.sum_over_teams(merged, FIRST, ONLINE), 95)
    host_p95s = [
        latency.percentile(latency.sum_over_teams(p, FIRST, ONLINE), 95) for p in parts
    ]
    assert merged_p95 < 0.11 and sum(host_p95s) / 2 > 5


@behave.given("a host that serves 500 teams and exposes at most 10 by name")
def many_teams(context):
    context.clock = Clock()
    context.latencies = latency.Latencies(10, context.clock)
    rng = random.Random(1)
    for _ in range(5000):
        team = f"t{rng.randrange(500)}"
        context.latencies.record(FIRST, ONLINE, team, rng.random())
        context.clock.now += 0.1


def exposed_teams(latencies):
    return {series.team for series in latencies.histograms}


@behave.then('no more than 10 teams and "other" are exposed')
def teams_are_bounded(context):
    assert len(exposed_teams(context.latencies)) <= 11


@behave.then("a team that becomes busy gets a histogram of its own")
def busy_team_is_exposed(context):
    assert "newcomer" not in exposed_teams(context.latencies)
    for _ in range(2000):
        context.latencies.record(FIRST, ONLINE, "newcomer", 0.5)
        context.clock.now += 0.1
    assert "newcomer" in exposed_teams(context.latencies)
    assert len(exposed_teams(context.latencies)) <= 11


@behave.then("no value was lost")
def all_values_counted(context):
    merged = latency.sum_over_teams(context.latencies.histograms, FIRST, ONLINE)
    assert merged.get_total_count() == 7000


@behave.given("a host with requests, refusals and platform calls")
def busy_host(context):
    names = ("host_id", "region", "failure_domain", "peer_secret")
    minimal = dict.fromkeys(names, "x") | {"platform": {"url": "http://127.0.0.1:1"}}
    built = settings.build(minimal)
    context.clock = Clock()
    context.metrics = host.Metrics(built.metrics, context.clock)
    for team, wait in (("good", 0.1), ("bad", 1.5)):
        for _ in range(30):
            timer = context.metrics.start(team, ONLINE)
            context.metrics.count_admitted(team)
            context.clock.now += wait
            for _ in range(10):
                timer.record_token()
                context.clock.now += 0.02
            timer.finish()
            context.clock.now += 1
    context.metrics.count_admitted("good")
    cut = context.metrics.start("good", ONLINE)
    cut.finish(errors.Error(errors.Kind.ANSWER_INCOMPLETE))
    context.metrics.count_refused("good", errors.Kind.RATE_LIMITED)
    context.metrics.observe("r", "attempt", number=2)
    context.guard = guard.Guard(built.platform, now=context.clock)
    context.guard.counts[guard.CallCount("table", "control", "answered")] = 3
    context.traffic = traffic.Traffic()
    context.traffic.sent(calls.Kind.PING, 80)


@behave.then("the rendered text holds all of them and parses as Prometheus text")
def renders_all(context):
    sources = exposition.Sources(
        context.metrics,
        context.guard,
        context.traffic,
        lambda: 1.25,
        lambda: {"yielded": 4},
    )
    text = trio.run(exposition.render, sources).decode()
    families = prometheus_client.parser.text_string_to_metric_families(text)
    samples = {
        (s.name, *sorted(s.labels.values())): s.value
        for f in families
        for s in f.samples
    }
    prefix = "turmerictally_"
    assert samples[f"{prefix}cut_answers_total",] == 1
    assert samples[f"{prefix}batch_events_total", "yielded"] == 4
    assert samples[f"{prefix}retries_total", "attempt"] == 1
    assert samples[f"{prefix}refusals_total", "rate_limited"] == 1
    assert samples[f"{prefix}control_bytes_total", "ping", "sent"] == 80
    assert samples[f"{prefix}control_cpu_seconds_total",] == 1.25
    calls_name = f"{prefix}platform_calls_total"
    assert samples[calls_name, "answered", "control", "table"] == 3
    buckets = f"{prefix}latency_seconds_bucket"
    assert samples[buckets, "0.91", "first_token", "online"] == 30
    assert samples[buckets, "+Inf", "first_token", "online"] == 60
    slow = samples[
        f"{prefix}team_latency_seconds", "0.95", "bad", "first_token", "online"
    ]
    assert 1.45 < slow < 1.55


@behave.then("the worst-served team and refusals within the rate are found")
def finds_worst_served(context):
    histograms = context.metrics.latencies.histograms
    team, value = latency.worst_served(histograms, FIRST, ONLINE, 95)
    assert team == "bad" and value > 1.4
    part = refusals.encode(context.metrics.refusals.windows)
    merged = refusals.merge([part, part])
    assert refusals.refusals_within_rate(merged, {"good": 1.0}) == {"good": 2}
    # Together the two hosts exceeded this rate, so these refusals were justified.
    assert refusals.refusals_within_rate(merged, {"good": 0.3}) == {}


@behave.given("a decision log of 100 entries")
def decision_log(context):
    context.decisions = decisions.DecisionLog(100, Clock())


@behave.then("an id's decisions are returned in order")
def in_order(context):
    context.decisions.record("r1", "placed", server="s1", waited=0.2)
    context.decisions.record("r1", "failed", reason="x" * 1000)
    first, second = context.decisions.lookup("r1").entries
    assert (first.event, first.fields["server"]) == ("placed", "s1")
    assert len(second.fields["reason"]) < 300
    encoded = decisions.encode(context.decisions.lookup("r1"))
    assert decisions.decode(encoded) == context.decisions.lookup("r1")


@behave.then(
    "the oldest ids are evicted and a long history keeps its first and last entries"
)
def evicts_oldest(context):
    for number in range(300):
        context.decisions.record("long", "step", number=number)
    numbers = [e.fields["number"] for e in context.decisions.lookup("long").entries]
    assert numbers[0] == 0 and numbers[-1] == 299 and len(numbers) == 64
    for number in range(90):
        context.decisions.record(f"n{number}", "step")
    assert context.decisions.lookup("r1") is None
    assert context.decisions.lookup("n89") is not None
    assert context.decisions.entry_count <= 100


@behave.then("invalid responses of other hosts raise ValueError")
def rejects_invalid_input(context):
    readers = (
        decisions.decode,
        lambda part: trio.run(latency.merge, [part], 5),
        lambda part: refusals.merge([part]),
    )

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(
        strategies.binary(max_size=40)
        | strategies.sampled_from(
            [b"[]", b"{}", b'[["t","first_token","online","x"]]', b'{"1":{"t":[1]}}']
        )
    )
    def check(part):
        for reader in readers:
            with contextlib.suppress(ValueError):
                reader(part)

    check()
