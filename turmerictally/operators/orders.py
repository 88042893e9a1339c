"""Endpoints for operators' orders to backend servers."""

import cattrs
import quart

from turmerictally.frontend import bodies
from turmerictally.orders import model

blueprint = quart.Blueprint("orders", __name__)

_strict_converter = cattrs.Converter(forbid_extra_keys=True)


def _orders():
    return quart.current_app.extensions["host"].orders


@blueprint.post("/v1/orders")
async def submit() -> dict:
    """Accept an order; return its result if it has already ended."""
    value = await bodies.read_json()
    if not isinstance(value, dict):
        raise bodies.bad_request("The body must be a JSON object.")
    try:
        order = _strict_converter.structure(
            value | {"who": quart.g.operator}, model.Order
        )
    except cattrs.BaseValidationError as error:
        faults = "; ".join(cattrs.transform_error(error))
        raise bodies.bad_request(f"{faults}.") from error
    result = await _orders().submit(order)
    return {"id": order.id, "ended": cattrs.unstructure(result)}


@blueprint.get("/v1/orders/<server>")
async def show(server: str) -> dict:
    """Show the pending and ended orders of one backend server."""
    record = await _orders().show(server)
    return cattrs.unstructure(record)
