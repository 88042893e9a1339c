"""Steps for estimated server speeds under load, simulated without a network."""

import collections
import random

import attrs
import behave

from turmerictally.scheduling import placement, server_speeds

STEP_S = 0.01
DIGEST_S = 0.04  # between digests; they arrive one interval later
EVENT_INTERVAL_S = 0.043
EVENTS = 17
PROMPT_S = 0.03
OBJECTIVE_S = 0.31
MAX_GAP_S = 0.25
SLOTS = 8
SERVERS = 15
HOSTS = 24
RATE_PER_S = 69.0
DOMAINS = "abc"


@attrs.define
class Request:
    """Hold a request at a server; ``remaining_s`` is the time at normal speed."""

    host: int
    sent_at: float
    remaining_s: float = PROMPT_S
    started_at: float = 0.0
    events: int = 0
    last_event_at: float = 0.0
    late: bool = False
    meter: server_speeds.SpeedMeter | None = None


class Fleet:
    """Simulate hosts that know each other's counts one digest late."""

    def __init__(self, estimates_speeds=True, seed=5):
        self.estimates_speeds = estimates_speeds
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = [f"s{n}" for n in range(SERVERS)]
        self.speed = dict.fromkeys(self.names, 1.0)
        self.delay_factor = lambda name, now: 1.0
        self.rate_factor = lambda domain, now: 1.0
        self.running = {name: [] for name in self.names}
        self.queues = {name: [] for name in self.names}
        self.own_counts = [collections.Counter() for _ in range(HOSTS)]
        self.digest_counts = self.next_counts = [collections.Counter()] * HOSTS
        self.total_counts = collections.Counter()
        self.reports = []
        self.restart()
        self.ended = []  # (sent_at, domain, late)
        self.placed = collections.Counter()

    def restart(self):
        self.trackers = [server_speeds.SpeedTracker() for _ in range(HOSTS)]

    def loads(self, host):
        estimates = {}
        if self.estimates_speeds:
            estimates = self.trackers[host].estimate(self.names, self.now)
        own, sent = self.own_counts[host], self.digest_counts[host]
        loads = []
        for n, name in enumerate(self.names):
            estimate = estimates.get(name, server_speeds.DEFAULT_ESTIMATE)
            loads.append(
                placement.ServerLoad(
                    name,
                    DOMAINS[n % 3],
                    SLOTS,
                    own[name] + self.total_counts[name] - sent[name],
                    slowness=estimate.slowness,
                    first_event_s=estimate.first_event_s,
                    event_interval_s=estimate.event_interval_s,
                    speed_is_stale=estimate.is_stale(self.now),
                )
            )
        return loads

    def send_request(self, host):
        chosen = placement.choose_server(
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
        self.own_counts[host][chosen.name] += 1
        self.placed[chosen.name] += 1
        self.queues[chosen.name].append(Request(host, self.now))

    def exchange_digests(self):
        for host, entries in self.reports:
            if not entries:
                continue
            for other, tracker in enumerate(self.trackers):
                if other != host:
                    tracker.receive(str(host), entries, self.now)
        self.reports = [
            (n, t.due_reports(self.now)) for n, t in enumerate(self.trackers)
        ]
        self.digest_counts, self.next_counts = (
            self.next_counts,
            [own.copy() for own in self.own_counts],
        )
        self.total_counts = collections.Counter()
        for counts in self.digest_counts:
            self.total_counts.update(counts)

    def serve(self, name):
        running, queue = self.running[name], self.queues[name]
        while queue and len(running) < SLOTS:
            request = queue.pop(0)
            request.started_at = self.now
            running.append(request)
        work = STEP_S * self.speed[name] / self.delay_factor(name, self.now)
        for request in list(running):
            request.remaining_s -= work
            if request.remaining_s <= 0:
                self.generate_event(name, request)

    def generate_event(self, name, request):
        tracker = self.trackers[request.host]
        if request.meter is None:
            first_s = self.now - request.sent_at
            request.late = first_s > OBJECTIVE_S
            if request.started_at - request.sent_at < 2 * STEP_S:
                tracker.record_first_event(name, first_s, self.now)

            def record(server, events, seconds):
                self.trackers[request.host].record_events(
                    server, events, seconds, self.now
                )

            request.meter = server_speeds.SpeedMeter(name, record)
        elif self.now - request.last_event_at > MAX_GAP_S:
            request.late = True
        request.last_event_at = self.now
        request.meter.add(1, self.now)
        request.events += 1
        request.remaining_s += EVENT_INTERVAL_S
        if request.events == EVENTS:
            self.running[name].remove(request)
            self.own_counts[request.host][name] -= 1
            domain = DOMAINS[request.host % 3]
            self.ended.append((request.sent_at, domain, request.late))

    def run(self, seconds, rate_at):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if round(self.now / STEP_S) % round(DIGEST_S / STEP_S) == 0:
                self.exchange_digests()
            for name in self.names:
                self.serve(name)
            for domain in DOMAINS:
                rate = (
                    rate_at(self.now) / 3 * self.rate_factor(domain, self.now) * STEP_S
                )
                for _ in range(int(rate) + (self.rng.random() < rate % 1)):
                    hosts = range(DOMAINS.index(domain), HOSTS, 3)
                    self.send_request(self.rng.choice(hosts))

    def late_ratio(self, since=2.0, domain=None):
        outcomes = [
            late for at, of, late in self.ended if at >= since and domain in (None, of)
        ]
        return sum(outcomes) / len(outcomes)


def alternating(now):
    return RATE_PER_S * (1.87 if now % 5.8 >= 3.4 else 0.383)


def slower(names, factor, since, until=1e9):
    return lambda name, now: factor if name in names and since <= now < until else 1.0


def noise(name, now):
    seed = f"{name}/{int(now / 0.6)}"
    return 2.5 if random.Random(seed).random() < 0.15 else 1.0


def slow_servers(fleet, host=0):
    estimates = fleet.trackers[host].estimate(fleet.names, fleet.now)
    return {name for name, estimate in estimates.items() if estimate.slowness > 1.0}


def run_both(context, prepare, rate_at, seconds=16):
    """Run the load with estimated speeds, and with the former policy."""
    context.site, context.other = Fleet(), Fleet(estimates_speeds=False)
    for fleet in (context.site, context.other):
        prepare(fleet)
        fleet.run(seconds, rate_at)


@behave.given("15 servers of 8 slots that hosts choose by estimated speed")
def fleet(context):
    context.site = Fleet()


@behave.when(
    "{rate:g} of the normal rate comes while a sixth of the servers exceeds the "
    "longest allowed gap"
)
def too_slow(context, rate):
    def prepare(fleet):
        fleet.delay_factor = slower({"s0", "s6", "s12"}, 8.0, 4.0)

    run_both(context, prepare, lambda now: RATE_PER_S * rate, 24)


@behave.when("the rate alternates while a quarter of the servers runs at half speed")
def half_speed(context):
    def prepare(fleet):
        for n, name in enumerate(fleet.names):
            fleet.speed[name] = 1.2 if n % 4 else 0.55

    run_both(context, prepare, alternating)


@behave.when("the rate alternates and domain a sends 1.3 times its normal rate")
def uneven(context):
    def prepare(fleet):
        fleet.rate_factor = lambda domain, now: 1.3 if domain == "a" else 0.85

    run_both(context, prepare, alternating)


@behave.when("the rate alternates in domain a only")
def peak(context):
    def prepare(fleet):
        fleet.rate_factor = lambda domain, now: (
            alternating(now) / RATE_PER_S if domain == "a" else 1.0
        )

    run_both(context, prepare, lambda now: RATE_PER_S)


@behave.then("at most {most:g} in 100 are late")
def few_late(context, most):
    assert context.site.late_ratio() <= most / 100, context.site.late_ratio()


@behave.then("at most {most:g} in 100 of domain {domain} are late")
def few_late_of(context, most, domain):
    assert context.site.late_ratio(domain=domain) <= most / 100


@behave.then("with the former policy {worse:g} times as many would be")
def former(context, worse):
    ratio = context.other.late_ratio() / context.site.late_ratio()
    assert ratio >= worse, ratio


@behave.then("no server of the same speed gets {ratio:g} times its share")
def no_herd(context, ratio):
    site = context.site
    for speed in set(site.speed.values()):
        counts = [site.placed[n] for n in site.names if site.speed[n] == speed]
        assert max(counts) < ratio * sum(counts) / len(counts), counts


@behave.when("a sixth of the servers is 4 times slower for 3 s")
def becomes_slow(context):
    site = context.site
    site.delay_factor = slower({"s0", "s6", "s12"}, 4.0, 3.0, 6.0)
    context.checks = []
    while site.now < 9.0:
        site.run(0.1, lambda now: RATE_PER_S)
        context.checks.append((site.now, slow_servers(site)))


@behave.then(
    "they are classified as slow after {late:g} s, and as normal {back:g} s after the "
    "end"
)
def detected(context, late, back):
    for now, slow in context.checks:
        if now < 3.0 or now > 6.0 + back:
            assert not slow, (now, slow)
        if 3.0 + late < now < 6.0:
            assert slow == {"s0", "s6", "s12"}, (now, slow)


@behave.when("15 in 100 servers at a time take 2.5 times as long for 0.6 s")
def disturbed(context):
    context.site.delay_factor = noise
    context.checks = []
    while context.site.now < 20.0:
        context.site.run(0.25, alternating)
        context.checks.append(slow_servers(context.site))


@behave.then("at most {most:g} in 100 checks classify a server as slow")
def not_slow(context, most):
    total = len(context.checks) * SERVERS
    assert sum(map(len, context.checks)) <= most / 100 * total, context.checks


@behave.when("all hosts restart while a quarter of the servers runs at half speed")
def restart(context):
    site = context.site
    site.speed.update(dict.fromkeys(("s0", "s4", "s8", "s12"), 0.5))
    site.run(4.0, lambda now: RATE_PER_S)
    site.restart()
    context.slow_at_restart = slow_servers(site)
    site.run(2.0, lambda now: RATE_PER_S)


@behave.then(
    "all servers are classified as normal, and within 2 s the slow ones are detected"
)
def detected_again(context):
    assert not context.slow_at_restart
    for host in range(HOSTS):
        assert slow_servers(context.site, host) == {"s0", "s4", "s8", "s12"}


@behave.when("items with deadlines in 6 to 18 s start on fast and slow servers")
def items_start(context):
    rng = random.Random(4)
    context.late = context.former = 0
    for _ in range(200):
        needs = [
            placement.ItemTiming(rng.uniform(1.0, 5.0), rng.uniform(6.0, 18.0))
            for _ in range(4)
        ]
        needs.sort(key=lambda need: need.until_deadline_s)
        slowness = {f"s{n}": 2.2 if rng.random() < 0.4 else 0.9 for n in range(4)}
        starts = list(slowness)

        def count_late(servers, needs=needs, slowness=slowness):
            pairs = zip(needs, servers, strict=True)
            return sum(
                n.remaining_s * slowness[s] > n.until_deadline_s for n, s in pairs
            )

        context.late += count_late(placement.assign_items(needs, starts, slowness))
        context.former += count_late(starts)


@behave.then(
    "at most {ratio:g} times as many are late as when assigned in the order of the "
    "slots"
)
def fewer_late(context, ratio):
    assert context.late <= ratio * context.former, (context.late, context.former)
    assert context.former


@behave.when("40 items wait at hosts of 0.39 and 2.15 cores while 60 slots are free")
def hosts_by_cores(context):
    loads = [placement.ServerLoad(f"s{n}", "a", 8) for n in range(8)]
    context.counts = [
        len(
            placement.choose_batch_starts(
                {placement.ANY_VERSION: loads},
                waiting={placement.ANY_VERSION: range(40)},
                waiting_elsewhere={},
                limit=placement.max_batch_items(cores),
            )[placement.ANY_VERSION]
        )
        for cores in (0.39, 2.15)
    ]


@behave.then("the smaller host starts {smaller:d} and the larger one {larger:d}")
def by_cores(context, smaller, larger):
    assert context.counts == [smaller, larger], context.counts
