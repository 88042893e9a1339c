"""Limit the rate of requests from all hosts to cold servers, without messages.

A server's rate is divided into permits, each worth one request per period. A permit
belongs to the host that ranks first for it among the hosts in the table, so two hosts
that see each other's rows never own the same permit.
"""

import collections
import collections.abc
import hashlib

import attrs

# Time between two requests on one permit. The rate is counted over one second; the
# rest covers the difference in delay of two requests on busy hosts and links.
PERMIT_PERIOD_S = 1.05
# Time for a host's row to reach every other host's copy of the table. At 400 hosts,
# which read it every 4 s, that is several reads, so a host cut off from the store keeps
# its permits for some seconds.
VIEW_SETTLE_S = 12.0
STORE_CALL_MARGIN_S = 1.0  # allowance for the duration of reads and writes of rows
# A row renewed within this time has not been deleted: that takes two minutes without
# renewal.
MAX_RENEWAL_AGE_S = 60.0
VIEW_REFRESH_S = 0.25  # a new row takes effect only after several seconds anyway
# Cap on the warm-up time that a server reports: no process takes longer, and a faulty
# row must not restrict a server forever.
MAX_COLD_S = 60.0
MAX_START_TIMES = 2000  # servers whose start time is kept, the most recent ones
RANK_BYTES = 4  # of a hash for each permit
HASH_BYTES = 64


@attrs.frozen
class HostTableView:
    """Hold the hosts in this host's copy of the host table, and the copy's age.

    ``own_row_age_s`` is the time since this process first wrote its own row and
    ``renewal_age_s`` the time since it last renewed it.
    """

    hosts: frozenset[str] = frozenset()
    age_s: float = float("inf")
    own_row_age_s: float = 0.0
    renewal_age_s: float = float("inf")

    def is_settled(self, host: str) -> bool:
        """Return whether every host that uses permits has ``host`` in its own view."""
        return (
            host in self.hosts
            and self.own_row_age_s >= VIEW_SETTLE_S
            and self.age_s < VIEW_SETTLE_S - STORE_CALL_MARGIN_S
            and self.renewal_age_s < MAX_RENEWAL_AGE_S
        )


@attrs.define(eq=False)
class RestrictedServer:
    """Hold a cold server's time limits and this host's requests to it.

    ``until`` and ``usable_from`` are monotonic seconds; ``reserved`` counts requests
    that are assigned to the server and wait for a connection. ``owned_permits`` is
    cached for ``permits_inputs``: the hosts in the view and the number of permits.
    """

    until: float
    usable_from: float
    reserved: int = 0
    sent: int = 0
    send_times: collections.deque[float] = attrs.Factory(collections.deque)
    permits_inputs: tuple[frozenset[str], int] | None = None
    owned_permits: int = 0


@attrs.define(eq=False)
class RateBudgets:
    """Track this host's permits for each cold server.

    ``rate_of`` returns a server's limit in requests per second over all hosts, 0 for
    no limit; ``overshoot`` is the factor by which the limit may be exceeded.
    """

    host: str = ""
    rate_of: collections.abc.Callable[[str], float] = lambda server: 0.0
    read_view: collections.abc.Callable[[], HostTableView] = HostTableView
    overshoot: float = 1.0
    servers: dict[str, RestrictedServer] = attrs.Factory(dict)
    start_times: dict[str, int] = attrs.Factory(dict)
    cached_view: HostTableView = attrs.field(factory=HostTableView)
    cached_at: float = float("-inf")

    def record_start(self, server: str, start_ms: int) -> bool:
        """Record a server's start time; return whether it differs from the last one."""
        previous_ms = self.start_times.pop(server, None)
        self.start_times[server] = start_ms
        if len(self.start_times) > MAX_START_TIMES:
            del self.start_times[next(iter(self.start_times))]
        return previous_ms != start_ms

    def mark_cold(
        self, server: str, seconds: float, now: float, *, in_use: bool
    ) -> bool:
        """Treat a server as cold for ``seconds``; return whether it was not before.

        A server that was ``in_use`` gets no request for one period, because requests
        sent just before were not counted against its permits.
        """
        if not seconds > 0:
            return False
        until = now + min(seconds, MAX_COLD_S)
        entry = self.servers.get(server)
        if entry is not None and now < entry.until:
            entry.until = max(entry.until, until)
            return False
        self.servers[server] = RestrictedServer(
            until, now + PERMIT_PERIOD_S if in_use else now
        )
        return True

    def is_cold(self, server: str, now: float) -> bool:
        """Return whether a server is cold and has a rate limit."""
        entry = self.servers.get(server)
        return entry is not None and now < entry.until and self.rate_of(server) > 0

    def may_send(self, server: str, now: float) -> bool:
        """Return whether one more request may be sent to a server now."""
        if not self.is_cold(server, now):
            return True
        entry = self.servers[server]
        if now < entry.usable_from:
            return False
        return self._permits_used(server, entry, now, 1) < self.owned_permits(
            server, now
        )

    def is_idle(self, server: str, now: float) -> bool:
        """Return whether this host used none of a cold server's permits for 2 periods.

        Batch items take a permit only then, when online requests do not need it.
        """
        entry = self.servers[server]
        return now >= entry.usable_from and not self._permits_used(
            server, entry, now, 2
        )

    def reserve(self, server: str, now: float) -> None:
        """Reserve a permit for a request that is about to be sent."""
        if server in self.servers:
            self.servers[server].reserved += 1

    def record_send(self, server: str, now: float) -> None:
        """Use the permit of a reserved request, which is sent now or was abandoned."""
        entry = self.servers.get(server)
        if entry is not None and entry.reserved:
            entry.reserved -= 1
            entry.sent += 1
            entry.send_times.append(now)

    def owned_permits(self, server: str, now: float) -> int:
        """Return how many of a cold server's permits belong to this host."""
        entry = self.servers[server]
        if now >= self.cached_at + VIEW_REFRESH_S:
            self.cached_view, self.cached_at = self.read_view(), now
        if not self.cached_view.is_settled(self.host):
            return 0
        inputs = self.cached_view.hosts, self._fleet_permits(server)[0]
        if entry.permits_inputs != inputs:
            entry.permits_inputs = inputs
            entry.owned_permits = count_owned(server, self.host, *inputs)
        return entry.owned_permits

    def expire(self, now: float) -> list[tuple[str, RestrictedServer]]:
        """Remove the servers that have warmed up and return them."""
        warm = [
            (name, entry) for name, entry in self.servers.items() if now >= entry.until
        ]
        for name, _ in warm:
            del self.servers[name]
        return warm

    def _permits_used(
        self, server: str, entry: RestrictedServer, now: float, periods: int
    ) -> int:
        period_s = self._fleet_permits(server)[1]
        while entry.send_times and entry.send_times[0] <= now - 2 * period_s:
            entry.send_times.popleft()
        since = now - periods * period_s
        return entry.reserved + sum(at > since for at in entry.send_times)

    def _fleet_permits(self, server: str) -> tuple[int, float]:
        """Return the number of a server's permits over all hosts, and their period."""
        rate = self.rate_of(server) * self.overshoot
        if rate >= 1:
            return int(rate), PERMIT_PERIOD_S
        return 1, PERMIT_PERIOD_S / rate if rate > 0 else float("inf")


def count_owned(
    server: str, host: str, hosts: collections.abc.Iterable[str], permits: int
) -> int:
    """Return for how many of a server's permits a host ranks first."""
    per_hash = HASH_BYTES // RANK_BYTES
    count = 0
    for first in range(0, permits, per_hash):
        own_ranks = _ranks(server, host, first)
        candidates = list(range(min(per_hash, permits - first)))
        for other in hosts:
            if not candidates:
                break
            if other == host:
                continue
            ranks = _ranks(server, other, first)
            candidates = [
                n for n in candidates if (own_ranks[n], host) > (ranks[n], other)
            ]
        count += len(candidates)
    return count


def _ranks(server: str, host: str, first: int) -> list[bytes]:
    hashed = hashlib.blake2b(f"{server}/{first}/{host}".encode()).digest()
    return [hashed[n : n + RANK_BYTES] for n in range(0, HASH_BYTES, RANK_BYTES)]
