"""Count requests in flight on each backend server, over all hosts."""

import collections

import attrs

from turmerictally import clock as clocks
from turmerictally.entry import balance, gossip, model
from turmerictally.entry import registry as registries
from turmerictally.routing import health

# Failures in a row before a server is left out: one in fifty answers may be spoilt by
# a sound server, two in a row are rare.
UNHEALTHY_AFTER = 2
PROBE_S = 0.8  # until one request may test it; well under the callers' deadlines
# An own success this recent goes before what other hosts tell of a server, which may
# fail on their way only.
TRUSTED_S = 1.0


@attrs.define(eq=False)
class InFlight:
    """Combine this host's requests with what the other hosts tell of theirs."""

    registry: registries.Registry
    hosts: gossip.Hosts
    clock: clocks.Clock
    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: collections.Counter[str] = attrs.field(factory=collections.Counter)
    succeeded_at: dict[str, float] = attrs.Factory(dict)
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
        told = {name for digest in self.hosts.audible() for name in digest.failing}
        trusted = [
            s
            for s in healthy
            if s.instance not in told
            or now - self.succeeded_at.get(s.instance, float("-inf")) < TRUSTED_S
        ]
        # With none left, a server that failed is better than no answer.
        return [self._load(server) for server in trusted or healthy or servers]

    def succeeded(self, name: str) -> None:
        """Note that a server answered."""
        self.succeeded_at[name] = self.clock.monotonic()
        self.circuits.succeeded(name)

    def failed(self, name: str, *, refused: bool) -> None:
        """Note that a server did not answer; ``refused`` when not even connected."""
        self.circuits.failed(name, self.clock.monotonic(), refused=refused)

    def failing(self) -> list[str]:
        """Return the servers that this host leaves out."""
        found = self.circuits.circuits.items()
        return [name for name, circuit in found if circuit.open]

    def forget(self, name: str) -> None:
        """Drop a server that is gone."""
        del self.online[name]
        self.succeeded_at.pop(name, None)
        self.circuits.forget(name)

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
