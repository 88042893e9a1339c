"""Decode requests and responses, and encode headers for servers and callers."""

import re

from turmerictally.entry import decoding, messages

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Set by the entry host; values from callers are dropped.
HOST_HEADERS = frozenset(
    {
        b"authorization",
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-tenant",
        b"x-wait-ms",
        b"x-hold",
        b"x-pin-ms",
        b"kv-from",
        b"kv-fetch",
        b"x-kv-backup",
    }
)
REPORT_PATH = b"/-/report"
NOT_FORWARDED = HOP_BY_HOP | HOST_HEADERS
NOT_FORWARDED_ON_RESUME = NOT_FORWARDED | {b"last-event-id"}
BEARER = re.compile(r"(?i)bearer +(\S+)$")
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
NUMBER = re.compile(r"\d{1,15}$")
DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?$")
# Prompt tokens and maximum output tokens.
TOKEN_USAGE = re.compile(r"(\d{1,9}) *, *(\d{1,9})$")


def read_request(
    method: bytes, target: bytes, headers: messages.Headers
) -> messages.Request:
    """Decode a caller's request."""
    named = {name.lower(): value for name, value in headers}
    bearer = BEARER.match(_text(named, b"authorization"))
    timeout_ms = _number(named, b"x-deadline-ms")
    usage = TOKEN_USAGE.match(_text(named, b"x-token-usage").strip())
    prompt_tokens, output_tokens = map(int, usage.groups()) if usage else (0, 0)
    hint = _number(named, b"x-length-hint")
    return messages.Request(
        method=method,
        target=target,
        hostname=_text(named, b"host").partition(":")[0],
        request_id=_text(named, b"x-request-id"),
        headers=headers,
        key=bearer[1] if bearer else "",
        timeout_s=None if timeout_ms is None else timeout_ms / 1000,
        resume_after=_number(named, b"last-event-id"),
        prompt_parts=tuple(
            part.partition(":")[0].strip()
            for part in _text(named, b"x-prompt-prefix").split(",")
            if part.strip()
        ),
        poll_wait_s=(_number(named, b"x-wait-ms") or 0) / 1000,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens if hint is None else min(hint, output_tokens),
        resumes=_text(named, b"resumes").strip(),
    )


def server_headers(
    request: messages.Request, context: messages.ForwardingContext, length: int
) -> messages.Headers:
    """Return the headers for a backend server."""
    resumed = context.resume_after is not None
    forwarded = _without(
        request.headers, NOT_FORWARDED_ON_RESUME if resumed else NOT_FORWARDED
    )
    forwarded.append((b"X-Deadline-Ms", b"%d" % max(1, int(context.timeout_s * 1000))))
    forwarded.append((b"X-Expect-Instance", context.instance.encode()))
    if context.team:
        forwarded.append((b"X-Tenant", context.team.encode()))
    if resumed:
        forwarded.append((b"Last-Event-Id", b"%d" % context.resume_after))
    if length or request.method not in (b"GET", b"HEAD", b"DELETE"):
        forwarded.append((b"Content-Length", b"%d" % length))
    return forwarded


def report_request(
    address: str, request_id: str
) -> tuple[bytes, bytes, messages.Headers]:
    """Return the request for a server's report on itself."""
    headers = [(b"Host", address.encode()), (b"X-Request-Id", request_id.encode())]
    return b"GET", REPORT_PATH, headers


def read_start_time(body: bytes) -> int | None:
    """Return when a server started, in Unix milliseconds, None if unreadable."""
    try:
        return decoding.read_object(body).integer("born")
    except decoding.DecodeError:
        return None


def read_head(status: int, headers: messages.Headers) -> messages.ResponseHead:
    """Decode the head of a server's response."""
    named = {name.lower(): value for name, value in headers}
    timeout = KEEP_ALIVE_TIMEOUT.search(named.get(b"keep-alive", b""))
    return messages.ResponseHead(
        status=status,
        headers=headers,
        request_id=_text(named, b"x-request-id"),
        signed=b"x-server-stamp" in named,
        # A 421 also means that the request did not run.
        not_run=b"x-not-executed" in named or status == 421,
        # A 421 comes from another server than the one addressed.
        leaving=named.get(b"server-leaving") == b"1" and status != 421,
        is_event_stream=named.get(b"content-type", b"").startswith(
            b"text/event-stream"
        ),
        keep_alive_s=float(timeout[1]) if timeout else None,
        limit_per_s=_rate(named, b"server-limit"),
        limit_text=_text(named, b"server-limit"),
    )


def caller_headers(head: messages.ResponseHead) -> messages.Headers:
    """Return the headers of a server's response to pass to the caller."""
    return _without(head.headers, HOP_BY_HOP)


def _without(headers: messages.Headers, dropped: frozenset[bytes]) -> messages.Headers:
    """Return the headers without ``dropped`` and those listed in ``Connection``."""
    lower = [name.lower() for name, _ in headers]
    if b"connection" in lower:
        values = [
            v for n, (_, v) in zip(lower, headers, strict=True) if n == b"connection"
        ]
        options = b",".join(values).lower().split(b",")
        dropped = dropped | {option.strip() for option in options}
    return [h for n, h in zip(lower, headers, strict=True) if n not in dropped]


def _text(named: dict[bytes, bytes], name: bytes) -> str:
    return named.get(name, b"").decode("latin-1")


def _rate(named: dict[bytes, bytes], name: bytes) -> float | None:
    """Return a positive rate, None if it is missing or not a number."""
    value = _text(named, name).strip()
    rate = float(value) if DECIMAL.match(value) else 0.0
    return rate or None


def _number(named: dict[bytes, bytes], name: bytes) -> int | None:
    value = _text(named, name).strip()
    return int(value) if NUMBER.match(value) else None
