"""Spread digests: directly among few hosts, through relays among many.

With many hosts each sends its digests to one host of its failure domain, the relay,
which sends them on in bundles: to its own domain, and to one host of each other domain
that spreads them there. Whoever is asked to relay does so; nobody is elected. A host
whose digests do not come back in its relay's bundles asks the next one.
"""

import collections.abc
import enum
import functools
import hashlib
import itertools

import attrs
import msgspec
import trio

from turmerictally.entry import gossip, network

BUNDLE_S = 0.05  # between two bundles of a relay: a sixth of the latency objective
# Where no load changed: three links take half of the time after which an answer of the
# relay is missed.
CALM_BUNDLE_S = 0.1
# A digest is sent so often before signs of life stand for it, as one may be lost.
TOLD_TIMES = 2
MAX_BUNDLE_BYTES = 30_000  # of digests in one datagram
# Between two digests with the ages of tables and the outcomes by server, a small part
# of the time for which either counts.
FULL_S = 1.0
# Between two digests with every team's counts; others hold what changed, and a host
# that lacks the rest asks for it.
BASE_S = 5.0
FULL_PERIODS = 2  # the same with many hosts, in periods
BASE_PERIODS = 10
MAX_JOBS = 20  # rows of jobs' states in one digest, 10 kB; more go with the next
MAX_BASES_PER_S = 20  # answers to hosts that lack this one's counts
# A relay that is asked has sent a digest back after two bundles and the ways; a lost
# datagram must not look like a lost relay.
ECHO_S = 0.6
RANK_S = 0.5  # between two looks at which hosts can relay
MAX_RANKED = 2000  # hosts whose places are remembered
ASKED_S = 3.0  # a relay goes on for this long after it was asked last
AVOID_S = 5.0  # until a relay that failed is tried again


class Kind(enum.Enum):
    """Name what the receiver of a datagram does with its digests."""

    TAKE = "take"  # nothing more
    RELAY = "relay"  # bundle them for its domain and the others
    HAND_ON = "hand on"  # bundle another domain's for its own


@attrs.frozen
class Datagram:
    """Hold encoded digests and signs of life, and who sends them on.

    ``urgent`` tells whether one of them changes what its host has in flight.
    """

    kind: Kind
    sender: str
    domain: str
    digests: tuple[bytes, ...]
    heartbeats: tuple[gossip.Heartbeat, ...] = ()
    urgent: bool = True

    def encode(self) -> bytes:
        """Return the datagram's bytes."""
        return _ENCODER.encode(
            (
                self.kind,
                self.sender,
                self.domain,
                self.digests,
                self.heartbeats,
                self.urgent,
            )
        )


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(
    tuple[Kind, str, str, tuple[bytes, ...], tuple[gossip.Heartbeat, ...], bool]
)


def decode(data: bytes) -> Datagram | None:
    """Return a datagram, or None for other bytes."""
    try:
        return Datagram(*_DECODER.decode(data))
    except ValueError:
        return None


@attrs.define
class DigestBundle:
    """Hold what a relay collects between two bundles."""

    digests: list[bytes] = attrs.Factory(list)
    heartbeats: list[gossip.Heartbeat] = attrs.Factory(list)
    urgent: bool = False

    def add(self, datagram: Datagram) -> None:
        """Take a datagram's contents."""
        self.digests += datagram.digests
        self.heartbeats += datagram.heartbeats
        self.urgent = self.urgent or datagram.urgent

    def __bool__(self) -> bool:
        return bool(self.digests or self.heartbeats)

    def joined(self, other: "DigestBundle") -> "DigestBundle":
        """Return both."""
        return DigestBundle(
            self.digests + other.digests,
            self.heartbeats + other.heartbeats,
            self.urgent or other.urgent,
        )

    def datagrams(self, kind: Kind, sender: str, domain: str) -> list[bytes]:
        """Return the encoded datagrams that hold all of it; signs go first."""
        parts = bundles(self.digests) or [()]
        heartbeats = tuple(self.heartbeats)
        found = []
        for part in parts:
            datagram = Datagram(kind, sender, domain, part, heartbeats, self.urgent)
            found.append(datagram.encode())
            heartbeats = ()
        return found


def bundles(digests: list[bytes]) -> list[tuple[bytes, ...]]:
    """Split digests into parts that fit into a datagram each."""
    found: list[tuple[bytes, ...]] = []
    part: list[bytes] = []
    size = 0
    for each in digests:
        if part and size + len(each) > MAX_BUNDLE_BYTES:
            found.append(tuple(part))
            part, size = [], 0
        part.append(each)
        size += len(each)
    if part:
        found.append(tuple(part))
    return found


@attrs.frozen
class OutgoingDatagrams:
    """Hold datagrams and the addresses that each of them goes to."""

    addresses: collections.abc.Collection[str]
    datagrams: list[bytes]


@attrs.define(eq=False)
class RelaySelector:
    """Choose the relays that this host sends its digests to.

    ``current`` is the one that is known to work; the preferred one is asked beside it
    until a digest comes back through it. ``unanswered_at`` is when the first digest was
    sent that has not come back, in monotonic seconds.
    """

    hosts: gossip.HostDirectory
    current: str = ""
    unanswered_at: float = float("inf")
    avoided: dict[str, float] = attrs.Factory(dict)
    tried: str = ""
    rankings: dict[str, tuple[float, list[gossip.HostRecord]]] = attrs.Factory(dict)

    def ranked(self, domain: str) -> list[gossip.HostRecord]:
        """Return the hosts of a domain, those that relay first at the front."""
        now = self.hosts.clock.monotonic()
        at, found = self.rankings.get(domain, (float("-inf"), []))
        if now >= at + RANK_S or not found:
            found = self._rank_domain(domain)
            self.rankings[domain] = now, found
        return found

    def _rank_domain(self, domain: str) -> list[gossip.HostRecord]:
        found = [
            record
            for record in self.hosts.records.values()
            if record.domain == domain and not self.hosts.is_stopping(record.host)
        ]
        found.sort(key=lambda record: (-record.cores, _rank(record.host)))
        return found

    def choose(self) -> list[gossip.HostRecord]:
        """Return the hosts to ask now, at most two."""
        now = self.hosts.clock.monotonic()
        ranked = self.ranked(self.hosts.domain)
        if not ranked:
            return []
        if now - self.unanswered_at > ECHO_S:
            self._avoid(now)
        self.avoided = {n: until for n, until in self.avoided.items() if now < until}
        left = [record for record in ranked if record.host not in self.avoided]
        # With all avoided, the one that was tried longest ago.
        best = left[0] if left else min(ranked, key=lambda x: self.avoided[x.host])
        self.tried = best.host
        return [x for x in ranked if x.host in (best.host, self.current)]

    def sent(self) -> None:
        """Note that a digest was sent."""
        self.unanswered_at = min(self.unanswered_at, self.hosts.clock.monotonic())

    def wait_s(self) -> float:
        """Return the seconds until the next digest, fewer if one did not come back."""
        period_s = self.hosts.digest_period_s()
        waits = self.unanswered_at < float("inf")
        return min(period_s, ECHO_S) if waits else period_s

    def came_back(self, sender: str) -> None:
        """Note that a digest of this host came in a bundle of ``sender``."""
        self.unanswered_at = float("inf")
        if sender == self.tried and sender != self.current:
            self.hosts.trace.emit("relay_chosen", host=sender, before=self.current)
            self.current = sender

    def _avoid(self, now: float) -> None:
        for name in {self.tried, self.current} - {""}:
            self.avoided[name] = now + AVOID_S
        self.hosts.trace.emit(
            "relay_failed",
            host=self.tried,
            unanswered_s=round(now - self.unanswered_at, 2),
        )
        self.current = ""
        self.unanswered_at = now


@attrs.define(eq=False)
class Bundler:
    """Collect digests for others while this host is asked to relay."""

    hosts: gossip.HostDirectory
    asked_by: dict[str, tuple[str, float]] = attrs.Factory(dict)
    heard_from: dict[str, tuple[str, float]] = attrs.Factory(dict)
    missed_since: dict[str, float] = attrs.Factory(dict)
    own: DigestBundle = attrs.Factory(DigestBundle)
    foreign: DigestBundle = attrs.Factory(DigestBundle)
    some: trio.Event = attrs.field(factory=trio.Event)
    urgent: trio.Event = attrs.field(factory=trio.Event)

    def take(self, datagram: Datagram, address: str) -> None:
        """Take what another host wants to be sent on."""
        now = self.hosts.clock.monotonic()
        if datagram.kind is Kind.RELAY:
            self.asked_by[datagram.sender] = (address, now)
            self.own.add(datagram)
        elif datagram.kind is Kind.HAND_ON:
            self.heard_from[datagram.domain] = (address, now)
            self.foreign.add(datagram)
        self.some.set()
        if datagram.urgent:
            self.urgent.set()

    async def wait(self) -> None:
        """Return when a bundle is due, which is soon if a load changed."""
        await self.some.wait()
        with trio.move_on_after(CALM_BUNDLE_S - BUNDLE_S):
            await self.urgent.wait()

    def active(self) -> bool:
        """Return whether this host relays."""
        self._forget_past()
        now = self.hosts.clock.monotonic()
        handed_on = any(now - at <= ASKED_S for _, at in self.heard_from.values())
        return bool(self.asked_by) or handed_on

    def _forget_past(self) -> None:
        """Drop the hosts that have not asked lately."""
        now = self.hosts.clock.monotonic()
        for name, (_, at) in list(self.asked_by.items()):
            if now - at > ASKED_S:
                del self.asked_by[name]

    def flush(self, relay_selector: RelaySelector) -> list[OutgoingDatagrams]:
        """Return what is to be sent where, and begin anew."""
        self._forget_past()
        own, foreign, self.own, self.foreign = (
            self.own,
            self.foreign,
            DigestBundle(),
            DigestBundle(),
        )
        self.some, self.urgent = trio.Event(), trio.Event()
        domain = self.hosts.domain
        members = {
            record.address
            for record in relay_selector.ranked(domain)
            if record.host != self.hosts.host_id
        }
        members |= {address for address, _ in self.asked_by.values()}
        found = []
        for kind, addresses, batch in (
            (Kind.TAKE, members, own.joined(foreign)),
            (
                Kind.HAND_ON,
                self._other_domains(relay_selector, domain) if own else (),
                own,
            ),
        ):
            if batch and addresses:
                given = batch.datagrams(kind, self.hosts.host_id, domain)
                found.append(OutgoingDatagrams(addresses, given))
        return found

    def _other_domains(self, relay_selector: RelaySelector, domain: str) -> list[str]:
        """Return a host of each other domain: one that relays there, if known."""
        now = self.hosts.clock.monotonic()
        domains = {x.domain for x in self.hosts.records.values()} - {domain, ""}
        found = []
        for name in sorted(domains):
            address, at = self.heard_from.get(name, ("", float("-inf")))
            if now - at <= ECHO_S:
                self.missed_since.pop(name, None)
                found.append(address)
                continue
            ranked = relay_selector.ranked(name)
            if ranked:
                since = self.missed_since.setdefault(name, now)
                found.append(ranked[_turn(now - since, len(ranked))].address)
        return found


@attrs.define(eq=False)
class Disseminator:
    """Send this host's digests to all others and take theirs."""

    network: network.Network
    hosts: gossip.HostDirectory
    address: str
    make_digest: collections.abc.Callable[[int, bool, bool], gossip.Digest]
    on_digest: collections.abc.Callable[[gossip.Digest], None]
    on_told: collections.abc.Callable[[], None]
    on_heartbeat: collections.abc.Callable[[gossip.Digest], None] = lambda digest: None
    sequence: int = 0
    told: gossip.Digest | None = None
    told_times: int = 0
    jobs: dict[str, tuple[int, bytes]] = attrs.Factory(dict)
    full_due: float = float("-inf")
    base_due: float = float("-inf")
    base_answers: int = 0
    base_second: int = 0
    urgent: trio.Event = attrs.field(factory=trio.Event)
    endpoint: network.DatagramSocket | None = None
    relay_selector: RelaySelector = attrs.field(init=False)
    bundler: Bundler = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.relay_selector = RelaySelector(self.hosts)
        self.bundler = Bundler(self.hosts)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchange digests until cancelled."""
        self.endpoint = await self.network.open_datagram_socket(self.address)
        try:
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tell_all)
                nursery.start_soon(self._receive)
                nursery.start_soon(self._relay)
        finally:
            self.endpoint.close()

    def nudge(self) -> None:
        """Send the next digest as soon as the least time between two has passed."""
        self.urgent.set()

    def changed(self) -> None:
        """Tell of a change: at once with relays, else with the next digest."""
        if self.hosts.relayed:
            self.urgent.set()

    def tell_job(self, job: str, version: int, value: bytes) -> None:
        """Tell all hosts of a job's state that this one wrote, with the next digest.

        A few hosts read it from the store as soon.
        """
        if self.hosts.relayed:
            self.jobs[job] = version, value
            self.urgent.set()

    def _take_jobs(self) -> dict[str, tuple[int, bytes]]:
        """Return the next jobs' states to tell; each is told once."""
        names = list(itertools.islice(self.jobs, MAX_JOBS))
        return {name: self.jobs.pop(name) for name in names}

    def introduce(self) -> None:
        """Send all there is to tell next, as to a host that was not heard before."""
        if self.hosts.relayed:
            # With many hosts, who lacks this host's counts says so.
            self.told_times = 0
            return
        self.base_due = float("-inf")
        self.tell_outcomes()

    def tell_outcomes(self) -> None:
        """Send a full digest next, as after a failure."""
        self.full_due = float("-inf")
        self.nudge()

    def answer(self, host: str) -> None:
        """Send a host that asks for them all teams' counts."""
        peer = self.hosts.peers.get(host)
        second = int(self.hosts.clock.monotonic())
        if second != self.base_second:
            self.base_second, self.base_answers = second, 0
        if peer is None or self.base_answers >= MAX_BASES_PER_S:
            return
        self.base_answers += 1
        self.sequence += 1
        data = self.make_digest(self.sequence, True, True).encode()
        given = DigestBundle([data]).datagrams(
            Kind.TAKE, self.hosts.host_id, self.hosts.domain
        )
        self._send(OutgoingDatagrams([peer.digest.address], given))

    async def _tell_all(self) -> None:
        while True:
            self.hosts.expire()
            told_at = trio.current_time()
            self._tell()
            with trio.move_on_after(self.relay_selector.wait_s()):
                await self.urgent.wait()
                await trio.sleep_until(told_at + self.hosts.min_digest_gap_s())
            self.urgent = trio.Event()

    def _tell(self) -> None:
        self.sequence += 1
        now = self.hosts.clock.monotonic()
        period_s = self.hosts.digest_period_s()
        full = now >= self.full_due
        if full:
            self.full_due = now + max(FULL_S, FULL_PERIODS * period_s)
        base = now >= self.base_due
        if base:
            self.base_due = now + max(BASE_S, BASE_PERIODS * period_s)
        digest = self.make_digest(self.sequence, full, base)
        digest.job_states = self._take_jobs()
        datagram = self._datagram(digest)
        if not self.hosts.relayed:
            self._send(
                OutgoingDatagrams(self.hosts.peer_addresses(), [datagram.encode()])
            )
            return
        for record in self.relay_selector.choose():
            if record.host == self.hosts.host_id:
                self.bundler.take(datagram, self.address)
                self.relay_selector.came_back(record.host)
            else:
                self.relay_selector.sent()
                self._send(OutgoingDatagrams([record.address], [datagram.encode()]))

    def _datagram(self, digest: gossip.Digest) -> Datagram:
        """Return a digest, or a sign of life if it tells what was told already."""
        kind = Kind.RELAY if self.hosts.relayed else Kind.TAKE
        here = kind, self.hosts.host_id, self.hosts.domain
        before = self.told
        same = before is not None and digest.has_same_content(before)
        self.told_times = self.told_times + 1 if same else 1
        if (
            same
            and self.told_times > TOLD_TIMES
            and not (digest.full or digest.baseline)
        ):
            heartbeat = gossip.Heartbeat(
                digest.host, digest.instance, digest.sequence, before.sequence
            )
            return Datagram(*here, (), (heartbeat,), urgent=False)
        urgent = (
            before is None
            or not digest.has_same_load(before)
            or bool(digest.job_states)
        )
        if not same:
            self.told = digest
        return Datagram(*here, (digest.encode(),), urgent=urgent)

    async def _relay(self) -> None:
        """Send bundles while this host is asked to."""
        while True:
            await self.bundler.wait()
            for outgoing in self.bundler.flush(self.relay_selector):
                self._send(outgoing)
            await trio.sleep(BUNDLE_S)

    def _send(self, outgoing: OutgoingDatagrams) -> None:
        for address in outgoing.addresses:
            if address == self.address:
                continue
            try:
                for data in outgoing.datagrams:
                    self.endpoint.send_to(address, data)
            except (OSError, ValueError) as error:
                # The next digest repeats all of it.
                self.hosts.trace.emit(
                    "digest_not_sent", address=address, reason=str(error)
                )

    async def _receive(self) -> None:
        while True:
            try:
                received = await self.endpoint.receive()
            except OSError as error:
                # An unreachable peer's refusal arrives here as an error.
                self.hosts.trace.emit("digest_not_received", reason=str(error))
                continue
            for data in received:
                datagram = decode(data)
                if datagram is not None:
                    self._take(datagram)
            self.on_told()
            if not self.hosts.relayed or self.bundler.active():
                # Others get from their relay what comes together.
                await trio.sleep(self.hosts.receive_pause_s())

    def _take(self, datagram: Datagram) -> None:
        for data in datagram.digests:
            digest = gossip.decode(data)
            if digest is None:
                continue
            if digest.host == self.hosts.host_id:
                self._note_back(digest.instance, datagram)
            elif self.hosts.receive(digest):
                self.on_digest(digest)
        for heartbeat in datagram.heartbeats:
            if heartbeat.host == self.hosts.host_id:
                self._note_back(heartbeat.instance, datagram)
            elif (confirmed := self.hosts.receive_heartbeat(heartbeat)) is not None:
                self.on_heartbeat(confirmed)
        if datagram.kind is not Kind.TAKE:
            address = self.hosts.address_of(datagram.sender)
            if address:
                self.bundler.take(datagram, address)

    def _note_back(self, instance: str, datagram: Datagram) -> None:
        if instance == self.hosts.instance:
            self.relay_selector.came_back(datagram.sender)


def _turn(missed_s: float, count: int) -> int:
    """Return which host to try: the first by turns with each of the others."""
    step = int(missed_s / ECHO_S)
    return (step // 2 + 1) % count if step % 2 else 0


@functools.lru_cache(MAX_RANKED)
def _rank(host: str) -> bytes:
    return hashlib.blake2b(host.encode(), digest_size=8).digest()
