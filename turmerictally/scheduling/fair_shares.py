"""Divide slots among teams by weighted max-min fairness when demand exceeds them.

A team's usage is the number of slots it holds at a time, which equals its slot seconds
per second.
"""

import collections
import collections.abc
import hashlib
import heapq

import attrs

# Weight of an output token relative to a prompt token: servers generate output tokens
# one by one and process prompts in bulk.
OUTPUT_WEIGHT = 10
# Weight of the latest response in the exponentially weighted averages.
SMOOTHING = 0.05
INITIAL_SERVICE_S = 1.0  # slot seconds of a request before one has completed
# Slots that each team with demand gets before weights apply, as slots are indivisible.
GUARANTEED_SLOTS = 1.0
# Exponent of a general shortage: with 0 each request above its team's exact share comes
# after the others, with 1 only those of teams that lack more than the others do.
LENIENCE = 0.4
RANK_BYTES = 8
SEPARATOR = "\n"  # between service and team in the keys sent to other hosts


def request_size(prompt_tokens: int, output_tokens: int) -> int:
    """Return a request's size in prompt token equivalents."""
    return prompt_tokens + OUTPUT_WEIGHT * output_tokens


def request_rank(request_id: str) -> float:
    """Return a request's rank among its team's in [0, 1), the same on all hosts."""
    hashed = hashlib.blake2b(request_id.encode(), digest_size=RANK_BYTES).digest()
    return int.from_bytes(hashed) / 256**RANK_BYTES


def max_min_shares(
    demands: collections.abc.Mapping[str, float],
    slots: float,
    weights: collections.abc.Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return each team's max-min fair share of ``slots``, at most its demand.

    Teams without a positive weight get the mean of the positive weights.
    """
    positive = [weight for weight in (weights or {}).values() if weight > 0]
    mean_weight = sum(positive) / len(positive) if positive else 1.0

    def weight_of(team: str) -> float:
        weight = weights.get(team, 0.0) if weights else 0.0
        return weight if weight > 0 else mean_weight

    unserved = {team: demand for team, demand in demands.items() if demand > 0}
    team_weights = {team: weight_of(team) for team in unserved}
    remaining, total_weight = max(0.0, slots), sum(team_weights.values())
    shares = dict.fromkeys(demands, 0.0)
    for team in sorted(unserved, key=lambda name: unserved[name] / team_weights[name]):
        shares[team] = min(
            unserved[team], remaining * team_weights[team] / total_weight
        )
        remaining -= shares[team]
        total_weight -= team_weights[team]
    return shares


@attrs.define
class ServiceTimes:
    """Estimate the slot seconds of requests from their sizes and past responses."""

    seconds_per_token: float = 0.0
    mean_s: float = INITIAL_SERVICE_S
    has_samples: bool = False

    def record(self, seconds: float, size: int) -> None:
        """Add a request that a server answered completely."""
        latest = seconds / max(1, size)
        if not self.has_samples:
            self.has_samples, self.seconds_per_token, self.mean_s = (
                True,
                latest,
                seconds,
            )
        self.seconds_per_token += SMOOTHING * (latest - self.seconds_per_token)
        self.mean_s += SMOOTHING * (seconds - self.mean_s)

    def expected_s(self, size: int) -> float:
        """Return the expected slot seconds of a request, the mean if ``size`` is 0."""
        return (
            size * self.seconds_per_token if size and self.has_samples else self.mean_s
        )


@attrs.define(eq=False)
class TeamDemand:
    """Count the slots that teams use or demand at each service, over all hosts.

    ``remote`` is the sum of the other hosts' reports, keyed as in ``own_demand``.
    ``active`` counts this host's requests that run or wait. ``refused`` holds those
    that were refused for lack of slots, until the time at which they would have ended.
    """

    remote: collections.abc.Mapping[str, int]
    active: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    refused: list[tuple[float, tuple[str, str]]] = attrs.Factory(list)
    weights: collections.abc.Mapping[str, float] = attrs.Factory(dict)

    def add(self, service: str, team: str) -> None:
        """Count a request from now on, whether it runs or waits."""
        self.active[service, team] += 1

    def remove(self, service: str, team: str) -> None:
        """Stop counting a request."""
        self.active[service, team] -= 1
        if self.active[service, team] <= 0:
            del self.active[service, team]

    def record_refusal(self, service: str, team: str, until: float) -> None:
        """Count a request refused for lack of slots until it would have ended.

        Otherwise a team's demand would drop as soon as its requests are refused.
        """
        heapq.heappush(self.refused, (until, (service, team)))

    def own_demand(self, now: float) -> dict[str, int]:
        """Return this host's demand by service and team, for other hosts."""
        own = self._own_counts(now).items()
        return {f"{s}{SEPARATOR}{t}": count for (s, t), count in own}

    def demands(self, service: str, now: float) -> dict[str, float]:
        """Return each team's demand in slots, over all hosts."""
        totals: collections.Counter[str] = collections.Counter()
        for (of_service, team), count in self._own_counts(now).items():
            if of_service == service:
                totals[team] += count
        prefix = f"{service}{SEPARATOR}"
        for key, count in self.remote.items():
            if key.startswith(prefix):
                totals[key.removeprefix(prefix)] += count
        return dict(totals)

    def services(self) -> set[str]:
        """Return the services with any demand."""
        names = {service for service, _ in self.active}
        return names | {key.partition(SEPARATOR)[0] for key in self.remote}

    def shares(self, service: str, slots: float, now: float) -> dict[str, float]:
        """Return how many of a service's ``slots`` each team may hold."""
        demands = self.demands(service, now)
        guaranteed = max_min_shares(
            {name: min(count, GUARANTEED_SLOTS) for name, count in demands.items()},
            slots,
        )
        rest = {team: demand - guaranteed[team] for team, demand in demands.items()}
        extra = max_min_shares(rest, slots - sum(guaranteed.values()), self.weights)
        return {team: guaranteed[team] + extra[team] for team in demands}

    def admitted_ratio(
        self, service: str, team: str, slots: float, now: float
    ) -> float:
        """Return the fraction of a team's requests that may start, from 0 to 1."""
        demand = self.demands(service, now).get(team, 0.0)
        if not demand:
            return 1.0
        return self.shares(service, slots, now)[team] / demand

    def relative_ratio(
        self, service: str, team: str, slots: float, now: float
    ) -> float:
        """Return the fraction of a team's requests that count as within its share.

        In a mild shortage that all teams share alike, that is nearly all of them: then
        no team's requests need to come after those of others.
        """
        demand = sum(self.demands(service, now).values())
        if not demand:
            return 1.0
        if slots <= 0:
            return 0.0
        overall_ratio = min(1.0, slots / demand)
        ratio = self.admitted_ratio(service, team, slots, now)
        return min(1.0, ratio / overall_ratio**LENIENCE)

    def is_within_guarantee(self, service: str, team: str, now: float) -> bool:
        """Return whether a team's demand is at most its guaranteed slot."""
        return self.demands(service, now).get(team, 0.0) <= GUARANTEED_SLOTS

    def _own_counts(self, now: float) -> collections.Counter[tuple[str, str]]:
        while self.refused and self.refused[0][0] <= now:
            heapq.heappop(self.refused)
        return self.active + collections.Counter(key for _, key in self.refused)
