"""Build an entry host for the users' platform."""

import collections.abc
import gc
import os
import signal
import sys

import trio

from turmerictally import log, settings
from turmerictally.cli import signals
from turmerictally.entry import host, network
from turmerictally.entry import settings as entry_settings
from turmerictally.platform import configuration, store, wire

SETTINGS_VARIABLE = "TURMERICTALLY_SETTINGS"
# Containers made and not freed since the last collection: some 2 MB at 200 bytes each.
COLLECT_AFTER_OBJECTS = 10_000

SCHEMA = host.PlatformSchema(
    configuration_table=configuration.CONFIGURATION_TABLE,
    configuration_key=configuration.CONFIGURATION_KEY,
    servers_table=configuration.SERVERS_TABLE,
    read_configuration=configuration.read_configuration,
    read_server=configuration.read_server,
    read_evacuation=configuration.read_evacuation,
)


def build(config: entry_settings.Settings) -> host.Host:
    """Return an entry host that speaks to the platform."""
    reach = network.SocketNetwork()
    address = config.store.url.removeprefix(entry_settings.STORE_SCHEME).rstrip("/")
    reached = store.connect(address, config.store.timeout_s, reach)
    return host.Host(config, SCHEMA, reached, wire.Wire(), reach)


def main(path: str | None = None) -> None:
    """Run one entry host on the users' platform.

    Without a path, the settings file is the one that the platform names.
    """
    log.setup("WARNING", json_lines=True)
    trio.run(_run, path or os.environ.get(SETTINGS_VARIABLE, ""))


async def _run(where: str) -> None:
    # Signals are kept from before the settings are read, so that no change is missed.
    with trio.open_signal_receiver(signal.SIGHUP) as hangups:
        try:
            served = build(entry_settings.load(where))
        except settings.SettingsError as error:
            sys.exit(str(error))
        _collect_rarely()
        async with trio.open_nursery() as nursery:
            await nursery.start(signals.stop_on_signal, served.stop)
            nursery.start_soon(_reload, hangups, served, where)
            await served.run()
            nursery.cancel_scope.cancel()


def _collect_rarely() -> None:
    """Leave what was built at the start out of collections, and collect seldom.

    With the interpreter's own thresholds they took 15% of a host's processor time.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS)
    gc.enable()


async def _reload(
    hangups: collections.abc.AsyncIterable[int], served: host.Host, where: str
) -> None:
    async for _ in hangups:
        served.reload(where)
