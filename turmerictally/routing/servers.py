"""Track backend servers from the host list, the configuration and self-reports."""

import logging

import attrs

from turmerictally import clock as clocks
from turmerictally.config import model
from turmerictally.store import hosts

logger = logging.getLogger(__name__)

# How long a new instance may wait for the host list to confirm it.
CONFIRM_TIMEOUT_S = 10.0


@attrs.frozen
class Server:
    """Describe a backend server as registered in the host list."""

    address: str
    instance: str
    region: str
    failure_domain: str
    service: str
    models: tuple[str, ...] = ()


@attrs.frozen
class ServerRequirements:
    """Describe the server a request needs; an empty ``prefix`` disables affinity."""

    service: str
    model: str = ""
    prefix: str = ""

    @property
    def group(self) -> str:
        """Return the name of the group of servers that can serve the request."""
        return f"{self.service}/{self.model}"


@attrs.define
class SelfReport:
    """Hold what a server last reported about itself.

    Until ``confirm_until``, in monotonic seconds, a new instance gets no requests
    unless the host list confirms it.
    """

    instance: str = ""
    leaving: bool = False
    confirm_until: float = 0.0


class ServerDirectory:
    """Look up backend servers and whether they accept new requests."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.version = 0
        self.by_address: dict[str, Server] = {}
        self.listed_leaving: set[str] = set()
        self.drained: frozenset[str] = frozenset()
        self.self_reports: dict[str, SelfReport] = {}
        self.listed_hosts: dict[str, hosts.ListedHost] = {}
        self.groups: dict[str, dict[str, dict[str, None]]] = {}

    def update(self, listed: list[hosts.ListedHost]) -> None:
        """Apply a new host list.

        A stale list does not make a leaving instance available again. Beyond one
        comparison per server, only changed servers are processed.
        """
        current = {host.address: host for host in listed}
        previous = self.listed_hosts
        changed = [a for a, host in current.items() if previous.get(a) != host]
        removed = previous.keys() - current.keys()
        self.listed_hosts = current
        for address in [*removed, *changed]:
            self._update_server(address, current.get(address))
        if removed or changed:
            self.version += 1
        for address in self.self_reports.keys() & current.keys():
            self._confirm(self.by_address[address])

    def _update_server(self, address: str, host: hosts.ListedHost | None) -> None:
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
        reported = self.self_reports.get(address)
        instance_changed = old is not None and old.instance != server.instance
        if (
            reported is not None
            and instance_changed
            and reported.instance != server.instance
        ):
            self.self_reports[address] = SelfReport(instance=server.instance)
        self.by_address[address] = server
        self._join_groups(server)

    def _join_groups(self, server: Server) -> None:
        for group in _groups_of(server):
            domains = self.groups.setdefault(group, {})
            domains.setdefault(server.failure_domain, {})[server.address] = None

    def _leave_groups(self, server: Server) -> None:
        for group in _groups_of(server):
            domains = self.groups[group]
            del domains[server.failure_domain][server.address]
            if not domains[server.failure_domain]:
                del domains[server.failure_domain]
            if not domains:
                del self.groups[group]

    def _confirm(self, server: Server) -> None:
        reported = self.self_reports[server.address]
        if reported.instance == server.instance:
            reported.confirm_until = 0.0

    def apply_configuration(self, view: model.View) -> None:
        """Update the set of drained servers from a configuration."""
        drained = [a for a, server in view.servers.items() if server.drained]
        self.drained = frozenset(drained)

    def record_self_report(self, address: str, instance: str, leaving: bool) -> bool:
        """Store a server's report; return whether its instance was replaced."""
        now = self.clock.monotonic()
        reported = self.self_reports.setdefault(address, SelfReport())
        was_replaced = bool(
            reported.instance and instance and reported.instance != instance
        )
        if was_replaced:
            logger.info("Backend server %s was restarted as a new instance.", address)
            listed = self.by_address.get(address)
            confirmed = listed is not None and listed.instance == instance
            reported.leaving = False
            reported.confirm_until = 0.0 if confirmed else now + CONFIRM_TIMEOUT_S
        if instance:
            reported.instance = instance
        if leaving and not reported.leaving:
            logger.info("Backend server %s reports that it is leaving.", address)
        reported.leaving = leaving
        return was_replaced

    def accepts_requests(self, address: str) -> bool:
        """Return whether a server accepts new requests."""
        if address not in self.by_address:
            return False
        if address in self.listed_leaving or address in self.drained:
            return False
        reported = self.self_reports.get(address)
        if reported is None:
            return True
        return not reported.leaving and reported.confirm_until <= self.clock.monotonic()

    def addresses_by_domain(self, group: str) -> dict[str, list[str]]:
        """Return a group's server addresses by failure domain."""
        domains = self.groups.get(group, {})
        return {domain: list(addresses) for domain, addresses in domains.items()}


def _server(host: hosts.ListedHost) -> Server:
    return Server(
        address=host.address,
        instance=host.instance,
        region=host.region,
        failure_domain=host.failure_domain,
        service=host.service,
        models=tuple(host.models),
    )


def _groups_of(server: Server) -> list[str]:
    models = ("", *server.models)
    return [
        ServerRequirements(server.service, name).group for name in dict.fromkeys(models)
    ]
