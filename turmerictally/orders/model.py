"""Define orders to engines, their results, and the state that engines report."""

import enum

import attrs


class Action(enum.Enum):
    """Name what an order changes on an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Outcome(enum.Enum):
    """Name the outcome of an order."""

    APPLIED = "applied"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen
class Order:
    """Order one server's engine to load or unload a model, or to take a role.

    ``name`` is the name of a model, an adapter or a role; ``version`` is empty unless
    loading. ``id`` is chosen by the operator, so that submitting an order twice
    applies it once. ``who`` is the operator.
    """

    id: str
    server: str
    action: Action
    name: str
    version: str = ""
    who: str = ""


@attrs.frozen
class OrderResult:
    """Hold the outcome of an order; ``detail`` explains it to the operator."""

    order_id: str
    outcome: Outcome
    detail: str = ""


@attrs.frozen
class EngineState:
    """Hold the state that an engine reports; ``models`` maps names to versions."""

    models: dict[str, str]
    role: str
    fence: int
    last_order_id: str


def is_applied(order: Order, state: EngineState) -> bool:
    """Return whether the engine is in the ordered state."""
    if order.action is Action.LOAD:
        return state.models.get(order.name) == order.version
    if order.action is Action.UNLOAD:
        return order.name not in state.models
    return state.role == order.name


def models_removed_by(order: Order, state: EngineState) -> tuple[str, ...]:
    """Return the models that the order may remove from the server.

    After a change of role the server may stop serving any of its models.
    """
    if order.action is Action.UNLOAD:
        return (order.name,) if order.name in state.models else ()
    if order.action is Action.ROLE:
        return tuple(sorted(state.models))
    return ()
