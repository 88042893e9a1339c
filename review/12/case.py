"""Hand in an item that fails at each run, and kill the owners of its job."""

import asyncio
import json
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib3"))

import standins  # noqa: E402

MAX_ATTEMPTS = 3
STABLE_S = 3.0
HOSTS = 6
KILLS = 8
FIRST_KILL_S = 1.0
KILL_EVERY_S = 2.25
DOWN_S = 1.0
WATCHED_S = FIRST_KILL_S + KILLS * KILL_EVERY_S + 10.0


def owner_of(world):
    """Return the host that last wrote to the store under a condition."""
    for (table, _, _), (_, value) in world.store.rows.items():
        if table == "jobs":
            name = json.loads(value)["owner"]
            return next((host for host in world.hosts if host.name == name), None)
    return None


async def play(world):
    """Play the case and return its exit status."""
    servers = [standins.Server(world, f"i-{n}", "llm") for n in range(3)]
    for server in servers:
        server.grey = lambda item: item == "poison"
        server.grey_status = 500
    world.servers += servers
    world.configure("llm", maxAttempts=MAX_ATTEMPTS)
    await world.start(HOSTS)
    disturbed_at = dict.fromkeys(world.hosts, float("-inf"))
    if await world.submit(world.hosts[0], "job", ["poison"]) != 202:
        return 2
    began_at = time.monotonic()
    next_kill_at = began_at + FIRST_KILL_S
    kills = 0
    back_at = {}  # of hosts that are down
    runs = []  # the time of each, and the owner at that time
    while time.monotonic() < began_at + WATCHED_S:
        await asyncio.sleep(0.02)
        now = time.monotonic()
        while len(runs) < sum(len(server.runs) for server in servers):
            runs.append((now, owner_of(world)))
        if world.trouble and kills < KILLS and now >= next_kill_at:
            next_kill_at = now + KILL_EVERY_S
            owner = owner_of(world)
            if owner is not None and owner.running:
                owner.kill()
                disturbed_at[owner] = now
                back_at[owner] = now + DOWN_S
                kills += 1
        for host in [host for host, at in back_at.items() if now >= at]:
            host.start()
            disturbed_at[host] = now
            del back_at[host]
    allowed = 3 * MAX_ATTEMPTS
    late = [
        host.name
        for at, host in runs[allowed:]
        if host is not None and at > disturbed_at[host] + STABLE_S
    ]
    status, body = await world.results(world.hosts[-1], "job")
    world.record(f"results: {status} {body}")
    world.record(
        f"{len(runs)} runs of the item, {kills} kills; after {allowed} answers of 500 "
        f"it came {len(late)} times from machines in touch"
    )
    return 1 if late else 0


standins.run(CASE, play)
