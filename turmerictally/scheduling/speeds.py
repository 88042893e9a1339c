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
KEEP_S = 1.2  # how long another host's report counts after it was received
SAMPLE_S = 0.25  # length of one sample of events; a typical response gives several
MAX_REPORTED_SERVERS = 16  # per digest, some 500 bytes
MIN_SAMPLES = 3  # over all hosts; with fewer, the previous estimate stays
# Without new samples for this long, an estimate is stale and should be refreshed.
STALE_S = 3.0
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
class Evidence:
    """Hold one host's recent measurements of a server.

    ``count`` is the number of samples, ``event_s`` the shortest time per event in a
    sample, and ``first_s`` the shortest time to a first event while a slot was free;
    both are in seconds, 0 if unknown.
    """

    count: int
    first_s: float
    event_s: float

    def told(self) -> list[float]:
        """Return the report as it is written into a digest."""
        return [self.count, round(self.first_s, 3), round(self.event_s, 5)]


@attrs.frozen
class Learned:
    """Hold a server's expected speed.

    ``slowness`` is the time per event relative to the median server (2.0: twice as
    long). ``hosts`` counts the reports behind the estimate, 0 if there is none, and
    ``at`` is when there were last enough of them (monotonic seconds).
    """

    slowness: float = 1.0
    first_s: float = 0.0
    event_s: float = 0.0
    hosts: int = 0
    at: float = 0.0

    def age_s(self, now: float) -> float:
        """Return the estimate's age, 0 if there is no estimate."""
        return now - self.at if self.hosts else 0.0

    def is_stale(self, now: float) -> bool:
        """Return whether a request should refresh the estimate."""
        return self.age_s(now) >= STALE_S


USUAL = Learned()


@attrs.define
class Meter:
    """Turn the events of one response into speed samples of its server."""

    server: str
    note: collections.abc.Callable[[str, int, float], None]
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
            self.note(self.server, self.events, now - self.since)
            self.events, self.since = 0, now
        return False


@attrs.define
class Own:
    """Hold this host's samples of one server, each with its monotonic time."""

    firsts: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    paces: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    newest: float = -math.inf

    def evidence(self, now: float) -> Evidence:
        """Return a report of the samples younger than ``WINDOW_S``."""
        for samples in (self.firsts, self.paces):
            while samples and samples[0][0] <= now - WINDOW_S:
                samples.popleft()
        firsts = [seconds for _, seconds in self.firsts]
        return Evidence(
            count=len(self.paces),
            first_s=min(firsts, default=0.0),
            event_s=min((interval_s for _, interval_s in self.paces), default=0.0),
        )


@attrs.define(eq=False)
class Speeds:
    """Combine this host's speed samples with the reports of other hosts."""

    own: dict[str, Own] = attrs.Factory(dict)
    heard: dict[str, dict[str, tuple[list[float], float]]] = attrs.Factory(dict)
    known: dict[str, Learned] = attrs.Factory(dict)
    reviews: dict[tuple[str, ...], tuple[float, dict[str, Learned]]] = attrs.Factory(
        dict
    )
    tell_due: float = -math.inf

    def note_first(self, server: str, seconds: float, now: float) -> None:
        """Record the time to a first event on a server that had a free slot."""
        own = self.own.setdefault(server, Own())
        own.firsts.append((now, seconds))
        own.newest = now

    def note_events(self, server: str, events: int, seconds: float, now: float) -> None:
        """Record a sample: ``events`` events within ``seconds``."""
        if events <= 0 or seconds <= 0.0:
            return
        own = self.own.setdefault(server, Own())
        own.paces.append((now, seconds / events))
        own.newest = now

    def tell(self, now: float) -> dict[str, list[float]]:
        """Return reports for the next digest, of the most recently sampled servers.

        Empty unless ``REPORT_INTERVAL_S`` has passed: digests are sent more often.
        """
        if now < self.tell_due:
            return {}
        self.tell_due = now + REPORT_INTERVAL_S
        recent = [
            name
            for name, own in self.own.items()
            if now - own.newest < MAX_REPORT_AGE_S
        ]
        recent.sort(key=lambda name: self.own[name].newest, reverse=True)
        return {
            name: self.own[name].evidence(now).told()
            for name in recent[:MAX_REPORTED_SERVERS]
        }

    def take(self, host: str, told: dict[str, list[float]], now: float) -> None:
        """Store the reports of another host's digest."""
        for server, report in told.items():
            reports = self.heard.get(server)
            if reports is None:
                reports = self.heard[server] = {}
            reports[host] = report, now

    def forget(self, server: str) -> None:
        """Drop all data of a server that was removed or restarted."""
        for entries in (self.own, self.heard, self.known):
            entries.pop(server, None)
        self.reviews.clear()

    def retain(self, servers: collections.abc.Collection[str]) -> None:
        """Drop all data of servers that are not in ``servers``."""
        names = self.own.keys() | self.heard.keys() | self.known.keys()
        for name in names - set(servers):
            self.forget(name)

    def learned(
        self, servers: collections.abc.Sequence[str], now: float
    ) -> dict[str, Learned]:
        """Return the estimate of each server of one service."""
        names = tuple(servers)
        at, estimates = self.reviews.get(names, (-math.inf, {}))
        if now < at + ESTIMATE_INTERVAL_S:
            return estimates
        if len(self.reviews) >= MAX_CACHED_ESTIMATES:
            self.reviews.clear()
        estimates = self._estimate(names, now)
        self.reviews[names] = now, estimates
        return estimates

    def _estimate(self, servers: tuple[str, ...], now: float) -> dict[str, Learned]:
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
        previous = {n: self.known[n].event_s for n in servers if n in self.known}
        median = _quantile(list((previous | intervals).values()), HALF)
        for name, reports in reports_by_server.items():
            self.known[name] = Learned(
                slowness=_slowness(intervals[name], median),
                first_s=_low(first_s for _, first_s, _ in reports if first_s),
                event_s=intervals[name],
                hosts=len(reports),
                at=now,
            )
        return {name: self.known.get(name, USUAL) for name in servers}

    def _min_samples(self, server: str, now: float) -> int:
        """Return how many samples a new estimate needs."""
        stale = self.known.get(server, USUAL).is_stale(now)
        return MIN_REFRESH_SAMPLES if stale else MIN_SAMPLES

    def _reports(self, server: str, now: float) -> list[list[float]]:
        """Return the recent reports on a server, this host's own included."""
        since = now - KEEP_S
        received = self.heard.get(server, {})
        reports = [report for report, at in received.values() if at > since]
        if len(reports) < len(received):
            self.heard[server] = {h: e for h, e in received.items() if e[1] > since}
        own = self.own.get(server)
        if own is not None and own.newest > since:
            reports.append(own.evidence(now).told())
        elif own is not None:
            del self.own[server]
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
