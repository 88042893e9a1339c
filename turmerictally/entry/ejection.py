"""Eject servers whose requests fail, based on the outcomes that all hosts observed.

Everything here is computed from counts and times, without I/O.
"""

import collections
import collections.abc

import attrs

WINDOW_S = 4.0  # sliding window of outcomes: about 18 a server at typical rates
WINDOW_STEPS = 4  # parts of the window, which expire one by one
# A sound server may fail one request in twenty under heavy load; six failures in 18 are
# then no coincidence.
MAX_FAILED_RATIO = 0.3
MIN_FAILED = 4  # of 18; fewer may be coincidence at one in twenty
# With this many outcomes observed in the own failure domain, those of other domains do
# not count. Failures observed in only one other domain never do: a server may fail for
# some callers only.
MIN_OWN_OUTCOMES = 5
MIN_FAILING_DOMAINS = 2
EJECTION_S = 4.0  # the first time; doubled after each failed probation
MAX_EJECTION_S = 16.0
PROBATION_S = 2.0  # with few requests, before a server counts as sound again
# An ejection this recent is taken back if failures that it rests on were a host's own.
RECONSIDER_S = 2.0
BACKOFF_RESET_S = 30.0  # without an ejection, after which the next one is short again
# Of a service's servers. If more fail, overload is the cause.
MAX_EJECTED_RATIO = 0.5
# Successes added to a server's outcomes when servers are compared: with a single
# failure, its reliability is then four fifths.
PRIOR_SUCCESSES = 4.0

Outcomes = collections.abc.Mapping[tuple[str, bool], int]


class RecentOutcomes:
    """Count one host's outcomes by server over the last ``WINDOW_S``."""

    def __init__(self) -> None:
        self.steps: collections.deque[tuple[int, dict[str, list[int]]]] = (
            collections.deque()
        )

    def record(self, server: str, answered: bool, now: float) -> None:
        """Count one outcome."""
        step = int(now * WINDOW_STEPS / WINDOW_S)
        if not self.steps or self.steps[-1][0] != step:
            self.steps.append((step, {}))
        counts = self.steps[-1][1].setdefault(server, [0, 0])
        counts[0 if answered else 1] += 1

    def drop_failures(self) -> None:
        """Forget the failures, which were not the servers'."""
        for _, step in self.steps:
            for counts in step.values():
                counts[1] = 0

    def counts(self, now: float) -> dict[str, list[int]]:
        """Return the numbers of answered and failed requests by server."""
        expired_step = int(now * WINDOW_STEPS / WINDOW_S) - WINDOW_STEPS
        while self.steps and self.steps[0][0] <= expired_step:
            self.steps.popleft()
        totals: dict[str, list[int]] = {}
        for _, step in self.steps:
            for server, (answered, failed) in step.items():
                counts = totals.setdefault(server, [0, 0])
                counts[0] += answered
                counts[1] += failed
        return totals


@attrs.define
class Ejection:
    """Hold when a server's ejection and its probation end (monotonic seconds).

    ``repeats`` counts the ejections in a row that came before this one.
    """

    until: float
    probation_until: float
    repeats: int
    ejected_at: float = float("-inf")


@attrs.define(eq=False)
class Ejector:
    """Eject servers by the outcomes observed in this failure domain and in all."""

    domain: str
    ejections: dict[str, Ejection] = attrs.Factory(dict)

    def update(self, server: str, outcomes: Outcomes, now: float) -> bool:
        """Evaluate a server's outcomes; return whether this ejects it."""
        ejection = self.ejections.get(server)
        if ejection is not None and now < ejection.until:
            return False
        on_probation = ejection is not None and now < ejection.probation_until
        if not self._fails(outcomes, 1 if on_probation else MIN_FAILED):
            return False
        is_first = ejection is None or now > ejection.probation_until + BACKOFF_RESET_S
        repeats = 0 if is_first else ejection.repeats + 1
        ejection_s = min(MAX_EJECTION_S, EJECTION_S * 2**repeats)
        # Outcomes from before the ejection have expired when the probation begins.
        until = now + max(WINDOW_S, ejection_s)
        self.ejections[server] = Ejection(until, until + PROBATION_S, repeats, now)
        return True

    def reconsider(self, server: str, outcomes: Outcomes, now: float) -> bool:
        """Take back a recent ejection that the outcomes no longer support."""
        ejection = self.ejections.get(server)
        if ejection is None or now > ejection.ejected_at + RECONSIDER_S:
            return False
        if self._fails(outcomes, MIN_FAILED):
            return False
        del self.ejections[server]
        return True

    def reliability(self, outcomes: Outcomes) -> float:
        """Return the expected ratio of a server's requests that are answered."""
        own = _counts(outcomes, self.domain)
        answered, failed = own if sum(own) >= MIN_OWN_OUTCOMES else _counts(outcomes)
        return (answered + PRIOR_SUCCESSES) / (answered + failed + PRIOR_SUCCESSES)

    def excluded(self, servers: list[str], now: float) -> set[str]:
        """Return the ejected ones of a service's servers, at most half of them."""
        ejected = [
            name
            for name in servers
            if name in self.ejections and now < self.ejections[name].until
        ]
        limit = int(len(servers) * MAX_EJECTED_RATIO)
        ejected.sort(key=lambda name: self.ejections[name].until, reverse=True)
        return set(ejected[:limit])

    def on_probation(self, server: str, now: float) -> bool:
        """Return whether a server gets single requests again after its ejection."""
        ejection = self.ejections.get(server)
        return ejection is not None and ejection.until <= now < ejection.probation_until

    def remove(self, server: str) -> None:
        """Remove a server that is no longer registered."""
        self.ejections.pop(server, None)

    def _fails(self, outcomes: Outcomes, min_failed: int) -> bool:
        own = _counts(outcomes, self.domain)
        if sum(own) >= MIN_OWN_OUTCOMES or own[1] >= min_failed:
            return _exceeds_limits(own, min_failed)
        failing_domains = sum(
            1 for (_, good), count in outcomes.items() if count and not good
        )
        return failing_domains >= MIN_FAILING_DOMAINS and _exceeds_limits(
            _counts(outcomes), min_failed
        )


def _counts(outcomes: Outcomes, domain: str | None = None) -> tuple[int, int]:
    """Return the answered and failed requests seen by one failure domain or all."""
    totals = [0, 0]
    for (name, good), count in outcomes.items():
        if domain in (None, name):
            totals[0 if good else 1] += count
    return totals[0], totals[1]


def _exceeds_limits(counts: tuple[int, int], min_failed: int) -> bool:
    answered, failed = counts
    return failed >= min_failed and failed > MAX_FAILED_RATIO * (answered + failed)
