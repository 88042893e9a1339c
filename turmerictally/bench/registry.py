"""Find the benchmarks by name."""

import importlib
import pkgutil
import types

from turmerictally import bench


class OptionError(Exception):
    """Report a wrong option of a benchmark."""


def find() -> dict[str, types.ModuleType]:
    """Return the benchmark modules by their ``NAME``, in order."""
    found = {}
    for info in pkgutil.iter_modules(bench.__path__):
        module = importlib.import_module(f"{bench.__name__}.{info.name}")
        if hasattr(module, "NAME") and hasattr(module, "main"):
            found[module.NAME] = module
    return dict(sorted(found.items()))


def listing() -> str:
    """Return one line for each benchmark."""
    modules = find()
    width = max(len(name) for name in modules)
    return "\n".join(f"{n.ljust(width)}  {m.SUMMARY}" for n, m in modules.items())
