"""Know the configuration and the backend servers from followed tables."""

import collections.abc
import typing

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import model
from turmerictally.entry import store_health as health
from turmerictally.entry import trace as traces
from turmerictally.store import rows

# Removals are told to the other hosts for longer than the store keeps history, 20 s.
REMOVAL_RETENTION_S = 30.0
MAX_REPORTED_REMOVALS = 100  # in one digest; some 2 kB
# Registrations that lapsed during an outage are back this long after it, at most.
LAPSE_RECOVERY_S = 2.2
MAX_LEAVING_SERVERS = 2000  # servers whose leaving is remembered, the newest


@attrs.define(eq=False)
class ActiveConfiguration:
    """Hold the newest configuration seen; it never goes back to an older one."""

    key: str
    read: model.ReadConfiguration
    trace: traces.Trace
    current: model.Configuration | None = None

    def update(self, changed: list[rows.Row]) -> None:
        """Take changed rows of the configuration's table."""
        for row in changed:
            if row.value is None or row.address.key != self.key:
                continue
            found = self.read(row.value)
            before = self.current.version if self.current else None
            if found is None:
                self.trace.emit("configuration_unreadable", version=before)
            elif before is None or found.version > before:
                self.current = found
                self.trace.emit(
                    "configuration",
                    version=found.version,
                    before=before,
                    routes=len(found.routes),
                    teams=len(found.teams),
                )


@attrs.frozen
class LapsedRegistration:
    """Hold since when a registration is missing, and until when its server is kept.

    Both are monotonic seconds; ``version`` is the store's version without it, and
    ``from_peer`` is set when only a peer's copy lacked it.
    """

    since: float
    until: float
    version: int
    from_peer: bool


@attrs.frozen
class RemovedRegistration:
    """Hold a removal that this host saw itself: the store's version and when."""

    version: int
    seen_at: float


@attrs.frozen
class LeavingServer:
    """Hold which incarnation of a server said that it leaves, and since when."""

    born_ms: int
    since: float


@attrs.define(eq=False)
class Registry:
    """Hold the registered servers.

    ``leaving`` holds the servers whose own answers said so. Only another incarnation
    lifts it: a registration that still calls the server ready was written before, or
    by a heartbeat that does not know.

    A server whose registration is missing after an outage is kept as ``lapsed`` for a
    while, unless another host, which the store served all along, saw it removed.
    ``versions`` holds the store's version of each registration.
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
        """Take changed rows of the servers' table; second-hand ones aren't told on."""
        for row in changed:
            name = row.address.key
            found = None if row.value is None else self.read(name, row.value)
            if found is None:
                # Only a registration that is missing can have lapsed.
                self._remove(row, from_peer)
                continue
            self.lapsed.pop(name, None)
            before = self.servers.get(name)
            self.servers[name] = found
            self.versions[name] = row.version
            if before is None or _differs(before, found):
                self.trace.emit(
                    "server",
                    server=name,
                    address=found.address,
                    draining=found.draining,
                    born_ms=found.born_ms,
                    version=row.version,
                )

    def expire(self) -> None:
        """Drop servers whose registration did not come back after an outage."""
        now = self.clock.monotonic()
        for name, lapsed in list(self.lapsed.items()):
            if now >= max(
                lapsed.until, self.store_health.recovered_at + LAPSE_RECOVERY_S
            ):
                if not lapsed.from_peer:
                    self._note_removal(name, lapsed.version)
                self._drop(name, lapsed.version, "not back")

    def usable(self, service: str) -> list[model.Server]:
        """Return the servers of a service that take new requests."""
        self.expire()
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and not server.draining
            and not self.is_leaving(server)
        ]

    def is_leaving(self, server: model.Server) -> bool:
        """Return whether this incarnation's own answers said that it leaves."""
        found = self.leaving.get(server.instance)
        return found is not None and found.born_ms == server.born_ms

    def mark_leaving(self, server: model.Server, source: str) -> None:
        """Give a server nothing new, as its own answer said that it leaves."""
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
        """Return the leaving servers that are registered, with their births."""
        return {
            name: found.born_ms
            for name, found in self.leaving.items()
            if name in self.servers and self.servers[name].born_ms == found.born_ms
        }

    def apply_peer_leaving(self, host: str, told: dict[str, int]) -> None:
        """Take over which servers another host knows to leave."""
        for name, born_ms in told.items():
            server = self.servers.get(name)
            if server is not None and server.born_ms == born_ms:
                self.mark_leaving(server, host)

    def recent_removals(self) -> dict[str, int]:
        """Return the servers that this host saw removed, with the store's versions."""
        since = self.clock.monotonic() - REMOVAL_RETENTION_S
        for name, removed in list(self.removed.items()):
            if removed.seen_at < since:
                del self.removed[name]
        newest = list(self.removed.items())[-MAX_REPORTED_REMOVALS:]
        return {name: removed.version for name, removed in newest}

    def apply_peer_removals(self, host: str, removed: dict[str, int]) -> dict[str, int]:
        """Drop the servers that another host saw removed; return them."""
        found = {
            name: version
            for name, version in removed.items()
            if name in self.servers and self.versions[name] < version
        }
        for name, version in found.items():
            self._drop(name, version, "told", host=host)
        return found

    def log_fields(self, name: str) -> dict[str, typing.Any]:
        """Return the log fields that tell why a server counts as registered."""
        found = {"registered": self.versions.get(name)}
        if name in self.lapsed:
            now = self.clock.monotonic()
            found["lapsed_s"] = round(now - self.lapsed[name].since, 2)
        return found

    def counts(self) -> dict[str, int]:
        """Return how many servers are usable, draining, and kept though missing."""
        draining = sum(
            server.draining or self.is_leaving(server)
            for server in self.servers.values()
        )
        return {
            "usable": len(self.servers) - draining - len(self.lapsed),
            "draining": draining,
            "lapsed": len(self.lapsed),
        }

    def _remove(self, row: rows.Row, from_peer: bool) -> None:
        name = row.address.key
        server = self.servers.get(name)
        if server is None:
            return
        now = self.clock.monotonic()
        # A peer's copy may tell of it while the store is away from this host.
        returned_at = (
            now if self.store_health.failing else self.store_health.recovered_at
        )
        until = returned_at + LAPSE_RECOVERY_S
        if row.value is None and now < until and not server.draining:
            if name not in self.lapsed:
                self.lapsed[name] = LapsedRegistration(
                    now, until, row.version, from_peer
                )
                self.trace.emit(
                    "server_lapsed",
                    server=name,
                    registered=self.versions[name],
                    version=row.version,
                    kept_s=round(until - now, 2),
                )
            return
        if not from_peer:
            self._note_removal(name, row.version)
        self._drop(name, row.version, "removed")

    def _note_removal(self, name: str, version: int) -> None:
        self.removed.pop(name, None)
        self.removed[name] = RemovedRegistration(version, self.clock.monotonic())

    def _drop(self, name: str, version: int, reason: str, **more: str) -> None:
        now = self.clock.monotonic()
        lapsed = self.lapsed.pop(name, None)
        del self.servers[name]
        self.trace.emit(
            "server_gone",
            server=name,
            registered=self.versions.pop(name),
            version=version,
            reason=reason,
            missing_s=round(now - lapsed.since, 2) if lapsed else 0.0,
            **more,
        )


def _differs(before: model.Server, after: model.Server) -> bool:
    return (before.draining, before.born_ms, before.address) != (
        after.draining,
        after.born_ms,
        after.address,
    )
