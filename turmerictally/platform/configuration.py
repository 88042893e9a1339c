"""Decode the operator's configuration and the servers' registrations."""

import logging
import sys
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
MIN_PRIORITY = -decoding.MAX_INTEGER


def read_configuration(value: bytes) -> model.Configuration:
    """Return the configuration of a row; raises ``decoding.DecodeError``."""
    row = decoding.read_object(value)
    return model.Configuration(
        version=row.integer("version"),
        routes=tuple(map(_route, row.objects("routes"))),
        services={s.name: s for s in map(_service, row.objects("services"))},
        teams=tuple(map(_team, row.objects("tenants", default=[]))),
        limits=_limits(row.object("limits", default=decoding.EMPTY)),
    )


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
        software=row.name("version", default=""),
    )


def read_evacuation(key: str) -> str | None:
    """Return the failure domain that an operator's row evacuates, or None.

    Only the row's key carries information; the domain is "" if the key names none.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    try:
        return decoding.check_name(key.removeprefix(EVACUATION_PREFIX))
    except decoding.DecodeError:
        return ""


def _route(fields: decoding.Object) -> model.Route:
    targets = fields.objects("weightedBackends", default=[])
    kind = fields.name("kind")
    if kind not in KINDS:
        raise decoding.DecodeError("kind: expected one of " + ", ".join(KINDS))
    return model.Route(
        name=fields.name("name"),
        hostname=fields.name("hostname"),
        prefix=fields.text("prefix"),
        kind=KINDS[kind],
        timeout_s=fields.number("timeoutMs") / 1000,
        objective_s=fields.number("targetLatencyMs", default=0.0) / 1000,
        targets=tuple(
            model.Target(target.name("service"), target.number("weight"))
            for target in targets
        )
        or (model.Target(fields.name("service"), 1.0),),
        max_attempts=fields.integer("maxAttempts", default=1),
        priority=fields.integer("priority", MIN_PRIORITY, default=0),
        public=fields.flag("public"),
        resumable=fields.flag("resumable"),
        max_gap_s=fields.number("gapTargetMs", default=0.0) / 1000,
        completion_s=fields.number("completionTargetMs", default=0.0) / 1000,
        retention_s=fields.number("retentionS", default=0.0),
        # Limit of one team's unprocessed tokens on the route.
        max_waiting_tokens=fields.integer("maxCount", default=0),
    )


def _service(fields: decoding.Object) -> model.Service:
    engine = fields.object("engine", default=decoding.EMPTY)
    return model.Service(
        name=fields.name("name"),
        slots=engine.integer("slots", 0, MAX_SLOTS, default=0),
        max_connections=fields.integer("maxConnections", default=0),
        warm_up_s=_optional_number(fields.values.get("coldStartS")),
        cold_per_s=_optional_number(fields.values.get("coldPerS")),
    )


def _team(fields: decoding.Object) -> model.Team:
    keys = fields.get("apiKeys", decoding.check_list, default=[])
    return model.Team(
        name=fields.name("name"),
        keys=tuple(map(decoding.check_text, keys)),
        rate_per_s=fields.number("ratePerS", default=0.0),
        burst=fields.number("burst", default=0.0),
        priority=fields.integer("priority", MIN_PRIORITY, default=None),
    )


def _limits(fields: decoding.Object) -> model.CallerLimits:
    defaults = model.CallerLimits()

    def seconds(field: str, default_s: float) -> float:
        return fields.number(field, default=default_s * 1000) / 1000

    return model.CallerLimits(
        max_header_bytes=fields.integer(
            "maxHeaderBytes", default=defaults.max_header_bytes
        ),
        max_body_bytes=fields.integer("maxBodyBytes", default=defaults.max_body_bytes),
        header_timeout_s=seconds("headerTimeoutMs", defaults.header_timeout_s),
        idle_timeout_s=seconds("idleTimeoutMs", defaults.idle_timeout_s),
    )


def _cold_s(milliseconds: typing.Any) -> float | None:
    """Return the seconds, or None if the value is not a duration."""
    try:
        # A time that is too long counts as the longest one.
        return decoding.check_number(milliseconds, 0.0, sys.float_info.max) / 1000
    except decoding.DecodeError:
        return None


def _optional_number(value: typing.Any) -> float:
    """Return an optional number, 0 if it is missing or invalid."""
    if value is None:
        return 0.0
    try:
        return decoding.check_number(value)
    except decoding.DecodeError as error:
        logger.warning("Ignoring a service's number: %s.", error)
        return 0.0
