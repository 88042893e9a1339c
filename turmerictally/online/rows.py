"""Define the stored rows and the rejections of idempotency claims."""

import base64
import hashlib

import attrs

from turmerictally import errors
from turmerictally.online import headers, messages

PREFIX = "idempotency/"
IN_PROGRESS = "in_progress"
DONE = "done"
UNKNOWN = "unknown"
RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Claim:
    """Represent the exclusive right to send one request.

    ``expires`` is wall-clock seconds; ``maybe_written`` is set once the row may exist.
    """

    row: str
    id: str
    team: str
    digest: str
    expires: float
    finished: bool = False
    not_run: bool = False
    maybe_written: bool = False
    response: messages.Response | None = None


def digest(request: messages.Request) -> str:
    """Return the digest that identifies a resend as the same request."""
    query = headers.query_for_server(request.query)
    parts = [request.method, request.path, query, request.service]
    text = "\0".join(parts).encode() + b"\0" + request.body
    return hashlib.sha256(text).hexdigest()


def in_progress() -> errors.Error:
    """Return the error for a resend while the first request runs."""
    return errors.Error(
        errors.Kind.IDEMPOTENCY_IN_PROGRESS, retry_after_s=RETRY_AFTER_S
    )


def unavailable() -> errors.Error:
    """Return the error for an attempt whose claim could not be written."""
    return errors.Error(
        errors.Kind.PLATFORM_UNAVAILABLE,
        "This attempt was not sent.",
        retry_after_s=RETRY_AFTER_S,
    )


def check_team(claim: Claim) -> None:
    """Reject a replay on open routes, where callers are not authenticated."""
    if not claim.team:
        raise errors.Error(
            errors.Kind.CONFLICT,
            "The request ran before; its answer is kept for teams only.",
            ran=errors.Ran.DONE,
        )


def encode(response: messages.Response) -> dict:
    """Return a response as a JSON-compatible mapping."""
    return {
        "status": response.status,
        "headers": [list(header) for header in response.headers],
        "body": base64.b64encode(response.body).decode(),
        "server": response.server,
    }


def decode(stored: dict) -> messages.Response:
    """Return the response from its ``encode`` form, marked as replayed."""
    return messages.Response(
        status=stored["status"],
        headers=tuple((name, value) for name, value in stored["headers"]),
        body=base64.b64decode(stored["body"]),
        server=stored["server"],
        replayed=True,
    )
