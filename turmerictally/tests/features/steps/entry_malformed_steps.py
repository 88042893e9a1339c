"""Steps for rows and messages that other writers left malformed."""

import behave
import trio

from turmerictally.entry import decoding
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
SETTLE_S = 0.5


def malformed_registrations():
    """Yield a label, the key and value of a row, and a value to replace a good one."""
    for value in (malformed.NESTED.encode(), b"\xff{"):
        yield f"{value[:24]}", "odd", value, value
    for key in malformed.KEYS:
        yield (
            malformed.label("key", repr(key)),
            key,
            malformed.encode(REGISTRATION),
            b"",
        )
    for field, values in FIELDS.items():
        for value in values:
            row = malformed.encode(REGISTRATION, field, value)
            yield malformed.label(field, value), "odd", row, row


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
