"""Steps for insight.feature."""

import json
import time

import behave
import httpx
import prometheus_client.parser

from turmerictally.tests.support import deployment

MAX_POLLS = 600
CHAT = "/v1/chat/completions"
BODY = {
    "model": deployment.MODEL,
    "messages": [{"role": "user", "content": "explain"}],
    "max_tokens": 8,
}


def post(fleet, number, body, key):
    headers = {"authorization": f"Bearer {key}", "x-request-id": f"n{number}"}
    url = fleet.summary["entry"][number % 2] + CHAT
    return httpx.post(url, json=body, headers=headers, timeout=60, trust_env=False)


def operator(fleet, host, path, key=None):
    url = fleet.demo.hosts[host].operator_url
    headers = {"authorization": f"Bearer {key or fleet.summary['operator_key']}"}
    return httpx.get(url + path, headers=headers, timeout=60, trust_env=False)


@behave.when("callers send good, streamed and refused requests to both hosts")
def send(context):
    red, blue = context.fleet.key("red"), context.fleet.key("blue")
    context.ids = []
    for number in range(6):
        body = BODY | {"stream": number % 3 == 0}
        response = post(context.fleet, number, body, red)
        assert response.status_code == 200, response.text
        context.ids.append(response.headers["x-request-id"])
    statuses = [post(context.fleet, n, BODY, blue).status_code for n in range(8)]
    context.refused = statuses.count(429)
    assert context.refused > 0
    assert post(context.fleet, 0, BODY, "no-such-key").status_code == 401


@behave.then("each host explains every request, whichever host handled it")
def explained(context):
    for host in (0, 1):
        for request_id in context.ids:
            response = operator(context.fleet, host, f"/v1/explain/{request_id}")
            events = [row["event"] for row in response.json()["data"]]
            assert events[:2] == ["placed", "attempt"], events
            server = response.json()["data"][1]["fields"]["server"]
            assert server.startswith("127.0.0.1:")


@behave.then("a finished job is explained with its range and host")
def job_explained(context):
    client = context.fleet.client()
    item = {"custom_id": "c", "method": "POST", "url": CHAT, "body": BODY}
    data = json.dumps(item).encode()
    file = client.files.create(file=("items.jsonl", data), purpose="batch")
    job = client.batches.create(
        input_file_id=file.id, endpoint=CHAT, completion_window="24h"
    )
    for _ in range(MAX_POLLS):
        if client.batches.retrieve(job.id).status == "completed":
            break
        time.sleep(0.1)
    else:
        raise AssertionError(_describe_unfinished(context.fleet))
    for host in (0, 1):
        rows = _wait_for_entries(context.fleet, host, job.id, 2)
        assert [row["event"] for row in rows] == ["claimed", "range_ended"], rows
        assert rows[1]["fields"]["state"] == "done", rows
        assert rows[0]["fields"]["host"] == rows[1]["fields"]["host"]


def _describe_budget(budget):
    return {"level": round(budget.level, 2), "rate": budget.rate, "used": budget.used}


def _describe_work(running):
    lease = running.context.lease
    return {
        "range": running.claim.key,
        "lease": [lease.valid, lease.lapsed, lease.counter, sorted(lease.held)],
        "unstarted": running.unstarted,
        "sending": running.sending,
        "pending": len(running.pending),
        "committing": running.lock.locked(),
    }


def _describe_unfinished(fleet):
    """Return the state of each host that bears on work that does not finish."""

    async def collect():
        rows = []
        for served in fleet.demo.hosts:
            gate = served.executor.gate.inner
            now = gate.clock.monotonic()
            loads = gate.router.loads
            for address in gate.router.servers.by_address:
                report = loads.server(address).polled
                rows.append(
                    {
                        "works": [
                            _describe_work(w) for w in served.executor.works.values()
                        ],
                        "reads": _describe_budget(served.executor.kept.reads),
                        "writes": _describe_budget(served.executor.kept.writes),
                        "live": sorted(host.id for host in gate.live_hosts()),
                        "owned": gate.owned(),
                        "server": address,
                        "polled_age_s": report and now - report.sampled_at,
                        "allowed": gate.max_batch_items(address, now),
                        "room": gate.free_slots(address),
                        "takes_work": gate.router.servers.accepts_requests(address),
                        "healthy": gate.router.health.allows(address, now),
                        "state": str(gate.owned_servers.get(address)),
                        "polls": str(served.online.poller.polls.get(address)),
                    }
                )
        return rows

    return json.dumps(fleet.run(collect), indent=1, default=str)


def _wait_for_entries(fleet, host, id, count):
    """Return the entries; a job is shown as completed just before its last entry."""
    for _ in range(MAX_POLLS):
        rows = operator(fleet, host, f"/v1/explain/{id}").json()["data"]
        if len(rows) >= count:
            break
        time.sleep(0.05)
    return rows


@behave.then("an unknown id gives a 404 response")
def unknown(context):
    assert operator(context.fleet, 0, "/v1/explain/none").status_code == 404


@behave.then("the scraped text counts requests, refusals and platform calls")
def counted(context):
    totals = {}
    for host in (0, 1):
        text = operator(context.fleet, host, "/metrics").text
        for family in prometheus_client.parser.text_string_to_metric_families(text):
            for sample in family.samples:
                key = (sample.name, *sorted(sample.labels.values()))
                totals[key] = totals.get(key, 0) + sample.value
    prefix = "turmerictally_"
    assert totals[f"{prefix}refusals_total", "rate_limited"] == context.refused
    assert totals[f"{prefix}refusals_total", "unauthenticated"] == 1
    served = 6 + 8 - context.refused
    assert totals[f"{prefix}requests_total", "online", "whole"] == served
    assert totals[f"{prefix}latency_seconds_count", "first_token", "online"] == 2
    assert any(key[0] == f"{prefix}platform_calls_total" for key in totals)
    assert any(key[0] == f"{prefix}control_bytes_total" for key in totals)


@behave.then("the measures merge both hosts and contain no key")
def measured(context):
    response = operator(context.fleet, 1, "/v1/measures")
    measures = response.json()
    assert measures["hosts_answered"] == 2
    complete = measures["latency"]["online whole_answer"]
    assert complete["count"] == 14 - context.refused and complete["p50"] > 0
    text = json.dumps(measures) + operator(context.fleet, 0, "/metrics").text
    for key in context.fleet.summary["keys"].values():
        assert key not in text


@behave.then("a caller's key is rejected by the operators' endpoints")
def closed(context):
    key = context.fleet.key("red")
    for path in ("/metrics", "/v1/measures", "/v1/explain/x"):
        assert operator(context.fleet, 0, path, key).status_code == 401
