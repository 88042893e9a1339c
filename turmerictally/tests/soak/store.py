"""Serve a stand-in of the platform's row store as a process of its own.

It takes faults as JSON lines on standard input: ``delay_s``, ``lose_answer``, ``busy``
(answers 503), ``refuse`` (hosts that get 503), ``forget`` (drops history).
"""

import base64
import json
import sys
import urllib.parse

import trio

from turmerictally import clock as clocks
from turmerictally.entry import http_server, model, network
from turmerictally.entry import trace as traces
from turmerictally.standins import rows as standin
from turmerictally.store import rows

CALLER_HEADER = b"user-agent"
MAX_CONNECTIONS = 2000


class Service:
    """Answer the store's calls over HTTP."""

    def __init__(self):
        self.store = standin.RowStore()
        self.busy = False
        self.refuse = set()
        self.lose_answer = 0.0

    async def handle(self, exchange):
        path, _, query = exchange.target.decode().partition("?")
        given = dict(urllib.parse.parse_qsl(query))
        await trio.sleep(self.store.faults.delay_s)
        if self.busy:
            await exchange.reply_json(503, {})
            return
        if path == "/-/rows-tx":
            await self.transact(exchange, json.loads(exchange.body))
        elif path == "/-/rows-get":
            await self.read(exchange, given)
        elif path == "/-/rows-feed":
            await self.changes(exchange, given)
        else:
            await exchange.reply(404)

    async def transact(self, exchange, body):
        expected = {address(e): e["schemaVersion"] for e in body["expect"]}
        puts = {address(e): base64.b64decode(e["value"]) for e in body["put"]}
        puts |= {address(e): None for e in body["remove"]}
        try:
            done = self.store.apply(expected, puts)
        except rows.ConflictError as error:
            answer = self.page(error.current_rows) | {
                "schemaVersion": self.store.version
            }
            await exchange.reply_json(412, answer)
            return
        if self.store.faults.rng.random() < self.lose_answer:
            exchange.abort()
            return
        await exchange.reply_json(
            200, {"schemaVersion": done.version, "nowMs": done.now_s * 1000}
        )

    async def read(self, exchange, given):
        view = self.store.view("")
        page = await view.read(
            given["table"],
            given.get("part", ""),
            start=given.get("from", ""),
            end=given.get("to", ""),
            limit=int(given.get("limit", 500)),
        )
        answer = self.page(page.rows) | {"hasMore": page.more}
        await exchange.reply_json(200, answer)

    async def changes(self, exchange, given):
        view = self.store.view("")
        try:
            page = await view.changes(
                given["table"],
                after=int(given["after"]),
                wait_s=int(given["waitMs"]) / 1000,
            )
        except rows.HistoryLostError:
            await exchange.reply(410)
            return
        await exchange.reply_json(200, self.page(page.rows))

    def page(self, found):
        return {
            "rows": [encode(row) for row in found],
            "schemaVersion": self.store.version,
            "nowMs": trio.current_time() * 1000,
        }

    def order(self, given):
        self.store.faults.delay_s = given.get("delay_s", 0.0)
        self.lose_answer = given.get("lose_answer", 0.0)
        self.busy = given.get("busy", False)
        if given.get("forget"):
            self.store.forget_history()


def address(entry):
    return rows.Address(entry["table"], entry["part"], entry["key"])


def encode(row):
    named = {
        "table": row.address.table,
        "part": row.address.part,
        "key": row.address.key,
        "schemaVersion": row.version,
    }
    if row.value is None:
        return named | {"tombstone": True}
    return named | {"value": base64.b64encode(row.value).decode()}


async def main(where):
    service = Service()
    served = http_server.HttpServer(
        network.SocketNetwork(),
        where,
        service.handle,
        model.CallerLimits,
        clocks.Clock(),
        MAX_CONNECTIONS,
        traces.Trace("store", sys.stderr.fileno()),
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(served.run)
        print(json.dumps({"event": "serving"}), flush=True)
        async for line in trio.wrap_file(sys.stdin):
            service.order(json.loads(line))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main, sys.argv[1])
