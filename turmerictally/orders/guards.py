"""Refuse orders that would remove a model from the last server that serves it."""

import collections.abc

import attrs

from turmerictally.orders import engines, model, records
from turmerictally.store import table

STATE_TIMEOUT_S = 2.0

ServerAddresses = collections.abc.Callable[[], collections.abc.Iterable[str]]


class LastServerError(Exception):
    """Report that an order may remove a model from its last server."""


@attrs.define
class LastServerGuard:
    """Allow one removal of a model at a time, while another server serves it.

    ``list_servers`` returns the addresses of the backend servers that accept
    requests.
    """

    store: table.Table
    engine_client: engines.EngineClient
    list_servers: ServerAddresses

    async def admit(self, order: model.Order, state: model.EngineState) -> None:
        """Reserve the removal of the models that an order removes from its server.

        Raises ``LastServerError`` when no other server serves one of them, or an
        order to another server has reserved its removal. ``records.finish`` deletes
        the reservations.
        """
        for name in model.models_removed_by(order, state):
            await self._reserve_removal(order, name)
            if not await self._is_served_elsewhere(order, name):
                raise LastServerError(f"no other server was seen to serve {name}")

    async def _reserve_removal(self, order: model.Order, name: str) -> None:
        key = records.REMOVALS_PREFIX + name
        row = await self.store.get(key)
        if row is not None and row.value["order_id"] != order.id:
            raise LastServerError(f"{name} is being removed from another server")
        if row is None:
            put = table.Put(key, {"order_id": order.id, "server": order.server})
            await self.store.commit([table.Check(key, table.ABSENT)], [put])

    async def _is_served_elsewhere(self, order: model.Order, name: str) -> bool:
        """Read the state from the engines, as the host's server directory lags."""
        for address in self.list_servers():
            if address != order.server and await self._serves(address, name):
                return True
        return False

    async def _serves(self, address: str, name: str) -> bool:
        try:
            state = await self.engine_client.state(address, STATE_TIMEOUT_S)
        except (engines.EngineUnavailableError, engines.NotAnEngineError):
            return False
        return name in state.models
