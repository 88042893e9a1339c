"""Steps for the quarantine of prompt parts, simulated without a network."""

import behave

from turmerictally.entry import gossip
from turmerictally.scheduling import (
    prompt_quarantine,
    request_quarantine,
    server_answers,
)

EXCHANGE_S = 1.0
APART_S = 0.2
NAMES = ("h0", "h1", "h2", "h3")


class Fleet:
    """Hold the quarantines of some hosts that exchange reports."""

    def __init__(self, names=NAMES):
        self.now = 1000.0
        self.late_s = 0.03
        self.hosts = {
            name: prompt_quarantine.PromptQuarantine(name, lambda: names)
            for name in names
        }
        self.cut_off = set()
        self.crashes = 0
        self.trials = []

    def exchange(self, told_by=()):
        for name in told_by or self.hosts:
            host = self.hosts[name]
            report = host.report(self.now)
            answers = host.answers.report(self.now)
            for other, receiver in self.hosts.items():
                if other != name and not {name, other} & self.cut_off:
                    now = self.now + self.late_s
                    receiver.answers.receive(answers, now)
                    receiver.receive(report, now)

    def crash(self, name, *parts):
        self.crashes += 1
        server = f"s{self.crashes}"
        self.hosts[name].record_crash(server, parts, self.now)
        return server

    def quarantined(self):
        return {name: sorted(host.quarantined) for name, host in self.hosts.items()}


@behave.given("four hosts that exchange evidence each second")
def four_hosts(context):
    context.fleet = Fleet()


@behave.given("{count:d} hosts that exchange evidence each second")
def some_hosts(context, count):
    context.fleet = Fleet(tuple(f"h{n}" for n in range(count)))


@behave.when("{crashes} crash 0.2 s apart under prompts of {rest}")
def apart(context, crashes, rest):
    fleet = context.fleet
    parts = rest.split(" ")[0].rstrip(",").split(",")
    if "was served" in rest:
        fleet.hosts["h3"].record_first_event(["aa"], fleet.now - 30.0)
    fleet.crash("h0", *parts)
    fleet.now += APART_S
    fleet.crash("h1" if "different hosts" in rest else "h0", *parts)
    fleet.exchange()
    fleet.exchange()


@behave.when("one server crashes under a prompt of aa,bad")
def one_crash(context):
    fleet = context.fleet
    server = fleet.crash("h0", "aa", "bad")
    # Seen by two hosts, it is still one crash.
    fleet.hosts["h1"].record_crash(server, ("aa", "bad"), fleet.now + 0.01)
    fleet.exchange()
    fleet.exchange()


@behave.when("six servers crash at one moment under prompts of aa,rare")
def power_failure(context):
    fleet = context.fleet
    for number in range(6):
        fleet.crash(NAMES[number % 4], "aa", "rare")
        fleet.now += 0.002
    fleet.exchange()
    fleet.exchange()


@behave.when("servers crash under prompts of aa while others serve it")
def crashes_amid_service(context):
    fleet = context.fleet
    for number in range(6):
        fleet.now += APART_S
        fleet.hosts["h2"].record_first_event(["aa"], fleet.now - 0.1)
        fleet.crash(NAMES[number % 2], "aa")
        fleet.exchange()


@behave.when("two servers crash under prompts of aa,bad and one also of cc,rare")
def bystander(context):
    fleet = context.fleet
    for number in range(2):
        fleet.now += APART_S
        server = fleet.crash("h0", "aa", "bad")
        if number:
            fleet.hosts["h1"].record_crash(server, ("cc", "rare"), fleet.now)
    fleet.exchange()
    fleet.exchange()


@behave.when("servers crash under prompts of aa,bad in quick succession")
def quick_succession(context):
    fleet = context.fleet
    fleet.hosts["h2"].record_first_event(["aa"], fleet.now - 30.0)
    for _ in range(6):
        fleet.crash("h0", "aa", "bad")
        fleet.now += 0.04
    fleet.exchange()
    fleet.exchange()


@behave.then("every host has quarantined {parts}")
def quarantined(context, parts):
    expected = [] if parts == "none" else [parts]
    found = context.fleet.quarantined()
    assert found == dict.fromkeys(context.fleet.hosts, expected), found


@behave.given("a part that every host has quarantined")
def one_quarantined(context):
    fleet = context.fleet
    for _ in range(2):
        fleet.now += APART_S
        fleet.crash("h0", "aa", "bad")
    fleet.exchange()
    quarantined(context, "bad")


@behave.when("one host is cut off from the others, and another one serves a trial")
def served_in_cut(context):
    fleet = context.fleet
    fleet.cut_off = {"h3"}
    fleet.now += prompt_quarantine.FIRST_TRIAL_WAIT_S
    fleet.hosts["h0"].record_first_event(["aa", "bad"], fleet.now)
    fleet.exchange()
    context.in_cut = fleet.quarantined()
    fleet.cut_off = set()
    context.later = []
    for _ in range(40):
        fleet.now += EXCHANGE_S
        fleet.exchange()
        context.later.append(fleet.quarantined())


@behave.then("the three hosts clear the part at once, and the fourth after the cut")
def cleared(context):
    assert context.in_cut == {"h0": [], "h1": [], "h2": [], "h3": ["bad"]}


@behave.then("no host quarantines it again")
def stays_cleared(context):
    for found in context.later[1:]:
        assert found == dict.fromkeys(NAMES, []), found


@behave.when("requests with a crashing part arrive at every host for {seconds:d} s")
def crashing_for_long(context, seconds):
    fleet = context.fleet
    end = fleet.now + seconds
    while fleet.now < end:
        for name, host in fleet.hosts.items():
            fleet.now += APART_S
            if host.check(("aa", "bad"), fleet.now) is None:
                if host.start_trials(("aa", "bad"), fleet.now):
                    fleet.trials.append((name, fleet.now))
                fleet.crash(name, "aa", "bad")
                fleet.exchange()
        fleet.hosts["h2"].record_first_event(["aa"], fleet.now)
        fleet.exchange()


@behave.then("at most {most:d} servers crash")
def few_crashes(context, most):
    assert 2 <= context.fleet.crashes <= most, context.fleet.crashes


@behave.then("each trial is made by one host")
def one_host(context):
    trials = context.fleet.trials
    assert trials and len({name for name, _ in trials}) == 1, trials


@behave.when(
    "the trial is due and only the host that ranks last has requests with the part"
)
def last_has_requests(context):
    fleet = context.fleet
    context.due_at = due_at = fleet.hosts["h0"].quarantined["bad"].trial_at
    fleet.now = due_at - EXCHANGE_S
    last = min(fleet.hosts, key=lambda name: prompt_quarantine.rank_host("bad", name))
    context.trials, context.last = fleet.trials, last
    while fleet.now < due_at + 12.0:
        fleet.now += 0.1
        # From 1 s after the first trial on, every host has such requests.
        tried = [at for _, at in fleet.trials]
        everywhere = bool(tried) and fleet.now > tried[0] + 1.0
        for name in fleet.hosts if everywhere else (last,):
            host = fleet.hosts[name]
            if host.check(("aa", "bad"), fleet.now) is None:
                host.start_trials(("aa", "bad"), fleet.now)
                fleet.trials.append((name, fleet.now))
                # An early digest.
                fleet.exchange(told_by=(name,))


@behave.then("it makes the trial within {seconds:d} s")
def soon_tried(context, seconds):
    assert context.trials, "no trial"
    name, at = context.trials[0]
    assert name == context.last and at <= context.due_at + seconds, context.trials


@behave.then("no two hosts make trials within 5 s of each other")
def trials_apart(context):
    times = [at for _, at in context.trials]
    apart = [later - at for at, later in zip(times, times[1:], strict=False)]
    assert all(gap_s >= 5.0 for gap_s in apart), context.trials


@behave.when(
    "a trial has no outcome and every host has requests with the part {later_s:g} s "
    "later"
)
def no_outcome(context, later_s):
    fleet = context.fleet
    fleet.now = fleet.hosts["h0"].quarantined["bad"].trial_at + 20.0
    fleet.hosts["h0"].start_trials(("bad",), fleet.now)
    fleet.exchange()
    fleet.now += later_s
    context.allowed = [
        name
        for name, host in fleet.hosts.items()
        if host.check(("aa", "bad"), fleet.now) is None
    ]


@behave.then("at most {most:d} hosts may make the next one")
def few_may_try(context, most):
    assert 1 <= len(context.allowed) <= most, context.allowed


@behave.when("a crash was refuted and {then}")
def refuted_then(context, then):
    fleet = context.fleet
    if "late" in then:
        fleet.late_s = 0.2
    servers = [fleet.crash("h0", "aa", "bad")]
    fleet.now += APART_S
    servers.append(fleet.crash("h0", "aa", "bad"))
    fleet.exchange()
    fleet.now += APART_S
    for server in servers:
        answers = fleet.hosts["h1"].answers
        assert answers.record_answer(server, fleet.now + fleet.late_s, fleet.now + 0.5)
    fleet.now += 0.5
    if "starts again" in then:
        fleet.exchange()
        fleet.now += 1.0
        for early, late in (("h0", "h1"), ("h2", "h3")):
            for server in servers:
                fleet.hosts[early].answers.record_restart(server, fleet.now)
            fleet.exchange()
            fleet.now += 0.5
            for server in servers:
                fleet.hosts[late].answers.record_restart(server, fleet.now)
    for _ in range(10):
        fleet.exchange()
        fleet.now += EXCHANGE_S
    if "crash" in then:
        for server in servers:
            fleet.hosts["h2"].record_crash(server, ("aa", "bad"), fleet.now)
            fleet.now += APART_S
    fleet.exchange()
    fleet.exchange()
    for host in fleet.hosts.values():
        host.update()


@behave.when(
    "a host has evidence against prompt parts, items' parts and a request, and a "
    "refuted crash"
)
def all_evidence(context):
    answers = server_answers.ServerAnswers()
    parts = prompt_quarantine.PromptQuarantine("h0", lambda: NAMES, answers=answers)
    parts.record_crash("s0/1", ("aa", "bad"), 10.0)
    parts.quarantined["bad"] = prompt_quarantine.Quarantine("bad", 1, 10.0, 10.0)
    parts.start_trials(("bad",), 11.0)
    requests = request_quarantine.RequestQuarantine(answers, "h0")
    requests.record_crash("00ff", "s0/1", ("aa",), strong=True, now=10.0)
    answers.record_answer("s0/1", 10.5, 10.6)
    fields = {
        "accused_parts": parts.report(12.0),
        "accused_item_parts": parts.report(12.0),
        "accused_requests": requests.report(12.0),
        "answered_servers": answers.report(12.0),
    }
    assert all(fields.values()), fields
    counts = dict.fromkeys(
        ("online", "batch", "admitted", "requested", "table_ages"), {}
    )
    context.digest = gossip.Digest(
        host="h0",
        instance="i",
        address="10.1.0.0:82",
        sequence=1,
        items_waiting=0,
        store_age_s=0.0,
        failing=[],
        **counts,
        **fields,
    )


@behave.then("its digest is decoded with all of that")
def decoded(context):
    assert gossip.decode(context.digest.encode()) == context.digest


@behave.when("the operator exempts that part and lists another one")
def lists(context):
    for host in context.fleet.hosts.values():
        host.exempt, host.fixed = frozenset({"bad"}), frozenset({"cc"})


@behave.then(
    "requests with the first one are sent, and those with the other one are not"
)
def lists_apply(context):
    for host in context.fleet.hosts.values():
        assert host.check(("aa", "bad"), context.fleet.now) is None
        assert host.check(("cc",), context.fleet.now) is not None
