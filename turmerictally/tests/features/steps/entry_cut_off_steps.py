"""Steps for hosts that are cut off from the store and from the other hosts."""

import behave
import trio

from turmerictally.tests.support import users_platform

OTHERS = ["10.1.0.1", "10.1.0.2"]
SEEDS = range(4)  # they shift the polls against the return
LOOK_S = 0.25
SETTLED_S = 3.0  # after which a host that hears nobody counts itself alone
BACK_S = 8.0  # watched after the return


@behave.when(
    "one of three hosts is cut off from the store and the others for {seconds:d} s"
)
def long_cut(context, seconds):
    context.shares = []

    async def main(world):
        world.store.refused.add("h0")
        world.fabric.separate(["10.1.0.0"], OTHERS)
        await trio.sleep(SETTLED_S)
        for _ in range(round((seconds - SETTLED_S) / LOOK_S)):
            await trio.sleep(LOOK_S)
            context.shares.append([h.allowances.share for h in world.hosts.values()])

    for seed in SEEDS:
        users_platform.play(main, hosts=3, seed=seed)


@behave.when("the store is away from three hosts for {seconds:d} s")
def store_away(context, seconds):
    context.shares = []

    async def main(world):
        world.store.faults.down = True
        for _ in range(round(seconds / LOOK_S)):
            await trio.sleep(LOOK_S)
            context.shares.append([h.allowances.share for h in world.hosts.values()])

    users_platform.play(main, hosts=3)


@behave.then("they hold the whole of the quotas meanwhile")
def whole_share(context):
    assert context.shares
    assert all(shares == [1.0, 1.0, 1.0] for shares in context.shares)


@behave.then("both sides never hold more than the whole together")
def whole_together(context):
    # The two that hear each other hold one share.
    together = [alone + pair for alone, pair, _ in context.shares]
    assert max(together) < 1.0 + 1e-9, max(together)


@behave.then("it never holds more than a third of the quotas meanwhile")
def own_share(context):
    most = max(shares[0] for shares in context.shares)
    assert 0 < most <= 1 / 3, most


@behave.when(
    "one of three hosts is cut off from the others and told of no hosts for "
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
        world.fabric.cuts.clear()
        await trio.sleep(BACK_S)

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
