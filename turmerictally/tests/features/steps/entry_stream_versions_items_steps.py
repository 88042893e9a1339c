"""Steps for batch items while servers of two software versions serve."""

import json

import behave
import trio

from turmerictally.entry import settings
from turmerictally.tests.support import users_platform

EVENTS = 150  # of an item, which takes 3 s
COUNT = 12
SEEDS = range(2)  # they shift checkpoints and polls relative to the trouble
LEARNS = settings.Scheduling(learned_speeds=True)
OLDER, NEWER = "v1", "v2"


def mark_events(world, **versions):
    for server in world.servers.values():
        server.marks_software = True
        server.events = EVENTS
        server.software = versions.get(server.name, OLDER)
        server.register()


async def submit(world, n=0, job="j1", count=COUNT):
    body, ids = users_platform.lot(world, count, name=f"{job}-")
    reply = await users_platform.Caller(world, n).ask(
        "/night/x", body=body, request_id=job
    )
    assert reply.status == 202, reply
    return ids


async def read_results(world, n, job, count, seconds):
    results = []
    with trio.move_on_after(seconds):
        while len(results) < count:
            reply = await users_platform.Caller(world, n).ask(
                f"/-/lots/{job}?after={len(results)}",
                "GET",
                b"",
                **{"X-Wait-Ms": "500"},
            )
            if reply.status == 200:
                results += reply.json()["results"]
            else:
                await trio.sleep(0.2)
    return results


def servers_of(world, software):
    return [s for s in world.servers.values() if s.software == software]


async def fill(world, servers, seconds):
    """Keep all slots of these servers busy with online requests."""

    async def one(server):
        with trio.move_on_after(seconds):
            caller = users_platform.Caller(world, 1, ip=f"10.7.1.{len(asked)}")
            asked.append(server)
            while True:
                await caller.ask()

    asked = []
    async with trio.open_nursery() as nursery:
        for server in servers:
            for _ in range(server.slots):
                nursery.start_soon(one, server)


async def add_newer(world, slots=24):
    """Register a server that has the most free slots."""
    server = users_platform.Server(world, "s9", "10.9.0.9:80", slots=slots)
    server.marks_software, server.events, server.software = True, EVENTS, NEWER
    world.servers[server.name] = server
    await world.nursery.start(server.run)
    server.register()


async def break_off(world):
    for server in world.servers.values():
        server.break_after = 40


async def preempt(world):
    await trio.sleep(0.8)
    await fill(world, [*world.servers.values()] * 2, 0.7)
    await add_newer(world)


async def kill_owner(world):
    await trio.sleep(2.2)
    await add_newer(world)
    world.kill_host(0)


async def remove(world, server):
    server.crash()
    del world.servers[server.name]
    world.store.put("servers", server.name, None)


async def kill_owner_and_older(world):
    await kill_owner(world)
    for server in servers_of(world, OLDER):
        await remove(world, server)


async def stop_owner(world):
    await trio.sleep(1.7)
    await add_newer(world)
    world.hosts[0].stop()


async def remove_older(world):
    await trio.sleep(1.2)
    for server in servers_of(world, OLDER):
        await remove(world, server)


async def come_back_newer(world):
    await trio.sleep(1.2)
    # The registration is known before, after or as the first request arrives.
    for delay_s, server in enumerate(servers_of(world, OLDER)):
        server.crash()
        server.software, server.born = NEWER, server.born + 1
        await world.nursery.start(server.run)
        await trio.sleep(0.25 * delay_s)
        server.register()


async def slow_down(world):
    await trio.sleep(0.5)
    world.slowness["s0"] = 12.0


async def ask_now_and_then(world):
    """Let hosts learn the speed of each server."""
    while True:
        world.nursery.start_soon(users_platform.Caller(world).ask)
        await trio.sleep(0.2)


TROUBLES = {
    "servers break each stream off": break_off,
    "online requests preempt its items": preempt,
    "its host fails": kill_owner,
    "its host fails and so does the older version": kill_owner_and_older,
    "its host is stopped": stop_owner,
    "the servers of the older version leave": remove_older,
    "servers come back with the newer version": come_back_newer,
    "a server slows down": slow_down,
}


@behave.when("a job runs on servers of two versions and {trouble}")
def two_versions(context, trouble):
    context.worlds, context.results = [], []

    async def main(world):
        mark_events(world, s1=NEWER, s3=NEWER)
        context.hosts = dict(world.hosts)
        if trouble == "a server slows down":
            world.configure(batch={"completionTargetMs": 8000})
            world.nursery.start_soon(ask_now_and_then, world)
        await trio.sleep(2.0)
        context.ids = await submit(world)
        await TROUBLES[trouble](world)
        context.results.append(await read_results(world, 1, "j1", COUNT, 60.0))
        context.lines = [line for each in context.hosts.values() for line in each.lines]

    for seed in SEEDS:
        context.worlds.append(
            users_platform.play(main, servers=4, seed=seed, scheduling=LEARNS)
        )


def versions_of(text):
    return {line.partition(" ")[2] for line in text.splitlines()}


@behave.then("each item is done and its text is from one version")
def of_one_version(context):
    joined = []
    for results in context.results:
        assert sorted(r["id"] for r in results) == sorted(context.ids), results
        assert {r["state"] for r in results} == {"succeeded"}, results
        for result in results:
            lines = result["text"].splitlines()
            numbers = [line.partition(" ")[0] for line in lines]
            expected = [f"{result['id']}.{n}" for n in range(1, EVENTS + 1)]
            assert numbers == expected, (result["id"], numbers[:3], len(numbers))
            if len(versions_of(result["text"])) != 1:
                joined.append(result["id"])
    assert not joined, f"{len(joined)} texts from two versions: {joined}"


@behave.when(
    "the items of a job are preempted and servers of its version are full for 1.5 s"
)
def preempted_and_full(context):
    context.results = []

    async def main(world):
        mark_events(world)
        await trio.sleep(1.0)
        context.ids = await submit(world, count=8)
        await trio.sleep(1.0)
        await add_newer(world)
        await fill(world, world.servers.values(), 1.5)
        context.results.append(await read_results(world, 1, "j1", 8, 60.0))
        context.lines = [line for h in world.hosts.values() for line in h.lines]

    context.worlds = [users_platform.play(main, servers=1)]


@behave.then("no event was generated twice, and no item began anew")
def not_twice(context):
    runs = [run for run in context.worlds[0].runs if run.request in context.ids]
    assert len(runs) > len(context.ids), "no item was preempted"
    made = sum(run.events_made for run in runs)
    lost = made - EVENTS * len(context.ids)
    # Events on their way when a run is preempted are made again.
    assert lost <= 3 * (len(runs) - len(context.ids)), lost
    assert not [li for li in context.lines if li["event"] == "item_begins_anew"]


@behave.then("the log tells which items began anew, and why")
def log_tells(context):
    lines = [li for li in context.lines if li["event"] == "item_begins_anew"]
    assert lines
    for line in lines:
        assert line["request"] in context.ids and line["job"] == "j1", line
        assert (line["software"], line["events"] > 0) == (OLDER, True), line
        assert line["reason"] == "no server of its version", line
    json.dumps(lines)


@behave.when("urgent items wait at a host for the full servers of their version")
def urgent_items_wait(context):
    async def main(world):
        # The older version's only server has two slots.
        world.servers["s0"].slots = 2
        world.servers["s1"].slots = 2
        mark_events(world)
        for server in world.servers.values():
            server.events = 1000
        await trio.sleep(1.0)
        await submit(world, count=4)
        await trio.sleep(1.0)
        world.servers["s1"].crash()
        world.store.put("servers", "s1", None)
        await trio.sleep(0.5)
        await add_newer(world, slots=2)
        world.servers["s9"].events = 60
        await trio.sleep(0.5)
        context.later = await submit(world, 1, "j2", 2)
        context.done = await read_results(world, 1, "j2", 2, 4.0)

    context.world = users_platform.play(main)


@behave.then("the items of a later job at another host are done within 4 s")
def later_done(context):
    assert sorted(r["id"] for r in context.done) == sorted(context.later)
