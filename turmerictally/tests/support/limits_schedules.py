"""Generate and run schedules of faults against the limits."""

import hypothesis
import trio
from hypothesis import strategies as st

from turmerictally.config import model
from turmerictally.store import table
from turmerictally.tests.support import limits_fleet

LEASE_S = 12.0
CLOCK_DRIFT = 0.01
HOSTS = 4
CONTRACTS = [model.Contract("big", 20.0, 20), model.Contract("small", 1.0, 3)]
CLOCK_RATES = (1.0, 1.009, 0.991, 1.0)

hosts = st.integers(0, HOSTS - 1)
step = st.one_of(
    st.tuples(st.just("burst"), hosts, st.integers(1, 25)),
    st.tuples(st.just("burst"), hosts, st.integers(1, 25)),
    st.tuples(st.just("wait"), st.sampled_from([0.05, 0.5, 2.0, 5.0, 14.0])),
    st.tuples(st.just("crash"), hosts),
    st.tuples(st.just("restart"), hosts),
    st.tuples(st.just("stop"), hosts),
    st.tuples(st.just("pause"), hosts),
    st.tuples(st.just("resume"), hosts),
    st.tuples(st.just("separate"), st.integers(1, 2**HOSTS - 2)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("cut_platform"), hosts, st.booleans()),
    st.tuples(st.just("loss"), st.sampled_from([0.0, 0.2, 0.6])),
    st.tuples(st.just("duplicate"), st.sampled_from([0.0, 0.5])),
    st.tuples(st.just("change"), st.sampled_from([5.0, 20.0]), st.integers(8, 20)),
)
schedules = st.lists(step, min_size=8, max_size=30)


def run_many(examples: int) -> dict:
    """Run generated schedules and return the totals of their outcomes."""
    totals = {"admitted": 0, "takeovers": 0, "excess": 0.0, "schedules": 0}

    @hypothesis.settings(
        max_examples=examples,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(schedules)
    def check(steps):
        admitted, takeovers, excess = limits_fleet.simulate(
            lambda fleet: run(fleet, steps),
            hosts=0,
            contracts=CONTRACTS,
            share_lease_s=LEASE_S,
            renew_s=3.0,
            drift_ratio=CLOCK_DRIFT,
        )
        totals["schedules"] += 1
        totals["admitted"] += admitted
        totals["takeovers"] += takeovers
        totals["excess"] = max(totals["excess"], excess)
        assert excess == 0.0, excess

    check()
    return totals


async def run(fleet, steps) -> tuple[int, int, float]:
    """Run one schedule; return the admitted requests, takeovers and the excess."""
    for index in range(HOSTS):
        _start(fleet, index)
    await limits_fleet.wait_for_claims(fleet, 8.0)
    max_excess = 0.0
    for name, *arguments in steps:
        await STEPS[name](fleet, *arguments)
        await trio.sleep(0.01)
        max_excess = max(max_excess, fleet.excess(CLOCK_DRIFT))
    await trio.sleep(3.0)
    max_excess = max(max_excess, fleet.excess(CLOCK_DRIFT))
    row_epochs = [
        row.value["epoch"]
        for key, row in fleet.table.rows.items()
        if key.startswith("limits/slots/")
    ]
    return len(fleet.admitted), sum(epoch > 1 for epoch in row_epochs), max_excess


def _start(fleet, index):
    domain = fleet.slot_layout.domains[index % len(fleet.slot_layout.domains)]
    fleet.start(f"h{index}", domain, rate=CLOCK_RATES[index])


async def _burst(fleet, index, count):
    for number in range(count):
        team = "small" if number % 4 == 3 else "big"
        fleet.nursery.start_soon(fleet.request, f"h{index}", team)


async def _wait(fleet, seconds):
    await trio.sleep(seconds)


async def _crash(fleet, index):
    if f"h{index}" in fleet.hosts:
        fleet.kill(f"h{index}")


async def _restart(fleet, index):
    await _crash(fleet, index)
    _start(fleet, index)


async def _stop(fleet, index):
    host = fleet.hosts.get(f"h{index}")
    if host is None or not host.gate.open.is_set():
        return
    try:
        await fleet.stop(f"h{index}")
    except (table.UnavailableError, table.ConflictError):
        host.scope.cancel()
        fleet.net.detach(f"h{index}")
        fleet.listed.pop(f"h{index}", None)


async def _pause(fleet, index):
    if f"h{index}" in fleet.hosts:
        fleet.pause(f"h{index}")


async def _resume(fleet, index):
    if f"h{index}" in fleet.hosts:
        fleet.resume(f"h{index}")


async def _separate(fleet, mask):
    one_side = [f"h{i}" for i in range(HOSTS) if mask >> i & 1]
    other_side = [f"h{i}" for i in range(HOSTS) if not mask >> i & 1]
    fleet.net.separate(one_side, other_side)


async def _heal(fleet):
    fleet.net.heal()


async def _outage(fleet, down):
    fleet.table.faults.down = down


async def _cut_platform(fleet, index, is_cut_off):
    if f"h{index}" in fleet.hosts:
        fleet.hosts[f"h{index}"].store.is_cut_off = is_cut_off


async def _loss(fleet, ratio):
    fleet.net.lose_request = fleet.net.lose_reply = ratio
    fleet.table.faults.lose_answer = ratio / 2


async def _duplicate(fleet, ratio):
    fleet.net.duplicate = ratio


async def _change(fleet, rate, burst):
    """Change a contract; the check uses the highest limits of all changes."""
    fleet.contracts["big"] = model.Contract("big", rate, burst)


STEPS = {
    "burst": _burst,
    "wait": _wait,
    "crash": _crash,
    "restart": _restart,
    "stop": _stop,
    "pause": _pause,
    "resume": _resume,
    "separate": _separate,
    "heal": _heal,
    "outage": _outage,
    "cut_platform": _cut_platform,
    "loss": _loss,
    "duplicate": _duplicate,
    "change": _change,
}
