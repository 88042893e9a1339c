"""Keep one host's replica up to date, from the platform or from other hosts."""

import logging
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.config import model, replica, store, wire
from turmerictally.membership import members
from turmerictally.peers import calls
from turmerictally.store import table

logger = logging.getLogger(__name__)

SNAPSHOT_PART_BYTES = 256 * 1024
CHANGES_PER_PULL = 200
PULL_TIMEOUT_S = 2.0
START_PEERS = 5
START_RETRY_S = 1.0
# Time for a push to arrive before a version is told to the table instead.
RECORD_DELAY_S = 2.0
# Pulls that one visit to a peer may take, changes and snapshot parts together.
PULLS_PER_VISIT = 100


@attrs.frozen
class Dependent:
    """Hold an unregistered host that took its configuration from this one.

    ``until`` is the local monotonic instant after which it no longer may serve on
    what it took.
    """

    target: wire.Target
    until: float


class Synchronizer:
    """Pull changes whenever the platform or a peer has a newer version.

    A host registers before it takes its freshness from the platform, so that whoever
    commits a change afterwards knows whom to wait for. It registers again after it
    was stale, as its registration may have been removed.
    """

    def __init__(
        self,
        me: store.Host,
        copy: replica.Replica,
        history: store.Store,
        known: members.Members,
        peers: calls.Peers,
        config: settings.Config,
        clock: clocks.Clock,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.me = me
        self.replica = copy
        self.store = history
        self.members = known
        self.peers = peers
        self.config = config
        self.clock = clock
        self.seeds = seeds
        self.registered = False
        self.snapshot = 0
        self.confirmed = 0
        self.dependents: dict[str, Dependent] = {}
        self.cached: tuple[int, bytes] = (0, b"")
        self.lock = trio.Lock()
        self.hints, self.hinted = trio.open_memory_channel[str](1)
        self.rng = random.Random(f"{me.id}/{me.instance}/sync")
        peers.handle(calls.Kind.CONFIG_PULL, self.on_pull)

    async def start(self) -> None:
        """Return once this host holds a configuration on which it may serve."""
        while self.replica.is_stale():
            if not await self.poll():
                await self.ask_peers()
            if self.replica.is_stale():
                await trio.sleep(START_RETRY_S)
        self.confirmed = self.replica.view.version

    async def run(self) -> None:
        """Poll the platform and follow hints from peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_hints)
            nursery.start_soon(self._record)
            while True:
                await trio.sleep(self.poll_interval())
                if not await self.poll() and not self.registered:
                    await self.ask_peers()

    async def stop(self) -> None:
        """Remove the registration; this host must not serve afterwards."""
        try:
            await self.store.deregister(self.me.id, self.me.instance)
        except (table.UnavailableError, table.ConflictError):
            logger.warning("The registration could not be removed.")

    def poll_interval(self) -> float:
        """Return seconds to the next poll; hosts of one domain share the polling."""
        hosts = 1 + len(self.members.live(self.me.failure_domain))
        return self.config.poll_s * hosts * self.rng.uniform(0.5, 1.5)

    def ready(self) -> None:
        """Raise ``errors.Error`` unless this host may serve on what it holds."""
        if self.replica.freshness is None:
            raise errors.Error(errors.Kind.NOT_READY, retry_after_s=START_RETRY_S)
        if self.replica.is_stale():
            raise errors.Error(
                errors.Kind.CONFIGURATION_STALE, retry_after_s=self.config.poll_s
            )

    def digest(self) -> tuple[int, float | None]:
        """Return the version in force and the age of its freshness in seconds."""
        return self.replica.view.version, self.replica.age()

    def receive_digest(
        self, address: str, version: int, age_s: float | None, sent_at: float | None
    ) -> None:
        """Pull from a peer that is ahead; take over the freshness of an equal one."""
        if version > self.replica.view.version:
            self.hint(address)
        elif sent_at is not None and age_s is not None and self.registered:
            self.replica.confirm(version, sent_at - _grown(age_s))

    def hint(self, address: str) -> None:
        """Note that a peer has a newer version."""
        try:
            self.hints.send_nowait(address)
        except trio.WouldBlock:
            logger.debug("Already pulling.")

    async def poll(self) -> bool:
        """Bring the replica up to the platform's head; return False on an outage."""
        try:
            await self.catch_up()
        except (table.UnavailableError, KeyError):
            return False
        return True

    async def catch_up(self) -> store.Head:
        """Read the head and apply what is missing.

        Raises ``table.UnavailableError``, or ``KeyError`` when the snapshot was
        replaced in the meantime.
        """
        if self.replica.is_stale():
            self.registered = False
        if not self.registered:
            await self.store.register(self.me)
            self.registered = True
        read_at = self.clock.monotonic()
        head = await self.store.head()
        self.snapshot = max(self.snapshot, head.snapshot)
        async with self.lock:
            await self._load(head)
        self.replica.confirm(head.version, read_at)
        return head

    async def ask_peers(self) -> None:
        """Take the highest version, and the best freshness, of several peers."""
        addresses = self._peer_addresses()
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self.pull, address)

    async def pull(self, address: str) -> bool:
        """Bring the replica up to a peer's version; return False if that fails."""
        async with self.lock:
            try:
                return await self._pull(address)
            except errors.Error:
                return False

    async def on_pull(self, caller: calls.Caller, body: bytes) -> bytes:
        """Answer a pull; remember callers that depend on this host's freshness."""
        pull = wire.decode_pull(body)
        self._remember(pull)
        view = self.replica.view
        changes = self.replica.since(pull.after)
        if pull.snapshot_version:
            changes = None
        if changes is not None:
            version = view.version
            if len(changes) > CHANGES_PER_PULL:
                changes = changes[:CHANGES_PER_PULL]
            reply = wire.Pulled(version, self.replica.age(), tuple(changes))
        else:
            reply = self._part(pull)
        return wire.encode_pulled(reply)

    def current_dependents(self) -> tuple[wire.Target, ...]:
        """Return unregistered hosts that may still serve on what they took."""
        now = self.clock.monotonic()
        for host_id, dependent in list(self.dependents.items()):
            if now >= dependent.until:
                del self.dependents[host_id]
        return tuple(one.target for one in self.dependents.values())

    async def _load(self, head: store.Head) -> None:
        version = self.replica.view.version
        if head.version <= version:
            return
        changes = await self.store.changes(version)
        if changes and self.replica.apply(changes):
            return
        self.replica.adopt(await self.store.load(head))

    async def _pull(self, address: str) -> bool:
        parts = b""
        snapshot = 0
        for _ in range(PULLS_PER_VISIT):
            sent_at = self.clock.monotonic()
            pulled = await self._request(address, snapshot, len(parts))
            if pulled.snapshot_version:
                if pulled.snapshot_version != snapshot:
                    parts = b""
                    snapshot = pulled.snapshot_version
                    if len(pulled.snapshot_part) < pulled.snapshot_size:
                        parts = pulled.snapshot_part
                        continue
                parts += pulled.snapshot_part
                if len(parts) < pulled.snapshot_size:
                    continue
                self.replica.adopt(model.view_from_bytes(parts))
                parts, snapshot = b"", 0
                continue
            if not self.replica.apply(pulled.changes):
                return False
            if self.replica.view.version >= pulled.version:
                self._confirm(pulled, sent_at)
                return True
        return False

    async def _request(self, address: str, snapshot: int, offset: int) -> wire.Pulled:
        pull = wire.Pull(
            after=self.replica.view.version,
            snapshot_version=snapshot,
            snapshot_offset=offset,
            registered=self.registered,
            host=wire.target(self.me),
        )
        deadline = self.clock.monotonic() + PULL_TIMEOUT_S
        kind = calls.Kind.CONFIG_PULL
        body = wire.encode_pull(pull)
        reply = await self.peers.call(address, kind, body, deadline=deadline)
        return wire.decode_pulled(reply)

    def _confirm(self, pulled: wire.Pulled, sent_at: float) -> None:
        if pulled.age_s is not None:
            self.replica.confirm(pulled.version, sent_at - _grown(pulled.age_s))

    def _part(self, pull: wire.Pull) -> wire.Pulled:
        if self.cached[0] != pull.snapshot_version or not pull.snapshot_version:
            view = self.replica.view
            if self.cached[0] != view.version:
                self.cached = (view.version, model.view_to_bytes(view))
        version, data = self.cached
        start = pull.snapshot_offset if version == pull.snapshot_version else 0
        return wire.Pulled(
            version=self.replica.view.version,
            age_s=self.replica.age(),
            snapshot_version=version,
            snapshot_size=len(data),
            snapshot_part=data[start : start + SNAPSHOT_PART_BYTES],
        )

    def _remember(self, pull: wire.Pull) -> None:
        if pull.registered:
            self.dependents.pop(pull.host.host_id, None)
            return
        limit = self.replica.max_staleness_s * (1 + replica.DRIFT_RATIO)
        until = self.clock.monotonic() + limit
        self.dependents[pull.host.host_id] = Dependent(pull.host, until)

    def _peer_addresses(self) -> list[str]:
        live = [member.address for member in self.members.live()]
        near = [m.address for m in self.members.live(self.me.failure_domain)]
        self.rng.shuffle(live)
        self.rng.shuffle(near)
        seeds = [address for address in self.seeds if address != self.me.address]
        ordered = near[:2] + live + seeds
        return list(dict.fromkeys(ordered))[:START_PEERS]

    async def _record(self) -> None:
        """Confirm in the table what no push brought, as when domains are cut off."""
        while True:
            await self.replica.changed(self.confirmed)
            await trio.sleep(RECORD_DELAY_S * self.rng.uniform(0.75, 1.25))
            version = self.replica.view.version
            if version <= self.confirmed or not self.registered:
                continue
            try:
                self.registered = await self.store.record(self.me, version)
                self.confirmed = version
            except (table.UnavailableError, table.ConflictError):
                logger.info("Version %d is not recorded yet.", version)

    async def _follow_hints(self) -> None:
        async for address in self.hinted:
            await self.pull(address)


def _grown(age_s: float) -> float:
    return age_s * (1 + replica.DRIFT_RATIO)
