"""Map verbs of the command line to what they run."""

import json
import logging
import sys
import typing

import trio

from turmerictally import demo as demo_module
from turmerictally import host, log, settings, signals
from turmerictally.cli import client, measure, standin, verbs
from turmerictally.entry import timeline
from turmerictally.platform import deployment

logger = logging.getLogger(__name__)


def check(path: str) -> None:
    """Validate a settings file and print every fault."""
    read_settings(path, sys.stdout)
    print(f"{path}: valid")


def serve(path: str) -> None:
    """Run one entry host from a settings file."""
    config = read_settings(path, sys.stderr)
    log.setup(config.log.level, config.log.json)
    trio.run(_serve, config)


def explain(
    id: str,
    log: str | None = None,
    operator: str | None = None,
    operator_key: str | None = None,
    json: bool = False,
) -> None:
    """Tell what the fleet decided for a request, item or job.

    With ``log``, a file of hosts' log lines or ``-`` for standard input, their story is
    told; without, the hosts are asked through the operators' listener.
    """
    if log is None:
        verbs.explain(id, operator, operator_key, json)
        return
    if log == "-":
        lines = timeline.parse(sys.stdin)
    else:
        with open(log, encoding="utf-8", errors="replace") as file:
            lines = timeline.parse(file)
    told = timeline.build_timeline(lines, str(id))
    if not told:
        client.fail(client.EXIT_INVALID, f"No line names {id}.")
    for line in told:
        print(line.text())


def demo(path: str | None = None) -> None:
    """Run a whole deployment on loopback: Dalisay's, or the one of a file."""
    log.setup("WARNING", False)
    try:
        deployment = demo_module.load(path)
    except settings.SettingsError as error:
        client.fail(client.EXIT_INVALID, str(error))
    trio.run(_demo, deployment)


def read_settings(path: str, output: typing.TextIO) -> settings.Settings:
    """Return the settings of a file, or print its faults and exit."""
    try:
        return settings.load(str(path))
    except settings.SettingsError as error:
        for fault in error.faults:
            print(fault, file=output)
        sys.exit(client.EXIT_INVALID)


async def _serve(config: settings.Settings) -> None:
    served = host.Host(config)
    async with trio.open_nursery() as nursery:
        await nursery.start(signals.stop_on_signal, served.stop)
        await served.run()
        nursery.cancel_scope.cancel()


async def _demo(deployment: demo_module.Deployment) -> None:
    running = demo_module.Demo(deployment)
    async with trio.open_nursery() as nursery:
        await nursery.start(signals.stop_on_signal, running.stop)
        nursery.start_soon(running.run)
        await running.ready.wait()
        print(json.dumps(running.summary()), flush=True)
        await running.stopped.wait()
        nursery.cancel_scope.cancel()


VERBS = {
    "check": check,
    "serve": serve,
    "entry": deployment.main,
    "demo": demo,
    "explain": explain,
    "contract": verbs.Contract(),
    "key": verbs.Key(),
    "job": verbs.Job(),
    "config": verbs.Config(),
    "host": verbs.Host(),
    "server": verbs.Server(),
    "order": verbs.Order(),
    "service": verbs.Service(),
    "route": verbs.Route(),
    "audit": verbs.audit,
    "status": verbs.status,
    "standin": standin.Standin(),
    "measures": verbs.measures,
    "bench": measure.bench,
}
