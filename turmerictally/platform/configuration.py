"""Decode the operator's configuration and the servers' registrations."""

import json
import logging
import math
import typing

from turmerictally.entry import model

logger = logging.getLogger(__name__)

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
SERVERS_TABLE = "servers"

KINDS = {
    "idempotent": model.Kind.IDEMPOTENT,
    "non_idempotent": model.Kind.ONCE,
    "streaming": model.Kind.STREAM,
    "batch": model.Kind.BATCH,
}
SERVER_STATES = ("ready", "draining")
MALFORMED = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def read_configuration(value: bytes) -> model.Configuration | None:
    """Return the configuration, or None when the row cannot be read."""
    try:
        given = json.loads(value)
        return model.Configuration(
            version=int(given["version"]),
            routes=tuple(_route(each) for each in given["routes"]),
            services={s.name: s for s in map(_service, given["services"])},
            teams=tuple(_team(each) for each in given.get("tenants", ())),
            limits=_limits(given.get("limits", {})),
        )
    except MALFORMED as error:
        logger.warning("The configuration cannot be read: %r.", error)
        return None


def read_server(key: str, value: bytes) -> model.Server | None:
    """Return the server of a registration, or None when it names none to use.

    Rows of other writers may lie in the table, so each field's type is checked.
    """
    try:
        given = json.loads(value)
        state = given["state"]
        if state not in SERVER_STATES:
            raise ValueError(f"state {state!r}")
        born = given.get("born", 0)
        if type(born) is not int:
            raise TypeError("born")
        return model.Server(
            instance=key,
            address=_address(given["address"]),
            service=_text(given["service"]),
            domain=_text(given["zone"]),
            slots=_positive(given["slots"]),
            draining=state == "draining",
            born_ms=born,
            cold_s=_cold_s(given.get("coldRemainingMs", 0)),
        )
    except MALFORMED as error:
        logger.info("Registration %s is left out: %r.", key, error)
        return None


def read_evacuation(key: str) -> str | None:
    """Return the failure domain that a row of the operator's evacuates, if any.

    The row's value holds nothing.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def _route(given: dict) -> model.Route:
    targets = given.get("weightedBackends") or [
        {"service": given["service"], "weight": 1}
    ]
    return model.Route(
        name=given["name"],
        hostname=given["hostname"],
        prefix=given["prefix"],
        kind=KINDS[given["kind"]],
        timeout_s=given["timeoutMs"] / 1000,
        objective_s=given.get("targetLatencyMs", 0) / 1000,
        targets=tuple(
            model.Target(each["service"], float(each["weight"])) for each in targets
        ),
        max_attempts=int(given.get("maxAttempts", 1)),
        priority=int(given.get("priority", 0)),
        public=bool(given.get("public", False)),
        resumable=bool(given.get("resumable", False)),
        max_gap_s=given.get("gapTargetMs", 0) / 1000,
        completion_s=given.get("completionTargetMs", 0) / 1000,
        retention_s=float(given.get("retentionS", 0)),
        # Tokens of one team that may wait on the route.
        max_waiting_tokens=int(given.get("maxCount", 0)),
    )


def _service(given: dict) -> model.Service:
    engine = given.get("engine") or {}
    return model.Service(
        name=given["name"],
        slots=int(engine.get("slots", 0)),
        max_connections=int(given.get("maxConnections", 0)),
        warm_up_s=_amount(given.get("coldStartS")),
        cold_per_s=_amount(given.get("coldPerS")),
    )


def _team(given: dict) -> model.Team:
    return model.Team(
        name=given["name"],
        keys=tuple(given.get("apiKeys", ())),
        rate_per_s=float(given.get("ratePerS") or 0),
        burst=float(given.get("burst") or 0),
        priority=given.get("priority"),
    )


def _limits(given: dict) -> model.CallerLimits:
    usual = model.CallerLimits()
    return model.CallerLimits(
        max_header_bytes=int(given.get("maxHeaderBytes", usual.max_header_bytes)),
        max_body_bytes=int(given.get("maxBodyBytes", usual.max_body_bytes)),
        header_timeout_s=given.get("headerTimeoutMs", usual.header_timeout_s * 1000)
        / 1000,
        idle_timeout_s=given.get("idleTimeoutMs", usual.idle_timeout_s * 1000) / 1000,
    )


def _cold_s(milliseconds: typing.Any) -> float | None:
    """Return the seconds, or None for what is no time."""
    found = _figure(milliseconds)
    return None if found is None else found / 1000


def _amount(value: typing.Any) -> float:
    """Return a figure that may be left out; what is none counts as left out."""
    found = 0.0 if value is None else _figure(value)
    if found is None:
        logger.warning("A service's figure is left out: %.100r.", value)
        return 0.0
    return found


def _figure(value: typing.Any) -> float | None:
    """Return a finite figure of 0 or more, or None."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    try:
        found = float(value)
    except OverflowError:
        return None
    return found if 0 <= found < math.inf else None


def _text(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError("expected a text")
    return value


def _positive(value: typing.Any) -> int:
    if type(value) is not int or value < 1:
        raise TypeError("expected a positive whole number")
    return value


def _address(value: typing.Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError("expected IP:PORT")
    return value
