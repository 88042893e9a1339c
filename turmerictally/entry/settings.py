"""Read and check the settings of an entry host on a shared row store."""

import typing

import attrs

from turmerictally import checks, settings

STORE_SCHEME = "http://"  # the users' store speaks no TLS

DEFAULTS: dict[str, typing.Any] = {
    "host_id": settings.REQUIRED,
    "failure_domain": settings.REQUIRED,
    "listen": {
        "callers": settings.REQUIRED,
        "health": settings.REQUIRED,
        "peers": settings.REQUIRED,
        "metrics": settings.REQUIRED,
        "max_connections": 4000,
    },
    "store": {"url": settings.REQUIRED, "timeout_s": 1.0},
    "batch": {"keep_s": 120.0},
    "stop": {"grace_s": 8.0, "unready_s": 2.6},
    "processor": {"cores": 1.0},
    "cold": {"overshoot": 1.0},
    "scheduling": {
        "fair_shares": False,
        "waiting_room": False,
        "learned_speeds": False,
        "switch_late": False,
    },
    "memory": {"limit_mb": 0.0},
}


@attrs.frozen
class Listen:
    """Hold the listeners' addresses (``ip:port``) and the most open connections."""

    callers: str
    health: str
    peers: str
    metrics: str
    max_connections: int


@attrs.frozen
class Store:
    """Hold where the row store is and how long a call may take."""

    url: str
    timeout_s: float


@attrs.frozen
class Batch:
    """Hold for how long a job's results are kept from its submission."""

    keep_s: float


@attrs.frozen
class Stop:
    """Hold the times of a planned stop.

    ``unready_s`` lets the balancer notice before new connections are refused, and
    ``grace_s`` is when the process is killed.
    """

    grace_s: float
    unready_s: float


@attrs.frozen
class Processor:
    """Hold the share of processor cores that this host has."""

    cores: float


@attrs.frozen
class Cold:
    """Hold the factor by which a cold server's rate may be exceeded."""

    overshoot: float


@attrs.frozen
class Memory:
    """Hold the memory that this host may take, in megabytes; 0 is no limit."""

    limit_mb: float = 0.0


@attrs.frozen
class Scheduling:
    """Switch on how requests are treated where room is short or servers differ."""

    fair_shares: bool = False
    waiting_room: bool = False
    learned_speeds: bool = False
    switch_late: bool = False


@attrs.frozen
class Settings:
    """Hold every setting of one entry host."""

    host_id: str
    failure_domain: str
    listen: Listen
    store: Store
    batch: Batch
    stop: Stop
    processor: Processor = Processor(1.0)
    cold: Cold = Cold(1.0)
    memory: Memory = Memory()
    scheduling: Scheduling = Scheduling()


def load(path: str) -> Settings:
    """Read a YAML settings file, raising ``settings.SettingsError``."""
    return settings.load(path, DEFAULTS, Settings, check)


def check(merged: dict) -> list[checks.Fault]:
    """Return the faults of settings whose keys and types are right."""
    limit_mb = merged["memory"]["limit_mb"]
    # Without a limit there is no number to check.
    limited = {k: v for k, v in merged.items() if k != "memory" or limit_mb}
    faults = checks.check_numbers(limited)
    for name in ("callers", "health", "peers", "metrics"):
        fault = checks.check_address(merged["listen"][name])
        if fault:
            faults.append(checks.Fault(f"listen.{name}", fault))
    if merged["stop"]["unready_s"] >= merged["stop"]["grace_s"]:
        faults.append(checks.Fault("stop.unready_s", "expected less than grace_s"))
    url = merged["store"]["url"]
    fault = "expected http://IP:PORT"
    if url.startswith(STORE_SCHEME):
        fault = checks.check_address(url.removeprefix(STORE_SCHEME).rstrip("/"))
    if fault:
        faults.append(checks.Fault("store.url", fault))
    return faults
