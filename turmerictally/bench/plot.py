"""Draw a benchmark's rows into a file."""

import importlib

from turmerictally.bench import report

LIBRARY = "matplotlib"
PANEL_INCHES = 3.0


class MissingLibraryError(Exception):
    """Report that the plotting library is not installed."""


def draw(result: report.Report, path: str) -> None:
    """Draw one panel for each figure that the rows share, with a bar for each row.

    Raises ``MissingLibraryError`` without the optional plotting library.
    """
    try:
        matplotlib = importlib.import_module(LIBRARY)
        figures = importlib.import_module(f"{LIBRARY}.figure")
    except ImportError as error:
        raise MissingLibraryError(f"install {LIBRARY} to draw") from error
    matplotlib.use("Agg")
    names = _numeric(result.rows)
    labels = [_label(row) for row in result.rows]
    height = PANEL_INCHES * max(1, len(names))
    figure = figures.Figure(figsize=(8, height), layout="constrained")
    figure.suptitle(result.name)
    for index, name in enumerate(names):
        axes = figure.add_subplot(len(names), 1, index + 1)
        values = [row.get(name) or 0 for row in result.rows]
        axes.barh(range(len(values)), values)
        axes.set_yticks(range(len(labels)), labels)
        axes.invert_yaxis()
        axes.set_xlabel(name)
    figure.savefig(path)


def _numeric(rows: list[dict]) -> list[str]:
    names = dict.fromkeys(name for row in rows for name in row)
    return [name for name in names if any(_is_number(row.get(name)) for row in rows)]


def _label(row: dict) -> str:
    parts = [str(value) for value in row.values() if isinstance(value, str)]
    return " ".join(parts)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
