"""Put the online path's parts of one host together."""

import collections.abc
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.config import replica
from turmerictally.membership import members
from turmerictally.online import forward, idempotency, messages, pipeline
from turmerictally.peers import calls
from turmerictally.routing import engines, headroom, polling, router, servers
from turmerictally.store import budget, guard

# Time in seconds for a stopping host to store the ends of claimed requests.
CLAIMS_TIMEOUT_S = 5.0


@attrs.define
class Online:
    """Hold the online path of one host."""

    servers: servers.ServerDirectory
    router: router.Router
    poller: polling.Poller
    forwarder: forward.Forwarder
    engines: engines.EngineClient
    claims: idempotency.Claims
    pipeline: pipeline.Pipeline
    gate: headroom.BatchGate

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run every task of the online path until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.pipeline.serve)
                nursery.start_soon(self.claims.run)
                nursery.start_soon(self.gate.run)
                nursery.start_soon(self.poller.run)
                task_status.started()
        finally:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                await self.forwarder.aclose()
                await self.engines.aclose()

    async def stop(self) -> None:
        """Hand the batch work back and store what is known of claimed requests."""
        self.gate.preempt_all()
        with trio.move_on_after(CLAIMS_TIMEOUT_S):
            await self.claims.drain()


def build(
    config: settings.Settings,
    instance: str,
    platform: guard.Platform,
    known: members.Members,
    copy: replica.Replica,
    peers: calls.Peers,
    clock: clocks.Clock,
    rng: random.Random,
    record: messages.Record = messages.ignore,
) -> Online:
    """Return the online path of one host; ``instance`` differs for each start."""
    domain = config.failure_domain
    listed = servers.ServerDirectory(clock)
    copy.subscribe(lambda old, new: listed.apply_configuration(new))
    chooser = router.Router(
        config.host_id,
        domain,
        config.routing,
        listed,
        clock=clock,
        rng=rng,
        count_hosts=lambda: 1 + len(known.live(domain)),
    )
    control = engines.EngineClient(clock)
    gate = headroom.BatchGate(
        config.host_id,
        chooser,
        config.batch,
        lambda: [known.me, *known.live()],
        peers,
        clock=clock,
    )
    poller = polling.Poller(
        chooser,
        control,
        platform.hosts,
        config.routing,
        clock=clock,
        rng=rng,
        extra_addresses=lambda: list(gate.owned()),
    )
    forwarder = forward.Forwarder(config.online, clock)
    claims = idempotency.Claims(
        config.host_id,
        instance,
        platform.table_in(budget.Lane.ONLINE),
        platform.objects_in(budget.Lane.ONLINE),
        peers,
        config.online,
        clock=clock,
        rng=rng,
        is_alive=_is_alive(known),
        address_of=_address_of(known),
    )
    path = pipeline.Pipeline(
        config,
        chooser,
        forwarder,
        control,
        claims,
        clock=clock,
        rng=rng,
        record=record,
        mark_active=poller.mark_active,
    )
    poller.on_report.append(gate.load_reported)
    poller.on_report.append(path.load_reported)
    return Online(listed, chooser, poller, forwarder, control, claims, path, gate)


def _is_alive(known: members.Members) -> collections.abc.Callable[[str, str], bool]:
    def is_alive(host_id: str, instance: str) -> bool:
        found = known.by_id.get(host_id)
        return found is not None and found.instance == instance

    return is_alive


def _address_of(
    known: members.Members,
) -> collections.abc.Callable[[str], str | None]:
    def address_of(host_id: str) -> str | None:
        found = known.by_id.get(host_id)
        return None if found is None else found.address

    return address_of
