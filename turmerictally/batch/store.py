"""Reach the platform within a budget, with jittered back-off."""

import collections.abc
import logging
import random
import typing

import attrs
import trio

from turmerictally import clock, errors, settings
from turmerictally.store import objects, table

logger = logging.getLogger(__name__)

BUDGET_BURST_S = 40.0  # unused budget that may be saved up, in seconds
CALLER_ATTEMPTS = 4
ATTEMPT_TIMEOUT_S = 2.0
Answer = typing.TypeVar("Answer")
Call = collections.abc.Callable[[], collections.abc.Awaitable[Answer]]


@attrs.define
class Budget:
    """Meter calls with a token bucket; ``rate`` is in calls a second."""

    rate: float
    clock: clock.Clock
    level: float = attrs.field(init=False)
    updated: float | None = None
    used: int = 0

    def __attrs_post_init__(self) -> None:
        self.level = self.rate * BUDGET_BURST_S

    def charge(self, amount: int = 1) -> None:
        """Count a call that cannot wait; later calls wait for it."""
        self._refill()
        self.level -= amount
        self.used += amount

    async def take(self, amount: int = 1) -> None:
        """Wait until the budget allows a call."""
        self.charge(amount)
        if self.level < 0:
            await trio.sleep(-self.level / self.rate)

    def _refill(self) -> None:
        now = self.clock.monotonic()
        elapsed = now - (now if self.updated is None else self.updated)
        self.updated = now
        most = self.rate * BUDGET_BURST_S
        self.level = min(most, self.level + max(0.0, elapsed) * self.rate)


@attrs.define
class Store:
    """Bundle the table service and the object store with the worker's budgets.

    Calls for callers are not metered here, so that a caller who reads many results
    does not hold up the worker.
    """

    table: table.Table
    objects: objects.Objects
    clock: clock.Clock
    platform: settings.Platform
    reads: Budget
    writes: Budget
    rng: random.Random

    async def pause(self, attempt: int) -> None:
        """Sleep before the next attempt, with full jitter."""
        most = self.platform.backoff_min_s * 2 ** min(attempt, 16)
        most = min(most, self.platform.backoff_max_s)
        await trio.sleep(self.rng.uniform(0.0, most))

    async def get(self, key: str) -> table.Row | None:
        """Read a row within the budget."""
        await self.reads.take()
        return await self.table.get(key)

    async def scan(self, prefix: str, *, after: str = "", limit: int) -> list:
        """Read one page of rows within the budget."""
        await self.reads.take()
        return await self.table.scan(prefix, after=after, limit=limit)

    async def scan_all(self, prefix: str) -> list[table.Row]:
        """Read every row under a prefix within the budget."""
        rows: list[table.Row] = []
        page = 1000
        while True:
            after = rows[-1].key if rows else ""
            found = await self.scan(prefix, after=after, limit=page)
            rows.extend(found)
            if len(found) < page:
                return rows

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object whose key is never reused, retrying until it is kept."""
        attempt = 0
        while True:
            await self.writes.take()
            try:
                await self.objects.put(key, data, if_absent=True)
                return
            except table.ConflictError:
                return  # an earlier attempt took effect
            except table.UnavailableError:
                attempt += 1
                await self.pause(attempt)

    async def read(self, call: Call) -> typing.Any:
        """Retry a read of the platform until it answers."""
        attempt = 0
        while True:
            try:
                return await call()
            except table.UnavailableError:
                attempt += 1
                await self.pause(attempt)

    async def read_for_caller(self, call: Call) -> typing.Any:
        """Retry a read a few times, then refuse with ``PLATFORM_UNAVAILABLE``."""
        for attempt in range(CALLER_ATTEMPTS):
            try:
                return await call()
            except table.UnavailableError as error:
                logger.info("A read failed: %s.", error)
                await self.pause(attempt)
        raise unavailable()


def unavailable(ran: errors.Ran = errors.Ran.NOT_RUN) -> errors.Error:
    """Return the refusal for a platform that does not answer."""
    kind = errors.Kind.PLATFORM_UNAVAILABLE
    return errors.Error(kind, ran=ran, retry_after_s=5.0)


def build(
    table_: table.Table,
    objects_: objects.Objects,
    clock_: clock.Clock,
    given: settings.Settings,
    rng: random.Random,
) -> Store:
    """Return the store of one host with its share of the platform's limits."""
    return Store(
        table=table_,
        objects=objects_,
        clock=clock_,
        platform=given.platform,
        reads=Budget(given.batch.reads_per_s, clock_),
        writes=Budget(given.batch.writes_per_s, clock_),
        rng=rng,
    )
