"""Remember which version of which service's software began each stream.

What two versions write doesn't fit together, so a stream may go on only at the version
that began it. Without a record of a stream its version is known only if its service had
just one version for as long as the stream may be old.
"""

import collections.abc
import hashlib

import attrs

# A stream is taken up within its caller's time-out, which is some seconds.
STREAM_TTL_S = 10.0
# How long a version counts after its last server is gone; several times the time for
# which a leaving server serves on.
VERSION_TTL_S = 30.0
MAX_STREAMS = 100_000  # remembered; some 20 MB
# Before the key's names in digests, where other versions of hosts ignore them.
DIGEST_PREFIX = "streams begun by "
SEPARATOR = "\n"  # of service and version in such a name; no name holds it
KEY_BITS = 52  # the largest integers that every reader of digests accepts


@attrs.frozen
class Origin:
    """Name a service and the version of its software, empty if unknown."""

    service: str
    software: str


# The keys of streams by their origin.
Report = dict[Origin, list[int]]


def stream_key(request_id: str) -> int:
    """Return the key of the stream whose first event this request brought."""
    digest = hashlib.blake2b(
        request_id.encode("utf-8", "surrogatepass"), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big") >> (64 - KEY_BITS)


def digest_name(origin: Origin) -> str:
    """Return the name under which a digest lists the streams of an origin."""
    return f"{DIGEST_PREFIX}{origin.service}{SEPARATOR}{origin.software}"


def read_digest_name(name: str) -> Origin | None:
    """Return the origin whose streams a digest lists under a name, or None."""
    if not name.startswith(DIGEST_PREFIX):
        return None
    service, _, software = name.removeprefix(DIGEST_PREFIX).partition(SEPARATOR)
    return Origin(service, software) if service and software else None


@attrs.frozen
class Stream:
    """Hold where a stream began; ``seen_at`` is monotonic seconds.

    ``source`` names how this host knows of it.
    """

    origin: Origin
    seen_at: float
    source: str
    own: bool


@attrs.define(eq=False)
class StreamOrigins:
    """Hold the origins of the streams that began lately on any host."""

    streams: dict[int, Stream] = attrs.Factory(dict)

    def record(self, request_id: str, origin: Origin, now: float) -> None:
        """Record that a stream of this host has its first event, or goes on."""
        self._add(stream_key(request_id), Stream(origin, now, "this host", own=True))

    def receive(
        self,
        origin: Origin,
        keys: collections.abc.Iterable[int],
        source: str,
        now: float,
        *,
        own: bool = False,
    ) -> None:
        """Record the streams that another host or a row tells of."""
        for key in keys:
            if key not in self.streams:
                self._add(key, Stream(origin, now, source, own))

    def _add(self, key: int, stream: Stream) -> None:
        # The dictionary stays in the order of ``seen_at``.
        self.streams.pop(key, None)
        self.streams[key] = stream
        if len(self.streams) > MAX_STREAMS:
            del self.streams[next(iter(self.streams))]

    def find(self, request_id: str) -> Stream | None:
        """Return what is known of the stream that a request began."""
        return self.streams.get(stream_key(request_id))

    def expire(self, now: float) -> None:
        """Forget streams that can't be taken up any more."""
        while self.streams:
            key, stream = next(iter(self.streams.items()))
            if now < stream.seen_at + STREAM_TTL_S:
                return
            del self.streams[key]

    def recent(self, since: float, limit: int) -> Report:
        """Return the newest streams of this host since a time, by origin."""
        report: Report = {}
        for key, stream in reversed(self.streams.items()):
            if stream.seen_at < since or not limit:
                break
            if stream.own:
                report.setdefault(stream.origin, []).append(key)
                limit -= 1
        return report


@attrs.define(eq=False)
class SoftwareVersions:
    """Track which versions of each service had servers lately.

    ``seen_at`` maps origins to the monotonic time at which they last had a server.
    """

    seen_at: dict[Origin, float] = attrs.Factory(dict)

    def record(self, origins: collections.abc.Iterable[Origin], now: float) -> bool:
        """Record the versions of registered servers; return whether any is new."""
        is_new = False
        for origin in origins:
            is_new = is_new or origin not in self.seen_at
            self.seen_at[origin] = max(now, self.seen_at.get(origin, now))
        return is_new

    def restore(self, origin: Origin, seen_at: float) -> None:
        """Record a version that an earlier process or another host saw."""
        self.seen_at[origin] = max(seen_at, self.seen_at.get(origin, seen_at))

    def lately(self, service: str, now: float) -> list[str]:
        """Return the versions that a service had lately."""
        for origin, seen_at in list(self.seen_at.items()):
            if now > seen_at + VERSION_TTL_S:
                del self.seen_at[origin]
        return [x.software for x in self.seen_at if x.service == service]

    def only_version(self, service: str, now: float) -> str | None:
        """Return the one version that a service had lately, None if there are more.

        The version of a server that names none may be any.
        """
        versions = self.lately(service, now)
        return versions[0] if len(versions) == 1 and versions[0] else None

    def mixed_services(self, now: float) -> set[str]:
        """Return the services that had more than one version lately."""
        services = {origin.service for origin in self.seen_at}
        return {name for name in services if len(self.lately(name, now)) > 1}
