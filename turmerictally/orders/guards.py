"""Keep the last server of a model from being taken away."""

import collections.abc

import attrs

from turmerictally.orders import engines, model, records
from turmerictally.store import table

STATE_TIMEOUT_S = 2.0

ServerAddresses = collections.abc.Callable[[], collections.abc.Iterable[str]]


class LastServerError(Exception):
    """Report that no other server is known to serve a model."""


@attrs.define
class LastServerGuard:
    """Allow one removal of a model at a time, and only beside a serving server.

    ``servers`` lists the addresses of the backend servers that take work.
    """

    store: table.Table
    engines: engines.EngineClient
    servers: ServerAddresses

    async def admit(self, order: model.Order, state: model.EngineState) -> None:
        """Reserve the removal of the models an order takes away.

        Raises ``LastServerError`` when one of them has no other server, or another
        order is removing it elsewhere. ``records.finish`` ends the reservation.
        """
        for name in model.models_removed_by(order, state):
            await self._reserve(order, name)
            if not await self._is_served_elsewhere(order, name):
                raise LastServerError(f"no other server was seen to serve {name}")

    async def _reserve(self, order: model.Order, name: str) -> None:
        key = records.REMOVALS_PREFIX + name
        row = await self.store.get(key)
        if row is not None and row.value["order_id"] != order.id:
            raise LastServerError(f"{name} is being removed from another server")
        if row is None:
            put = table.Put(key, {"order_id": order.id, "server": order.server})
            await self.store.commit([table.Check(key, table.ABSENT)], [put])

    async def _is_served_elsewhere(self, order: model.Order, name: str) -> bool:
        """Ask engines themselves, as the list lags."""
        for address in self.servers():
            if address != order.server and await self._serves(address, name):
                return True
        return False

    async def _serves(self, address: str, name: str) -> bool:
        try:
            state = await self.engines.state(address, STATE_TIMEOUT_S)
        except (engines.EngineUnavailableError, engines.NotAnEngineError):
            return False
        return name in state.models
