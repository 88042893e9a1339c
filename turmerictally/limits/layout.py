"""Map teams to home slots and home slots to their share of the team's quota."""

import functools
import hashlib

import attrs

from turmerictally.config import model

SLOTS_PREFIX = "limits/slots/"
LAYOUT_KEY = "limits/layout"
QUOTA_CACHE_SIZE = 20_000


@attrs.frozen(cache_hash=True)
class Slot:
    """Identify a limit slot of a failure domain."""

    domain: str
    index: int

    @property
    def key(self) -> str:
        """Return the table key of the slot's row."""
        return f"{SLOTS_PREFIX}{self.domain}/{self.index:04d}"


@attrs.frozen
class QuotaShare:
    """Hold a home slot's share of a team's quota: tokens per second and tokens."""

    rate: float
    burst: float


NO_SHARE = QuotaShare(0.0, 0.0)


@attrs.frozen(cache_hash=True)
class SlotLayout:
    """Describe the fleet's limit slots; it must be the same on every host."""

    domains: tuple[str, ...]
    slots_per_domain: int
    shares_per_domain: int

    @property
    def size(self) -> int:
        """Return the number of slots in the fleet."""
        return len(self.domains) * self.slots_per_domain

    def slots(self, domain: str) -> list[Slot]:
        """Return all slots of a failure domain."""
        return [Slot(domain, index) for index in range(self.slots_per_domain)]

    def home_slots(self, contract: model.Contract) -> tuple[Slot, ...]:
        """Return the team's home slots, each with at least one token of burst.

        A team whose burst is below the number of possible home slots uses fewer of
        them, so that no token is split among hosts.
        """
        return tuple(quota_shares(self, contract))

    def share(self, contract: model.Contract, slot: Slot) -> QuotaShare:
        """Return the slot's share; a contract's shares add up to its rate and burst."""
        return quota_shares(self, contract).get(slot, NO_SHARE)

    def to_row(self) -> dict:
        """Return the layout as a JSON-compatible mapping."""
        return {
            "domains": sorted(self.domains),
            "slots_per_domain": self.slots_per_domain,
            "shares_per_domain": self.shares_per_domain,
        }


@functools.lru_cache(maxsize=QUOTA_CACHE_SIZE)
def quota_shares(
    layout: SlotLayout, contract: model.Contract
) -> dict[Slot, QuotaShare]:
    """Return the share of each home slot, in rank order."""
    ranked = rank_home_slots(layout, contract.team)
    home_slots = ranked[: max(1, min(len(ranked), contract.burst))]
    tokens_per_slot, remainder = divmod(contract.burst, len(home_slots))
    return {
        slot: QuotaShare(
            contract.rate / len(home_slots),
            float(tokens_per_slot + (position < remainder)),
        )
        for position, slot in enumerate(home_slots)
    }


@functools.lru_cache(maxsize=QUOTA_CACHE_SIZE)
def rank_home_slots(layout: SlotLayout, team: str) -> tuple[Slot, ...]:
    """Rank the team's possible home slots, alternating between failure domains."""
    domains = sorted(layout.domains, key=lambda domain: _hash_of(team, domain))
    candidates = [_best_slots(layout, team, domain) for domain in domains]
    return tuple(
        slots[rank]
        for rank in range(layout.shares_per_domain)
        for slots in candidates
        if rank < len(slots)
    )


def _best_slots(layout: SlotLayout, team: str, domain: str) -> list[Slot]:
    slots = layout.slots(domain)
    slots.sort(key=lambda slot: _hash_of(team, slot.key))
    return slots[: layout.shares_per_domain]


def _hash_of(team: str, name: str) -> bytes:
    return hashlib.blake2b(f"{team}\0{name}".encode(), digest_size=8).digest()
