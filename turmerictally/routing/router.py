"""Choose the backend server of one request."""

import collections.abc
import random

import attrs

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.routing import affinity, health, load, servers, subset

# Cost, in parts of a capacity, by which a server in another failure domain must be
# better than one in the own domain.
SPILL_MARGIN = 0.05
# Random draws before the whole subset is searched.
MAX_DRAWS = 6
# Seconds after which a subset follows the number of live hosts.
SUBSET_REFRESH_S = 5.0
RETRY_AFTER_S = 1.0
MAX_CACHED_PREFIXES = 4096


@attrs.define
class CachedSubset:
    """Hold a computed subset and what it was computed from."""

    subset: subset.Subset
    version: int
    refresh_at: float
    preferred: dict[str, str] = attrs.Factory(dict)

    def preferred_server(self, prefix: str) -> str:
        """Return the server that every host of the domain picks for a new prefix."""
        found = self.preferred.get(prefix)
        if found is None:
            if len(self.preferred) >= MAX_CACHED_PREFIXES:
                self.preferred.clear()
            found = subset.rendezvous_choice(prefix, self.subset.own)
            self.preferred[prefix] = found
        return found


class Router:
    """Choose among a bounded subset by corrected load, prefix and domain.

    ``count_hosts`` returns the number of live hosts in the own failure domain.
    """

    def __init__(
        self,
        host_id: str,
        domain: str,
        options: settings.Routing,
        known: servers.ServerDirectory,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        count_hosts: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        self.host_id = host_id
        self.domain = domain
        self.options = options
        self.servers = known
        self.clock = clock
        self.rng = rng
        self.count_hosts = count_hosts
        self.health = health.CircuitBreakers(options.unhealthy_after, options.probe_s)
        self.loads = load.LoadTracker(
            options.report_max_age_s, options.max_running_per_server
        )
        self.affinity = affinity.PrefixIndex()
        self.subsets: dict[str, CachedSubset] = {}
        self.on_request_started: list[collections.abc.Callable[[str], None]] = []

    def choose(
        self,
        wanted: servers.ServerRequirements,
        exclude: collections.abc.Collection[str] = (),
        *,
        require_free_slot: bool = False,
    ) -> servers.Server | None:
        """Return a server; None when ``require_free_slot`` and all drawn are full.

        Raises ``errors.Error`` with ``NO_BACKEND_SERVER`` when none takes work.
        """
        now = self.clock.monotonic()
        current = self.subset(wanted.group)
        address = self._by_prefix(wanted, current, exclude, now)
        if address is None:
            address = self._by_load(wanted, current, exclude, now)
        if address is None:
            raise errors.Error(
                errors.Kind.NO_BACKEND_SERVER, retry_after_s=RETRY_AFTER_S
            )
        if require_free_slot and not self._has_room(address, now):
            address = self._least_loaded(current, exclude, now)
        return self.servers.by_address[address] if address else None

    def request_started(self, address: str, prefix: str = "") -> None:
        """Count a request as sent."""
        now = self.clock.monotonic()
        self.health.request_started(address, now)
        self.loads.request_started(address, now)
        if prefix:
            self.affinity.add(prefix, address, now)
        for notify in self.on_request_started:
            notify(address)

    def request_ended(self, address: str) -> None:
        """Count a request as ended."""
        self.loads.request_ended(address, self.clock.monotonic())

    def subset(self, name: str) -> subset.Subset:
        """Return the host's subset for a group of servers."""
        now = self.clock.monotonic()
        cached = self.subsets.get(name)
        if (
            cached
            and cached.version == self.servers.version
            and (now < cached.refresh_at)
        ):
            return cached.subset
        found = subset.select(
            self.host_id,
            name,
            self.servers.addresses_by_domain(name),
            self.domain,
            self.options.subset_size,
            self.count_hosts(),
        )
        preferred = cached.preferred if cached and cached.subset == found else {}
        self.subsets[name] = CachedSubset(
            found, self.servers.version, now + SUBSET_REFRESH_S, preferred
        )
        return found

    def server_replaced(self, address: str) -> None:
        """Drop what was learned about a server's former instance."""
        self.health.forget(address)
        self.loads.forget_reports(address)
        self.affinity.forget_server(address, self.clock.monotonic())

    def _usable(self, address: str, exclude, now: float) -> bool:
        return (
            address not in exclude
            and self.servers.takes_work(address)
            and self.health.allows(address, now)
        )

    def _cost(self, address: str, name: str, now: float) -> float:
        # The added request counts, so that slowness matters on idle servers too.
        total = self.loads.total_requests(address, now) + 1
        slow = self.loads.slowness_factor(address, name, now)
        return slow * total / self.loads.capacity(address)

    def _by_prefix(self, wanted, current, exclude, now: float) -> str | None:
        if not wanted.prefix or not current.own:
            return None
        candidates = self.affinity.lookup(wanted.prefix)
        candidates = [a for a in candidates if a in current.own]
        candidates.append(self.subsets[wanted.group].preferred_server(wanted.prefix))
        for address in candidates:
            if self._usable(address, exclude, now) and self._bounded(
                address, wanted.group, (*current.own, *current.spill), now
            ):
                return address
        return None

    def _bounded(self, address, name, addresses, now: float) -> bool:
        """Tell whether affinity to a server keeps the load even."""
        cost = self._cost(address, name, now)
        costs = [self._cost(each, name, now) for each in self._draw(addresses)]
        average = sum(costs) / len(costs)
        one = 1.0 / self.loads.capacity(address)
        return cost <= self.options.affinity_max_load * average + one

    def _least_loaded(self, current, exclude, now: float) -> str | None:
        """Return the least loaded server of the subset if it has room."""
        usable = [
            address
            for address in (*current.own, *current.spill)
            if self._usable(address, exclude, now)
        ]
        best = min(usable, key=lambda a: self.loads.online_ratio(a, now), default=None)
        if best is None or not self._has_room(best, now):
            return None
        return best

    def _has_room(self, address: str, now: float) -> bool:
        # Batch work yields, so online requests do not wait for it here.
        return self.loads.online_ratio(address, now) < 1.0

    def _draw(self, addresses) -> list[str]:
        return [self.rng.choice(addresses) for _ in range(min(4, len(addresses)))]

    def _by_load(self, wanted, current, exclude, now: float) -> str | None:
        own = self._two_choices(current.own, wanted.group, exclude, now)
        if own and self._cost(own, wanted.group, now) <= SPILL_MARGIN:
            return own
        other = self._two_choices(current.spill, wanted.group, exclude, now)
        if own is None or other is None:
            return own or other
        here = self._cost(own, wanted.group, now)
        there = self._cost(other, wanted.group, now)
        return own if here <= there + SPILL_MARGIN else other

    def _two_choices(self, addresses, name, exclude, now: float) -> str | None:
        drawn: list[str] = []
        for _ in range(MAX_DRAWS):
            if not addresses or len(drawn) == 2:
                break
            address = self.rng.choice(addresses)
            if address not in drawn and self._usable(address, exclude, now):
                drawn.append(address)
        if not drawn:
            drawn = [a for a in addresses if self._usable(a, exclude, now)]
        return min(drawn, key=lambda a: self._cost(a, name, now), default=None)
