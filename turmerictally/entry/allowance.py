"""Hold teams to their quota over all hosts, from what the hosts tell each other."""

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import model

# Quota that a team may overdraw, as a share of its burst: requests that several hosts
# admitted before they heard of each other. It is paid back before the next one.
MAX_DEBT_RATIO = 1.0
MIN_RETRY_AFTER_S = 0.05


@attrs.define
class Bucket:
    """Hold one team's tokens; ``updated`` is monotonic seconds."""

    rate: float
    burst: float
    level: float
    updated: float
    spent: int = 0

    def accrue(self, now: float, share: float) -> None:
        """Add what has accrued for this share of the quota."""
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        cap = self.burst * share
        if self.level < cap:
            self.level = min(cap, self.level + self.rate * share * elapsed)
        else:
            self.level = cap


@attrs.define(eq=False)
class Allowances:
    """Admit requests within each team's quota.

    The hosts that hear each other count every request of the group against one
    bucket each; the group holds the share of the quota that it is of all hosts, so
    that groups that are cut off from each other stay within it together.
    """

    clock: clocks.Clock
    share: float = 0.0
    buckets: dict[str, Bucket] = attrs.Factory(dict)
    heard: dict[tuple[str, str], dict[str, int]] = attrs.Factory(dict)

    def configure(self, teams: tuple[model.Team, ...]) -> None:
        """Take the teams' quotas; a new bucket starts empty."""
        now = self.clock.monotonic()
        limited = {team.name: team for team in teams if team.rate_per_s > 0}
        for name in self.buckets.keys() - limited.keys():
            del self.buckets[name]
        for name, team in limited.items():
            bucket = self.buckets.get(name)
            burst = max(1.0, team.burst)
            if bucket is None:
                # A host that starts knows nothing of what others admitted.
                self.buckets[name] = Bucket(team.rate_per_s, burst, 0.0, now)
            elif (bucket.rate, bucket.burst) != (team.rate_per_s, burst):
                bucket.accrue(now, self.share)
                bucket.rate, bucket.burst = team.rate_per_s, burst

    def set_group(self, members: int, hosts: int) -> None:
        """Take how many of all hosts this one hears, itself included."""
        share = min(1.0, members / max(1, hosts))
        if share == self.share:
            return
        now = self.clock.monotonic()
        for bucket in self.buckets.values():
            bucket.accrue(now, self.share)
        self.share = share

    def admit(self, team: str) -> float | None:
        """Spend one token and return None, or return seconds until there is one."""
        bucket = self.buckets.get(team)
        if bucket is None:
            return None
        bucket.accrue(self.clock.monotonic(), self.share)
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            bucket.spent += 1
            return None
        rate = max(bucket.rate * self.share, 1e-3)
        return max(MIN_RETRY_AFTER_S, (1.0 - bucket.level) / rate)

    def give_back(self, team: str) -> None:
        """Return the token of a request that no server ran."""
        bucket = self.buckets.get(team)
        if bucket is not None and bucket.spent:
            bucket.level += 1.0
            bucket.spent -= 1

    def spent(self) -> dict[str, int]:
        """Return the requests admitted here since the start, by team."""
        return {name: b.spent for name, b in self.buckets.items() if b.spent}

    def observe(self, host: str, instance: str, spent: dict[str, int]) -> None:
        """Take another host's counts; the first ones of a host set its base."""
        before = self.heard.get((host, instance))
        for other in [key for key in self.heard if key[0] == host]:
            if other[1] != instance:
                del self.heard[other]
        self.heard[host, instance] = dict(spent)
        if before is None:
            return
        now = self.clock.monotonic()
        for name, count in spent.items():
            bucket = self.buckets.get(name)
            delta = count - before.get(name, 0)
            if bucket is None or not delta:
                continue
            bucket.accrue(now, self.share)
            floor = -bucket.burst * MAX_DEBT_RATIO
            bucket.level = max(floor, bucket.level - delta)
