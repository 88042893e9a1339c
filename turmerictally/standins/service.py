"""Stand in for a plain service, some of whose calls may not be repeated."""

import collections

import attrs
import quart
import quart_trio
import trio


@attrs.define
class Faults:
    """Hold the faults in force.

    ``delay_s`` is spent before executing and ``answer_delay_s`` after it, both in
    seconds. ``fail_after`` counts the calls that still fail after executing.
    """

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    fail_after: int = 0


class Service:
    """Count what was executed and record the headers that arrived."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.stock: dict[str, int] = collections.defaultdict(lambda: 12)
        self.executions: collections.Counter[str] = collections.Counter()
        self.received: collections.deque[dict] = collections.deque(maxlen=20_000)
        self.leaving = False
        self.instance = "s0"


def app(service: Service) -> quart.Quart:
    """Return the service's application."""
    served = quart_trio.QuartTrio(__name__)

    @served.before_request
    async def before():
        headers = dict(quart.request.headers)
        service.received.append(headers | {":query": quart.request.query_string})
        await trio.sleep(service.faults.delay_s)

    @served.get("/stock/<item>")
    async def stock(item):
        await trio.sleep(service.faults.answer_delay_s)
        return {"item": item, "count": service.stock[item]}

    @served.post("/confirmations")
    async def confirm():
        body = await quart.request.get_json(force=True)
        reference = str(body.get("reference", ""))
        service.executions[reference] += 1
        await trio.sleep(service.faults.answer_delay_s)
        if service.faults.fail_after > 0:
            service.faults.fail_after -= 1
            return {"error": "failed after executing"}, 500
        count = service.executions[reference]
        return {"reference": reference, "confirmed": count}, 201

    @served.route("/echo", methods=["GET", "POST", "PUT", "DELETE"])
    async def echo():
        body = await quart.request.get_data()
        kind = quart.request.content_type or "application/octet-stream"
        return quart.Response(body, content_type=kind)

    @served.get("/engine/load")
    async def load():
        return {
            "running": 0,
            "waiting": 0,
            "batch_running": 0,
            "capacity": 64,
            "kv_used_ratio": 0.0,
            "at_age_s": 0.0,
            "instance": service.instance,
            "leaving": service.leaving,
        }

    return served
