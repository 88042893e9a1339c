"""Define the interface of the platform's host list, which lags behind the truth."""

import enum
import typing

import attrs


class Role(enum.Enum):
    """Name what a listed host does."""

    ENTRY = "entry"
    BACKEND_SERVER = "backend_server"


class Status(enum.Enum):
    """Name the listed state of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedHost:
    """Describe one host of the platform's list.

    ``address`` is ``ip:port``: the peer listener of an entry host, or the HTTP
    listener of a backend server. ``instance`` differs for each start of a host.
    ``models`` and ``service`` are set for backend servers only.
    """

    id: str
    instance: str
    role: Role
    address: str
    region: str
    failure_domain: str
    status: Status = Status.LIVE
    service: str = ""
    models: tuple[str, ...] = ()


class HostList(typing.Protocol):
    """Read the platform's list of live and leaving hosts."""

    async def list(self, role: Role) -> list[ListedHost]:
        """Return the listed hosts of a role.

        Raises ``table.UnavailableError`` when the list cannot be read.
        """

    async def register(self, host: ListedHost) -> None:
        """Announce this host or its new status to the platform."""

    async def deregister(self, host_id: str, instance: str) -> None:
        """Remove this host from the list."""
