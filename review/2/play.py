"""Stop a host that carries the streams of another one, which lost its paths."""

import asyncio
import os
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS, SERVERS = 2, 3
CLIENTS = 5  # of each host, that send short requests
CUTS, CUT_S = 2, 1.0
LONG, SHORT, ITEM = 250, 10, 219  # events of a stream
UNFRAMED_STREAMS, UNFRAMED_ITEMS = 3, 4  # streams after each cut
JOB = f"{standins.UNFRAMED}job"
KEY = [("Authorization", "Bearer key-of-the-shop"), ("X-Deadline-Ms", "5000")]
ROUTE = {
    "name": "stream",
    "hostname": standins.HOSTNAME,
    "prefix": "/day/",
    "kind": "streaming",
    "timeoutMs": 5000,
    "targetLatencyMs": 300,
    "priority": 0,
    "service": "llm",
    "maxAttempts": 1,
    "sticky": True,
    "resumable": False,
    "gapTargetMs": 250,
}


async def stream(record, host, request, events):
    """Send a request; return the status, the events and if the stream is complete."""
    usage = f"350,{events * standins.STRIDE}"
    given = [
        ("Host", standins.HOSTNAME),
        *KEY,
        ("X-Request-Id", request),
        ("X-Model", "m"),
        ("X-Token-Usage", usage),
        ("X-Prompt-Prefix", f"aa:100,{request}:250"),
    ]
    ip, port = host.listen["callers"].split(":")
    data = b""
    if events == LONG:
        record.write(f"the client sends {request} to {host.name}")
    try:
        async with asyncio.timeout(8.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(standins.message("POST /day/1 HTTP/1.1", given, b"text"))
            while part := await reader.read(65536):
                data += part
                if data.endswith(b"0\r\n\r\n") or b"Content-Length" in data:
                    break
            writer.close()
    except (OSError, TimeoutError) as error:
        record.write(f"the client's channel to {host.name} ends: {error!r}")
    status = int(data.split(b" ")[1]) if data else 0
    return status, data.count(b"\ndata: "), data.endswith(b"\r\n0\r\n\r\n")


async def short_requests(record, host, name, pause_s, counts):
    """Send short requests one after the other until cancelled."""
    number = 0
    while True:
        number += 1
        result = await stream(record, host, f"{name}{number:05d}", SHORT)
        counts[result] = counts.get(result, 0) + 1
        await asyncio.sleep(pause_s)


async def script(record, folder, hosts):
    """Play the case; return whether the rule was broken."""
    store = standins.Store()
    await store.run()
    tenant = {"name": "shop", "apiKeys": ["key-of-the-shop"], "ratePerS": 0}
    routes = [ROUTE, standins.BATCH_ROUTE]
    store.put("op", "config", standins.configuration(routes, [tenant]))
    servers = [
        standins.Server(store, f"s{n}", record, event_s=0.018) for n in range(SERVERS)
    ]
    tasks = [asyncio.ensure_future(server.run()) for server in servers]
    hosts += [
        standins.Host(folder, f"h{n}", store.address, zone="a" if n else "b")
        for n in range(HOSTS)
    ]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.ready()
    await asyncio.sleep(2.0)
    counts = {}
    for n, host in enumerate(hosts):
        for client in range(CLIENTS):
            name = f"h{n}c{client}r"
            task = short_requests(record, host, name, 0.1, counts)
            tasks.append(asyncio.ensure_future(task))
    await asyncio.sleep(9.0)
    record.write(f"short requests (status, events, complete): {counts}")
    streams = []
    for cut in range(CUTS):
        if TROUBLE:
            record.write("channels of h0 to servers are reset, new ones are refused")
            for server in servers:
                server.refuse()
                server.reset("h0")
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            for server in servers:
                await server.accept()
            record.write("new channels to servers are accepted again")
        streams += [
            asyncio.ensure_future(stream(record, hosts[0], f"u{cut}{n}", LONG))
            for n in range(UNFRAMED_STREAMS)
        ]
        await asyncio.sleep(0.1)
    await standins.submit(record, hosts[0], JOB, UNFRAMED_ITEMS, KEY)
    await asyncio.sleep(0.2)
    if TROUBLE:
        record.write("h1 gets SIGTERM")
        hosts[1].send(signal.SIGTERM)
    broken = False
    for n, (status, events, complete) in enumerate(await asyncio.gather(*streams)):
        record.write(
            f"stream {n}: status {status}, {events} of {LONG} events, "
            f"{'complete' if complete else 'cut off'}"
        )
        broken = broken or (status == 200 and complete and events < LONG)
    await asyncio.sleep(8.0)
    for result in await standins.results(hosts[0], JOB, KEY):
        events = len(result["text"].splitlines())
        record.write(f"{result['id']}: {result['state']}, {events} of {ITEM} events")
        broken = broken or (result["state"] == "succeeded" and events < ITEM)
    record.write(f"short requests (status, events, complete): {counts}")
    for task in tasks:
        task.cancel()
    return broken


standins.play(script, CASE)
