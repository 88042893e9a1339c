"""Steps for the row store's failures as entry hosts see them."""

import base64
import json

import behave
import trio

from turmerictally.tests.support import users_platform

OTHER_KEY = "key-of-the-floor"


def play(context, main, **given):
    context.world = users_platform.play(main, **given)


async def serve_on(context, world, seconds):
    """Send a request to each host every 0.1 s and record the replies."""
    context.replies = getattr(context, "replies", [])
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        for n in world.hosts:
            context.replies.append(await users_platform.Caller(world, n).ask())
        await trio.sleep(0.1)


@behave.when("the store refuses one host and a key is withdrawn")
def refuses_one(context):
    async def main(world):
        both = [
            {"name": "counter", "apiKeys": [users_platform.KEY]},
            {"name": "floor", "apiKeys": [OTHER_KEY]},
        ]
        world.configure(tenants=both)
        await trio.sleep(0.5)
        world.store.refused = {"h0"}
        await trio.sleep(0.3)
        world.configure(tenants=[{"name": "counter", "apiKeys": []}, both[1]])
        withdrawn_at = trio.current_time()
        context.late = []
        while trio.current_time() < withdrawn_at + 8.0:
            for n in world.hosts:
                sent_at = trio.current_time() - withdrawn_at
                reply = await users_platform.Caller(world, n).ask()
                context.late.append((n, sent_at, reply.status))
            await trio.sleep(0.1)
        context.others = [
            (await users_platform.Caller(world, n, OTHER_KEY).ask()).status
            for n in world.hosts
        ]

    play(context, main, hosts=3)


@behave.then("the key is refused at every host within {seconds:d} s")
def refused_within(context, seconds):
    for n, sent_at, status in context.late:
        assert status == 401 or sent_at <= seconds, (n, sent_at, status)
    assert {n for n, _, status in context.late if status == 401} == {0, 1, 2}


@behave.then("the other keys stay valid")
def others_go_on(context):
    assert context.others == [200, 200, 200]


@behave.when("a host is refused by the store from its start, and known to its peers")
def always_refused(context):
    async def main(world):
        world.store.refused = {"h2"}
        world.start_host(2)
        # Its peers know it from its row, as when it was there before.
        row = {"instance": "x", "address": "10.1.0.2:82", "renewals": 0}
        world.store.put("hosts", "h2", json.dumps(row).encode())
        await trio.sleep(6.0)
        context.reply = await users_platform.Caller(world, 2).ask()

    play(context, main)


@behave.then("it serves requests")
def serves(context):
    assert context.reply.whole and context.reply.status == 200, context.reply


@behave.when(
    "history is dropped with changes unseen, and reads answer from an earlier moment"
)
def history(context):
    async def main(world):
        store = world.store
        earlier = store.version
        store.faults.down = True
        await trio.sleep(2.0)
        world.configure(stream={"name": "newer", "prefix": "/newer/"})
        store.put("servers", "s0", None)
        store.forget_history()
        store.stale_at = earlier
        store.faults.down = False
        await trio.sleep(1.0)
        store.stale_at = None
        context.right_at = trio.current_time()
        context.statuses = []
        await trio.sleep(6.0)
        for n in world.hosts:
            reply = await users_platform.Caller(world, n).ask("/newer/1")
            context.statuses.append(reply.status)

    play(context, main)


@behave.then("the newest configuration stays applied")
def newest(context):
    assert context.statuses == [200, 200], context.statuses


@behave.then("the server that left gets nothing 2 s after the reads are right")
def left_in_gap(context):
    late = [
        run
        for run in context.world.runs
        if run.server == "s0" and run.at > context.right_at + 2.0
    ]
    assert not late


@behave.when("the store is down and comes back without its registrations")
def lapse(context):
    async def main(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_on, context, world, 10.0)
            await trio.sleep(0.5)
            world.store.faults.down = True
            await trio.sleep(3.0)
            for name in world.servers:
                world.store.put("servers", name, None)
            world.store.faults.down = False
            context.back_at = trio.current_time()
            await trio.sleep(1.8)
            world.servers["s1"].register()

    play(context, main)


@behave.then("all requests are served meanwhile")
def served_all(context):
    assert context.replies
    for reply in context.replies:
        assert reply.whole and reply.status == 200, reply


@behave.then("a server that stays away gets nothing 3 s after the return")
def not_back(context):
    runs = [run for run in context.world.runs if run.server == "s0"]
    assert any(run.at < context.back_at for run in runs)
    assert all(run.at < context.back_at + 3.0 for run in runs)


@behave.when("a server reports that it drains")
def drains(context):
    async def main(world):
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(serve_on, context, world, 3.0)
            await trio.sleep(1.0)
            world.servers["s0"].state = "draining"
            world.servers["s0"].register()
            context.drained_at = trio.current_time()

    play(context, main)


@behave.then("its streams complete and it gets no further request")
def drained(context):
    served_all(context)
    runs = [run for run in context.world.runs if run.server == "s0"]
    assert runs
    assert all(run.at < context.drained_at + 0.1 for run in runs)


@behave.when("the store is unavailable for {seconds:d} s")
def store_unavailable(context, seconds):
    async def main(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_on, context, world, seconds + 2.0)
            world.store.faults.down = True
            await trio.sleep(seconds)
            world.store.faults.down = False
        context.lost = world.lines("store_lost")
        context.regained = world.lines("store_regained")

    play(context, main)


@behave.then("the outage's start and its end are logged once for each table")
def outage_logged(context):
    tables = sorted({"hosts", "jobs", "op", "servers"} | set()) * 2
    assert sorted(line["table"] for line in context.lost) == sorted(tables)
    assert sorted(line["table"] for line in context.regained) == sorted(tables)
    assert all(line["gone_s"] > 5 for line in context.regained)


@behave.when("rows that cannot be read lie among the servers")
def unreadable(context):
    async def main(world):
        good = json.loads(world.store.rows[servers_row(world, "s0")].value)
        for n, (field, value) in enumerate(
            [
                ("service", None),
                ("address", 80),
                ("address", "10.9.0.1"),
                ("zone", ["a"]),
                ("slots", "8"),
                ("slots", True),
                ("state", "asleep"),
                ("born", 1.5),
            ]
        ):
            row = json.dumps(good | {"address": "10.66.0.1:80", field: value})
            world.store.put("servers", f"x{n}", row.encode())
        world.store.put("servers", "y", b"\xff\x00")
        world.store.put("op", "else", b'{"version": 99}')
        world.store.put("servers", "z", b"[]")
        await serve_on(context, world, 1.0)
        for served in world.hosts.values():
            assert set(served.registry.servers) == {"s0", "s1"}
            assert served.active_configuration.current.version == world.version

    play(context, main)


def servers_row(world, name):
    return next(a for a in world.store.rows if a.key == name)


@behave.when("a host is lost permanently and {seconds:d} s pass")
def lost_permanently(context, seconds):
    async def main(world):
        world.kill_host(2)
        await trio.sleep(seconds)
        context.listed = [set(h.hosts.records) for h in world.hosts.values()]

    play(context, main, hosts=3, seconds=200.0)


@behave.then("the others know only each other")
def only_each_other(context):
    assert context.listed == [{"h0", "h1"}] * 2, context.listed


async def read_the_past(context, world, leave):
    """Let a server leave, drop the history, and serve reads from before that."""
    store = world.store
    earlier = store.version
    leave()
    await trio.sleep(0.5)
    context.drained_at = trio.current_time()
    store.forget_history()
    store.stale_at = earlier
    # The change ends the long polls after the history was dropped.
    store.kept_from = store.version + 1
    store.put("servers", "other", b"[]")
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(serve_on, context, world, 3.0)
        await trio.sleep(2.0)
        store.stale_at = None
        store.kept_from = 0


@behave.when("a server drains, history is dropped and reads answer from before that")
def drains_in_the_past(context):
    async def main(world):
        def leave():
            world.servers["s0"].state = "draining"
            world.servers["s0"].register()

        await read_the_past(context, world, leave)

    play(context, main)


@behave.when(
    "a server is removed, history is dropped and reads answer from before that"
)
def removed_in_the_past(context):
    async def main(world):
        def leave():
            world.store.put("servers", "s0", None)

        await read_the_past(context, world, leave)

    play(context, main)


@behave.when("a row is removed and a peer's copy holds it at an older version")
def older_copy(context):
    async def main(world):
        watch = world.hosts[0].servers_watch
        address = servers_row(world, "s0")
        version = watch.rows_by_address[address].version
        value = watch.rows_by_address[address].value
        world.store.put("servers", "s0", None)
        await trio.sleep(0.5)
        context.known = [address in watch.rows_by_address]
        for version in (version, watch.version + 1):
            row = ["", "s0", version, base64.b64encode(value).decode()]
            others = [
                [a.part, a.key, r.version, base64.b64encode(r.value).decode()]
                for a, r in watch.rows_by_address.items()
            ]
            given = {"version": watch.version + 1, "rows": [*others, row]}
            watch.load_peer_copy(json.dumps(given).encode(), 0.1)
            context.known.append(address in watch.rows_by_address)

    play(context, main)


@behave.when("a peer's newer copy lacks a row that the store still has")
def copy_lacks(context):
    async def main(world):
        served = world.hosts[0]
        watch = served.servers_watch
        address = servers_row(world, "s0")
        others = [
            [a.part, a.key, r.version, base64.b64encode(r.value).decode()]
            for a, r in watch.rows_by_address.items()
            if a != address
        ]
        given = {"version": world.store.version, "rows": others}
        watch.load_peer_copy(json.dumps(given).encode(), 0.1)
        assert address not in watch.rows_by_address
        await trio.sleep(3.0)
        context.removals_sent = [
            h.registry.recent_removals() for h in world.hosts.values()
        ]
        # The change ends the long polls after the history was dropped.
        world.store.forget_history()
        world.store.kept_from = world.store.version + 1
        world.store.put("servers", "other", b"[]")
        await trio.sleep(0.1)
        world.store.kept_from = 0
        await trio.sleep(3.0)
        context.known = [
            address in watch.rows_by_address,
            "s0" in served.registry.servers,
        ]

    play(context, main)


@behave.then("no other host receives a removal")
def no_removal_sent(context):
    assert context.removals_sent == [{}, {}], context.removals_sent


@behave.then("the row is back after a full read of the store")
def row_back(context):
    assert context.known == [True, True], context.known


@behave.then("the row stays removed, and comes back with a newer version")
def stays_removed(context):
    assert context.known == [False, False, True], context.known


@behave.then("that server gets no request after it drained")
def none_after(context):
    late = [run for run in context.world.runs if run.at > context.drained_at]
    assert late
    assert {run.server for run in late} == {"s1"}
    assert context.world.lines("history_lost")
