"""Tell whether a host has lost its paths to the servers, from what all hosts see.

Failures of one server or one domain are theirs. If everything that a host tries fails
while others are answered, the fault lies with the paths of that host.
"""

import collections.abc

import attrs

# Different servers that must fail in a row, or all there are if there are fewer.
MIN_FAILED_SERVERS = 3
# The same as a ratio of the servers in use: a domain that loses power is less.
MIN_FAILED_RATIO = 0.5
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
class ServerReach:
    """Track this host's failures since the last answer of any server.

    ``failed_at`` holds the latest failure of each server, ``failing_since`` the first
    of them, and ``lost_since`` when this host concluded that its paths are lost, None
    if they are not. All times are monotonic seconds.
    """

    failed_at: dict[str, float] = attrs.Factory(dict)
    failing_since: float = float("inf")
    answered_at: float = float("-inf")
    lost_since: float | None = None

    def record_answer(self, sent_at: float, now: float) -> bool:
        """Record a server's answer; return whether the paths had counted as lost.

        Answers to requests from before the failures began prove nothing.
        """
        if sent_at < self.failing_since and self.failed_at:
            return False
        self.answered_at = now
        was_lost = self.lost_since is not None
        self.failed_at.clear()
        self.failing_since, self.lost_since = float("inf"), None
        return was_lost

    def record_failure(
        self,
        server: str,
        servers: collections.abc.Collection[str],
        peers: collections.abc.Callable[[], collections.abc.Iterable[PeerReach]],
        now: float,
    ) -> bool:
        """Record that a server gave no answer; return whether the paths are lost now.

        ``servers`` are those in use. ``peers`` is called only if enough of them failed.
        """
        if self.lost_since is None and now - self._last_failure_at() > MAX_PAUSE_S:
            self.failed_at.clear()
            self.failing_since = now
        self.failed_at[server] = now
        if self.lost_since is not None:
            return False
        failed = len(self.failed_at.keys() & servers)
        needed = max(MIN_FAILED_SERVERS, MIN_FAILED_RATIO * len(servers))
        if not failed or failed < min(needed, len(servers)):
            return False
        if not any(
            peer.answered_at > self.failing_since and not peer.paths_lost
            for peer in peers()
        ):
            return False
        self.lost_since = now
        return True

    def _last_failure_at(self) -> float:
        return max(self.failed_at.values(), default=float("-inf"))
