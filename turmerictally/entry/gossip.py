"""Tell the other hosts, by datagrams, what this one has in flight."""

import collections.abc
import json

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import network
from turmerictally.entry import trace as traces
from turmerictally.store import rows

# Between two digests: a sixth of the usual latency objective, and with many hosts so
# long that a host takes about 250 of them a second.
PERIOD_S = 0.05
MAX_DIGESTS_PER_S = 250.0
NUDGE_S = 0.02  # least time between two digests when a server has become full
SILENT_S = 0.4  # eight digests in a row, or a host that was busy that long
SILENT_PERIODS = 3  # of longer periods, with many hosts
FORGET_S = 2.5  # after this a silent host's requests count as ended
FORGET_SILENCES = 2  # the same, with many hosts
MAX_BYTES = 60_000  # of a datagram that can be sent
RENEW_S = 1.5  # between renewals of this host's row
# A host whose row was not renewed for this long no longer counts for the quotas; it
# has itself given up its share before, as it cannot renew.
EXPIRE_S = 30.0
TABLE = "hosts"


@attrs.frozen
class Digest:
    """Hold what a host tells: counts by server, requests admitted and asked by team.

    ``failing`` names the servers it leaves out; ``ages`` gives for each followed table
    its version and age in seconds.
    """

    host: str
    instance: str
    address: str
    sequence: int
    online: dict[str, int]
    batch: dict[str, int]
    waiting: int
    spent: dict[str, int]
    asked: dict[str, int]
    ages: dict[str, tuple[int, float]]
    store_age_s: float
    failing: list[str]
    stopping: bool = False

    def encode(self) -> bytes:
        """Return the datagram."""
        return json.dumps(attrs.astuple(self), separators=(",", ":")).encode()


def decode(data: bytes) -> Digest | None:
    """Return a digest, or None for other bytes."""
    try:
        fields = json.loads(data)
        digest = Digest(*fields)
        if not isinstance(digest.host, str) or not isinstance(digest.sequence, int):
            return None
        return digest
    except (ValueError, TypeError):
        return None


@attrs.define
class Peer:
    """Hold the last digest of another host; ``heard_at`` is monotonic seconds."""

    digest: Digest
    heard_at: float
    silent: bool = False


@attrs.frozen
class Listed:
    """Hold a host's row: where it is and when it was seen renewed (monotonic)."""

    host: str
    instance: str
    address: str
    renewals: int
    seen_at: float


@attrs.define(eq=False)
class Hosts:
    """Know the other hosts from their rows and their digests."""

    host_id: str
    instance: str
    clock: clocks.Clock
    trace: traces.Trace
    on_silent: collections.abc.Callable[[str], None] = lambda host: None
    listed: dict[str, Listed] = attrs.Factory(dict)
    peers: dict[str, Peer] = attrs.Factory(dict)

    def update(self, changed: list[rows.Row]) -> None:
        """Take changed rows of the hosts' table."""
        now = self.clock.monotonic()
        for row in changed:
            name = row.address.key
            if row.value is None:
                self.listed.pop(name, None)
                self.trace.emit("host_left", host=name)
                continue
            try:
                given = json.loads(row.value)
                found = Listed(
                    name,
                    str(given["instance"]),
                    str(given["address"]),
                    int(given["renewals"]),
                    now,
                )
            except (ValueError, KeyError, TypeError) as error:
                self.trace.emit("host_unreadable", host=name, reason=repr(error))
                continue
            before = self.listed.get(name)
            self.listed[name] = found
            if before is None or before.instance != found.instance:
                self.trace.emit("host", host=name, instance=found.instance)

    def hear(self, digest: Digest) -> bool:
        """Take a digest; return whether it is news."""
        if digest.host == self.host_id:
            return False
        peer = self.peers.get(digest.host)
        same = peer is not None and peer.digest.instance == digest.instance
        if same and peer.digest.sequence >= digest.sequence:
            return False
        if peer is None or peer.silent or not same:
            self.trace.emit("peer_heard", host=digest.host, instance=digest.instance)
        self.peers[digest.host] = Peer(digest, self.clock.monotonic())
        return True

    def period_s(self) -> float:
        """Return the seconds between two digests of one host."""
        return max(PERIOD_S, len(self.listed) / MAX_DIGESTS_PER_S)

    def silent_s(self) -> float:
        """Return the silence after which a host is not heard any more."""
        return max(SILENT_S, SILENT_PERIODS * self.period_s())

    def expire(self) -> None:
        """Note who fell silent."""
        now = self.clock.monotonic()
        silent_s = self.silent_s()
        forget_s = max(FORGET_S, FORGET_SILENCES * silent_s)
        for name, peer in list(self.peers.items()):
            age = now - peer.heard_at
            if age > silent_s and not peer.silent:
                peer.silent = True
                self.on_silent(name)
                self.trace.emit("peer_silent", host=name, age_s=round(age, 2))
            if age > forget_s:
                del self.peers[name]

    def current(self) -> list[Digest]:
        """Return the digests that still count for the load."""
        return [peer.digest for peer in self.peers.values()]

    def audible(self) -> list[Digest]:
        """Return the digests of hosts that are heard now."""
        return [peer.digest for peer in self.peers.values() if not peer.silent]

    def is_heard(self, host: str, instance: str) -> bool:
        """Return whether this incarnation of a host is heard now."""
        peer = self.peers.get(host)
        if peer is None or peer.silent:
            return False
        return peer.digest.instance == instance

    def counted(self) -> tuple[int, int]:
        """Return how many hosts are heard, and how many share the quotas."""
        now = self.clock.monotonic()
        names = {
            name
            for name, found in self.listed.items()
            if now - found.seen_at < EXPIRE_S
        }
        heard = {digest.host for digest in self.audible()}
        names |= heard | {self.host_id}
        return 1 + len(heard), len(names)

    def addresses(self) -> list[str]:
        """Return where the other hosts listen."""
        return [
            found.address
            for name, found in self.listed.items()
            if name != self.host_id and found.address
        ]


@attrs.define(eq=False)
class Gossip:
    """Send this host's digest to all others and take theirs."""

    network: network.Network
    hosts: Hosts
    address: str
    make_digest: collections.abc.Callable[[int], Digest]
    on_digest: collections.abc.Callable[[Digest], None]
    sequence: int = 0
    urgent: trio.Event = attrs.field(factory=trio.Event)
    endpoint: network.Datagrams | None = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchange digests until cancelled."""
        self.endpoint = await self.network.datagrams(self.address)
        try:
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send)
                nursery.start_soon(self._receive)
        finally:
            self.endpoint.close()

    def nudge(self) -> None:
        """Send the next digest at once."""
        self.urgent.set()

    async def _send(self) -> None:
        while True:
            self.hosts.expire()
            self.sequence += 1
            data = self.make_digest(self.sequence).encode()
            if len(data) <= MAX_BYTES:
                for address in self.hosts.addresses():
                    await self._send_to(address, data)
            await trio.sleep(NUDGE_S)
            with trio.move_on_after(self.hosts.period_s() - NUDGE_S):
                await self.urgent.wait()
            self.urgent = trio.Event()

    async def _send_to(self, address: str, data: bytes) -> None:
        try:
            await self.endpoint.send_to(address, data)
        except (OSError, ValueError) as error:
            # The next digest repeats all of it.
            self.hosts.trace.emit("digest_not_sent", address=address, reason=str(error))

    async def _receive(self) -> None:
        while True:
            try:
                data = await self.endpoint.receive()
            except OSError as error:
                # An unreachable peer's refusal arrives here as an error.
                self.hosts.trace.emit("digest_not_received", reason=str(error))
                continue
            digest = decode(data)
            if digest is not None and self.hosts.hear(digest):
                self.on_digest(digest)
