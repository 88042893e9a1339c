"""Leave out servers whose requests fail, from what all hosts saw of them.

Everything here is a function of counts and times; nothing is sent or awaited.
"""

import collections
import collections.abc

import attrs

WINDOW_S = 4.0  # outcomes count for this long: about 18 a server at the usual rates
STEPS = 4  # parts of the window, which are forgotten one after the other
# A sound server spoils up to one answer in twenty on a bad day, so that six of 18
# outcomes are no chance.
MAX_FAILED_RATIO = 0.3
MIN_FAILED = 4  # fewer in 18 are chance at one in twenty
# With so many outcomes of the own failure domain, what others see does not count, and
# what a single other domain sees never does: a server may fail for some callers only.
MIN_OWN = 5
MIN_DOMAINS = 2
EJECT_S = 4.0  # the first time; doubled each time that the trial fails
MAX_EJECT_S = 16.0
TRIAL_S = 2.0  # of few requests before a server counts as sound again
FORGIVE_S = 30.0  # after this long without an ejection the next one is short again
MAX_EJECTED_RATIO = 0.5  # of a service's servers; beyond that, load is the cause
# Added to the outcomes of a server when it is compared with others: one failure alone
# then reads as four fifths answered.
PRIOR = 4.0

Outcomes = collections.abc.Mapping[tuple[str, bool], int]


class RecentOutcomes:
    """Count one host's outcomes by server over the last ``WINDOW_S``."""

    def __init__(self) -> None:
        self.steps: collections.deque[tuple[int, dict[str, list[int]]]] = (
            collections.deque()
        )

    def record(self, server: str, answered: bool, now: float) -> None:
        """Count one outcome."""
        step = int(now * STEPS / WINDOW_S)
        if not self.steps or self.steps[-1][0] != step:
            self.steps.append((step, {}))
        counts = self.steps[-1][1].setdefault(server, [0, 0])
        counts[0 if answered else 1] += 1

    def counts(self, now: float) -> dict[str, list[int]]:
        """Return answered and failed requests by server."""
        first = int(now * STEPS / WINDOW_S) - STEPS
        while self.steps and self.steps[0][0] <= first:
            self.steps.popleft()
        found: dict[str, list[int]] = {}
        for _, step in self.steps:
            for server, (answered, failed) in step.items():
                counts = found.setdefault(server, [0, 0])
                counts[0] += answered
                counts[1] += failed
        return found


@attrs.define
class Ejection:
    """Hold when a server may be tried again and when its trial ends (monotonic)."""

    until: float
    probation_until: float
    repeats: int


@attrs.define(eq=False)
class Ejector:
    """Judge servers by the outcomes that this host's failure domain and all saw."""

    domain: str
    ejections: dict[str, Ejection] = attrs.Factory(dict)

    def update(self, server: str, outcomes: Outcomes, now: float) -> bool:
        """Take a server's newest outcomes; return whether it is ejected just now."""
        found = self.ejections.get(server)
        if found is not None and now < found.until:
            return False
        on_trial = found is not None and now < found.probation_until
        if not self._fails(outcomes, 1 if on_trial else MIN_FAILED):
            return False
        forgiven = found is None or now > found.probation_until + FORGIVE_S
        times = 0 if forgiven else found.repeats + 1
        eject_s = min(MAX_EJECT_S, EJECT_S * 2**times)
        # Outcomes from before the ejection are forgotten when the trial begins.
        until = now + max(WINDOW_S, eject_s)
        self.ejections[server] = Ejection(until, until + TRIAL_S, times)
        return True

    def reliability(self, outcomes: Outcomes) -> float:
        """Return the share of a server's requests that are expected to be answered."""
        own = _counts(outcomes, self.domain)
        answered, failed = own if sum(own) >= MIN_OWN else _counts(outcomes)
        return (answered + PRIOR) / (answered + failed + PRIOR)

    def excluded(self, servers: list[str], now: float) -> set[str]:
        """Return which servers get nothing now, at most half of them."""
        found = [
            name
            for name in servers
            if name in self.ejections and now < self.ejections[name].until
        ]
        most = int(len(servers) * MAX_EJECTED_RATIO)
        found.sort(key=lambda name: self.ejections[name].until, reverse=True)
        return set(found[:most])

    def on_probation(self, server: str, now: float) -> bool:
        """Return whether a server that was left out takes single requests again."""
        found = self.ejections.get(server)
        return found is not None and found.until <= now < found.probation_until

    def remove(self, server: str) -> None:
        """Drop a server that is gone."""
        self.ejections.pop(server, None)

    def _fails(self, outcomes: Outcomes, least: int) -> bool:
        own = _counts(outcomes, self.domain)
        if sum(own) >= MIN_OWN or own[1] >= least:
            return _is_bad(own, least)
        seen_by = sum(1 for (_, good), count in outcomes.items() if count and not good)
        return seen_by >= MIN_DOMAINS and _is_bad(_counts(outcomes), least)


def _counts(outcomes: Outcomes, domain: str | None = None) -> tuple[int, int]:
    """Return answered and failed requests, of one failure domain or all."""
    found = [0, 0]
    for (name, good), count in outcomes.items():
        if domain in (None, name):
            found[0 if good else 1] += count
    return found[0], found[1]


def _is_bad(counts: tuple[int, int], least: int) -> bool:
    answered, failed = counts
    return failed >= least and failed > MAX_FAILED_RATIO * (answered + failed)
