"""Define the configuration and the backend servers that entry hosts use."""

import collections.abc
import enum
import functools

import attrs


class Kind(enum.Enum):
    """Classify a route by how its requests may be retried and answered."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


@attrs.frozen
class Target:
    """Name a service and its weight in a route's traffic split."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Describe the routing of one hostname and path prefix.

    ``timeout_s`` bounds a caller's wait, ``objective_s`` is the latency objective and
    ``max_gap_s`` the objective for the gap between two events. For batch jobs
    ``completion_s`` and ``retention_s`` count from the job's first submission.
    """

    name: str
    hostname: str
    prefix: str
    kind: Kind
    timeout_s: float
    objective_s: float
    targets: tuple[Target, ...]
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    max_gap_s: float = 0.0
    completion_s: float = 0.0
    retention_s: float = 0.0
    max_waiting_tokens: int = 0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may safely run more than once."""
        return self.kind is Kind.IDEMPOTENT or self.resumable


@attrs.frozen
class Service:
    """Describe a service, whose servers run ``slots`` requests at a time.

    A server is cold for ``warm_up_s`` after its start. Meanwhile all hosts together
    send it at most ``cold_per_s`` requests a second; 0 means no limit.
    """

    name: str
    slots: int
    max_connections: int
    warm_up_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class Team:
    """Describe a team's keys and quota; a ``rate_per_s`` of 0 means no limit."""

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Bound what callers may send and how long they may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(slots=False, eq=False)
class Configuration:
    """Hold one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams: tuple[Team, ...]
    limits: CallerLimits

    def route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self.routes_by_host.get(hostname.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team that a key belongs to."""
        return self.teams_by_key.get(key)

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[Route]]:
        """Return each hostname's routes, the longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.hostname.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return by_host

    @functools.cached_property
    def teams_by_key(self) -> dict[str, Team]:
        """Return the team of each key."""
        return {key: team for team in self.teams for key in team.keys}


@attrs.frozen
class Server:
    """Describe one incarnation of a backend server.

    ``instance`` is the server's name. ``born_ms`` is the start time in Unix
    milliseconds, which distinguishes incarnations under one name. ``cold_s`` is the
    remaining warm-up time that the server reports, or None if it can't be parsed.
    ``software`` is the version of the server's software, empty if unknown.
    """

    instance: str
    address: str
    service: str
    domain: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    cold_s: float | None = 0.0
    software: str = ""


# Both raise ``decoding.DecodeError``.
ReadServer = collections.abc.Callable[[str, bytes], Server]
ReadConfiguration = collections.abc.Callable[[bytes], Configuration]
# Returns the failure domain that a row with this key evacuates, "" if the key names
# none, or None for a row of another kind.
ReadEvacuation = collections.abc.Callable[[str], str | None]
