"""Send orders to engines over HTTP and read their state back."""

import typing

import attrs
import httpx

from turmerictally.orders import model

HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


class StaleFenceError(Exception):
    """Report that the engine has seen a newer fencing number, ``fence``."""

    def __init__(self, fence: int) -> None:
        self.fence = fence
        super().__init__(f"the engine has seen fence {fence}")


class NotAnEngineError(Exception):
    """Report that a server takes no orders."""


class EngineUnavailableError(Exception):
    """Report that no answer came; the order may have been or may be applied."""


class EngineClient(typing.Protocol):
    """Give orders to engines."""

    async def state(self, server: str, timeout_s: float) -> model.EngineState:
        """Return the engine's state.

        Raises ``EngineUnavailableError``, or ``NotAnEngineError`` from a plain service.
        """

    async def send(self, order: model.Order, fence: int, timeout_s: float) -> None:
        """Send an order once.

        Raises ``StaleFenceError`` when the engine refuses it and
        ``EngineUnavailableError``
        when its fate is not known.
        """


@attrs.define
class HttpEngineClient:
    """Reach engines at their addresses; a call is never repeated."""

    client: httpx.AsyncClient

    async def state(self, server: str, timeout_s: float) -> model.EngineState:
        """Read ``GET /engine/state``."""
        url = f"http://{server}/engine/state"
        try:
            answer = await self.client.get(url, timeout=timeout_s)
            if answer.status_code == HTTP_NOT_FOUND:
                raise NotAnEngineError
            answer.raise_for_status()
            body = answer.json()
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
            answer = await self.client.post(url, json=body, timeout=timeout_s)
            if answer.status_code == HTTP_CONFLICT:
                raise StaleFenceError(int(answer.json()["fence"]))
            answer.raise_for_status()
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise EngineUnavailableError(str(error)) from error
