"""Steps for learned speeds under load, simulated without a network."""

import collections
import random

import attrs
import behave

from turmerictally.scheduling import placing, speeds

STEP_S = 0.01
TOLD_S = 0.04  # between digests; they arrive one such time later
EVENT_S = 0.043
EVENTS = 17
READ_S = 0.03
OBJECTIVE_S = 0.31
MAX_GAP_S = 0.25
SLOTS = 8
SERVERS = 15
HOSTS = 24
RATE = 69.0
DOMAINS = "abc"


@attrs.define
class Request:
    """Hold a request at a server; ``left_s`` is work at the usual speed."""

    host: int
    asked: float
    left_s: float = READ_S
    begun: float = 0.0
    events: int = 0
    last: float = 0.0
    late: bool = False
    meter: speeds.Meter | None = None


class Fleet:
    """Simulate hosts that choose servers by counts told late."""

    def __init__(self, learns=True, seed=5):
        self.learns = learns
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = [f"s{n}" for n in range(SERVERS)]
        self.speed = dict.fromkeys(self.names, 1.0)
        self.disturb = lambda name, now: 1.0
        self.share = lambda domain, now: 1.0
        self.running = {name: [] for name in self.names}
        self.queues = {name: [] for name in self.names}
        self.own = [collections.Counter() for _ in range(HOSTS)]
        self.told = self.before = [collections.Counter()] * HOSTS
        self.sum = collections.Counter()
        self.digests = []
        self.restart()
        self.ended = []  # (asked, domain, late)
        self.placed = collections.Counter()

    def restart(self):
        self.learners = [speeds.Speeds() for _ in range(HOSTS)]

    def loads(self, host):
        learned = {}
        if self.learns:
            learned = self.learners[host].learned(self.names, self.now)
        own, told = self.own[host], self.told[host]
        found = []
        for n, name in enumerate(self.names):
            expected = learned.get(name, speeds.USUAL)
            found.append(
                placing.Load(
                    name,
                    DOMAINS[n % 3],
                    SLOTS,
                    own[name] + self.sum[name] - told[name],
                    slowness=expected.slowness,
                    first_s=expected.first_s,
                    event_s=expected.event_s,
                    stale=expected.is_stale(self.now),
                )
            )
        return found

    def ask(self, host):
        chosen = placing.choose(
            self.loads(host),
            domain=DOMAINS[host % 3],
            prompt_parts=(),
            rng=self.rng,
            objective_s=OBJECTIVE_S,
            max_gap_s=MAX_GAP_S,
        )
        if chosen is None:
            self.ended.append((self.now, DOMAINS[host % 3], True))
            return
        self.own[host][chosen.name] += 1
        self.placed[chosen.name] += 1
        self.queues[chosen.name].append(Request(host, self.now))

    def tell(self):
        for host, told in self.digests:
            if not told:
                continue
            for other, learner in enumerate(self.learners):
                if other != host:
                    learner.take(str(host), told, self.now)
        self.digests = [(n, s.tell(self.now)) for n, s in enumerate(self.learners)]
        self.told, self.before = self.before, [own.copy() for own in self.own]
        self.sum = collections.Counter()
        for told in self.told:
            self.sum.update(told)

    def serve(self, name):
        running, queue = self.running[name], self.queues[name]
        while queue and len(running) < SLOTS:
            request = queue.pop(0)
            request.begun = self.now
            running.append(request)
        work = STEP_S * self.speed[name] / self.disturb(name, self.now)
        for request in list(running):
            request.left_s -= work
            if request.left_s <= 0:
                self.make_event(name, request)

    def make_event(self, name, request):
        learner = self.learners[request.host]
        if request.meter is None:
            first_s = self.now - request.asked
            request.late = first_s > OBJECTIVE_S
            if request.begun - request.asked < 2 * STEP_S:
                learner.note_first(name, first_s, self.now)

            def note(server, events, seconds):
                self.learners[request.host].note_events(
                    server, events, seconds, self.now
                )

            request.meter = speeds.Meter(name, note)
        elif self.now - request.last > MAX_GAP_S:
            request.late = True
        request.last = self.now
        request.meter.add(1, self.now)
        request.events += 1
        request.left_s += EVENT_S
        if request.events == EVENTS:
            self.running[name].remove(request)
            self.own[request.host][name] -= 1
            domain = DOMAINS[request.host % 3]
            self.ended.append((request.asked, domain, request.late))

    def run(self, seconds, rate_at):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if round(self.now / STEP_S) % round(TOLD_S / STEP_S) == 0:
                self.tell()
            for name in self.names:
                self.serve(name)
            for domain in DOMAINS:
                rate = rate_at(self.now) / 3 * self.share(domain, self.now) * STEP_S
                for _ in range(int(rate) + (self.rng.random() < rate % 1)):
                    hosts = range(DOMAINS.index(domain), HOSTS, 3)
                    self.ask(self.rng.choice(hosts))

    def late(self, since=2.0, domain=None):
        found = [
            late for at, of, late in self.ended if at >= since and domain in (None, of)
        ]
        return sum(found) / len(found)


def by_turns(now):
    return RATE * (1.87 if now % 5.8 >= 3.4 else 0.383)


def slower(names, factor, since, until=1e9):
    return lambda name, now: factor if name in names and since <= now < until else 1.0


def noise(name, now):
    seed = f"{name}/{int(now / 0.6)}"
    return 2.5 if random.Random(seed).random() < 0.15 else 1.0


def slow_now(fleet, host=0):
    learned = fleet.learners[host].learned(fleet.names, fleet.now)
    return {name for name, found in learned.items() if found.slowness > 1.0}


def play(context, prepare, rate_at, seconds=16):
    """Run the pattern with learned speeds, and with the former policy."""
    context.site, context.other = Fleet(), Fleet(learns=False)
    for fleet in (context.site, context.other):
        prepare(fleet)
        fleet.run(seconds, rate_at)


@behave.given("15 servers of 8 slots that hosts choose by what they learn")
def fleet(context):
    context.site = Fleet()


@behave.when(
    "{rate:g} of the usual requests come while a sixth of the servers is too slow for "
    "the longest pause"
)
def too_slow(context, rate):
    def prepare(fleet):
        fleet.disturb = slower({"s0", "s6", "s12"}, 8.0, 4.0)

    play(context, prepare, lambda now: RATE * rate, 24)


@behave.when("requests come by turns while a quarter of the servers runs at half speed")
def half_speed(context):
    def prepare(fleet):
        for n, name in enumerate(fleet.names):
            fleet.speed[name] = 1.2 if n % 4 else 0.55

    play(context, prepare, by_turns)


@behave.when("requests come by turns and domain a asks for 1.3 times its usual")
def uneven(context):
    def prepare(fleet):
        fleet.share = lambda domain, now: 1.3 if domain == "a" else 0.85

    play(context, prepare, by_turns)


@behave.when("requests come by turns in domain a only")
def crest(context):
    def prepare(fleet):
        fleet.share = lambda domain, now: by_turns(now) / RATE if domain == "a" else 1.0

    play(context, prepare, lambda now: RATE)


@behave.then("at most {most:g} in 100 are late")
def few_late(context, most):
    assert context.site.late() <= most / 100, context.site.late()


@behave.then("at most {most:g} in 100 of domain {domain} are late")
def few_late_of(context, most, domain):
    assert context.site.late(domain=domain) <= most / 100


@behave.then("with the former policy {worse:g} times as many would be")
def former(context, worse):
    found = context.other.late() / context.site.late()
    assert found >= worse, found


@behave.then("no server of the same speed gets {ratio:g} times its share")
def no_herd(context, ratio):
    site = context.site
    for speed in set(site.speed.values()):
        counts = [site.placed[n] for n in site.names if site.speed[n] == speed]
        assert max(counts) < ratio * sum(counts) / len(counts), counts


@behave.when("a sixth of the servers turns 4 times slower for 3 s")
def turns_slow(context):
    site = context.site
    site.disturb = slower({"s0", "s6", "s12"}, 4.0, 3.0, 6.0)
    context.seen = []
    while site.now < 9.0:
        site.run(0.1, lambda now: RATE)
        context.seen.append((site.now, slow_now(site)))


@behave.then(
    "they count as slow after {late:g} s, and as usual {back:g} s after its end"
)
def noticed(context, late, back):
    for now, slow in context.seen:
        if now < 3.0 or now > 6.0 + back:
            assert not slow, (now, slow)
        if 3.0 + late < now < 6.0:
            assert slow == {"s0", "s6", "s12"}, (now, slow)


@behave.when("15 in 100 servers at a time work 2.5 times as long for 0.6 s")
def disturbed(context):
    context.site.disturb = noise
    context.seen = []
    while context.site.now < 20.0:
        context.site.run(0.25, by_turns)
        context.seen.append(slow_now(context.site))


@behave.then("at most {most:g} in 100 looks at a server take it for slow")
def not_slow(context, most):
    looks = len(context.seen) * SERVERS
    assert sum(map(len, context.seen)) <= most / 100 * looks, context.seen


@behave.when("all hosts start again while a quarter of the servers runs at half speed")
def cold(context):
    site = context.site
    site.speed.update(dict.fromkeys(("s0", "s4", "s8", "s12"), 0.5))
    site.run(4.0, lambda now: RATE)
    site.restart()
    context.before = slow_now(site)
    site.run(2.0, lambda now: RATE)


@behave.then("all servers count as usual, and within 2 s the slow ones are known")
def known_again(context):
    assert not context.before
    for host in range(HOSTS):
        assert slow_now(context.site, host) == {"s0", "s4", "s8", "s12"}


@behave.when("items that are due in 6 to 18 s start on fast and slow servers")
def items_start(context):
    rng = random.Random(4)
    context.late = context.former = 0
    for _ in range(200):
        needs = [
            placing.Need(rng.uniform(1.0, 5.0), rng.uniform(6.0, 18.0))
            for _ in range(4)
        ]
        needs.sort(key=lambda need: need.due_in_s)
        slowness = {f"s{n}": 2.2 if rng.random() < 0.4 else 0.9 for n in range(4)}
        starts = list(slowness)

        def late(found, needs=needs, slowness=slowness):
            pairs = zip(needs, found, strict=True)
            return sum(n.left_s * slowness[s] > n.due_in_s for n, s in pairs)

        context.late += late(placing.match_items(needs, starts, slowness))
        context.former += late(starts)


@behave.then("at most {ratio:g} times as many are late as in the order of the slots")
def fewer_late(context, ratio):
    assert context.late <= ratio * context.former, (context.late, context.former)
    assert context.former


@behave.when("40 items wait at hosts of 0.39 and 2.15 cores while 60 slots are free")
def weak_hosts(context):
    loads = [placing.Load(f"s{n}", "a", 8) for n in range(8)]
    context.counts = [
        len(
            placing.batch_starts(
                loads,
                waiting=40,
                waiting_elsewhere=0,
                rng=random.Random(1),
                most=placing.most_items(cores),
            )
        )
        for cores in (0.39, 2.15)
    ]


@behave.then("the weak host starts {weak:d} and the strong one {strong:d}")
def by_cores(context, weak, strong):
    assert context.counts == [weak, strong], context.counts
