"""Steps for the fuzzing feature."""

import contextlib
import json

import behave
import httpx
import hypothesis
import trio
from hypothesis import strategies

from turmerictally import clock, settings
from turmerictally.online import events, headers, messages
from turmerictally.routing import engines
from turmerictally.store import client, hosts, table, weights

EXAMPLES = 150
FIELDS = (
    *("key", "value", "version", "rows", "versions", "size", "etag", "objects"),
    *("hosts", "weights", "id", "status", "role", "running", "waiting", "capacity"),
    *("at_age_s", "instance", "leaving", "events", "next", "seq", "kind", "prefix"),
)

SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=6)
)
JSON = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.sampled_from(FIELDS), inner, max_size=6)
    ),
    max_leaves=12,
)
BODIES = JSON.map(lambda value: json.dumps(value).encode()) | strategies.binary(
    max_size=30
)
STATUSES = strategies.sampled_from([200, 201, 204, 206, 404, 409, 412, 416, 429, 503])


class Answers:
    """Answer every request with what is set."""

    status = 200
    body = b""

    def __init__(self):
        self.transport = httpx.MockTransport(self.answer)

    def answer(self, request):
        return httpx.Response(self.status, content=self.body)


def fuzz(*given, examples=EXAMPLES):
    def run(check):
        wrapped = hypothesis.given(*given)(check)
        hypothesis.settings(max_examples=examples)(wrapped)()

    return run


@behave.given("any answers over HTTP")
def any_answers(context):
    pass


@behave.then("the platform client raises only its own errors")
def own_errors(context):
    config = settings.Platform(
        **settings.DEFAULTS["platform"] | {"url": "http://platform"}
    )
    host = hosts.ListedHost("a", "1", hosts.Role.ENTRY, "127.0.0.1:1", "r", "d")
    allowed = (
        table.UnavailableError,
        table.ConflictError,
        weights.ThrottledError,
        KeyError,
    )

    answers = Answers()
    reached = client.Client(config)
    for channel in (reached.rows, reached.blobs):
        channel.transport = answers.transport
    rows, blobs = reached.table, reached.objects

    async def call_all(status, body):
        answers.status, answers.body = status, body
        for call in (
            lambda: rows.get("k"),
            lambda: rows.scan("k"),
            lambda: rows.commit([], [table.Put("k", {})]),
            lambda: blobs.put("k", b"x", if_absent=True),
            lambda: blobs.get("k"),
            lambda: blobs.head("k"),
            lambda: blobs.list("k"),
            lambda: reached.hosts.list(hosts.Role.ENTRY),
            lambda: reached.hosts.register(host),
            reached.weights.list,
            lambda: reached.weights.reserve("m", "1"),
        ):
            try:
                await call()
            except allowed as error:
                assert not isinstance(error, KeyError) or status == 404, body

    @fuzz(STATUSES, BODIES)
    def check(status, body):
        trio.run(call_all, status, body)


@behave.then("engine calls raise only control errors")
def control_errors(context):
    answers = Answers()
    called = engines.Engines(clock.Clock(), answers.transport)

    async def call_all(status, body):
        answers.status, answers.body = status, body
        for call in (
            lambda: called.load("e"),
            lambda: called.events("e", 0),
            lambda: called.export_kv("e", "r"),
        ):
            with contextlib.suppress(engines.ControlError):
                await call()

    @fuzz(STATUSES, BODIES)
    def check(status, body):
        trio.run(call_all, status, body)


@behave.then("events are the same however their bytes are split")
def split(context):
    chunk = JSON.map(lambda value: b"data: " + json.dumps(value).encode())
    ends = strategies.sampled_from([b"\n\n", b"\r\n\r\n"])

    @fuzz(
        strategies.lists(strategies.tuples(chunk, ends), max_size=5),
        strategies.lists(strategies.integers(0, 200), max_size=6),
    )
    def check(chunks, cuts):
        whole = b"".join(data + end for data, end in chunks)
        expected = events.Parser().feed(whole)
        parser, found, start = events.Parser(), [], 0
        for cut in [*sorted(cuts), len(whole)]:
            found += parser.feed(whole[start:cut])
            start = max(start, cut)
        assert found == expected, (whole, cuts)


@behave.then("any event is delivered, dropped or a cut")
def any_event(context):
    text = strategies.text(max_size=2)
    delta = JSON | strategies.fixed_dictionaries({"content": text | JSON})
    choice = JSON | strategies.fixed_dictionaries(
        {}, optional={"delta": delta, "text": text, "finish_reason": text | JSON}
    )
    chunk = strategies.fixed_dictionaries(
        {"id": strategies.just("r")},
        optional={
            "choices": strategies.lists(choice, max_size=2) | JSON,
            "offset": strategies.integers(0, 3) | JSON,
            "tokens": strategies.integers(0, 3) | JSON,
        },
    )
    bodies = chunk.map(lambda value: json.dumps(value).encode()) | BODIES

    @fuzz(strategies.lists(bodies, max_size=4), examples=400)
    def check(bodies):
        progress = events.Progress("r")
        try:
            for body in bodies:
                progress.accept(body)
        except events.CutError:
            pass


@behave.then("any settings are valid or have faults with key paths")
def any_settings(context):
    keys = strategies.sampled_from([*settings.DEFAULTS, "certificate", "lease_s", "x"])
    values = strategies.recursive(
        SCALARS,
        lambda inner: (
            strategies.dictionaries(keys, inner, max_size=4)
            | strategies.lists(inner, max_size=2)
        ),
        max_leaves=10,
    )
    required = {name: "x" for name, value in settings.DEFAULTS.items() if value is None}
    required["platform"] = {"url": "http://127.0.0.1:1"}

    @fuzz(strategies.dictionaries(keys, values, max_size=6), strategies.booleans())
    def check(given, complete):
        try:
            settings.build(required | given if complete else given)
        except settings.SettingsError as error:
            assert error.faults and all(fault.path for fault in error.faults)


@behave.then("no key passes to a backend server however it is written")
def no_key(context):
    secret = "tk-secret"
    names = strategies.sampled_from(
        ["authorization", "cookie", "x-api-key", "connection", "accept", "x-other"]
    ).flatmap(lambda name: strategies.sampled_from([name, name.upper(), name.title()]))
    values = strategies.sampled_from([f"Bearer {secret}", secret, "x-other", "close"])

    @fuzz(strategies.lists(strategies.tuples(names, values), max_size=5))
    def check(given):
        carries = [n for n, v in given if secret in v and n.lower() in headers.SECRETS]
        request = messages.Request(
            request_id="r",
            team="t",
            contract=None,
            service="s",
            method="POST",
            path="/",
            deadline=0.0,
            headers=tuple(given),
        )
        passed = headers.for_server(request, "a")
        left = [n.lower() for n, v in passed if secret in v]
        assert not set(left) & {name.lower() for name in carries}, passed
        assert not any(name in headers.HOP_BY_HOP for name, _ in passed)
