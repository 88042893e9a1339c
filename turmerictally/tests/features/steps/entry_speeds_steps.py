"""Steps for speed estimates that hosts share."""

import behave
import trio

from turmerictally.entry import settings
from turmerictally.scheduling import failover, placement
from turmerictally.tests.support import users_platform

SILENT_SEEDS = 6  # plays, as chance decides how often the silent server is chosen


def ask(context, learns):
    async def main(world):
        world.slowness["s1"] = 4.0
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(users_platform.Caller(world).ask)
                await trio.sleep(0.05)
            context.loads = [
                served.inflight.server_loads("llm") for served in world.hosts.values()
            ]
            received = world.hosts[1].hosts.peers["h0"].digest
            context.reported = received.speeds
        context.lines = world.lines("placed")

    scheduling = settings.Scheduling(learned_speeds=learns)
    users_platform.play(main, hosts=2, servers=3, settings={"scheduling": scheduling})


@behave.when("one host gets requests and one of three servers is 4 times slower")
def asked(context):
    ask(context, True)


@behave.when("the same happens without learned speeds")
def asked_without(context):
    ask(context, False)


@behave.then(
    "both hosts expect it to take 3 to 5 times as long and the others the typical time"
)
def both_know(context):
    for loads in context.loads:
        found = {load.name: load.slowness for load in loads}
        assert 3.0 < found.pop("s1") < 5.0, found
        assert set(found.values()) == {1.0}, found


@behave.then(
    "the log of placed requests has its slowness, the age and the number of hosts"
)
def logged_slowness(context):
    slow = [line for line in context.lines if line["server"] == "s1"]
    assert any(line.get("slowness", 0.0) > 3.0 for line in slow)
    for line in slow:
        assert {"slowness", "speed_hosts", "speed_age_s"} <= line.keys()


@behave.then("neither digests nor log lines have speeds")
def nothing_reported(context):
    assert not context.reported
    assert not any("slowness" in line for line in context.lines)
    assert all(load.slowness == 1.0 for loads in context.loads for load in loads)


@behave.when(
    "a host with streams that {may} switch late uses four servers of which one is "
    "silent"
)
def silent(context, may):
    async def main(world):
        world.servers["s1"].silent = True
        world.replies = []

        async def one():
            world.replies.append(await users_platform.Caller(world).ask())

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(one)
                await trio.sleep(0.3)

    scheduling = settings.Scheduling(switch_late=may == "may")
    context.worlds = [
        users_platform.play(
            main, hosts=1, servers=4, seed=seed, settings={"scheduling": scheduling}
        )
        for seed in range(SILENT_SEEDS)
    ]


@behave.then(
    "20 callers get complete responses, {count} of them with a late first event"
)
def begun(context, count):
    late_counts = []
    for world in context.worlds:
        assert len(world.replies) == 20 and all(r.whole for r in world.replies)
        late = sum(r.event_times[0] - r.asked_at > 0.3 for r in world.replies)
        late_counts.append(late)
        if count != "some":
            # A host may fail over so often at once.
            met_silence = len(world.servers["s1"].runs)
            beyond_budget = max(0, met_silence - int(failover.MAX_CREDIT))
            assert late == beyond_budget, (late, met_silence)
    assert count != "some" or any(late_counts), late_counts


@behave.then("no request runs on two servers at once")
def one_at_a_time(context):
    assert any(world.servers["s1"].runs for world in context.worlds)
    for world in context.worlds:
        for run in world.servers["s1"].runs:
            assert run.ended == "cut"
            later = [r for r in world.runs if r.request == run.request and r is not run]
            assert all(other.at >= run.at + 0.1 for other in later)


@behave.given("a failover budget")
def budget(context):
    context.budget = failover.FailoverBudget()


@behave.then(
    "of {count:d} requests at most {most:d} fail over while others have free slots"
)
def share_of(context, count, most):
    loads = [placement.ServerLoad(f"s{n}", "a", 8) for n in range(10)]
    for _ in range(count):
        context.budget.record_request()
        context.budget.try_spend(loads)
    assert 0 < context.budget.failovers <= most, context.budget.failovers


@behave.then("none does while only one server of ten has free slots")
def none_when_full(context):
    loads = [placement.ServerLoad(f"s{n}", "a", 8, 8 if n else 0) for n in range(10)]
    context.budget.credit = failover.MAX_CREDIT
    assert not context.budget.try_spend(loads)


@behave.when(
    "one of three servers becomes 12 times slower while items run and a host {learns} "
    "learned speeds"
)
def becomes_slow(context, learns):
    async def main(world):
        world.configure(batch={"completionTargetMs": 8000})
        for server in world.servers.values():
            server.events = 100
        async with trio.open_nursery() as nursery:

            async def ask():
                while True:
                    nursery.start_soon(users_platform.Caller(world).ask)
                    await trio.sleep(0.4)

            nursery.start_soon(ask)
            await trio.sleep(2.0)
            body, ids = users_platform.lot(world, 6)
            deadline = trio.current_time() + 8.0
            await users_platform.Caller(world).ask(
                "/night/x", body=body, request_id="j1"
            )
            await trio.sleep(0.5)
            world.slowness["s1"] = 12.0
            await trio.sleep_until(deadline)
            nursery.cancel_scope.cancel()
        versioned = world.hosts[0].job_states.by_id["j1"]
        context.whole = versioned.state.listed == len(ids)
        context.leaving = world.lines("item_leaves")

    scheduling = settings.Scheduling(learned_speeds=learns == "uses")
    users_platform.play(main, hosts=1, servers=3, settings={"scheduling": scheduling})


@behave.then("the job is {done} within its 8 s")
def job_done(context, done):
    assert context.whole == (done == "whole")
    assert bool(context.leaving) == context.whole
