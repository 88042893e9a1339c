"""Define the interface of the platform's host list, which is eventually consistent."""

import enum
import typing

import attrs


class Role(enum.Enum):
    """Name the kind of a listed host."""

    ENTRY = "entry"
    BACKEND_SERVER = "backend_server"


class Status(enum.Enum):
    """Name the listed state of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedHost:
    """Describe one entry of the platform's host list.

    ``address`` is ``ip:port``: the peer listener of an entry host, or the HTTP
    listener of a backend server. ``instance`` is unique to each start of a host.
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

        Raises ``table.UnavailableError`` if the list cannot be read.
        """

    async def register(self, host: ListedHost) -> None:
        """Add this host's entry, or update it after a change of status."""

    async def deregister(self, host_id: str, instance: str) -> None:
        """Remove the entry of this host's ``instance``."""
