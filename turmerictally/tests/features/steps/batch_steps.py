from unittest import mock

import behave
import hypothesis
import hypothesis.strategies as st
import trio

from turmerictally import errors
from turmerictally.batch import (
    cancel,
    collector,
    files,
    jobs,
    ranges,
    reading,
    records,
)
from turmerictally.bench import batch
from turmerictally.config import model
from turmerictally.tests.support import batch_fleet as fleet

FENCING = (records.RANGES, records.WORKERS)


def started(nursery, **options):
    made = fleet.Fleet(nursery, **options)
    made.start()
    return made


@behave.when("a batch file with bad lines 2, 4 and 7 is uploaded in small chunks")
def _(context):
    lines = fleet.items(8)
    lines[1] = "{oops"
    lines[3] = {"custom_id": "x", "method": "POST", "url": "no-slash", "body": {}}
    lines[6] = lines[0]

    async def body(nursery):
        made = started(nursery)
        job = await made.accept(lines)
        kept = made.reader
        file = await files.get(kept, fleet.TEAM, job.file)
        return file, await made.follow(job.id), made.faults

    context.file, context.progress, context.faults = fleet.run(body)


@behave.then("exactly these batch lines are reported by number")
def _(context):
    assert [bad.line for bad in context.file.bad] == [2, 4, 7], context.file.bad


@behave.then("the other batch items complete and the counts add up")
def _(context):
    assert context.progress.counts == records.Counts(8, 5, 3), context.progress
    assert not context.faults, context.faults


@behave.when("a batch job is accepted for one team")
def _(context):
    async def body(nursery):
        made = fleet.Fleet(nursery)
        job = await made.accept(fleet.items(3))
        kinds = []
        for call in (
            lambda: files.get(made.reader, "rival", job.file),
            lambda: reading.progress(made.reader, "rival", job.id),
            lambda: cancel.request(made.reader, "rival", job.id),
        ):
            try:
                await call()
            except errors.Error as error:
                kinds.append(error.kind)
        return kinds

    context.kinds = fleet.run(body)


@behave.then("another team finds neither the batch file nor the job")
def _(context):
    assert context.kinds == [errors.Kind.NOT_FOUND] * 3, context.kinds


async def send_everywhere(made, file, key, answers, nursery):
    async def send(host):
        request = jobs.Request(file.id, "/v1/chat", 600.0, idempotency_key=key)
        try:
            job = await jobs.create(host.kept, made.given, fleet.CONTRACT, request)
            answers.append(job.id)
        except errors.Error as error:
            assert error.kind is errors.Kind.PLATFORM_UNAVAILABLE, error

    for host in made.hosts:
        nursery.start_soon(send, host)


def resend(key, seed):
    async def body(nursery):
        made = fleet.Fleet(nursery, seed=seed)
        upload = fleet.chunks(fleet.items(3))
        file = await files.upload(made.reader, made.given, fleet.TEAM, "f", upload)
        answers = []
        made.set_faults(lose_answer=0.5, lose_request=0.2)
        for _ in range(2):
            async with trio.open_nursery() as senders:
                await send_everywhere(made, file, key, answers, senders)
        made.set_faults(lose_answer=0.0, lose_request=0.0)
        rows = [k for k in made.platform.table.rows if k.startswith(records.JOBS)]
        active = made.platform.table.rows[f"{records.ACTIVE}{fleet.TEAM}"]
        return answers, rows, active.value["jobs"]

    return fleet.run(body, seed)


@behave.when("a batch job is sent at three hosts at once while answers are lost")
def _(context):
    context.resent = [resend("key", seed) for seed in range(10)]


@behave.then("every accepted answer names one batch job")
def _(context):
    for answers, rows, active in context.resent:
        assert answers and len(set(answers)) == 1, answers
        assert len(rows) == 1 and active == 1, (rows, active)


@behave.when("a batch job without a key is sent twice")
def _(context):
    context.resent = [resend("", 0)]


@behave.then("the check for one batch job fails")
def _(context):
    answers, rows, _ = context.resent[0]
    assert len(set(answers)) > 1 and len(rows) > 1


@behave.when("a batch job is sent during an outage")
def _(context):
    async def body(nursery):
        made = fleet.Fleet(nursery)
        upload = fleet.chunks(fleet.items(3))
        file = await files.upload(made.reader, made.given, fleet.TEAM, "f", upload)
        before = dict(made.platform.table.rows)
        made.set_faults(down=True)
        request = jobs.Request(file.id, "/v1/chat", 600.0)
        try:
            await jobs.create(made.hosts[0].kept, made.given, fleet.CONTRACT, request)
        except errors.Error as error:
            return error, before == made.platform.table.rows
        raise AssertionError("accepted during an outage")

    context.refusal, context.unchanged = fleet.run(body)


@behave.then("the batch refusal says not run and no row was written")
def _(context):
    assert context.refusal.kind is errors.Kind.PLATFORM_UNAVAILABLE
    assert context.refusal.ran is errors.Ran.NOT_RUN
    assert context.unchanged


@behave.when("the host that took a batch job is lost right after its answer")
def _(context):
    async def body(nursery):
        made = fleet.Fleet(nursery)
        job = await made.accept(fleet.items(30))
        made.hosts.pop(0)
        made.start()
        return await made.follow(job.id), made.faults

    context.progress, context.faults = fleet.run(body)


@behave.then("the batch job completes on other hosts")
def _(context):
    assert context.progress.counts == records.Counts(30, 30, 0)
    assert not context.faults, context.faults


STEP = st.tuples(
    st.floats(0.0, 15.0),
    st.sampled_from(["crash", "pause", "cut", "outage", "lose", "yield", "cancel"]),
    st.integers(0, 2),
    st.floats(0.5, 20.0),
)


async def apply_step(made, job, step, taken):
    at, action, number, seconds = step
    await trio.sleep(at)
    host = made.hosts[number]
    if action == "crash":
        await host.crash()
    elif action == "pause":
        await host.pause(seconds)
    elif action == "cut":
        await host.separate(seconds)
    elif action == "outage":
        await made.outage(seconds)
    elif action == "lose":
        await made.lose_answers(seconds)
    elif action == "yield":
        host.gate.yield_now()
    else:
        await take_cancel(made, job, host, taken)


async def take_cancel(made, job, host, taken):
    try:
        found = await host.executor.cancel(host.peers, fleet.TEAM, job.id)
        taken.append(found.state)
    except errors.Error as error:
        assert error.kind is errors.Kind.PLATFORM_UNAVAILABLE, error


async def run_schedule(nursery, seed, steps, unchecked=()):
    made = started(nursery, seed=seed, unchecked=unchecked)
    side = [fleet.item(f"s{n}", url="/side") for n in range(6)]
    job = await made.accept([*fleet.items(34), *side])
    taken = []
    for step in steps:
        nursery.start_soon(apply_step, made, job, step, taken)
    progress = await made.follow(job.id)
    ended = trio.current_time()
    await trio.sleep(60.0)
    after = await made.inspect(job.id)
    if after != progress:
        made.faults.append("a final job changed")
    check_end(made, progress, taken, ended)
    return made.faults


def check_end(made, progress, taken, ended):
    counts = progress.counts
    if progress.job.state is records.JobState.COMPLETED:
        if counts.completed + counts.failed != counts.total:
            made.faults.append("a completed job lacks results")
        if records.JobState.CANCELLING in taken:
            made.faults.append("a cancelled job completed")
    if any(at > ended for at, _, _ in made.sends):
        made.faults.append("an item started after the end")
    for number in range(6):
        if len(made.sends_of(f"s{number}")) > 1:
            made.faults.append("an item ran twice that may run once")


@behave.then("25 random schedules of batch faults break no promise")
def _(context):
    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(st.integers(0, 1000), st.lists(STEP, min_size=1, max_size=5))
    def check(seed, steps):
        async def body(nursery):
            return await run_schedule(nursery, seed, steps)

        faults = fleet.run(body, seed)
        assert not faults, faults

    check()


STEPS = ("crash before", "crash after", "pause before", "pause after", "lose answer")
CALLS = 36


async def run_step(nursery, call, step):
    made = fleet.Fleet(nursery, hosts=2, given=fleet.make_settings(part_s=1.0))
    job = await made.accept([*fleet.items(20), fleet.item("s0", url="/side")])
    made.hosts[0].plan = {made.hosts[0].calls + call: step}
    made.start()
    progress = await made.follow(job.id, limit_s=300.0)
    check_end(made, progress, [], trio.current_time())
    await trio.sleep(40.0)
    await made.inspect(job.id)
    return made.faults


@behave.then(
    "a crash, pause or lost answer at each batch platform call breaks no promise"
)
def _(context):
    for call in range(1, CALLS + 1):
        for step in STEPS:
            faults = fleet.run(lambda nursery: run_step(nursery, call, step))
            assert not faults, (call, step, faults)


@behave.then("random schedules of batch faults without fencing break a promise")
def _(context):
    def check(seed, steps):
        async def body(nursery):
            return await run_schedule(nursery, seed, steps, FENCING)

        return bool(fleet.run(body, seed))

    find = hypothesis.settings(
        max_examples=200,
        derandomize=True,
        phases=[hypothesis.Phase.generate],
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    strategy = st.tuples(st.integers(0, 1000), st.lists(STEP, min_size=1, max_size=5))
    hypothesis.find(strategy, lambda case: check(*case), settings=find)


def pause_holder(unchecked):
    async def body(nursery):
        given = fleet.make_settings(part_s=1.0, range_items=40)
        made = started(nursery, hosts=2, unchecked=unchecked, given=given)
        job = await made.accept(fleet.items(80))
        await trio.sleep(2.5)
        holder = next(host for host in made.hosts if host.executor.works)
        nursery.start_soon(holder.pause, 30.0)
        await made.follow(job.id)
        await trio.sleep(60.0)
        await made.inspect(job.id)
        return made.faults

    return [fault for seed in range(3) for fault in fleet.run(body, seed)]


@behave.when("a batch holder is paused past its lease and then commits")
def _(context):
    context.faults = pause_holder(())


@behave.when("a batch holder is paused past its lease and then commits without fencing")
def _(context):
    context.faults = pause_holder(FENCING)


@behave.then("no broken batch promise is seen")
def _(context):
    assert not context.faults, context.faults


@behave.then("a broken batch promise is seen")
def _(context):
    assert any("result" in fault for fault in context.faults), context.faults


def race_cancel(unchecked):
    """Cancel between the reads and the write of the host that completes."""

    async def body(nursery):
        made = fleet.Fleet(nursery, hosts=2, unchecked=unchecked)
        job = await made.accept(fleet.items(5))
        one, other = [host.kept for host in made.hosts]
        stored = await jobs.get(one, fleet.TEAM, job.id)
        seen = set()
        counts = records.Counts(5, 5, 0)
        await cancel.request(other, fleet.TEAM, job.id)
        await cancel.finish(other, made.given.batch, job.key)
        seen.add((await jobs.get(one, fleet.TEAM, job.id)).job.state)
        state = records.JobState.COMPLETED
        await jobs.finish(one, stored, state, counts, 60.0)
        seen.add((await jobs.get(one, fleet.TEAM, job.id)).job.state)
        return seen

    return fleet.run(body)


@behave.when("a batch job is cancelled at the moment it completes")
def _(context):
    context.states = race_cancel(())


@behave.when(
    "a batch job is cancelled at the moment it completes without conditional writes"
)
def _(context):
    context.states = race_cancel((records.JOBS, records.ACTIVE))


@behave.then("the batch job's final state never changes")
def _(context):
    assert context.states == {records.JobState.CANCELLED}, context.states


@behave.then("the batch job's final state changes")
def _(context):
    assert len(context.states) == 2, context.states


@behave.when("a running batch job is cancelled while peer calls are lost")
def _(context):
    async def body(nursery):
        made = started(nursery)
        job = await made.accept(fleet.items(300))
        await trio.sleep(8.0)
        made.network.lose_request = 1.0
        await made.hosts[0].executor.cancel(made.hosts[0].peers, fleet.TEAM, job.id)
        at = trio.current_time()
        progress = await made.follow(job.id)
        last = max(start for start, _, _ in made.sends)
        return progress, last - at, made.faults

    context.progress, context.last_start, context.faults = fleet.run(body)


@behave.then("no batch item starts later than 5 seconds after it")
def _(context):
    assert context.last_start <= 5.0, context.last_start
    assert context.progress.job.state is records.JobState.CANCELLED


@behave.then("the batch results so far stay readable")
def _(context):
    assert 0 < context.progress.counts.completed < 300, context.progress.counts
    assert not context.faults, context.faults


@behave.when(
    "a batch job is cancelled while one of its holders is cut off from everything"
)
def _(context):
    async def body(nursery):
        made = started(nursery, given=fleet.make_settings(range_items=100))
        job = await made.accept(fleet.items(600))
        await trio.sleep(3.0)
        lost = next(host for host in made.hosts[1:] if host.executor.works)
        lost.cut = True
        others = [host.name for host in made.hosts if host is not lost]
        made.network.separate([lost.name], others)
        at = trio.current_time()
        await made.hosts[0].executor.cancel(made.hosts[0].peers, fleet.TEAM, job.id)
        progress = await made.follow(job.id)
        ended = trio.current_time()
        await trio.sleep(60.0)
        starts = [start for start, name, _ in made.sends if name == lost.name]
        return progress, max(starts), at, ended, made.faults

    context.progress, context.last, context.at, context.ended, context.faults = (
        fleet.run(body)
    )


@behave.then("the batch job shows cancelling until that holder has stopped")
def _(context):
    assert context.progress.job.state is records.JobState.CANCELLED
    assert context.at < context.last < context.ended, (context.last, context.ended)
    assert not context.faults, context.faults


@behave.when("the host that took a batch cancellation is lost at once")
def _(context):
    async def body(nursery):
        made = started(nursery)
        job = await made.accept(fleet.items(200))
        await trio.sleep(5.0)
        await cancel.request(made.hosts[0].kept, fleet.TEAM, job.id)
        await made.hosts[0].crash()
        return await made.follow(job.id, limit_s=120.0), made.faults

    context.progress, context.faults = fleet.run(body)


@behave.then("the batch job still becomes cancelled")
def _(context):
    assert context.progress.job.state is records.JobState.CANCELLED
    assert not context.faults, context.faults


@behave.when("a batch job holds an item that kills its host")
def _(context):
    async def body(nursery):
        made = started(nursery)
        lines = fleet.items(30)
        lines[13] = fleet.item("poison", poison=True)
        job = await made.accept(lines)
        return await made.follow(job.id), made

    context.progress, context.fleet = fleet.run(body)


@behave.then("only that batch item fails and all others complete")
def _(context):
    assert context.progress.counts == records.Counts(30, 29, 1)
    assert not context.fleet.faults, context.fleet.faults
    kills = len(context.fleet.sends_of("poison"))
    most = ranges.POISON_TAKEOVERS + context.fleet.given.batch.max_tries
    assert kills <= most, kills
    assert b"worker_lost" in context.fleet.lines["poison"]


@behave.when("a batch job holds items that are refused, broken or name no model")
def _(context):
    async def body(nursery):
        made = started(nursery)
        lines = fleet.items(30)
        lines[3] = fleet.item("refused", refused=True)
        lines[4] = fleet.item("broken", broken=True)
        lines[5] = fleet.item("nameless", model_name="nope")
        job = await made.accept(lines)
        return await made.follow(job.id), made

    context.progress, context.fleet = fleet.run(body)


@behave.then("these batch items fail with their reasons and all others complete")
def _(context):
    made = context.fleet
    assert context.progress.counts == records.Counts(30, 27, 3)
    assert b'"status_code":422' in made.lines["refused"]
    assert b"backend_server_error" in made.lines["broken"]
    assert b"unknown_model" in made.lines["nameless"]
    assert len(made.sends_of("broken")) == made.given.batch.max_tries
    assert not made.sends_of("nameless") and not made.faults


@behave.when(
    "the host of an item that always fails is lost after each of its first two tries"
)
def _(context):
    async def body(nursery):
        made = started(nursery, given=fleet.make_settings(part_s=0.1))
        made.item_s = (0.05, 0.05)
        job = await made.accept([fleet.item("broken", broken=True)])
        nursery.start_soon(lose_senders, made)
        return await made.follow(job.id), made

    async def lose_senders(made):
        lost = 0
        while lost < 2:
            await trio.sleep(0.01)
            # By then the try has failed and is written, and no other one is under way.
            if made.sends and trio.current_time() - made.sends[-1][0] >= 0.3:
                name = made.sends[-1][1]
                await next(host for host in made.hosts if host.name == name).crash()
                lost += 1
                await sent_again(made)

    async def sent_again(made):
        sent = len(made.sends)
        while len(made.sends) == sent:
            await trio.sleep(0.01)

    context.progress, context.fleet = fleet.run(body)


@behave.then("the item was sent as often as it may fail, and has failed")
def _(context):
    made = context.fleet
    assert context.progress.counts == records.Counts(1, 0, 1)
    sends = made.sends_of("broken")
    assert sum(host.starts for host in made.hosts) > len(made.hosts), "none was lost"
    assert len(sends) == made.given.batch.max_tries, sends
    assert not made.faults


@behave.when("one host has not learned the configuration and one learns a model late")
def _(context):
    async def body(nursery):
        made = fleet.Fleet(nursery)
        made.hosts[0].view = model.View()
        made.hosts[1].view = model.View(version=1)
        made.start()
        job = await made.accept(fleet.items(100))
        await trio.sleep(4.0)
        made.hosts[1].view = made.hosts[2].view
        return await made.follow(job.id), made

    context.progress, context.fleet = fleet.run(body)


@behave.then("no batch item fails as unknown")
def _(context):
    assert context.progress.counts == records.Counts(100, 100, 0)
    assert not context.fleet.faults
    assert "h0" not in {name for _, name, _ in context.fleet.sends}


def lose_hosts():
    async def body(nursery):
        made = started(nursery)
        lines = [fleet.item(f"s{n}", url="/side") for n in range(40)]
        job = await made.accept(lines)
        for _ in range(3):
            await trio.sleep(2.0)
            busy = [host for host in made.hosts if host.executor.works]
            await (busy or made.hosts)[0].crash()
        return await made.follow(job.id), made

    return fleet.run(body)


@behave.when("batch items on a non-idempotent route meet lost hosts")
def _(context):
    context.progress, context.fleet = lose_hosts()


async def mark_nothing(claim, offsets):
    await trio.lowlevel.checkpoint()


@behave.when(
    "batch items on a non-idempotent route meet lost hosts without start records"
)
def _(context):
    with mock.patch.object(ranges.Claim, "mark_started", mark_nothing):
        context.progress, context.fleet = lose_hosts()


@behave.then("a batch item that may run once was sent twice")
def _(context):
    sent = [custom_id for _, _, custom_id in context.fleet.sends]
    assert len(sent) > len(set(sent))


@behave.when("a host with batch ranges is stopped as planned")
def _(context):
    async def body(nursery):
        made = started(nursery, given=fleet.make_settings(lease_s=1000.0))
        job = await made.accept(fleet.items(200))
        await trio.sleep(4.0)
        busy = [host for host in made.hosts if host.executor.works][0]
        await busy.executor.stop()
        return await made.follow(job.id, limit_s=300.0), made

    context.progress, context.fleet = fleet.run(body)


@behave.then("the batch job goes on without waiting for its lease")
def _(context):
    assert context.progress.counts == records.Counts(200, 200, 0)
    assert not context.fleet.faults, context.fleet.faults


@behave.when("the host that holds a batch range finds no capacity")
def _(context):
    async def body(nursery):
        made = fleet.Fleet(nursery, hosts=2)
        idle = made.hosts[0]
        made.hosts[0].gate.limiter.total_tokens = 0
        made.hosts[0].gate.free = lambda name: 1
        nursery.start_soon(made.hosts[0].run)
        job = await made.accept(fleet.items(10))
        await trio.sleep(5.0)
        assert idle.executor.works
        del made.hosts[0].gate.free
        nursery.start_soon(made.hosts[1].run)
        return await made.follow(job.id, limit_s=300.0), made

    context.progress, context.fleet = fleet.run(body)


@behave.then("another host completes the batch job")
def _(context):
    assert context.progress.counts == records.Counts(10, 10, 0)
    assert {name for _, name, _ in context.fleet.sends} == {"h1"}


@behave.then("each such batch item was sent at most once")
def _(context):
    sent = [custom_id for _, _, custom_id in context.fleet.sends]
    assert sent and len(sent) == len(set(sent))


@behave.then("batch items in doubt end as may have run")
def _(context):
    counts = context.progress.counts
    assert counts.failed > 0 and counts.completed > 0, counts
    assert counts.failed + counts.completed == 40, counts
    failed = [v for v in context.fleet.lines.values() if b"outcome_unknown" in v]
    assert len(failed) == counts.failed and not context.fleet.faults


@behave.when("capacity for batch items comes free on a host without ranges")
def _(context):
    async def body(nursery):
        made = fleet.Fleet(nursery, hosts=1)
        host = made.hosts[0]
        host.gate.free = lambda name: 0
        made.start()
        await made.accept(fleet.items(50))
        await trio.sleep(120.0)
        assert not made.sends
        del host.gate.free
        at = trio.current_time()
        await trio.sleep(5.0)
        return made.sends[0][0] - at

    context.delay = fleet.run(body)


@behave.then("a batch item starts within one second")
def _(context):
    assert context.delay <= 1.0, context.delay


@behave.when("batch slots are yielded again and again")
def _(context):
    async def body(nursery):
        made = started(nursery)
        job = await made.accept(fleet.items(60))

        async def burst():
            while True:
                await trio.sleep(0.45)
                for host in made.hosts:
                    host.gate.yield_now()

        nursery.start_soon(burst)
        progress = await made.follow(job.id)
        return progress, made.faults, sum(h.executor.tally.yielded for h in made.hosts)

    context.progress, context.faults, context.yielded = fleet.run(body)


@behave.then("every batch item completes")
def _(context):
    assert context.yielded > 60, context.yielded
    assert context.progress.counts == records.Counts(60, 60, 0)
    assert not context.faults, context.faults


@behave.when("the platform is down for 60 seconds during a batch job")
def _(context):
    async def body(nursery):
        given = fleet.make_settings(max_pending_results_bytes=2000, range_items=50)
        made = started(nursery, given=given)
        job = await made.accept(fleet.items(400))
        await trio.sleep(4.0)
        levels = []

        async def sample():
            while True:
                levels.extend(h.executor.tally.pending_bytes for h in made.hosts)
                await trio.sleep(0.5)

        nursery.start_soon(sample)
        await made.outage(60.0)
        before = made.platform.table.writes.count
        await trio.sleep(10.0)
        written = made.platform.table.writes.count - before
        progress = await made.follow(job.id)
        return progress, made, max(levels), written

    context.progress, context.fleet, context.level, context.written = fleet.run(body)


@behave.then("the batch results held in memory stay bounded")
def _(context):
    in_flight = context.fleet.given.batch.max_concurrent_items
    assert context.level <= 2000 + in_flight * 300, context.level


@behave.then("the batch job completes without repeating finished items")
def _(context):
    assert context.progress.counts == records.Counts(400, 400, 0)
    assert not context.fleet.faults, context.fleet.faults
    assert len(context.fleet.sends) <= 400 * 1.05, len(context.fleet.sends)


@behave.then("the batch writes after the outage stay within the budget")
def _(context):
    assert context.written <= 3 * 20 * 10, context.written


@behave.when("a batch job's retention ends")
def _(context):
    async def body(nursery):
        made = started(nursery, given=fleet.make_settings(retention_s=8000.0))
        job = await made.accept(fleet.items(20))
        await made.follow(job.id)
        await trio.sleep(8001.0)
        try:
            await made.inspect(job.id)
        except errors.Error as error:
            kind = error.kind
        for host in made.hosts:
            made.nursery.start_soon(collect, host, made)
        await trio.sleep(300.0)
        return kind, made

    async def collect(host, made):
        await collector.Collector(host.kept, made.given.batch, host.name).run()

    context.kind, context.fleet = fleet.run(body)


@behave.then("its results are refused as expired and deleted")
def _(context):
    assert context.kind is errors.Kind.RESULT_EXPIRED
    assert not context.fleet.platform.objects.stored
    left = [key.split("/")[0] for key in context.fleet.platform.table.rows]
    assert set(left) <= {"active-jobs", "batch-collector", "batch-workers"}, left


@behave.when("the batch benchmark runs")
def _(context):
    context.report = batch.main()


@behave.then("every bound of the batch benchmark holds")
def _(context):
    assert context.report.ok, context.report.text()


@behave.when("a batch job is larger than the fleet can complete in its window")
def _(context):
    async def body(nursery):
        made = started(nursery)
        job = await made.accept(fleet.items(2000), window_s=60.0)
        await trio.sleep(10.0)
        found = await reading.forecast(made.reader, fleet.TEAM, job.id, rate=40.0)
        shown = await reading.overview(made.reader, 40.0, limit=10)
        assert [line.ready.job for line in shown] == [job.id]
        assert shown[0].forecast.late_s > 0 and shown[0].done > 0
        return found, made.clock.wall()

    context.forecast, context.now = fleet.run(body)


@behave.then("the batch forecast shows it late long before its deadline")
def _(context):
    assert context.forecast.late_s > 0
    assert context.now < context.forecast.deadline - 40.0
