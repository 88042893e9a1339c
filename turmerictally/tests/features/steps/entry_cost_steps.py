"""Steps for a host's background work and the modules that it loads."""

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
STARTUP_S = 2.0
POLL_S = 0.01
SUBMIT_INTERVAL_S = 0.3  # so that jobs change between two reads of the hosts
OBSERVATION_S = 5.0


class StepCounter(trio.abc.Instrument):
    """Count task steps by the names of the tasks."""

    def __init__(self):
        self.counts = collections.Counter()

    def before_task_step(self, task):
        self.counts[task.name.rpartition(".")[2]] += 1


@behave.when(
    "{count:d} hosts that know each other receive no requests for {seconds:d} s"
)
def serve_nobody(context, count, seconds):
    steps = StepCounter()

    async def main(world):
        await trio.sleep(STARTUP_S)
        trio.lowlevel.add_instrument(steps)
        calls_before = world.store.calls
        await trio.sleep(seconds)
        context.calls = (world.store.calls - calls_before) / count / seconds

    users_platform.play(main, hosts=count, servers=3)
    # The stand-in store wakes everyone who waits for it at each change.
    del steps.counts["run"]
    context.steps = {n: c / count / seconds for n, c in steps.counts.items()}


@behave.then(
    "each makes at most {calls:d} store calls and {task_steps:d} task steps a second"
)
def costs_little(context, calls, task_steps):
    assert context.calls <= calls, context.calls
    assert sum(context.steps.values()) <= task_steps, context.steps


@behave.when("{count:d} hosts among many run a job of {items:d} items each")
def run_jobs(context, count, items):
    context.delays_s, context.first_seen_at = [], {}

    async def main(world):
        await trio.sleep(STARTUP_S)
        for number in range(count):
            body, _ = users_platform.lot(world, items, name=f"j{number}-")
            await users_platform.Caller(world, number).ask(
                "/night/x", body=body, request_id=f"j{number}"
            )
            await trio.sleep(SUBMIT_INTERVAL_S)
        states_by_host = [host.job_states.by_id for host in world.hosts.values()]
        end = trio.current_time() + OBSERVATION_S
        while trio.current_time() < end:
            await trio.sleep(POLL_S)
            record_delays(context, states_by_host, trio.current_time())

    with unittest.mock.patch.object(gossip, "MAX_DIRECT_HOSTS", 1):
        users_platform.play(main, hosts=4, servers=2)


def record_delays(context, states_by_host, now):
    """Record for how long hosts have lacked states that another host has."""
    for states in states_by_host:
        for job, state in states.items():
            context.first_seen_at.setdefault((job, state.version), now)
    for states in states_by_host:
        for (job, version), at in context.first_seen_at.items():
            if job not in states or states[job].version < version:
                context.delays_s.append(now - at)


@behave.then("every other host has each job state within {limit_s:g} s")
def has_within(context, limit_s):
    assert len(context.first_seen_at) >= 10, context.first_seen_at
    assert 0 < max(context.delays_s) <= limit_s, max(context.delays_s)


RARELY_NEEDED = {
    "cattrs",
    "grpc",
    "httpx",
    "hypercorn",
    "prometheus_client",
    "quart",
    "yaml",
}
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


@behave.when("a host's program is loaded with its settings, and trio alone")
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
    "the host loads at most {factor:g} times as many modules, and none that only rare "
    "paths need"
)
def loads_little(context, factor):
    assert "trio" in context.library and "turmerictally.entry.host" in context.host
    assert not RARELY_NEEDED & context.host, RARELY_NEEDED & context.host
    assert len(context.host) <= factor * len(context.library), (
        len(context.host),
        len(context.library),
    )
