"""Map verbs of the command line to what they run."""

import sys

from turmerictally import settings

EXIT_INVALID = 2


def check(path: str) -> None:
    """Validate a settings file and print every fault."""
    read_settings(path)
    print(f"{path}: valid")


def read_settings(path: str) -> settings.Settings:
    """Return the settings of a file, or print its faults and exit."""
    try:
        return settings.load(path)
    except settings.SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_INVALID)


VERBS = {"check": check}
