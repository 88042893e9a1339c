"""Choose the backend server of a request, and where batch items start or stop.

Everything here is a function of counts; nothing is sent or awaited.
"""

import collections.abc
import hashlib
import random

import attrs

# Load, as a share of the slots, that a server may have above the least loaded one
# to keep a shared prompt part or stay in the failure domain: one slot of eight.
AFFINITY_BONUS = 0.125
DOMAIN_BONUS = 0.05
# Requests of one server beyond its slots, waiting there, as a share of the slots: at
# a service time of about 0.7 s more would wait longer than the latency objective.
MAX_WAITING_RATIO = 0.5
# Slots of each server that batch items leave free for the next online requests.
RESERVED_SLOTS = 1


@attrs.frozen
class Load:
    """Count one server's requests in flight, over all hosts.

    ``own_batch`` is the part of ``batch`` that this host runs.
    """

    name: str
    domain: str
    slots: int
    online: int = 0
    batch: int = 0
    own_batch: int = 0

    @property
    def total(self) -> int:
        """Return all requests in flight."""
        return self.online + self.batch


def choose(
    loads: collections.abc.Sequence[Load],
    *,
    domain: str,
    prompt_parts: tuple[str, ...],
    rng: random.Random,
) -> Load | None:
    """Return the server for an online request, or None when all are full.

    Batch items do not fill a server, as they give way; a server without them is
    preferred, since giving way takes time.
    """
    open_to = [
        load
        for load in loads
        if load.online < load.slots + max(1, load.slots * MAX_WAITING_RATIO)
    ]
    if not open_to:
        return None
    preferred = _preferred(open_to, prompt_parts)

    def cost(load: Load) -> tuple[float, float]:
        over = max(0, load.total + 1 - load.slots)
        must_wait = max(0, load.online + 1 - load.slots)
        share = load.total / load.slots
        share += over / load.slots + 2.0 * must_wait / load.slots
        if load.name == preferred:
            share -= AFFINITY_BONUS
        if load.domain == domain:
            share -= DOMAIN_BONUS
        return share, rng.random()

    return min(open_to, key=cost)


def _preferred(loads: list[Load], prompt_parts: tuple[str, ...]) -> str | None:
    """Return the server that keeps a prompt's shared parts, by rendezvous hashing."""
    if len(prompt_parts) < 2:
        return None
    shared = prompt_parts[0].encode()

    def weight(load: Load) -> bytes:
        return hashlib.blake2b(load.name.encode() + b"/" + shared).digest()

    return max(loads, key=weight).name


def batch_starts(
    loads: collections.abc.Sequence[Load],
    *,
    waiting: int,
    waiting_elsewhere: int,
    rng: random.Random,
) -> list[str]:
    """Return the servers, one for each batch item to start now.

    Hosts see the same free slots at once, so each takes the share of them that its
    waiting items are of all waiting ones.
    """
    free = [
        load.name
        for load in loads
        for _ in range(load.slots - RESERVED_SLOTS - load.total)
    ]
    if not waiting or not free:
        return []
    part = len(free) * waiting / (waiting + waiting_elsewhere)
    count = int(part) + (rng.random() < part - int(part))
    rng.shuffle(free)
    return free[: min(count, waiting)]


def batch_stops(load: Load, rng: random.Random) -> int:
    """Return how many own batch items must leave a server that is over its slots.

    The hosts that run batch items there share the excess in proportion.
    """
    excess = min(load.total - load.slots, load.batch)
    if excess <= 0 or not load.own_batch:
        return 0
    part = excess * load.own_batch / load.batch
    return min(load.own_batch, int(part) + (rng.random() < part - int(part)))
