"""Read and check the settings of an entry host on a shared row store."""

import re
import typing

import attrs

from turmerictally import checks, settings
from turmerictally.entry import decoding
from turmerictally.scheduling import mechanisms, request_quarantine

IDENTITY = re.compile(rf"[0-9a-f]{{{2 * request_quarantine.IDENTITY_BYTES}}}")
STORE_SCHEME = "http://"  # the row store doesn't support TLS

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
    "quota": {"overshoot": 0.0, "window_s": 5.0},
    "scheduling": {
        "fair_shares": False,
        "waiting_room": False,
        "learned_speeds": False,
        "switch_late": False,
        "disabled": [],
    },
    "memory": {"limit_mb": 0.0},
    "prompts": {"exempt": [], "quarantined": []},
    "requests": {"exempt": [], "quarantined": []},
}


@attrs.frozen
class Listen:
    """Hold the listen addresses (``ip:port``) and the connection limit."""

    callers: str
    health: str
    peers: str
    metrics: str
    max_connections: int


@attrs.frozen
class Store:
    """Hold the row store's URL and the time-out of a call."""

    url: str
    timeout_s: float


@attrs.frozen
class Batch:
    """Hold the retention time of a job's results, from its submission."""

    keep_s: float


@attrs.frozen
class Stop:
    """Hold the times of a graceful shutdown.

    For ``unready_s`` the host reports not ready but accepts connections, so that the
    load balancer notices; after ``grace_s`` the process is killed.
    """

    grace_s: float
    unready_s: float


@attrs.frozen
class Processor:
    """Hold the number of processor cores that this host may use."""

    cores: float


@attrs.frozen
class Cold:
    """Hold the factor that scales the permitted request rate of cold servers."""

    overshoot: float


@attrs.frozen
class Quota:
    """Hold by which ratio quotas may be exceeded within a window, after restarts."""

    overshoot: float = 0.0
    window_s: float = 5.0


@attrs.frozen
class Memory:
    """Hold the memory budget of this host in megabytes; 0 means no limit."""

    limit_mb: float = 0.0


@attrs.frozen
class Scheduling:
    """Enable scheduling policies for scarce slots and servers of different speed.

    ``disabled`` names mechanisms to switch off, for measurements.
    """

    fair_shares: bool = False
    waiting_room: bool = False
    learned_speeds: bool = False
    switch_late: bool = False
    disabled: list[str] = attrs.Factory(list)

    @property
    def disabled_mechanisms(self) -> frozenset[mechanisms.Mechanism]:
        """Return the mechanisms to switch off."""
        return mechanisms.parse(self.disabled)


@attrs.frozen
class Prompts:
    """Hold the operator's lists of prompt parts.

    Those in ``exempt`` are never quarantined, those in ``quarantined`` are not sent to
    servers.
    """

    exempt: list[str] = attrs.Factory(list)
    quarantined: list[str] = attrs.Factory(list)


@attrs.frozen
class Requests:
    """Hold the operator's lists of requests, by their digests.

    Those in ``exempt`` are never quarantined, those in ``quarantined`` are not sent to
    servers.
    """

    exempt: list[str] = attrs.Factory(list)
    quarantined: list[str] = attrs.Factory(list)


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
    quota: Quota = Quota()
    memory: Memory = Memory()
    scheduling: Scheduling = Scheduling()
    prompts: Prompts = Prompts()
    requests: Requests = Requests()


def load(path: str) -> Settings:
    """Read a YAML settings file, raising ``settings.SettingsError``."""
    return settings.load(path, DEFAULTS, Settings, check)


def check(merged: dict) -> list[checks.Fault]:
    """Return the faults of settings whose keys and types are right."""
    # Here 0 means no limit and no overshoot; the check is for positive numbers.
    switched_off = set()
    if not merged["memory"]["limit_mb"]:
        switched_off.add("memory")
    if not merged["quota"]["overshoot"]:
        switched_off.add("quota")
    numeric = {k: v for k, v in merged.items() if k not in switched_off}
    faults = checks.check_numbers(numeric)
    for name in ("callers", "health", "peers", "metrics"):
        fault = checks.check_address(merged["listen"][name])
        if fault:
            faults.append(checks.Fault(f"listen.{name}", fault))
    for name in ("host_id", "failure_domain"):
        if len(merged[name]) > decoding.MAX_NAME_LENGTH:
            fault = f"expected up to {decoding.MAX_NAME_LENGTH} characters"
            faults.append(checks.Fault(name, fault))
    for name in merged["scheduling"]["disabled"]:
        if name not in mechanisms.NAMES:
            listed = ", ".join(mechanisms.NAMES)
            fault = f"unknown mechanism {name!r}; there are: {listed}"
            faults.append(checks.Fault("scheduling.disabled", fault))
    for key, listed in merged["requests"].items():
        for identity in listed:
            if not IDENTITY.fullmatch(str(identity)):
                fault = f"expected digests of requests, not {identity!r}"
                faults.append(checks.Fault(f"requests.{key}", fault))
    if merged["stop"]["unready_s"] >= merged["stop"]["grace_s"]:
        faults.append(checks.Fault("stop.unready_s", "expected less than grace_s"))
    url = merged["store"]["url"]
    fault = "expected http://IP:PORT"
    if url.startswith(STORE_SCHEME):
        fault = checks.check_address(url.removeprefix(STORE_SCHEME).rstrip("/"))
    if fault:
        faults.append(checks.Fault("store.url", fault))
    return faults
