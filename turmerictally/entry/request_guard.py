"""Keep requests that crash backend servers from being sent to more of them."""

import collections.abc

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import gossip, model
from turmerictally.entry import trace as traces
from turmerictally.scheduling import request_quarantine, server_answers


@attrs.define(eq=False)
class RequestGuard:
    """Record which requests crash servers, and refuse those in quarantine.

    ``on_evidence`` is called when other hosts should soon learn of new evidence,
    ``on_quarantine`` when this host's own evidence put a request into quarantine, and
    ``on_change`` when what requests explain may have changed. ``quarantined`` holds the
    quarantines that were logged last, ``refused`` counts refusals.
    """

    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    answers: server_answers.ServerAnswers = attrs.field(
        factory=server_answers.ServerAnswers
    )
    enabled: bool = True
    on_evidence: collections.abc.Callable[[], None] = lambda: None
    on_quarantine: collections.abc.Callable[[], None] = lambda: None
    on_change: collections.abc.Callable[[], None] = lambda: None
    quarantine: request_quarantine.RequestQuarantine = attrs.field(init=False)
    quarantined: dict[str, request_quarantine.Quarantine] = attrs.Factory(dict)
    refused: int = 0

    def __attrs_post_init__(self) -> None:
        self.quarantine = request_quarantine.RequestQuarantine(
            self.answers, self.hosts.host_id, lambda: self.hosts.records
        )

    def configure(
        self,
        exempt: collections.abc.Iterable[str],
        quarantined: collections.abc.Iterable[str],
    ) -> None:
        """Apply the operator's lists of requests, by their digests."""
        self.quarantine.exempt = frozenset(exempt)
        self.quarantine.fixed = frozenset(quarantined)

    def check(self, identity: str) -> request_quarantine.Refusal | None:
        """Return why a request must not be sent, None if it may."""
        if not self.enabled:
            return None
        refusal = self.quarantine.check(identity, self.clock.monotonic())
        self.refused += refusal is not None
        return refusal

    def record_send(self, request_id: str, identity: str, server: str) -> None:
        """Record that a request is sent, which is a trial if it is in quarantine."""
        now = self.clock.monotonic()
        found = self.quarantine.start_trial(identity, now)
        if found is not None and self.enabled:
            self.trace.emit(
                "request_tried",
                request_id,
                identity=identity,
                server=server,
                crashes=found.crashes,
                age_s=round(now - found.last_crash_at, 2),
            )
            self.on_evidence()

    def record_complete(self, identity: str) -> None:
        """Clear a request that a server has answered whole."""
        if self.quarantine.record_complete(identity, self.clock.monotonic()):
            self._log_changes("answered here")
            self.on_evidence()

    def record_crash(
        self,
        request_id: str,
        identity: str,
        server: model.Server,
        parts: collections.abc.Sequence[str],
        *,
        began_without_event: bool,
        others: int,
    ) -> None:
        """Accuse a request that a server's crash interrupted.

        ``others`` is how many other requests ran there. A run that began and wrote no
        event, or was alone, is strong evidence.
        """
        if not self.enabled:
            return
        incarnation = f"{server.instance}/{server.born_ms}"
        alone = not others and not self.quarantine.has_crash(incarnation)
        strong = began_without_event or alone
        counts = self.quarantine.record_crash(
            identity, incarnation, parts, strong=strong, now=self.clock.monotonic()
        )
        if not counts:
            return
        self.trace.emit(
            "request_accused",
            request_id,
            identity=identity,
            server=server.instance,
            born_ms=server.born_ms,
            strong=strong,
            others=others,
        )
        if self._log_changes("seen here"):
            self.on_quarantine()
        self.on_evidence()

    def is_accused(self, identity: str) -> bool:
        """Return whether a crash counts against a request."""
        return self.enabled and self.quarantine.is_accused(identity)

    def report(self) -> request_quarantine.Report:
        """Return this host's evidence for its digests."""
        report = self.quarantine.report(self.clock.monotonic())
        self._log_changes("expired or refuted")
        return report

    def receive(self, host: str, report: request_quarantine.Report) -> None:
        """Merge the evidence of another host's digest."""
        self.quarantine.receive(report, self.clock.monotonic())
        self._log_changes("told", host)

    def record(self, store_now_s: float) -> request_quarantine.Record:
        """Return the requests in quarantine for this host's row."""
        return self.quarantine.record(store_now_s - self.clock.monotonic())

    def restore(
        self, host: str, record: request_quarantine.Record, store_now_s: float
    ) -> None:
        """Merge the requests in quarantine of a host's row."""
        now = self.clock.monotonic()
        self.quarantine.restore(record, store_now_s - now, now)
        self._log_changes("in a host's row", host)

    def _log_changes(self, source: str, host: str = "") -> bool:
        """Log what came into and out of quarantine; return whether any came in."""
        before, after = self.quarantined, self.quarantine.quarantined()
        self.quarantined = after
        now = self.clock.monotonic()
        for identity in after.keys() - before.keys():
            found = after[identity]
            self.trace.emit(
                "request_quarantined",
                identity=identity,
                crashes=found.crashes,
                age_s=round(now - found.last_crash_at, 2),
                trial_in_s=round(found.trial_at - now, 2),
                source=source,
                host=host,
            )
        for identity in before.keys() - after.keys():
            self.trace.emit(
                "request_cleared", identity=identity, source=source, host=host
            )
        if after != before:
            self.on_change()
        return bool(after.keys() - before.keys())
