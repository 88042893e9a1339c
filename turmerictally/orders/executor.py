"""Carry out pending orders as the lease holder of their server."""

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

POLLS_PER_S = 20.0  # scans of pending orders by the whole fleet
MAX_SENDS = 5
STATE_TIMEOUT_S = 2.0
WAIT_FACTOR = 1.02  # by which clocks of two hosts may differ in speed

Configured = collections.abc.Callable[[str], configuration.Server | None]
Hosts = collections.abc.Callable[[], collections.abc.Collection[str]]


class LostLeaseError(Exception):
    """Report that the lease is over or too short to send an order."""


@attrs.define
class Sighting:
    """Remember since when, on the local clock, a row has been seen unchanged."""

    version: int
    since: float


@attrs.define
class Lease:
    """Hold a server's sheet while its lease lasts, on the local clock."""

    record: records.OrderRecord
    until: float


class Executor:
    """Carry out orders on one host; ``live_hosts`` includes this host."""

    def __init__(
        self,
        me: str,
        instance: str,
        store: table.Table,
        engine_calls: engines.EngineClient,
        weight_store: weights.WeightStore,
        guard: guards.LastServerGuard,
        configured: Configured,
        live_hosts: Hosts,
        clock: clocks.Clock,
        options: settings.Orders,
    ) -> None:
        self.me = me
        self.holder = f"{me}/{instance}"
        self.store = store
        self.engines = engine_calls
        self.weights = weight_store
        self.guard = guard
        self.configured = configured
        self.live_hosts = live_hosts
        self.clock = clock
        self.options = options
        self.sightings: dict[str, Sighting] = {}
        self.working: set[str] = set()
        self.not_before: dict[str, float] = {}

    async def run(self) -> None:
        """Look for pending orders until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    await self.look(nursery)
                except table.UnavailableError as error:
                    logger.debug("Could not read pending orders: %s", error)
                hosts = len(self.live_hosts())
                await trio.sleep(max(self.options.poll_s, hosts / POLLS_PER_S))

    async def look(self, nursery: trio.Nursery) -> None:
        """Start to work on each pending order that this host may take."""
        pending = await self.store.scan(records.PENDING_PREFIX)
        for row in pending:
            server = row.key.removeprefix(records.PENDING_PREFIX)
            if server not in self.working:
                self.working.add(server)
                nursery.start_soon(self._work, server)

    async def _work(self, server: str) -> None:
        try:
            lease = await self._claim(server)
            if lease is not None:
                await self._carry_out(lease)
        except (LostLeaseError, table.ConflictError):
            logger.info("Lost the lease of orders for %s", server)
        except table.UnavailableError as error:
            logger.warning("Left the orders for %s: %s", server, error)
        finally:
            self.working.discard(server)

    async def _claim(self, server: str) -> Lease | None:
        """Take the lease of a server with a pending order, if it is free."""
        found = await records.read(self.store, server)
        now = self.clock.monotonic()
        unchanged = self._unchanged_for(found, now)
        if found.pending is None or now < self.not_before.get(server, now):
            return None
        is_mine = found.holder == self.holder  # its earlier work here has ended
        if found.holder and not is_mine and unchanged < self._takeover_wait():
            return None
        if not found.holder and unchanged < self._turn(server) * self.options.poll_s:
            return None
        return await self._hold(found)

    def _unchanged_for(self, found: records.OrderRecord, now: float) -> float:
        seen = self.sightings.get(found.server)
        if seen is None or seen.version != found.version:
            seen = Sighting(found.version, now)
            self.sightings[found.server] = seen
        return now - seen.since

    def _takeover_wait(self) -> float:
        """Return how long a holder's row must rest before another may take over.

        The send timeout lets an order that was sent last come to its end.
        """
        return (self.options.lease_s + self.options.send_timeout_s) * WAIT_FACTOR

    def _turn(self, server: str) -> int:
        """Return this host's place in the order in which hosts claim a server."""
        ranked = sorted(self.live_hosts(), key=lambda host: _score(server, host))
        return ranked.index(self.me) if self.me in ranked else len(ranked)

    async def _hold(self, found: records.OrderRecord) -> Lease:
        """Write this host as the holder, with the next fencing number."""
        sent = self.clock.monotonic()
        changed = attrs.evolve(found, holder=self.holder, fence=found.fence + 1)
        written = await records.write(self.store, changed)
        return Lease(written, sent + self.options.lease_s)

    async def _carry_out(self, lease: Lease) -> None:
        """Bring the engine to the ordered state and record the outcome."""
        try:
            await self._try_sends(lease)
        except engines.NotAnEngineError:
            await self._finish(lease, model.Outcome.REFUSED, "The server is no engine.")

    async def _try_sends(self, lease: Lease) -> None:
        for _ in range(MAX_SENDS):
            order = lease.record.pending
            state = await self._read_state(order)
            if state is not None and model.is_applied(order, state):
                await self._finish_met(lease)
                return
            if state is not None and not await self._prepare(lease, state):
                return
            await self._renew(lease)
            if state is not None:
                await self._send(lease, state)
            if await self._wait_until_met(lease):
                await self._finish_met(lease)
                return
        await self._finish(lease, model.Outcome.FAILED, "The engine did not follow.")

    async def _read_state(self, order: model.Order) -> model.EngineState | None:
        try:
            return await self.engines.state(order.server, STATE_TIMEOUT_S)
        except engines.EngineUnavailableError as error:
            logger.info("Engine %s did not report: %s", order.server, error)
            return None

    async def _prepare(self, lease: Lease, state: model.EngineState) -> bool:
        """Check the guards; tell whether the order may be sent now."""
        order = lease.record.pending
        try:
            await self.guard.admit(order, state)
            await self._reserve(lease)
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

    async def _reserve(self, lease: Lease) -> None:
        """Reserve one download for a load, once for each order."""
        order = lease.record.pending
        if order.action is not model.Action.LOAD or lease.record.reserved:
            return
        await self.weights.reserve(order.name, order.version)
        lease.record = attrs.evolve(lease.record, reserved=True)

    async def _postpone(self, lease: Lease, seconds: float) -> None:
        """Give the lease back until the weight store allows a download."""
        server = lease.record.server
        self.not_before[server] = self.clock.monotonic() + seconds
        freed = attrs.evolve(lease.record, holder="")
        await records.write(self.store, freed)

    async def _renew(self, lease: Lease) -> None:
        """Extend the lease and take a new fencing number, one for each send."""
        if self.clock.monotonic() >= lease.until:
            raise LostLeaseError
        renewed = await self._hold(lease.record)
        lease.record = renewed.record
        lease.until = renewed.until

    async def _send(self, lease: Lease, state: model.EngineState) -> None:
        """Send the order once; an engine that checks refuses an older fence."""
        order = lease.record.pending
        if state.fence >= lease.record.fence:
            lease.record = attrs.evolve(lease.record, fence=state.fence)
            await self._renew(lease)
        self._check_time_left(lease)
        fence, timeout = lease.record.fence, self.options.send_timeout_s
        try:
            # After a pause this host's call ends before it reaches the network.
            with trio.move_on_after(timeout):
                await self.engines.send(order, fence, timeout)
        except engines.StaleFenceError as error:
            logger.warning("Engine %s has seen fence %d", order.server, error.fence)
            raise LostLeaseError from error
        except engines.EngineUnavailableError as error:
            logger.info("Engine %s did not answer order: %s", order.server, error)

    def _check_time_left(self, lease: Lease) -> None:
        """Require that the call ends before the lease does."""
        left = lease.until - self.clock.monotonic()
        if left <= self.options.send_timeout_s:
            raise LostLeaseError

    async def _wait_until_met(self, lease: Lease) -> bool:
        """Poll the engine while it carries out the order, keeping the lease."""
        order = lease.record.pending
        give_up = self.clock.monotonic() + self.options.apply_timeout_s
        while self.clock.monotonic() < give_up:
            state = await self._read_state(order)
            if state is not None and model.is_applied(order, state):
                return True
            await trio.sleep(self.options.poll_s)
            if lease.until - self.clock.monotonic() < self.options.lease_s / 2:
                await self._renew(lease)
        return False

    async def _finish_met(self, lease: Lease) -> None:
        """Record success; an engine that ignores fences is read once more.

        An order of an earlier holder may still reach such an engine; it ends within
        the send timeout, so that the second reading finds what it did.
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
        """Send again what a late order undid."""
        logger.warning("A late order reached engine %s", lease.record.server)
        await self._renew(lease)
        self._check_time_left(lease)
        await self._carry_out(lease)

    def _checks_fencing(self, server: str) -> bool:
        configured = self.configured(server)
        return configured is not None and configured.checks_fencing

    async def _finish(self, lease: Lease, outcome: model.Outcome, detail: str) -> None:
        order = lease.record.pending
        lease.record = await records.finish(self.store, lease.record, outcome, detail)
        text = "Order %s to %s by %s ended: %s %s"
        logger.info(text, order.id, order.server, order.who, outcome.value, detail)


def _score(server: str, host: str) -> bytes:
    return hashlib.blake2b(f"{server}\0{host}".encode(), digest_size=8).digest()
