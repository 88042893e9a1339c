"""Put one entry host together and run it from start to a planned stop."""

import contextlib
import logging
import random
import secrets

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import listener, settings
from turmerictally.batch import collector, executor, sender, store
from turmerictally.config import assembly
from turmerictally.frontend import app as frontend
from turmerictally.frontend import services
from turmerictally.limits import assembly as limits_assembly
from turmerictally.metrics import host as metrics_host
from turmerictally.online import assembly as online_assembly
from turmerictally.operators import app as operators
from turmerictally.operators import insight
from turmerictally.orders import assembly as orders_assembly
from turmerictally.peers import calls, handshake, transport
from turmerictally.store import budget, client, guard, hosts, table

logger = logging.getLogger(__name__)

REGISTER_RETRY_S = 1.0
STOP_STEP_TIMEOUT_S = 5.0
READY_POLL_S = 0.02


class Host:
    """Run one entry host; ``stop`` drains it."""

    def __init__(self, config: settings.Settings) -> None:
        self.settings = config
        self.instance = secrets.token_hex(8)
        self.clock = clocks.Clock()
        self.rng = random.Random()
        self.stop_requested = trio.Event()
        self.stopping = False
        self.stopped = trio.Event()
        self.scope = trio.CancelScope()
        self.metrics = metrics_host.Metrics(config.metrics, self.clock)
        self.listeners: list[listener.Listener] = []
        self.entry_url = ""
        self.operator_url = ""

    def stop(self) -> None:
        """Begin a planned stop."""
        self.stop_requested.set()

    def kill(self) -> None:
        """End at once, as when the host is lost."""
        self.scope.cancel()

    async def run(
        self, task_status: trio.TaskStatus["Host"] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until stopped; report readiness to serve."""
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(
                client.connect(self.settings.platform)
            )
            async with trio.open_nursery() as nursery:
                self.scope = nursery.cancel_scope
                await self._start(nursery, platform)
                task_status.started(self)
                await self.stop_requested.wait()
                await self._drain()
                nursery.cancel_scope.cancel()
        self.stopped.set()

    async def wait_until_ready(self) -> None:
        """Wait until this host may get requests."""
        while self.readiness() is not None:
            await trio.sleep(READY_POLL_S)

    async def _start(self, nursery: trio.Nursery, platform: guard.Platform) -> None:
        self.platform = platform
        await self._start_peers(nursery)
        self._build()
        nursery.start_soon(self.configuration.run)
        nursery.start_soon(self.limits.run)
        await nursery.start(self.online.run)
        nursery.start_soon(self.executor.run)
        nursery.start_soon(self.orders.run)
        nursery.start_soon(self.collector.run)
        nursery.start_soon(self._register, hosts.Status.LIVE)
        await self._start_listeners(nursery)
        logger.info("Host %s serves at %s.", self.settings.host_id, self.entry_url)

    async def _start_peers(self, nursery: trio.Nursery) -> None:
        config = self.settings
        me = calls.Caller(config.host_id, self.instance, handshake.PROTOCOL_VERSION)
        files = transport.tls.Files(
            config.tls.peers.certificate,
            config.tls.peers.key,
            config.tls.peers.authority,
        )
        self.peers = transport.Peers(me, config.peer_secret, files)
        address = await nursery.start(self.peers.serve, config.listen.peers)
        listen = attrs.evolve(config.listen, peers=address)
        self.settings = attrs.evolve(config, listen=listen)

    def _build(self) -> None:
        config, platform = self.settings, self.platform
        self.configuration = assembly.build(
            config,
            self.instance,
            platform.table,
            platform.objects,
            platform.hosts,
            self.peers,
            self.clock,
        )
        members = self.configuration.members
        replica = self.configuration.replica
        self.limits = limits_assembly.build(
            config,
            self.instance,
            platform.table,
            members,
            replica,
            self.peers,
            self.clock,
        )
        self.online = online_assembly.build(
            config,
            self.instance,
            platform,
            members,
            replica,
            self.peers,
            self.clock,
            self.rng,
            record=self.metrics.observe,
        )
        self.orders = orders_assembly.build(
            config,
            self.instance,
            platform,
            members,
            replica,
            self.online.servers,
            self.configuration.trail,
            self.clock,
        )
        self._build_batch()
        insight.register(self.peers, self.metrics)

    def _build_batch(self) -> None:
        config = self.settings
        self.batch = self._store(budget.Lane.ONLINE)
        sending = sender.Sender(
            self.online.pipeline,
            self._view,
            self.clock,
            config.online.deadline_s,
            self.metrics.record_batch_item,
        )
        gate = sender.Gate(
            self.online.gate, self._view, config.batch.max_concurrent_items
        )
        self.executor = executor.Executor(
            host_id=config.host_id,
            instance=self.instance,
            address=config.listen.peers,
            kept=self._store(budget.Lane.BATCH),
            given=config,
            gate=gate,
            send=sending.send,
            view=self._view,
            hosts=lambda: 1 + len(self.configuration.members.live()),
            idempotent=lambda item: sender.is_idempotent(self._view(), item),
            rng=self.rng,
            record=self.metrics.decisions.record,
        )
        self.executor.serve(self.peers)
        self.collector = collector.Collector(
            self.executor.kept, config.batch, config.host_id
        )

    def _store(self, lane: budget.Lane) -> store.Store:
        return store.build(
            self.platform.table_in(lane),
            self.platform.objects_in(lane),
            self.clock,
            self.settings,
            self.rng,
        )

    def _view(self):
        return self.configuration.replica.view

    async def _start_listeners(self, nursery: trio.Nursery) -> None:
        config = self.settings
        limits = listener.Limits(
            config.listen.idle_timeout_s,
            config.stop.drain_s,
            certificate_reload_s=config.tls.reload_s,
        )
        callers = listener.Listener(
            frontend.make_app(self._services()),
            config.listen.callers,
            config.tls.callers,
            limits,
        )
        operator = listener.Listener(
            operators.make_app(self),
            config.listen.operators,
            config.tls.operators,
            limits,
        )
        self.entry_url = await nursery.start(callers.run)
        self.operator_url = await nursery.start(operator.run)
        self.listeners = [callers, operator]

    def _services(self) -> services.Services:
        return services.Services(
            settings=self.settings,
            clock=self.clock,
            replica=self.configuration.replica,
            keyring=self.configuration.keys,
            limiter=self.limits.limiter,
            pipeline=self.online.pipeline,
            batch=self.batch,
            executor=self.executor,
            peers=self.peers,
            readiness=self.readiness,
            metrics=self.metrics,
        )

    def readiness(self) -> str | None:
        """Return why this host should get no requests, or None."""
        if self.stopping:
            return "stopping"
        if self.configuration.replica.freshness is None:
            return "no configuration"
        if self.configuration.replica.is_stale():
            return "stale configuration"
        return None

    async def _register(self, status: hosts.Status) -> None:
        """Announce this host to the platform's list until it is accepted."""
        config = self.settings
        listed = hosts.ListedHost(
            id=config.host_id,
            instance=self.instance,
            role=hosts.Role.ENTRY,
            address=config.listen.peers,
            region=config.region,
            failure_domain=config.failure_domain,
            status=status,
        )
        while True:
            try:
                await self.platform.hosts.register(listed)
                return
            except table.UnavailableError:
                await trio.sleep(REGISTER_RETRY_S * self.rng.uniform(0.5, 1.5))

    async def _drain(self) -> None:
        """Stop in order: the balancer first, the share of limits last."""
        logger.info("Host %s stops.", self.settings.host_id)
        self.stopping = True
        deadline = trio.current_time() + self.settings.stop.drain_s
        with trio.move_on_at(deadline):
            await self._step(self._register, hosts.Status.LEAVING)
            await trio.sleep(self.settings.stop.announce_s)
            await self._step(self.executor.stop)
            self.online.gate.preempt_all()
            for each in self.listeners:
                each.stop()
            await self._wait_for_requests()
        await self._step(self.online.stop)
        await self._step(self.limits.stop)
        await self._step(self.configuration.stop)
        await self._step(self._deregister)
        logger.info("Host %s stopped.", self.settings.host_id)

    async def _wait_for_requests(self) -> None:
        for each in self.listeners:
            await each.stopped.wait()

    async def _deregister(self) -> None:
        with contextlib.suppress(table.UnavailableError):
            config = self.settings
            await self.platform.hosts.deregister(config.host_id, self.instance)

    async def _step(self, step, *args) -> None:
        """Run one step of the stop; a failed one does not prevent the next."""
        with trio.move_on_after(STOP_STEP_TIMEOUT_S) as scope:
            try:
                await step(*args)
            except Exception:
                logger.exception("A step of the stop failed.")
        if scope.cancelled_caught:
            logger.warning("A step of the stop took too long.")
