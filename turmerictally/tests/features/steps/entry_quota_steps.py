"""Steps for quotas over all hosts, in simulated time without a network."""

import collections
import random

import behave
import trio
import trio.testing

from turmerictally.entry import dissemination, gossip, model, quota

STEP_S = 0.01
SECONDS = 20.0
WINDOW_S = 5.0


class Time:
    """Give the simulated monotonic time."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now

    def suspended(self):
        return 0.0


class HostTime:
    """Give one host's clocks, which do not count its suspensions as steady time."""

    def __init__(self, shared):
        self.shared = shared
        self.asleep = 0.0

    def monotonic(self):
        return self.shared.now - self.asleep

    def suspended(self):
        return self.asleep


class Member:
    """Hold one host's allowances and when it last told the others."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.starts = 0
        self.frozen = False
        self.start()

    def start(self):
        self.starts += 1
        self.alive = True
        self.time = HostTime(self.fleet.time)
        self.quotas = quota.Quotas(self.time)
        self.quotas.configure((self.fleet.team,))
        self.heard_at = {}
        self.inbox = []
        self.base_at = 0.0

    def step(self):
        now = self.time.monotonic()
        kept = []
        for due, sender, instance, told in self.inbox:
            if due > self.fleet.time.now:
                kept.append((due, sender, instance, told))
                continue
            if sender not in self.heard_at:
                self.base_at = 0.0
            self.quotas.record_peer(sender, instance, *told)
            self.heard_at[sender] = now
        self.inbox = kept
        for sender, at in list(self.heard_at.items()):
            if now - at > gossip.UNREACHABLE_S:
                del self.heard_at[sender]
                self.quotas.remove_peer(sender)
        heard = self.heard_at
        self.quotas.set_group(1 + len(heard), self.fleet.size)


class Fleet:
    """Simulate hosts that tell each other what they admitted."""

    def __init__(self, size, rate, burst):
        self.time = Time()
        self.size = size
        self.team = model.Team("hot", (), float(rate), float(burst))
        self.rate, self.burst = rate, burst
        self.rng = random.Random(7)
        self.members = [Member(self, n) for n in range(size)]
        self.admitted = []
        self.refused = 0
        self.cut = lambda a, b: False
        self.told_s, self.late_s = gossip.DIGEST_PERIOD_S, 0.003
        self.asked = []

    def run(self, factor, trouble=lambda fleet: None, only=None):
        period = round(self.told_s / STEP_S)
        factor_at = factor if callable(factor) else lambda now: factor
        carry = 0.0
        for tick in range(round((SECONDS + 5) / STEP_S)):
            self.time.now = tick * STEP_S
            trouble(self)
            running = [m for m in self.members if m.alive and not m.frozen]
            for member in running:
                if (tick + member.number) % period == 0:
                    self.tell(member)
                member.step()
            if self.time.now < 5.0:
                continue
            carry += factor_at(self.time.now) * self.rate * STEP_S
            while carry >= 1.0:
                carry -= 1.0
                if running:
                    self.ask(only or self.rng.choice(running))

    def tell(self, member):
        base = self.time.now >= member.base_at
        if base:
            member.base_at = self.time.now + dissemination.BASELINE_S
        told = (*member.quotas.report(base), base)
        for other in self.members:
            lost = self.rng.random() < 0.01
            apart = self.cut(member.number, other.number)
            if other is member or not other.alive or apart or lost:
                continue
            due = self.time.now + self.late_s
            sender = str(member.number)
            other.inbox.append((due, sender, str(member.starts), told))

    def ask(self, member):
        self.asked.append(self.time.now)
        if member.quotas.admit("hot") is None:
            self.admitted.append(self.time.now)
        else:
            self.refused += 1

    def worst_window(self):
        worst = first = 0
        for last, at in enumerate(self.admitted):
            while self.admitted[first] < at - WINDOW_S:
                first += 1
            worst = max(worst, last - first + 1)
        return worst


@behave.given("{size:d} hosts and a team of {rate:d} a second, burst {burst:d}")
def fleet(context, size, rate, burst):
    context.fleet = Fleet(size, rate, burst)


def none_fails(fleet):
    pass


def half_cut(fleet):
    cut = 8.0 <= fleet.time.now < 14.0
    half = fleet.size // 2
    fleet.cut = lambda a, b: cut and (a < half) != (b < half)


def alone(fleet):
    cut = 8.0 <= fleet.time.now < 14.0
    fleet.cut = lambda a, b: cut


def all_killed(fleet):
    now = fleet.time.now
    for member in fleet.members:
        if round(now, 3) in (8.0, 12.0, 16.0):
            member.alive = False
        elif round(now, 3) in (9.0, 13.0, 17.0):
            member.start()


def in_turn(fleet):
    second, hundredth = divmod(round(fleet.time.now * 100), 100)
    if second >= 6 and hundredth in (0, 80):
        member = fleet.members[second % fleet.size]
        if hundredth == 0:
            member.alive = False
        else:
            member.start()


def freeze(fleet):
    for member in fleet.members[:4]:
        member.frozen = 7.0 <= fleet.time.now < 10.0
        member.time.asleep += STEP_S * member.frozen


TROUBLES = collections.OrderedDict(
    {
        "nothing fails": none_fails,
        "half the hosts are cut off": half_cut,
        "each host is alone": alone,
        "all hosts are killed at once": all_killed,
        "hosts are restarted in turn": in_turn,
        "hosts freeze and wake": freeze,
    }
)


@behave.when("the team sends {factor:g} times its rate while {trouble}")
def sends(context, factor, trouble):
    context.fleet.run(factor, TROUBLES[trouble])


@behave.when("the team sends {factor:g} times its rate to one host")
def to_one(context, factor):
    context.fleet.run(factor, only=context.fleet.members[0])


@behave.when(
    "the team sends {factor:g} times its rate to one host that does not hear the others"
)
def to_deaf(context, factor):
    context.fleet.cut = lambda a, b: True
    context.fleet.run(factor, only=context.fleet.members[0])


@behave.then(
    "in each 5 s window at most a tenth and 20 more than the quota are admitted"
)
def within(context):
    fleet = context.fleet
    bound = (fleet.rate * WINDOW_S + fleet.burst) * 1.1 + 20
    assert fleet.worst_window() <= bound, (fleet.worst_window(), bound)


@behave.then("at least {part:g} of the quota is admitted")
def at_least(context, part):
    admitted = len(context.fleet.admitted)
    owed = context.fleet.rate * SECONDS
    assert admitted >= part * owed, admitted / owed


@behave.then("none of its requests is refused")
def none_refused(context):
    assert context.fleet.refused == 0, context.fleet.refused
    assert context.fleet.admitted


@behave.when(
    "it sends {calm:g} of its rate, then {hot:g} times for 6.5 s, "
    "told {late_s:g} s late"
)
def turns_hot(context, calm, hot, late_s):
    fleet = context.fleet
    fleet.told_s = fleet.late_s = late_s
    fleet.run(lambda now: hot if 10.0 <= now < 16.5 else calm)


@behave.then("at least {part:g} of what one bucket would admit is admitted")
def as_one_bucket(context, part):
    fleet = context.fleet
    level, at, admits = fleet.burst, 0.0, 0
    for now in fleet.asked:
        level, at = min(fleet.burst, level + fleet.rate * (now - at)), now
        if level >= 1:
            level, admits = level - 1, admits + 1
    assert len(fleet.admitted) >= part * admits, (len(fleet.admitted), admits)


@behave.then("before it turns hot none is refused")
def none_before(context):
    fleet = context.fleet
    asked, admitted = (
        sum(at < 10.0 for at in times) for times in (fleet.asked, fleet.admitted)
    )
    assert asked == admitted > 0, (asked, admitted)


@behave.then("most of its requests are refused")
def most_refused(context):
    assert context.fleet.refused > len(context.fleet.admitted)


@behave.when("a fleet grows to {count:d} hosts")
def grows(context, count):
    context.hosts = gossip.HostDirectory("h0", "i0", Time(), None)
    for n in range(count):
        record = gossip.HostRecord(f"h{n}", "i", f"10.1.0.{n}:82", 0, 0.0)
        context.hosts.records[record.host] = record


@behave.then("a host takes at most {most:d} digests a second")
def takes(context, most):
    others = len(context.hosts.records) - 1
    assert others / context.hosts.digest_period_s() <= most


class Endpoint:
    """Take what a host sends; nothing arrives."""

    async def open_datagram_socket(self, address):
        return self

    def send_to(self, address, data):
        pass

    async def receive(self):
        await trio.sleep_forever()

    def close(self):
        pass


@behave.then("it takes at most {most:d} when every host tells each change at once")
def nudged(context, most):
    endpoint, hosts = Endpoint(), context.hosts
    seconds = 20
    found = []

    def make(sequence, full, base):
        return gossip.Digest("h0", "i0", "", sequence, {}, {}, 0, {}, {}, {}, 0.0, [])

    async def main():
        told = dissemination.Disseminator(endpoint, hosts, "", make, print, print)
        found.append(told)
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(told.run)
                while True:
                    told.send_full_digest()
                    await trio.sleep(0.001)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    others = len(hosts.records) - 1
    # As many as one host makes for all others, each of them takes, directly or in
    # bundles; the first is sent at once.
    taken = found[0].sequence * others
    assert others < taken <= most * seconds + others, taken


@behave.then("two lost digests in a row are no silence")
def no_silence(context):
    assert context.hosts.unreachable_s() >= 3 * context.hosts.digest_period_s()
