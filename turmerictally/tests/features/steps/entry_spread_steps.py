"""Steps for hosts that gossip digests, in virtual time."""

import random

import attrs
import behave
import trio
import trio.testing

from turmerictally import clock as clocks
from turmerictally.bench import spread as bench
from turmerictally.entry import dissemination, gossip

SETTLE_S = 3.0


@behave.when(
    "{count:d} hosts report 2 changes a second each, through relays and directly"
)
def measure_both(context, count):
    context.relays = bench.measure(count, relayed=True)
    context.direct = bench.measure(count, relayed=False)


@behave.then(
    "through relays half of the changes are known within {half_s:g} s and 99 in 100 "
    "within {p99_s:g} s"
)
def known_within(context, half_s, p99_s):
    assert context.relays.age_median_s <= half_s, context.relays
    assert context.relays.age_p99_s <= p99_s, context.relays


@behave.then("sent directly it takes twice as long until half of them are known")
def slower_directly(context):
    assert context.direct.age_median_s >= 2 * context.relays.age_median_s


@behave.then(
    "a host receives at most {limit:d} datagrams a second, and a tenth of the bytes "
    "pass between domains"
)
def cost(context, limit):
    assert context.relays.datagrams_taken <= limit, context.relays
    ratio = context.relays.bytes_between_domains / context.direct.bytes_between_domains
    assert ratio <= 0.1, ratio


@behave.when("{count:d} hosts report {changes:d} changes a second each, through relays")
def through_relays(context, count, changes):
    context.relays = bench.measure(count, relayed=True, changes=changes)


@behave.then(
    "a host receives at most {digests:d} digests and {limit:d} datagrams a second"
)
def receives_little(context, digests, limit):
    assert context.relays.digests_taken <= digests, context.relays
    assert context.relays.datagrams_taken <= limit, context.relays
    # Every host still receives three heartbeats of each other host within the time
    # after which that host would be unreachable.
    assert context.relays.signs_taken >= context.relays.hosts, context.relays


@behave.given("{count:d} hosts in 6 failure domains that send digests through relays")
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


async def inject_fault(fleet, fault):
    """Inject a fault; return the numbers of the hosts that it removes."""
    first = relay_of(fleet, "domain-0")
    if fault.startswith("a relay and the next"):
        ranked = fleet.members[first].disseminator.relay_selector.ranked("domain-0")
        second = next(int(x.host[1:]) for x in ranked if x.host != f"h{first}")
        fleet.kill(first)
        fleet.kill(second)
        return {first, second}
    if fault == "a relay is lost":
        fleet.kill(first)
        return {first}
    if fault.startswith("a relay receives nothing"):
        for member in fleet.members:
            fleet.links.cuts.add((member.ip, fleet.members[first].ip))
        return {first}
    if fault.startswith("one in fifty"):
        fleet.loss = 0.02
        await trio.sleep(8.0)
    elif "start again" in fault:
        step = 2 if fault.startswith("half") else 1
        numbers = range(0, len(fleet.members), step)
        for number in numbers:
            fleet.kill(number)
        await trio.sleep(0.5)
        for number in numbers:
            fleet.restart(number)
    elif fault.startswith("a host that was"):
        fleet.links.separate(ips(fleet, [7]), ips(fleet, others(fleet, [7])))
        await trio.sleep(9.0)
        fleet.links.restore()
    elif fault.startswith("a failure domain"):
        inside = in_domain(fleet, "domain-2")
        fleet.links.separate(ips(fleet, inside), ips(fleet, others(fleet, inside)))
        if fault.endswith("comes back"):
            await trio.sleep(9.0)
            fleet.links.restore()
    elif fault.startswith("two domains"):
        one, other = in_domain(fleet, "domain-2"), in_domain(fleet, "domain-3")
        fleet.links.separate(ips(fleet, one), ips(fleet, other))
    return set()


def run_fault(context, fault, after_s):
    context.fleet = bench.Fleet(context.count)

    async def main():
        async with trio.open_nursery() as nursery:
            await context.fleet.start(nursery)
            await trio.sleep(SETTLE_S)
            context.gone = await inject_fault(context.fleet, fault)
            await trio.sleep(after_s)
            context.unreachable = find_unreachable(context)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def find_unreachable(context):
    """Return the pairs of living, connected hosts of which one is unreachable."""
    fleet = context.fleet
    found = []
    for member in fleet.members:
        for other in fleet.members:
            is_connected = not fleet.links.is_cut(other.address, member.address)
            if member is other or not is_connected:
                continue
            if {member.number, other.number} & context.gone:
                continue
            if not member.hosts.is_reachable(other.name, other.instance):
                found.append((member.name, other.name))
    return found


@behave.when("a host is cut off from all others")
def cut_off_alone(context):
    context.fault = "cut off"


@behave.when("the fleet meets this fault: {fault}")
def given_fault(context, fault):
    context.fault = fault


@behave.then(
    "{after_s:g} s later every living host is reachable for all that it is not cut off "
    "from"
)
def all_reachable(context, after_s):
    run_fault(context, context.fault, after_s)
    assert not context.unreachable, (len(context.unreachable), context.unreachable[:5])


@behave.then(
    "{after_s:g} s later no host is reachable for it and it is reachable for none"
)
def isolated(context, after_s):
    fleet = bench.Fleet(context.count)
    found = []

    async def main():
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(SETTLE_S)
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
    "of hosts with 0.5, 2 and 1 cores the one with 2 is preferred, until it stops"
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
    """Discard log lines."""

    def emit(self, event, **fields):
        pass


class Time:
    """Provide a clock that the test sets."""

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


@behave.when(
    "of a host's digests 1 and 2 the second is lost and heartbeats for both arrive"
)
def heartbeats_arrive(context):
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
    "the host counts as alive and only the heartbeat for the first confirms anything"
)
def confirms(context):
    assert context.found == [context.first, None, None, None], context.found
    context.hosts.clock.now += context.hosts.unreachable_s()
    context.hosts.expire()
    assert context.hosts.is_reachable("h1", "i0")
    assert set(context.hosts.peers) == {"h1"}


@behave.when("hosts report changing loads, restart and become unreachable in any order")
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


@behave.then("the totals are the sums over the hosts that are not removed")
def sums(context):
    assert context.steps == 30 * 200


@behave.when(
    "a relay forwards {count:d} digests to {members:d} hosts of its domain and "
    "{domains:d} other domains"
)
def forwards(context, count, members, domains):
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
            datagram = dissemination.Datagram(
                dissemination.Kind.RELAY, "h1", "a", (data,)
            )
            bundler.add(datagram, "h1:1")
        context.outgoing = bundler.flush(dissemination.RelaySelector(hosts))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("it encodes {encoded:d} datagrams and sends {sent:d}")
def encodes(context, encoded, sent):
    assert sum(len(p.datagrams) for p in context.outgoing) == encoded
    assert sum(len(p.addresses) for p in context.outgoing) == sent
