import attrs
import behave
import trio

from turmerictally import errors
from turmerictally.config import model, operations
from turmerictally.tests.support import config_fleet

LIMIT_S = 20.0


async def occupy(fleet, nursery, ends):
    """Run two blocks under the watch on every host; note when and why each ends."""
    ops = fleet.hosts["h0"].parts.operations
    await ops.put("ann", model.Contract("vanua", 5.0, 10, (), LIMIT_S))
    given_key = await ops.give_key("ann", "vanua")

    async def work(host):
        identity = host.parts.keys.authenticate(given_key.secret.text)
        try:
            with host.parts.keys.watch(identity):
                await trio.sleep_forever()
        except errors.Error as error:
            ends.append((host.id, trio.current_time(), error.kind))

    for host in fleet.hosts.values():
        nursery.start_soon(work, host)
        nursery.start_soon(work, host)
    await trio.sleep(0)
    return given_key.secret


def refusal(host, text):
    try:
        host.parts.keys.authenticate(text)
    except errors.Error as error:
        return error.kind
    return None


@behave.given("each of {count:d} hosts runs a stream and a queued request on one key")
def given_streams(context, count):
    context.count = count


@behave.when("the key is withdrawn on one host")
def when_withdrawn(context):
    context.result = config_fleet.run_fleet(withdraw, context.count)


async def withdraw(fleet, watched=True):
    ends = []
    async with trio.open_nursery() as nursery:
        secret = await occupy(fleet, nursery, ends)
        if not watched:
            for host in fleet.hosts.values():
                host.parts.replica.listeners.clear()
                host.parts.keys._check = lambda watch: None
        at = trio.current_time()
        await fleet.hosts["h2"].parts.operations.withdraw_key("ann", secret.key.id)
        await trio.sleep(5)
        refusals = {refusal(h, secret.text) for h in fleet.hosts.values()}
        nursery.cancel_scope.cancel()
    return at, ends, refusals


@behave.then("every stream and queued request ends as withdrawn within 5 seconds")
def then_ended(context):
    at, ends, _ = context.result
    assert len(ends) == 2 * context.count, len(ends)
    assert all(kind is errors.Kind.KEY_WITHDRAWN for _, _, kind in ends)
    assert max(when_ - at for _, when_, _ in ends) < 5


@behave.then("every host refuses the key from then on")
def then_refused(context):
    assert context.result[2] == {errors.Kind.UNAUTHENTICATED}, context.result[2]


@behave.then("without the watch the streams go on")
def then_unwatched(context):
    async def scenario(fleet):
        return await withdraw(fleet, watched=False)

    assert not config_fleet.run_fleet(scenario, context.count)[1]


@behave.when("one host is cut off and the key is withdrawn")
def when_cut_off(context):
    async def scenario(fleet):
        ends = []
        async with trio.open_nursery() as nursery:
            secret = await occupy(fleet, nursery, ends)
            # The team's limit counts once every host must know it.
            await trio.sleep(130)
            cut = fleet.hosts["h1"]
            cut.cut_from_platform = True
            fleet.separate([cut], [h for h in fleet.hosts.values() if h is not cut])
            at = trio.current_time()
            ops = fleet.hosts["h0"].parts.operations
            first = await ops.withdraw_key("ann", secret.key.id)
            served = [await serves_at(cut, secret, at + t) for t in (5, 15, 21, 60)]
            later = await ops.status(first.version)
            nursery.cancel_scope.cancel()
        return first, served, later, ends

    changes = {"config": {"max_staleness_s": 100.0}}
    context.result = config_fleet.run_fleet(scenario, context.count, **changes)


async def serves_at(host, secret, when_):
    await trio.sleep_until(when_)
    return refusal(host, secret.text)


@behave.then("the cut-off host serves the key until the team's limit and no longer")
def then_limit(context):
    _, served, _, ends = context.result
    stale = errors.Kind.CONFIGURATION_STALE
    assert served == [None, None, stale, stale], served
    assert [kind for host_id, _, kind in ends if host_id == "h1"] == [stale, stale]


@behave.then("the withdrawal is accepted after that and not before")
def then_late_acceptance(context):
    first, _, later, _ = context.result
    assert first.status is operations.Status.PENDING
    assert [pending.host_id for pending in first.pending] == ["h1"]
    assert later.status is operations.Status.ACCEPTED, later


@behave.then("removing a contract that has keys is a conflict")
def then_no_orphans(context):
    async def scenario(fleet):
        ops = fleet.hosts["h0"].parts.operations
        contract = model.Contract("vanua", 5.0, 10)
        await ops.put("ann", contract)
        given_key = await ops.give_key("ann", "vanua")
        kind = model.ItemKind.CONTRACT
        try:
            await ops.remove("bo", kind, "vanua")
        except errors.Error as error:
            assert error.kind is errors.Kind.CONFLICT
        else:
            raise AssertionError("removed")
        await ops.withdraw_key("bo", given_key.secret.key.id)
        await ops.remove("bo", kind, "vanua")
        forged = attrs.evolve(given_key.secret.key, team="nobody")
        try:
            await ops.put("bo", forged)
        except errors.Error as error:
            assert error.kind is errors.Kind.NOT_FOUND

    config_fleet.run_fleet(scenario, 4)
