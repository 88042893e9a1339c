"""Steps for the quarantine of requests, simulated without a network."""

import behave

from turmerictally.scheduling import (
    prompt_quarantine,
    request_quarantine,
    server_answers,
)

EXCHANGE_S = 1.0
APART_S = 0.2
DELAY_S = 0.03
NAMES = ("h0", "h1", "h2")


class Host:
    """Hold what one host decides on requests and on parts of prompts."""

    def __init__(self, name):
        answers = server_answers.ServerAnswers()
        self.requests = request_quarantine.RequestQuarantine(
            answers, name, lambda: NAMES
        )
        self.parts = prompt_quarantine.PromptQuarantine(
            name,
            lambda: NAMES,
            explained_crashes=self.requests.explained_crashes,
            answers=answers,
        )

    def refused(self):
        self.parts.update()
        return sorted([*self.requests.quarantined(), *self.parts.quarantined])


class Fleet:
    """Hold hosts that exchange evidence, and let servers crash."""

    def __init__(self):
        self.now = 1000.0
        self.hosts = {name: Host(name) for name in NAMES}
        self.cut_off = set()
        self.crashed_at = []

    def exchange(self):
        for name, host in self.hosts.items():
            requests = host.requests.report(self.now)
            parts = host.parts.report(self.now)
            for other, receiver in self.hosts.items():
                if other != name and not {name, other} & self.cut_off:
                    receiver.requests.receive(requests, self.now + DELAY_S)
                    receiver.parts.receive(parts, self.now + DELAY_S)

    def crash(self, name, identity, parts=("aa", "bb"), *, begins=True, server=""):
        if not server:
            self.crashed_at.append(self.now)
            server = f"s{len(self.crashed_at)}"
        host = self.hosts[name]
        host.requests.record_crash(identity, server, parts, strong=begins, now=self.now)
        if begins:
            host.parts.record_crash(server, parts, self.now)
        return server

    def serve(self, name, identity, parts=("aa", "bb")):
        self.hosts[name].parts.record_first_event(parts, self.now)
        self.hosts[name].requests.record_complete(identity, self.now)

    def refused(self):
        return {name: host.refused() for name, host in self.hosts.items()}


@behave.given("three hosts that exchange evidence on requests and on parts each second")
def three_hosts(context):
    context.fleet = Fleet()


@behave.when("{servers} crash as they begin {rest}")
@behave.when("{servers} crashes as it begins {rest}")
def crash_beginning(context, servers, rest):
    fleet = context.fleet
    under = ["x"] * {"one": 1, "two": 2, "three": 3, "four": 4}[servers.split()[0]]
    if "x, y and z" in rest:
        under = ["x", "y", "z"]
    elif "two more" in rest:
        under += ["y", "y"]
    if "just served" in rest:
        fleet.serve("h2", "x")
    apart_s = {"at one moment": 0.002, "40 ms apart": 0.04}
    for number, identity in enumerate(under):
        fleet.now += apart_s.get(servers.partition(" servers ")[2], APART_S)
        parts = ("aa", identity) if "with aa" in rest else ("aa", "bb")
        server = fleet.crash(NAMES[number % 2], identity, parts)
        if "y writes" in rest:
            fleet.crash("h2", "y", begins=False, server=server)
    fleet.exchange()
    if "answers later" in rest:
        fleet.now += EXCHANGE_S
        assert fleet.hosts["h2"].refused()
        for host in fleet.hosts.values():
            host.requests.answers.record_answer(server, fleet.now, fleet.now + 0.1)
    fleet.exchange()


@behave.then("each host sends x on, and refuses y")
def operator_lists(context):
    for host in context.fleet.hosts.values():
        host.requests.exempt, host.requests.fixed = frozenset("x"), frozenset("y")
        assert host.requests.check("x", context.fleet.now) is None
        assert host.requests.check("y", context.fleet.now).retry_after_s > 0


@behave.when("three servers crash while x writes events there")
def crash_with_events(context):
    for number in range(3):
        context.fleet.now += APART_S
        context.fleet.crash(NAMES[number], "x", begins=False)
    context.fleet.exchange()


@behave.then("every host refuses just {refused}")
def refuses(context, refused):
    expected = [] if refused == "nothing" else sorted(refused.split(","))
    found = context.fleet.refused()
    assert found == dict.fromkeys(NAMES, expected), found


@behave.when("a request that crashes servers arrives at every host for {seconds:d} s")
def crashing_for_long(context, seconds):
    fleet = context.fleet
    end = fleet.now + seconds
    context.trials = []
    while fleet.now < end:
        # The first host stops getting it once the request is in quarantine.
        for name in NAMES[bool(context.trials) :]:
            requests = fleet.hosts[name].requests
            if requests.check("x", fleet.now) is None:
                if requests.start_trial("x", fleet.now) is not None:
                    context.trials.append((fleet.now, name))
                fleet.crash(name, "x")
            fleet.now += 0.02
        fleet.now += APART_S
        fleet.exchange()


@behave.then(
    "later than {stable_s:g} s after the third crash at most {most:d} more servers "
    "crash"
)
def few_more(context, stable_s, most):
    third_at = context.fleet.crashed_at[2]
    late = [at for at in context.fleet.crashed_at if at > third_at + stable_s]
    assert len(late) <= most, late


@behave.then("each trial is made by one host, though one host gets no such request")
def one_at_a_time(context):
    times = [at for at, _ in context.trials]
    assert len(times) >= 2, times
    for before, after in zip(times, times[1:], strict=False):
        assert after - before >= prompt_quarantine.FIRST_TRIAL_WAIT_S, times


@behave.when("a trial is served while one host is cut off")
def trial_served(context):
    fleet = context.fleet
    for _ in range(2):
        fleet.now += APART_S
        fleet.crash("h0", "x")
    fleet.exchange()
    refuses(context, "x")
    fleet.cut_off = {"h2"}
    fleet.now += prompt_quarantine.FIRST_TRIAL_WAIT_S
    fleet.serve("h0", "x")
    fleet.exchange()
    context.in_cut = fleet.refused()
    fleet.cut_off = set()
    context.later = []
    for _ in range(40):
        fleet.now += EXCHANGE_S
        fleet.exchange()
        context.later.append(fleet.refused())


@behave.then(
    "the others clear the request at once, the last one after the cut, and for good"
)
def cleared(context):
    assert context.in_cut == {"h0": [], "h1": [], "h2": ["x"]}, context.in_cut
    for found in context.later[1:]:
        assert found == dict.fromkeys(NAMES, []), found
