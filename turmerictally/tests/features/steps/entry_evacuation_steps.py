"""Steps for the evacuation of failure domains."""

import behave
import trio

from turmerictally.entry import metrics
from turmerictally.scheduling import evacuation
from turmerictally.tests.support import users_platform

REQUEST_INTERVAL_S = 0.03
PROPAGATION_S = 1.0  # to hosts that reach the store
PEER_PROPAGATION_S = 4.0  # to hosts that learn from peers; below the limit of 5 s
EVENTS = 15
ITEM_EVENTS = 60


class Traffic:
    """Hold the requests and the time of the evacuation."""

    def __init__(self, world):
        self.world = world
        self.replies = []
        self.evacuated_at = 0.0
        self.bound_s = PROPAGATION_S
        self.pause_s = REQUEST_INTERVAL_S
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
            # The store may refuse the first two hosts.
            caller = users_platform.Caller(self.world, 2 + n % 2)
            reply = await caller.ask("/night/x", body=body, request_id=job)
            assert reply.status == 202


def evacuate(world, domain="a", value=b"{}"):
    world.store.put("op", f"evacuate/{domain}", value)


async def disturb(traffic, meanwhile):
    world = traffic.world
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
        traffic.bound_s = PEER_PROPAGATION_S
        traffic.may_be_cut = True
        world.store.faults.down = True
        world.kill_host(0)
        world.start_host(0)


def runs_in_domain(world):
    """Return the runs that the domain's servers work on now."""
    now = trio.current_time()
    return [
        run
        for run in world.runs
        if run.server in ("s0", "s2") and run.ended_at > now > run.at
    ]


@behave.given("a domain with two of four servers, and {load}")
def a_domain(context, load):
    context.load = load


@behave.when("it is evacuated, {meanwhile}")
def is_evacuated(context, meanwhile):
    async def main(world):
        traffic = context.traffic = Traffic(world)
        for server in world.servers.values():
            server.events = ITEM_EVENTS if "batch" in context.load else EVENTS
        if "break" in context.load:
            # The one remaining server takes all of these requests.
            world.servers["s1"].break_after = 3
            traffic.pause_s = 3 * REQUEST_INTERVAL_S
        if "batch" in context.load:
            await traffic.submit("early")
        async with trio.open_nursery() as nursery:
            now = trio.current_time()
            if "batch" not in context.load:
                nursery.start_soon(traffic.ask_until, now + 6.0)
            await trio.sleep(0.7)
            while not runs_in_domain(world):
                await trio.sleep(0.01)
            if "turns two" in meanwhile:
                world.store.refused |= {"h0", "h1"}
                traffic.bound_s = PEER_PROPAGATION_S
            traffic.evacuated_at = trio.current_time()
            evacuate(world)
            await trio.sleep(1.0)
            await disturb(traffic, meanwhile)
            if "batch" in context.load:
                await trio.sleep(1.5)
                await traffic.submit("late")
                await trio.sleep(5.0)

    context.world = users_platform.play(main, hosts=4, servers=4)


@behave.then("no request that starts after that time reaches its servers")
def nothing_later(context):
    traffic = context.traffic
    there = [run for run in context.world.runs if run.server in ("s0", "s2", "s9")]
    assert any(run.at < traffic.evacuated_at for run in there), len(there)
    late = [run.at - traffic.evacuated_at for run in there]
    late = [round(at, 2) for at in late if at > traffic.bound_s]
    assert not late, f"{len(late)} came, up to {max(late)} s later"
    elsewhere = [run for run in context.world.runs if run.server in ("s1", "s3")]
    ends = traffic.evacuated_at + traffic.bound_s
    assert any(run.at > ends for run in elsewhere), len(elsewhere)


@behave.then("requests that ran there complete in place")
def ended_in_place(context):
    at = context.traffic.evacuated_at
    running = [
        run
        for run in context.world.runs
        if run.server in ("s0", "s2") and run.at < at < run.ended_at
    ]
    assert running
    assert {run.ended for run in running} == {"done"}, running


@behave.then("every request is served")
def served(context):
    bad = [r for r in context.traffic.replies if r.status != 200 or not r.whole]
    # Requests to a killed host are cut off or find it not yet ready.
    most = 0.05 * len(context.traffic.replies) if context.traffic.may_be_cut else 0
    assert len(bad) <= most, [(reply.status, reply.asked_at) for reply in bad]


@behave.when("all domains are evacuated")
def all_evacuated(context):
    async def main(world):
        traffic = Traffic(world)
        for domain in "ab":
            evacuate(world, domain)
        await trio.sleep(PROPAGATION_S)
        before = len(world.runs)
        for n in world.hosts:
            await traffic.ask(n)
        context.replies = traffic.replies
        await traffic.submit("job")
        await trio.sleep(2.0)
        context.ran = len(world.runs) - before
        world.store.put("op", "evacuate/a", None)
        await trio.sleep(6.0)
        context.back = [run for run in world.runs[before:] if run.ended == "done"]

    users_platform.play(main, hosts=4, servers=4)


@behave.then(
    "further requests get 503 within {ms:d} ms, with a retry delay of {least:d} to "
    "{most:d} s, and do not run"
)
def refused(context, ms, least, most):
    assert len(context.replies) == 4
    for reply in context.replies:
        assert reply.status == 503 and reply.took_s <= ms / 1000, reply
        assert least <= float(reply.headers["retry-after"]) <= most, reply.headers
    assert context.ran == 0


@behave.then(
    "a batch job is accepted, and its items run once one domain is available again"
)
def items_back(context):
    assert len(context.back) == 72, len(context.back)
    assert {run.server for run in context.back} == {"s0", "s2"}


@behave.when("an evacuation ends while the store refuses two hosts")
def taken_back(context):
    def covered(world):
        return [
            h.availability.evacuations.is_evacuated("a") for h in world.hosts.values()
        ]

    async def main(world):
        evacuate(world)
        await trio.sleep(PROPAGATION_S)
        assert all(covered(world))
        world.store.refused |= {"h0", "h1"}
        world.store.put("op", "evacuate/a", None)
        await trio.sleep(PEER_PROPAGATION_S)
        context.covered = covered(world)
        world.store.refused.clear()
        for _ in range(20):
            await trio.sleep(0.25)
            context.covered += covered(world)

    users_platform.play(main, hosts=4, servers=4)


@behave.then(
    "each host uses the domain again within 4 s, and still does when the store is "
    "available"
)
def used(context):
    assert not any(context.covered), context.covered


ODD = {
    "an evacuation of nowhere": "evacuate/nowhere",
    "an evacuation without a name": "evacuate/",
    "a row of another kind": "evacuation",
}


@behave.when('the operator writes an evacuation of "a" whose value is not JSON')
def odd_value(context):
    async def main(world):
        evacuate(world, value=b"\xff")
        await trio.sleep(PROPAGATION_S)
        context.excluded = [
            {load.domain for load in h.inflight.server_loads("llm")} == {"b"}
            for h in world.hosts.values()
        ]

    users_platform.play(main)


@behave.then('each host excludes "a"')
def excluded(context):
    assert context.excluded == [True, True]


@behave.when("the operator writes {row}")
def odd_row(context, row):
    async def main(world):
        world.store.put("op", ODD[row], b"[]")
        await trio.sleep(PROPAGATION_S)
        context.loads = [
            len(h.inflight.server_loads("llm")) for h in world.hosts.values()
        ]
        context.lines = [
            line
            for event in ("domain_evacuated", "evacuation_unreadable")
            for line in world.lines(event)
        ]

    users_platform.play(main)


@behave.then("each host logs {line}, and uses all servers")
def told(context, line):
    assert context.loads == [2, 2]
    wanted = [] if line == "nothing" else [line.split()[0]] * 2
    assert [found["event"] for found in context.lines] == wanted
    assert not any(found.get("known") for found in context.lines)


@behave.when("these updates are applied: {updates}")
def apply_updates(context, updates):
    evacuations = context.evacuations = evacuation.Evacuations()
    for update in updates.split(", "):
        kind, version = update.rsplit(" ", 1)
        if kind == "begin":
            evacuations.begin("a", int(version), 0.0)
        else:
            evacuations.end("a", int(version), authoritative=kind == "end")


@behave.then("the domain is {state}")
def domain_is(context, state):
    assert context.evacuations.is_evacuated("a") == (state == "evacuated")


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
    "each host's metrics show the evacuation's age, its requests there and all hosts"
)
def evacuated_metrics(context):
    for text in context.texts:
        assert 2.0 < value(text, "evacuated_domain_age_seconds", "a") < 2.6
        assert value(text, "evacuated_domain_hosts", "a") == 2
    running = [value(t, "evacuated_domain_requests", "a") for t in context.texts]
    assert running == [1, 0], running


@behave.then(
    "they show the cold server's permits, its requests and the time until it is warm"
)
def cold_metrics(context):
    permits = [value(t, "cold_server_permits", "s1") for t in context.texts]
    assert sum(permits) == 4, permits
    for text in context.texts:
        assert value(text, "cold_server_sent", "s1") == 0
        assert 25 < value(text, "cold_server_left_seconds", "s1") < 28
