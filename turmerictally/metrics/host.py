"""Collect the measurements of one host."""

import collections

import attrs

from turmerictally import clock, errors, settings
from turmerictally.metrics import decisions, latency, refusals

GAP_SAMPLE_INTERVAL = 8  # one in this many gaps between a stream's tokens is recorded

# Refusals due to the team's own rate and burst.
_LIMIT_KINDS = (errors.Kind.RATE_LIMITED, errors.Kind.LIMITS_UNAVAILABLE)


@attrs.frozen
class Request:
    """Labels of the counter of finished requests."""

    work: latency.Work
    outcome: str


class Metrics:
    """All measurements of one host."""

    def __init__(
        self, config: settings.Metrics, now: clock.Clock | None = None
    ) -> None:
        self.clock = now or clock.Clock()
        self.max_teams = config.max_teams
        self.latencies = latency.Latencies(config.max_teams, self.clock)
        self.decisions = decisions.DecisionLog(config.explain_records, self.clock)
        self.refusals = refusals.RefusalCounts(self.clock)
        self.requests: collections.Counter[Request] = collections.Counter()
        self.refused: collections.Counter[errors.Kind] = collections.Counter()
        self.retries: collections.Counter[str] = collections.Counter()
        self.cut_answers = 0

    def start(
        self, team: str, work: latency.Work, started_at: float | None = None
    ) -> "Timer":
        """Time a request from ``started_at`` (monotonic), by default from now."""
        return Timer(self, team, work, started_at)

    def count_admitted(self, team: str) -> None:
        """Count one request within its team's rate limit."""
        if team:
            self.refusals.count(team, refused=False)

    def count_refused(self, team: str, kind: errors.Kind) -> None:
        """Count one refusal; ``team`` is empty if the request had no valid key."""
        self.refused[kind] += 1
        if team and kind in _LIMIT_KINDS:
            self.refusals.count(team, refused=True)

    def record_batch_item(self, seconds: float) -> None:
        """Record the time to one batch item's complete response."""
        self.latencies.record(
            latency.Measure.WHOLE_ANSWER, latency.Work.BATCH, latency.OTHER, seconds
        )

    def observe(self, request_id: str, event: str, **fields: object) -> None:
        """Log a decision on an online request and count retries."""
        self.decisions.record(request_id, event, **fields)
        if event == "attempt" and fields.get("number", 1) != 1:
            self.retries["attempt"] += 1
        elif event == "stream_cut":
            self.retries["stream"] += 1


class Timer:
    """Time one request: first token, gaps between tokens and complete response."""

    def __init__(
        self,
        metrics: Metrics,
        team: str,
        work: latency.Work,
        started_at: float | None = None,
    ) -> None:
        self.metrics = metrics
        self.team = team
        self.work = work
        now = metrics.clock.monotonic()
        self.started_at = now if started_at is None else started_at
        self.last_token_at: float | None = None
        self.token_count = 0

    def record_token(self) -> None:
        """Record that a token or a chunk of tokens was forwarded to the caller."""
        now = self.metrics.clock.monotonic()
        if self.last_token_at is None:
            self._record(latency.Measure.FIRST_TOKEN, now - self.started_at)
        elif self.token_count % GAP_SAMPLE_INTERVAL == 0:
            self._record(latency.Measure.TOKEN_GAP, now - self.last_token_at)
        self.token_count += 1
        self.last_token_at = now

    def finish(self, error: errors.Error | None = None) -> None:
        """Stop the timer; only complete responses are recorded as latencies."""
        if error is None:
            elapsed = self.metrics.clock.monotonic() - self.started_at
            self._record(latency.Measure.WHOLE_ANSWER, elapsed)
        elif error.kind is errors.Kind.ANSWER_INCOMPLETE:
            self.metrics.cut_answers += 1
        outcome = "whole" if error is None else error.kind.value
        self.metrics.requests[Request(self.work, outcome)] += 1

    def _record(self, measure: latency.Measure, seconds: float) -> None:
        self.metrics.latencies.record(measure, self.work, self.team, seconds)
