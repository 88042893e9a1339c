"""Follow which failure domains are evacuated and which servers are cold."""

import collections.abc
import typing

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import gossip, model, registry
from turmerictally.entry import trace as traces
from turmerictally.scheduling import cold_start, evacuation
from turmerictally.store import rows

if typing.TYPE_CHECKING:
    from turmerictally.entry import inflight

# A process that slept for longer finds copies older than their age says.
MAX_SUSPENDED_S = 0.5
REASON_EVACUATED = "domains evacuated"  # the reason of a refusal


@attrs.define(eq=False)
class Availability:
    """Apply the operator's and the servers' rows to what may get something new.

    ``written_at`` and ``renewed_at`` tell when this process wrote the host's own row
    first and last, in monotonic seconds.
    """

    read: model.ReadEvacuation
    active_configuration: registry.ActiveConfiguration
    registry: registry.Registry
    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    overshoot: float
    evacuations: evacuation.Evacuations = attrs.field(factory=evacuation.Evacuations)
    budgets: cold_start.ColdStartBudgets = attrs.field(init=False)
    has_servers: bool = False
    written_at: float = float("inf")
    renewed_at: float = float("-inf")
    suspended_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.suspended_s = self.clock.suspended()
        self.budgets = cold_start.ColdStartBudgets(
            self.hosts.host_id, self._rate_of, self._view, self.overshoot
        )

    def accepts_requests(self, server: model.Server, now: float) -> bool:
        """Return whether a server may get one more request."""
        return not self.evacuations.is_evacuated(
            server.domain
        ) and self.budgets.may_send(server.instance, now)

    def unavailable_reason(self, service: str) -> str:
        """Return why no server of a service may get a request now."""
        usable = self.registry.usable(service)
        left = [x for x in usable if not self.evacuations.is_evacuated(x.domain)]
        if usable and not left:
            return REASON_EVACUATED
        now = self.clock.monotonic()
        if any(not self.budgets.may_send(server.instance, now) for server in left):
            return "servers warm up"
        return "no server"

    def update_evacuations(self, changed: list[rows.Row], *, from_peer: bool) -> None:
        """Take changed rows of the operator's table."""
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
            self._note(server, warm_up_s, "evacuation ended", in_use=False)

    def update_cold_servers(
        self, before: collections.abc.Mapping[str, model.Server], *, complete: bool
    ) -> None:
        """Take changed registrations; ``complete`` tells that others came before.

        The first ones may have started long ago.
        """
        first = not (complete or self.has_servers)
        self.has_servers = True
        for name, server in self.registry.servers.items():
            old = before.get(name)
            if old is server:
                continue
            if server.cold_s is None and (old is None or old.cold_s is not None):
                self.trace.emit(
                    "cold_time_unreadable",
                    server=name,
                    registered=self.registry.versions.get(name),
                )
            is_new = self.budgets.record_start(name, server.born_ms)
            if is_new and not first:
                reason = "new" if old is None else "started again"
                warm_up_s = max(
                    server.cold_s or 0.0, self._service_of(server).warm_up_s
                )
                self._note(server, warm_up_s, reason, in_use=old is not None)
            elif server.cold_s:
                self._note(server, server.cold_s, "says so", in_use=old is not None)

    def _note(
        self, server: model.Server, seconds: float, reason: str, *, in_use: bool
    ) -> None:
        now = self.clock.monotonic()
        is_news = self.budgets.mark_cold(server.instance, seconds, now, in_use=in_use)
        if not is_news or not self._rate_of(server.instance):
            return
        self.trace.emit(
            "server_cold",
            server=server.instance,
            born_ms=server.born_ms,
            registered=self.registry.versions.get(server.instance),
            reason=reason,
            for_s=round(min(seconds, cold_start.MAX_COLD_S), 2),
            said_s=server.cold_s,
            per_s=self._rate_of(server.instance),
            permits=self.budgets.owned_permits(server.instance, now),
        )

    def record_renewal(self, started_at: float) -> None:
        """Note that the host's own row was written by a call begun then."""
        self.renewed_at = started_at
        self.written_at = min(self.written_at, self.clock.monotonic())

    def expire(self) -> None:
        """Drop what is over, and begin anew after a sleep."""
        now = self.clock.monotonic()
        suspended_s = self.clock.suspended()
        if suspended_s - self.suspended_s > MAX_SUSPENDED_S and self.written_at < now:
            self.written_at = now
        self.suspended_s = suspended_s
        for name, found in self.budgets.expire(now):
            if self._rate_of(name):
                self.trace.emit("server_warm", server=name, sent=found.sent)

    def count_running(self, domain: str, running: "inflight.InFlight") -> int:
        """Return how many requests and items of this host run in a domain."""
        return sum(
            running.online[server.instance] + running.batch[server.instance]
            for server in self._servers_in(domain)
        )

    def count_confirmations(self, table: str, version: int) -> int:
        """Return how many other hosts have a table as of a version, as they told."""
        return sum(
            digest.table_ages.get(table, (0, 0.0))[0] >= version
            for digest in self.hosts.reachable()
        )

    def _servers_in(self, domain: str) -> list[model.Server]:
        servers = self.registry.servers.values()
        return [server for server in servers if server.domain == domain]

    def _domains(self) -> set[str]:
        found = {server.domain for server in self.registry.servers.values()}
        found |= {record.domain for record in self.hosts.records.values()}
        return found | {self.hosts.domain}

    def _service_of(self, server: model.Server) -> model.Service:
        view = self.active_configuration.current
        services: dict[str, typing.Any] = view.services if view else {}
        return services.get(server.service) or model.Service(server.service, 0, 0)

    def _rate_of(self, name: str) -> float:
        server = self.registry.servers.get(name)
        return self._service_of(server).cold_per_s if server else 0.0

    def _view(self) -> cold_start.HostTableView:
        now = self.clock.monotonic()
        return cold_start.HostTableView(
            frozenset(self.hosts.records),
            self.hosts.table_age_s(),
            now - self.written_at,
            now - self.renewed_at,
        )
