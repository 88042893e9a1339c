"""Serve the model clients' completion interface."""

import collections.abc

import quart

from turmerictally import errors
from turmerictally.config import model
from turmerictally.frontend import auth, bodies, services
from turmerictally.online import events, messages

blueprint = quart.Blueprint("models", __name__)

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_IDEMPOTENCY_KEY_LENGTH = 255
DEADLINE_HEADER = "x-deadline-s"


@blueprint.post(CHAT_PATH)
async def chat() -> quart.Response:
    """Answer a chat completion."""
    return await _complete(CHAT_PATH, is_chat=True)


@blueprint.post(COMPLETIONS_PATH)
async def completions() -> quart.Response:
    """Answer a plain completion."""
    return await _complete(COMPLETIONS_PATH, is_chat=False)


@blueprint.get("/v1/models")
async def list_models() -> dict:
    """List the models that the team may use."""
    with auth.team_session() as identity:
        view = services.current().replica.view
        names = allowed_models(view, identity.contract)
        return {"object": "list", "data": [_describe(name) for name in names]}


@blueprint.get("/v1/models/<path:name>")
async def show_model(name: str) -> dict:
    """Describe one model that the team may use."""
    with auth.team_session() as identity:
        view = services.current().replica.view
        if name not in allowed_models(view, identity.contract):
            raise errors.Error(errors.Kind.UNKNOWN_MODEL, param="model")
        return _describe(name)


def allowed_models(view: model.View, contract: model.Contract) -> list[str]:
    """Return the names of the models that a contract allows."""
    names = {name for service in view.services.values() for name in service.models}
    if contract.models:
        names &= set(contract.models)
    return sorted(names)


def find_service(
    view: model.View, contract: model.Contract, name: str
) -> model.Service:
    """Return the service of a model; raise ``UNKNOWN_MODEL``."""
    for service in view.services.values():
        if service.kind is model.ServiceKind.MODEL and name in service.models:
            if contract.models and name not in contract.models:
                break
            return service
    raise errors.Error(errors.Kind.UNKNOWN_MODEL, param="model")


async def _complete(path: str, *, is_chat: bool) -> quart.Response:
    parts = services.current()
    identity = auth.authenticate()
    deadline = read_deadline()
    raw = await quart.request.get_data(cache=False)
    call = bodies.read_model_call(raw, is_chat)
    service = find_service(parts.replica.view, identity.contract, call.model)
    session = auth.open_session(identity)
    try:
        await parts.limiter.admit(identity.contract, deadline=deadline)
        parts.metrics.count_admitted(identity.team)
        answer = await parts.pipeline.run(
            messages.Request(
                request_id=quart.g.request_id,
                team=identity.team,
                contract=identity.contract,
                service=service.name,
                method="POST",
                path=path,
                deadline=deadline,
                headers=tuple(quart.request.headers.items()),
                body=call.raw,
                model=call.model,
                streamed=call.streamed,
                idempotent=True,
                withdrawn=session.withdrawn,
            )
        )
        return respond(answer, session)
    except BaseException:
        session.close()
        raise


def read_deadline() -> float:
    """Return the request's deadline on the local monotonic clock."""
    parts = services.current()
    longest = parts.settings.online.deadline_s
    given = quart.request.headers.get(DEADLINE_HEADER)
    if given is None:
        return parts.clock.monotonic() + longest
    try:
        left = float(given)
    except ValueError:
        left = -1.0
    if not 0 < left < float("inf"):
        raise bodies.bad_request(
            f"{DEADLINE_HEADER} must be a number of seconds above 0."
        )
    return parts.clock.monotonic() + min(left, longest)


def read_idempotency_key() -> str:
    """Return the request's idempotency key, or an empty text."""
    key = quart.request.headers.get(IDEMPOTENCY_HEADER, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        raise bodies.bad_request(
            "The idempotency key must have at most 255 characters."
        )
    return key


def respond(
    answer: messages.Response | messages.StreamResponse, session: auth.Session
) -> quart.Response:
    """Return the HTTP response of an answer and close the session with it."""
    if isinstance(answer, messages.StreamResponse):
        response = quart.Response(_relay(answer, session), status=answer.status)
    else:
        session.close()
        session.timer.finish()
        response = quart.Response(answer.body, status=answer.status)
        if answer.replayed:
            response.headers["x-turmerictally-replayed"] = "true"
    for name, value in answer.headers:
        if name.lower() == "content-type":
            response.headers["content-type"] = value
        elif name.lower() not in ("content-length", "x-request-id"):
            response.headers.add(name, value)
    return response


async def _relay(
    answer: messages.StreamResponse, session: auth.Session
) -> collections.abc.AsyncIterator[bytes]:
    error = errors.Error(errors.Kind.CANCELLED)
    try:
        chunk = b""
        async for chunk in answer:
            session.timer.record_token()
            yield chunk
        is_whole = chunk.endswith(events.DONE)
        error = None if is_whole else errors.Error(errors.Kind.ANSWER_INCOMPLETE)
    finally:
        answer.cancel()
        session.close()
        session.timer.finish(error)


def _describe(name: str) -> dict:
    return {"id": name, "object": "model", "created": 0, "owned_by": "turmerictally"}
