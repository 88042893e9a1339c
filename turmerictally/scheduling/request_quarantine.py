"""Find requests that crash backend servers, from the crashes all hosts saw.

A request is recognized by a digest when it comes again, whatever its id. A crash
accuses each request that ran on the server, and a complete response clears the request
that it answers. Hosts exchange both in digests; each decides by itself.
"""

import collections.abc
import hashlib

import attrs

from turmerictally.scheduling import prompt_quarantine, server_answers

IDENTITY_BYTES = 8
# Crashes of different servers that quarantine a request: with a response begun and no
# event, or alone on the server; and of any kind, as sound requests run there as well.
MIN_STRONG_CRASHES = 2
MIN_CRASHES = 3
# A request that crashed this many servers is not tried again.
MAX_TRIED_CRASHES = 5
# Weak evidence that led to no quarantine is dropped this long after its last crash.
WEAK_EVIDENCE_TTL_S = 120.0
# Hosts take turns of this length to make a due trial. The last part of a turn is
# nobody's, as hosts don't learn of a crash at the same moment.
TRIAL_TURN_S = 2.0
TRIAL_TURN_MARGIN_S = 0.5
MAX_ACCUSED_REQUESTS = 32  # some 10 kB of a digest
MAX_RECORDED_REQUESTS = 16  # in a host's row
MAX_CRASHES_PER_REQUEST = 8  # the newest ones
MAX_PARTS_PER_REQUEST = 6  # those furthest back in the prompt
MAX_COMPLETED_REQUESTS = 4000  # whose latest complete response is kept

# By server incarnation: a time, and whether the crash is strong evidence.
Crashes = dict[str, tuple[float, bool]]
# By request: the shared parts of its prompt, the seconds since this host saw a complete
# response and since it made a trial, and the crashes with the seconds since each.
Report = dict[str, tuple[tuple[str, ...], float, float, Crashes]]
# By request: the same parts, and its crashes on the store's clock.
Record = dict[str, tuple[tuple[str, ...], Crashes]]


def request_identity(team: str, method: bytes, target: bytes, body: bytes) -> str:
    """Return the digest by which hosts recognize a request that comes again.

    It names the request in logs and reports without a word of its content.
    """
    digest = hashlib.blake2b(
        digest_size=IDENTITY_BYTES,
        key=hashlib.blake2b(team.encode()).digest(),
        person=b"request",
    )
    for field in (method, target):
        digest.update(len(field).to_bytes(4, "big") + field)
    digest.update(body)
    return digest.hexdigest()


@attrs.frozen
class Crash:
    """Hold the monotonic time of a crash, and whether it is strong evidence."""

    at: float
    strong: bool


@attrs.define
class Evidence:
    """Hold what is known of one accused request.

    ``parts`` are the shared parts of its prompt and ``crashes`` its crashes by server
    incarnation. ``completed_at`` and ``tried_at`` are the latest complete response and
    trial on any host, ``tried_here_at`` the latest trial on this one.
    """

    parts: tuple[str, ...]
    crashes: dict[str, Crash] = attrs.Factory(dict)
    completed_at: float = float("-inf")
    tried_at: float = float("-inf")
    tried_here_at: float = float("-inf")


@attrs.frozen
class Quarantine:
    """Hold why and until when a request is not sent to servers.

    ``crashes`` counts them; ``trial_at`` is the monotonic time of the next trial.
    """

    identity: str
    crashes: int
    last_crash_at: float
    trial_at: float


@attrs.frozen
class Refusal:
    """Hold why a request is not sent, and when its caller may come back."""

    identity: str
    crashes: int
    age_s: float
    retry_after_s: float
    reason: str = "request crashes servers"


@attrs.define(eq=False)
class RequestQuarantine:
    """Decide which requests are not sent to backend servers.

    ``answers`` tells which crashes were none, and ``read_hosts`` returns the names of
    all hosts, which take turns to make trials. Requests in ``exempt`` are never
    quarantined, those in ``fixed`` always. ``completed_at`` holds the latest complete
    response of each request on this host, ``cleared_at`` that on any host of requests
    that were accused.
    """

    answers: server_answers.ServerAnswers
    host: str = ""
    read_hosts: collections.abc.Callable[[], collections.abc.Collection[str]] = tuple
    exempt: frozenset[str] = frozenset()
    fixed: frozenset[str] = frozenset()
    evidence: dict[str, Evidence] = attrs.Factory(dict)
    completed_at: dict[str, float] = attrs.Factory(dict)
    cleared_at: dict[str, float] = attrs.Factory(dict)

    def record_complete(self, identity: str, now: float) -> bool:
        """Clear a request that a server answered; return whether it was accused."""
        was_accused = self.is_accused(identity)
        _keep_latest(self.completed_at, identity, now)
        if identity in self.evidence:
            self.evidence[identity].completed_at = now
        return was_accused

    def record_crash(
        self,
        identity: str,
        server: str,
        parts: collections.abc.Sequence[str],
        *,
        strong: bool,
        now: float,
    ) -> bool:
        """Accuse a request that a crash interrupted; return whether the crash counts.

        ``server`` names the server's incarnation.
        """
        evidence = self._evidence(identity, parts)
        self._add_crash(evidence, server, Crash(now, strong))
        self.answers.record_crash(server, now, now)
        return self.is_accused(identity)

    def has_crash(self, server: str) -> bool:
        """Return whether an incarnation of a server crashed under any request."""
        return any(server in evidence.crashes for evidence in self.evidence.values())

    def is_accused(self, identity: str) -> bool:
        """Return whether a crash counts against a request."""
        evidence = self.evidence.get(identity)
        return evidence is not None and bool(self._counted(evidence))

    def find(self, identity: str) -> Quarantine | None:
        """Return the quarantine of a request, None if it has none."""
        evidence = self.evidence.get(identity)
        if evidence is None or identity in self.exempt:
            return None
        counted = self._counted(evidence)
        strong = sum(crash.strong for crash in counted)
        if strong < MIN_STRONG_CRASHES and len(counted) < MIN_CRASHES:
            return None
        last_at = counted[-1].at
        if len(counted) >= MAX_TRIED_CRASHES:
            trial_at = last_at + prompt_quarantine.CRASH_TTL_S
        else:
            trial_at = max(last_at, evidence.tried_at) + min(
                prompt_quarantine.MAX_TRIAL_WAIT_S,
                prompt_quarantine.FIRST_TRIAL_WAIT_S
                * prompt_quarantine.TRIAL_WAIT_FACTOR
                ** (len(counted) - MIN_STRONG_CRASHES),
            )
        return Quarantine(identity, len(counted), last_at, trial_at)

    def quarantined(self) -> dict[str, Quarantine]:
        """Return all requests in quarantine."""
        found = map(self.find, self.evidence)
        return {each.identity: each for each in found if each is not None}

    def check(self, identity: str, now: float) -> Refusal | None:
        """Return why a request must not be sent, None if it may."""
        if identity in self.fixed and identity not in self.exempt:
            return Refusal(identity, 0, 0.0, prompt_quarantine.MAX_TRIAL_WAIT_S)
        found = self.find(identity)
        if found is None or self._may_try(found, now):
            return None
        return Refusal(
            identity,
            found.crashes,
            round(now - found.last_crash_at, 3),
            max(prompt_quarantine.TRIAL_RETRY_AFTER_S, found.trial_at - now),
        )

    def start_trial(self, identity: str, now: float) -> Quarantine | None:
        """Record that a request is sent; return its quarantine if that is a trial."""
        found = self.find(identity)
        if found is not None:
            evidence = self.evidence[identity]
            evidence.tried_at = evidence.tried_here_at = now
        return found

    def explained_crashes(self, part: str | None = None) -> set[str]:
        """Return the servers whose crashes don't count against a part of prompts.

        They are those that crashed under requests in quarantine. Of the crashes under
        one that holds the part a single one counts, so that a part is blamed for
        crashes of several requests only.
        """
        explained: set[str] = set()
        counting: set[str] = set()
        for identity in self.quarantined():
            evidence = self.evidence[identity]
            explained |= evidence.crashes.keys()
            if part in evidence.parts:
                counting.add(min(evidence.crashes, key=_order(evidence)))
        return explained - counting

    def report(self, now: float) -> Report:
        """Return the evidence for the other hosts, and drop what has expired."""
        self._expire(now)
        never = now - prompt_quarantine.MAX_AGE_S
        return {
            identity: (
                evidence.parts,
                round(now - self.completed_at.get(identity, never), 3),
                round(now - max(never, evidence.tried_here_at), 3),
                {
                    server: (round(now - crash.at, 3), crash.strong)
                    for server, crash in evidence.crashes.items()
                },
            )
            for identity, evidence in self.evidence.items()
        }

    def receive(self, report: Report, now: float) -> None:
        """Merge another host's evidence."""
        for identity, (parts, completed_age_s, tried_age_s, ages) in report.items():
            evidence = self._evidence(identity, parts)
            evidence.completed_at = max(evidence.completed_at, now - completed_age_s)
            evidence.tried_at = max(evidence.tried_at, now - tried_age_s)
            crashes = {s: Crash(now - age, strong) for s, (age, strong) in ages.items()}
            self._merge(evidence, crashes, now)

    def record(self, to_store_s: float) -> Record:
        """Return the newest requests in quarantine for this host's row.

        ``to_store_s`` added to monotonic seconds gives the store's clock.
        """
        newest = sorted(self.quarantined().values(), key=lambda q: q.last_crash_at)
        return {
            found.identity: (
                self.evidence[found.identity].parts,
                {
                    server: (round(crash.at + to_store_s, 2), crash.strong)
                    for server, crash in self.evidence[found.identity].crashes.items()
                },
            )
            for found in newest[-MAX_RECORDED_REQUESTS:]
        }

    def restore(self, record: Record, to_store_s: float, now: float) -> None:
        """Merge the requests of a host's row."""
        for identity, (parts, times) in record.items():
            crashes = {
                s: Crash(at - to_store_s, strong) for s, (at, strong) in times.items()
            }
            self._merge(self._evidence(identity, parts), crashes, now)

    def _may_try(self, found: Quarantine, now: float) -> bool:
        turn, into_turn_s = divmod(now - found.trial_at, TRIAL_TURN_S)
        if turn < 0 or into_turn_s > TRIAL_TURN_S - TRIAL_TURN_MARGIN_S:
            return False
        hosts = sorted(
            {self.host, *self.read_hosts()},
            key=lambda host: prompt_quarantine.rank_host(found.identity, host),
        )
        return hosts[int(turn) % len(hosts)] == self.host

    def _evidence(
        self, identity: str, parts: collections.abc.Sequence[str]
    ) -> Evidence:
        evidence = self.evidence.get(identity)
        if evidence is None:
            if len(self.evidence) >= MAX_ACCUSED_REQUESTS:
                del self.evidence[min(self.evidence, key=self._strength)]
            completed_at = max(
                times.get(identity, float("-inf"))
                for times in (self.completed_at, self.cleared_at)
            )
            evidence = self.evidence[identity] = Evidence(
                tuple(parts[-MAX_PARTS_PER_REQUEST:]), completed_at=completed_at
            )
        return evidence

    def _strength(self, identity: str) -> tuple[bool, int, float]:
        counted = self._counted(self.evidence[identity])
        return (
            self.find(identity) is not None,
            sum(crash.strong for crash in counted),
            counted[-1].at if counted else float("-inf"),
        )

    def _counted(self, evidence: Evidence) -> list[Crash]:
        """Return the crashes that count, in order, coincident ones once."""
        clears_until = evidence.completed_at + prompt_quarantine.CLEARS_LATER_CRASHES_S
        counted: list[Crash] = []
        for server in sorted(evidence.crashes, key=_order(evidence)):
            crash = evidence.crashes[server]
            if crash.at <= clears_until or self.answers.refutes(server, crash.at):
                continue
            first = counted[-1] if counted else Crash(float("-inf"), strong=False)
            if crash.at - first.at > prompt_quarantine.COINCIDENT_S:
                counted.append(crash)
            elif crash.strong:
                counted[-1] = Crash(first.at, strong=True)
        return counted

    def _add_crash(self, evidence: Evidence, server: str, crash: Crash) -> None:
        known = evidence.crashes.get(server, crash)
        known_counts = not self.answers.refutes(server, known.at)
        if known_counts == (not self.answers.refutes(server, crash.at)):
            # A report is late by its way here, so that the earliest is the truest.
            evidence.crashes[server] = Crash(
                min(crash.at, known.at), crash.strong or known.strong
            )
        elif not known_counts:
            evidence.crashes[server] = crash

    def _merge(self, evidence: Evidence, crashes: dict[str, Crash], now: float) -> None:
        for server, crash in crashes.items():
            if now - crash.at > prompt_quarantine.CRASH_TTL_S:
                continue
            self._add_crash(evidence, server, crash)
            self.answers.record_crash(server, crash.at, now)
        in_order = sorted(evidence.crashes, key=_order(evidence))
        for server in in_order[:-MAX_CRASHES_PER_REQUEST]:
            del evidence.crashes[server]

    def _expire(self, now: float) -> None:
        for identity, evidence in list(self.evidence.items()):
            newest_at = max(
                (crash.at for crash in evidence.crashes.values()), default=float("-inf")
            )
            if counted := self._counted(evidence):
                is_weak = self.find(identity) is None and not any(
                    crash.strong for crash in counted
                )
                expired = now - newest_at > (
                    WEAK_EVIDENCE_TTL_S if is_weak else prompt_quarantine.CRASH_TTL_S
                )
            else:
                ended_at = max(newest_at, evidence.completed_at)
                expired = now - ended_at > prompt_quarantine.CLEARED_TTL_S
                # Hosts that were cut off report the crashes again.
                _keep_latest(self.cleared_at, identity, evidence.completed_at)
            if expired:
                del self.evidence[identity]


def _order(evidence: Evidence) -> collections.abc.Callable[[str], tuple[float, str]]:
    return lambda server: (evidence.crashes[server].at, server)


def _keep_latest(times: dict[str, float], identity: str, at: float) -> None:
    """Set a request's time, and drop the one set first if there are too many."""
    times.pop(identity, None)
    times[identity] = at
    if len(times) > MAX_COMPLETED_REQUESTS:
        del times[next(iter(times))]
