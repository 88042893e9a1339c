"""Measure what membership costs one host as the fleet grows.

Workload: stand-in peers in 8 failure domains on an in-memory transport, one message
a millisecond away. All start at once, which gives the bytes of a mass start; then,
with nothing left to pass on, one host in 50 (at least one) crashes after half of the
time. Baseline: every host pings every other. Bound: at each size, at most 3 KB a
second of message bodies a host (6 KB in the mass start) and 12 messages sent a
second, at most 1.5 times the messages and 3 times the bytes of the smallest size, and
a crash is known everywhere within 20 seconds. Bodies only: the transport's framing
comes on top.
"""

import functools
import time

import attrs
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.bench import report as reports
from turmerictally.membership import detector, members
from turmerictally.peers import calls
from turmerictally.standins import memory
from turmerictally.store import hosts

NAME = "membership"
SUMMARY = (
    "stand-in peers in virtual time; baseline all-to-all pings; "
    "bound 3 KB/s and 12 messages/s a host at any size"
)
SIZES = (13, 50, 100, 200, 400)
DOMAINS = 8
DURATION_S = 60.0
WARM_UP_S = 20.0
SETTLE_S = 5.0
DELAY_S = 0.001
MAX_BYTES_PER_S = 3000.0
MAX_MESSAGES_PER_S = 12.0
MAX_START_BYTES_PER_S = 6000.0
MAX_MESSAGE_GROWTH = 1.5
MAX_BYTE_GROWTH = 3.0
MAX_DETECTION_S = 20.0
EPOCH_MS = 1_700_000_000_000


@attrs.define
class Wire:
    """Deliver calls between stand-in hosts and count them."""

    endpoints: dict = attrs.Factory(dict)
    messages: int = 0
    sent_bytes: int = 0

    def count(self, body: bytes) -> None:
        """Count one message."""
        self.messages += 1
        self.sent_bytes += len(body)


class Endpoint:
    """Implement ``calls.Peers`` for one stand-in host."""

    def __init__(self, wire: Wire, address: str) -> None:
        self.wire = wire
        self.caller = calls.Caller(address, "i0", 1)
        self.handlers: dict[calls.Kind, calls.Handler] = {}
        wire.endpoints[address] = self

    def handle(self, kind: calls.Kind, handler: calls.Handler) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    async def call(
        self, address: str, kind: calls.Kind, body: bytes, *, deadline: float
    ) -> bytes:
        """Deliver a call; a crashed host never answers."""
        self.wire.count(body)
        await trio.sleep(DELAY_S)
        target = self.wire.endpoints.get(address)
        if target is None:
            await trio.sleep_until(deadline)
            raise errors.Error(errors.Kind.PEER_UNAVAILABLE)
        reply = await target.handlers[kind](self.caller, body)
        self.wire.count(reply)
        await trio.sleep(DELAY_S)
        return reply


@attrs.frozen
class Host:
    """Hold one stand-in host."""

    listed: hosts.ListedHost
    detector: detector.Detector
    scope: trio.CancelScope


async def run(
    sizes: tuple[int, ...] = SIZES,
    duration_s: float = DURATION_S,
    all_to_all: bool = False,
    cpu: bool = False,
) -> reports.Report:
    """Return the cost at each size; run it on a virtual clock.

    ``cpu`` adds processor time, which differs from run to run.
    """
    report = reports.Report(NAME)
    for size in sizes:
        report.rows.append(await _measure(size, duration_s, all_to_all, cpu))
    first = report.rows[0]
    for row in report.rows:
        _check(report, row, first)
    return report


def main() -> reports.Report:
    """Run every size with processor time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(functools.partial(run, cpu=True), clock=clock)


async def _measure(size: int, duration_s: float, all_to_all: bool, cpu: bool) -> dict:
    wire = Wire()
    listing = memory.HostList()
    async with trio.open_nursery() as nursery:
        fleet = [_build(number, wire, listing, all_to_all) for number in range(size)]
        for host in fleet:
            await listing.register(host.listed)
        for host in fleet:
            nursery.start_soon(_run, host)
        await trio.sleep(WARM_UP_S)
        start_bytes = wire.sent_bytes / size / WARM_UP_S
        _introduce(fleet)
        await trio.sleep(SETTLE_S)
        wire.messages = wire.sent_bytes = 0
        began = time.process_time()
        await trio.sleep(duration_s / 2)
        detection_s = await _crash(fleet, wire, size)
        await trio.sleep(max(0.0, duration_s / 2 - detection_s))
        spent = time.process_time() - began
        nursery.cancel_scope.cancel()
    host_seconds = size * max(duration_s, duration_s / 2 + detection_s)
    row = {
        "hosts": size,
        "messages/s": wire.messages / host_seconds,
        "bytes/s": wire.sent_bytes / host_seconds,
        "start_bytes/s": start_bytes,
        "detection_s": detection_s,
    }
    if cpu:
        row["cpu_ms/s"] = spent / host_seconds * 1000
    return row


def _build(number: int, wire: Wire, listing: memory.HostList, all_to_all: bool) -> Host:
    domain = f"luzon-{number % DOMAINS}"
    address = f"10.0.{number // 250}.{number % 250 + 1}:8082"
    claim = members.Claim(
        f"h{number}", "i0", address, "luzon", domain, members.State.LIVE, EPOCH_MS
    )
    config = settings.Membership(**settings.DEFAULTS["membership"])
    clock = clocks.VirtualClock()
    known = members.Members(claim, clock, config.suspicion_s)
    endpoint = Endpoint(wire, address)
    found = detector.Detector(known, endpoint, listing, config, clock)
    if all_to_all:
        found.next_targets = known.live
    listed = hosts.ListedHost(
        claim.id, "i0", hosts.Role.ENTRY, address, "luzon", domain
    )
    return Host(listed, found, trio.CancelScope())


async def _run(host: Host) -> None:
    with host.scope:
        await host.detector.run()


def _introduce(fleet: list[Host]) -> None:
    """Let every host know every claim, with nothing left to pass on."""
    claims = [host.detector.members.me for host in fleet]
    for host in fleet:
        for claim in claims:
            host.detector.members.merge(claim)
        host.detector.members.pending_updates.clear()


async def _crash(fleet: list[Host], wire: Wire, size: int) -> float:
    """Crash some hosts; return seconds until every other host knows."""
    count = max(1, size // 50)
    victims = fleet[:count]
    for victim in victims:
        victim.scope.cancel()
        del wire.endpoints[victim.listed.address]
    began = trio.current_time()
    while not _is_known(fleet[count:], victims):
        await trio.sleep(0.1)
        if trio.current_time() - began > 2 * MAX_DETECTION_S:
            break
    return trio.current_time() - began


def _is_known(survivors: list[Host], victims: list[Host]) -> bool:
    return all(
        _is_dead(host.detector.members.lookup(victim.listed.id))
        for victim in victims
        for host in survivors
    )


def _is_dead(member: members.Member | None) -> bool:
    return member is None or member.state is members.State.DEAD


def _check(report: reports.Report, row: dict, first: dict) -> None:
    growth = {
        "message_growth": row["messages/s"] / first["messages/s"],
        "byte_growth": row["bytes/s"] / first["bytes/s"],
    }
    bounds = {
        "bytes/s": MAX_BYTES_PER_S,
        "start_bytes/s": MAX_START_BYTES_PER_S,
        "messages/s": MAX_MESSAGES_PER_S,
        "message_growth": MAX_MESSAGE_GROWTH,
        "byte_growth": MAX_BYTE_GROWTH,
        "detection_s": MAX_DETECTION_S,
    }
    for name, bound in bounds.items():
        value = (row | growth)[name]
        detail = f"{value:.3g}, at most {bound:g}"
        report.check(f"{name} at {row['hosts']}", value <= bound, detail)
