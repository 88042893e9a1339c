"""Lease limit slots through the table; each slot has at most one holder."""

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

SCAN_INTERVAL_PER_HOST_S = 0.5  # the fleet scans twice per second in total
MIN_SCAN_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 1.0
MAX_RELEASE_ATTEMPTS = 3

Contracts = collections.abc.Callable[[str], model.Contract | None]


class Membership(typing.Protocol):
    """Provide the hosts that are currently considered live."""

    def live(self, domain: str) -> collections.abc.Collection[str]:
        """Return the ids of a failure domain's live hosts."""

    def count(self) -> int:
        """Return the number of live hosts in the fleet."""


@attrs.define
class RowObservation:
    """Track since when, on the local clock, a row has kept its version."""

    version: int
    unchanged_since: float


class LeaseManager:
    """Claim, renew and release this host's slot leases and track other holders."""

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
        self.rows_by_slot: dict[layout.Slot, rows.SlotRow] = {}
        self.observations: dict[layout.Slot, RowObservation] = {}
        self.layout_is_agreed = False
        self.stopping = False
        self.renew_at = -math.inf
        self.is_failing = False

    @property
    def clock_drift_factor(self) -> float:
        """Return the factor by which waits are extended to allow for clock drift."""
        drift = self.options.drift_ratio
        return (1 + drift) / (1 - drift)

    @property
    def knows_holders(self) -> bool:
        """Return whether the holder of every slot in the fleet is known."""
        held_count = sum(1 for row in self.rows_by_slot.values() if row.holder.address)
        return held_count == self.slot_layout.size

    def usable(self, slot: layout.Slot, now: float) -> held_slot.HeldSlot | None:
        """Return the held slot, or None if its lease has ended on the local clock."""
        slot_held = self.held_slots.get(slot)
        if slot_held is None or now >= slot_held.usable_until:
            return None
        return slot_held

    def known_holder_address(self, slot: layout.Slot) -> str:
        """Return the address of the slot's last known holder, or an empty string."""
        row = self.rows_by_slot.get(slot)
        return row.holder.address if row else ""

    def note_holder(self, slot: layout.Slot, address: str, epoch: int) -> None:
        """Record the holder that a peer named if its epoch is newer."""
        current = self.rows_by_slot.get(slot, rows.never_held(slot))
        if address and epoch > current.epoch:
            new_holder = rows.Holder(address, "", address)
            self.rows_by_slot[slot] = attrs.evolve(
                current, holder=new_holder, epoch=epoch
            )

    async def run(self) -> None:
        """Maintain the leases until cancelled."""
        while True:
            delay_s = RETRY_INTERVAL_S
            try:
                changed = await self.reconcile()
                delay_s = RETRY_INTERVAL_S if changed else self._scan_interval()
                self._record_success()
            except table.ConflictError:
                logger.debug("Another host changed the limit slots first; retrying")
            except (table.UnavailableError, errors.Error) as error:
                self._record_failure(error)
            await trio.sleep(delay_s)

    async def reconcile(self) -> bool:
        """Scan, renew, release and claim; return whether any slot changed holder."""
        if self.stopping:
            return False
        await self._agree_on_layout()
        await self._scan()
        self._drop_lost_slots()
        await self._renew()
        released = await self._release_surplus()
        claimed = await self._claim()
        return released or claimed

    async def stop(self) -> None:
        """Release all slots with their bucket levels before a planned stop.

        Retries on conflicts, since a renewal in flight may still change the rows.
        """
        self.stopping = True
        releasing, self.held_slots = self.held_slots, {}
        for _ in range(MAX_RELEASE_ATTEMPTS):
            try:
                await self._write_release(releasing)
                return
            except table.ConflictError:
                await self._scan()
                releasing = self._refresh_versions(releasing)

    async def release_dead_host(self, host_id: str) -> int:
        """Free the slots of a host that an operator has declared dead.

        The host must no longer be running. Its spending is unknown, so the next
        holders' buckets start empty. Returns the number of freed slots.
        """
        await self._scan()
        dead_rows = [
            row for row in self.rows_by_slot.values() if row.holder.host_id == host_id
        ]
        if not dead_rows:
            return 0
        writes = [_release_put(row, rows.START_EMPTY) for row in dead_rows]
        await self.store.commit(
            [rows.check_unchanged(row) for row in dead_rows], writes
        )
        logger.info("Freed %d limit slots of dead host %s", len(dead_rows), host_id)
        return len(dead_rows)

    def _record_failure(self, error: Exception) -> None:
        if not self.is_failing:
            logger.warning("Maintaining limit slot leases failed: %s", error)
        self.is_failing = True

    def _record_success(self) -> None:
        if self.is_failing:
            logger.info("Maintaining limit slot leases succeeded again")
        self.is_failing = False

    def _scan_interval(self) -> float:
        interval_s = self.members.count() * SCAN_INTERVAL_PER_HOST_S
        return min(self.options.renew_s, max(MIN_SCAN_INTERVAL_S, interval_s))

    async def _agree_on_layout(self) -> None:
        if self.layout_is_agreed:
            return
        stored = await self.store.get(layout.LAYOUT_KEY)
        if stored is None:
            put = table.Put(layout.LAYOUT_KEY, self.slot_layout.to_row())
            check = table.Check(layout.LAYOUT_KEY, table.ABSENT)
            await self.store.commit([check], [put])
        elif stored.value != self.slot_layout.to_row():
            raise errors.Error(
                errors.Kind.CONFLICT,
                f"Limit slot layout in the table is {stored.value}, "
                f"this host is configured with {self.slot_layout.to_row()}.",
            )
        self.layout_is_agreed = True

    async def _scan(self) -> None:
        scanned = await self.store.scan(
            layout.SLOTS_PREFIX, limit=self.slot_layout.size
        )
        now = self.clock.monotonic()
        by_key = {row.key: row for row in scanned}
        for domain in self.slot_layout.domains:
            for slot in self.slot_layout.slots(domain):
                self._observe(slot, by_key.get(slot.key), now)

    def _observe(self, slot: layout.Slot, row: table.Row | None, now: float) -> None:
        current = rows.from_row(row, slot) if row else rows.never_held(slot)
        self.rows_by_slot[slot] = current
        observation = self.observations.get(slot)
        if observation is None or observation.version != current.version:
            self.observations[slot] = RowObservation(current.version, now)

    def _drop_lost_slots(self) -> None:
        now = self.clock.monotonic()
        for slot, held in list(self.held_slots.items()):
            row = self.rows_by_slot[slot]
            if not self._is_mine(row) or row.epoch != held.epoch:
                logger.warning("Another host holds limit slot %s", slot.key)
                del self.held_slots[slot]
            elif now >= held.usable_until:
                logger.warning(
                    "Lease of limit slot %s expired before it was renewed", slot.key
                )
                del self.held_slots[slot]
            else:
                held.version = row.version

    def _is_mine(self, row: rows.SlotRow) -> bool:
        own = self.me
        return (row.holder.host_id, row.holder.instance) == (
            own.host_id,
            own.instance,
        )

    async def _renew(self) -> None:
        now = self.clock.monotonic()
        own_rows = [row for row in self.rows_by_slot.values() if self._is_mine(row)]
        if not own_rows:
            return
        if now < self.renew_at and all(row.slot in self.held_slots for row in own_rows):
            return
        writes = [
            rows.to_put(r.slot, self.me, r.epoch, rows.START_EMPTY) for r in own_rows
        ]
        versions = await self.store.commit(
            [rows.check_unchanged(row) for row in own_rows], writes
        )
        lease_end = self._lease_end(now)
        for row in own_rows:
            if row.slot in self.held_slots:
                self.held_slots[row.slot].usable_until = lease_end
                self.held_slots[row.slot].version = versions[row.slot.key]
            else:
                self._start_holding(row, versions[row.slot.key], lease_end)
        self.renew_at = now + self.options.renew_s

    def _lease_end(self, sent_at: float) -> float:
        return sent_at + self.options.share_lease_s

    def _start_holding(self, row: rows.SlotRow, version: int, lease_end: float) -> None:
        """Start using a slot; the stored levels of an epoch are used only once."""
        now = self.clock.monotonic()
        initial = row.initial
        if self.used_epochs.get(row.slot) == row.epoch:
            initial = rows.START_EMPTY
        self.used_epochs[row.slot] = row.epoch
        granted_until = now + self.options.grant_ttl_s * self.clock_drift_factor
        # With an empty start, outstanding grants of the previous holder are unknown:
        # accrual begins only after they have expired.
        accrues_from = granted_until if initial == rows.START_EMPTY else now
        self.held_slots[row.slot] = held_slot.HeldSlot(
            slot=row.slot,
            epoch=row.epoch,
            version=version,
            usable_until=lease_end,
            accrues_from=accrues_from,
            initial=initial,
            granted_until=granted_until,
        )

    async def _release_surplus(self) -> bool:
        hosts = self.members.live(self.domain)
        counts = self._count_by_holder()
        surplus = len(self.held_slots) - self._even_share()
        min_share = max(1, self.slot_layout.slots_per_domain // max(1, len(hosts)))
        some_host_lacks_slots = any(counts.get(host, 0) < min_share for host in hosts)
        if surplus <= 0 or not some_host_lacks_slots:
            return False
        slots = sorted(self.held_slots, key=self._preference_rank, reverse=True)
        await self._release(slots[:surplus])
        return True

    async def _release(self, slots: list[layout.Slot]) -> None:
        await self._write_release({slot: self.held_slots.pop(slot) for slot in slots})

    def _refresh_versions(
        self, releasing: dict[layout.Slot, held_slot.HeldSlot]
    ) -> dict[layout.Slot, held_slot.HeldSlot]:
        still_held = {}
        for slot, held in releasing.items():
            row = self.rows_by_slot[slot]
            if self._is_mine(row) and row.epoch == held.epoch:
                held.version = row.version
                still_held[slot] = held
        return still_held

    async def _write_release(
        self, releasing: dict[layout.Slot, held_slot.HeldSlot]
    ) -> None:
        now = self.clock.monotonic()
        checks, writes = [], []
        for slot, held in releasing.items():
            if now >= held.usable_until:
                continue
            initial = held.levels_for_next_holder(self.contracts, self.slot_layout, now)
            checks.append(table.Check(slot.key, held.version))
            writes.append(rows.to_put(slot, rows.NO_HOLDER, held.epoch, initial))
        if writes:
            await self.store.commit(checks, writes)
            logger.info("Released %d limit slots", len(writes))

    async def _claim(self) -> bool:
        missing = self._even_share() - len(self.held_slots)
        slots = sorted(self.slot_layout.slots(self.domain), key=self._preference_rank)
        free = [
            row for row in map(self.rows_by_slot.get, slots) if self._is_claimable(row)
        ]
        claimable = free[: max(0, missing)]
        if not claimable:
            return False
        sent_at = self.clock.monotonic()
        claims = [self._claim_of(row) for row in claimable]
        writes = [rows.to_put(c.slot, self.me, c.epoch, c.initial) for c in claims]
        checks = [rows.check_unchanged(row) for row in claimable]
        versions = await self.store.commit(checks, writes)
        for claim in claims:
            self._start_holding(
                claim, versions[claim.slot.key], self._lease_end(sent_at)
            )
        logger.info("Claimed %d limit slots", len(claims))
        return True

    def _is_claimable(self, row: rows.SlotRow) -> bool:
        if self._is_mine(row):
            return False
        return row.free or self._has_lapsed(row)

    def _has_lapsed(self, row: rows.SlotRow) -> bool:
        """Return whether the row has not changed for a complete lease of its holder."""
        unchanged = self.clock.monotonic() - self.observations[row.slot].unchanged_since
        return unchanged >= self.options.share_lease_s * self.clock_drift_factor

    def _claim_of(self, row: rows.SlotRow) -> rows.SlotRow:
        initial = row.initial if row.free else rows.START_EMPTY
        return attrs.evolve(row, holder=self.me, epoch=row.epoch + 1, initial=initial)

    def _count_by_holder(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for slot in self.slot_layout.slots(self.domain):
            holder = self.rows_by_slot[slot].holder.host_id
            counts[holder] = counts.get(holder, 0) + 1
        return counts

    def _even_share(self) -> int:
        hosts = max(1, len(self.members.live(self.domain)))
        return math.ceil(self.slot_layout.slots_per_domain / hosts)

    def _preference_rank(self, slot: layout.Slot) -> tuple[int, int]:
        """Rank slots so that hosts with the same membership claim different ones."""
        hosts = sorted({*self.members.live(self.domain), self.me.host_id})
        position = hosts.index(self.me.host_id)
        return (slot.index - position) % len(hosts), slot.index


def _release_put(row: rows.SlotRow, initial: rows.InitialLevels) -> table.Put:
    return rows.to_put(row.slot, rows.NO_HOLDER, row.epoch, initial)
