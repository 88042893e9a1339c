"""Steps for servers that leave during and after store outages."""

import attrs
import behave
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally.entry import model, registry, store_health, trace
from turmerictally.platform import codec
from turmerictally.store import rows
from turmerictally.tests.support import users_platform

DRAIN_S = 2.0  # a leaving server keeps serving for this long
SETTLE_S = 3.0  # since the end of a host's outage, before the limit applies to it
REMOVAL_DELAY_S = 2.0  # after the server registered as draining
REQUEST_INTERVAL_S = 0.1  # between two requests of one host
TRAFFIC_S = 1.5  # requests continue after the limit for this long
RENEWAL_S = 1.8  # after the outage lapsed registrations are renewed
EVENTS = 5  # per response; short, so that many requests fit
SEEDS = range(2)  # they shift the polls relative to the outage


def harm(world, trouble, name):
    """Make the store fail for a host; ``cut off`` hangs only its open calls."""
    if trouble == "refused":
        world.store.refused.add(name)
    elif trouble == "silenced":
        world.store.silence(name)
    else:
        world.store.hang(name)


def heal(world, name):
    world.store.refused.discard(name)
    world.store.silenced.discard(name)


async def leave(world, leaves):
    server = world.servers["s0"]
    if leaves == "drains":
        server.state = "draining"
        server.register()
        await trio.sleep(REMOVAL_DELAY_S)
    world.store.put("servers", server.name, None)


async def ask_often(world, asked, until):
    """Send requests to every host and record in ``asked`` which host got which."""

    async def ask(n, name):
        asked[name] = n
        await users_platform.Caller(world, n).ask(request_id=name)

    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            for n in world.hosts:
                nursery.start_soon(ask, n, world.new_id())
            await trio.sleep(REQUEST_INTERVAL_S)


@attrs.define
class Played:
    """Hold which host got which request, when the outage ended and s0 left."""

    world: users_platform.World
    host_of: dict[str, int]
    harmed: list[int]
    healed_at: float = 0.0
    left_at: float = 0.0

    def late(self, bounds):
        """Return how late requests reached s0 after their host's time limit."""
        runs = [run for run in self.world.runs if run.server == "s0"]
        assert any(run.at < self.left_at for run in runs)
        over = [run.at - bounds[self.host_of[run.request]] for run in runs]
        return [round(seconds, 2) for seconds in over if seconds > 0]


def play(seed, count, trouble, for_s, leaves, after_s):
    """Run four hosts, some with a store outage, and three servers."""
    found = []

    async def main(world):
        played = Played(world, {}, list(world.hosts)[:count])
        found.append(played)
        for server in world.servers.values():
            server.events = EVENTS
        await ask_often(world, played.host_of, trio.current_time() + 0.5 + seed * 0.37)
        played.healed_at = trio.current_time() + for_s
        played.left_at = played.healed_at + after_s

        async def trouble_ends():
            await trio.sleep_until(played.healed_at)
            for n in played.harmed:
                heal(world, f"h{n}")

        async def server_leaves():
            await trio.sleep_until(played.left_at)
            await leave(world, leaves)

        for n in played.harmed:
            harm(world, trouble, f"h{n}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trouble_ends)
            nursery.start_soon(server_leaves)
            bound = played.left_at + DRAIN_S
            await trio.sleep_until(bound - 0.5)
            last = max(bound, played.healed_at + SETTLE_S)
            await ask_often(world, played.host_of, last + TRAFFIC_S)

    users_platform.play(main, hosts=4, servers=3, seed=seed)
    return found[0]


@behave.when(
    "{count:d} of four hosts are {trouble} by the store for {for_s:g} s, "
    "and a server {leaves} {after_s:g} s after that"
)
def leaves_after_trouble(context, count, trouble, for_s, leaves, after_s):
    context.days = [
        play(seed, count, trouble, for_s, leaves, after_s) for seed in SEEDS
    ]


@behave.then(
    "no request reaches it 2 s after that from hosts whose outage ended 3 s before"
)
def nothing_late(context):
    for day in context.days:
        bounds = dict.fromkeys(day.world.hosts, day.left_at + DRAIN_S)
        for n in day.harmed:
            bounds[n] = max(bounds[n], day.healed_at + SETTLE_S)
        late = day.late(bounds)
        assert not late, f"{len(late)} requests came up to {max(late)} s late"


@behave.when(
    "a server is removed while the store refuses {count:d} of four hosts for "
    "{for_s:g} s"
)
def removed_meanwhile(context, count, for_s):
    context.days = [
        play(seed, count, "refused", for_s, "is removed", -for_s / 2) for seed in SEEDS
    ]


@behave.then("no request reaches it 2 s after that from any host")
def nothing_late_from_any(context):
    for day in context.days:
        late = day.late(dict.fromkeys(day.world.hosts, day.left_at + DRAIN_S))
        assert not late, f"{len(late)} requests came up to {max(late)} s late"


@behave.when(
    "registrations lapse in an outage of {for_s:g} s that lasts {more_s:g} s longer "
    "for two of four hosts"
)
def lapse_longer(context, for_s, more_s):
    context.replies = []

    async def ask(world, n):
        context.replies.append(await users_platform.Caller(world, n).ask())

    async def main(world):
        for server in world.servers.values():
            server.events = EVENTS

        async def outage():
            world.store.faults.down = True
            await trio.sleep(for_s)
            for name in world.servers:
                world.store.put("servers", name, None)
            world.store.refused |= {"h0", "h1"}
            world.store.faults.down = False
            await trio.sleep(more_s)
            world.store.refused.clear()
            await trio.sleep(RENEWAL_S - more_s)
            for server in world.servers.values():
                server.register()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(outage)
            until = trio.current_time() + for_s + RENEWAL_S + 2.0
            while trio.current_time() < until:
                for n in world.hosts:
                    nursery.start_soon(ask, world, n)
                await trio.sleep(REQUEST_INTERVAL_S)

    users_platform.play(main, hosts=4, servers=3)


@behave.then("every request is served until the servers are registered again")
def all_served(context):
    assert context.replies
    refused = [r for r in context.replies if r.status != 200 or not r.whole]
    assert not refused, f"{len(refused)} of {len(context.replies)} were not served"


def server_row(name, version, value=b"{}"):
    return rows.Row(rows.Address("servers", "", name), value, version)


class SleepyClock(clocks.VirtualClock):
    """Leave out the time for which the host was suspended."""

    asleep = 0.0

    def monotonic(self):
        return super().monotonic() - self.asleep

    def suspended(self):
        return self.asleep


class Known:
    """Hold one host's registry and what it knows of the store."""

    born_ms = 0

    def __init__(self):
        self.clock = SleepyClock()
        lines = trace.Trace("h0")
        self.store_health = store_health.StoreHealth(self.clock, lines)
        self.registry = registry.Registry(
            read=self.read,
            store_health=self.store_health,
            clock=self.clock,
            trace=lines,
        )
        self.store_health.record_response()
        self.registry.update([server_row("s0", 1)])

    def read(self, name, value):
        if value != b"{}":
            return None
        return model.Server(name, "ip:1", "llm", "a", 8, born_ms=self.born_ms)

    @property
    def used(self):
        return bool(self.registry.usable("llm"))

    async def used_after(self, returned_at):
        """Return by the time after the store's return whether the server is used."""
        found = {}
        while self.clock.monotonic() < returned_at + 3.0:
            await trio.sleep(0.05)
            after_s = round(self.clock.monotonic() - returned_at, 2)
            found[after_s] = self.used
        return found


def in_virtual_time(main):
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.when("a registration goes missing {seconds:g} s after the store's return")
def goes_missing(context, seconds):
    async def main():
        known = Known()
        await trio.sleep(5.0)
        known.store_health.record_failure("outage")
        known.store_health.record_response()
        returned_at = known.clock.monotonic()
        await trio.sleep(seconds)
        known.registry.update([server_row("s0", 2, None)])
        context.used = await known.used_after(returned_at)

    in_virtual_time(main)


@behave.when(
    "a registration is overwritten by another writer just after the store's return"
)
def overwritten(context):
    async def main():
        known = Known()
        await trio.sleep(5.0)
        known.store_health.record_failure("outage")
        known.store_health.record_response()
        assert known.used
        known.registry.update([server_row("s0", 2, b"[]")])
        context.used = known.used

    in_virtual_time(main)


@behave.then("its server is not used")
def not_used(context):
    assert not context.used


@behave.when("a registration lapses in an outage through which the host was {paused}")
def paused_through(context, paused):
    async def main():
        known = Known()
        if paused.startswith("suspended"):
            known.clock.asleep += 5.0
        await trio.sleep(5.0)
        # What was asked before the pause is answered after it; no call failed.
        known.store_health.record_response()
        returned_at = known.clock.monotonic()
        known.registry.update([server_row("s0", 2, None)])
        context.used = await known.used_after(returned_at)

    in_virtual_time(main)


@behave.then(
    "its server is used {before:g} s after the return and not {after:g} s after it"
)
def used_until(context, before, after):
    assert context.used[before]
    assert not context.used[after]


async def ask_host(world, n, asked):
    name = world.new_id()
    asked[name] = n
    return await users_platform.Caller(world, n).ask(request_id=name)


@behave.when(
    "a server says in {what} to one of four hosts that it leaves, while {store}"
)
def says_that_it_leaves(context, what, store):
    context.asked, context.replies = {}, []

    async def main(world):
        server = world.servers["s0"]
        for each in world.servers.values():
            each.events = EVENTS
        if store == "the store is away":
            world.store.faults.down = True
            await trio.sleep(1.0)
        server.leaving = True
        server.status = 500 if what == "a failure" else 200
        others = [s for s in world.servers.values() if s is not server]
        for other in others:
            other.silent, other.slots = True, 1
        # Only one host meets the server that leaves.
        if what == "an item's stream":
            body, _ = users_platform.lot(world, 24)
            await users_platform.Caller(world, 0).ask("/night/j", body=body)
            await trio.sleep(1.0)
        else:
            while not server.runs:
                with trio.move_on_after(0.5):
                    await ask_host(world, 0, context.asked)
        assert server.runs
        for other in others:
            other.silent, other.slots = False, 8
        await trio.sleep(DRAIN_S)
        context.since = trio.current_time()
        for _ in range(10):
            for n in world.hosts:
                context.replies.append(await ask_host(world, n, {}))

    context.world = users_platform.play(main, hosts=4, servers=3)


@behave.then("no new request reaches it 2 s after that from any host")
def nothing_new(context):
    late = [
        run
        for run in context.world.runs
        if run.server == "s0" and run.at > context.since
    ]
    assert not late, f"{len(late)} requests reached it"


@behave.then("other servers serve every request sent after that")
def others_serve(context):
    assert context.replies
    assert all(r.status == 200 and r.whole for r in context.replies)


@behave.when(
    "a host starts after a server's answers said that it leaves, "
    "while the store is away"
)
def starts_later(context):
    async def main(world):
        server = world.servers["s0"]
        for each in world.servers.values():
            each.events = EVENTS
        server.leaving = True
        while not server.runs:
            await ask_host(world, 0, {})
        world.store.faults.down = True
        world.kill_host(3)
        await trio.sleep(1.0)
        world.start_host(3)
        await world.until_ready()
        await trio.sleep(DRAIN_S)
        context.since = trio.current_time()
        context.replies = [await ask_host(world, 3, {}) for _ in range(20)]

    context.world = users_platform.play(main, hosts=4, servers=3)


@behave.then("no new request reaches that server from the started host")
def started_host_knows(context):
    nothing_new(context)
    others_serve(context)


@behave.when("a leaving server is registered again {how}")
def registered_again(context, how):
    async def main():
        known = Known()
        server = known.registry.servers["s0"]
        known.registry.mark_leaving(server, "its answer")
        assert not known.used
        if "missing" in how:
            known.registry.update([server_row("s0", 2, None)])
        if "born later" in how:
            known.born_ms = 2
        known.registry.update([server_row("s0", 3)])
        context.used = known.used

    in_virtual_time(main)


@behave.then("the server is {used}")
def is_used(context, used):
    assert context.used == (used == "used")


@behave.when("the answers of all servers say that they leave")
def all_leave(context):
    async def main(world):
        for each in world.servers.values():
            each.leaving = True
        while not all(s.runs for s in world.servers.values()):
            await ask_host(world, 0, {})
        await trio.sleep(0.5)
        context.runs = len(world.runs)
        context.replies = [await ask_host(world, n, {}) for n in world.hosts]

    context.world = users_platform.play(main, hosts=2, servers=2)


@behave.then("further requests get 503 within 50 ms and do not run")
def refused_at_once(context):
    assert [reply.status for reply in context.replies] == [503, 503]
    assert all(reply.took_s < 0.05 for reply in context.replies)
    assert len(context.world.runs) == context.runs


@behave.when("a server answers 421 and says that it leaves")
def answers_421(context):
    head = codec.PlatformCodec().read_head(
        421, [(b"X-Request-Id", b"r1"), (b"Server-Leaving", b"1")]
    )
    context.leaving = head.leaving


@behave.then("the intended server is still used")
def still_used(context):
    assert not context.leaving


@behave.when(
    "a host restarts while the store is away after a key was revoked, and {peer}"
)
def key_withdrawn(context, peer):
    context.withdrawn, context.kept = [], []

    async def main(world):
        world.configure(team={"apiKeys": [users_platform.KEY, "old-key"]})
        await trio.sleep(1.0)
        if "without" in peer:
            world.store.refused.add("h0")
            await trio.sleep(0.5)
        world.configure()
        await trio.sleep(0.3)
        world.store.faults.down = True
        world.kill_host(3)
        await trio.sleep(0.2)
        world.start_host(3)
        for _ in range(40):
            await trio.sleep(0.1)
            for key, found in (
                ("old-key", context.withdrawn),
                (users_platform.KEY, context.kept),
            ):
                with trio.move_on_after(1.0):
                    try:
                        reply = await users_platform.Caller(world, 3, key).ask()
                    except ConnectionRefusedError:
                        # The host does not listen yet.
                        continue
                    found.append(reply.status)

    users_platform.play(main, hosts=4, servers=3)


@behave.then("the restarted host never serves that key and soon serves the other one")
def never_serves(context):
    assert set(context.withdrawn) <= {401, 503}, set(context.withdrawn)
    assert context.withdrawn[-1] == 401
    assert context.kept[-1] == 200
