"""Map teams to their home slots and each home slot to its part of the limits."""

import functools
import hashlib

import attrs

from turmerictally.config import model

SLOTS_PREFIX = "limits/slots/"
LAYOUT_KEY = "limits/layout"
HOMES_CACHE_SIZE = 20_000


@attrs.frozen(cache_hash=True)
class Slot:
    """Name one limit slot of a failure domain."""

    domain: str
    index: int

    @property
    def key(self) -> str:
        """Return the key of the slot's row."""
        return f"{SLOTS_PREFIX}{self.domain}/{self.index:04d}"


@attrs.frozen
class QuotaShare:
    """Hold one home slot's part: tokens a second and tokens."""

    rate: float
    burst: float


NO_SHARE = QuotaShare(0.0, 0.0)


@attrs.frozen(cache_hash=True)
class SlotLayout:
    """Describe the fleet's slots; it must be the same on every host."""

    domains: tuple[str, ...]
    slots_per_domain: int
    shares_per_domain: int

    @property
    def size(self) -> int:
        """Return the number of slots of the fleet."""
        return len(self.domains) * self.slots_per_domain

    def slots(self, domain: str) -> list[Slot]:
        """Return every slot of a failure domain."""
        return [Slot(domain, index) for index in range(self.slots_per_domain)]

    def home_slots(self, contract: model.Contract) -> tuple[Slot, ...]:
        """Return the team's home slots, each owning at least one token of burst.

        A burst below the number of home slots uses fewer of them, so that a token
        is never split among hosts.
        """
        return tuple(quota_shares(self, contract))

    def share(self, contract: model.Contract, slot: Slot) -> QuotaShare:
        """Return the slot's part of the contract; the parts sum to the contract."""
        return quota_shares(self, contract).get(slot, NO_SHARE)

    def to_row(self) -> dict:
        """Return the layout as a JSON-compatible mapping."""
        return {
            "domains": sorted(self.domains),
            "slots_per_domain": self.slots_per_domain,
            "shares_per_domain": self.shares_per_domain,
        }


@functools.lru_cache(maxsize=HOMES_CACHE_SIZE)
def quota_shares(fleet: SlotLayout, contract: model.Contract) -> dict[Slot, QuotaShare]:
    """Return the part of each home slot, in the order of the homes."""
    ranked = rank_homes(fleet, contract.team)
    homes = ranked[: max(1, min(len(ranked), contract.burst))]
    whole, rest = divmod(contract.burst, len(homes))
    return {
        slot: QuotaShare(contract.rate / len(homes), float(whole + (place < rest)))
        for place, slot in enumerate(homes)
    }


@functools.lru_cache(maxsize=HOMES_CACHE_SIZE)
def rank_homes(layout: SlotLayout, team: str) -> tuple[Slot, ...]:
    """Return the team's possible home slots, alternating among failure domains."""
    domains = sorted(layout.domains, key=lambda domain: _score(team, domain))
    chosen = [_best_slots(layout, team, domain) for domain in domains]
    return tuple(
        slots[rank]
        for rank in range(layout.shares_per_domain)
        for slots in chosen
        if rank < len(slots)
    )


def _best_slots(layout: SlotLayout, team: str, domain: str) -> list[Slot]:
    slots = layout.slots(domain)
    slots.sort(key=lambda slot: _score(team, slot.key))
    return slots[: layout.shares_per_domain]


def _score(team: str, name: str) -> bytes:
    return hashlib.blake2b(f"{team}\0{name}".encode(), digest_size=8).digest()
