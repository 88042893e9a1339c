"""Lose the one server of a service while batch jobs of two services wait."""

import asyncio
import os
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS, ITEMS = 3, 10
SERVERS = {"llm-lost": 1, "llm-sound": 2}
LOST_JOBS, SOUND_JOBS = 4, 6
TRAFFIC_S, FINISH_S, CALM_S, IDLE_S = 6.0, 18.0, 5.0, 3.0
KEY = [("Authorization", "Bearer key-of-the-shop"), ("X-Deadline-Ms", "4000")]
LOST, SOUND = "/lost/", "/sound/"  # prefixes of the two routes


def route(prefix, service):
    """Return a batch route."""
    return standins.BATCH_ROUTE | {
        "name": service,
        "prefix": prefix,
        "service": service,
    }


async def script(record, folder, hosts):
    """Play the case; return whether the rule was broken."""
    store = standins.Store()
    await store.run()
    tenant = {"name": "shop", "apiKeys": ["key-of-the-shop"], "ratePerS": 0}
    routes = [route(LOST, "llm-lost"), route(SOUND, "llm-sound")]
    store.put("op", "config", standins.configuration(routes, [tenant]))
    servers = {}
    for service, count in SERVERS.items():
        for n in range(count):
            server = standins.Server(store, f"{service}-{n}", record, service=service)
            server.zone = "b" if service == "llm-lost" else "a"
            servers[server] = asyncio.ensure_future(server.run())
    hosts += [standins.Host(folder, f"h{n}", store.address) for n in range(HOSTS)]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.ready()
    await asyncio.sleep(2.0)
    for n, host in enumerate(hosts):
        await standins.submit(record, host, f"f{n}a", 2, KEY, SOUND)
        await standins.submit(record, host, f"f{n}b", 2, KEY, LOST)
    await asyncio.sleep(6.0)
    if TROUBLE:
        record.write("the server of llm-lost is lost for good")
        lost = [s.lose(task) for s, task in servers.items() if s.service == "llm-lost"]
        await asyncio.gather(*lost)
    await asyncio.sleep(1.0)
    begun_at = record.now()
    for n in range(LOST_JOBS):
        await standins.submit(record, hosts[1 + n % 2], f"10{n}", ITEMS, KEY, LOST)
        await asyncio.sleep(0.2)
    sound = [f"50{n}" for n in range(SOUND_JOBS)]
    for n, job in enumerate(sound):
        await standins.submit(record, hosts[n % 3], job, ITEMS, KEY, SOUND)
    await asyncio.sleep(max(0.0, begun_at + TRAFFIC_S - record.now()))
    record.write("the traffic ends")
    finish_at = record.now() + FINISH_S
    await asyncio.sleep(FINISH_S)
    record.write("the time to finish is over")
    runs = [run for server in servers for run in server.runs]
    finished = max((ended for *_, ended in runs if ended <= finish_at), default=0.0)
    record.write(f"the last run of any item ended at {finished:.3f}")
    broken = False
    for job in sound:
        listed = await standins.results(hosts[0], job, KEY)
        held = [run for run in runs if run[0].startswith(job)]
        last = max((min(ended, finish_at) for *_, ended in held), default=0.0)
        record.write(
            f"{job}: {len(listed)} of {ITEMS} items are listed; {len(held)} runs at "
            f"servers, the last ended at {last:.3f}"
        )
        idle = last < finish_at - CALM_S and finished < finish_at - IDLE_S
        broken = broken or (len(listed) < ITEMS and idle)
    for task in servers.values():
        task.cancel()
    return broken


standins.play(script, CASE)
