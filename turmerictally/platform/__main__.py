"""Run an entry host on the users' platform."""

import importlib
import signal


def main() -> None:
    """Run the host; SIGHUP ends it at no time."""
    # The modules take most of a second to load, and the host can reload only then.
    # Nothing is lost: the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("turmerictally.platform.deployment").main()


if __name__ == "__main__":
    main()
