"""Steps for the engine stand-in's feature."""

import json

import behave
import httpx
import openai
import trio
import trio.testing

from turmerictally.standins import engine, engine_server, service, serving, transport

PROMPT = {"model": "small", "messages": [{"role": "user", "content": "gauge " * 40}]}
PATH = "/v1/chat/completions"


class Rig:
    """Two engines and a service behind one client."""

    def __init__(self, nursery):
        self.engines = [engine.Engine(), engine.Engine(instance="e1")]
        self.service = service.Service()
        self.transport = transport.Transport(
            nursery,
            {f"e{n}:1": engine_server.app(e) for n, e in enumerate(self.engines)}
            | {"s:1": service.app(self.service)},
        )
        self.client = httpx.AsyncClient(transport=self.transport, timeout=30)
        for each in self.engines:
            nursery.start_soon(each.run)

    async def post(self, path, body, host="e0", **headers):
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        url = f"http://{host}:1{path}"
        return await self.client.post(url, json=body, headers=headers)

    async def stream(self, body, host="e0", **headers):
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        chunks, done = [], False
        url = f"http://{host}:1{PATH}"
        request = {"json": body | {"stream": True}, "headers": headers}
        try:
            async with self.client.stream("POST", url, **request) as response:
                if response.status_code != 200:
                    return response.status_code, False
                async for line in response.aiter_lines():
                    done |= line == "data: [DONE]"
                    if line.startswith("data: {"):
                        chunks.append(json.loads(line[6:]))
        except httpx.RemoteProtocolError:
            pass
        return chunks, done


def texts(chunks):
    return [chunk["choices"][0]["delta"]["content"] for chunk in chunks]


def virtual(check):
    async def main():
        async with trio.open_nursery() as nursery:
            await check(Rig(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.given("an engine stand-in in virtual time")
def in_virtual_time(context):
    pass


@behave.then("a stream and a plain answer of one prompt agree")
def agree(context):
    async def check(rig):
        whole = (await rig.post(PATH, PROMPT, x_request_id="a")).json()
        chunks, done = await rig.stream(PROMPT, x_request_id="b")
        assert done and whole["id"] == "a" and {c["id"] for c in chunks} == {"b"}
        assert "".join(texts(chunks)) == whole["choices"][0]["message"]["content"]
        assert [c["offset"] for c in chunks] == list(range(len(chunks)))

    virtual(check)


@behave.then("a cut stream resumes on the engine without repeats or gaps")
def resumes(context):
    async def check(rig):
        whole, _ = await rig.stream(PROMPT, x_request_id="w")
        rig.engines[0].faults.cut_after = 3
        first, done = await rig.stream(PROMPT, x_request_id="c")
        assert len(first) == 3 and not done
        rig.engines[0].faults.cut_after = None
        at = {"x_request_id": "c", "x_engine_resume_offset": "3"}
        rest, done = await rig.stream(PROMPT, **at)
        assert done and texts(first + rest) == texts(whole)
        assert rig.engines[0].executions["c"] == 1
        status, _ = await rig.stream(PROMPT, "e1", **at)
        assert status == 404

    virtual(check)


@behave.then("it continues on another engine from its tokens or its KV cache")
def continues(context):
    async def check(rig):
        whole, _ = await rig.stream(PROMPT, x_request_id="w")
        prefix = json.dumps(texts(whole)[:4])
        rest, _ = await rig.stream(PROMPT, "e1", x_engine_prefix_tokens=prefix)
        assert rest[0]["offset"] == 4 and texts(rest) == texts(whole)[4:]
        rig.engines[0].faults.cut_after = 2
        await rig.stream(PROMPT, x_request_id="k")
        moved = await rig.post("/engine/kv/export", {"request_id": "k"})
        kept = moved.json() | {"request_id": "k"}
        await rig.post("/engine/kv/import", kept, "e1")
        at = {"x_request_id": "k", "x_engine_resume_offset": "2"}
        rest, done = await rig.stream(PROMPT, "e1", **at)
        assert done and texts(rest) == texts(whole)[2:]
        bad = await rig.post("/engine/kv/import", {"request_id": "k", "kv": "!"})
        assert bad.status_code == 400

    virtual(check)


async def timed(rig, count, body):
    start = trio.current_time()
    ended = []

    async def one(number):
        await rig.post(PATH, body, x_request_id=f"t{number}")
        ended.append((trio.current_time() - start, number))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(one, number)
            await trio.sleep(0.0001)
    return ended


@behave.then("steps grow with the batch and the queue is first come first served")
def grow(context):
    async def check(rig):
        await rig.post(PATH, PROMPT)
        alone = (await timed(rig, 1, PROMPT))[0][0]
        both = await timed(rig, 32, PROMPT)
        assert both[0][0] > 1.2 * alone and both[-1][0] > 1.8 * both[0][0]
        first_half = {number for _, number in both[:16]}
        assert first_half == set(range(16)), first_half

    virtual(check)


@behave.then("a repeated prefix costs less and its event comes late")
def prefix(context):
    async def check(rig):
        body = PROMPT | {"messages": [{"role": "user", "content": "ring " * 4000}]}
        cold = (await timed(rig, 1, body))[0][0]
        fresh = (await rig.client.get("http://e0:1/engine/events?after=0")).json()
        warm = (await timed(rig, 1, body))[0][0]
        assert warm < cold / 1.5, (warm, cold)
        assert len(fresh["events"]) <= 250
        await trio.sleep(1)
        later = (await rig.client.get("http://e0:1/engine/events?after=0")).json()
        seqs = [event["seq"] for event in later["events"]]
        assert 200 < len(seqs) < 250 and later["next"] == seqs[-1]

    virtual(check)


@behave.then("load is reported late")
def late(context):
    async def check(rig):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.post, PATH, PROMPT)
            await trio.sleep(0.1)
            url = "http://e0:1/engine/load"
            assert (await rig.client.get(url)).json()["running"] == 0
            await trio.sleep(0.5)
            assert (await rig.client.get(url)).json()["running"] == 1

    virtual(check)


@behave.then("a cancelled request frees its place")
def cancelled(context):
    async def check(rig):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.stream, PROMPT)
            request = {"x_request_id": "x"}
            nursery.start_soon(lambda: rig.stream(PROMPT, **request))
            await trio.sleep(0.2)
            assert rig.engines[0].load().running == 2
            await rig.post("/engine/cancel", {"request_id": "x"})
            assert rig.engines[0].load().running == 1

    virtual(check)


@behave.then("an old fencing number is refused only by an engine that checks")
def fencing(context):
    async def check(rig):
        rig.engines[1].options.checks_fencing = False
        order = {"order_id": "o", "action": "load", "name": "m", "version": "2"}
        for host, old in (("e0", 409), ("e1", 200)):
            new = await rig.post("/engine/orders", order | {"fence": 5}, host)
            stale = await rig.post("/engine/orders", order | {"fence": 4}, host)
            assert (new.status_code, stale.status_code) == (200, old)

    virtual(check)


@behave.then("crossed, duplicated and frozen answers can be brought about")
def faulty(context):
    async def check(rig):
        faults = rig.engines[0].faults
        faults.cross = 1
        crossed = (await rig.post(PATH, PROMPT, x_request_id="own")).json()
        assert crossed["id"] != "own"
        faults.duplicate = 1
        chunks, _ = await rig.stream(PROMPT)
        assert [c["offset"] for c in chunks[:4]] == [0, 0, 1, 1]
        rig.engines[0].freeze()
        with trio.move_on_after(5) as scope:
            await rig.post(PATH, PROMPT)
        assert scope.cancelled_caught
        rig.engines[0].freeze(False)
        assert (await rig.post(PATH, PROMPT)).status_code == 200

    virtual(check)


@behave.then("a plain service counts executions whose answers failed")
def counts(context):
    async def check(rig):
        rig.service.faults.fail_after = 1
        for status in (500, 201):
            answer = await rig.post("/confirmations", {"reference": "r1"}, "s")
            assert answer.status_code == status
        assert rig.service.executions["r1"] == 2

    virtual(check)


@behave.given("an engine stand-in on loopback")
def on_loopback(context):
    context.engine = engine.Engine()


@behave.then("the published client streams and reads whole answers")
def published(context):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.engine.run)
            app = engine_server.app(context.engine)
            url = await nursery.start(serving.serve, app)
            async with openai.AsyncOpenAI(
                base_url=f"{url}/v1", api_key="none", timeout=60
            ) as client:
                whole = await client.chat.completions.create(**PROMPT)
                stream = await client.chat.completions.create(**PROMPT, stream=True)
                parts = [chunk.choices[0].delta.content async for chunk in stream]
                assert "".join(parts) == whole.choices[0].message.content
                listed = await client.models.list()
                assert [model.id for model in listed.data] == ["small"]
            nursery.cancel_scope.cancel()

    trio.run(main)
