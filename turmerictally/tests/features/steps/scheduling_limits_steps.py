"""Steps for the limits that servers name, simulated without a network."""

import bisect

import behave

from turmerictally.scheduling import server_limits, server_rates

WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5
STEP_S = 0.02
SECONDS = 30.0


def view(**changes):
    fields = {"hosts": frozenset({"h0"}), "age_s": 1.0}
    fields |= {"own_row_age_s": 99.0, "renewal_age_s": 1.0} | changes
    return server_rates.HostTableView(**fields)


@behave.given("{count:d} hosts whose tables list each other")
def given_hosts(context, count):
    names = frozenset(f"h{n}" for n in range(count))
    context.rate = 2.0
    context.hosts = [
        server_rates.RateBudgets(
            name,
            read_view=lambda: view(hosts=names),
            limit_of=lambda server: context.rate,
        )
        for name in sorted(names)
    ]


@behave.when(
    "each sends to a server that names {rate:g} a second whenever it may, for 30 s"
)
def eager(context, rate):
    context.rate, context.times = rate, []
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        for host in context.hosts:
            while host.may_send("s", now):
                host.reserve("s", now)
                host.record_send("s", now)
                context.times.append(now)


@behave.then(
    "in any 4 s the server gets at most one and a half times what the limit allows "
    "plus 5"
)
def within(context):
    times = context.times
    most = max(
        bisect.bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times)
    )
    assert most <= FACTOR * context.rate * WINDOW_S + SLACK, most


@behave.then("over the 30 s it gets at least nine tenths of the limit")
def used(context):
    assert len(context.times) >= 0.9 * context.rate * SECONDS, len(context.times)


@behave.when("a host learns that a server {before}, and then that it {after}")
def learns(context, before, after):
    limits = server_limits.ServerLimits()
    now, born_ms = 100.0, 2000
    for text in (before, after):
        if "not responded" in text:
            now += float(text.split(" ")[-2])
            continue
        words = text.split(" ")
        rate = next((float(w) for w in words if w[0].isdigit()), None)
        age_s = 1.0 if "earlier" in text or "before" in text else 0.0
        incarnation = born_ms + 1000 * ("started again" in text)
        incarnation -= 1000 * ("before that" in text)
        if age_s:
            report = {"s": (rate or 0.0, age_s, incarnation)}
            limits.receive(report, now)
        else:
            limits.record("s", incarnation, rate, now)
        now += 0.5
    context.limit = limits.per_s("s", now)
    context.told = limits.report(now)


@behave.then("the server's limit is {limit}")
def limit_is(context, limit):
    expected = None if limit == "none" else float(limit)
    assert context.limit == expected, context.limit


@behave.then("it tells other hosts that the server names none")
def told_none(context):
    per_s, _, _ = context.told["s"]
    assert per_s == 0.0, context.told


@behave.then("the permits of a server that just named 2 a second are idle")
def idle(context):
    assert context.hosts[0].is_idle("s", 1.0)


@behave.when("a host wants to send to a limited server and {what}")
def wants(context, what):
    changes = {
        "its row has been listed for 13 s": {"own_row_age_s": 13.0},
        "its row has been listed for 11 s": {"own_row_age_s": 11.0},
        "the store has not answered for 40 s": {"age_s": 40.0, "renewal_age_s": 40.0},
        "its row has not been renewed for 61 s": {"renewal_age_s": 61.0},
        "its row is no longer listed": {"hosts": frozenset({"h1"})},
    }[what]
    context.host = server_rates.RateBudgets(
        "h0", read_view=lambda: view(**changes), limit_of=lambda server: 2.0
    )


@behave.then("the host {may} send there")
def it_may(context, may):
    assert context.host.may_send("s", 1.0) == (may == "may")


@behave.when(
    "each sends to a server that names {rate:g} a second for 2 s whenever it may"
)
def low_limit(context, rate):
    limits = server_limits.ServerLimits()
    context.rate, context.times = rate, []
    for host in context.hosts:
        host.limit_of = lambda server: limits.per_s(server, context.now)
    limits.record("s", 1, rate, 0.0)
    for step in range(int(22.0 / STEP_S)):
        context.now = step * STEP_S
        for host in context.hosts:
            limited = limits.per_s("s", context.now) is not None
            if limited and host.may_send("s", context.now):
                host.reserve("s", context.now)
                host.record_send("s", context.now)
                context.times.append(context.now)
                named = rate if context.now < 2.0 else None
                limits.record("s", 1, named, context.now)
    context.limit = limits.per_s("s", context.now)


@behave.then("20 s after that no host believes in a limit")
def no_limit(context):
    assert context.limit is None, (context.limit, context.times)


@behave.then(
    "in any 4 s of that the server gets at most one and a half times what the limit "
    "allows plus 5"
)
def within_again(context):
    within(context)
