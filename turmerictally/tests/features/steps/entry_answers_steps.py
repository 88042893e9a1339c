"""Steps for requests whose answers must not be ended without need."""

import base64
import contextlib
import json
from unittest import mock

import behave
import trio

from turmerictally.entry import (
    availability,
    forwarder,
    inflight,
    pool,
    settings,
    worker,
)
from turmerictally.tests.support import users_platform

ALL_EVENTS = list(range(1, users_platform.EVENTS + 1))


@behave.given("no other server")
def alone(context):
    context.servers, context.prepare = 1, no_preparation


async def no_preparation(world):
    """Leave the world as it is."""


@behave.given("another server that is full")
def other_full(context):
    async def prepare(world):
        # Its slots are held by requests that this caller's host knows of.
        entry = world.hosts[0]
        entry.inflight.add_online("s1", world.servers["s1"].slots)

    context.servers, context.prepare = 2, prepare


@behave.given("another server that is known as down")
def other_down(context):
    async def prepare(world):
        world.servers["s1"].scope.cancel()
        world.hosts[0].inflight.record_failure("s1", refused=True)

    context.servers, context.prepare = 2, prepare


@behave.given("others that refused as often as tried")
def others_refuse(context):
    async def prepare(world):
        left = [forwarder.MAX_SENDS - 1]
        for server in world.servers.values():
            server.answer = refuse_first(server, left)

    context.servers, context.prepare = forwarder.MAX_SENDS + 1, prepare


@behave.given("another server that must not be sent to")
def other_restricted(context):
    async def prepare(world):
        world.servers["s1"].state = "draining"
        world.servers["s1"].register()
        await trio.sleep(0.2)

    context.servers, context.prepare = 2, prepare


@behave.given("another server that is full for a long time")
def other_full_for_long(context):
    async def prepare(world):
        entry = world.hosts[0]
        # One more than the slots and the one place for a rare request in the queue.
        entry.inflight.add_online("s1", world.servers["s1"].slots + 1)
        entry.admission.wait_queue.service_times.mean_s = 100.0

    context.servers, context.prepare = 2, prepare


@behave.given("others that refuse more often than allowed")
def others_refuse_on(context):
    async def prepare(world):
        left = [forwarder.MAX_SENDS + 2]
        for name in ("s1", "s2"):
            world.servers[name].answer = refuse_first(world.servers[name], left)
            # The host prefers s0.
            world.hosts[0].inflight.add_online(name, 1)

    context.servers, context.prepare = 3, prepare


@behave.given("another server whose slot is taken as the request fails over to it")
def slot_lost(context):
    context.servers, context.prepare = 2, no_preparation


@behave.when(
    "a server sends no event, and the slot is free again {seconds:g} s after its loss"
)
def silent_then_lost(context, seconds):
    async def main(world):
        async def free_others():
            await trio.sleep(0.3)
            entry.inflight.add_online("s1", 1 - slots)

        entry, slots = world.hosts[0], world.servers["s1"].slots
        taken = slots + 1
        entry.admission.wait_queue.service_times.mean_s = 100.0
        world.servers["s0"].silent = True
        # Makes s0 the only choice at first.
        entry.inflight.add_online("s1", slots)
        world.nursery.start_soon(free_others)
        finished = entry.inflight.on_finished

        def take_slot(server):
            if server == "s0":
                entry.inflight.on_finished = finished
                entry.inflight.add_online("s1", taken)
                world.nursery.start_soon(free_slot)
            finished(server)

        async def free_slot():
            await trio.sleep(seconds)
            entry.inflight.add_online("s1", -taken)

        entry.inflight.on_finished = take_slot
        context.reply = await users_platform.Caller(world).ask()

    scheduling = settings.Scheduling(fair_shares=True, waiting_room=True)
    play(context, main, servers=context.servers, scheduling=scheduling)


def refuse_first(server, left):
    """Return an ``answer`` that refuses while ``left`` is positive."""
    answer = server.answer

    async def refuse_or_answer(stream, parser, request, headers, body):
        if left[0]:
            left[0] -= 1
            return await server.refuse(stream, parser, headers, 503)
        return await answer(stream, parser, request, headers, body)

    return refuse_or_answer


def play(context, main, **options):
    context.world = users_platform.play(main, hosts=1, **options)


@behave.when(
    "a server falls silent for {seconds:g} s before event {number:d} of a stream"
)
def falls_silent(context, seconds, number):
    async def main(world):
        for server in world.servers.values():
            server.pauses[number] = seconds
        await context.prepare(world)
        context.reply = await users_platform.Caller(world).ask()

    play(context, main, servers=context.servers)


@behave.then("the caller gets all events, and the request ran once")
def all_from_one(context):
    reply = context.reply
    assert reply.status == 200 and reply.whole and reply.ids == ALL_EVENTS, reply
    assert len(context.world.runs) == 1, context.world.runs


@behave.when(
    "a server falls silent in a stream, and another registers {late:g} s later"
)
def another_later(context, late):
    async def main(world):
        world.servers["s0"].pauses[5] = 60.0
        other = users_platform.Server(world, "s9", "10.9.0.9:80")
        await world.nursery.start(other.run)

        async def register():
            await trio.sleep(4 * users_platform.EVENT_S + late)
            context.registered_at = trio.current_time()
            other.register()

        world.nursery.start_soon(register)
        context.reply = await users_platform.Caller(world).ask()

    play(context, main, servers=context.servers)


@behave.then(
    "the caller gets all events, the rest from the other server within {seconds:g} s"
)
def rest_from_other(context, seconds):
    reply = context.reply
    assert reply.whole and reply.ids == ALL_EVENTS, reply
    assert [run.server for run in context.world.runs] == ["s0", "s9"]
    resumed_at = context.world.runs[1].at
    assert resumed_at - context.registered_at < seconds, context.world.runs


@behave.when("a server breaks off a stream, and {late:g} s later {what}")
def breaks_off(context, late, what):
    async def change_later(world, server):
        while not world.runs or world.runs[0].ended != "broken":
            await trio.sleep(0.01)
        server.break_after = None
        if "other" in what:
            world.servers.pop(server.name)
            world.store.put("servers", server.name, None)
        await trio.sleep(late)
        if "may be" in what:
            world.servers["s1"].state = "ready"
            world.servers["s1"].register()
        elif "slots" in what:
            world.hosts[0].inflight.add_online("s1", -world.servers["s1"].slots - 1)

    async def main(world):
        await context.prepare(world)
        world.servers["s0"].break_after = 5
        world.nursery.start_soon(change_later, world, world.servers["s0"])
        context.reply = await users_platform.Caller(world).ask()

    scheduling = settings.Scheduling(fair_shares=True, waiting_room=True)
    play(context, main, servers=context.servers, scheduling=scheduling)


@behave.then("the caller gets all events, and the request ran twice")
def all_from_two(context):
    reply = context.reply
    assert reply.status == 200 and reply.whole and reply.ids == ALL_EVENTS, reply
    assert len(context.world.runs) == 2, context.world.runs


FAILING_CALLS = {
    "before it is sent": (pool.Pool, "acquire"),
    "after it is sent": (availability.Availability, "record_head"),
    "in its started stream": (inflight.InFlight, "record_first_event"),
    "in the job that it submits": (worker.Worker, "start_job"),
}


@behave.when("an unexpected error strikes a request {when}")
def unexpected_error(context, when):
    async def main(world):
        body, _ = users_platform.lot(world)
        path = "/night/j" if "job" in when else "/ask/1"
        caller = users_platform.Caller(world)
        error = RuntimeError("injected")
        with mock.patch.object(*FAILING_CALLS[when], side_effect=error):
            context.reply = await caller.ask(path, body=body, request_id="r-1")
        context.again = await users_platform.Caller(world).ask()

    play(context, main, servers=context.servers)


@behave.then(
    "the caller gets {response}, and the error is logged with the request's id"
)
def true_response(context, response):
    reply = context.reply
    if response == "a truncated response":
        assert reply.status == 200 and not reply.whole, reply
    else:
        assert reply.status == int(response.split()[0]) and reply.whole, reply
        assert ("retry-after" in reply.headers) == ("delay" in response), reply
    (line,) = context.world.lines("request_error")
    assert line["request"] == "r-1" and "injected" in line["error"], line
    # The host serves on.
    assert context.again.whole and context.again.ids == ALL_EVENTS


@behave.when(
    "the idle time-out changes from {before:d} s to {after:d} s while a connection is "
    "{state}"
)
def idle_changes(context, before, after, state):
    context.limits = ({"idleTimeoutMs": before * 1000}, {"idleTimeoutMs": after * 1000})
    context.in_use = state == "in use"


async def ask_around_change(context, world, idle_s, **headers):
    """Ask twice on one connection, with a change of the limits between."""
    before, after = context.limits
    world.configure(limits=before)
    # All that was allowed by the limits of the world's first configuration is over.
    await trio.sleep(20.0)
    caller = users_platform.Caller(world)
    async with trio.open_nursery() as nursery:
        if context.in_use:
            nursery.start_soon(change_limits, world, after, 0.1)
        await caller.ask()
    connection, idle_since = caller.stream, trio.current_time()
    if not context.in_use:
        await change_limits(world, after, 0.5)
    await trio.sleep_until(idle_since + idle_s)
    reply = await caller.ask(**headers)
    assert reply.status == 200 and reply.whole and reply.ids == ALL_EVENTS, reply
    assert caller.stream is connection
    return caller


async def change_limits(world, limits, late_s):
    await trio.sleep(late_s)
    world.configure(limits=limits)
    await trio.sleep(0.2)


@behave.then(
    "a request on it after {idle:d} s is answered, and new ones are closed after "
    "{after:d} s"
)
def answered_after_idling(context, idle, after):
    async def main(world):
        await ask_around_change(context, world, idle)
        await trio.sleep(20.0)
        caller = users_platform.Caller(world)
        await caller.ask()
        began = trio.current_time()
        assert not await caller.stream.receive_some()
        assert abs(trio.current_time() - began - after) < 0.1

    play(context, main, servers=1)


@behave.when(
    "the limit on headers rises from {before:d} kB to {after:d} kB while a connection "
    "is idle"
)
def header_limit_rises(context, before, after):
    context.limits = ({"maxHeaderBytes": before << 10}, {"maxHeaderBytes": after << 10})
    context.in_use = False


@behave.then("a request on it with a head of {size:d} kB is answered")
def long_head_answered(context, size):
    async def main(world):
        await ask_around_change(context, world, 1.0, **{"X-Long": "m" * (size << 10)})

    play(context, main, servers=1)


WINDOW_BYTES = 1000  # that a connection takes without being read
BODY_BYTES = 200_000


@behave.when(
    "a caller does not read the body of a job's item until its deadline has passed"
)
def reads_late(context):
    async def main(world):
        world.servers["s0"].silent = True
        submitted, _ = users_platform.lot(world, 1)
        job = json.loads(submitted)
        job["items"][0]["body"] = base64.b64encode(bytes(BODY_BYTES)).decode()
        caller = users_platform.Caller(world)
        submitted = json.dumps(job).encode()
        reply = await caller.ask("/night/j", body=submitted, request_id="j1")
        assert reply.status == 202, reply
        world.fabric.window_bytes = WINDOW_BYTES
        await caller.stream.send_all(
            b"GET /-/items/j1?id=i0 HTTP/1.1\r\nHost: %b\r\nX-Deadline-Ms: 2000\r\n"
            b"Authorization: Bearer %b\r\n\r\n"
            % (users_platform.HOSTNAME.encode(), users_platform.KEY.encode())
        )
        await trio.sleep(2.5)
        context.data = b""
        with trio.move_on_after(5.0), contextlib.suppress(trio.BrokenResourceError):
            while data := await caller.stream.receive_some():
                context.data += data

    play(context, main, servers=1)


@behave.then("it gets a part of one response, and its connection is closed")
def part_of_one(context):
    assert context.data.startswith(b"HTTP/1.1 200 "), context.data[:100]
    assert context.data.count(b"HTTP/1.1") == 1, context.data[-200:]
    assert len(context.data) < BODY_BYTES, len(context.data)


@behave.when(
    "a caller sends three further requests in two parts each while the first is served"
)
def sends_further(context):
    def request(name):
        return (
            b"POST /ask/1 HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %b\r\n"
            b"X-Token-Usage: 250,180\r\nAuthorization: Bearer %b\r\n"
            b"Content-Length: 2\r\n\r\n{}"
            % (
                users_platform.HOSTNAME.encode(),
                name.encode(),
                users_platform.KEY.encode(),
            )
        )

    async def main(world):
        caller = users_platform.Caller(world)
        await caller.open()
        await caller.stream.send_all(request("r0"))
        for name in ("r1", "r2", "r3"):
            for part in (request(name)[:40], request(name)[40:]):
                await trio.sleep(0.03)
                await caller.stream.send_all(part)
        context.data = b""
        with trio.move_on_after(6.0):
            while data := await caller.stream.receive_some():
                context.data += data

    play(context, main, servers=1)


@behave.then("all four are answered whole, in order")
def all_answered(context):
    assert context.data.count(b"HTTP/1.1 200 ") == 4, context.data.count(b"HTTP/1.1")
    assert context.data.count(b"0\r\n\r\n") == 4
    last = users_platform.EVENTS
    places = [context.data.index(b"data: r%d.%d\n" % (n, last)) for n in range(4)]
    assert places == sorted(places)
