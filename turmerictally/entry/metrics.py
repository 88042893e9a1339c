"""Expose an entry host's counters and latencies to monitoring systems."""

import time
import typing

import prometheus_client
import prometheus_client.core
import prometheus_client.registry

from turmerictally.metrics import exposition

if typing.TYPE_CHECKING:
    from turmerictally.entry import host

MAX_PARTS = 20  # per family, those refused most
MAX_TEAMS = 20  # per family, those with the highest values
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


def text(served: "host.Host") -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(exposition.Families(_families(served)))
    return prometheus_client.generate_latest(registry)


def _families(served: "host.Host") -> list[prometheus_client.core.Metric]:
    gauge = prometheus_client.core.GaugeMetricFamily
    prefix = exposition.PREFIX
    events = prometheus_client.core.CounterMetricFamily(
        f"{prefix}_log_events", "Log lines by event.", labels=["event"]
    )
    for event, count in served.trace.counts.items():
        events.add_metric([event], count)
    ages = gauge(f"{prefix}_copy_age_seconds", "Age of copies.", labels=["table"])
    for name, watch in served.watches.items():
        ages.add_metric([name], min(watch.age_s(), 1e6))
    servers = gauge(f"{prefix}_servers", "Registered, by state.", labels=["state"])
    for state, count in served.registry.counts().items():
        servers.add_metric([state], count)
    slowness = gauge(
        f"{prefix}_server_slowness", "Learned, 1 is usual.", labels=["server"]
    )
    host_counts = gauge(
        f"{prefix}_server_speed_hosts", "Hosts that timed it.", labels=["server"]
    )
    speed_age = gauge(
        f"{prefix}_server_speed_age_seconds", "Since learned.", labels=["server"]
    )
    tracker = served.inflight.speed_tracker
    for name, estimate in tracker.estimates.items() if tracker is not None else ():
        slowness.add_metric([name], estimate.slowness)
        host_counts.add_metric([name], estimate.hosts)
        speed_age.add_metric([name], estimate.age_s(served.clock.monotonic()))
    failover_budget = served.forwarder.failover_budget
    view = served.active_configuration.current
    return [
        events,
        ages,
        servers,
        slowness,
        host_counts,
        speed_age,
        exposition.latency_family(served.latencies.histograms),
        gauge(
            f"{prefix}_configuration_version", "Version.", view.version if view else 0
        ),
        gauge(
            f"{prefix}_paths_lost",
            "1 if no server is reached.",
            int(served.inflight.reach.lost_since is not None),
        ),
        gauge(f"{prefix}_caller_connections", "Open.", served.callers.open_connections),
        gauge(f"{prefix}_requests_running", "Running.", served.callers.active_requests),
        gauge(f"{prefix}_items_waiting", "Batch.", len(served.worker.waiting_items())),
        gauge(
            f"{prefix}_held_bytes",
            "For others.",
            served.callers.memory.reserved_bytes,
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_refused_for_memory",
            "Unread.",
            served.callers.memory.refusals,
        ),
        gauge(f"{prefix}_response_bytes", "Held.", served.responses.held_bytes),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_responses_dropped",
            "Of servers whose responses held too much.",
            served.responses.dropped,
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_streams_switched",
            "Begun late and offered to another server.",
            failover_budget.failovers if failover_budget else 0,
        ),
        gauge(f"{prefix}_quota_share", "Of all hosts.", served.quotas.share),
        *_team_families(served),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_process_cpu_seconds", "Processor.", time.process_time()
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_wake_ups", "Of the process.", served.loop_monitor.wake_ups
        ),
        exposition.duration_family(
            "loop_busy_seconds",
            "Of passes of the event loop, in which no other task runs.",
            served.loop_monitor.busy_times,
            served.loop_monitor.short_passes,
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_server_connections", "Opened.", served.pool.opened
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_server_connections_abandoned",
            "Reset in the middle of an exchange.",
            served.pool.abandoned,
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_server_connections_passed_over",
            "Idle, but had carried the request's id.",
            served.pool.passed_over,
        ),
        _unsupported_promises(served),
        _stopping(served),
        _taken_up(served),
        _identified(served),
        *_evacuated(served),
        *_cold(served),
        *_limited(served),
        *_prompts(served),
        *_requests(served),
    ]


def _requests(served: "host.Host") -> list[prometheus_client.core.Metric]:
    crashes = prometheus_client.core.GaugeMetricFamily(
        f"{exposition.PREFIX}_quarantined_request_crashes",
        "Servers that crashed under a quarantined request.",
        labels=["identity"],
    )
    for identity, found in served.requests.quarantined.items():
        crashes.add_metric([identity], found.crashes)
    refused = prometheus_client.core.CounterMetricFamily(
        f"{exposition.PREFIX}_refused_crashing_requests",
        "Refused, as servers crashed under the same request.",
        served.requests.refused,
    )
    return [crashes, refused]


def _prompts(served: "host.Host") -> list[prometheus_client.core.Metric]:
    crashes = prometheus_client.core.GaugeMetricFamily(
        f"{exposition.PREFIX}_quarantined_prompt_part_crashes",
        "Servers that crashed under a quarantined part.",
        labels=["part", "work"],
    )
    for guard in (served.prompts, served.item_prompts):
        for part, found in guard.quarantine.quarantined.items():
            crashes.add_metric([part, guard.work], found.crashes)
    refused = prometheus_client.core.CounterMetricFamily(
        f"{exposition.PREFIX}_refused_prompts",
        "Requests refused for a quarantined part.",
        labels=["part"],
    )
    for part, count in served.prompts.refusals.most_common(MAX_PARTS):
        refused.add_metric([part], count)
    return [crashes, refused]


def _unsupported_promises(served: "host.Host") -> prometheus_client.core.Metric:
    responses = prometheus_client.core.CounterMetricFamily(
        f"{exposition.PREFIX}_unsupported_promises",
        "Responses whose status says not run, without the server's statement.",
        labels=["status"],
    )
    for status, count in served.forwarder.unsupported_promises.items():
        responses.add_metric([str(status)], count)
    return responses


def _stopping(served: "host.Host") -> prometheus_client.core.Metric:
    requests = prometheus_client.core.CounterMetricFamily(
        f"{exposition.PREFIX}_stop_requests",
        "Decisions on requests during a planned stop.",
        labels=["outcome"],
    )
    for outcome, count in served.shutdown.outcomes.items():
        requests.add_metric([outcome], count)
    return requests


def _taken_up(served: "host.Host") -> prometheus_client.core.Metric:
    streams = prometheus_client.core.CounterMetricFamily(
        f"{exposition.PREFIX}_streams_taken_up",
        "Streams that callers took up after a broken connection.",
        labels=["outcome"],
    )
    for outcome, count in served.resumption.outcomes.items():
        streams.add_metric([outcome], count)
    return streams


def _identified(served: "host.Host") -> prometheus_client.core.Metric:
    servers = prometheus_client.core.CounterMetricFamily(
        f"{exposition.PREFIX}_servers_identified",
        "Servers that were asked which of their processes serves.",
        labels=["outcome"],
    )
    for outcome, count in served.incarnations.outcomes.items():
        servers.add_metric([outcome], count)
    return servers


def _evacuated(served: "host.Host") -> list[prometheus_client.core.Metric]:
    def family(name: str, text: str) -> prometheus_client.core.Metric:
        return prometheus_client.core.GaugeMetricFamily(
            f"{exposition.PREFIX}_evacuated_domain_{name}", text, labels=["domain"]
        )

    ages = family("age_seconds", "Since this host knows of the evacuation.")
    running = family("requests", "This host's requests and items that run there.")
    confirmed = family("hosts", "Hosts, with this one, that know of it.")
    now = served.clock.monotonic()
    table = served.configuration_watch.name
    for domain, evacuated in served.availability.evacuations.current.items():
        ages.add_metric([domain], now - evacuated.seen_at)
        running.add_metric(
            [domain], served.availability.count_running(domain, served.inflight)
        )
        hosts = 1 + served.availability.count_confirmations(table, evacuated.version)
        confirmed.add_metric([domain], hosts)
    return [ages, running, confirmed]


def _cold(served: "host.Host") -> list[prometheus_client.core.Metric]:
    def family(name: str, text: str) -> prometheus_client.core.Metric:
        return prometheus_client.core.GaugeMetricFamily(
            f"{exposition.PREFIX}_cold_server_{name}", text, labels=["server"]
        )

    permits = family("permits", "This host's sends a period, at most.")
    sent = family("sent", "What this host sent since the server is cold.")
    remaining = family("left_seconds", "Until the server counts as warm.")
    now = served.clock.monotonic()
    budgets = served.availability.budgets
    for name, cold_server in budgets.servers.items():
        if budgets.is_cold(name, now):
            permits.add_metric([name], budgets.owned_permits(name, now))
            sent.add_metric([name], cold_server.sent)
            remaining.add_metric([name], cold_server.until - now)
    return [permits, sent, remaining]


def _limited(served: "host.Host") -> list[prometheus_client.core.Metric]:
    def family(name: str, text: str) -> prometheus_client.core.Metric:
        return prometheus_client.core.GaugeMetricFamily(
            f"{exposition.PREFIX}_server_limit_{name}", text, labels=["server"]
        )

    rates = family("per_second", "Requests that it takes from all hosts.")
    permits = family("permits", "This host's part of the rate.")
    ages = family("age_seconds", "Since a response named it.")
    now = served.clock.monotonic()
    limits, budgets = served.availability.limits, served.availability.budgets
    for name, found in limits.latest.items():
        per_s = limits.per_s(name, now)
        if per_s is not None and name in budgets.servers:
            rates.add_metric([name], per_s)
            permits.add_metric([name], budgets.owned_permits(name, now))
            ages.add_metric([name], now - found.seen_at)
    return [rates, permits, ages]


def _team_families(served: "host.Host") -> list[prometheus_client.core.Metric]:
    """Return the teams' demands, fair shares, waiting times and refusals."""
    admission = served.admission
    if admission is None:
        return []
    prefix = exposition.PREFIX
    gauge = prometheus_client.core.GaugeMetricFamily
    counter = prometheus_client.core.CounterMetricFamily
    labels = ["service", "team"]
    demand = gauge(f"{prefix}_team_demand_slots", "Over all hosts.", labels=labels)
    share = gauge(f"{prefix}_team_share_slots", "Of all slots.", labels=labels)
    now = served.clock.monotonic()
    team_demand = admission.wait_queue.demand
    for service in team_demand.services():
        slots = sum(load.slots for load in served.inflight.server_loads(service))
        demands, shares = (
            team_demand.demands(service, now),
            team_demand.shares(service, slots, now),
        )
        for team in sorted(demands, key=demands.get, reverse=True)[:MAX_TEAMS]:
            demand.add_metric([service, team], demands[team])
            share.add_metric([service, team], shares[team])
    waited = counter(f"{prefix}_team_waited_seconds", "Here.", labels=["team"])
    refused = counter(f"{prefix}_team_refused", "For want of room.", labels=["team"])
    for family, counts in (
        (waited, admission.wait_s_by_team),
        (refused, admission.refusals_by_team),
    ):
        for team, count in counts.most_common(MAX_TEAMS):
            family.add_metric([team], count)
    waiting = len(admission.wait_queue.requests)
    return [
        demand,
        share,
        waited,
        refused,
        gauge(f"{prefix}_callers_waiting", "For a server.", waiting),
    ]
