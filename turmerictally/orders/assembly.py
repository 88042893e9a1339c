"""Assemble the components that accept and apply orders on one host."""

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
    """Accept operators' orders on one host and run its order executor."""

    host_id: str
    store: table.Table
    executor: executor.Executor
    client: httpx.AsyncClient
    trail: audit.Trail
    clock: clocks.Clock

    async def run(self) -> None:
        """Apply pending orders until cancelled, then close the HTTP client."""
        try:
            await self.executor.run()
        finally:
            deadline = trio.current_time() + CLOSE_TIMEOUT_S
            with trio.CancelScope(shield=True, deadline=deadline):
                await self.client.aclose()

    async def submit(self, order: model.Order) -> model.OrderResult | None:
        """Accept an order; return its result if it has already ended.

        Raises ``errors.Error`` with ``CONFLICT`` or ``PLATFORM_UNAVAILABLE``. The
        audit trail gets accepted and refused orders, and those whose fate is unknown.
        """
        try:
            record = await records.read(self.store, order.server)
            if record.pending == order or record.find_result(order.id):
                return record.find_result(order.id)
            order_result = await records.submit(self.store, order)
        except table.UnavailableError as error:
            self._audit(order, audit.Result.UNKNOWN, str(error))
            ran = errors.Ran.MAY_HAVE_RUN if error.maybe_applied else None
            raise errors.Error(
                errors.Kind.PLATFORM_UNAVAILABLE, ran=ran, retry_after_s=RETRY_AFTER_S
            ) from error
        except errors.Error as error:
            self._audit(order, audit.Result.REFUSED, error.kind.value)
            raise
        if order_result is None:
            self._audit(order, audit.Result.COMMITTED, "")
        return order_result

    async def show(self, server: str) -> records.OrderRecord:
        """Return a server's order record: its pending order and earlier results."""
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
    member_list: members.Members,
    config_replica: replica.Replica,
    server_directory: servers.ServerDirectory,
    trail: audit.Trail,
    clock: clocks.Clock,
) -> Orders:
    """Return the orders component; ``instance`` differs for each start of the host."""
    client = httpclient.client()
    engine_client = engines.HttpEngineClient(client)
    last_server_guard = guards.LastServerGuard(
        platform.table, engine_client, _list_accepting(server_directory)
    )
    order_executor = executor.Executor(
        config.host_id,
        instance,
        platform.table,
        engine_client,
        platform.weights,
        last_server_guard,
        lambda address: config_replica.view.servers.get(address),
        lambda: {config.host_id, *(member.id for member in member_list.live())},
        clock,
        config.orders,
    )
    return Orders(config.host_id, platform.table, order_executor, client, trail, clock)


def _list_accepting(
    server_directory: servers.ServerDirectory,
) -> guards.ServerAddresses:
    """Return a function that lists the addresses of servers that accept requests."""
    return lambda: [
        address
        for address in server_directory.by_address
        if server_directory.accepts_requests(address)
    ]
