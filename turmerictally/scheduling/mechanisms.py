"""Name the scheduling mechanisms that can be switched off to measure their worth."""

import enum


class Mechanism(enum.Enum):
    """List the mechanisms by the names that settings use."""

    CONNECTED_PREFERENCE = "connected_preference"
    DOMAIN_PREFERENCE = "domain_preference"
    EARLY_DIGESTS = "early_digests"
    EJECTION = "ejection"
    FAILOVER = "failover"
    FAIR_SHARES = "fair_shares"
    ITEM_DEADLINE_ORDER = "item_deadline_order"
    ITEM_MOVES = "item_moves"
    LEARNED_SPEEDS = "learned_speeds"
    PROMPT_AFFINITY = "prompt_affinity"
    PROMPT_QUARANTINE = "prompt_quarantine"
    RELIABILITY = "reliability"
    REQUEST_QUARANTINE = "request_quarantine"
    TEAM_TURNS = "team_turns"
    WAIT_QUEUE = "wait_queue"


NAMES = tuple(sorted(mechanism.value for mechanism in Mechanism))


def parse(names: list[str]) -> frozenset[Mechanism]:
    """Return the mechanisms of these names; raises ``ValueError`` if one is unknown."""
    return frozenset(Mechanism(name) for name in names)
