"""Read and write the table rows of limit slots."""

import attrs

from turmerictally.limits import layout
from turmerictally.store import table

MAX_LEVELS = 500  # teams whose levels one row carries


@attrs.frozen
class BucketLevel:
    """Hold a released bucket: tokens left and tokens still granted."""

    left: float
    granted: float


@attrs.frozen
class InitialLevels:
    """Tell how a new holder's buckets start.

    Teams outside ``levels`` start with what accrues in ``accrued_s`` seconds: the
    time in which nobody can have spent from their bucket.
    """

    accrued_s: float = 0.0
    levels: dict[str, BucketLevel] = attrs.field(factory=dict)


FULL_S = 1e9  # seconds of accrual that fill any bucket
FULL = InitialLevels(accrued_s=FULL_S)
EMPTY = InitialLevels(accrued_s=0.0)


@attrs.frozen
class Holder:
    """Identify the process that holds a slot; ``host_id`` is empty when free."""

    host_id: str
    instance: str
    address: str


NOBODY = Holder("", "", "")


@attrs.frozen
class SlotRow:
    """Hold a slot's row; ``epoch`` grows with each holder and fences older ones."""

    slot: layout.Slot
    holder: Holder
    epoch: int
    start: InitialLevels
    version: int

    @property
    def free(self) -> bool:
        """Tell whether nobody holds the slot."""
        return not self.holder.host_id


def absent(slot: layout.Slot) -> SlotRow:
    """Return the row of a slot that nobody has ever held."""
    return SlotRow(slot, NOBODY, 0, FULL, table.ABSENT)


def read(row: table.Row, slot: layout.Slot) -> SlotRow:
    """Return the slot row that ``write`` wrote."""
    value = row.value
    levels = {team: BucketLevel(*pair) for team, pair in value["levels"].items()}
    return SlotRow(
        slot=slot,
        holder=Holder(value["host"], value["instance"], value["address"]),
        epoch=value["epoch"],
        start=InitialLevels(value["accrued_s"], levels),
        version=row.version,
    )


def write(
    slot: layout.Slot, holder: Holder, epoch: int, start: InitialLevels
) -> table.Put:
    """Return the write of a slot's row."""
    levels = {team: [level.left, level.granted] for team, level in start.levels.items()}
    value = {
        "host": holder.host_id,
        "instance": holder.instance,
        "address": holder.address,
        "epoch": epoch,
        "accrued_s": start.accrued_s,
        "levels": levels,
    }
    return table.Put(slot.key, value)


def check(row: SlotRow) -> table.Check:
    """Return the check that a row has not changed since it was read."""
    return table.Check(row.slot.key, row.version)
