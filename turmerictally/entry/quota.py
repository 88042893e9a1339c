"""Hold teams to their quota over all hosts, from what the hosts tell each other."""

import collections.abc

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import model

# Quota that a team may overdraw, as a share of its burst: requests that several hosts
# admitted before they heard of each other. It is paid back before the next one.
MAX_DEBT_RATIO = 1.0
MIN_RETRY_AFTER_S = 0.05
MIN_RATE_PER_S = 0.1  # bounds the time told to callers of a group without a share
SMOOTHING = 0.4  # weight of the latest digest in a host's rate: about half a second
MIN_SUSPENSION_S = 0.2  # shorter ones are within what digests may be late
MIN_ELAPSED_S = 0.02  # between two digests, as they may arrive together
MIN_PACE = 0.01  # requests a second that are taken for none
# A team's counts are told for this long after its latest request: several digests,
# of which some may be lost.
RETELL_S = 1.0


@attrs.define
class RateEstimate:
    """Smooth the rate of a growing count, in units a second."""

    count: int = 0
    rate: float = 0.0

    def update(self, count: int, elapsed: float) -> None:
        """Take the count after so many seconds."""
        latest = max(0, count - self.count) / max(elapsed, MIN_ELAPSED_S)
        self.count = count
        self.rate += SMOOTHING * (latest - self.rate)
        if self.rate < MIN_PACE:
            self.rate = 0.0


@attrs.define
class Bucket:
    """Hold one team's tokens; ``updated`` is monotonic seconds."""

    rate: float
    burst: float
    level: float
    updated: float
    spent: int = 0
    asked: int = 0
    touched: float = float("-inf")
    rate_estimate: "RateEstimate" = attrs.field(factory=lambda: RateEstimate())

    def accrue(self, now: float, share: float) -> None:
        """Add what has accrued for this share of the quota."""
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        cap = self.burst * share
        self.level = min(cap, self.level + self.rate * share * elapsed)


@attrs.define
class TeamUsage:
    """Hold what another host told of one team: what it admitted and was asked."""

    spent: int
    asked: RateEstimate


@attrs.define
class PeerUsage:
    """Hold what one incarnation of another host told; ``at`` is monotonic."""

    instance: str
    at: float
    usage_by_team: dict[str, TeamUsage] = attrs.Factory(dict)
    active: collections.abc.Set[str] = frozenset()


@attrs.define(eq=False)
class Quotas:
    """Admit requests within each team's quota.

    The hosts that hear each other count every request of the group against one
    bucket each; the group holds the share of the quota that it is of all hosts, so
    that groups that are cut off from each other stay within it together. What
    another host admits until its next digest is taken to go on as before.
    """

    clock: clocks.Clock
    share: float = 0.0
    buckets: dict[str, Bucket] = attrs.Factory(dict)
    peers: dict[str, PeerUsage] = attrs.Factory(dict)
    missing_baselines: set[str] = attrs.Factory(set)  # hosts that told no base yet
    told_at: float = float("-inf")
    suspended_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.suspended_s = self.clock.suspended()

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
            if share < self.share and bucket.level > 0:
                # Those who are no longer heard hold their part of what is left.
                bucket.level *= share / self.share
        self.share = share

    def admit(self, team: str) -> float | None:
        """Spend one token and return None, or return seconds until there is one."""
        bucket = self.buckets.get(team)
        if bucket is None:
            return None
        self._notice_suspension()
        now = self.clock.monotonic()
        bucket.asked += 1
        bucket.touched = now
        bucket.accrue(now, self.share)
        left = bucket.level - self._unheard(team, bucket, now)
        if left >= 1.0:
            bucket.level -= 1.0
            bucket.spent += 1
            return None
        rate = max(bucket.rate * self.share, MIN_RATE_PER_S)
        return max(MIN_RETRY_AFTER_S, (1.0 - left) / rate)

    def _notice_suspension(self) -> None:
        """After a suspension, nothing heard before counts until it is heard again."""
        suspended_s = self.clock.suspended()
        if suspended_s - self.suspended_s < MIN_SUSPENSION_S:
            return
        self.suspended_s = suspended_s
        hosts = 1 + len(self.peers)
        self.peers.clear()
        self.set_group(1, round(hosts / max(self.share, 1 / hosts)))

    def _unheard(self, team: str, bucket: Bucket, now: float) -> float:
        """Return what the others have probably admitted since their digests.

        Of a team that asks for more than its quota, each host admits the part that
        it is asked for.
        """
        asked = since = 0.0
        for peer in self.peers.values():
            usage = peer.usage_by_team.get(team)
            if usage is not None:
                asked += usage.asked.rate
                since += usage.asked.rate * (now - peer.at)
        quota = bucket.rate * self.share
        whole = asked + bucket.rate_estimate.rate
        return since if whole <= quota else since * quota / whole

    def refund(self, team: str) -> None:
        """Return the token of a request that no server ran."""
        bucket = self.buckets.get(team)
        if bucket is not None and bucket.spent:
            bucket.level += 1.0
            bucket.spent -= 1
            bucket.touched = self.clock.monotonic()

    def report(self, base: bool) -> tuple[dict[str, int], dict[str, int]]:
        """Return the requests admitted and asked for since the start, by team.

        Unless ``base``, only teams with requests lately. Called once a digest, it also
        takes this host's own pace.
        """
        now = self.clock.monotonic()
        elapsed = now - self.told_at
        self.told_at = now
        told = {}
        for name, bucket in self.buckets.items():
            if bucket.asked != bucket.rate_estimate.count or bucket.rate_estimate.rate:
                bucket.rate_estimate.update(bucket.asked, elapsed)
            if bucket.asked and (base or now - bucket.touched < RETELL_S):
                told[name] = bucket
        spent = {name: bucket.spent for name, bucket in told.items()}
        return spent, {name: bucket.asked for name, bucket in told.items()}

    def record_peer(
        self,
        host: str,
        instance: str,
        spent: dict[str, int],
        asked: dict[str, int],
        base: bool,
    ) -> None:
        """Take another host's counts.

        The first ``base`` of a host, or after a silence, only sets where its counts
        begin: until then it was not of this group.
        """
        now = self.clock.monotonic()
        peer = self.peers.get(host)
        if peer is None or peer.instance != instance:
            self.peers.pop(host, None)
            if not base:
                self.missing_baselines.add(host)
                return
            self.missing_baselines.discard(host)
            usage_by_team = {
                name: TeamUsage(spent.get(name, 0), RateEstimate(count))
                for name, count in asked.items()
            }
            self.peers[host] = PeerUsage(instance, now, usage_by_team)
            return
        elapsed = now - peer.at
        peer.at = now
        for name in peer.active - asked.keys():
            peer.usage_by_team[name].asked.rate = 0.0
        peer.active = asked.keys()
        for name, count in asked.items():
            usage = peer.usage_by_team.get(name)
            if usage is None:
                usage = peer.usage_by_team[name] = TeamUsage(0, RateEstimate())
            estimate = usage.asked
            if count != estimate.count or estimate.rate:
                estimate.update(count, elapsed)
            delta = spent.get(name, 0) - usage.spent
            usage.spent += delta
            bucket = self.buckets.get(name)
            if bucket is None or not delta:
                continue
            bucket.accrue(now, self.share)
            floor = -bucket.burst * MAX_DEBT_RATIO
            bucket.level = max(floor, bucket.level - delta)

    def remove_peer(self, host: str) -> None:
        """Drop a host that fell silent; it now holds a share of its own."""
        now = self.clock.monotonic()
        # What it has probably admitted before that is spent.
        for name, bucket in self.buckets.items():
            bucket.accrue(now, self.share)
            before = self._unheard(name, bucket, now)
            peer = self.peers.get(host)
            usage = peer.usage_by_team.pop(name, None) if peer else None
            if usage is not None:
                after = self._unheard(name, bucket, now)
                bucket.level -= max(0.0, before - after)
        self.peers.pop(host, None)
        self.missing_baselines.discard(host)
