"""Find prompt parts that crash backend servers, from the crashes all hosts saw.

A part that crashes servers never lets one write an event. So a run that a server's
crash ended before its first event accuses the shared parts of its prompt, and any first
event clears those of its own. Hosts exchange both in digests; each decides by itself.
"""

import collections.abc
import hashlib
import math

import attrs

from turmerictally.scheduling import server_answers

# Crashes of different servers, not explained by another part, that quarantine a part. A
# single crash may have any cause.
MIN_CRASHES = 2
# Crashes this close together count once: a power failure or a reset of connections ends
# several servers' runs at the same moment.
COINCIDENT_S = 0.05
# A first event clears a part also for crashes that follow within this time, as a server
# that crashes for another reason interrupts requests that just arrived.
CLEARS_LATER_CRASHES_S = 1.0
# One request with a quarantined part is tried this long after the part's last crash.
# Each further crash makes the wait longer, so that all trials crash few servers.
FIRST_TRIAL_WAIT_S = 10.0
TRIAL_WAIT_FACTOR = 4.0
MAX_TRIAL_WAIT_S = 600.0
TRIAL_RETRY_AFTER_S = 1.0  # for callers while a trial is due elsewhere or runs
# A trial falls to the host that ranks first for the part, which may have no request
# with it: each time this passes without a trial, twice as many hosts may make it.
TRIAL_TURN_S = 1.0
TRIAL_TIMEOUT_S = 5.0  # until a trial without an outcome is made again
# Batch items don't crash servers by themselves, and are owed: they are held for crashes
# under items only, and not for longer than this between two trials.
MIN_ITEM_CRASHES = 3
MAX_ITEM_TRIAL_WAIT_S = 10.0
CRASH_TTL_S = 1800.0
CLEARED_TTL_S = 10.0  # until all hosts have heard that a part was cleared
MAX_ACCUSED_PARTS = 64  # some 5 kB of a digest
MAX_CRASHES_PER_PART = 8  # the newest ones
MAX_CLEARED_PARTS = 4000  # whose latest first event is kept
MAX_AGE_S = 1e6  # stands for "never" in reports

# By part: its position in the prompt, the seconds since this host saw a first event and
# since it made a trial, and the seconds since each crash by server incarnation.
Report = dict[str, tuple[int, float, float, dict[str, float]]]
# By part: its position and the time of each crash on the store's clock.
Record = dict[str, tuple[int, dict[str, float]]]


@attrs.define
class Evidence:
    """Hold what is known of one accused part.

    ``position`` is its place in the prompt, ``crashes`` the monotonic time of each
    crash by server incarnation. ``begun_at`` is the latest first event and ``tried_at``
    the latest trial on any host, ``own_trial_at`` this host's latest trial.
    """

    position: int
    crashes: dict[str, float] = attrs.Factory(dict)
    begun_at: float = float("-inf")
    tried_at: float = float("-inf")
    own_trial_at: float = float("-inf")

    def unexplained(
        self,
        explained: collections.abc.Container[str],
        answers: server_answers.ServerAnswers,
    ) -> list[float]:
        """Return the times of crashes that count, in order, coincident ones once."""
        times = sorted(
            at
            for server, at in self.crashes.items()
            if server not in explained
            and at - CLEARS_LATER_CRASHES_S > self.begun_at
            and not answers.refutes(server, at)
        )
        counted: list[float] = []
        for at in times:
            if not counted or at - counted[-1] > COINCIDENT_S:
                counted.append(at)
        return counted


@attrs.frozen
class Quarantine:
    """Hold why and until when a part is not sent to servers.

    ``crashes`` counts them; ``trial_at`` is the monotonic time of the next trial.
    """

    part: str
    crashes: int
    last_crash_at: float
    trial_at: float


@attrs.frozen
class Refusal:
    """Hold why a request is not sent, and when its caller may come back."""

    part: str
    crashes: int
    age_s: float
    retry_after_s: float
    reason: str = "prompt part crashes servers"


@attrs.define(eq=False)
class PromptQuarantine:
    """Decide which prompt parts are not sent to backend servers.

    ``read_hosts`` returns the names of all hosts, which make trials in turn. Parts in
    ``exempt`` are never quarantined, those in ``fixed`` always. ``answers`` tells which
    crashes were none, ``explained_crashes`` the servers whose crashes don't count
    against a part. ``min_crashes`` quarantine a part, and at most ``max_trial_wait_s``
    pass from the last crash to the next trial. ``begun_at`` holds the latest first
    event of each part on this host, ``cleared_at`` that on any host of parts that were
    accused.
    """

    host: str = ""
    read_hosts: collections.abc.Callable[[], collections.abc.Collection[str]] = tuple
    explained_crashes: collections.abc.Callable[[str], set[str]] = lambda part: set()
    min_crashes: int = MIN_CRASHES
    max_trial_wait_s: float = MAX_TRIAL_WAIT_S
    exempt: frozenset[str] = frozenset()
    fixed: frozenset[str] = frozenset()
    evidence: dict[str, Evidence] = attrs.Factory(dict)
    begun_at: dict[str, float] = attrs.Factory(dict)
    cleared_at: dict[str, float] = attrs.Factory(dict)
    quarantined: dict[str, Quarantine] = attrs.Factory(dict)
    answers: server_answers.ServerAnswers = attrs.field(
        factory=server_answers.ServerAnswers
    )

    def record_first_event(
        self, parts: collections.abc.Iterable[str], now: float
    ) -> bool:
        """Clear the parts of an answered run; return whether one was accused."""
        was_accused = False
        for part in parts:
            _keep_latest(self.begun_at, part, now)
            evidence = self.evidence.get(part)
            if evidence is not None:
                was_accused = was_accused or self._counts(evidence)
                evidence.begun_at = now
        if was_accused:
            self.update()
        return was_accused

    def record_crash(
        self, server: str, parts: collections.abc.Sequence[str], now: float
    ) -> list[str]:
        """Accuse the parts of a run that a crash ended before its first event.

        ``server`` names the server's incarnation. Returns the accused parts.
        """
        accused = []
        for position, part in enumerate(parts):
            evidence = self._evidence(part, position)
            self._add_crash(evidence, server, now)
            if self._counts(evidence):
                accused.append(part)
        if accused:
            self.answers.record_crash(server, now, now)
        self.update()
        return accused

    def is_accused(self, parts: collections.abc.Iterable[str]) -> bool:
        """Return whether a crash counts against one of the parts."""
        return any(
            part in self.evidence and self._counts(self.evidence[part])
            for part in parts
        )

    def check(self, parts: collections.abc.Iterable[str], now: float) -> Refusal | None:
        """Return why a request with these parts must not be sent, None if it may."""
        for part in parts:
            if part in self.exempt:
                continue
            if part in self.fixed:
                return Refusal(part, 0, 0.0, MAX_TRIAL_WAIT_S)
            quarantine = self.quarantined.get(part)
            if quarantine is None or self._may_try(quarantine, now):
                continue
            return Refusal(
                part,
                quarantine.crashes,
                round(now - quarantine.last_crash_at, 3),
                max(TRIAL_RETRY_AFTER_S, quarantine.trial_at - now),
            )
        return None

    def start_trials(
        self, parts: collections.abc.Iterable[str], now: float
    ) -> list[str]:
        """Record that a request is sent; return those of its parts that it tries."""
        tried = [
            part
            for part in parts
            if part in self.quarantined and part not in self.exempt
        ]
        for part in tried:
            self.evidence[part].tried_at = self.evidence[part].own_trial_at = now
        return tried

    def explained(self) -> set[str]:
        """Return the servers whose crashes the quarantined parts explain."""
        return {s for part in self.quarantined for s in self.evidence[part].crashes}

    def report(self, now: float) -> Report:
        """Return the evidence for the other hosts, and drop what has expired."""
        self._expire(now)
        return {
            part: (
                evidence.position,
                round(now - self.begun_at.get(part, now - MAX_AGE_S), 3),
                round(min(MAX_AGE_S, now - evidence.own_trial_at), 3),
                {s: round(now - at, 3) for s, at in evidence.crashes.items()},
            )
            for part, evidence in self.evidence.items()
        }

    def receive(self, report: Report, now: float) -> None:
        """Merge another host's evidence."""
        for part, (position, begun_age_s, trial_age_s, crash_ages) in report.items():
            evidence = self._evidence(part, position)
            evidence.begun_at = max(evidence.begun_at, now - begun_age_s)
            evidence.tried_at = max(evidence.tried_at, now - trial_age_s)
            self._merge(evidence, {s: now - age for s, age in crash_ages.items()}, now)
        if report:
            self.update()

    def record(self, to_store_s: float) -> Record:
        """Return the quarantined parts for this host's row.

        ``to_store_s`` added to monotonic seconds gives the store's clock.
        """
        return {
            part: (
                self.evidence[part].position,
                {
                    server: round(at + to_store_s, 2)
                    for server, at in self.evidence[part].crashes.items()
                },
            )
            for part in self.quarantined
        }

    def restore(self, record: Record, to_store_s: float, now: float) -> None:
        """Merge the quarantined parts of a host's row."""
        for part, (position, crashes) in record.items():
            times = {server: at - to_store_s for server, at in crashes.items()}
            self._merge(self._evidence(part, position), times, now)
        if record:
            self.update()

    def _may_try(self, quarantine: Quarantine, now: float) -> bool:
        tried_at = self.evidence[quarantine.part].tried_at
        due_s = now - max(quarantine.trial_at, tried_at + TRIAL_TIMEOUT_S)
        if due_s < 0:
            return False
        # Hosts that are not reachable count too: a cut must not add trials at once.
        others = set(self.read_hosts()) - {self.host}
        rank = rank_host(quarantine.part, self.host)
        ahead = sum(rank_host(quarantine.part, other) > rank for other in others)
        return due_s >= TRIAL_TURN_S * math.log2(1 + ahead)

    def _evidence(self, part: str, position: int) -> Evidence:
        evidence = self.evidence.get(part)
        if evidence is None:
            if len(self.evidence) >= MAX_ACCUSED_PARTS:
                self._drop_weakest()
            begun_at = max(
                times.get(part, float("-inf"))
                for times in (self.begun_at, self.cleared_at)
            )
            evidence = self.evidence[part] = Evidence(position, begun_at=begun_at)
        evidence.position = max(evidence.position, position)
        return evidence

    def _drop_weakest(self) -> None:
        def strength(part: str) -> tuple[int, float]:
            evidence = self.evidence[part]
            newest = max(evidence.crashes.values(), default=float("-inf"))
            return len(evidence.unexplained((), self.answers)), newest

        del self.evidence[min(self.evidence, key=strength)]

    def _counts(self, evidence: Evidence) -> bool:
        """Return whether any crash counts against a part."""
        return bool(evidence.unexplained((), self.answers))

    def _add_crash(self, evidence: Evidence, server: str, at: float) -> None:
        known_at = evidence.crashes.get(server, at)
        known_counts = not self.answers.refutes(server, known_at)
        if known_counts == (not self.answers.refutes(server, at)):
            # A report is late by its way here, so that the earliest is the truest.
            evidence.crashes[server] = min(at, known_at)
        elif not known_counts:
            evidence.crashes[server] = at

    def _merge(self, evidence: Evidence, crashes: dict[str, float], now: float) -> None:
        for server, at in crashes.items():
            if now - at > CRASH_TTL_S:
                continue
            self._add_crash(evidence, server, at)
            self.answers.record_crash(server, at, now)
        for server in sorted(evidence.crashes, key=evidence.crashes.get)[
            :-MAX_CRASHES_PER_PART
        ]:
            del evidence.crashes[server]

    def _expire(self, now: float) -> None:
        for part, evidence in list(self.evidence.items()):
            newest = max(evidence.crashes.values(), default=float("-inf"))
            if self._counts(evidence):
                expired = now - newest > CRASH_TTL_S
            else:
                expired = now - max(newest, evidence.begun_at) > CLEARED_TTL_S
                # Hosts that were cut off report the crashes again.
                _keep_latest(self.cleared_at, part, evidence.begun_at)
            if expired:
                del self.evidence[part]
                self.quarantined.pop(part, None)

    def update(self) -> None:
        """Quarantine the fewest parts that explain the crashes.

        A part that stands in most crashes comes first. Among equals it is the one that
        was never answered, then the one furthest back in the prompt, which fewest
        requests share. What it explains does not count against others.
        """
        explained: set[str] = set()
        by_requests = {part: self.explained_crashes(part) for part in self.evidence}
        remaining = dict(self.evidence)
        quarantined = {}
        while remaining:
            counts = {
                p: len(e.unexplained(explained | by_requests[p], self.answers))
                for p, e in remaining.items()
            }
            part = max(
                remaining,
                key=lambda p: (
                    counts[p],
                    -remaining[p].begun_at,
                    remaining[p].position,
                    p,
                ),
            )
            if counts[part] < self.min_crashes:
                break
            evidence = remaining.pop(part)
            last_at = evidence.unexplained((), self.answers)[-1]
            wait_s = FIRST_TRIAL_WAIT_S * TRIAL_WAIT_FACTOR ** (
                counts[part] - self.min_crashes
            )
            quarantined[part] = Quarantine(
                part,
                counts[part],
                last_at,
                last_at + min(self.max_trial_wait_s, wait_s),
            )
            explained |= evidence.crashes.keys()
        self.quarantined = quarantined


def _keep_latest(times: dict[str, float], part: str, at: float) -> None:
    """Set a part's time, and drop the part that was set first if there are too many."""
    times.pop(part, None)
    times[part] = at
    if len(times) > MAX_CLEARED_PARTS:
        del times[next(iter(times))]


def rank_host(part: str, host: str) -> bytes:
    """Return the rank of a host for trials of a part; the highest is first."""
    return hashlib.blake2b(f"{part}/{host}".encode()).digest()
