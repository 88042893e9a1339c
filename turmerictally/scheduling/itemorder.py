"""Order batch items by due time, those that can still meet it first."""

import collections
import collections.abc

import attrs

# Weight of the latest whole item in the expected time of one.
SMOOTHING = 0.1
# Expected seconds of an item before one has ended; the order is right soon after.
FIRST_GUESS_S = 5.0


@attrs.define
class Expected:
    """Expect the seconds of server time and the events of a whole item."""

    seconds: float = FIRST_GUESS_S
    events: float = 0.0

    def learn(self, seconds: float, events: int) -> None:
        """Take an item that ended whole, with its seconds at a usual server."""
        if not events:
            return
        if not self.events:
            self.seconds, self.events = seconds, float(events)
        self.seconds += SMOOTHING * (seconds - self.seconds)
        self.events += SMOOTHING * (events - self.events)

    def left_s(self, events: int) -> float:
        """Return the expected seconds of an item that has made so many events."""
        if not self.events:
            return self.seconds
        return self.seconds * max(0.0, 1.0 - events / self.events)


@attrs.frozen
class Candidate:
    """Hold what the order needs of an item; ``due`` and ``now`` share a clock."""

    due: float
    events: int
    order: int


def key(
    candidate: Candidate, expected: Expected, now: float
) -> tuple[bool, float, int, int]:
    """Return an item's sort key: the first in order runs first and leaves last.

    Under overload the earliest due time alone would spend every slot on items that
    are late whatever is done.
    """
    late = now + expected.left_s(candidate.events) > candidate.due
    if late:
        # What is nearest to its end frees its slot first.
        return True, 0.0, -candidate.events, candidate.order
    return False, candidate.due, -candidate.events, candidate.order


def by_turns(
    ordered: collections.abc.Sequence[tuple[str, bool]],
    running: collections.abc.Mapping[str, int],
) -> list[int]:
    """Return the positions of items so that teams take turns, the idlest first.

    ``ordered`` gives each item's team and whether it is late already, in order of
    ``key``. Those that can still be in time stay before the late ones. A burst of one
    team's jobs, due first as it came first, would otherwise hold up all others' jobs.
    """
    taken = collections.Counter(running)
    turns = []
    for position, (team, late) in enumerate(ordered):
        turns.append((late, taken[team], position))
        taken[team] += 1
    return [position for _, _, position in sorted(turns)]
