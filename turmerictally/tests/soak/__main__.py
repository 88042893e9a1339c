"""Run the soak: seeds of schedules, until one breaks a promise or time is up."""

import json
import pathlib
import random
import shutil
import sys
import time

import attrs
import fire
import trio

from turmerictally.tests.soak import callers, checks, faults, schedule, world

FOLDER = pathlib.Path("build/soak")
HEAL_S = 6.0  # after the last fault until service must be back
USAGE_S = 1.0
COUNTERS = 8
STREAMS = 8  # callers who make requests that can be taken up only


async def play(seed, seconds, hosts, servers, folder, kinds):
    """Play one seed; return the record of what was seen."""
    record = checks.Record(quota=(world.HOT_RATE, world.HOT_BURST))
    planned = schedule.draw(seed, seconds, kinds)
    plan = [attrs.asdict(fault) for fault in planned]
    played = world.World(folder, hosts, servers, seed)
    (played.folder / "schedule.json").write_text(json.dumps(plan, indent=1))
    try:
        async with trio.open_nursery() as outer:
            await played.start(outer)
            begun = time.monotonic()
            made = callers.Callers(played, record, random.Random(seed), begun + seconds)
            async with trio.open_nursery() as nursery:
                injector = faults.Injector(played, record, outer)
                for fault in planned:
                    nursery.start_soon(_at, begun + fault.at, injector, fault)
                for _ in range(COUNTERS):
                    nursery.start_soon(made.counter, callers.COUNTED)
                for _ in range(STREAMS):
                    nursery.start_soon(made.counter, ("repeatable",))
                nursery.start_soon(made.hot, nursery)
                nursery.start_soon(made.batches, nursery)
                nursery.start_soon(_watch, played, record, begun + seconds)
            over = [end for _, _, end in record.touched]
            record.calm_from = max(over, default=begun) + HEAL_S
            record.exits += await played.stop()
            outer.cancel_scope.cancel()
    finally:
        played.kill_all()
    _read_servers(played, record)
    return record


async def _at(when, injector, fault):
    await trio.sleep(max(0.0, when - time.monotonic()))
    await injector.run(fault)


async def _watch(played, record, ends):
    """Note what hosts take, and hosts that end without being told to."""
    while time.monotonic() < ends:
        for program in played.hosts.values():
            if program.running:
                found = program.usage()
                if found is not None:
                    record.usage.append(found)
            elif not program.told:
                record.exits.append(f"{program.name} ended by itself")
                program.told = True
        await trio.sleep(USAGE_S)


def _read_servers(played, record):
    for path in played.folder.glob("s[0-9]*.log"):
        for line in path.read_text().splitlines():
            try:
                found = json.loads(line)
            except ValueError:
                # A line of a traceback, or one cut off by a kill.
                continue
            if found["event"] == "run":
                record.runs.append(found)
            elif found["event"] == "end":
                record.ends.append(found)
            elif found["event"] == "again":
                record.again.append(found)
            elif found["event"] == "stalled":
                record.stalls.append((found["server"], found["since"], found["at"]))
            elif found["event"] == "serving":
                record.serving[found["server"]] = found["at"]
                record.software[found["server"]] = found["software"]
            elif found["event"] == "leaving":
                record.drains[found["server"]] = found["at"]
    record.runs.sort(key=lambda run: run["at"])


def _one(seed, seconds, hosts, servers, timed, kinds):
    folder = FOLDER / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    record = trio.run(play, seed, seconds, hosts, servers, folder, kinds)
    broken = checks.find_broken(record, timed)
    resumed = [a for a in record.asked if a.resumes]
    counts = {
        "seed": seed,
        "asked": len(record.asked),
        "served": sum(a.status == 200 and a.whole for a in record.asked),
        "jobs": len(record.jobs),
        "runs": len(record.runs),
        "again": len(record.again),
        "copies": sum(each["copied"] for each in record.again),
        "faults": len(record.touched),
        "taken_up": len(resumed),
        "after_kill": sum(checks.follows_kill(record, a) for a in resumed),
        "unanswered": sum(a.status == 0 for a in resumed),
        "went_on": sum(a.went_on for a in resumed),
        "refused": sum(a.status in checks.NOT_RUN for a in resumed),
        "counted": len(checks.count_taken_up(record)[0]),
        "joined": len(list(checks.one_version(record))),
        "broken": len(broken),
    }
    print(json.dumps(counts), flush=True)
    if broken:
        (folder / "broken.txt").write_text("\n".join(broken) + "\n")
        print(f"seed {seed}: {broken[0]} (all in {folder})", flush=True)
    else:
        shutil.rmtree(folder)
    return not broken


def run(
    seed: int | None = None,
    fresh: float = 0.0,
    seconds: float = 30.0,
    hosts: int = 6,
    servers: int = 5,
    timed: bool = True,
    kinds: str | tuple[str, ...] = (),
) -> None:
    """Play a seed, or fresh seeds for so many seconds; exit 1 on a broken promise.

    Without ``timed``, bounds in time are not checked, as on a machine that is too
    busy for them. ``kinds`` names the faults to draw from, separated by commas.
    """
    until = time.monotonic() + fresh
    # The command line makes a tuple of names that are separated by commas.
    chosen = (kinds,) if isinstance(kinds, str) else tuple(kinds)
    seeds = [seed] if seed is not None else []
    good = True
    while seeds or time.monotonic() < until:
        number = seeds.pop() if seeds else random.randrange(1_000_000_000)
        good &= _one(number, seconds, hosts, servers, timed, chosen or schedule.KINDS)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    fire.Fire(run)
