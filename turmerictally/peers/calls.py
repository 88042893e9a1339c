"""Define what the parts of a host may ask of the inner protocol."""

import collections.abc
import enum
import typing

import attrs


class Kind(enum.IntEnum):
    """Number the inner protocol's calls; a number is never given a new meaning."""

    PING = 1  # membership: liveness and piggybacked member updates
    PING_THROUGH = 2  # membership: ask a third host to ping
    LEAVE = 3  # membership: this host leaves
    CONFIG_PUSH = 10  # config: accepted changes, answered with the version in force
    CONFIG_PULL = 11  # config: changes after a version, with the freshness age
    LIMIT_GRANT = 20  # limits: ask for tokens of a team
    LIMIT_RETURN = 21  # limits: hand unspent tokens back
    YIELD = 30  # routing: online needs room on a backend server
    LOAD_REPORT = 31  # routing: load learned about backend servers
    IDEMPOTENCY = 40  # online: state of an idempotent request held by the peer
    JOB_CANCEL = 50  # batch: a job was cancelled
    JOB_READY = 51  # batch: a job was accepted
    STATUS = 60  # operators: a host's status, metrics and versions
    EXPLAIN = 61  # operators: decisions recorded for one id
    MEASURES = 62  # operators: histograms and refusals by team


@attrs.frozen
class Caller:
    """Identify the host that sent a call, as authenticated by the transport."""

    host_id: str
    instance: str
    protocol_version: int


Handler = collections.abc.Callable[[Caller, bytes], collections.abc.Awaitable[bytes]]


class Peers(typing.Protocol):
    """Exchange calls with other hosts; bodies are serialized protobuf messages."""

    async def call(
        self, address: str, kind: Kind, body: bytes, *, deadline: float
    ) -> bytes:
        """Send a call and return the reply's body.

        ``deadline`` is on the local monotonic clock, in seconds; the protocol
        carries the time left. Raises ``errors.Error`` with ``PEER_UNAVAILABLE``
        (the call may have taken effect) or with the kind the peer answered.
        """

    def handle(self, kind: Kind, handler: Handler) -> None:
        """Register the handler of one kind; it may raise ``errors.Error``."""
