"""Lease limit slots through the table, so that one host holds each at a time."""

import collections.abc
import logging
import math
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.config import model
from turmerictally.limits import held_slot, layout, rows
from turmerictally.store import table

logger = logging.getLogger(__name__)

SCAN_PER_HOST_S = 0.5  # table reads stay at two a second for the whole fleet
SCAN_MIN_S = 2.0
RETRY_S = 1.0
STOP_TRIES = 3

Contracts = collections.abc.Callable[[str], model.Contract | None]


class Membership(typing.Protocol):
    """Tell which hosts are believed to be live."""

    def live(self, domain: str) -> collections.abc.Collection[str]:
        """Return the ids of a failure domain's live hosts."""

    def count(self) -> int:
        """Return the number of live hosts of the fleet."""


@attrs.define
class RowObservation:
    """Remember since when, on the local clock, a row has been seen unchanged."""

    version: int
    since: float


class LeaseManager:
    """Hold this host's slots and know the holders of all others."""

    def __init__(
        self,
        me: rows.Holder,
        domain: str,
        slot_layout: layout.SlotLayout,
        store: table.Table,
        members: Membership,
        contracts: Contracts,
        clock: clocks.Clock,
        options: settings.Limits,
    ) -> None:
        self.me = me
        self.domain = domain
        self.slot_layout = slot_layout
        self.store = store
        self.members = members
        self.contracts = contracts
        self.clock = clock
        self.options = options
        self.held_slots: dict[layout.Slot, held_slot.HeldSlot] = {}
        self.used_epochs: dict[layout.Slot, int] = {}
        self.rows: dict[layout.Slot, rows.SlotRow] = {}
        self.sightings: dict[layout.Slot, RowObservation] = {}
        self.layout_agreed = False
        self.stopping = False
        self.renew_at = -math.inf
        self.failing = False

    @property
    def wait_factor(self) -> float:
        """Return by how much a wait exceeds another host's time for it."""
        drift = self.options.drift_ratio
        return (1 + drift) / (1 - drift)

    @property
    def knows_holders(self) -> bool:
        """Tell whether every slot of the fleet is known to be held."""
        known = sum(1 for row in self.rows.values() if row.holder.address)
        return known == self.slot_layout.size

    def usable(self, slot: layout.Slot, now: float) -> held_slot.HeldSlot | None:
        """Return a held slot unless its lease has ended on the local clock."""
        found = self.held_slots.get(slot)
        if found is None or now >= found.usable_until:
            return None
        return found

    def known_holder_address(self, slot: layout.Slot) -> str:
        """Return the address of the slot's last known holder, or an empty text."""
        row = self.rows.get(slot)
        return row.holder.address if row else ""

    def note_holder(self, slot: layout.Slot, address: str, epoch: int) -> None:
        """Take over a holder that a peer named, if it is newer."""
        known = self.rows.get(slot, rows.absent(slot))
        if address and epoch > known.epoch:
            named = rows.Holder(address, "", address)
            self.rows[slot] = attrs.evolve(known, holder=named, epoch=epoch)

    async def run(self) -> None:
        """Keep the leases until cancelled."""
        while True:
            pause = RETRY_S
            try:
                changed = await self.reconcile()
                pause = RETRY_S if changed else self._scan_interval()
                self._note_success()
            except table.ConflictError:
                logger.debug("Lost a race for limit slots")
            except (table.UnavailableError, errors.Error) as error:
                self._note_failure(error)
            await trio.sleep(pause)

    async def reconcile(self) -> bool:
        """Read all rows, then renew, release and claim; tell if slots moved."""
        if self.stopping:
            return False
        await self._agree_on_layout()
        await self._scan()
        self._drop_lost()
        await self._renew()
        released = await self._release_surplus()
        claimed = await self._claim()
        return released or claimed

    async def stop(self) -> None:
        """Release every slot with its levels, for a planned stop.

        A renewal under way when the stop begins may change the rows meanwhile.
        """
        self.stopping = True
        leaving, self.held_slots = self.held_slots, {}
        for _ in range(STOP_TRIES):
            try:
                await self._hand_back(leaving)
                return
            except table.ConflictError:
                await self._scan()
                leaving = self._still_mine(leaving)

    async def release_dead_host(self, host_id: str) -> int:
        """Free the slots of a host that an operator has declared dead.

        The host must not run any more: what it spent is not known, so the buckets
        start empty. Returns the number of slots freed.
        """
        await self._scan()
        lost = [row for row in self.rows.values() if row.holder.host_id == host_id]
        if not lost:
            return 0
        writes = [_free(row, rows.EMPTY) for row in lost]
        await self.store.commit([rows.check(row) for row in lost], writes)
        logger.info("Freed %d limit slots of dead host %s", len(lost), host_id)
        return len(lost)

    def _note_failure(self, error: Exception) -> None:
        if not self.failing:
            logger.warning("Could not keep limit slots: %s", error)
        self.failing = True

    def _note_success(self) -> None:
        if self.failing:
            logger.info("Limit slots are kept again")
        self.failing = False

    def _scan_interval(self) -> float:
        wanted = self.members.count() * SCAN_PER_HOST_S
        return min(self.options.renew_s, max(SCAN_MIN_S, wanted))

    async def _agree_on_layout(self) -> None:
        if self.layout_agreed:
            return
        found = await self.store.get(layout.LAYOUT_KEY)
        if found is None:
            put = table.Put(layout.LAYOUT_KEY, self.slot_layout.to_row())
            check = table.Check(layout.LAYOUT_KEY, table.ABSENT)
            await self.store.commit([check], [put])
        elif found.value != self.slot_layout.to_row():
            raise errors.Error(
                errors.Kind.CONFLICT, "The table holds another layout of limit slots."
            )
        self.layout_agreed = True

    async def _scan(self) -> None:
        found = await self.store.scan(layout.SLOTS_PREFIX, limit=self.slot_layout.size)
        now = self.clock.monotonic()
        by_key = {row.key: row for row in found}
        for domain in self.slot_layout.domains:
            for slot in self.slot_layout.slots(domain):
                self._see(slot, by_key.get(slot.key), now)

    def _see(self, slot: layout.Slot, row: table.Row | None, now: float) -> None:
        known = rows.read(row, slot) if row else rows.absent(slot)
        self.rows[slot] = known
        seen = self.sightings.get(slot)
        if seen is None or seen.version != known.version:
            self.sightings[slot] = RowObservation(known.version, now)

    def _drop_lost(self) -> None:
        now = self.clock.monotonic()
        for slot, mine in list(self.held_slots.items()):
            row = self.rows[slot]
            if not self._is_mine(row) or row.epoch != mine.epoch:
                logger.warning("Lost limit slot %s", slot.key)
                del self.held_slots[slot]
            elif now >= mine.usable_until:
                logger.warning("Lease of limit slot %s ended", slot.key)
                del self.held_slots[slot]
            else:
                mine.version = row.version

    def _is_mine(self, row: rows.SlotRow) -> bool:
        mine = self.me
        return (row.holder.host_id, row.holder.instance) == (
            mine.host_id,
            mine.instance,
        )

    async def _renew(self) -> None:
        now = self.clock.monotonic()
        mine = [row for row in self.rows.values() if self._is_mine(row)]
        if not mine:
            return
        if now < self.renew_at and all(row.slot in self.held_slots for row in mine):
            return
        writes = [rows.write(r.slot, self.me, r.epoch, rows.EMPTY) for r in mine]
        versions = await self.store.commit([rows.check(row) for row in mine], writes)
        until = self._lease_end(now)
        for row in mine:
            if row.slot in self.held_slots:
                self.held_slots[row.slot].usable_until = until
                self.held_slots[row.slot].version = versions[row.slot.key]
            else:
                self._hold(row, versions[row.slot.key], until)
        self.renew_at = now + self.options.renew_s

    def _lease_end(self, sent: float) -> float:
        return sent + self.options.share_lease_s

    def _hold(self, row: rows.SlotRow, version: int, until: float) -> None:
        """Start using a slot; a used epoch starts empty, as its levels are spent."""
        now = self.clock.monotonic()
        start = row.start
        if self.used_epochs.get(row.slot) == row.epoch:
            start = rows.EMPTY
        self.used_epochs[row.slot] = row.epoch
        granted_until = now + self.options.grant_ttl_s * self.wait_factor
        # An empty start names no earlier grants: they end before accrual begins.
        claimed = granted_until if start == rows.EMPTY else now
        self.held_slots[row.slot] = held_slot.HeldSlot(
            slot=row.slot,
            epoch=row.epoch,
            version=version,
            usable_until=until,
            claimed=claimed,
            start=start,
            granted_until=granted_until,
        )

    async def _release_surplus(self) -> bool:
        hosts = self.members.live(self.domain)
        counts = self._counts()
        surplus = len(self.held_slots) - self._even_part()
        least = max(1, self.slot_layout.slots_per_domain // max(1, len(hosts)))
        someone_lacks = any(counts.get(host, 0) < least for host in hosts)
        if surplus <= 0 or not someone_lacks:
            return False
        order = sorted(self.held_slots, key=self._preference, reverse=True)
        await self._release(order[:surplus])
        return True

    async def _release(self, slots: list[layout.Slot]) -> None:
        await self._hand_back({slot: self.held_slots.pop(slot) for slot in slots})

    def _still_mine(
        self, leaving: dict[layout.Slot, held_slot.HeldSlot]
    ) -> dict[layout.Slot, held_slot.HeldSlot]:
        found = {}
        for slot, mine in leaving.items():
            row = self.rows[slot]
            if self._is_mine(row) and row.epoch == mine.epoch:
                mine.version = row.version
                found[slot] = mine
        return found

    async def _hand_back(self, leaving: dict[layout.Slot, held_slot.HeldSlot]) -> None:
        now = self.clock.monotonic()
        checks, writes = [], []
        for slot, mine in leaving.items():
            if now >= mine.usable_until:
                continue
            start = mine.release(self.contracts, self.slot_layout, now)
            checks.append(table.Check(slot.key, mine.version))
            writes.append(rows.write(slot, rows.NOBODY, mine.epoch, start))
        if writes:
            await self.store.commit(checks, writes)
            logger.info("Released %d limit slots", len(writes))

    async def _claim(self) -> bool:
        room = self._even_part() - len(self.held_slots)
        slots = sorted(self.slot_layout.slots(self.domain), key=self._preference)
        free = [row for row in map(self.rows.get, slots) if self._claimable(row)]
        wanted = free[: max(0, room)]
        if not wanted:
            return False
        sent = self.clock.monotonic()
        claims = [self._claim_of(row) for row in wanted]
        writes = [rows.write(c.slot, self.me, c.epoch, c.start) for c in claims]
        checks = [rows.check(row) for row in wanted]
        versions = await self.store.commit(checks, writes)
        for claim in claims:
            self._hold(claim, versions[claim.slot.key], self._lease_end(sent))
        logger.info("Claimed %d limit slots", len(claims))
        return True

    def _claimable(self, row: rows.SlotRow) -> bool:
        if self._is_mine(row):
            return False
        return row.free or self._has_lapsed(row)

    def _has_lapsed(self, row: rows.SlotRow) -> bool:
        """Tell if the row was seen unchanged for the holder's whole lease."""
        unchanged = self.clock.monotonic() - self.sightings[row.slot].since
        return unchanged >= self.options.share_lease_s * self.wait_factor

    def _claim_of(self, row: rows.SlotRow) -> rows.SlotRow:
        start = row.start if row.free else rows.EMPTY
        return attrs.evolve(row, holder=self.me, epoch=row.epoch + 1, start=start)

    def _counts(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for slot in self.slot_layout.slots(self.domain):
            holder = self.rows[slot].holder.host_id
            counts[holder] = counts.get(holder, 0) + 1
        return counts

    def _even_part(self) -> int:
        hosts = max(1, len(self.members.live(self.domain)))
        return math.ceil(self.slot_layout.slots_per_domain / hosts)

    def _preference(self, slot: layout.Slot) -> tuple[int, int]:
        """Order slots so that hosts with the same members claim different ones."""
        hosts = sorted({*self.members.live(self.domain), self.me.host_id})
        place = hosts.index(self.me.host_id)
        return (slot.index - place) % len(hosts), slot.index


def _free(row: rows.SlotRow, start: rows.InitialLevels) -> table.Put:
    return rows.write(row.slot, rows.NOBODY, row.epoch, start)
