"""Steps for requests whose prompts hold a part that crashes servers."""

import base64
import json

import behave
import trio

from turmerictally.tests.support import users_platform

HOSTS, SERVERS = 6, 8
STABLE_S = 3.0
BEFORE_S = 4.0  # of sound requests only
CRASHING_S = 26.0
SOUND_GAP_S, CRASHING_GAP_S = 0.06, 0.13
CUT_S = 5.0
DUE_S = 18.0  # after a job was submitted, as the configuration says
FIRST, BAD = "aa01", "bad0"


def prompt(*parts):
    return {"X-Prompt-Prefix": ",".join(f"{part}:100" for part in parts)}


class Traffic:
    """Send sound and crashing requests and keep what became of them."""

    def __init__(self, world):
        self.world = world
        self.sound = []
        self.crashing = []
        self.excused_until = 0.0

    async def ask(self, replies, parts):
        host = self.world.rng.randrange(HOSTS)
        caller = users_platform.Caller(self.world, host)
        name = self.world.new_id()
        headers = prompt(*parts, name[-4:].rjust(4, "c"))
        try:
            reply = await caller.ask(request_id=name, **headers)
        except ConnectionRefusedError:
            return
        replies.append((name, reply))

    async def send(self, replies, parts, gap_s, seconds):
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nursery.start_soon(self.ask, replies, parts)
                await trio.sleep(gap_s * self.world.rng.uniform(0.5, 1.5))

    async def send_items(self):
        await trio.sleep(BEFORE_S + 1.0)
        for number in range(5):
            items = [
                {
                    "id": f"bad-{number}-{n}",
                    "path": "/night/i",
                    "headers": {"X-Token-Usage": "50,50"} | prompt(FIRST, BAD, "own"),
                    "body": base64.b64encode(b"b").decode(),
                    "tokenCount": 100,
                }
                for n in range(4)
            ]
            caller = users_platform.Caller(self.world, number)
            body = json.dumps({"items": items}).encode()
            await caller.ask("/night/x", body=body, request_id=f"job-{number}")

    async def disturb(self, event):
        world = self.world
        await trio.sleep(BEFORE_S + 1.0)
        if "one host after the other" in event:
            for n in range(HOSTS):
                await trio.sleep(1.0)
                world.kill_host(n)
                await trio.sleep(0.7)
                world.start_host(n)
            self.excused_until = trio.current_time()
        elif "every host" in event:
            await trio.sleep(2.0)
            for n in range(HOSTS):
                world.kill_host(n)
            await trio.sleep(0.7)
            for n in range(HOSTS):
                world.start_host(n)
            self.excused_until = trio.current_time()
        elif "cut off" in event:
            inside, outside = [], []
            for n in range(HOSTS):
                (outside if n % 2 else inside).append(f"10.1.0.{n}")
            for n, server in enumerate(world.servers.values()):
                ip = server.address.partition(":")[0]
                (outside if n % 2 else inside).append(ip)
            world.fabric.separate(inside, outside)
            await trio.sleep(CUT_S)
            world.fabric.restore()
            self.excused_until = trio.current_time()


@behave.when(
    "requests whose prompts hold a crashing part arrive at six hosts while {event}"
)
def crashing_requests(context, event):
    async def main(world):
        for server in world.servers.values():
            server.crashing_part = BAD
            server.unframed = "responses end" in event
            server.spares_items = "crash nothing" in event
        context.traffic = traffic = Traffic(world)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                traffic.send,
                traffic.sound,
                (FIRST,),
                SOUND_GAP_S,
                BEFORE_S + CRASHING_S,
            )
            nursery.start_soon(traffic.disturb, event)
            if "items" in event:
                nursery.start_soon(traffic.send_items)
            await trio.sleep(BEFORE_S)
            context.began_at = trio.current_time()
            await traffic.send(
                traffic.crashing, (FIRST, BAD), CRASHING_GAP_S, CRASHING_S
            )

    context.world = users_platform.play(main, hosts=HOSTS, servers=SERVERS)


def settled_at(context, spans):
    """Return when the fleet should have stopped the crashing requests."""
    crashes = context.world.crashes
    assert crashes, "no server crashed"
    counted_from = crashes[min(4, len(crashes) - 1)]
    return max(counted_from, context.traffic.excused_until) + spans * STABLE_S


@behave.then(
    "later than {stable_s:g} s after the fifth crash at most {most:d} more of them "
    "reach a server"
)
def few_more(context, stable_s, most):
    assert stable_s == STABLE_S
    late = [
        run
        for run in context.world.runs
        if BAD in users_platform.shared_parts(run.headers)
        and run.at > settled_at(context, 1)
    ]
    assert len(context.world.crashes) < 5 or len(late) <= most, (
        len(context.world.crashes),
        len(late),
    )


@behave.then(
    "later than {stable_s:g} s after the fifth crash at most {most:d} more servers "
    "crash"
)
def few_more_crashes(context, stable_s, most):
    assert stable_s == STABLE_S
    late = [at for at in context.world.crashes if at > settled_at(context, 1)]
    assert len(late) <= most, (len(context.world.crashes), late)


@behave.then("each of these items is done before its job is due")
def items_done(context):
    submitted_at = BEFORE_S + 1.0
    ended = {
        run.request: run.ended_at
        for run in context.world.runs
        if run.request.startswith("bad-") and run.ended == "done"
    }
    assert len(ended) == 20, sorted(ended)
    first_at = context.began_at - BEFORE_S
    assert max(ended.values()) < first_at + submitted_at + DUE_S, ended


@behave.then(
    "then sound requests with the same first part are served at least half as often "
    "as before"
)
def sound_served(context):
    def served(since, until):
        replies = [r for _, r in context.traffic.sound if since <= r.asked_at < until]
        assert len(replies) >= 20, len(replies)
        return sum(r.status == 200 and r.whole for r in replies) / len(replies)

    before = served(0.0, context.began_at)
    after = served(settled_at(context, 2), context.began_at + CRASHING_S)
    assert after >= 0.5 * before, (before, after)


@behave.then(
    "each request answered 503 never reached a server and says when to come back"
)
def refused_unrun(context):
    runs = users_platform.counts(context.world.runs)
    refused = [(n, r) for n, r in context.traffic.crashing if r.status == 503]
    assert refused
    for name, reply in refused:
        assert not runs[name]
        assert float(reply.headers["retry-after"]) > 0, reply.headers


@behave.then("each one that crashed a server got 502 and was sent to no other server")
def crashed_once(context):
    runs = users_platform.counts(context.world.runs)
    crashed = [(n, r) for n, r in context.traffic.crashing if runs[n]]
    assert crashed
    for name, reply in crashed:
        assert reply.status == 502 and runs[name] == 1, (reply.status, runs[name])


@behave.when("half of the servers lose power at once while sound requests run")
def power_lost(context):
    async def main(world):
        context.traffic = traffic = Traffic(world)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                traffic.send, traffic.sound, (FIRST, "rare"), SOUND_GAP_S, 8.0
            )
            await trio.sleep(4.0)
            for server in list(world.servers.values())[::2]:
                server.crash()

    context.world = users_platform.play(main, hosts=HOSTS, servers=SERVERS)


@behave.then("no prompt part is quarantined")
def none_quarantined(context):
    broken = [
        line for line in context.world.lines("attempt_failed") if line["server_closed"]
    ]
    assert broken
    assert not context.world.lines("prompt_part_quarantined")


@behave.when(
    "a server answers a request with a plain body and another one crashes just after"
)
def plain_then_crash(context):
    async def main(world):
        for server in world.servers.values():
            server.plain = "with a length"
        caller = users_platform.Caller(world)
        reply = await caller.ask(**prompt(FIRST, "own"))
        assert reply.status == 200 and reply.whole
        for server in world.servers.values():
            server.raw_answer = users_platform.STREAM
        await users_platform.Caller(world).ask(**prompt(FIRST, "own2"))

    context.world = users_platform.play(main, hosts=1, servers=2)


@behave.then("the shared parts of the prompt are not accused")
def not_accused(context):
    failed = context.world.lines("attempt_failed")
    assert any(line["server_closed"] for line in failed), failed
    assert not context.world.lines("prompt_parts_accused")
