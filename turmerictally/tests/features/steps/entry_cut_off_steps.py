"""Steps for hosts that are cut off from the store and from the other hosts."""

import behave
import trio

from turmerictally.entry import network
from turmerictally.tests.support import users_platform

OTHERS = ["10.1.0.1", "10.1.0.2"]
SEEDS = range(4)  # they shift the polls relative to the end of the partition
SAMPLE_S = 0.25
SETTLED_S = 3.0  # after which a host that reaches no other counts itself alone
RECOVERY_S = 8.0  # simulated after the partition has healed


@behave.when(
    "one of three hosts is cut off from the store and the others for {seconds:d} s"
)
def long_cut(context, seconds):
    context.shares = []

    async def main(world):
        world.store.refused.add("h0")
        world.fabric.separate(["10.1.0.0"], OTHERS)
        await trio.sleep(SETTLED_S)
        for _ in range(round((seconds - SETTLED_S) / SAMPLE_S)):
            await trio.sleep(SAMPLE_S)
            context.shares.append([h.quotas.share for h in world.hosts.values()])

    for seed in SEEDS:
        users_platform.play(main, hosts=3, seed=seed)


@behave.when("the store is unavailable to three hosts for {seconds:d} s")
def store_unavailable(context, seconds):
    context.shares = []

    async def main(world):
        world.store.faults.down = True
        for _ in range(round(seconds / SAMPLE_S)):
            await trio.sleep(SAMPLE_S)
            context.shares.append([h.quotas.share for h in world.hosts.values()])

    users_platform.play(main, hosts=3)


@behave.then("they hold the full quotas all the while")
def whole_share(context):
    assert context.shares
    assert all(shares == [1.0, 1.0, 1.0] for shares in context.shares)


@behave.then("both sides never hold more than the full quotas together")
def whole_together(context):
    # The two hosts that reach each other hold one quota share together.
    together = [alone + pair for alone, pair, _ in context.shares]
    assert max(together) < 1.0 + 1e-9, max(together)


@behave.then("it never holds more than a third of the quotas")
def own_share(context):
    max_share = max(shares[0] for shares in context.shares)
    assert 0 < max_share <= 1 / 3, max_share


@behave.when(
    "one of three hosts is cut off from the others and reads no host rows for "
    "{seconds:d} s"
)
def cut_beside_job(context, seconds):
    context.worlds = []

    async def main(world):
        for name, server in world.servers.items():
            world.slowness[name] = 40.0
            server.slots = 2
        body, _ = users_platform.lot(world, 6, name="j-")
        reply = await users_platform.Caller(world, 1).ask(
            "/night/x", body=body, request_id="j"
        )
        assert reply.status == 202
        await trio.sleep(1.0)
        world.store.refused_tables.add(("h0", "hosts"))
        world.fabric.separate(["10.1.0.0"], OTHERS)
        await trio.sleep(seconds)
        world.store.refused_tables.clear()
        world.fabric.restore()
        await trio.sleep(RECOVERY_S)

    for seed in SEEDS:
        world = users_platform.play(main, hosts=3, seed=seed, seconds=300.0)
        context.worlds.append(world)


@behave.then("it takes no job that another host runs")
def takes_none(context):
    for world in context.worlds:
        taken = [line for line in world.hosts[0].lines if line["event"] == "job_taken"]
        assert not taken, taken


@behave.then("no host's row is deleted")
def rows_kept(context):
    for world in context.worlds:
        removed = [
            row.address.key
            for row in world.store.log
            if row.address.table == "hosts" and row.value is None
        ]
        assert not removed, removed


@behave.when(
    "a host is cut off from a server for {seconds:d} s while {work} is on its way there"
)
def on_its_way(context, seconds, work):
    async def main(world):
        server = world.servers["s0"]

        async def ask():
            with trio.move_on_after(0.5 if "leaves" in work else 6.0):
                await users_platform.Caller(world).ask()

        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(ask)
        assert server.connections
        await trio.sleep(0.3)
        world.fabric.separate(["10.1.0.0"], ["10.9.0.0"])
        context.placed_before = len(world.lines("placed"))
        if work == "a batch item":
            body, _ = users_platform.lot(world, 12)
            await users_platform.Caller(world).ask("/night/j", body=body)
        else:
            for _ in range(12):
                world.nursery.start_soon(ask)
        await trio.sleep(seconds)
        context.sent = {
            line["request"]
            for event in ("placed", "item_placed")
            for line in world.lines(event)
            if line["server"] == "s0"
        }
        context.arrived = {run.request for run in server.runs}
        world.fabric.restore()
        await trio.sleep(2.0)

    once = {"resumable": False} if "once" in work else {}
    context.world = users_platform.play(main, hosts=1, servers=2, **once)


@behave.then("nothing that was sent before reaches the server after the cut")
def nothing_after(context):
    waiting = context.sent - context.arrived
    assert waiting
    late = [
        run.request
        for run in context.world.runs
        if run.server == "s0" and run.request in waiting
    ]
    assert not late, f"{len(late)} of {len(waiting)} came late"


@behave.when("a host closes a connection whose server has not read what was sent")
def closes_unread(context):
    context.sent, context.read, context.reset = 0, 0, False

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        stream = await network.SocketNetwork().connect(f"{host}:{port}")
        accepted = await listeners[0].accept()
        with trio.move_on_after(0.5):
            while True:
                await stream.send_all(b"m" * 65536)
                context.sent += 65536
        stream.close()
        try:
            while data := await accepted.receive_some(65536):
                context.read += len(data)
        except trio.BrokenResourceError:
            context.reset = True

    trio.run(main)


@behave.then("the server finds it reset and never reads all of it")
def found_reset(context):
    assert context.reset
    assert context.read < context.sent, (context.read, context.sent)
