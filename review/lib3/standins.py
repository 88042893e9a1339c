"""Stand in for the platform's store, its servers and its clients, and run hosts.

Everything but the hosts lives in one process, on loopback and the real clock. Only the
standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOSTNAME = "calls.example"
KEY = "key-of-the-tenant"
TENANT = "tenant-one"
HEARTBEAT_S = 1.2
ANSWER_S = 0.004  # the store's usual time for an answer
READY_S = 30.0
PAGE_ROWS = 500
REASONS = {200: "OK", 202: "Accepted", 412: "Precondition Failed", 503: "Unavailable"}


def free_port(ip):
    """Return a port of an address at which nothing listens."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = path.open("w")
        self.since = time.monotonic()

    def __call__(self, text):
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.since:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Return the first line, the headers and the body of a request."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def head(status, headers):
    """Return the bytes of a response's head."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def serve(address, handle):
    """Serve connections at ``ip:port``; ``handle`` serves one until it returns."""

    async def connected(reader, writer):
        with contextlib.suppress(
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            await handle(reader, writer)
        writer.close()

    ip, _, port = address.rpartition(":")
    return await asyncio.start_server(connected, ip, int(port), limit=2**17)


class Store:
    """Keep the platform's rows; ``answer_s`` is its time for each answer."""

    def __init__(self, record):
        self.record = record
        self.address = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.rows = {}
        self.log = []
        self.version = 0
        self.answer_s = ANSWER_S
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        """Begin to serve, or start the process."""
        self.server = await serve(self.address, self.handle)

    def now_ms(self):
        """Return the store's steady clock."""
        return round(time.monotonic() * 1000, 3)

    def put(self, table, key, value, part=""):
        """Change one row as the operator or a server does."""
        data = None if value is None else json.dumps(value).encode()
        self.apply({(table, part, key): data})

    def apply(self, puts):
        """Change rows in one transaction."""
        self.version += 1
        for address, value in puts.items():
            self.log.append((self.version, address, value))
            if value is None:
                self.rows.pop(address, None)
            else:
                self.rows[address] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, reader, writer):
        """Serve the requests of one connection."""
        while True:
            first, _, body = await read_message(reader)
            target = first.split(" ")[1]
            path, _, query = target.partition("?")
            given = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            await asyncio.sleep(self.answer_s)
            if path == "/-/rows-tx":
                status, answer = self.transact(json.loads(body))
            elif path == "/-/rows-get":
                status, answer = 200, self.read(given)
            elif path == "/-/rows-feed":
                status, answer = 200, await self.feed(given)
            else:
                status, answer = 404, {}
            data = json.dumps(answer).encode()
            headers = {"Content-Type": "application/json", "Content-Length": len(data)}
            writer.write(head(status, headers) + data)
            await writer.drain()

    def transact(self, body):
        """Return the answer to a transaction."""
        found = []
        held = True
        for entry in body["expect"]:
            address = (entry["table"], entry.get("part", ""), entry["key"])
            version, value = self.rows.get(address, (0, None))
            held = held and version == entry["schemaVersion"]
            if value is not None:
                found.append(self.encode(address, version, value))
        times = {"schemaVersion": self.version, "nowMs": self.now_ms()}
        if not held:
            return 412, {"rows": found} | times
        puts = {
            (e["table"], e.get("part", ""), e["key"]): base64.b64decode(e["value"])
            for e in body["put"]
        }
        puts |= {
            (e["table"], e.get("part", ""), e["key"]): None for e in body["remove"]
        }
        self.apply(puts)
        return 200, times | {"schemaVersion": self.version}

    def read(self, given):
        """Return the answer to a read."""
        keys = sorted(
            address
            for address in self.rows
            if address[:2] == (given["table"], given.get("part", ""))
            and address[2] >= given.get("from", "")
            and (not given.get("to") or address[2] < given["to"])
        )
        limit = min(PAGE_ROWS, int(given.get("limit", PAGE_ROWS)))
        rows = []
        size = 0
        for address in keys[:limit]:
            row = self.encode(address, *self.rows[address])
            size += len(row["value"])
            if rows and size > 1_000_000:
                break
            rows.append(row)
        more = len(rows) < len(keys)
        return self.page(rows) | {"hasMore": more}

    async def feed(self, given):
        """Return the answer to a long poll for changes."""
        after, table = int(given["after"]), given["table"]
        until = time.monotonic() + int(given["waitMs"]) / 1000
        while True:
            latest = {}
            for version, address, value in reversed(self.log):
                if version <= after:
                    break
                if address[0] == table:
                    latest.setdefault(address, (version, value))
            left = until - time.monotonic()
            if latest or left <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        found = sorted(latest.items(), key=lambda entry: entry[1][0])
        return self.page([self.encode(address, *row) for address, row in found])

    def page(self, rows):
        """Return a body with rows."""
        return {"rows": rows, "schemaVersion": self.version, "nowMs": self.now_ms()}

    @staticmethod
    def encode(address, version, value):
        """Return a row as the store's answers hold it."""
        table, part, key = address
        row = {"table": table, "part": part, "key": key, "schemaVersion": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}


class Server:
    """Serve streams of numbered events, as a model server does.

    ``text(item, n)`` is the data of an event. ``runs`` holds, of each request that it
    began to work on, the id, the time and the event after which it goes on.
    """

    def __init__(self, world, name, service, events=30, event_s=0.02, slots=8):
        self.world, self.name, self.service = world, name, service
        self.events, self.event_s, self.slots = events, event_s, slots
        self.address = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.born = int(time.time() * 1000)
        self.text = lambda item, n: f"{item}.{n}"
        self.grey = lambda item: False  # requests that it works on and then fails
        self.grey_status = 503
        self.runs = []
        self.writers = set()
        self.running = 0
        self.listener = None
        self.beats = None

    async def start(self):
        """Begin to serve, or start the process."""
        self.listener = await serve(self.address, self.handle)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        """Write the entry at each heartbeat."""
        while True:
            self.world.store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self):
        """Return the registration."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def crash(self):
        """End as a killed process does: all channels close, and nothing listens."""
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.world.record(f"server {self.name} of {self.service} crashes")

    async def handle(self, reader, writer):
        """Serve the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                await self.answer(first.split(" ")[1], headers, reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, target, headers, reader, writer):
        """Answer one request."""
        item = headers.get("x-request-id", "")
        if target == "/-/report":
            data = json.dumps({"stage": "both", "born": self.born}).encode()
            writer.write(head(200, {"Content-Length": len(data)}) + data)
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            named = {"X-Instance-Id": self.name, "X-Request-Id": item}
            writer.write(head(421, named | {"Content-Length": 0}))
            return
        if self.running >= self.slots:
            named = {"X-Not-Executed": 1, "X-Request-Id": item}
            writer.write(head(503, named | {"Content-Length": 0}))
            return
        self.running += 1
        after = int(headers.get("last-event-id", 0))
        self.runs.append((item, time.monotonic(), after))
        self.world.record(
            f"server {self.name} of {self.service} runs {item} after {after}"
        )
        try:
            await self.work(item, after, writer)
        finally:
            self.running -= 1

    async def work(self, item, after, writer):
        """Send the stream of one request."""
        named = {"X-Request-Id": item, "X-Server-Stamp": f"stamp.{self.name}"}
        if self.grey(item):
            await asyncio.sleep(self.event_s)
            self.world.record(
                f"server {self.name} fails {item} with {self.grey_status}"
            )
            writer.write(head(self.grey_status, named | {"Content-Length": 0}))
            await writer.drain()
            return
        named |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head(200, named))
        for n in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {n}\ndata: {self.text(item, n)}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Host:
    """Run one host of the system, as the deploy file says."""

    def __init__(self, world, number, memory_mb=170):
        self.world, self.number = world, number
        self.name = f"edge-{number}"
        self.ip = f"127.0.1.{number}"
        self.callers, self.health, self.peers, self.metrics = (
            free_port(self.ip) for _ in range(4)
        )
        self.settings = world.folder / f"{self.name}.json"
        # What the template of the deploy file gives with the settings of a small site.
        self.settings.write_text(
            json.dumps(
                {
                    "host_id": self.name,
                    "failure_domain": "zone-a",
                    "listen": {
                        "callers": f"{self.ip}:{self.callers}",
                        "health": f"{self.ip}:{self.health}",
                        "peers": f"{self.ip}:{self.peers}",
                        "metrics": f"{self.ip}:{self.metrics}",
                    },
                    "store": {"url": f"http://{world.store.address}"},
                    "batch": {"keep_s": 120},
                    "stop": {"grace_s": 8},
                    "quota": {"overshoot": 0.1, "window_s": 5},
                    "processor": {"cores": 0.717},
                    "memory": {"limit_mb": memory_mb},
                    "scheduling": {
                        "fair_shares": True,
                        "waiting_room": True,
                        "learned_speeds": True,
                        "switch_late": True,
                    },
                }
            )
        )
        self.log = world.folder / f"{self.name}.log"
        self.process = None

    def start(self):
        """Begin to serve, or start the process."""
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "turmerictally.platform"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
                env=kept
                | {
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TURMERICTALLY_SETTINGS": str(self.settings),
                },
            )
        self.world.record(f"host {self.name} starts")

    @property
    def running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    async def ready(self):
        """Return whether the host counts as ready."""
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await ask(
                    f"{self.ip}:{self.health}", "GET", "/-/readiness"
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def signal(self, number):
        """Send a signal to the process."""
        if self.running:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.world.record(f"host {self.name} is killed")


async def ask(address, method, target, headers=None, body=b"", pace=None):
    """Make one request on a new channel; return status, headers and body.

    ``pace`` is the bytes and the seconds of each read of a client that reads slowly.
    """
    ip, _, port = address.rpartition(":")
    limit = 2**22 if pace is None else 2**13
    reader, writer = await asyncio.open_connection(ip, int(port), limit=limit)
    try:
        named = {"Host": HOSTNAME} | (headers or {})
        if method == "POST":
            named["Content-Length"] = str(len(body))
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in named.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        raw = await reader.readuntil(b"\r\n\r\n")
        first, *rest = raw.decode("latin-1").split("\r\n")[:-2]
        got = {x.partition(":")[0].lower(): x.partition(":")[2].strip() for x in rest}
        length = int(got.get("content-length", 0))
        data = b""
        if got.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                data += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        while pace is not None and len(data) < length:
            size, seconds = pace
            data += await reader.readexactly(min(size, length - len(data)))
            await asyncio.sleep(seconds)
        if pace is None and length:
            data = await reader.readexactly(length)
        return int(first.split(" ")[1]), got, data
    finally:
        writer.close()


class World:
    """Hold one deployment and its record."""

    def __init__(self, case):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.record = Record(pathlib.Path(case) / "record.txt")
        self.store = Store(self.record)
        self.hosts = []
        self.servers = []
        self.version = 0

    def configure(self, service, **batch):
        """Write the next config, which sends the batch route to a service."""
        self.version += 1
        common = {"hostname": HOSTNAME, "public": False, "priority": 0}
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": [
                    common
                    | {
                        "name": "batch",
                        "prefix": "/lots/",
                        "kind": "batch",
                        "timeoutMs": 15000,
                        "targetLatencyMs": 400,
                        "completionTargetMs": 18000,
                        "retentionS": 60,
                        "maxAttempts": 3,
                        "maxCount": 550000,
                        "service": service,
                    }
                    | batch,
                    common
                    | {
                        "name": "note",
                        "prefix": "/note/",
                        "kind": "streaming",
                        "timeoutMs": 5000,
                        "targetLatencyMs": 300,
                        "gapTargetMs": 300,
                        "resumable": False,
                        "sticky": True,
                        "maxAttempts": 1,
                        "service": service,
                    },
                ],
                "services": [
                    {"name": name, "healthPath": "/healthz", "maxConnections": 370}
                    for name in sorted({s.service for s in self.servers} | {service})
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
            },
        )
        self.record(f"config {self.version}: /lots/ goes to {service}")

    async def start(self, hosts, **more):
        """Begin to serve, or start the process."""
        await self.store.start()
        for server in self.servers:
            await server.start()
        for number in range(1, hosts + 1):
            self.hosts.append(Host(self, number, **more))
            self.hosts[-1].start()
        async with asyncio.timeout(READY_S):
            for host in self.hosts:
                while not await host.ready():
                    await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        self.record("all hosts are ready")

    async def submit(self, host, job, items, tokens=400):
        """Hand in a batch job; return the status."""
        listed = [
            {
                "id": item,
                "path": f"/lots/run/{item}",
                "headers": {"X-Model": "m", "X-Token-Usage": "200,200"},
                "body": base64.b64encode(f"prompt of {item}".encode()).decode(),
                "tokenCount": tokens,
            }
            for item in items
        ]
        body = json.dumps({"items": listed}).encode()
        headers = self.named() | {"X-Request-Id": job, "X-Deadline-Ms": "4000"}
        address = f"{host.ip}:{host.callers}"
        status, _, _ = await ask(address, "POST", f"/lots/{job}", headers, body)
        self.record(f"job {job} with {len(items)} items at {host.name}: {status}")
        return status

    async def results(self, host, job, after=0, **more):
        """Return the status and the body of a read of results."""
        status, _, data = await ask(
            f"{host.ip}:{host.callers}",
            "GET",
            f"/-/lots/{job}?after={after}",
            self.named(),
            **more,
        )
        return status, json.loads(data) if status == 200 else {}

    @staticmethod
    def named():
        """Return the headers that carry the key."""
        return {"Authorization": f"Bearer {KEY}"}

    def stop(self):
        """End everything that was started."""
        for host in self.hosts:
            if host.running:
                host.process.kill()
                host.process.wait()
        self.record.file.close()
        self.temporary.cleanup()


def run(case, play, seconds=100.0):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def main():
        # A script that is told to end ends what it started.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        world = World(case)
        try:
            async with asyncio.timeout(seconds):
                return await play(world)
        except (Exception, asyncio.CancelledError) as error:
            world.record(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            world.stop()

    sys.exit(asyncio.run(main()))
