"""Track the other hosts by their rows in the store and by the digests they gossip."""

import collections
import collections.abc
import itertools
import operator
import typing

import attrs
import msgspec

from turmerictally import clock as clocks
from turmerictally.entry import decoding
from turmerictally.entry import trace as traces
from turmerictally.scheduling import (
    prompt_quarantine,
    request_quarantine,
    server_answers,
    server_limits,
    server_reach,
    stream_origins,
)
from turmerictally.store import rows

# A sixth of a typical latency objective. With many hosts the period grows, so that a
# host receives about 200 digests a second, which take some 2% of a small core.
DIGEST_PERIOD_S = 0.05
MAX_DIGESTS_PER_S = 200.0
MAX_DIGEST_PERIOD_S = 2.0  # at 400 hosts and more; below PEER_TTL_S
MAX_DIRECT_HOSTS = 24  # larger fleets send digests through relays
MIN_DIGEST_GAP_S = 0.02  # before an early digest, sent when a server has become full
# Bounds what one host receives when all hosts send early digests at once, to a tenth
# of a core: otherwise starts and faults would flood the hosts that serve. An online
# request that has queued behind batch items waits until this digest has arrived.
MAX_EARLY_DIGESTS_PER_S = 1000.0
# Pause between two reads of the socket, as a ratio of the period: digests that arrive
# close together are handled in one wake-up.
RECEIVE_PAUSE_RATIO = 0.2
MAX_RECEIVE_PAUSE_S = 0.03  # a tenth of a typical latency objective
RELAYED_RECEIVE_PAUSE_S = 0.01  # shorter, as relays have delayed bundles already
# Eight lost digests in a row, or a host that was too busy to send for that long.
UNREACHABLE_S = 0.4
UNREACHABLE_PERIODS = 3  # at the longer periods of many hosts
# Longer with relays: a digest passes three links, each of which may lose it.
RELAYED_UNREACHABLE_S = 1.0
RELAYED_UNREACHABLE_PERIODS = 4
PEER_TTL_S = 2.5  # after this an unreachable host's requests count as ended
PEER_TTL_TIMEOUTS = 2  # with many hosts, in times after which one is unreachable
MIN_ROW_RENEWAL_S = 1.5  # between two renewals of this host's row
MAX_RENEWALS_PER_S = 20.0  # of all hosts together; every host reads each renewal
# A host whose row was not renewed for this long holds no quota share any more.
ROW_TTL_S = 30.0
# A host releases its own quota share earlier, as others may see its last renewal some
# seconds late.
SHARE_RELEASE_S = 25.0
# Two renewals and the time in which hosts start again. What is spent meanwhile is
# mostly refilled.
MAX_LEVELS_AGE_S = 5.0
TABLE = "hosts"
RECOUNT_S = 0.25  # between two counts of many hosts; below RELAYED_UNREACHABLE_S
MIN_TABLE_READ_S = 1.0  # between two reads of the hosts' rows
# Longer with relays, where digests show which hosts live; well below the difference
# between SHARE_RELEASE_S and ROW_TTL_S.
MIN_RELAYED_TABLE_READ_S = 3.5
MAX_TABLE_READS_PER_S = 100.0  # of all hosts together
# A local copy of the hosts' table that is older than the interval between its reads by
# this much misses renewals; a single call may take 1.5 s.
STALE_TABLE_S = 1.6
MAX_AGE_S = 1e6  # stands for "never" in digests
MAX_MOST_URGENT = 16  # of all services together, in one digest
# Precedes the name of a service among the names of servers in a digest.
WAITING_PREFIX = "waiting for "
CALLERS_PREFIX = "callers waiting for "


# Answered and failed requests.
Outcomes = typing.Annotated[
    list[decoding.Count], msgspec.Meta(min_length=2, max_length=2)
]
Speeds = typing.Annotated[
    list[decoding.Number], msgspec.Meta(min_length=3, max_length=3)
]


@attrs.define
class Digest:
    """Hold the state that a host gossips.

    ``online`` and ``batch`` count its requests in flight by server, ``items_waiting``
    its queued batch items, ``callers_waiting`` its queued online requests within their
    team's share, which ``online`` holds by service under ``callers_name``, and
    ``demand``, by service and team, the slots that its online requests hold or wait
    for. ``admitted`` and ``requested`` are counters by team since
    the host's start; unless ``baseline``, teams without recent requests are omitted.
    ``baseline_requests`` names the hosts whose baseline this one misses, ``failing``
    the servers that it avoids. ``speeds`` gives by server the fields of
    ``scheduling.server_speeds.SpeedReport``, ``batch_urgencies``, by server, the
    urgencies of its running items as in ``scheduling.item_order.urgency``, and under
    ``waiting_name`` of a service those of the most urgent items that wait for it. It
    also lists the streams that began lately, as ``scheduling.stream_origins`` names
    them, and the failed attempts of batch items, as ``scheduling.item_attempts`` does.
    ``waiting_urgencies`` holds the most urgent of all services, for hosts of versions
    that don't know those names. ``job_states`` holds the rows of job states that it
    wrote recently, each with its version.

    ``outcomes`` (recently answered and failed requests by server) and ``table_ages``
    (version and age in seconds of each watched table) are sent in ``full`` digests
    only; between two of them the last values hold. So are ``removed`` (by server, the
    store's version at which its registration was removed) and ``leaving`` (by server,
    the start time of the incarnation that said it leaves) and ``accused_parts`` (the
    evidence against prompt parts of online requests, as in
    ``scheduling.prompt_quarantine.Report``), ``accused_item_parts`` (the same of batch
    items), ``accused_requests`` (that against requests, as in
    ``scheduling.request_quarantine.Report``), ``limits`` (those that servers named, as
    in ``scheduling.server_limits.Report``) and ``answered_servers`` (whose crashes were
    none, as in ``scheduling.server_answers.Report``). ``paths_lost`` is set while the
    host reaches no server though others do, and ``answer_age_s`` tells how long ago a
    server last answered it.
    """

    host: str
    instance: str
    address: str
    sequence: decoding.Count
    online: dict[str, decoding.Count]
    batch: dict[str, decoding.Count]
    items_waiting: decoding.Count
    admitted: dict[str, decoding.Count]
    requested: dict[str, decoding.Count]
    table_ages: dict[str, tuple[decoding.Count, decoding.Seconds]]
    store_age_s: decoding.Seconds
    failing: list[str]
    domain: str = ""
    outcomes: dict[str, Outcomes] = attrs.Factory(dict)
    full: bool = True
    baseline: bool = True
    baseline_requests: list[str] = attrs.Factory(list)
    stopping: bool = False
    removed: dict[str, decoding.Count] = attrs.Factory(dict)
    leaving: dict[str, decoding.Count] = attrs.Factory(dict)
    demand: dict[str, decoding.Count] = attrs.Factory(dict)
    speeds: dict[str, Speeds] = attrs.Factory(dict)
    callers_waiting: decoding.Count = 0
    job_states: dict[str, tuple[decoding.Count, bytes]] = attrs.Factory(dict)
    waiting_urgencies: list[decoding.Integer] = attrs.Factory(list)
    batch_urgencies: dict[str, list[decoding.Integer]] = attrs.Factory(dict)
    accused_parts: prompt_quarantine.Report = attrs.Factory(dict)
    limits: server_limits.Report = attrs.Factory(dict)
    answered_servers: server_answers.Report = attrs.Factory(dict)
    accused_requests: request_quarantine.Report = attrs.Factory(dict)
    accused_item_parts: prompt_quarantine.Report = attrs.Factory(dict)
    paths_lost: bool = False
    answer_age_s: decoding.Seconds = MAX_AGE_S

    @property
    def unnamed_callers(self) -> int:
        """Return its waiting callers unless it tells them by service."""
        named = any(name.startswith(CALLERS_PREFIX) for name in self.online)
        return 0 if named else self.callers_waiting

    def has_same_load(self, other: "Digest") -> bool:
        """Return whether both report the same load and the same failing servers."""
        return (
            self.online == other.online
            and self.batch == other.batch
            and self.items_waiting == other.items_waiting
            and self.failing == other.failing
            and self.paths_lost == other.paths_lost
            and self.demand == other.demand
            and self.callers_waiting == other.callers_waiting
            and self.waiting_urgencies == other.waiting_urgencies
            and self.batch_urgencies == other.batch_urgencies
        )

    def has_same_content(self, other: "Digest") -> bool:
        """Return whether both report the same, apart from what only full ones hold."""
        return (
            self.has_same_load(other)
            and self.stopping == other.stopping
            and self.admitted == other.admitted
            and self.requested == other.requested
            and self.baseline_requests == other.baseline_requests
            and self.job_states == other.job_states
        )

    def encode(self) -> bytes:
        """Encode the fields as a msgpack array, in their order."""
        return _ENCODER.encode(_VALUES(self))


def waiting_name(service: str) -> str:
    """Return the name under which a digest tells of items that wait for a service.

    No server has it, so that versions which look up servers only ignore it. They read
    no digests with further fields.
    """
    return f"{WAITING_PREFIX}{service}"


def version_name(service: str, software: str) -> str:
    """Return the name of the servers of one version of a service, empty for any."""
    return f"{service}{stream_origins.SEPARATOR}{software}" if software else service


def callers_name(service: str) -> str:
    """Return the name under which a digest counts callers that wait for a service."""
    return f"{CALLERS_PREFIX}{service}"


def named_callers(
    running: collections.abc.Mapping[str, int],
    waiting: collections.abc.Mapping[str, int],
) -> dict[str, int]:
    """Return the callers that are served, by server, or wait, by service."""
    by_server = {server: count for server, count in running.items() if count}
    return by_server | {callers_name(name): n for name, n in waiting.items()}


def named_urgencies(
    running: collections.abc.Mapping[str, list[int]],
    waiting: collections.abc.Mapping[str, list[int]],
) -> dict[str, list[int]]:
    """Return the urgencies of items that run, by server, or wait, by service."""
    by_server = {server: list(urgencies) for server, urgencies in running.items()}
    return by_server | {waiting_name(name): each for name, each in waiting.items()}


def most_urgent(waiting: collections.abc.Mapping[str, list[int]]) -> list[int]:
    """Return the lowest urgencies of items that wait for any service."""
    return sorted(itertools.chain(*waiting.values()))[:MAX_MOST_URGENT]


_VALUES = operator.attrgetter(*(field.name for field in attrs.fields(Digest)))
_ENCODER = msgspec.msgpack.Encoder()
_AGES = dict[str, decoding.Seconds]
_PARTS = dict[str, tuple[decoding.Count, decoding.Seconds, decoding.Seconds, _AGES]]
_REQUESTS = dict[
    str,
    tuple[
        tuple[str, ...],
        decoding.Seconds,
        decoding.Seconds,
        dict[str, tuple[decoding.Seconds, bool]],
    ],
]
# Reports of modules that don't know the bounds of decoded values.
_TYPES = typing.get_type_hints(Digest, include_extras=True) | {
    "accused_parts": _PARTS,
    "accused_item_parts": _PARTS,
    "accused_requests": _REQUESTS,
    "answered_servers": _AGES,
    "answer_age_s": decoding.Seconds,
    "limits": dict[str, tuple[decoding.Number, decoding.Seconds, decoding.Count]],
}
_DECODER = msgspec.msgpack.Decoder(tuple[*_TYPES.values()])


def decode(data: bytes) -> Digest:
    """Return the digest; raises ``decoding.DecodeError``."""
    digest = Digest(*decoding.decode(_DECODER, data))
    decoding.check_address(digest.address)
    return digest


class Heartbeat(typing.NamedTuple):
    """Confirm that a host lives and that its digest ``digest_sequence`` still holds."""

    host: str
    instance: str
    sequence: int
    digest_sequence: int


@attrs.define
class Peer:
    """Hold the last digest of another host.

    ``received_at`` and ``full_at`` are the monotonic seconds at which its last digest
    or heartbeat and its last full digest arrived; ``sequence`` is the highest received.
    """

    digest: Digest
    received_at: float
    full_at: float
    unreachable: bool = False
    sequence: int = 0


@attrs.frozen
class HostRecord:
    """Hold a host's row; ``renewed_at`` is when its last renewal was seen (monotonic).

    ``cores`` is the share of processor cores that the host may use. ``quota_levels``
    holds the levels of the teams' buckets at ``levels_at_s`` on the store's clock, and
    ``quarantined_parts`` and ``quarantined_requests`` the evidence against those.
    ``software_versions`` gives the time on the store's clock at which it last knew a
    server of each version, and ``streams`` the streams that began there lately.
    """

    host: str
    instance: str
    address: str
    renewals: int
    renewed_at: float
    domain: str = ""
    cores: float = 1.0
    quota_levels: dict[str, float] = attrs.Factory(dict)
    levels_at_s: float = 0.0
    quarantined_parts: prompt_quarantine.Record = attrs.Factory(dict)
    quarantined_requests: request_quarantine.Record = attrs.Factory(dict)
    software_versions: dict[stream_origins.Origin, float] = attrs.Factory(dict)
    streams: stream_origins.Report = attrs.Factory(dict)


def _read_record(name: str, value: bytes, now: float) -> HostRecord:
    """Return the record of a host's row; raises ``decoding.DecodeError``."""
    fields = decoding.read_object(value)
    return HostRecord(
        decoding.check_name(name),
        fields.name("instance"),
        fields.address("address"),
        fields.integer("renewals"),
        now,
        fields.text("domain", default=""),
        fields.number("cores", default=1.0),
        fields.map("quota_levels", decoding.check_number),
        fields.number("levels_at_s", default=0.0),
        fields.map("quarantined_parts", _read_part),
        fields.map("quarantined_requests", _read_request),
        dict(map(_read_version, _lists(fields, "software_versions"))),
        dict(map(_read_streams, _lists(fields, "streams"))),
    )


def _lists(fields: decoding.Object, field: str) -> list[list[typing.Any]]:
    values = fields.get(field, decoding.check_list, default=[])
    return [decoding.check_list(value) for value in values]


def _read_version(value: list[typing.Any]) -> tuple[stream_origins.Origin, float]:
    """Return an origin and when it last had a server, on the store's clock."""
    match value:
        case [service, software, seen_at_s]:
            return _read_origin(service, software), decoding.check_number(
                seen_at_s, -decoding.MAX_NUMBER
            )
    raise decoding.DecodeError("expected a service, a version and a time")


def _read_streams(
    value: list[typing.Any],
) -> tuple[stream_origins.Origin, list[int]]:
    """Return an origin and the keys of streams that began there."""
    match value:
        case [service, software, keys]:
            return _read_origin(service, software), [
                decoding.check_integer(key) for key in decoding.check_list(keys)
            ]
    raise decoding.DecodeError("expected a service, a version and streams")


def _read_origin(service: typing.Any, software: typing.Any) -> stream_origins.Origin:
    return stream_origins.Origin(
        decoding.check_name(service),
        decoding.check_text(software, decoding.MAX_NAME_LENGTH),
    )


def _read_part(value: typing.Any) -> tuple[int, dict[str, float]]:
    """Return the evidence against a prompt part."""
    match decoding.check_list(value):
        case [position, times]:
            fields = decoding.Object({"times": times})
            # The store's clock may have started after a crash.
            return decoding.check_integer(position), fields.map(
                "times", decoding.check_number, -decoding.MAX_NUMBER
            )
    raise decoding.DecodeError("expected a position and times")


def _read_request(
    value: typing.Any,
) -> tuple[tuple[str, ...], request_quarantine.Crashes]:
    """Return the evidence against a request."""
    match decoding.check_list(value):
        case [parts, crashes]:
            fields = decoding.Object({"crashes": crashes})
            return tuple(
                map(decoding.check_encodable, decoding.check_list(parts))
            ), fields.map("crashes", _read_crash)
    raise decoding.DecodeError("expected parts and crashes")


def _read_crash(value: typing.Any) -> tuple[float, bool]:
    match decoding.check_list(value):
        case [at, bool(strong)]:
            return decoding.check_number(at, -decoding.MAX_NUMBER), strong
    raise decoding.DecodeError("expected a time and whether it is strong evidence")


@attrs.define(eq=False)
class FleetTotals:
    """Sum the other hosts' counts; an update costs only its digest's own entries.

    ``callers_waiting`` counts those of hosts that don't tell them by service.
    """

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
        """Add a host's newest digest, apart from its outcomes."""
        self.items_waiting += digest.items_waiting
        self.callers_waiting += digest.unnamed_callers
        _add(self.online, digest.online.items(), 1)
        _add(self.demand, digest.demand.items(), 1)
        _add(self.failing, ((name, 1) for name in digest.failing), 1)
        self._add_batch(digest)

    def remove(self, digest: Digest) -> None:
        """Subtract a digest that was added, apart from its outcomes."""
        self.items_waiting -= digest.items_waiting
        self.callers_waiting -= digest.unnamed_callers
        _add(self.online, digest.online.items(), -1)
        _add(self.demand, digest.demand.items(), -1)
        _add(self.failing, ((name, 1) for name in digest.failing), -1)
        self._remove_batch(digest)

    def replace(self, before: Digest, after: Digest) -> None:
        """Replace a host's digest by its next one, updating only what changed."""
        self.items_waiting += after.items_waiting - before.items_waiting
        self.callers_waiting += after.unnamed_callers - before.unnamed_callers
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
            self._remove_batch(before)
            self._add_batch(after)

    def _add_batch(self, digest: Digest) -> None:
        for name, count in digest.batch.items():
            self.batch[name][digest.host] = count

    def _remove_batch(self, digest: Digest) -> None:
        for name in digest.batch:
            del self.batch[name][digest.host]
            if not self.batch[name]:
                del self.batch[name]

    def replace_outcomes(self, before: Digest | None, after: Digest | None) -> None:
        """Replace the request outcomes that a host reported."""
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
    """Add or subtract counts; entries that become zero are deleted."""
    for name, count in counts:
        if count:
            counter[name] += sign * count
            if not counter[name]:
                del counter[name]


@attrs.define(eq=False)
class HostDirectory:
    """Hold the other hosts' rows and digests, and detect unreachable hosts."""

    host_id: str
    instance: str
    clock: clocks.Clock
    trace: traces.Trace
    on_unreachable: collections.abc.Callable[[str], None] = lambda host: None
    on_reachable: collections.abc.Callable[[], None] = lambda: None
    request_ttl_s: collections.abc.Callable[[], float] = lambda: PEER_TTL_S
    table_age_s: collections.abc.Callable[[], float] = lambda: 0.0
    domain: str = ""
    counted_at: float = float("-inf")
    last_count: tuple[int, int] = (0, 1)
    records: dict[str, HostRecord] = attrs.Factory(dict)
    peers: dict[str, Peer] = attrs.Factory(dict)
    totals: FleetTotals = attrs.Factory(FleetTotals)
    started_at: float = float("-inf")

    def update(self, changed: list[rows.Row]) -> None:
        """Apply changed rows of the hosts' table."""
        now = self.clock.monotonic()
        for row in changed:
            name = row.address.key
            if row.value is None:
                self.records.pop(name, None)
                self.trace.emit("host_left", host=decoding.loggable(name))
                continue
            try:
                record = _read_record(name, row.value, now)
            except decoding.DecodeError as error:
                self.trace.emit(
                    "host_unreadable",
                    host=decoding.loggable(name),
                    version=row.version,
                    reason=str(error),
                )
                continue
            before = self.records.get(name)
            self.records[name] = record
            if before is None or before.instance != record.instance:
                self.trace.emit("host", host=name, instance=record.instance)

    def receive(self, digest: Digest) -> bool:
        """Apply another host's digest; return False if it is no newer than the last."""
        if digest.host == self.host_id:
            return False
        peer = self.peers.get(digest.host)
        if peer is None or peer.digest.instance != digest.instance:
            self._add_peer(peer, digest)
            return True
        if peer.sequence >= digest.sequence:
            return False
        if peer.unreachable:
            self._report_reachable(digest)
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

    def _add_peer(self, before: Peer | None, digest: Digest) -> None:
        """Apply the first digest of a host's incarnation."""
        if before is not None:
            self.totals.remove(before.digest)
        self.totals.replace_outcomes(before and before.digest, digest)
        self.totals.add(digest)
        now = self.clock.monotonic()
        self.peers[digest.host] = Peer(digest, now, now, sequence=digest.sequence)
        self._report_reachable(digest)

    def _report_reachable(self, digest: Digest) -> None:
        self.trace.emit("peer_heard", host=digest.host, instance=digest.instance)
        self.on_reachable()

    def receive_heartbeat(self, heartbeat: Heartbeat) -> Digest | None:
        """Apply a heartbeat; return the digest that it confirms, unless that was lost.

        Heartbeats of hosts that are unreachable or unknown are ignored: such a host
        becomes reachable with its next digest.
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
        """Return whether the fleet is large enough to send digests through relays."""
        return len(self.records) > MAX_DIRECT_HOSTS

    def receive_pause_s(self) -> float:
        """Return the seconds to wait between two reads of received digests."""
        if self.relayed:
            return RELAYED_RECEIVE_PAUSE_S
        return min(MAX_RECEIVE_PAUSE_S, RECEIVE_PAUSE_RATIO * self.digest_period_s())

    def row_renewal_s(self) -> float:
        """Return the seconds between two renewals of this host's row."""
        return max(MIN_ROW_RENEWAL_S, len(self.records) / MAX_RENEWALS_PER_S)

    def table_read_s(self) -> float:
        """Return the seconds between two reads of the hosts' rows."""
        min_s = MIN_RELAYED_TABLE_READ_S if self.relayed else MIN_TABLE_READ_S
        return max(min_s, len(self.records) / MAX_TABLE_READS_PER_S)

    def is_stopping(self, host: str) -> bool:
        """Return whether a host's last digest says that it stops."""
        peer = self.peers.get(host)
        return peer is not None and peer.digest.stopping

    def recorded_levels(self, store_now_s: float) -> dict[str, float]:
        """Return the lowest recent level of each team's bucket in the hosts' rows."""
        recent = [
            record.quota_levels
            for record in self.records.values()
            if record.quota_levels
            and store_now_s - record.levels_at_s <= MAX_LEVELS_AGE_S
        ]
        teams = set().union(*recent)
        return {team: min(levels.get(team, 0.0) for levels in recent) for team in teams}

    def waiting_urgencies(self, service: str, software: str = "") -> list[int]:
        """Return the urgencies of the items that wait for a service elsewhere.

        They are those that wait for servers of one version, or for any without one.
        Items on hosts of versions that tell them for all services together don't count.
        """
        name = waiting_name(version_name(service, software))
        return [
            urgency
            for digest in self.reachable()
            for urgency in digest.batch_urgencies.get(name, ())
        ]

    def callers_waiting(self, service: str) -> int:
        """Return how many callers within their team's share wait elsewhere.

        Those on hosts of versions that count them for all services together count for
        each.
        """
        return self.totals.callers_waiting + self.totals.online[callers_name(service)]

    def batch_urgencies(self, server: str) -> dict[str, list[int]]:
        """Return the urgencies of the batch items on a server, by other host."""
        return {
            name: peer.digest.batch_urgencies[server]
            for name, peer in self.peers.items()
            if server in peer.digest.batch_urgencies
        }

    def address_of(self, host: str) -> str:
        """Return the address where a host receives digests, or "" if it is unknown."""
        record = self.records.get(host)
        if record is not None:
            return record.address
        peer = self.peers.get(host)
        return "" if peer is None else peer.digest.address

    def digest_period_s(self) -> float:
        """Return the seconds between two regular digests of one host."""
        scaled_s = len(self.records) / MAX_DIGESTS_PER_S
        return min(MAX_DIGEST_PERIOD_S, max(DIGEST_PERIOD_S, scaled_s))

    def min_digest_gap_s(self) -> float:
        """Return the least seconds between two digests of one host."""
        return min(
            self.digest_period_s(),
            max(MIN_DIGEST_GAP_S, len(self.records) / MAX_EARLY_DIGESTS_PER_S),
        )

    def unreachable_s(self) -> float:
        """Return the seconds without a digest after which a host is unreachable."""
        if self.relayed:
            return max(
                RELAYED_UNREACHABLE_S,
                RELAYED_UNREACHABLE_PERIODS * self.digest_period_s(),
            )
        return max(UNREACHABLE_S, UNREACHABLE_PERIODS * self.digest_period_s())

    def expire(self) -> None:
        """Mark hosts unreachable, and later remove them, that send no digests."""
        now = self.clock.monotonic()
        unreachable_s = self.unreachable_s()
        ttl_s = max(PEER_TTL_S, PEER_TTL_TIMEOUTS * unreachable_s)
        for name, peer in list(self.peers.items()):
            age = now - peer.received_at
            if age > unreachable_s and not peer.unreachable:
                peer.unreachable = True
                # Its requests may still run and stay counted. Its view of servers is
                # out of date, and slots that its callers wait for must not be withheld
                # from other hosts.
                self.totals.remove(peer.digest)
                self.totals.replace_outcomes(peer.digest, None)
                peer.digest = attrs.evolve(
                    peer.digest,
                    online={
                        server: count
                        for server, count in peer.digest.online.items()
                        if not server.startswith(CALLERS_PREFIX)
                    },
                    failing=[],
                    outcomes={},
                    demand={},
                    callers_waiting=0,
                )
                self.totals.add(peer.digest)
                self.on_unreachable(name)
                self.trace.emit("peer_silent", host=name, age_s=round(age, 2))
            if peer.unreachable and peer.digest.online and age > self.request_ttl_s():
                self.totals.remove(peer.digest)
                peer.digest = attrs.evolve(peer.digest, online={})
                self.totals.add(peer.digest)
            if age > ttl_s:
                self.totals.remove(peer.digest)
                self.totals.replace_outcomes(peer.digest, None)
                del self.peers[name]

    def reachable(self) -> list[Digest]:
        """Return the last digests of all reachable hosts."""
        return [peer.digest for peer in self.peers.values() if not peer.unreachable]

    def peer_reaches(self) -> list[server_reach.PeerReach]:
        """Return whether the reachable hosts are answered by servers."""
        return [
            server_reach.PeerReach(
                peer.received_at - peer.digest.answer_age_s, peer.digest.paths_lost
            )
            for peer in self.peers.values()
            if not peer.unreachable
        ]

    def is_reachable(self, host: str, instance: str) -> bool:
        """Return whether this incarnation of a host is reachable."""
        peer = self.peers.get(host)
        if peer is None or peer.unreachable:
            return False
        return peer.digest.instance == instance

    def reaches_majority(self) -> bool:
        """Return whether more than half of the hosts with rows are reachable."""
        reachable = 1 + sum(not peer.unreachable for peer in self.peers.values())
        return 2 * reachable > len(self.records)

    def is_renewed(self, record: HostRecord, seconds: float) -> bool:
        """Return whether a host renewed its row within the last ``seconds``.

        Time during which this host could not read renewals does not count.
        """
        return record.renewed_at > self.renewals_known_until() - seconds

    def renewals_known_until(self) -> float:
        """Return the monotonic time up to which this host has read renewals."""
        table_age_s = self.table_age_s()
        missed_s = (
            table_age_s if table_age_s > self.table_read_s() + STALE_TABLE_S else 0.0
        )
        return self.clock.monotonic() - missed_s

    def count_quota_holders(self) -> tuple[int, int]:
        """Return how many hosts of the reachable group, and of all, hold quota shares.

        A group that includes every host holds the whole quota. Otherwise the hosts
        outside it take over the shares of hosts whose rows are not renewed, which
        therefore do not count here either. In large fleets the count is cached for
        ``RECOUNT_S``.
        """
        now = self.clock.monotonic()
        if not self.relayed or now >= self.counted_at + RECOUNT_S:
            self.counted_at, self.last_count = now, self._count_quota_holders()
        return self.last_count

    def _count_quota_holders(self) -> tuple[int, int]:
        since = self.renewals_known_until() - ROW_TTL_S
        names = {
            name for name, record in self.records.items() if record.renewed_at > since
        }
        members = {digest.host for digest in self.reachable()} | {self.host_id}
        names |= members
        if members == names:
            return len(members), len(names)
        now = self.clock.monotonic()
        holders = [
            name
            for name in members & self.records.keys()
            if now - self.records[name].renewed_at < SHARE_RELEASE_S
        ]
        return len(holders), len(names)

    def peer_addresses(self) -> list[str]:
        """Return the addresses where the other hosts receive digests."""
        return [
            record.address
            for name, record in self.records.items()
            if name != self.host_id and record.address
        ]
