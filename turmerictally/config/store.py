"""Keep the configuration's history in the platform's table and object store."""

import logging

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors
from turmerictally.config import audit, model
from turmerictally.store import objects, table

logger = logging.getLogger(__name__)

HEAD = "config/head"
CHANGES = "config/changes/"
HOSTS = "config/hosts/"
SNAPSHOTS = "config/snapshots/"
COMMIT_TIMEOUT_S = 5.0
RETRY_MIN_S = 0.05
SCAN_ROWS = 1000
COMPACT_ROWS = 100


class HeadMovedError(Exception):
    """Report that another change took the version; nothing was written."""


@attrs.frozen
class Head:
    """Hold the newest version, that of the latest snapshot, and the row's version."""

    version: int
    snapshot: int
    row_version: int


@attrs.frozen
class Host:
    """Register one host that serves on the configuration.

    ``version`` is in force on it, as far as it told the table.
    """

    id: str
    instance: str
    address: str
    failure_domain: str
    version: int = 0


def change_key(version: int) -> str:
    """Return the row key of a change."""
    return f"{CHANGES}{version:012d}"


def snapshot_key(version: int) -> str:
    """Return the object key of a snapshot."""
    return f"{SNAPSHOTS}{version:012d}"


class Store:
    """Read and extend the linear history of changes.

    Every read raises ``table.UnavailableError`` when the platform does not answer.
    """

    def __init__(
        self,
        rows: table.Table,
        snapshots: objects.Objects,
        clock: clocks.Clock,
        snapshot_every: int,
    ) -> None:
        self.rows = rows
        self.snapshots = snapshots
        self.clock = clock
        self.snapshot_every = snapshot_every

    async def head(self) -> Head:
        """Return the newest version."""
        row = await self.rows.get(HEAD)
        if row is None:
            return Head(version=0, snapshot=0, row_version=table.ABSENT)
        return Head(row.value["version"], row.value["snapshot"], row.version)

    async def changes(self, after: int) -> list[model.Change]:
        """Return the changes that follow a version, without a gap.

        Returns an empty list when the next change has been compacted.
        """
        found = []
        start = change_key(after)
        while True:
            rows = await self.rows.scan(CHANGES, after=start, limit=SCAN_ROWS)
            found.extend(model.change_from_row(row.value) for row in rows)
            if len(rows) < SCAN_ROWS:
                break
            start = rows[-1].key
        if found and found[0].version != after + 1:
            return []
        return found

    async def load(self, head: Head) -> model.View:
        """Return a view at least as new as ``head``."""
        view = model.View()
        if head.snapshot:
            data = await self.snapshots.get(snapshot_key(head.snapshot))
            view = model.view_from_bytes(data)
        return view.apply(await self.changes(view.version))

    async def commit(
        self, head: Head, change: model.Change, entry: audit.Entry
    ) -> None:
        """Append a change and its audit entry if ``head`` is still the newest.

        A lost answer is resolved before this returns. Raises ``HeadMovedError``, or
        ``errors.Error`` with ``PLATFORM_UNAVAILABLE``.
        """
        checks = [table.Check(HEAD, head.row_version)]
        writes = self._writes(head, change, entry)
        deadline = self.clock.monotonic() + COMMIT_TIMEOUT_S
        uncertain = False
        delay = RETRY_MIN_S
        while self.clock.monotonic() < deadline:
            try:
                await self.rows.commit(checks, writes)
                return
            except table.ConflictError as error:
                if not uncertain:
                    raise HeadMovedError from error
                if await self._resolve(change, deadline):
                    return
                raise HeadMovedError from error
            except table.UnavailableError as error:
                uncertain = uncertain or error.maybe_applied
            await trio.sleep(delay)
            delay *= 2
        raise _unavailable(change, uncertain)

    async def _resolve(self, change: model.Change, deadline: float) -> bool:
        """Tell whether our change took the version that is taken."""
        delay = RETRY_MIN_S
        while self.clock.monotonic() < deadline:
            try:
                row = await self.rows.get(change_key(change.version))
            except table.UnavailableError:
                await trio.sleep(delay)
                delay *= 2
                continue
            return row is not None and row.value["id"] == change.id
        raise _unavailable(change, True)

    def _writes(
        self, head: Head, change: model.Change, entry: audit.Entry
    ) -> list[table.Write]:
        value = {"version": change.version, "snapshot": head.snapshot}
        row = model.change_to_row(change)
        return [
            table.Put(HEAD, value),
            table.Put(change_key(change.version), row),
            audit.put(entry),
        ]

    async def snapshot(self, head: Head, view: model.View) -> bool:
        """Write a snapshot when enough changes follow the latest one.

        Raises ``table.ConflictError`` when the head moves at the same time.
        """
        if view.version - head.snapshot < self.snapshot_every:
            return False
        if head.version < view.version:
            return False
        data = model.view_to_bytes(view)
        await self.snapshots.put(snapshot_key(view.version), data)
        value = {"version": head.version, "snapshot": view.version}
        check = table.Check(HEAD, head.row_version)
        await self.rows.commit([check], [table.Put(HEAD, value)])
        logger.info("Snapshot %d written.", view.version)
        return True

    async def compact(self, head: Head) -> None:
        """Delete changes and snapshots well behind the recorded snapshot."""
        limit = head.snapshot - self.snapshot_every
        if limit <= 0:
            return
        rows = await self.rows.scan(CHANGES, limit=COMPACT_ROWS)
        old = [row.key for row in rows if row.key <= change_key(limit)]
        if old:
            await self.rows.commit([], [table.Delete(key) for key in old])
        for info in await self.snapshots.list(SNAPSHOTS):
            if info.key < snapshot_key(limit):
                await self.snapshots.delete(info.key)

    async def register(self, host: Host) -> None:
        """Record a host that is about to read the configuration and serve on it."""
        value = attrs.asdict(host)
        await self.rows.commit([], [table.Put(HOSTS + host.id, value)])

    async def record(self, host: Host, version: int) -> bool:
        """Note that a version is in force on a registered host.

        Returns False when no start of the host is registered. Raises
        ``table.ConflictError`` when the row changes at the same time.
        """
        row = await self.rows.get(HOSTS + host.id)
        if row is None:
            return False
        if row.value["instance"] != host.instance:
            logger.warning("Another start of host %s is registered.", host.id)
            return True
        value = attrs.asdict(attrs.evolve(host, version=version))
        check = table.Check(row.key, row.version)
        await self.rows.commit([check], [table.Put(row.key, value)])
        return True

    async def deregister(self, host_id: str, instance: str = "") -> bool:
        """Remove a host that no longer serves, unless a newer instance took over.

        An empty ``instance`` removes whichever is recorded. Raises
        ``table.ConflictError`` when the row changes at the same time.
        """
        row = await self.rows.get(HOSTS + host_id)
        if row is None or (instance and row.value["instance"] != instance):
            return False
        check = table.Check(row.key, row.version)
        await self.rows.commit([check], [table.Delete(row.key)])
        return True

    async def hosts(self) -> list[Host]:
        """Return every registered host."""
        found: list[Host] = []
        after = ""
        while True:
            rows = await self.rows.scan(HOSTS, after=after, limit=SCAN_ROWS)
            found.extend(Host(**row.value) for row in rows)
            if len(rows) < SCAN_ROWS:
                return found
            after = rows[-1].key


def _unavailable(change: model.Change, uncertain: bool) -> errors.Error:
    ran = errors.Ran.MAY_HAVE_RUN if uncertain else errors.Ran.NOT_RUN
    return errors.Error(
        errors.Kind.PLATFORM_UNAVAILABLE,
        f"Change {change.id}.",
        ran=ran,
        retry_after_s=5.0,
    )
