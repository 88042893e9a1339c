"""Put the orders' parts of one host together."""

import attrs
import httpx
import trio

from turmerictally import clock as clocks
from turmerictally import errors, httpclient, settings
from turmerictally.config import audit, replica
from turmerictally.config import model as configuration
from turmerictally.membership import members
from turmerictally.orders import engines, executor, guards, model, records
from turmerictally.routing import servers
from turmerictally.store import guard, table

RETRY_AFTER_S = 5.0
CLOSE_TIMEOUT_S = 1.0


@attrs.define
class Orders:
    """Take operators' orders on one host and carry out its part of them."""

    host_id: str
    store: table.Table
    executor: executor.Executor
    client: httpx.AsyncClient
    trail: audit.Trail
    clock: clocks.Clock

    async def run(self) -> None:
        """Carry out orders until cancelled."""
        try:
            await self.executor.run()
        finally:
            deadline = trio.current_time() + CLOSE_TIMEOUT_S
            with trio.CancelScope(shield=True, deadline=deadline):
                await self.client.aclose()

    async def submit(self, order: model.Order) -> model.OrderResult | None:
        """Accept an order; return how it ended if it was given before.

        Raises ``errors.Error``: ``CONFLICT`` or ``PLATFORM_UNAVAILABLE``. Accepted
        and refused orders are audited.
        """
        try:
            known = await records.read(self.store, order.server)
            if known.pending == order or known.find_ended(order.id):
                return known.find_ended(order.id)
            ended = await records.submit(self.store, order)
        except table.UnavailableError as error:
            self._audit(order, audit.Result.UNKNOWN, str(error))
            ran = errors.Ran.MAY_HAVE_RUN if error.maybe_applied else None
            raise errors.Error(
                errors.Kind.PLATFORM_UNAVAILABLE, ran=ran, retry_after_s=RETRY_AFTER_S
            ) from error
        except errors.Error as error:
            self._audit(order, audit.Result.REFUSED, error.kind.value)
            raise
        if ended is None:
            self._audit(order, audit.Result.COMMITTED, "")
        return ended

    async def show(self, server: str) -> records.OrderRecord:
        """Return a server's pending and ended orders."""
        try:
            return await records.read(self.store, server)
        except table.UnavailableError as error:
            raise errors.Error(
                errors.Kind.PLATFORM_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
            ) from error

    def _audit(self, order: model.Order, result: audit.Result, reason: str) -> None:
        at = self.clock.wall()
        self.trail.add(
            audit.Entry(
                id=audit.entry_id(at),
                at=at,
                who=order.who,
                host=self.host_id,
                kind=configuration.ItemKind.SERVER,
                name=order.server,
                before=None,
                after={"order": records.converter.unstructure(order)},
                result=result,
                change_id=order.id,
                reason=reason,
            )
        )


def build(
    config: settings.Settings,
    instance: str,
    platform: guard.Platform,
    known: members.Members,
    copy: replica.Replica,
    listed: servers.ServerDirectory,
    trail: audit.Trail,
    clock: clocks.Clock,
) -> Orders:
    """Return the orders of one host; ``instance`` differs for each start."""
    client = httpclient.client()
    calls = engines.HttpEngineClient(client)
    last = guards.LastServerGuard(platform.table, calls, _working(listed))
    carrying = executor.Executor(
        config.host_id,
        instance,
        platform.table,
        calls,
        platform.weights,
        last,
        lambda address: copy.view.servers.get(address),
        lambda: {config.host_id, *(member.id for member in known.live())},
        clock,
        config.orders,
    )
    return Orders(config.host_id, platform.table, carrying, client, trail, clock)


def _working(listed: servers.ServerDirectory) -> guards.ServerAddresses:
    """Return a list of the addresses of the backend servers that take work."""
    return lambda: [each for each in listed.by_address if listed.accepts_requests(each)]
