"""Decode the operator's configuration and the servers' registrations."""

import json
import logging
import math
import typing

from turmerictally.entry import decoding, model

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
MAX_SLOTS = 10_000  # of one server; more than any engine runs at a time
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


def read_server(key: str, value: bytes) -> model.Server:
    """Return the server of a registration; raises ``decoding.DecodeError``."""
    row = decoding.read_object(value)
    state = row.name("state")
    if state not in SERVER_STATES:
        raise decoding.DecodeError("state: expected ready or draining")
    return model.Server(
        instance=decoding.check_name(key),
        address=row.address("address"),
        service=row.name("service"),
        domain=row.name("zone"),
        slots=row.integer("slots", 1, MAX_SLOTS),
        draining=state == "draining",
        born_ms=row.integer("born", default=0),
        cold_s=_cold_s(row.values.get("coldRemainingMs", 0)),
    )


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
