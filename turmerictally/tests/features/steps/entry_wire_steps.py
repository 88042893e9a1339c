"""Steps for routing, response framing and persistent connections."""

import behave
import trio

from turmerictally.tests.support import users_platform


def play(context, main, **options):
    context.world = users_platform.play(main, **options)


@behave.when("a route is split by a longer prefix that goes to another service")
def split_route(context):
    async def main(world):
        other = users_platform.Server(world, "m0", "10.9.1.0:80", service="moved")
        await world.nursery.start(other.run)
        other.register()
        longer = {
            "name": "longer",
            "hostname": users_platform.HOSTNAME,
            "prefix": "/ask/deep/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 300,
            "service": "moved",
        }
        world.configure(routes=[longer])
        await trio.sleep(0.2)
        for path in ("/ask/1", "/ask/deep/1", "/ask/deeper"):
            await users_platform.Caller(world).ask(path)

    play(context, main, servers=1)


@behave.then("each request goes to the service of its longest prefix")
def longest(context):
    servers = {run.target: run.server for run in context.world.runs}
    assert servers == {"/ask/1": "s0", "/ask/deep/1": "m0", "/ask/deeper": "s0"}


@behave.when("a server responds to a repeatable request {how}")
def answers(context, how):
    async def main(world):
        world.configure(stream={"kind": "idempotent", "resumable": False})
        await trio.sleep(0.2)
        for server in world.servers.values():
            server.plain = how
        if how.endswith("once"):
            world.servers["s1"].plain = "with a length"
            # Makes s0 the first choice.
            world.servers["s1"].running = world.servers["s1"].slots - 1
        context.reply = await users_platform.Caller(world).ask()

    play(context, main)


@behave.then("the caller gets the body with its signature")
def body_signed(context):
    assert context.reply.status == 200 and context.reply.whole, context.reply
    assert context.reply.body == b"plain body"
    assert context.reply.headers["x-server-stamp"] == "stamp"


@behave.then("the caller gets 502")
def got_502(context):
    assert context.reply.status == 502, context.reply
    assert "x-server-stamp" not in context.reply.headers
    assert len(context.world.runs) == 2


@behave.then("the caller gets 500 with its signature")
def got_500(context):
    assert context.reply.status == 500 and context.reply.body == b"fail"
    assert context.reply.headers["x-server-stamp"] == "stamp"


@behave.when("a team requests three times its quota")
def over_quota(context):
    async def main(world):
        world.configure(team={"ratePerS": 10, "burst": 10})
        await trio.sleep(3.0)
        context.replies = []
        for n in range(30):
            reply = await users_platform.Caller(world, n % 2).ask(f"/ask/{n}")
            context.replies.append(reply)
            if n == 9:
                # Makes the following requests arrive within the same second.
                for server in world.servers.values():
                    server.events = 1

    play(context, main)


@behave.then("the refused requests get 429 with a retry delay and do not run")
def refused_429(context):
    refused = [reply for reply in context.replies if reply.status == 429]
    served = [reply for reply in context.replies if reply.status == 200]
    assert refused and len(refused) + len(served) == len(context.replies)
    assert all(float(reply.headers["retry-after"]) > 0 for reply in refused)
    assert len(context.world.runs) == len(served)


@behave.when(
    "a caller requests to close after its last request, and the server after each"
)
def closing(context):
    async def main(world):
        server = world.servers["s0"]
        server.closes = True
        caller = users_platform.Caller(world)
        context.kept = []
        for n in range(4):
            headers = {"Connection": "close"} if n == 3 else {}
            reply = await caller.ask(**headers)
            assert reply.whole
            context.kept.append(caller.stream is not None)
        context.connections = server.connections

    play(context, main, servers=1)


@behave.then(
    "the caller's connection is kept until its last request, the server's is not"
)
def kept_until(context):
    assert context.kept == [True, True, True, False], context.kept
    assert context.connections == 4
