"""Keep the platform's services in memory, for tests and the demo."""

import bisect
import collections.abc
import copy
import hashlib

import attrs
import trio

from turmerictally.standins import faults
from turmerictally.store import hosts, objects, table, weights

WRITES_PER_S = 400.0
READS_PER_S = 2000.0
OBJECT_CHUNK_BYTES = 64 * 1024


class Table:
    """Stand in for the table service; implements ``table.Table``."""

    def __init__(
        self,
        reads_per_s: float = READS_PER_S,
        writes_per_s: float = WRITES_PER_S,
    ) -> None:
        self.faults = faults.Faults()
        self.reads = faults.RateLimit(reads_per_s)
        self.writes = faults.RateLimit(writes_per_s)
        self.rows: dict[str, table.Row] = {}
        self.keys: list[str] = []
        self.last_version = 0

    async def get(self, key: str) -> table.Row | None:
        """Return the row, or None."""
        await self.faults.before()
        self.reads.take()
        row = self.rows.get(key)
        self.faults.after()
        return copy.deepcopy(row)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[table.Row]:
        """Return rows under the prefix in key order."""
        await self.faults.before()
        self.reads.take()
        start = bisect.bisect_left(self.keys, prefix)
        if after >= prefix:
            start = bisect.bisect_right(self.keys, after)
        found = []
        for key in self.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            found.append(copy.deepcopy(self.rows[key]))
        self.faults.after()
        return found

    async def commit(
        self, checks: list[table.Check], writes: list[table.Write]
    ) -> dict[str, int]:
        """Apply the writes at once if every check holds."""
        await self.faults.before()
        self.writes.take()
        self._verify(checks)
        versions = self._apply(writes)
        self.faults.after()
        return versions

    def _verify(self, checks: list[table.Check]) -> None:
        for check in checks:
            row = self.rows.get(check.key)
            version = row.version if row else table.ABSENT
            if version != check.version:
                raise table.ConflictError(check.key)

    def _apply(self, writes: list[table.Write]) -> dict[str, int]:
        versions = {}
        for write in writes:
            self.last_version += 1
            if isinstance(write, table.Delete):
                self._delete(write.key)
                continue
            versions[write.key] = self.last_version
            self._put(write, self.last_version)
        return versions

    def _put(self, write: table.Put, version: int) -> None:
        if write.key not in self.rows:
            bisect.insort(self.keys, write.key)
        value = copy.deepcopy(write.value)
        self.rows[write.key] = table.Row(write.key, value, version)

    def _delete(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self.keys.remove(key)


class Objects:
    """Stand in for the object store; implements ``objects.Objects``."""

    def __init__(self) -> None:
        self.faults = faults.Faults()
        self.reads = faults.RateLimit()
        self.writes = faults.RateLimit()
        self.stored: dict[str, bytes] = {}

    async def put(
        self,
        key: str,
        data: bytes | collections.abc.AsyncIterable[bytes],
        *,
        if_absent: bool = False,
    ) -> objects.ObjectInfo:
        """Store the object once all its bytes have arrived."""
        whole = data if isinstance(data, bytes) else await _collect(data)
        await self.faults.before()
        self.writes.take()
        if if_absent and key in self.stored:
            raise table.ConflictError(key)
        self.stored[key] = whole
        self.faults.after()
        return _info(key, whole)

    async def get(self, key: str, *, start: int = 0, end: int | None = None) -> bytes:
        """Return a range of bytes."""
        await self.faults.before()
        self.reads.take()
        data = self.stored[key][start:end]
        self.faults.after()
        return data

    async def stream(self, key: str) -> collections.abc.AsyncIterator[bytes]:
        """Yield the object in chunks."""
        await self.faults.before()
        self.reads.take()
        whole = self.stored[key]
        for start in range(0, len(whole), OBJECT_CHUNK_BYTES):
            if self.faults.down:
                raise table.UnavailableError("outage")
            yield whole[start : start + OBJECT_CHUNK_BYTES]
            await trio.lowlevel.checkpoint()

    async def head(self, key: str) -> objects.ObjectInfo | None:
        """Return the object's description, or None."""
        await self.faults.before()
        self.reads.take()
        data = self.stored.get(key)
        self.faults.after()
        return None if data is None else _info(key, data)

    async def delete(self, key: str) -> None:
        """Delete the object."""
        await self.faults.before()
        self.writes.take()
        self.stored.pop(key, None)
        self.faults.after()

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> list[objects.ObjectInfo]:
        """Return descriptions in key order."""
        await self.faults.before()
        self.reads.take()
        keys = sorted(k for k in self.stored if k.startswith(prefix) and k > after)
        self.faults.after()
        return [_info(key, self.stored[key]) for key in keys[:limit]]


async def _collect(data: collections.abc.AsyncIterable[bytes]) -> bytes:
    parts = [part async for part in data]
    return b"".join(parts)


def _info(key: str, data: bytes) -> objects.ObjectInfo:
    etag = hashlib.sha256(data).hexdigest()
    return objects.ObjectInfo(key=key, size=len(data), etag=etag)


class HostList:
    """Stand in for the host list; answers lag by ``lag_s`` seconds."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.faults = faults.Faults()
        self.reads = faults.RateLimit()
        self.lag_s = lag_s
        self.changes: list[tuple[float, str, hosts.ListedHost | None]] = []

    async def list(self, role: hosts.Role) -> list[hosts.ListedHost]:
        """Return the hosts as they were ``lag_s`` seconds ago."""
        await self.faults.before()
        self.reads.take()
        horizon = trio.current_time() - self.lag_s
        listed: dict[str, hosts.ListedHost | None] = {}
        for at, host_id, host in self.changes:
            if at <= horizon:
                listed[host_id] = host
        return [host for host in listed.values() if host and host.role is role]

    async def register(self, host: hosts.ListedHost) -> None:
        """Add or change a host."""
        await self.faults.before()
        self.changes.append((trio.current_time(), host.id, host))

    async def deregister(self, host_id: str, instance: str) -> None:
        """Remove a host unless a newer instance has replaced it."""
        await self.faults.before()
        current = None
        for _, changed_id, host in self.changes:
            if changed_id == host_id:
                current = host
        if current is not None and current.instance == instance:
            self.changes.append((trio.current_time(), host_id, None))


class WeightStore:
    """Stand in for the weight store; allows ``per_minute`` downloads a minute."""

    def __init__(self, per_minute: float = 6.0) -> None:
        self.faults = faults.Faults()
        self.per_minute = per_minute
        self.stored: dict[tuple[str, str], weights.WeightsInfo] = {}
        self.reserved: list[tuple[float, str, str]] = []

    async def list(self) -> list[weights.WeightsInfo]:
        """Return every stored version."""
        await self.faults.before()
        return list(self.stored.values())

    async def reserve(self, name: str, version: str) -> weights.WeightsInfo:
        """Reserve one download within the rate."""
        await self.faults.before()
        info = self.stored[(name, version)]
        now = trio.current_time()
        recent = [at for at, _, _ in self.reserved if at > now - 60.0]
        if len(recent) >= self.per_minute:
            raise weights.ThrottledError(recent[0] + 60.0 - now)
        self.reserved.append((now, name, version))
        self.faults.after()
        return info


@attrs.define
class Platform:
    """Bundle the four services of one platform stand-in."""

    table: Table = attrs.Factory(Table)
    objects: Objects = attrs.Factory(Objects)
    hosts: HostList = attrs.Factory(HostList)
    weights: WeightStore = attrs.Factory(WeightStore)
