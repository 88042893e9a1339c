"""Steps for statuses by which callers know that a request has not run."""

import behave
import trio

from turmerictally.tests.support import users_platform

CALLERS = 6
MANY = 60
EVENTS = 5
SHORT = {"X-Token-Usage": f"10,{EVENTS}"}
ALL_EVENTS = list(range(1, EVENTS + 1))
ONCE = "/once/1"
# The path of each kind of request, and whether its route lets streams be resumed.
KINDS = {
    "requests that may run once": (ONCE, False),
    "requests that may run again": ("/look/1", False),
    "streams that may run once": ("/ask/1", False),
    "streams that may be resumed": ("/ask/1", True),
}


def route(name, kind):
    return {
        "name": name,
        "hostname": users_platform.HOSTNAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "service": "llm",
        "maxAttempts": 2,
    }


ROUTES = [route("once", "non_idempotent"), route("look", "idempotent")]


def answer(status, *headers):
    named = ["X-Request-Id: ID", "Content-Length: 4", *headers]
    lines = [f"HTTP/1.1 {status} X", *named, "", "fail"]
    return "\r\n".join(lines).encode()


def signature(signed):
    return [] if signed.startswith("without") else ["X-Server-Stamp: s"]


def play(context, path, prepare, *, count=CALLERS, resumable=False):
    """Send requests one after the other, while ``prepare`` has changed s0."""
    context.replies = []

    async def main(world):
        world.configure(routes=ROUTES)
        await trio.sleep(0.5)
        for server in world.servers.values():
            server.sized = True
        prepare(world)
        for number in range(count):
            caller = users_platform.Caller(world, ip=f"10.7.0.{number}")
            name = f"own-{number}"
            reply = await caller.ask(path, request_id=name, **SHORT)
            context.replies.append((name, reply))

    context.world = users_platform.play(main, hosts=1, servers=2, resumable=resumable)
    return context.world.servers["s0"]


@behave.when("a server runs {kind} and then answers {what} {signed}")
def runs_and_answers(context, kind, what, signed):
    def prepare(world):
        world.servers["s0"].raw_answer = answer(what, *signature(signed))

    context.status = int(what)
    path, resumable = KINDS[kind]
    context.failing = play(context, path, prepare, resumable=resumable)


def ran_at(server):
    return {run.request for run in server.runs}


@behave.then(
    "their callers get 502, each request ran once, and the log names its status"
)
def callers_get_502(context):
    failed = ran_at(context.failing)
    assert failed, "the failing server got no request"
    assert len(context.world.runs) == len({run.request for run in context.world.runs})
    for name, reply in context.replies:
        assert reply.status == (502 if name in failed else 200), (name, reply)
        assert name not in failed or "x-server-stamp" not in reply.headers, reply
    given_up = {line["request"]: line for line in context.world.lines("given_up")}
    for name in failed:
        assert given_up[name]["server_status"] == context.status, given_up[name]


@behave.then("their callers get its response")
def its_response(context):
    failed = ran_at(context.failing)
    assert failed
    for name, reply in context.replies:
        if name in failed:
            assert (reply.status, reply.body) == (context.status, b"fail"), reply
            assert reply.headers["x-server-stamp"] == "s", reply


@behave.then("their callers get the response of the other server")
def other_response(context):
    assert context.failing.arrivals, "the failing server got no request"
    for _, reply in context.replies:
        assert reply.status == 200 and reply.whole, reply
        assert reply.body == b"whole" or reply.ids == ALL_EVENTS, reply
        assert reply.headers["x-server-stamp"] == "stamp-s1", reply


@behave.when(
    "a server fails many requests with {status:d}, and another one with 500 in a "
    "second play"
)
def fails_many(context, status):
    def fail_with(number):
        def prepare(world):
            world.servers["s0"].raw_answer = answer(number, "X-Server-Stamp: s")

        return prepare

    context.compared = len(play(context, ONCE, fail_with(500), count=MANY).runs)
    context.failing = play(context, ONCE, fail_with(status), count=MANY)


@behave.then("it ran no more of them than that one, and was ejected")
def ran_no_more(context):
    assert 0 < len(context.failing.runs) <= context.compared, (
        len(context.failing.runs),
        context.compared,
    )
    ejected = {line["server"] for line in context.world.lines("server_ejected")}
    assert ejected == {"s0"}, ejected


@behave.when(
    "a server runs requests that may run once and answers 200 that states not to have "
    "run"
)
def contradicts(context):
    def prepare(world):
        world.servers["s0"].raw_answer = answer(
            200, "X-Server-Stamp: s", "X-Not-Executed: 1"
        )

    context.failing = play(context, ONCE, prepare)


@behave.then("none of them ran at the other server or was answered as not run")
def none_twice(context):
    failed = ran_at(context.failing)
    assert failed
    assert not failed & ran_at(context.world.servers["s1"])
    for name, reply in context.replies:
        assert name not in failed or reply.status == 502, (name, reply)


@behave.when(
    "a server refuses requests that may run once, stating that they have not run"
)
def refuses(context):
    def prepare(world):
        world.servers["s0"].refuses_all = True

    context.failing = play(context, ONCE, prepare)


@behave.when(
    "all servers refuse requests that may run once, stating that they have not run"
)
def all_refuse(context):
    def prepare(world):
        for server in world.servers.values():
            server.refuses_all = True

    play(context, ONCE, prepare)


@behave.then("their callers get 503 with a delay, and none of them ran")
def true_promise(context):
    assert not context.world.runs
    for _, reply in context.replies:
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0, reply
