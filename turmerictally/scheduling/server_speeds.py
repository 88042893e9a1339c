"""Estimate each backend server's speed from the responses that pass through."""

import collections
import collections.abc
import math

import attrs

# How long a host's own samples count. A disturbance of half a second leaves some older
# samples in place, and a server that slows down shows soon after.
WINDOW_S = 1.0
REPORT_INTERVAL_S = 0.25  # between two digests that contain speed reports
MAX_REPORT_AGE_S = 0.5  # a server without a sample for this long is not reported
REPORT_TTL_S = 1.2  # how long a report counts after it was received
SAMPLE_S = 0.25  # length of one sample of events; a typical response gives several
MAX_REPORTED_SERVERS = 16  # per digest, some 500 bytes
MIN_SAMPLES = 3  # over all hosts; with fewer, the previous estimate stays
# Without new samples for this long, an estimate is stale and should be refreshed.
STALE_AFTER_S = 3.0
MIN_REFRESH_SAMPLES = 2  # to replace a stale estimate: one response gives as many
# Quantile of the hosts' reports that is used as a server's event interval. A low one
# ignores brief slowness, which only some of the hosts see.
INTERVAL_QUANTILE = 0.25
# Servers within this ratio of the median count as equally fast; such differences are
# noise.
SIMILAR_RATIO = 1.3
MAX_SLOWNESS = 10.0
ESTIMATE_INTERVAL_S = 0.5  # between two estimates, which go through all hosts' reports
MAX_CACHED_ESTIMATES = 16  # one for each service and set of its servers
HALF = 0.5  # the median as a quantile; also rounds an index to the nearest


@attrs.frozen
class SpeedReport:
    """Hold one host's recent measurements of a server.

    ``count`` is the number of samples, ``event_interval_s`` the shortest time per event
    in a sample, and ``first_event_s`` the shortest time to a first event while a slot
    was free; both are 0 if unknown.
    """

    count: int
    first_event_s: float
    event_interval_s: float

    def encode(self) -> list[float]:
        """Return the report as it is written into a digest."""
        return [
            self.count,
            round(self.first_event_s, 3),
            round(self.event_interval_s, 5),
        ]


@attrs.frozen
class SpeedEstimate:
    """Hold a server's expected speed.

    ``slowness`` is the time per event relative to the median server (2.0: twice as
    long). ``hosts`` counts the reports behind the estimate, 0 if there is none, and
    ``at`` is when there were last enough of them (monotonic seconds).
    """

    slowness: float = 1.0
    first_event_s: float = 0.0
    event_interval_s: float = 0.0
    hosts: int = 0
    at: float = 0.0

    def age_s(self, now: float) -> float:
        """Return the estimate's age, 0 if there is no estimate."""
        return now - self.at if self.hosts else 0.0

    def is_stale(self, now: float) -> bool:
        """Return whether a request should refresh the estimate."""
        return self.age_s(now) >= STALE_AFTER_S


DEFAULT_ESTIMATE = SpeedEstimate()


@attrs.define
class SpeedMeter:
    """Turn the events of one response into speed samples of its server."""

    server: str
    on_sample: collections.abc.Callable[[str, int, float], None]
    events: int = 0
    since: float = math.inf

    def add(self, events: int, now: float) -> bool:
        """Count events received now; return whether they are the response's first."""
        if self.since == math.inf:
            # The time before them is the time to the first event, not an interval.
            self.since = now
            return True
        self.events += events
        if now >= self.since + SAMPLE_S:
            self.on_sample(self.server, self.events, now - self.since)
            self.events, self.since = 0, now
        return False


@attrs.define
class LocalSpeeds:
    """Hold this host's samples of one server, each with its monotonic time."""

    first_events: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    intervals: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    newest_at: float = -math.inf

    def report(self, now: float) -> SpeedReport:
        """Return a report of the samples younger than ``WINDOW_S``."""
        for samples in (self.first_events, self.intervals):
            while samples and samples[0][0] <= now - WINDOW_S:
                samples.popleft()
        first_event_delays = [seconds for _, seconds in self.first_events]
        return SpeedReport(
            count=len(self.intervals),
            first_event_s=min(first_event_delays, default=0.0),
            event_interval_s=min(
                (interval_s for _, interval_s in self.intervals), default=0.0
            ),
        )


@attrs.define(eq=False)
class SpeedTracker:
    """Combine this host's speed samples with the reports of other hosts."""

    local: dict[str, LocalSpeeds] = attrs.Factory(dict)
    remote: dict[str, dict[str, tuple[list[float], float]]] = attrs.Factory(dict)
    estimates: dict[str, SpeedEstimate] = attrs.Factory(dict)
    cache: dict[tuple[str, ...], tuple[float, dict[str, SpeedEstimate]]] = (
        attrs.Factory(dict)
    )
    next_report_at: float = -math.inf

    def record_first_event(self, server: str, seconds: float, now: float) -> None:
        """Record the time to a first event on a server that had a free slot."""
        own = self.local.setdefault(server, LocalSpeeds())
        own.first_events.append((now, seconds))
        own.newest_at = now

    def record_events(
        self, server: str, events: int, seconds: float, now: float
    ) -> None:
        """Record a sample: ``events`` events within ``seconds``."""
        if events <= 0 or seconds <= 0.0:
            return
        own = self.local.setdefault(server, LocalSpeeds())
        own.intervals.append((now, seconds / events))
        own.newest_at = now

    def due_reports(self, now: float) -> dict[str, list[float]]:
        """Return reports for the next digest, of the most recently sampled servers.

        Empty unless ``REPORT_INTERVAL_S`` has passed: digests are sent more often.
        """
        if now < self.next_report_at:
            return {}
        self.next_report_at = now + REPORT_INTERVAL_S
        recent = [
            name
            for name, own in self.local.items()
            if now - own.newest_at < MAX_REPORT_AGE_S
        ]
        recent.sort(key=lambda name: self.local[name].newest_at, reverse=True)
        return {
            name: self.local[name].report(now).encode()
            for name in recent[:MAX_REPORTED_SERVERS]
        }

    def receive(self, host: str, reports: dict[str, list[float]], now: float) -> None:
        """Store the reports of another host's digest."""
        for server, report in reports.items():
            by_host = self.remote.get(server)
            if by_host is None:
                by_host = self.remote[server] = {}
            by_host[host] = report, now

    def remove(self, server: str) -> None:
        """Drop all data of a server that was removed or restarted."""
        for entries in (self.local, self.remote, self.estimates):
            entries.pop(server, None)
        self.cache.clear()

    def retain(self, servers: collections.abc.Collection[str]) -> None:
        """Drop all data of servers that are not in ``servers``."""
        names = self.local.keys() | self.remote.keys() | self.estimates.keys()
        for name in names - set(servers):
            self.remove(name)

    def estimate(
        self, servers: collections.abc.Sequence[str], now: float
    ) -> dict[str, SpeedEstimate]:
        """Return the estimate of each server of one service."""
        names = tuple(servers)
        at, estimates = self.cache.get(names, (-math.inf, {}))
        if now < at + ESTIMATE_INTERVAL_S:
            return estimates
        if len(self.cache) >= MAX_CACHED_ESTIMATES:
            self.cache.clear()
        estimates = self._estimate(names, now)
        self.cache[names] = now, estimates
        return estimates

    def _estimate(
        self, servers: tuple[str, ...], now: float
    ) -> dict[str, SpeedEstimate]:
        reports_by_server = {}
        for name in servers:
            reports = self._reports(name, now)
            if sum(count for count, _, _ in reports) >= self._min_samples(name, now):
                reports_by_server[name] = reports
        intervals = {
            name: _low(
                interval_s for *_, interval_s in reports_by_server[name] if interval_s
            )
            for name in reports_by_server
        }
        previous = {
            n: self.estimates[n].event_interval_s
            for n in servers
            if n in self.estimates
        }
        median = _quantile(list((previous | intervals).values()), HALF)
        for name, reports in reports_by_server.items():
            self.estimates[name] = SpeedEstimate(
                slowness=_slowness(intervals[name], median),
                first_event_s=_low(
                    first_event_s for _, first_event_s, _ in reports if first_event_s
                ),
                event_interval_s=intervals[name],
                hosts=len(reports),
                at=now,
            )
        return {name: self.estimates.get(name, DEFAULT_ESTIMATE) for name in servers}

    def _min_samples(self, server: str, now: float) -> int:
        """Return how many samples a new estimate needs."""
        stale = self.estimates.get(server, DEFAULT_ESTIMATE).is_stale(now)
        return MIN_REFRESH_SAMPLES if stale else MIN_SAMPLES

    def _reports(self, server: str, now: float) -> list[list[float]]:
        """Return the recent reports on a server, this host's own included."""
        since = now - REPORT_TTL_S
        received = self.remote.get(server, {})
        reports = [report for report, at in received.values() if at > since]
        if len(reports) < len(received):
            self.remote[server] = {h: e for h, e in received.items() if e[1] > since}
        own = self.local.get(server)
        if own is not None and own.newest_at > since:
            reports.append(own.report(now).encode())
        elif own is not None:
            del self.local[server]
        return reports


def _low(values: collections.abc.Iterable[float]) -> float:
    return _quantile(list(values), INTERVAL_QUANTILE)


def _slowness(interval_s: float, median: float) -> float:
    ratio = interval_s / median
    if 1 / SIMILAR_RATIO <= ratio <= SIMILAR_RATIO:
        return 1.0
    return min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio))


def _quantile(values: collections.abc.Sequence[float], fraction: float) -> float:
    """Return the value at a quantile, 0.0 if there are no values."""
    if not values:
        return 0.0
    return sorted(values)[int(fraction * (len(values) - 1) + HALF)]
