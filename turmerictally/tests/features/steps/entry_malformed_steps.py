"""Steps for rows and messages that other writers left malformed."""

import json

import behave
import trio
import trio.testing

from turmerictally import clock
from turmerictally.entry import decoding, watch
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
POSITIONS = ("%C2%B2", "9" * 5000, "-1", "")
SETTLE_S = 0.5


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
