"""Serve a platform stand-in over HTTP, with faults set at run time."""

import math

import attrs
import cattrs
import quart
import quart_trio

from turmerictally.standins import faults, memory
from turmerictally.store import hosts, table, weights

_FAULT_FIELDS = ("down", "delay_s", "jitter_s", "lose_request", "lose_answer")


def app(platform: memory.Platform, token: str = "") -> quart.Quart:
    """Return the application; a non-empty token is required of each request."""
    served = quart_trio.QuartTrio(__name__)
    served.config["MAX_CONTENT_LENGTH"] = None
    served.config["BODY_TIMEOUT"] = None
    served.config["RESPONSE_TIMEOUT"] = None
    _add_checks(served, token)
    _add_table(served, platform.table)
    _add_objects(served, platform.objects)
    _add_hosts(served, platform.hosts)
    _add_weights(served, platform.weights)
    _add_faults(served, platform)
    return served


def _add_checks(served: quart.Quart, token: str) -> None:
    @served.before_request
    async def check_token():
        given = quart.request.headers.get("authorization", "")
        if token and given != f"Bearer {token}":
            return {"error": "token"}, 401
        return None

    @served.errorhandler(table.UnavailableError)
    async def unavailable(error):
        # A gateway's time-out leaves open whether the write took effect.
        return {"error": str(error)}, 504 if error.maybe_applied else 503

    @served.errorhandler(table.OverloadedError)
    async def overloaded(error):
        return {"error": str(error)}, 429

    @served.errorhandler(table.ConflictError)
    async def conflict(error):
        return {"key": error.key}, 409

    @served.errorhandler(KeyError)
    async def absent(error):
        return {"error": "not found"}, 404


def _add_table(served: quart.Quart, rows: memory.Table) -> None:
    @served.get("/table/rows/<path:key>")
    async def get_row(key):
        row = await rows.get(key)
        if row is None:
            raise KeyError(key)
        return attrs.asdict(row)

    @served.get("/table/scan")
    async def scan_rows():
        args = quart.request.args
        found = await rows.scan(
            args["prefix"], after=args.get("after", ""), limit=int(args["limit"])
        )
        return {"rows": [attrs.asdict(row) for row in found]}

    @served.post("/table/commit")
    async def commit_rows():
        body = await quart.request.get_json()
        checks = cattrs.structure(body["checks"], list[table.Check])
        writes = [_write_from_json(write) for write in body["writes"]]
        return {"versions": await rows.commit(checks, writes)}


def _write_from_json(write: dict) -> table.Write:
    if "delete" in write:
        return table.Delete(write["delete"])
    return table.Put(write["put"], write["value"])


def _add_objects(served: quart.Quart, store: memory.Objects) -> None:
    @served.put("/objects/<path:key>")
    async def put_object(key):
        if_absent = quart.request.headers.get("if-none-match") == "*"
        info = await store.put(key, quart.request.body, if_absent=if_absent)
        return attrs.asdict(info)

    @served.get("/objects/<path:key>")
    async def get_object(key):
        span = quart.request.headers.get("range")
        if span is None:
            info = await store.head(key)
            if info is None:
                raise KeyError(key)
            only_head = quart.request.method == "HEAD"
            response = quart.Response(b"" if only_head else store.stream(key))
            response.headers["content-length"] = str(info.size)
            response.headers["etag"] = f'"{info.etag}"'
            return response
        first, _, last = span.removeprefix("bytes=").partition("-")
        end = int(last) + 1 if last else None
        data = await store.get(key, start=int(first), end=end)
        return (data, 206) if data else ("", 416)

    @served.delete("/objects/<path:key>")
    async def delete_object(key):
        await store.delete(key)
        return {}

    @served.get("/objects")
    async def list_objects():
        args = quart.request.args
        found = await store.list(
            args["prefix"], after=args.get("after", ""), limit=int(args["limit"])
        )
        return {"objects": [attrs.asdict(info) for info in found]}


def _add_hosts(served: quart.Quart, listed: memory.HostList) -> None:
    @served.get("/hosts")
    async def list_hosts():
        found = await listed.list(hosts.Role(quart.request.args["role"]))
        return {"hosts": cattrs.unstructure(found)}

    @served.put("/hosts/<host_id>")
    async def register_host(host_id):
        body = await quart.request.get_json()
        await listed.register(cattrs.structure(body, hosts.ListedHost))
        return {}

    @served.delete("/hosts/<host_id>")
    async def deregister_host(host_id):
        await listed.deregister(host_id, quart.request.args["instance"])
        return {}


def _add_weights(served: quart.Quart, store: memory.WeightStore) -> None:
    @served.get("/weights")
    async def list_weights():
        return {"weights": cattrs.unstructure(await store.list())}

    @served.post("/weights/reserve")
    async def reserve_weights():
        body = await quart.request.get_json()
        try:
            info = await store.reserve(body["name"], body["version"])
        except weights.ThrottledError as error:
            wait = str(math.ceil(error.retry_after_s))
            return {"error": "throttled"}, 429, {"retry-after": wait}
        return attrs.asdict(info)


def _add_faults(served: quart.Quart, platform: memory.Platform) -> None:
    @served.post("/faults/<service>")
    async def set_faults(service):
        if service not in ("table", "objects", "hosts", "weights"):
            raise KeyError(service)
        body = await quart.request.get_json()
        change_faults(getattr(platform, service).faults, body)
        return {}


def change_faults(current: faults.Faults, values: dict) -> None:
    """Set the named faults and leave the others as they are."""
    for name in _FAULT_FIELDS:
        if name in values:
            setattr(current, name, values[name])
