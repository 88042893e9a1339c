"""Choose the backend server of a request, and where batch items start or stop.

All functions here are pure functions of load counts, apart from the random generator
passed in.
"""

import collections.abc
import hashlib
import heapq
import itertools
import math
import random

import attrs

from turmerictally.scheduling import mechanisms

# Share of its slots that must be free on the server that caches a request's shared
# prompt part, so that requests which other hosts send before their next digest fit.
AFFINITY_MIN_FREE_RATIO = 0.5
# Added to the free slots of a server in this host's own failure domain.
DOMAIN_BONUS_SLOTS = 0.3
# Exponent of the free slots in a server's weight. If each host chose the server with
# the most free slots, all would choose the same one, as their counts are a digest old.
FREE_SLOTS_EXPONENT = 2.0
# Weight factor for a server with an open connection: a new one costs the server time
# and a round trip. Hosts have connections to different servers, so this does not
# concentrate load. Five free slots and a connection outweigh eight without one.
CONNECTED_FACTOR = 3.0
# Exponent of a server's reliability for requests that must not run twice: their failure
# is final, while others cost a retry. A server that answers four fifths of its requests
# is chosen a quarter as often.
NOT_REPEATABLE_EXPONENT = 6.0
# Requests queued at a server beyond its slots, as a share of the slots. At a service
# time of about 0.7 s, a longer queue would exceed a typical latency objective, 0.3 s.
MAX_SERVER_QUEUE_RATIO = 0.375
# A slot is free for a batch item if no online request needed it for this long: several
# times the period over which a server's count fluctuates and the counts' age.
PEAK_WINDOW_S = 1.0
# Batch items that one core can run: reading an item's events several times a second
# takes up to 0.5% of a core, and callers' requests need the larger part of it.
ITEMS_PER_CORE = 32
ANY_VERSION = ""  # of servers that an item can use
# Reserved before an item's deadline for saving its result.
RESULT_SAVE_S = 1.0


@attrs.frozen
class ServerLoad:
    """Hold one server's requests in flight over all hosts, and its expected speed.

    ``batch_by_host`` counts the batch items of each host that has any, and
    ``batch_urgencies`` holds the urgencies of those that the host reported, the lowest
    most urgent; ``online_peak`` is the highest count of online requests within
    ``PEAK_WINDOW_S``.
    ``reliability`` is the expected share of requests answered; a server
    ``on_probation`` was ejected before and takes one request at a time.
    ``max_batch_starts`` limits the batch items that may start on a cold server.
    ``slowness`` is the time per event relative to the median server (2.0: twice as
    long); ``first_event_s`` and ``event_interval_s`` are the expected times to the
    first event and between events, 0 if unknown; ``speed_is_stale`` marks these three
    as old.
    """

    name: str
    domain: str
    slots: int
    online: int = 0
    batch_by_host: dict[str, int] = attrs.Factory(dict)
    online_peak: int = 0
    reliability: float = 1.0
    on_probation: bool = False
    max_batch_starts: int | None = None
    slowness: float = 1.0
    first_event_s: float = 0.0
    event_interval_s: float = 0.0
    speed_is_stale: bool = False
    batch_urgencies: dict[str, collections.abc.Sequence[int]] = attrs.Factory(dict)

    @property
    def batch(self) -> int:
        """Return the batch items in flight."""
        return sum(self.batch_by_host.values())

    @property
    def total(self) -> int:
        """Return all requests in flight, online and batch."""
        return self.online + self.batch

    @property
    def free_for_batch(self) -> int:
        """Return the slots free for batch items, unused throughout the peak window."""
        free = max(0, self.slots - max(self.online, self.online_peak) - self.batch)
        return (
            free if self.max_batch_starts is None else min(free, self.max_batch_starts)
        )

    def meets_objectives(self, objective_s: float, max_gap_s: float) -> bool:
        """Return whether the first event and the gaps are expected within the limits.

        Stale estimates count as within them while the server has no online request, so
        that one request at a time refreshes them.
        """
        if self.speed_is_stale and not self.online:
            return True
        return self.first_event_s <= objective_s and self.event_interval_s <= max_gap_s


@attrs.frozen
class ItemTiming:
    """Hold an item's remaining time at a median server and the time to its deadline."""

    remaining_s: float
    until_deadline_s: float


@attrs.define
class PeakLoads:
    """Track the highest online count of each server over ``PEAK_WINDOW_S``."""

    peaks: dict[str, tuple[int, float]] = attrs.Factory(dict)

    def record(self, server: str, online: int, now: float) -> int:
        """Record a count and return the current peak."""
        peak, at = self.peaks.get(server, (0, now))
        if online >= peak or now - at >= PEAK_WINDOW_S:
            peak, at = online, now
        self.peaks[server] = peak, at
        return peak

    def remove(self, server: str) -> None:
        """Remove a server."""
        self.peaks.pop(server, None)


def choose_server(
    loads: collections.abc.Sequence[ServerLoad],
    *,
    domain: str,
    prompt_parts: tuple[str, ...],
    rng: random.Random,
    repeatable: bool = True,
    connected: collections.abc.Set[str] = frozenset(),
    objective_s: float = math.inf,
    max_gap_s: float = math.inf,
    disabled: collections.abc.Set[mechanisms.Mechanism] = frozenset(),
) -> ServerLoad | None:
    """Return the server for an online request, or None if all are full.

    Servers that are expected to meet the latency limits come first, if there are any.
    Among those with free slots, one is drawn at random, weighted by its free slots and
    by whether a connection to it is open. If no slot is free, servers running batch
    items are still eligible, as batch items are preempted. A request that is not
    ``repeatable`` does not go to a server on probation. Preferences among servers that
    are ``disabled`` do not apply.
    """
    if not repeatable:
        loads = [load for load in loads if not load.on_probation] or loads
    eligible = [
        load
        for load in loads
        if load.online < load.slots + max(1, load.slots * MAX_SERVER_QUEUE_RATIO)
    ]
    # A short queue on a fast server is better than a certain miss on a slow one.
    eligible = [
        e for e in eligible if e.meets_objectives(objective_s, max_gap_s)
    ] or eligible
    free = [load for load in eligible if load.total < load.slots]
    if not free:
        return min(eligible, key=lambda load: _queue_key(load, rng), default=None)
    preferred = None
    if mechanisms.Mechanism.PROMPT_AFFINITY not in disabled:
        preferred = _affinity_server(eligible, prompt_parts)
    if preferred is not None:
        min_free = preferred.slots * AFFINITY_MIN_FREE_RATIO
        if preferred.slots - preferred.total >= min_free:
            return preferred

    if mechanisms.Mechanism.DOMAIN_PREFERENCE in disabled:
        domain = ""
    if mechanisms.Mechanism.CONNECTED_PREFERENCE in disabled:
        connected = frozenset()

    def weight(load: ServerLoad) -> float:
        slots = load.slots - load.total + DOMAIN_BONUS_SLOTS * (load.domain == domain)
        base = slots**FREE_SLOTS_EXPONENT * (
            CONNECTED_FACTOR if load.name in connected else 1.0
        )
        return base * load.reliability ** (
            1.0 if repeatable else NOT_REPEATABLE_EXPONENT
        )

    return rng.choices(free, [weight(load) for load in free])[0]


def _queue_key(load: ServerLoad, rng: random.Random) -> tuple[int, int, float]:
    queue_position = max(0, load.online + 1 - load.slots)
    return queue_position, load.total - load.slots, rng.random()


def _affinity_server(
    loads: list[ServerLoad], prompt_parts: tuple[str, ...]
) -> ServerLoad | None:
    """Return the server that caches a prompt's shared part, by rendezvous hashing."""
    if len(prompt_parts) < 2:
        return None
    shared = prompt_parts[0]

    return max(loads, key=lambda load: _rank(shared, load.name))


def choose_batch_starts(
    loads: collections.abc.Mapping[str, collections.abc.Sequence[ServerLoad]],
    *,
    waiting: collections.abc.Mapping[str, collections.abc.Sequence[int]],
    waiting_elsewhere: collections.abc.Mapping[str, collections.abc.Sequence[int]],
    limit: int | None = None,
) -> dict[str, list[str]]:
    """Return a server name for each batch item to start now, at most ``limit``.

    All mappings are by the version of servers that items can use, ``ANY_VERSION`` if
    they can use all, and so are the results.
    ``waiting`` holds the urgencies of this host's items, the lowest most urgent and
    first; ``waiting_elsewhere`` those of other hosts. All hosts see the same free slots
    and number them alike, so that the n-th most urgent item of all takes the n-th slot
    that it can use.
    Slots that are free only briefly are left to online requests: an item there would
    be preempted before it generated anything.
    """
    free = {version: iter(_free_batch_slots(each)) for version, each in loads.items()}
    unused = {
        load.name: load.free_for_batch for each in loads.values() for load in each
    }
    starts: dict[str, list[str]] = {version: [] for version in loads}
    in_order = heapq.merge(
        *(_ranked(urgencies, 0, version) for version, urgencies in waiting.items()),
        *(
            _ranked(sorted(urgencies), 1, version)
            for version, urgencies in waiting_elsewhere.items()
        ),
    )
    started = 0
    for _, is_elsewhere, version in in_order:
        if not free or started == limit:
            break
        slots = free.get(version, iter(()))
        name = next((name for name in slots if unused[name]), None)
        if name is None:
            free.pop(version, None)
            continue
        unused[name] -= 1
        if not is_elsewhere:
            starts[version].append(name)
            started += 1
    return starts


def _ranked(
    urgencies: collections.abc.Iterable[int], is_elsewhere: int, version: str
) -> collections.abc.Iterator[tuple[int, int, str]]:
    """Yield sort keys; of items that are equally urgent a host's own come first."""
    return ((urgency, is_elsewhere, version) for urgency in urgencies)


def _free_batch_slots(loads: collections.abc.Sequence[ServerLoad]) -> list[str]:
    """Return a server name for each slot free for batch items, in one order for all.

    Servers with the most free slots come first, where an item is preempted last.
    """
    slots = [
        (-remaining, _rank(load.name, "slot"), load.name)
        for load in loads
        for remaining in range(1, load.free_for_batch + 1)
    ]
    return [name for *_, name in sorted(slots)]


def max_batch_items(cores: float) -> int:
    """Return how many batch items a host with this many processor cores may run."""
    return max(1, int(cores * ITEMS_PER_CORE))


def assign_items(
    timings: collections.abc.Sequence[ItemTiming],
    starts: collections.abc.Sequence[str],
    slowness: collections.abc.Mapping[str, float],
) -> list[str]:
    """Return the server names of ``starts`` in the order of the items to start.

    Each item gets the slowest server on which it meets its deadline, which leaves the
    fast servers to urgent items. An item that misses it everywhere gets the fastest.
    """
    if len({slowness[name] for name in starts}) <= 1:
        return list(starts)
    unassigned = sorted(starts, key=lambda name: slowness[name])
    assigned = []
    for timing in timings[: len(starts)]:
        time_s = timing.until_deadline_s - RESULT_SAVE_S
        in_time = [
            n
            for n, server in enumerate(unassigned)
            if timing.remaining_s * slowness[server] <= time_s
        ]
        assigned.append(unassigned.pop(in_time[-1] if in_time else 0))
    return assigned


def should_move(
    timing: ItemTiming, load: ServerLoad, others: collections.abc.Iterable[ServerLoad]
) -> bool:
    """Return whether an item misses its deadline on this server but not on another."""
    time_s = timing.until_deadline_s - RESULT_SAVE_S
    if timing.remaining_s * load.slowness <= time_s:
        return False
    return any(
        timing.remaining_s * other.slowness <= time_s and other.free_for_batch
        for other in others
    )


def count_preemptions(load: ServerLoad, host: str) -> int:
    """Return how many of a host's batch items to preempt on a server over its slots.

    All hosts preempt the least urgent items in the same order, so that two hosts do
    not react to the same excess before they receive each other's counts.
    """
    excess = load.total - load.slots
    if excess <= 0 or host not in load.batch_by_host:
        return 0
    order = sorted(
        (-urgency, _rank(load.name, name), name)
        for name, count in load.batch_by_host.items()
        for urgency in _padded(load.batch_urgencies.get(name, ()), count)
    )
    return sum(name == host for *_, name in order[:excess])


def _padded(
    urgencies: collections.abc.Sequence[int], count: int
) -> collections.abc.Iterator[int]:
    """Yield ``count`` urgencies; those that were not reported are the most urgent."""
    return itertools.islice(itertools.chain(urgencies, itertools.repeat(0)), count)


def _rank(key: str, member: str) -> bytes:
    return hashlib.blake2b(f"{key}/{member}".encode()).digest()
