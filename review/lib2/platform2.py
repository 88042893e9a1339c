"""Stand in for the users' platform on loopback: store, servers, clients and hosts.

Everything here speaks what the users' pages say: the row store of PROTOCOL.md, model
servers that register there, and clients. Entry hosts are the project's own processes,
started with the command and the template of ``deploy/system.toml``.
"""

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOSTNAME = "nony24.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TEAM = "kaje80"
BOUNDS = {
    "stableMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "quotaWindowS": 5,
    "quotaOvershoot": 0.1,
    "quotaSlack": 20,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "finishS": 18,
}
HEARTBEAT_S = 1.2
TX_S = 0.005
READY_S = 20.0
# Ports that the settings' template fixes, and those that hosts may choose from.
FIXED_PORTS = (9464, *range(7360, 7376))
DEATH_SIGNAL = 1  # of prctl


def free_port(ip):
    """Return a free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def is_free(ip):
    """Return whether the fixed ports of a loopback address are free."""
    for port in FIXED_PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def end_with_parent():
    """Let a started process end with the script, however that ends."""
    ctypes.CDLL(None).prctl(DEATH_SIGNAL, signal.SIGKILL)


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)  # noqa: SIM115
        self.lines = []
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def __call__(self, event, **fields):
        """Write one line."""
        line = {"t": round(self.now(), 3), "event": event} | fields
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")

    def of(self, event, **fields):
        """Return the lines of an event with these fields."""
        return [
            line
            for line in self.lines
            if line["event"] == event and fields.items() <= line.items()
        ]


# HTTP/1.1 of the stand-ins.


async def read_head(reader):
    """Return the first line and the headers of a message, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader):
    """Return the next chunk of a body, empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, headers):
    """Return the body of a message."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def reply(status, body=b"", headers=()):
    """Return a complete answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Listener:
    """Serve connections with ``serve`` until closed; ``reset`` breaks all of them."""

    def __init__(self, address, serve):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.serve = serve
        self.open = set()
        self.server = None
        self.cut = False

    async def start(self):
        """Begin to listen."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**24
        )

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            await self.serve(reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            pass
        finally:
            self.open.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    def reset(self):
        """Reset all open channels."""
        for writer in list(self.open):
            writer.transport.abort()

    def cut_off(self):
        """Leave all calls without an answer until the cut is healed."""
        self.cut = True

    def heal(self):
        """End a cut; what was sent meanwhile is lost with its channels."""
        self.cut = False
        self.reset()

    def close(self):
        """Stop listening and reset all channels."""
        if self.server is not None:
            self.server.close()
        self.reset()


class Store:
    """Keep versioned rows, as the platform's metadata store does."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # by table, part and key: value and version
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()
        self.listeners = []

    async def start(self, address):
        """Serve at one address."""
        listener = Listener(address, lambda *channel: self._serve(listener, *channel))
        await listener.start()
        self.listeners.append(listener)
        return listener

    def cut_off(self):
        """Go down: no call is answered, and entries neither come nor go."""
        for listener in self.listeners:
            listener.cut_off()

    def heal(self):
        """Come back; the servers register again."""
        for listener in self.listeners:
            listener.heal()

    def close(self):
        """Stop serving."""
        for listener in self.listeners:
            listener.close()

    def apply(self, puts, removes=()):
        """Apply a transaction; return its version."""
        self.version += 1
        for address, value in puts.items():
            self.rows[address] = value, self.version
            self.log.append((address, value, self.version))
        for address in removes:
            self.rows.pop(address, None)
            self.log.append((address, None, self.version))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    @property
    def down(self):
        """Return whether all its listeners are cut off."""
        return bool(self.listeners) and all(each.cut for each in self.listeners)

    def put(self, table, key, value):
        """Write a row as the operator or a server does, unless the store is down."""
        if self.down:
            return None
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        return self.apply({(table, "", key): encoded})

    def remove(self, table, key):
        """Remove a row as the operator or the platform does."""
        if (table, "", key) in self.rows and not self.down:
            self.apply({}, [(table, "", key)])

    async def _serve(self, listener, reader, writer):
        while (head := await read_head(reader)) is not None:
            first, headers = head
            body = await read_body(reader, headers)
            if listener.cut:
                await asyncio.sleep(60.0)
                return
            method, target, _ = first.split(" ")
            path, _, query = target.partition("?")
            given = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            if path == "/-/rows-tx":
                await asyncio.sleep(TX_S)
                status, answer = self._transact(json.loads(body))
            elif path == "/-/rows-get":
                status, answer = self._get(given)
            elif path == "/-/rows-feed":
                status, answer = await self._feed(given)
            else:
                status, answer = 404, {}
            if listener.cut:
                await asyncio.sleep(60.0)
                return
            writer.write(
                reply(
                    status,
                    json.dumps(answer).encode(),
                    [("Content-Type", "application/json")],
                )
            )
            await writer.drain()

    def _meta(self):
        return {"schemaVersion": self.version, "nowMs": time.monotonic() * 1000}

    def _row(self, address, value, version):
        table, part, key = address
        row = {"table": table, "part": part, "key": key, "schemaVersion": version}
        return row | ({"tombstone": True} if value is None else {"value": value})

    def _transact(self, call):
        def address(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        expected = {address(e): e["schemaVersion"] for e in call.get("expect", [])}
        found = {a: self.rows[a] for a in expected if a in self.rows}
        if any(v != found.get(a, ("", 0))[1] for a, v in expected.items()):
            rows = [self._row(a, *found[a]) for a in found]
            return 412, {"rows": rows} | self._meta()
        puts = {address(e): e["value"] for e in call.get("put", [])}
        self.apply(puts, [address(e) for e in call.get("remove", [])])
        return 200, self._meta()

    def _get(self, given):
        part, start, end = (given.get(n, "") for n in ("part", "from", "to"))
        keys = sorted(
            address
            for address in self.rows
            if address[:2] == (given["table"], part)
            and address[2] >= start
            and (not end or address[2] < end)
        )
        limit = min(500, int(given.get("limit", 500)))
        rows = [self._row(a, *self.rows[a]) for a in keys[:limit]]
        return 200, {"rows": rows, "hasMore": len(keys) > limit} | self._meta()

    async def _feed(self, given):
        after = int(given["after"])
        deadline = time.monotonic() + int(given.get("waitMs", 0)) / 1000
        while True:
            latest = {}
            for address, value, version in self.log:
                if version > after and address[0] == given["table"]:
                    latest.pop(address, None)
                    latest[address] = value, version
            left_s = deadline - time.monotonic()
            if latest or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)
        return 200, {
            "rows": [self._row(a, *found) for a, found in latest.items()]
        } | self._meta()


class Server:
    """Serve requests for tokens as a model server does, and register in the store.

    ``answer`` may be replaced to answer some requests in another way.
    """

    def __init__(self, world, name, service, address, *, slots=8, zone="zone-a"):
        self.world, self.name, self.service, self.address = (
            world,
            name,
            service,
            address,
        )
        self.slots, self.zone = slots, zone
        self.version = "v1"
        self.events, self.event_s = 20, 0.05
        self.free = asyncio.Semaphore(slots)
        self.listener = Listener(address, self._serve)
        self.beating = None
        self.sequence = 0

    async def start(self):
        """Serve and register."""
        self.born = int(time.time() * 1000)
        await self.listener.start()
        self.beating = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self, state="ready"):
        """Write the entry in the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.world.store.put("servers", self.name, entry)

    def crash(self):
        """End at once; the store removes the entry after three silent heartbeats."""
        self.beating.cancel()
        self.listener.close()
        self.world.record("server_crashed", server=self.name)
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._expire, self.born)

    def _expire(self, born):
        """Remove the entry, unless a later start has written it again."""
        if self.born == born:
            self.world.store.remove("servers", self.name)

    async def start_again(self):
        """Start under the same id and address, with nothing of before."""
        self.sequence = 0
        self.listener = Listener(self.address, self._serve)
        self.world.record("server_started", server=self.name)
        await self.start()

    async def _serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            first, headers = head
            body = await read_body(reader, headers)
            method, target, _ = first.split(" ")
            named = [("X-Request-Id", headers.get("x-request-id", ""))]
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(reply(421, b"", [*named, ("X-Not-Executed", "1")]))
                continue
            async with self.free:
                self.world.record(
                    "server_runs",
                    server=self.name,
                    service=self.service,
                    request=headers.get("x-request-id", ""),
                    target=target,
                    after=headers.get("last-event-id"),
                    tenant=headers.get("x-tenant"),
                )
                if not await self.answer(reader, writer, headers, body, named):
                    return

    def events_for(self, body):
        """Return how many events the answer to a prompt has."""
        return self.events

    def data_of(self, headers, number):
        """Return the data of an event."""
        return text_of(headers, number)

    def more_headers(self):
        """Return further headers of an answer."""
        return []

    async def answer(self, reader, writer, headers, body, named):
        """Send a stream of events; return whether the channel is kept."""
        named = [*named, ("X-Server-Stamp", f"stamp.{self.name}")]
        named += self.more_headers()
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in named]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head = "\r\n".join([*lines, "", ""]).encode()
        first = int(headers.get("last-event-id", 0)) + 1
        started_at = time.monotonic()
        for number in range(first, self.events_for(body) + 1):
            due_at = started_at + (number + 1 - first) * self.event_s
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            if writer.transport.is_closing() or reader.at_eof():
                return False
            data = self.data_of(headers, number)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(head + b"%x\r\n%b\r\n" % (len(event), event))
            head = b""
            await writer.drain()
        writer.write(head + b"0\r\n\r\n")
        await writer.drain()
        return True


def text_of(headers, number):
    """Return the data of an event."""
    return f"{headers.get('x-request-id', '')}-{number}"


class Host:
    """Run one entry host as a process, with the deploy file's command and template."""

    def __init__(self, world, number, zone="zone-a"):
        self.world = world
        self.name = f"edge-{zone}-{number}"
        self.ip = f"{world.net}.{10 + number}"
        self.zone = zone
        self.store_address = world.address(110 + number)
        if not is_free(self.ip):
            raise RuntimeError(f"ports of {self.ip} are in use")
        ports = set()
        while len(ports) < 3:
            ports.add(free_port(self.ip))
        self.front, self.readiness, self.control = (f"{self.ip}:{p}" for p in ports)
        self.store = None  # the listener at which this host reaches the store
        self.process = None
        self.lines = []
        self.reading = None
        self.touched_at = 0.0

    def fields(self):
        """Return the fields that the platform fills into the template."""
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {
                "front": self.front,
                "readiness": self.readiness,
                "control": self.control,
            },
            "portRange": [7360, 7375],
            "limits": {"cpuShare": 0.717, "cores": 3, "memoryMb": 330},
            "provider": {"address": self.store_address},
            "bounds": BOUNDS,
        }

    async def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        path = self.world.folder / f"{self.name}.yaml"
        path.write_text(render((ROOT / role["template"]).read_text(), self.fields()))
        command = role["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment |= {
            "TURMERICTALLY_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.touched_at = self.world.record.now()
        self.world.record("host_started", host=self.name)
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=2**22,
            preexec_fn=end_with_parent,
        )
        self.reading = asyncio.create_task(self._read(self.process.stdout))

    async def _read(self, stream):
        log = (self.world.folder / f"{self.name}.log").open("ab")
        while line := await stream.readline():
            log.write(line)
            log.flush()
            with contextlib.suppress(ValueError):
                found = json.loads(line)
                if isinstance(found, dict):
                    self.lines.append(found)
                    for listener in self.world.log_listeners:
                        listener(self, found)

    @property
    def running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal to the process."""
        if self.running:
            self.touched_at = self.world.record.now()
            self.world.record("signal", host=self.name, signal=int(number))
            self.process.send_signal(number)

    async def restart(self):
        """Stop the process as planned, and start it again."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["graceS"])
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self.start()

    async def ready(self):
        """Return whether the host answers that it is ready."""
        try:
            status, _, _ = await call(self.readiness, "GET", "/-/readiness", {})
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200


def render(template, fields):
    """Fill in the template of the settings, as DEPLOY.md says."""

    def value(path):
        found = fields
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = (found or {}).get(name)
        return found

    def section(match):
        return match[2] if value(match[1]) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def placeholder(match):
        found = value(match[1])
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


async def call(address, method, target, headers, body=b"", timeout_s=6.0):
    """Make one request on a new channel; return status, headers and body."""

    async def exchange():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
        try:
            named = {"Host": HOSTNAME} | headers
            if body or method == "POST":
                named["Content-Length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in named.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise EOFError("channel closed without an answer")
            first, found = head
            return int(first.split(" ")[1]), found, await read_body(reader, found)
        finally:
            writer.transport.abort()

    return await asyncio.wait_for(exchange(), timeout_s)


class Channel:
    """Ask one host on a channel that is kept, as clients do."""

    def __init__(self, world, host):
        self.world, self.host = world, host
        self.reader = self.writer = None

    async def ask(self, path, body=b"{}", **headers):
        """Send one request; return what the client knows of it at its end."""
        if self.reader is None:
            self.reader, self.writer = await asyncio.open_connection(
                *self.host.front.split(":"), limit=2**24
            )
        request = new_id()
        named = {
            "Host": HOSTNAME,
            "X-Request-Id": request,
            "X-Deadline-Ms": "5000",
            "X-Model": "m",
            "Content-Length": str(len(body)),
        }
        named |= AUTHORIZED | {n.replace("_", "-"): v for n, v in headers.items()}
        lines = [f"POST {path} HTTP/1.1", *(f"{n}: {v}" for n, v in named.items())]
        sent = self.world.record.now()
        got = {"request": request, "sent": round(sent, 3), "status": 0}
        got |= {"events": 0, "whole": False}
        lines_of_data = []
        try:
            self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await self.writer.drain()
            if (head := await read_head(self.reader)) is not None:
                first, found = head
                got["status"] = int(first.split(" ")[1])
                if found.get("transfer-encoding") == "chunked":
                    while part := await read_chunk(self.reader):
                        got["events"] += part.count(b"\n\n")
                        lines_of_data += [
                            line
                            for line in part.decode().splitlines()
                            if line.startswith("data:")
                        ]
                else:
                    await read_body(self.reader, found)
                got["whole"] = True
                if found.get("connection", "").lower() == "close":
                    self.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.close()
        got["ended"] = round(self.world.record.now(), 3)
        self.world.record("client_got", host=self.host.name, **got)
        return got | {"data": lines_of_data}

    def close(self):
        """Close the channel; the next request opens another."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class World:
    """Hold one deployment on loopback addresses of its own."""

    def __init__(self, folder, record):
        self.folder = pathlib.Path(folder)
        self.record = record
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store = Store(record)
        self.hosts = []
        self.servers = []
        self.log_listeners = []
        self.config_version = 0

    def address(self, number):
        """Return an address with a free port."""
        ip = f"{self.net}.{number}"
        return f"{ip}:{free_port(ip)}"

    async def start(self, hosts, config):
        """Start everything and wait until all hosts are ready."""
        self.configure(config)
        for server in self.servers:
            await server.start()
        for number in range(hosts):
            host = Host(self, number, f"zone-{'abc'[number % 3]}")
            self.hosts.append(host)
            host.store = await self.store.start(host.store_address)
            await host.start()
        deadline = time.monotonic() + READY_S
        while not all([await host.ready() for host in self.hosts]):
            if time.monotonic() > deadline:
                raise TimeoutError("hosts are not ready")
            await asyncio.sleep(0.2)
        self.record("hosts_ready")

    def add_server(self, number, service, kind=Server, **options):
        """Add a server that starts with the world."""
        name = f"i-{service}-{number}"
        address = self.address(200 + len(self.servers))
        server = kind(self, name, service, address, **options)
        self.servers.append(server)
        return server

    def configure(self, config):
        """Write the next version of the config; the store's answer is the ack."""
        self.config_version += 3
        base = {
            "version": self.config_version,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1048576,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": TEAM, "apiKeys": [KEY], "ratePerS": 0, "burst": 0}],
        }
        self.store.put("op", "config", base | config)
        self.record("config_acked", version=self.config_version)

    async def stop(self):
        """End everything that was started."""
        for host in self.hosts:
            if host.running:
                host.process.kill()
                await host.process.wait()
        for server in self.servers:
            if server.beating is not None:
                server.beating.cancel()
                server.listener.close()
        self.store.close()


def batch_route(service, **more):
    """Return a route of kind batch."""
    return {
        "name": "night",
        "hostname": HOSTNAME,
        "prefix": "/pule252/",
        "kind": "batch",
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "completionTargetMs": 18000,
        "retentionS": 60,
        "maxCount": 1200000,
        "maxAttempts": 3,
        "service": service,
        "resumable": True,
        "sticky": True,
    } | more


def stream_route(service, **more):
    """Return a route of kind streaming."""
    return {
        "name": "ask",
        "hostname": HOSTNAME,
        "prefix": "/lohu930/",
        "kind": "streaming",
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "gapTargetMs": 250,
        "maxAttempts": 2,
        "service": service,
        "resumable": False,
        "sticky": True,
    } | more


def service(name, slots=8):
    """Return a service."""
    return {"name": name, "healthPath": "/healthz", "maxConnections": 230}


def lot(items):
    """Return the body of a batch job with these item ids."""
    return json.dumps(
        {
            "items": [
                {
                    "id": item,
                    "path": f"/pule252/{item}",
                    "headers": {"X-Model": "m", "X-Token-Usage": "250,100"},
                    "body": base64.b64encode(f"prompt of {item}".encode()).decode(),
                    "tokenCount": 350,
                }
                for item in items
            ]
        }
    ).encode()


AUTHORIZED = {"Authorization": f"Bearer {KEY}"}


async def submit(world, host, job, items):
    """Submit a batch job; return the status."""
    headers = AUTHORIZED | {
        "X-Request-Id": job,
        "X-Deadline-Ms": "4000",
        "Content-Type": "application/json",
    }
    status, _, _ = await call(
        host.front, "POST", f"/pule252/{job}", headers, lot(items)
    )
    world.record("submitted", job=job, host=host.name, status=status, items=len(items))
    return status


async def results(world, host, job, after=0):
    """Read results of a batch job; return status and body."""
    headers = AUTHORIZED | {"X-Deadline-Ms": "4000"}
    target = f"/-/lots/{job}?after={after}"
    status, _, body = await call(host.front, "GET", target, headers)
    found = json.loads(body) if status == 200 else {}
    world.record(
        "results",
        job=job,
        host=host.name,
        status=status,
        results=[[r["id"], r["state"]] for r in found.get("results", [])],
    )
    return status, found


def new_id():
    """Return a new id of a request, a job or an item."""
    return f"{random.getrandbits(64):016x}"


def main(case_folder, play):
    """Run ``play(world, trouble)`` and exit with 1 if it returns a broken rule."""
    import tempfile

    record = Record(pathlib.Path(case_folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("begins", trouble=trouble)

    async def run(folder):
        world = World(folder, record)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(world, trouble), 110)
        finally:
            await world.stop()

    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(run(os.environ.get("KEEP_LOGS", folder)))
        except (Exception, asyncio.CancelledError) as error:
            record("could_not_run", error=repr(error))
            print(f"could not run: {error!r}")
            sys.exit(2)
    record("ends", broken=broken)
    print("rule broken: " + broken if broken else "rule held")
    sys.exit(1 if broken else 0)
