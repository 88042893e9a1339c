"""Find refusals of requests that were inside their team's rate."""

import collections
import collections.abc
import json

import attrs

from turmerictally import clock

WINDOW_S = 10.0
WINDOWS = 6  # kept by each host
MAX_TEAMS = 4000  # in one window of one host

Rates = collections.abc.Mapping[str, float]


@attrs.define
class Tally:
    """Count a team's requests in one window."""

    offered: int = 0
    refused: int = 0


Windows = dict[int, dict[str, Tally]]


class RefusalCounts:
    """Count offered and refused requests by team and window of wall time."""

    def __init__(self, now: clock.Clock | None = None) -> None:
        self.clock = now or clock.Clock()
        self.windows: Windows = {}

    def count(self, team: str, *, refused: bool) -> None:
        """Count one request; ``refused`` for its rate or burst."""
        number = int(self.clock.wall() / WINDOW_S)
        if number not in self.windows:
            self.windows[number] = {}
            for old in [n for n in self.windows if n <= number - WINDOWS]:
                del self.windows[old]
        teams = self.windows[number]
        if team not in teams and len(teams) >= MAX_TEAMS:
            return
        tally = teams.setdefault(team, Tally())
        tally.offered += 1
        tally.refused += refused


def encode(windows: Windows) -> bytes:
    """Return windows in a form that ``merge`` reads."""
    rows = {
        number: {team: [tally.offered, tally.refused] for team, tally in teams.items()}
        for number, teams in windows.items()
    }
    return json.dumps(rows).encode()


def merge(encoded: collections.abc.Iterable[bytes]) -> Windows:
    """Return the sum over many hosts, or raise ``ValueError``."""
    merged: Windows = {}
    try:
        for part in encoded:
            for number, teams in json.loads(part).items():
                window = merged.setdefault(int(number), {})
                _add(window, teams)
    except (AttributeError, TypeError) as error:
        raise ValueError("not encoded windows") from error
    return merged


def refusals_within_rate(windows: Windows, rates: Rates) -> collections.Counter[str]:
    """Count refusals in windows in which the team stayed within its rate.

    ``rates`` is in requests a second over the fleet. Windows of hosts whose clocks
    differ overlap a little, so single refusals at an edge may be missed or added.
    """
    found: collections.Counter[str] = collections.Counter()
    for teams in windows.values():
        for team, tally in teams.items():
            allowed = rates.get(team, 0.0) * WINDOW_S
            if tally.refused and tally.offered <= allowed:
                found[team] += tally.refused
    return found


def _add(window: dict[str, Tally], teams: dict[str, list[int]]) -> None:
    for team, (offered, refused) in teams.items():
        tally = window.setdefault(team, Tally())
        tally.offered += int(offered)
        tally.refused += int(refused)
