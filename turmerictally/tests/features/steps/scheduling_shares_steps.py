"""Steps for teams that compete for slots, simulated without a network."""

import behave
import trio

from turmerictally.bench import crowd

CAPACITY_PER_S = 96 / crowd.SERVICE_S
RATES = crowd.skewed(73, 0.6 * CAPACITY_PER_S)
QUOTAS = {team: 1.6 * rate for team, rate in RATES.items()}
HEAVY = "t1", "t5", "t9"


def alternating(now):
    return 1.87 if now % 5.8 >= 3.4 else 0.383


def scaled(factor, heavy=()):
    return lambda now: {
        team: rate * factor * (7.5 if team in heavy else 1.0)
        for team, rate in RATES.items()
    }


def lose_sixth(simulation):
    simulation.servers.lost |= {"s0", "s1"}


LOADS = {
    "one team sends 7.5 times its normal rate at a peak": (scaled(1.35, HEAVY[:1]), ()),
    "three teams send 7.5 times their normal rate at a peak": (scaled(1.2, HEAVY), ()),
    "all teams send 1.2 times the capacity": (scaled(2.0), ()),
    "peaks of 1.12 times the capacity after troughs": (
        lambda n: scaled(alternating(n))(n),
        (),
    ),
    "a sixth of the servers is lost at such peaks": (
        lambda now: scaled(alternating(now))(now),
        [(3.0, lose_sixth)],
    ),
}
GROUPS = [RATES.keys() & {"t0"}, {f"t{n}" for n in range(1, 20)}]
GROUPS.append(RATES.keys() - GROUPS[0] - GROUPS[1])


@behave.when("{seconds:d} s pass with {load}")
def simulate(context, load, seconds):
    rates_at, events = LOADS[load]
    context.simulation, context.former = (
        crowd.Crowd(quotas=QUOTAS, former=former).run(rates_at, seconds, events=events)
        for former in (False, True)
    )
    context.others = RATES.keys() - set(HEAVY if "three" in load else HEAVY[:1])
    context.seconds = seconds


@behave.then(
    "the other teams' mean value is at least {mean:g} and in each second {worst:g}"
)
def others_value(context, mean, worst):
    requests = context.simulation.of(*context.others)
    assert crowd.mean_value(requests) >= mean, crowd.mean_value(requests)
    for second in range(1, context.seconds):
        recent = context.simulation.of(*context.others, since=second, until=second + 1)
        assert crowd.mean_value(recent) >= worst, (second, crowd.mean_value(recent))


@behave.then("with the former policy it is at most {former:g}")
def former_others(context, former):
    value = crowd.mean_value(context.former.of(*context.others))
    assert value <= former, value


@behave.then(
    "the mean value of all requests is at least {mean:g} and of each group {least:g}"
)
def all_value(context, mean, least):
    value = crowd.mean_value(context.simulation.requests)
    assert value >= mean, value
    groups = [crowd.mean_value(context.simulation.of(*group)) for group in GROUPS]
    assert min(groups) >= least, groups


@behave.then("with the former policy that of all requests is at most {former:g}")
def former_all(context, former):
    value = crowd.mean_value(context.former.requests)
    assert value <= former, value


@behave.when("one team sends four times the capacity and another one request a second")
def rare(context):
    quotas = {"large": CAPACITY_PER_S, "rare": 1.0}
    context.simulation = crowd.Crowd(quotas=quotas).run(
        lambda now: {"large": 4 * CAPACITY_PER_S, "rare": 1.0}, 20
    )


@behave.then(
    "at least {served:g} of the rare requests are served, {on_time:g} of them on time"
)
def rare_served(context, served, on_time):
    requests = context.simulation.of("rare")
    done = [request for request in requests if request.started_at is not None]
    prompt = [request for request in done if request.value > 0.5]
    assert len(done) >= served * len(requests), (len(done), len(requests))
    assert len(prompt) >= on_time * len(done), (len(prompt), len(done))


@behave.when(
    "one team sends three quarters of the capacity and has a small quota's weight"
)
def free(context):
    context.simulation = crowd.Crowd(quotas={"one": 1.0, "two": 1000.0}).run(
        lambda now: {"one": 0.75 * CAPACITY_PER_S, "two": 0.01 * CAPACITY_PER_S}, 10
    )


@behave.then("at most {part:g} of its requests are refused")
def few_refused(context, part):
    requests = context.simulation.of("one")
    retried = [request for request in requests if request.attempts > 1]
    assert len(retried) <= part * len(requests), (len(retried), len(requests))


@behave.when(
    "two teams of the same quota send equal rates, one of requests four times as long"
)
def long_ones(context):
    context.simulation = crowd.Crowd(quotas={"long": 50.0, "short": 50.0}).run(
        lambda now: {"long": 0.35 * CAPACITY_PER_S, "short": 0.35 * CAPACITY_PER_S},
        15,
        seconds_of=lambda team: crowd.SERVICE_S * (4 if team == "long" else 1),
    )


@behave.then(
    "at least {short:g} of the short ones are served and {long:g} of the others"
)
def both_served(context, short, long):
    for team, least in (("short", short), ("long", long)):
        requests = context.simulation.of(team)
        done = [request for request in requests if request.started_at is not None]
        assert len(done) >= least * len(requests), (team, len(done), len(requests))


@behave.then("the long ones use at most {part:g} of the busy slots")
def hold(context, part):
    done = {
        team: sum(
            request.started_at is not None for request in context.simulation.of(team)
        )
        for team in ("short", "long")
    }
    ratio = 4 * done["long"] / (4 * done["long"] + done["short"])
    assert ratio <= part, ratio


@behave.when("no server takes a request for 1 s at three quarters of the capacity")
def outage(context):
    def stop(simulation):
        for member in simulation.members:
            member.inflight.online.update(dict.fromkeys(simulation.engines, 8))

    def resume(simulation):
        for member in simulation.members:
            member.inflight.online.subtract(dict.fromkeys(simulation.engines, 8))

    context.simulation = crowd.Crowd(quotas=QUOTAS).run(
        scaled(0.75 / 0.6), 8, events=[(3.0, stop), (4.0, resume)]
    )


@behave.then("callers' retries are spread over at least {spread_s:g} s")
def spread(context, spread_s):
    requests = context.simulation.of(*RATES, since=3.0, until=4.0)
    retries_at = sorted(
        request.retried_at for request in requests if request.retried_at
    )
    tenth = len(retries_at) // 10
    middle = retries_at[tenth : -tenth or None]
    assert len(retries_at) > 20, len(retries_at)
    assert middle[-1] - middle[0] >= spread_s, middle[-1] - middle[0]


@behave.then("at least {part:g} of all requests are served")
def served(context, part):
    done = [
        request
        for request in context.simulation.requests
        if request.started_at is not None
    ]
    assert len(done) >= part * len(context.simulation.requests), len(done)


@behave.when("callers of one team disconnect after 0.1 s at a peak beyond capacity")
def disconnect(context):
    context.simulation = crowd.Crowd(quotas=QUOTAS)
    context.simulation.max_wait_s["t1"] = 0.1
    context.checks = []

    def check(simulation):
        now = trio.current_time()
        for member in simulation.members:
            queue = member.admission.wait_queue
            waiting = [queued for queued in queue.requests if queued.team == "t1"]
            overdue = [
                e for e in waiting if now > e.start_by - crowd.MAX_START_S + 0.1 + 1e-6
            ]
            held = queue.demand.active["llm", "t1"]
            running = [
                request
                for request in simulation.of("t1")
                if not request.disconnected and now - request.arrived_at <= 0.1 + 1e-6
            ]
            context.checks.append((len(overdue), held <= len(running)))

    events = [(at / 10, check) for at in range(20, 100)]
    context.simulation.run(scaled(1.35, HEAVY[:1]), 10, events=events)
    context.others, context.seconds = RATES.keys() - {"t1"}, 10


@behave.then("none of their requests is queued or counted after that")
def none_waits(context):
    assert any(request.disconnected for request in context.simulation.of("t1"))
    assert all(check == (0, True) for check in context.checks), context.checks
