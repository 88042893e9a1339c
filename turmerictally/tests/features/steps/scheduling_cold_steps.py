"""Steps for the rate limits of cold servers, in virtual time and without a network."""

import bisect
import collections
import heapq
import random

import behave
import hypothesis
from hypothesis import strategies as st

from turmerictally.scheduling import permit_rings, placement, server_rates

COLD_PER_S, OVERSHOOT, SLACK = 8.3, 1.5, 5
MAX_PER_SECOND = int(COLD_PER_S * OVERSHOOT + SLACK)
SERVERS, SLOTS = 30, 8
SERVICE_S, WARM_UP_S = 0.75, 3.0
RATE_PER_S, TROUGH, BURST = 112.0, 0.38, 3.0
DIGEST_S = 0.15  # between two updates of the counts in flight, through relays
MAX_NOTICE_S = 1.5  # until the hosts that receive a change know it
CHANGE_AT, BURST_AT, END_AT = 30.0, 31.5, 34.0
START_AT = 27.0
RELEASE_INTERVAL_S = 0.12  # all servers are replaced within the simulated time
SEEDS = range(2)
AFFECTED_RATIO = 0.25  # of the hosts


class Host:
    """Simulate a host: its permits, and how late it learns of changes."""

    def __init__(self, fleet, name, condition):
        self.fleet, self.name, self.condition = fleet, name, condition
        is_new = condition == "a quarter is new"
        self.started_at = CHANGE_AT - 3.0 if is_new else 0.0
        self.restart_at = (
            CHANGE_AT + 0.5 if condition == "a quarter starts again" else float("inf")
        )
        self.cut_at = (
            CHANGE_AT - 2.0 if condition == "a quarter is cut off" else float("inf")
        )
        self.view_lag_s = fleet.rng.uniform(0.0, 1.0 + len(fleet.names) / 100)
        self.notice_at = {}  # of each server that turned cold
        self.noticed = set()
        self.sent_since_digest = collections.Counter()
        self.start()

    def start(self):
        self.budgets = server_rates.RateBudgets(
            self.name, lambda _: COLD_PER_S, self.view, OVERSHOOT
        )
        self.noticed.clear()

    def view(self):
        now = self.fleet.now
        cut = now >= self.cut_at
        seen_at = self.cut_at if cut else now - self.view_lag_s
        names = {n for n, at in self.fleet.listed_at.items() if at <= seen_at}
        names.add(self.name)
        renewal_age_s = now - self.cut_at if cut else 1.0
        return server_rates.HostTableView(
            frozenset(names), now - seen_at, now - self.started_at, renewal_age_s
        )

    def notice_changes(self, now):
        if now >= self.restart_at:
            self.restart_at, self.started_at = float("inf"), now
            self.start()
        for server, at in self.notice_at.items():
            if server not in self.noticed and at <= now:
                self.noticed.add(server)
                until = self.fleet.cold_from[server] + WARM_UP_S
                in_use = server in self.fleet.in_use
                self.budgets.mark_cold(server, until - now, now, in_use=in_use)


class Fleet:
    """Simulate requests through hosts whose counts of other hosts are late."""

    def __init__(self, hosts, condition, change, seed, bounded=True):
        self.rng = random.Random(seed)
        self.bounded, self.now = bounded, 0.0
        self.names = [f"h{n}" for n in range(hosts)]
        self.hosts = []
        self.servers = [f"s{n}" for n in range(SERVERS)]
        self.cold_from, self.in_use, self.gone_at = {}, set(), {}
        self.sent = collections.defaultdict(list)
        self.running, self.ends = collections.Counter(), []
        self.counts, self.digest_at = collections.Counter(), 0.0
        self.requests = self.refused = 0
        self.change(change)
        for n, name in enumerate(self.names):
            affected = n < AFFECTED_RATIO * hosts
            self.hosts.append(Host(self, name, condition if affected else ""))
        self.listed_at = {host.name: host.started_at for host in self.hosts}
        for host in self.hosts:
            for server, at in self.cold_from.items():
                # A host that is cut off believes that the server is still warm.
                notice_at = at + self.rng.uniform(0.05, MAX_NOTICE_S)
                is_reachable = host.cut_at > at
                host.notice_at[server] = notice_at if is_reachable else float("inf")

    def change(self, change):
        if change == "servers turn cold and others are lost":
            for n in range(SERVERS // 4):
                self.cold_from[f"s{n}"] = CHANGE_AT
                self.in_use.add(f"s{n}")
                self.gone_at[f"s{SERVERS - 1 - n}"] = BURST_AT
        elif change == "a release replaces every server":
            for n in range(SERVERS):
                at = CHANGE_AT - 2.0 + n * RELEASE_INTERVAL_S
                self.servers.append(f"new{n}")
                self.cold_from[f"new{n}"] = at
                self.gone_at[f"s{n}"] = at + MAX_NOTICE_S
        else:
            count = SERVERS // 4 if "domain" in change else SERVERS
            for n in range(count):
                self.cold_from[f"s{n}"] = CHANGE_AT + 0.5

    def candidates(self, host):
        """Yield the servers known to a host, cold ones if a permit is free."""
        for server in self.servers:
            if self.now >= self.gone_at.get(server, float("inf")):
                continue
            # A new or returning server is usable once the host knows of it.
            is_new = server in self.cold_from and server not in self.in_use
            if is_new and self.now < host.notice_at[server]:
                continue
            if not self.bounded or host.budgets.may_send(server, self.now):
                online = self.counts[server] + host.sent_since_digest[server]
                yield placement.ServerLoad(server, "a", SLOTS, online)

    def run(self):
        self.now = START_AT
        while self.now < END_AT:
            factor = BURST if self.now >= BURST_AT else TROUGH
            self.now += self.rng.expovariate(RATE_PER_S * factor)
            while self.ends and self.ends[0][0] <= self.now:
                self.running[heapq.heappop(self.ends)[1]] -= 1
            if self.now >= self.digest_at + DIGEST_S:
                self.exchange_digests()
            self.send_request(self.rng.choice(self.hosts))
        return self

    def exchange_digests(self):
        self.counts, self.digest_at = self.running.copy(), self.now
        for host in self.hosts:
            host.sent_since_digest.clear()

    def send_request(self, host):
        host.notice_changes(self.now)
        chosen = placement.choose_server(
            list(self.candidates(host)), domain="a", prompt_parts=(), rng=self.rng
        )
        self.requests += self.now >= BURST_AT
        if chosen is None:
            self.refused += self.now >= BURST_AT
            return
        host.sent_since_digest[chosen.name] += 1
        host.budgets.reserve(chosen.name, self.now)
        host.budgets.record_send(chosen.name, self.now)
        self.sent[chosen.name].append(self.now)
        self.running[chosen.name] += 1
        heapq.heappush(self.ends, (self.now + SERVICE_S, chosen.name))

    def sent_cold(self, server):
        """Return the times at which a server got requests while it was cold."""
        since = self.cold_from[server]
        return [at for at in self.sent[server] if since <= at < since + WARM_UP_S]

    def highest_rate(self):
        """Return the highest count that a cold server got in any second."""
        highest = 0
        for server in self.cold_from:
            times = self.sent_cold(server)
            for n, at in enumerate(times):
                highest = max(highest, bisect.bisect_left(times, at + 1.0) - n)
        return highest

    def refused_share(self):
        """Return the share of requests in the burst that found no server."""
        return self.refused / self.requests


@behave.given("{hosts:d} hosts, of which {some}")
def hosts(context, hosts, some):
    context.hosts, context.condition = hosts, some


@behave.when("this happens: {change}")
def happens(context, change):
    def run(seed, bounded):
        return Fleet(context.hosts, context.condition, change, seed, bounded).run()

    context.fleets = [run(seed, True) for seed in SEEDS]
    context.unbounded = [run(seed, False) for seed in SEEDS]


@behave.then("no cold server gets more than the limit in any second")
def bounded(context):
    rates = [fleet.highest_rate() for fleet in context.fleets]
    assert max(rates) <= MAX_PER_SECOND, (rates, MAX_PER_SECOND)


@behave.then("at most {more:g} more of the requests are refused than without permits")
def refused(context, more):
    for fleet, unbounded in zip(context.fleets, context.unbounded, strict=True):
        ratios = fleet.refused_share(), unbounded.refused_share()
        assert ratios[0] <= ratios[1] + more, ratios


@behave.then("without permits one would get more than the limit")
def would(context):
    rates = [fleet.highest_rate() for fleet in context.unbounded]
    assert max(rates) > MAX_PER_SECOND, rates


@behave.when("{hosts:d} hosts share the permits of {servers:d} cold servers")
def share(context, hosts, servers):
    context.permits = int(COLD_PER_S * OVERSHOOT)
    context.names = [f"h{n}" for n in range(hosts)]
    rings = [permit_rings.PermitRings(name) for name in context.names]
    for each in rings:
        each.update(frozenset(context.names))
    context.owned = {
        f"s{n}": {
            each.host: each.count_owned(f"s{n}", context.permits) for each in rings
        }
        for n in range(servers)
    }


@behave.then("each permit has exactly one host")
def one_host(context):
    for owned in context.owned.values():
        assert sum(owned.values()) == context.permits, owned


@behave.then("at most {none:g} of the hosts have no permit")
def few_without(context, none):
    without = [
        host
        for host in context.names
        if not any(owned[host] for owned in context.owned.values())
    ]
    assert len(without) <= none * len(context.names), len(without)


class HostTable:
    """Simulate which rows of the host table each host has in its copy."""

    def __init__(self, hosts, seed):
        self.rng = random.Random(seed)
        self.names = [f"h{n}" for n in range(hosts)]
        self.rings = {name: permit_rings.PermitRings(name) for name in self.names}
        # About half of them have run for a minute.
        self.started = {
            name: self.rng.choice([-60.0, self.rng.uniform(0.0, 20.0)])
            for name in self.names
        }
        self.cut = {
            name: self.rng.choice([99.0, 99.0, self.rng.uniform(0.0, 20.0)])
            for name in self.names
        }

    def view(self, name, now):
        seen_at = min(self.cut[name], now - self.rng.uniform(0.0, 5.0))
        names = {other for other, at in self.started.items() if at <= seen_at}
        return server_rates.HostTableView(
            frozenset(names | {name}),
            now - seen_at,
            now - self.started[name],
            max(1.0, now - self.cut[name]),
        )

    def used(self, now, settled):
        """Return how many permits of a server all hosts use together."""
        permits = int(COLD_PER_S * OVERSHOOT)
        permits_used = 0
        for name in self.names:
            view = self.view(name, now)
            if now >= self.started[name] and (not settled or view.is_settled(name)):
                self.rings[name].update(view.hosts)
                permits_used += self.rings[name].count_owned("s", permits)
        return permits_used


@behave.when(
    "{hosts:d} hosts start and are cut off at any time, and see rows up to 5 s late"
)
def any_time(context, hosts):
    context.tables = [HostTable(hosts, seed) for seed in range(4)]


@behave.then("at no time do they use more permits of a server than there are")
def never_more(context):
    used = [
        table.used(now, True) for table in context.tables for now in range(4, 30, 3)
    ]
    assert 0 < max(used) <= int(COLD_PER_S * OVERSHOOT), used


@behave.then("they would if new and cut-off hosts used permits")
def would_more(context):
    used = [
        table.used(now, False) for table in context.tables for now in range(4, 30, 3)
    ]
    assert max(used) > int(COLD_PER_S * OVERSHOOT), used


# Numbers of one permit to very many, from outside.
PERMITS = st.one_of(st.integers(1, 300), st.integers(1, 10**13))
NAMES = st.frozensets(st.sampled_from([f"h{n}" for n in range(40)]), max_size=12)


@behave.when(
    "hosts that see each other, and others that differ, learn of numbers of permits"
)
def differing_views(context):
    @hypothesis.given(NAMES.filter(bool), st.data())
    def check(users, data):
        numbers, owned, same = [], 0, 0
        for name in users:
            others, permits = data.draw(NAMES), data.draw(PERMITS)
            numbers.append(permits)
            rings = permit_rings.PermitRings(name)
            rings.update(users)
            same += rings.count_owned("s", numbers[0])
            rings.update(users | others)
            owned += rings.count_owned("s", permits)
        context.found.append((owned, max(numbers), same, numbers[0]))

    context.found = []
    check()


@behave.then("together they own at most the largest number of permits")
def at_most(context):
    assert all(owned <= most for owned, most, _, _ in context.found)


@behave.then("all but a hundredth of the permits, if they see the same")
def nearly_all(context):
    assert all(0.99 * n <= same <= n for _, _, same, n in context.found)


@behave.when("the hosts that a host sees change in any order")
def views_change(context):
    @hypothesis.given(st.lists(NAMES, min_size=1, max_size=6), PERMITS)
    def check(views, permits):
        changing = permit_rings.PermitRings("h0")
        for view in views:
            changing.update(view)
            generation = changing.generation
            count = changing.count_owned("s", permits)
        fresh = permit_rings.PermitRings("h0")
        fresh.update(views[-1])
        context.found.append((count, fresh.count_owned("s", permits)))
        # A count is kept for as long as the generation stays.
        changing.update(views[0])
        if changing.generation == generation:
            context.found.append((changing.count_owned("s", permits), count))

    context.found = []
    check()


@behave.then("it owns as many permits as one that sees the last ones from the start")
def same_as_fresh(context):
    assert all(changed == fresh for changed, fresh in context.found)


VIEWS = {
    "has been listed for 13 s": server_rates.HostTableView(
        frozenset("h"), 1.0, 13.0, 1.0
    ),
    "has been listed for 11 s": server_rates.HostTableView(
        frozenset("h"), 1.0, 11.0, 1.0
    ),
    "was cut off 10 s ago": server_rates.HostTableView(
        frozenset("h"), 10.0, 99.0, 10.0
    ),
    "was cut off 12 s ago": server_rates.HostTableView(
        frozenset("h"), 12.0, 99.0, 12.0
    ),
    "could not renew its row for 61 s": server_rates.HostTableView(
        frozenset("h"), 1.0, 99.0, 61.0
    ),
    "is no longer listed": server_rates.HostTableView(frozenset("i"), 1.0, 99.0, 1.0),
}


def budgets_of(view):
    budgets = server_rates.RateBudgets(
        "h", lambda _: COLD_PER_S, lambda: view, OVERSHOOT
    )
    budgets.mark_cold("s", WARM_UP_S, 0.0, in_use=False)
    return budgets


@behave.when("a host requests a permit that {what}")
def a_host(context, what):
    context.allowed = budgets_of(VIEWS[what]).may_send("s", 0.0)


@behave.then("it uses {permits} for a cold server")
def uses(context, permits):
    assert context.allowed == (permits == "permits")


@behave.when("the only host uses {taken:d} of {permits:d} permits of a cold server")
def takes(context, taken, permits):
    context.budgets = budgets_of(VIEWS["has been listed for 13 s"])
    assert context.budgets.owned_permits("s", 0.0) == permits
    for _ in range(taken):
        context.budgets.reserve("s", 0.0)
        context.budgets.record_send("s", 0.0)


@behave.then("a batch item gets no permit for {seconds:g} s, and one after that")
def item_may(context, seconds):
    budgets = context.budgets
    assert budgets.may_send("s", 0.0)
    assert not budgets.is_idle("s", seconds - 0.01)
    assert budgets.is_idle("s", seconds + 0.01)
    budgets.reserve("s", seconds + 0.01)
    assert not budgets.is_idle("s", seconds + 0.01)
