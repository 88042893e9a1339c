"""Keep one row for each ordered server: the pending order, lease and fence."""

import attrs
import cattrs

from turmerictally import errors
from turmerictally.orders import model
from turmerictally.store import table

SERVERS_PREFIX = "orders/servers/"
PENDING_PREFIX = "orders/pending/"
REMOVALS_PREFIX = "orders/removals/"
MAX_ENDED = 50  # ended orders remembered for each server
SUBMIT_TRIES = 3

converter = cattrs.Converter()


@attrs.frozen
class OrderRecord:
    """Hold a server's row.

    ``fence`` is the last fencing number given out; it only grows. ``holder`` is the
    host and instance that carries out the pending order, or empty.
    """

    server: str
    fence: int = 0
    holder: str = ""
    pending: model.Order | None = None
    reserved: bool = False
    ended: tuple[model.OrderResult, ...] = ()
    version: int = table.ABSENT

    def find_ended(self, order_id: str) -> model.OrderResult | None:
        """Return how an order ended, or None."""
        found = [ended for ended in self.ended if ended.order_id == order_id]
        return found[-1] if found else None


async def read(store: table.Table, server: str) -> OrderRecord:
    """Return a server's sheet, an empty one if no order was ever given."""
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
    """Write a changed sheet over the version it was read at.

    Raises ``table.ConflictError`` when it has changed since.
    """
    key = SERVERS_PREFIX + record.server
    value = converter.unstructure(record)
    value.pop("version")
    versions = await store.commit(
        [table.Check(key, record.version), *checks], [table.Put(key, value), *writes]
    )
    return attrs.evolve(record, version=versions[key])


async def submit(store: table.Table, order: model.Order) -> model.OrderResult | None:
    """Put an order in a server's row; return how it ended if it was given before.

    Raises ``errors.Error`` with ``CONFLICT`` while another order is pending: of
    operators who race, one wins.
    """
    for _ in range(SUBMIT_TRIES):
        record = await read(store, order.server)
        ended = record.find_ended(order.id)
        if ended is not None or record.pending == order:
            return ended
        if record.pending is not None:
            raise _conflict(record.pending)
        try:
            await _add(store, record, order)
            return None
        except table.ConflictError:
            continue
        except table.UnavailableError as error:
            if not error.maybe_applied:
                raise
    raise errors.Error(errors.Kind.CONFLICT, "The server's orders keep changing.")


async def _add(store: table.Table, record: OrderRecord, order: model.Order) -> None:
    changed = attrs.evolve(record, pending=order, reserved=False)
    marker = table.Put(PENDING_PREFIX + order.server, {"order_id": order.id})
    await write(store, changed, writes=(marker,))


def _conflict(pending: model.Order) -> errors.Error:
    detail = f"Order {pending.id} by {pending.who} is pending."
    return errors.Error(errors.Kind.CONFLICT, detail)


async def finish(
    store: table.Table, record: OrderRecord, outcome: model.Outcome, detail: str
) -> OrderRecord:
    """Record how the pending order ended and free the server."""
    order = record.pending
    ended = (*record.ended, model.OrderResult(order.id, outcome, detail))[-MAX_ENDED:]
    changed = attrs.evolve(record, pending=None, holder="", reserved=False, ended=ended)
    writes = [table.Delete(PENDING_PREFIX + record.server)]
    for row in await store.scan(REMOVALS_PREFIX):
        if row.value["order_id"] == order.id:
            writes.append(table.Delete(row.key))
    return await write(store, changed, writes=tuple(writes))
