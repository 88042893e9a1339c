"""End batch jobs while other hosts take them over from a host that was killed."""

import asyncio
import os
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS, SERVERS = 7, 3
EARLIER_JOBS, LATER_JOBS, ITEMS = 8, 40, 10
SLOW_X, SLOW_S = 60, 4.5
ENDS_S = 3.0  # in which the client ends its jobs, one after the other
CANCEL_S, STABLE_S = 3.0, 3.0
KEY = [("Authorization", "Bearer key-of-the-shop"), ("X-Deadline-Ms", "4000")]


async def end(record, hosts, job, ended, after_s):
    """End a batch job, at another host after each failure."""
    await asyncio.sleep(after_s)
    for host in hosts:
        record.write(f"the client ends {job} at {host.name}")
        status = 0
        try:
            status, _ = await standins.call(
                host.listen["callers"], "DELETE", f"/-/lots/{job}", KEY
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.write(f"{host.name} gives no answer to the end of {job}: {error!r}")
        if status == 200:
            ended[job] = record.now()
            record.write(f"{host.name} answers 200 to the end of {job}")
            return
        record.write(f"{host.name} answers {status} to the end of {job}")


async def script(record, folder, hosts):
    """Play the case; return whether the rule was broken."""
    store = standins.Store()
    await store.run()
    tenant = {"name": "shop", "apiKeys": ["key-of-the-shop"], "ratePerS": 0}
    store.put("op", "config", standins.configuration([standins.BATCH_ROUTE], [tenant]))
    servers = [standins.Server(store, f"s{n}", record) for n in range(SERVERS)]
    tasks = [asyncio.ensure_future(server.run()) for server in servers]
    hosts += [standins.Host(folder, f"h{n}", store.address) for n in range(HOSTS)]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.ready()
    await asyncio.sleep(3.0)
    # Jobs of other clients keep the servers busy for some 12 s.
    for n in range(EARLIER_JOBS):
        host = hosts[1 + n % (HOSTS - 1)]
        await standins.submit(record, host, f"ea{n:02x}", ITEMS, KEY)
    later = [f"1a{n:02x}" for n in range(LATER_JOBS)]
    for job in later:
        await standins.submit(record, hosts[0], job, ITEMS, KEY)
    await asyncio.sleep(0.5)
    slow_until = record.now()
    if TROUBLE:
        record.write(f"the store answers {SLOW_X} times as slowly; h0 is killed")
        store.answer_s *= SLOW_X
        slow_until += SLOW_S
        hosts[0].send(signal.SIGKILL)
    # Other hosts take the jobs of h0 over meanwhile.
    await asyncio.sleep(1.2)
    ended = {}
    ends = [
        end(record, hosts[1 + n % 6 :] + hosts[1:], job, ended, n * ENDS_S / LATER_JOBS)
        for n, job in enumerate(later)
    ]
    whole = asyncio.gather(*ends)
    await asyncio.sleep(max(0.0, slow_until - record.now()))
    store.answer_s = standins.ANSWER_S
    record.write("the store answers as usual")
    await whole
    await asyncio.sleep(22.0)
    for task in tasks:
        task.cancel()
    broken = False
    for server in servers:
        for request, arrived_at, _, _ in server.runs:
            acked_at = ended.get(request[:4])
            if acked_at is None:
                continue
            late_s = arrived_at - acked_at
            if late_s > CANCEL_S and arrived_at > slow_until + STABLE_S:
                record.write(
                    f"{request} ran at {server.name} though it arrived {late_s:.3f} s "
                    f"after the end of its batch job was acknowledged"
                )
                broken = True
    return broken


standins.play(script, CASE)
