"""Assemble the HTTP application for callers."""

import json
import logging
import secrets

import quart
import quart_trio
import trio
import werkzeug.exceptions

from turmerictally import errors, log
from turmerictally.frontend import (
    batches,
    connection,
    files,
    models,
    plain,
    services,
)

logger = logging.getLogger(__name__)

REQUEST_ID_HEADER = "x-request-id"
MAX_REQUEST_ID_LENGTH = 64

_KIND_BY_STATUS = {
    400: errors.Kind.BAD_REQUEST,
    404: errors.Kind.NOT_FOUND,
    405: errors.Kind.METHOD_NOT_ALLOWED,
    408: errors.Kind.BAD_REQUEST,
    413: errors.Kind.BODY_TOO_LARGE,
    414: errors.Kind.BAD_REQUEST,
    415: errors.Kind.BAD_REQUEST,
}


def make_app(components: services.Services) -> quart_trio.QuartTrio:
    """Return the application that serves callers with the host's components."""
    app = quart_trio.QuartTrio("turmerictally")
    app.request_class = connection.Request
    app.asgi_http_class = connection.Connection
    listen = components.settings.listen
    app.config["MAX_CONTENT_LENGTH"] = listen.max_body_bytes
    app.config["MAX_UPLOAD_LENGTH"] = listen.max_upload_bytes
    app.config["BODY_TIMEOUT"] = listen.body_timeout_s
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["PROVIDE_AUTOMATIC_OPTIONS"] = False
    app.extensions["services"] = components
    app.before_request(_start_request)
    app.after_request(_finish_request)
    app.register_error_handler(errors.Error, error_response)
    app.register_error_handler(werkzeug.exceptions.HTTPException, http_error_response)
    app.register_error_handler(Exception, unexpected_error_response)
    app.register_blueprint(_health)
    app.register_blueprint(models.blueprint)
    app.register_blueprint(files.blueprint)
    app.register_blueprint(batches.blueprint)
    app.register_blueprint(plain.blueprint)
    return app


_health = quart.Blueprint("health", __name__)


@_health.get("/healthz")
async def healthz() -> quart.Response:
    """Report that the process responds."""
    return quart.Response("ok\n", content_type="text/plain")


@_health.get("/readyz")
async def readyz() -> quart.Response:
    """Report to the load balancer whether this host accepts requests."""
    reason = services.current().readiness()
    if reason is None:
        return quart.Response("ready\n", content_type="text/plain")
    return quart.Response(f"{reason}\n", status=503, content_type="text/plain")


async def _start_request() -> None:
    request_id = _request_id(quart.request.headers)
    quart.g.request_id = request_id
    quart.g.started_at = services.current().clock.monotonic()
    log.request_id.set(request_id)
    _refuse_ambiguous_framing(quart.request.headers)
    running = services.current().running
    limit = services.current().settings.listen.max_running_requests
    if running.count >= limit:
        raise errors.Error(errors.Kind.OVERLOADED, retry_after_s=1.0)


async def _finish_request(response: quart.Response) -> quart.Response:
    request_id = getattr(quart.g, "request_id", None)
    if request_id:
        response.headers[REQUEST_ID_HEADER] = request_id
    return response


def _request_id(headers) -> str:
    caller_id = headers.get(REQUEST_ID_HEADER, "")
    has_safe_characters = (
        caller_id.replace("-", "").replace("_", "").isalnum() and caller_id.isascii()
    )
    if has_safe_characters and len(caller_id) <= MAX_REQUEST_ID_LENGTH:
        return f"{caller_id}.{secrets.token_hex(4)}"
    return f"req-{secrets.token_hex(12)}"


def _refuse_ambiguous_framing(headers) -> None:
    lengths = headers.getlist("content-length")
    codings = headers.getlist("transfer-encoding")
    if len(lengths) > 1 or (lengths and codings):
        raise errors.Error(errors.Kind.BAD_REQUEST, "The body's length is ambiguous.")
    for name in ("authorization", "host", "idempotency-key"):
        if len(headers.getlist(name)) > 1:
            raise errors.Error(errors.Kind.BAD_REQUEST, f"Repeated header: {name}.")


async def error_response(error: errors.Error) -> quart.Response:
    """Return the HTTP response for a typed error."""
    _record_refusal(error)
    body = json.dumps(error.body())
    response = quart.Response(
        body, status=error.status, content_type="application/json"
    )
    response.headers.update(error.headers())
    return response


def _record_refusal(error: errors.Error) -> None:
    """Count an error response and record it with the request's decisions."""
    components = quart.current_app.extensions.get("services")
    request_id = quart.g.get("request_id")
    if components is None or request_id is None:
        return
    components.metrics.count_refused(quart.g.get("team", ""), error.kind)
    components.metrics.decisions.record(
        request_id,
        "refused",
        kind=error.kind.value,
        ran=error.ran.value,
        detail=error.detail,
    )


async def http_error_response(
    error: werkzeug.exceptions.HTTPException,
) -> quart.Response:
    """Return the response for an HTTP exception of werkzeug."""
    kind = _KIND_BY_STATUS.get(error.code or 500, errors.Kind.BAD_REQUEST)
    return await error_response(errors.Error(kind))


async def unexpected_error_response(error: Exception) -> quart.Response:
    """Return the response for an unhandled exception, without its traceback."""
    typed_error = single_error(error)
    if typed_error is not None:
        return await error_response(typed_error)
    logger.error("Request failed unexpectedly.", exc_info=error)
    return await error_response(errors.Error(errors.Kind.INTERNAL))


def single_error(error: BaseException) -> errors.Error | None:
    """Return the typed error that an exception stands for, or None.

    An exception group counts only if all its exceptions are typed.
    """
    if isinstance(error, errors.Error):
        return error
    if isinstance(error, BaseExceptionGroup):
        inner_errors = [single_error(inner) for inner in error.exceptions]
        typed_errors = [inner for inner in inner_errors if inner is not None]
        if len(typed_errors) == len(inner_errors) and typed_errors:
            return typed_errors[0]
    if isinstance(error, trio.TooSlowError):
        return errors.Error(errors.Kind.DEADLINE_EXCEEDED)
    return None
