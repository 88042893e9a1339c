"""Choose which home slots to ask for tokens, and for how many."""

import math
import random

import attrs

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.limits import account as accounts
from turmerictally.limits import bucket, layout, leases

MIN_ASK = 1e-3  # tokens
BACKOFF_MAX_S = 8.0
NEAR_BONUS = 0.25  # of a full bucket, by which a home in the own domain is preferred


@attrs.define
class Backoff:
    """Skip a host that does not answer; ``until`` is on the local clock."""

    until: float
    delay_s: float


class GrantPlanner:
    """Plan the asks of one host."""

    def __init__(
        self, held: leases.LeaseManager, clock: clocks.Clock, options: settings.Limits
    ) -> None:
        self.leases = held
        self.clock = clock
        self.options = options
        self.backoffs: dict[str, Backoff] = {}
        # Hosts try equally good homes in different orders.
        self.rng = random.Random(held.me.host_id)

    def plan(
        self, account: accounts.TeamAccount, least: float, short: float, width: int
    ) -> dict[str, list[tuple[accounts.SlotEstimate, float]]]:
        """Choose whom to ask for how much, own failure domain first.

        Returns nothing when the homes together cannot have the ``least`` needed.
        """
        now = self.clock.monotonic()
        estimates = self.choices(account, least, now)
        if width > 1:  # some homes failed, so all others are worth asking
            estimates = self.reachable(account, now)
        if sum(e.available(now) for e in estimates) + bucket.EPSILON < least:
            return {}
        plan: dict[str, list[tuple[accounts.SlotEstimate, float]]] = {}
        missing = short
        for estimate in estimates:
            if missing <= bucket.EPSILON and width <= 0:
                break
            available = estimate.available(now)
            if available < MIN_ASK:
                continue
            wanted = missing if missing > bucket.EPSILON else short
            part = min(max(wanted, MIN_ASK), available)
            address = self.leases.known_holder_address(estimate.slot)
            plan.setdefault(address, []).append((estimate, part))
            missing -= part
            width -= 1
        if len(plan) > math.ceil(short) + 1 and not account.may_gather(now):
            return {}
        return plan

    def choices(
        self, account: accounts.TeamAccount, cost: float, now: float
    ) -> list[accounts.SlotEstimate]:
        """Return the homes worth asking, best first.

        For a team above its limits these are the fewest whose burst covers the
        cost: it is not worth many asks for fractions of a token.
        """
        estimates = self.reachable(account, now)
        estimates.sort(key=lambda estimate: self._rank(estimate, now))
        if account.is_contended(now):
            return _fewest(estimates, cost)
        return estimates

    def reachable(
        self, account: accounts.TeamAccount, now: float
    ) -> list[accounts.SlotEstimate]:
        """Return the homes that other hosts hold and that answer."""
        return [
            estimate
            for slot, estimate in account.estimates.items()
            if self.leases.usable(slot, now) is None
            and estimate.skip_until <= now
            and self._answers(slot, now)
        ]

    def answered(self, address: str) -> None:
        """End the back-off of a host that answered."""
        self.backoffs.pop(address, None)

    def back_off(self, address: str, now: float) -> None:
        """Skip a host that did not answer, longer each time."""
        known = self.backoffs.get(address)
        delay = self.options.backoff_s
        if known is not None:
            delay = min(known.delay_s * 2, BACKOFF_MAX_S)
        self.backoffs[address] = Backoff(now + delay, delay)

    def _rank(self, estimate: accounts.SlotEstimate, now: float) -> tuple:
        available = estimate.available(now)
        score = available / max(1.0, estimate.part.burst)
        if estimate.slot.domain == self.leases.domain:
            score += NEAR_BONUS
        return available < 1.0, -round(score, 1), self.rng.random()

    def _answers(self, slot: layout.Slot, now: float) -> bool:
        address = self.leases.known_holder_address(slot)
        if not address or address == self.leases.me.address:
            return False
        backoff = self.backoffs.get(address)
        return backoff is None or backoff.until <= now


def _fewest(
    estimates: list[accounts.SlotEstimate], cost: float
) -> list[accounts.SlotEstimate]:
    """Return the first estimates whose burst covers the cost."""
    covered = 0.0
    chosen = []
    for estimate in estimates:
        if covered >= cost:
            break
        chosen.append(estimate)
        covered += estimate.part.burst
    return chosen
