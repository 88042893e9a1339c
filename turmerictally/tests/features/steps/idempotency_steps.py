"""Steps for requests that run at most once."""

import random

import attrs
import behave
import hypothesis
import trio
from hypothesis import strategies

from turmerictally import errors
from turmerictally.online import idempotency, messages
from turmerictally.tests.support import online

SERVICE = "10.0.0.9:8000"


async def attempt(host, request, results):
    try:
        results.append(await host.pipeline.run(request))
    except errors.Error as error:
        results.append(error)


async def three_hosts(fleet, count=3):
    service = await fleet.add_service(SERVICE)
    hosts = [await fleet.add_host(f"h{n}", poll=False) for n in range(count)]
    return service, hosts


def outcomes(main):
    results = []
    counts = []

    async def body(fleet):
        service, hosts = await three_hosts(fleet)
        await main(fleet, service, hosts, results)
        counts.append(service.executions["b1"])

    online.run(body)
    return results, counts[0]


def code(outcome):
    return outcome.kind if isinstance(outcome, errors.Error) else outcome.status


@behave.when("a confirmation is sent to two hosts at once and later to a third")
def sent_to_two(context):
    async def main(fleet, service, hosts, results):
        service.faults.answer_delay_s = 1.0
        async with trio.open_nursery() as nursery:
            for host in hosts[:2]:
                nursery.start_soon(attempt, host, online.confirm(), results)
        await attempt(hosts[2], online.confirm(), results)
        await attempt(hosts[0], online.confirm(), results)

    context.results, context.count = outcomes(main)


@behave.then("it ran once")
def ran_once(context):
    assert context.count == 1, context.count


@behave.then("every host returns the one stored response or reports it in progress")
def one_answer(context):
    early, *responses = context.results
    assert code(early) is errors.Kind.IDEMPOTENCY_IN_PROGRESS
    assert early.retry_after_s
    assert len({response.body for response in responses}) == 1
    assert [response.replayed for response in responses] == [False, True, True]


@behave.when("the same key comes with another body and from another team")
def other_body(context):
    async def main(fleet, service, hosts, results):
        await attempt(hosts[0], online.confirm(), results)
        await attempt(hosts[1], online.confirm(reference="b2"), results)
        await attempt(hosts[1], online.confirm(team="rival", reference="b3"), results)
        context.rival = service.executions["b3"]

    context.results, context.count = outcomes(main)


@behave.then(
    "the other body is rejected and the other team's request ran independently"
)
def other_body_refused(context):
    kinds = [code(outcome) for outcome in context.results]
    assert kinds == [201, errors.Kind.IDEMPOTENCY_MISMATCH, 201], kinds
    assert not context.results[2].replayed
    assert (context.count, context.rival) == (1, 1)


@behave.when("a host is killed while its confirmation runs and the caller resends it")
def holder_killed(context):
    async def main(fleet, service, hosts, results):
        service.faults.answer_delay_s = 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(attempt, hosts[0], online.confirm(), [])
            await trio.sleep(0.5)
            await attempt(hosts[1], online.confirm(), results)
            fleet.kill("h0")
            await attempt(hosts[1], online.confirm(), results)
            await attempt(hosts[2], online.confirm(), results)
            nursery.cancel_scope.cancel()

    context.results, context.count = outcomes(main)


@behave.then("the resend is rejected with an unknown outcome")
def may_have_run(context):
    kinds = [code(outcome) for outcome in context.results]
    unknown = errors.Kind.OUTCOME_UNKNOWN
    assert kinds == [errors.Kind.IDEMPOTENCY_IN_PROGRESS, unknown, unknown], kinds
    assert all(o.ran is errors.Ran.MAY_HAVE_RUN for o in context.results)


@behave.when("the platform is down before a confirmation and while another one runs")
def platform_down(context):
    async def main(fleet, service, hosts, results):
        faults = fleet.platform.table.faults
        faults.down = True
        await attempt(hosts[0], online.confirm(key="k0", reference="b0"), results)
        context.first = service.executions["b0"]
        faults.down = False
        service.faults.answer_delay_s = 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(attempt, hosts[0], online.confirm(), results)
            await trio.sleep(0.5)
            faults.down = True
        await attempt(hosts[0], online.confirm(), results)
        await trio.sleep(60.0)
        faults.down = False
        await trio.sleep(10.0)
        await attempt(hosts[1], online.confirm(), results)
        assert not hosts[0].claims.by_row

    context.results, context.count = outcomes(main)


@behave.then("the first is refused as not run and did not run")
def first_not_run(context):
    first = context.results[0]
    assert first.kind is errors.Kind.PLATFORM_UNAVAILABLE
    assert first.ran is errors.Ran.NOT_RUN
    assert context.first == 0


@behave.then(
    "the second gets its response, stored once the platform is available again"
)
def second_stored(context):
    responses = context.results[1:]
    assert [response.replayed for response in responses] == [False, True, True], (
        responses
    )
    assert context.count == 1


@behave.when("a host drains its claims while the platform comes back")
def drains(context):
    async def main(fleet, service, hosts, results):
        service.faults.answer_delay_s = 0.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(attempt, hosts[0], online.confirm(), results)
            await trio.sleep(0.2)
            fleet.platform.table.faults.down = True
        with trio.move_on_after(0.5):
            await hosts[0].claims.drain()
        context.held = len(hosts[0].claims.by_row)
        fleet.platform.table.faults.down = False
        await hosts[0].claims.drain()
        fleet.kill("h0")
        await attempt(hosts[1], online.confirm(), results)

    context.results, context.count = outcomes(main)


@behave.then("another host replays the response after the stop")
def replayed_after_stop(context):
    assert context.held == 1
    assert [response.replayed for response in context.results] == [False, True]
    assert context.count == 1


@behave.when("the response to a claim is lost and the caller resends to another host")
def abandoned_claim(context):
    async def main(fleet, service, hosts, results):
        faults = fleet.platform.table.faults
        faults.lose_answer = 1.0
        with trio.move_on_after(0.01):
            await attempt(hosts[0], online.confirm(), results)
        await trio.sleep(5.0)
        faults.lose_answer = 0.0
        await attempt(hosts[1], online.confirm(), results)

    context.results, context.count = outcomes(main)


@behave.then("another host runs the confirmation once")
def other_host_runs(context):
    assert [code(outcome) for outcome in context.results] == [201], context.results
    assert context.count == 1


@behave.when("a caller without a team resends a confirmation")
def open_route(context):
    async def main(fleet, service, hosts, results):
        request = {"team": "", "contract": None}
        await attempt(hosts[0], online.confirm(**request), results)
        await attempt(hosts[1], online.confirm(**request), results)

    context.results, context.count = outcomes(main)


@behave.then("the resend is refused as done")
def refused_done(context):
    assert code(context.results[0]) == 201
    assert context.results[1].ran is errors.Ran.DONE


@attrs.define
class FaultRun:
    """Record the outcomes and executions of one confirmation."""

    seed: int
    outcomes: list = attrs.Factory(list)
    count: int = 0

    def faults(self):
        """Return every violated guarantee."""
        broken = []
        if self.count > 1:
            broken.append(f"ran {self.count} times")
        responses = [o for o in self.outcomes if isinstance(o, messages.Response)]
        if len({response.body for response in responses if response.status == 201}) > 1:
            broken.append("different responses")
        known_errors = [o for o in self.outcomes if isinstance(o, errors.Error)]
        not_run = [e.ran is errors.Ran.NOT_RUN for e in known_errors]
        if self.count and not responses and not_run and all(not_run):
            broken.append("ran, but every refusal said not run")
        return broken


def run_with_faults(seed):
    """Resend one confirmation at random under random faults."""
    rng = random.Random(seed)
    fault_run = FaultRun(seed)

    async def main(fleet):
        service, hosts = await three_hosts(fleet)
        service.faults.answer_delay_s = rng.choice([0.0, 0.3, 1.5])
        faults = fleet.platform.table.faults
        faults.lose_answer = rng.choice([0.0, 0.3, 0.7])
        faults.lose_request = rng.choice([0.0, 0.3])
        faults.delay_s = rng.choice([0.0, 0.05, 0.9])
        fleet.network.lose_reply = rng.choice([0.0, 0.5])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(disturb, fleet, rng)
            for n in range(6):
                host = rng.choice(hosts)
                nursery.start_soon(send, host, n, rng.uniform(0.0, 6.0), fault_run)
            await trio.sleep(15.0)
            nursery.cancel_scope.cancel()
        fault_run.count = service.executions["b1"]

    online.run(main, seed)
    return fault_run


async def send(host, number, at, fault_run):
    await trio.sleep(at)
    if host.scope.cancelled_caught or host.scope.cancel_called:
        return
    request = online.confirm(f"r{number}", deadline=trio.current_time() + 4.0)
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow, host.scope, scope)
            await attempt(host, request, fault_run.outcomes)
            nursery.cancel_scope.cancel()


async def follow(killed, scope):
    """Cancel a caller's request when its host is killed."""
    while not killed.cancel_called:
        await trio.sleep(0.01)
    scope.cancel()


async def disturb(fleet, rng):
    await trio.sleep(rng.uniform(0.0, 3.0))
    if rng.random() < 0.7:
        fleet.kill("h0")
    await trio.sleep(rng.uniform(0.0, 2.0))
    if rng.random() < 0.5:
        fleet.platform.table.faults.down = True
        await trio.sleep(rng.uniform(0.0, 3.0))
        fleet.platform.table.faults.down = False


@behave.when("resends meet random faults")
def random_resends(context):
    context.runs = []

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(seed=strategies.integers(0, 100_000))
    def example(seed):
        context.runs.append(run_with_faults(seed))

    example()


@behave.then("no confirmation ran twice and no error falsely said not run")
def none_broken(context):
    broken = [(s.seed, s.faults(), s.outcomes) for s in context.runs if s.faults()]
    assert not broken, broken[:3]
    assert sum(s.count for s in context.runs) * 2 > len(context.runs)


@behave.then("without claims a confirmation runs twice")
def without_claims(context):
    async def begin(self, request):
        return self._new_claim(request)

    original = idempotency.Claims.begin
    idempotency.Claims.begin = begin
    try:
        assert any(run_with_faults(seed).faults() for seed in range(20))
    finally:
        idempotency.Claims.begin = original


@behave.then("with claims taken over from dead hosts one runs twice too")
def takeover(context):
    async def ask_holder(self, claim, row):
        if self.is_alive(row.value["host"], row.value["instance"]):
            return await original(self, claim, row)
        return row.version

    original = idempotency.Claims._query_holder
    idempotency.Claims._query_holder = ask_holder
    try:
        assert any(run_with_faults(seed).faults() for seed in range(60))
    finally:
        idempotency.Claims._query_holder = original
