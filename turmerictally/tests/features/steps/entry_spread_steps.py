"""Steps for hosts that tell each other what they do, in virtual time."""

import random

import attrs
import behave
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally.bench import spread as bench
from turmerictally.entry import dissemination, gossip

SETTLED_S = 3.0


@behave.when("{count:d} hosts tell each other 2 changes a second each, in both ways")
def both_ways(context, count):
    context.relays = bench.measure(count, relayed=True)
    context.direct = bench.measure(count, relayed=False)


@behave.then(
    "through relays half of the changes are known within {half_s:g} s and 99 in 100 "
    "within {most_s:g} s"
)
def known_within(context, half_s, most_s):

    assert context.relays.age_median_s <= half_s, context.relays
    assert context.relays.age_p99_s <= most_s, context.relays


@behave.then("in the former way it takes twice as long until half of them are known")
def former_way(context):
    assert context.direct.age_median_s >= 2 * context.relays.age_median_s


@behave.then(
    "a host takes at most {most:d} datagrams a second, and a tenth of the bytes pass "
    "between domains"
)
def cost(context, most):
    assert context.relays.datagrams_taken <= most, context.relays
    part = context.relays.bytes_between_domains / context.direct.bytes_between_domains
    assert part <= 0.1, part


@behave.when(
    "{count:d} hosts tell each other {changes:d} changes a second each, through relays"
)
def through_relays(context, count, changes):
    context.relays = bench.measure(count, relayed=True, changes=changes)


@behave.then("a host takes at most {digests:d} digests and {most:d} datagrams a second")
def takes_little(context, digests, most):
    assert context.relays.digests_taken <= digests, context.relays
    assert context.relays.datagrams_taken <= most, context.relays
    # Each is still heard three times in the time after which it counts as silent.
    assert context.relays.signs_taken >= context.relays.hosts, context.relays


@behave.given(
    "{count:d} hosts in 6 failure domains that tell each other through relays"
)
def fleet(context, count):
    context.count = count


def relay_of(fleet, domain, but=()):
    """Return the host that relays in a domain now."""
    active = [
        member
        for member in fleet.members
        if member.domain == domain
        and member.number not in but
        and member.disseminator.bundler.is_active()
    ]
    return max(active, key=lambda m: len(m.disseminator.bundler.clients)).number


def ips(fleet, numbers):
    return [fleet.members[number].ip for number in numbers]


def in_domain(fleet, *domains):
    return [m.number for m in fleet.members if m.domain in domains]


def others(fleet, numbers):
    return [m.number for m in fleet.members if m.number not in set(numbers)]


async def make_trouble(fleet, trouble):
    """Carry a trouble out; return the hosts that are gone and the pairs cut."""
    first = relay_of(fleet, "domain-0")
    if trouble.startswith("a relay and the next"):
        ranked = fleet.members[first].disseminator.relay_selector.ranked("domain-0")
        second = next(int(x.host[1:]) for x in ranked if x.host != f"h{first}")
        fleet.kill(first)
        fleet.kill(second)
        return {first, second}
    if trouble == "a relay is lost":
        fleet.kill(first)
        return {first}
    if trouble.startswith("a relay takes nothing"):
        for member in fleet.members:
            fleet.links.cuts.add((member.ip, fleet.members[first].ip))
        return {first}
    if trouble.startswith("one in fifty"):
        fleet.loss = 0.02
        await trio.sleep(8.0)
    elif "start again" in trouble:
        step = 2 if trouble.startswith("half") else 1
        numbers = range(0, len(fleet.members), step)
        for number in numbers:
            fleet.kill(number)
        await trio.sleep(0.5)
        for number in numbers:
            fleet.restart(number)
    elif trouble.startswith("a host that was"):
        fleet.links.separate(ips(fleet, [7]), ips(fleet, others(fleet, [7])))
        await trio.sleep(9.0)
        fleet.links.restore()
    elif trouble.startswith("a failure domain"):
        inside = in_domain(fleet, "domain-2")
        fleet.links.separate(ips(fleet, inside), ips(fleet, others(fleet, inside)))
        if trouble.endswith("comes back"):
            await trio.sleep(9.0)
            fleet.links.restore()
    elif trouble.startswith("two domains"):
        one, other = in_domain(fleet, "domain-2"), in_domain(fleet, "domain-3")
        fleet.links.separate(ips(fleet, one), ips(fleet, other))
    return set()


def play(context, trouble, after_s):
    context.fleet = bench.Fleet(context.count)

    async def main():
        async with trio.open_nursery() as nursery:
            await context.fleet.start(nursery)
            await trio.sleep(SETTLED_S)
            context.gone = await make_trouble(context.fleet, trouble)
            await trio.sleep(after_s)
            context.unheard = find_unheard(context)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def find_unheard(context):
    """Return who does not hear whom, among the living that reach each other."""
    fleet = context.fleet
    found = []
    for member in fleet.members:
        for other in fleet.members:
            reached = not fleet.links.is_cut(other.address, member.address)
            if member is other or not reached:
                continue
            if {member.number, other.number} & context.gone:
                continue
            if not member.hosts.is_reachable(other.name, other.instance):
                found.append((member.name, other.name))
    return found


@behave.when("a host is cut off from all others")
def cut_off_alone(context):
    context.trouble = "cut off"


@behave.when("among them {trouble}")
def trouble_comes(context, trouble):
    context.trouble = trouble


@behave.then("{after_s:g} s later every living host hears every other that it reaches")
def all_heard(context, after_s):
    play(context, context.trouble, after_s)
    assert not context.unheard, (len(context.unheard), context.unheard[:5])


@behave.then("{after_s:g} s later it hears nobody and nobody hears it")
def hears_nobody(context, after_s):
    fleet = bench.Fleet(context.count)
    found = []

    async def main():
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(SETTLED_S)
            fleet.links.separate(ips(fleet, [7]), ips(fleet, others(fleet, [7])))
            await trio.sleep(after_s)
            alone = fleet.members[7]
            for other in fleet.members:
                if other is alone:
                    continue
                found.append(alone.hosts.is_reachable(other.name, other.instance))
                found.append(other.hosts.is_reachable(alone.name, alone.instance))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert found and not any(found)


@behave.then(
    "of hosts with 0.5, 2 and 1 cores the one with 2 is asked first, and not once it "
    "stops"
)
def strongest_first(context):
    async def main():
        hosts = gossip.HostDirectory("h0", "i", clocks.Clock(), None, domain="a")
        for name, cores in (("h0", 0.5), ("h1", 2.0), ("h2", 1.0)):
            hosts.records[name] = gossip.HostRecord(
                name, "i", f"{name}:1", 0, trio.current_time(), "a", cores
            )
        relays = dissemination.RelaySelector(hosts)
        assert [x.host for x in relays.choose()] == ["h1"]
        digest = gossip.Digest("h1", "i", "h1:1", 1, {}, {}, 0, {}, {}, {}, 0.0, [])
        digest.stopping = True
        hosts.peers["h1"] = gossip.Peer(digest, trio.current_time(), 0.0)
        await trio.sleep(dissemination.RANKING_TTL_S)
        assert [x.host for x in relays.choose()] == ["h2"]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class Lines:
    """Take log lines and drop them."""

    def emit(self, event, **fields):
        pass


class Time:
    """Give a time that the test sets."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


def make_digest(host, sequence, rng=None, instance="i0"):
    """Return a digest, of a random load if ``rng`` is given."""

    def counts():
        names = rng.sample("abcd", rng.randrange(4)) if rng else "a"
        return {name: rng.randrange(4) if rng else 1 for name in names}

    return gossip.Digest(
        host=host,
        instance=instance,
        address="",
        sequence=sequence,
        online=counts(),
        batch=counts(),
        items_waiting=rng.randrange(9) if rng else 0,
        admitted={},
        requested={},
        table_ages={},
        store_age_s=0.0,
        failing=list(counts()),
        outcomes={name: [n, n] for name, n in counts().items()},
        full=rng is None or rng.random() < 0.5,
    )


@behave.when("of a host's digests 1 and 2 the second is lost and signs for both arrive")
def signs_arrive(context):
    hosts = gossip.HostDirectory("h0", "i", Time(), Lines())
    first = make_digest("h1", 1)
    hosts.receive(first)
    hosts.clock.now = hosts.unreachable_s()
    context.found = [
        hosts.receive_heartbeat(gossip.Heartbeat("h1", "i0", 3, 1)),
        hosts.receive_heartbeat(gossip.Heartbeat("h1", "i0", 4, 2)),
        hosts.receive_heartbeat(gossip.Heartbeat("h1", "i1", 5, 1)),
        hosts.receive_heartbeat(gossip.Heartbeat("h2", "i0", 1, 1)),
    ]
    context.first, context.hosts = first, hosts


@behave.then(
    "the host counts as alive and only the sign for the first confirms anything"
)
def confirms(context):
    assert context.found == [context.first, None, None, None], context.found
    context.hosts.clock.now += context.hosts.unreachable_s()
    context.hosts.expire()
    assert context.hosts.is_reachable("h1", "i0")
    assert set(context.hosts.peers) == {"h1"}


@behave.when("hosts tell changing loads, restart and fall silent in any order")
def any_order(context):
    context.steps = 0
    for seed in range(30):
        rng = random.Random(seed)
        hosts = gossip.HostDirectory("h0", "i", Time(), Lines())
        for sequence in range(200):
            name = f"h{rng.randrange(1, 6)}"
            instance = rng.choice(["i0", "i0", "i0", "i1"])
            hosts.receive(make_digest(name, sequence, rng, instance))
            hosts.clock.now += rng.choice([0.01, 0.1, 0.1, 1.0])
            hosts.expire()
            expected = gossip.FleetTotals()
            for peer in hosts.peers.values():
                expected.add(peer.digest)
                expected.replace_outcomes(None, peer.digest)
            assert_same(hosts.totals, expected)
            context.steps += 1


def assert_same(totals, expected):
    for field in attrs.fields(gossip.FleetTotals):
        found, wanted = getattr(totals, field.name), getattr(expected, field.name)
        assert found == wanted, (field.name, found, wanted)


@behave.then("the counts are the sums over the hosts that are not forgotten")
def sums(context):
    assert context.steps == 30 * 200


@behave.when(
    "a relay sends {count:d} digests on to {members:d} hosts of its domain and "
    "{domains:d} other domains"
)
def sends_on(context, count, members, domains):
    async def main():
        hosts = gossip.HostDirectory("h0", "i", clocks.Clock(), None, domain="a")
        names = ["a"] * (members + 1) + [f"b{n}" for n in range(domains)]
        for n, domain in enumerate(names):
            hosts.records[f"h{n}"] = gossip.HostRecord(
                f"h{n}", "i", f"h{n}:1", 0, trio.current_time(), domain
            )
        bundler = dissemination.Bundler(hosts)
        for n in range(count):
            data = make_digest(f"h{n}", 1).encode()
            given = dissemination.Datagram(dissemination.Kind.RELAY, "h1", "a", (data,))
            bundler.add(given, "h1:1")
        context.parcels = bundler.flush(dissemination.RelaySelector(hosts))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("it encodes {encoded:d} datagrams and sends {sent:d}")
def encodes(context, encoded, sent):
    assert sum(len(p.datagrams) for p in context.parcels) == encoded
    assert sum(len(p.addresses) for p in context.parcels) == sent
