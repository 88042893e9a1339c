"""Keep server list, loads and prefix index up to date by rate-limited polling."""

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

# Limit of server polls per second from one host, independent of the fleet's size.
MAX_POLLS_PER_S = 24.0
# How long a group of servers is polled after its last request.
ACTIVE_GROUP_S = 30.0
# The host list is read less often as it grows, to bound the bytes read per second.
BYTES_PER_LISTED_SERVER = 160
MAX_LIST_BYTES_PER_S = 3000.0
# Cache events are read with every n-th poll of a server.
POLLS_PER_EVENT_READ = 4


@attrs.define
class PollState:
    """Track one server's polls; ``last_poll_at`` is in monotonic seconds."""

    last_poll_at: float = -1e9
    count: int = 0
    running: bool = False


class Poller:
    """Poll the host list and the servers that this host uses.

    ``extra_addresses`` returns further servers to poll, for example those whose
    batch work this host dispatches.
    """

    def __init__(
        self,
        server_router: router.Router,
        engine_client: engines.EngineClient,
        host_list: hosts.HostList,
        options: settings.Routing,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        extra_addresses: collections.abc.Callable[[], list[str]] = list,
    ) -> None:
        self.router = server_router
        self.engines = engine_client
        self.host_list = host_list
        self.options = options
        self.clock = clock
        self.rng = rng
        self.extra_addresses = extra_addresses
        self.polls: dict[str, PollState] = {}
        self.active_groups: dict[str, float] = {}
        self.on_report: list[collections.abc.Callable[[str], None]] = []
        self.list_read = trio.Event()

    def mark_active(self, group: str) -> None:
        """Record a request for a group of servers, so that the group is polled."""
        self.active_groups[group] = self.clock.monotonic()

    async def run(self) -> None:
        """Poll until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_list)
            nursery.start_soon(self._poll_engines, nursery)

    async def refresh(self) -> None:
        """Read the host list; keep the previous one if the read fails."""
        try:
            listed = await self.host_list.list(hosts.Role.BACKEND_SERVER)
        except table.UnavailableError:
            logger.debug("Reading the host list failed; keeping the previous list.")
            return
        self.router.servers.update(listed)
        listed_addresses = set(self.router.servers.by_address)
        self.router.loads.retain(listed_addresses)
        for removed in self.polls.keys() - listed_addresses:
            del self.polls[removed]
            self.router.health.forget(removed)
        self.list_read.set()

    async def poll(self, address: str) -> None:
        """Fetch a server's load report and, with every few polls, its cache events."""
        polls = self.polls.setdefault(address, PollState())
        polls.running = True
        polls.last_poll_at = self.clock.monotonic()
        try:
            await self._read_load(address)
            server = self.router.servers.by_address.get(address)
            has_cache = server is not None and bool(server.models)
            if has_cache and polls.count % POLLS_PER_EVENT_READ == 0:
                await self._read_events(address)
            polls.count += 1
        except engines.ControlError as error:
            self._failed(address, error)
        finally:
            polls.running = False

    async def _poll_list(self) -> None:
        while True:
            await self.refresh()
            jitter = self.rng.uniform(0.8, 1.2)
            await trio.sleep(self.list_interval_s() * jitter)

    def list_interval_s(self) -> float:
        """Return the interval between reads of the host list."""
        list_bytes = len(self.router.servers.by_address) * BYTES_PER_LISTED_SERVER
        return max(self.options.leaving_poll_s, list_bytes / MAX_LIST_BYTES_PER_S)

    async def _poll_engines(self, nursery: trio.Nursery) -> None:
        while True:
            for address in self.most_overdue():
                polls = self.polls.setdefault(address, PollState())
                polls.running = True
                nursery.start_soon(self.poll, address)
            interval_s = 1.0 / MAX_POLLS_PER_S
            await trio.sleep(interval_s * self.rng.uniform(0.5, 1.5))

    def most_overdue(self) -> list[str]:
        """Return the server whose poll is most overdue, or an empty list."""
        now = self.clock.monotonic()
        candidates = [a for a in self.polled_addresses() if self._is_due(a, now)]
        overdue = min(candidates, key=self._last_poll_at, default=None)
        return [] if overdue is None else [overdue]

    def polled_addresses(self) -> set[str]:
        """Return the addresses of the servers this host polls."""
        now = self.clock.monotonic()
        addresses = set(self.extra_addresses())
        for group, at in list(self.active_groups.items()):
            if now - at > ACTIVE_GROUP_S:
                del self.active_groups[group]
                continue
            host_subset = self.router.subset(group)
            addresses.update(host_subset.own, host_subset.spill)
        return addresses

    def _last_poll_at(self, address: str) -> float:
        polls = self.polls.get(address)
        return polls.last_poll_at if polls else -1e9

    def _is_due(self, address: str, now: float) -> bool:
        polls = self.polls.get(address)
        if polls is None:
            return True
        if polls.running:
            return False
        # A recent report from a response header delays the next poll but does not
        # replace it, as only polled reports say whether the server is leaving.
        report = self.router.loads.server(address).report
        report_is_recent = (
            report is not None and now - report.sampled_at < self.options.poll_s
        )
        wait_s = self.options.poll_s * (2.0 if report_is_recent else 1.0)
        return now - polls.last_poll_at >= wait_s

    async def _read_load(self, address: str) -> None:
        response = await self.engines.load(address)
        if self.router.servers.record_self_report(
            address, response.instance, response.leaving
        ):
            self.router.server_replaced(address)
        self.router.loads.record_polled(address, response.report)
        self.router.health.succeeded(address)
        for notify in self.on_report:
            notify(address)

    def _failed(self, address: str, error: engines.ControlError) -> None:
        """Count a failure unless the server responded, as to an unsupported call."""
        if error.server_responded:
            self.router.health.succeeded(address)
            return
        now = self.clock.monotonic()
        self.router.health.failed(address, now, refused=error.refused)

    async def _read_events(self, address: str) -> None:
        feed = self.router.affinity.feed(address)
        try:
            cache_events = await self.engines.events(address, feed.last_seq)
        except engines.ControlError:
            return
        now = self.clock.monotonic()
        self.router.affinity.apply_events(
            address, cache_events.events, cache_events.last_seq, now
        )
