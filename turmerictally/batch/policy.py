"""Choose which job's range a host claims next.

Each host shares its own work among teams by weight; a new host starts from a random
state, so that many hosts with short lives are fair together. Jobs whose slack is
short go first, as long as their team is not far ahead of its share.
"""

import collections.abc
import random

import attrs

from turmerictally.batch import records

CREDIT_RANGES = 16  # ranges by which urgent jobs may take a team beyond its share
URGENT_SLACK = 0.5  # urgent when the slack is below this part of the work left
MIN_URGENT_SLACK_S = 600.0
MAX_PASSES = 20_000
MAX_CREDIT_RANGES = 20  # work a team may be owed after it was idle, in ranges


@attrs.frozen
class Candidate:
    """Describe a job with work left; ``left`` is in items, times in Unix seconds."""

    job: str
    team: str
    weight: float
    left: int
    deadline: float
    row: records.Ready | None = None


@attrs.frozen
class Forecast:
    """Tell when a job is expected to finish, in Unix seconds."""

    finish: float
    deadline: float

    @property
    def late_s(self) -> float:
        """Return by how many seconds the job is expected to be late, or 0."""
        return max(0.0, self.finish - self.deadline)


Policy = collections.abc.Callable[[list[Candidate], float], list[Candidate]]


def first_come(candidates: list[Candidate], now: float) -> list[Candidate]:
    """Order jobs by their acceptance."""
    return sorted(candidates, key=lambda c: c.row.created_at)


def earliest_deadline(candidates: list[Candidate], now: float) -> list[Candidate]:
    """Order jobs by their deadline."""
    return sorted(candidates, key=lambda c: c.deadline)


@attrs.define
class Share:
    """Order jobs by weighted fairness among teams and slack within a team.

    ``fleet_rate`` returns the items a second that the whole fleet completes now,
    and ``item_s`` the seconds that one item takes.
    """

    rng: random.Random
    fleet_rate: collections.abc.Callable[[], float]
    range_rate: collections.abc.Callable[[], float]
    range_items: int = 500
    teams: dict[str, float] = attrs.Factory(dict)
    jobs: dict[str, float] = attrs.Factory(dict)
    virtual: float = 0.0

    def order(self, candidates: list[Candidate], now: float) -> list[Candidate]:
        """Return the jobs in the order in which to try them.

        Urgent jobs of teams within their credit come first, by slack; then all
        others by their team's share, and within a team urgent jobs first. A job
        that cannot be on time any more is not urgent: it would only make others
        late.
        """
        known = [self.teams[c.team] for c in candidates if c.team in self.teams]
        self.virtual = max(self.virtual, min(known, default=0.0))
        for candidate in candidates:
            self._enter(candidate)
        floor = min((self.teams[c.team] for c in candidates), default=0.0)

        def place(candidate):
            slack = self.slack(candidate, now)
            urgent = self.urgent(candidate, now)
            late = slack <= -self.range_s
            if urgent and not late and self._within_credit(candidate, floor):
                return (0, slack, 0, 0.0)
            rank = 1 if late else 0 if urgent else 2
            within = slack if urgent else self.jobs.get(candidate.job, 0.0)
            return (1, self.teams[candidate.team], rank, within)

        return sorted(candidates, key=place)

    def charge(self, candidate: Candidate, items: int) -> None:
        """Count items that this host took on for a job."""
        if len(self.teams) + len(self.jobs) > MAX_PASSES:
            self.teams.clear()
            self.jobs.clear()
        start = self.teams.get(candidate.team, self.virtual)
        self.teams[candidate.team] = start + items / candidate.weight
        self.jobs[candidate.job] = self.jobs.get(candidate.job, 0.0) + items

    @property
    def range_s(self) -> float:
        """Return the seconds that one range takes."""
        return self.range_items / max(self.range_rate(), 0.001)

    def slack(self, candidate: Candidate, now: float) -> float:
        """Return the seconds left beyond the least time the job needs."""
        return candidate.deadline - now - self.work_s(candidate.left)

    def urgent(self, candidate: Candidate, now: float) -> bool:
        """Tell whether a job's slack is short against its remaining work."""
        limit = max(MIN_URGENT_SLACK_S, URGENT_SLACK * self.work_s(candidate.left))
        return self.slack(candidate, now) < limit

    def work_s(self, left: int) -> float:
        """Return the least seconds in which the fleet can complete items."""
        ranges = max(1.0, left / self.range_items)
        rate = min(self.fleet_rate(), ranges * self.range_rate())
        return left / max(rate, 0.001)

    def _within_credit(self, candidate: Candidate, floor: float) -> bool:
        """Tell whether a team is not far ahead of its share on this host."""
        credit = CREDIT_RANGES * self.range_items / candidate.weight
        return self.teams[candidate.team] - floor <= credit

    def _enter(self, candidate: Candidate) -> None:
        stride = self.range_items / candidate.weight
        owed = self.virtual - MAX_CREDIT_RANGES * stride
        if candidate.team not in self.teams:
            self.teams[candidate.team] = self.virtual + self.rng.random() * stride
        elif self.teams[candidate.team] < owed:
            self.teams[candidate.team] = owed


def forecast(
    ready: records.Ready, done: int, ahead: int, rate: float, now: float
) -> Forecast:
    """Estimate a job's finish.

    ``done`` counts its committed items, ``ahead`` the items of other jobs due
    earlier, ``rate`` is the fleet's items a second. The estimate is the later of
    the job's own pace so far and its turn behind earlier deadlines.
    """
    left = ready.items - done
    finish = now + (ahead + left) / max(rate, 0.001)
    elapsed = now - ready.created_at
    if done and elapsed > 0:
        finish = max(finish, now + left * elapsed / done)
    return Forecast(finish, ready.deadline)
