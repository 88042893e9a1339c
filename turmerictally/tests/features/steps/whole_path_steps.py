"""Steps for the end-to-end scenarios over real sockets."""

import concurrent.futures
import json
import socket
import time

import behave
import httpx
import openai

from turmerictally.store import weights
from turmerictally.tests.support import deployment

CHAT = "/v1/chat/completions"
POLLS = 600


def chat_body(text="hello", **more):
    messages = [{"role": "user", "content": text}]
    return {"model": deployment.MODEL, "messages": messages, "max_tokens": 8} | more


@behave.given("a running deployment")
def running_deployment(context):
    context.fleet = deployment.Fleet(deployment.describe())
    context.add_cleanup(context.fleet.stop)


@behave.then("the client lists the models")
def lists_models(context):
    models = context.fleet.client().models.list().data
    assert [model.id for model in models] == [deployment.MODEL]


@behave.then("the client gets a complete chat response")
def complete_chat(context):
    response = context.fleet.client().chat.completions.create(**chat_body())
    assert len(response.choices[0].message.content.split()) == 8
    assert response.choices[0].finish_reason == "length"


@behave.then("the client gets a complete streamed response")
def complete_stream(context):
    client = context.fleet.client(1)
    complete = client.chat.completions.create(**chat_body("again"))
    parts = client.chat.completions.create(**chat_body("again"), stream=True)
    chunks = list(parts)
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    assert len(text.split()) == len(complete.choices[0].message.content.split())
    assert chunks[-1].choices[0].finish_reason == "length"


@behave.then("the client gets a plain completion")
def plain_completion(context):
    response = context.fleet.client().completions.create(
        model=deployment.MODEL, prompt="one", max_tokens=3
    )
    assert len(response.choices[0].text.split()) == 3


@behave.then("a request for an unknown model is refused as not run")
def unknown_model(context):
    body = chat_body() | {"model": "none"}
    try:
        context.fleet.client().chat.completions.create(**body)
    except openai.NotFoundError as error:
        assert error.body["ran"] == "not run"
        return
    raise AssertionError("an unknown model was served")


@behave.when("the client runs a batch with a broken line and an unknown model")
def run_batch(context):
    lines = []
    for number in range(12):
        body = chat_body(f"item {number}")
        if number == 3:
            body["model"] = "none"
        item = {"custom_id": f"c{number}", "method": "POST", "url": CHAT, "body": body}
        lines.append(json.dumps(item))
    lines[5] = "{broken"
    client = context.fleet.client(0)
    data = "\n".join(lines).encode()
    file = client.files.create(file=("items.jsonl", data), purpose="batch")
    context.job = client.batches.create(
        input_file_id=file.id, endpoint=CHAT, completion_window="24h"
    )
    other = context.fleet.client(1)
    for _ in range(POLLS):
        context.job = other.batches.retrieve(context.job.id)
        if context.job.status == "completed":
            break
        time.sleep(0.05)


@behave.then("the job completes with 10 items done and 2 failed")
def job_completes(context):
    counts = context.job.request_counts
    assert context.job.status == "completed", context.job
    assert (counts.total, counts.completed, counts.failed) == (12, 10, 2), counts


@behave.then("every item has exactly one outcome in the output and error files")
def one_outcome(context):
    client = context.fleet.client(1)
    custom_ids = []
    for file in (context.job.output_file_id, context.job.error_file_id):
        lines = client.files.content(file).text.splitlines()
        custom_ids.extend(json.loads(line)["custom_id"] for line in lines)
    expected = {f"c{n}" for n in range(12)} - {"c5"} | {"line-6"}
    assert sorted(custom_ids) == sorted(expected), custom_ids


@behave.then("another team can read neither the job nor its files")
def other_team(context):
    http = context.fleet.http(0, "blue")
    job = context.job
    for path in (f"batches/{job.id}", f"files/{job.input_file_id}"):
        assert http.get(f"/v1/{path}").status_code == 404
    content = http.get(f"/v1/files/{job.output_file_id}/content")
    assert content.status_code == 404


@behave.given("a stream of {count:d} tokens and an idle connection of a fresh key")
def stream_and_idle(context, count):
    operators = context.fleet.operators()
    issued_key = operators.post("/v1/keys", json={"team": "red"}).json()
    context.key_id = issued_key["id"]
    url = context.fleet.summary["entry"][1]
    headers = {"authorization": f"Bearer {issued_key['key']}"}
    context.idle = httpx.Client(base_url=url, headers=headers, trust_env=False)
    assert context.idle.get("/v1/models").status_code == 200
    context.streaming = httpx.Client(base_url=url, headers=headers, timeout=60.0)
    body = chat_body("long", stream=True, max_tokens=count, ignore_eos=True)
    request = context.streaming.build_request("POST", CHAT, json=body)
    context.stream = context.streaming.send(request, stream=True)
    context.chunks = context.stream.iter_text()
    context.seen = next(context.chunks)


@behave.when("the operator revokes the key")
def revoke(context):
    response = context.fleet.operators().delete(f"/v1/keys/{context.key_id}").json()
    assert response["outcome"]["status"] == "accepted", response


@behave.then("the stream ends with an error event and without the end marker")
def stream_ends(context):
    text = context.seen + "".join(context.chunks)
    assert "key_withdrawn" in text, text[-300:]
    assert "[DONE]" not in text


@behave.then("the idle connection's next request is refused as unauthenticated")
def idle_refused(context):
    assert context.idle.get("/v1/models").status_code == 401


@behave.when("the caller sends its key in every place that may hold a key")
def key_everywhere(context):
    key = context.fleet.key()
    headers = {"x-api-key": key, "cookie": f"session={key}", "api-key": key}
    headers["idempotency-key"] = "k1"
    http = context.fleet.http(0, "red")
    params = {"api_key": key, "key": key, "page": "2"}
    assert http.post(CHAT, json=chat_body(), headers=headers).status_code == 200
    response = http.get("/stock/ring", params=params, headers=headers)
    assert response.status_code == 200, response.text


@behave.then("no server has received the key")
def no_key(context):
    running = context.fleet.demo
    received = [str(entry) for entry in running.plain.received]
    for engine in running.engines:
        received.extend(str(entry) for entry in engine.received)
    assert any("/chat/completions" in entry for entry in received)
    key = context.fleet.key()
    assert not [entry for entry in received if key in entry]


def _send(context, name):
    http = context.fleet.http(0, None if name == "no key" else "red")
    if name == "broken json":
        return http.post(CHAT, content=b"{")
    if name == "wrong types":
        return http.post(CHAT, json=chat_body() | {"messages": "hi"})
    if name == "unknown model":
        return http.post(CHAT, json=chat_body() | {"model": "x"})
    if name == "oversized body":
        return http.post(CHAT, json=chat_body("x" * 200_000))
    if name == "nested json":
        return http.post(CHAT, content=b"[" * 50_000)
    if name == "bad multipart":
        kind = {"content-type": "multipart/form-data; boundary=b"}
        return http.post("/v1/files", content=b"--b\r\nrubbish", headers=kind)
    if name == "unknown path":
        return http.get("/nowhere")
    return http.post(CHAT, json=chat_body())


def _two_lengths(context):
    host, port = context.fleet.summary["entry"][0].removeprefix("http://").split(":")
    with socket.create_connection((host, int(port)), timeout=30) as raw:
        raw.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        return int(raw.recv(1000).split(b" ")[1])


@behave.then("each invalid request gets its status")
def bad_requests(context):
    for row in context.table:
        if row["request"] == "two lengths":
            status = _two_lengths(context)
        else:
            response = _send(context, row["request"])
            status = response.status_code
            assert response.json()["error"]["ran"] == "not run", response.text
        assert status == int(row["status"]), (row["request"], status)


@behave.then("the host serves the next request")
def serves_next(context):
    http = context.fleet.http(0, "red")
    assert http.post(CHAT, json=chat_body()).status_code == 200


@behave.when("team blue sends 6 requests to each host at once")
def blue_sends(context):
    def send(number):
        return context.fleet.http(number % 2, "blue").post(CHAT, json=chat_body())

    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        began = time.monotonic()
        context.responses = list(pool.map(send, range(12)))
        context.elapsed = time.monotonic() - began


@behave.then("at most 3 are served and the others get a Retry-After header")
def at_most(context):
    served = [a for a in context.responses if a.status_code == 200]
    refused = [a for a in context.responses if a.status_code == 429]
    assert len(served) + len(refused) == 12, context.responses
    assert 1 <= len(served) <= 2 + context.elapsed + 1, len(served)
    assert all(int(a.headers["retry-after"]) >= 1 for a in refused)
    assert all(a.json()["error"]["ran"] == "not run" for a in refused)


@behave.when("a confirmation is sent to both hosts with one idempotency key")
def confirm_twice(context):
    context.responses = []
    headers = {"idempotency-key": "same"}
    for host in (0, 1, 0):
        http = context.fleet.http(host, "red")
        response = http.post("/confirmations", json={"reference": "r"}, headers=headers)
        context.responses.append(response)


@behave.then("the service has executed it once and all responses are the same")
def executed_once(context):
    assert context.fleet.demo.plain.executions["r"] == 1
    assert {response.text for response in context.responses} == {
        context.responses[0].text
    }
    assert {response.status_code for response in context.responses} == {201}


@behave.when("every host is stopped")
def stop_all(context):
    context.stopping = concurrent.futures.ThreadPoolExecutor(1)
    context.stop = context.stopping.submit(context.fleet.stop)


@behave.then("the stream ends with the end marker")
def ends_with_marker(context):
    text = context.seen + "".join(context.chunks)
    assert text.rstrip().endswith("data: [DONE]"), text[-300:]


@behave.then("the stop is complete")
def stop_complete(context):
    assert context.stop.result()


def _set_platform(context, down):
    platform = context.fleet.demo.platform
    for store in (platform.table, platform.objects, platform.hosts):
        store.faults.down = down


@behave.when("the platform is down")
def platform_down(context):
    _set_platform(context, True)


@behave.then("a job and a configuration change are refused as not run")
def refused_when_down(context):
    http = context.fleet.http(0, "red")
    body = {"input_file_id": "f", "endpoint": CHAT, "completion_window": "24h"}
    job = http.post("/v1/batches", json=body)
    contract = {"rate": 5.0, "burst": 5}
    change = context.fleet.operators().put("/v1/contracts/green", json=contract)
    for response in (job, change):
        assert response.status_code == 503, response.text
        error = response.json()["error"]
        assert error["code"] == "platform_unavailable", error
        assert error["ran"] == "not run", error


@behave.then("a job is accepted after the outage")
def accepted_after(context):
    _set_platform(context, False)
    client = context.fleet.client()
    item = {"custom_id": "c", "method": "POST", "url": CHAT, "body": chat_body()}
    data = json.dumps(item).encode()
    file = _until_accepted(
        lambda: client.files.create(file=("i.jsonl", data), purpose="batch")
    )
    job = _until_accepted(
        lambda: client.batches.create(
            input_file_id=file.id,
            endpoint=CHAT,
            completion_window="1h",
            extra_headers={"idempotency-key": "after"},
        )
    )
    assert job.request_counts.total == 1


def _until_accepted(call):
    for _ in range(POLLS):
        try:
            return call()
        except openai.InternalServerError as error:
            assert error.body["code"] == "platform_unavailable", error
            time.sleep(0.1)
    raise AssertionError("still refused after the outage")


def _order_body(server, action, name, version=""):
    body = {"id": f"{action}-{server}-{name}", "server": server, "action": action}
    return body | {"name": name, "version": version}


def _is_platform_unavailable(response):
    """Return whether the response is a 503 for an unavailable platform."""
    if response.status_code != 503:
        return False
    assert response.json()["error"]["code"] == "platform_unavailable", response.text
    assert int(response.headers["retry-after"]) >= 1, response.headers
    return True


def _order(context, server, action, name, version=""):
    body = _order_body(server, action, name, version)
    operators = context.fleet.operators()
    for _ in range(POLLS):
        response = operators.post("/v1/orders", json=body)
        if not _is_platform_unavailable(response):
            assert response.status_code == 200, response.text
            ended = response.json()["ended"]
            if ended is not None:
                return ended["outcome"]
        time.sleep(0.05)
    raise AssertionError("the order did not end")


def _engines(context):
    listed = context.fleet.operators().get("/v1/servers").json()["data"]
    return [row["address"] for row in listed if row["models"]]


def _offer_extra(context):
    info = weights.WeightsInfo("extra", "2", 1)
    context.fleet.demo.platform.weights.stored[("extra", "2")] = info


@behave.when(
    "the operator orders a load and repeats the order while the platform is down"
)
def order_during_outage(context):
    _offer_extra(context)
    context.engine = _engines(context)[0]
    body = _order_body(context.engine, "load", "extra", "2")
    operators = context.fleet.operators()
    first = operators.post("/v1/orders", json=body)
    assert first.status_code == 200, first.text
    _set_platform(context, True)
    try:
        context.repeated = operators.post("/v1/orders", json=body)
    finally:
        _set_platform(context, False)


@behave.then("the response says that the platform is unavailable and when to retry")
def says_unavailable(context):
    assert _is_platform_unavailable(context.repeated), context.repeated.text


@behave.then("the order ends as applied after the outage")
def order_ends(context):
    outcome = _order(context, context.engine, "load", "extra", "2")
    assert outcome == "applied", outcome


@behave.when("the operator orders one load and then every unload")
def order_load_and_unloads(context):
    engines = _engines(context)
    assert len(engines) == 2
    _offer_extra(context)
    context.loaded = _order(context, engines[0], "load", "extra", "2")
    model = deployment.MODEL
    context.unloads = [_order(context, engine, "unload", model) for engine in engines]


@behave.then("the engine has loaded the model and one engine still serves the other")
def order_outcomes(context):
    assert context.loaded == "applied", context.loaded
    assert sorted(context.unloads) == ["applied", "refused"], context.unloads
    models = [engine.models for engine in context.fleet.demo.engines]
    assert sum(1 for loaded in models if loaded.get("extra") == "2") == 1, models
    assert sum(1 for loaded in models if deployment.MODEL in loaded) == 1, models


@behave.then("the audit trail names the operator of each order")
def order_audit(context):
    for _ in range(POLLS):
        entries = context.fleet.operators().get("/v1/audit?limit=200").json()["data"]
        orders = [e for e in entries if "order" in (e["after"] or {})]
        if len(orders) == 3:
            break
        time.sleep(0.05)
    assert {entry["who"] for entry in orders} == {"demo"}, orders
    assert len(orders) == 3, orders
