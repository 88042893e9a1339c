"""Compare ways to hold a team's rate and burst over all hosts, in one run.

Workload: twelve hosts in four failure domains and eight teams, three of them large,
with the delays of both deployments. Traffic is spread, on one host or moving; one
large team sends at four times its rate. Faults: a host is lost and replaced, stopped
and replaced, or paused; the table is down; a failure domain is cut off.
Baselines: an even split over the hosts, and a counter in the table.
Bound: no excess; at most 1 in 100 requests inside a team's rate refused when calm,
in a planned stop and while the table is down.
"""

import random

import attrs
import trio
import trio.testing

from turmerictally.bench import report
from turmerictally.config import model
from turmerictally.standins import memory
from turmerictally.store import table
from turmerictally.tests.support import limits_fleet, network

NAME = "limits"
SUMMARY = (
    "8 teams on 12 hosts, calm and with faults; against an even split and a counter "
    "in the table; no excess, at most 1 in 100 in-rate requests refused when calm"
)

DOMAINS = ("a", "b", "c", "d")
HOSTS = 12
SETTLE_S = 15.0
OFFERED_S = 40.0
TABLE_DELAY_S = 0.002
IN_RATE_RATIO = 0.7
ABOVE_RATIO = 4.0
MOVE_S = 3.0
MAX_WRONGFUL_RATIO = 0.01
CENTRAL_TRIES = 3
FAULT_AT_S = 5.0
OUTAGE_S = 8.0  # of the table, and of one failure domain's links
SEED = 11
DELAYS_S = {"dalisay": 0.001, "vanua": 0.0015}  # one way


@attrs.frozen
class Load:
    """Describe one team's traffic."""

    contract: model.Contract
    traffic: str
    ratio: float = IN_RATE_RATIO


LOADS = [
    Load(model.Contract("large-spread", 15.0, 30), "spread"),
    Load(model.Contract("large-one-host", 15.0, 30), "one host"),
    Load(model.Contract("large-above", 15.0, 30), "spread", ABOVE_RATIO),
    Load(model.Contract("small-spread", 2.0, 16), "spread"),
    Load(model.Contract("small-one-host", 2.0, 16), "one host"),
    Load(model.Contract("small-moving", 2.0, 16), "moving"),
    Load(model.Contract("medium-moving", 6.0, 16), "moving"),
    Load(model.Contract("tiny-burst", 1.0, 4), "spread", 0.4),
]


@attrs.frozen
class Arrival:
    """Hold one request: seconds from the start, team and host number."""

    at: float
    team: str
    host: int


def arrivals() -> list[Arrival]:
    """Return the same Poisson arrivals for every run, in order of time."""
    rng = random.Random(SEED)
    made = []
    for number, load in enumerate(LOADS):
        at = rng.expovariate(load.contract.rate * load.ratio)
        while at < OFFERED_S:
            made.append(Arrival(at, load.contract.team, _host(load, number, at, rng)))
            at += rng.expovariate(load.contract.rate * load.ratio)
    return sorted(made, key=lambda arrival: arrival.at)


def _host(load: Load, number: int, at: float, rng: random.Random) -> int:
    if load.traffic == "one host":
        return number
    if load.traffic == "moving":
        return int(at / MOVE_S + number) % HOSTS
    return rng.randrange(HOSTS)


@attrs.define
class Leased:
    """Admit by leased slots and grants."""

    fleet: limits_fleet.Fleet

    async def admit(self, host: str, team: str) -> bool:
        """Admit one request."""
        return await self.fleet.request(host, team)


@attrs.define
class Tokens:
    """Keep a plain token bucket."""

    rate: float
    burst: float
    level: float
    updated: float = 0.0

    def take(self, now: float) -> bool:
        """Spend one token."""
        accrued = (now - self.updated) * self.rate
        self.level = min(self.burst, self.level + accrued)
        self.updated = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@attrs.define
class EvenSplit:
    """Give every host an equal part; a restarted host starts full."""

    fleet: limits_fleet.Fleet
    buckets: dict[tuple[str, str, int], Tokens] = attrs.Factory(dict)

    async def admit(self, host: str, team: str) -> bool:
        """Admit one request from the host's own part."""
        contract = self.fleet.contracts[team]
        await self.fleet.hosts[host].gate.open.wait()
        start = id(self.fleet.hosts[host])
        key = (host, team, start)
        part = contract.burst / HOSTS
        now = trio.current_time()
        if key not in self.buckets:
            self.buckets[key] = Tokens(contract.rate / HOSTS, max(1, part), part, now)
        admitted = self.buckets[key].take(now)
        if admitted:
            self.fleet.admitted.append((now, team))
        return admitted


@attrs.define
class Central:
    """Keep every team's bucket in a row of the table."""

    fleet: limits_fleet.Fleet

    async def admit(self, host: str, team: str) -> bool:
        """Admit one request by a conditional write, refused when that fails."""
        store = self.fleet.hosts[host].store
        for _ in range(CENTRAL_TRIES):
            try:
                return await self._try(store, team)
            except table.ConflictError:
                continue
            except table.UnavailableError:
                return False
        return False

    async def _try(self, store: table.Table, team: str) -> bool:
        contract = self.fleet.contracts[team]
        key = f"limits/central/{team}"
        row = await store.get(key)
        now = trio.current_time()
        full = {"level": contract.burst, "at": now}
        value = row.value if row else full
        kept = Tokens(contract.rate, contract.burst, value["level"], value["at"])
        if not kept.take(max(now, value["at"])):
            return False
        version = row.version if row else table.ABSENT
        put = table.Put(key, {"level": kept.level, "at": kept.updated})
        await store.commit([table.Check(key, version)], [put])
        self.fleet.admitted.append((trio.current_time(), team))
        return True


METHODS = {"even split": EvenSplit, "table counter": Central, "leased": Leased}


async def run(method: str, deployment: str, fault: str) -> dict:
    """Offer the arrivals to one method and return its row of figures."""
    async with trio.open_nursery() as nursery:
        fleet = _fleet(nursery, deployment)
        await trio.sleep(SETTLE_S)
        admit = METHODS[method](fleet)
        before = _Costs.of(fleet)
        offered = arrivals()
        nursery.start_soon(_break, fleet, fault)
        await _offer(nursery, fleet, admit, offered)
        await trio.sleep(2.0)
        row = {"method": method, "deployment": deployment, "fault": fault}
        row |= _judge(fleet, offered)
        row |= _Costs.of(fleet).since(before, len(offered))
        nursery.cancel_scope.cancel()
    return row


def _fleet(nursery: trio.Nursery, deployment: str) -> limits_fleet.Fleet:
    return limits_fleet.build(
        nursery,
        contracts=[load.contract for load in LOADS],
        domains=DOMAINS,
        hosts=HOSTS,
        slots=32,
        net=network.Network(delay_s=DELAYS_S[deployment], seed=SEED),
        store=_table(),
    )


def _table() -> memory.Table:
    made = memory.Table()
    made.faults.delay_s = TABLE_DELAY_S
    return made


async def _offer(nursery, fleet, admit, offered: list[Arrival]) -> None:
    start = trio.current_time()
    for arrival in offered:
        await trio.sleep_until(start + arrival.at)
        host = _live(fleet, arrival.host)
        nursery.start_soon(admit.admit, host, arrival.team)


def _live(fleet: limits_fleet.Fleet, number: int) -> str:
    """Return the host, or the next one when it is down."""
    while f"h{number}" not in fleet.hosts:
        number = (number + 1) % HOSTS
    return f"h{number}"


async def _lose_host(fleet: limits_fleet.Fleet) -> None:
    """Kill a host and start it again as a new instance with empty memory."""
    fleet.kill("h2")
    await trio.sleep(5.0)
    fleet.start("h2", DOMAINS[2])


async def _pause_host(fleet: limits_fleet.Fleet) -> None:
    fleet.pause("h5")
    await trio.sleep(3.0)
    fleet.resume("h5")


async def _stop_host(fleet: limits_fleet.Fleet) -> None:
    await fleet.stop("h3")
    await trio.sleep(5.0)
    fleet.start("h3", DOMAINS[3])


async def _lose_table(fleet: limits_fleet.Fleet) -> None:
    fleet.table.faults.down = True
    await trio.sleep(OUTAGE_S)
    fleet.table.faults.down = False


async def _cut_domain(fleet: limits_fleet.Fleet) -> None:
    cut = [h for h, host in fleet.hosts.items() if host.domain == DOMAINS[1]]
    rest = [h for h in fleet.hosts if h not in cut]
    fleet.net.separate(cut, rest)
    await trio.sleep(OUTAGE_S)
    fleet.net.heal()


FAULTS = {
    "none": (),
    "planned stop": (_stop_host,),
    "host lost": (_lose_host,),
    "host paused": (_pause_host,),
    "table down": (_lose_table,),
    "domain cut off": (_cut_domain,),
    "all": (_lose_host, _stop_host, _pause_host, _lose_table, _cut_domain),
}


async def _break(fleet: limits_fleet.Fleet, fault: str) -> None:
    await trio.sleep(FAULT_AT_S)
    for bring_about in FAULTS[fault]:
        await bring_about(fleet)


def _judge(fleet: limits_fleet.Fleet, offered: list[Arrival]) -> dict:
    """Compare with one ideal bucket for each team over the same arrivals."""
    start = SETTLE_S
    wrongful, ideal, worst, above = 0, 0, 0.0, 0
    for load in LOADS:
        team = load.contract.team
        times = [start + a.at for a in offered if a.team == team]
        could = limits_fleet.admitted_by_one_bucket(times, load.contract)
        did = sum(1 for _, name in fleet.admitted if name == team)
        if load.ratio > 1:
            above = did / could
            continue
        wrongful += max(0, could - did)
        ideal += could
        worst = max(worst, (could - did) / could)
    return {
        "excess": fleet.excess(),
        "wrongful": wrongful / ideal,
        "worst_team": worst,
        "above_served": above,
    }


@attrs.frozen
class _Costs:
    reads: int
    writes: int
    messages: int
    bytes: int

    @classmethod
    def of(cls, fleet: limits_fleet.Fleet) -> "_Costs":
        store = fleet.table
        net = fleet.net
        return cls(store.reads.count, store.writes.count, net.sent, net.sent_bytes)

    def since(self, before: "_Costs", requests: int) -> dict:
        return {
            "reads_per_s": (self.reads - before.reads) / OFFERED_S,
            "writes_per_s": (self.writes - before.writes) / OFFERED_S,
            "messages": (self.messages - before.messages) / requests,
            "bytes": (self.bytes - before.bytes) / requests,
        }


def main() -> report.Report:
    """Run every method calm and with all faults, and the leases with each fault."""
    made = measure(tuple(DELAYS_S), tuple(METHODS), ("none", "all"))
    made.rows += measure(("dalisay",), ("leased",), tuple(FAULTS)[1:-1]).rows
    check(made)
    return made


def measure(
    deployments: tuple[str, ...], methods: tuple[str, ...], faults: tuple[str, ...]
) -> report.Report:
    """Run every combination."""
    made = report.Report(NAME)
    for deployment in deployments:
        for fault in faults:
            for method in methods:
                made.rows.append(_simulate(method, deployment, fault))
    return made


def _simulate(method: str, deployment: str, fault: str) -> dict:
    clock = trio.testing.MockClock(autojump_threshold=0)
    with limits_fleet.deterministic_order(SEED):
        return trio.run(run, method, deployment, fault, clock=clock)


def check(made: report.Report) -> None:
    """Check the bounds of the leased rows."""
    for row in made.rows:
        if row["method"] != "leased":
            continue
        name = f"{row['deployment']}, {row['fault']}"
        made.check(f"no excess, {name}", row["excess"] == 0.0, str(row["excess"]))
        if row["fault"] in ("none", "planned stop", "table down"):
            ok = row["wrongful"] <= MAX_WRONGFUL_RATIO
            made.check(f"wrongful refusals, {name}", ok, f"{row['wrongful']:.4f}")
