"""Decide whether the owner of a batch job still works on it."""

import attrs

# An unreachable host counts as lost after this long if most hosts are reachable: it
# has failed, or it is cut off and most likely from the store too. Its items go on from
# their checkpoints, so that a mistake costs about a second of their work.
LOST_AFTER_S = 1.0
# If most hosts are not reachable, this one may be the one that is cut off.
MIN_DEAD_AFTER_S = 3.6  # two renewals of a host's row missed
# The same in renewal periods, which grow with the number of hosts.
DEAD_AFTER_RENEWALS = 2.4
# An owner without access to the store for this long loses its jobs: it cannot save
# results.
MAX_STORE_AGE_S = 2.5


@attrs.frozen
class OwnerEvidence:
    """Hold what a host knows of a job's owner.

    ``registered`` tells whether the owner's incarnation is the one of its row,
    ``store_age_s`` is the age of its last response from the store, ``silent_s`` the
    time since its last digest, or since this host's start if there was none, and
    ``row_age_s`` that since its row was last renewed.
    """

    registered: bool
    reachable: bool
    store_age_s: float
    silent_s: float
    row_age_s: float
    row_renewal_s: float
    reaches_majority: bool


def is_lost(evidence: OwnerEvidence) -> bool:
    """Return whether another host should take the owner's jobs over."""
    if evidence.reachable:
        return evidence.registered and evidence.store_age_s >= MAX_STORE_AGE_S
    if not evidence.registered:
        return True
    if evidence.reaches_majority:
        return evidence.silent_s >= LOST_AFTER_S
    limit_s = max(MIN_DEAD_AFTER_S, DEAD_AFTER_RENEWALS * evidence.row_renewal_s)
    return evidence.row_age_s >= limit_s
