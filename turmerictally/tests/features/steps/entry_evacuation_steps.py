"""Steps for the evacuation of failure domains."""

import behave
import trio

from turmerictally.entry import metrics
from turmerictally.scheduling import evacuation
from turmerictally.tests.support import users_platform

ASK_S = 0.03
KNOWN_S = 1.0  # for hosts that the store serves
TOLD_S = 4.0  # for hosts that learn from their peers; below the bound of 5 s
EVENTS = 15
ITEM_EVENTS = 60


class Day:
    """Hold what was asked and when the domain was evacuated."""

    def __init__(self, world):
        self.world = world
        self.replies = []
        self.evacuated_at = 0.0
        self.bound_s = KNOWN_S
        self.pause_s = ASK_S
        self.may_be_cut = False

    async def ask(self, n):
        self.replies.append(await users_platform.Caller(self.world, n).ask())

    async def ask_until(self, until):
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                for n in list(self.world.hosts):
                    nursery.start_soon(self.ask, n)
                    await trio.sleep(self.pause_s)

    async def submit(self, name):
        for n in range(6):
            job = f"{name}-{n}"
            body, _ = users_platform.lot(self.world, 12, name=f"{job}-")
            # The store may turn the first two hosts away.
            caller = users_platform.Caller(self.world, 2 + n % 2)
            reply = await caller.ask("/night/x", body=body, request_id=job)
            assert reply.status == 202


def evacuate(world, domain="a", value=b"{}"):
    world.store.put("op", f"evacuate/{domain}", value)


async def disturb(day, meanwhile):
    world = day.world
    if "configuration" in meanwhile:
        world.configure()
    elif "registers" in meanwhile:
        server = users_platform.Server(world, "s9", "10.9.0.9:80", domain="a")
        world.servers["s9"] = server
        await world.nursery.start(server.run)
        server.register()
    elif "all other servers" in meanwhile:
        for name in ("s1", "s3"):
            for host in world.hosts.values():
                host.inflight.record_failure(name, refused=True)
    elif "twice" in meanwhile:
        evacuate(world)
    elif "starts again" in meanwhile:
        day.bound_s = TOLD_S
        day.may_be_cut = True
        world.store.faults.down = True
        world.kill_host(0)
        world.start_host(0)


@behave.given("a domain with two of four servers, and {load}")
def a_domain(context, load):
    context.load = load


@behave.when("it is evacuated, {meanwhile}")
def is_evacuated(context, meanwhile):
    async def main(world):
        day = context.day = Day(world)
        for server in world.servers.values():
            server.events = ITEM_EVENTS if "batch" in context.load else EVENTS
        if "break" in context.load:
            # The last server bears all of these alone.
            world.servers["s1"].break_after = 3
            day.pause_s = 3 * ASK_S
        if "batch" in context.load:
            await day.submit("early")
        async with trio.open_nursery() as nursery:
            now = trio.current_time()
            if "batch" not in context.load:
                nursery.start_soon(day.ask_until, now + 6.0)
            await trio.sleep(0.7)
            if "turns two" in meanwhile:
                world.store.refused |= {"h0", "h1"}
                day.bound_s = TOLD_S
            day.evacuated_at = trio.current_time()
            evacuate(world)
            await trio.sleep(1.0)
            await disturb(day, meanwhile)
            if "batch" in context.load:
                await trio.sleep(1.5)
                await day.submit("late")
                await trio.sleep(5.0)

    context.world = users_platform.play(main, hosts=4, servers=4)


@behave.then("nothing that began a second later reaches its servers")
def nothing_later(context):
    day = context.day
    there = [run for run in context.world.runs if run.server in ("s0", "s2", "s9")]
    assert any(run.at < day.evacuated_at for run in there), len(there)
    late = [run.at - day.evacuated_at for run in there]
    late = [round(at, 2) for at in late if at > day.bound_s]
    assert not late, f"{len(late)} came, up to {max(late)} s later"
    elsewhere = [run for run in context.world.runs if run.server in ("s1", "s3")]
    ends = day.evacuated_at + day.bound_s
    assert any(run.at > ends for run in elsewhere), len(elsewhere)


@behave.then("what ran there ended in place, whole")
def ended_in_place(context):
    at = context.day.evacuated_at
    running = [
        run
        for run in context.world.runs
        if run.server in ("s0", "s2") and run.at < at < run.ended_at
    ]
    assert running
    assert {run.ended for run in running} == {"done"}, running


@behave.then("every request is served")
def served(context):
    bad = [r for r in context.day.replies if r.status != 200 or not r.whole]
    # Those of a host that is killed are cut, or find it not yet ready.
    most = 0.05 * len(context.day.replies) if context.day.may_be_cut else 0
    assert len(bad) <= most, [(reply.status, reply.asked_at) for reply in bad]


@behave.when("all domains are evacuated")
def all_evacuated(context):
    async def main(world):
        day = Day(world)
        for domain in "ab":
            evacuate(world, domain)
        await trio.sleep(KNOWN_S)
        before = len(world.runs)
        for n in world.hosts:
            await day.ask(n)
        context.replies = day.replies
        await day.submit("job")
        await trio.sleep(2.0)
        context.ran = len(world.runs) - before
        world.store.put("op", "evacuate/a", None)
        await trio.sleep(6.0)
        context.back = [run for run in world.runs[before:] if run.ended == "done"]

    users_platform.play(main, hosts=4, servers=4)


@behave.then(
    "further requests get 503 within {ms:d} ms, are to come back after {least:d} to "
    "{most:d} s, and do not run"
)
def refused(context, ms, least, most):
    assert len(context.replies) == 4
    for reply in context.replies:
        assert reply.status == 503 and reply.took_s <= ms / 1000, reply
        assert least <= float(reply.headers["retry-after"]) <= most, reply.headers
    assert context.ran == 0


@behave.then("a batch job is accepted, and its items run once a domain is back")
def items_back(context):
    assert len(context.back) == 72, len(context.back)
    assert {run.server for run in context.back} == {"s0", "s2"}


@behave.when("an evacuation is taken back while the store turns two hosts away")
def taken_back(context):
    def covered(world):
        return [
            h.availability.evacuations.is_evacuated("a") for h in world.hosts.values()
        ]

    async def main(world):
        evacuate(world)
        await trio.sleep(KNOWN_S)
        assert all(covered(world))
        world.store.refused |= {"h0", "h1"}
        world.store.put("op", "evacuate/a", None)
        await trio.sleep(TOLD_S)
        context.covered = covered(world)
        world.store.refused.clear()
        for _ in range(20):
            await trio.sleep(0.25)
            context.covered += covered(world)

    users_platform.play(main, hosts=4, servers=4)


@behave.then(
    "each host uses the domain again within 4 s, and goes on using it when the store "
    "is back"
)
def used(context):
    assert not any(context.covered), context.covered


ODD = {
    "an evacuation of nowhere": "evacuate/nowhere",
    "an evacuation without a name": "evacuate/",
    "a row of another kind": "evacuation",
}


@behave.when('the operator writes an evacuation of "a" whose value is no JSON')
def odd_value(context):
    async def main(world):
        evacuate(world, value=b"\xff")
        await trio.sleep(KNOWN_S)
        context.left_out = [
            {load.domain for load in h.inflight.server_loads("llm")} == {"b"}
            for h in world.hosts.values()
        ]

    users_platform.play(main)


@behave.then('each host leaves "a" out')
def left_out(context):
    assert context.left_out == [True, True]


@behave.when("the operator writes {row}")
def odd_row(context, row):
    async def main(world):
        world.store.put("op", ODD[row], b"[]")
        await trio.sleep(KNOWN_S)
        context.loads = [
            len(h.inflight.server_loads("llm")) for h in world.hosts.values()
        ]
        context.lines = [
            line
            for event in ("domain_evacuated", "evacuation_unreadable")
            for line in world.lines(event)
        ]

    users_platform.play(main)


@behave.then("each host tells {line}, and serves from all servers")
def told(context, line):
    assert context.loads == [2, 2]
    wanted = [] if line == "nothing" else [line.split()[0]] * 2
    assert [found["event"] for found in context.lines] == wanted
    assert not any(found.get("known") for found in context.lines)


@behave.when("these are taken: {taken}")
def these_taken(context, taken):
    found = context.found = evacuation.Evacuations()
    for each in taken.split(", "):
        kind, version = each.rsplit(" ", 1)
        if kind == "begin":
            found.begin("a", int(version), 0.0)
        else:
            found.end("a", int(version), authoritative=kind == "end")


@behave.then("the domain is {state}")
def domain_is(context, state):
    assert context.found.is_evacuated("a") == (state == "evacuated")


@behave.when(
    "a domain is evacuated while a stream runs there, and another domain's server is "
    "cold"
)
def measured(context):
    async def main(world):
        world.configure(
            services=[{"name": "llm", "coldStartS": 3.0, "coldPerS": 4.0}],
        )
        world.servers["s0"].events = 200
        world.servers["s1"].cold_ms = 30000
        await trio.sleep(13.0)
        world.servers["s1"].register()
        await trio.sleep(0.5)
        world.nursery.start_soon(users_platform.Caller(world, 0).ask)
        await trio.sleep(0.5)
        evacuate(world)
        await trio.sleep(2.5)
        context.texts = [metrics.text(h).decode() for h in world.hosts.values()]

    users_platform.play(main, hosts=2, servers=2)


def value(text, name, label):
    lines = [x for x in text.splitlines() if x.startswith(f"turmerictally_{name}{{")]
    return next(float(x.split()[1]) for x in lines if f'"{label}"' in x)


@behave.then(
    "each host's metrics tell the domain's age, what runs there, and that all hosts "
    "know"
)
def evacuated_metrics(context):
    for text in context.texts:
        assert 2.0 < value(text, "evacuated_domain_age_seconds", "a") < 2.6
        assert value(text, "evacuated_domain_hosts", "a") == 2
    running = [value(t, "evacuated_domain_requests", "a") for t in context.texts]
    assert running == [1, 0], running


@behave.then("they tell the cold server's permits, what was sent and when it is warm")
def cold_metrics(context):
    permits = [value(t, "cold_server_permits", "s1") for t in context.texts]
    assert sum(permits) == 4, permits
    for text in context.texts:
        assert value(text, "cold_server_sent", "s1") == 0
        assert 25 < value(text, "cold_server_left_seconds", "s1") < 28
