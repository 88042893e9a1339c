"""Steps for teams that compete for slots, played without a network."""

import behave
import trio

from turmerictally.tests.support import crowd

FITS = 96 / crowd.SERVICE_S  # requests a second
USUAL = crowd.skewed(73, 0.6 * FITS)
QUOTAS = {team: 1.6 * rate for team, rate in USUAL.items()}
HOT = "t1", "t5", "t9"


def wave(now):
    return 1.87 if now % 5.8 >= 3.4 else 0.383


def times(factor, hot=()):
    return lambda now: {
        team: rate * factor * (7.5 if team in hot else 1.0)
        for team, rate in USUAL.items()
    }


def lose_sixth(played):
    played.servers.lost |= {"s0", "s1"}


LOADS = {
    "one team asks for 7.5 times its usual in a crest": (times(1.35, HOT[:1]), ()),
    "three teams ask for 7.5 times their usual in a crest": (times(1.2, HOT), ()),
    "all teams ask for 1.2 times what fits": (times(2.0), ()),
    "crests of 1.12 times what fits follow troughs": (lambda n: times(wave(n))(n), ()),
    "a sixth of the servers goes in such crests": (
        lambda now: times(wave(now))(now),
        [(3.0, lose_sixth)],
    ),
}
GROUPS = [USUAL.keys() & {"t0"}, {f"t{n}" for n in range(1, 20)}]
GROUPS.append(USUAL.keys() - GROUPS[0] - GROUPS[1])


@behave.when("{seconds:d} s pass with {load}")
def plays(context, load, seconds):
    rates_at, events = LOADS[load]
    context.played, context.former = (
        crowd.Crowd(quotas=QUOTAS, former=former).play(rates_at, seconds, events=events)
        for former in (False, True)
    )
    context.others = USUAL.keys() - set(HOT if "three" in load else HOT[:1])
    context.seconds = seconds


@behave.then(
    "the other teams' requests are worth at least {worth:g} and "
    "in each second {worst:g}"
)
def others_worth(context, worth, worst):
    others = context.played.of(*context.others)
    assert crowd.worth(others) >= worth, crowd.worth(others)
    for second in range(1, context.seconds):
        found = context.played.of(*context.others, since=second, until=second + 1)
        assert crowd.worth(found) >= worst, (second, crowd.worth(found))


@behave.then("the former policy gives them at most {former:g}")
def former_others(context, former):
    found = crowd.worth(context.former.of(*context.others))
    assert found <= former, found


@behave.then(
    "all requests are worth at least {worth:g} and "
    "those of no group less than {least:g}"
)
def all_worth(context, worth, least):
    found = crowd.worth(context.played.asked)
    assert found >= worth, found
    groups = [crowd.worth(context.played.of(*group)) for group in GROUPS]
    assert min(groups) >= least, groups


@behave.then("the former policy gives at most {former:g} to all")
def former_all(context, former):
    found = crowd.worth(context.former.asked)
    assert found <= former, found


@behave.when(
    "one team fills the hosts with four times what fits and another asks once a second"
)
def rare(context):
    quotas = {"large": FITS, "rare": 1.0}
    context.played = crowd.Crowd(quotas=quotas).play(
        lambda now: {"large": 4 * FITS, "rare": 1.0}, 20
    )


@behave.then(
    "at least {served:g} of the rare requests are served, {on_time:g} of them on time"
)
def rare_served(context, served, on_time):
    found = context.played.of("rare")
    done = [each for each in found if each.started is not None]
    prompt = [each for each in done if each.value > 0.5]
    assert len(done) >= served * len(found), (len(done), len(found))
    assert len(prompt) >= on_time * len(done), (len(prompt), len(done))


@behave.when(
    "one team asks for three quarters of what fits and has a small quota's weight"
)
def free(context):
    context.played = crowd.Crowd(quotas={"one": 1.0, "two": 1000.0}).play(
        lambda now: {"one": 0.75 * FITS, "two": 0.01 * FITS}, 10
    )


@behave.then("at most {part:g} of its requests are refused")
def few_refused(context, part):
    found = context.played.of("one")
    again = [each for each in found if each.first_tries > 1]
    assert len(again) <= part * len(found), (len(again), len(found))


@behave.when(
    "two teams of the same quota ask for as many requests, one for four times as long"
)
def long_ones(context):
    context.played = crowd.Crowd(quotas={"long": 50.0, "short": 50.0}).play(
        lambda now: {"long": 0.35 * FITS, "short": 0.35 * FITS},
        15,
        seconds_of=lambda team: crowd.SERVICE_S * (4 if team == "long" else 1),
    )


@behave.then(
    "at least {short:g} of the short ones are served and {long:g} of the others"
)
def both_served(context, short, long):
    for team, least in (("short", short), ("long", long)):
        found = context.played.of(team)
        done = [each for each in found if each.started is not None]
        assert len(done) >= least * len(found), (team, len(done), len(found))


@behave.then("the long ones hold at most {part:g} of the slots that are used")
def hold(context, part):
    done = {
        team: sum(each.started is not None for each in context.played.of(team))
        for team in ("short", "long")
    }
    held = 4 * done["long"] / (4 * done["long"] + done["short"])
    assert held <= part, held


@behave.when("no server takes a request for 1 s at three quarters of what fits")
def jump(context):
    def stop(played):
        for member in played.members:
            member.inflight.online.update(dict.fromkeys(played.slots, 8))

    def go_on(played):
        for member in played.members:
            member.inflight.online.subtract(dict.fromkeys(played.slots, 8))

    context.played = crowd.Crowd(quotas=QUOTAS).play(
        times(0.75 / 0.6), 8, events=[(3.0, stop), (4.0, go_on)]
    )


@behave.then("callers' second tries spread over at least {spread_s:g} s")
def spread(context, spread_s):
    found = context.played.of(*USUAL, since=3.0, until=4.0)
    times_back = sorted(each.returned_at for each in found if each.returned_at)
    tenth = len(times_back) // 10
    middle = times_back[tenth : -tenth or None]
    assert len(times_back) > 20, len(times_back)
    assert middle[-1] - middle[0] >= spread_s, middle[-1] - middle[0]


@behave.then("at least {part:g} of all requests are served")
def served(context, part):
    found = [each for each in context.played.asked if each.started is not None]
    assert len(found) >= part * len(context.played.asked), len(found)


@behave.when("callers of one team leave after 0.1 s in a crest that does not fit")
def leave(context):
    context.played = crowd.Crowd(quotas=QUOTAS)
    context.played.patience["t1"] = 0.1
    context.found = []

    def look(played):
        now = trio.current_time()
        for member in played.members:
            room = member.admission.wait_queue
            waiting = [each for each in room.requests if each.team == "t1"]
            late = [e for e in waiting if now > e.start_by - crowd.START_S + 0.1 + 1e-6]
            held = room.work.held["llm", "t1"]
            running = [
                each
                for each in played.of("t1")
                if not each.left and now - each.at <= 0.1 + 1e-6
            ]
            context.found.append((len(late), held <= len(running)))

    events = [(at / 10, look) for at in range(20, 100)]
    context.played.play(times(1.35, HOT[:1]), 10, events=events)
    context.others, context.seconds = USUAL.keys() - {"t1"}, 10


@behave.then("no request of theirs waits or counts after that")
def none_waits(context):
    assert any(each.left for each in context.played.of("t1"))
    assert all(found == (0, True) for found in context.found), context.found
