"""Know the other hosts from their rows and from what they have in flight."""

import collections
import collections.abc
import json
import operator
import typing

import attrs
import msgspec

from turmerictally import clock as clocks
from turmerictally.entry import trace as traces
from turmerictally.store import rows

# Between two digests: a sixth of the usual latency objective, and with many hosts so
# long that a host takes about 200 of them a second, some 2% of a small core.
DIGEST_PERIOD_S = 0.05
MAX_DIGESTS_PER_S = 200.0
MAX_DIGEST_PERIOD_S = 2.0  # at 400 hosts and more; below the time to forget a host
MAX_DIRECT_HOSTS = 24  # up to so many hosts send their digests to all others
NUDGE_S = 0.02  # least time between two digests when a server has become full
# With many hosts so long that all of them together, telling everything at once, send a
# host at most so many, a tenth of a core: starts and faults would otherwise flood those
# that serve. Online requests wait behind batch items until they are told of.
MAX_NUDGED_PER_S = 1000.0
# Digests that come close together are read at one wake-up, after this part of a period.
RECEIVE_PAUSE_RATIO = 0.2
MAX_RECEIVE_PAUSE_S = 0.03  # a tenth of the usual latency objective
RELAYED_PAUSE_S = 0.01  # the same for bundles, which have waited at relays before
UNREACHABLE_S = 0.4  # eight digests in a row, or a host that was busy that long
SILENT_PERIODS = 3  # of longer periods, with many hosts
# The same through relays: a digest passes three links, each of which may lose it.
RELAYED_SILENT_S = 1.0
RELAYED_SILENT_PERIODS = 4
FORGET_S = 2.5  # after this a silent host's requests count as ended
FORGET_SILENCES = 2  # the same, with many hosts
RENEW_S = 1.5  # between renewals of this host's row, at least
MAX_RENEWALS_PER_S = 20.0  # of all hosts; each is read by every host
# A host whose row was not renewed for this long no longer counts for the quotas.
EXPIRE_S = 30.0
# It gives its share up before that, by as much as hosts may see a renewal later than
# others: some seconds.
GIVE_UP_S = 25.0
TABLE = "hosts"
COUNT_S = 0.25  # between two counts of many hosts, a part of the time to fall silent
READ_S = 1.0  # between reads of the hosts' rows, at least
# The same through relays, where digests tell who lives; well within the seconds between
# GIVE_UP_S and EXPIRE_S.
RELAYED_READ_S = 3.5
MAX_READS_PER_S = 100.0  # of all hosts
# A copy of the hosts' table that is this much older than the pause between its reads
# misses renewals: a call may take 1.5 s.
STALE_S = 1.6


@attrs.define
class Digest:
    """Hold what a host tells: counts by server, requests admitted and asked by team.

    ``failing`` names the servers it leaves out, ``outcomes`` counts by server the
    requests that were answered and that failed lately; ``ages`` gives for each followed
    table its version and age in seconds. Unless ``full``, these two are left out and
    stay as they were told last. Unless ``base``, teams without requests lately are
    left out; ``lacking`` names the hosts whose base this one asks for. ``removed``,
    in full digests only, gives for each server whose registration the host saw removed
    the store's version of that, ``leaving`` for each server whose own answers said that
    it leaves its birth. ``work`` counts by service and team the slots that its requests
    hold or ask for, ``speeds`` gives for each server what
    ``scheduling.server_speeds.SpeedReport`` holds. ``callers_waiting`` counts requests
    of callers that wait here for a server, ``waiting`` batch items. ``jobs`` gives rows
    of jobs' states that this host wrote lately, each with its version.
    """

    host: str
    instance: str
    address: str
    sequence: int
    online: dict[str, int]
    batch: dict[str, int]
    items_waiting: int
    admitted: dict[str, int]
    requested: dict[str, int]
    table_ages: dict[str, tuple[int, float]]
    store_age_s: float
    failing: list[str]
    domain: str = ""
    outcomes: dict[str, list[int]] = attrs.Factory(dict)
    full: bool = True
    baseline: bool = True
    baseline_requests: list[str] = attrs.Factory(list)
    stopping: bool = False
    removed: dict[str, int] = attrs.Factory(dict)
    leaving: dict[str, int] = attrs.Factory(dict)
    demand: dict[str, int] = attrs.Factory(dict)
    speeds: dict[str, list[float]] = attrs.Factory(dict)
    callers_waiting: int = 0
    job_states: dict[str, tuple[int, bytes]] = attrs.Factory(dict)

    def has_same_load(self, other: "Digest") -> bool:
        """Return whether both tell the same of what is in flight and left out."""
        return (
            self.online == other.online
            and self.batch == other.batch
            and self.items_waiting == other.items_waiting
            and self.failing == other.failing
            and self.demand == other.demand
            and self.callers_waiting == other.callers_waiting
        )

    def has_same_content(self, other: "Digest") -> bool:
        """Return whether both tell the same, apart from when and how completely."""
        return (
            self.has_same_load(other)
            and self.stopping == other.stopping
            and self.admitted == other.admitted
            and self.requested == other.requested
            and self.baseline_requests == other.baseline_requests
            and self.job_states == other.job_states
        )

    def encode(self) -> bytes:
        """Return the digest's bytes."""
        return _ENCODER.encode(_VALUES(self))


_VALUES = operator.attrgetter(*(field.name for field in attrs.fields(Digest)))
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[*typing.get_type_hints(Digest).values()])


def decode(data: bytes) -> Digest | None:
    """Return an encoded digest, or None for other bytes."""
    try:
        return Digest(*_DECODER.decode(data))
    except ValueError:
        return None


class Heartbeat(typing.NamedTuple):
    """Say that a host lives and tells nothing new since its digest ``since``."""

    host: str
    instance: str
    sequence: int
    digest_sequence: int


@attrs.define
class Peer:
    """Hold the last digest of another host.

    ``received_at`` and ``full_at``, of the last full one, are monotonic seconds.
    ``sequence`` is the newest that was heard, of a digest or a sign of life.
    """

    digest: Digest
    received_at: float
    full_at: float
    unreachable: bool = False
    sequence: int = 0


@attrs.frozen
class HostRecord:
    """Hold a host's row: where it is and when it was seen renewed (monotonic).

    ``cores`` is its share of processor cores.
    """

    host: str
    instance: str
    address: str
    renewals: int
    renewed_at: float
    domain: str = ""
    cores: float = 1.0


@attrs.define(eq=False)
class FleetTotals:
    """Sum the other hosts' counts, so that each digest costs its own entries only."""

    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: dict[str, dict[str, int]] = attrs.field(
        factory=lambda: collections.defaultdict(dict)
    )
    items_waiting: int = 0
    failing: collections.Counter[str] = attrs.field(factory=collections.Counter)
    outcomes: dict[str, collections.Counter[tuple[str, bool]]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    failed: collections.Counter[str] = attrs.field(factory=collections.Counter)
    demand: collections.Counter[str] = attrs.field(factory=collections.Counter)
    callers_waiting: int = 0

    def add(self, digest: Digest) -> None:
        """Count a host's newest digest, without its outcomes."""
        self.items_waiting += digest.items_waiting
        self.callers_waiting += digest.callers_waiting
        _add(self.online, digest.online.items(), 1)
        _add(self.demand, digest.demand.items(), 1)
        _add(self.failing, ((name, 1) for name in digest.failing), 1)
        self._add_batch(digest)

    def remove(self, digest: Digest) -> None:
        """Count it no more, without its outcomes."""
        self.items_waiting -= digest.items_waiting
        self.callers_waiting -= digest.callers_waiting
        _add(self.online, digest.online.items(), -1)
        _add(self.demand, digest.demand.items(), -1)
        _add(self.failing, ((name, 1) for name in digest.failing), -1)
        self._drop_batch(digest)

    def replace(self, before: Digest, after: Digest) -> None:
        """Count a host's newest digest in place of the one before, by what changed."""
        self.items_waiting += after.items_waiting - before.items_waiting
        self.callers_waiting += after.callers_waiting - before.callers_waiting
        if before.demand != after.demand:
            _add(self.demand, before.demand.items(), -1)
            _add(self.demand, after.demand.items(), 1)
        if before.online != after.online:
            _add(self.online, before.online.items(), -1)
            _add(self.online, after.online.items(), 1)
        if before.failing != after.failing:
            _add(self.failing, ((name, 1) for name in before.failing), -1)
            _add(self.failing, ((name, 1) for name in after.failing), 1)
        if before.batch != after.batch:
            self._drop_batch(before)
            self._add_batch(after)

    def _add_batch(self, digest: Digest) -> None:
        for name, count in digest.batch.items():
            self.batch[name][digest.host] = count

    def _drop_batch(self, digest: Digest) -> None:
        for name in digest.batch:
            del self.batch[name][digest.host]
            if not self.batch[name]:
                del self.batch[name]

    def replace_outcomes(self, before: Digest | None, after: Digest | None) -> None:
        """Replace what a host told of its requests' outcomes."""
        for digest, sign in ((before, -1), (after, 1)):
            if digest is None:
                continue
            for name, (answered, failed) in digest.outcomes.items():
                counts = self.outcomes[name]
                both = (
                    ((digest.domain, True), answered),
                    ((digest.domain, False), failed),
                )
                _add(counts, both, sign)
                _add(self.failed, ((name, failed),), sign)
                if not counts:
                    del self.outcomes[name]


def _add(
    counter: collections.Counter,
    counts: collections.abc.Iterable[tuple[typing.Any, int]],
    sign: int,
) -> None:
    """Add counts, or take them off; what falls to zero is dropped."""
    for name, count in counts:
        if count:
            counter[name] += sign * count
            if not counter[name]:
                del counter[name]


@attrs.define(eq=False)
class HostDirectory:
    """Know the other hosts from their rows and their digests."""

    host_id: str
    instance: str
    clock: clocks.Clock
    trace: traces.Trace
    on_unreachable: collections.abc.Callable[[str], None] = lambda host: None
    on_reachable: collections.abc.Callable[[], None] = lambda: None
    table_age_s: collections.abc.Callable[[], float] = lambda: 0.0
    domain: str = ""
    counted_at: float = float("-inf")
    last_counted: tuple[int, int] = (0, 1)
    records: dict[str, HostRecord] = attrs.Factory(dict)
    peers: dict[str, Peer] = attrs.Factory(dict)
    totals: FleetTotals = attrs.Factory(FleetTotals)

    def update(self, changed: list[rows.Row]) -> None:
        """Take changed rows of the hosts' table."""
        now = self.clock.monotonic()
        for row in changed:
            name = row.address.key
            if row.value is None:
                self.records.pop(name, None)
                self.trace.emit("host_left", host=name)
                continue
            try:
                given = json.loads(row.value)
                found = HostRecord(
                    name,
                    str(given["instance"]),
                    str(given["address"]),
                    int(given["renewals"]),
                    now,
                    str(given.get("domain", "")),
                    float(given.get("cores", 1.0)),
                )
            except (ValueError, KeyError, TypeError) as error:
                self.trace.emit("host_unreadable", host=name, reason=repr(error))
                continue
            before = self.records.get(name)
            self.records[name] = found
            if before is None or before.instance != found.instance:
                self.trace.emit("host", host=name, instance=found.instance)

    def receive(self, digest: Digest) -> bool:
        """Take a digest; return whether it is news."""
        if digest.host == self.host_id:
            return False
        peer = self.peers.get(digest.host)
        if peer is None or peer.digest.instance != digest.instance:
            self._meet(peer, digest)
            return True
        if peer.sequence >= digest.sequence:
            return False
        if peer.unreachable:
            self._note_heard(digest)
        before, now = peer.digest, self.clock.monotonic()
        if not digest.full:
            digest.table_ages, digest.outcomes = before.table_ages, before.outcomes
        else:
            peer.full_at = now
            if before.outcomes != digest.outcomes:
                self.totals.replace_outcomes(before, digest)
        self.totals.replace(before, digest)
        peer.digest, peer.sequence, peer.received_at = digest, digest.sequence, now
        peer.unreachable = False
        return True

    def _meet(self, before: Peer | None, digest: Digest) -> None:
        """Take the first digest of a host's incarnation."""
        if before is not None:
            self.totals.remove(before.digest)
        self.totals.replace_outcomes(before and before.digest, digest)
        self.totals.add(digest)
        now = self.clock.monotonic()
        self.peers[digest.host] = Peer(digest, now, now, sequence=digest.sequence)
        self._note_heard(digest)

    def _note_heard(self, digest: Digest) -> None:
        self.trace.emit("peer_heard", host=digest.host, instance=digest.instance)
        self.on_reachable()

    def receive_heartbeat(self, heartbeat: Heartbeat) -> Digest | None:
        """Take a sign of life; return the digest that it confirms, if that is here.

        Of a host that is silent or unknown here, the next digest tells more.
        """
        peer = self.peers.get(heartbeat.host)
        if (
            peer is None
            or peer.unreachable
            or peer.digest.instance != heartbeat.instance
        ):
            return None
        if peer.sequence >= heartbeat.sequence:
            return None
        peer.sequence, peer.received_at = heartbeat.sequence, self.clock.monotonic()
        return (
            peer.digest if peer.digest.sequence >= heartbeat.digest_sequence else None
        )

    @property
    def relayed(self) -> bool:
        """Return whether digests go through relays, as hosts are many."""
        return len(self.records) > MAX_DIRECT_HOSTS

    def receive_pause_s(self) -> float:
        """Return the seconds between two reads of digests that come together."""
        if self.relayed:
            return RELAYED_PAUSE_S
        return min(MAX_RECEIVE_PAUSE_S, RECEIVE_PAUSE_RATIO * self.digest_period_s())

    def row_renewal_s(self) -> float:
        """Return the seconds between two renewals of this host's row."""
        return max(RENEW_S, len(self.records) / MAX_RENEWALS_PER_S)

    def table_read_s(self) -> float:
        """Return the seconds between two reads of the hosts' rows."""
        least_s = RELAYED_READ_S if self.relayed else READ_S
        return max(least_s, len(self.records) / MAX_READS_PER_S)

    def is_stopping(self, host: str) -> bool:
        """Return whether a host said that it stops."""
        peer = self.peers.get(host)
        return peer is not None and peer.digest.stopping

    def address_of(self, host: str) -> str:
        """Return where a host takes digests, or nothing."""
        found = self.records.get(host)
        if found is not None:
            return found.address
        peer = self.peers.get(host)
        return "" if peer is None else peer.digest.address

    def digest_period_s(self) -> float:
        """Return the seconds between two digests of one host."""
        wanted = len(self.records) / MAX_DIGESTS_PER_S
        return min(MAX_DIGEST_PERIOD_S, max(DIGEST_PERIOD_S, wanted))

    def min_digest_gap_s(self) -> float:
        """Return the least seconds between two digests of one host."""
        return min(
            self.digest_period_s(), max(NUDGE_S, len(self.records) / MAX_NUDGED_PER_S)
        )

    def unreachable_s(self) -> float:
        """Return the silence after which a host is not heard any more."""
        if self.relayed:
            return max(
                RELAYED_SILENT_S, RELAYED_SILENT_PERIODS * self.digest_period_s()
            )
        return max(UNREACHABLE_S, SILENT_PERIODS * self.digest_period_s())

    def expire(self) -> None:
        """Note who fell silent."""
        now = self.clock.monotonic()
        unreachable_s = self.unreachable_s()
        forget_s = max(FORGET_S, FORGET_SILENCES * unreachable_s)
        for name, peer in list(self.peers.items()):
            age = now - peer.received_at
            if age > unreachable_s and not peer.unreachable:
                peer.unreachable = True
                # Its requests still run; its judgement of servers is out of date, and
                # its callers' claims must not keep room from others.
                self.totals.remove(peer.digest)
                self.totals.replace_outcomes(peer.digest, None)
                peer.digest = attrs.evolve(
                    peer.digest, failing=[], outcomes={}, demand={}, callers_waiting=0
                )
                self.totals.add(peer.digest)
                self.on_unreachable(name)
                self.trace.emit("peer_silent", host=name, age_s=round(age, 2))
            if age > forget_s:
                self.totals.remove(peer.digest)
                self.totals.replace_outcomes(peer.digest, None)
                del self.peers[name]

    def reachable(self) -> list[Digest]:
        """Return the digests of hosts that are heard now."""
        return [peer.digest for peer in self.peers.values() if not peer.unreachable]

    def is_reachable(self, host: str, instance: str) -> bool:
        """Return whether this incarnation of a host is heard now."""
        peer = self.peers.get(host)
        if peer is None or peer.unreachable:
            return False
        return peer.digest.instance == instance

    def reaches_majority(self) -> bool:
        """Return whether this host hears more than half of the hosts with rows."""
        heard = 1 + sum(not peer.unreachable for peer in self.peers.values())
        return 2 * heard > len(self.records)

    def is_renewed(self, record: HostRecord, seconds: float) -> bool:
        """Return whether a host renewed its row within so many seconds.

        Time through which this host was not told of renewals does not count.
        """
        return record.renewed_at > self._told_until() - seconds

    def _told_until(self) -> float:
        """Return the monotonic time until which this host was told of renewals."""
        table_age_s = self.table_age_s()
        missed_s = table_age_s if table_age_s > self.table_read_s() + STALE_S else 0.0
        return self.clock.monotonic() - missed_s

    def count_quota_holders(self) -> tuple[int, int]:
        """Return how many hosts hold a share of the quotas here, and how many share.

        Hosts that hear all others hold the whole. Otherwise those that are not heard
        release the shares of hosts whose rows are not renewed, which therefore do not
        count here either. Many hosts are counted anew now and then only.
        """
        now = self.clock.monotonic()
        if not self.relayed or now >= self.counted_at + COUNT_S:
            self.counted_at, self.last_counted = now, self._count_hosts()
        return self.last_counted

    def _count_hosts(self) -> tuple[int, int]:
        since = self._told_until() - EXPIRE_S
        names = {
            name for name, found in self.records.items() if found.renewed_at > since
        }
        members = {digest.host for digest in self.reachable()} | {self.host_id}
        names |= members
        if members == names:
            return len(members), len(names)
        now = self.clock.monotonic()
        holding = [
            name
            for name in members & self.records.keys()
            if now - self.records[name].renewed_at < GIVE_UP_S
        ]
        return len(holding), len(names)

    def peer_addresses(self) -> list[str]:
        """Return where the other hosts listen."""
        return [
            found.address
            for name, found in self.records.items()
            if name != self.host_id and found.address
        ]
