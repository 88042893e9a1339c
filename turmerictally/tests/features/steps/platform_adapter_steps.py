"""Steps for the adapter to the users' platform."""

import json
import logging
import urllib.parse

import behave
import h11
import hypothesis
import hypothesis.strategies as st
import trio
import trio.testing

from turmerictally import httpclient, settings
from turmerictally.entry import messages
from turmerictally.platform import configuration, requests
from turmerictally.platform import store as adapter
from turmerictally.standins import fabric
from turmerictally.store import client, rows, table

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
DROPPED = [b"Connection", b"X-Hop", b"TE", b"Authorization", b"X-Tenant", b"Upgrade"]


async def serve(listener, handler):
    """Answer each request by ``handler``, one a connection at a time."""
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
        found = handler(request.method.decode(), request.target.decode(), body)
        if found is None:
            continue
        status, data = found
        headers = [("Content-Length", str(len(data))), ("Connection", "close")]
        answer = parser.send(h11.Response(status_code=status, headers=headers))
        await stream.send_all(answer + parser.send(h11.Data(data=data)))
        stream.close()


def through(handler, call):
    """Run ``call(store)`` against a store that answers by ``handler``, if any."""
    found = []

    async def body():
        links = fabric.Fabric()
        store = adapter.connect("10.200.1.7:88", 1.0, links.host("10.1.0.1"))
        async with trio.open_nursery() as nursery:
            if handler is not None:
                listener = await links.host("10.200.1.7").listen("10.200.1.7:88")
                nursery.start_soon(serve, listener, handler)
            found.append(await call(store))
            nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
    return found[0]


@behave.when("rows are changed, read and followed through the adapter")
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
        gone = row | {"tombstone": True, "value": None, "schemaVersion": 413}
        answer = {"schemaVersion": 530, "nowMs": 51230, "hasMore": True}
        return 200, json.dumps(answer | {"rows": [row, gone]}).encode()

    async def call(store):
        where = rows.Address("my", "p7", "owner")
        other = rows.Address("my", "p7", "old")
        done = await store.transact({where: 3, other: 0}, {where: b"v", other: None})
        page = await store.read("my", "p7", start="o", end="p", limit=50)
        news = await store.changes("my", after=530, wait_s=1.5)
        return done, page, news

    context.answers = through(handler, call)


@behave.then("the calls and their bodies are those of the platform's page")
def calls(context):
    change, read, follow = context.calls
    where = {"table": "my", "part": "p7", "key": "owner"}
    other = where | {"key": "old"}
    body = {
        "expect": [where | {"schemaVersion": 3}, other | {"schemaVersion": 0}],
        "put": [where | {"value": "dg=="}],
        "remove": [other],
    }
    assert change == ("POST", "/-/rows-tx", {}, body), change
    given = {"table": "my", "part": "p7", "limit": "50", "from": "o", "to": "p"}
    assert read == ("GET", "/-/rows-get", given, None), read
    given = {"table": "my", "after": "530", "waitMs": "1500"}
    assert follow == ("GET", "/-/rows-feed", given, None), follow


@behave.then("the answers come back as rows, pages and versions")
def answers(context):
    done, page, news = context.answers
    assert done == rows.Commit(530, 51.23)
    assert (page.version, page.now_s, page.more) == (530, 51.23, True)
    first, second = news.rows
    assert first == rows.Row(rows.Address("my", "p7", "owner"), b"node-1", 412)
    assert second == rows.Row(rows.Address("my", "p7", "owner"), None, 413)


@behave.when("the store answers a transaction with {answer}")
def store_answers(context, answer):
    def handler(method, target, data):
        if answer == "nothing":
            return None
        if answer == "a broken body":
            return 200, b"{"
        status = int(answer.removeprefix("status "))
        row = {"table": "my", "part": "p", "key": "k", "value": "dg=="}
        found = [row | {"schemaVersion": 9}]
        return status, json.dumps({"rows": found}).encode()

    async def call(store):
        try:
            await store.transact({}, {rows.Address("my", "p", "k"): b"v"})
        except (rows.ConflictError, rows.UnavailableError) as error:
            return error
        return None

    context.error = through(None if answer == "no connection" else handler, call)


@behave.then("the caller learns {meaning}")
def learns(context, meaning):
    error = context.error
    if meaning.startswith("a conflict"):
        where = rows.Address("my", "p", "k")
        assert error.found == [rows.Row(where, b"v", 9)]
        return
    assert isinstance(error, rows.UnavailableError), error
    overloaded = isinstance(error, table.OverloadedError)
    assert overloaded == meaning.startswith("overloaded")
    assert error.maybe_applied == meaning.endswith("maybe applied")


@behave.when("arbitrary JSON and changed samples are decoded")
def arbitrary(context):
    context.servers = []

    @hypothesis.given(JSON, st.sampled_from(sorted(SERVER)), st.binary())
    def decode(value, field, raw):
        for row in (value, SERVER | {field: value}):
            found = configuration.read_server("i-1", json.dumps(row).encode())
            if found is not None:
                context.servers.append(found)
        configuration.read_server("i-1", raw)
        configuration.read_configuration(raw)
        configuration.read_configuration(json.dumps(value).encode())

    @hypothesis.given(JSON, st.sampled_from(sorted(CONFIGURATION)))
    def decode_configuration(value, field):
        row = json.dumps(CONFIGURATION | {field: value}).encode()
        configuration.read_configuration(row)

    # Each unreadable row has a log line.
    logging.disable(logging.WARNING)
    try:
        decode()
        decode_configuration()
    finally:
        logging.disable(logging.NOTSET)


@behave.then("nothing is raised and every server found is usable")
def usable(context):
    assert configuration.read_configuration(json.dumps(CONFIGURATION).encode())
    assert configuration.read_server("i-1", json.dumps(SERVER).encode())
    for server in context.servers:
        host, _, port = server.address.rpartition(":")
        assert host and 0 < int(port) < 65536
        assert server.slots >= 1
        assert isinstance(server.service, str) and isinstance(server.domain, str)


@behave.when("requests with arbitrary headers are decoded and sent onward")
def headers(context):
    context.checked = 0
    token = st.text("abcdefghij-", min_size=1, max_size=8).map(
        lambda text: b"y-" + text.encode()
    )
    value = st.text("abc 123", max_size=10).map(lambda text: text.strip().encode())

    @hypothesis.given(st.lists(st.tuples(token, value), max_size=6))
    def check(extra):
        given = [
            (b"Host", b"nony24.example"),
            (b"X-Request-Id", b"9c41"),
            (b"Connection", b"x-hop"),
            *[(name, b"secret") for name in DROPPED if name != b"Connection"],
            *extra,
        ]
        request = requests.read_request(b"POST", b"/a", given)
        sent = requests.server_headers(
            request, messages.ForwardingContext("i-1", 1.5, "kaje80"), 3
        )
        assert not any(value == b"secret" for _, value in sent), sent
        names = {name.lower() for name, _ in sent}
        assert not names & {b"connection", b"authorization"}
        for pair in [*given[:2], *extra]:
            assert pair in sent
        assert (b"X-Tenant", b"kaje80") in sent
        assert (b"X-Deadline-Ms", b"1500") in sent
        context.checked += 1

    check()


@behave.then("none of those headers is passed on, and every other one is, unchanged")
def none_passed(context):
    assert context.checked >= 100


@behave.when('connections are prepared to "{plain}" and to "{secure}"')
def prepare(context, plain, secure):
    httpclient.tls_context.cache_clear()
    context.loads = []
    for url in (plain, secure):
        client.Channel(settings.Platform(url, "", 1.0, 0.0, 0.0, 0.0, 0.0))
        context.loads.append(httpclient.tls_context.cache_info().misses)


@behave.then("only the second one loads the authorities")
def loads(context):
    assert context.loads == [0, 1], context.loads


@behave.when('a request says "{usage}" tokens and hints at "{hint}"')
def says(context, usage, hint):
    given = [(b"X-Token-Usage", usage.encode()), (b"X-Length-Hint", hint.encode())]
    context.request = requests.read_request(b"POST", b"/a", given)


@behave.when('a request says "{usage}" tokens and hints at ""')
def says_no_hint(context, usage):
    says(context, usage, "")


@behave.then("it has {prompt:d} prompt tokens and {output:d} expected output tokens")
def has_tokens(context, prompt, output):
    found = context.request.prompt_tokens, context.request.output_tokens
    assert found == (prompt, output), found
