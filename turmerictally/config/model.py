"""Define the configuration's objects and an immutable view of one version."""

import collections.abc
import enum
import hashlib
import json
import math
import zlib

import attrs
import cattrs

# Concurrent requests a team may hold, as seconds of its rate beyond its burst.
RUNNING_S = 60.0
# Jobs a team may have unfinished, for each request a second of its rate.
JOBS_PER_RATE = 10


@attrs.frozen
class Contract:
    """State what one team may use; every limit of the team follows from it.

    ``rate`` is in requests a second and ``burst`` in requests, both over the whole
    fleet. Empty ``models`` allows every model. ``max_staleness_s`` shortens the
    setting of the same name for this team's keys, in seconds.
    """

    team: str
    rate: float
    burst: int
    models: tuple[str, ...] = ()
    max_staleness_s: float | None = None

    @property
    def weight(self) -> float:
        """Return the team's weight in fair queues and in batch shares."""
        return max(self.rate, 0.001)

    @property
    def max_running(self) -> int:
        """Return how many online requests of the team one host runs at once."""
        return self.burst + math.ceil(self.rate * RUNNING_S)

    @property
    def max_jobs(self) -> int:
        """Return how many unfinished batch jobs the team may have."""
        return max(10, math.ceil(self.rate * JOBS_PER_RATE))


@attrs.frozen
class Key:
    """Hold one caller's key as the hash of its secret; ``id`` names it openly."""

    id: str
    team: str
    digest: str


class ServiceKind(enum.Enum):
    """Tell model services from plain ones."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class Service:
    """Describe a service that backend servers offer."""

    name: str
    kind: ServiceKind = ServiceKind.MODEL
    models: tuple[str, ...] = ()


@attrs.frozen
class Route:
    """Map a path prefix to a service.

    ``idempotent_methods`` lists the HTTP methods whose calls may be repeated. An
    ``open`` route needs no key.
    """

    path: str
    service: str
    open: bool = False
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")


@attrs.frozen
class Server:
    """Hold an operator's settings for one backend server, named by its address."""

    address: str
    drained: bool = False
    checks_fencing: bool = False


Item = Contract | Key | Service | Route | Server


class ItemKind(enum.Enum):
    """Name the kinds of configuration objects."""

    CONTRACT = "contract"
    KEY = "key"
    SERVICE = "service"
    ROUTE = "route"
    SERVER = "server"


ITEM_TYPES: dict[ItemKind, type] = {
    ItemKind.CONTRACT: Contract,
    ItemKind.KEY: Key,
    ItemKind.SERVICE: Service,
    ItemKind.ROUTE: Route,
    ItemKind.SERVER: Server,
}


@attrs.frozen
class Change:
    """Record one accepted change; ``value`` is None for a removal.

    ``version`` is the configuration's version after the change. ``at`` is in Unix
    seconds. ``id`` differs for each attempt to change the configuration.
    """

    version: int
    kind: ItemKind
    name: str
    value: Item | None
    who: str
    at: float
    id: str = ""


@attrs.frozen
class View:
    """Hold the whole configuration as of one version.

    ``versions`` maps ``kind/name`` to the version that last changed the object.
    """

    version: int = 0
    contracts: dict[str, Contract] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)  # by digest
    services: dict[str, Service] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    servers: dict[str, Server] = attrs.field(factory=dict)
    versions: dict[str, int] = attrs.field(factory=dict)

    def find(self, kind: ItemKind, name: str) -> Item | None:
        """Return an object by its name (a key by its id), or None."""
        if kind is ItemKind.KEY:
            return next((k for k in self.keys.values() if k.id == name), None)
        return getattr(self, _FIELDS[kind]).get(name)

    def object_version(self, kind: ItemKind, name: str) -> int:
        """Return the version that last changed an object, or 0 when absent."""
        return self.versions.get(f"{kind.value}/{name}", 0)

    def apply(self, changes: collections.abc.Iterable[Change]) -> "View":
        """Return the view after changes that directly follow one another."""
        fields = {field: dict(getattr(self, field)) for field in _FIELDS.values()}
        versions = dict(self.versions)
        version = self.version
        for change in changes:
            if change.version != version + 1:
                raise ValueError(f"change {change.version} after {version}")
            version = change.version
            _replace(fields[_FIELDS[change.kind]], change)
            versions.pop(f"{change.kind.value}/{change.name}", None)
            if change.value is not None:
                versions[f"{change.kind.value}/{change.name}"] = version
        return attrs.evolve(self, version=version, versions=versions, **fields)


_FIELDS = {
    ItemKind.CONTRACT: "contracts",
    ItemKind.KEY: "keys",
    ItemKind.SERVICE: "services",
    ItemKind.ROUTE: "routes",
    ItemKind.SERVER: "servers",
}


def _replace(items: dict, change: Change) -> None:
    if change.kind is ItemKind.KEY:
        stale = [digest for digest, key in items.items() if key.id == change.name]
        for digest in stale:
            del items[digest]
    else:
        items.pop(change.name, None)
    if change.value is None:
        return
    index = change.value.digest if change.kind is ItemKind.KEY else change.name
    items[index] = change.value


def digest(secret: str) -> str:
    """Return the digest under which a key's secret is stored, as 64 hex digits."""
    return hashlib.sha256(secret.encode()).hexdigest()


converter = cattrs.Converter()


def change_to_row(change: Change) -> dict:
    """Return a change as a JSON-compatible mapping."""
    return converter.unstructure(change)


def change_from_row(row: dict) -> Change:
    """Return the change that ``change_to_row`` wrote."""
    kind = ItemKind(row["kind"])
    value = row["value"]
    item = None if value is None else converter.structure(value, ITEM_TYPES[kind])
    return Change(
        version=row["version"],
        kind=kind,
        name=row["name"],
        value=item,
        who=row["who"],
        at=row["at"],
        id=row.get("id", ""),
    )


def view_to_bytes(view: View) -> bytes:
    """Return a whole view in the snapshot format."""
    text = json.dumps(converter.unstructure(view), separators=(",", ":"))
    return zlib.compress(text.encode())


def view_from_bytes(data: bytes) -> View:
    """Return the view that ``view_to_bytes`` wrote."""
    return converter.structure(json.loads(zlib.decompress(data)), View)
