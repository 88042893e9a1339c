"""Draw a benchmark's rows into a file."""

import importlib

from turmerictally.bench import report

LIBRARY = "matplotlib"
PANEL_INCHES = 3.0


class MissingLibraryError(Exception):
    """Report that the plotting library is not installed."""


def draw(result: report.Report, path: str) -> None:
    """Draw one panel for each series, or for each figure that the rows share.

    Raises ``MissingLibraryError`` without the optional plotting library.
    """
    try:
        matplotlib = importlib.import_module(LIBRARY)
        figures = importlib.import_module(f"{LIBRARY}.figure")
    except ImportError as error:
        raise MissingLibraryError(f"install {LIBRARY} to draw") from error
    matplotlib.use("Agg")
    panels = result.series or _numeric(result.rows)
    height = PANEL_INCHES * max(1, len(panels))
    figure = figures.Figure(figsize=(8, height), layout="constrained")
    figure.suptitle(result.name)
    if result.series:
        _draw_series(figure, result.series)
    else:
        _draw_bars(figure, result.rows, panels)
    figure.savefig(path)


def _draw_series(figure, series: list[report.Series]) -> None:
    for index, each in enumerate(series):
        axes = figure.add_subplot(len(series), 1, index + 1)
        for name, values in each.values.items():
            axes.plot(each.times_s, values, label=name)
        axes.set_title(each.label)
        axes.set_xlabel("s")
        axes.legend(loc="upper right")


def _draw_bars(figure, rows: list[dict], names: list[str]) -> None:
    labels = [_label(row) for row in rows]
    for index, name in enumerate(names):
        axes = figure.add_subplot(len(names), 1, index + 1)
        values = [row.get(name) or 0 for row in rows]
        axes.barh(range(len(values)), values)
        axes.set_yticks(range(len(labels)), labels)
        axes.invert_yaxis()
        axes.set_xlabel(name)


def _numeric(rows: list[dict]) -> list[str]:
    names = dict.fromkeys(name for row in rows for name in row)
    return [name for name in names if any(_is_number(row.get(name)) for row in rows)]


def _label(row: dict) -> str:
    parts = [str(value) for value in row.values() if isinstance(value, str)]
    return " ".join(parts)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
