"""Enforce team quotas over all hosts, from the counters that hosts gossip."""

import collections.abc

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import model

# How far a bucket may go below zero, as a ratio of its burst: hosts may admit requests
# before they receive each other's counters. Refills repay it before the next admission.
MAX_DEBT_RATIO = 1.0
MIN_RETRY_AFTER_S = 0.05
MIN_RATE_PER_S = 0.1  # bounds the retry-after of callers in a group without a share
SMOOTHING = 0.4  # weight of a rate's newest sample; averages about half a second
MIN_SUSPENSION_S = 0.2  # shorter ones do not exceed the delays of digests
MIN_ELAPSED_S = 0.02  # between two digests, as they may arrive together
NEGLIGIBLE_RATE_PER_S = 0.01  # lower rates of requests count as zero
# A team's counters are reported for this long after its last request: in several
# digests, some of which may be lost.
REPORT_S = 1.0
# For this long after its start a host uses the levels that hosts recorded before, and
# then records its own: by then it has counted what the others admit.
RESTART_S = 2.0
MAX_RECORDED_TEAMS = 200  # in a host's row, some 3 kB


@attrs.define
class RateEstimate:
    """Estimate the rate of a growing counter, in units a second."""

    count: int = 0
    rate: float = 0.0

    def update(self, count: int, elapsed_s: float) -> None:
        """Add the counter's value ``elapsed_s`` after the last one."""
        latest = max(0, count - self.count) / max(elapsed_s, MIN_ELAPSED_S)
        self.count = count
        self.rate += SMOOTHING * (latest - self.rate)
        if self.rate < NEGLIGIBLE_RATE_PER_S:
            self.rate = 0.0


@attrs.define
class Bucket:
    """Hold one team's token bucket and this host's counters of its requests.

    ``rate`` is in tokens a second, ``updated_at`` and ``used_at`` are monotonic times.
    """

    rate: float
    burst: float
    tokens: float
    updated_at: float
    admitted: int = 0
    requested: int = 0
    used_at: float = float("-inf")
    rate_estimate: "RateEstimate" = attrs.field(factory=lambda: RateEstimate())

    def refill(self, now: float, share: float) -> None:
        """Add the tokens of this quota share since the last refill."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        capacity = self.burst * share
        self.tokens = min(capacity, self.tokens + self.rate * share * elapsed_s)


@attrs.define
class TeamUsage:
    """Hold how many of a team's requests another host has admitted and received."""

    admitted: int
    rate_estimate: RateEstimate


@attrs.define
class PeerUsage:
    """Hold the counters of one incarnation of another host, as of ``received_at``.

    ``active`` names the teams that its last report included.
    """

    instance: str
    received_at: float
    usage_by_team: dict[str, TeamUsage] = attrs.Factory(dict)
    active: collections.abc.Set[str] = frozenset()


@attrs.define(eq=False)
class Quotas:
    """Admit requests within each team's quota.

    Each host of a reachable group counts every request of the group against its own
    copy of a team's token bucket. The group's share of the quota is its share of all
    hosts, so that groups that cannot reach each other stay within the quota together.
    Until its next digest arrives, a host is assumed to admit requests at its last
    rate.

    A host that starts does not know what was admitted before. Its buckets start empty,
    or with the levels that hosts recorded in the store shortly before, up to
    ``overshoot`` of what a team may send in ``window_s``: by that ratio the quota may
    be exceeded.
    """

    clock: clocks.Clock
    overshoot: float = 0.0
    window_s: float = 0.0
    share: float = 0.0
    started_at: float = attrs.field(init=False)
    recorded_levels: dict[str, float] = attrs.Factory(dict)
    buckets: dict[str, Bucket] = attrs.Factory(dict)
    peers: dict[str, PeerUsage] = attrs.Factory(dict)
    missing_baselines: set[str] = attrs.Factory(set)  # host ids
    reported_at: float = float("-inf")
    suspended_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.suspended_s = self.clock.suspended()
        self.started_at = self.clock.monotonic()

    def is_restarting(self) -> bool:
        """Return whether this host started so lately that recorded levels count."""
        return self.clock.monotonic() < self.started_at + RESTART_S

    def levels(self) -> dict[str, float]:
        """Return the buckets' levels for this host's row, none just after its start."""
        if self.is_restarting():
            return {}
        now = self.clock.monotonic()
        levels = {}
        for name, bucket in list(self.buckets.items())[:MAX_RECORDED_TEAMS]:
            bucket.refill(now, self.share)
            level = bucket.tokens - self._unreported(name, bucket, now)
            if level >= 1.0:
                levels[name] = round(level, 1)
        return levels

    def use_recorded_levels(self, levels: dict[str, float]) -> None:
        """Start from recorded levels, in proportion to the quota share."""
        if self.recorded_levels or not self.is_restarting():
            return
        self.recorded_levels = dict(levels)
        for name, bucket in self.buckets.items():
            bucket.refill(self.clock.monotonic(), self.share)
            self._add_recorded(name, bucket, self.share)

    def _add_recorded(self, team: str, bucket: Bucket, share: float) -> None:
        """Add the part of a team's recorded level that belongs to a quota share."""
        allowed = self.overshoot * (bucket.rate * self.window_s + bucket.burst)
        level = min(self.recorded_levels.get(team, 0.0), allowed)
        bucket.tokens += share * level

    def configure(self, teams: tuple[model.Team, ...]) -> None:
        """Apply the teams' quotas; a new bucket starts empty."""
        now = self.clock.monotonic()
        limited = {team.name: team for team in teams if team.rate_per_s > 0}
        for name in self.buckets.keys() - limited.keys():
            del self.buckets[name]
        for name, team in limited.items():
            bucket = self.buckets.get(name)
            burst = max(1.0, team.burst)
            if bucket is None:
                bucket = Bucket(team.rate_per_s, burst, 0.0, now)
                self.buckets[name] = bucket
                if self.is_restarting():
                    self._add_recorded(name, bucket, self.share)
            elif (bucket.rate, bucket.burst) != (team.rate_per_s, burst):
                bucket.refill(now, self.share)
                bucket.rate, bucket.burst = team.rate_per_s, burst

    def set_group(self, members: int, hosts: int) -> None:
        """Set how many of all hosts the reachable group has, including this one."""
        share = min(1.0, members / max(1, hosts))
        if share == self.share:
            return
        now = self.clock.monotonic()
        for name, bucket in self.buckets.items():
            bucket.refill(now, self.share)
            if share < self.share and bucket.tokens > 0:
                # Hosts that became unreachable keep their part of the tokens.
                bucket.tokens *= share / self.share
            elif share > self.share and self.is_restarting():
                self._add_recorded(name, bucket, share - self.share)
        self.share = share

    def admit(self, team: str) -> float | None:
        """Take a token and return None, or return the seconds until there is one."""
        bucket = self.buckets.get(team)
        if bucket is None:
            return None
        self._check_suspension()
        now = self.clock.monotonic()
        bucket.requested += 1
        bucket.used_at = now
        bucket.refill(now, self.share)
        available = bucket.tokens - self._unreported(team, bucket, now)
        if available >= 1.0:
            bucket.tokens -= 1.0
            bucket.admitted += 1
            return None
        rate = max(bucket.rate * self.share, MIN_RATE_PER_S)
        return max(MIN_RETRY_AFTER_S, (1.0 - available) / rate)

    def _check_suspension(self) -> None:
        """Leave the group after a suspension, until its hosts send digests again."""
        suspended_s = self.clock.suspended()
        if suspended_s - self.suspended_s < MIN_SUSPENSION_S:
            return
        self.suspended_s = suspended_s
        hosts = 1 + len(self.peers)
        self.peers.clear()
        self.set_group(1, round(hosts / max(self.share, 1 / hosts)))

    def _unreported(self, team: str, bucket: Bucket, now: float) -> float:
        """Estimate how many requests the other hosts admitted since their digests.

        If a team exceeds its quota, each host admits the same ratio of its requests.
        """
        peer_rate = unreported = 0.0
        for peer in self.peers.values():
            usage = peer.usage_by_team.get(team)
            if usage is not None:
                peer_rate += usage.rate_estimate.rate
                unreported += usage.rate_estimate.rate * (now - peer.received_at)
        quota = bucket.rate * self.share
        total_rate = peer_rate + bucket.rate_estimate.rate
        return unreported if total_rate <= quota else unreported * quota / total_rate

    def refund(self, team: str) -> None:
        """Return the token of a request that no server ran."""
        bucket = self.buckets.get(team)
        if bucket is not None and bucket.admitted:
            bucket.tokens += 1.0
            bucket.admitted -= 1
            bucket.used_at = self.clock.monotonic()

    def report(self, baseline: bool) -> tuple[dict[str, int], dict[str, int]]:
        """Return the requests admitted and received since the start, by team.

        Unless ``baseline``, only of teams with recent requests. Call it once a digest:
        it also samples this host's request rates.
        """
        now = self.clock.monotonic()
        elapsed_s = now - self.reported_at
        self.reported_at = now
        reported = {}
        for name, bucket in self.buckets.items():
            if (
                bucket.requested != bucket.rate_estimate.count
                or bucket.rate_estimate.rate
            ):
                bucket.rate_estimate.update(bucket.requested, elapsed_s)
            if bucket.requested and (baseline or now - bucket.used_at < REPORT_S):
                reported[name] = bucket
        admitted = {name: bucket.admitted for name, bucket in reported.items()}
        return admitted, {name: bucket.requested for name, bucket in reported.items()}

    def record_peer(
        self,
        host: str,
        instance: str,
        admitted: dict[str, int],
        requested: dict[str, int],
        baseline: bool,
    ) -> None:
        """Apply another host's counters.

        The first ``baseline`` of a host that starts or becomes reachable again only
        sets the values that later ones are compared with: it was in no group with this
        host when it admitted those requests.
        """
        now = self.clock.monotonic()
        peer = self.peers.get(host)
        if peer is None or peer.instance != instance:
            self.peers.pop(host, None)
            if not baseline:
                self.missing_baselines.add(host)
                return
            self.missing_baselines.discard(host)
            usage_by_team = {
                name: TeamUsage(admitted.get(name, 0), RateEstimate(count))
                for name, count in requested.items()
            }
            self.peers[host] = PeerUsage(instance, now, usage_by_team)
            if self.recorded_levels and self.is_restarting():
                # The peer may have started from the same levels.
                for name in admitted.keys() & self.buckets.keys():
                    self._take(self.buckets[name], admitted[name], now)
            return
        elapsed_s = now - peer.received_at
        peer.received_at = now
        for name in peer.active - requested.keys():
            peer.usage_by_team[name].rate_estimate.rate = 0.0
        peer.active = requested.keys()
        for name, count in requested.items():
            usage = peer.usage_by_team.get(name)
            if usage is None:
                usage = peer.usage_by_team[name] = TeamUsage(0, RateEstimate())
            rate_estimate = usage.rate_estimate
            if count != rate_estimate.count or rate_estimate.rate:
                rate_estimate.update(count, elapsed_s)
            delta = admitted.get(name, 0) - usage.admitted
            usage.admitted += delta
            bucket = self.buckets.get(name)
            if bucket is None or not delta:
                continue
            self._take(bucket, delta, now)

    def _take(self, bucket: Bucket, count: int, now: float) -> None:
        """Take the tokens of requests that another host admitted."""
        bucket.refill(now, self.share)
        min_tokens = -bucket.burst * MAX_DEBT_RATIO
        bucket.tokens = max(min_tokens, bucket.tokens - count)

    def remove_peer(self, host: str) -> None:
        """Remove a host that became unreachable and now holds a share of its own."""
        now = self.clock.monotonic()
        # Tokens for the requests that it probably admitted before that are taken here.
        for name, bucket in self.buckets.items():
            bucket.refill(now, self.share)
            before = self._unreported(name, bucket, now)
            peer = self.peers.get(host)
            usage = peer.usage_by_team.pop(name, None) if peer else None
            if usage is not None:
                after = self._unreported(name, bucket, now)
                bucket.tokens -= max(0.0, before - after)
        self.peers.pop(host, None)
        self.missing_baselines.discard(host)
