"""Tell servers that crashed from those that only some hosts lost their paths to.

A host whose connection to a server is reset can't know whether the server ended. If the
same incarnation answers a request that any host sent after it had heard of the crash,
the server lives, and the crash is refuted.
"""

import attrs

# A crash up to this long after the answer that refutes it counts as refuted too: hosts
# learn the times of both as ages, each late by its way there.
REFUTES_LATER_CRASHES_S = 0.25
# A server that starts again under its old name this soon after its answer has answered
# as the new incarnation.
RESTART_SEEN_S = 3.0
ANSWER_TTL_S = 1800.0  # as long as crashes are remembered
MAX_SERVERS = 500  # of which an answer or a crash is kept; the oldest is evicted first

# By server incarnation: the seconds since the answer that refuted its crash.
Report = dict[str, float]


@attrs.define(eq=False)
class ServerAnswers:
    """Hold which incarnations of servers answered after they seemed to have crashed.

    ``suspected_at`` is when this host learned of a crash that no answer refutes, and
    ``answered_at`` when an answer refuted one, on any host; ``own`` names those that
    answered this host, and ``ended`` incarnations that have been replaced, with the
    time of that. All times are monotonic.
    """

    suspected_at: dict[str, float] = attrs.Factory(dict)
    answered_at: dict[str, float] = attrs.Factory(dict)
    own: set[str] = attrs.Factory(set)
    ended: dict[str, float] = attrs.Factory(dict)

    def refutes(self, server: str, crashed_at: float) -> bool:
        """Return whether an answer shows that a crash was none."""
        answered_at = self.answered_at.get(server)
        return (
            answered_at is not None
            and crashed_at <= answered_at + REFUTES_LATER_CRASHES_S
        )

    def record_crash(self, server: str, crashed_at: float, now: float) -> None:
        """Record that this host knows of a crash from now on."""
        if not self.refutes(server, crashed_at):
            self.suspected_at.setdefault(server, now)
            _evict_oldest(self.suspected_at)

    def record_answer(self, server: str, sent_at: float, now: float) -> bool:
        """Record an answer to a request of ``sent_at``; return if it refutes a crash.

        Only requests sent after the crash was known count: bytes that a server sent
        before its end may be read much later.
        """
        suspected_at = self.suspected_at.get(server)
        if suspected_at is None or sent_at <= suspected_at:
            return False
        self._refute(server, now)
        self.own.add(server)
        return True

    def record_restart(self, server: str, now: float) -> bool:
        """Record that an incarnation has ended; return if an answer proved nothing."""
        answered_at = self.answered_at.get(server, float("-inf"))
        if server in self.suspected_at or now - answered_at <= RESTART_SEEN_S:
            # Other hosts that have not seen the restart report the answer again.
            self.ended[server] = now
            _evict_oldest(self.ended)
        if now - answered_at > RESTART_SEEN_S:
            return False
        self._forget(server)
        return True

    def report(self, now: float) -> Report:
        """Return the answers for the other hosts, and drop those long ago."""
        for server, at in list(self.answered_at.items()):
            if now - at > ANSWER_TTL_S:
                self._forget(server)
        # Only own answers: an age that is passed on would never grow old.
        return {
            server: round(now - self.answered_at[server], 3)
            for server in self.own & self.answered_at.keys()
        }

    def receive(self, report: Report, now: float) -> list[str]:
        """Merge another host's answers; return the servers with a refuted crash."""
        refuted = []
        for server, age_s in report.items():
            if server in self.ended:
                continue
            answered_at = now - age_s
            known_at = self.answered_at.get(server, float("-inf"))
            if answered_at > known_at + REFUTES_LATER_CRASHES_S:
                self._refute(server, answered_at)
                refuted.append(server)
        return refuted

    def _refute(self, server: str, answered_at: float) -> None:
        self.suspected_at.pop(server, None)
        self.answered_at.pop(server, None)
        self.answered_at[server] = answered_at
        if len(self.answered_at) > MAX_SERVERS:
            self._forget(next(iter(self.answered_at)))

    def _forget(self, server: str) -> None:
        del self.answered_at[server]
        self.own.discard(server)


def _evict_oldest(times: dict[str, float]) -> None:
    if len(times) > MAX_SERVERS:
        del times[next(iter(times))]
