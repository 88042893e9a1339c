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

SCHEDULES = 40
POLLS = 400
POLL_S = 0.05


async def submit_for(fleet, results, *arguments, **options):
    try:
        await fleet.submit(*arguments, **options)
        results.append(None)
    except errors.Error as error:
        results.append(error)


@behave.when("two operators order different versions for one server at once")
def operators_race(context):
    async def body(fleet):
        fleet.table.faults.delay_s = 0.02
        results = []
        async with trio.open_nursery() as nursery:
            for name, version in (("x", "2"), ("y", "3")):
                order = (fleet, results, name, "load", "m", version)
                nursery.start_soon(submit_for, *order)
        winner = fleet.table.rows["orders/servers/s1"].value["pending"]
        await fleet.ended(winner["id"])
        served = fleet.engines.engines["s1"].models["m"]
        return results, winner, served

    context.race = orders_fleet.simulate(body)


@behave.then("one order is applied and the other operator gets a conflict naming it")
def one_wins(context):
    results, winner, served = context.race
    lost = [error for error in results if error is not None]
    assert len(lost) == 1 and lost[0].kind is errors.Kind.CONFLICT, results
    assert winner["id"] in lost[0].detail
    assert served == winner["version"]


@behave.when("an order is given again while pending and after it was applied")
def order_repeated(context):
    async def body(fleet):
        for _ in range(2):
            assert await fleet.submit("x", "load", "m", "2") is None
        ended = await fleet.ended("x")
        again = await fleet.submit("x", "load", "m", "2")
        await trio.sleep(100.0)
        return ended, again, fleet.engines.engines["s1"].received

    context.repeated = orders_fleet.simulate(body)


@behave.then("the engine has received that order once")
def received_once(context):
    ended, again, received = context.repeated
    assert ended == again and ended.outcome is model.Outcome.APPLIED
    assert [order_id for _, order_id in received] == ["x"], received


@behave.when("the check of the order lease's time left is taken away")
def no_time_check(context):
    without = mock.patch.object(
        executor.Executor, "_check_remaining_lease", lambda *_: None
    )
    without.start()
    context.add_cleanup(without.stop)


@behave.when("a holder paused before it sends is overtaken on an engine that {kind}")
def holder_paused(context, kind):
    async def body(fleet):
        fleet.table.faults.delay_s = 0.05
        await fleet.submit("old", "load", "m", "2")
        paused = fleet.hosts[await fleet.holder()]
        await trio.sleep(0.03)  # its renewal is under way
        paused.gate.close()
        assert await fleet.ended("old") is not None
        await fleet.submit("new", "load", "m", "3")
        assert await fleet.ended("new") is not None
        paused.gate.open.set()
        await trio.sleep(60.0)
        return fleet.engines.engines["s1"].models["m"]

    context.version = orders_fleet.simulate(body, checks=kind == "checks fences")


@behave.then("that engine keeps the newest ordered version")
def keeps_newest(context):
    assert context.version == "3", context.version


@behave.then("that engine has lost the newest ordered version")
def lost_newest(context):
    assert context.version == "2", context.version


async def finish_unread(self, lease):
    await self._finish(lease, model.Outcome.APPLIED, "")


NO_WAIT = ("_takeover_wait", lambda self: 0.0)
NO_READING = ("_finish_applied", finish_unread)
SAFEGUARDS = {
    "both safeguards": (),
    "only the wait before takeover": (NO_READING,),
    "neither wait nor second reading": (NO_WAIT, NO_READING),
}


@behave.when("an order arrives {delay:d} s late from a dead holder with {safeguard}")
def order_late(context, delay, safeguard):
    async def body(fleet):
        fleet.engines.delay_s = float(delay)
        await fleet.submit("old", "load", "m", "2")
        holder = await fleet.holder()
        await trio.sleep(0.1)  # it has sent the order
        fleet.kill(holder)
        fleet.engines.delay_s = 0.01
        assert await fleet.ended("old") is not None
        await fleet.submit("new", "load", "m", "3")
        assert await fleet.ended("new") is not None
        await trio.sleep(60.0)
        return fleet.engines.engines["s1"].models["m"]

    with contextlib.ExitStack() as stack:
        for name, replaced in SAFEGUARDS[safeguard]:
            patch = mock.patch.object(executor.Executor, name, replaced)
            stack.enter_context(patch)
        context.version = orders_fleet.simulate(body, checks=False)


@behave.then("the engine {result} the newest ordered version")
def late_result(context, result):
    assert context.version == {"keeps": "3", "loses": "2"}[result], context.version


async def nothing(*_):
    return True


GUARDS = {
    "the guard": None,
    "no reserved removals": "_reserve_removal",
    "no reading of engines": "_is_served_elsewhere",
}


@behave.when("both servers of a model are ordered to unload it with {guard}")
def unload_both(context, guard):
    async def body(fleet):
        await trio.sleep(0.5)  # so that both orders are seen at the same time
        for attempt in ("a", "b"):
            for server in ("s1", "s2"):
                await fleet.submit(attempt, "unload", "m", server=server)
            for server in ("s1", "s2"):
                assert await fleet.ended(attempt, server) is not None
        return sum("m" in kept.models for kept in fleet.engines.engines.values())

    replaced = contextlib.nullcontext()
    if GUARDS[guard]:
        owner = guards.LastServerGuard
        replaced = mock.patch.object(owner, GUARDS[guard], nothing)
    with replaced:
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
        ended = [await fleet.ended("x", server, 600.0) for server in servers]
        return ended, fleet.weights.reserved

    context.loads = orders_fleet.simulate(body, servers=servers)


@behave.then(
    "all orders of the loads are applied, each with one download within the rate"
)
def loads_applied(context):
    ended, reserved = context.loads
    assert {e.outcome for e in ended} == {model.Outcome.APPLIED}, ended
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
    """Run a schedule, heal, and return the fleet."""
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
            fleet.table.faults.lose_answer = fleet.engines.lose_answer = arguments[0]
        elif name == "delay":
            fleet.engines.delay_s = arguments[0]
        elif name == "wait":
            await trio.sleep(arguments[0])
    fleet.table.faults.lose_answer = fleet.engines.lose_answer = 0.0
    await trio.sleep(300.0)
    for host in paused:
        host.gate.open.set()
    await trio.sleep(100.0)
    return fleet


@behave.when("orders are given over many schedules of faults")
def many_schedules(context):
    context.orders_ended = 0

    @hypothesis.settings(
        max_examples=SCHEDULES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(st.lists(fault, min_size=6, max_size=16), st.booleans())
    def check(steps, checks):
        fleet = orders_fleet.simulate(
            lambda fleet: run_schedule(fleet, steps), checks=checks, servers=("s1",)
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
    kept = fleet.engines.engines["s1"]
    fences = [fence for fence, _ in kept.received]
    assert len(fences) == len(set(fences)), kept.received
    assert max(fences, default=0) <= row.value["fence"]
    applied = [e["order_id"] for e in row.value["ended"] if e["outcome"] == "applied"]
    if applied and applied[-1] == ended[-1]:
        assert kept.models["m"] == fleet.versions[applied[-1]], (ended, kept)
    return len(ended)


@behave.then("every order ended once, fences only grew and the last order is in force")
def orders_hold(context):
    assert context.orders_ended > SCHEDULES / 2, context.orders_ended


@behave.when("an order is sent to the engine stand-in over HTTP")
def order_over_http(context):
    async def main():
        target = engine.Engine()
        refusal = None
        async with trio.open_nursery() as nursery:
            apps = {"10.0.0.1:8000": engine_server.app(target)}
            carrier = transport.Transport(nursery, apps)
            async with httpx.AsyncClient(transport=carrier) as client:
                calls = engines.HttpEngineClient(client)
                order = model.Order(
                    "x", "10.0.0.1:8000", model.Action.LOAD, "adapter", "7"
                )
                await calls.send(order, 5, 100.0)
                state = await calls.state("10.0.0.1:8000", 100.0)
                try:
                    await calls.send(order, 4, 100.0)
                except engines.StaleFenceError as error:
                    refusal = error
            nursery.cancel_scope.cancel()
        return state, refusal

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.http_order = trio.run(main, clock=clock)


@behave.then("the stand-in follows it and refuses an older fence")
def stand_in_follows(context):
    state, refusal = context.http_order
    assert state.models["adapter"] == "7" and state.last_order_id == "x"
    assert state.fence == refusal.fence == 5


@behave.when("the operator orders a role for a server that checks fences")
def order_role(context):
    http = context.fleet.operators()
    listed = http.get("/v1/servers").json()["data"]
    server = next(each["address"] for each in listed if each["models"])
    plain = next(each["address"] for each in listed if not each["models"])
    http.put(f"/v1/servers/{server}", json={"checks_fencing": True})
    for target in (server, plain):
        order = {"id": "r1", "server": target, "action": "role", "name": "decode"}
        given = http.post("/v1/orders", json=order)
        assert given.status_code == 200, given.text
    context.orders_shown = wait_for_end(http, server)
    context.plain_shown = wait_for_end(http, plain)


def wait_for_end(http, server):
    """Poll until the order of a server has ended."""
    for _ in range(POLLS):
        shown = http.get(f"/v1/orders/{server}").json()
        if shown["ended"]:
            break
        time.sleep(POLL_S)
    return shown["ended"]


@behave.then("the order is applied and in the audit trail under the operator's name")
def order_all_the_way(context):
    (ended,) = context.orders_shown
    assert ended["order_id"] == "r1" and ended["outcome"] == "applied", ended
    for _ in range(POLLS):
        trail = context.fleet.operators().get("/v1/audit").json()["data"]
        found = [entry for entry in trail if entry["change_id"] == "r1"]
        if len(found) == 2:
            break
        time.sleep(POLL_S)
    assert len(found) == 2 and all(entry["who"] for entry in found), trail


@behave.then("an order to a plain service is refused")
def plain_refused(context):
    (ended,) = context.plain_shown
    assert ended["outcome"] == "refused", ended


@behave.then("an order with a wrong action is refused as a bad request")
def wrong_action(context):
    order = {"id": "r2", "server": "s", "action": "explode", "name": "x"}
    given = context.fleet.operators().post("/v1/orders", json=order)
    assert given.status_code == 400, given.text
