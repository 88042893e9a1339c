"""Steps for what a host costs beside its requests."""

import collections
import unittest.mock

import behave
import trio

from turmerictally.entry import gossip
from turmerictally.tests.support import users_platform

SETTLED_S = 2.0
LOOK_S = 0.01
APART_S = 0.3  # so that jobs change while hosts wait before they read again
LOOKING_S = 5.0


class Steps(trio.abc.Instrument):
    """Count how often tasks go on, by their names."""

    def __init__(self):
        self.counts = collections.Counter()

    def before_task_step(self, task):
        self.counts[task.name.rpartition(".")[2]] += 1


@behave.when("{count:d} hosts that know each other serve nobody for {seconds:d} s")
def serve_nobody(context, count, seconds):
    steps = Steps()

    async def main(world):
        await trio.sleep(SETTLED_S)
        trio.lowlevel.add_instrument(steps)
        calls = world.store.calls
        await trio.sleep(seconds)
        context.calls = (world.store.calls - calls) / count / seconds

    users_platform.play(main, hosts=count, servers=3)
    # The stand-in of the store wakes those who wait at each of its changes.
    del steps.counts["run"]
    context.steps = {n: c / count / seconds for n, c in steps.counts.items()}


@behave.then(
    "each makes at most {calls:d} store calls and its tasks go on at most {most:d} "
    "times a second"
)
def costs_little(context, calls, most):
    assert context.calls <= calls, context.calls
    assert sum(context.steps.values()) <= most, context.steps


@behave.when("{count:d} hosts among many run a job of {items:d} items each")
def run_jobs(context, count, items):
    context.late_s, context.made = [], {}

    async def main(world):
        await trio.sleep(SETTLED_S)
        for number in range(count):
            body, _ = users_platform.lot(world, items, name=f"j{number}-")
            await users_platform.Caller(world, number).ask(
                "/night/x", body=body, request_id=f"j{number}"
            )
            await trio.sleep(APART_S)
        known = [host.known_jobs.kept for host in world.hosts.values()]
        end = trio.current_time() + LOOKING_S
        while trio.current_time() < end:
            await trio.sleep(LOOK_S)
            note_late(context, known, trio.current_time())

    with unittest.mock.patch.object(gossip, "DIRECT_HOSTS", 1):
        users_platform.play(main, hosts=4, servers=2)


def note_late(context, known, now):
    """Note for how long hosts have lacked states that another host knows."""
    for kept in known:
        for job, each in kept.items():
            context.made.setdefault((job, each.version), now)
    for kept in known:
        for (job, version), at in context.made.items():
            if job not in kept or kept[job].version < version:
                context.late_s.append(now - at)


@behave.then("each other host knows each of its states within {most_s:g} s")
def knows_within(context, most_s):
    assert len(context.made) >= 10, context.made
    assert 0 < max(context.late_s) <= most_s, max(context.late_s)
