"""Stand in for the platform's store, model servers and clients on loopback.

Everything here runs in the process of a script; the hosts under test are separate
processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
IP = "127.0.0.1"
HOSTNAME = "calls.example"
HEARTBEAT_S = 1.2
ANSWER_S = 0.004  # of the store
READY_S = 30.0
STRIDE = 6  # tokens of an event
UNFRAMED = "u"  # begins the ids of requests whose answers have no length
PR_SET_PDEATHSIG = 1
# Exit code of a play; an error of Python itself ends with 1.
BROKEN = 10
LIBC = ctypes.CDLL(None)
GIVEN_PORTS = set()


def free_port():
    """Return a port below those that the system gives out by itself."""
    while True:
        port = random.randrange(20_000, 32_000)
        if port in GIVEN_PORTS:
            continue
        with (
            socket.socket() as probe,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
            contextlib.suppress(OSError),
        ):
            probe.bind((IP, port))
            datagrams.bind((IP, port))
            GIVEN_PORTS.add(port)
            return port


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text):
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Return the first line, headers and body of a message with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if length := int(headers.get("content-length", 0)):
        body = await reader.readexactly(length)
    return first, headers, body


def message(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """Stand in for the platform's store, with a change feed.

    A call takes effect halfway through ``answer_s``. Of the writes of hosts, the ratio
    ``lose`` is done and not answered.
    """

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.answer_s = ANSWER_S
        self.lose = 0.0
        self.rng = random.Random(1)
        self.changed = asyncio.Event()
        self.address = ""
        # Per channel: the address that it came to, and its latest call.
        self.calls = {}
        self.silent = set()

    async def run(self):
        """Listen for hosts."""
        self.address = await self.listen()

    async def listen(self):
        """Listen for one or more hosts at an address of their own; return it."""
        port = free_port()
        address = f"{IP}:{port}"

        async def serve(reader, writer):
            await self._serve(reader, writer, address)

        await asyncio.start_server(serve, IP, port)
        return address

    def silence(self, address, call):
        """Let the open channels of an address, whose latest call is this, go silent."""
        self.silent |= {
            writer
            for writer, (came_to, first) in self.calls.items()
            if came_to == address and call in first
        }
        return len(self.silent)

    def put(self, table, key, value, part=""):
        """Write one row, as the operator or a server does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{"table": table, "part": part, "key": key, "value": data}], [])

    def remove(self, table, key, part=""):
        """Remove one row."""
        self._apply([], [{"table": table, "part": part, "key": key}])

    def _apply(self, puts, removes):
        self.version += 1
        for row in puts:
            address = (row["table"], row["part"], row["key"])
            named = dict(zip(("table", "part", "key"), address, strict=True))
            self.rows[address] = named | {
                "value": row["value"],
                "schemaVersion": self.version,
            }
            self.log.append(self.rows[address])
        for row in removes:
            address = (row["table"], row["part"], row["key"])
            named = dict(zip(("table", "part", "key"), address, strict=True))
            self.rows.pop(address, None)
            self.log.append(named | {"tombstone": True, "schemaVersion": self.version})
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer, address):
        try:
            while True:
                first, _, body = await read_message(reader)
                self.calls[writer] = (address, first)
                await asyncio.sleep(self.answer_s / 2)
                status, answer = await self._answer(first, body)
                await asyncio.sleep(self.answer_s / 2)
                if status is None or writer in self.silent:
                    # The response is lost, and the channel delivers nothing further.
                    await reader.read()
                    return
                data = json.dumps(answer).encode()
                headers = [("Content-Type", "application/json")]
                writer.write(message(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            # The host has closed its channel.
            pass
        finally:
            self.calls.pop(writer, None)
            writer.close()

    async def _answer(self, first, body):
        target = urllib.parse.urlsplit(first.split(" ")[1])
        given = dict(urllib.parse.parse_qsl(target.query))
        if target.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if target.path == "/-/rows-get":
            return 200, self._page(given)
        return 200, await self._changes(given)

    def _named(self, **fields):
        now_ms = round(time.monotonic() * 1000)
        return fields | {"schemaVersion": self.version, "nowMs": now_ms}

    def _transact(self, given):
        found, same = [], True
        for row in given["expect"]:
            held = self.rows.get((row["table"], row["part"], row["key"]))
            found += [held] if held else []
            version = held["schemaVersion"] if held else 0
            same = same and version == row["schemaVersion"]
        if not same:
            return 412, self._named(rows=found)
        self._apply(given.get("put", []), given.get("remove", []))
        if self.rng.random() < self.lose:
            return None, {}
        return 200, self._named()

    def _page(self, given):
        start, end = given.get("from", ""), given.get("to", "")
        limit = min(500, int(given.get("limit", 500)))
        place = (given["table"], given.get("part", ""))
        keys = sorted(
            address[2]
            for address in self.rows
            if address[:2] == place
            and address[2] >= start
            and (not end or address[2] < end)
        )
        found = [self.rows[(*place, key)] for key in keys[:limit]]
        return self._named(rows=found, hasMore=len(keys) > limit)

    async def _changes(self, given):
        table, after = given["table"], int(given["after"])
        ends_at = time.monotonic() + int(given.get("waitMs", 0)) / 1000
        while True:
            found = [
                row
                for row in self.log
                if row["schemaVersion"] > after and row["table"] == table
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return self._named(rows=found)
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()


class Server:
    """Stand in for a model server with 8 slots and a queue.

    ``runs`` holds, for each request that it began to work on, the id and the seconds
    at which it arrived, began and ended.
    """

    def __init__(self, store, name, record, *, service="llm", event_s=0.015):
        self.store, self.name, self.record = store, name, record
        self.service, self.event_s = service, event_s
        self.zone = "a"
        self.writers = set()
        self.last_requests = {}
        self.listener = None
        self.slots = asyncio.Semaphore(8)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.address = f"{IP}:{free_port()}"
        self.runs = []

    async def run(self):
        """Listen for hosts, and keep the registration up to date."""
        await self.accept()
        while True:
            self.sequence += 1
            value = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            self.store.put("servers", self.name, value)
            await asyncio.sleep(HEARTBEAT_S)

    async def accept(self):
        """Accept new channels."""
        ip, port = self.address.split(":")
        self.listener = await asyncio.start_server(self._serve, ip, int(port))

    def refuse(self):
        """Refuse new channels; open ones live on."""
        self.listener.close()

    def reset(self, prefix):
        """Reset the channels whose last request had an id with this prefix."""
        for writer in list(self.writers):
            if self.last_requests.get(writer, "").startswith(prefix):
                writer.transport.abort()

    async def lose(self, beat):
        """End for good; ``beat`` is the task that runs the server.

        The store removes the registration after three heartbeats of silence.
        """
        beat.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove("servers", self.name)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                _, headers, _ = await read_message(reader)
                arrived_at = self.record.now()
                if headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 X", []))
                    continue
                self.last_requests[writer] = headers["x-request-id"]
                closed = asyncio.ensure_future(reader.read(1))
                work = asyncio.ensure_future(self._work(writer, headers, arrived_at))
                # A server drops a request when its channel closes.
                await asyncio.wait({closed, work}, return_when="FIRST_COMPLETED")
                if closed.done():
                    work.cancel()
                    await asyncio.gather(closed, work, return_exceptions=True)
                    self.record.write(f"{self.name} drops {headers['x-request-id']}")
                    return
                closed.cancel()
                await asyncio.gather(closed, return_exceptions=True)
                work.result()
                if headers["x-request-id"].startswith(UNFRAMED):
                    return
        except (OSError, asyncio.IncompleteReadError):
            # The host has closed its channel.
            pass
        finally:
            self.writers.discard(writer)
            self.last_requests.pop(writer, None)
            writer.close()

    async def _work(self, writer, headers, arrived_at):
        request = headers["x-request-id"]
        async with self.slots:
            self.record.write(
                f"{self.name} runs {request}, which arrived at {arrived_at:.3f}"
            )
            run = [request, arrived_at, self.record.now(), float("inf")]
            self.runs.append(run)
            try:
                await self._stream(writer, request, headers)
            finally:
                run[3] = self.record.now()
            self.record.write(f"{self.name} completes {request}")

    async def _stream(self, writer, request, headers):
        framed = not request.startswith(UNFRAMED)
        named = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request}",
            f"X-Server-Stamp: {self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked" if framed else "Connection: close",
        ]
        writer.write("\r\n".join([*named, "", ""]).encode())
        events = int(headers["x-token-usage"].split(",")[1]) // STRIDE
        for number in range(int(headers.get("last-event-id", 0)), events):
            await asyncio.sleep(self.event_s)
            event = f"id: {number + 1}\ndata: {request}-{number + 1}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event) if framed else event)
            await writer.drain()
        if framed:
            writer.write(b"0\r\n\r\n")


class Host:
    """Run one entry host as a process, as the deploy file says."""

    def __init__(self, folder, name, store_address, zone="a"):
        self.name, self.folder = name, pathlib.Path(folder)
        self.store_address = store_address
        ports = [free_port() for _ in range(4)]
        names = ("callers", "health", "peers", "metrics")
        self.listen = {
            each: f"{IP}:{port}" for each, port in zip(names, ports, strict=True)
        }
        self.settings = {
            "host_id": name,
            "failure_domain": zone,
            "listen": self.listen,
            "store": {"url": f"http://{store_address}"},
            "batch": {"keep_s": 120},
            "stop": {"grace_s": 8},
            "quota": {"overshoot": 0.1, "window_s": 5},
            "processor": {"cores": 2.15},
            "memory": {"limit_mb": 330},
            "scheduling": {
                "fair_shares": True,
                "waiting_room": True,
                "learned_speeds": True,
                "switch_late": True,
            },
        }
        self.process = None

    def start(self):
        """Start the process."""
        path = self.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        kept = {"PATH", "HOME", "LANG"}
        environment = {k: v for k, v in os.environ.items() if k in kept}
        environment |= {
            "TURMERICTALLY_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL),
            )

    async def ready(self):
        """Wait until the host reports that it is ready."""
        ends_at = time.monotonic() + READY_S
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await call(self.listen["health"], "GET", "/-/readiness")
                if answer[0] == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready after {READY_S} s")

    def send(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class CannotRunError(Exception):
    """Report that the case could not be played."""


async def call(address, method, path, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new channel; return the status and the body."""
    ip, port = address.split(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            given = [("Host", HOSTNAME), *headers]
            writer.write(message(f"{method} {path} HTTP/1.1", given, body))
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()


def configuration(routes, tenants):
    """Return a configuration."""
    return {
        "version": 1,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 230}
            for name in sorted({route["service"] for route in routes})
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }


BATCH_ROUTE = {
    "name": "batch",
    "hostname": HOSTNAME,
    "prefix": "/night/",
    "kind": "batch",
    "timeoutMs": 15000,
    "targetLatencyMs": 500,
    "completionTargetMs": 18000,
    "retentionS": 60,
    "maxAttempts": 3,
    "priority": 2,
    "service": "llm",
    "sticky": True,
    "resumable": True,
    "gapTargetMs": 250,
    "maxCount": 0,
}


def job_body(job, items, prefix="/night/"):
    """Return the body that submits a batch job of so many items."""
    return json.dumps(
        {
            "items": [
                {
                    "id": f"{job}i{n:02d}",
                    "path": f"{prefix}{n}",
                    "headers": {
                        "X-Model": "m",
                        "X-Token-Usage": f"350,{219 * STRIDE}",
                        "X-Prompt-Prefix": f"{n % 10:x}a:100,{job}{n:02d}:250",
                    },
                    "body": base64.b64encode(b"text").decode(),
                    "tokenCount": 1664,
                }
                for n in range(items)
            ]
        }
    ).encode()


async def submit(record, host, job, items, key, prefix="/night/"):
    """Submit a batch job, which must be accepted."""
    headers = [*key, ("X-Request-Id", job), ("Content-Type", "application/json")]
    status, _ = await call(
        host.listen["callers"],
        "POST",
        f"{prefix}jobs",
        headers,
        job_body(job, items, prefix),
    )
    record.write(f"{host.name} answers {status} to the batch job {job}")
    if status != 202:
        raise CannotRunError("a batch job was not accepted")


async def results(host, job, key):
    """Return a batch job's results."""
    found = []
    while True:
        path = f"/-/lots/{job}?after={len(found)}"
        status, body = await call(host.listen["callers"], "GET", path, key)
        if status != 200:
            raise CannotRunError(f"{status} for the results of {job}")
        page = json.loads(body)["results"]
        if not page:
            return found
        found += page


def play(script, case):
    """Run a script's coroutine in a temporary folder, and exit with its result."""
    record = Record(case)
    with tempfile.TemporaryDirectory() as folder:
        hosts = []
        loop = asyncio.new_event_loop()
        # The stand-ins still wait for calls when the script ends.
        loop.set_exception_handler(lambda *_: None)
        try:
            broken = loop.run_until_complete(script(record, folder, hosts))
            record.write("the rule was broken" if broken else "the rule held")
            code = BROKEN if broken else 0
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            code = 2
        finally:
            for host in hosts:
                host.send(signal.SIGKILL)
                if host.process is not None:
                    host.process.wait()
            if kept := os.environ.get("KEEP_LOGS"):
                for path in pathlib.Path(folder).iterdir():
                    (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())
    # Without this, objects of the loop complain as the interpreter ends.
    os._exit(code)
