"""Define the configuration and the backend servers that an entry host acts on."""

import collections.abc
import enum
import functools

import attrs


class Kind(enum.Enum):
    """Tell how a route's requests may be repeated and answered."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


@attrs.frozen
class Target:
    """Name a service and the weight with which a route chooses it."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Describe where requests of one hostname and path prefix go.

    ``timeout_s`` bounds a caller's wait, ``objective_s`` is the latency objective,
    ``max_gap_s`` the longest pause between two events that is on time. For batch
    jobs ``completion_s`` and ``retention_s`` count from the job's first submission.
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
        """Return whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or self.resumable


@attrs.frozen
class Service:
    """Describe a service's backend servers; ``slots`` requests run at once on each.

    A server that started is cold for ``warm_up_s`` and bears ``cold_per_s`` requests a
    second meanwhile, over all hosts; 0 is no bound.
    """

    name: str
    slots: int
    max_connections: int
    warm_up_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class Team:
    """Describe a team's keys and quota; a ``rate_per_s`` of 0 is no limit."""

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
    """Hold one version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams: tuple[Team, ...]
    limits: CallerLimits

    def route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(hostname.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self.teams_by_key.get(key)

    @functools.cached_property
    def routes_by_host(self) -> dict[str, list[Route]]:
        """Return each hostname's routes, the longest prefix first."""
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.hostname.lower(), []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return found

    @functools.cached_property
    def teams_by_key(self) -> dict[str, Team]:
        """Return the team of each key."""
        return {key: team for team in self.teams for key in team.keys}


@attrs.frozen
class Server:
    """Describe one incarnation of a backend server.

    ``instance`` is the name it answers to; ``born_ms`` tells restarts under one name
    apart, in Unix milliseconds. ``cold_s`` is for how much longer it says to be cold,
    None when what it says can't be read.
    """

    instance: str
    address: str
    service: str
    domain: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    cold_s: float | None = 0.0


ReadServer = collections.abc.Callable[[str, bytes], Server | None]
ReadConfiguration = collections.abc.Callable[[bytes], Configuration | None]
# Takes a row's key and returns the failure domain that the row evacuates, "" when it
# names none, or None for a row of another kind.
ReadEvacuation = collections.abc.Callable[[str], str | None]
