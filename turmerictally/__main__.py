"""Run the turmerictally command."""

import fire

from turmerictally.cli import commands


def main() -> None:
    """Run the verb given on the command line."""
    fire.Fire(commands.VERBS, name="turmerictally")


if __name__ == "__main__":
    main()
