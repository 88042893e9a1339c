"""Steps for one request that crashes servers and comes again and again."""

import behave
import trio

from turmerictally.tests.support import users_platform

HOSTS, SERVERS = 6, 8
STABLE_S = 3.0
BEFORE_S = 3.0  # of sound requests only
CRASHING_S = 20.0
SOUND_GAP_S, CRASHING_GAP_S = 0.08, 0.13
DOWN_S, CUT_S = 0.7, 5.0
KNOWN_AFTER_S, ENDED_BEFORE_S = 0.3, 0.1
CRASHING_BODY = b"the one that crashes"
FOR_A_CRASH = ("prompt part crashes servers", "request crashes servers")


class Traffic:
    """Send sound requests and a crashing one, and keep what became of them.

    ``excused`` holds the spans, by host, in which it need not know of crashes.
    """

    def __init__(self, world, event):
        self.world = world
        self.event = event
        self.sound = {}
        self.crashing = {}
        self.asked = {}
        self.excused = []

    async def ask(self, replies, body):
        host = self.world.rng.randrange(HOSTS)
        name = self.world.new_id()
        headers = {} if "parts" in self.event else {"X-Prompt-Prefix": "a:9,b:9,own:9"}
        self.asked[name] = host
        caller = users_platform.Caller(self.world, host)
        try:
            replies[name] = await caller.ask(
                request_id=name, body=body or name.encode(), **headers
            )
        except ConnectionRefusedError:
            return

    async def send(self, replies, body, gap_s, seconds):
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nursery.start_soon(self.ask, replies, body)
                await trio.sleep(gap_s * self.world.rng.uniform(0.5, 1.5))

    async def restart(self, *hosts):
        for n in hosts:
            self.world.kill_host(n)
        since = trio.current_time()
        await trio.sleep(DOWN_S)
        for n in hosts:
            self.world.start_host(n)
            self.excused.append((n, since, trio.current_time() + STABLE_S))

    async def disturb(self):
        await trio.sleep(BEFORE_S + 2.0)
        if "one host after the other" in self.event:
            for n in range(HOSTS):
                await trio.sleep(1.0)
                await self.restart(n)
        elif "every host" in self.event:
            await self.restart(*range(HOSTS))
        elif "cut off" in self.event:
            servers = self.world.servers.values()
            ips = [f"10.1.0.{n}" for n in range(HOSTS)]
            ips += [server.address.partition(":")[0] for server in servers]
            since = trio.current_time()
            self.world.fabric.separate(ips[::2], ips[1::2])
            await trio.sleep(CUT_S)
            self.world.fabric.restore()
            until = trio.current_time() + STABLE_S
            self.excused += [(n, since, until) for n in range(HOSTS)]

    def is_excused(self, run):
        return any(
            host == self.asked[run.request] and since <= run.at < until
            for host, since, until in self.excused
        )


@behave.when(
    "the same crashing request comes again and again at six hosts while {event}"
)
def crashing_again(context, event):
    async def main(world):
        for server in world.servers.values():
            server.crashing_body = CRASHING_BODY
            server.events_before_crash = 2 if "events" in event else 0
            server.crashes_plain = "no streams" in event
        context.traffic = traffic = Traffic(world, event)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                traffic.send, traffic.sound, b"", SOUND_GAP_S, BEFORE_S + CRASHING_S
            )
            nursery.start_soon(traffic.disturb)
            await trio.sleep(BEFORE_S)
            await traffic.send(
                traffic.crashing, CRASHING_BODY, CRASHING_GAP_S, CRASHING_S
            )

    context.world = users_platform.play(main, hosts=HOSTS, servers=SERVERS)


def crashing_runs(context):
    return [run for run in context.world.runs if run.body == CRASHING_BODY]


@behave.then(
    "later than {stable_s:g} s after the third crash it reaches at most {most:d} more "
    "servers"
)
def few_more(context, stable_s, most):
    crashes = sorted(run.ended_at for run in crashing_runs(context))
    assert crashes, "no server crashed"
    if len(crashes) < 3:
        return
    late = [
        run
        for run in crashing_runs(context)
        if run.at > crashes[2] + stable_s and not context.traffic.is_excused(run)
    ]
    assert len(late) <= most, (len(crashes), len(late))


@behave.then("no sound request is refused for a crash")
def sound_not_refused(context):
    served = [r for r in context.traffic.sound.values() if r.status == 200 and r.whole]
    assert len(served) > 100, len(served)
    refused = [
        line
        for line in context.world.lines("given_up")
        if line["request"] in context.traffic.sound and line["reason"] in FOR_A_CRASH
    ]
    assert not refused, (len(refused), refused[0])


@behave.then("every host can read what the others report")
def readable(context):
    assert not context.world.lines("digest_unreadable")
    assert not context.world.lines("datagram_not_applied")


@behave.then("no request counts as alone on a server that it shared")
def not_alone(context):
    for line in context.world.lines("request_accused"):
        shared = [
            run
            for run in context.world.runs
            # Hosts know by now of runs that began this long ago.
            if run.server == line["server"] and run.ended_at - run.at > KNOWN_AFTER_S
            if 0 <= line["t"] - run.ended_at < ENDED_BEFORE_S
        ]
        assert len(shared) < 2 or line["others"], (line, shared)


@behave.then(
    "each answer 503 went to one that reached no server and names the time of the next "
    "trial"
)
def refused_unrun(context):
    runs = users_platform.counts(context.world.runs)
    refused = {n: r for n, r in context.traffic.crashing.items() if r.status == 503}
    assert refused
    trials = [line["t"] for line in context.world.lines("request_tried")]
    assert trials
    for name, reply in refused.items():
        assert not runs[name]
        named_at = reply.asked_at + float(reply.headers["retry-after"])
        if reply.asked_at < trials[0]:
            assert abs(named_at - trials[0]) < STABLE_S, (named_at, trials)


@behave.then("each one that crashed a server got 502 and was sent to no other one")
def crashed_once(context):
    runs = users_platform.counts(crashing_runs(context))
    assert runs
    for name, count in runs.items():
        reply = context.traffic.crashing[name]
        assert reply.status == 502 and count == 1, (reply.status, count)
