"""Steps for the platform client's feature."""

import logging

import behave
import trio
import trio.testing

from turmerictally import settings
from turmerictally.bench import platform as platform_bench
from turmerictally.standins import memory, server, serving
from turmerictally.store import budget, client, guard, hosts, table, weights

HANG_GUARD_S = 60


def config(url="http://127.0.0.1:1", **values):
    defaults = settings.DEFAULTS["platform"] | {"url": url} | values
    return settings.Platform(**defaults)


def over_http(context, check):
    async def main():
        with trio.fail_after(HANG_GUARD_S):
            async with trio.open_nursery() as nursery:
                app = server.app(context.platform, token="t")
                url = await nursery.start(serving.serve, app)
                values = config(url, token="t", reads_per_s=1e4, writes_per_s=1e4)
                async with client.connect(values) as platform:
                    await check(platform)
                nursery.cancel_scope.cancel()

    trio.run(main)


@behave.given("a platform stand-in behind HTTP")
def standin(context):
    context.platform = memory.Platform()


@behave.then("rows, objects, hosts and weights work through the client")
def client_works(context):
    async def check(platform):
        await check_rows(platform.table)
        await check_objects(platform.objects)
        host = hosts.ListedHost("a", "1", hosts.Role.ENTRY, "127.0.0.1:1", "r", "d")
        await platform.hosts.register(host)
        assert await platform.hosts.list(hosts.Role.ENTRY) == [host]
        await platform.hosts.deregister("a", "1")
        assert await platform.hosts.list(hosts.Role.ENTRY) == []
        info = weights.WeightsInfo("m", "1", 10)
        context.platform.weights.stored[("m", "1")] = info
        for _ in range(6):
            assert await platform.weights.reserve("m", "1") == info
        await refused(weights.ThrottledError, platform.weights.reserve, "m", "1")
        await refused(KeyError, platform.weights.reserve, "m", "2")

    over_http(context, check)


async def check_rows(rows):
    written = await rows.commit([table.Check("a/ü b", 0)], [table.Put("a/ü b", {})])
    assert (await rows.get("a/ü b")).version == written["a/ü b"]
    await refused(table.ConflictError, rows.commit, [table.Check("a/ü b", 0)], [])
    assert await rows.get("a/none") is None
    await rows.commit([], [table.Put(f"b/{n}", {"n": n}) for n in range(5)])
    page = await rows.scan("b/", after="b/1", limit=2)
    assert [row.key for row in page] == ["b/2", "b/3"]


async def check_objects(store):
    async def parts():
        for _ in range(64):
            yield b"x" * 65536

    info = await store.put("o/1", parts(), if_absent=True)
    assert info.size == 4194304 and await store.head("o/1") == info
    await refused(table.ConflictError, lambda: store.put("o/1", b"", if_absent=True))
    assert sum([len(chunk) async for chunk in store.stream("o/1")]) == info.size
    await store.put("o/2", b"0123456789")
    assert await store.get("o/2", start=2, end=5) == b"234"
    assert [stored.key for stored in await store.list("o/", after="o/1")] == ["o/2"]
    await store.delete("o/2")
    await refused(KeyError, store.get, "o/2")
    assert await store.head("o/2") is None


async def refused(kind, call, *args):
    try:
        await call(*args)
    except kind as error:
        return error
    raise AssertionError(f"no {kind.__name__}")


@behave.then("a write whose response is lost may have been applied")
def lost_response(context):
    async def check(platform):
        context.platform.table.faults.lose_answer = 1.0
        write = [table.Put("k", {})]
        error = await refused(table.UnavailableError, platform.table.commit, [], write)
        assert error.maybe_applied and "k" in context.platform.table.rows

    over_http(context, check)
    context.platform.table.faults.lose_answer = 0.0


@behave.then("a write refused in an outage was not applied")
def outage(context):
    async def check(platform):
        context.platform.table.faults.down = True
        error = await refused(table.UnavailableError, platform.table.commit, [], [])
        assert not error.maybe_applied

    over_http(context, check)
    context.platform.table.faults.down = False


@behave.then("a write to an address nobody listens on was not applied")
def nobody(context):
    async def main():
        async with client.connect(config()) as platform:
            error = await refused(table.UnavailableError, platform.table.commit, [], [])
            assert not error.maybe_applied

    trio.run(main)


@behave.given("a guarded platform in virtual time")
def guarded(context):
    context.reserves = dict(budget.RESERVED_BURST_RATIOS)


@behave.when("a hundred batch writes wait")
def hundred(context):
    context.waited = control_wait()
    try:
        budget.RESERVED_BURST_RATIOS[budget.Lane.BATCH] = 0.0
        context.waited_unreserved = control_wait(budget.Lane.BATCH)
    finally:
        budget.RESERVED_BURST_RATIOS.update(context.reserves)


def control_wait(lane=budget.Lane.CONTROL):
    async def main():
        services = memory.Platform()
        platform = guard.Platform(guard.Guard(config(timeout_s=60.0)), services)
        batch = platform.table_in(budget.Lane.BATCH)
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(batch.commit, [], [])
            await trio.sleep(1)
            start = trio.current_time()
            await platform.table_in(lane).commit([], [])
            nursery.cancel_scope.cancel()
        return trio.current_time() - start

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("a control write is sent within a tenth of a second")
def control_sent(context):
    assert context.waited <= 0.1, context.waited


@behave.then("without reserved lanes it waits behind them")
def control_waits(context):
    assert context.waited_unreserved > 1.0, context.waited_unreserved


@behave.given("the platform bench")
def bench(context):
    logging.getLogger("turmerictally.store").setLevel("ERROR")
    context.report = platform_bench.main()


@behave.then("guarded hosts cause fewer refusals after an outage than unguarded ones")
def fewer(context):
    require(context.report, "refusals after the outage")


@behave.then("during an outage each guarded host sends only its probes")
def probes(context):
    require(context.report, "calls during the outage")


def require(report, name):
    matching = [check for check in report.checks if check.name == name]
    assert matching and all(check.ok for check in matching), matching


@behave.when("callers read at the full budget for a minute")
def polling(context):
    async def main():
        values = config(timeout_s=30.0)
        platform = guard.Platform(guard.Guard(values), memory.Platform())
        context.batch_reads, context.reads = [], 0
        context.rate = values.reads_per_s

        async def poll(lane, times):
            rows = platform.table_in(lane)
            while True:
                try:
                    await rows.get("jobs/a")
                except table.UnavailableError:
                    # It waited for the budget for the full call timeout.
                    continue
                times.append(trio.current_time())

        online_reads = []
        with trio.move_on_after(60.0):
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(poll, budget.Lane.ONLINE, online_reads)
                nursery.start_soon(poll, budget.Lane.BATCH, context.batch_reads)
        context.reads = len(online_reads) + len(context.batch_reads)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("a batch read is sent at least every {seconds:d} seconds")
def reads_sent(context, seconds):
    times = [
        *context.batch_reads,
        context.batch_reads[0] + 60.0 if context.batch_reads else 60.0,
    ]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)] or [60.0]
    # The run ends a minute after its start, at most one gap after the last read.
    assert max(gaps[:-1], default=60.0) <= seconds, max(gaps)
    assert len(context.batch_reads) >= 60 / seconds, len(context.batch_reads)


@behave.then("all reads together stay within the rate")
def within(context):
    assert context.reads <= context.rate * (60.0 + budget.BURST_S), context.reads
