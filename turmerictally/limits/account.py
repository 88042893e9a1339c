"""Keep one host's state of a team: cached grants, slot estimates and demand."""

import math

import attrs
import trio

from turmerictally.config import model
from turmerictally.limits import bucket, layout

DEMAND_TIME_CONSTANT_S = 1.0  # of the exponentially decaying demand estimate
EXPECTED_RATIO = 0.5  # of the expected tokens; fewer mean that other hosts use them
CONSECUTIVE_REFUSAL_S = 1.0  # a refusal this soon after the last one is consecutive
CONTENDED_BACKOFF_S = 0.2  # a team counts as over its limits from this back-off on
WIDE_REQUESTS_PER_S = 2.0
WIDE_REQUEST_BURST = 4
MIN_UNUSED_RATIO = 1 / 32
UNUSED_DOUBLING_TIME_S = 3.0


@attrs.define
class CachedGrant:
    """Hold the remaining tokens of a grant from another host.

    Times are on the local clock: a grant with remaining tokens is settled at
    ``settle_if_idle_at``, before it ends at ``expires``. ``settle_early`` means
    that a spent grant is settled too, as it would keep its home slot from accruing.
    """

    request_id: int
    slot: layout.Slot
    address: str
    remaining: float
    expires: float
    settle_if_idle_at: float
    settle_early: bool


@attrs.define
class SlotEstimate:
    """Estimate a home slot's tokens from its last response.

    The slot is skipped until ``skip_until`` while its holder is unknown.
    ``unused_ratio`` is the fraction of its rate that other hosts leave unused.
    """

    slot: layout.Slot
    share: layout.QuotaShare
    remaining: float
    updated_at: float
    skip_until: float = -math.inf
    unused_ratio: float = 1.0

    def rate(self, now: float) -> float:
        """Return the tokens per second that other hosts probably leave unused."""
        recovered = self.unused_ratio * 2 ** (
            (now - self.updated_at) / UNUSED_DOUBLING_TIME_S
        )
        return self.share.rate * min(1.0, recovered)

    def available(self, now: float) -> float:
        """Return the number of tokens the slot is expected to hold."""
        accrued = self.rate(now) * max(0.0, now - self.updated_at)
        return min(self.share.burst, self.remaining + accrued)

    def update(self, available_at_home: float, remaining: float, now: float) -> None:
        """Apply a grant response and update the estimate of the other hosts' usage."""
        expected = self.available(now)
        if available_at_home >= expected * EXPECTED_RATIO:
            self.unused_ratio = min(1.0, self.unused_ratio * 2)
        elif expected >= self.remaining + bucket.EPSILON:
            self.unused_ratio = max(MIN_UNUSED_RATIO, self.unused_ratio / 2)
        self.remaining = remaining
        self.updated_at = now


@attrs.define
class TeamAccount:
    """Hold a team's rate limiting state on this host.

    Until ``refuse_until`` on the local clock, requests that find no local token are
    refused without a grant request. ``refusal_backoff_s`` grows with consecutive
    refusals. ``waiting_cost`` is the total cost of the requests that wait for tokens.
    """

    contract: model.Contract
    estimates: dict[layout.Slot, SlotEstimate]
    used_at: float
    grants: list[CachedGrant] = attrs.Factory(list)
    refuse_until: float = -math.inf
    refusal_backoff_s: float = 0.0
    waiting_cost: float = 0.0
    demand: float = 0.0
    demand_at: float = -math.inf
    wide_requests_until: float = -math.inf
    settle_at: float = -math.inf
    lock: trio.Lock = attrs.Factory(trio.Lock)

    def count_demand(self, cost: float, now: float) -> None:
        """Add a request to the decaying demand estimate, in tokens per second."""
        elapsed = max(0.0, now - self.demand_at)
        self.demand *= math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
        self.demand += cost / DEMAND_TIME_CONSTANT_S
        self.demand_at = now
        self.used_at = now

    def was_refused(self, now: float) -> bool:
        """Return whether a refusal now would follow closely on the last one."""
        return now < self.refuse_until + CONSECUTIVE_REFUSAL_S

    def is_contended(self, now: float) -> bool:
        """Return whether the team counts as over its limits."""
        return self.was_refused(now) and self.refusal_backoff_s >= CONTENDED_BACKOFF_S

    def may_request_widely(self, now: float) -> bool:
        """Return whether fractions of tokens may be requested from many homes again.

        Limits the messages caused by a team at its limits to ``WIDE_REQUESTS_PER_S``
        with a burst of ``WIDE_REQUEST_BURST``.
        """
        earliest = max(self.wide_requests_until, now)
        if earliest - now > WIDE_REQUEST_BURST / WIDE_REQUESTS_PER_S:
            return False
        self.wide_requests_until = earliest + 1 / WIDE_REQUESTS_PER_S
        return True

    def cached_tokens(self, now: float) -> float:
        """Return the remaining tokens of unexpired grants."""
        return sum(grant.remaining for grant in self.grants if grant.expires > now)

    def spend_cached(self, amount: float, now: float) -> float:
        """Spend up to ``amount``, earliest expiry first; return the amount spent."""
        spent = 0.0
        for grant in sorted(self.grants, key=lambda grant: grant.expires):
            if grant.expires <= now or spent >= amount:
                continue
            portion = min(grant.remaining, amount - spent)
            grant.remaining -= portion
            spent += portion
        return spent

    def pop_finished(self, now: float) -> list[CachedGrant]:
        """Remove and return the grants to settle: spent or idle for too long."""
        finished = []
        active = []
        for grant in self.grants:
            spent = grant.remaining <= bucket.EPSILON
            if grant.expires <= now or (spent and not grant.settle_early):
                continue
            if spent or grant.settle_if_idle_at <= now:
                finished.append(grant)
            else:
                active.append(grant)
        self.grants = active
        return finished


def create(
    contract: model.Contract,
    slot_layout: layout.SlotLayout,
    now: float,
    previous: TeamAccount | None,
) -> TeamAccount:
    """Return an account for a contract, keeping the grants of a previous one."""
    estimates = {}
    for slot in slot_layout.home_slots(contract):
        share = slot_layout.share(contract, slot)
        estimates[slot] = SlotEstimate(slot, share, share.burst, now)
    if previous is None:
        return TeamAccount(contract, estimates, used_at=now)
    previous.contract = contract
    previous.estimates = estimates
    previous.refuse_until = -math.inf
    previous.refusal_backoff_s = 0.0
    return previous
