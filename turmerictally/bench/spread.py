"""Measure how hosts learn of each other's load, in virtual time."""

import collections
import random
import statistics
import time

import attrs
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally.bench import report
from turmerictally.entry import dissemination, gossip, trace
from turmerictally.standins import fabric

NAME = "spread"
SUMMARY = "how soon hosts know each other's load, and at what cost"
SIZES = (30, 100, 200, 400)
DOMAINS = 6
CHANGES_PER_S = 2.0  # of one host: a request a second that begins and ends
WARM_UP_S = 2.5
LOSS_RATIO = 0.005  # of datagrams


@attrs.define(eq=False)
class Member:
    """Hold one host: what it tells and what it has taken."""

    fleet: "Fleet"
    number: int
    instance: str = "i0"
    value: int = 0
    changed_at: float = 0.0
    taken: int = 0
    signs: int = 0
    datagrams: int = 0
    seen: dict = attrs.Factory(dict)
    hosts: gossip.HostDirectory = attrs.field(init=False)
    disseminator: dissemination.Disseminator = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        lines = trace.Trace(self.name)
        lines.emit = lambda *given, **fields: None
        self.hosts = gossip.HostDirectory(
            self.name, self.instance, clocks.Clock(), lines, domain=self.domain
        )
        self.disseminator = dissemination.Disseminator(
            Counted(self.fleet, self),
            self.hosts,
            self.address,
            self.make,
            self.take,
            lambda: None,
            self.take_sign,
        )

    @property
    def name(self) -> str:
        """Return the host's id."""
        return f"h{self.number}"

    @property
    def domain(self) -> str:
        """Return the failure domain."""
        return f"domain-{self.number % DOMAINS}"

    @property
    def ip(self) -> str:
        """Return the IP address."""
        return f"10.{self.number % DOMAINS}.{self.number // 250}.{self.number % 250}"

    @property
    def address(self) -> str:
        """Return where digests go."""
        return f"{self.ip}:7360"

    def list_hosts(self, members: list["Member"]) -> None:
        """Read the hosts' rows."""
        now = trio.current_time()
        for each in members:
            self.hosts.records[each.name] = gossip.HostRecord(
                each.name, each.instance, each.address, 0, now, each.domain
            )

    def change(self) -> None:
        """Begin or end a request."""
        self.value += 1
        self.changed_at = trio.current_time()
        self.disseminator.on_load_change()

    def make(self, sequence: int, full: bool, base: bool) -> gossip.Digest:
        """Return a digest of the usual size."""
        return gossip.Digest(
            self.name,
            self.instance,
            self.address,
            sequence,
            {"i-7f3a91c200": 1, "i-2b3a91c2a1": 1},
            {},
            self.value,
            {"team-0001": self.value},
            {"team-0001": self.value},
            {"servers": (1, 0.1), "jobs": (1, 0.1)} if full else {},
            0.1,
            [],
            domain=self.domain,
            full=full,
            baseline=base,
        )

    def take_sign(self, digest: gossip.Digest) -> None:
        """Count a sign of life."""
        self.signs += 1

    def take(self, digest: gossip.Digest) -> None:
        """Note how late another host's newest change is known."""
        self.taken += 1
        teller = self.fleet.members[int(digest.host[1:])]
        if self.seen.get(digest.host) == digest.items_waiting:
            return
        self.seen[digest.host] = digest.items_waiting
        if digest.items_waiting == teller.value and trio.current_time() > WARM_UP_S:
            self.fleet.ages.append(trio.current_time() - teller.changed_at)


@attrs.define(eq=False)
class Counted:
    """Count one host's datagrams and bytes, and lose a few; a ``network.Network``."""

    fleet: "Fleet"
    member: Member
    inner: object = None

    async def open_datagram_socket(self, address: str) -> "Counted":
        """Bind a datagram socket."""
        self.inner = await self.fleet.links.host(self.member.ip).open_datagram_socket(
            address
        )
        return self

    def send_to(self, address: str, data: bytes) -> None:
        """Send one datagram."""
        counts = self.fleet.counts
        counts["datagrams"] += 1
        counts["bytes"] += len(data)
        if address.split(".")[1] != self.member.ip.split(".")[1]:
            counts["bytes between domains"] += len(data)
        if self.fleet.rng.random() >= self.fleet.loss:
            self.inner.send_to(address, data)

    async def receive(self) -> list[bytes]:
        """Return the datagrams that are here."""
        found = await self.inner.receive()
        self.member.datagrams += len(found)
        return found

    def close(self) -> None:
        """Close at once."""
        self.inner.close()


@attrs.define(eq=False)
class Fleet:
    """Run so many hosts that tell each other what changes."""

    count: int
    relayed: bool = True
    loss: float = LOSS_RATIO
    changes_per_s: float = CHANGES_PER_S
    seed: int = 1
    ages: list = attrs.Factory(list)
    counts: collections.Counter = attrs.Factory(collections.Counter)
    members: list = attrs.Factory(list)
    scopes: dict = attrs.Factory(dict)
    links: fabric.Fabric = attrs.Factory(fabric.Fabric)
    rng: random.Random = attrs.field(init=False)
    nursery: trio.Nursery | None = None

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.members = [Member(self, number) for number in range(self.count)]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start every host."""
        self.nursery = nursery
        for member in self.members:
            member.list_hosts(self.members)
            self.launch(member)
        if self.changes_per_s:
            nursery.start_soon(self._change)

    def launch(self, member: Member) -> None:
        """Start one host."""
        scope = self.scopes[member.number] = trio.CancelScope()
        self.nursery.start_soon(self._run, member, scope)

    async def _run(self, member: Member, scope: trio.CancelScope) -> None:
        with scope:
            await trio.sleep(self.rng.uniform(0.0, 0.3))
            await member.disseminator.run()

    def kill(self, number: int) -> None:
        """End one host."""
        self.scopes[number].cancel()

    def restart(self, number: int) -> None:
        """Start an ended host anew, knowing nothing of the others' digests."""
        before = self.members[number]
        self.members[number] = Member(
            self, number, instance=f"{before.instance}+", value=before.value
        )
        self.members[number].list_hosts(self.members)
        self.launch(self.members[number])

    async def _change(self) -> None:
        while True:
            await trio.sleep(1.0 / (self.changes_per_s * self.count))
            self.rng.choice(self.members).change()


@attrs.frozen
class Measured:
    """Hold what one run showed, a host a second, and ages in seconds."""

    hosts: int
    design: str
    changes: float
    datagrams_taken: float
    digests_taken: float
    signs_taken: float
    most_datagrams_taken: float
    bytes_sent: float
    bytes_between_domains: float
    age_median_s: float
    age_p99_s: float
    wake_ups: float
    processor_ms: float


class Steps(trio.abc.Instrument):
    """Count how often a task goes on."""

    def __init__(self) -> None:
        self.count = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count one."""
        self.count += 1


def measure(
    count: int,
    *,
    relayed: bool,
    seconds: float = 3.0,
    seed: int = 1,
    changes: float = CHANGES_PER_S,
) -> Measured:
    """Return the costs and ages of one design at one size.

    The processor's time includes that of the virtual network.
    """
    fleet = Fleet(count, seed=seed, changes_per_s=changes)
    steps = Steps()
    used_s = 0.0
    direct_hosts = gossip.MAX_DIRECT_HOSTS

    async def main() -> None:
        nonlocal used_s
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(WARM_UP_S)
            steps.count = 0
            used_s = -time.process_time()
            fleet.counts.clear()
            fleet.ages.clear()
            for member in fleet.members:
                member.taken = member.signs = member.datagrams = 0
            await trio.sleep(seconds)
            used_s += time.process_time()
            nursery.cancel_scope.cancel()

    try:
        # The former design is the one for few hosts.
        gossip.MAX_DIRECT_HOSTS = direct_hosts if relayed else count
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock, instruments=[steps])
    finally:
        gossip.MAX_DIRECT_HOSTS = direct_hosts
    per = count * seconds
    ages = sorted(fleet.ages) or [0.0]
    return Measured(
        count,
        "relays" if relayed else "direct",
        changes,
        sum(m.datagrams for m in fleet.members) / per,
        sum(m.taken for m in fleet.members) / per,
        sum(m.signs for m in fleet.members) / per,
        max(m.datagrams for m in fleet.members) / seconds,
        fleet.counts["bytes"] / per,
        fleet.counts["bytes between domains"] / per,
        statistics.median(ages),
        ages[int(len(ages) * 0.99)],
        steps.count / per,
        1000 * used_s / per,
    )


def main() -> report.Report:
    """Compare both designs at several sizes."""
    found = report.Report(NAME)
    for count in SIZES:
        for relayed, changes in (
            (False, CHANGES_PER_S),
            (True, CHANGES_PER_S),
            (True, 0),
        ):
            measured = measure(count, relayed=relayed, changes=changes)
            found.rows.append(attrs.asdict(measured))
    return found
