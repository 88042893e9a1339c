"""Know the backend servers, from the host list, the configuration and reports."""

import logging

import attrs

from turmerictally import clock as clocks
from turmerictally.config import model
from turmerictally.store import hosts

logger = logging.getLogger(__name__)

# Time for the list to show a server's new instance before it is used unconfirmed.
CONFIRM_S = 10.0


@attrs.frozen
class Server:
    """Describe one backend server as it is listed."""

    address: str
    instance: str
    region: str
    failure_domain: str
    service: str
    models: tuple[str, ...] = ()


@attrs.frozen
class ServerRequirements:
    """State what a request needs; ``prefix`` is empty without affinity."""

    service: str
    model: str = ""
    prefix: str = ""

    @property
    def group(self) -> str:
        """Return the name under which the servers are grouped."""
        return f"{self.service}/{self.model}"


@attrs.define
class SelfReport:
    """Hold what a server's own answers showed; ``hold_until`` is monotonic."""

    instance: str = ""
    leaving: bool = False
    hold_until: float = 0.0


class ServerDirectory:
    """Keep every known server and whether it takes new work."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.version = 0
        self.by_address: dict[str, Server] = {}
        self.listed_leaving: set[str] = set()
        self.drained: frozenset[str] = frozenset()
        self.self_reports: dict[str, SelfReport] = {}
        self.listed: dict[str, hosts.ListedHost] = {}
        self.groups: dict[str, dict[str, dict[str, None]]] = {}

    def update(self, listed: list[hosts.ListedHost]) -> None:
        """Replace the list; a stale list never revives a leaving instance.

        Work grows with the number of changed servers, beside one comparison of each.
        """
        current = {host.address: host for host in listed}
        before = self.listed
        changed = [a for a, host in current.items() if before.get(a) != host]
        gone = before.keys() - current.keys()
        self.listed = current
        for address in [*gone, *changed]:
            self._replace(address, current.get(address))
        if gone or changed:
            self.version += 1
        for address in self.self_reports.keys() & current.keys():
            self._confirm(self.by_address[address])

    def _replace(self, address: str, host: hosts.ListedHost | None) -> None:
        old = self.by_address.pop(address, None)
        if old is not None:
            self._leave_groups(old)
        self.listed_leaving.discard(address)
        if host is None:
            self.self_reports.pop(address, None)
            return
        if host.status is hosts.Status.LEAVING:
            self.listed_leaving.add(address)
        server = _server(host)
        seen = self.self_reports.get(address)
        relisted = old is not None and old.instance != server.instance
        if seen is not None and relisted and seen.instance != server.instance:
            self.self_reports[address] = SelfReport(instance=server.instance)
        self.by_address[address] = server
        self._join_groups(server)

    def _join_groups(self, server: Server) -> None:
        for name in _names(server):
            domains = self.groups.setdefault(name, {})
            domains.setdefault(server.failure_domain, {})[server.address] = None

    def _leave_groups(self, server: Server) -> None:
        for name in _names(server):
            domains = self.groups[name]
            del domains[server.failure_domain][server.address]
            if not domains[server.failure_domain]:
                del domains[server.failure_domain]
            if not domains:
                del self.groups[name]

    def _confirm(self, server: Server) -> None:
        seen = self.self_reports[server.address]
        if seen.instance == server.instance:
            seen.hold_until = 0.0

    def apply_configuration(self, view: model.View) -> None:
        """Take the drained servers from a configuration."""
        drained = [a for a, server in view.servers.items() if server.drained]
        self.drained = frozenset(drained)

    def record_self_report(self, address: str, instance: str, leaving: bool) -> bool:
        """Note a server's own report; return whether its instance is another one."""
        now = self.clock.monotonic()
        seen = self.self_reports.setdefault(address, SelfReport())
        changed = bool(seen.instance and instance and seen.instance != instance)
        if changed:
            logger.info("Backend server %s was replaced by another instance.", address)
            listed = self.by_address.get(address)
            confirmed = listed is not None and listed.instance == instance
            seen.leaving = False
            seen.hold_until = 0.0 if confirmed else now + CONFIRM_S
        if instance:
            seen.instance = instance
        if leaving and not seen.leaving:
            logger.info("Backend server %s reports that it leaves.", address)
        seen.leaving = leaving
        return changed

    def takes_work(self, address: str) -> bool:
        """Return whether a server may get new work."""
        if address not in self.by_address:
            return False
        if address in self.listed_leaving or address in self.drained:
            return False
        seen = self.self_reports.get(address)
        if seen is None:
            return True
        return not seen.leaving and seen.hold_until <= self.clock.monotonic()

    def addresses_by_domain(self, name: str) -> dict[str, list[str]]:
        """Return addresses by failure domain for a ``ServerRequirements.name``."""
        domains = self.groups.get(name, {})
        return {domain: list(found) for domain, found in domains.items()}


def _server(host: hosts.ListedHost) -> Server:
    return Server(
        address=host.address,
        instance=host.instance,
        region=host.region,
        failure_domain=host.failure_domain,
        service=host.service,
        models=tuple(host.models),
    )


def _names(server: Server) -> list[str]:
    models = ("", *server.models)
    return [
        ServerRequirements(server.service, name).group for name in dict.fromkeys(models)
    ]
