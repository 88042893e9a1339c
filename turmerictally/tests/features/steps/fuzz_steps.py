"""Steps for the fuzzing feature."""

import collections
import contextlib
import json

import behave
import h11
import httpx
import hypothesis
import msgspec
import trio
from hypothesis import strategies

from turmerictally import clock, settings
from turmerictally.entry import decoding, dissemination, gossip, http1, jobs, trace
from turmerictally.online import events, headers, messages
from turmerictally.platform import jobs as platform_jobs
from turmerictally.routing import engines
from turmerictally.store import client, hosts, rows, table, weights
from turmerictally.tests.support import malformed

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


class FixedResponder:
    """Respond to every request with the configured status and body."""

    status = 200
    body = b""

    def __init__(self):
        self.transport = httpx.MockTransport(self.respond)

    def respond(self, request):
        return httpx.Response(self.status, content=self.body)


def fuzz(*inputs, examples=EXAMPLES):
    def run(check):
        wrapped = hypothesis.given(*inputs)(check)
        hypothesis.settings(max_examples=examples)(wrapped)()

    return run


@behave.given("arbitrary HTTP responses")
def arbitrary_responses(context):
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

    responder = FixedResponder()
    platform = client.Client(config)
    for http_client in (platform.shared_client, platform.object_client):
        http_client.transport = responder.transport
    rows, blobs = platform.table, platform.objects

    async def call_all(status, body):
        responder.status, responder.body = status, body
        for call in (
            lambda: rows.get("k"),
            lambda: rows.scan("k"),
            lambda: rows.commit([], [table.Put("k", {})]),
            lambda: blobs.put("k", b"x", if_absent=True),
            lambda: blobs.get("k"),
            lambda: blobs.head("k"),
            lambda: blobs.list("k"),
            lambda: platform.hosts.list(hosts.Role.ENTRY),
            lambda: platform.hosts.register(host),
            platform.weights.list,
            lambda: platform.weights.reserve("m", "1"),
        ):
            try:
                await call()
            except allowed as error:
                assert not isinstance(error, KeyError) or status == 404, body

    @fuzz(STATUSES, BODIES)
    def check(status, body):
        trio.run(call_all, status, body)


@behave.then("engine requests raise only control errors")
def control_errors(context):
    responder = FixedResponder()
    engine_client = engines.EngineClient(clock.Clock(), responder.transport)

    async def call_all(status, body):
        responder.status, responder.body = status, body
        for call in (
            lambda: engine_client.load("e"),
            lambda: engine_client.events("e", 0),
            lambda: engine_client.export_kv("e", "r"),
        ):
            with contextlib.suppress(engines.ControlError):
                await call()

    @fuzz(STATUSES, BODIES)
    def check(status, body):
        trio.run(call_all, status, body)


@behave.then("events do not depend on how their bytes are split")
def split(context):
    chunk = JSON.map(lambda value: b"data: " + json.dumps(value).encode())
    ends = strategies.sampled_from([b"\n\n", b"\r\n\r\n"])

    @fuzz(
        strategies.lists(strategies.tuples(chunk, ends), max_size=5),
        strategies.lists(strategies.integers(0, 200), max_size=6),
    )
    def check(chunks, cuts):
        data = b"".join(event + end for event, end in chunks)
        expected = events.Parser().feed(data)
        parser, received, start = events.Parser(), [], 0
        for cut in [*sorted(cuts), len(data)]:
            received += parser.feed(data[start:cut])
            start = max(start, cut)
        assert received == expected, (data, cuts)


@behave.then("every event is delivered, dropped or interrupts the stream")
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
        except events.StreamInterruptedError:
            pass


@behave.then("any settings are valid or rejected with key paths")
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
    def check(sections, complete):
        try:
            settings.build(required | sections if complete else sections)
        except settings.SettingsError as error:
            assert error.faults and all(fault.path for fault in error.faults)


@behave.then("no credential reaches a backend server, whatever the case of its header")
def no_key(context):
    secret = "tk-secret"
    names = strategies.sampled_from(
        ["authorization", "cookie", "x-api-key", "connection", "accept", "x-other"]
    ).flatmap(lambda name: strategies.sampled_from([name, name.upper(), name.title()]))
    values = strategies.sampled_from([f"Bearer {secret}", secret, "x-other", "close"])

    @fuzz(strategies.lists(strategies.tuples(names, values), max_size=5))
    def check(pairs):
        carries = [
            n
            for n, v in pairs
            if secret in v and n.lower() in headers.CREDENTIAL_HEADERS
        ]
        request = messages.Request(
            request_id="r",
            team="t",
            contract=None,
            service="s",
            method="POST",
            path="/",
            deadline=0.0,
            headers=tuple(pairs),
        )
        passed = headers.for_server(request, "a")
        forwarded = [n.lower() for n, v in passed if secret in v]
        assert not set(forwarded) & {name.lower() for name in carries}, passed
        assert not any(name in headers.HOP_BY_HOP for name, _ in passed)


NAMES = ("Host", "host", "Content-Length", "Transfer-Encoding", "Connection", "X-A")
VALUES = ("a", "3", "03", "3,3", "4", "+3", "chunked", "Chunked", "gzip", "close", "")
PIECES = strategies.sampled_from(
    (
        *("3\r\nabc\r\n", "0\r\n\r\n", "0\r\nT: 1\r\n\r\n", "3;e=1\r\nabc\r\n", "abc"),
        *("3 \r\nabc\r\n", "0x3\r\nabc\r\n", "-3\r\nabc\r\n", "3\nabc\n", "3\r\nabcd"),
        *("0" * 30 + "3\r\nabc\r\n", "A\r\n0123456789\r\n", "\r\n", "\n", "\r", " "),
        *("\x00", "\t", "0\r\n", "0\n\n", "GET / HTTP/1.1\r\nHost: b\r\n\r\n", "X"),
        *(" X-Folded: 1\r\n", "HTTP/1.1 200 OK\r\n\r\n", "f" * 20 + "\r\n", ";\r\n"),
    )
)
FIRST_LINES = {
    False: ("GET / HTTP/1.1", "POST /a HTTP/1.1", "GET / HTTP/1.0", "GET  / HTTP/1.1"),
    True: ("HTTP/1.1 200 OK", "HTTP/1.1 204 No", "HTTP/1.0 200 OK", "HTTP/1.1 200"),
}
VALID_BODIES = (
    ("Content-Length: 3\r\n", b"abc", b"abc"),
    ("Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n2;x\r\nde\r\n0\r\n\r\n", b"abcde"),
    ("Transfer-Encoding: chunked\r\n", b"1\r\na\r\n0\r\nT: 1\r\n\r\n", b"a"),
    ("Content-Length: 0\r\n", b"", b""),
)

CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
MALFORMED = (
    *("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "X : a\r\n\r\n"),
    *("Content-Length: 5\r\n" + CHUNKED + "0\r\n\r\n", "X: a\r\n b\r\n\r\n"),
    *("X: a\n\r\n", "X: a\n\n", "X: a\rb\r\n\r\n", "X: \x00\r\n\r\n", "X\r\n\r\n"),
    *("Transfer-Encoding: gzip\r\n\r\n", "Transfer-Encoding: x, " + CHUNKED[19:]),
    *("Content-Length: +3\r\n\r\nabc", "Content-Length: 3 3\r\n\r\nabc"),
    *(CHUNKED + "0" * 20 + "3\r\nabc\r\n0\r\n\r\n", CHUNKED + "3\nabc\r\n0\r\n\r\n"),
    *(CHUNKED + "+3\r\nabc\r\n0\r\n\r\n", CHUNKED + "0x3\r\nabc\r\n0\r\n\r\n"),
    *(CHUNKED + "3\r\nabc0\r\n\r\n", CHUNKED + "3\r\nabc\n0\r\n\r\n"),
    *(
        CHUNKED + "0\r\nT\r\n\r\n",
        CHUNKED + "0\n\n",
        CHUNKED + "3 ;x\r\nabc\r\n0\r\n\r\n",
    ),
    "X: " + "m" * 64 * 1024 + "\r\n\r\n",
)


@strategies.composite
def http_messages(draw, is_response):
    first = draw(strategies.sampled_from(FIRST_LINES[is_response]))
    line = strategies.tuples(
        strategies.sampled_from(NAMES),
        strategies.sampled_from((": ", ":", " : ", ":\t")),
        strategies.sampled_from(VALUES),
        strategies.sampled_from(("\r\n",) * 8 + ("\n", "\r\n ", "\r", " \r\n")),
    )
    lines = draw(strategies.lists(line.map("".join), max_size=4))
    lines += draw(strategies.sampled_from((["Host: a\r\n"], [])))
    pieces = draw(strategies.lists(PIECES, max_size=5))
    return "".join([first, "\r\n", *lines, "\r\n", *pieces]).encode("latin-1")


def read_by_h11(data, is_response):
    """Return the head, the body and the trailing bytes, or None if refused."""
    parser = h11.Connection(h11.CLIENT if is_response else h11.SERVER)
    if is_response:
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    parser.receive_data(b"")
    head, body = None, b""
    with contextlib.suppress(h11.RemoteProtocolError):
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return head, body, parser.trailing_data[0]
            elif isinstance(event, h11.Request | h11.Response):
                first = getattr(event, "status_code", 0) or event.target
                head = first, [tuple(header) for header in event.headers.raw_items()]
            else:
                return None
    return None


def read_by_http1(parts, is_response):
    reader = http1.Reader(64 * 1024, is_response)
    head, body = None, b""
    with contextlib.suppress(http1.ProtocolError):
        for part in [*parts, b""]:
            reader.feed(part)
            head = head or reader.head()
            while head and (data := reader.body()):
                body += data
    if head is None or not reader.complete:
        return None
    return (head.status or head.target, head.headers), body, reader.buffer


def split(data, cuts):
    ends = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(ends, ends[1:], strict=False)]


CUTS = strategies.lists(strategies.integers(0, 200), max_size=4)


@behave.then(
    "HTTP messages are refused if a strict parser refuses them, else parsed alike"
)
def http_strict(context):
    counts = collections.Counter()

    def check_of(is_response):
        def check(data, cuts):
            parsed = read_by_http1(split(data, cuts), is_response)
            counts[parsed is not None] += 1
            if parsed is None:
                return
            (first, headers), body, rest = parsed
            strict = read_by_h11(data, is_response)
            assert strict is not None, (data, parsed)
            assert strict[0][0] == first and strict[1] == body, (data, strict, parsed)
            # The strict parser writes codings in lower case.
            pairs = [
                [(name.lower(), value.lower()) for name, value in header_list]
                for header_list in (strict[0][1], headers)
            ]
            assert pairs[0] == pairs[1], (data, parsed)
            assert strict[2] == rest, (data, strict, parsed)

        return check

    for is_response in (False, True):
        inputs = http_messages(is_response), CUTS
        fuzz(*inputs, examples=4 * EXAMPLES)(check_of(is_response))
    assert counts[True] >= EXAMPLES and counts[False] >= EXAMPLES, counts


@behave.then("malformed HTTP messages are refused")
def http_malformed(context):
    for is_response in (False, True):
        for lines in MALFORMED:
            first = FIRST_LINES[is_response][0]
            data = f"{first}\r\nHost: a\r\n{lines}".encode()
            for parts in ([data], split(data, range(len(data)))[:4000]):
                parsed = read_by_http1(parts, is_response)
                assert parsed is None, (data, parsed)


@behave.then("valid HTTP messages are parsed however their bytes are split")
def http_valid(context):
    def check(valid, is_response, cuts, trailing):
        lines, raw, body = valid
        first = FIRST_LINES[is_response][0]
        data = f"{first}\r\nHost: a\r\nX-B:\tc d \r\n{lines}\r\n".encode() + raw
        parsed = read_by_http1(split(data + trailing, cuts), is_response)
        assert parsed is not None, data
        assert parsed[1:] == (body, trailing), (data, parsed)
        assert (b"X-B", b"c d") in parsed[0][1], parsed

    fuzz(
        strategies.sampled_from(VALID_BODIES),
        strategies.booleans(),
        CUTS,
        strategies.sampled_from((b"", b"\r\n", b"G", b"0\r\n\r\n")),
    )(check)


class StoppedClock:
    def monotonic(self):
        return 0.0


HOST_ROW = {
    "instance": "i",
    "address": "10.1.0.9:82",
    "renewals": 1,
    "quota_levels": {"a": 1.0},
    "quarantined_parts": {"p": [0, {"s0/1": 1.0}]},
}
JOB_STATE = {
    **dict.fromkeys(("team", "route", "hostname", "path", "owner", "instance"), "a"),
    **dict.fromkeys(("total", "listed", "tokens", "pieces"), 1),
    **dict.fromkeys(("created_s", "completion_s", "retention_s"), 60.0),
    "job": "j",
}
ITEM = {"id": "i", "path": "/a", "headers": {"X": "y"}, "body": "", "tokenCount": 1}


@behave.then("digests, rows of hosts, states and items of jobs are read or refused")
def peers_read(context):
    counts = collections.Counter()
    values = JSON.map(json.dumps) | strategies.sampled_from(malformed.VALUES)
    digest_fields = [
        *("h", "i", "10.1.0.9:82", 1, {"s": 1}, {"s": 1}, 1, {"t": 1}, {"t": 1}),
        *({"servers": [1, 1.0]}, 1.0, ["s"], "a", {"s": [1, 1]}, True, True, ["h"]),
        *(False, {"s": 1}, {"s": 1}, {"a": 1}, {"s": [1.0, 1.0, 1.0]}, 1, {}, [1]),
        *({"s": [1]}, {"p": [0, 1.0, {"s/1": 1.0}]}, {"s": [1.0, 1.0, 1]}),
    ]
    hosts_seen = gossip.HostDirectory("h0", "i0", StoppedClock(), trace.Trace("h0"))

    def read(reader, data):
        try:
            found = reader(data)
        except decoding.DecodeError:
            counts["refused"] += 1
            return None
        counts["read"] += 1
        return found

    def read_state(data):
        return jobs.read_state(rows.Row(rows.Address("jobs", "0", "j"), data, 1))

    def change(document, value, at):
        path = (sorted(document)[at % len(document)],)
        return malformed.encode(document, path, value)

    @fuzz(values, strategies.integers(0, 200), strategies.binary(max_size=30))
    def check(value, at, raw):
        hosts_seen.update([rows.Row(rows.Address("hosts", "", "h"), raw, 1)])
        row = change(HOST_ROW, value, at)
        hosts_seen.update([rows.Row(rows.Address("hosts", "", "h"), row, 2)])
        for data in (raw, change(JOB_STATE, value, at)):
            read(read_state, data)
        body = b'{"items":[' + change(ITEM, value, at) + b"]}"
        for data in (raw, body):
            read(platform_jobs.read_items, data)
        read(dissemination.decode, raw)
        read(gossip.decode, raw)

    @fuzz(
        JSON | strategies.integers(-(2**63), 2**64 - 1) | strategies.floats(),
        strategies.integers(0, len(digest_fields) - 1),
        examples=4 * EXAMPLES,
    )
    def check_digest(value, at):
        fields = list(digest_fields)
        fields[at] = value
        try:
            data = msgspec.msgpack.encode(fields)
        except (OverflowError, UnicodeEncodeError):
            # The wire format has no such value.
            return
        digest = read(gossip.decode, data)
        if digest is not None:
            hosts_seen.peers.clear()
            assert digest.host == hosts_seen.host_id or hosts_seen.receive(digest)
            assert digest.encode()

    assert gossip.decode(msgspec.msgpack.encode(digest_fields))
    assert read_state(malformed.encode(JOB_STATE))
    assert platform_jobs.read_items(malformed.encode({"items": [ITEM]}))
    assert counts["read"] and counts["refused"], counts
