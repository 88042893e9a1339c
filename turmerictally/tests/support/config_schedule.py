"""Play schedules of faults against the configuration and check its promises."""

import attrs
import hypothesis.strategies as st
import trio

from turmerictally import errors
from turmerictally.config import model, operations
from turmerictally.tests.support import config_fleet

HOSTS = 6
STALENESS_S = 20.0
CHECK_S = 0.1
# A host on a clock of its own may run this much fast or slow.
RATES = (1.0, 1.004, 0.996)


def schedules():
    host = st.integers(0, HOSTS - 1)
    domain = st.sampled_from(config_fleet.DOMAINS)
    step = st.one_of(
        st.tuples(st.just("change"), host),
        st.tuples(st.just("race"), host),
        st.tuples(st.just("withdraw"), host),
        st.tuples(st.just("lose_answers"), st.sampled_from([0.0, 0.4])),
        st.tuples(st.just("lose_messages"), st.sampled_from([0.0, 0.2])),
        st.tuples(st.just("platform"), st.booleans()),
        st.tuples(st.just("cut_platform"), domain),
        st.tuples(st.just("cut_domain"), domain),
        st.tuples(st.just("cut_one_way"), host),
        st.tuples(st.just("heal"), st.none()),
        st.tuples(st.just("restart"), host),
        st.tuples(st.just("kill"), host),
        st.tuples(st.just("wait"), st.sampled_from([1, 5, 25])),
    )
    return st.lists(step, min_size=4, max_size=14)


CUT = [
    ("cut_platform", "luzon-b"),
    ("cut_domain", "luzon-b"),
    ("change", 0),
    ("wait", 25),
    ("wait", 5),
    ("change", 0),
    ("wait", 5),
]
# Host 5 restarts beside host 1, both cut off from the platform.
DEPENDENT = [
    ("kill", 5),
    ("wait", 5),
    ("forget_host", 5),
    ("cut_platform", "luzon-b"),
    ("wait", 1),
    ("restart", 5),
    ("wait", 5),
    ("cut_host", 5),
    ("wait", 1),
    ("hide", 5),
    ("change", 0),
    ("wait", 1),
]


class Checker:
    """Watch every host for broken promises."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.faults = []
        self.accepted = 0
        self.views = {}
        self.refused = set()

    async def run(self):
        while True:
            for host in list(self.fleet.hosts.values()):
                self.check(host)
            await trio.sleep(CHECK_S)

    def attach(self, host):
        host.parts.replica.subscribe(self.on_move)

    def on_move(self, old, new):
        if new.version < old.version:
            self.faults.append(f"went back from {old.version} to {new.version}")

    def check(self, host):
        view = host.parts.replica.view
        known = self.views.setdefault(view.version, view)
        if known is not view and known != view:
            self.faults.append(f"two views of version {view.version}")
        if host.may_serve and view.version < self.accepted:
            self.faults.append(
                f"{host.id} serves on {view.version}, accepted {self.accepted}"
            )

    def note(self, outcome):
        if outcome.status is operations.Status.ACCEPTED:
            self.accepted = max(self.accepted, outcome.version)


class Player:
    """Carry out the steps of one schedule."""

    def __init__(self, fleet, checker, nursery, mechanism):
        self.fleet = fleet
        self.checker = checker
        self.nursery = nursery
        self.mechanism = mechanism
        self.count = 0

    async def play(self, schedule):
        for name, argument in schedule:
            await getattr(self, name)(argument)
            await trio.sleep(0.3)

    def prepare(self, host):
        self.checker.attach(host)
        self.mechanism(host)

    def operations(self, number):
        host = self.fleet.hosts.get(f"h{number}")
        return host.parts.operations if host and host.started else None

    async def change(self, number):
        self.count += 1
        item = model.Contract(f"team{self.count % 3}", 1.0 + self.count, 10)
        self.nursery.start_soon(self._put, number, item)

    async def race(self, number):
        """Two operators create one team; at most one may win."""
        self.count += 1
        results = []
        for offset, rate in ((0, 1.0), (1, 2.0)):
            item = model.Contract(f"raced{self.count}", rate, 10)
            one = (number + offset) % HOSTS
            self.nursery.start_soon(self._put, one, item, results)
        await trio.sleep(8)
        if sum(results) > 1:
            self.checker.faults.append("two winners")

    async def withdraw(self, number):
        self.nursery.start_soon(self._withdraw, number)

    async def _put(self, number, item, results=None):
        ops = self.operations(number)
        if ops is None:
            return
        expected = None if results is None else 0
        try:
            outcome = await ops.put("ann", item, expected)
        except errors.Error as error:
            self._check_refusal(error, item)
            return
        self.checker.note(outcome)
        if results is not None:
            results.append(True)

    async def _withdraw(self, number):
        ops = self.operations(number)
        if ops is None:
            return
        try:
            team = model.Contract(f"owner{self.count}", 1.0, 10)
            await ops.put("ann", team)
            given = await ops.give_key("ann", team.team)
            outcome = await ops.withdraw_key("ann", given.secret.key.id)
        except errors.Error:
            return
        self.checker.note(outcome)

    def _check_refusal(self, error, item):
        if error.ran is not errors.Ran.NOT_RUN:
            return
        rows = self.fleet.platform.table.rows.values()
        rates = [r.value["value"]["rate"] for r in rows if _is_contract_change(r, item)]
        if item.rate in rates:
            self.checker.faults.append(f"refused as not run, but written: {item}")

    async def lose_answers(self, ratio):
        self.fleet.platform.table.faults.lose_answer = ratio

    async def lose_messages(self, ratio):
        self.fleet.net.lose_request = self.fleet.net.lose_reply = ratio

    async def platform(self, down):
        self.fleet.platform.table.faults.down = down
        self.fleet.platform.hosts.faults.down = down

    async def cut_platform(self, domain):
        for host in self.fleet.in_domain(domain):
            host.cut_from_platform = True

    async def cut_domain(self, domain):
        inside = self.fleet.in_domain(domain)
        outside = [h for h in self.fleet.hosts.values() if h.domain != domain]
        self.fleet.separate(inside, outside)

    async def cut_one_way(self, number):
        host = self.fleet.hosts.get(f"h{number}")
        for other in self.fleet.hosts.values():
            if host is not None and other is not host:
                self.fleet.net.cut(other.address, host.address)

    async def cut_host(self, number):
        host = self.fleet.hosts[f"h{number}"]
        others = [one for one in self.fleet.hosts.values() if one is not host]
        self.fleet.separate([host], others)

    async def hide(self, number):
        """Remove every trace of a host from the others' membership."""
        for host in self.fleet.hosts.values():
            member = host.parts.members.lookup(f"h{number}")
            if member is not None:
                host.parts.members._forget(member)

    async def forget_host(self, number):
        await self.operations(0).remove_host("ann", f"h{number}")

    async def heal(self, _):
        self.fleet.net.heal()
        for host in self.fleet.hosts.values():
            host.cut_from_platform = False
        await self.platform(False)
        await self.lose_messages(0.0)

    async def restart(self, number):
        domain = config_fleet.DOMAINS[number % len(config_fleet.DOMAINS)]
        neighbours = self.fleet.in_domain(domain)
        cut = any(host.cut_from_platform for host in neighbours)
        rate = RATES[self.fleet.starts % len(RATES)]
        self.prepare(self.fleet.start(number, rate=rate, cut_from_platform=cut))

    async def kill(self, number):
        self.fleet.kill(f"h{number}")

    async def wait(self, seconds):
        await trio.sleep(seconds)
        for number in range(HOSTS):
            ops = self.operations(number)
            if ops is not None:
                self.nursery.start_soon(self._status, ops)

    async def _status(self, ops):
        self.checker.note(await ops.status())


def _is_contract_change(row, item):
    value = row.value.get("value")
    return row.key.startswith("config/changes/") and value and (
        value.get("team") == item.team and "rate" in value
    )  # fmt: skip


def play(schedule, seed, mechanism=lambda host: None):
    """Return the promises that a schedule breaks."""

    async def scenario(fleet):
        fleet.seeds = [host.address for host in fleet.hosts.values()]
        checker = Checker(fleet)
        async with trio.open_nursery() as nursery:
            player = Player(fleet, checker, nursery, mechanism)
            for host in fleet.hosts.values():
                player.prepare(host)
            nursery.start_soon(checker.run)
            await player.play(schedule)
            await player.heal(None)
            await player.lose_answers(0.0)
            await trio.sleep(15)
            check_converged(fleet, checker)
            nursery.cancel_scope.cancel()
        return checker.faults

    config = {"max_staleness_s": STALENESS_S, "snapshot_every": 5}
    return config_fleet.run_fleet(scenario, HOSTS, seed, config=config)


def check_converged(fleet, checker):
    newest = fleet.platform.table.rows.get("config/head")
    version = newest.value["version"] if newest else 0
    for host in fleet.hosts.values():
        if host.version != version or not host.may_serve:
            checker.faults.append(
                f"{host.id} is at {host.version} of {version} after healing"
            )


def at_commit(host):
    """Report a change as accepted once it is committed."""

    real = host.parts.spread.deliver

    async def deliver(version):
        delivery = await real(version)
        return attrs.evolve(delivery, pending=(), complete=True)

    host.parts.spread.deliver = deliver


def without_limit(host):
    """Let a host serve on a view of any age."""
    host.parts.replica.is_stale = lambda team="": host.parts.replica.freshness is None


def without_dependents(host):
    """Forget which hosts started from this one."""
    host.parts.sync.current_dependents = lambda: ()
