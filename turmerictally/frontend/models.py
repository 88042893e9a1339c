"""Serve the completion API and the list of models."""

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
    """Run a chat completion."""
    return await _complete(CHAT_PATH, is_chat=True)


@blueprint.post(COMPLETIONS_PATH)
async def completions() -> quart.Response:
    """Run a text completion."""
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
    components = services.current()
    identity = auth.authenticate()
    deadline = read_deadline()
    raw = await quart.request.get_data(cache=False)
    call = bodies.read_model_call(raw, is_chat)
    service = find_service(components.replica.view, identity.contract, call.model)
    session = auth.open_session(identity)
    try:
        await components.limiter.admit(identity.contract, deadline=deadline)
        components.metrics.count_admitted(identity.team)
        server_response = await components.pipeline.run(
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
        return respond(server_response, session)
    except BaseException:
        session.close()
        raise


def read_deadline() -> float:
    """Return the request's deadline on the local monotonic clock."""
    components = services.current()
    max_deadline_s = components.settings.online.deadline_s
    header = quart.request.headers.get(DEADLINE_HEADER)
    if header is None:
        return components.clock.monotonic() + max_deadline_s
    try:
        deadline_s = float(header)
    except ValueError:
        deadline_s = -1.0
    if not 0 < deadline_s < float("inf"):
        raise bodies.bad_request(
            f"{DEADLINE_HEADER} must be a number of seconds above 0."
        )
    return components.clock.monotonic() + min(deadline_s, max_deadline_s)


def read_idempotency_key() -> str:
    """Return the request's idempotency key, or an empty string."""
    key = quart.request.headers.get(IDEMPOTENCY_HEADER, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        raise bodies.bad_request(
            "The idempotency key must have at most 255 characters."
        )
    return key


def respond(
    server_response: messages.Response | messages.StreamResponse, session: auth.Session
) -> quart.Response:
    """Return the HTTP response; a streamed one closes the session at its end."""
    if isinstance(server_response, messages.StreamResponse):
        response = quart.Response(
            _relay(server_response, session), status=server_response.status
        )
    else:
        session.close()
        session.timer.finish()
        response = quart.Response(server_response.body, status=server_response.status)
        if server_response.replayed:
            response.headers["x-turmerictally-replayed"] = "true"
    for name, value in server_response.headers:
        if name.lower() == "content-type":
            response.headers["content-type"] = value
        elif name.lower() not in ("content-length", "x-request-id"):
            response.headers.add(name, value)
    return response


async def _relay(
    server_response: messages.StreamResponse, session: auth.Session
) -> collections.abc.AsyncIterator[bytes]:
    error = errors.Error(errors.Kind.CANCELLED)
    try:
        chunk = b""
        async for chunk in server_response:
            session.timer.record_token()
            yield chunk
        is_complete = chunk.endswith(events.DONE)
        error = None if is_complete else errors.Error(errors.Kind.ANSWER_INCOMPLETE)
    finally:
        server_response.cancel()
        session.close()
        session.timer.finish(error)


def _describe(name: str) -> dict:
    return {"id": name, "object": "model", "created": 0, "owned_by": "turmerictally"}
