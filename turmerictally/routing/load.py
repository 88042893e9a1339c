"""Estimate servers' loads from lagging reports and this host's own requests."""

import collections
import collections.abc
import math

import attrs

# Weight of a new observation in a moving average.
SMOOTHING = 0.1
# Age in seconds after which a latency observation no longer counts.
LATENCY_MAX_AGE_S = 10.0
# Bound of the factor by which a slow server's cost grows.
MAX_SLOWNESS = 8.0
# Own starts and ends kept for one server between two reports.
MAX_EVENTS = 4096


@attrs.frozen
class LoadReport:
    """Hold a server's own figures as of ``sampled_at``, in monotonic seconds."""

    running: int
    waiting: int
    capacity: int
    sampled_at: float
    batch_running: int = 0

    @property
    def total(self) -> int:
        """Return running and waiting requests."""
        return self.running + self.waiting


@attrs.define
class ServerLoad:
    """Hold one server's last reports and this host's requests since then.

    Only polled reports tell batch work from online work.
    """

    report: LoadReport | None = None
    polled: LoadReport | None = None
    in_flight: int = 0
    batch_in_flight: int = 0
    first_token_s: float = 0.0
    observed_at: float = -1e9
    events: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_EVENTS)
    )

    def add(self, change: int, batch: bool, now: float) -> None:
        """Count a started or ended request."""
        if batch:
            self.batch_in_flight += change
        else:
            self.in_flight += change
        self.events.append((now, change, batch))

    def add_report(self, report: LoadReport, polled: bool) -> None:
        """Keep a report unless a newer one is known."""
        if polled and _is_newer(report, self.polled):
            self.polled = report
        if _is_newer(report, self.report):
            self.report = report
        oldest = min(_sampled(self.report), _sampled(self.polled))
        while self.events and self.events[0][0] <= oldest:
            self.events.popleft()

    def since(self, report: LoadReport, batch: bool | None = None) -> int:
        """Return own starts minus ends that the report cannot include."""
        return sum(
            change
            for at, change, is_batch in self.events
            if at > report.sampled_at and (batch is None or is_batch is batch)
        )


def _sampled(report: LoadReport | None) -> float:
    return report.sampled_at if report else math.inf


def _is_newer(report: LoadReport, known: LoadReport | None) -> bool:
    return known is None or report.sampled_at >= known.sampled_at


class LoadTracker:
    """Estimate the load of each server.

    ``max_age_s`` bounds the age of a usable report, and ``capacity`` stands in for
    servers that have not reported.
    """

    def __init__(self, max_age_s: float, default_capacity: int) -> None:
        self.max_age_s = max_age_s
        self.default_capacity = default_capacity
        self.servers: dict[str, ServerLoad] = {}
        self.baseline_s: dict[str, float] = {}
        self.on_piggyback: list[collections.abc.Callable[[str], None]] = []

    def server(self, address: str) -> ServerLoad:
        """Return the entry of a server."""
        entry = self.servers.get(address)
        if entry is None:
            entry = self.servers[address] = ServerLoad()
        return entry

    def request_started(self, address: str, now: float, batch: bool = False) -> None:
        """Count one request sent by this host."""
        self.server(address).add(1, batch, now)

    def request_ended(self, address: str, now: float, batch: bool = False) -> None:
        """Count the end of one request sent by this host."""
        self.server(address).add(-1, batch, now)

    def record_polled(self, address: str, report: LoadReport) -> None:
        """Keep a polled report."""
        self.server(address).add_report(report, polled=True)

    def record_piggybacked(self, address: str, text: str, now: float) -> None:
        """Take ``running,waiting,capacity`` that came with an answer."""
        try:
            running, waiting, capacity = (int(part) for part in text.split(","))
        except ValueError:
            return
        report = LoadReport(running, waiting, max(1, capacity), now)
        self.server(address).add_report(report, polled=False)
        for notify in self.on_piggyback:
            notify(address)

    def total_requests(self, address: str, now: float) -> int:
        """Return the estimated running and waiting requests of all hosts."""
        entry = self.server(address)
        own = entry.in_flight + entry.batch_in_flight
        report = self.if_fresh(entry.report, now)
        if report is None:
            return own
        return max(own, report.total + entry.since(report))

    def batch_requests(self, address: str, now: float) -> int:
        """Return the estimated batch requests of all hosts."""
        entry = self.server(address)
        report = self.if_fresh(entry.polled, now)
        if report is None:
            return entry.batch_in_flight
        reported = report.batch_running + entry.since(report, True)
        return max(entry.batch_in_flight, reported)

    def unreported_online(self, address: str) -> int:
        """Return own online starts minus ends since the last report, at least 1."""
        entry = self.server(address)
        if entry.report is None:
            return max(1, entry.in_flight)
        return max(1, entry.since(entry.report, False))

    def capacity(self, address: str) -> int:
        """Return the server's capacity in requests."""
        report = self.server(address).report
        return report.capacity if report else self.default_capacity

    def load_ratio(self, address: str, now: float) -> float:
        """Return the estimated load in parts of the capacity."""
        return self.total_requests(address, now) / self.capacity(address)

    def sampled_at(self, address: str) -> float:
        """Return when the last report was sampled, in monotonic seconds."""
        report = self.server(address).report
        return report.sampled_at if report else -math.inf

    def online_ratio(self, address: str, now: float) -> float:
        """Return the estimated load without batch work."""
        online = self.total_requests(address, now) - self.batch_requests(address, now)
        return online / self.capacity(address)

    def if_fresh(self, report: LoadReport | None, now: float) -> LoadReport | None:
        """Return the report while it is young enough."""
        if report is None or now - report.sampled_at > self.max_age_s:
            return None
        return report

    def observe_first_token(
        self, address: str, name: str, first_token_s: float, now: float
    ) -> None:
        """Learn the time to first token of one request, in seconds."""
        entry = self.server(address)
        stale = now - entry.observed_at > LATENCY_MAX_AGE_S
        before = first_token_s if stale else entry.first_token_s
        entry.first_token_s = _smooth(before, first_token_s)
        entry.observed_at = now
        baseline = self.baseline_s.get(name, first_token_s)
        self.baseline_s[name] = _smooth(baseline, first_token_s)

    def slowness_factor(self, address: str, name: str, now: float) -> float:
        """Return how many times slower than usual a server answers, at least 1."""
        entry = self.server(address)
        baseline = self.baseline_s.get(name, 0.0)
        if now - entry.observed_at > LATENCY_MAX_AGE_S or baseline <= 0.0:
            return 1.0
        return min(MAX_SLOWNESS, max(1.0, entry.first_token_s / baseline))

    def forget_reports(self, address: str) -> None:
        """Drop a report of a server that was replaced; own requests still count."""
        entry = self.server(address)
        entry.report = None
        entry.polled = None
        entry.observed_at = -1e9

    def retain(self, addresses: set[str]) -> None:
        """Drop idle servers that are no longer known."""
        for address in self.servers.keys() - addresses:
            entry = self.servers[address]
            if entry.in_flight == 0 and entry.batch_in_flight == 0:
                del self.servers[address]


def _smooth(before: float, value: float) -> float:
    return before + SMOOTHING * (value - before)
