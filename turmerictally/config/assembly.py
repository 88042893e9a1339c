"""Put the configuration's parts of one host together."""

import logging

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.config import audit, keys, operations, replica, spread, store, sync
from turmerictally.membership import detector, members
from turmerictally.peers import calls
from turmerictally.store import hosts, objects, table

logger = logging.getLogger(__name__)

MAINTAIN_S = 30.0


@attrs.define
class Configuration:
    """Hold the configuration and the membership of one host."""

    replica: replica.Replica
    store: store.Store
    sync: sync.Synchronizer
    spread: spread.Spreader
    trail: audit.Trail
    keys: keys.KeyRing
    operations: operations.Operations
    members: members.Members
    detector: detector.Detector

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run every task of the configuration; started once this host may serve."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.detector.run)
            nursery.start_soon(self.trail.run)
            nursery.start_soon(self.keys.run)
            await self.sync.start()
            nursery.start_soon(self.sync.run)
            nursery.start_soon(self._maintain)
            task_status.started()

    async def stop(self) -> None:
        """Announce that this host leaves, and write what is buffered.

        Call it once no request runs; this host must not serve afterwards.
        """
        await self.detector.leave()
        await self.trail.flush()
        await self.sync.stop()

    async def _maintain(self) -> None:
        """Write snapshots and compact, on hosts that committed since the last one."""
        while True:
            await trio.sleep(MAINTAIN_S)
            if not self._is_snapshot_due():
                continue
            try:
                head = await self.sync.catch_up()
                await self.store.snapshot(head, self.replica.view)
                await self.store.compact(head)
            except (table.UnavailableError, table.ConflictError, KeyError):
                logger.info("The snapshot is put off.")

    def _is_snapshot_due(self) -> bool:
        latest = self.sync.snapshot
        enough = self.replica.view.version - latest >= self.store.snapshot_every
        return enough and self.operations.last_version > latest


def build(
    config: settings.Settings,
    instance: str,
    rows: table.Table,
    snapshots: objects.Objects,
    listing: hosts.HostList,
    peers: calls.Peers,
    clock: clocks.Clock,
) -> Configuration:
    """Return the parts of a host; ``instance`` differs for each start."""
    claim = members.Claim(
        id=config.host_id,
        instance=instance,
        address=config.listen.peers,
        region=config.region,
        failure_domain=config.failure_domain,
        state=members.State.LIVE,
        incarnation=int(clock.wall() * 1000),
    )
    known = members.Members(claim, clock, config.membership.suspicion_s)
    copy = replica.Replica(clock, config.config.max_staleness_s)
    history = store.Store(rows, snapshots, clock, config.config.snapshot_every)
    me = store.Host(claim.id, instance, claim.address, claim.failure_domain)
    seeds = tuple(config.membership.seeds)
    synchronizer = sync.Synchronizer(
        me, copy, history, known, peers, config.config, clock, seeds
    )
    spreader = spread.Spreader(synchronizer, known, peers, config.config, clock)
    trail = audit.Trail(rows, clock)
    return Configuration(
        replica=copy,
        store=history,
        sync=synchronizer,
        spread=spreader,
        trail=trail,
        keys=keys.KeyRing(copy),
        operations=operations.Operations(synchronizer, spreader, trail, clock),
        members=known,
        detector=detector.Detector(
            known, peers, listing, config.membership, clock, synchronizer
        ),
    )
