"""Run order executors against fake engines in virtual time."""

import random

import attrs
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.config import model as configuration
from turmerictally.orders import engines, executor, guards, model, records
from turmerictally.standins import memory
from turmerictally.tests.support import limits_fleet


@attrs.define
class FakeEngine:
    """Apply orders; ``received`` lists fencing token and ID of every order received."""

    checks_fencing: bool
    models: dict[str, str] = attrs.Factory(dict)
    role: str = "any"
    fence: int = 0
    last_order_id: str = ""
    received: list[tuple[int, str]] = attrs.Factory(list)

    def apply(self, order, fence):
        self.received.append((fence, order.id))
        if self.checks_fencing and fence < self.fence:
            raise engines.StaleFenceError(self.fence)
        self.fence = max(self.fence, fence)
        self.last_order_id = order.id
        if order.action is model.Action.LOAD:
            self.models[order.name] = order.version
        elif order.action is model.Action.UNLOAD:
            self.models.pop(order.name, None)
        else:
            self.role = order.name


@attrs.define
class FakeEngines:
    """Deliver orders to fake engines, late or with lost responses."""

    nursery: trio.Nursery
    engines: dict[str, FakeEngine]
    delay_s: float = 0.01
    response_loss_ratio: float = 0.0
    rng: random.Random = attrs.Factory(lambda: random.Random(3))

    async def state(self, server, timeout_s):
        await trio.sleep(0.01)
        engine = self.engines[server]
        return model.EngineState(
            dict(engine.models), engine.role, engine.fence, engine.last_order_id
        )

    async def send(self, order, fence, timeout_s):
        """Deliver an order even if its sender is cancelled or times out."""
        response = {}
        done = trio.Event()
        self.nursery.start_soon(self._deliver, order, fence, response, done)
        with trio.move_on_after(timeout_s):
            await done.wait()
            if self.rng.random() >= self.response_loss_ratio:
                if "error" in response:
                    raise response["error"]
                return
        raise engines.EngineUnavailableError("timeout")

    async def _deliver(self, order, fence, response, done):
        await trio.sleep(self.delay_s)
        try:
            self.engines[order.server].apply(order, fence)
        except engines.StaleFenceError as error:
            response["error"] = error
        done.set()


@attrs.define
class Host:
    """Hold one executor, the gate that pauses it and the scope that cancels it."""

    executor: executor.Executor
    gate: limits_fleet.PauseGate
    scope: trio.CancelScope


@attrs.define
class Fleet:
    """Start, pause and kill executors that share one table."""

    nursery: trio.Nursery
    engines: FakeEngines
    checks_fencing: bool
    table: memory.Table = attrs.Factory(memory.Table)
    weights: memory.WeightStore = attrs.Factory(memory.WeightStore)
    hosts: dict[str, Host] = attrs.Factory(dict)
    versions: dict[str, str] = attrs.Factory(dict)
    starts: int = 0

    def list_servers(self):
        return list(self.engines.engines)

    def list_live_hosts(self):
        return list(self.hosts)

    def find_server(self, server):
        return configuration.Server(server, checks_fencing=self.checks_fencing)

    def start(self, name):
        self.starts += 1
        gate = limits_fleet.PauseGate()
        store = limits_fleet.GatedTable(self.table, gate)
        guard = guards.LastServerGuard(store, self.engines, self.list_servers)
        order_executor = executor.Executor(
            name,
            f"i{self.starts}",
            store,
            self.engines,
            self.weights,
            guard,
            self.find_server,
            self.list_live_hosts,
            clocks.VirtualClock(offset=100.0 * self.starts),
            settings.Orders(**settings.DEFAULTS["orders"]),
        )
        host = Host(order_executor, gate, trio.CancelScope())
        self.hosts[name] = host
        self.nursery.start_soon(self._run, host)
        return host

    async def _run(self, host):
        with host.scope:
            await host.executor.run()

    def kill(self, name):
        self.hosts.pop(name).scope.cancel()

    async def submit(self, order_id, action, name, version="", server="s1", who="op"):
        order = model.Order(order_id, server, model.Action(action), name, version, who)
        return await records.submit(self.table, order)

    async def wait_until_ended(self, order_id, server="s1", timeout_s=400.0):
        """Wait until an order has ended; return its result, or None on time-out."""
        with trio.move_on_after(timeout_s):
            while True:
                record = await records.read(self.table, server)
                if record.find_result(order_id):
                    return record.find_result(order_id)
                await trio.sleep(0.5)
        return None

    async def wait_for_holder(self, server="s1"):
        """Wait until a host holds a server's lease; return the host's name."""
        while True:
            row = self.table.rows.get(records.SERVERS_PREFIX + server)
            if row and row.value["holder"]:
                return row.value["holder"].split("/")[0]
            await trio.sleep(0.005)


def simulate(body, *, checks_fencing=True, hosts_count=3, servers=("s1", "s2"), seed=0):
    """Run ``await body(fleet)`` in virtual time and return its result."""

    async def main():
        async with trio.open_nursery() as nursery:
            fakes = {
                server: FakeEngine(checks_fencing, {"m": "1"}) for server in servers
            }
            fleet = Fleet(nursery, FakeEngines(nursery, fakes), checks_fencing)
            for version in ("1", "2", "3"):
                info = memory.weights.WeightsInfo("m", version, 1)
                fleet.weights.stored[("m", version)] = info
            for number in range(hosts_count):
                fleet.start(f"h{number}")
            result = await body(fleet)
            nursery.cancel_scope.cancel()
        return result

    with limits_fleet.deterministic_order(seed):
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
