"""Decide which headers and query parameters pass between callers and servers."""

import urllib.parse

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
SECRETS = frozenset(
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
REPLACED = frozenset(
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
SECRET_PARAMETERS = frozenset({"access_token", "api_key", "api-key", "apikey", "key"})
INTERNAL_ANSWER = frozenset(
    {"content-length", "date", "server", "set-cookie", LOAD, REQUEST_ID}
)


def for_server(request: messages.Request, attempt_id: str) -> list[tuple[str, str]]:
    """Return the headers sent to a backend server, without the caller's key."""
    dropped = HOP_BY_HOP | SECRETS | REPLACED | _named_by_connection(request.headers)
    kept = [(n, v) for n, v in request.headers if n.lower() not in dropped]
    kept.append((REQUEST_ID, attempt_id))
    kept.append((CLASS, request.work.value))
    kept.append(("accept-encoding", "identity"))
    if not request.idempotent:
        kept.append(("idempotency-key", attempt_id))
    return kept


def query_for_server(query: str) -> str:
    """Return the query string without parameters that carry keys."""
    parts = [part for part in query.split("&") if part]
    return "&".join(part for part in parts if not _is_secret(part))


def for_caller(headers: list[tuple[str, str]]) -> messages.Headers:
    """Return the headers of an answer that a caller may see."""
    dropped = HOP_BY_HOP | INTERNAL_ANSWER | _named_by_connection(headers)
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)


def _is_secret(part: str) -> bool:
    name = urllib.parse.unquote_plus(part.partition("=")[0])
    return name.lower() in SECRET_PARAMETERS


def _named_by_connection(headers) -> set[str]:
    named = [v for n, v in headers if n.lower() == "connection"]
    return {part.strip().lower() for value in named for part in value.split(",")}
