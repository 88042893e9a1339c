import json
import random

import attrs
import behave
import hypothesis
import hypothesis.strategies as st
import trio

from turmerictally import clock as clocks
from turmerictally import errors
from turmerictally.config import audit, model, operations, replica, store
from turmerictally.peers import calls
from turmerictally.standins import memory
from turmerictally.store import table
from turmerictally.tests.support import config_fleet, config_schedule


def contract(name, rate=5.0):
    return model.Contract(name, rate, 10)


async def attempt(change, *args, **kwargs):
    try:
        return await change(*args, **kwargs)
    except errors.Error as error:
        return error


async def gather(*calls_):
    results = [None] * len(calls_)

    async def one(index, call):
        results[index] = await attempt(*call)

    async with trio.open_nursery() as nursery:
        for index, call in enumerate(calls_):
            nursery.start_soon(one, index, call)
    return results


@behave.given("a configured fleet of {count:d} hosts")
def given_fleet(context, count):
    context.count = count
    context.changes = {}


@behave.given(
    "a configured fleet of {count:d} hosts that takes a snapshot every 10 changes"
)
def given_snapshots(context, count):
    context.count = count
    context.changes = {"snapshot_every": 10}


@behave.when(
    "an operator creates a contract, gives a key and withdraws it, on three hosts"
)
def when_three_changes(context):
    async def scenario(fleet):
        ops = [fleet.hosts[name].parts.operations for name in ("h0", "h5", "h10")]
        context.took = []
        began = trio.current_time()
        put = await ops[0].put("ann", contract("dalisay"))
        context.took.append(trio.current_time() - began)
        given_key = await ops[1].give_key("bo", "dalisay")
        context.took.append(trio.current_time() - began)
        withdrawn = await ops[2].withdraw_key("cy", given_key.secret.key.id)
        context.took.append(trio.current_time() - began)
        await attempt(ops[0].withdraw_key, "dee", "key-none")
        await trio.sleep(2)
        context.outcomes = [put, given_key.outcome, withdrawn]
        context.secret = given_key.secret
        context.trail = await fleet.hosts["h1"].parts.trail.list(limit=3)
        rest = await fleet.hosts["h1"].parts.trail.list(after=context.trail.after)
        context.entries = context.trail.entries + rest.entries
        context.rows = fleet.platform.table.rows

    config_fleet.run_fleet(scenario, context.count, config=context.changes)


@behave.then(
    "each of the three changes was accepted on 13 of 13 hosts within 6 seconds"
)
def then_accepted(context):
    for outcome in context.outcomes:
        assert outcome.status is operations.Status.ACCEPTED, outcome
        assert (outcome.in_force, outcome.hosts) == (13, 13), outcome
    assert max(context.took) < 6, context.took


@behave.then("the audit trail names who, before and after, and holds no key digest")
def then_audited(context):
    entries = context.entries
    assert [entry.who for entry in entries] == ["ann", "bo", "cy", "dee"]
    assert entries[2].before["team"] == "dalisay"
    assert entries[2].after is None
    assert entries[3].result is audit.Result.REFUSED
    text = json.dumps(
        [r.value for k, r in context.rows.items() if k.startswith("audit/")]
    )
    assert context.secret.key.digest not in text
    assert context.secret.text not in json.dumps(
        [r.value for r in context.rows.values()]
    )


@behave.when("two operators change one contract at once, and two change different ones")
def when_race(context):
    async def scenario(fleet):
        one, two = (fleet.hosts[name].parts.operations for name in ("h0", "h1"))
        await one.put("ann", contract("dalisay"))
        context.same = await gather(
            (one.put, "ann", contract("dalisay", 6.0)),
            (two.put, "bo", contract("dalisay", 7.0)),
        )
        context.apart = await gather(
            (one.put, "ann", contract("vanua")), (two.put, "bo", contract("lautoka"))
        )

    config_fleet.run_fleet(scenario, context.count, config=context.changes)


@behave.then("the one contract has one winner and one conflict")
def then_one_winner(context):
    won = [r for r in context.same if isinstance(r, operations.Outcome)]
    lost = [r for r in context.same if isinstance(r, errors.Error)]
    assert len(won) == len(lost) == 1, context.same
    assert lost[0].kind is errors.Kind.CONFLICT


@behave.then("both different contracts are changed")
def then_both(context):
    assert all(isinstance(r, operations.Outcome) for r in context.apart), context.apart


class UncheckedTable(memory.Table):
    def _verify(self, checks):
        pass


@behave.then("a commit without version checks makes both racers win")
def then_unchecked(context):
    async def main():
        rows, clock = UncheckedTable(), clocks.VirtualClock()
        history = store.Store(rows, memory.Objects(), clock, 100)
        head = await history.head()
        changes = [build_change(1, "ann", 6.0), build_change(1, "bo", 7.0)]
        for change in changes:
            await history.commit(head, change, build_entry(change))
        assert [c.who for c in await history.changes(0)] == ["bo"]

    config_fleet.run(main)


def build_change(version, who="ann", rate=5.0, change_id=""):
    item = contract("dalisay", rate)
    kind = model.ItemKind.CONTRACT
    return model.Change(version, kind, "dalisay", item, who, 0.0, change_id or who)


def build_entry(change):
    return audit.Entry(
        audit.entry_id(0.0), 0.0, change.who, "h0", change.kind, change.name,
        None, None, audit.Result.COMMITTED, change.version, change.id,
    )  # fmt: skip


@behave.when("40 changes are made while one answer in three is lost")
def when_lost_answers(context):
    async def main():
        context.answers, context.history = await lose_answers(store.Store)

    config_fleet.run(main)


async def lose_answers(kind):
    rows, clock = memory.Table(), clocks.VirtualClock()
    history = kind(rows, memory.Objects(), clock, 1000)
    answers = {}
    for number in range(40):
        rows.faults.lose_answer = 0.0
        head = await history.head()
        rows.faults.lose_answer = 0.33
        change = build_change(head.version + 1, change_id=f"c{number}")
        try:
            await history.commit(head, change, build_entry(change))
            answers[change.id] = errors.Ran.DONE
        except errors.Error as error:
            answers[change.id] = error.ran
    rows.faults.lose_answer = 0.0
    return answers, {change.id for change in await history.changes(0)}


class HastyStore(store.Store):
    async def commit(self, head, change, entry):
        try:
            checks = [table.Check(store.HEAD, head.row_version)]
            await self.rows.commit(checks, self._writes(head, change, entry))
        except table.UnavailableError as error:
            raise errors.Error(errors.Kind.PLATFORM_UNAVAILABLE) from error


def disagreements(answers, history):
    claims = {errors.Ran.DONE: True, errors.Ran.NOT_RUN: False}
    return [
        change_id
        for change_id, ran in answers.items()
        if ran in claims and claims[ran] is not (change_id in history)
    ]


@behave.then("every answer agrees with the history")
def then_agree(context):
    assert not disagreements(context.answers, context.history)
    done = [ran for ran in context.answers.values() if ran is errors.Ran.DONE]
    assert len(done) == 40, context.answers


@behave.then(
    "a commit that takes a lost answer for a refusal disagrees with the history"
)
def then_hasty(context):
    async def main():
        return await lose_answers(HastyStore)

    assert disagreements(*config_fleet.run(main))


class ForgetfulReplica(replica.Replica):
    def adopt(self, view):
        self._move(view)
        return True


def feed(kind, seed):
    """Deliver a history in a shuffled order; return whether the view went back."""
    rng = random.Random(seed)
    views = [model.View()]
    changes = [build_change(version, rate=float(version)) for version in range(1, 30)]
    for change in changes:
        views.append(views[-1].apply([change]))
    copy = kind(clocks.VirtualClock(), 60.0)
    back = []
    copy.subscribe(lambda old, new: back.append(new.version < old.version))

    async def main():
        for _ in range(80):
            start = rng.randrange(len(changes))
            if rng.random() < 0.5:
                copy.apply(changes[start : start + rng.randrange(1, 6)])
            else:
                copy.adopt(rng.choice(views[: start + 2]))
            assert copy.view == views[copy.view.version]
        return any(back)

    return config_fleet.run(main)


@behave.then("a replica fed late, repeated and old answers never goes back")
def then_never_back(context):
    @hypothesis.given(st.integers(0, 10**6))
    def check(seed):
        assert not feed(replica.Replica, seed)

    check()


@behave.then("a replica without its version check goes back")
def then_back(context):
    assert any(feed(ForgetfulReplica, seed) for seed in range(5))


@behave.when("60 changes are made and old ones are compacted")
def when_compacted(context):
    async def scenario(fleet):
        ops = fleet.hosts["h0"].parts.operations
        for number in range(60):
            await ops.put("ann", contract(f"team{number % 7}", number + 1.0))
            await trio.sleep(5)
        await trio.sleep(60)
        rows = fleet.platform.table.rows
        assert store.change_key(5) not in rows
        fleet.start(8)
        await fleet.settle()
        context.new = fleet.hosts["h8"].parts.replica.view
        fleet.platform.table.faults.down = True
        fleet.platform.hosts.faults.down = True
        fleet.platform.objects.faults.down = True
        fleet.seeds = [fleet.address(1)]
        fleet.start(9)
        with trio.fail_after(30):
            while not fleet.hosts["h9"].started:
                await trio.sleep(0.5)
        context.cut = fleet.hosts["h9"].parts.replica.view
        context.old = fleet.hosts["h0"].parts.replica.view

    config_fleet.run_fleet(scenario, context.count, config=context.changes)


@behave.then("a new host holds the same configuration")
def then_same(context):
    assert context.old.version == 60
    assert context.new == context.old


@behave.then("a new host holds the same configuration while the platform is down")
def then_same_cut(context):
    assert context.cut == context.old


class Mute:
    """Ignore what pings tell about configuration versions."""

    def digest(self):
        return 0, None

    def receive_digest(self, *digest):
        pass


async def lose_pushes(fleet, mute):
    for host in fleet.hosts.values():
        del host.parts.sync.peers.peers.handlers[calls.Kind.CONFIG_PUSH]
        if mute:
            host.parts.detector.versions = Mute()
            host.parts.sync.config = attrs.evolve(host.parts.sync.config, poll_s=60.0)
    async with trio.open_nursery() as nursery:
        ops = fleet.hosts["h0"].parts.operations
        nursery.start_soon(ops.put, "ann", contract("dalisay"))
        await trio.sleep(0.5)
        began = trio.current_time()
        while not fleet.everyone_has(1) and trio.current_time() - began < 60:
            await trio.sleep(0.1)
        return trio.current_time() - began


@behave.when("a change is made while every push is lost")
def when_pushes_lost(context):
    async def scenario(fleet):
        return await lose_pushes(fleet, mute=False)

    context.took = config_fleet.run_fleet(scenario, context.count)


@behave.then("the change is in force on all hosts within 10 seconds")
def then_anti_entropy(context):
    assert context.took < 10, context.took


@behave.then("without pushes and digests in pings it is not")
def then_mute(context):
    async def scenario(fleet):
        return await lose_pushes(fleet, mute=True)

    assert config_fleet.run_fleet(scenario, context.count) > 10


@behave.then("no schedule breaks the configuration's promises")
def then_promises(context):
    @hypothesis.settings(max_examples=30, deadline=None)
    @hypothesis.given(config_schedule.schedules(), st.integers(0, 1000))
    def check(schedule, seed):
        broken = config_schedule.play(schedule, seed)
        assert not broken, broken

    check()


@behave.then("accepting a change at its commit breaks them")
def then_commit_only(context):
    broken = config_schedule.play(config_schedule.CUT, 0, config_schedule.at_commit)
    assert any("accepted" in fault for fault in broken), broken
    assert not config_schedule.play(config_schedule.CUT, 0)


@behave.then("serving without a staleness limit breaks them")
def then_no_limit(context):
    unlimited = config_schedule.without_limit
    broken = config_schedule.play(config_schedule.CUT, 0, unlimited)
    assert any("accepted" in fault for fault in broken), broken


@behave.then("not waiting for hosts that started from a cut-off peer breaks them")
def then_no_dependents(context):
    schedule = config_schedule.DEPENDENT
    broken = config_schedule.play(schedule, 0, config_schedule.without_dependents)
    assert any("accepted" in fault for fault in broken), broken
    assert not config_schedule.play(schedule, 0)
