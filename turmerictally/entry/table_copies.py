"""Exchange local copies of watched tables between hosts during a store outage."""

import random
import re

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import gossip, http_server, pool, watch
from turmerictally.entry import trace as traces

PATH = "/copies/"
MIN_FRESHER_S = 0.5  # a peer's copy is fetched if it is fresher by this much
FETCH_TIMEOUT_S = 1.0
AGE_HEADER = b"age-ms"
AGE = re.compile(rb"[0-9]{1,12}")
# Of one table: 30,000 job states of some 500 bytes each.
MAX_COPY_BYTES = 16 * 1024 * 1024


@attrs.define(eq=False)
class TableCopies:
    """Serve this host's copies of tables, and replace stale ones by a peer's."""

    watches: dict[str, watch.Watch]
    hosts: gossip.HostDirectory
    pool: pool.Pool
    clock: clocks.Clock
    trace: traces.Trace
    rng: random.Random
    fetching: bool = False

    async def serve(self, exchange: http_server.Exchange) -> None:
        """Respond to a peer's request for a table."""
        name = exchange.target.decode("latin-1").removeprefix(PATH)
        table = self.watches.get(name)
        if table is None or not table.complete:
            await exchange.reply(404)
            return
        age_ms = max(0, round(table.age_s() * 1000))
        await exchange.reply(200, table.encode(), [(AGE_HEADER, b"%d" % age_ms)])

    def stale_tables(self) -> list[str]:
        """Return the tables whose copies the store has not updated in time."""
        return [name for name, table in self.watches.items() if table.is_stale()]

    def refresh_stale(self, nursery: trio.Nursery) -> None:
        """Start to fetch stale tables from peers, unless a fetch is running."""
        if not self.fetching and (names := self.stale_tables()):
            self.fetching = True
            nursery.start_soon(self._fetch_all, names)

    async def _fetch_all(self, names: list[str]) -> None:
        try:
            for name in names:
                await self._fetch_freshest(name, self.watches[name])
        finally:
            self.fetching = False

    async def _fetch_freshest(self, name: str, own: watch.Watch) -> None:
        """Update a table from the peer with the freshest copy."""
        best = None
        for digest in self.hosts.reachable():
            version, age_s = digest.table_ages.get(name, (0, float("inf")))
            age_s += self.clock.monotonic() - self.hosts.peers[digest.host].full_at
            if age_s + MIN_FRESHER_S < own.age_s() and (
                best is None or age_s < best[0]
            ):
                best = (age_s, digest.host, version)
        if best is None:
            return
        age_s, host, version = best
        if version <= own.version and own.complete:
            # The peer's copy has no newer rows, so the own one is as fresh.
            own.fresh_at = max(own.fresh_at, self.clock.monotonic() - age_s)
            return
        address = self.hosts.peers[host].digest.address
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                data, age_s = await self.fetch(address, name)
        except (pool.ConnectError, pool.BrokenError, trio.TooSlowError) as error:
            self.trace.emit(
                "copy_not_fetched", table=name, host=host, reason=repr(error)
            )
            return
        own.load_peer_copy(data, age_s)
        own.complete = own.complete or own.version > 0
        self.trace.emit(
            "copy_fetched",
            table=name,
            host=host,
            version=own.version,
            age_s=round(age_s, 2),
        )

    async def fetch(self, address: str, name: str) -> tuple[bytes, float]:
        """Return a peer's copy of a table and its age in seconds."""
        connection = await self.pool.acquire(address, 0.0)
        try:
            headers = [(b"Host", address.encode())]
            await connection.send_request(
                b"GET", PATH.encode() + name.encode(), headers, b""
            )
            head = await connection.read_head()
            if head.status != 200:
                raise pool.BrokenError(f"answer {head.status}")
            age_ms = dict(head.headers).get(AGE_HEADER, b"")
            if not AGE.fullmatch(age_ms):
                raise pool.BrokenError("answer without an age")
            return await connection.read_body(MAX_COPY_BYTES), int(age_ms) / 1000
        finally:
            self.pool.abandon(connection)
