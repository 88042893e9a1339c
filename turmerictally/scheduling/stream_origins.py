"""Remember which version of which service's software began each stream.

What two versions write doesn't fit together, so a stream may go on only at the version
that began it. Without a record of a stream its version is known only if its service had
just one version for as long as the stream may be old.

A server may come back under its name and address with another version, and serves
before its registration says so. A host takes the registered process for the one that
serves only while it is in touch with the store and has no reason to doubt it.
"""

import collections.abc
import hashlib
import math

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

# Longer than a long poll of the store and its answer take; exceeded by a host that was
# paused or has lost the store.
IN_TOUCH_S = 2.0
# Several heartbeats, in which a process that came back has registered if the store
# answers.
SETTLED_S = 5.0


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
    service, separator, software = name.removeprefix(DIGEST_PREFIX).partition(SEPARATOR)
    return Origin(service, software) if service and separator else None


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


@attrs.define(eq=False)
class ServerDoubts:
    """Hold when connections to servers last ended, by address in monotonic seconds."""

    doubted_at: dict[str, float] = attrs.Factory(dict)

    def record_end(self, address: str, now: float) -> None:
        """Record that a server ended or refused a connection."""
        self.doubted_at[address] = now

    def clear(self, address: str) -> None:
        """Record that the serving process is known."""
        self.doubted_at.pop(address, None)

    def is_certain(
        self, address: str, *, confirmed_at: float, settled_at: float, now: float
    ) -> bool:
        """Return whether the registered process is the one that serves.

        The store's answer of ``confirmed_at`` or later is the latest one, and since
        ``settled_at`` living servers have had the time to register.
        """
        if now > confirmed_at + IN_TOUCH_S or now < settled_at:
            return False
        return now > self.doubted_at.get(address, -math.inf) + SETTLED_S

    def expire(self, *, confirmed_at: float, now: float) -> None:
        """Forget what no longer counts."""
        if now > confirmed_at + IN_TOUCH_S:
            return
        for address, doubted_at in list(self.doubted_at.items()):
            if now > doubted_at + SETTLED_S:
                del self.doubted_at[address]
