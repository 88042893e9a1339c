"""Read, default and check the settings of one host.

``DEFAULTS`` holds every key with its default. Durations here end in ``_s`` and are
in seconds; sizes end in ``_bytes``.
"""

import collections.abc
import pathlib
import typing

import attrs
import msgspec

from turmerictally import checks

REQUIRED = None  # default of a key that must be given
MAX_INTEGER = 2**53 - 1  # that stands for a number

DEFAULTS: dict[str, typing.Any] = {
    "host_id": REQUIRED,
    "region": REQUIRED,
    "failure_domain": REQUIRED,
    "listen": {
        "callers": "127.0.0.1:8080",
        "operators": "127.0.0.1:8081",
        "peers": "127.0.0.1:8082",
        "max_running_requests": 2000,
        "max_body_bytes": 1024 * 1024,
        "max_upload_bytes": 512 * 1024 * 1024,
        "body_timeout_s": 30.0,
        "idle_timeout_s": 75.0,
    },
    "tls": {
        "callers": {"certificate": "", "key": "", "authority": ""},
        "operators": {"certificate": "", "key": "", "authority": ""},
        "peers": {"certificate": "", "key": "", "authority": ""},
        "reload_s": 30.0,
    },
    "peer_secret": REQUIRED,
    "platform": {
        "url": REQUIRED,
        "token": "",
        "timeout_s": 2.0,
        "reads_per_s": 20.0,
        "writes_per_s": 10.0,
        "backoff_min_s": 0.1,
        "backoff_max_s": 5.0,
    },
    "operator_key_hashes": {},
    "log": {"level": "INFO", "json": False},
    "config": {
        "poll_s": 2.0,
        "push_timeout_s": 1.2,
        "accept_timeout_s": 4.0,
        "snapshot_every": 200,
        "max_staleness_s": 3600.0,
    },
    "membership": {
        "list_poll_s": 5.0,
        "ping_interval_s": 1.0,
        "ping_timeout_s": 0.3,
        "ping_targets": 3,
        "indirect_targets": 2,
        "suspicion_s": 3.0,
        "forget_s": 60.0,
        "seeds": [],
    },
    "limits": {
        "shares_per_domain": 2,
        "slots_per_domain": 32,
        "share_lease_s": 3600.0,
        "renew_s": 60.0,
        "grant_ttl_s": 2.0,
        "grant_timeout_s": 0.25,
        "prefetch_s": 0.25,
        "refusal_hold_s": 0.03,
        "settle_s": 0.2,
        "backoff_s": 0.25,
        "drift_ratio": 0.01,
        "failure_domains": [],
    },
    "routing": {
        "subset_size": 16,
        "poll_s": 0.5,
        "report_max_age_s": 5.0,
        "affinity_tokens": 64,
        "affinity_max_load": 1.25,
        "max_running_per_server": 32,
        "unhealthy_after": 3,
        "probe_s": 1.0,
        "leaving_poll_s": 1.0,
    },
    "online": {
        "token_gap_target_s": 0.053,
        "deadline_s": 60.0,
        "connect_timeout_s": 1.0,
        "queue_length": 256,
        "queue_wait_s": 5.0,
        "retry_budget_ratio": 0.1,
        "retry_budget_min_per_s": 1.0,
        "max_attempts": 3,
        "stream_buffer_bytes": 256 * 1024,
        "slow_reader_timeout_s": 30.0,
        "idempotency_ttl_s": 86400.0,
        "idempotency_max_answer_bytes": 256 * 1024,
    },
    "batch": {
        "range_items": 500,
        "max_items": 190_000,
        "lease_s": 30.0,
        "claim_poll_s": 0.5,
        "max_tries": 3,
        "window_s": 86400.0,
        "retention_s": 2_592_000.0,
        "headroom_ratio": 0.25,
        "max_concurrent_items": 64,
        "max_pending_results_bytes": 64 * 1024 * 1024,
        "cancel_poll_s": 3.0,
        "max_ranges": 4,
        "item_timeout_s": 600.0,
        "part_s": 60.0,
        "part_bytes": 1024 * 1024,
        "reads_per_s": 1.0,
        "writes_per_s": 0.5,
    },
    "orders": {
        "lease_s": 30.0,
        "poll_s": 1.0,
        "send_timeout_s": 10.0,
        "apply_timeout_s": 600.0,
    },
    "metrics": {"max_teams": 100, "explain_records": 10_000},
    "stop": {"announce_s": 2.0, "drain_s": 60.0},
}


@attrs.frozen
class Listen:
    """Hold the listeners' addresses (``ip:port``) and limits."""

    callers: str
    operators: str
    peers: str
    max_running_requests: int
    max_body_bytes: int
    max_upload_bytes: int
    body_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class TlsFiles:
    """Hold paths of PEM files; an empty certificate turns TLS off."""

    certificate: str
    key: str
    authority: str


@attrs.frozen
class Tls:
    """Hold the TLS files of each listener."""

    callers: TlsFiles
    operators: TlsFiles
    peers: TlsFiles
    reload_s: float


@attrs.frozen
class Platform:
    """Hold how the platform is reached and this host's share of its budget."""

    url: str
    token: str = attrs.field(repr=False)
    timeout_s: float
    reads_per_s: float
    writes_per_s: float
    backoff_min_s: float
    backoff_max_s: float


@attrs.frozen
class Log:
    """Hold the log level and format."""

    level: str
    json: bool


@attrs.frozen
class Config:
    """Hold how configuration changes are learned and how old they may get."""

    poll_s: float
    push_timeout_s: float
    accept_timeout_s: float
    snapshot_every: int
    max_staleness_s: float


@attrs.frozen
class Membership:
    """Hold the failure detector's settings.

    ``seeds`` are peer addresses asked when the platform's list cannot be read.
    """

    list_poll_s: float
    ping_interval_s: float
    ping_timeout_s: float
    ping_targets: int
    indirect_targets: int
    suspicion_s: float
    forget_s: float
    seeds: list[str]


@attrs.frozen
class Limits:
    """Hold the settings of fleet-wide rate limits.

    ``failure_domains`` names every failure domain of the fleet.
    """

    shares_per_domain: int
    slots_per_domain: int
    share_lease_s: float
    renew_s: float
    grant_ttl_s: float
    grant_timeout_s: float
    prefetch_s: float
    refusal_hold_s: float
    settle_s: float
    backoff_s: float
    drift_ratio: float
    failure_domains: list[str]


@attrs.frozen
class Routing:
    """Hold the settings of the choice of a backend server."""

    subset_size: int
    poll_s: float
    report_max_age_s: float
    affinity_tokens: int
    affinity_max_load: float
    max_running_per_server: int
    unhealthy_after: int
    probe_s: float
    leaving_poll_s: float


@attrs.frozen
class Online:
    """Hold the settings of the online path."""

    token_gap_target_s: float
    deadline_s: float
    connect_timeout_s: float
    queue_length: int
    queue_wait_s: float
    retry_budget_ratio: float
    retry_budget_min_per_s: float
    max_attempts: int
    stream_buffer_bytes: int
    slow_reader_timeout_s: float
    idempotency_ttl_s: float
    idempotency_max_answer_bytes: int


@attrs.frozen
class Batch:
    """Hold the settings of batch jobs."""

    range_items: int
    max_items: int
    lease_s: float
    claim_poll_s: float
    max_tries: int
    window_s: float
    retention_s: float
    headroom_ratio: float
    max_concurrent_items: int
    max_pending_results_bytes: int
    cancel_poll_s: float
    max_ranges: int
    item_timeout_s: float
    part_s: float
    part_bytes: int
    reads_per_s: float
    writes_per_s: float


@attrs.frozen
class Orders:
    """Hold the settings of orders to engines."""

    lease_s: float
    poll_s: float
    send_timeout_s: float
    apply_timeout_s: float


@attrs.frozen
class Metrics:
    """Hold the bounds of metrics and decision records."""

    max_teams: int
    explain_records: int


@attrs.frozen
class Stop:
    """Hold the times of a planned stop."""

    announce_s: float
    drain_s: float


@attrs.frozen
class Settings:
    """Hold every setting of one host."""

    host_id: str
    region: str
    failure_domain: str
    listen: Listen
    tls: Tls
    peer_secret: str = attrs.field(repr=False)
    platform: Platform
    operator_key_hashes: dict[str, str] = attrs.field(repr=False)
    log: Log
    config: Config
    membership: Membership
    limits: Limits
    routing: Routing
    online: Online
    batch: Batch
    orders: Orders
    metrics: Metrics
    stop: Stop


class SettingsError(Exception):
    """Report every fault found in a settings file."""

    def __init__(self, faults: list[checks.Fault]) -> None:
        self.faults = faults
        super().__init__("\n".join(str(fault) for fault in faults))


Check = collections.abc.Callable[[dict], list[checks.Fault]]


def load(
    path: str,
    defaults: dict[str, typing.Any] = DEFAULTS,
    shape: type = Settings,
    check: Check = checks.check,
) -> typing.Any:
    """Read a YAML settings file, raising ``SettingsError`` with every fault."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            [checks.Fault(path, f"expected a readable file: {error}")]
        ) from error
    given = _read(path, text)
    return build(given if given is not None else {}, defaults, shape, check)


def _read(path: str, text: str) -> typing.Any:
    """Return what JSON or YAML says."""
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        # Loaded for files that are not JSON only: it takes a twentieth of a start.
        import yaml
    try:
        return yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        # Dates and numbers that do not exist raise ValueError.
        raise SettingsError(
            [checks.Fault(path, f"expected YAML: {_one_line(error)}")]
        ) from error


def build(
    given: typing.Any,
    defaults: dict[str, typing.Any] = DEFAULTS,
    shape: type = Settings,
    check: Check = checks.check,
) -> typing.Any:
    """Merge given values over the defaults and check the result."""
    if not isinstance(given, dict):
        raise SettingsError([checks.Fault("(top level)", "expected a mapping")])
    faults: list[checks.Fault] = []
    merged = _merge(defaults, given, "", faults)
    if not faults:
        faults.extend(check(merged))
    if faults:
        raise SettingsError(sorted(faults, key=lambda fault: fault.path))
    try:
        return msgspec.convert(merged, shape)
    except msgspec.ValidationError as error:
        raise SettingsError([checks.Fault("(types)", _one_line(error))]) from error


def _merge(
    defaults: dict, given: dict, prefix: str, faults: list[checks.Fault]
) -> dict:
    merged = {}
    for key in given.keys() - defaults.keys():
        faults.append(checks.Fault(f"{prefix}{key}", "unknown key"))
    for key, default in defaults.items():
        path = f"{prefix}{key}"
        if key not in given:
            if default is REQUIRED:
                faults.append(checks.Fault(path, "required, but missing"))
            merged[key] = default
        else:
            merged[key] = _merge_value(default, given[key], path, faults)
    return merged


def _merge_value(
    default: typing.Any, value: typing.Any, path: str, faults: list[checks.Fault]
) -> typing.Any:
    if isinstance(default, dict) and default:
        if not isinstance(value, dict):
            faults.append(checks.Fault(path, "expected a mapping"))
            return default
        return _merge(default, value, f"{path}.", faults)
    expected = str if default is REQUIRED else type(default)
    if expected is float and type(value) is int and abs(value) <= MAX_INTEGER:
        return float(value)
    if (
        type(value) is not expected
        or (default is REQUIRED and not value)
        or (expected is str and not value.isprintable())
    ):
        names = {str: "a non-empty text" if default is REQUIRED else "a text"}
        names |= {int: "a whole number", float: "a number", bool: "true or false"}
        names |= {dict: "a mapping", list: "a list"}
        faults.append(checks.Fault(path, f"expected {names[expected]}"))
    return value


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
