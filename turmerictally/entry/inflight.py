"""Count requests in flight on each backend server, over all hosts."""

import collections

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import balance, gossip, model
from turmerictally.entry import registry as registries
from turmerictally.routing import health

UNHEALTHY_AFTER = 3  # failures in a row before a server is left out
PROBE_S = 0.8  # until one request may test it; well under the callers' deadlines


@attrs.define(eq=False)
class InFlight:
    """Combine this host's requests with what the other hosts tell of theirs."""

    registry: registries.Registry
    hosts: gossip.Hosts
    clock: clocks.Clock
    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: collections.Counter[str] = attrs.field(factory=collections.Counter)
    circuits: health.Health = attrs.field(
        factory=lambda: health.Health(UNHEALTHY_AFTER, PROBE_S)
    )

    def loads(
        self, service: str, *, but: frozenset[str] = frozenset()
    ) -> list[balance.Load]:
        """Return the load of each server that may get a request now."""
        servers = [s for s in self.registry.usable(service) if s.instance not in but]
        now = self.clock.monotonic()
        healthy = [s for s in servers if self.circuits.allows(s.instance, now)]
        # With none left, a server that failed is better than no answer.
        return [self._load(server) for server in healthy or servers]

    def _load(self, server: model.Server) -> balance.Load:
        name = server.instance
        others = self.hosts.current()
        batch = {d.host: d.batch[name] for d in others if d.batch.get(name)}
        if self.batch[name]:
            batch[self.hosts.host_id] = self.batch[name]
        return balance.Load(
            name=name,
            domain=server.domain,
            slots=server.slots,
            online=self.online[name] + sum(d.online.get(name, 0) for d in others),
            batch_by_host=batch,
        )

    def load(self, name: str) -> balance.Load | None:
        """Return the load of one server."""
        server = self.registry.servers.get(name)
        return None if server is None else self._load(server)
