"""Assemble the online path of one host."""

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

# Time for a stopping host to store the outcomes of claimed requests.
CLAIMS_TIMEOUT_S = 5.0


@attrs.define
class Online:
    """Hold the components of one host's online path."""

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
        """Preempt batch work and wait until the outcomes of claims are stored."""
        self.gate.preempt_all()
        with trio.move_on_after(CLAIMS_TIMEOUT_S):
            await self.claims.drain()


def build(
    config: settings.Settings,
    instance: str,
    platform: guard.Platform,
    peer_members: members.Members,
    config_replica: replica.Replica,
    peers: calls.Peers,
    clock: clocks.Clock,
    rng: random.Random,
    record: messages.Record = messages.ignore,
) -> Online:
    """Build the online path of one host; ``instance`` is unique to each start."""
    domain = config.failure_domain
    directory = servers.ServerDirectory(clock)
    config_replica.subscribe(lambda old, new: directory.apply_configuration(new))
    chooser = router.Router(
        config.host_id,
        domain,
        config.routing,
        directory,
        clock=clock,
        rng=rng,
        count_hosts=lambda: 1 + len(peer_members.live(domain)),
    )
    control = engines.EngineClient(clock)
    gate = headroom.BatchGate(
        config.host_id,
        chooser,
        config.batch,
        lambda: [peer_members.me, *peer_members.live()],
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
        is_alive=_is_alive(peer_members),
        address_of=_address_of(peer_members),
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
    return Online(directory, chooser, poller, forwarder, control, claims, path, gate)


def _is_alive(
    peer_members: members.Members,
) -> collections.abc.Callable[[str, str], bool]:
    def is_alive(host_id: str, instance: str) -> bool:
        member = peer_members.by_id.get(host_id)
        return member is not None and member.instance == instance

    return is_alive


def _address_of(
    peer_members: members.Members,
) -> collections.abc.Callable[[str], str | None]:
    def address_of(host_id: str) -> str | None:
        member = peer_members.by_id.get(host_id)
        return None if member is None else member.address

    return address_of
