"""Keep servers, loads and cache beliefs up to date with bounded polling."""

import collections.abc
import logging
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.routing import engines, router
from turmerictally.store import hosts, table

logger = logging.getLogger(__name__)

# Most polls of engines a second from one host, whatever the fleet's size.
MAX_POLLS_PER_S = 24.0
# A group of servers is polled this long after its last request, in seconds.
ACTIVE_S = 30.0
# Bytes of one listed server, and the bytes a second one host may spend on the list.
LISTED_BYTES = 160
LIST_BYTES_PER_S = 3000.0
# Polls of a server between two reads of its cache events.
POLLS_PER_EVENTS = 4


@attrs.define
class PollState:
    """Hold when a server was last polled, in monotonic seconds."""

    last: float = -1e9
    count: int = 0
    running: bool = False


class Poller:
    """Poll the host list and the servers that this host uses.

    ``extra_addresses`` returns further servers to poll, for example those whose
    batch work this host dispatches.
    """

    def __init__(
        self,
        chooser: router.Router,
        control: engines.EngineClient,
        host_list: hosts.HostList,
        options: settings.Routing,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        extra_addresses: collections.abc.Callable[[], list[str]] = list,
    ) -> None:
        self.router = chooser
        self.engines = control
        self.host_list = host_list
        self.options = options
        self.clock = clock
        self.rng = rng
        self.extra_addresses = extra_addresses
        self.polls: dict[str, PollState] = {}
        self.active: dict[str, float] = {}
        self.on_report: list[collections.abc.Callable[[str], None]] = []
        self.list_read = trio.Event()

    def mark_active(self, name: str) -> None:
        """Note that requests for a group of servers arrive."""
        self.active[name] = self.clock.monotonic()

    async def run(self) -> None:
        """Poll until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_list)
            nursery.start_soon(self._poll_engines, nursery)

    async def refresh(self) -> None:
        """Read the host list once; a failed read keeps the last one."""
        try:
            listed = await self.host_list.list(hosts.Role.BACKEND_SERVER)
        except table.UnavailableError:
            logger.debug("The host list cannot be read.")
            return
        self.router.servers.update(listed)
        known = set(self.router.servers.by_address)
        self.router.loads.retain(known)
        for gone in self.polls.keys() - known:
            del self.polls[gone]
            self.router.health.forget(gone)
        self.list_read.set()

    async def poll(self, address: str) -> None:
        """Read one server's load report, and now and then its cache events."""
        polls = self.polls.setdefault(address, PollState())
        polls.running = True
        polls.last = self.clock.monotonic()
        try:
            await self._read_load(address)
            server = self.router.servers.by_address.get(address)
            has_cache = server is not None and bool(server.models)
            if has_cache and polls.count % POLLS_PER_EVENTS == 0:
                await self._read_events(address)
            polls.count += 1
        except engines.ControlError as error:
            self._failed(address, error)
        finally:
            polls.running = False

    async def _poll_list(self) -> None:
        while True:
            await self.refresh()
            spread = self.rng.uniform(0.8, 1.2)
            await trio.sleep(self.list_interval_s() * spread)

    def list_interval_s(self) -> float:
        """Return the seconds between two reads of the host list."""
        size = len(self.router.servers.by_address) * LISTED_BYTES
        return max(self.options.leaving_poll_s, size / LIST_BYTES_PER_S)

    async def _poll_engines(self, nursery: trio.Nursery) -> None:
        while True:
            for address in self.most_overdue():
                polls = self.polls.setdefault(address, PollState())
                polls.running = True
                nursery.start_soon(self.poll, address)
            pause = 1.0 / MAX_POLLS_PER_S
            await trio.sleep(pause * self.rng.uniform(0.5, 1.5))

    def most_overdue(self) -> list[str]:
        """Return the server whose poll is most overdue, or none."""
        now = self.clock.monotonic()
        candidates = [a for a in self.polled_addresses() if self._is_due(a, now)]
        latest = min(candidates, key=self._last, default=None)
        return [] if latest is None else [latest]

    def polled_addresses(self) -> set[str]:
        """Return the servers this host polls."""
        now = self.clock.monotonic()
        found = set(self.extra_addresses())
        for name, at in list(self.active.items()):
            if now - at > ACTIVE_S:
                del self.active[name]
                continue
            current = self.router.subset(name)
            found.update(current.own, current.spill)
        return found

    def _last(self, address: str) -> float:
        polls = self.polls.get(address)
        return polls.last if polls else -1e9

    def _is_due(self, address: str, now: float) -> bool:
        polls = self.polls.get(address)
        if polls is None:
            return True
        if polls.running:
            return False
        # A report that came with an answer makes the next poll less urgent; it tells
        # nothing about leaving, so the poll is put off and never dropped.
        report = self.router.loads.server(address).report
        heard = report is not None and now - report.sampled_at < self.options.poll_s
        wait = self.options.poll_s * (2.0 if heard else 1.0)
        return now - polls.last >= wait

    async def _read_load(self, address: str) -> None:
        answer = await self.engines.load(address)
        if self.router.servers.record_self_report(
            address, answer.instance, answer.leaving
        ):
            self.router.server_replaced(address)
        self.router.loads.record_polled(address, answer.report)
        self.router.health.succeeded(address)
        for notify in self.on_report:
            notify(address)

    def _failed(self, address: str, error: engines.ControlError) -> None:
        """Count a failure, unless the server answered and only lacks the call."""
        if error.server_responded:
            self.router.health.succeeded(address)
            return
        now = self.clock.monotonic()
        self.router.health.failed(address, now, refused=error.refused)

    async def _read_events(self, address: str) -> None:
        feed = self.router.affinity.feed(address)
        try:
            found = await self.engines.events(address, feed.last)
        except engines.ControlError:
            return
        now = self.clock.monotonic()
        self.router.affinity.apply_events(address, found.events, found.last, now)
