"""Order batch items by deadline, with those that can still meet it first."""

import collections
import collections.abc

import attrs

# Weight of the latest completed item in the exponentially weighted averages.
SMOOTHING = 0.1
# Expected server time of an item before one has completed; the first one replaces it.
INITIAL_ITEM_S = 5.0
URGENCY_STEPS_PER_S = 10
LATE_OFFSET = 2**40  # in urgency steps: some thousand years


@attrs.define
class ItemEstimate:
    """Estimate the server time and the number of events of a complete item."""

    seconds: float = INITIAL_ITEM_S
    events: float = 0.0

    def record(self, seconds: float, events: int) -> None:
        """Add a completed item; ``seconds`` is scaled to a server of median speed."""
        if not events:
            return
        if not self.events:
            self.seconds, self.events = seconds, float(events)
        self.seconds += SMOOTHING * (seconds - self.seconds)
        self.events += SMOOTHING * (events - self.events)

    def remaining_s(self, events: int) -> float:
        """Return the expected remaining time of an item that has ``events`` so far."""
        if not self.events:
            return self.seconds
        return self.seconds * max(0.0, 1.0 - events / self.events)


@attrs.frozen
class Candidate:
    """Hold the sort inputs of an item.

    ``deadline`` is on the same clock as the ``now`` passed to ``sort_key``; ``events``
    counts those generated so far, and ``order`` is the arrival order.
    """

    deadline: float
    events: int
    order: int


def sort_key(
    candidate: Candidate, estimate: ItemEstimate, now: float
) -> tuple[bool, float, int, int]:
    """Return an item's sort key: the lowest starts first and is preempted last.

    Under overload, sorting by deadline alone would give every slot to items that miss
    their deadline anyway.
    """
    late = now + estimate.remaining_s(candidate.events) > candidate.deadline
    if late:
        # The item closest to completion frees its slot soonest.
        return True, 0.0, -candidate.events, candidate.order
    return False, candidate.deadline, -candidate.events, candidate.order


def urgency(candidate: Candidate, estimate: ItemEstimate, now: float) -> int:
    """Return an item's urgency, which hosts compare: the lowest starts first.

    It is the deadline in tenths of a second; late items come after all others.
    """
    late = now + estimate.remaining_s(candidate.events) > candidate.deadline
    return round(candidate.deadline * URGENCY_STEPS_PER_S) + late * LATE_OFFSET


def interleave_teams(
    ordered: collections.abc.Sequence[tuple[str, bool]],
    running: collections.abc.Mapping[str, int],
) -> list[int]:
    """Return item positions interleaved by team, the team with fewest running first.

    ``ordered`` gives each item's team and whether it is late, in ``sort_key`` order;
    ``running`` counts each team's running items. Items that can meet their deadline
    stay ahead of late ones. Without interleaving, a burst of one team's jobs with the
    earliest deadlines would delay the jobs of all other teams.
    """
    counts = collections.Counter(running)
    keys = []
    for position, (team, late) in enumerate(ordered):
        keys.append((late, counts[team], position))
        counts[team] += 1
    return [position for _, _, position in sorted(keys)]
