"""Count requests in flight on each backend server, over all hosts."""

import collections
import collections.abc
import typing

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import availability as availabilities
from turmerictally.entry import ejection, gossip, model
from turmerictally.entry import registry as registries
from turmerictally.entry import trace as traces
from turmerictally.routing import health
from turmerictally.scheduling import placement, server_speeds

# Failures in a row before a server is left out: one in fifty answers may be spoilt by
# a sound server, two in a row are rare.
UNHEALTHY_AFTER = 2
PROBE_S = 0.8  # until one request may test it; well under the callers' deadlines
# Between two judgements of the servers by what other hosts tell; own failures are
# judged at once.
JUDGE_S = 0.25
# An own success this recent goes before what other hosts tell of a server, which may
# fail on their way only.
TRUSTED_S = 1.0


@attrs.define(eq=False)
class InFlight:
    """Combine this host's requests with what the other hosts tell of theirs."""

    registry: registries.Registry
    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    ejector: ejection.Ejector
    availability: availabilities.Availability
    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: collections.Counter[str] = attrs.field(factory=collections.Counter)
    last_success_at: dict[str, float] = attrs.Factory(dict)
    on_failure: collections.abc.Callable[[], None] = lambda: None
    on_change: collections.abc.Callable[[], None] = lambda: None
    on_finished: collections.abc.Callable[[str], None] = lambda server: None
    last_evaluated_at: float = float("-inf")
    speed_tracker: server_speeds.SpeedTracker | None = None
    peaks: placement.PeakLoads = attrs.field(factory=placement.PeakLoads)
    recent_outcomes: ejection.RecentOutcomes = attrs.field(
        factory=ejection.RecentOutcomes
    )
    circuits: health.CircuitBreakers = attrs.field(
        factory=lambda: health.CircuitBreakers(UNHEALTHY_AFTER, PROBE_S)
    )

    def server_loads(
        self, service: str, *, exclude: frozenset[str] = frozenset()
    ) -> list[placement.ServerLoad]:
        """Return the load of each server that may get a request now."""
        now = self.clock.monotonic()
        usable = [
            server
            for server in self.registry.usable(service)
            if self.availability.accepts_requests(server, now)
        ]
        left_out = self.ejector.left_out([s.instance for s in usable], now)
        servers = [s for s in usable if s.instance not in exclude]
        healthy = [
            s
            for s in servers
            if s.instance not in left_out and self.circuits.allows(s.instance, now)
        ]
        told = self.hosts.totals.failing
        trusted = [
            s
            for s in healthy
            if s.instance not in told
            or now - self.last_success_at.get(s.instance, float("-inf")) < TRUSTED_S
        ]
        # With none left, a server that failed is better than no answer.
        own = self.recent_outcomes.counts(now)
        learned = self._learned(usable, now)
        return [
            self._load_of(server, own, now, learned)
            for server in trusted or healthy or servers
        ]

    def reserve_permit(self, name: str) -> None:
        """Count a request that is about to be sent to a server."""
        self.availability.budgets.reserve(name, self.clock.monotonic())

    def use_permit(self, name: str) -> None:
        """Note that a reserved request is sent now, or given up."""
        self.availability.budgets.record_send(name, self.clock.monotonic())

    def add_online(self, name: str, more: int) -> None:
        """Count a request of a caller that begins at a server, or ends (-1)."""
        self.online[name] += more
        self.on_change()
        if more < 0:
            self.on_finished(name)

    def add_batch(self, name: str, more: int) -> None:
        """Count a batch item that begins at a server, or ends (-1)."""
        self.batch[name] += more
        self.on_change()
        if more < 0:
            self.on_finished(name)

    def record_first_event(self, name: str, seconds: float) -> None:
        """Note the time from a request to its first event."""
        if self.speed_tracker is not None and self.excess_requests(name) <= 0:
            # With no slot free it is the time that the request waited for one.
            self.speed_tracker.record_first_event(name, seconds, self.clock.monotonic())

    def record_events(self, name: str, events: int, seconds: float) -> None:
        """Note the time that a server took for so many events."""
        if self.speed_tracker is not None:
            now = self.clock.monotonic()
            self.speed_tracker.record_events(name, events, seconds, now)

    def speed_estimate(self, name: str) -> server_speeds.SpeedEstimate:
        """Return what was learned of a server last."""
        known = {} if self.speed_tracker is None else self.speed_tracker.estimates
        return known.get(name, server_speeds.DEFAULT_ESTIMATE)

    def speed_log_fields(self, name: str) -> dict[str, typing.Any]:
        """Return the log fields that tell what a server's learned speed rests on."""
        if self.speed_tracker is None:
            return {}
        found = self.speed_estimate(name)
        return {
            "slowness": round(found.slowness, 2),
            "speed_hosts": found.hosts,
            "speed_age_s": round(found.age_s(self.clock.monotonic()), 2),
        }

    def record_success(self, name: str) -> None:
        """Note that a server answered."""
        now = self.clock.monotonic()
        self.last_success_at[name] = now
        self.recent_outcomes.note(name, True, now)
        self.circuits.succeeded(name)

    def record_failure(self, name: str, *, refused: bool) -> None:
        """Note that a server did not answer; ``refused`` when not even connected."""
        now = self.clock.monotonic()
        self.circuits.failed(name, now, refused=refused)
        if refused:
            # The way there may be cut; the circuit tests it again soon.
            return
        self.recent_outcomes.note(name, False, now)
        self.evaluate_servers()
        self.on_failure()

    def record_error_response(self, name: str) -> None:
        """Note that a server answered with an error of its own."""
        self.recent_outcomes.note(name, False, self.clock.monotonic())
        self.evaluate_servers()
        self.on_failure()

    def evaluate_servers(self) -> None:
        """Judge the servers by what all hosts saw lately."""
        now = self.clock.monotonic()
        self.last_evaluated_at = now
        own = self.recent_outcomes.counts(now)
        failing = {name for name, (_, failed) in own.items() if failed}
        failing |= self.hosts.totals.failed.keys()
        for name in failing & self.registry.servers.keys():
            outcomes = self._outcomes(name, own)
            if self.ejector.judge(name, outcomes, now):
                found = self.ejector.ejected[name]
                self.trace.emit(
                    "server_ejected",
                    server=name,
                    outcomes=[[d, good, n] for (d, good), n in outcomes.items()],
                    times=found.times,
                    for_s=round(found.until - now, 2),
                )

    def evaluate_if_due(self) -> None:
        """Judge the servers again now and then, as digests come."""
        if self.clock.monotonic() >= self.last_evaluated_at + JUDGE_S:
            self.evaluate_servers()

    def open_circuits(self) -> list[str]:
        """Return the servers that this host leaves out."""
        found = self.circuits.circuits.items()
        return [name for name, circuit in found if circuit.open]

    def remove_server(self, name: str) -> None:
        """Drop a server that is gone."""
        del self.online[name]
        self.reset_server(name)

    def reset_server(self, name: str) -> None:
        """Forget how a server did before it was started again."""
        self.last_success_at.pop(name, None)
        self.circuits.forget(name)
        self.peaks.remove(name)
        self.ejector.forget(name)
        if self.speed_tracker is not None:
            self.speed_tracker.remove(name)

    def _outcomes(self, name: str, own: dict[str, list[int]]) -> ejection.Outcomes:
        counts = collections.Counter(self.hosts.totals.outcomes.get(name, ()))
        answered, failed = own.get(name, (0, 0))
        counts[self.ejector.domain, True] += answered
        counts[self.ejector.domain, False] += failed
        return counts

    def _learned(
        self, servers: list[model.Server], now: float
    ) -> dict[str, server_speeds.SpeedEstimate]:
        """Return what is expected of one service's servers, nothing when off."""
        if self.speed_tracker is None:
            return {}
        return self.speed_tracker.estimate([server.instance for server in servers], now)

    def _load_of(
        self,
        server: model.Server,
        own: dict[str, list[int]],
        now: float,
        learned: dict[str, server_speeds.SpeedEstimate],
    ) -> placement.ServerLoad:
        name = server.instance
        expected = learned.get(name, server_speeds.DEFAULT_ESTIMATE)
        batch = self.hosts.totals.batch.get(name, {})
        if self.batch[name]:
            batch = batch | {self.hosts.host_id: self.batch[name]}
        trial = self.ejector.on_trial(name, now)
        online = self.online[name] + self.hosts.totals.online[name]
        return placement.ServerLoad(
            name=name,
            domain=server.domain,
            # One request at a time tests a server that was left out.
            slots=1 if trial else server.slots,
            online=online,
            online_peak=self._peak(name, online, now),
            batch_by_host=batch,
            reliability=self.ejector.reliability(self._outcomes(name, own)),
            on_probation=trial,
            max_batch_starts=self._item_room(name, now),
            slowness=expected.slowness,
            first_event_s=expected.first_event_s,
            event_interval_s=expected.event_interval_s,
            speed_is_stale=expected.is_stale(now),
        )

    def _item_room(self, name: str, now: float) -> int | None:
        """Return how many batch items a server may get, or None for no bound."""
        budgets = self.availability.budgets
        if not budgets.is_cold(name, now):
            return None
        return int(budgets.is_idle(name, now) and budgets.may_send(name, now))

    def _peak(self, name: str, online: int, now: float) -> int:
        """Return the most online requests lately, where counts are told through relays.

        Few hosts know each other's counts so soon that each free slot is worth taking.
        """
        return self.peaks.record(name, online, now) if self.hosts.relayed else online

    def update_peaks(self) -> None:
        """Follow how many slots online requests need, for batch items to come."""
        if not self.hosts.relayed:
            return
        now = self.clock.monotonic()
        for name in self.registry.servers:
            online = self.online[name] + self.hosts.totals.online[name]
            self.peaks.record(name, online, now)

    def excess_requests(self, name: str) -> int:
        """Return by how many requests a server is over its slots."""
        server = self.registry.servers.get(name)
        if server is None:
            return 0
        totals = self.hosts.totals
        batch = sum(totals.batch.get(name, {}).values()) + self.batch[name]
        online = self.online[name] + totals.online[name]
        slots = (
            1 if self.ejector.on_trial(name, self.clock.monotonic()) else (server.slots)
        )
        return online + batch - slots

    def server_load(self, name: str) -> placement.ServerLoad | None:
        """Return the load of one server."""
        server = self.registry.servers.get(name)
        if server is None:
            return None
        now = self.clock.monotonic()
        return self._load_of(server, self.recent_outcomes.counts(now), now, {})
