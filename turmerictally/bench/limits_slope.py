"""Measure what the limits cost a host as the fleet grows; run by hand.

Workload: 13 to 400 hosts in eight failure domains, 19 teams and 45 requests a second
for each host, teams of unequal size, traffic spread over all hosts.
Baseline: the smallest fleet.
Bound: a host's control traffic stays below 6 KB/s and its processor time below 4.9%
of a core at 400 hosts. Processor time is wall-clock work and covers both ends of
every call and the fake network.
"""

import random
import time

import attrs
import trio
import trio.testing

from turmerictally.bench import report
from turmerictally.config import model
from turmerictally.tests.support import limits_fleet, network

NAME = "limits-slope"
SUMMARY = (
    "13 to 400 hosts at 45 requests/s each; against the smallest fleet; "
    "6 KB/s and 49 ms of CPU a second for each host"
)

DOMAINS = tuple("abcdefgh")
SIZES = (13, 50, 100, 200, 400)
TEAMS_PER_HOST = 19
REQUESTS_PER_HOST_S = 45.0
USED_RATIO = 0.7  # of the teams' rates
OFFERED_S = 4.0
SETTLE_S = 70.0
MAX_BYTES_PER_S = 6000.0
MAX_CPU_PER_S = 0.049
SEED = 17


@attrs.define
class Cost:
    """Hold counters at one moment."""

    cpu: float
    messages: int
    bytes: int


def _cost(fleet: limits_fleet.Fleet) -> Cost:
    return Cost(time.process_time(), fleet.net.sent, fleet.net.sent_bytes)


def _contracts(hosts: int, rng: random.Random) -> list[model.Contract]:
    sizes = [rng.paretovariate(1.2) for _ in range(hosts * TEAMS_PER_HOST)]
    scale = hosts * REQUESTS_PER_HOST_S / USED_RATIO / sum(sizes)
    return [
        model.Contract(f"team-{i}", size * scale, max(16, round(2 * size * scale)))
        for i, size in enumerate(sizes)
    ]


async def run(hosts: int) -> dict:
    """Offer requests to a fleet of this size and return its row of figures."""
    rng = random.Random(SEED)
    contracts = _contracts(hosts, rng)
    async with trio.open_nursery() as nursery:
        fleet = limits_fleet.build(
            nursery,
            contracts=contracts,
            domains=DOMAINS,
            hosts=hosts,
            slots=32,
            net=network.Network(seed=SEED),
        )
        await trio.sleep(SETTLE_S)
        before = _cost(fleet)
        offered = await _offer(nursery, fleet, contracts, hosts, rng)
        await trio.sleep(1.0)
        row = _row(fleet, hosts, offered, before, _cost(fleet))
        nursery.cancel_scope.cancel()
    return row


async def _offer(nursery, fleet, contracts, hosts, rng) -> int:
    weights = [contract.rate for contract in contracts]
    count = int(hosts * REQUESTS_PER_HOST_S * OFFERED_S)
    teams = rng.choices(contracts, weights, k=count)
    gap = OFFERED_S / count
    start = trio.current_time()
    for number, contract in enumerate(teams):
        await trio.sleep_until(start + number * gap)
        host = f"h{rng.randrange(hosts)}"
        nursery.start_soon(fleet.request, host, contract.team)
    return count


def _row(
    fleet: limits_fleet.Fleet, hosts: int, offered: int, before: Cost, after: Cost
) -> dict:
    per_host_s = hosts * OFFERED_S
    return {
        "hosts": hosts,
        "teams": len(fleet.contracts),
        "requests": offered,
        "refused": sum(fleet.refused.values()) / offered,
        "messages": (after.messages - before.messages) / offered,
        "bytes": (after.bytes - before.bytes) / offered,
        "host_bytes_s": (after.bytes - before.bytes) / per_host_s,
        "host_cpu_s": (after.cpu - before.cpu) / per_host_s,
    }


def main() -> report.Report:
    """Run every size and check the largest against the target."""
    made = report.Report(NAME)
    for hosts in SIZES:
        clock = trio.testing.MockClock(autojump_threshold=0)
        with limits_fleet.deterministic_order(SEED):
            made.rows.append(trio.run(run, hosts, clock=clock))
    last = made.rows[-1]
    used = last["host_bytes_s"]
    made.check("bytes a second", used <= MAX_BYTES_PER_S, f"{used:.0f}")
    cpu = last["host_cpu_s"]
    made.check("processor time a second", cpu <= MAX_CPU_PER_S, f"{cpu:.4f}")
    return made
