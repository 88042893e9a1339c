"""Run an entry host on the users' platform."""

import gc
import importlib
import os
import signal
import types


def main() -> None:
    """Run the host; SIGHUP ends it at no time, SIGTERM as a planned stop at any."""
    signal.signal(signal.SIGTERM, _end)
    # What modules make stays; collections meanwhile find nothing and take a tenth.
    gc.disable()
    # The modules take most of a second to load, and the host can reload only then.
    # Nothing is lost: the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("turmerictally.platform.deployment").main()


def _end(number: int, frame: types.FrameType | None) -> None:
    """End a host that does not serve yet, so that there is nothing to drain."""
    os._exit(0)


if __name__ == "__main__":
    main()
