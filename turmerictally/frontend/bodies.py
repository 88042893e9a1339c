"""Read and check JSON bodies."""

import json
import typing

import attrs
import quart

from turmerictally import errors

TOO_DEEP_DETAIL = "The JSON is nested too deeply."


@attrs.frozen
class ModelCall:
    """Hold the checked fields of a completion request and its raw body."""

    model: str
    streamed: bool
    raw: bytes = attrs.field(repr=False)


async def read_json() -> typing.Any:
    """Return the current request's JSON value; raise ``BAD_REQUEST``."""
    return parse_json(await quart.request.get_data(cache=False))


def parse_json(raw: bytes) -> typing.Any:
    """Return the value of JSON text; raise ``BAD_REQUEST``."""
    try:
        return json.loads(raw, parse_constant=_refuse_constant)
    except RecursionError as error:
        raise bad_request(TOO_DEEP_DETAIL) from error
    except ValueError as error:
        raise bad_request("The body is not valid JSON.") from error


def read_model_call(raw: bytes, is_chat: bool) -> ModelCall:
    """Return a completion request's checked body; raise ``BAD_REQUEST``."""
    value = parse_json(raw)
    if not isinstance(value, dict):
        raise bad_request("The body must be a JSON object.")
    name = value.get("model")
    if not isinstance(name, str) or not name:
        raise bad_request("model must be a text.", "model")
    stream = value.get("stream", False)
    if stream not in (True, False, None):
        raise bad_request("stream must be true or false.", "stream")
    _check_prompt(value, is_chat)
    _check_max_tokens(value)
    return ModelCall(model=name, streamed=bool(stream), raw=raw)


def _check_prompt(value: dict, is_chat: bool) -> None:
    if not is_chat:
        if not isinstance(value.get("prompt"), (str, list)):
            raise bad_request("prompt must be a text or a list.", "prompt")
        return
    messages = value.get("messages")
    if not isinstance(messages, list) or not messages:
        raise bad_request("messages must be a non-empty list.", "messages")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise bad_request("Each message needs a role.", f"messages[{index}]")


def _check_max_tokens(value: dict) -> None:
    for name in ("max_tokens", "max_completion_tokens"):
        limit = value.get(name)
        if limit is None:
            continue
        if isinstance(limit, bool) or not isinstance(limit, int) or limit < 1:
            raise bad_request(f"{name} must be a whole number above 0.", name)


def bad_request(detail: str, param: str | None = None) -> errors.Error:
    """Return a ``BAD_REQUEST`` error."""
    return errors.Error(errors.Kind.BAD_REQUEST, detail, param=param)


def _refuse_constant(name: str) -> None:
    raise ValueError(f"expected a JSON value, got the constant {name}")
