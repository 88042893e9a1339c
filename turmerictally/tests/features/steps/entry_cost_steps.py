"""Steps for what a host costs beside its requests."""

import collections
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest.mock

import behave
import trio

from turmerictally.entry import gossip
from turmerictally.tests.support import users_platform

ROOT = pathlib.Path(__file__).resolve().parents[4]
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
        known = [host.job_states.by_id for host in world.hosts.values()]
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


RARE = {"cattrs", "grpc", "httpx", "hypercorn", "prometheus_client", "quart", "yaml"}
LOAD = """
import sys
{}
print(*sys.modules)
"""
LOAD_HOST = """
import turmerictally.platform.__main__, turmerictally.platform.deployment
from turmerictally.entry import settings
settings.load(sys.argv[1])
"""


def modules_of(program, *arguments):
    command = [sys.executable, "-c", LOAD.format(program), *arguments]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return set(done.stdout.split())


@behave.when(
    "a host's program is loaded with its settings, and the library for its tasks alone"
)
def load_both(context):
    template = (ROOT / "deploy" / "entry.yaml").read_text(encoding="utf-8")
    template = re.sub(r"{{[#/][\w.]+}}\n", "", template)
    text = template.replace("{{ip}}:{{portRange.0}}", "10.0.0.1:82")
    text = text.replace("{{ip}}", "10.0.0.1").replace("{{provider.address}}", "10.1:1")
    text = re.sub(r"{{listen.\w+\|json}}", '"10.0.0.1:80"', text)
    text = re.sub(r"{{\w+\|json}}", '"a"', text).replace("10.1:1", "10.0.0.1:83")
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(re.sub(r"{{[\w.]+}}", "9", text))
        file.flush()
        context.host = modules_of(LOAD_HOST, file.name)
    context.library = modules_of("import trio")


@behave.then(
    "it loads at most {factor:g} times as many modules, and none for rare paths"
)
def loads_little(context, factor):
    assert "trio" in context.library and "turmerictally.entry.host" in context.host
    assert not RARE & context.host, RARE & context.host
    assert len(context.host) <= factor * len(context.library), (
        len(context.host),
        len(context.library),
    )
