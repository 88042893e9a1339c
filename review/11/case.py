"""Send notes that may run once at most, while one server fails part of its requests."""

import asyncio
import collections
import pathlib
import random
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib3"))

import standins  # noqa: E402

SERVERS = 7  # of which one is a share of 0.15
FAILED_SHARE = 0.4
SPELL_S = 5.0  # for which it fails them
NOTES = 300
PAUSE_S = 0.025


async def send(world, note, attempts):
    """Send a note; come back once after a promise that it has not run."""
    tried = random.sample(world.hosts, 2)
    for number, host in enumerate(tried):
        request = f"{note}-{number}"
        headers = world.named() | {
            "X-Request-Id": request,
            "X-Deadline-Ms": "5000",
            "X-Model": "m",
            "X-Token-Usage": "250,30",
        }
        status, got, _ = await standins.ask(
            f"{host.ip}:{host.callers}", "POST", f"/note/{note}", headers, b"{}"
        )
        attempts[request] = status
        stamp = got.get("x-server-stamp", "none")
        world.record(f"client gets {status} for {request}, stamp {stamp}")
        if status not in (408, 421, 429, 503):
            return
        await asyncio.sleep(min(1.5, float(got.get("retry-after", 0.1))))


async def play(world):
    """Play the case and return its exit status."""
    rng = random.Random(1)
    servers = [
        standins.Server(world, f"i-{n}", "llm", events=20, event_s=0.01)
        for n in range(SERVERS)
    ]
    world.servers += servers
    world.configure("llm")
    await world.start(3)
    ends_at = time.monotonic() + SPELL_S
    if world.trouble:
        servers[0].grey = lambda request: (
            time.monotonic() < ends_at and rng.random() < FAILED_SHARE
        )
    attempts = {}
    async with asyncio.TaskGroup() as group:
        for number in range(NOTES):
            group.create_task(send(world, f"n{number}", attempts))
            await asyncio.sleep(PAUSE_S)
    ran = collections.Counter(request for s in servers for request, _, _ in s.runs)
    broken = [r for r, status in attempts.items() if status == 503 and ran[r]]
    notes = collections.Counter()
    for request, count in ran.items():
        notes[request.partition("-")[0]] += count
    twice = [note for note, count in notes.items() if count > 1]
    world.record(
        f"{len(attempts)} attempts at {NOTES} notes: {len(broken)} were answered 503 "
        f"and had run; {len(twice)} notes ran twice"
    )
    if len(attempts) < NOTES:
        return 2
    return 1 if broken else 0


standins.run(CASE, play)
