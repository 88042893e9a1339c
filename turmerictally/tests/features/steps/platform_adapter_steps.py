"""Steps for the adapter to the users' platform."""

import contextlib
import ipaddress
import json
import math
import urllib.parse

import attrs
import behave
import h11
import hypothesis
import hypothesis.strategies as st
import msgspec
import trio
import trio.testing

from turmerictally import httpclient, settings
from turmerictally.entry import decoding, messages, model
from turmerictally.platform import configuration, requests
from turmerictally.platform import store as adapter
from turmerictally.standins import fabric
from turmerictally.store import client, rows, table
from turmerictally.tests.support import malformed

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "luzon-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 4,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "ficu95.example",
            "prefix": "/pufi791/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "service": "huvo11a",
        }
    ],
    "services": [{"name": "huvo11a", "maxConnections": 230}],
    "tenants": [{"name": "kaje80", "apiKeys": ["k"], "ratePerS": 34, "burst": 34}],
}
CONFIGURATION_PATHS = [
    *((name,) for name in CONFIGURATION),
    *(("routes", 0, name) for name in CONFIGURATION["routes"][0]),
    *(("services", 0, name) for name in CONFIGURATION["services"][0]),
    *(("tenants", 0, name) for name in CONFIGURATION["tenants"][0]),
    ("tenants", 0, "apiKeys", 0),
]
DROPPED = [b"Connection", b"X-Hop", b"TE", b"Authorization", b"X-Tenant", b"Upgrade"]


async def serve(listener, handler):
    """Respond to requests with ``handler``, one connection at a time."""
    while True:
        stream = await listener.accept()
        parser = h11.Connection(h11.SERVER)
        request, body = None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                break
        result = handler(request.method.decode(), request.target.decode(), body)
        if result is None:
            continue
        status, data = result
        headers = [("Content-Length", str(len(data))), ("Connection", "close")]
        response = parser.send(h11.Response(status_code=status, headers=headers))
        await stream.send_all(response + parser.send(h11.Data(data=data)))
        stream.close()


def run_call(handler, call):
    """Return ``call(store)`` against a store that responds with ``handler``, if any."""
    results = []

    async def body():
        network = fabric.Fabric()
        store = adapter.connect("10.200.1.7:88", 1.0, network.host("10.1.0.1"))
        async with trio.open_nursery() as nursery:
            if handler is not None:
                listener = await network.host("10.200.1.7").listen("10.200.1.7:88")
                nursery.start_soon(serve, listener, handler)
            results.append(await call(store))
            nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
    return results[0]


@behave.when("the store responds to a feed with 410 and {body}")
def responds_gone(context, body):
    async def call(store):
        try:
            await store.changes("my", after=1, wait_s=1.0)
        except (rows.HistoryLostError, rows.UnavailableError) as error:
            return error
        return None

    data = b"" if body == "no body" else b"{}"
    context.error = run_call(lambda *request: (410, data), call)


@behave.then("the call fails as history lost")
def history_lost(context):
    assert isinstance(context.error, rows.HistoryLostError), repr(context.error)


@behave.when("rows are changed, read and watched through the adapter")
def through_adapter(context):
    context.calls = []

    def handler(method, target, data):
        body = json.loads(data) if data else None
        parts = urllib.parse.urlsplit(target)
        params = dict(urllib.parse.parse_qsl(parts.query))
        context.calls.append((method, parts.path, params, body))
        row = {
            "table": "my",
            "part": "p7",
            "key": "owner",
            "value": "bm9kZS0x",
            "schemaVersion": 412,
        }
        deleted = row | {"tombstone": True, "value": None, "schemaVersion": 413}
        page = {"schemaVersion": 530, "nowMs": 51230, "hasMore": True}
        return 200, json.dumps(page | {"rows": [row, deleted]}).encode()

    async def call(store):
        where = rows.Address("my", "p7", "owner")
        other = rows.Address("my", "p7", "old")
        commit = await store.transact({where: 3, other: 0}, {where: b"v", other: None})
        page = await store.read("my", "p7", start="o", end="p", limit=50)
        feed = await store.changes("my", after=530, wait_s=1.5)
        return commit, page, feed

    context.results = run_call(handler, call)


@behave.then("the requests and their bodies are as the platform specifies")
def calls(context):
    change, read, watch = context.calls
    where = {"table": "my", "part": "p7", "key": "owner"}
    other = where | {"key": "old"}
    body = {
        "expect": [where | {"schemaVersion": 3}, other | {"schemaVersion": 0}],
        "put": [where | {"value": "dg=="}],
        "remove": [other],
    }
    assert change == ("POST", "/-/rows-tx", {}, body), change
    params = {"table": "my", "part": "p7", "limit": "50", "from": "o", "to": "p"}
    assert read == ("GET", "/-/rows-get", params, None), read
    params = {"table": "my", "after": "530", "waitMs": "1500"}
    assert watch == ("GET", "/-/rows-feed", params, None), watch


@behave.then("the responses are decoded into rows, pages and versions")
def responses(context):
    commit, page, feed = context.results
    assert commit == rows.Commit(530, 51.23)
    assert (page.version, page.now_s, page.more) == (530, 51.23, True)
    first, second = feed.rows
    assert first == rows.Row(rows.Address("my", "p7", "owner"), b"node-1", 412)
    assert second == rows.Row(rows.Address("my", "p7", "owner"), None, 413)


@behave.when("the store responds to a transaction with {response}")
def store_responds(context, response):
    def handler(method, target, data):
        if response == "nothing":
            return None
        if response == "a broken body":
            return 200, b"{"
        status = int(response.removeprefix("status "))
        row = {"table": "my", "part": "p", "key": "k", "value": "dg=="}
        current = [row | {"schemaVersion": 9}]
        return status, json.dumps({"rows": current}).encode()

    async def call(store):
        try:
            await store.transact({}, {rows.Address("my", "p", "k"): b"v"})
        except (rows.ConflictError, rows.UnavailableError) as error:
            return error
        return None

    context.error = run_call(None if response == "no connection" else handler, call)


@behave.then("the call fails as {meaning}")
def fails_as(context, meaning):
    error = context.error
    if meaning.startswith("a conflict"):
        where = rows.Address("my", "p", "k")
        assert error.current_rows == [rows.Row(where, b"v", 9)]
        return
    assert isinstance(error, rows.UnavailableError), error
    overloaded = isinstance(error, table.OverloadedError)
    assert overloaded == meaning.startswith("overloaded")
    assert error.maybe_applied == meaning.endswith("maybe applied")


@behave.when("the store responds to reads with malformed pages")
def malformed_pages(context):
    row = {"table": "my", "part": "p", "key": "k", "value": "dg==", "schemaVersion": 9}
    page = {"schemaVersion": 9, "nowMs": 1, "rows": [row]}
    fields = {
        ("schemaVersion",): malformed.NUMBERS,
        ("nowMs",): [number for number in malformed.NUMBERS if number != "1.5"],
        ("rows",): ("null", "7", "[7]", malformed.NESTED),
        ("rows", 0, "key"): ("null", "7", "[]"),
        ("rows", 0, "schemaVersion"): malformed.NUMBERS,
        ("rows", 0, "value"): ("7", '"a"', "[]"),
    }
    bodies = [b"\xff", malformed.NESTED.encode()]
    for path, values in fields.items():
        bodies += [malformed.encode(page, path, value) for value in values]
    context.taken = []

    async def read_both(store):
        outcomes = []
        for call in (
            lambda: store.read("my", "p"),
            lambda: store.changes("my", after=1, wait_s=0.1),
        ):
            try:
                outcomes.append(await call())
            except rows.UnavailableError:
                continue
        return outcomes

    for body in bodies:
        outcomes = run_call(lambda method, target, data: (200, body), read_both)
        context.taken += [(body[:80], outcome) for outcome in outcomes]

    def respond(method, target, data):
        context.target = target
        return 200, malformed.encode(page)

    run_call(respond, lambda store: store.read("my", "p", start="k\ud800\0"))


@behave.then(
    "each call fails as unavailable, and keys of any characters can be read from"
)
def unavailable_pages(context):
    assert not context.taken, context.taken
    assert "from=k%ED%A0%80%00" in context.target, context.target


@behave.when("arbitrary JSON and changed samples are decoded")
def arbitrary(context):
    context.decoded = []
    values = JSON.map(json.dumps) | st.sampled_from(malformed.VALUES)

    def read(decode, *row):
        with contextlib.suppress(decoding.DecodeError):
            context.decoded.append(decode(*row))

    def change(document, path, value):
        return malformed.encode(document, path, value)

    @hypothesis.given(values, st.sampled_from(sorted(SERVER)), st.binary())
    def decode(value, field, raw):
        for row in (raw, value.encode(), change(SERVER, (field,), value)):
            read(configuration.read_server, "i-1", row)
        read(configuration.read_configuration, raw)

    @hypothesis.given(values, st.sampled_from(CONFIGURATION_PATHS))
    def decode_configuration(value, path):
        for row in (value.encode(), change(CONFIGURATION, path, value)):
            read(configuration.read_configuration, row)

    decode()
    decode_configuration()


@behave.then("nothing but a decoding error is raised and every decoded server is valid")
def valid(context):
    assert configuration.read_configuration(json.dumps(CONFIGURATION).encode())
    assert configuration.read_server("i-1", json.dumps(SERVER).encode())
    servers = [each for each in context.decoded if isinstance(each, model.Server)]
    for view in context.decoded:
        if isinstance(view, model.Configuration):
            # Every integer has at most 64 bits, and every text can be encoded.
            assert msgspec.msgpack.encode(attrs.asdict(view))
            assert all(0 <= route.timeout_s < math.inf for route in view.routes)
    for server in servers:
        host, _, port = server.address.rpartition(":")
        assert server.address == f"{ipaddress.IPv4Address(host)}:{int(port)}"
        assert 0 < int(port) < 65536
        assert 1 <= server.slots <= configuration.MAX_SLOTS
        assert server.cold_s is None or 0 <= server.cold_s < math.inf
        assert server.service and server.domain
        assert msgspec.msgpack.encode([server.service, server.domain, server.born_ms])


@behave.when("requests with arbitrary headers are decoded and forwarded")
def forward_headers(context):
    context.checked = 0
    token = st.text("abcdefghij-", min_size=1, max_size=8).map(
        lambda text: b"y-" + text.encode()
    )
    value = st.text("abc 123", max_size=10).map(lambda text: text.strip().encode())

    @hypothesis.given(st.lists(st.tuples(token, value), max_size=6))
    def check(extra):
        headers = [
            (b"Host", b"nony24.example"),
            (b"X-Request-Id", b"9c41"),
            (b"Connection", b"x-hop"),
            *[(name, b"secret") for name in DROPPED if name != b"Connection"],
            *extra,
        ]
        request = requests.read_request(b"POST", b"/a", headers)
        sent = requests.server_headers(
            request, messages.ForwardingContext("i-1", 1.5, "kaje80"), 3
        )
        assert not any(value == b"secret" for _, value in sent), sent
        names = {name.lower() for name, _ in sent}
        assert not names & {b"connection", b"authorization"}
        for pair in [*headers[:2], *extra]:
            assert pair in sent
        assert (b"X-Tenant", b"kaje80") in sent
        assert (b"X-Deadline-Ms", b"1500") in sent
        context.checked += 1

    check()


@behave.then("none of those headers is forwarded, and every other one is, unchanged")
def none_forwarded(context):
    assert context.checked >= 100


@behave.when('connections are prepared to "{plain}" and to "{secure}"')
def prepare(context, plain, secure):
    httpclient.tls_context.cache_clear()
    context.loads = []
    for url in (plain, secure):
        client.HttpClient(settings.Platform(url, "", 1.0, 0.0, 0.0, 0.0, 0.0))
        context.loads.append(httpclient.tls_context.cache_info().misses)


@behave.then("only the second one loads the certificate authorities")
def loads(context):
    assert context.loads == [0, 1], context.loads


@behave.when('a request states "{usage}" tokens and a length hint of "{hint}"')
def states(context, usage, hint):
    headers = [(b"X-Token-Usage", usage.encode()), (b"X-Length-Hint", hint.encode())]
    context.request = requests.read_request(b"POST", b"/a", headers)


@behave.when('a request states "{usage}" tokens and a length hint of ""')
def states_no_hint(context, usage):
    states(context, usage, "")


@behave.then("it has {prompt:d} prompt tokens and {output:d} expected output tokens")
def has_tokens(context, prompt, output):
    tokens = context.request.prompt_tokens, context.request.output_tokens
    assert tokens == (prompt, output), tokens
