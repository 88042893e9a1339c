"""Encode and decode the table rows of limit slots."""

import attrs

from turmerictally.limits import layout
from turmerictally.store import table

MAX_LEVELS = 500  # buckets stored in one row


@attrs.frozen
class BucketLevel:
    """Hold a released bucket's tokens and the tokens of its outstanding grants."""

    tokens: float
    granted: float


@attrs.frozen
class InitialLevels:
    """Define the initial levels of a new holder's buckets.

    Teams not in ``levels`` start with the tokens that accrue in ``accrued_s`` seconds,
    a time during which no host can have spent tokens from their buckets.
    """

    accrued_s: float = 0.0
    levels: dict[str, BucketLevel] = attrs.field(factory=dict)


FULL_ACCRUAL_S = 1e9  # long enough to fill any bucket
START_FULL = InitialLevels(accrued_s=FULL_ACCRUAL_S)
START_EMPTY = InitialLevels(accrued_s=0.0)


@attrs.frozen
class Holder:
    """Identify the process that holds a slot; ``host_id`` is empty if it is free."""

    host_id: str
    instance: str
    address: str


NO_HOLDER = Holder("", "", "")


@attrs.frozen
class SlotRow:
    """Hold a slot's row; ``epoch`` is the fencing token, incremented by each claim."""

    slot: layout.Slot
    holder: Holder
    epoch: int
    initial: InitialLevels
    version: int

    @property
    def free(self) -> bool:
        """Return whether no host holds the slot."""
        return not self.holder.host_id


def never_held(slot: layout.Slot) -> SlotRow:
    """Return the row of a slot that no host has ever held."""
    return SlotRow(slot, NO_HOLDER, 0, START_FULL, table.ABSENT)


def from_row(row: table.Row, slot: layout.Slot) -> SlotRow:
    """Decode a slot row written by ``to_put``."""
    value = row.value
    levels = {team: BucketLevel(*pair) for team, pair in value["levels"].items()}
    return SlotRow(
        slot=slot,
        holder=Holder(value["host"], value["instance"], value["address"]),
        epoch=value["epoch"],
        initial=InitialLevels(value["accrued_s"], levels),
        version=row.version,
    )


def to_put(
    slot: layout.Slot, holder: Holder, epoch: int, initial: InitialLevels
) -> table.Put:
    """Return the write operation for a slot's row."""
    levels = {
        team: [level.tokens, level.granted] for team, level in initial.levels.items()
    }
    value = {
        "host": holder.host_id,
        "instance": holder.instance,
        "address": holder.address,
        "epoch": epoch,
        "accrued_s": initial.accrued_s,
        "levels": levels,
    }
    return table.Put(slot.key, value)


def check_unchanged(row: SlotRow) -> table.Check:
    """Return a commit condition: the row has not changed since it was read."""
    return table.Check(row.slot.key, row.version)
