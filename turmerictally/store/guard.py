"""Guard a platform's services with the host's budget, circuits and call counts."""

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
    """Bundle the four services of a platform."""

    table: table.Table
    objects: objects.Objects
    hosts: hosts.HostList
    weights: weights.WeightStore


@attrs.frozen
class CallCount:
    """Name one counter of platform calls."""

    service: str
    lane: str
    outcome: str


class Guard:
    """Admit, time and count the calls of one host."""

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
        self.circuits: dict[str, budget.Circuit] = {}

    def circuit(self, service: str) -> budget.Circuit:
        """Return the circuit of one service."""
        if service not in self.circuits:
            self.circuits[service] = budget.Circuit(
                self.config.backoff_min_s,
                self.config.backoff_max_s,
                rng=self.rng,
                now=self.clock,
            )
        return self.circuits[service]

    @contextlib.asynccontextmanager
    async def admit(
        self, service: str, lane: budget.Lane, *, write: bool = False
    ) -> collections.abc.AsyncIterator[None]:
        """Run one call within the budget; raise at once during an outage."""
        circuit = self.circuit(service)
        direction = self.writes if write else self.reads
        try:
            circuit.check()
            deadline = self.clock.monotonic() + self.config.timeout_s
            await direction.take(lane, deadline)
            circuit.enter()
        except table.UnavailableError:
            self._count(service, lane, "held back")
            raise
        try:
            yield
        except (table.ConflictError, KeyError, weights.ThrottledError):
            self._answered(service, circuit)
            self._count(service, lane, "refused")
            raise
        except table.OverloadedError:
            self._answered(service, circuit)
            direction.decrease()
            self._count(service, lane, "throttled")
            raise
        except table.UnavailableError as error:
            self._failed(service, circuit, error)
            self._count(service, lane, "failed")
            raise
        except BaseException:
            circuit.abandon()
            raise
        self._answered(service, circuit)
        self._count(service, lane, "answered")

    def _answered(self, service: str, circuit: budget.Circuit) -> None:
        if circuit.succeed():
            self.reads.restart()
            self.writes.restart()
            logger.info("The platform's %s answers again.", service)

    def _failed(
        self, service: str, circuit: budget.Circuit, error: table.UnavailableError
    ) -> None:
        was_open = circuit.open
        circuit.fail()
        if circuit.open and not was_open:
            logger.warning("The platform's %s does not answer: %s.", service, error)

    def _count(self, service: str, lane: budget.Lane, outcome: str) -> None:
        self.counts[CallCount(service, lane.value, outcome)] += 1


@attrs.frozen
class Table:
    """Guard a table service for one lane; implements ``table.Table``."""

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
        async with self.guard.admit("table", self.lane, write=True):
            return await self.inner.commit(checks, writes)


@attrs.frozen
class Objects:
    """Guard an object store for one lane; implements ``objects.Objects``."""

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
        async with self.guard.admit("objects", self.lane, write=True):
            return await self.inner.put(key, data, if_absent=if_absent)

    async def get(self, key: str, *, start: int = 0, end: int | None = None) -> bytes:
        """Return a range of bytes."""
        async with self.guard.admit("objects", self.lane):
            return await self.inner.get(key, start=start, end=end)

    async def stream(self, key: str) -> collections.abc.AsyncIterator[bytes]:
        """Yield the object in chunks."""
        async with self.guard.admit("objects", self.lane):
            chunks = self.inner.stream(key)
            first = await anext(chunks, b"")
        yield first
        async for chunk in chunks:
            yield chunk

    async def head(self, key: str) -> objects.ObjectInfo | None:
        """Return the object's description, or None."""
        async with self.guard.admit("objects", self.lane):
            return await self.inner.head(key)

    async def delete(self, key: str) -> None:
        """Delete the object."""
        async with self.guard.admit("objects", self.lane, write=True):
            await self.inner.delete(key)

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[objects.ObjectInfo]:
        """Return descriptions in key order."""
        async with self.guard.admit("objects", self.lane):
            return await self.inner.list(prefix, after=after, limit=limit)


@attrs.frozen
class HostList:
    """Guard the host list; implements ``hosts.HostList``."""

    guard: Guard
    inner: hosts.HostList

    async def list(self, role: hosts.Role) -> list[hosts.ListedHost]:
        """Return the listed hosts of a role."""
        async with self.guard.admit("hosts", budget.Lane.CONTROL):
            return await self.inner.list(role)

    async def register(self, host: hosts.ListedHost) -> None:
        """Announce this host."""
        async with self.guard.admit("hosts", budget.Lane.CONTROL, write=True):
            await self.inner.register(host)

    async def deregister(self, host_id: str, instance: str) -> None:
        """Remove this host."""
        async with self.guard.admit("hosts", budget.Lane.CONTROL, write=True):
            await self.inner.deregister(host_id, instance)


@attrs.frozen
class WeightStore:
    """Guard the weight store; implements ``weights.WeightStore``."""

    guard: Guard
    inner: weights.WeightStore

    async def list(self) -> list[weights.WeightsInfo]:
        """Return every stored version."""
        async with self.guard.admit("weights", budget.Lane.CONTROL):
            return await self.inner.list()

    async def reserve(self, name: str, version: str) -> weights.WeightsInfo:
        """Reserve one download."""
        async with self.guard.admit("weights", budget.Lane.CONTROL, write=True):
            return await self.inner.reserve(name, version)


class Platform:
    """Bundle one host's guarded services; ``table`` is in the control lane."""

    def __init__(self, guard: Guard, services: Services) -> None:
        self.guard = guard
        self.services = services
        self.table = self.table_in(budget.Lane.CONTROL)
        self.objects = self.objects_in(budget.Lane.CONTROL)
        self.hosts = HostList(guard, services.hosts)
        self.weights = WeightStore(guard, services.weights)

    def table_in(self, lane: budget.Lane) -> Table:
        """Return the table service as seen from one lane."""
        return Table(self.guard, lane, self.services.table)

    def objects_in(self, lane: budget.Lane) -> Objects:
        """Return the object store as seen from one lane."""
        return Objects(self.guard, lane, self.services.objects)
