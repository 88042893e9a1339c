"""Tell whether a host has lost its paths to the servers, from what all hosts see.

Failures of one server or one domain are theirs. If everything that a host tries fails
while others are answered, the fault lies with the paths of that host.
"""

import collections.abc

import attrs

# Different servers that must fail in a row, or all there are if there are fewer.
MIN_FAILED_SERVERS = 3
# The same as a ratio of the servers in use: a domain that loses power is less.
MIN_FAILED_RATIO = 0.4
# Failures with a longer pause in between are unrelated.
MAX_PAUSE_S = 1.0


@attrs.frozen
class PeerReach:
    """Hold what another host said of itself.

    ``answered_at`` is when it last got an answer of any server (monotonic seconds).
    """

    answered_at: float
    paths_lost: bool


@attrs.define(eq=False)
class FailureRun:
    """Hold the servers that failed in a row, with the monotonic time of each failure.

    ``since`` is when the first of them failed.
    """

    failed_at: dict[str, float] = attrs.Factory(dict)
    since: float = float("inf")

    def add(self, server: str, now: float) -> None:
        """Add a failure; after a long pause a new run begins."""
        if now - max(self.failed_at.values(), default=float("-inf")) > MAX_PAUSE_S:
            self.failed_at.clear()
            self.since = now
        self.failed_at[server] = now

    def clear(self) -> None:
        """End the run, as something succeeded."""
        self.failed_at.clear()
        self.since = float("inf")

    def is_general(self, servers: collections.abc.Collection[str]) -> bool:
        """Return whether so many servers failed that the paths are suspect."""
        failed = len(self.failed_at.keys() & servers)
        needed = max(MIN_FAILED_SERVERS, MIN_FAILED_RATIO * len(servers))
        return failed > 0 and failed >= min(needed, len(servers))


@attrs.define(eq=False)
class ServerReach:
    """Track this host's failures since something succeeded.

    ``connecting`` holds failed connection attempts, which a new connection disproves:
    open ones may live on while new ones are refused. ``requests`` holds requests
    without an answer, which an answer disproves. ``answered_at`` is the latest answer,
    and ``lost_since`` when this host concluded that its paths are lost, None if they
    are not. All times are monotonic seconds.
    """

    connecting: FailureRun = attrs.field(factory=FailureRun)
    requests: FailureRun = attrs.field(factory=FailureRun)
    answered_at: float = float("-inf")
    lost_since: float | None = None

    def record_answer(self, sent_at: float, now: float) -> bool:
        """Record a server's answer; return whether the paths had counted as lost.

        Answers to requests from before the failures began prove nothing.
        """
        if self.requests.failed_at and sent_at < self.requests.since:
            return False
        self.answered_at = now
        self.requests.clear()
        return not self.connecting.failed_at and self._end()

    def record_connected(self) -> bool:
        """Record a new connection; return whether the paths had counted as lost."""
        self.connecting.clear()
        self.requests.clear()
        return self._end()

    def record_failure(
        self,
        server: str,
        servers: collections.abc.Collection[str],
        peers: collections.abc.Callable[[], collections.abc.Iterable[PeerReach]],
        now: float,
        *,
        connecting: bool,
    ) -> bool:
        """Record a failure at a server; return whether the paths are lost from now on.

        ``servers`` are those in use. ``peers`` is called only if enough of them failed.
        """
        run = self.connecting if connecting else self.requests
        run.add(server, now)
        if self.lost_since is not None or not run.is_general(servers):
            return False
        if not any(
            peer.answered_at > run.since and not peer.paths_lost for peer in peers()
        ):
            return False
        self.lost_since = now
        return True

    def failed_servers(self) -> set[str]:
        """Return the servers that failed in a row."""
        return self.connecting.failed_at.keys() | self.requests.failed_at.keys()

    def _end(self) -> bool:
        was_lost = self.lost_since is not None
        self.lost_since = None
        return was_lost
