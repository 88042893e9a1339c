"""Send orders to engines and read their state over HTTP."""

import typing

import attrs
import httpx

from turmerictally.orders import model

HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


class StaleFenceError(Exception):
    """Report that the engine has accepted a newer fencing token, ``fence``."""

    def __init__(self, fence: int) -> None:
        self.fence = fence
        super().__init__(f"the engine has accepted fencing token {fence}")


class NotAnEngineError(Exception):
    """Report that a server has no engine interface and takes no orders."""


class EngineUnavailableError(Exception):
    """Report a missing or invalid response.

    An order that was sent may have been applied or may be applied later.
    """


class EngineClient(typing.Protocol):
    """Read the state of engines and send them orders."""

    async def state(self, server: str, timeout_s: float) -> model.EngineState:
        """Return the engine's state.

        Raises ``EngineUnavailableError`` without a valid response, and
        ``NotAnEngineError`` if the server has no engine interface.
        """

    async def send(self, order: model.Order, fence: int, timeout_s: float) -> None:
        """Send an order with a fencing token, without retries.

        Raises ``StaleFenceError`` when the engine rejects the token, and
        ``EngineUnavailableError`` when it is unknown whether the order was applied.
        """


@attrs.define
class HttpEngineClient:
    """Call engines at their servers' addresses, without retries."""

    client: httpx.AsyncClient

    async def state(self, server: str, timeout_s: float) -> model.EngineState:
        """Read ``GET /engine/state``."""
        url = f"http://{server}/engine/state"
        try:
            response = await self.client.get(url, timeout=timeout_s)
            if response.status_code == HTTP_NOT_FOUND:
                raise NotAnEngineError
            response.raise_for_status()
            body = response.json()
            return model.EngineState(
                models=dict(body["models"]),
                role=body["role"],
                fence=int(body["fence"]),
                last_order_id=body["last_order_id"],
            )
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise EngineUnavailableError(str(error)) from error

    async def send(self, order: model.Order, fence: int, timeout_s: float) -> None:
        """Send ``POST /engine/orders``."""
        url = f"http://{order.server}/engine/orders"
        body = {
            "fence": fence,
            "order_id": order.id,
            "action": order.action.value,
            "name": order.name,
            "version": order.version,
        }
        try:
            response = await self.client.post(url, json=body, timeout=timeout_s)
            if response.status_code == HTTP_CONFLICT:
                raise StaleFenceError(int(response.json()["fence"]))
            response.raise_for_status()
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise EngineUnavailableError(str(error)) from error
