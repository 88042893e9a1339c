"""Steps for complete responses, retries and cancelled work."""

import json

import behave
import hypothesis
import trio
from hypothesis import strategies

from turmerictally import errors
from turmerictally.online import events, forward, messages, streams
from turmerictally.standins import tokens
from turmerictally.tests.support import online

A, B = "10.0.0.1:8000", "10.0.0.2:8000"
SECRET = "sk-secret-of-a-caller"


def stream_bytes(start, count):
    chunks = [event(n, f" t{n}", None) for n in range(start, count)]
    return b"".join([*chunks, event(count, "", "stop"), events.DONE])


def event(offset, text, finish):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    body = {"id": "r1", "offset": offset, "choices": [choice]}
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def relay_with_cut(at, count, resume_at):
    progress = events.Progress("r1")
    parser = events.Parser()
    out = [progress.accept(e) for e in parser.feed(stream_bytes(0, count)[:at])]
    if not progress.done:
        rest = events.Parser().feed(stream_bytes(resume_at(progress), count))
        out += [progress.accept(e) for e in rest]
    return progress, b"".join(part for part in out if part)


@behave.given("a stream of an engine as bytes")
def given_stream(context):
    context.count = 4
    context.bytes = stream_bytes(0, context.count)


@behave.when(
    "it is cut at each byte and resumed from the token after the last complete event"
)
def cut_everywhere(context):
    context.cuts = [
        relay_with_cut(at, context.count, lambda progress: progress.next)
        for at in range(len(context.bytes) + 1)
    ]
    # An engine may also send tokens again that were delivered before.
    context.cuts += [
        relay_with_cut(at, context.count, lambda progress: max(0, progress.next - 1))
        for at in range(len(context.bytes) + 1)
    ]


@behave.then("the caller always receives every token once and the end marker")
def every_token_once(context):
    for progress, out in context.cuts:
        assert out == context.bytes, out
        assert progress.done


@behave.then("without offset checks a violation is found")
def no_offsets(context):
    original = events.Progress._continues
    events.Progress._continues = lambda self, offset, count: True
    try:
        outputs = [
            relay_with_cut(at, context.count, lambda p: max(0, p.next - 1))[1]
            for at in range(len(context.bytes))
        ]
    finally:
        events.Progress._continues = original
    assert any(out != context.bytes for out in outputs)


@behave.when("streams are cut after any number of tokens and servers crash")
def cut_streams(context):
    context.reads = []

    @hypothesis.settings(max_examples=15)
    @hypothesis.given(
        cut=strategies.integers(0, 30),
        crash_at=strategies.none() | strategies.floats(0.01, 0.5),
        seed=strategies.integers(0, 1000),
    )
    def example(cut, crash_at, seed):
        async def main(fleet):
            for address in (A, B):
                new_engine = await fleet.add_engine(address)
                new_engine.faults.cut_after = cut
            host = await fleet.add_host("h0", seed=seed)
            request = online.chat()
            response = await host.pipeline.run(request)
            async with trio.open_nursery() as nursery:
                if crash_at is not None:
                    nursery.start_soon(crash, fleet, response.server, crash_at)
                expected = expected_tokens(request)
                context.reads.append((await online.read(response), expected))
                nursery.cancel_scope.cancel()

        online.run(main, seed)

    example()


async def crash(fleet, address, at):
    await trio.sleep(at)
    fleet.engines[address].crash("another")
    fleet.apps.pop(address)


def expected_tokens(request):
    body = json.loads(request.body)
    text = "\n".join(f"{m['role']}: {m['content']}" for m in body["messages"])
    key = tokens.answer_key("small", 0, tokens.prompt_tokens(text))
    count = min(tokens.answer_length(key), body["max_tokens"])
    return [tokens.answer_token(key, n) for n in range(count)]


@behave.then("every stream is complete or ends with an error event")
def whole_or_error(context):
    for read, expected in context.reads:
        assert read.tokens == expected[: len(read.tokens)], read
        assert read.complete == (not read.error), read
        assert not read.complete or read.tokens == expected, read


@behave.then("most of them are complete")
def most_whole(context):
    whole = sum(read.complete for read, _ in context.reads)
    assert whole * 2 > len(context.reads), (whole, len(context.reads))


def cross(check_ids):
    """Return each caller's text with the expected one."""
    texts = []

    async def main(fleet):
        one = await fleet.add_engine(A)
        host = await fleet.add_host("h0")
        for n in range(12):
            one.faults.cross = 1 if n % 3 == 1 else 0
            one.faults.duplicate = 1 if n % 3 == 2 else 0
            request = online.chat(f"r{n}", prompt=f"question {n}", stream=n % 2 == 0)
            response = await host.pipeline.run(request)
            if isinstance(response, messages.Response):
                text = json.loads(response.body)["choices"][0]["message"]["content"]
            else:
                text = "".join((await online.read(response)).tokens)
            texts.append((text, "".join(expected_tokens(request))))

    original = events.Progress._parse, forward._check_completion
    if not check_ids:
        events.Progress._parse = lambda self, data: json.loads(data)
        forward._check_completion = lambda attempt_id, body: None
    try:
        online.run(main)
    finally:
        events.Progress._parse, forward._check_completion = original
    return texts


@behave.when("engines respond with another request's response or twice")
def crossed_answers(context):
    context.answers = cross(check_ids=True)


@behave.then("no caller receives a token of another request")
def own_tokens(context):
    for text, expected in context.answers:
        assert text == expected, (text, expected)


@behave.then("without id checks the caller receives tokens of another request")
def foreign_tokens(context):
    assert any(text != expected for text, expected in cross(check_ids=False))


def leave(cancelling):
    unfinished = []

    async def main(fleet):
        one = await fleet.add_engine(A, step_s=0.2)
        host = await fleet.add_host("h0")
        if not cancelling:
            host.pipeline.relay_context.cancel = lambda server, request_id: None
            host.pipeline.cancel_engine = lambda server, request_id: None
        response = await host.pipeline.run(online.chat("r1"))
        await response.chunks.receive()
        response.cancel()
        with trio.move_on_after(0.5):
            await host.pipeline.run(online.chat("r2", stream=False))
        await trio.sleep(0.5)
        unfinished.append(len(one.running) + len(one.waiting))
        unfinished.append(host.router.loads.server(A).in_flight)

    online.run(main)
    return unfinished


@behave.when(
    "one caller disconnects in mid-stream and another before a non-streamed response"
)
def callers_leave(context):
    context.unfinished = leave(cancelling=True)


@behave.then("the engine is idle soon after")
def engine_idle(context):
    assert context.unfinished == [0, 0], context.unfinished


@behave.then("without cancelling the engine runs on")
def engine_busy(context):
    assert leave(cancelling=False)[0] == 2


@behave.when("a caller stops reading a stream")
def stop_reading(context):
    context.sizes = []
    limit = 1000

    async def main(fleet):
        await fleet.add_engine(A)
        host = await fleet.add_host("h0")
        response = await host.pipeline.run(online.chat(tokens=64))
        start = trio.current_time()
        while host.pipeline.running:
            context.sizes.append(buffers[0].size)
            await trio.sleep(0.05)
        context.took = trio.current_time() - start
        response.cancel()

    buffers = []
    original = streams.Buffer.__init__

    def watched(self, size):
        original(self, size)
        buffers.append(self)

    streams.Buffer.__init__ = watched
    section = {"stream_buffer_bytes": limit, "slow_reader_timeout_s": 3.0}
    try:
        online.run(main, online=section)
    finally:
        streams.Buffer.__init__ = original
    context.limit = limit


@behave.then("the relay held no more than its buffer")
def bounded_buffer(context):
    one_event = 400
    assert 0 < max(context.sizes) <= context.limit + one_event, max(context.sizes)


@behave.then("the stream ended after the slow reader's time-out")
def slow_reader_cut(context):
    assert 2.9 <= context.took <= 4.0, context.took


@behave.when("a key is withdrawn in mid-stream and while a request waits")
def withdraw(context):
    async def main(fleet):
        one = await fleet.add_engine(A, step_s=0.2, capacity=1)
        host = await fleet.add_host("h0")
        request = online.chat("r1")
        response = await host.pipeline.run(request)
        waiting = online.chat("r2", withdrawn=request.withdrawn)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(refused, host, waiting, context)
            await trio.sleep(1.0)
            request.withdrawn.set()
            context.read = await online.read(response)
        await trio.sleep(0.5)
        assert one.executions["r2"] == 0
        assert not one.running

    online.run(main)


async def refused(host, request, context):
    try:
        await host.pipeline.run(request)
    except errors.Error as error:
        context.error = error


@behave.then('the stream ends with the error "{code}"')
def stream_error(context, code):
    assert context.read.error == code and not context.read.complete, context.read


@behave.then("the waiting request is refused as not run")
def waiting_refused(context):
    assert context.error.kind is errors.Kind.KEY_WITHDRAWN
    assert context.error.ran is errors.Ran.NOT_RUN


def confirmations(truthful):
    """Return refusals and executions of three faults met by a confirmation."""
    results = []

    async def main(fleet):
        one = await fleet.add_service(A)
        host = await fleet.add_host("h0", poll=False)
        app = fleet.apps.pop(A)
        results.append((await outcome(host, "refused"), one.executions["refused"]))
        fleet.apps[A] = app
        host.router.health.circuits.clear()
        for name in ("lost", "late"):
            await fleet.add_service(B)
            fleet.apps[B] = fleet.apps[A]
            await host.poller.refresh()
            one.faults.answer_delay_s = 0.5
            fleet.nursery.start_soon(lose, fleet, name)
            results.append((await outcome(host, name), one.executions[name]))

    original = forward.Forwarder.open
    if not truthful:
        forward.Forwarder.open = open_untruthfully
    try:
        online.run(main)
    finally:
        forward.Forwarder.open = original
    return results


OPEN = forward.Forwarder.open


async def open_untruthfully(self, attempt):
    try:
        return await OPEN(self, attempt)
    except forward.AttemptError as error:
        error.sent = False
        error.kind = errors.Kind.BACKEND_SERVER_UNREACHABLE
        raise


async def lose(fleet, name):
    """Cut the connection after the service executed the call."""
    if name != "lost":
        return
    await trio.sleep(0.2)
    for exchange in fleet.exchanges:
        exchange.scope.cancel()


async def outcome(host, name):
    request = online.confirm(name, key="", reference=name)
    request.deadline = trio.current_time() + (0.3 if name == "late" else 5.0)
    try:
        return await host.pipeline.run(request)
    except errors.Error as error:
        return error


@behave.when("a confirmation meets a refused and a lost connection and a late response")
def confirm_faults(context):
    context.outcomes = confirmations(truthful=True)


@behave.then("only the refused connection is reported as not run")
def only_refused(context):
    rans = [error.ran for error, _ in context.outcomes]
    may = errors.Ran.MAY_HAVE_RUN
    assert rans == [errors.Ran.NOT_RUN, may, may], context.outcomes


@behave.then("no confirmation ran twice")
def none_twice(context):
    assert [count for _, count in context.outcomes] == [0, 1, 1], context.outcomes


@behave.then("with every error treated as not sent a confirmation runs twice")
def runs_twice(context):
    assert max(count for _, count in confirmations(truthful=False)) > 1


@behave.when(
    "requests carry keys in headers, cookies, connection options and the query"
)
def requests_with_keys(context):
    credential_headers = (
        ("Authorization", f"Bearer {SECRET}"),
        ("X-Api-Key", SECRET),
        ("Cookie", f"key={SECRET}"),
        ("Proxy-Authorization", SECRET),
        ("Connection", "x-mine"),
        ("X-Mine", SECRET),
        ("Accept", "application/json"),
    )
    context.seen = []

    async def main(fleet):
        model_engine = await fleet.add_engine(A)
        service = await fleet.add_service(B)
        host = await fleet.add_host("h0")
        query = f"api_key={SECRET}&a=1&API%5FKEY={SECRET}"
        response = await host.pipeline.run(
            online.chat(headers=credential_headers, query=query)
        )
        await online.read(response)
        request = online.confirm(key=SECRET, headers=credential_headers, query=query)
        await host.pipeline.run(request)
        context.seen = [*model_engine.received, *service.received]
        context.rows = repr(fleet.platform.table.rows)

    online.run(main)


@behave.then("the backend servers saw none of them")
def none_seen(context):
    assert len(context.seen) >= 2
    assert SECRET not in repr(context.seen)
    assert SECRET not in context.rows
    assert "application/json" in repr(context.seen)


@behave.when(
    "a service answers a confirmation with 503 and says in the host's name that it has "
    "not run"
)
def claims_not_run(context):
    async def main(fleet):
        await fleet.add_service(B)

        @fleet.apps[B].after_request
        async def claim(response):
            response.status_code = 503
            response.headers[errors.RAN_HEADER] = errors.Ran.NOT_RUN.value
            return response

        host = await fleet.add_host("h0")
        context.response = await host.pipeline.run(online.confirm())

    online.run(main)


@behave.then("the caller gets its status without that claim")
def without_claim(context):
    assert context.response.status == 503, context.response
    names = {name.lower() for name, _ in context.response.headers}
    assert "content-type" in names, names
    assert errors.RAN_HEADER not in names, names


def amplification(budget):
    counts = []

    async def main(fleet):
        engines = [await fleet.add_engine(f"10.0.0.{n}:8000") for n in range(1, 5)]
        host = await fleet.add_host("h0", poll=False)
        host.router.health.allows = lambda address, now: True
        if not budget:
            host.pipeline.budget.ratio = host.pipeline.options.max_attempts
        for one in engines:
            one.options.max_waiting = 0
        requests = 200
        for n in range(requests):
            await outcome_of(host, online.chat(f"r{n}", stream=False))
            await trio.sleep(0.02)
        attempts = sum(e == "attempt" for _, e, _ in host.events)
        counts.append(attempts / requests)

    online.run(main)
    return counts[0]


async def outcome_of(host, request):
    try:
        return await host.pipeline.run(request)
    except errors.Error as error:
        return error


@behave.when("every server fails all requests")
def all_fail(context):
    context.amplification = amplification(budget=True)


@behave.then("attempts stay below {bound:f} for each request")
def attempts_bounded(context, bound):
    assert 1.0 < context.amplification < bound, context.amplification


@behave.then("without a budget they reach {count:d} for each request")
def attempts_unbounded(context, count):
    assert amplification(budget=False) == count


@behave.when(
    "requests with reserved characters, other alphabets and dot segments are sent"
)
def odd_requests(context):
    paths = ["/stock/a?b", "/stock/a#b", "/stock/50%25", "/stock/ñ é", "/stock/../x"]
    context.outcomes = []

    async def main(fleet):
        await fleet.add_service(A)
        host = await fleet.add_host("h0", poll=False)
        for number, path in enumerate(paths):
            request = online.confirm(
                f"r{number}",
                key="",
                path=path,
                method="GET",
                idempotent=True,
                query="q=%26&z=1",
                headers=(("x-name", "Mañana ☂"),),
            )
            context.outcomes.append(await outcome_of(host, request))
        context.urls = [e.request.url for e in fleet.exchanges]

    online.run(main)


@behave.then("the service got each path as one path")
def one_path(context):
    got = [url.raw_path for url in context.urls]
    query = b"?q=%26&z=1"
    want = [b"/stock/a%3Fb", b"/stock/a%23b", b"/stock/50%2525"]
    want.append(b"/stock/%C3%B1%20%C3%A9")
    assert got == [path + query for path in want], got
    assert all(o.status == 200 for o in context.outcomes[:4]), context.outcomes


@behave.then("dot segments were refused as not run")
def dots_refused(context):
    refused = context.outcomes[-1]
    assert refused.kind is errors.Kind.BAD_REQUEST
    assert refused.ran is errors.Ran.NOT_RUN
