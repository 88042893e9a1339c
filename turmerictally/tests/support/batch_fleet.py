"""Run several batch hosts in virtual time and check what a caller can read."""

import contextlib
import json
import random

import attrs
import trio
import trio.testing

from turmerictally import clock, errors, settings
from turmerictally.batch import (
    capacity,
    executor,
    files,
    jobs,
    reading,
    records,
    store,
)
from turmerictally.config import model
from turmerictally.standins import memory
from turmerictally.store import table
from turmerictally.tests.support import network

TEAM = "dalisay"
CONTRACT = model.Contract(TEAM, rate=100.0, burst=10)
SERVICES = {"s": model.Service("s", models=("m",))}


def make_settings(**batch):
    given = {
        "host_id": "h",
        "region": "r",
        "failure_domain": "d",
        "peer_secret": "s",
        "platform": {"url": "memory:"},
        "batch": {
            "range_items": 10,
            "lease_s": 6.0,
            "part_s": 2.0,
            "max_concurrent_items": 8,
            "writes_per_s": 20.0,
            "reads_per_s": 50.0,
            **batch,
        },
    }
    return settings.build(given)


class UncheckedTable:
    """Switch off the checks of some keys, to show that tests need them."""

    def __init__(self, inner, prefixes):
        self.inner = inner
        self.prefixes = prefixes

    def __getattr__(self, name):
        return getattr(self.inner, name)

    async def commit(self, checks, writes):
        kept = [c for c in checks if not c.key.startswith(self.prefixes)]
        return await self.inner.commit(kept, writes)


@attrs.define
class Link:
    """Stand between one host and the platform: pauses, cuts and crashes."""

    inner: object
    host: "Host"

    def __getattr__(self, name):
        inner = getattr(self.inner, name)

        async def call(*args, **kwargs):
            await self.host.running()
            step = self.host.next_step()
            if step in ("crash before", "pause before"):
                await self.host.meet(step)
            if self.host.cut:
                await trio.sleep(0.5)
                raise table.UnavailableError("cut off")
            answer = await inner(*args, **kwargs)
            if step in ("crash after", "pause after", "lose answer"):
                await self.host.meet(step)
            await self.host.running()
            return answer

        return call


@attrs.define
class Slot:
    server: str


class Gate:
    """Give out slots; ``yield_now`` cancels every slot in use."""

    def __init__(self, host, slots=8):
        self.host = host
        self.limiter = trio.CapacityLimiter(slots)
        self.scopes = set()

    def free(self, name):
        return int(self.limiter.available_tokens)

    @contextlib.asynccontextmanager
    async def slot(self, name):
        services = self.host.view.services.values()
        if name and not any(name in service.models for service in services):
            raise errors.Error(errors.Kind.UNKNOWN_MODEL)
        token = object()
        await self.limiter.acquire_on_behalf_of(token)
        scope = trio.CancelScope()
        try:
            await self.host.running()
            self.scopes.add(scope)
            with scope:
                yield Slot("server")
        finally:
            self.scopes.discard(scope)
            self.limiter.release_on_behalf_of(token)

    def yield_now(self):
        for scope in self.scopes:
            scope.cancel()


class Host:
    """Be one entry host that may crash, pause or be cut off."""

    def __init__(self, fleet, name, given):
        self.fleet = fleet
        self.name = name
        self.cut = False
        self.view = model.View(version=1, services=SERVICES)
        self.calls = 0
        self.plan = {}
        self.resumed = None
        self.starts = 0
        self.scope = None
        self.given = given
        self.peers = fleet.network.attach(name)
        self.rng = random.Random(f"{fleet.seed}{name}")
        self.boot()

    def boot(self):
        self.starts += 1
        shared = self.fleet
        link = [Link(inner, self) for inner in (shared.table, shared.objects)]
        self.kept = store.build(*link, shared.clock, self.given, self.rng)
        self.gate = Gate(self)
        self.executor = executor.Executor(
            host_id=self.name,
            instance=f"i{self.starts}",
            address=self.name,
            kept=self.kept,
            given=self.given,
            gate=self.gate,
            send=self.send,
            view=lambda: self.view,
            hosts=lambda: len(shared.hosts),
            idempotent=lambda item: item.url != "/side",
            rng=self.rng,
        )
        self.executor.serve(self.peers)

    def next_step(self):
        """Count a platform call; return the fault planned for it, if any."""
        self.calls += 1
        return self.plan.get(self.calls)

    async def meet(self, step):
        if step.startswith("crash"):
            await self.crash()
            await trio.sleep(0)
        elif step.startswith("pause"):
            await self.pause(25.0)
        else:
            raise table.UnavailableError("answer lost", maybe_applied=True)

    async def running(self):
        while self.resumed is not None:
            await self.resumed.wait()

    async def send(self, item, slot):
        self.fleet.sends.append((trio.current_time(), self.name, item.custom_id))
        if item.body.get("poison"):
            self.fleet.nursery.start_soon(self.crash)
            await trio.sleep_forever()
        await trio.sleep(self.rng.uniform(*self.fleet.item_s))
        if item.body.get("broken"):
            raise errors.Error(errors.Kind.BACKEND_SERVER_ERROR)
        if item.body.get("refused"):
            return capacity.ItemResult(422, {"error": "refused"})
        return capacity.ItemResult(200, {"by": self.name, "n": self.rng.random()})

    async def run(self):
        while True:
            with trio.CancelScope() as self.scope:
                await self.executor.run()
            await trio.sleep(3.0)
            self.boot()

    async def crash(self):
        """Lose the host with all its memory; a new one starts after 3 s."""
        self.scope.cancel()

    async def pause(self, seconds):
        if self.resumed is None:
            self.resumed = trio.Event()
            await trio.sleep(seconds)
            event, self.resumed = self.resumed, None
            event.set()

    async def separate(self, seconds):
        self.cut = True
        await trio.sleep(seconds)
        self.cut = False


class Fleet:
    """Be several hosts before one platform, with a reader that checks it."""

    def __init__(self, nursery, hosts=3, seed=0, unchecked=(), given=None):
        self.nursery = nursery
        self.seed = seed
        self.clock = clock.VirtualClock()
        self.platform = memory.Platform()
        self.table = self.platform.table
        if unchecked:
            self.table = UncheckedTable(self.table, unchecked)
        self.objects = self.platform.objects
        self.network = network.Network(seed=seed)
        self.sends = []
        self.lines = {}
        self.faults = []
        self.item_s = (0.2, 1.0)
        self.given = given or make_settings()
        self.hosts = []
        for number in range(hosts):
            self.hosts.append(Host(self, f"h{number}", self.given))
        self.reader = self._clean_store()

    def start(self):
        for host in self.hosts:
            self.nursery.start_soon(host.run)

    def set_faults(self, **values):
        for service in (self.platform.table, self.platform.objects):
            for name, value in values.items():
                setattr(service.faults, name, value)

    async def outage(self, seconds):
        self.set_faults(down=True)
        await trio.sleep(seconds)
        self.set_faults(down=False)

    async def lose_answers(self, seconds):
        self.set_faults(lose_answer=0.3, lose_request=0.2)
        await trio.sleep(seconds)
        self.set_faults(lose_answer=0.0, lose_request=0.0)

    async def accept(self, items, *, window_s=3600.0, key="k"):
        """Upload a file and create a job through the first host."""
        kept = self.hosts[0].kept
        file = await files.upload(kept, self.given, TEAM, "f", chunks(items))
        request = jobs.Request(file.id, "/v1/chat", window_s, idempotency_key=key)
        return await jobs.create(kept, self.given, CONTRACT, request)

    async def read(self, job_id):
        """Return (custom_id, line) of every readable result."""
        found = []
        for tag in (reading.OUTPUT, reading.ERROR):
            async for chunk in reading.results(self.reader, TEAM, job_id, tag):
                for line in chunk.splitlines():
                    found.append((json.loads(line)["custom_id"], line))
        return found

    async def inspect(self, job_id):
        """Record every fault that a caller could see now."""
        progress = await reading.progress(self.reader, TEAM, job_id)
        found = await self.read(job_id)
        lines = dict(found)
        if len(lines) != len(found):
            self.faults.append("an item has two results")
        for custom_id, line in self.lines.items():
            if lines.get(custom_id) != line:
                self.faults.append(f"the result of {custom_id} changed")
        counts = progress.counts
        if counts.completed + counts.failed != len(found):
            self.faults.append("counts do not add up")
        self.lines = lines
        return progress

    async def follow(self, job_id, limit_s=3600.0):
        """Inspect each second until the job is final; return its progress."""
        end = trio.current_time() + limit_s
        while trio.current_time() < end:
            progress = await self.inspect(job_id)
            if progress.job.state in records.FINAL:
                return progress
            await trio.sleep(1.0)
        self.faults.append("the job did not end")
        return progress

    def sends_of(self, custom_id):
        return [send for send in self.sends if send[2] == custom_id]

    def _clean_store(self):
        rows = memory.Table()
        rows.rows, rows.keys = self.platform.table.rows, self.platform.table.keys
        kept = memory.Objects()
        kept.stored = self.platform.objects.stored
        return store.build(rows, kept, self.clock, self.given, random.Random(0))


def item(custom_id, *, model_name="m", url="/v1/chat", **body):
    value = {"model": model_name, **body}
    return {"custom_id": custom_id, "method": "POST", "url": url, "body": value}


def items(count):
    return [item(f"i{n}") for n in range(count)]


async def chunks(lines, size=97):
    texts = [v if isinstance(v, str) else json.dumps(v) for v in lines]
    data = "\n".join(texts).encode()
    for start in range(0, len(data), size):
        yield data[start : start + size]
        await trio.lowlevel.checkpoint()


def run(body, seed=0):
    """Run ``body(nursery)`` in virtual time with a fixed order of tasks."""

    async def main():
        trio._core._run._r.seed(seed)
        async with trio.open_nursery() as nursery:
            result = await body(nursery)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
