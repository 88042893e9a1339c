"""Limit the rate of requests from all hosts to a server, without messages.

Cold servers are limited, and those that name a limit of their own. A server's rate is
divided into permits, each worth one request per period, of which two hosts that see
each other's rows never own the same one.
"""

import bisect
import collections.abc
import functools
import importlib
import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from turmerictally.scheduling import permit_rings

# Time between two requests on one permit. The rate is counted over one second; the
# rest covers the difference in delay of two requests on busy hosts and links.
PERMIT_PERIOD_S = 1.05
# Periods over which requests are counted on permits of a named limit. Load comes in
# waves, and what a quiet second leaves is used in the next one.
LIMIT_PERIODS = 4
# Longest time over which they are counted: a server that names a very low limit gets
# its few requests one by one.
MAX_LIMIT_WINDOW_S = 15.0
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
        return self.is_listed(host) and self.age_s < VIEW_SETTLE_S - STORE_CALL_MARGIN_S

    def is_listed(self, host: str) -> bool:
        """Return whether the other hosts have had ``host`` in their views for long.

        Hosts that were added since this view was read may have taken over permits.
        """
        return (
            host in self.hosts
            and self.own_row_age_s >= VIEW_SETTLE_S
            and self.renewal_age_s < MAX_RENEWAL_AGE_S
        )


@attrs.frozen
class FleetRate:
    """Hold the rate of a server over all hosts, divided into permits.

    Each permit is worth ``periods`` requests in as many periods.
    """

    permits: int
    period_s: float
    periods: int
    is_named: bool

    @property
    def per_s(self) -> float:
        """Return the requests a second."""
        return self.permits / self.period_s


@attrs.define(eq=False)
class RestrictedServer:
    """Hold a cold or limited server's times and this host's requests to it.

    ``until``, ``usable_from`` and ``send_times``, in order, are monotonic seconds; a
    server that only named a limit was never cold. ``reserved`` counts requests that
    are assigned to the server and wait for a connection. ``owned_permits`` is
    cached for ``permits_inputs``: the rings' generation and the number of permits.
    """

    until: float = float("-inf")
    usable_from: float = float("-inf")
    reserved: int = 0
    sent: int = 0
    send_times: list[float] = attrs.Factory(list)
    permits_inputs: tuple[int, int] | None = None
    owned_permits: int = 0


@attrs.define(eq=False)
class RateBudgets:
    """Track this host's permits for each cold server and each that named a limit.

    ``rate_of`` returns the rate of a server while it is cold in requests per second
    over all hosts, 0 for no limit; ``overshoot`` is the factor by which that may be
    exceeded. ``limit_of`` returns the limit that a server named, None for no limit.
    """

    host: str = ""
    rate_of: collections.abc.Callable[[str], float] = lambda server: 0.0
    read_view: collections.abc.Callable[[], HostTableView] = HostTableView
    overshoot: float = 1.0
    limit_of: collections.abc.Callable[[str], float | None] = lambda server: None
    servers: dict[str, RestrictedServer] = attrs.Factory(dict)
    start_times: dict[str, int] = attrs.Factory(dict)
    cached_view: HostTableView = attrs.field(factory=HostTableView)
    cached_at: float = float("-inf")

    @functools.cached_property
    def rings(self) -> "permit_rings.PermitRings":
        """Return which permits belong to this host."""
        # Imported once a server is restricted: starts wait for each module.
        module = importlib.import_module("turmerictally.scheduling.permit_rings")
        return module.PermitRings(self.host)

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

    def is_restricted(self, server: str, now: float) -> bool:
        """Return whether a server is cold or named a limit."""
        return self.limit_of(server) is not None or self.is_cold(server, now)

    def may_send(self, server: str, now: float) -> bool:
        """Return whether one more request may be sent to a server now."""
        if not self.is_restricted(server, now):
            return True
        entry = self._entry(server)
        if now < entry.usable_from:
            return False
        rate = self._fleet_rate(server, now)
        used = self._permits_used(entry, now, rate, rate.periods)
        return used < self.owned_permits(server, now) * rate.periods

    def is_idle(self, server: str, now: float) -> bool:
        """Return whether this host used none of a server's permits for 2 periods.

        Batch items take a permit only then, when online requests do not need it.
        """
        entry = self._entry(server)
        rate = self._fleet_rate(server, now)
        return now >= entry.usable_from and not self._permits_used(entry, now, rate, 2)

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
        """Return how many of a restricted server's permits belong to this host."""
        entry = self._entry(server)
        if now >= self.cached_at + VIEW_REFRESH_S:
            self.cached_view, self.cached_at = self.read_view(), now
            self.rings.update(self.cached_view.hosts)
        rate = self._fleet_rate(server, now)
        # Long without the store, a host keeps its permits of named limits: such servers
        # may be most of all, for as long as it lasts.
        view = self.cached_view
        if not (
            view.is_listed(self.host) if rate.is_named else view.is_settled(self.host)
        ):
            return 0
        inputs = self.rings.generation, rate.permits
        if entry.permits_inputs != inputs:
            entry.permits_inputs = inputs
            entry.owned_permits = self.rings.count_owned(server, rate.permits)
        return entry.owned_permits

    def expire(self, now: float) -> list[tuple[str, RestrictedServer]]:
        """End the warm-ups that are over, and return their servers."""
        warm = []
        for name, entry in list(self.servers.items()):
            if now < entry.until:
                continue
            if entry.until > float("-inf"):
                warm.append((name, entry))
            if self.limit_of(name) is None:
                del self.servers[name]
            else:
                entry.until = float("-inf")
        return warm

    def _entry(self, server: str) -> RestrictedServer:
        """Return what is known of a restricted server; one may be new to this host."""
        return self.servers.setdefault(server, RestrictedServer())

    @staticmethod
    def _permits_used(
        entry: RestrictedServer, now: float, rate: FleetRate, periods: int
    ) -> int:
        kept_s = max(2, rate.periods) * rate.period_s
        expired = bisect.bisect_right(entry.send_times, now - kept_s)
        # Not one by one: that would move all the others each time.
        if expired > len(entry.send_times) // 2:
            del entry.send_times[:expired]
        since = now - periods * rate.period_s
        sent_before = bisect.bisect_right(entry.send_times, since)
        return entry.reserved + len(entry.send_times) - sent_before

    def _fleet_rate(self, server: str, now: float) -> FleetRate:
        """Return a restricted server's rate, the lower one if there are two."""
        limit = self.limit_of(server)
        if limit is None:
            return self._cold_rate(server)
        permits = math.ceil(limit)
        period_s = permits / limit
        periods = min(LIMIT_PERIODS, max(1, int(MAX_LIMIT_WINDOW_S / period_s)))
        named = FleetRate(permits, period_s, periods, is_named=True)
        if not self.is_cold(server, now):
            return named
        return min(named, self._cold_rate(server), key=lambda rate: rate.per_s)

    def _cold_rate(self, server: str) -> FleetRate:
        rate = self.rate_of(server) * self.overshoot
        if rate >= 1:
            return FleetRate(int(rate), PERMIT_PERIOD_S, 1, is_named=False)
        period_s = PERMIT_PERIOD_S / rate if rate > 0 else float("inf")
        return FleetRate(1, period_s, 1, is_named=False)
