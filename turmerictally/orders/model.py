"""Define orders to engines, what engines report, and how orders end."""

import enum

import attrs


class Action(enum.Enum):
    """Name what an order does."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Outcome(enum.Enum):
    """Name how an order ended."""

    APPLIED = "applied"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen
class Order:
    """Ask one backend server for a model, adapter, version or role.

    ``name`` is the model's or role's name; ``version`` is empty unless loading.
    ``id`` is chosen by the operator and makes a repeated order harmless.
    """

    id: str
    server: str
    action: Action
    name: str
    version: str = ""
    who: str = ""


@attrs.frozen
class OrderResult:
    """Record how an order ended."""

    order_id: str
    outcome: Outcome
    detail: str = ""


@attrs.frozen
class EngineState:
    """Hold what an engine reports: versions by model, role and last order."""

    models: dict[str, str]
    role: str
    fence: int
    last_order_id: str


def is_applied(order: Order, state: EngineState) -> bool:
    """Tell whether the engine already is in the ordered state."""
    if order.action is Action.LOAD:
        return state.models.get(order.name) == order.version
    if order.action is Action.UNLOAD:
        return order.name not in state.models
    return state.role == order.name


def models_removed_by(order: Order, state: EngineState) -> tuple[str, ...]:
    """Return the models that the server may stop serving through the order."""
    if order.action is Action.UNLOAD:
        return (order.name,) if order.name in state.models else ()
    if order.action is Action.ROLE:
        return tuple(sorted(state.models))
    return ()
