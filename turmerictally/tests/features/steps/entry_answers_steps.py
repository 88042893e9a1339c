"""Steps for requests whose answers must not be ended without need."""

from unittest import mock

import behave
import trio

from turmerictally.entry import availability, forwarder, inflight, pool, worker
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
