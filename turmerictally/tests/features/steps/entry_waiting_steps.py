"""Steps for requests that wait on an entry host of the users' platform."""

import attrs
import behave
import trio

from turmerictally.entry import gossip, settings
from turmerictally.entry import metrics as entry_metrics
from turmerictally.scheduling import fair_shares, server_rates
from turmerictally.tests.support import users_platform

QUEUEING = settings.Scheduling(fair_shares=True, waiting_room=True)


async def ask(context, world, n=0, **more):
    reply = await users_platform.Caller(world, n=n).ask(**more)
    context.replies.append(reply)
    return reply


def play(context, main, scheduling=QUEUEING, hosts=1):
    context.replies, context.max_requests = [], 0

    async def main_with_watch(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_server, context, world)
            await main(world, nursery)
            nursery.cancel_scope.cancel()

    context.world = users_platform.play(
        main_with_watch, hosts=hosts, servers=1, scheduling=scheduling
    )


async def watch_server(context, world):
    """Record the maximum number of requests on the server at once."""
    server = world.servers["s0"]
    while True:
        ended = sum(bool(run.ended) for run in server.runs)
        context.max_requests = max(context.max_requests, server.arrivals - ended)
        await trio.sleep(0.005)


def start_streams(context, world, nursery, n=0):
    for _ in range(8):
        nursery.start_soon(ask, context, world, n)


@behave.when("8 streams run and another caller arrives {after_s:g} s after them")
def another_arrives(context, after_s):
    arrive_after(context, after_s, QUEUEING)


@behave.when(
    "8 streams run and another caller arrives {after_s:g} s after them without the "
    "settings"
)
def another_arrives_without(context, after_s):
    arrive_after(context, after_s, settings.Scheduling())


def arrive_after(context, after_s, scheduling):
    async def main(world, nursery):
        start_streams(context, world, nursery)
        await trio.sleep(after_s)
        context.reply = await ask(context, world)

    play(context, main, scheduling)


@behave.then("its response is complete, with the first event within {within_s:g} s")
def complete_in_time(context, within_s):
    reply = context.reply
    assert reply.whole and reply.status == 200, reply.status
    first_event_s = reply.event_times[0] - reply.asked_at
    assert 0.1 < first_event_s <= within_s, first_event_s


@behave.then("the server never had more than {count:d} requests")
def never_more(context, count):
    assert context.max_requests == count, context.max_requests


@behave.then("the server had the request in its own queue at once")
def queued_on_server(context):
    assert context.max_requests == 9, context.max_requests


@behave.when("30 callers arrive at once")
def many_arrive(context):
    async def main(world, nursery):
        async with trio.open_nursery() as callers:
            for _ in range(30):
                callers.start_soon(ask, context, world)
        context.exposed = entry_metrics.text(world.hosts[0]).decode()

    play(context, main)


@behave.when(
    "30 callers arrive at once at a server that names a limit of {limit:d} a second"
)
def many_arrive_at_limit(context, limit):
    async def main(world, nursery):
        server = world.servers["s0"]
        server.limit_per_s = limit
        await trio.sleep(server_rates.VIEW_SETTLE_S + 1.0)
        await ask(context, world)
        context.replies.clear()
        server.arrivals = 0
        async with trio.open_nursery() as callers:
            for _ in range(30):
                callers.start_soon(ask, context, world)

    play(context, main)


@behave.when("30 callers arrive at once and the metrics are read")
def many_arrive_and_read(context):
    many_arrive(context)


@behave.then(
    "those beyond the slots are refused, each within {within_s:g} s and without being "
    "sent"
)
def refused(context, within_s):
    refusals = [reply for reply in context.replies if reply.status == 503]
    assert len(refusals) >= 20, len(refusals)
    assert len(context.replies) == 30
    assert all(reply.took_s <= within_s for reply in refusals)
    assert context.world.servers["s0"].arrivals == 30 - len(refusals)


@behave.then("each of them gets a retry time, spread over different values")
def retry_times(context):
    times = {r.headers["retry-after"] for r in context.replies if r.status == 503}
    assert len(times) >= 10, times
    assert all(0 < float(value) <= 5 / 3 for value in times)


@behave.then(
    "their log lines contain the share, the queue position, the wait and the age"
)
def log_fields(context):
    lines = context.world.lines("given_up")
    assert lines
    for line in lines:
        assert {"share", "ahead", "wait_s", "age_s"} <= line.keys(), line


@behave.then("they show the team's demand, share, wait and refusals")
def metrics_shown(context):
    for name in ("demand_slots", "share_slots", "waited_seconds", "refused"):
        assert f"team_{name}" in context.exposed, name
    assert 'team_refused_total{team="counter"}' in context.exposed


@behave.when("8 streams run and a waiting caller disconnects")
def waiting_caller_disconnects(context):
    async def main(world, nursery):
        start_streams(context, world, nursery)
        await trio.sleep(0.45)
        caller = users_platform.Caller(world)
        with trio.move_on_after(0.05):
            await caller.ask(request_id="left")
        assert len(world.hosts[0].admission.wait_queue.requests) == 1
        caller.close()
        await trio.sleep(0.01)
        context.waiting = len(world.hosts[0].admission.wait_queue.requests)
        await trio.sleep(1.0)

    play(context, main)


@behave.then("the wait queue is empty and the server never got its request")
def removed(context):
    assert context.waiting == 0
    assert "left" not in {run.request for run in context.world.runs}
    assert context.world.servers["s0"].arrivals == 8


@behave.when(
    "8 streams run through another host and this one is {ended} while a caller waits"
)
def host_ends(context, ended):
    async def main(world, nursery):
        start_streams(context, world, nursery, n=1)
        await trio.sleep(0.42)

        async def wait():
            context.reply = await ask(context, world, request_id="waits")

        nursery.start_soon(wait)
        await trio.sleep(0.03)
        assert len(world.hosts[0].admission.wait_queue.requests) == 1
        context.ended_at = trio.current_time()
        if ended == "killed":
            world.kill_host(0)
        else:
            world.hosts[0].stop()
        await trio.sleep(1.5)

    play(context, main, hosts=2)


@behave.then("the caller has a response or a closed connection within {within_s:g} s")
def answered_or_closed(context, within_s):
    reply = context.reply
    assert reply.asked_at + reply.took_s <= context.ended_at + within_s, reply


@behave.then("a request without a response was never sent")
def never_sent(context):
    sent = "waits" in {run.request for run in context.world.runs}
    assert sent == (context.reply.status == 200), context.reply.status


class FakeClock:
    """Return a time that the test sets."""

    now = 0.0

    def monotonic(self):
        return self.now


class NullTrace:
    """Discard log lines."""

    def emit(self, *args, **fields):
        pass


@behave.when("a host reports that a team demands 1000 slots and becomes unreachable")
def reports_demand(context):
    clock = FakeClock()
    hosts = gossip.HostDirectory("h0", "i", clock, NullTrace())
    demand = fair_shares.TeamDemand(hosts.totals.demand)
    for _ in range(60):
        demand.add("llm", "small")
    reported = {f"llm{fair_shares.SEPARATOR}large": 1000}
    hosts.receive(
        gossip.Digest(
            "h1",
            "i",
            "",
            1,
            {},
            {},
            0,
            {},
            {},
            {},
            0.0,
            [],
            demand=reported,
            callers_waiting=9,
        )  # fmt: skip
    )
    context.before = demand.shares("llm", 100.0, clock.now)
    clock.now = hosts.unreachable_s() + 0.01
    hosts.expire()
    context.after = demand.shares("llm", 100.0, clock.now)
    context.waiting = hosts.totals.callers_waiting + hosts.callers_waiting("llm")
    clock.now = 100.0
    hosts.expire()
    assert not hosts.peers and not hosts.totals.demand


@behave.then(
    "the other teams have their full shares once the host counts as unreachable"
)
def full_shares(context):
    assert abs(context.before["small"] - 50.0) < 1e-6, context.before
    assert context.after == {"small": 60.0}, context.after
    assert context.waiting == 0


@behave.when(
    "callers of another service wait on one host and a caller finds all slots used on "
    "another"
)
def others_wait(context):
    route = {"name": "other", "hostname": users_platform.HOSTNAME, "prefix": "/other/"}
    route |= {"kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 20000}
    route |= {"gapTargetMs": 250, "service": "other", "maxAttempts": 2}

    async def main(world, nursery):
        world.configure(
            routes=[route],
            services=[{"name": n, "maxConnections": 200} for n in ("llm", "other")],
        )
        other = users_platform.Server(world, "other", "10.9.0.9:80", service="other")
        await nursery.start(other.run)
        other.register()
        await trio.sleep(1.0)
        for _ in range(40):
            nursery.start_soon(ask_other, world)
        await trio.sleep(0.2)
        start_streams(context, world, nursery)
        await trio.sleep(0.45)
        waiting = world.hosts[1].admission.wait_queue.requests
        assert len(waiting) > 10, len(waiting)
        context.reply = await users_platform.Caller(world, 0).ask()

    async def ask_other(world):
        await users_platform.Caller(world, 1).ask("/other/1")

    play(context, main, hosts=2)


@behave.then("that caller waits for the next slot and is served")
def waits_and_is_served(context):
    assert context.reply.status == 200 and context.reply.whole, context.reply


def waiting_digest(sequence, online, callers_waiting):
    digest = gossip.Digest("h1", "i", "", sequence, online, {}, 0, {}, {}, {}, 0.0, [])
    return attrs.evolve(digest, callers_waiting=callers_waiting)


@behave.when("a host of the version before reports 9 waiting callers")
def unnamed_callers(context):
    context.clock = FakeClock()
    context.hosts = gossip.HostDirectory("h0", "i", context.clock, NullTrace())
    context.hosts.receive(waiting_digest(1, {}, 9))


@behave.then("they count for each service until the host is unreachable")
def counts_for_each(context):
    hosts = context.hosts
    assert [hosts.callers_waiting(name) for name in "ab"] == [9, 9]
    named = {gossip.callers_name("a"): 4, gossip.callers_name("b"): 5}
    hosts.receive(waiting_digest(2, named, 9))
    assert [hosts.callers_waiting(name) for name in "abc"] == [4, 5, 0]
    context.clock.now = hosts.unreachable_s() + 0.01
    hosts.expire()
    assert [hosts.callers_waiting(name) for name in "ab"] == [0, 0]


@behave.then("at most {count:d} of them waited first")
def few_waited(context, count):
    waited = [x for x in context.world.lines("waited") if x["outcome"] != "room"]
    assert len(waited) <= count, len(waited)
