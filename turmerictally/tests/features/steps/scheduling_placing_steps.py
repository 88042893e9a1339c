"""Steps for the choice of servers under load, simulated without a network."""

import collections
import random

import behave

from turmerictally.entry import gossip
from turmerictally.scheduling import placing

STEP_S = 0.005
TOLD_S = 0.05
SERVICE_S = 0.67
ITEM_S = 4.6
RATE = 42.0
SECONDS = 24.0
WAIT_S = 0.25
ALL = "a:shared", "own"
SHORT_S = 0.5  # a run of an item that made nearly nothing


class Site:
    """Simulate hosts that choose servers by counts told every ``TOLD_S``."""

    def __init__(self, hosts, servers, slots, seed=3, told_s=TOLD_S):
        self.told_s = told_s
        # Whether items take slots that are free at the moment, as among few hosts.
        self.momentary = hosts <= gossip.MAX_DIRECT_HOSTS
        self.peaks = [placing.Peaks() for _ in range(hosts)]
        self.runs = self.short_runs = 0
        self.hosts, self.slots = hosts, slots
        self.names = [f"s{n}" for n in range(servers)]
        self.rng = random.Random(seed)
        self.now = 0.0
        self.online = [collections.Counter() for _ in range(hosts)]
        self.batch = [collections.Counter() for _ in range(hosts)]
        self.told = [(collections.Counter(), collections.Counter())] * hosts
        self.queues = {name: [] for name in self.names}
        self.running = {name: [] for name in self.names}
        self.waits = []
        self.refused = 0
        self.placed = collections.Counter()
        self.free_slots = self.used_slots = 0
        self.lost = set()

    def loads(self, host):
        found = []
        for n, name in enumerate(self.names):
            if name in self.lost:
                continue
            others = [told for h, told in enumerate(self.told) if h != host]
            batch = {str(h): b[name] for h, (_, b) in enumerate(self.told) if b[name]}
            batch.pop(str(host), None)
            if self.batch[host][name]:
                batch[str(host)] = self.batch[host][name]
            online = self.online[host][name] + sum(o[name] for o, _ in others)
            peak = self.peaks[host].note(name, online, self.now)
            peak = online if self.momentary else peak
            found.append(
                placing.Load(name, "abcd"[n % 4], self.slots, online, batch, peak)
            )
        return found

    def choose(self, host, parts):
        chosen = placing.choose(
            self.loads(host),
            domain="abcd"[host % 4],
            prompt_parts=parts,
            rng=self.rng,
        )
        return chosen and chosen.name

    def choose_any(self, host, parts):
        return self.rng.choice([n for n in self.names if n not in self.lost])

    def run(self, rate_at, *, batch=False, parts=(), choose=None):
        choose = choose or self.choose
        while self.now < SECONDS:
            self.now += STEP_S
            self.finish()
            if round(self.now / STEP_S) % round(self.told_s / STEP_S) == 0:
                self.tell(batch)
            if self.rng.random() < rate_at(self.now) * STEP_S:
                self.ask(choose, parts)
            self.fill()
            if batch:
                self.count_slots()

    def ask(self, choose, parts):
        host = self.rng.randrange(self.hosts)
        name = choose(host, parts or (f"{self.rng.randrange(40)}:x", "own"))
        if name is None:
            self.refused += 1
            return
        self.online[host][name] += 1
        self.placed[name] += 1
        self.queues[name].append(("online", host, self.now))
        load = next(load for load in self.loads(host) if load.name == name)
        if load.total > load.slots:
            # A host that fills a server tells the others.
            self.told[host] = self.counts(host)  # told at once
            for other in range(self.hosts):
                self.give_way(other)

    def counts(self, host):
        return self.online[host].copy(), self.batch[host].copy()

    def tell(self, batch):
        self.told = [self.counts(host) for host in range(self.hosts)]
        for host in range(self.hosts):
            self.give_way(host)
            if not batch:
                continue
            for name in placing.batch_starts(
                self.loads(host),
                waiting=50,
                waiting_elsewhere=50 * (self.hosts - 1),
                rng=self.rng,
            ):
                self.batch[host][name] += 1
                self.queues[name].append(("batch", host, self.now))
                self.runs += 1

    def give_way(self, host):
        for load in self.loads(host):
            for _ in range(placing.batch_stops(load, str(host))):
                self.stop_one(host, load.name)

    def stop_one(self, host, name):
        for lane in (self.queues[name], self.running[name]):
            for entry in lane:
                if entry[0] == "batch" and entry[1] == host:
                    lane.remove(entry)
                    began = entry[2] - (ITEM_S if lane is self.running[name] else 0.0)
                    self.short_runs += self.now - began < SHORT_S
                    self.batch[host][name] -= 1
                    return

    def fill(self):
        for name in self.names:
            while self.queues[name] and len(self.running[name]) < self.slots:
                kind, host, since = self.queues[name].pop(0)
                takes = SERVICE_S if kind == "online" else ITEM_S
                if kind == "online":
                    self.waits.append(self.now - since)
                self.running[name].append((kind, host, self.now + takes))

    def finish(self):
        for name in self.names:
            for entry in [e for e in self.running[name] if e[2] <= self.now]:
                self.running[name].remove(entry)
                counts = self.online if entry[0] == "online" else self.batch
                counts[entry[1]][name] -= 1

    def count_slots(self):
        for name in self.names:
            online = sum(entry[0] == "online" for entry in self.running[name])
            self.free_slots += self.slots - online
            self.used_slots += len(self.running[name]) - online

    def late_share(self):
        return sum(wait > WAIT_S for wait in self.waits) / len(self.waits)


def by_turns(now):
    return RATE * (1.87 if now % 5.8 >= 3.4 else 0.383)


@behave.given("{hosts:d} hosts before {servers:d} servers of {slots:d} slots")
def site(context, hosts, servers, slots):
    context.make = lambda: Site(hosts, servers, slots)


@behave.when(
    "online requests come at 1.9 and 0.4 times 42 a second by turns with {more}"
)
def come(context, more):
    batch = more == "batch items in every free slot"
    context.site, context.other = context.make(), context.make()
    if more == "a third of the servers lost":
        context.site.lost = {"s0", "s1", "s2"}
    context.site.run(by_turns, batch=batch)
    context.other.run(by_turns, batch=batch, choose=context.other.choose_any)


@behave.then("at most {late:d} in 100 wait longer than 0.25 s for a slot")
def at_most(context, late):
    assert context.site.refused <= 0.01 * len(context.site.waits)
    assert context.site.late_share() <= late / 100, context.site.late_share()


@behave.then("with random servers {worse:d} times as many would wait")
def random_worse(context, worse):
    least = max(context.site.late_share(), 0.002)
    assert context.other.late_share() >= worse * least, context.other.late_share()


@behave.then("batch items hold at least {part:g} of the slots that are free")
def hold(context, part):
    held = context.site.used_slots / context.site.free_slots
    assert held >= part, held


@behave.then(
    "what is refused is at most what does not fit, by {slack:g} of all requests"
)
def refused_fits(context, slack):
    site = context.site
    asked = len(site.waits) + site.refused + sum(map(len, site.queues.values()))
    capacity = 6 * 8 / SERVICE_S
    over = sum(max(0.0, by_turns(n * 0.1) - capacity) * 0.1 for n in range(240))
    assert site.refused <= over + slack * asked, (site.refused, over, asked)


@behave.given(
    "{hosts:d} hosts before {servers:d} servers of {slots:d} slots that tell each "
    "other each {told_s:g} s"
)
def site_told(context, hosts, servers, slots, told_s):
    context.make = lambda: Site(hosts, servers, slots, told_s=told_s)


@behave.when("items fill what online requests leave that come by turns")
def items_fill(context):
    context.site, context.other = context.make(), context.make()
    context.other.momentary = True
    for each in (context.site, context.other):
        each.run(lambda now: by_turns(now) * len(each.names) / 9, batch=True)


@behave.then("at most {share:g} of the items' runs give way within 0.5 s")
def few_short(context, share):
    found = context.site.short_runs / context.site.runs
    assert found <= share, (found, context.site.runs)


@behave.then(
    "with every slot taken that is free at the moment, the former policy, more than "
    "{share:g} would, of {more:g} times as many runs"
)
def former_short(context, share, more):
    found = context.other.short_runs / context.other.runs
    assert found > share, found
    assert context.other.runs >= more * context.site.runs


@behave.when("one prompt part is asked for by requests that leave room")
def one_part(context):
    context.site = context.make()
    context.site.run(lambda now: 4.0, parts=ALL)


@behave.then("at least {part:g} of them go to one server")
def to_one(context, part):
    placed = context.site.placed
    assert max(placed.values()) >= part * sum(placed.values()), placed


@behave.when("one prompt part is asked for by all requests at the peak")
def all_parts(context):
    context.site = context.make()
    context.site.run(by_turns, parts=ALL)
