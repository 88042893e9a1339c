"""Build an entry host for the users' platform."""

import collections.abc
import gc
import os
import signal
import sys

import trio

from turmerictally import log, settings, signals
from turmerictally.entry import host, network
from turmerictally.entry import settings as entry_settings
from turmerictally.platform import codec, configuration, store

SETTINGS_VARIABLE = "TURMERICTALLY_SETTINGS"
# Allocations minus deallocations between collections: about 2 MB at 200 bytes each.
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
    """Return an entry host that uses the platform's store and formats."""
    sockets = network.SocketNetwork()
    address = config.store.url.removeprefix(entry_settings.STORE_SCHEME).rstrip("/")
    row_store = store.connect(address, config.store.timeout_s, sockets)
    return host.Host(config, SCHEMA, row_store, codec.PlatformCodec(), sockets)


def main(path: str | None = None) -> None:
    """Run one entry host on the users' platform.

    Without a path, the settings file is the one that the platform names in the
    environment variable ``TURMERICTALLY_SETTINGS``.
    """
    log.setup("WARNING", json_lines=True)
    trio.run(_run, path or os.environ.get(SETTINGS_VARIABLE, ""))


async def _run(path: str) -> None:
    # SIGHUP is received from before the settings are read, so no change is missed.
    with trio.open_signal_receiver(signal.SIGHUP) as hangups:
        try:
            entry_host = build(entry_settings.load(path))
        except settings.SettingsError as error:
            sys.exit(str(error))
        _tune_gc()
        async with trio.open_nursery() as nursery:
            await nursery.start(signals.stop_on_signal, entry_host.stop)
            nursery.start_soon(_reload, hangups, entry_host, path)
            nursery.start_soon(entry_host.sample_stalls)
            await entry_host.run()
            nursery.cancel_scope.cancel()


def _tune_gc() -> None:
    """Exclude the objects built at startup from collections, and collect rarely.

    With the default thresholds, collections took 15% of a host's processor time.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS)
    gc.enable()


async def _reload(
    hangups: collections.abc.AsyncIterable[int], entry_host: host.Host, path: str
) -> None:
    async for _ in hangups:
        entry_host.reload(path)
