"""Steps for rows and messages that other writers left malformed."""

import collections
import contextlib
import json
import math
import zlib

import attrs
import behave
import msgspec
import trio
import trio.testing

from turmerictally import clock
from turmerictally.entry import (
    decoding,
    dissemination,
    gossip,
    jobs,
    table_copies,
    watch,
)
from turmerictally.entry import trace as traces
from turmerictally.standins import rows as standin_rows
from turmerictally.store import rows
from turmerictally.tests.support import malformed, users_platform

REGISTRATION = {
    "service": "llm",
    "address": "10.9.0.9:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "born": 1,
}
FIELDS = {
    "address": malformed.ADDRESSES,
    "service": malformed.TEXTS,
    "zone": malformed.TEXTS,
    "state": malformed.TEXTS,
    "slots": malformed.NUMBERS,
    # Null stands for a missing time.
    "born": [number for number in malformed.NUMBERS if number != "null"],
}
DURATIONS = [number for number in malformed.NUMBERS if number != "1.5"]
OPTIONAL = [number for number in malformed.NUMBERS if number != "null"]
OTHER_TYPES = ('"a"', "7", "[7]", malformed.NESTED)
CONFIGURATION_FIELDS = {
    ("version",): malformed.NUMBERS,
    ("routes",): OTHER_TYPES,
    ("routes", 0, "name"): malformed.TEXTS,
    ("routes", 0, "hostname"): malformed.TEXTS,
    ("routes", 0, "prefix"): [text for text in malformed.TEXTS if text != '""'],
    ("routes", 0, "kind"): malformed.TEXTS,
    ("routes", 0, "service"): malformed.TEXTS,
    ("routes", 0, "timeoutMs"): DURATIONS,
    ("routes", 0, "maxAttempts"): OPTIONAL,
    ("services", 0, "name"): malformed.TEXTS,
    ("services", 0, "maxConnections"): OPTIONAL,
    ("tenants", 0, "name"): malformed.TEXTS,
    ("tenants", 0, "apiKeys"): OTHER_TYPES,
    ("tenants", 0, "ratePerS"): [each for each in DURATIONS if each != "null"],
    ("limits",): OTHER_TYPES,
    ("limits", "idleTimeoutMs"): [each for each in DURATIONS if each != "null"],
}
UNSENDABLE = (r'"a\r\nb: c"', r'"a\ud800"', r'"\u20ac"', "7", "null", malformed.NESTED)
ITEM_FIELDS = {
    ("items",): ("null", '"a"', "{}", "[]", "[7]", malformed.NESTED),
    ("items", 0, "id"): (*malformed.TEXTS, '"a/b"', '"i1"', r'"\u20ac"'),
    ("items", 0, "path"): (*UNSENDABLE, '"/a b"', '""'),
    ("items", 0, "headers"): ("null", "[]", '{"a": 7}', '{"a b": "c"}', '{"": "c"}'),
    ("items", 0, "headers", "X-Model"): UNSENDABLE,
    ("items", 0, "body"): (
        '"a"',
        '"\u20ac"',
        r'"a\ud800"',
        "7",
        "null",
        malformed.NESTED,
    ),
    ("items", 0, "tokenCount"): malformed.NUMBERS,
}
HOST = {
    "instance": "i",
    "address": "10.1.0.9:82",
    "renewals": 1,
    "domain": "a",
    "cores": 1.0,
    "quota_levels": {"counter": 1.0},
    "levels_at_s": 1.0,
    "quarantined_parts": {"p": [0, {"s0/1": 1.0}]},
}
HOST_FIELDS = {
    ("instance",): malformed.TEXTS,
    ("address",): malformed.ADDRESSES,
    ("renewals",): malformed.NUMBERS,
    ("domain",): [text for text in malformed.TEXTS if text not in ('""', "null")],
    ("cores",): [each for each in DURATIONS if each != "null"],
    ("quota_levels",): OTHER_TYPES,
    ("quota_levels", "counter"): DURATIONS,
    ("quarantined_parts",): OTHER_TYPES,
    ("quarantined_parts", "p"): (*OTHER_TYPES, "[]", "[0, {}, 1]", "[0, 1]"),
    ("quarantined_parts", "p", 0): malformed.NUMBERS,
    ("quarantined_parts", "p", 1, "s0/1"): ("1e999", "NaN", "null", malformed.NESTED),
}
JOB = {
    **dict.fromkeys(("team", "route", "hostname", "path", "owner", "instance"), "a"),
    **dict.fromkeys(("total", "pieces", "tokens"), 1),
    **dict.fromkeys(("created_s", "completion_s", "retention_s"), 60.0),
    "job": "odd",
    "listed": 0,
}
JOB_FIELDS = {
    ("job",): malformed.TEXTS,
    ("hostname",): [text for text in malformed.TEXTS if text != '""'],
    ("owner",): [text for text in malformed.TEXTS if text != '""'],
    ("total",): malformed.NUMBERS,
    ("listed",): malformed.NUMBERS,
    ("tokens",): malformed.NUMBERS,
    ("created_s",): [n for n in DURATIONS if n != "-1"],
    ("unknown",): [malformed.NESTED],
}
TOO_LARGE = 2**64 - 1
COUNTS = (-1, TOO_LARGE, 1.5, "a", None, math.nan)
COUNTS_BY_NAME = ({"s0": -1}, {"s0": TOO_LARGE}, {"s0": "a"}, {7: 1}, ["s0"], 7)
ODD_PARTS = (
    {"p": [0, math.nan, 0.0, {}]},
    {"p": [TOO_LARGE, 0.0, 0.0, {}]},
    {"p": [0, 0.0, 0.0, {"s0/1": math.inf}]},
    {"p": [0, 0.0, {}]},
)
DIGEST_FIELDS = {
    "host": (7, b"a", None, []),
    "address": ("a b:80", "10.1.0.9:99999", "10.1.0.9:8_0", "", 7),
    "sequence": COUNTS,
    "online": COUNTS_BY_NAME,
    "batch": COUNTS_BY_NAME,
    "items_waiting": COUNTS,
    "admitted": COUNTS_BY_NAME,
    "table_ages": ({"servers": [1]}, {"servers": [1, math.nan]}, {"jobs": [-1, 0.0]}),
    "store_age_s": (math.nan, math.inf, -1e300),
    "failing": ([7], "s0"),
    "outcomes": ({"s0": [1]}, {"s0": [1, 2, 3]}, {"s0": [-1, 0]}),
    "leaving": COUNTS_BY_NAME,
    "demand": COUNTS_BY_NAME,
    "speeds": ({"s0": [1.0]}, {"s0": [math.nan, 1.0, 1.0]}, {"s0": [1, math.inf, 1]}),
    "job_states": ({"j": [1]}, {"j": [-1, b""]}),
    "waiting_urgencies": ([math.nan], [TOO_LARGE]),
    "batch_urgencies": ({"s0": [TOO_LARGE]}, {"s0": 1}),
    "accused_parts": ODD_PARTS,
    "accused_item_parts": ODD_PARTS,
    "accused_requests": (
        {"r": [["p"], math.nan, 0.0, {}]},
        {"r": [[7], 0.0, 0.0, {}]},
        {"r": [["p"], 0.0, 0.0, {"s0/1": [math.inf, True]}]},
        {"r": [["p"], 0.0, 0.0, {"s0/1": [0.0, 7]}]},
    ),
    "answered_servers": ({"s0/1": math.nan}, {"s0/1": "0"}, {"s0/1": math.inf}),
    "paths_lost": (7, "yes"),
    "answer_age_s": (math.nan, math.inf, "0"),
    "limits": ({"s0": [-1.0, 0.0, 1]}, {"s0": [1.0, math.nan, 1]}, {"s0": [1.0, 0.0]}),
}
DATAGRAMS = (b"", b"\xff", b"\x91" * 60_000, b"\x96" + b"\x91" * 60_000)
ROW = ["", "s0", 7, "e30="]
COPY = {"version": 10_000, "rows": [ROW]}
COPY_FIELDS = {
    ("version",): malformed.NUMBERS,
    ("rows",): ("null", '"a"', "7", "[7]", "[[]]", malformed.NESTED),
    ("rows", 0, 0): ("7", "null", "[]"),
    ("rows", 0, 1): ("7", "null", "[]"),
    ("rows", 0, 2): malformed.NUMBERS,
    ("rows", 0, 3): ("7", "null", "[]", '"a"', '"\u20ac"', r'"\ud800"', '"a b="'),
}
AGES = (b"", b"-1", b"1.5", b"nan", b"9" * 5000, b"\xb2")
POSITIONS = ("%C2%B2", "9" * 5000, "-1", "")
SETTLE_S = 0.5
EXPIRY_S = 6.0
SILENCE_S = 60.0


def malformed_registrations():
    """Yield a label, the key and value of a row, and a value to replace a good one."""
    for value in (malformed.NESTED.encode(), b"\xff{"):
        yield f"{value[:24]}", "odd", value, value
    for key in malformed.KEYS:
        yield (
            malformed.label(("key",), repr(key)),
            key,
            malformed.encode(REGISTRATION),
            b"",
        )
    for field, values in FIELDS.items():
        for value in values:
            row = malformed.encode(REGISTRATION, (field,), value)
            yield malformed.label((field,), value), "odd", row, row


def used(world):
    """Return the servers that each host uses."""
    return [
        {server.instance for server in served.registry.usable("llm")}
        for served in world.hosts.values()
    ]


async def check_served(world, expected):
    await trio.sleep(SETTLE_S)
    assert used(world) == [expected] * len(world.hosts), used(world)
    for n in world.hosts:
        reply = await users_platform.Caller(world, n).ask()
        assert (reply.status, reply.whole) == (200, True), reply


def play_registration(key, row, replacement):
    async def main(world):
        world.store.put("servers", key, row)
        await check_served(world, {"s0", "s1", "s2"})
        world.store.put("servers", "s2", replacement)
        world.servers["s1"].state = "draining"
        world.servers["s1"].register()
        await check_served(world, {"s0"})
        world.kill_host(0)
        world.start_host(0)
        await world.until_ready()
        world.servers["s1"].state = "ready"
        world.servers["s1"].register()
        await check_served(world, {"s0", "s1"})
        for served in world.hosts.values():
            keys = [
                line["server"]
                for line in served.lines
                if line["event"] == "server_unreadable"
            ]
            expected = {decoding.loggable(key), "s2"}
            assert sorted(keys) == sorted(expected), f"logged {keys}"

    users_platform.play(main, servers=3)


def run_each(cases, play):
    """Play each case; return what failed, by label."""
    failures = {}
    for label, *case in cases:
        try:
            play(*case)
        except* Exception as group:
            errors = [group]
            while isinstance(errors[0], BaseExceptionGroup):
                errors = errors[0].exceptions
            failures[label] = f"{errors[0]!r:.120}"
    return failures


@behave.when(
    "each malformed registration lies beside good ones or replaces one, from before a "
    "host starts and later"
)
def registrations(context):
    context.failures = run_each(malformed_registrations(), play_registration)


@behave.then(
    "the hosts serve from good servers only, follow the table, and log each row once"
)
def followed(context):
    failures = [f"{label}: {error}" for label, error in context.failures.items()]
    assert not failures, "\n".join([f"{len(failures)} cases", *failures])


def play_configurations(path, values):
    async def main(world):
        address = rows.Address("op", "", "config")
        for number, value in enumerate(values, 1):
            world.configure()
            good = json.loads(world.store.rows[address].value)
            good["version"] = world.version = world.version + 1
            row = malformed.encode(good, path, value)
            world.store.put("op", "config", row)
            await check_served(world, {"s0", "s1"})
            for served in world.hosts.values():
                assert served.active_configuration.current.version == world.version - 1
                lines = [
                    n for n in served.lines if n["event"] == "configuration_unreadable"
                ]
                assert len(lines) == number, lines[-1]
        world.kill_host(0)
        world.start_host(0)
        await trio.sleep(2 * SETTLE_S)
        assert world.hosts[0].not_ready() == "no configuration"
        world.configure()
        await world.until_ready()
        await check_served(world, {"s0", "s1"})

    users_platform.play(main)


@behave.when(
    "each malformed configuration follows a good one, and a host starts meanwhile"
)
def configurations(context):
    cases = [(str(path), path, vs) for path, vs in CONFIGURATION_FIELDS.items()]
    context.failures = run_each(cases, play_configurations)


@behave.then("the hosts serve as the last good one says, and apply the next good one")
def last_good(context):
    followed(context)


@behave.when("one of several rows cannot be applied, at the first read and later")
def not_applied(context):
    context.applied, context.unapplied = {}, []

    def apply(changed):
        for row in changed:
            if row.value == b"odd":
                raise KeyError(row.value)
            context.applied[row.address.key] = row.value

    def emit(event, **fields):
        context.unapplied.append((event, fields["key"], fields["version"]))
        assert fields["reason"].startswith("KeyError at entry_malformed_steps.py:")

    async def main():
        store = standin_rows.RowStore()
        for key in ("a", "odd", "z"):
            store.put("table", key, b"odd" if key == "odd" else b"1")
        trace = traces.Trace("h0")
        trace.emit = emit
        table = watch.Watch(
            store.view("h0"), "table", ("",), apply, clock.Clock(), trace
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(table.run)
            await trio.sleep(SETTLE_S)
            store.put("table", "a", b"odd")
            store.put("table", "z", b"2")
            await trio.sleep(3 * SETTLE_S)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then(
    "the others are applied, the watch goes on, and each failure is logged once"
)
def others_applied(context):
    assert context.applied == {"a": b"1", "z": b"2"}, context.applied
    expected = [("row_not_applied", "odd", 2), ("row_not_applied", "a", 4)]
    assert context.unapplied == expected, context.unapplied


def play_jobs(path, values):
    async def main(world):
        good = json.loads(users_platform.lot(world)[0])
        good["items"][0]["headers"]["X-Model"] = "m"
        caller = users_platform.Caller(world)

        async def submit(job, body):
            return await caller.ask("/night/1", body=body, request_id=job)

        for number, value in enumerate(values):
            body = malformed.encode(good, path, value)
            reply = await submit(f"odd{number}", body)
            assert (reply.status, reply.whole) == (400, True), (value[:24], reply)
            assert reply.json()["reason"].startswith("not a batch job"), reply
        assert (await submit("job", json.dumps(good).encode())).status == 202
        for after in POSITIONS if not values else ():
            query = f"/-/lots/job?after={after}"
            reply = await caller.ask(query, method="GET")
            assert (reply.status, reply.whole) == (200, True), (after[:24], reply)
        await trio.sleep(3.0)
        reply = await caller.ask("/-/lots/job", method="GET")
        assert len(reply.json()["results"]) == 5, reply
        for served in world.hosts.values():
            assert served.job_states.by_id.keys() == {"job"}
        await check_served(world, {"s0", "s1"})

    users_platform.play(main)


@behave.when(
    "each malformed batch job is submitted, and a position is asked that is no number"
)
def batch_jobs(context):
    cases = [
        (malformed.label(path, value), path, [value])
        for path, values in ITEM_FIELDS.items()
        for value in values
    ]
    context.failures = run_each([*cases, ("positions", (), [])], play_jobs)


@behave.then("each job gets a 400 and the connections and hosts go on")
def refused(context):
    followed(context)


def play_hosts(odd_rows):
    async def main(world):
        for key, value in odd_rows.items():
            world.store.put("hosts", key, value)
        await check_served(world, {"s0", "s1"})
        world.kill_host(0)
        world.start_host(0)
        await world.until_ready()
        # Longer than the interval between checks for rows of lost hosts.
        await trio.sleep(EXPIRY_S)
        await check_served(world, {"s0", "s1"})
        for served in world.hosts.values():
            assert served.hosts.records.keys() == {"h0", "h1"}, served.hosts.records
            keys = [n["host"] for n in served.lines if n["event"] == "host_unreadable"]
            expected = sorted(map(decoding.loggable, odd_rows))
            assert sorted(keys) == expected, f"logged {keys}"

    users_platform.play(main)


@behave.when(
    "malformed rows of hosts lie beside good ones, from before a host starts and later"
)
def host_rows(context):
    cases = []
    for path, values in HOST_FIELDS.items():
        encoded = [malformed.encode(HOST, path, value) for value in values]
        cases.append((str(path), {f"odd{n}": row for n, row in enumerate(encoded)}))
    keys = {key: malformed.encode(HOST) for key in malformed.KEYS}
    cases += [("keys", keys), ("nested", {"odd": malformed.NESTED.encode()})]
    context.failures = run_each(cases, play_hosts)


@behave.then("the hosts go on, know the good rows only, and log each row once")
def good_hosts(context):
    followed(context)


def job_rows():
    yield "nested", malformed.NESTED.encode()
    for path, values in JOB_FIELDS.items():
        for value in values:
            yield malformed.label(path, value), malformed.encode(JOB, path, value)


def play_job_state(value):
    async def main(world):
        world.store.put(jobs.STATES, "odd", value, jobs.shard("odd"))
        caller = users_platform.Caller(world)
        body, _ = users_platform.lot(world)
        reply = await caller.ask("/night/1", body=body, request_id="job")
        assert reply.status == 202, reply
        await trio.sleep(EXPIRY_S)
        reply = await caller.ask("/-/lots/job", method="GET")
        assert len(reply.json()["results"]) == 5, reply
        for served in world.hosts.values():
            assert served.job_states.by_id.keys() == {"job"}
            lines = [n for n in served.lines if n["event"] == "job_row_unreadable"]
            assert [line["key"] for line in lines] == ["odd"], f"logged {lines}"

    users_platform.play(main)


def play_progress():
    async def main(world):
        for server in world.servers.values():
            server.events = 400
        body, _ = users_platform.lot(world, 2)
        reply = await users_platform.Caller(world).ask(
            "/night/1", body=body, request_id="job"
        )
        assert reply.status == 202, reply
        await trio.sleep(2.0)
        for key, value in malformed_progress():
            world.store.put(jobs.PROGRESS, key, value, jobs.shard("job"))
        world.kill_host(0)
        await trio.sleep(20.0)
        reply = await users_platform.Caller(world, 1).ask("/-/lots/job", method="GET")
        states = [result["state"] for result in reply.json()["results"]]
        assert states == ["succeeded"] * 2, reply
        assert any(run.resumed_after for run in world.runs)
        lines = world.lines("job_row_unreadable")
        assert len(lines) == len(list(malformed_progress())), lines

    users_platform.play(main)


def malformed_progress():
    for number, value in enumerate(malformed_values()):
        yield f"job/i0/000000000001/{number + 1:07d}", value
    for key in ("i0", "i0/x/1", "i0/1/0", "i0/1/1/1", "i0/\u0661/1", "i0/1/-1"):
        yield f"job/{key}", zlib.compress(b'["x"]')


def malformed_values():
    yield b""
    yield b"not compressed"
    yield zlib.compress(b"\0" * (jobs.MAX_DECOMPRESSED_BYTES + 1))
    for data in ("", "7", "[7]", r'["a\ud800"]', malformed.NESTED, "[[[[]]]]", "{}"):
        yield zlib.compress(data.encode())
    yield zlib.compress(b"[]")[:-3]


@behave.when(
    "malformed states of jobs lie beside good ones, and malformed events beside a job "
    "whose owner is lost"
)
def malformed_jobs(context):
    context.failures = run_each(job_rows(), play_job_state)
    context.failures |= run_each([("progress",)], play_progress)


@behave.then("the hosts go on, log each row, and the job ends")
def jobs_end(context):
    followed(context)


@behave.then(
    "malformed items, events and results are read as if the store were unavailable"
)
def read_malformed(context):
    state = jobs.State(**JOB)
    outcomes = collections.Counter()

    async def main():
        store = standin_rows.RowStore()
        job_store = jobs.JobStore(store.view("h0"))

        async def read_progress():
            progress = await job_store.read_progress("odd")
            return progress.events or progress.attempts

        reads = {
            (jobs.ITEMS, "odd/0000"): lambda: job_store.read_items(state),
            (jobs.RESULTS, "odd/000000/00"): lambda: job_store.read_results("odd", 0),
            (jobs.PROGRESS, "odd/i/1/1"): read_progress,
            (jobs.PROGRESS, "odd/i/1/attempts"): read_progress,
        }
        items = [
            ["/", "/a", {}, "", 1],
            ["i", "/\u20ac", {}, "", 1],
            ["i", "/a", {"X": "\u20ac"}, "", 1],
            ["i", "/a", {}, "!", 1],
            ["i", "/a", {}, "", -1],
        ]
        values = [zlib.compress(json.dumps([item]).encode()) for item in items]
        for (table, key), read in reads.items():
            for value in [*malformed_values(), *values]:
                store.put(table, key, value, jobs.shard("odd"))
                with contextlib.suppress(rows.UnavailableError):
                    outcomes[table] += bool(await read())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert not outcomes.total(), outcomes


def play_digests(field, values):
    async def main(world):
        sender = "10.1.0.9:82"
        socket = await world.fabric.host("10.1.0.9").open_datagram_socket(sender)
        digest = world.hosts[0]._digest(1, True, True)
        digest.host, digest.instance, digest.address = "odd", "odd", sender
        names = [each.name for each in attrs.fields(gossip.Digest)]
        datagrams = list(DATAGRAMS)
        for value in values:
            encoded = [getattr(digest, name) for name in names]
            encoded[names.index(field)] = value
            data = msgspec.msgpack.encode(encoded)
            kind = dissemination.Kind.DELIVER
            datagrams.append(dissemination.Datagram(kind, "odd", "a", (data,)).encode())
        for data in datagrams:
            for served in world.hosts.values():
                socket.send_to(served.settings.listen.peers, data)
            await trio.sleep(0.1)
        await check_served(world, {"s0", "s1"})
        for served in world.hosts.values():
            assert len(served.hosts.peers) == 1, served.hosts.peers
            counts = served.trace.counts
            assert counts["digest_unreadable"] == len(datagrams), f"logged {counts}"

    users_platform.play(main)


@behave.when("malformed datagrams and digests arrive between those of the hosts")
def digests(context):
    cases = [(field, field, values) for field, values in DIGEST_FIELDS.items()]
    context.failures = run_each(cases, play_digests)


@behave.then("the hosts go on, apply none of them, and count each one")
def digests_ignored(context):
    followed(context)


def copies():
    yield malformed.NESTED.encode()
    yield b"\xff{"
    for path, values in COPY_FIELDS.items():
        yield from (malformed.encode(COPY, path, value) for value in values)


def play_copies(answers, event):
    """Let a host cut off from the store fetch one answer after the other."""

    async def main(world):
        answers_left = list(answers)
        cut_off, peer = world.hosts.values()

        async def serve(exchange):
            if answers_left:
                body, age = answers_left.pop()
                headers = [(table_copies.AGE_HEADER, age)]
                await exchange.reply(200, body, headers)
            else:
                await table_copies.TableCopies.serve(peer.table_copies, exchange)

        peer.peer_server.handle = serve
        world.store.silence("h0")
        await trio.sleep(SILENCE_S)
        assert not answers_left, f"{len(answers_left)} answers were not fetched"
        assert cut_off.trace.counts[event] == len(answers), cut_off.trace.counts
        assert peer.trace.counts["row_not_applied"] == 0
        world.servers["s1"].state = "draining"
        world.servers["s1"].register()
        await trio.sleep(EXPIRY_S)
        await check_served(world, {"s0"})

    users_platform.play(main, seconds=300.0)


@behave.when("a host cut off from the store gets malformed copies, and then a good one")
def malformed_copies(context):
    bodies = [(body, b"1") for body in copies()]
    ages = [(b"{}", age) for age in AGES]
    context.failures = run_each(
        [
            ("copies", bodies, "peer_copy_unreadable"),
            ("ages", ages, "copy_not_fetched"),
        ],
        play_copies,
    )


@behave.then("it goes on with its own rows, counts each copy, and follows the good one")
def good_copy(context):
    followed(context)


@behave.when(
    "servers send events whose ids have thousands of digits, and later sound ones"
)
def long_ids(context):
    async def main(world):
        event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
        for server in world.servers.values():
            server.raw_answer = users_platform.STREAM + event
        context.reply = await users_platform.Caller(world).ask()
        body, _ = users_platform.lot(world)
        await users_platform.Caller(world).ask("/night/1", body=body, request_id="job")
        await trio.sleep(EXPIRY_S)
        for server in world.servers.values():
            server.raw_answer = b""
        await trio.sleep(2 * EXPIRY_S)
        reply = await users_platform.Caller(world).ask("/-/lots/job", method="GET")
        context.results = len(reply.json()["results"])
        await check_served(world, {"s0", "s1"})

    users_platform.play(main)


@behave.then("a request gets an answer, the hosts go on, and a batch job ends")
def answered(context):
    assert (context.reply.status, context.reply.whole) == (502, True), context.reply
    assert context.results == 5, context.results
