"""Share slots among teams by weighted max-min, where fewer exist than are asked for.

A team's use is counted in slots held at once, which are its slot seconds a second.
"""

import collections
import collections.abc
import hashlib
import heapq

import attrs

# What an output token counts for beside one of the prompt: servers make outputs one by
# one and read prompts in bulk.
OUTPUT_WEIGHT = 10
# Weight of the latest answer in the expected slot seconds of a token.
SMOOTHING = 0.05
FIRST_GUESS_S = 1.0  # slot seconds of a request before one has ended
# Slots of each team that asks before shares are weighed, as slots cannot be divided.
FIRST_SLOTS = 1.0
RANK_BYTES = 8
SEPARATOR = "\n"  # of service and team in keys that are told; names hold none


def size_of(prompt_tokens: int, output_tokens: int) -> int:
    """Return a request's size, in tokens of the prompt."""
    return prompt_tokens + OUTPUT_WEIGHT * output_tokens


def rank_of(request_id: str) -> float:
    """Return a request's rank among its team's, in [0, 1), alike on all hosts."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=RANK_BYTES).digest()
    return int.from_bytes(digest) / 256**RANK_BYTES


def max_min(
    demands: collections.abc.Mapping[str, float],
    room: float,
    weights: collections.abc.Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return each team's share; none gets more than it asks for.

    Teams without a positive weight have the mean one.
    """
    known = [weight for weight in (weights or {}).values() if weight > 0]
    usual = sum(known) / len(known) if known else 1.0

    def weight_of(team: str) -> float:
        found = weights.get(team, 0.0) if weights else 0.0
        return found if found > 0 else usual

    asking = {team: demand for team, demand in demands.items() if demand > 0}
    weighed = {team: weight_of(team) for team in asking}
    left, weight = max(0.0, room), sum(weighed.values())
    found = dict.fromkeys(demands, 0.0)
    for team in sorted(asking, key=lambda each: asking[each] / weighed[each]):
        found[team] = min(asking[team], left * weighed[team] / weight)
        left -= found[team]
        weight -= weighed[team]
    return found


@attrs.define
class Durations:
    """Expect the slot seconds of requests from their sizes, as answers showed."""

    per_token: float = 0.0
    mean_s: float = FIRST_GUESS_S
    learned: bool = False

    def learn(self, seconds: float, size: int) -> None:
        """Take a request that a server answered whole."""
        each = seconds / max(1, size)
        if not self.learned:
            self.learned, self.per_token, self.mean_s = True, each, seconds
        self.per_token += SMOOTHING * (each - self.per_token)
        self.mean_s += SMOOTHING * (seconds - self.mean_s)

    def expect_s(self, size: int) -> float:
        """Return the expected slot seconds of a request."""
        return size * self.per_token if size and self.learned else self.mean_s


@attrs.define(eq=False)
class TeamWork:
    """Count the slots that teams hold or ask for at a service, over all hosts.

    ``elsewhere`` is what the other hosts tell, by the same keys as ``told``.
    ``refused`` holds this host's requests that found no room, until they would have
    ended.
    """

    elsewhere: collections.abc.Mapping[str, int]
    held: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    refused: list[tuple[float, tuple[str, str]]] = attrs.Factory(list)
    weights: collections.abc.Mapping[str, float] = attrs.Factory(dict)

    def begin(self, service: str, team: str) -> None:
        """Count a request that runs or waits from now on."""
        self.held[service, team] += 1

    def end(self, service: str, team: str) -> None:
        """Count it no more."""
        self.held[service, team] -= 1
        if self.held[service, team] <= 0:
            del self.held[service, team]

    def miss(self, service: str, team: str, until: float) -> None:
        """Count a request that is refused for want of room until it would have ended.

        Otherwise a demand would fall as soon as it is not served.
        """
        heapq.heappush(self.refused, (until, (service, team)))

    def told(self, now: float) -> dict[str, int]:
        """Return this host's part of the demand, by service and team."""
        own = self._own(now).items()
        return {f"{s}{SEPARATOR}{t}": count for (s, t), count in own}

    def demands(self, service: str, now: float) -> dict[str, float]:
        """Return the slots that each team asks for, over all hosts."""
        found: collections.Counter[str] = collections.Counter()
        for (of, team), count in self._own(now).items():
            if of == service:
                found[team] += count
        prefix = f"{service}{SEPARATOR}"
        for key, count in self.elsewhere.items():
            if key.startswith(prefix):
                found[key.removeprefix(prefix)] += count
        return dict(found)

    def services(self) -> set[str]:
        """Return the services that anybody asks for now."""
        found = {service for service, _ in self.held}
        return found | {key.partition(SEPARATOR)[0] for key in self.elsewhere}

    def shares(self, service: str, room: float, now: float) -> dict[str, float]:
        """Return the slots of ``room`` that each team may hold."""
        demands = self.demands(service, now)
        firsts = max_min({t: min(d, FIRST_SLOTS) for t, d in demands.items()}, room)
        rest = {team: demand - firsts[team] for team, demand in demands.items()}
        more = max_min(rest, room - sum(firsts.values()), self.weights)
        return {team: firsts[team] + more[team] for team in demands}

    def part(self, service: str, team: str, room: float, now: float) -> float:
        """Return the part of a team's requests that may start, from 0 to 1."""
        demand = self.demands(service, now).get(team, 0.0)
        if not demand:
            return 1.0
        return self.shares(service, room, now)[team] / demand

    def is_rare(self, service: str, team: str, now: float) -> bool:
        """Return whether a team asks for no more than each team's first slot."""
        return self.demands(service, now).get(team, 0.0) <= FIRST_SLOTS

    def _own(self, now: float) -> collections.Counter[tuple[str, str]]:
        while self.refused and self.refused[0][0] <= now:
            heapq.heappop(self.refused)
        return self.held + collections.Counter(key for _, key in self.refused)
