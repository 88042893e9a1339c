"""Run the benchmarks from the command line."""

import inspect
import sys
import typing

from turmerictally.bench import plot as plots
from turmerictally.bench import registry

EXIT_BOUND = 1
EXIT_UNKNOWN = 2


def bench(
    name: str | None = None, plot: str | None = None, **options: typing.Any
) -> None:
    """Run one benchmark, or list them; ``--plot FILE`` draws the result.

    Other options are those of the benchmark. Exits with 1 when a bound does not hold.
    """
    if name is None:
        print(registry.listing())
        return
    modules = registry.find()
    if name not in modules:
        print(f"unknown benchmark {name}; there are:", file=sys.stderr)
        print(registry.listing(), file=sys.stderr)
        sys.exit(EXIT_UNKNOWN)
    run = modules[name].main
    try:
        inspect.signature(run).bind(**options)
    except TypeError as error:
        _exit_unknown(name, error)
    try:
        result = run(**options)
    except registry.OptionError as error:
        _exit_unknown(name, error)
    print(result.text())
    if plot is not None:
        _draw(result, plot)
    if not result.ok:
        sys.exit(EXIT_BOUND)


def _exit_unknown(name: str, error: Exception) -> typing.NoReturn:
    print(f"bench {name}: {error}", file=sys.stderr)
    sys.exit(EXIT_UNKNOWN)


def _draw(result, path: str) -> None:
    try:
        plots.draw(result, path)
    except plots.MissingLibraryError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_UNKNOWN)
