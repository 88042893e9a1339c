"""Choose the home slots to request tokens from, and how many from each."""

import math
import random

import attrs

from turmerictally import clock as clocks
from turmerictally import settings
from turmerictally.limits import account as accounts
from turmerictally.limits import bucket, layout, leases

MIN_REQUEST = 1e-3  # tokens
MAX_BACKOFF_S = 8.0
OWN_DOMAIN_BONUS = 0.25  # fraction of a full bucket, for homes in this host's domain


@attrs.define
class Backoff:
    """Back-off from a host that does not respond; ``until`` is on the local clock."""

    until: float
    delay_s: float


class GrantPlanner:
    """Plan the grant requests of this host."""

    def __init__(
        self,
        lease_manager: leases.LeaseManager,
        clock: clocks.Clock,
        options: settings.Limits,
    ) -> None:
        self.leases = lease_manager
        self.clock = clock
        self.options = options
        self.backoffs: dict[str, Backoff] = {}
        # Seeded by host, so that hosts try equally good homes in different orders.
        self.rng = random.Random(lease_manager.me.host_id)

    def plan(
        self,
        account: accounts.TeamAccount,
        minimum: float,
        shortfall: float,
        min_homes: int,
    ) -> dict[str, list[tuple[accounts.SlotEstimate, float]]]:
        """Return the tokens to request from each holder's slots, by holder address.

        Plans for ``shortfall`` tokens and at least ``min_homes`` homes, preferring
        this host's failure domain. The plan is empty if the homes together are not
        expected to hold ``minimum`` tokens.
        """
        now = self.clock.monotonic()
        estimates = self.rank_homes(account, minimum, now)
        if min_homes > 1:  # after failed requests, every reachable home is tried
            estimates = self.reachable_homes(account, now)
        if sum(e.available(now) for e in estimates) + bucket.EPSILON < minimum:
            return {}
        plan: dict[str, list[tuple[accounts.SlotEstimate, float]]] = {}
        missing = shortfall
        for estimate in estimates:
            if missing <= bucket.EPSILON and min_homes <= 0:
                break
            available = estimate.available(now)
            if available < MIN_REQUEST:
                continue
            target = missing if missing > bucket.EPSILON else shortfall
            tokens = min(max(target, MIN_REQUEST), available)
            address = self.leases.known_holder_address(estimate.slot)
            plan.setdefault(address, []).append((estimate, tokens))
            missing -= tokens
            min_homes -= 1
        if len(plan) > math.ceil(shortfall) + 1 and not account.may_request_widely(now):
            return {}
        return plan

    def rank_homes(
        self, account: accounts.TeamAccount, cost: float, now: float
    ) -> list[accounts.SlotEstimate]:
        """Return the homes to request tokens from, best first.

        For a team over its limits these are the fewest whose burst covers the cost,
        to avoid many requests for fractions of a token.
        """
        estimates = self.reachable_homes(account, now)
        estimates.sort(key=lambda estimate: self._rank(estimate, now))
        if account.is_contended(now):
            return _fewest_covering(estimates, cost)
        return estimates

    def reachable_homes(
        self, account: accounts.TeamAccount, now: float
    ) -> list[accounts.SlotEstimate]:
        """Return the home slots whose holder is another, responding host."""
        return [
            estimate
            for slot, estimate in account.estimates.items()
            if self.leases.usable(slot, now) is None
            and estimate.skip_until <= now
            and self._is_reachable(slot, now)
        ]

    def reset_backoff(self, address: str) -> None:
        """Reset the back-off of a host that responded."""
        self.backoffs.pop(address, None)

    def back_off(self, address: str, now: float) -> None:
        """Start or double the back-off of a host that did not respond."""
        backoff = self.backoffs.get(address)
        next_delay_s = self.options.backoff_s
        if backoff is not None:
            next_delay_s = min(backoff.delay_s * 2, MAX_BACKOFF_S)
        self.backoffs[address] = Backoff(now + next_delay_s, next_delay_s)

    def _rank(self, estimate: accounts.SlotEstimate, now: float) -> tuple:
        available = estimate.available(now)
        score = available / max(1.0, estimate.share.burst)
        if estimate.slot.domain == self.leases.domain:
            score += OWN_DOMAIN_BONUS
        return available < 1.0, -round(score, 1), self.rng.random()

    def _is_reachable(self, slot: layout.Slot, now: float) -> bool:
        address = self.leases.known_holder_address(slot)
        if not address or address == self.leases.me.address:
            return False
        backoff = self.backoffs.get(address)
        return backoff is None or backoff.until <= now


def _fewest_covering(
    estimates: list[accounts.SlotEstimate], cost: float
) -> list[accounts.SlotEstimate]:
    """Return the shortest prefix of the estimates whose burst covers the cost."""
    covered = 0.0
    chosen = []
    for estimate in estimates:
        if covered >= cost:
            break
        chosen.append(estimate)
        covered += estimate.share.burst
    return chosen
