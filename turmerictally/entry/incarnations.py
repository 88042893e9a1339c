"""Find out which process of a server is at the other end of a connection.

A server may come back under its name and address with another version of its software.
What goes on with an earlier response must not reach it. Until its registration says so
and that has reached this host, only the process itself tells; a connection that it told
on stays with it.
"""

import collections
import collections.abc
import enum

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import messages, model, pool, registry, store_health
from turmerictally.entry import trace as traces
from turmerictally.scheduling import stream_origins

# A report needs no slot and reads nothing; several times a round trip between domains.
REPORT_TIMEOUT_S = 0.3
MAX_REPORT_BYTES = 64 * 1024
MAX_SKIPPED_RESPONSES = 4  # to earlier requests, before the one to the report
MAX_CONNECTIONS_TRIED = 2  # servers close some connections after a response
# Below 500; a server that answers so may tell its start time later.
PASSING_STATUSES = frozenset({408, 421, 425, 429})
MAX_SILENT_SERVERS = 2000  # the oldest entry is evicted first


class Need(enum.Enum):
    """Name what a request needs to know of the process that serves it.

    A response may go on later if its process is known. One that goes on now must not be
    requested from any other process.
    """

    NOTHING = "nothing"
    BEGINS = "begins"
    GOES_ON = "goes on"


class Identity(enum.Enum):
    """Name what is known of the process at the other end of a connection.

    It said itself that it is the registered one, or is it by all that this host knows.
    """

    TOLD = "told"
    ASSUMED = "assumed"
    OTHER = "another process"
    UNKNOWN = "unknown"

    @property
    def is_known(self) -> bool:
        """Return whether it is the registered process."""
        return self in (Identity.TOLD, Identity.ASSUMED)


class ReportError(Exception):
    """Report that a process does not tell its start time, now or later."""


@attrs.define(eq=False)
class Incarnations:
    """Open connections to servers and identify the processes that serve them.

    ``confirmed_at`` returns as of when the registrations are known to be complete, and
    ``read_registrations`` makes sure that they were since a time; both in monotonic
    seconds. ``silent`` holds the processes whose reports name no start time, and
    ``outcomes`` counts what was found out.
    """

    pool: pool.Pool
    codec: messages.Codec
    registry: registry.Registry
    store_health: store_health.StoreHealth
    confirmed_at: collections.abc.Callable[[], float]
    read_registrations: collections.abc.Callable[
        [float], collections.abc.Awaitable[bool]
    ]
    clock: clocks.Clock
    trace: traces.Trace
    doubts: stream_origins.ServerDoubts = attrs.field(
        factory=stream_origins.ServerDoubts
    )
    silent: dict[tuple[str, int], None] = attrs.Factory(dict)
    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    reports: int = 0

    async def connect(
        self,
        server: model.Server,
        need: Need,
        max_idle_s: float | None = None,
        request_id: str = "",
    ) -> tuple[pool.Connection, Identity]:
        """Return a connection and who serves it; raises ``pool.ConnectError``."""
        for _ in range(MAX_CONNECTIONS_TRIED):
            connection = await self._acquire(server, max_idle_s, request_id)
            try:
                identity = await self._identify(connection, server, need)
            except BaseException:
                # The caller left, or the deadline passed.
                self.pool.abandon(connection)
                raise
            if not connection.requests_sent or connection.is_reusable():
                return connection, identity
            self.pool.abandon(connection)
            if identity is Identity.UNKNOWN and need is Need.BEGINS:
                break
        if need is Need.GOES_ON:
            raise pool.ConnectError("not identified")
        # Without knowing the process, the response can't be gone on with.
        return await self._acquire(server, max_idle_s, request_id), Identity.UNKNOWN

    async def _acquire(
        self, server: model.Server, max_idle_s: float | None, request_id: str
    ) -> pool.Connection:
        try:
            return await self.pool.acquire(server.address, max_idle_s, request_id)
        except pool.ConnectError:
            self.record_end(server.address)
            raise

    async def _identify(
        self, connection: pool.Connection, server: model.Server, need: Need
    ) -> Identity:
        identity = self._recall(connection, server, need)
        if identity is None:
            return await self._ask(connection, server)
        if identity is Identity.ASSUMED and need is Need.GOES_ON:
            return await self._confirm(server)
        return identity

    def _recall(
        self, connection: pool.Connection, server: model.Server, need: Need
    ) -> Identity | None:
        """Return who serves a connection if that is known without asking."""
        if need is Need.NOTHING:
            return Identity.UNKNOWN
        if connection.told:
            same = connection.born_ms == server.born_ms
            return Identity.TOLD if same else Identity.OTHER
        if self._is_certain(server):
            connection.born_ms = server.born_ms
        assumed = connection.born_ms == server.born_ms
        can_ask = (
            server.born_ms and (server.instance, server.born_ms) not in self.silent
        )
        if can_ask and (need is Need.GOES_ON or not assumed):
            return None
        return Identity.ASSUMED if assumed else Identity.UNKNOWN

    async def _confirm(self, server: model.Server) -> Identity:
        """Return whether the store still has a process that can't be asked."""
        if not await self.read_registrations(self.clock.monotonic()):
            return Identity.UNKNOWN
        current = self.registry.servers.get(server.instance)
        if current is None or current.born_ms != server.born_ms:
            return Identity.OTHER
        return Identity.ASSUMED

    def _is_certain(self, server: model.Server) -> bool:
        return self.doubts.is_certain(
            server.address,
            confirmed_at=self.confirmed_at(),
            settled_at=self.store_health.recovered_at + registry.LAPSE_RECOVERY_S,
            now=self.clock.monotonic(),
        )

    async def _ask(self, connection: pool.Connection, server: model.Server) -> Identity:
        """Ask a process for its start time.

        If it doesn't tell, the connection may be of no further use.
        """
        born_ms, reason = None, ""
        started_at = self.clock.monotonic()
        try:
            with trio.fail_after(REPORT_TIMEOUT_S):
                born_ms = await self._read_start_time(connection, server)
        except ReportError as error:
            reason = str(error)
            self._record_silent(server)
        except (pool.BrokenError, trio.TooSlowError) as error:
            reason = str(error) or "timeout"
        if born_ms is None:
            identity = Identity.UNKNOWN
        else:
            connection.born_ms, connection.told = born_ms, True
            same = born_ms == server.born_ms
            identity = Identity.TOLD if same else Identity.OTHER
        if identity is Identity.TOLD:
            self.doubts.clear(server.address)
        self.outcomes[identity.value] += 1
        self.trace.emit(
            "server_identified",
            server=server.instance,
            registered_born_ms=server.born_ms,
            born_ms=born_ms,
            confirmed_s=traces.seconds(started_at - self.confirmed_at()),
            took_s=traces.seconds(self.clock.monotonic() - started_at),
            reason=reason,
            outcome=identity.value,
        )
        return identity

    async def _read_start_time(
        self, connection: pool.Connection, server: model.Server
    ) -> int:
        """Return a process's start time, from its report."""
        self.reports += 1
        request_id = f"report-{self.reports}"
        method, target, headers = self.codec.report_request(server.address, request_id)
        await connection.send_request(method, target, headers, b"", request_id)
        for _ in range(1 + MAX_SKIPPED_RESPONSES):
            raw_head = await connection.read_head()
            head = self.codec.read_head(raw_head.status, raw_head.headers)
            if head.request_id not in ("", request_id):
                await connection.skip_response()
                continue
            if head.status >= 500 or head.status in PASSING_STATUSES:
                raise pool.BrokenError(f"answer {head.status} to a report")
            if head.status != 200 or head.is_event_stream:
                raise ReportError(f"answer {head.status} to a report")
            born_ms = self.codec.read_start_time(
                await connection.read_body(MAX_REPORT_BYTES)
            )
            if born_ms is None:
                raise ReportError("report without a start time")
            return born_ms
        raise pool.BrokenError("too many answers to other requests")

    def _record_silent(self, server: model.Server) -> None:
        self.silent[server.instance, server.born_ms] = None
        if len(self.silent) > MAX_SILENT_SERVERS:
            del self.silent[next(iter(self.silent))]

    def record_end(self, address: str) -> None:
        """Record that a server ended or refused a connection."""
        self.doubts.record_end(address, self.clock.monotonic())

    def record_registration(self, server: model.Server) -> None:
        """Record that another process of a server has registered."""
        self.doubts.clear(server.address)

    def expire(self) -> None:
        """Forget what no longer counts."""
        self.doubts.expire(confirmed_at=self.confirmed_at(), now=self.clock.monotonic())
