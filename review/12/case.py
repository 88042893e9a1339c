"""Move a batch route to another service, whose servers are then lost."""

import asyncio
import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib3"))

import standins  # noqa: E402

CONFIG_APPLY_S = 2.0
ITEMS = 6
LAPSE_S = 3 * standins.HEARTBEAT_S  # until the store drops what is silent


async def play(world):
    """Play the case and return its exit status."""
    old = [
        standins.Server(world, f"i-old-{n}", "old", events=240, event_s=0.05)
        for n in range(2)
    ]
    new = [
        standins.Server(world, f"i-new-{n}", "new", events=240, event_s=0.05)
        for n in range(2)
    ]
    world.servers += [*old, *new]
    world.configure("old")
    await world.start(3)
    owner = world.hosts[0]
    if await world.submit(owner, "job", [f"item{n}" for n in range(ITEMS)]) != 202:
        return 2
    await asyncio.sleep(2.5)
    world.configure("new")
    acknowledged_at = time.monotonic()
    if world.trouble:
        for server in new:
            server.crash()
        await asyncio.sleep(LAPSE_S)
        for server in new:
            world.store.put("servers", server.name, None)
    await asyncio.sleep(acknowledged_at + 4.5 - time.monotonic())
    owner.signal(signal.SIGTERM)
    world.record(f"host {owner.name} is told to stop")
    await asyncio.sleep(8.0)
    late = [
        (request, at - acknowledged_at)
        for server in old
        for request, at, _ in server.runs
        if at > acknowledged_at + CONFIG_APPLY_S
    ]
    for request, seconds in late:
        world.record(f"{request} reached the old service {seconds:.2f} s after the ack")
    moved = [request for server in new for request, _, _ in server.runs]
    world.record(
        f"{len(late)} runs at the old service too late, {len(moved)} at the new"
    )
    if not (late or moved or world.trouble):
        return 2
    return 1 if late else 0


standins.run(CASE, play)
