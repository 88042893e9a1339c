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
    """Return the configuration, or None if the row cannot be decoded."""
    try:
        row = json.loads(value)
        return model.Configuration(
            version=int(row["version"]),
            routes=tuple(_route(route) for route in row["routes"]),
            services={s.name: s for s in map(_service, row["services"])},
            teams=tuple(_team(team) for team in row.get("tenants", ())),
            limits=_limits(row.get("limits", {})),
        )
    except MALFORMED as error:
        logger.warning("Cannot decode the configuration: %r.", error)
        return None


def read_server(key: str, value: bytes) -> model.Server | None:
    """Return the server of a registration, or None if the row is not a valid one.

    Each field's type is checked, because the table may hold rows of other writers.
    """
    try:
        row = json.loads(value)
        state = row["state"]
        if state not in SERVER_STATES:
            raise ValueError(f"expected state ready or draining, got {state!r}")
        start_ms = row.get("born", 0)
        if type(start_ms) is not int:
            raise TypeError(
                f"expected an integer in born, got {type(start_ms).__name__}"
            )
        return model.Server(
            instance=key,
            address=_address(row["address"]),
            service=_text(row["service"]),
            domain=_text(row["zone"]),
            slots=_positive_integer(row["slots"]),
            draining=state == "draining",
            born_ms=start_ms,
            cold_s=_cold_s(row.get("coldRemainingMs", 0)),
        )
    except MALFORMED as error:
        logger.info("Ignoring registration %s: %r.", key, error)
        return None


def read_evacuation(key: str) -> str | None:
    """Return the failure domain that an operator's row evacuates, or None.

    Only the row's key carries information.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def _route(fields: dict) -> model.Route:
    targets = fields.get("weightedBackends") or [
        {"service": fields["service"], "weight": 1}
    ]
    return model.Route(
        name=fields["name"],
        hostname=fields["hostname"],
        prefix=fields["prefix"],
        kind=KINDS[fields["kind"]],
        timeout_s=fields["timeoutMs"] / 1000,
        objective_s=fields.get("targetLatencyMs", 0) / 1000,
        targets=tuple(
            model.Target(target["service"], float(target["weight"]))
            for target in targets
        ),
        max_attempts=int(fields.get("maxAttempts", 1)),
        priority=int(fields.get("priority", 0)),
        public=bool(fields.get("public", False)),
        resumable=bool(fields.get("resumable", False)),
        max_gap_s=fields.get("gapTargetMs", 0) / 1000,
        completion_s=fields.get("completionTargetMs", 0) / 1000,
        retention_s=float(fields.get("retentionS", 0)),
        # Limit of one team's unprocessed tokens on the route.
        max_waiting_tokens=int(fields.get("maxCount", 0)),
    )


def _service(fields: dict) -> model.Service:
    engine = fields.get("engine") or {}
    return model.Service(
        name=fields["name"],
        slots=int(engine.get("slots", 0)),
        max_connections=int(fields.get("maxConnections", 0)),
        warm_up_s=_optional_number(fields.get("coldStartS")),
        cold_per_s=_optional_number(fields.get("coldPerS")),
    )


def _team(fields: dict) -> model.Team:
    return model.Team(
        name=fields["name"],
        keys=tuple(fields.get("apiKeys", ())),
        rate_per_s=float(fields.get("ratePerS") or 0),
        burst=float(fields.get("burst") or 0),
        priority=fields.get("priority"),
    )


def _limits(fields: dict) -> model.CallerLimits:
    defaults = model.CallerLimits()
    return model.CallerLimits(
        max_header_bytes=int(fields.get("maxHeaderBytes", defaults.max_header_bytes)),
        max_body_bytes=int(fields.get("maxBodyBytes", defaults.max_body_bytes)),
        header_timeout_s=fields.get("headerTimeoutMs", defaults.header_timeout_s * 1000)
        / 1000,
        idle_timeout_s=fields.get("idleTimeoutMs", defaults.idle_timeout_s * 1000)
        / 1000,
    )


def _cold_s(milliseconds: typing.Any) -> float | None:
    """Return the seconds, or None if the value is not a duration."""
    amount = _non_negative(milliseconds)
    return None if amount is None else amount / 1000


def _optional_number(value: typing.Any) -> float:
    """Return an optional number, 0 if it is missing or invalid."""
    amount = 0.0 if value is None else _non_negative(value)
    if amount is None:
        logger.warning(
            "Ignoring a service's number: expected 0 or more, got %.100r.", value
        )
        return 0.0
    return amount


def _non_negative(value: typing.Any) -> float | None:
    """Return a finite number of 0 or more, or None."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if 0 <= number < math.inf else None


def _text(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string, got {type(value).__name__}")
    return value


def _positive_integer(value: typing.Any) -> int:
    if type(value) is not int or value < 1:
        # No repr of other types: that of a deeply nested value may fail.
        got = value if type(value) is int else type(value).__name__
        raise TypeError(f"expected a positive integer, got {got}")
    return value


def _address(value: typing.Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"expected IP:PORT, got {value:.100}")
    return value
