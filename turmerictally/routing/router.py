"""Choose the backend server for a request."""

import collections.abc
import random

import attrs

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.routing import affinity, load, servers, subset
from turmerictally.scheduling import circuits

# A server in another failure domain is preferred only if its cost, as a fraction of
# its capacity, is lower by this much.
SPILL_MARGIN = 0.05
# Random draws before the complete subset is searched.
MAX_DRAWS = 6
# How often a subset is recomputed for a changed number of live hosts.
SUBSET_REFRESH_S = 5.0
RETRY_AFTER_S = 1.0
MAX_CACHED_PREFIXES = 4096


@attrs.define
class CachedSubset:
    """Cache a host's subset of a group and the version it was computed from.

    ``preferred`` maps prefixes to the rendezvous choice among the subset's servers.
    """

    subset: subset.Subset
    version: int
    refresh_at: float
    preferred: dict[str, str] = attrs.Factory(dict)

    def preferred_server(self, prefix: str) -> str:
        """Return the server that every host of the domain chooses for a new prefix."""
        address = self.preferred.get(prefix)
        if address is None:
            if len(self.preferred) >= MAX_CACHED_PREFIXES:
                self.preferred.clear()
            address = subset.rendezvous_choice(prefix, self.subset.own)
            self.preferred[prefix] = address
        return address


class Router:
    """Choose among a bounded subset by prefix, estimated load and failure domain.

    ``count_hosts`` returns the number of live hosts in this host's failure domain.
    """

    def __init__(
        self,
        host_id: str,
        domain: str,
        options: settings.Routing,
        directory: servers.ServerDirectory,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        count_hosts: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        self.host_id = host_id
        self.domain = domain
        self.options = options
        self.servers = directory
        self.clock = clock
        self.rng = rng
        self.count_hosts = count_hosts
        self.health = circuits.CircuitBreakers(options.unhealthy_after, options.probe_s)
        self.loads = load.LoadTracker(
            options.report_max_age_s, options.max_running_per_server
        )
        self.affinity = affinity.PrefixIndex()
        self.subsets: dict[str, CachedSubset] = {}
        self.on_request_started: list[collections.abc.Callable[[str], None]] = []

    def choose(
        self,
        requirements: servers.ServerRequirements,
        exclude: collections.abc.Collection[str] = (),
        *,
        require_free_slot: bool = False,
    ) -> servers.Server | None:
        """Return the chosen server, or None if a slot is required and none is free.

        Raises ``errors.Error`` with ``NO_BACKEND_SERVER`` if no server is available.
        """
        now = self.clock.monotonic()
        host_subset = self.subset(requirements.group)
        address = self._choose_by_prefix(requirements, host_subset, exclude, now)
        if address is None:
            address = self._choose_by_load(requirements, host_subset, exclude, now)
        if address is None:
            raise errors.Error(
                errors.Kind.NO_BACKEND_SERVER, retry_after_s=RETRY_AFTER_S
            )
        if require_free_slot and not self._has_free_slot(address, now):
            address = self._least_loaded(host_subset, exclude, now)
        return self.servers.by_address[address] if address else None

    def request_started(self, address: str, prefix: str = "") -> None:
        """Count an online request as sent to a server."""
        now = self.clock.monotonic()
        self.health.request_started(address, now)
        self.loads.request_started(address, now)
        if prefix:
            self.affinity.add(prefix, address, now)
        for notify in self.on_request_started:
            notify(address)

    def request_ended(self, address: str) -> None:
        """Count an online request as ended."""
        self.loads.request_ended(address, self.clock.monotonic())

    def subset(self, group: str) -> subset.Subset:
        """Return this host's subset of a group of servers."""
        now = self.clock.monotonic()
        cached = self.subsets.get(group)
        if (
            cached
            and cached.version == self.servers.version
            and (now < cached.refresh_at)
        ):
            return cached.subset
        selected = subset.select(
            self.host_id,
            group,
            self.servers.addresses_by_domain(group),
            self.domain,
            self.options.subset_size,
            self.count_hosts(),
        )
        preferred = cached.preferred if cached and cached.subset == selected else {}
        self.subsets[group] = CachedSubset(
            selected, self.servers.version, now + SUBSET_REFRESH_S, preferred
        )
        return selected

    def server_replaced(self, address: str) -> None:
        """Drop all state about a server's previous instance."""
        self.health.forget(address)
        self.loads.forget_reports(address)
        self.affinity.forget_server(address, self.clock.monotonic())

    def _usable(self, address: str, exclude, now: float) -> bool:
        return (
            address not in exclude
            and self.servers.accepts_requests(address)
            and self.health.allows(address, now)
        )

    def _cost(self, address: str, group: str, now: float) -> float:
        # Includes the request to be sent, so that slowness counts on idle servers too.
        total = self.loads.total_requests(address, now) + 1
        slowness = self.loads.slowness_factor(address, group, now)
        return slowness * total / self.loads.capacity(address)

    def _choose_by_prefix(
        self, requirements, host_subset, exclude, now: float
    ) -> str | None:
        if not requirements.prefix or not host_subset.own:
            return None
        candidates = self.affinity.lookup(requirements.prefix)
        candidates = [a for a in candidates if a in host_subset.own]
        candidates.append(
            self.subsets[requirements.group].preferred_server(requirements.prefix)
        )
        for address in candidates:
            if self._usable(address, exclude, now) and self._keeps_load_balanced(
                address, requirements.group, (*host_subset.own, *host_subset.spill), now
            ):
                return address
        return None

    def _keeps_load_balanced(self, address, group, addresses, now: float) -> bool:
        """Return whether choosing the server by prefix keeps the load balanced.

        Its cost may be up to ``affinity_max_load`` times the average of a random
        sample, plus one request.
        """
        cost = self._cost(address, group, now)
        costs = [
            self._cost(candidate, group, now) for candidate in self._sample(addresses)
        ]
        average = sum(costs) / len(costs)
        one_request = 1.0 / self.loads.capacity(address)
        return cost <= self.options.affinity_max_load * average + one_request

    def _least_loaded(self, host_subset, exclude, now: float) -> str | None:
        """Return the server with the lowest online load, if it has a free slot."""
        usable = [
            address
            for address in (*host_subset.own, *host_subset.spill)
            if self._usable(address, exclude, now)
        ]
        best = min(usable, key=lambda a: self.loads.online_ratio(a, now), default=None)
        if best is None or not self._has_free_slot(best, now):
            return None
        return best

    def _has_free_slot(self, address: str, now: float) -> bool:
        # Batch requests are preempted, so they do not count as occupying slots.
        return self.loads.online_ratio(address, now) < 1.0

    def _sample(self, addresses) -> list[str]:
        return [self.rng.choice(addresses) for _ in range(min(4, len(addresses)))]

    def _choose_by_load(
        self, requirements, host_subset, exclude, now: float
    ) -> str | None:
        own = self._power_of_two_choices(
            host_subset.own, requirements.group, exclude, now
        )
        if own and self._cost(own, requirements.group, now) <= SPILL_MARGIN:
            return own
        other = self._power_of_two_choices(
            host_subset.spill, requirements.group, exclude, now
        )
        if own is None or other is None:
            return own or other
        own_cost = self._cost(own, requirements.group, now)
        other_cost = self._cost(other, requirements.group, now)
        return own if own_cost <= other_cost + SPILL_MARGIN else other

    def _power_of_two_choices(
        self, addresses, group, exclude, now: float
    ) -> str | None:
        candidates: list[str] = []
        for _ in range(MAX_DRAWS):
            if not addresses or len(candidates) == 2:
                break
            address = self.rng.choice(addresses)
            if address not in candidates and self._usable(address, exclude, now):
                candidates.append(address)
        if not candidates:
            candidates = [a for a in addresses if self._usable(a, exclude, now)]
        return min(candidates, key=lambda a: self._cost(a, group, now), default=None)
