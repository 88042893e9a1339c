"""Define the report of one benchmark."""

import attrs


@attrs.frozen
class Check:
    """Tell whether one stated bound held."""

    name: str
    ok: bool
    detail: str = ""


@attrs.define
class Report:
    """Hold the measured rows of a benchmark and its checks against bounds."""

    name: str
    rows: list[dict] = attrs.Factory(list)
    checks: list[Check] = attrs.Factory(list)

    def check(self, name: str, ok: bool, detail: str = "") -> None:
        """Add one check."""
        self.checks.append(Check(name, ok, detail))

    @property
    def ok(self) -> bool:
        """Return whether every check held."""
        return all(check.ok for check in self.checks)
