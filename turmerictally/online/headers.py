"""Decide which headers and query parameters pass between callers and servers."""

import urllib.parse

from turmerictally import errors
from turmerictally.online import messages

REQUEST_ID = "x-request-id"
CLASS = "x-engine-class"
RESUME_OFFSET = "x-engine-resume-offset"
PREFIX_TOKENS = "x-engine-prefix-tokens"
LOAD = "x-engine-load"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
CREDENTIAL_HEADERS = frozenset(
    {
        "authorization",
        "api-key",
        "cookie",
        "cookie2",
        "openai-api-key",
        "x-api-key",
        "x-auth-token",
        "x-goog-api-key",
    }
)
REPLACED_REQUEST_HEADERS = frozenset(
    {
        "accept-encoding",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        REQUEST_ID,
        CLASS,
        RESUME_OFFSET,
        PREFIX_TOKENS,
    }
)
CREDENTIAL_PARAMETERS = frozenset(
    {"access_token", "api_key", "api-key", "apikey", "key"}
)
INTERNAL_RESPONSE_HEADERS = frozenset(
    {
        "content-length",
        "date",
        "server",
        "set-cookie",
        LOAD,
        REQUEST_ID,
        # Only a host knows whether a request may have run.
        errors.RAN_HEADER,
    }
)


def for_server(request: messages.Request, attempt_id: str) -> list[tuple[str, str]]:
    """Return the headers sent to a backend server, without the caller's key."""
    dropped = (
        HOP_BY_HOP
        | CREDENTIAL_HEADERS
        | REPLACED_REQUEST_HEADERS
        | _named_by_connection(request.headers)
    )
    passed = [(n, v) for n, v in request.headers if n.lower() not in dropped]
    passed.append((REQUEST_ID, attempt_id))
    passed.append((CLASS, request.work.value))
    passed.append(("accept-encoding", "identity"))
    if not request.idempotent:
        passed.append(("idempotency-key", attempt_id))
    return passed


def query_for_server(query: str) -> str:
    """Return the query string without parameters that carry keys."""
    parts = [part for part in query.split("&") if part]
    return "&".join(part for part in parts if not _is_credential(part))


def for_caller(headers: list[tuple[str, str]]) -> messages.Headers:
    """Return the response headers that are passed to the caller."""
    dropped = HOP_BY_HOP | INTERNAL_RESPONSE_HEADERS | _named_by_connection(headers)
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)


def _is_credential(part: str) -> bool:
    name = urllib.parse.unquote_plus(part.partition("=")[0])
    return name.lower() in CREDENTIAL_PARAMETERS


def _named_by_connection(headers) -> set[str]:
    named = [v for n, v in headers if n.lower() == "connection"]
    return {part.strip().lower() for value in named for part in value.split(",")}
