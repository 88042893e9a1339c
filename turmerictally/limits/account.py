"""Keep what one host knows of one team: cached grants, homes and demand."""

import math

import attrs
import trio

from turmerictally.config import model
from turmerictally.limits import bucket, layout

DEMAND_TAU_S = 1.0  # time constant of the demand estimate
FOUND_RATIO = 0.5  # of the expected tokens; fewer mean that other hosts take them
CONSECUTIVE_S = 1.0  # after a refusal, in which the next one is consecutive
CONTENDED_HOLD_S = 0.2  # of refusals, from which on a team is above its limits
GATHER_PER_S = 2.0
GATHER_BURST = 4
MIN_UNUSED = 1 / 32
UNUSED_DOUBLING_S = 3.0


@attrs.define
class CachedGrant:
    """Hold the unspent rest of a grant; ``expires`` is on the local clock."""

    ask_id: int
    slot: layout.Slot
    address: str
    left: float
    expires: float
    idle_at: float
    settle_early: bool


@attrs.define
class SlotEstimate:
    """Remember what a home slot had left when it last answered.

    Until ``skip_until`` nobody is known to hold the slot. ``unused`` is the part of
    its rate that other hosts leave, from 0 to 1.
    """

    slot: layout.Slot
    part: layout.QuotaShare
    left: float
    seen: float
    skip_until: float = -math.inf
    unused: float = 1.0

    def rate(self, now: float) -> float:
        """Return the tokens a second that other hosts are expected to leave."""
        recovered = self.unused * 2 ** ((now - self.seen) / UNUSED_DOUBLING_S)
        return self.part.rate * min(1.0, recovered)

    def available(self, now: float) -> float:
        """Return the tokens the slot is expected to have."""
        accrued = self.rate(now) * max(0.0, now - self.seen)
        return min(self.part.burst, self.left + accrued)

    def update(self, found: float, left: float, now: float) -> None:
        """Take over what an ask found there, and learn what others take."""
        expected = self.available(now)
        if found >= expected * FOUND_RATIO:
            self.unused = min(1.0, self.unused * 2)
        elif expected >= self.left + bucket.EPSILON:
            self.unused = max(MIN_UNUSED, self.unused / 2)
        self.left = left
        self.seen = now


@attrs.define
class TeamAccount:
    """Hold a team's state on this host.

    ``refuse_until`` is on the local clock: until then a request that finds no local
    token is refused without asking anyone; ``hold_s`` grows while asks are in vain.
    ``waiting`` is the cost of the requests
    that wait for the running ask.
    """

    contract: model.Contract
    estimates: dict[layout.Slot, SlotEstimate]
    used_at: float
    cached: list[CachedGrant] = attrs.Factory(list)
    refuse_until: float = -math.inf
    hold_s: float = 0.0
    waiting: float = 0.0
    demand: float = 0.0
    demand_at: float = -math.inf
    gathered_until: float = -math.inf
    settle_at: float = -math.inf
    lock: trio.Lock = attrs.Factory(trio.Lock)

    def count_demand(self, cost: float, now: float) -> None:
        """Add an arrival to the demand, in tokens a second, that decays with time."""
        elapsed = max(0.0, now - self.demand_at)
        self.demand *= math.exp(-elapsed / DEMAND_TAU_S)
        self.demand += cost / DEMAND_TAU_S
        self.demand_at = now
        self.used_at = now

    def was_refused(self, now: float) -> bool:
        """Tell whether a refusal now would be consecutive to another."""
        return now < self.refuse_until + CONSECUTIVE_S

    def is_contended(self, now: float) -> bool:
        """Tell whether the team counts as above its limits."""
        return self.was_refused(now) and self.hold_s >= CONTENDED_HOLD_S

    def may_gather(self, now: float) -> bool:
        """Tell whether many homes may be asked for fractions of tokens again.

        This bounds what a team at its limits costs; it passes ``GATHER_BURST`` at
        once and ``GATHER_PER_S`` steadily.
        """
        earliest = max(self.gathered_until, now)
        if earliest - now > GATHER_BURST / GATHER_PER_S:
            return False
        self.gathered_until = earliest + 1 / GATHER_PER_S
        return True

    def cached_level(self, now: float) -> float:
        """Return the unspent tokens of grants that have not expired."""
        return sum(grant.left for grant in self.cached if grant.expires > now)

    def spend_cached(self, amount: float, now: float) -> float:
        """Spend up to ``amount`` of the grants, soonest expiry first; return it."""
        spent = 0.0
        for grant in sorted(self.cached, key=lambda grant: grant.expires):
            if grant.expires <= now or spent >= amount:
                continue
            part = min(grant.left, amount - spent)
            grant.left -= part
            spent += part
        return spent

    def take_finished(self, now: float) -> list[CachedGrant]:
        """Remove and return the grants to settle: spent, or idle for too long."""
        finished = []
        kept = []
        for grant in self.cached:
            spent = grant.left <= bucket.EPSILON
            if grant.expires <= now or (spent and not grant.settle_early):
                continue
            if spent or grant.idle_at <= now:
                finished.append(grant)
            else:
                kept.append(grant)
        self.cached = kept
        return finished


def create(
    contract: model.Contract,
    fleet: layout.SlotLayout,
    now: float,
    known: TeamAccount | None,
) -> TeamAccount:
    """Return an account for a contract, keeping an older one's grants."""
    estimates = {}
    for slot in fleet.home_slots(contract):
        part = fleet.share(contract, slot)
        estimates[slot] = SlotEstimate(slot, part, part.burst, now)
    if known is None:
        return TeamAccount(contract, estimates, used_at=now)
    known.contract = contract
    known.estimates = estimates
    known.refuse_until = -math.inf
    known.hold_s = 0.0
    return known
