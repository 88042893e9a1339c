"""Keep requests whose prompts crash backend servers from being sent to more of them."""

import collections
import collections.abc

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import gossip, messages, model, request_guard
from turmerictally.entry import trace as traces
from turmerictally.scheduling import prompt_quarantine, server_answers

# Until a batch item with a quarantined part is looked at again: the quarantine may end,
# or the trial fall to this host, at any time.
ITEM_RECHECK_S = 1.0
MISDIRECTED_REQUEST = 421  # status of an answer by another server at the same address


ONLINE, BATCH = "online", "batch"


@attrs.define(eq=False)
class PromptGuard:
    """Record which prompts crash servers, and refuse those with quarantined parts.

    ``work`` is whose prompts it guards, in log lines. ``on_evidence`` is called when
    other hosts should soon learn of new evidence, ``on_quarantine`` when this host's
    own evidence put a part into quarantine, and ``on_change`` when crashes turn out to
    have another cause, or none.
    """

    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    enabled: bool = True
    work: str = ONLINE
    answers: server_answers.ServerAnswers = attrs.field(
        factory=server_answers.ServerAnswers
    )
    on_change: collections.abc.Callable[[], None] = lambda: None
    on_evidence: collections.abc.Callable[[], None] = lambda: None
    on_quarantine: collections.abc.Callable[[], None] = lambda: None
    quarantine: prompt_quarantine.PromptQuarantine = attrs.field(init=False)
    refusals: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def __attrs_post_init__(self) -> None:
        self.quarantine = prompt_quarantine.PromptQuarantine(
            self.hosts.host_id, lambda: self.hosts.records, answers=self.answers
        )

    def configure(
        self,
        exempt: collections.abc.Iterable[str],
        quarantined: collections.abc.Iterable[str],
    ) -> None:
        """Apply the operator's lists of parts."""
        self.quarantine.exempt = frozenset(exempt)
        self.quarantine.fixed = frozenset(quarantined)

    def check(
        self, parts: collections.abc.Iterable[str]
    ) -> prompt_quarantine.Refusal | None:
        """Return why a request with these shared parts must not be sent, or None."""
        if not self.enabled:
            return None
        return self.quarantine.check(parts, self.clock.monotonic())

    def record_send(
        self, request_id: str, server: str, parts: collections.abc.Iterable[str]
    ) -> None:
        """Record that a request is sent, which tries its quarantined parts."""
        if not self.quarantine.quarantined:
            return
        tried = self.quarantine.start_trials(parts, self.clock.monotonic())
        for part in tried:
            found = self.quarantine.quarantined[part]
            self.trace.emit(
                "prompt_part_tried",
                request_id,
                part=part,
                server=server,
                crashes=found.crashes,
                age_s=round(self.clock.monotonic() - found.last_crash_at, 2),
            )
        if tried:
            self.on_evidence()

    def record_first_event(self, parts: collections.abc.Sequence[str]) -> None:
        """Clear the shared parts of a run that a server answers."""
        before = self.quarantine.quarantined
        if self.quarantine.record_first_event(parts, self.clock.monotonic()):
            self._log_changes(before, "answered here")
            self.on_evidence()

    def record_crash(
        self,
        request_id: str,
        server: model.Server,
        parts: collections.abc.Sequence[str],
    ) -> None:
        """Accuse the shared parts of a run that a crash ended without an event."""
        if not parts:
            return
        before = self.quarantine.quarantined
        now = self.clock.monotonic()
        accused = self.quarantine.record_crash(_incarnation(server), parts, now)
        if not accused:
            return
        self.trace.emit(
            "prompt_parts_accused",
            request_id,
            server=server.instance,
            born_ms=server.born_ms,
            accused=accused,
            shared_parts=parts,
        )
        self._log_changes(before, "seen here")
        self.on_evidence()
        if self.quarantine.quarantined.keys() - before.keys():
            self.on_quarantine()

    def record_answer(
        self, server: model.Server, head: messages.ResponseHead, sent_at: float
    ) -> None:
        """Record a server's answer to a request that was sent at ``sent_at``."""
        if head.status == MISDIRECTED_REQUEST:
            return
        now = self.clock.monotonic()
        incarnation = _incarnation(server)
        if self.answers.record_answer(incarnation, sent_at, now):
            self._refute([incarnation], "answered here")
            self.on_evidence()

    def record_restart(self, ended: model.Server) -> None:
        """Record that an incarnation of a server has been replaced by another."""
        now = self.clock.monotonic()
        if self.answers.record_restart(_incarnation(ended), now):
            before = self.quarantine.quarantined
            self.quarantine.update()
            self._log_changes(before, "server started again")

    def is_accused(self, parts: collections.abc.Iterable[str]) -> bool:
        """Return whether a crash counts against one of these shared parts."""
        return self.enabled and self.quarantine.is_accused(parts)

    def report(self) -> prompt_quarantine.Report:
        """Return this host's evidence for its digests."""
        before = self.quarantine.quarantined
        report = self.quarantine.report(self.clock.monotonic())
        self._log_changes(before, "expired")
        return report

    def report_answers(self) -> server_answers.Report:
        """Return the answers that refute crashes, for this host's digests."""
        return self.answers.report(self.clock.monotonic())

    def receive_answers(self, host: str, report: server_answers.Report) -> None:
        """Merge the answers of another host's digest."""
        now = self.clock.monotonic()
        if refuted := self.answers.receive(report, now):
            self._refute(refuted, "told", host)

    def receive(self, host: str, report: prompt_quarantine.Report) -> None:
        """Merge the evidence of another host's digest."""
        before = self.quarantine.quarantined
        self.quarantine.receive(report, self.clock.monotonic())
        self._log_changes(before, "told", host)

    def record(self, store_now_s: float) -> prompt_quarantine.Record:
        """Return the quarantined parts for this host's row."""
        return self.quarantine.record(store_now_s - self.clock.monotonic())

    def restore(
        self, host: str, record: prompt_quarantine.Record, store_now_s: float
    ) -> None:
        """Merge the quarantined parts of a host's row."""
        before = self.quarantine.quarantined
        now = self.clock.monotonic()
        self.quarantine.restore(record, store_now_s - now, now)
        self._log_changes(before, "in a host's row", host)

    def recheck(self) -> None:
        """Decide again, as crashes turned out to have another cause, or none."""
        before = self.quarantine.quarantined
        self.quarantine.update()
        self._log_changes(before, "crash explained")

    def _refute(self, servers: list[str], source: str, host: str = "") -> None:
        """Lift what rests on crashes of servers that answered again."""
        before = self.quarantine.quarantined
        self.quarantine.update()
        for server in servers:
            self.trace.emit("crash_refuted", server=server, source=source, host=host)
        self._log_changes(before, "crash refuted", host)
        self.on_change()

    def _log_changes(
        self,
        before: dict[str, prompt_quarantine.Quarantine],
        source: str,
        host: str = "",
    ) -> None:
        after = self.quarantine.quarantined
        if after.keys() == before.keys():
            return
        self.on_change()
        now = self.clock.monotonic()
        for part in after.keys() - before.keys():
            found = after[part]
            self.trace.emit(
                "prompt_part_quarantined",
                part=part,
                work=self.work,
                crashes=found.crashes,
                age_s=round(now - found.last_crash_at, 2),
                trial_in_s=round(found.trial_at - now, 2),
                source=source,
                host=host,
            )
        for part in before.keys() - after.keys():
            self.trace.emit(
                "prompt_part_cleared",
                part=part,
                work=self.work,
                source=source,
                host=host,
            )


def make_item_guard(
    prompts: PromptGuard, requests: request_guard.RequestGuard
) -> PromptGuard:
    """Return a guard of batch items beside those of online requests.

    Crashes that online requests or their parts explain don't count against items.
    """

    def explained(part: str) -> set[str]:
        return prompts.quarantine.explained() | requests.quarantine.explained_crashes()

    def recheck_both() -> None:
        prompts.recheck()
        items.recheck()

    items = PromptGuard(
        prompts.hosts,
        prompts.clock,
        prompts.trace,
        enabled=prompts.enabled,
        work=BATCH,
        answers=prompts.answers,
    )
    items.quarantine.min_crashes = prompt_quarantine.MIN_ITEM_CRASHES
    items.quarantine.max_trial_wait_s = prompt_quarantine.MAX_ITEM_TRIAL_WAIT_S
    items.quarantine.explained_crashes = explained
    prompts.quarantine.explained_crashes = requests.quarantine.explained_crashes
    prompts.on_change = items.recheck
    requests.on_change = recheck_both
    return items


def _incarnation(server: model.Server) -> str:
    return f"{server.instance}/{server.born_ms}"
