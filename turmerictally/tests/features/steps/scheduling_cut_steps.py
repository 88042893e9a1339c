"""Steps for what a host concludes while others cannot be received."""

import random

import behave

from turmerictally.entry import gossip
from turmerictally.scheduling import connect_timeout, ownership

STEP_S = 0.01
DIGEST_S = 0.05
DOMAINS = "abc"
HOSTS = 12


class Time:
    """Give the simulated time."""

    now = 0.0

    def monotonic(self):
        return self.now


class Lines:
    """Discard log lines."""

    def emit(self, *args, **fields):
        pass


class Site:
    """Hold one host's directory, to which the other hosts send digests."""

    def __init__(self):
        self.time = Time()
        self.events = []
        self.hosts = gossip.HostDirectory("h0", "i", self.time, Lines(), domain="a")
        for number in range(HOSTS):
            domain = DOMAINS[number % len(DOMAINS)]
            self.hosts.records[f"h{number}"] = gossip.HostRecord(
                f"h{number}", "i", "", 0, 0.0, domain
            )
        for name in ("silent", "heard"):
            setattr(self.hosts, f"on_domain_{name}", self.recorder(name))

    def recorder(self, name):
        return lambda domain: self.events.append((name, domain, self.time.now))

    def run(self, seconds, is_lost, is_suspended=lambda now: False):
        for tick in range(round(seconds / STEP_S)):
            self.time.now = tick * STEP_S
            if is_suspended(self.time.now):
                continue
            for number in range(1, HOSTS):
                domain = DOMAINS[number % len(DOMAINS)]
                sends = (tick + number) % round(DIGEST_S / STEP_S) == 0
                if sends and not is_lost(number, domain, self.time.now):
                    self.receive(number, domain, tick)
            if tick % round(DIGEST_S / STEP_S) == 0:
                self.hosts.expire()

    def receive(self, number, domain, sequence):
        self.hosts.receive(
            gossip.Digest(
                f"h{number}", "i", "", sequence, {}, {}, 0, {}, {}, {}, 0.0, [], domain
            )
        )


@behave.when(
    'nothing of domain "{name}" is received from {start:g} s on, for {seconds:g} s'
)
def domain_cut(context, name, start, seconds):
    context.start, context.end = start, start + seconds
    context.site = Site()
    context.site.run(
        context.end + 1.0,
        lambda number, domain, now: domain == name and start <= now < start + seconds,
    )


@behave.then('domain "{name}" alone is suspected within {within_s:g} s')
def suspected(context, name, within_s):
    silent = [(d, at) for kind, d, at in context.site.events if kind == "silent"]
    assert [domain for domain, _ in silent] == [name], context.site.events
    assert silent[0][1] <= context.start + within_s, silent


@behave.then("it is trusted again within {within_s:g} s after that")
def trusted(context, within_s):
    heard = [at for kind, _, at in context.site.events if kind == "heard"]
    assert len(heard) == 1 and context.end <= heard[0] <= context.end + within_s, heard


@behave.when("for 30 s one digest in ten is lost")
def lossy(context):
    rng = random.Random(4)
    context.site = Site()
    context.site.run(30.0, lambda *_: rng.random() < 0.1)


@behave.when("for 30 s this host itself is suspended for 2 s each 5 s")
def suspended(context):
    context.site = Site()
    context.site.run(30.0, lambda *_: False, lambda now: now % 5.0 >= 3.0)


@behave.when('for 30 s one host of domain "b" sends nothing')
def one_silent(context):
    context.site = Site()
    context.site.run(30.0, lambda number, domain, now: number == 1 and now >= 1.0)


@behave.then("no domain is suspected")
def none_suspected(context):
    assert not context.site.events, context.site.events
    assert len(context.site.hosts.peers) >= HOSTS - 2


@behave.when("earlier connections took {before} s")
def connections(context, before):
    context.times = connect_timeout.ConnectTimes()
    for text in () if before == "nothing yet" else before.split(", "):
        context.times.record(float(text))


@behave.then("a connection is given up after {timeout_s:g} s")
def given_up(context, timeout_s):
    assert abs(context.times.timeout_s() - timeout_s) < 1e-9


@behave.when(
    "an owner is {state}, silent for {silent_s:g} s with a row of {row_s:g} s, "
    "seen from {view}"
)
def owner(context, state, silent_s, row_s, view):
    context.evidence = ownership.OwnerEvidence(
        registered="restarted" not in state,
        reachable="unreachable" not in state,
        store_age_s=3.0 if state == "without the store" else 0.2,
        silent_s=silent_s,
        row_age_s=row_s,
        row_renewal_s=gossip.MIN_ROW_RENEWAL_S,
        reaches_majority=view == "the most hosts",
    )


@behave.then("its jobs are taken over: {taken}")
def taken_over(context, taken):
    assert ownership.is_lost(context.evidence) == (taken == "yes"), context.evidence
