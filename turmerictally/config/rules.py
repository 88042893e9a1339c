"""Check one configuration object against the rest of the configuration."""

import functools
import math

from turmerictally import errors
from turmerictally.config import model


@functools.singledispatch
def name_of(item: model.Item) -> str:
    """Return the name under which an object is kept."""
    raise TypeError(type(item))


@name_of.register
def _(item: model.Contract) -> str:
    return item.team


@name_of.register
def _(item: model.Key) -> str:
    return item.id


@name_of.register
def _(item: model.Service) -> str:
    return item.name


@name_of.register
def _(item: model.Route) -> str:
    return item.path


@name_of.register
def _(item: model.Server) -> str:
    return item.address


@functools.singledispatch
def check(item: model.Item, view: model.View, max_staleness_s: float) -> None:
    """Raise ``errors.Error`` unless an object fits into a view."""


@check.register
def _(item: model.Contract, view: model.View, max_staleness_s: float) -> None:
    _require(bool(item.team), "team", "a team needs a name")
    _require(_is_positive(item.rate), "rate", "rate must be above 0")
    _require(item.burst >= 1, "burst", "burst must be at least 1")
    limit = item.max_staleness_s
    fits = limit is None or 0 < limit <= max_staleness_s
    _require(fits, "max_staleness_s", f"must be above 0, at most {max_staleness_s}")


@check.register
def _(item: model.Key, view: model.View, max_staleness_s: float) -> None:
    if item.team not in view.contracts:
        raise errors.Error(errors.Kind.NOT_FOUND, "No such contract.", param="team")


@check.register
def _(item: model.Service, view: model.View, max_staleness_s: float) -> None:
    _require(bool(item.name), "name", "a service needs a name")


@check.register
def _(item: model.Route, view: model.View, max_staleness_s: float) -> None:
    _require(item.path.startswith("/"), "path", "a path starts with /")
    if item.service not in view.services:
        raise errors.Error(errors.Kind.NOT_FOUND, "No such service.", param="service")


@check.register
def _(item: model.Server, view: model.View, max_staleness_s: float) -> None:
    _require(":" in item.address, "address", "an address is ip:port")


def check_removal(kind: model.ItemKind, name: str, view: model.View) -> None:
    """Raise ``errors.Error`` unless an object exists and nothing depends on it."""
    if view.find(kind, name) is None:
        raise errors.Error(errors.Kind.NOT_FOUND, f"No such {kind.value}.")
    users: list[str] = []
    if kind is model.ItemKind.CONTRACT:
        users = [key.id for key in view.keys.values() if key.team == name]
    if kind is model.ItemKind.SERVICE:
        users = [r.path for r in view.routes.values() if r.service == name]
    if users:
        detail = f"Still used by {len(users)} object(s), such as {users[0]}."
        raise errors.Error(errors.Kind.CONFLICT, detail)


def _require(holds: bool, param: str, expected: str) -> None:
    if not holds:
        raise errors.Error(errors.Kind.BAD_REQUEST, f"{expected}.", param=param)


def _is_positive(number: float) -> bool:
    return 0 < number < math.inf
