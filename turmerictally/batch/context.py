"""Share what one worker session has among the ranges that it runs."""

import collections.abc
import random

import attrs
import trio

from turmerictally import settings
from turmerictally.batch import capacity, files, lease


@attrs.define
class Tally:
    """Count what a worker did, for metrics; ``pending_bytes`` is a level."""

    completed: int = 0
    failed: int = 0
    yielded: int = 0
    retried: int = 0
    wasted: int = 0
    pending_bytes: int = 0


@attrs.define(eq=False)
class Turn:
    """Hold one of the host's places for running items, except between tries."""

    limiter: trio.CapacityLimiter
    taken: bool = False

    async def take(self) -> None:
        """Wait for a place."""
        await self.limiter.acquire_on_behalf_of(self)
        self.taken = True

    def give(self) -> None:
        """Give the place back, if it is taken."""
        if self.taken:
            self.limiter.release_on_behalf_of(self)
        self.taken = False


@attrs.define
class Context:
    """Share a worker's means among its ranges."""

    given: settings.Batch
    lease: lease.Lease
    gate: capacity.Gate
    send: capacity.Send
    idempotent: collections.abc.Callable[[files.Item], bool]
    limiter: trio.CapacityLimiter
    rng: random.Random
    others: collections.abc.Callable[[], int]
    tally: Tally = attrs.Factory(Tally)
    alone: trio.Lock = attrs.Factory(trio.Lock)

    def may_start(self) -> bool:
        """Tell whether any item may start: lease valid and memory left."""
        most = self.given.max_pending_results_bytes
        return self.lease.valid and self.tally.pending_bytes < most
