"""Wrap the platform's services in request budgets, circuit breakers and counters."""

import collections
import collections.abc
import contextlib
import logging
import random
import typing

import attrs

from turmerictally import clock, settings
from turmerictally.store import budget, hosts, objects, table, weights

logger = logging.getLogger(__name__)


class Services(typing.Protocol):
    """Provide the four services of a platform."""

    table: table.Table
    objects: objects.Objects
    hosts: hosts.HostList
    weights: weights.WeightStore


@attrs.frozen
class CallCount:
    """Label one counter of platform calls."""

    service: str
    lane: str
    outcome: str


class Guard:
    """Limit the rate of one host's platform calls, stop them in outages, count them."""

    def __init__(
        self,
        config: settings.Platform,
        *,
        rng: random.Random | None = None,
        now: clock.Clock | None = None,
    ) -> None:
        self.config = config
        self.clock = now or clock.Clock()
        self.reads = budget.Budget(config.reads_per_s, self.clock)
        self.writes = budget.Budget(config.writes_per_s, self.clock)
        self.counts: collections.Counter[CallCount] = collections.Counter()
        self.rng = rng or random.Random()
        self.circuit_breakers: dict[str, budget.CircuitBreaker] = {}

    def circuit_breaker(self, service: str) -> budget.CircuitBreaker:
        """Return the circuit breaker of a service, created on first use."""
        if service not in self.circuit_breakers:
            self.circuit_breakers[service] = budget.CircuitBreaker(
                self.config.backoff_min_s,
                self.config.backoff_max_s,
                rng=self.rng,
                now=self.clock,
            )
        return self.circuit_breakers[service]

    @contextlib.asynccontextmanager
    async def admit(
        self, service: str, lane: budget.Lane, *, is_write: bool = False
    ) -> collections.abc.AsyncIterator[None]:
        """Run the body as one call to the service and count its outcome.

        Raises ``table.UnavailableError`` without a call while the circuit is open or
        when the request budget admits none before the time-out.
        """
        breaker = self.circuit_breaker(service)
        request_budget = self.writes if is_write else self.reads
        try:
            breaker.check()
            deadline = self.clock.monotonic() + self.config.timeout_s
            await request_budget.acquire(lane, deadline)
            breaker.begin_call()
        except table.UnavailableError:
            self._count(service, lane, "held back")
            raise
        try:
            yield
        except (table.ConflictError, KeyError, weights.ThrottledError):
            self._record_success(service, breaker)
            self._count(service, lane, "refused")
            raise
        except table.OverloadedError:
            self._record_success(service, breaker)
            request_budget.decrease_rate()
            self._count(service, lane, "throttled")
            raise
        except table.UnavailableError as error:
            self._record_failure(service, breaker, error)
            self._count(service, lane, "failed")
            raise
        except BaseException:
            breaker.cancel_call()
            raise
        self._record_success(service, breaker)
        self._count(service, lane, "answered")

    def _record_success(self, service: str, breaker: budget.CircuitBreaker) -> None:
        if breaker.record_success():
            self.reads.slow_start()
            self.writes.slow_start()
            logger.info("Platform service %s is available again.", service)

    def _record_failure(
        self,
        service: str,
        breaker: budget.CircuitBreaker,
        error: table.UnavailableError,
    ) -> None:
        was_open = breaker.is_open
        breaker.record_failure()
        if breaker.is_open and not was_open:
            logger.warning("Platform service %s is unavailable: %s.", service, error)

    def _count(self, service: str, lane: budget.Lane, outcome: str) -> None:
        self.counts[CallCount(service, lane.value, outcome)] += 1


@attrs.frozen
class Table:
    """Implement ``table.Table`` by guarded calls in one lane."""

    guard: Guard
    lane: budget.Lane
    inner: table.Table

    async def get(self, key: str) -> table.Row | None:
        """Return the row, or None."""
        async with self.guard.admit("table", self.lane):
            return await self.inner.get(key)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[table.Row]:
        """Return rows under the prefix in key order."""
        async with self.guard.admit("table", self.lane):
            return await self.inner.scan(prefix, after=after, limit=limit)

    async def commit(
        self, checks: list[table.Check], writes: list[table.Write]
    ) -> dict[str, int]:
        """Apply the writes if every check holds."""
        async with self.guard.admit("table", self.lane, is_write=True):
            return await self.inner.commit(checks, writes)


@attrs.frozen
class Objects:
    """Implement ``objects.Objects`` by guarded calls in one lane."""

    guard: Guard
    lane: budget.Lane
    inner: objects.Objects

    async def put(
        self,
        key: str,
        data: bytes | collections.abc.AsyncIterable[bytes],
        *,
        if_absent: bool = False,
    ) -> objects.ObjectInfo:
        """Store the object."""
        async with self.guard.admit("objects", self.lane, is_write=True):
            return await self.inner.put(key, data, if_absent=if_absent)

    async def get(self, key: str, *, start: int = 0, end: int | None = None) -> bytes:
        """Return a range of bytes."""
        async with self.guard.admit("objects", self.lane):
            return await self.inner.get(key, start=start, end=end)

    async def stream(self, key: str) -> collections.abc.AsyncIterator[bytes]:
        """Yield the object in chunks; the guard covers only the first."""
        async with self.guard.admit("objects", self.lane):
            chunks = self.inner.stream(key)
            first_chunk = await anext(chunks, b"")
        yield first_chunk
        async for chunk in chunks:
            yield chunk

    async def head(self, key: str) -> objects.ObjectInfo | None:
        """Return the object's description, or None."""
        async with self.guard.admit("objects", self.lane):
            return await self.inner.head(key)

    async def delete(self, key: str) -> None:
        """Delete the object."""
        async with self.guard.admit("objects", self.lane, is_write=True):
            await self.inner.delete(key)

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[objects.ObjectInfo]:
        """Return descriptions in key order."""
        async with self.guard.admit("objects", self.lane):
            return await self.inner.list(prefix, after=after, limit=limit)


@attrs.frozen
class HostList:
    """Implement ``hosts.HostList`` by guarded calls in the control lane."""

    guard: Guard
    inner: hosts.HostList

    async def list(self, role: hosts.Role) -> list[hosts.ListedHost]:
        """Return the listed hosts of a role."""
        async with self.guard.admit("hosts", budget.Lane.CONTROL):
            return await self.inner.list(role)

    async def register(self, host: hosts.ListedHost) -> None:
        """Add or update this host's entry."""
        async with self.guard.admit("hosts", budget.Lane.CONTROL, is_write=True):
            await self.inner.register(host)

    async def deregister(self, host_id: str, instance: str) -> None:
        """Remove this host's entry."""
        async with self.guard.admit("hosts", budget.Lane.CONTROL, is_write=True):
            await self.inner.deregister(host_id, instance)


@attrs.frozen
class WeightStore:
    """Implement ``weights.WeightStore`` by guarded calls in the control lane."""

    guard: Guard
    inner: weights.WeightStore

    async def list(self) -> list[weights.WeightsInfo]:
        """Return every stored version of all weights."""
        async with self.guard.admit("weights", budget.Lane.CONTROL):
            return await self.inner.list()

    async def reserve(self, name: str, version: str) -> weights.WeightsInfo:
        """Reserve one download of a version."""
        async with self.guard.admit("weights", budget.Lane.CONTROL, is_write=True):
            return await self.inner.reserve(name, version)


class Platform:
    """Provide one host's guarded services.

    ``table`` and ``objects`` make their calls in the control lane.
    """

    def __init__(self, guard: Guard, services: Services) -> None:
        self.guard = guard
        self.services = services
        self.table = self.table_in(budget.Lane.CONTROL)
        self.objects = self.objects_in(budget.Lane.CONTROL)
        self.hosts = HostList(guard, services.hosts)
        self.weights = WeightStore(guard, services.weights)

    def table_in(self, lane: budget.Lane) -> Table:
        """Return a table client whose calls are made in ``lane``."""
        return Table(self.guard, lane, self.services.table)

    def objects_in(self, lane: budget.Lane) -> Objects:
        """Return an object store client whose calls are made in ``lane``."""
        return Objects(self.guard, lane, self.services.objects)
