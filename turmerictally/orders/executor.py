"""Apply pending orders to engines, under a lease for each backend server.

One host holds the lease of a server's order record at a time. Each send carries a
new fencing token, so that an engine can reject the orders of an earlier holder.
"""

import collections.abc
import hashlib
import logging

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.config import model as configuration
from turmerictally.orders import engines, guards, model, records
from turmerictally.store import table, weights

logger = logging.getLogger(__name__)

MAX_FLEET_SCANS_PER_S = 20.0  # scans for pending orders by all hosts together
MAX_SEND_ATTEMPTS = 5
STATE_TIMEOUT_S = 2.0
CLOCK_DRIFT_FACTOR = 1.02  # the clocks of two hosts may differ in rate by 2 %

ServerLookup = collections.abc.Callable[[str], configuration.Server | None]
LiveHosts = collections.abc.Callable[[], collections.abc.Collection[str]]


class LostLeaseError(Exception):
    """Report that the lease expired, was taken over or is too short for a send."""


@attrs.define
class ObservedVersion:
    """Hold a record's version and when this host first read it, on its clock."""

    version: int
    first_read_at_s: float


@attrs.define
class Lease:
    """Hold a server's order record and, on the local clock, the lease's expiry."""

    record: records.OrderRecord
    expires_at_s: float


class Executor:
    """Apply pending orders from one host.

    ``instance`` differs for each start of the host, ``find_server`` returns a
    server's configuration and ``live_hosts`` includes this host.
    """

    def __init__(
        self,
        host_id: str,
        instance: str,
        store: table.Table,
        engine_client: engines.EngineClient,
        weight_store: weights.WeightStore,
        guard: guards.LastServerGuard,
        find_server: ServerLookup,
        live_hosts: LiveHosts,
        clock: clocks.Clock,
        options: settings.Orders,
    ) -> None:
        self.host_id = host_id
        self.holder = f"{host_id}/{instance}"
        self.store = store
        self.engine_client = engine_client
        self.weight_store = weight_store
        self.guard = guard
        self.find_server = find_server
        self.live_hosts = live_hosts
        self.clock = clock
        self.options = options
        self.observed_versions: dict[str, ObservedVersion] = {}
        self.active_servers: set[str] = set()
        self.retry_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Scan for pending orders and apply them until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    await self.start_pending(nursery)
                except table.UnavailableError as error:
                    logger.debug("Could not read pending orders: %s", error)
                host_count = len(self.live_hosts())
                await trio.sleep(
                    max(self.options.poll_s, host_count / MAX_FLEET_SCANS_PER_S)
                )

    async def start_pending(self, nursery: trio.Nursery) -> None:
        """Start a task for each pending order that has none on this host."""
        pending = await self.store.scan(records.PENDING_PREFIX)
        for row in pending:
            server = row.key.removeprefix(records.PENDING_PREFIX)
            if server not in self.active_servers:
                self.active_servers.add(server)
                nursery.start_soon(self._process, server)

    async def _process(self, server: str) -> None:
        try:
            lease = await self._claim(server)
            if lease is not None:
                await self._apply(lease)
        except (LostLeaseError, table.ConflictError):
            logger.info("Lost the order lease for server %s", server)
        except table.UnavailableError as error:
            logger.warning(
                "Could not process the order for server %s: %s", server, error
            )
        finally:
            self.active_servers.discard(server)

    async def _claim(self, server: str) -> Lease | None:
        """Take the lease of a server's pending order, if it is free.

        Returns None if the order waits for its retry time, another host holds the
        lease or hosts ranked before this one may still claim it.
        """
        record = await records.read(self.store, server)
        now = self.clock.monotonic()
        unchanged_s = self._unchanged_for_s(record, now)
        if record.pending is None or now < self.retry_at_s.get(server, now):
            return None
        is_own = record.holder == self.holder  # left by a task of this host that ended
        if record.holder and not is_own and unchanged_s < self._takeover_wait_s():
            return None
        if (
            not record.holder
            and unchanged_s < self._claim_rank(server) * self.options.poll_s
        ):
            return None
        return await self._write_lease(record)

    def _unchanged_for_s(self, record: records.OrderRecord, now: float) -> float:
        observed = self.observed_versions.get(record.server)
        if observed is None or observed.version != record.version:
            observed = ObservedVersion(record.version, now)
            self.observed_versions[record.server] = observed
        return now - observed.first_read_at_s

    def _takeover_wait_s(self) -> float:
        """Return for how long a held record must stay unchanged before a takeover.

        The send timeout comes on top of the lease: a send that the holder started
        at the end of its lease is over by then.
        """
        return (self.options.lease_s + self.options.send_timeout_s) * CLOCK_DRIFT_FACTOR

    def _claim_rank(self, server: str) -> int:
        """Return this host's rank for claiming a server; 0 claims at once."""
        ranked = sorted(self.live_hosts(), key=lambda host: _score(server, host))
        return ranked.index(self.host_id) if self.host_id in ranked else len(ranked)

    async def _write_lease(self, record: records.OrderRecord) -> Lease:
        """Write this host as the holder, with the next fencing token.

        The lease runs from before the write, as its response may be slow.
        """
        started_at_s = self.clock.monotonic()
        changed = attrs.evolve(record, holder=self.holder, fence=record.fence + 1)
        written = await records.write(self.store, changed)
        return Lease(written, started_at_s + self.options.lease_s)

    async def _apply(self, lease: Lease) -> None:
        """Bring the engine into the ordered state and record the result."""
        try:
            await self._send_until_applied(lease)
        except engines.NotAnEngineError:
            await self._finish(lease, model.Outcome.REFUSED, "The server is no engine.")

    async def _send_until_applied(self, lease: Lease) -> None:
        for _ in range(MAX_SEND_ATTEMPTS):
            order = lease.record.pending
            state = await self._read_state(order)
            if state is not None and model.is_applied(order, state):
                await self._finish_applied(lease)
                return
            if state is not None and not await self._prepare(lease, state):
                return
            await self._renew(lease)
            if state is not None:
                await self._send(lease, state)
            if await self._wait_until_applied(lease):
                await self._finish_applied(lease)
                return
        await self._finish(lease, model.Outcome.FAILED, "The engine did not follow.")

    async def _read_state(self, order: model.Order) -> model.EngineState | None:
        try:
            return await self.engine_client.state(order.server, STATE_TIMEOUT_S)
        except engines.EngineUnavailableError as error:
            logger.info(
                "Could not read the state of engine %s: %s", order.server, error
            )
            return None

    async def _prepare(self, lease: Lease, state: model.EngineState) -> bool:
        """Reserve what the order needs; return whether it may be sent now.

        If not, it has been refused or postponed.
        """
        order = lease.record.pending
        try:
            await self.guard.admit(order, state)
            await self._reserve_download(lease)
        except guards.LastServerError as error:
            await self._finish(lease, model.Outcome.REFUSED, str(error))
            return False
        except KeyError:
            await self._finish(lease, model.Outcome.REFUSED, "unknown version")
            return False
        except weights.ThrottledError as error:
            await self._postpone(lease, error.retry_after_s)
            return False
        return True

    async def _reserve_download(self, lease: Lease) -> None:
        """Reserve a download from the weight store, once per load order."""
        order = lease.record.pending
        if order.action is not model.Action.LOAD or lease.record.reserved:
            return
        await self.weight_store.reserve(order.name, order.version)
        lease.record = attrs.evolve(lease.record, reserved=True)

    async def _postpone(self, lease: Lease, delay_s: float) -> None:
        """Release the lease; retry when the weight store allows a download."""
        server = lease.record.server
        self.retry_at_s[server] = self.clock.monotonic() + delay_s
        released = attrs.evolve(lease.record, holder="")
        await records.write(self.store, released)

    async def _renew(self, lease: Lease) -> None:
        """Extend the lease and take a new fencing token."""
        if self.clock.monotonic() >= lease.expires_at_s:
            raise LostLeaseError
        renewed = await self._write_lease(lease.record)
        lease.record = renewed.record
        lease.expires_at_s = renewed.expires_at_s

    async def _send(self, lease: Lease, state: model.EngineState) -> None:
        """Send the order once, with a fencing token above the engine's.

        Raises ``LostLeaseError`` when the lease is too short, or when the engine
        rejects the token because a later holder has sent an order.
        """
        order = lease.record.pending
        if state.fence >= lease.record.fence:
            lease.record = attrs.evolve(lease.record, fence=state.fence)
            await self._renew(lease)
        self._check_remaining_lease(lease)
        fence, timeout_s = lease.record.fence, self.options.send_timeout_s
        try:
            # If the host is paused after the check, the scope expires and cancels
            # the call before it reaches the network.
            with trio.move_on_after(timeout_s):
                await self.engine_client.send(order, fence, timeout_s)
        except engines.StaleFenceError as error:
            logger.warning(
                "Engine %s rejected order: its fencing token is %d",
                order.server,
                error.fence,
            )
            raise LostLeaseError from error
        except engines.EngineUnavailableError as error:
            logger.info(
                "No valid response to the order from engine %s: %s", order.server, error
            )

    def _check_remaining_lease(self, lease: Lease) -> None:
        """Require that a send started now times out before the lease expires."""
        remaining_s = lease.expires_at_s - self.clock.monotonic()
        if remaining_s <= self.options.send_timeout_s:
            raise LostLeaseError

    async def _wait_until_applied(self, lease: Lease) -> bool:
        """Poll the engine until it has applied the order, renewing the lease.

        Return whether it did so within the apply timeout.
        """
        order = lease.record.pending
        deadline_s = self.clock.monotonic() + self.options.apply_timeout_s
        while self.clock.monotonic() < deadline_s:
            state = await self._read_state(order)
            if state is not None and model.is_applied(order, state):
                return True
            await trio.sleep(self.options.poll_s)
            if lease.expires_at_s - self.clock.monotonic() < self.options.lease_s / 2:
                await self._renew(lease)
        return False

    async def _finish_applied(self, lease: Lease) -> None:
        """Record success; first check again an engine that ignores fencing tokens.

        An order sent by an earlier holder may still reach such an engine. That send
        is over within the send timeout, so a second read shows whether it undid the
        order.
        """
        order = lease.record.pending
        if not self._checks_fencing(order.server):
            await trio.sleep(self.options.send_timeout_s)
            state = await self._read_state(order)
            if state is None or not model.is_applied(order, state):
                await self._repair(lease)
                return
        await self._finish(lease, model.Outcome.APPLIED, "")

    async def _repair(self, lease: Lease) -> None:
        """Apply the order again after a late order undid it."""
        logger.warning(
            "A late order changed engine %s; applying the current one again",
            lease.record.server,
        )
        await self._renew(lease)
        self._check_remaining_lease(lease)
        await self._apply(lease)

    def _checks_fencing(self, server: str) -> bool:
        configured = self.find_server(server)
        return configured is not None and configured.checks_fencing

    async def _finish(self, lease: Lease, outcome: model.Outcome, detail: str) -> None:
        order = lease.record.pending
        lease.record = await records.finish(self.store, lease.record, outcome, detail)
        text = "Order %s to server %s by operator %s ended: %s %s"
        logger.info(text, order.id, order.server, order.who, outcome.value, detail)


def _score(server: str, host: str) -> bytes:
    return hashlib.blake2b(f"{server}\0{host}".encode(), digest_size=8).digest()
