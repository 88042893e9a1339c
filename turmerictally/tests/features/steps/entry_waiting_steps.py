"""Steps for requests that wait on an entry host of the users' platform."""

import behave
import trio

from turmerictally.entry import gossip, settings
from turmerictally.entry import metrics as entry_metrics
from turmerictally.scheduling import fair_shares
from turmerictally.tests.support import users_platform

ON = settings.Scheduling(fair_shares=True, waiting_room=True)


async def ask(context, world, n=0, **more):
    reply = await users_platform.Caller(world, n=n).ask(**more)
    context.replies.append(reply)
    return reply


def play(context, main, scheduling=ON, hosts=1):
    context.replies, context.most = [], 0

    async def watched(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, context, world)
            await main(world, nursery)
            nursery.cancel_scope.cancel()

    context.world = users_platform.play(
        watched, hosts=hosts, servers=1, scheduling=scheduling
    )


async def watch(context, world):
    """Note the most requests that the server had at once."""
    server = world.servers["s0"]
    while True:
        ended = sum(bool(run.ended) for run in server.runs)
        context.most = max(context.most, server.arrivals - ended)
        await trio.sleep(0.005)


def fill(context, world, nursery, n=0):
    for _ in range(8):
        nursery.start_soon(ask, context, world, n)


@behave.when("8 streams run and another caller comes {after_s:g} s after them")
def another(context, after_s):
    come(context, after_s, ON)


@behave.when(
    "8 streams run and another caller comes {after_s:g} s after them without the "
    "settings"
)
def another_without(context, after_s):
    come(context, after_s, settings.Scheduling())


def come(context, after_s, scheduling):
    async def main(world, nursery):
        fill(context, world, nursery)
        await trio.sleep(after_s)
        context.reply = await ask(context, world)

    play(context, main, scheduling)


@behave.then("it is answered whole, its first event within {within_s:g} s")
def whole(context, within_s):
    reply = context.reply
    assert reply.whole and reply.status == 200, reply.status
    first = reply.event_times[0] - reply.asked_at
    assert 0.1 < first <= within_s, first


@behave.then("the server never had more than {count:d} requests")
def never_more(context, count):
    assert context.most == count, context.most


@behave.then("the server had it in its queue at once")
def queued(context):
    assert context.most == 9, context.most


@behave.when("30 callers come at once")
def many(context):
    async def main(world, nursery):
        async with trio.open_nursery() as callers:
            for _ in range(30):
                callers.start_soon(ask, context, world)
        context.exposed = entry_metrics.text(world.hosts[0]).decode()

    play(context, main)


@behave.when("30 callers come at once and the metrics are read")
def many_read(context):
    many(context)


@behave.then(
    "those beyond the slots are refused, each within {within_s:g} s and never sent"
)
def refused(context, within_s):
    found = [reply for reply in context.replies if reply.status == 503]
    assert len(found) >= 20, len(found)
    assert len(context.replies) == 30
    assert all(reply.took_s <= within_s for reply in found)
    assert context.world.servers["s0"].arrivals == 30 - len(found)


@behave.then("each of them is told a time to come back, not all the same")
def told(context):
    times = {r.headers["retry-after"] for r in context.replies if r.status == 503}
    assert len(times) >= 10, times
    assert all(0 < float(each) <= 5 / 3 for each in times)


@behave.then("their log lines tell the share, who is ahead, the wait and the age")
def lines_tell(context):
    lines = context.world.lines("given_up")
    assert lines
    for line in lines:
        assert {"share", "ahead", "wait_s", "age_s"} <= line.keys(), line


@behave.then("they show the team's demand, share, wait and refusals")
def shown(context):
    for name in ("demand_slots", "share_slots", "waited_seconds", "refused"):
        assert f"team_{name}" in context.exposed, name
    assert 'team_refused_total{team="counter"}' in context.exposed


@behave.when("8 streams run and a caller that waits leaves")
def leaves(context):
    async def main(world, nursery):
        fill(context, world, nursery)
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


@behave.then("nothing waits any more and the server never saw its request")
def dropped(context):
    assert context.waiting == 0
    assert "left" not in {run.request for run in context.world.runs}
    assert context.world.servers["s0"].arrivals == 8


@behave.when(
    "8 streams run through another host and this one is {lost} while a caller waits"
)
def host_lost(context, lost):
    async def main(world, nursery):
        fill(context, world, nursery, n=1)
        await trio.sleep(0.42)

        async def wait():
            context.reply = await ask(context, world, request_id="waits")

        nursery.start_soon(wait)
        await trio.sleep(0.03)
        assert len(world.hosts[0].admission.wait_queue.requests) == 1
        context.lost_at = trio.current_time()
        if lost == "killed":
            world.kill_host(0)
        else:
            world.hosts[0].stop()
        await trio.sleep(1.5)

    play(context, main, hosts=2)


@behave.then("the caller has an answer or a closed connection within {within_s:g} s")
def closed(context, within_s):
    reply = context.reply
    assert reply.asked_at + reply.took_s <= context.lost_at + within_s, reply


@behave.then("a request without an answer was never sent")
def never_sent(context):
    sent = "waits" in {run.request for run in context.world.runs}
    assert sent == (context.reply.status == 200), context.reply.status


class Time:
    """Give the time of the test."""

    now = 0.0

    def monotonic(self):
        return self.now


class Quiet:
    """Drop log lines."""

    def emit(self, *given, **fields):
        pass


@behave.when("a host tells that a team asks for 1000 slots and falls silent")
def tells(context):
    clock = Time()
    hosts = gossip.HostDirectory("h0", "i", clock, Quiet())
    work = fair_shares.TeamDemand(hosts.totals.demand)
    for _ in range(60):
        work.add("llm", "small")
    told = {f"llm{fair_shares.SEPARATOR}large": 1000}
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
            demand=told,
            callers_waiting=9,
        )  # fmt: skip
    )
    context.before = work.shares("llm", 100.0, clock.now)
    clock.now = hosts.unreachable_s() + 0.01
    hosts.expire()
    context.after = work.shares("llm", 100.0, clock.now)
    context.waiting = hosts.totals.callers_waiting
    clock.now = 100.0
    hosts.expire()
    assert not hosts.peers and not hosts.totals.demand


@behave.then("the others' shares are whole after the time to fall silent")
def whole_shares(context):
    assert abs(context.before["small"] - 50.0) < 1e-6, context.before
    assert context.after == {"small": 60.0}, context.after
    assert context.waiting == 0
