"""Serve an engine stand-in over HTTP."""

import collections.abc
import json

import attrs
import cattrs
import quart
import quart_trio
import trio

from turmerictally.standins import engine, tokens

CREATED = 1_700_000_000  # Unix seconds given in every answer
DEFAULT_MAX_TOKENS = 256


@attrs.frozen
class Received:
    """Hold what one request brought, so that tests can look for keys."""

    path: str
    query: str
    request_id: str
    headers: dict[str, str]


@attrs.frozen
class Shape:
    """Tell how chat answers and plain completions differ."""

    name: str
    chunk_name: str
    is_chat: bool

    def choice(self, text: str, finish_reason: str | None) -> dict:
        """Return the only choice of a whole answer."""
        if self.is_chat:
            content = {"message": {"role": "assistant", "content": text}}
        else:
            content = {"text": text}
        return {"index": 0, "finish_reason": finish_reason, "logprobs": None} | content

    def delta(self, text: str, finish_reason: str | None) -> dict:
        """Return the only choice of one chunk."""
        if self.is_chat:
            content = {"delta": {"role": "assistant", "content": text}}
        else:
            content = {"text": text}
        return {"index": 0, "finish_reason": finish_reason, "logprobs": None} | content


CHAT = Shape("chat.completion", "chat.completion.chunk", True)
PLAIN = Shape("text_completion", "text_completion", False)


class RequestError(Exception):
    """Report a request that the engine refuses."""

    def __init__(self, status: int, message: str) -> None:
        self.status = status
        super().__init__(message)


def app(served_engine: engine.Engine) -> quart.Quart:
    """Return the engine's application; run ``Engine.run`` beside it."""
    served = quart_trio.QuartTrio(__name__)
    served.config["RESPONSE_TIMEOUT"] = None
    _add_checks(served, served_engine)
    _add_generation(served, served_engine)
    _add_reports(served, served_engine)
    _add_kv(served, served_engine)
    return served


def _add_checks(served: quart.Quart, target: engine.Engine) -> None:
    @served.before_request
    async def before():
        request = quart.request
        target.received.append(
            Received(
                request.path,
                request.query_string.decode("latin-1"),
                request.headers.get("x-request-id", ""),
                dict(request.headers),
            )
        )
        while target.faults.frozen:
            await trio.sleep(0.05)
        if target.faults.crashed:
            return {"error": {"message": "crashed"}}, 500
        return None

    @served.errorhandler(RequestError)
    async def refused(error):
        kind = "invalid_request_error" if error.status < 500 else "server_error"
        return {"error": {"message": str(error), "type": kind}}, error.status


def _add_generation(served: quart.Quart, target: engine.Engine) -> None:
    @served.post("/v1/chat/completions")
    async def chat():
        return await _generate(target, CHAT)

    @served.post("/v1/completions")
    async def completions():
        return await _generate(target, PLAIN)

    @served.get("/v1/models")
    async def models():
        data = [
            {"id": name, "object": "model", "created": CREATED, "owned_by": "engine"}
            for name in target.models
        ]
        return {"object": "list", "data": data}

    @served.post("/engine/cancel")
    async def cancel():
        body = await _body()
        return {"cancelled": target.cancel(str(body.get("request_id")))}


def _add_reports(served: quart.Quart, target: engine.Engine) -> None:
    @served.get("/engine/load")
    async def load():
        about = {
            "at_age_s": target.options.load_lag_s,
            "instance": target.instance,
            "leaving": target.leaving,
        }
        return attrs.asdict(target.reported_load()) | about

    @served.get("/engine/events")
    async def events():
        after = int(quart.request.args.get("after", "0"))
        found = target.cache.after(after)
        listed = [
            {"seq": e.seq, "kind": e.kind, "prefix": e.prefix} for e in found[:1000]
        ]
        return {"events": listed, "next": listed[-1]["seq"] if listed else after}

    @served.post("/engine/orders")
    async def orders():
        try:
            order = cattrs.structure(await _body(), engine.Order)
        except cattrs.BaseValidationError as error:
            raise RequestError(400, "bad order") from error
        try:
            await target.apply(order)
        except engine.StaleFenceError:
            return {"error": "stale_fence", "fence": target.fence}, 409
        return {"applied": True}

    @served.get("/engine/state")
    async def state():
        return {
            "models": target.models,
            "role": target.role,
            "fence": target.fence,
            "last_order_id": target.last_order_id,
        }


def _add_kv(served: quart.Quart, target: engine.Engine) -> None:
    @served.post("/engine/kv/export")
    async def export():
        body = await _body()
        exported = target.export(str(body.get("request_id")))
        if exported is None:
            raise RequestError(404, "unknown request")
        return {"kv": exported[0], "tokens": exported[1]}

    @served.post("/engine/kv/import")
    async def import_kv():
        body = await _body()
        try:
            target.import_kv(str(body["request_id"]), str(body["kv"]))
        except (KeyError, ValueError) as error:
            raise RequestError(400, "bad export") from error
        return {}


async def _generate(target: engine.Engine, shape: Shape) -> quart.Response:
    body = await _body()
    sequence, start = _find_or_submit(target, shape, body)
    load = target.load()
    headers = {
        "x-request-id": sequence.request_id,
        "x-engine-load": f"{load.running},{load.waiting},{load.capacity}",
    }
    shown = sequence
    if target.faults.cross > 0:
        target.faults.cross -= 1
        shown = _other(target, sequence)
    if body.get("stream"):
        headers["content-type"] = "text/event-stream"
        chunks = _stream(target, shape, sequence, shown, start)
        return quart.Response(chunks, headers=headers)
    async for _ in target.read(sequence):
        pass
    await trio.sleep(target.faults.delay_s)
    if sequence.finish_reason == "cancelled":
        raise RequestError(409, "cancelled")
    answer = _whole(shape, sequence, shown)
    return quart.Response(json.dumps(answer), headers=headers, mimetype=None)


def _find_or_submit(
    target: engine.Engine, shape: Shape, body: dict
) -> tuple[engine.Sequence, int]:
    headers = quart.request.headers
    request_id = (
        headers.get("x-request-id", "") or f"r{sum(target.executions.values())}"
    )
    if "x-engine-resume-offset" in headers:
        start = int(headers["x-engine-resume-offset"])
        sequence = target.resume(request_id, start)
        if sequence is None:
            raise RequestError(404, "unknown request")
        if sequence.finish_reason == "cancelled" or start > len(sequence.generated):
            raise RequestError(409, "cannot resume there")
        return sequence, start
    generated = _prefix_tokens(headers.get("x-engine-prefix-tokens", "[]"))
    sequence = engine.Sequence(
        request_id=request_id,
        model=_model(target, body),
        prompt=_prompt(shape, body),
        max_tokens=_max_tokens(body),
        ignore_eos=body.get("ignore_eos") is True,
        seed=int(body.get("seed") or 0),
        is_batch=headers.get("x-engine-class") == "batch",
        generated=generated,
    )
    start = len(generated)
    try:
        target.submit(sequence)
    except engine.OverloadedError as error:
        raise RequestError(503, str(error)) from error
    return sequence, start


async def _stream(
    target: engine.Engine,
    shape: Shape,
    sequence: engine.Sequence,
    shown: engine.Sequence,
    start: int,
) -> collections.abc.AsyncIterator[bytes]:
    sent = 0
    copies = 1
    if target.faults.duplicate > 0:
        target.faults.duplicate -= 1
        copies = 2
    async for offset, token in target.read(sequence, start):
        if target.faults.cut_after is not None and sent >= target.faults.cut_after:
            raise engine.CrashedError
        await trio.sleep(target.faults.delay_s)
        chunk = _chunk(shape, shown, offset, shape.delta(token, None))
        for _ in range(copies):
            yield chunk
        sent += 1
    if sequence.finish_reason == "cancelled":
        raise engine.CrashedError
    end = shape.delta("", sequence.finish_reason)
    yield _chunk(shape, shown, len(sequence.generated), end)
    yield b"data: [DONE]\n\n"


def _chunk(shape: Shape, shown: engine.Sequence, offset: int, choice: dict) -> bytes:
    chunk = {
        "id": shown.request_id,
        "object": shape.chunk_name,
        "created": CREATED,
        "model": shown.model,
        "choices": [choice],
        "offset": offset,
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _whole(shape: Shape, sequence: engine.Sequence, shown: engine.Sequence) -> dict:
    text = "".join(shown.generated)
    prompt_size, answer_size = len(sequence.prompt), len(sequence.generated)
    return {
        "id": shown.request_id,
        "object": shape.name,
        "created": CREATED,
        "model": shown.model,
        "choices": [shape.choice(text, sequence.finish_reason)],
        "usage": {
            "prompt_tokens": prompt_size,
            "completion_tokens": answer_size,
            "total_tokens": prompt_size + answer_size,
            "prompt_tokens_details": {"cached_tokens": sequence.cached},
        },
    }


def _other(target: engine.Engine, sequence: engine.Sequence) -> engine.Sequence:
    for other in reversed(target.sequences.values()):
        if other is not sequence:
            return other
    return engine.Sequence("another", sequence.model, (), 1, generated=["crossed"])


async def _body() -> dict:
    try:
        body = json.loads(await quart.request.get_data())
    except ValueError as error:
        raise RequestError(400, "bad JSON") from error
    if not isinstance(body, dict):
        raise RequestError(400, "expected an object")
    return body


def _model(target: engine.Engine, body: dict) -> str:
    model = body.get("model")
    if model not in target.models:
        raise RequestError(404, f"unknown model {model!r}")
    return model


def _prompt(shape: Shape, body: dict) -> tuple[str, ...]:
    try:
        if not shape.is_chat:
            prompt = body["prompt"]
            texts = [prompt] if isinstance(prompt, str) else [str(p) for p in prompt]
        else:
            messages = body["messages"]
            texts = [f"{m['role']}: {m.get('content') or ''}" for m in messages]
    except (KeyError, TypeError, AttributeError) as error:
        raise RequestError(400, "bad prompt") from error
    return tokens.prompt_tokens("\n".join(texts))


def _max_tokens(body: dict) -> int:
    given = body.get("max_completion_tokens") or body.get("max_tokens")
    if given is None:
        return DEFAULT_MAX_TOKENS
    if not isinstance(given, int) or given < 1:
        raise RequestError(400, "bad max_tokens")
    return given


def _prefix_tokens(header: str) -> list[str]:
    try:
        return [str(text) for text in json.loads(header)]
    except (ValueError, TypeError) as error:
        raise RequestError(400, "bad prefix tokens") from error
