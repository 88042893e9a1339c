"""Detect requests that were refused although their team was within its rate."""

import collections
import collections.abc
import json

import attrs

from turmerictally import clock

WINDOW_S = 10.0
MAX_WINDOWS = 6  # retained by each host
MAX_TEAMS_PER_WINDOW = 4000  # further teams are not counted

Rates = collections.abc.Mapping[str, float]


@attrs.define
class Tally:
    """Request counts of one team in one window."""

    offered: int = 0
    refused: int = 0


Windows = dict[int, dict[str, Tally]]


class RefusalCounts:
    """Count offered and refused requests per team in fixed windows of wall time."""

    def __init__(self, now: clock.Clock | None = None) -> None:
        self.clock = now or clock.Clock()
        self.windows: Windows = {}

    def count(self, team: str, *, refused: bool) -> None:
        """Count one request; ``refused`` if it exceeded the team's rate or burst."""
        number = int(self.clock.wall() / WINDOW_S)
        if number not in self.windows:
            self.windows[number] = {}
            for old in [n for n in self.windows if n <= number - MAX_WINDOWS]:
                del self.windows[old]
        teams = self.windows[number]
        if team not in teams and len(teams) >= MAX_TEAMS_PER_WINDOW:
            return
        tally = teams.setdefault(team, Tally())
        tally.offered += 1
        tally.refused += refused


def encode(windows: Windows) -> bytes:
    """Serialize windows for ``merge``."""
    rows = {
        number: {team: [tally.offered, tally.refused] for team, tally in teams.items()}
        for number, teams in windows.items()
    }
    return json.dumps(rows).encode()


def merge(encoded: collections.abc.Iterable[bytes]) -> Windows:
    """Return the sums over several hosts; raise ``ValueError`` for invalid input."""
    merged: Windows = {}
    try:
        for body in encoded:
            for number, teams in json.loads(body).items():
                window = merged.setdefault(int(number), {})
                _add_counts(window, teams)
    except (AttributeError, TypeError) as error:
        raise ValueError(f"expected encoded windows of counts, got: {error}") from error
    return merged


def refusals_within_rate(windows: Windows, rates: Rates) -> collections.Counter[str]:
    """Count refusals per team in windows in which the team did not exceed its rate.

    ``rates`` holds the fleet-wide requests per second of each team. Host clocks
    differ slightly, so single refusals near a window's edge may be missed or counted
    by mistake.
    """
    refusals: collections.Counter[str] = collections.Counter()
    for teams in windows.values():
        for team, tally in teams.items():
            max_requests = rates.get(team, 0.0) * WINDOW_S
            if tally.refused and tally.offered <= max_requests:
                refusals[team] += tally.refused
    return refusals


def _add_counts(window: dict[str, Tally], teams: dict[str, list[int]]) -> None:
    for team, (offered, refused) in teams.items():
        tally = window.setdefault(team, Tally())
        tally.offered += int(offered)
        tally.refused += int(refused)
