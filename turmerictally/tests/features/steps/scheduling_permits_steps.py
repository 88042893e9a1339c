"""Steps for what permits cost, in lines of code that run."""

import contextlib
import itertools
import statistics
import sys

import behave

from turmerictally.scheduling import server_rates

MAX_STEPS = 5_000_000  # a host that takes more is stopped
SERVERS = [f"s{n}" for n in range(10)]


@contextlib.contextmanager
def counted_steps():
    """Count the lines that run, and raise if there are too many."""
    steps = itertools.count()
    counts = []

    def trace(frame, event, argument):
        if event == "line" and next(steps) > MAX_STEPS:
            raise AssertionError(f"still busy after {MAX_STEPS} lines")
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        yield counts
    finally:
        sys.settrace(before)
        counts.append(next(steps))


@behave.given("a host that sees {count:d} hosts")
def sees(context, count):
    context.names = {f"h{n}" for n in range(count)}
    context.limits, context.cold_rates = {}, {}
    context.budgets = server_rates.RateBudgets(
        "h0",
        rate_of=lambda server: context.cold_rates.get(server, 0.0),
        read_view=lambda: server_rates.HostTableView(
            frozenset(context.names), 1.0, 99.0, 1.0
        ),
        limit_of=lambda server: context.limits.get(server),
    )
    # Reads the table and what the first use of anything computes.
    context.limits["other"] = 100.0
    context.budgets.may_send("other", 0.0)
    context.now = 1.0


def learn(context, server):
    with counted_steps() as counts:
        context.budgets.owned_permits(server, context.now)
    return counts[0]


@behave.when("a server {names} 100 a second, and another one {number:d}")
def two_servers(context, names, number):
    rates = {"s0": 100.0, "s1": float(number)}
    if "limit" in names:
        context.limits |= rates
    else:
        context.cold_rates |= rates
        for server in rates:
            context.budgets.mark_cold(server, 30.0, 0.0, in_use=False)
    context.steps = [learn(context, server) for server in rates]


@behave.then("the second takes the host at most 4 times the steps of the first")
def as_few_steps(context):
    first, second = context.steps
    assert second <= 4 * first, context.steps


@behave.then("the host may send to it")
def may_send(context):
    assert context.budgets.may_send("s1", context.now)


def learn_all(context):
    context.now += 1.0
    with counted_steps() as counts:
        for server in SERVERS:
            context.budgets.owned_permits(server, context.now)
    return counts[0]


@behave.when("it learns its permits of 10 servers that name 200 a second")
def learns(context):
    context.limits |= dict.fromkeys(SERVERS, 200.0)
    context.first_steps = learn_all(context)


@behave.when(
    "{count:d} of the other hosts are replaced one by one, and each time it learns "
    "them again"
)
def replaced(context, count):
    context.again_steps = []
    for n in range(1, 1 + count):
        context.names -= {f"h{n}"}
        context.names |= {f"h{1000 + n}"}
        context.again_steps.append(learn_all(context))


@behave.then("that takes on average at most half of the steps")
def fewer(context):
    average = statistics.mean(context.again_steps)
    assert average <= 0.5 * context.first_steps, (average, context.first_steps)


@behave.when(
    "a server names a limit of {limit:d} a second, and the host sends it {few:d} "
    "requests, then {many:d}"
)
def sends(context, limit, few, many):
    context.limits["s0"] = float(limit)
    context.budgets.owned_permits("s0", context.now)
    context.steps = []
    for count in (few, many):
        for _ in range(count):
            context.now += 0.0001
            context.budgets.reserve("s0", context.now)
            context.budgets.record_send("s0", context.now)
        with counted_steps() as counts:
            assert context.budgets.may_send("s0", context.now)
        context.steps += counts


@behave.then(
    "deciding on one more takes at most {factor:d} times the steps after {many:d} than "
    "after {few:d}"
)
def flat(context, factor, many, few):
    first, second = context.steps
    assert second <= factor * first, context.steps
