"""Measure how fast and at what cost a configuration change is in force everywhere.

Workload: hosts in 8 failure domains in virtual time, a millisecond one way; changes
of one contract committed on different hosts, with none and with one in twenty of
all messages lost. Baseline: the committing host pushes to every host itself. Bound: in
force everywhere and accepted within 6 seconds at every size; the committing host
sends at most a quarter of the baseline's messages at 400 hosts; at 5,600 changes a
day the mean stays under 1 KB a second a host. Message bodies only.
"""

import attrs
import trio

from turmerictally.bench import report as reports
from turmerictally.config import model, operations
from turmerictally.peers import calls
from turmerictally.tests.support import config_fleet

NAME = "config_spread"
SUMMARY = (
    "changes in virtual time with loss; baseline one host pushes to all; "
    "bound in force and accepted within 6 s"
)
SIZES = (13, 400)
LOSSES = (0.0, 0.05)
CHANGES = 8
DOMAINS = tuple(f"domain-{number}" for number in range(8))
MAX_IN_FORCE_S = 6.0
MAX_SENDER_SHARE = 0.25
SHARE_FROM_HOSTS = 100
CHANGES_PER_DAY = 5600
DAY_S = 86400.0
MAX_BYTES_PER_S = 1000.0


@attrs.define
class Count:
    """Count messages and bytes of configuration calls, by sending host."""

    sent: dict[str, int] = attrs.Factory(dict)
    total_bytes: int = 0


class CountingPeers:
    """Pass calls on and count them."""

    def __init__(self, peers: calls.Peers, host_id: str, count: Count) -> None:
        self.peers = peers
        self.host_id = host_id
        self.count = count

    def handle(self, kind: calls.Kind, handler: calls.Handler) -> None:
        """Register a handler."""
        self.peers.handle(kind, handler)

    async def call(
        self, address: str, kind: calls.Kind, body: bytes, *, deadline: float
    ) -> bytes:
        """Count the request and the reply."""
        self.count.sent[self.host_id] = self.count.sent.get(self.host_id, 0) + 1
        self.count.total_bytes += len(body)
        reply = await self.peers.call(address, kind, body, deadline=deadline)
        self.count.total_bytes += len(reply)
        return reply


def run(
    sizes: tuple[int, ...] = SIZES,
    losses: tuple[float, ...] = LOSSES,
    changes: int = CHANGES,
) -> reports.Report:
    """Return the figures of each size and loss, with and without relays."""
    report = reports.Report(NAME)
    for size in sizes:
        for loss in losses:
            for relays in (True, False):
                row = _measure(size, loss, changes, relays)
                report.rows.append(row)
        _check(report, size)
    return report


def main() -> reports.Report:
    """Run every size."""
    return run()


def _measure(size: int, loss: float, changes: int, relays: bool) -> dict:
    async def scenario(fleet: config_fleet.Fleet) -> dict:
        count = Count()
        for host in fleet.hosts.values():
            _prepare(host, count, relays)
        fleet.net.lose_request = fleet.net.lose_reply = loss / 2
        return await _make_changes(fleet, count, changes)

    figures = config_fleet.run_fleet(scenario, size, domains=DOMAINS)
    return {"hosts": size, "loss": loss, "relays": relays} | figures


def _prepare(host: config_fleet.FleetHost, count: Count, relays: bool) -> None:
    counting = CountingPeers(host.parts.spread.peers, host.id, count)
    host.parts.spread.peers = counting
    host.parts.sync.peers = counting
    if not relays:
        host.parts.spread._relay = host.parts.spread._push_each


async def _make_changes(fleet: config_fleet.Fleet, count: Count, changes: int) -> dict:
    in_force: list[float] = []
    accepted: list[float] = []
    most_sent = 0
    for number in range(changes):
        count.sent.clear()
        host = fleet.hosts[f"h{number * len(fleet.hosts) // changes}"]
        item = model.Contract("dalisay", number + 1.0, 10)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_put, host, item, accepted)
            await _wait_in_force(fleet, number + 1)
            in_force.append(trio.current_time() - began)
        most_sent = max(most_sent, *count.sent.values())
        await trio.sleep(2.0)
    return {
        "in_force_max_s": max(in_force),
        "accepted_max_s": max(accepted, default=float("inf")),
        "accepted": len(accepted),
        "changes": changes,
        "most_sent": most_sent,
        "bytes/change": count.total_bytes / changes,
    }


async def _put(
    host: config_fleet.FleetHost, item: model.Contract, accepted: list[float]
) -> None:
    began = trio.current_time()
    outcome = await host.parts.operations.put("ann", item)
    while outcome.status is operations.Status.PENDING:
        outcome = await host.parts.operations.status(outcome.version)
    accepted.append(trio.current_time() - began)


async def _wait_in_force(fleet: config_fleet.Fleet, version: int) -> None:
    while not fleet.everyone_has(version):
        await trio.sleep(0.01)


def _check(report: reports.Report, size: int) -> None:
    rows = [row for row in report.rows if row["hosts"] == size]
    for row in rows:
        if not row["relays"]:
            continue
        label = f"at {size}, loss {row['loss']}"
        slowest = max(row["in_force_max_s"], row["accepted_max_s"])
        report.check(f"in force {label}", slowest <= MAX_IN_FORCE_S, f"{slowest:.2f} s")
        mean = row["bytes/change"] * CHANGES_PER_DAY / DAY_S / size
        report.check(f"bytes {label}", mean <= MAX_BYTES_PER_S, f"{mean:.1f} B/s")
    if size < SHARE_FROM_HOSTS:
        return
    direct = next(row for row in rows if not row["relays"])
    relayed = next(row for row in rows if row["relays"])
    share = relayed["most_sent"] / direct["most_sent"]
    report.check(f"sender at {size}", share <= MAX_SENDER_SHARE, f"{share:.2f}")
