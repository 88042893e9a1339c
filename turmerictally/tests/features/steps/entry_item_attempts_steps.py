"""Steps for the failed attempts of batch items as their jobs change owners."""

import re

import behave
import trio

from turmerictally.entry import decoding, jobs
from turmerictally.scheduling import item_attempts, stream_origins
from turmerictally.store import rows
from turmerictally.tests.support import users_platform

HOSTS = 4
ITEMS = 2
MAX_DISTURBANCES = 8
RECORDED_S = 0.1  # after an answer: two digests, or a write
DOWN_S = 1.0
CUT_OFF_S = 5.0  # until another host has taken the job over
PLAY_S = 60.0
JOB = "j1"


def owner_of(world):
    """Return the number of the host that runs the job, None if there is none."""
    for number, served in world.hosts.items():
        if served.worker.owned_jobs.get(JOB) is not None:
            return number
    return None


async def kill(world, numbers):
    for number in numbers:
        world.kill_host(number)
    await trio.sleep(DOWN_S)
    for number in numbers:
        world.start_host(number)


async def killed(world, owner):
    await kill(world, [owner])


async def killed_with_others(world, owner):
    await kill(world, list(world.hosts))


async def stopped(world, owner):
    served = world.hosts[owner]
    served.stop()
    await served.ended.wait()
    world.start_host(owner)


async def cut_off(world, owner):
    await trio.sleep(CUT_OFF_S)
    world.store.refused.clear()


async def killed_without_store(world, owner):
    world.kill_host(owner)
    await trio.sleep(DOWN_S)
    world.store.refused.clear()
    world.start_host(owner)


DISTURBANCES = {
    "killed": killed,
    "killed with all other hosts": killed_with_others,
    "stopped in order": stopped,
    "cut off from the store": cut_off,
    "killed without a store": killed_without_store,
}


def refuse_owner(world):
    owner = owner_of(world)
    if owner is not None:
        world.store.refused.add(f"h{owner}")


def refuse_all(world):
    world.store.refused.update(f"h{number}" for number in range(HOSTS))


# What happens to the store right before a server answers.
BEFORE_ANSWERS = {
    "cut off from the store": refuse_owner,
    "killed without a store": refuse_all,
}


def fail_items(world, status, times, before_answer):
    """Let servers fail each item so often; return the times of their answers."""
    failed = []

    def status_of(run):
        if [name for name, _ in failed].count(run.request) >= times:
            return 200
        before_answer(world)
        failed.append((run.request, trio.current_time()))
        return status

    for server in world.servers.values():
        server.status_of = status_of
    return failed


async def results(world):
    """Return the results at a host that has them, none before that."""
    for number in list(world.hosts):
        caller = users_platform.Caller(world, number, ip=f"10.7.1.{number}")
        with trio.move_on_after(1.0):
            reply = await caller.ask(f"/-/lots/{JOB}?after=0", "GET", b"")
            if reply.status == 200:
                return reply.json()["results"]
    return []


def play(context, status, times, disturb, before_answer=lambda world: None):
    async def main(world):
        failed = fail_items(world, status, times, before_answer)
        body, context.items = users_platform.lot(world, count=ITEMS)
        await users_platform.Caller(world).ask("/night/x", body=body, request_id=JOB)
        disturbed = seen = 0
        with trio.move_on_after(PLAY_S):
            while len(await results(world)) < ITEMS:
                await trio.sleep(0.02)
                if len(failed) == seen or disturbed == MAX_DISTURBANCES:
                    continue
                await disturb(world, failed)
                disturbed += 1
                seen = len(failed)
        context.disturbed = disturbed
        context.results = await results(world)

    context.world = users_platform.play(main, hosts=HOSTS, servers=2)


def after_each_answer(disturbed):
    """Return what disturbs the owner shortly after its item failed."""

    async def disturb(world, failed):
        await trio.sleep(RECORDED_S)
        owner = owner_of(world)
        if owner is not None:
            await DISTURBANCES[disturbed](world, owner)

    return disturb


def play_disturbed(context, status, times, disturbed):
    before_answer = BEFORE_ANSWERS.get(disturbed, lambda world: None)
    play(context, status, times, after_each_answer(disturbed), before_answer)


@behave.when(
    "servers answer {status:d} to items, and after each answer the owner of their job "
    "is {disturbed}"
)
def fail_always(context, status, disturbed):
    play_disturbed(context, status, float("inf"), disturbed)


@behave.when(
    "servers answer 500 to items twice, and after each answer the owner of their job "
    "is {disturbed}"
)
def fail_twice(context, disturbed):
    play_disturbed(context, 500, 2, disturbed)


@behave.when("the store loses the answers to writes while servers answer 500 to items")
def lose_answers(context):
    async def lose(world, failed):
        world.store.faults.lose_answer = 0.5
        await trio.sleep(2.0)
        world.store.faults.lose_answer = 0.0

    play(context, 500, float("inf"), lose)


def states(context):
    return {result["id"]: result["state"] for result in context.results}


@behave.then("each item ran {count:d} times and is listed as {state}")
def ran_and_listed(context, count, state):
    assert context.disturbed, "nothing was disturbed"
    assert states(context) == dict.fromkeys(context.items, state), context.results
    runs = users_platform.counts(context.world.runs)
    assert runs == dict.fromkeys(context.items, count), runs


@behave.then("each item is listed as {state}")
def listed(context, state):
    assert context.disturbed, "nothing was disturbed"
    assert states(context) == dict.fromkeys(context.items, state), context.results


@behave.when("one owner saw {first:d} and another one {second:d}, and {heard}")
def two_owners(context, first, second, heard):
    logs = {1: item_attempts.AttemptLog(), 2: item_attempts.AttemptLog()}
    for ownership, count in ((1, first), (2, second)):
        for _ in range(count):
            logs[ownership].record_error(JOB, "i", ownership, 0.0)
    for _ in range(2 if heard.endswith("twice") else 1):
        for source, target in ((1, 2), (2, 1)):
            for name, values in logs[source].report((), 0.0).items():
                logs[target].merge(*item_attempts.read_digest(name, values))
    if "row" in heard:
        progress = jobs.SavedProgress()
        puts = jobs.attempts_puts(JOB, 1, logs[1].by_job.get(JOB, {}))
        for address, value in puts.items():
            jobs._add_progress(progress, rows.Row(address, value, 1))
        for item, attempts in progress.attempts.items():
            assert not logs[2].merge(JOB, item, attempts)
    context.totals = [log.find(JOB, "i").total for log in logs.values()]


@behave.then("each of them knows of {total:d} failed attempts")
def knows(context, total):
    assert context.totals == [total, total], context.totals


# As the version before reads keys of rows of progress.
KEY_BEFORE = re.compile(
    r"[^/]*/(?P<item>[^/]+)/(?P<version>[0-9]{1,16})/(?P<first>[0-9]{1,16})"
)


@behave.when(
    "the version before reads the saved progress of a job with failed attempts"
)
def read_before(context):
    origin = stream_origins.Origin("llm", "v1")
    events = [jobs.Progress("i", 1, 1, ["a", "b"], origin)]
    attempts = {"i": item_attempts.Attempts({1: 2})}
    context.puts, _ = jobs.progress_puts(JOB, events)
    context.puts |= jobs.attempts_puts(JOB, 1, attempts)
    context.read, context.passed_over = [], 0
    for address, value in context.puts.items():
        if KEY_BEFORE.fullmatch(address.key) is None:
            context.passed_over += 1
            # Its reader reports such a row and goes on with the next one.
            try:
                jobs._read_progress(rows.Row(address, value, 1))
            except decoding.DecodeError:
                continue
        context.read.append(jobs._read_progress(rows.Row(address, value, 1)))


@behave.then("it has the events, and deletes all rows with the job")
def events_only(context):
    assert [part.event_data for part in context.read] == [["a", "b"]]
    assert context.passed_over == 1
    for address in context.puts:
        assert (address.table, address.part) == (jobs.PROGRESS, jobs.shard(JOB))
        assert f"{JOB}/" <= address.key < f"{JOB}0"


@behave.when("a job of {count:d} items succeeds")
def succeeds(context, count):
    async def main(world):
        body, _ = users_platform.lot(world, count=count)
        await users_platform.Caller(world).ask("/night/x", body=body, request_id=JOB)
        with trio.fail_after(PLAY_S):
            while len(await results(world)) < count:
                await trio.sleep(0.1)

    context.world = users_platform.play(main, hosts=2, servers=2)


@behave.then("no row of failed attempts was written")
def none_written(context):
    keys = [row.address.key for row in context.world.store.log]
    assert not [key for key in keys if key.endswith("/attempts")]
