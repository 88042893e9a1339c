"""Track which failure domains are evacuated and which servers are cold."""

import collections.abc
import typing

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import decoding, gossip, messages, model, registry
from turmerictally.entry import trace as traces
from turmerictally.scheduling import evacuation, server_limits, server_rates
from turmerictally.store import rows

if typing.TYPE_CHECKING:
    from turmerictally.entry import inflight

# After a longer suspension local copies are older than their reported age.
MAX_SUSPENDED_S = 0.5
REASON_EVACUATED = "domains evacuated"


@attrs.define(eq=False)
class Availability:
    """Decide which servers may get new requests, given evacuations and warm-up.

    ``written_at`` and ``renewed_at`` are the monotonic times at which this process
    first wrote and last renewed the host's own row. ``ignored_limits`` holds by server
    what it names as its limit if that is none.
    """

    read: model.ReadEvacuation
    active_configuration: registry.ActiveConfiguration
    registry: registry.Registry
    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    overshoot: float
    evacuations: evacuation.Evacuations = attrs.field(factory=evacuation.Evacuations)
    limits: server_limits.ServerLimits = attrs.field(factory=server_limits.ServerLimits)
    ignored_limits: dict[str, str] = attrs.Factory(dict)
    on_limit_change: collections.abc.Callable[[], None] = lambda: None
    budgets: server_rates.RateBudgets = attrs.field(init=False)
    has_servers: bool = False
    written_at: float = float("inf")
    renewed_at: float = float("-inf")
    suspended_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.suspended_s = self.clock.suspended()
        self.budgets = server_rates.RateBudgets(
            self.hosts.host_id,
            self._rate_of,
            self._view,
            self.overshoot,
            lambda server: self.limits.per_s(server, self.clock.monotonic()),
        )

    def record_head(self, server: model.Server, head: messages.ResponseHead) -> None:
        """Record what a response's head says of its server: its limit, its shutdown."""
        if head.leaving:
            self.registry.mark_leaving(server, "its answer")
        now = self.clock.monotonic()
        name = server.instance
        before = self.limits.per_s(name, now)
        if self.limits.record(name, server.born_ms, head.limit_per_s, now):
            self._log_limit(name, before, "its answer")
            self.on_limit_change()
        if head.limit_text or name in self.ignored_limits:
            self._record_ignored(server, head, now)

    def _record_ignored(
        self, server: model.Server, head: messages.ResponseHead, now: float
    ) -> None:
        """Log a limit that is none, once for as long as the server names it."""
        name, text = server.instance, head.limit_text
        before = self.ignored_limits.pop(name, None)
        if not text or self.limits.per_s(name, now) is not None:
            return
        self.ignored_limits[name] = text
        if len(self.ignored_limits) > server_limits.MAX_LIMITED_SERVERS:
            del self.ignored_limits[next(iter(self.ignored_limits))]
        if text != before:
            self.trace.emit(
                "server_limit_ignored",
                server=name,
                born_ms=server.born_ms,
                named=decoding.loggable(text),
                reason="not a rate" if head.limit_per_s is None else "out of reach",
            )

    def receive_limits(self, host: str, report: server_limits.Report) -> None:
        """Apply the limits of servers that another host saw."""
        now = self.clock.monotonic()
        before = {name: self.limits.per_s(name, now) for name in report}
        for name in self.limits.receive(report, now):
            self._log_limit(name, before[name], host)

    def _log_limit(self, name: str, before: float | None, source: str) -> None:
        found = self.limits.latest[name]
        self.trace.emit(
            "server_limit",
            server=name,
            born_ms=found.born_ms,
            per_s=found.per_s,
            before=before,
            age_s=round(self.clock.monotonic() - found.seen_at, 3),
            source=source,
        )

    def accepts_requests(self, server: model.Server, now: float) -> bool:
        """Return whether a server is in service and, if restricted, has a permit."""
        return not self.evacuations.is_evacuated(
            server.domain
        ) and self.budgets.may_send(server.instance, now)

    def unavailable_reason(self, service: str) -> str:
        """Return why no server of a service can take a request now."""
        usable = self.registry.usable(service)
        in_service = [x for x in usable if not self.evacuations.is_evacuated(x.domain)]
        if usable and not in_service:
            return REASON_EVACUATED
        now = self.clock.monotonic()
        restricted = [
            server
            for server in in_service
            if not self.budgets.may_send(server.instance, now)
        ]
        if any(self.limits.per_s(server.instance, now) for server in restricted):
            return "servers at their limit"
        if restricted:
            return "servers warm up"
        return "no server"

    def update_evacuations(self, changed: list[rows.Row], *, from_peer: bool) -> None:
        """Apply changed evacuation rows of the operator's table."""
        for row in changed:
            domain = self.read(row.address.key)
            if domain is None:
                continue
            if not domain:
                self.trace.emit("evacuation_unreadable", version=row.version)
            elif row.value is None:
                self._end(domain, row.version, from_peer)
            else:
                self._begin(domain, row.version, from_peer)

    def _begin(self, domain: str, version: int, from_peer: bool) -> None:
        before = self.evacuations.current.get(domain)
        if not self.evacuations.begin(domain, version, self.clock.monotonic()):
            return
        self.trace.emit(
            "domain_evacuated",
            domain=domain,
            version=version,
            before=before.version if before else None,
            known=domain in self._domains(),
            servers=len(self._servers_in(domain)),
            second_hand=from_peer,
        )

    def _end(self, domain: str, version: int, from_peer: bool) -> None:
        ended = self.evacuations.end(domain, version, authoritative=not from_peer)
        if ended is None:
            return
        now = self.clock.monotonic()
        self.trace.emit(
            "evacuation_ended",
            domain=domain,
            version=version,
            since=ended.version,
            lasted_s=round(now - ended.seen_at, 2),
            second_hand=from_peer,
        )
        for server in self._servers_in(domain):
            warm_up_s = self._service_of(server).warm_up_s
            self._mark_cold(server, warm_up_s, "evacuation ended", in_use=False)

    def update_cold_servers(
        self, before: collections.abc.Mapping[str, model.Server], *, complete: bool
    ) -> None:
        """Mark servers as cold whose registration is new or says so.

        Servers of the initial read, before the table copy is ``complete``, may have
        started long ago and count as cold only if they say so.
        """
        is_initial_read = not (complete or self.has_servers)
        self.has_servers = True
        for name, server in self.registry.servers.items():
            previous = before.get(name)
            if previous is server:
                continue
            if server.cold_s is None and (
                previous is None or previous.cold_s is not None
            ):
                self.trace.emit(
                    "cold_time_unreadable",
                    server=name,
                    registered=self.registry.versions.get(name),
                )
            is_new = self.budgets.record_start(name, server.born_ms)
            if is_new and not is_initial_read:
                reason = "new" if previous is None else "started again"
                warm_up_s = max(
                    server.cold_s or 0.0, self._service_of(server).warm_up_s
                )
                self._mark_cold(server, warm_up_s, reason, in_use=previous is not None)
            elif server.cold_s:
                self._mark_cold(
                    server, server.cold_s, "says so", in_use=previous is not None
                )

    def _mark_cold(
        self, server: model.Server, seconds: float, reason: str, *, in_use: bool
    ) -> None:
        now = self.clock.monotonic()
        is_update = self.budgets.mark_cold(server.instance, seconds, now, in_use=in_use)
        if not is_update or not self._rate_of(server.instance):
            return
        self.trace.emit(
            "server_cold",
            server=server.instance,
            born_ms=server.born_ms,
            registered=self.registry.versions.get(server.instance),
            reason=reason,
            for_s=round(min(seconds, server_rates.MAX_COLD_S), 2),
            said_s=server.cold_s,
            per_s=self._rate_of(server.instance),
            permits=self.budgets.owned_permits(server.instance, now),
        )

    def record_renewal(self, started_at: float) -> None:
        """Record that the host's own row was written by a call started then."""
        self.renewed_at = started_at
        self.written_at = min(self.written_at, self.clock.monotonic())

    def expire(self) -> None:
        """End warm-ups that are over and restart the row's age after a suspension."""
        now = self.clock.monotonic()
        suspended_s = self.clock.suspended()
        if suspended_s - self.suspended_s > MAX_SUSPENDED_S and self.written_at < now:
            self.written_at = now
        self.suspended_s = suspended_s
        for name, cold_server in self.budgets.expire(now):
            if self._rate_of(name):
                self.trace.emit("server_warm", server=name, sent=cold_server.sent)

    def count_running(self, domain: str, running: "inflight.InFlight") -> int:
        """Return how many of this host's requests and batch items run in a domain."""
        return sum(
            running.online[server.instance] + running.batch[server.instance]
            for server in self._servers_in(domain)
        )

    def count_confirmations(self, table: str, version: int) -> int:
        """Return how many reachable hosts reported at least this version of a table."""
        return sum(
            digest.table_ages.get(table, (0, 0.0))[0] >= version
            for digest in self.hosts.reachable()
        )

    def _servers_in(self, domain: str) -> list[model.Server]:
        servers = self.registry.servers.values()
        return [server for server in servers if server.domain == domain]

    def _domains(self) -> set[str]:
        domains = {server.domain for server in self.registry.servers.values()}
        domains |= {record.domain for record in self.hosts.records.values()}
        return domains | {self.hosts.domain}

    def _service_of(self, server: model.Server) -> model.Service:
        view = self.active_configuration.current
        services: dict[str, typing.Any] = view.services if view else {}
        return services.get(server.service) or model.Service(server.service, 0, 0)

    def _rate_of(self, name: str) -> float:
        server = self.registry.servers.get(name)
        per_s = self._service_of(server).cold_per_s if server else 0.0
        return server_limits.binding_rate(per_s)

    def _view(self) -> server_rates.HostTableView:
        now = self.clock.monotonic()
        return server_rates.HostTableView(
            frozenset(self.hosts.records),
            self.hosts.table_age_s(),
            now - self.written_at,
            now - self.renewed_at,
        )
