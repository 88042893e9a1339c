"""Store one order record for each server: pending order, lease, fencing token."""

import attrs
import cattrs

from turmerictally import errors
from turmerictally.orders import model
from turmerictally.store import table

SERVERS_PREFIX = "orders/servers/"
PENDING_PREFIX = "orders/pending/"
REMOVALS_PREFIX = "orders/removals/"
MAX_RESULTS = 50  # results kept for each server
MAX_SUBMIT_ATTEMPTS = 3

converter = cattrs.Converter()


@attrs.frozen
class OrderRecord:
    """Hold a server's pending order, its lease and the results of earlier orders.

    ``fence`` is the last fencing token issued; it only grows. ``holder`` is the host
    and instance that holds the lease of the pending order, or empty. ``reserved``
    means that a download from the weight store is reserved for the pending order.
    """

    server: str
    fence: int = 0
    holder: str = ""
    pending: model.Order | None = None
    reserved: bool = False
    ended: tuple[model.OrderResult, ...] = ()
    version: int = table.ABSENT

    def find_result(self, order_id: str) -> model.OrderResult | None:
        """Return the result of an order, or None if it has none."""
        matches = [result for result in self.ended if result.order_id == order_id]
        return matches[-1] if matches else None


async def read(store: table.Table, server: str) -> OrderRecord:
    """Return a server's order record; an empty one if it has never had an order."""
    row = await store.get(SERVERS_PREFIX + server)
    if row is None:
        return OrderRecord(server)
    return converter.structure(row.value | {"version": row.version}, OrderRecord)


async def write(
    store: table.Table,
    record: OrderRecord,
    checks: tuple[table.Check, ...] = (),
    writes: tuple[table.Write, ...] = (),
) -> OrderRecord:
    """Write a changed record with a compare-and-set on the version that was read.

    ``checks`` and ``writes`` belong to the same commit. Raises
    ``table.ConflictError`` when the record has changed since it was read.
    """
    key = SERVERS_PREFIX + record.server
    value = converter.unstructure(record)
    value.pop("version")
    versions = await store.commit(
        [table.Check(key, record.version), *checks], [table.Put(key, value), *writes]
    )
    return attrs.evolve(record, version=versions[key])


async def submit(store: table.Table, order: model.Order) -> model.OrderResult | None:
    """Add an order as pending; return its result if it has already ended.

    Submitting the same order again is harmless. Raises ``errors.Error`` with
    ``CONFLICT`` while another order is pending: if operators submit concurrently,
    one order is accepted.
    """
    for _ in range(MAX_SUBMIT_ATTEMPTS):
        record = await read(store, order.server)
        result = record.find_result(order.id)
        if result is not None or record.pending == order:
            return result
        if record.pending is not None:
            raise _conflict_error(record.pending)
        try:
            await _write_pending(store, record, order)
            return None
        except table.ConflictError:
            continue
        except table.UnavailableError as error:
            if not error.maybe_applied:
                raise
    raise errors.Error(errors.Kind.CONFLICT, "The server's orders keep changing.")


async def _write_pending(
    store: table.Table, record: OrderRecord, order: model.Order
) -> None:
    changed = attrs.evolve(record, pending=order, reserved=False)
    marker = table.Put(PENDING_PREFIX + order.server, {"order_id": order.id})
    await write(store, changed, writes=(marker,))


def _conflict_error(pending: model.Order) -> errors.Error:
    detail = f"Order {pending.id} by {pending.who} is pending."
    return errors.Error(errors.Kind.CONFLICT, detail)


async def finish(
    store: table.Table, record: OrderRecord, outcome: model.Outcome, detail: str
) -> OrderRecord:
    """Move the pending order to the results and end its lease and reservations."""
    order = record.pending
    results = (*record.ended, model.OrderResult(order.id, outcome, detail))[
        -MAX_RESULTS:
    ]
    changed = attrs.evolve(
        record, pending=None, holder="", reserved=False, ended=results
    )
    writes = [table.Delete(PENDING_PREFIX + record.server)]
    for row in await store.scan(REMOVALS_PREFIX):
        if row.value["order_id"] == order.id:
            writes.append(table.Delete(row.key))
    return await write(store, changed, writes=tuple(writes))
