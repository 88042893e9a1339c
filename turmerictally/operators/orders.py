"""Take operators' orders to engines."""

import cattrs
import quart

from turmerictally.frontend import bodies
from turmerictally.orders import model

blueprint = quart.Blueprint("orders", __name__)

_strict = cattrs.Converter(forbid_extra_keys=True)


def _orders():
    return quart.current_app.extensions["host"].orders


@blueprint.post("/v1/orders")
async def submit() -> dict:
    """Accept an order, or tell how it ended when it was given before."""
    value = await bodies.read_json()
    if not isinstance(value, dict):
        raise bodies.bad("The body must be a JSON object.")
    try:
        order = _strict.structure(value | {"who": quart.g.operator}, model.Order)
    except cattrs.BaseValidationError as error:
        faults = "; ".join(cattrs.transform_error(error))
        raise bodies.bad(f"{faults}.") from error
    ended = await _orders().submit(order)
    return {"id": order.id, "ended": cattrs.unstructure(ended)}


@blueprint.get("/v1/orders/<server>")
async def show(server: str) -> dict:
    """Show the pending and the ended orders of one backend server."""
    sheet = await _orders().show(server)
    return cattrs.unstructure(sheet)
