"""Estimate server loads from delayed reports and this host's own requests."""

import collections
import collections.abc
import math

import attrs

# Weight of a new observation in the exponential moving averages.
SMOOTHING_FACTOR = 0.1
# Older latency observations are ignored.
LATENCY_MAX_AGE_S = 10.0
# Limit of the factor that multiplies a slow server's cost.
MAX_SLOWNESS_FACTOR = 8.0
# Request starts and ends kept per server between two reports.
MAX_CHANGES = 4096


@attrs.frozen
class LoadReport:
    """Hold a server's load as sampled at ``sampled_at``, in monotonic seconds."""

    running: int
    waiting: int
    capacity: int
    sampled_at: float
    batch_running: int = 0

    @property
    def total(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + self.waiting


@attrs.define
class ServerLoad:
    """Hold one server's latest reports and this host's requests since then.

    ``report`` is the latest report from any source, ``polled`` the latest polled one:
    only polled reports count batch requests separately. ``changes`` lists this host's
    request starts (+1) and ends (-1) that a report may not include yet.
    """

    report: LoadReport | None = None
    polled: LoadReport | None = None
    in_flight: int = 0
    batch_in_flight: int = 0
    first_token_s: float = 0.0
    observed_at: float = -1e9
    changes: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_CHANGES)
    )

    def count_change(self, delta: int, batch: bool, now: float) -> None:
        """Count a request start (+1) or end (-1) of this host."""
        if batch:
            self.batch_in_flight += delta
        else:
            self.in_flight += delta
        self.changes.append((now, delta, batch))

    def add_report(self, report: LoadReport, polled: bool) -> None:
        """Store a report unless a newer one is stored already."""
        if polled and _is_newer(report, self.polled):
            self.polled = report
        if _is_newer(report, self.report):
            self.report = report
        oldest = min(_sampled_at(self.report), _sampled_at(self.polled))
        while self.changes and self.changes[0][0] <= oldest:
            self.changes.popleft()

    def requests_since(self, report: LoadReport, batch: bool | None = None) -> int:
        """Return this host's request starts minus ends after the report was sampled."""
        return sum(
            delta
            for at, delta, for_batch in self.changes
            if at > report.sampled_at and (batch is None or for_batch is batch)
        )


def _sampled_at(report: LoadReport | None) -> float:
    return report.sampled_at if report else math.inf


def _is_newer(report: LoadReport, current: LoadReport | None) -> bool:
    return current is None or report.sampled_at >= current.sampled_at


class LoadTracker:
    """Estimate the load of each server.

    Reports older than ``max_age_s`` are ignored. ``default_capacity`` is assumed for
    servers that have not reported.
    """

    def __init__(self, max_age_s: float, default_capacity: int) -> None:
        self.max_age_s = max_age_s
        self.default_capacity = default_capacity
        self.servers: dict[str, ServerLoad] = {}
        self.baseline_s: dict[str, float] = {}
        self.on_piggyback: list[collections.abc.Callable[[str], None]] = []

    def server(self, address: str) -> ServerLoad:
        """Return a server's entry, created on first use."""
        entry = self.servers.get(address)
        if entry is None:
            entry = self.servers[address] = ServerLoad()
        return entry

    def request_started(self, address: str, now: float, batch: bool = False) -> None:
        """Count a request sent by this host."""
        self.server(address).count_change(1, batch, now)

    def request_ended(self, address: str, now: float, batch: bool = False) -> None:
        """Count the end of a request sent by this host."""
        self.server(address).count_change(-1, batch, now)

    def record_polled(self, address: str, report: LoadReport) -> None:
        """Store a polled report."""
        self.server(address).add_report(report, polled=True)

    def record_piggybacked(self, address: str, text: str, now: float) -> None:
        """Store a ``running,waiting,capacity`` report from a response header."""
        try:
            running, waiting, capacity = (int(part) for part in text.split(","))
        except ValueError:
            return
        report = LoadReport(running, waiting, max(1, capacity), now)
        self.server(address).add_report(report, polled=False)
        for notify in self.on_piggyback:
            notify(address)

    def total_requests(self, address: str, now: float) -> int:
        """Estimate the running and waiting requests that all hosts sent."""
        entry = self.server(address)
        own_in_flight = entry.in_flight + entry.batch_in_flight
        report = self.if_fresh(entry.report, now)
        if report is None:
            return own_in_flight
        return max(own_in_flight, report.total + entry.requests_since(report))

    def batch_requests(self, address: str, now: float) -> int:
        """Estimate the batch requests that all hosts sent."""
        entry = self.server(address)
        report = self.if_fresh(entry.polled, now)
        if report is None:
            return entry.batch_in_flight
        reported = report.batch_running + entry.requests_since(report, True)
        return max(entry.batch_in_flight, reported)

    def unreported_online(self, address: str) -> int:
        """Return this host's online starts minus ends since the report, at least 1."""
        entry = self.server(address)
        if entry.report is None:
            return max(1, entry.in_flight)
        return max(1, entry.requests_since(entry.report, False))

    def capacity(self, address: str) -> int:
        """Return how many requests the server runs concurrently."""
        report = self.server(address).report
        return report.capacity if report else self.default_capacity

    def load_ratio(self, address: str, now: float) -> float:
        """Return the estimated load as a fraction of the capacity."""
        return self.total_requests(address, now) / self.capacity(address)

    def sampled_at(self, address: str) -> float:
        """Return the sample time of the last report, in monotonic seconds."""
        report = self.server(address).report
        return report.sampled_at if report else -math.inf

    def online_ratio(self, address: str, now: float) -> float:
        """Return the estimated online load as a fraction of the capacity."""
        online = self.total_requests(address, now) - self.batch_requests(address, now)
        return online / self.capacity(address)

    def if_fresh(self, report: LoadReport | None, now: float) -> LoadReport | None:
        """Return the report, or None if it is too old to use."""
        if report is None or now - report.sampled_at > self.max_age_s:
            return None
        return report

    def observe_first_token(
        self, address: str, group: str, first_token_s: float, now: float
    ) -> None:
        """Add one request's time to first token to the moving averages."""
        entry = self.server(address)
        is_stale = now - entry.observed_at > LATENCY_MAX_AGE_S
        average = first_token_s if is_stale else entry.first_token_s
        entry.first_token_s = _smooth(average, first_token_s)
        entry.observed_at = now
        baseline = self.baseline_s.get(group, first_token_s)
        self.baseline_s[group] = _smooth(baseline, first_token_s)

    def slowness_factor(self, address: str, group: str, now: float) -> float:
        """Return a server's first-token time relative to its group's, at least 1."""
        entry = self.server(address)
        baseline = self.baseline_s.get(group, 0.0)
        if now - entry.observed_at > LATENCY_MAX_AGE_S or baseline <= 0.0:
            return 1.0
        return min(MAX_SLOWNESS_FACTOR, max(1.0, entry.first_token_s / baseline))

    def forget_reports(self, address: str) -> None:
        """Drop a replaced server's reports; requests in flight are still counted."""
        entry = self.server(address)
        entry.report = None
        entry.polled = None
        entry.observed_at = -1e9

    def retain(self, addresses: set[str]) -> None:
        """Drop unlisted servers once they have no requests in flight."""
        for address in self.servers.keys() - addresses:
            entry = self.servers[address]
            if entry.in_flight == 0 and entry.batch_in_flight == 0:
                del self.servers[address]


def _smooth(average: float, value: float) -> float:
    return average + SMOOTHING_FACTOR * (value - average)
