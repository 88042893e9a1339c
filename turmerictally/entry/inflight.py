"""Track requests in flight and outcomes on each backend server, over all hosts."""

import collections
import collections.abc
import typing

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import availability as availabilities
from turmerictally.entry import ejection, gossip, model
from turmerictally.entry import registry as registries
from turmerictally.entry import trace as traces
from turmerictally.scheduling import circuits as circuit_breakers
from turmerictally.scheduling import (
    mechanisms,
    placement,
    server_reach,
    server_speeds,
)

# Consecutive failures that open a server's circuit: a healthy server may fail one
# request in fifty, but rarely two in a row.
MAX_CONSECUTIVE_FAILURES = 2
PROBE_AFTER_S = 0.8  # until one request may test the server; well under the deadlines
# Between two evaluations of the outcomes that other hosts report; this host's failures
# are evaluated at once.
EVALUATION_INTERVAL_S = 0.25
# A success on this host this recently outweighs other hosts' reports of a failing
# server: the fault may lie in their connections only.
RECENT_SUCCESS_S = 1.0


@attrs.define(eq=False)
class InFlight:
    """Combine this host's requests and outcomes with those that other hosts report.

    ``online`` and ``batch`` count this host's requests in flight by server.
    """

    registry: registries.Registry
    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    ejector: ejection.Ejector
    availability: availabilities.Availability
    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch_urgencies: dict[str, list[int]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    last_success_at: dict[str, float] = attrs.Factory(dict)
    on_failure: collections.abc.Callable[[], None] = lambda: None
    on_paths_change: collections.abc.Callable[[], None] = lambda: None
    on_change: collections.abc.Callable[[], None] = lambda: None
    on_finished: collections.abc.Callable[[str], None] = lambda server: None
    last_evaluated_at: float = float("-inf")
    speed_tracker: server_speeds.SpeedTracker | None = None
    disabled: frozenset[mechanisms.Mechanism] = frozenset()
    peaks: placement.PeakLoads = attrs.field(factory=placement.PeakLoads)
    recent_outcomes: ejection.RecentOutcomes = attrs.field(
        factory=ejection.RecentOutcomes
    )
    reach: server_reach.ServerReach = attrs.field(factory=server_reach.ServerReach)
    circuits: circuit_breakers.CircuitBreakers = attrs.field(
        factory=lambda: circuit_breakers.CircuitBreakers(
            MAX_CONSECUTIVE_FAILURES, PROBE_AFTER_S
        )
    )

    def server_loads(
        self,
        service: str,
        *,
        exclude: frozenset[str] = frozenset(),
        trusted_only: bool = False,
        software: str | None = None,
    ) -> list[placement.ServerLoad]:
        """Return the loads of a service's servers that may get a request now.

        With ``software`` only servers of that version may.

        Servers that failed recently are among them only if no other is left, or no
        other has a free slot and a single host reports them; not at all with
        ``trusted_only``.
        """
        now = self.clock.monotonic()
        usable = [
            server
            for server in self.registry.usable(service)
            if self.availability.accepts_requests(server, now)
        ]
        ejected: set[str] = set()
        if mechanisms.Mechanism.EJECTION not in self.disabled:
            ejected = self.ejector.excluded([s.instance for s in usable], now)
        servers = [
            s
            for s in usable
            if s.instance not in exclude and software in (None, s.software)
        ]
        healthy = [
            s
            for s in servers
            if s.instance not in ejected and self.circuits.allows(s.instance, now)
        ]
        reported_failing = self.hosts.totals.failing
        trusted = [
            s
            for s in healthy
            if s.instance not in reported_failing
            or now - self.last_success_at.get(s.instance, float("-inf"))
            < RECENT_SUCCESS_S
        ]
        own_outcomes = self.recent_outcomes.counts(now)
        estimates = self._estimates(usable, now)
        chosen = trusted or healthy or servers
        if trusted_only:
            open_circuits = self.open_circuits()
            chosen = [s for s in trusted if s.instance not in open_circuits]
        # If no other is left, a server that failed is better than refusing the request.
        loads = [
            self._load_of(server, own_outcomes, now, estimates) for server in chosen
        ]
        if trusted_only or any(load.total < load.slots for load in loads):
            return loads
        # With a single report, the fault may lie in that host's connections.
        return loads + [
            self._load_of(server, own_outcomes, now, estimates)
            for server in healthy
            if server not in chosen and reported_failing[server.instance] <= 1
        ]

    def limits_per_s(self, service: str) -> dict[str, float]:
        """Return the limits that a service's servers named, in requests a second."""
        limits = self.availability.limits
        if not limits.latest:
            return {}
        now = self.clock.monotonic()
        named = {
            server.instance: limits.per_s(server.instance, now)
            for server in self.registry.usable(service)
        }
        return {name: per_s for name, per_s in named.items() if per_s is not None}

    def reserve_permit(self, name: str) -> None:
        """Reserve a restricted server's permit for a request about to be sent."""
        self.availability.budgets.reserve(name, self.clock.monotonic())

    def use_permit(self, name: str) -> None:
        """Use the reserved permit: the request is sent, or connecting failed."""
        self.availability.budgets.record_send(name, self.clock.monotonic())

    def add_online(self, name: str, change: int) -> None:
        """Change the number of callers' requests in flight on a server."""
        self.online[name] += change
        self.on_change()
        if change < 0:
            self.on_finished(name)

    def add_item(self, name: str, urgency: int) -> None:
        """Count a batch item in flight on a server."""
        self.batch[name] += 1
        self.batch_urgencies[name].append(urgency)
        self.on_change()

    def remove_item(self, name: str, urgency: int) -> None:
        """Stop counting a batch item on a server."""
        self.batch[name] -= 1
        self.batch_urgencies[name].remove(urgency)
        if not self.batch_urgencies[name]:
            del self.batch_urgencies[name]
        self.on_change()
        self.on_finished(name)

    def record_first_event(self, name: str, seconds: float) -> None:
        """Record the time from a request to its first event."""
        if self.speed_tracker is not None and self.excess_requests(name) <= 0:
            # Over its slots, a server queues requests and the time includes that wait.
            self.speed_tracker.record_first_event(name, seconds, self.clock.monotonic())

    def record_events(self, name: str, events: int, seconds: float) -> None:
        """Record the time that a server took for a number of events."""
        if self.speed_tracker is not None:
            now = self.clock.monotonic()
            self.speed_tracker.record_events(name, events, seconds, now)

    def speed_estimate(self, name: str) -> server_speeds.SpeedEstimate:
        """Return the latest speed estimate of a server."""
        estimates = {} if self.speed_tracker is None else self.speed_tracker.estimates
        return estimates.get(name, server_speeds.DEFAULT_ESTIMATE)

    def speed_log_fields(self, name: str) -> dict[str, typing.Any]:
        """Return log fields with a server's speed estimate, its age and its sources."""
        if self.speed_tracker is None:
            return {}
        estimate = self.speed_estimate(name)
        return {
            "slowness": round(estimate.slowness, 2),
            "speed_hosts": estimate.hosts,
            "speed_age_s": round(estimate.age_s(self.clock.monotonic()), 2),
        }

    def record_answer(self, sent_at: float) -> None:
        """Record that a server answers a request that was sent at ``sent_at``."""
        lost_since = self.reach.lost_since
        if self.reach.record_answer(sent_at, self.clock.monotonic()):
            self._report_paths_back(lost_since)

    def record_connected(self) -> None:
        """Record that a server accepted a connection of this host."""
        lost_since = self.reach.lost_since
        if self.reach.record_connected():
            self._report_paths_back(lost_since)

    def _report_paths_back(self, lost_since: float) -> None:
        lost_s = round(self.clock.monotonic() - lost_since, 3)
        self.trace.emit("paths_back", lost_s=lost_s)
        self.on_paths_change()
        self.on_failure()

    def record_no_answer(self, name: str, *, connecting: bool) -> None:
        """Record that a server ended a request, or refused a connection for it."""
        now = self.clock.monotonic()
        servers = self.registry.servers.keys()
        if not self.reach.record_failure(
            name, servers, self.hosts.peer_reaches, now, connecting=connecting
        ):
            return
        failed = self.reach.failed_servers()
        self.recent_outcomes.drop_failures()
        self.trace.emit(
            "paths_lost",
            failed=len(failed),
            of=len(servers),
            connecting=connecting,
            answered_s=traces.seconds(now - self.reach.answered_at),
        )
        for server in failed:
            self.circuits.forget(server)
        self.reconsider_ejections()
        self.on_paths_change()
        self.on_failure()

    def reconsider_ejections(self) -> None:
        """Take back ejections, as some hosts' failures were those of their paths."""
        now = self.clock.monotonic()
        own_outcomes = self.recent_outcomes.counts(now)
        for name in list(self.ejector.ejections):
            outcomes = self._outcomes(name, own_outcomes)
            if self.ejector.reconsider(name, outcomes, now):
                self.trace.emit("server_not_ejected", server=name)

    def record_success(self, name: str) -> None:
        """Record that a server responded without an error of its own."""
        now = self.clock.monotonic()
        self.last_success_at[name] = now
        self.recent_outcomes.record(name, True, now)
        self.circuits.succeeded(name)

    def record_failure(self, name: str, *, refused: bool) -> None:
        """Record a missing or truncated response; ``refused`` if connecting failed."""
        now = self.clock.monotonic()
        self.circuits.failed(name, now, refused=refused)
        self.record_no_answer(name, connecting=refused)
        if refused or self.reach.lost_since is not None:
            # Only the network path may have failed; the circuit soon allows a probe.
            return
        self.recent_outcomes.record(name, False, now)
        self.evaluate_servers()
        self.on_failure()

    def record_error_response(self, name: str) -> None:
        """Record an error response of the server, or a first event that came late."""
        self.recent_outcomes.record(name, False, self.clock.monotonic())
        self.evaluate_servers()
        self.on_failure()

    def evaluate_servers(self) -> None:
        """Eject servers whose recent outcomes on all hosts are bad enough."""
        now = self.clock.monotonic()
        self.last_evaluated_at = now
        own_outcomes = self.recent_outcomes.counts(now)
        failing = {name for name, (_, failed) in own_outcomes.items() if failed}
        failing |= self.hosts.totals.failed.keys()
        for name in failing & self.registry.servers.keys():
            outcomes = self._outcomes(name, own_outcomes)
            if self.ejector.update(name, outcomes, now):
                record = self.ejector.ejections[name]
                self.trace.emit(
                    "server_ejected",
                    server=name,
                    outcomes=[[d, good, n] for (d, good), n in outcomes.items()],
                    times=record.repeats,
                    for_s=round(record.until - now, 2),
                )

    def evaluate_if_due(self) -> None:
        """Evaluate the servers as digests arrive, at most once per interval."""
        if self.clock.monotonic() >= self.last_evaluated_at + EVALUATION_INTERVAL_S:
            self.evaluate_servers()

    def failing_servers(self) -> list[str]:
        """Return the servers that this host avoids, none if its own paths are lost."""
        return [] if self.reach.lost_since is not None else self.open_circuits()

    def open_circuits(self) -> list[str]:
        """Return the servers whose circuits are open on this host."""
        named_circuits = self.circuits.circuits.items()
        return [name for name, circuit in named_circuits if circuit.open]

    def remove_server(self, name: str) -> None:
        """Drop all state of a server that was removed."""
        del self.online[name]
        self.reset_server(name)

    def reset_server(self, name: str) -> None:
        """Drop a server's outcomes and speed from before its restart."""
        self.last_success_at.pop(name, None)
        self.circuits.forget(name)
        self.peaks.remove(name)
        self.ejector.remove(name)
        if self.speed_tracker is not None:
            self.speed_tracker.remove(name)

    def _outcomes(
        self, name: str, own_outcomes: dict[str, list[int]]
    ) -> ejection.Outcomes:
        counts = collections.Counter(self.hosts.totals.outcomes.get(name, ()))
        answered, failed = own_outcomes.get(name, (0, 0))
        counts[self.ejector.domain, True] += answered
        counts[self.ejector.domain, False] += failed
        return counts

    def _estimates(
        self, servers: list[model.Server], now: float
    ) -> dict[str, server_speeds.SpeedEstimate]:
        """Return the speed estimates of a service's servers, empty when disabled."""
        if self.speed_tracker is None:
            return {}
        return self.speed_tracker.estimate([server.instance for server in servers], now)

    def _load_of(
        self,
        server: model.Server,
        own_outcomes: dict[str, list[int]],
        now: float,
        estimates: dict[str, server_speeds.SpeedEstimate],
    ) -> placement.ServerLoad:
        name = server.instance
        estimate = estimates.get(name, server_speeds.DEFAULT_ESTIMATE)
        batch = self.hosts.totals.batch.get(name, {})
        if self.batch[name]:
            batch = batch | {self.hosts.host_id: self.batch[name]}
        on_probation = self.ejector.on_probation(name, now)
        online = self.online[name] + self.hosts.totals.online[name]
        return placement.ServerLoad(
            name=name,
            domain=server.domain,
            # A server on probation gets one request at a time.
            slots=1 if on_probation else server.slots,
            online=online,
            online_peak=self._peak(name, online, now),
            batch_by_host=batch,
            reliability=self._reliability(name, own_outcomes),
            on_probation=on_probation,
            max_batch_starts=self._item_room(name, now),
            slowness=estimate.slowness,
            first_event_s=estimate.first_event_s,
            event_interval_s=estimate.event_interval_s,
            speed_is_stale=estimate.is_stale(now),
        )

    def _reliability(self, name: str, own_outcomes: dict[str, list[int]]) -> float:
        if mechanisms.Mechanism.RELIABILITY in self.disabled:
            return 1.0
        return self.ejector.reliability(self._outcomes(name, own_outcomes))

    def _item_room(self, name: str, now: float) -> int | None:
        """Return how many batch items a restricted server may get, None for any."""
        budgets = self.availability.budgets
        if not budgets.is_restricted(name, now):
            return None
        return int(budgets.is_idle(name, now) and budgets.may_send(name, now))

    def _peak(self, name: str, online: int, now: float) -> int:
        """Return the peak of a server's online requests, if digests are relayed.

        Direct digests are fresh enough to use each free slot, so the current count is
        returned there.
        """
        return self.peaks.record(name, online, now) if self.hosts.relayed else online

    def update_peaks(self) -> None:
        """Update the peaks of online requests, which limit batch items."""
        if not self.hosts.relayed:
            return
        now = self.clock.monotonic()
        for name in self.registry.servers:
            online = self.online[name] + self.hosts.totals.online[name]
            self.peaks.record(name, online, now)

    def count_on(self, name: str) -> int:
        """Return how many requests and batch items of all hosts are on a server."""
        totals = self.hosts.totals
        batch = sum(totals.batch.get(name, {}).values()) + self.batch[name]
        return self.online[name] + totals.online[name] + batch

    def excess_requests(self, name: str) -> int:
        """Return by how many requests a server exceeds its slots."""
        server = self.registry.servers.get(name)
        if server is None:
            return 0
        slots = (
            1
            if self.ejector.on_probation(name, self.clock.monotonic())
            else (server.slots)
        )
        return self.count_on(name) - slots

    def server_load(self, name: str) -> placement.ServerLoad | None:
        """Return the load of a server with its items' urgencies, None if unknown."""
        server = self.registry.servers.get(name)
        if server is None:
            return None
        now = self.clock.monotonic()
        load = self._load_of(server, self.recent_outcomes.counts(now), now, {})
        urgencies = self.hosts.batch_urgencies(name)
        if name in self.batch_urgencies:
            urgencies[self.hosts.host_id] = self.batch_urgencies[name]
        return attrs.evolve(load, batch_urgencies=urgencies)
