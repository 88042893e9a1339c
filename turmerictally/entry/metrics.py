"""Expose an entry host's counters and latencies to monitoring systems."""

import time
import typing

import prometheus_client
import prometheus_client.core
import prometheus_client.registry

from turmerictally.metrics import exposition

if typing.TYPE_CHECKING:
    from turmerictally.entry import host

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


def text(served: "host.Host") -> bytes:
    """Return all measurements as text."""
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
    told = gauge(
        f"{prefix}_server_speed_hosts", "Hosts that timed it.", labels=["server"]
    )
    speed_age = gauge(
        f"{prefix}_server_speed_age_seconds", "Since learned.", labels=["server"]
    )
    learner = served.inflight.learner
    for name, found in learner.known.items() if learner is not None else ():
        slowness.add_metric([name], found.slowness)
        told.add_metric([name], found.hosts)
        speed_age.add_metric([name], found.age_s(served.clock.monotonic()))
    switches = served.relay.switches
    view = served.configured.current
    return [
        events,
        ages,
        servers,
        slowness,
        told,
        speed_age,
        exposition.latency_family(served.latencies.histograms),
        gauge(
            f"{prefix}_configuration_version", "Version.", view.version if view else 0
        ),
        gauge(f"{prefix}_caller_connections", "Open.", served.callers.open),
        gauge(f"{prefix}_requests_running", "Running.", served.callers.busy),
        gauge(f"{prefix}_items_waiting", "Batch.", len(served.worker.waiting())),
        gauge(f"{prefix}_held_bytes", "For others.", served.callers.held.bytes),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_refused_for_memory", "Unread.", served.callers.held.refused
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_streams_switched",
            "Begun late and offered to another server.",
            switches.switched if switches else 0,
        ),
        gauge(f"{prefix}_quota_share", "Of all hosts.", served.allowances.share),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_process_cpu_seconds", "Processor.", time.process_time()
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_server_connections", "Opened.", served.pool.opened
        ),
        prometheus_client.core.CounterMetricFamily(
            f"{prefix}_server_connections_abandoned",
            "Reset in the middle of an exchange.",
            served.pool.abandoned,
        ),
    ]
