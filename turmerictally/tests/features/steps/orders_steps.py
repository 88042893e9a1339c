"""Steps for the orders feature."""

import contextlib
import time
from unittest import mock

import behave
import httpx
import hypothesis
import trio
import trio.testing
from hypothesis import strategies as st

from turmerictally import errors
from turmerictally.orders import engines, executor, guards, model
from turmerictally.standins import engine, engine_server, transport
from turmerictally.store import table
from turmerictally.tests.support import orders_fleet

FAULT_SCHEDULES = 40
MAX_POLLS = 400
POLL_S = 0.05


async def submit_for(fleet, results, *arguments, **options):
    try:
        await fleet.submit(*arguments, **options)
        results.append(None)
    except errors.Error as error:
        results.append(error)


@behave.when("two operators submit orders for different versions to one server at once")
def submit_concurrently(context):
    async def body(fleet):
        fleet.table.faults.delay_s = 0.02
        results = []
        async with trio.open_nursery() as nursery:
            for name, version in (("x", "2"), ("y", "3")):
                order = (fleet, results, name, "load", "m", version)
                nursery.start_soon(submit_for, *order)
        winner = fleet.table.rows["orders/servers/s1"].value["pending"]
        await fleet.wait_until_ended(winner["id"])
        served = fleet.engines.engines["s1"].models["m"]
        return results, winner, served

    context.concurrent_orders = orders_fleet.simulate(body)


@behave.then(
    "one order is applied and the other operator gets a conflict that names it"
)
def one_order_applied(context):
    results, winner, served = context.concurrent_orders
    conflicts = [error for error in results if error is not None]
    assert len(conflicts) == 1 and conflicts[0].kind is errors.Kind.CONFLICT, results
    assert winner["id"] in conflicts[0].detail
    assert served == winner["version"]


@behave.when("an order is submitted again while pending and after it was applied")
def submit_again(context):
    async def body(fleet):
        for _ in range(2):
            assert await fleet.submit("x", "load", "m", "2") is None
        ended = await fleet.wait_until_ended("x")
        again = await fleet.submit("x", "load", "m", "2")
        await trio.sleep(100.0)
        return ended, again, fleet.engines.engines["s1"].received

    context.submitted_again = orders_fleet.simulate(body)


@behave.then("the engine has received that order once")
def received_once(context):
    ended, again, received = context.submitted_again
    assert ended == again and ended.outcome is model.Outcome.APPLIED
    assert [order_id for _, order_id in received] == ["x"], received


@behave.when("executors do not check the remaining lease before a send")
def skip_lease_check(context):
    patch = mock.patch.object(
        executor.Executor, "_check_remaining_lease", lambda *_: None
    )
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when(
    "a holder pauses before its send and another host takes over an engine that {kind}"
)
def take_over_from_paused(context, kind):
    async def body(fleet):
        fleet.table.faults.delay_s = 0.05
        await fleet.submit("old", "load", "m", "2")
        paused = fleet.hosts[await fleet.wait_for_holder()]
        await trio.sleep(0.03)  # while the write that renews its lease is in progress
        paused.gate.close()
        assert await fleet.wait_until_ended("old") is not None
        await fleet.submit("new", "load", "m", "3")
        assert await fleet.wait_until_ended("new") is not None
        paused.gate.open.set()
        await trio.sleep(60.0)
        return fleet.engines.engines["s1"].models["m"]

    context.version = orders_fleet.simulate(
        body, checks_fencing=kind == "checks fencing tokens"
    )


@behave.then("that engine serves the newest ordered version")
def serves_newest(context):
    assert context.version == "3", context.version


@behave.then("that engine has returned to the older version")
def serves_older(context):
    assert context.version == "2", context.version


async def finish_without_read(self, lease):
    await self._finish(lease, model.Outcome.APPLIED, "")


NO_TAKEOVER_WAIT = ("_takeover_wait_s", lambda self: 0.0)
NO_SECOND_READ = ("_finish_applied", finish_without_read)
SAFEGUARDS = {
    "both safeguards": (),
    "only the wait before takeover": (NO_SECOND_READ,),
    "neither wait nor second read": (NO_TAKEOVER_WAIT, NO_SECOND_READ),
}


@behave.when(
    "an order arrives {delay:d} s late from a killed lease holder with {safeguard}"
)
def deliver_order_late(context, delay, safeguard):
    async def body(fleet):
        fleet.engines.delay_s = float(delay)
        await fleet.submit("old", "load", "m", "2")
        holder = await fleet.wait_for_holder()
        await trio.sleep(0.1)  # it has sent the order
        fleet.kill(holder)
        fleet.engines.delay_s = 0.01
        assert await fleet.wait_until_ended("old") is not None
        await fleet.submit("new", "load", "m", "3")
        assert await fleet.wait_until_ended("new") is not None
        await trio.sleep(60.0)
        return fleet.engines.engines["s1"].models["m"]

    with contextlib.ExitStack() as stack:
        for name, replacement in SAFEGUARDS[safeguard]:
            patch = mock.patch.object(executor.Executor, name, replacement)
            stack.enter_context(patch)
        context.version = orders_fleet.simulate(body, checks_fencing=False)


@behave.then("the engine {result} the newest ordered version")
def check_version_after_late_order(context, result):
    assert context.version == {"keeps": "3", "loses": "2"}[result], context.version


async def always_true(*_):
    return True


GUARD_METHODS = {
    "the guard": None,
    "no removal reservations": "_reserve_removal",
    "no reads of engines": "_is_served_elsewhere",
}


@behave.when("both servers of a model are ordered to unload it with {guard}")
def unload_both(context, guard):
    async def body(fleet):
        await trio.sleep(0.5)  # so that one scan returns both orders
        for attempt in ("a", "b"):
            for server in ("s1", "s2"):
                await fleet.submit(attempt, "unload", "m", server=server)
            for server in ("s1", "s2"):
                assert await fleet.wait_until_ended(attempt, server) is not None
        return sum("m" in fake.models for fake in fleet.engines.engines.values())

    patch = contextlib.nullcontext()
    if GUARD_METHODS[guard]:
        guard_class = guards.LastServerGuard
        patch = mock.patch.object(guard_class, GUARD_METHODS[guard], always_true)
    with patch:
        context.serving = orders_fleet.simulate(body)


@behave.then("{count:d} of the two servers serve the model")
def servers_serving(context, count):
    assert context.serving == count, context.serving


@behave.when("more loads are ordered than the weight store allows in a minute")
def many_loads(context):
    servers = tuple(f"s{number}" for number in range(1, 6))

    async def body(fleet):
        fleet.weights.per_minute = 2.0
        for server in servers:
            await fleet.submit("x", "load", "m", "2", server=server)
        ended = [await fleet.wait_until_ended("x", server, 600.0) for server in servers]
        return ended, fleet.weights.reserved

    context.loads = orders_fleet.simulate(body, servers=servers)


@behave.then("every load is applied, with one download each and within the rate")
def loads_applied(context):
    ended, reserved = context.loads
    assert {result.outcome for result in ended} == {model.Outcome.APPLIED}, ended
    assert len(reserved) == 5, reserved
    times = [at for at, _, _ in reserved]
    assert all(
        late - early >= 60.0 for early, late in zip(times, times[2:], strict=False)
    )


fault = st.one_of(
    st.tuples(st.just("order"), st.sampled_from(["2", "3"])),
    st.tuples(st.just("order"), st.sampled_from(["2", "3"])),
    st.tuples(st.just("kill")),
    st.tuples(st.just("pause")),
    st.tuples(st.just("resume")),
    st.tuples(st.just("lose"), st.sampled_from([0.0, 0.4])),
    st.tuples(st.just("delay"), st.sampled_from([0.01, 2.0, 9.0])),
    st.tuples(st.just("wait"), st.sampled_from([0.02, 0.5, 3.0, 20.0, 50.0])),
)


async def run_schedule(fleet, steps):
    """Run a schedule, end its faults, wait for the orders to end; return the fleet."""
    paused = []
    for number, (name, *arguments) in enumerate(steps):
        if name == "order":
            fleet.versions[f"o{number}"] = arguments[0]
            with contextlib.suppress(errors.Error, table.UnavailableError):
                await fleet.submit(f"o{number}", "load", "m", arguments[0])
        elif name in ("kill", "pause"):
            victim = next(iter(fleet.hosts))
            host = fleet.hosts.pop(victim)
            if name == "kill":
                host.scope.cancel()
            else:
                host.gate.close()
                paused.append(host)
            fleet.start(f"{victim[:2]}-{number}")
        elif name == "resume" and paused:
            paused.pop().gate.open.set()
        elif name == "lose":
            fleet.table.faults.lose_answer = fleet.engines.response_loss_ratio = (
                arguments[0]
            )
        elif name == "delay":
            fleet.engines.delay_s = arguments[0]
        elif name == "wait":
            await trio.sleep(arguments[0])
    fleet.table.faults.lose_answer = fleet.engines.response_loss_ratio = 0.0
    await trio.sleep(300.0)
    for host in paused:
        host.gate.open.set()
    await trio.sleep(100.0)
    return fleet


@behave.when("orders are submitted under many fault schedules")
def many_schedules(context):
    context.orders_ended = 0

    @hypothesis.settings(
        max_examples=FAULT_SCHEDULES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(st.lists(fault, min_size=6, max_size=16), st.booleans())
    def check(steps, checks_fencing):
        fleet = orders_fleet.simulate(
            lambda fleet: run_schedule(fleet, steps),
            checks_fencing=checks_fencing,
            servers=("s1",),
        )
        context.orders_ended += verify(fleet)

    check()


def verify(fleet) -> int:
    """Check the invariants of one server; return how many orders ended."""
    row = fleet.table.rows.get("orders/servers/s1")
    if row is None:
        return 0
    ended = [entry["order_id"] for entry in row.value["ended"]]
    assert row.value["pending"] is None, row
    assert len(ended) == len(set(ended)), ended
    fake = fleet.engines.engines["s1"]
    fences = [fence for fence, _ in fake.received]
    assert len(fences) == len(set(fences)), fake.received
    assert max(fences, default=0) <= row.value["fence"]
    applied = [e["order_id"] for e in row.value["ended"] if e["outcome"] == "applied"]
    if applied and applied[-1] == ended[-1]:
        assert fake.models["m"] == fleet.versions[applied[-1]], (ended, fake)
    return len(ended)


@behave.then(
    "each order ends once, fencing tokens only grow and the last version is served"
)
def check_orders_ended(context):
    assert context.orders_ended > FAULT_SCHEDULES / 2, context.orders_ended


@behave.when("an order is sent to the engine stand-in over HTTP")
def order_over_http(context):
    async def main():
        stand_in = engine.Engine()
        refusal = None
        async with trio.open_nursery() as nursery:
            apps = {"10.0.0.1:8000": engine_server.app(stand_in)}
            http_transport = transport.Transport(nursery, apps)
            async with httpx.AsyncClient(transport=http_transport) as client:
                engine_client = engines.HttpEngineClient(client)
                order = model.Order(
                    "x", "10.0.0.1:8000", model.Action.LOAD, "adapter", "7"
                )
                await engine_client.send(order, 5, 100.0)
                state = await engine_client.state("10.0.0.1:8000", 100.0)
                try:
                    await engine_client.send(order, 4, 100.0)
                except engines.StaleFenceError as error:
                    refusal = error
            nursery.cancel_scope.cancel()
        return state, refusal

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.http_order = trio.run(main, clock=clock)


@behave.then("the stand-in applies it and rejects an older fencing token")
def stand_in_follows(context):
    state, refusal = context.http_order
    assert state.models["adapter"] == "7" and state.last_order_id == "x"
    assert state.fence == refusal.fence == 5


@behave.when("the operator orders a role for a server that checks fencing tokens")
def order_role(context):
    http = context.fleet.operators()
    server_list = http.get("/v1/servers").json()["data"]
    server = next(entry["address"] for entry in server_list if entry["models"])
    plain = next(entry["address"] for entry in server_list if not entry["models"])
    http.put(f"/v1/servers/{server}", json={"checks_fencing": True})
    for target in (server, plain):
        order = {"id": "r1", "server": target, "action": "role", "name": "decode"}
        response = http.post("/v1/orders", json=order)
        assert response.status_code == 200, response.text
    context.orders_shown = wait_for_end(http, server)
    context.plain_shown = wait_for_end(http, plain)


def wait_for_end(http, server):
    """Poll until the order of a server has ended."""
    for _ in range(MAX_POLLS):
        shown = http.get(f"/v1/orders/{server}").json()
        if shown["ended"]:
            break
        time.sleep(POLL_S)
    return shown["ended"]


@behave.then("the order is applied and in the audit trail under the operator's name")
def check_applied_and_audited(context):
    (ended,) = context.orders_shown
    assert ended["order_id"] == "r1" and ended["outcome"] == "applied", ended
    for _ in range(MAX_POLLS):
        trail = context.fleet.operators().get("/v1/audit").json()["data"]
        entries = [entry for entry in trail if entry["change_id"] == "r1"]
        if len(entries) == 2:
            break
        time.sleep(POLL_S)
    assert len(entries) == 2 and all(entry["who"] for entry in entries), trail


@behave.then("an order to a plain service is refused")
def plain_refused(context):
    (ended,) = context.plain_shown
    assert ended["outcome"] == "refused", ended


@behave.then("an order with an unknown action is refused as a bad request")
def unknown_action_refused(context):
    order = {"id": "r2", "server": "s", "action": "explode", "name": "x"}
    response = context.fleet.operators().post("/v1/orders", json=order)
    assert response.status_code == 400, response.text
