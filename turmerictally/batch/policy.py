"""Choose which job's range a host claims next.

Each host shares its own work among teams by weight; a new host starts from a random
state, so that many hosts with short lives are fair together. Among the jobs whose
slack is short, the same sharing decides, for most of the claims.
"""

import collections.abc
import random

import attrs

from turmerictally.batch import records

URGENT_SHARE = 0.75  # part of the claims kept for urgent jobs when there are any
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
        """Return the jobs in the order in which to try them."""
        urgent = [c for c in candidates if self.urgent(c, now)]
        others = [c for c in candidates if not self.urgent(c, now)]
        first = self._fair(urgent, now, by_slack=True)
        rest = self._fair(others, now, by_slack=False)
        if urgent and others and self.rng.random() >= URGENT_SHARE:
            return rest + first
        return first + rest

    def charge(self, candidate: Candidate, items: int) -> None:
        """Count items that this host took on for a job."""
        if len(self.teams) + len(self.jobs) > MAX_PASSES:
            self.teams.clear()
            self.jobs.clear()
        start = self.teams.get(candidate.team, self.virtual)
        self.virtual = max(self.virtual, start)
        self.teams[candidate.team] = start + items / candidate.weight
        self.jobs[candidate.job] = self.jobs.get(candidate.job, 0.0) + items

    def urgent(self, candidate: Candidate, now: float) -> bool:
        """Tell whether a job's slack is short against its remaining work."""
        work_s = self.work_s(candidate.left)
        limit = max(MIN_URGENT_SLACK_S, URGENT_SLACK * work_s)
        return candidate.deadline - now - work_s < limit

    def work_s(self, left: int) -> float:
        """Return the least seconds in which the fleet can complete items."""
        ranges = max(1.0, left / self.range_items)
        rate = min(self.fleet_rate(), ranges * self.range_rate())
        return left / max(rate, 0.001)

    def _fair(self, candidates, now, *, by_slack):
        """Order by team pass, then by slack or by the job's own pass."""
        for candidate in candidates:
            self._enter(candidate)

        def place(candidate):
            within = self.jobs.get(candidate.job, 0.0)
            if by_slack:
                within = candidate.deadline - now - self.work_s(candidate.left)
            return (self.teams[candidate.team], within, candidate.deadline)

        return sorted(candidates, key=place)

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
