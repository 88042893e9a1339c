"""Make callers' requests and batch jobs, and record what came back."""

import base64
import json
import random
import time

import attrs
import trio

from turmerictally.tests.soak import checks, world
from turmerictally.tests.support import users_platform

DEADLINE_S = 5.0
TAKE_UP_PAUSE_S = 0.2  # between a caller's tries of a stream
GIVE_UP_S = 6.5  # after which a caller takes the answer for lost
SUBMIT_S = 12.0  # for which a batch job is submitted again
READ_S = 18.0  # after the traffic, until all results must be listed
PREFIXES = {"repeatable": "/ask/", "once": "/once/", "hot": "/ask/"}
HOT_FACTOR = 5.0  # times its quota
COUNTED = ("repeatable", "repeatable", "once")
REPEATS_WITHDRAWN = 0.1  # of the requests use a withdrawn key


@attrs.define(eq=False)
class Callers:
    """Run callers until ``ends``, monotonic seconds."""

    world: world.World
    record: checks.Record
    rng: random.Random
    ends: float
    readers: int = 0

    def caller(self, host, key):
        found = users_platform.Caller(self.world, key=key)
        found.address = self.world.caller_ways[host].address
        return found

    async def counter(self, kinds):
        """Make requests one after another, on kept and on new connections."""
        caller, host = None, 0
        while time.monotonic() < self.ends:
            if caller is None or caller.stream is None or self.rng.random() < 0.3:
                if caller is not None:
                    caller.close()
                host = self.world.pick_host(self.rng)
                caller = self.caller(host, "")
            kind = self.rng.choice(kinds)
            caller.key = self.key()
            asked = await self.ask(caller, host, kind, "counter")
            if kind == "repeatable":
                await self.follow(asked)
            await trio.sleep(self.rng.expovariate(5.0))

    def key(self):
        withdrawn = list(self.record.withdrawn)
        if withdrawn and self.rng.random() < REPEATS_WITHDRAWN:
            return self.rng.choice(withdrawn)
        left = [k for k in self.world.keys if k not in self.world.withdrawn]
        return self.rng.choice(left)

    async def hot(self, nursery):
        """Send one team's requests at several times its quota."""
        while time.monotonic() < self.ends:
            host = self.world.pick_host(self.rng)
            caller = self.caller(host, world.HOT_KEY)
            nursery.start_soon(self.ask, caller, host, "hot", "hot")
            await trio.sleep(1 / (HOT_FACTOR * world.HOT_RATE))

    async def follow(self, asked):
        """Take up a stream that breaks off, at any host; begin anew if refused."""
        until = asked.at + DEADLINE_S
        begun, after = asked, len(asked.ids)
        while 0 < after < users_platform.EVENTS and not asked.final:
            await trio.sleep(TAKE_UP_PAUSE_S)
            left_ms = int(1000 * (until - time.monotonic()))
            if left_ms <= 0:
                return
            host = self.world.pick_host(self.rng)
            caller = self.caller(host, begun.key)
            if asked.status in checks.NOT_RUN:
                asked = await self.ask(caller, host, begun.kind, begun.team)
                begun, after = asked, 0
            else:
                named = {
                    "Resumes": begun.request,
                    "Last-Event-Id": str(after),
                    "X-Deadline-Ms": str(left_ms),
                }
                asked = await self.ask(
                    caller, host, begun.kind, begun.team, begun, after, **named
                )
            after += len(asked.ids)
            caller.close()

    async def ask(self, caller, host, kind, team, begun=None, after=0, **named):
        """Make a request, perhaps to take up the stream that another one began."""
        body = b'{"n": %d}' % self.rng.randrange(1_000_000)
        if begun is not None:
            body = base64.b64decode(begun.body)
        asked = checks.Asked(
            request=self.world.new_id(),
            kind=kind,
            at=time.monotonic(),
            body=base64.b64encode(body).decode(),
            key=caller.key,
            host=f"host{host}",
            team=team,
            resumes=begun.request if begun is not None else "",
            after=after,
        )
        self.record.asked.append(asked)
        reply = None
        with trio.move_on_after(GIVE_UP_S):
            try:
                reply = await caller.ask(
                    PREFIXES[kind] + "x",
                    body=body,
                    request_id=asked.request,
                    **named,
                )
            except OSError:
                # No connection: the host is down just now.
                caller.close()
        asked.ended = time.monotonic()
        if reply is None or kind == "hot":
            caller.close()
        if reply is not None:
            asked.status, asked.whole = reply.status, reply.whole
            if reply.status == 200:
                if not reply.whole:
                    # What comes of an event that is cut off does not count.
                    events, ended, _ = reply.body.rpartition(b"\n\n")
                    reply.body = events + ended
                asked.ids = reply.ids
                lines = reply.body.decode().splitlines()
                asked.data = [line[6:] for line in lines if line.startswith("data: ")]
        return asked

    async def batches(self, nursery):
        """Submit batch jobs and let each have its reader."""
        number = 0
        while time.monotonic() < self.ends - 2.0:
            number += 1
            nursery.start_soon(self.batch, number)
            await trio.sleep(self.rng.uniform(0.8, 2.0))

    async def batch(self, number):
        name = f"job-{number}"
        body, names = users_platform.lot(
            self.world, self.rng.randint(1, 6), name=f"{name}-i"
        )
        items = {each["id"]: each["body"] for each in json.loads(body)["items"]}
        job = checks.Job(name, items)
        self.record.jobs.append(job)
        until = time.monotonic() + SUBMIT_S
        while not job.accepted and time.monotonic() < until:
            host = self.world.pick_host(self.rng)
            reply = await self.call(host, "POST", "/night/x", body, name)
            job.statuses.append(reply.status if reply else 0)
            job.accepted = reply is not None and reply.status == 202
            if not job.accepted:
                await trio.sleep(0.3)
        if job.accepted:
            await self.read(job)

    async def call(self, host, method, path, body=b"", request_id=""):
        """Make one call on a connection of its own; None without an answer."""
        caller = self.caller(host, self.world.keys[0])
        # The first key is never withdrawn, so that jobs stay readable.
        try:
            with trio.move_on_after(GIVE_UP_S):
                reply = await caller.ask(
                    path,
                    method,
                    body,
                    request_id,
                    **{"X-Wait-Ms": "500"},
                )
                return reply if reply.whole else None
        except OSError:
            # The host is down just now; the next call goes to another one.
            pass
        finally:
            caller.close()
        return None

    async def read(self, job):
        """Read a job's results at any host, again from the start at the end."""
        after = 0
        until = max(time.monotonic(), self.ends) + READ_S
        while after < len(job.items) and time.monotonic() < until:
            after = await self.read_from(job, after)
            await trio.sleep(0.3)
        job.whole = len(job.results) == len(job.items)
        await self.read_from(job, 0)

    async def read_from(self, job, after):
        host = self.world.pick_host(self.rng)
        reply = await self.call(host, "GET", f"/-/lots/{job.job}?after={after}")
        if reply is None or reply.status == 503:
            return after
        if reply.status != 200:
            job.changed.append(f"host{host} answered {reply.status}")
            return after
        page = reply.json()
        if "total" not in page:
            job.changed.append(f"host{host} answered {reply.body[:200]!r}")
            return after
        if page["total"] != len(job.items):
            job.changed.append(f"host{host} said {page['total']} items")
        for position, result in enumerate(page["results"], after):
            found = result["id"], result["state"], result["text"]
            if job.results.setdefault(position, found) != found:
                job.changed.append(f"position {position} changed at host{host}")
        return page["next"]
