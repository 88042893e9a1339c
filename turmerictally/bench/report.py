"""Define the report of one benchmark."""

import attrs


@attrs.frozen
class Check:
    """Tell whether one stated bound held."""

    name: str
    ok: bool
    detail: str = ""


@attrs.frozen
class Series:
    """Hold counts over time; ``values`` has one list for each name."""

    label: str
    times_s: list[float]
    values: dict[str, list[float]]


@attrs.define
class Report:
    """Hold the measured rows of a benchmark and its checks against bounds.

    A plot shows the ``series``, if there are any, and otherwise the rows.
    """

    name: str
    series: list[Series] = attrs.Factory(list)
    rows: list[dict] = attrs.Factory(list)
    checks: list[Check] = attrs.Factory(list)

    def check(self, name: str, ok: bool, detail: str = "") -> None:
        """Add one check."""
        self.checks.append(Check(name, ok, detail))

    @property
    def ok(self) -> bool:
        """Return whether every check held."""
        return all(check.ok for check in self.checks)

    def text(self) -> str:
        """Return the rows as a table, followed by a line for each check."""
        lines = _table(self.rows)
        for check in self.checks:
            verdict = "ok" if check.ok else "FAILED"
            lines.append(f"{verdict}: {check.name}: {check.detail}")
        return "\n".join(lines)


def _table(rows: list[dict]) -> list[str]:
    if not rows:
        return []
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [names] + [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    ]


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)
