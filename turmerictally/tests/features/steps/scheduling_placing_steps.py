"""Steps for the choice of servers under load, simulated without a network."""

import collections
import random

import behave

from turmerictally.entry import gossip
from turmerictally.scheduling import placement

STEP_S = 0.005
DIGEST_S = 0.05
SERVICE_S = 0.67
ITEM_S = 4.6
RATE_PER_S = 42.0
DURATION_S = 24.0
MAX_WAIT_S = 0.25
SHARED_PROMPT_PARTS = "a:shared", "own"
SHORT_RUN_S = 0.5  # an item generates almost nothing in this time


class Site:
    """Simulate hosts that exchange their counts every ``digest_s``."""

    def __init__(self, hosts, servers, slots, seed=3, digest_s=DIGEST_S):
        self.digest_s = digest_s
        # Whether items use slots that are free only briefly, as they do with few hosts.
        self.uses_brief_slots = hosts <= gossip.MAX_DIRECT_HOSTS
        self.peaks = [placement.PeakLoads() for _ in range(hosts)]
        self.runs = self.short_runs = 0
        self.hosts, self.slots = hosts, slots
        self.names = [f"s{n}" for n in range(servers)]
        self.rng = random.Random(seed)
        self.now = 0.0
        self.online = [collections.Counter() for _ in range(hosts)]
        self.batch = [collections.Counter() for _ in range(hosts)]
        self.digests = [(collections.Counter(), collections.Counter())] * hosts
        self.queues = {name: [] for name in self.names}
        self.running = {name: [] for name in self.names}
        self.waits = []
        self.refused = 0
        self.placed = collections.Counter()
        self.free_slots = self.used_slots = 0
        self.lost = set()

    def loads(self, host):
        loads = []
        for n, name in enumerate(self.names):
            if name in self.lost:
                continue
            others = [counts for h, counts in enumerate(self.digests) if h != host]
            batch = {
                str(h): b[name] for h, (_, b) in enumerate(self.digests) if b[name]
            }
            batch.pop(str(host), None)
            if self.batch[host][name]:
                batch[str(host)] = self.batch[host][name]
            online = self.online[host][name] + sum(o[name] for o, _ in others)
            peak = self.peaks[host].record(name, online, self.now)
            peak = online if self.uses_brief_slots else peak
            loads.append(
                placement.ServerLoad(
                    name, "abcd"[n % 4], self.slots, online, batch, peak
                )
            )
        return loads

    def choose(self, host, parts):
        chosen = placement.choose_server(
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
        while self.now < DURATION_S:
            self.now += STEP_S
            self.finish()
            if round(self.now / STEP_S) % round(self.digest_s / STEP_S) == 0:
                self.exchange_digests(batch)
            if self.rng.random() < rate_at(self.now) * STEP_S:
                self.send_request(choose, parts)
            self.start_queued()
            if batch:
                self.count_slots()

    def send_request(self, choose, parts):
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
            # A host that fills a server sends an early digest.
            self.digests[host] = self.counts(host)
            for other in range(self.hosts):
                self.preempt(other)

    def counts(self, host):
        return self.online[host].copy(), self.batch[host].copy()

    def urgencies(self, host):
        """Return the urgencies of 50 items that always wait at each host."""
        return range(host, 50 * self.hosts, self.hosts)

    def exchange_digests(self, batch):
        self.digests = [self.counts(host) for host in range(self.hosts)]
        for host in range(self.hosts):
            self.preempt(host)
            if not batch:
                continue
            elsewhere = [
                urgency
                for other in range(self.hosts)
                if other != host
                for urgency in self.urgencies(other)
            ]
            starts = placement.choose_batch_starts(
                {placement.ANY_VERSION: self.loads(host)},
                waiting={placement.ANY_VERSION: self.urgencies(host)},
                waiting_elsewhere={placement.ANY_VERSION: elsewhere},
            )
            for name in starts[placement.ANY_VERSION]:
                self.batch[host][name] += 1
                self.queues[name].append(("batch", host, self.now))
                self.runs += 1

    def preempt(self, host):
        for load in self.loads(host):
            for _ in range(placement.count_preemptions(load, str(host))):
                self.preempt_one(host, load.name)

    def preempt_one(self, host, name):
        for entries in (self.queues[name], self.running[name]):
            for entry in entries:
                if entry[0] == "batch" and entry[1] == host:
                    entries.remove(entry)
                    started_at = entry[2] - (
                        ITEM_S if entries is self.running[name] else 0.0
                    )
                    self.short_runs += self.now - started_at < SHORT_RUN_S
                    self.batch[host][name] -= 1
                    return

    def start_queued(self):
        for name in self.names:
            while self.queues[name] and len(self.running[name]) < self.slots:
                kind, host, since = self.queues[name].pop(0)
                service_s = SERVICE_S if kind == "online" else ITEM_S
                if kind == "online":
                    self.waits.append(self.now - since)
                self.running[name].append((kind, host, self.now + service_s))

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

    def late_ratio(self):
        return sum(wait > MAX_WAIT_S for wait in self.waits) / len(self.waits)


def alternating(now):
    return RATE_PER_S * (1.87 if now % 5.8 >= 3.4 else 0.383)


@behave.given("{hosts:d} hosts before {servers:d} servers of {slots:d} slots")
def site(context, hosts, servers, slots):
    context.make = lambda: Site(hosts, servers, slots)


@behave.when(
    "online requests alternate between 1.9 and 0.4 times 42 a second with {condition}"
)
def alternate(context, condition):
    batch = condition == "batch items in every free slot"
    context.site, context.other = context.make(), context.make()
    if condition == "a third of the servers lost":
        context.site.lost = {"s0", "s1", "s2"}
    context.site.run(alternating, batch=batch)
    context.other.run(alternating, batch=batch, choose=context.other.choose_any)


@behave.then("at most {late:d} in 100 wait longer than 0.25 s for a slot")
def at_most(context, late):
    assert context.site.refused <= 0.01 * len(context.site.waits)
    assert context.site.late_ratio() <= late / 100, context.site.late_ratio()


@behave.then("with random servers {worse:d} times as many would")
def random_worse(context, worse):
    least = max(context.site.late_ratio(), 0.002)
    assert context.other.late_ratio() >= worse * least, context.other.late_ratio()


@behave.then("batch items hold at least {part:g} of the slots that are free")
def hold(context, part):
    ratio = context.site.used_slots / context.site.free_slots
    assert ratio >= part, ratio


@behave.then(
    "refusals exceed the demand beyond capacity by at most {slack:g} of all requests"
)
def refused_fits(context, slack):
    site = context.site
    requests = len(site.waits) + site.refused + sum(map(len, site.queues.values()))
    capacity = 6 * 8 / SERVICE_S
    excess = sum(max(0.0, alternating(n * 0.1) - capacity) * 0.1 for n in range(240))
    assert site.refused <= excess + slack * requests, (site.refused, excess, requests)


@behave.given(
    "{hosts:d} hosts before {servers:d} servers of {slots:d} slots with a digest "
    "every {digest_s:g} s"
)
def site_with_digests(context, hosts, servers, slots, digest_s):
    context.make = lambda: Site(hosts, servers, slots, digest_s=digest_s)


@behave.when("items fill the slots that alternating online requests leave free")
def items_fill(context):
    context.site, context.other = context.make(), context.make()
    context.other.uses_brief_slots = True
    for site in (context.site, context.other):
        site.run(lambda now: alternating(now) * len(site.names) / 9, batch=True)


@behave.then("at most {share:g} of the items' runs are preempted within 0.5 s")
def few_short(context, share):
    ratio = context.site.short_runs / context.site.runs
    assert ratio <= share, (ratio, context.site.runs)


@behave.then(
    "if items used every momentarily free slot, the former policy, more than "
    "{share:g} would, of {more:g} times as many runs"
)
def former_short(context, share, more):
    ratio = context.other.short_runs / context.other.runs
    assert ratio > share, ratio
    assert context.other.runs >= more * context.site.runs


@behave.when("requests at a low rate share one prompt part")
def one_part(context):
    context.site = context.make()
    context.site.run(lambda now: 4.0, parts=SHARED_PROMPT_PARTS)


@behave.then("at least {part:g} of them go to one server")
def to_one(context, part):
    placed = context.site.placed
    assert max(placed.values()) >= part * sum(placed.values()), placed


@behave.when("all requests at the peak share one prompt part")
def all_parts(context):
    context.site = context.make()
    context.site.run(alternating, parts=SHARED_PROMPT_PARTS)
