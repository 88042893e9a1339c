"""Run an entry host on the users' platform."""

import gc
import importlib
import os
import signal
import types


def main() -> None:
    """Run the host; SIGTERM stops it at any time, and SIGHUP never does."""
    signal.signal(signal.SIGTERM, _end)
    # Objects created by imports are kept, so collections during the imports free
    # nothing, and they take a tenth of the time.
    gc.disable()
    # The imports take most of a second, and the host can reload settings only after
    # them. Nothing is lost by ignoring SIGHUP: the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("turmerictally.platform.deployment").main()


def _end(number: int, frame: types.FrameType | None) -> None:
    """Exit at once: the host does not serve yet, so there is nothing to drain."""
    os._exit(0)


if __name__ == "__main__":
    main()
