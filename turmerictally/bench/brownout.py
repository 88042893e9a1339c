"""Measure how retries multiply the load of a brown-out.

Workload: 8 hosts send 240 requests a second to 4 servers that take 100 a second each
and refuse the rest at once; for 20 of 60 s each takes 30 only. Baselines: no budget
(three attempts for each request) and no retries. Bounds: with the budget at most
1 + ratio + the floor's share of attempts for each request in the brown-out, and at
least 95% of the answers a second that no retries give.
"""

import collections
import random

from turmerictally import settings
from turmerictally.bench import report, simulated
from turmerictally.online import retries

NAME = "brownout"
SUMMARY = (
    "4 servers at 30% for 20 s under 240 requests/s; against unlimited and no "
    "retries; attempts for each request within the budget"
)
SEED = 5
HOSTS = 8
SERVERS = 4
RATE = 240.0
CAPACITY_PER_S = 100.0
BROWNOUT = (20.0, 40.0)
BROWNOUT_PART = 0.3
DURATION_S = 60.0
ANSWER_S = 0.05
ONLINE = settings.DEFAULTS["online"]
RATIO = ONLINE["retry_budget_ratio"]
FLOOR_PER_S = ONLINE["retry_budget_min_per_s"]
MAX_ATTEMPTS = ONLINE["max_attempts"]
BUDGETS = {"no retries": (0.0, 1e-9), "no budget": (MAX_ATTEMPTS, 1e6)}
BUDGETS["budget"] = (RATIO, FLOOR_PER_S)


class Run:
    """Drive the servers with one kind of budget."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.timeline = simulated.Timeline()
        self.rng = random.Random(SEED)
        self.budgets = [retries.Budget(*BUDGETS[kind]) for _ in range(HOSTS)]
        self.levels = [CAPACITY_PER_S / 10] * SERVERS
        self.updated = [0.0] * SERVERS
        self.counts: collections.Counter = collections.Counter()

    def figures(self) -> dict:
        """Run to the end and return the figures of the brown-out."""
        for at in simulated.poisson(self.rng, DURATION_S, lambda now: RATE, RATE):
            host = self.rng.randrange(HOSTS)
            self.timeline.at(at, self._first, host)
        self.timeline.run(DURATION_S + 5.0)
        length = BROWNOUT[1] - BROWNOUT[0]
        requests = self.counts["requests"]
        return {
            "retries": self.kind,
            "requests": requests,
            "attempts_each": round(self.counts["attempts"] / requests, 4),
            "answers_per_s": round(self.counts["answers"] / length, 2),
            "failed": self.counts["failed"],
        }

    def _first(self, host: int) -> None:
        self._count("requests")
        self.budgets[host].deposit(self.timeline.now)
        self._attempt(host, 1, self.rng.randrange(SERVERS))

    def _attempt(self, host: int, number: int, server: int) -> None:
        self._count("attempts")
        if self._serves(server):
            self._count("answers")
            return
        allowed = number < MAX_ATTEMPTS and self.budgets[host].take(self.timeline.now)
        if not allowed:
            self._count("failed")
            return
        other = (server + self.rng.randrange(1, SERVERS)) % SERVERS
        wait = ANSWER_S + retries.delay(number, self.rng)
        self.timeline.after(wait, self._attempt, host, number + 1, other)

    def _serves(self, server: int) -> bool:
        now = self.timeline.now
        rate = CAPACITY_PER_S * (BROWNOUT_PART if self._is_brownout() else 1.0)
        passed = now - self.updated[server]
        self.updated[server] = now
        self.levels[server] = min(rate / 10, self.levels[server] + passed * rate)
        # An attempt that is refused costs the server something as well.
        cost = 1.0 if self.levels[server] >= 1.0 else 0.1
        self.levels[server] = max(0.0, self.levels[server] - cost)
        return cost == 1.0

    def _is_brownout(self) -> bool:
        return BROWNOUT[0] <= self.timeline.now < BROWNOUT[1]

    def _count(self, name: str) -> None:
        if self._is_brownout():
            self.counts[name] += 1


def run(kind: str) -> dict:
    """Return the figures with one kind of budget."""
    return Run(kind).figures()


def main() -> report.Report:
    """Run every kind of budget on the same arrivals."""
    found = report.Report(NAME)
    found.rows.extend(run(kind) for kind in BUDGETS)
    none, unlimited, mine = found.rows
    floor = HOSTS * FLOOR_PER_S / RATE
    saved = HOSTS * retries.BUDGET_CAP_S * FLOOR_PER_S / mine["requests"]
    bound = 1.0 + RATIO + floor + saved
    each = mine["attempts_each"]
    found.check("attempts for each request", each <= bound, f"at most {bound:.4f}")
    less = each < unlimited["attempts_each"]
    found.check("fewer than without a budget", less, f"{unlimited['attempts_each']}")
    answers = mine["answers_per_s"] >= 0.95 * none["answers_per_s"]
    found.check("answers kept", answers, f"95% of {none['answers_per_s']}/s")
    return found
