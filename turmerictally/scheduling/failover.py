"""Decide when a stream without a first event fails over to another backend server."""

import collections.abc

import attrs

from turmerictally.scheduling import placement

# Share of the latency objective to wait for the first event: the rest is enough for
# another server with a free slot.
OBJECTIVE_RATIO = 0.5
# The same as a multiple of the expected time to the first event, for slow services.
EXPECTED_FACTOR = 3.0
# Share of requests that may fail over: more would amplify an overload.
FAILOVER_RATIO = 0.05
MAX_CREDIT = 2.0  # failovers that a host may make at once after a quiet period
# Share of servers that must have spare slots; below it the fleet counts as full.
MIN_SPARE_RATIO = 0.2
# Free slots that make a server a failover target: other hosts see the same slots at
# the same time.
SPARE_SLOTS = 2


@attrs.define
class FailoverBudget:
    """Limit the number of failovers by a token bucket that requests refill."""

    credit: float = MAX_CREDIT
    failovers: int = 0

    def record_request(self) -> None:
        """Add a request's fraction of a failover to the bucket."""
        self.credit = min(MAX_CREDIT, self.credit + FAILOVER_RATIO)

    def try_spend(self, loads: collections.abc.Sequence[placement.ServerLoad]) -> bool:
        """Return whether a stream may fail over, and spend credit if so.

        ``loads`` are the service's other servers.
        """
        spare = sum(load.slots - load.total >= SPARE_SLOTS for load in loads)
        if self.credit < 1.0 or spare < max(1, MIN_SPARE_RATIO * len(loads)):
            return False
        self.credit -= 1.0
        self.failovers += 1
        return True


def first_event_timeout_s(objective_s: float, first_event_s: float) -> float:
    """Return the first-event timeout of a server.

    ``first_event_s`` is the server's expected time to the first event, 0 if unknown.
    """
    return max(OBJECTIVE_RATIO * objective_s, EXPECTED_FACTOR * first_event_s)
