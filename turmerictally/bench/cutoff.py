"""Measure the price of serving on, or not, while cut off.

Workload: 13 hosts in 4 failure domains in virtual time, eight teams of which two are
large, a valid request of some team at each host ten times a second, and one schedule
of outages: the platform down, one domain cut off from the platform, then from
everything; a key is withdrawn in the last cut. Policies: refuse when the
configuration was not confirmed for 5 seconds; report a change as accepted once every
host that may still serve has confirmed it, serving for up to an hour; the same with a
limit of 30 seconds; never refuse and report at the commit. Bound: the chosen policy
refuses nobody wrongly in this schedule and never serves a withdrawn key after its
withdrawal was reported as accepted.
"""

import random

import attrs
import trio

from turmerictally import errors
from turmerictally.bench import report as reports
from turmerictally.config import model, operations
from turmerictally.tests.support import config_fleet

NAME = "cutoff"
SUMMARY = (
    "outages in virtual time; baseline fail closed after 5 s; "
    "bound no wrongful refusal and no withdrawn key served after acceptance"
)
HOSTS = 13
RATES = (40.0, 25.0, 4.0, 3.0, 2.0, 2.0, 1.0, 1.0)
REQUEST_S = 0.1
DOMAIN = config_fleet.DOMAINS[1]
# Start and end of each outage, in seconds.
PLATFORM_DOWN = (10.0, 40.0)
NO_PLATFORM = (50.0, 70.0)
CUT_OFF = (80.0, 130.0)
WITHDRAWN_AT = 85.0
END = 140.0
SEED = 7


@attrs.frozen
class Policy:
    """Name one way to behave when cut off; times are in seconds."""

    name: str
    max_staleness_s: float
    poll_s: float = 2.0
    at_commit: bool = False


STRICT = Policy("fail closed after 5 s", 5.0, poll_s=0.5)
CHOSEN = Policy("confirm, serve 1 h", 3600.0)
SHORT = Policy("confirm, serve 30 s", 30.0)
NEVER = Policy("never refuse, at commit", 1e9, at_commit=True)
POLICIES = (STRICT, SHORT, CHOSEN, NEVER)


@attrs.define
class Counts:
    """Count what became of requests.

    ``exposed`` were served on the withdrawn key after its withdrawal, ``broken`` of
    these after the operator was told that it is in force.
    """

    requests: int = 0
    wrongful: int = 0
    exposed: int = 0
    broken: int = 0
    withdrawn: bool = False
    accepted: bool = False
    accepted_s: float | None = None


def run(policies: tuple[Policy, ...] = POLICIES) -> reports.Report:
    """Return the figures of each policy under one schedule."""
    report = reports.Report(NAME)
    for policy in policies:
        counts = _measure(policy)
        report.rows.append(
            {
                "policy": policy.name,
                "requests": counts.requests,
                "wrongful": counts.wrongful,
                "wrongful_%": 100 * counts.wrongful / counts.requests,
                "exposed": counts.exposed,
                "broken": counts.broken,
                "accepted_s": counts.accepted_s,
            }
        )
    for row in report.rows:
        _check(report, row)
    return report


def main() -> reports.Report:
    """Run every policy."""
    return run()


def _check(report: reports.Report, row: dict) -> None:
    if row["policy"] == CHOSEN.name:
        wrongful = row["wrongful"]
        report.check("no wrongful refusal", wrongful == 0, f"{wrongful}")
    if row["policy"] != NEVER.name:
        broken = row["broken"]
        report.check(f"accepted holds: {row['policy']}", broken == 0, f"{broken}")


def _measure(policy: Policy) -> Counts:
    async def scenario(fleet: config_fleet.Fleet) -> Counts:
        secrets = await _create_teams(fleet)
        counts = Counts()
        async with trio.open_nursery() as nursery:
            for host in fleet.hosts.values():
                nursery.start_soon(_request, host, secrets, counts)
            await _play(fleet, policy, secrets[0].key.id, counts, nursery)
            nursery.cancel_scope.cancel()
        return counts

    config = {"max_staleness_s": policy.max_staleness_s, "poll_s": policy.poll_s}
    return config_fleet.run_fleet(scenario, HOSTS, SEED, config=config)


async def _create_teams(fleet: config_fleet.Fleet) -> list:
    found = []
    ops = fleet.hosts["h0"].parts.operations
    for number, rate in enumerate(RATES):
        await ops.put("ann", model.Contract(f"team{number}", rate, int(rate * 2)))
        given = await ops.give_key("ann", f"team{number}")
        found.append(given.secret)
    return found


async def _request(host: config_fleet.FleetHost, secrets: list, counts: Counts) -> None:
    rng = random.Random(host.id)
    while True:
        await trio.sleep(REQUEST_S)
        number = rng.choices(range(len(secrets)), RATES)[0]
        withdrawn = counts.withdrawn and number == 0
        served = _authenticate(host, secrets[number].text)
        counts.requests += 1
        counts.wrongful += not served and not withdrawn
        counts.exposed += served and withdrawn
        counts.broken += served and withdrawn and counts.accepted


def _authenticate(host: config_fleet.FleetHost, text: str) -> bool:
    try:
        host.parts.keys.authenticate(text)
    except errors.Error:
        return False
    return True


async def _play(
    fleet: config_fleet.Fleet,
    policy: Policy,
    key_id: str,
    counts: Counts,
    nursery: trio.Nursery,
) -> None:
    began = trio.current_time()
    services = (fleet.platform.table, fleet.platform.hosts)
    inside = fleet.in_domain(DOMAIN)
    outside = [host for host in fleet.hosts.values() if host.domain != DOMAIN]
    await trio.sleep_until(began + PLATFORM_DOWN[0])
    for service in services:
        service.faults.down = True
    await trio.sleep_until(began + PLATFORM_DOWN[1])
    for service in services:
        service.faults.down = False
    await trio.sleep_until(began + NO_PLATFORM[0])
    _cut_platform(inside, True)
    await trio.sleep_until(began + NO_PLATFORM[1])
    _cut_platform(inside, False)
    await trio.sleep_until(began + CUT_OFF[0])
    _cut_platform(inside, True)
    fleet.separate(inside, outside)
    await trio.sleep_until(began + WITHDRAWN_AT)
    nursery.start_soon(_withdraw, fleet, policy, key_id, counts)
    await trio.sleep_until(began + CUT_OFF[1])
    _cut_platform(inside, False)
    fleet.net.heal()
    await trio.sleep_until(began + END)


def _cut_platform(hosts: list, cut: bool) -> None:
    for host in hosts:
        host.cut_from_platform = cut


async def _withdraw(
    fleet: config_fleet.Fleet, policy: Policy, key_id: str, counts: Counts
) -> None:
    ops = fleet.hosts["h0"].parts.operations
    began = trio.current_time()
    counts.withdrawn = True
    if policy.at_commit:
        counts.accepted = True
        counts.accepted_s = 0.0
    outcome = await ops.withdraw_key("ann", key_id)
    while outcome.status is not operations.Status.ACCEPTED:
        await trio.sleep(1.0)
        outcome = await ops.status(outcome.version)
    if not counts.accepted:
        counts.accepted = True
        counts.accepted_s = trio.current_time() - began
