"""Send digests to all other hosts, in a large fleet through relays.

A small fleet sends them directly. In a large one each host sends its digests to one
host of its failure domain, its relay. A relay forwards digests in bundles: to all hosts
of its own domain, and to one host of each other domain, which delivers them there.
There is no election: any host relays for those that send to it. A host whose digests
do not come back in its relay's bundles switches to the next relay.
"""

import collections.abc
import enum
import functools
import hashlib
import itertools

import attrs
import msgspec
import trio

from turmerictally.entry import decoding, gossip, network
from turmerictally.entry import trace as traces

BUNDLE_S = 0.05  # between two bundles of a relay: a sixth of the latency objective
# If no load changed. Three links then take half of the time after which a relay that
# does not return digests counts as failed.
UNCHANGED_BUNDLE_S = 0.1
# A digest is sent this often before heartbeats replace it, as one may be lost.
DIGEST_REPEATS = 2
MAX_BUNDLE_BYTES = 30_000  # of digests in one datagram
# Between two full digests: a small part of the time for which the table ages and the
# outcomes in them are used.
FULL_S = 1.0
# Between two baselines, which hold every team's counters. Other digests hold those that
# changed, and a host without the baseline requests it.
BASELINE_S = 5.0
FULL_PERIODS = 2  # with many hosts, in digest periods
BASELINE_PERIODS = 10
MAX_JOB_STATES = 20  # in one digest, 10 kB; the next digest takes the rest
MAX_BASELINES_PER_S = 20  # sent to hosts that request this host's counters
# A relay returns a digest within the time of two bundles and their transmission. A
# single lost datagram must not count as a failed relay.
ECHO_TIMEOUT_S = 0.6
RANKING_TTL_S = 0.5  # for which a ranking of the possible relays is cached
MAX_RANKED = 2000  # hosts whose hashes are cached
CLIENT_TTL_S = 3.0  # a relay serves a client for this long after its last datagram
RELAY_RETRY_S = 5.0  # before a failed relay is tried again


class Kind(enum.Enum):
    """Name what the receiver of a datagram does with its digests."""

    DELIVER = "take"  # apply them only
    RELAY = "relay"  # forward them to its own and all other domains
    FORWARD = "hand on"  # forward another domain's digests to its own


@attrs.frozen
class Datagram:
    """Hold encoded digests and heartbeats, and the host that sends or forwards them.

    It is ``urgent`` if one of the digests reports a changed load.
    """

    kind: Kind
    sender: str
    domain: str
    digests: tuple[bytes, ...]
    heartbeats: tuple[gossip.Heartbeat, ...] = ()
    urgent: bool = True

    def encode(self) -> bytes:
        """Encode the fields as a msgpack array, in their order."""
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


def decode(data: bytes) -> Datagram:
    """Return the datagram; raises ``decoding.DecodeError``."""
    return Datagram(*decoding.decode(_DECODER, data))


@attrs.define
class DigestBundle:
    """Hold what a relay receives between two flushes."""

    digests: list[bytes] = attrs.Factory(list)
    heartbeats: list[gossip.Heartbeat] = attrs.Factory(list)
    urgent: bool = False

    def add(self, datagram: Datagram) -> None:
        """Add the digests and heartbeats of a datagram."""
        self.digests += datagram.digests
        self.heartbeats += datagram.heartbeats
        self.urgent = self.urgent or datagram.urgent

    def __bool__(self) -> bool:
        return bool(self.digests or self.heartbeats)

    def joined(self, other: "DigestBundle") -> "DigestBundle":
        """Return a bundle with the contents of both."""
        return DigestBundle(
            self.digests + other.digests,
            self.heartbeats + other.heartbeats,
            self.urgent or other.urgent,
        )

    def datagrams(self, kind: Kind, sender: str, domain: str) -> list[bytes]:
        """Return encoded datagrams; the first one holds all heartbeats."""
        chunks = split_digests(self.digests) or [()]
        heartbeats = tuple(self.heartbeats)
        encoded = []
        for chunk in chunks:
            datagram = Datagram(kind, sender, domain, chunk, heartbeats, self.urgent)
            encoded.append(datagram.encode())
            heartbeats = ()
        return encoded


def split_digests(digests: list[bytes]) -> list[tuple[bytes, ...]]:
    """Split digests into chunks that fit into one datagram each."""
    chunks: list[tuple[bytes, ...]] = []
    chunk: list[bytes] = []
    size = 0
    for digest in digests:
        if chunk and size + len(digest) > MAX_BUNDLE_BYTES:
            chunks.append(tuple(chunk))
            chunk, size = [], 0
        chunk.append(digest)
        size += len(digest)
    if chunk:
        chunks.append(tuple(chunk))
    return chunks


@attrs.frozen
class OutgoingDatagrams:
    """Hold encoded datagrams and the addresses that each of them is sent to."""

    addresses: collections.abc.Collection[str]
    datagrams: list[bytes]


@attrs.define(eq=False)
class RelaySelector:
    """Select the relays that this host sends its digests to.

    ``current`` is the relay that last returned a digest. The ``preferred`` one gets all
    digests as well, until one comes back through it. ``unconfirmed_at`` is when the
    oldest digest was sent that has not come back (monotonic seconds).
    """

    hosts: gossip.HostDirectory
    current: str = ""
    unconfirmed_at: float = float("inf")
    excluded_until: dict[str, float] = attrs.Factory(dict)
    preferred: str = ""
    rankings: dict[str, tuple[float, list[gossip.HostRecord]]] = attrs.Factory(dict)

    def ranked(self, domain: str) -> list[gossip.HostRecord]:
        """Return the hosts of a domain, ordered by preference as relays."""
        now = self.hosts.clock.monotonic()
        at, ranking = self.rankings.get(domain, (float("-inf"), []))
        if now >= at + RANKING_TTL_S or not ranking:
            ranking = self._rank_domain(domain)
            self.rankings[domain] = now, ranking
        return ranking

    def _rank_domain(self, domain: str) -> list[gossip.HostRecord]:
        records = [
            record
            for record in self.hosts.records.values()
            if record.domain == domain and not self.hosts.is_stopping(record.host)
        ]
        records.sort(key=lambda record: (-record.cores, _host_hash(record.host)))
        return records

    def choose(self) -> list[gossip.HostRecord]:
        """Return the relays to send the next digest to, at most two."""
        now = self.hosts.clock.monotonic()
        ranked = self.ranked(self.hosts.domain)
        if not ranked:
            return []
        if now - self.unconfirmed_at > ECHO_TIMEOUT_S:
            self._exclude_failed(now)
        self.excluded_until = {
            n: until for n, until in self.excluded_until.items() if now < until
        }
        candidates = [
            record for record in ranked if record.host not in self.excluded_until
        ]
        # If all are excluded, the one whose exclusion ends first.
        best = (
            candidates[0]
            if candidates
            else min(ranked, key=lambda x: self.excluded_until[x.host])
        )
        self.preferred = best.host
        return [x for x in ranked if x.host in (best.host, self.current)]

    def record_sent(self) -> None:
        """Start the echo timeout, unless an earlier digest has started it."""
        self.unconfirmed_at = min(self.unconfirmed_at, self.hosts.clock.monotonic())

    def wait_s(self) -> float:
        """Return the seconds until the next digest, at most the echo timeout if any."""
        period_s = self.hosts.digest_period_s()
        awaits_echo = self.unconfirmed_at < float("inf")
        return min(period_s, ECHO_TIMEOUT_S) if awaits_echo else period_s

    def record_echo(self, sender: str) -> None:
        """Record that ``sender`` has returned a digest of this host in a bundle."""
        self.unconfirmed_at = float("inf")
        if sender == self.preferred and sender != self.current:
            self.hosts.trace.emit("relay_chosen", host=sender, before=self.current)
            self.current = sender

    def _exclude_failed(self, now: float) -> None:
        for name in {self.preferred, self.current} - {""}:
            self.excluded_until[name] = now + RELAY_RETRY_S
        self.hosts.trace.emit(
            "relay_failed",
            host=self.preferred,
            unanswered_s=round(now - self.unconfirmed_at, 2),
        )
        self.current = ""
        self.unconfirmed_at = now


@attrs.define(eq=False)
class Bundler:
    """Collect digests to forward while this host is a relay.

    ``clients`` maps hosts, and ``domain_relays`` other domains, to the address and the
    monotonic time of their last datagram. ``missing_since`` maps domains whose relay is
    not known to the time since which it is not. ``own`` and ``foreign`` hold digests
    from this host's domain and from others.
    """

    hosts: gossip.HostDirectory
    clients: dict[str, tuple[str, float]] = attrs.Factory(dict)
    domain_relays: dict[str, tuple[str, float]] = attrs.Factory(dict)
    missing_since: dict[str, float] = attrs.Factory(dict)
    own: DigestBundle = attrs.Factory(DigestBundle)
    foreign: DigestBundle = attrs.Factory(DigestBundle)
    has_content: trio.Event = attrs.field(factory=trio.Event)
    urgent: trio.Event = attrs.field(factory=trio.Event)

    def add(self, datagram: Datagram, address: str) -> None:
        """Add a datagram that is to be forwarded; ``address`` is its sender's."""
        now = self.hosts.clock.monotonic()
        if datagram.kind is Kind.RELAY:
            self.clients[datagram.sender] = (address, now)
            self.own.add(datagram)
        elif datagram.kind is Kind.FORWARD:
            self.domain_relays[datagram.domain] = (address, now)
            self.foreign.add(datagram)
        self.has_content.set()
        if datagram.urgent:
            self.urgent.set()

    async def wait(self) -> None:
        """Wait until a bundle is to be sent, which is earlier if a load changed."""
        await self.has_content.wait()
        with trio.move_on_after(UNCHANGED_BUNDLE_S - BUNDLE_S):
            await self.urgent.wait()

    def is_active(self) -> bool:
        """Return whether this host relays for others."""
        self._expire_clients()
        now = self.hosts.clock.monotonic()
        forwards = any(
            now - at <= CLIENT_TTL_S for _, at in self.domain_relays.values()
        )
        return bool(self.clients) or forwards

    def _expire_clients(self) -> None:
        now = self.hosts.clock.monotonic()
        for name, (_, at) in list(self.clients.items()):
            if now - at > CLIENT_TTL_S:
                del self.clients[name]

    def flush(self, relay_selector: RelaySelector) -> list[OutgoingDatagrams]:
        """Return the collected digests as datagrams, and start new bundles."""
        self._expire_clients()
        own, foreign, self.own, self.foreign = (
            self.own,
            self.foreign,
            DigestBundle(),
            DigestBundle(),
        )
        self.has_content, self.urgent = trio.Event(), trio.Event()
        domain = self.hosts.domain
        members = {
            record.address
            for record in relay_selector.ranked(domain)
            if record.host != self.hosts.host_id
        }
        members |= {address for address, _ in self.clients.values()}
        outgoing = []
        for kind, addresses, bundle in (
            (Kind.DELIVER, members, own.joined(foreign)),
            (
                Kind.FORWARD,
                self._other_domain_addresses(relay_selector, domain) if own else (),
                own,
            ),
        ):
            if bundle and addresses:
                datagrams = bundle.datagrams(kind, self.hosts.host_id, domain)
                outgoing.append(OutgoingDatagrams(addresses, datagrams))
        return outgoing

    def _other_domain_addresses(
        self, relay_selector: RelaySelector, domain: str
    ) -> list[str]:
        """Return one host's address in each other domain: its relay if known."""
        now = self.hosts.clock.monotonic()
        domains = {x.domain for x in self.hosts.records.values()} - {domain, ""}
        addresses = []
        for name in sorted(domains):
            address, at = self.domain_relays.get(name, ("", float("-inf")))
            if now - at <= ECHO_TIMEOUT_S:
                self.missing_since.pop(name, None)
                addresses.append(address)
                continue
            ranked = relay_selector.ranked(name)
            if ranked:
                since = self.missing_since.setdefault(name, now)
                addresses.append(
                    ranked[_attempt_index(now - since, len(ranked))].address
                )
        return addresses


@attrs.define(eq=False)
class Disseminator:
    """Send this host's digests to all other hosts and receive theirs.

    ``last_sent`` is the last digest with new content, ``times_sent`` counts how often
    in a row the same content was sent. ``next_full_at`` and ``next_baseline_at`` are
    monotonic seconds.
    """

    network: network.Network
    hosts: gossip.HostDirectory
    address: str
    make_digest: collections.abc.Callable[[int, bool, bool], gossip.Digest]
    on_digest: collections.abc.Callable[[gossip.Digest], None]
    on_received: collections.abc.Callable[[], None]
    on_heartbeat: collections.abc.Callable[[gossip.Digest], None] = lambda digest: None
    sequence: int = 0
    last_sent: gossip.Digest | None = None
    times_sent: int = 0
    pending_job_states: dict[str, tuple[int, bytes]] = attrs.Factory(dict)
    next_full_at: float = float("-inf")
    next_baseline_at: float = float("-inf")
    baselines_sent: int = 0  # within the clock's second baselines_second
    baselines_second: int = 0
    early_digests_enabled: bool = True
    early_digest: trio.Event = attrs.field(factory=trio.Event)
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
                nursery.start_soon(self._send_digests)
                nursery.start_soon(self._receive)
                nursery.start_soon(self._relay)
        finally:
            self.endpoint.close()

    def send_early_digest(self) -> None:
        """Send the next digest as soon as the least gap after the last one is over."""
        if self.early_digests_enabled:
            self.early_digest.set()

    def on_load_change(self) -> None:
        """Report a changed load: with an early digest if relayed, else the next one."""
        if self.hosts.relayed:
            self.send_early_digest()

    def send_job_state(self, job: str, version: int, value: bytes) -> None:
        """Send a job state that this host wrote to all hosts, in an early digest.

        In a small fleet the hosts read it from the store as soon.
        """
        if self.hosts.relayed:
            self.pending_job_states[job] = version, value
            self.early_digest.set()

    def _take_job_states(self) -> dict[str, tuple[int, bytes]]:
        """Remove and return the job states for the next digest; each is sent once."""
        names = list(itertools.islice(self.pending_job_states, MAX_JOB_STATES))
        return {name: self.pending_job_states.pop(name) for name in names}

    def on_peer_reachable(self) -> None:
        """Send a full digest with a baseline, as a host has become reachable."""
        if self.hosts.relayed:
            # Repeating the digest suffices: hosts without the baseline request it.
            self.times_sent = 0
            return
        self.next_baseline_at = float("-inf")
        self.send_full_digest()

    def send_full_digest(self) -> None:
        """Send an early digest that is full, as after a failure."""
        self.next_full_at = float("-inf")
        self.send_early_digest()

    def send_baseline(self, host: str) -> None:
        """Send all teams' counters to a host that requested them."""
        peer = self.hosts.peers.get(host)
        second = int(self.hosts.clock.monotonic())
        if second != self.baselines_second:
            self.baselines_second, self.baselines_sent = second, 0
        if peer is None or self.baselines_sent >= MAX_BASELINES_PER_S:
            return
        self.baselines_sent += 1
        self.sequence += 1
        data = self.make_digest(self.sequence, True, True).encode()
        datagrams = DigestBundle([data]).datagrams(
            Kind.DELIVER, self.hosts.host_id, self.hosts.domain
        )
        self._send(OutgoingDatagrams([peer.digest.address], datagrams))

    async def _send_digests(self) -> None:
        while True:
            self.hosts.expire()
            sent_at = trio.current_time()
            self._send_digest()
            with trio.move_on_after(self.relay_selector.wait_s()):
                await self.early_digest.wait()
                await trio.sleep_until(sent_at + self.hosts.min_digest_gap_s())
            self.early_digest = trio.Event()

    def _send_digest(self) -> None:
        self.sequence += 1
        now = self.hosts.clock.monotonic()
        period_s = self.hosts.digest_period_s()
        full = now >= self.next_full_at
        if full:
            self.next_full_at = now + max(FULL_S, FULL_PERIODS * period_s)
        baseline = now >= self.next_baseline_at
        if baseline:
            self.next_baseline_at = now + max(BASELINE_S, BASELINE_PERIODS * period_s)
        digest = self.make_digest(self.sequence, full, baseline)
        digest.job_states = self._take_job_states()
        datagram = self._datagram(digest)
        if not self.hosts.relayed:
            self._send(
                OutgoingDatagrams(self.hosts.peer_addresses(), [datagram.encode()])
            )
            return
        for record in self.relay_selector.choose():
            if record.host == self.hosts.host_id:
                self.bundler.add(datagram, self.address)
                self.relay_selector.record_echo(record.host)
            else:
                self.relay_selector.record_sent()
                self._send(OutgoingDatagrams([record.address], [datagram.encode()]))

    def _datagram(self, digest: gossip.Digest) -> Datagram:
        """Return a digest, or a heartbeat if its content was sent often enough."""
        kind = Kind.RELAY if self.hosts.relayed else Kind.DELIVER
        header = kind, self.hosts.host_id, self.hosts.domain
        before = self.last_sent
        same = before is not None and digest.has_same_content(before)
        self.times_sent = self.times_sent + 1 if same else 1
        if (
            same
            and self.times_sent > DIGEST_REPEATS
            and not (digest.full or digest.baseline)
        ):
            heartbeat = gossip.Heartbeat(
                digest.host, digest.instance, digest.sequence, before.sequence
            )
            return Datagram(*header, (), (heartbeat,), urgent=False)
        urgent = (
            before is None
            or not digest.has_same_load(before)
            or bool(digest.job_states)
        )
        if not same:
            self.last_sent = digest
        return Datagram(*header, (digest.encode(),), urgent=urgent)

    async def _relay(self) -> None:
        """Forward bundles while this host is a relay."""
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
                # The next digest repeats the whole state.
                self.hosts.trace.emit(
                    "digest_not_sent", address=address, reason=str(error)
                )

    async def _receive(self) -> None:
        while True:
            try:
                received = await self.endpoint.receive()
            except OSError as error:
                # The socket reports here that a peer refused an earlier datagram.
                self.hosts.trace.emit("digest_not_received", reason=str(error))
                continue
            for data in received:
                self._process(data)
            self.on_received()
            if not self.hosts.relayed or self.bundler.is_active():
                # Other hosts get their digests in bundles from a relay.
                await trio.sleep(self.hosts.receive_pause_s())

    def _process(self, data: bytes) -> None:
        """Apply a datagram; what is malformed must not stop what comes after it."""
        try:
            datagram = decode(data)
        except decoding.DecodeError as error:
            self._report_unreadable("", error)
            return
        try:
            self._apply(datagram)
        except Exception as error:
            self.hosts.trace.emit(
                "datagram_not_applied",
                sender=decoding.loggable(datagram.sender),
                reason=traces.locate(error),
            )

    def _report_unreadable(self, sender: str, error: decoding.DecodeError) -> None:
        self.hosts.trace.emit(
            "digest_unreadable", sender=decoding.loggable(sender), reason=str(error)
        )

    def _apply(self, datagram: Datagram) -> None:
        for data in datagram.digests:
            try:
                digest = gossip.decode(data)
            except decoding.DecodeError as error:
                self._report_unreadable(datagram.sender, error)
                continue
            if digest.host == self.hosts.host_id:
                self._record_echo(digest.instance, datagram)
            elif self.hosts.receive(digest):
                self.on_digest(digest)
        for heartbeat in datagram.heartbeats:
            if heartbeat.host == self.hosts.host_id:
                self._record_echo(heartbeat.instance, datagram)
            elif (confirmed := self.hosts.receive_heartbeat(heartbeat)) is not None:
                self.on_heartbeat(confirmed)
        if datagram.kind is not Kind.DELIVER:
            address = self.hosts.address_of(datagram.sender)
            if address:
                self.bundler.add(datagram, address)

    def _record_echo(self, instance: str, datagram: Datagram) -> None:
        if instance == self.hosts.instance:
            self.relay_selector.record_echo(datagram.sender)


def _attempt_index(missing_s: float, count: int) -> int:
    """Return the rank of the host to try: the first, alternating with the others."""
    step = int(missing_s / ECHO_TIMEOUT_S)
    return (step // 2 + 1) % count if step % 2 else 0


@functools.lru_cache(MAX_RANKED)
def _host_hash(host: str) -> bytes:
    return hashlib.blake2b(host.encode(), digest_size=8).digest()
