"""Steps for hosts whose connections to servers are reset and refused for a while."""

import base64
import json

import behave
import trio

from turmerictally.tests.support import users_platform

HOSTS, SERVERS = 6, 8
PARTS = 8  # shared by batch items; each is tried first by another host
BEFORE_S, BROKEN_S = 4.0, 6.0
JOB_GAP_S, REQUEST_GAP_S = 0.4, 0.02
ITEMS = 4
DUE_S = 18.0  # after a job was submitted, as the configuration says


def prompt(*parts):
    return {"X-Prompt-Prefix": ",".join(f"{part}:100" for part in parts)}


def job_body(job, number):
    shared = prompt(f"b{number % PARTS}", f"c{number:03x}")
    items = [
        {
            "id": f"{job}-{n}",
            "path": "/night/i",
            "headers": {"X-Token-Usage": "50,50"} | shared,
            "body": base64.b64encode(b"b").decode(),
            "tokenCount": 100,
        }
        for n in range(ITEMS)
    ]
    return json.dumps({"items": items}).encode()


class Traffic:
    """Send requests to every host, and jobs to those that lose their paths."""

    def __init__(self, world):
        self.world = world
        self.jobs = []
        self.replies = []

    async def ask(self):
        host = self.world.rng.randrange(HOSTS)
        name = self.world.new_id()
        parts = prompt("aa01", f"d{self.world.rng.randrange(40):02x}", name)
        caller = users_platform.Caller(self.world, host)
        self.replies.append(await caller.ask(request_id=name, **parts))

    async def send_requests(self, until):
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self.ask)
                await trio.sleep(REQUEST_GAP_S * self.world.rng.uniform(0.5, 1.5))

    async def send_jobs(self, until):
        while trio.current_time() < until:
            job = f"job{len(self.jobs)}"
            self.jobs.append(job)
            caller = users_platform.Caller(self.world, len(self.jobs) % 3)
            body = job_body(job, len(self.jobs))
            reply = await caller.ask("/night/x", body=body, request_id=job)
            assert reply.status == 202, reply
            caller.close()
            await trio.sleep(JOB_GAP_S)

    async def unfinished(self):
        """Return the jobs of which not every item has a result."""
        found = []
        for job in self.jobs:
            caller = users_platform.Caller(self.world, HOSTS - 1)
            reply = await caller.ask(f"/-/lots/{job}?after=0", method="GET")
            caller.close()
            if reply.status != 200 or reply.json()["next"] < ITEMS:
                found.append((job, reply.status, reply.body))
        return found


@behave.when(
    "three of six hosts lose their paths to all servers for {seconds:d} s while jobs "
    "arrive there, seed {seed:d}"
)
def lose_paths(context, seconds, seed):
    assert seconds == BROKEN_S

    async def main(world):
        traffic = context.traffic = Traffic(world)
        start = trio.current_time()
        addresses = [s.address.partition(":")[0] for s in world.servers.values()]
        async with trio.open_nursery() as nursery:
            until = start + BEFORE_S + BROKEN_S
            nursery.start_soon(traffic.send_requests, until + 12.0)
            nursery.start_soon(traffic.send_jobs, until)
            await trio.sleep(BEFORE_S)
            world.fabric.break_paths([f"10.1.0.{n}" for n in range(3)], addresses)
            context.lost_at = trio.current_time()
            await trio.sleep(2.0)
            context.ejected = {
                name: sorted(served.inflight.ejector.ejections)
                for name, served in world.hosts.items()
            }
            await trio.sleep(BROKEN_S - 2.0)
            world.fabric.broken_paths.clear()
            context.back_at = trio.current_time()
            await trio.sleep(DUE_S)
            context.unfinished = await traffic.unfinished()

    context.world = users_platform.play(main, hosts=HOSTS, servers=SERVERS, seed=seed)
    assert not context.world.crashes


@behave.then("each job is done before it is due")
def jobs_done(context):
    assert len(context.traffic.jobs) > 20
    resets = [
        line
        for event in ("attempt_failed", "item_not_done")
        for line in context.world.lines(event)
        if line["server_closed"]
    ]
    assert len(resets) >= 10, len(resets)
    assert not context.unfinished, context.unfinished


@behave.then(
    "no request is refused for its prompt later than 6 s after the paths are back"
)
def none_refused(context):
    late = [
        line
        for event in ("given_up", "item_quarantined")
        for line in context.world.lines(event)
        if line["t"] > context.back_at + 6.0 and "part" in line
    ]
    assert not late, late[:3]


@behave.then(
    "hosts know within {lost_s:g} s that their paths are lost, and within {back_s:g} s "
    "that they are back"
)
def knows_paths(context, lost_s, back_s):
    for n, served in context.world.hosts.items():
        lost = [line["t"] for line in served.lines if line["event"] == "paths_lost"]
        back = [line["t"] for line in served.lines if line["event"] == "paths_back"]
        if n >= 3:
            assert not lost, (n, lost)
            continue
        assert lost[0] < context.lost_at + lost_s, (n, lost)
        assert back[-1] < context.back_at + back_s, (n, back)


@behave.then("no host leaves out a server for 2 s that other hosts reach")
def none_ejected(context):
    assert not any(context.ejected.values()), context.ejected
