"""Track the request rates that backend servers name as their limits.

A server in need names in its responses how many requests a second it takes from all
hosts together. The limit holds for as long as responses to any host name it. One that
no server reaches is none: it would only keep hosts from sending that may not use their
permits yet.
"""

import attrs

# Without any response for so long a limit is forgotten, as nobody can tell of it.
LIMIT_TTL_S = 15.0
# With a limit below one request in a second, in the mean times between two requests.
LIMIT_TTL_REQUESTS = 3.0
# Lowest limit in requests a second. A server that gets none can't say that its need is
# over.
MIN_LIMIT_PER_S = 1 / LIMIT_TTL_S
MAX_LIMITED_SERVERS = 1000
# Requests a second above which a limit is none. More than any single server is sent.
MAX_LIMIT_PER_S = 10_000.0

# By server: its limit in requests a second (0 if none), the seconds since the sender
# saw it, and the start time of the server's incarnation in milliseconds.
Report = dict[str, tuple[float, float, int]]


@attrs.frozen
class NamedLimit:
    """Hold the limit that a server's response named, 0 for none.

    ``seen_at`` is monotonic seconds.
    """

    per_s: float
    seen_at: float
    born_ms: int

    def is_known(self, now: float) -> bool:
        """Return whether the response is recent enough to tell of the limit."""
        gap_s = 1 / self.per_s if self.per_s else 0.0
        return now - self.seen_at < max(LIMIT_TTL_S, LIMIT_TTL_REQUESTS * gap_s)


@attrs.define(eq=False)
class ServerLimits:
    """Hold the latest limit of each server, as this host and the others saw it.

    ``own`` holds what this host saw, the only part that it reports to others.
    """

    latest: dict[str, NamedLimit] = attrs.Factory(dict)
    own: dict[str, NamedLimit] = attrs.Factory(dict)

    def record(
        self, server: str, born_ms: int, per_s: float | None, now: float
    ) -> bool:
        """Record what a response named; return whether the server's limit changed."""
        if per_s is None and server not in self.latest:
            return False
        found = NamedLimit(_binding_limit(per_s or 0.0), now, born_ms)
        self.own.pop(server, None)
        self.own[server] = found
        if len(self.own) > MAX_LIMITED_SERVERS:
            del self.own[next(iter(self.own))]
        return self._apply(server, found, now)

    def receive(self, report: Report, now: float) -> list[str]:
        """Apply what another host saw; return the servers whose limits changed."""
        return [
            server
            for server, (per_s, age_s, born_ms) in report.items()
            if self._apply(
                server, NamedLimit(_binding_limit(per_s), now - age_s, born_ms), now
            )
        ]

    def per_s(self, server: str, now: float) -> float | None:
        """Return the limit of a server in requests a second, None if it has none."""
        found = self.latest.get(server)
        if found is None or not found.is_known(now):
            return None
        return found.per_s or None

    def report(self, now: float) -> Report:
        """Return what this host saw, for the other hosts, and drop what is too old."""
        for limits in (self.own, self.latest):
            for server in [s for s, x in limits.items() if not x.is_known(now)]:
                del limits[server]
        return {
            server: (found.per_s, round(now - found.seen_at, 3), found.born_ms)
            for server, found in self.own.items()
        }

    def remove(self, server: str) -> None:
        """Drop what is known of a server that was removed or started again."""
        self.latest.pop(server, None)
        self.own.pop(server, None)

    def _apply(self, server: str, found: NamedLimit, now: float) -> bool:
        before = self.latest.get(server)
        if before is not None and (before.born_ms, before.seen_at) >= (
            found.born_ms,
            found.seen_at,
        ):
            return False
        if not found.is_known(now):
            return False
        previous = self.per_s(server, now)
        self.latest[server] = found
        return (found.per_s or None) != previous


def binding_rate(per_s: float) -> float:
    """Return a rate in requests a second, 0 for none if no server reaches it."""
    return per_s if per_s <= MAX_LIMIT_PER_S else 0.0


def _binding_limit(per_s: float) -> float:
    """Return the limit that hosts keep to, in requests a second, 0 for none."""
    return max(MIN_LIMIT_PER_S, binding_rate(per_s)) if binding_rate(per_s) else 0.0
