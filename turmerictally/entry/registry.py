"""Track the applied configuration and the registered backend servers."""

import collections.abc
import typing

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import decoding, model
from turmerictally.entry import store_health as health
from turmerictally.entry import trace as traces
from turmerictally.store import rows

# Removals are gossiped for longer than the 20 s of history that the store keeps.
REMOVAL_RETENTION_S = 30.0
MAX_REPORTED_REMOVALS = 100  # per digest; about 2 kB
# Servers whose registration lapsed in a store outage register again within this time.
LAPSE_RECOVERY_S = 2.2
MAX_LEAVING_SERVERS = 2000  # the oldest entry is evicted first


@attrs.frozen
class IdleTimeout:
    """Hold an idle time-out and the monotonic time until which it is granted."""

    seconds: float
    valid_until: float


@attrs.define(eq=False)
class ActiveConfiguration:
    """Hold the applied configuration; older versions never replace a newer one.

    ``earlier_idle_timeouts`` holds the longer idle time-outs of replaced versions, each
    until those of connections that fell idle before the change are over.
    """

    key: str
    read: model.ReadConfiguration
    trace: traces.Trace
    clock: clocks.Clock = attrs.field(factory=clocks.Clock)
    current: model.Configuration | None = None
    earlier_idle_timeouts: list[IdleTimeout] = attrs.Factory(list)

    def update(self, changed: list[rows.Row]) -> None:
        """Apply changed rows of the configuration table."""
        for row in changed:
            if row.value is None or row.address.key != self.key:
                continue
            before = self.current.version if self.current else None
            try:
                configuration = self.read(row.value)
            except decoding.DecodeError as error:
                self.trace.emit(
                    "configuration_unreadable",
                    version=before,
                    row_version=row.version,
                    reason=str(error),
                )
                continue
            if before is None or configuration.version > before:
                self._keep_idle_timeout(configuration)
                self.current = configuration
                self.trace.emit(
                    "configuration",
                    version=configuration.version,
                    before=before,
                    routes=len(configuration.routes),
                    teams=len(configuration.teams),
                )

    def caller_limits(self) -> model.CallerLimits:
        """Return the limits on callers, with the longest idle time-out they may use."""
        if self.current is None:
            return model.CallerLimits()
        limits = self.current.limits
        if not self.earlier_idle_timeouts:
            return limits
        now = self.clock.monotonic()
        self.earlier_idle_timeouts = [
            each for each in self.earlier_idle_timeouts if now < each.valid_until
        ]
        idle_s = [each.seconds for each in self.earlier_idle_timeouts]
        return attrs.evolve(
            limits, idle_timeout_s=max([limits.idle_timeout_s, *idle_s])
        )

    def _keep_idle_timeout(self, replacement: model.Configuration) -> None:
        """Keep a longer idle time-out for the callers that still count on it."""
        if self.current is None:
            return
        seconds = self.current.limits.idle_timeout_s
        if seconds > replacement.limits.idle_timeout_s:
            valid_until = self.clock.monotonic() + seconds
            self.earlier_idle_timeouts.append(IdleTimeout(seconds, valid_until))


@attrs.frozen
class LapsedRegistration:
    """Describe a registration that went missing during or shortly after an outage.

    The server stays in use until ``kept_until``; both times are monotonic seconds.
    ``version`` is the store version that lacks the row. With ``from_peer`` the row is
    missing from a peer's copy, which is no proof of a removal.
    """

    missing_since: float
    kept_until: float
    version: int
    from_peer: bool


@attrs.frozen
class RemovedRegistration:
    """Describe a removal that this host read from the store itself."""

    version: int
    seen_at: float


@attrs.frozen
class LeavingServer:
    """Identify the incarnation of a server that reported its shutdown."""

    born_ms: int
    marked_at: float


@attrs.define(eq=False)
class Registry:
    """Track the registered servers.

    ``leaving`` lists the servers whose responses announced a shutdown. Only a new
    incarnation clears the mark: a registration that still says ready was written
    earlier, or by a heartbeat that is unaware of the shutdown.

    A server whose registration is missing after a store outage stays registered as
    ``lapsed`` for a while, unless a host that kept its store connection saw the
    removal. ``versions`` maps servers to the store versions of their rows.
    """

    read: model.ReadServer
    store_health: health.StoreHealth
    clock: clocks.Clock
    trace: traces.Trace
    servers: dict[str, model.Server] = attrs.Factory(dict)
    versions: dict[str, int] = attrs.Factory(dict)
    lapsed: dict[str, LapsedRegistration] = attrs.Factory(dict)
    removed: dict[str, RemovedRegistration] = attrs.Factory(dict)
    leaving: dict[str, LeavingServer] = attrs.Factory(dict)
    on_leaving: collections.abc.Callable[[model.Server], None] = lambda server: None

    def update(self, changed: list[rows.Row], *, from_peer: bool = False) -> None:
        """Apply changed rows of the server table.

        Removals from a peer's copy aren't reported to other hosts.
        """
        for row in changed:
            name = row.address.key
            server = self._read(row)
            if server is None:
                # An unreadable row is removed at once; only a missing one may lapse.
                self._handle_missing(row, from_peer)
                continue
            self.lapsed.pop(name, None)
            before = self.servers.get(name)
            self.servers[name] = server
            self.versions[name] = row.version
            if before is None or _differs(before, server):
                self.trace.emit(
                    "server",
                    server=name,
                    address=server.address,
                    draining=server.draining,
                    born_ms=server.born_ms,
                    software=server.software,
                    version=row.version,
                )

    def expire(self) -> None:
        """Remove lapsed servers that did not register again in time."""
        now = self.clock.monotonic()
        for name, lapsed in list(self.lapsed.items()):
            if now >= max(
                lapsed.kept_until, self.store_health.recovered_at + LAPSE_RECOVERY_S
            ):
                if not lapsed.from_peer:
                    self._record_removal(name, lapsed.version)
                self._remove_server(name, lapsed.version, "not back")

    def usable(self, service: str) -> list[model.Server]:
        """Return the servers of a service that accept new requests."""
        self.expire()
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and not server.draining
            and not self.is_leaving(server)
        ]

    def is_leaving(self, server: model.Server) -> bool:
        """Return whether this incarnation announced its shutdown."""
        leaving = self.leaving.get(server.instance)
        return leaving is not None and leaving.born_ms == server.born_ms

    def mark_leaving(self, server: model.Server, source: str) -> None:
        """Stop sending new requests to a server that announced its shutdown."""
        if self.is_leaving(server):
            return
        now = self.clock.monotonic()
        self.leaving.pop(server.instance, None)
        self.leaving[server.instance] = LeavingServer(server.born_ms, now)
        if len(self.leaving) > MAX_LEAVING_SERVERS:
            del self.leaving[next(iter(self.leaving))]
        self.trace.emit(
            "server_leaving",
            server=server.instance,
            born_ms=server.born_ms,
            registered=self.versions.get(server.instance),
            source=source,
        )
        self.on_leaving(server)

    def leaving_start_times(self) -> dict[str, int]:
        """Return the start times of the registered servers that are leaving."""
        return {
            name: leaving.born_ms
            for name, leaving in self.leaving.items()
            if name in self.servers and self.servers[name].born_ms == leaving.born_ms
        }

    def apply_peer_leaving(self, host: str, start_times: dict[str, int]) -> None:
        """Mark the servers that another host reports as leaving."""
        for name, born_ms in start_times.items():
            server = self.servers.get(name)
            if server is not None and server.born_ms == born_ms:
                self.mark_leaving(server, host)

    def recent_removals(self) -> dict[str, int]:
        """Return the store versions of removals that this host saw recently."""
        oldest = self.clock.monotonic() - REMOVAL_RETENTION_S
        for name, removed in list(self.removed.items()):
            if removed.seen_at < oldest:
                del self.removed[name]
        newest = list(self.removed.items())[-MAX_REPORTED_REMOVALS:]
        return {name: removed.version for name, removed in newest}

    def apply_peer_removals(self, host: str, removed: dict[str, int]) -> dict[str, int]:
        """Remove the servers that another host saw removed and return them."""
        newer = {
            name: version
            for name, version in removed.items()
            if name in self.servers and self.versions[name] < version
        }
        for name, version in newer.items():
            self._remove_server(name, version, "told", host=host)
        return newer

    def log_fields(self, name: str) -> dict[str, typing.Any]:
        """Return the log fields that explain why a server is still registered."""
        fields = {"registered": self.versions.get(name)}
        if name in self.servers:
            fields["software"] = self.servers[name].software
        if name in self.lapsed:
            now = self.clock.monotonic()
            fields["lapsed_s"] = round(now - self.lapsed[name].missing_since, 2)
        return fields

    def counts(self) -> dict[str, int]:
        """Return the numbers of usable, draining and lapsed servers."""
        draining = sum(
            server.draining or self.is_leaving(server)
            for server in self.servers.values()
        )
        return {
            "usable": len(self.servers) - draining - len(self.lapsed),
            "draining": draining,
            "lapsed": len(self.lapsed),
        }

    def _read(self, row: rows.Row) -> model.Server | None:
        """Return the server of a row, None if it was removed or is unreadable."""
        if row.value is None:
            return None
        try:
            return self.read(row.address.key, row.value)
        except decoding.DecodeError as error:
            self.trace.emit(
                "server_unreadable",
                server=decoding.loggable(row.address.key),
                version=row.version,
                reason=str(error),
            )
            return None

    def _handle_missing(self, row: rows.Row, from_peer: bool) -> None:
        name = row.address.key
        server = self.servers.get(name)
        if server is None:
            return
        now = self.clock.monotonic()
        # A peer's copy may lack the row while this host can't reach the store.
        recovered_at = (
            now if self.store_health.failing else self.store_health.recovered_at
        )
        kept_until = recovered_at + LAPSE_RECOVERY_S
        if row.value is None and now < kept_until and not server.draining:
            if name not in self.lapsed:
                self.lapsed[name] = LapsedRegistration(
                    now, kept_until, row.version, from_peer
                )
                self.trace.emit(
                    "server_lapsed",
                    server=name,
                    registered=self.versions[name],
                    version=row.version,
                    kept_s=round(kept_until - now, 2),
                )
            return
        if not from_peer:
            self._record_removal(name, row.version)
        self._remove_server(name, row.version, "removed")

    def _record_removal(self, name: str, version: int) -> None:
        self.removed.pop(name, None)
        self.removed[name] = RemovedRegistration(version, self.clock.monotonic())

    def _remove_server(
        self, name: str, version: int, reason: str, **fields: str
    ) -> None:
        now = self.clock.monotonic()
        lapsed = self.lapsed.pop(name, None)
        del self.servers[name]
        self.trace.emit(
            "server_gone",
            server=name,
            registered=self.versions.pop(name),
            version=version,
            reason=reason,
            missing_s=round(now - lapsed.missing_since, 2) if lapsed else 0.0,
            **fields,
        )


def _differs(before: model.Server, after: model.Server) -> bool:
    return (before.draining, before.born_ms, before.address, before.software) != (
        after.draining,
        after.born_ms,
        after.address,
        after.software,
    )
