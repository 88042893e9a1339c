"""Find out at which servers a stream may go on."""

import collections
import collections.abc
import math
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import gossip, incarnations, messages, model, registry
from turmerictally.entry import trace as traces
from turmerictally.scheduling import stream_origins
from turmerictally.store import rows

# For the store's answer on whether a service has one version only; several times its
# usual response time.
CATCH_UP_TIMEOUT_S = 0.2
# Each stream is in several digests, as datagrams may be lost.
DIGEST_WINDOW_S = 0.25
DIGEST_WINDOW_PERIODS = 4
DIGEST_DELAY_S = 0.04  # from one host to another
MAX_STREAMS_PER_DIGEST = 64  # some 600 bytes
# What a host's row holds, for hosts that start after all were killed at once.
ROW_WINDOW_S = 6.0
MAX_STREAMS_PER_ROW = 300  # some 5 kB
ROW_INTERVAL_S = 0.1  # between two writes of the row for new streams
MAX_ROWS_PER_S = 80.0  # of all hosts together, for new streams
# A caller may come back once another host knows the stream.
UNKNOWN_RETRY_AFTER_S = 0.1
REASON_UNKNOWN = "version of the stream's server unknown"
REASON_GONE = "no server of the stream's version"

# Applies the newest registrations; raises ``rows.UnavailableError``.
CatchUp = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@attrs.frozen
class Refusal:
    """Hold why a stream can't go on, and when its caller should come again."""

    reason: str
    retry_after_s: float = UNKNOWN_RETRY_AFTER_S


@attrs.define(eq=False)
class Resumption:
    """Track where streams began, and decide where those that are taken up go on.

    Times are monotonic seconds. Since ``known_since`` this host knows all versions of
    servers at which any host can have begun a stream. ``caught_up_at`` is when the last
    read of the store's newest registrations began, ``failed_at`` when the last one
    failed, and ``row_at`` when this host's row was last written. ``listed`` holds the
    versions that the rows of hosts tell of, and ``outcomes`` counts the streams that
    were taken up.
    """

    registry: registry.Registry
    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    catch_up: CatchUp
    on_row_due: collections.abc.Callable[[], None] = lambda: None
    origins: stream_origins.StreamOrigins = attrs.field(
        factory=stream_origins.StreamOrigins
    )
    versions: stream_origins.SoftwareVersions = attrs.field(
        factory=stream_origins.SoftwareVersions
    )
    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    known_since: float = math.inf
    caught_up_at: float = -math.inf
    failed_at: float = -math.inf
    listed: set[stream_origins.Origin] = attrs.Factory(set)
    row_at: float = -math.inf

    def record_stream(
        self,
        request: messages.Request,
        team: str,
        origin: stream_origins.Origin,
    ) -> None:
        """Record that a caller of a team gets events of a stream of this origin.

        A stream that was taken up is known by the request that began it. One of unknown
        version is recorded too, so that no host takes the only registered one for it.
        """
        now = self.clock.monotonic()
        began = request.resumes if request.resume_after else ""
        name = stream_name(team, began or request.request_id)
        self.origins.record(name, origin, now)
        versions = self.versions.lately(origin.service, now)
        if len(versions) > 1 or not origin.software:
            self.on_row_due()

    def unlisted_servers(self, service: str) -> frozenset[str]:
        """Return the servers at which no stream should begin yet.

        No row tells of their version yet, so that hosts that start after all were
        killed would take another one for the only one. Without other servers they are
        used all the same.
        """
        if self.versions.seen_at.keys() <= self.listed:
            return frozenset()
        servers = self.registry.usable(service)
        unlisted = [x for x in servers if origin_of(x) not in self.listed]
        if len(unlisted) == len(servers):
            return frozenset()
        return frozenset(server.instance for server in unlisted)

    def record_row(self, fields: dict[str, typing.Any]) -> None:
        """Record that the store holds what ``row_fields`` returned."""
        for service, software, _ in fields.get("software_versions", ()):
            self.listed.add(stream_origins.Origin(service, software))

    def begun_at(
        self, server: model.Server, identity: incarnations.Identity
    ) -> stream_origins.Origin:
        """Return the origin of a stream whose first event a server sent just now.

        The version is unknown if another incarnation of the server may have sent it.
        """
        current = self.registry.servers.get(server.instance, server)
        if current.born_ms != server.born_ms or not identity.is_known:
            return stream_origins.Origin(server.service, "")
        return origin_of(server)

    def can_go_on(self, origin: stream_origins.Origin) -> bool:
        """Return whether some server of a stream's origin is registered."""
        return bool(origin.software) and any(
            server.software == origin.software
            for server in self.registry.servers.values()
            if server.service == origin.service
        )

    async def find(
        self, request: messages.Request, route: model.Route, team: str
    ) -> stream_origins.Origin | Refusal:
        """Return where a stream that is taken up began, or why it can't go on."""
        now = self.clock.monotonic()
        name = stream_name(team, request.resumes)
        stream = self.origins.find(name) if request.resumes else None
        if stream is None:
            stream = await self._find_only_version(route, now)
        if stream is None and request.resumes:
            # The digest of the host where it began may be on its way.
            await trio.sleep(self.hosts.digest_period_s() + DIGEST_DELAY_S)
            stream = self.origins.find(name)
        services = {target.service for target in route.targets}
        found: stream_origins.Origin | Refusal
        if stream is None or not stream.origin.software:
            found = Refusal(REASON_UNKNOWN)
        elif stream.origin.service not in services or not self.can_go_on(stream.origin):
            found = Refusal(REASON_GONE)
        else:
            found = stream.origin
        self._record_outcome(request, services, stream, found)
        return found

    def _record_outcome(
        self,
        request: messages.Request,
        services: set[str],
        stream: stream_origins.Stream | None,
        found: stream_origins.Origin | Refusal,
    ) -> None:
        now = self.clock.monotonic()
        refused = isinstance(found, Refusal)
        self.outcomes[found.reason if refused else "goes on"] += 1
        self.trace.emit(
            "stream_taken_up",
            request.request_id,
            resumes=request.resumes,
            last_event=request.resume_after,
            service=stream.origin.service if stream else "",
            software=stream.origin.software if stream else "",
            source=stream.source if stream else "",
            age_s=traces.seconds(now - stream.seen_at) if stream else None,
            versions=sorted(
                f"{service} {software}"
                for service in services
                for software in self.versions.lately(service, now)
            ),
            reason=found.reason if refused else "",
            outcome="refused" if refused else "goes on",
        )

    async def _find_only_version(
        self, route: model.Route, now: float
    ) -> stream_origins.Stream | None:
        """Return the origin of any stream of a route, if there is only one.

        Another host may have begun the stream at a server of which this host has not
        heard, so that the store is read first.
        """
        if len(route.targets) != 1:
            return None
        service = route.targets[0].service
        if now < self.known_since + stream_origins.STREAM_TTL_S:
            return None
        if self.versions.only_version(service, now) is None:
            return None
        if not await self.read_registrations(now):
            return None
        software = self.versions.only_version(service, self.clock.monotonic())
        if software is None:
            return None
        origin = stream_origins.Origin(service, software)
        return stream_origins.Stream(origin, now, "only version", own=False)

    async def read_registrations(self, since: float) -> bool:
        """Read what the store holds since a time; return whether it answered."""
        async with self.lock:
            if self.caught_up_at >= since:
                return True
            if self.failed_at >= since:
                return False
            started_at = self.clock.monotonic()
            try:
                with trio.fail_after(CATCH_UP_TIMEOUT_S):
                    await self.catch_up()
            except (rows.UnavailableError, trio.TooSlowError):
                self.failed_at = self.clock.monotonic()
                return False
            self.caught_up_at = started_at
            return True

    def record_servers(self, servers: collections.abc.Iterable[model.Server]) -> None:
        """Record the versions of servers that are or were registered until now."""
        now = self.clock.monotonic()
        self.known_since = min(self.known_since, now)
        if self.versions.record(_origins_of(servers), now):
            self.on_row_due()

    def expire(self) -> None:
        """Forget what can't matter any more."""
        now = self.clock.monotonic()
        self.origins.expire(now)
        self.versions.record(_origins_of(self.registry.servers.values()), now)

    def row_wait_s(self) -> float:
        """Return the seconds until this host's row may be written again."""
        interval_s = max(ROW_INTERVAL_S, len(self.hosts.records) / MAX_ROWS_PER_S)
        return max(0.0, self.row_at + interval_s - self.clock.monotonic())

    def digest_lists(self) -> dict[str, list[int]]:
        """Return the streams that began here lately, by their names in digests.

        Large fleets tell of those only for which a second version is known.
        """
        period_s = self.hosts.digest_period_s()
        window_s = max(DIGEST_WINDOW_S, DIGEST_WINDOW_PERIODS * period_s)
        now = self.clock.monotonic()
        mixed = self.versions.mixed_services(now)
        recent = self.origins.recent(now - window_s, MAX_STREAMS_PER_DIGEST)
        return {
            stream_origins.digest_name(origin): keys
            for origin, keys in recent.items()
            if origin.service in mixed or not (origin.software and self.hosts.relayed)
        }

    def receive_digest(self, lists: dict[str, list[int]], host: str) -> None:
        """Record the streams that began on another host."""
        now = self.clock.monotonic()
        for name, keys in lists.items():
            origin = stream_origins.read_digest_name(name)
            if origin is not None:
                self.origins.receive(origin, keys, host, now)

    def row_fields(self, store_now_s: float) -> dict[str, typing.Any]:
        """Return what this host's row tells of versions and streams."""
        now = self.clock.monotonic()
        self.row_at = now
        mixed = self.versions.mixed_services(now)
        streams = self.origins.recent(now - ROW_WINDOW_S, MAX_STREAMS_PER_ROW)
        return {
            "software_versions": [
                [origin.service, origin.software, round(store_now_s - (now - at), 2)]
                for origin, at in self.versions.seen_at.items()
            ],
            "streams": [
                [origin.service, origin.software, keys]
                for origin, keys in streams.items()
                if origin.service in mixed or not origin.software
            ],
        }

    def restore(
        self,
        versions: dict[stream_origins.Origin, float],
        streams: stream_origins.Report,
        store_now_s: float,
        *,
        own: bool,
    ) -> None:
        """Record what a host's row tells, perhaps one of before a restart."""
        now = self.clock.monotonic()
        written_at_s = max(versions.values(), default=-math.inf)
        if store_now_s - written_at_s <= stream_origins.STREAM_TTL_S:
            # It tells of the versions until shortly before this host started.
            self.known_since = -math.inf
        for origin, seen_at_s in versions.items():
            seen_at = now - max(0.0, store_now_s - seen_at_s)
            if now <= seen_at + stream_origins.VERSION_TTL_S:
                self.versions.restore(origin, seen_at)
                self.listed.add(origin)
        for origin, keys in streams.items():
            self.origins.receive(origin, keys, "row", now, own=own)


def origin_of(server: model.Server) -> stream_origins.Origin:
    """Return the origin of streams that begin at a server."""
    return stream_origins.Origin(server.service, server.software)


def stream_name(team: str, request_id: str) -> str:
    """Return the name of the stream that a request began; teams may use equal ids."""
    return f"{team}/{request_id}"


def _origins_of(
    servers: collections.abc.Iterable[model.Server],
) -> list[stream_origins.Origin]:
    """Return the different origins of many servers."""
    names = {(server.service, server.software) for server in servers}
    return [stream_origins.Origin(*each) for each in names]
