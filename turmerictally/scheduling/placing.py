"""Choose the backend server of a request, and where batch items start or stop.

Everything here is a function of counts; nothing is sent or awaited.
"""

import collections.abc
import hashlib
import math
import random

import attrs

# Share of its slots that must be free on the server that keeps a request's shared
# prompt part: room for what other hosts send there until they tell.
AFFINITY_FREE_RATIO = 0.5
# What the own failure domain counts for beside a server's free slots.
DOMAIN_SLOTS = 0.3
# Power of the free slots by which servers are drawn. Always the freest one would draw
# all hosts, whose counts are a digest old, to the same server.
FREE_POWER = 2.0
# What an open connection to a server is worth beside none: a new one takes the server's
# time and a round trip. Hosts keep different ones, so this draws no herd.
# A server with five free slots and a connection goes before one with eight and none.
CONNECTED = 3.0
# Power of a server's reliability by which requests are drawn that may run once only:
# their failure is final, that of others costs a retry. One that answered four fifths is
# drawn a quarter as often.
ONCE_POWER = 6.0
# Requests of one server beyond its slots, waiting there, as a share of the slots: at
# a service time of about 0.7 s more would wait longer than the usual objective, 0.3 s.
MAX_WAITING_RATIO = 0.375
# A slot is free for a batch item when no online request needed it for this long:
# several times that in which a server's count moves by chance and by its age.
PEAK_S = 1.0
# Batch items that one core may run: reading an item's events several times a second
# takes up to half a hundredth of a core, and callers' requests need the larger part.
ITEMS_PER_CORE = 32
# Kept back from an item's time to its due time, for saving its result.
SAVING_S = 1.0


@attrs.frozen
class Load:
    """Count one server's requests in flight, over all hosts.

    ``batch_by_host`` counts the batch items of each host that has any, ``online_peak``
    is the most online requests in flight lately.
    ``reliability`` is the share of its requests that it is expected to answer; on
    ``trial`` it was left out before and takes one request at a time. ``item_room``
    bounds the batch items that may start, where the server is cold.
    ``slowness`` is 1.0 when usual, 2.0 when it takes twice as long; ``first_s`` and
    ``event_s`` are the expected time to the first event and between events, 0 when
    unknown; ``stale`` tells that this was learned a while ago.
    """

    name: str
    domain: str
    slots: int
    online: int = 0
    batch_by_host: dict[str, int] = attrs.Factory(dict)
    online_peak: int = 0
    reliability: float = 1.0
    trial: bool = False
    item_room: int | None = None
    slowness: float = 1.0
    first_s: float = 0.0
    event_s: float = 0.0
    stale: bool = False

    @property
    def batch(self) -> int:
        """Return the batch items in flight."""
        return sum(self.batch_by_host.values())

    @property
    def total(self) -> int:
        """Return all requests in flight."""
        return self.online + self.batch

    @property
    def lasting_free(self) -> int:
        """Return the slots that have been free for a while."""
        free = max(0, self.slots - max(self.online, self.online_peak) - self.batch)
        return free if self.item_room is None else min(free, self.item_room)

    def is_timely(self, objective_s: float, max_gap_s: float) -> bool:
        """Return whether a first event and the pauses are expected to be on time.

        What was learned a while ago is tested by one request at a time.
        """
        if self.stale and not self.online:
            return True
        return self.first_s <= objective_s and self.event_s <= max_gap_s


@attrs.frozen
class Need:
    """Hold the seconds that an item needs at a usual server, and until it is due."""

    left_s: float
    due_in_s: float


@attrs.define
class Peaks:
    """Keep the most online requests of each server over the last ``PEAK_S``."""

    held: dict[str, tuple[int, float]] = attrs.Factory(dict)

    def note(self, server: str, online: int, now: float) -> int:
        """Take a count and return the peak."""
        peak, at = self.held.get(server, (0, now))
        if online >= peak or now - at >= PEAK_S:
            peak, at = online, now
        self.held[server] = peak, at
        return peak

    def forget(self, server: str) -> None:
        """Drop a server that is gone."""
        self.held.pop(server, None)


def choose(
    loads: collections.abc.Sequence[Load],
    *,
    domain: str,
    prompt_parts: tuple[str, ...],
    rng: random.Random,
    repeatable: bool = True,
    connected: collections.abc.Set[str] = frozenset(),
    objective_s: float = math.inf,
    max_gap_s: float = math.inf,
) -> Load | None:
    """Return the server for an online request, or None when all are full.

    One is drawn by its free slots, sooner where a connection is open, among those that
    are expected to be on time if there are any. With none free, batch items give way:
    they do not fill a server. A request that is not ``repeatable`` tries no server.
    """
    if not repeatable:
        loads = [load for load in loads if not load.trial] or loads
    open_to = [
        load
        for load in loads
        if load.online < load.slots + max(1, load.slots * MAX_WAITING_RATIO)
    ]
    # Waiting a little on one that is on time is better than being late for sure.
    open_to = [e for e in open_to if e.is_timely(objective_s, max_gap_s)] or open_to
    free = [load for load in open_to if load.total < load.slots]
    if not free:
        return min(open_to, key=lambda load: _crowding(load, rng), default=None)
    preferred = _preferred(open_to, prompt_parts)
    if preferred is not None:
        least_free = preferred.slots * AFFINITY_FREE_RATIO
        if preferred.slots - preferred.total >= least_free:
            return preferred

    def weight(load: Load) -> float:
        slots = load.slots - load.total + DOMAIN_SLOTS * (load.domain == domain)
        found = slots**FREE_POWER * (CONNECTED if load.name in connected else 1.0)
        return found * load.reliability ** (1.0 if repeatable else ONCE_POWER)

    return rng.choices(free, [weight(load) for load in free])[0]


def _crowding(load: Load, rng: random.Random) -> tuple[int, int, float]:
    must_wait = max(0, load.online + 1 - load.slots)
    return must_wait, load.total - load.slots, rng.random()


def _preferred(loads: list[Load], prompt_parts: tuple[str, ...]) -> Load | None:
    """Return the server that keeps a prompt's shared parts, by rendezvous hashing."""
    if len(prompt_parts) < 2:
        return None
    shared = prompt_parts[0]

    return max(loads, key=lambda load: _rank(shared, load.name))


def batch_starts(
    loads: collections.abc.Sequence[Load],
    *,
    waiting: int,
    waiting_elsewhere: int,
    rng: random.Random,
    most: int | None = None,
) -> list[str]:
    """Return the servers, one for each batch item to start now, at most so many.

    Slots that are free for a moment only are left to online requests: an item would
    give way before it has made anything. Hosts see the same free slots at once, so each
    takes the share of them that its waiting items are of all waiting ones.
    """
    free = [load.name for load in loads for _ in range(load.lasting_free)]
    if not waiting or not free:
        return []
    part = len(free) * waiting / (waiting + waiting_elsewhere)
    count = int(part) + (rng.random() < part - int(part))
    rng.shuffle(free)
    return free[: min(count, waiting, count if most is None else most)]


def most_items(cores: float) -> int:
    """Return how many batch items a host with so many processor cores runs."""
    return max(1, int(cores * ITEMS_PER_CORE))


def match_items(
    needs: collections.abc.Sequence[Need],
    starts: collections.abc.Sequence[str],
    slowness: collections.abc.Mapping[str, float],
) -> list[str]:
    """Return the servers in the order of the items that start there.

    Each item gets the slowest server on which it ends in time, which leaves the fast
    ones to those that are nearly due; one that is late everywhere gets the fastest.
    """
    if len({slowness[name] for name in starts}) <= 1:
        return list(starts)
    left = sorted(starts, key=lambda name: slowness[name])
    found = []
    for need in needs[: len(starts)]:
        time_s = need.due_in_s - SAVING_S
        timely = [n for n, s in enumerate(left) if need.left_s * slowness[s] <= time_s]
        found.append(left.pop(timely[-1] if timely else 0))
    return found


def should_leave(
    need: Need, load: Load, others: collections.abc.Iterable[Load]
) -> bool:
    """Return whether a running item misses its due time here and not elsewhere."""
    time_s = need.due_in_s - SAVING_S
    if need.left_s * load.slowness <= time_s:
        return False
    return any(
        need.left_s * each.slowness <= time_s and each.lasting_free for each in others
    )


def batch_stops(load: Load, host: str) -> int:
    """Return how many of a host's batch items must leave a server over its slots.

    All hosts take them in the same order of hosts, so that no two act on the same
    excess while their counts are on the way.
    """
    excess = min(load.total - load.slots, load.batch)
    for name in sorted(load.batch_by_host, key=lambda each: _rank(load.name, each)):
        count = min(max(0, excess), load.batch_by_host[name])
        if name == host:
            return count
        excess -= count
    return 0


def _rank(server: str, host: str) -> bytes:
    return hashlib.blake2b(f"{server}/{host}".encode()).digest()
