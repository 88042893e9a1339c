"""Provide a request and parts of a streamed response as bytes, for benchmarks."""

REQUEST = (
    b"POST /ask/1 HTTP/1.1\r\nHost: calls.example\r\nAccept: text/event-stream\r\n"
    b"Content-Type: application/json\r\nAuthorization: Bearer key-of-the-counter\r\n"
    b"X-Request-Id: %d\r\nX-Deadline-Ms: 9000\r\nX-Token-Usage: 250,180\r\n"
    b"X-Prompt-Prefix: a:1,b:2\r\nUser-Agent: bench/1\r\nContent-Length: 2\r\n\r\n{}"
)
REQUEST_ID = rb"(?i)\r\nx-request-id: *(\d+)\r\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %d\r\n"
    b"X-Server-Stamp: 5f1c2a7be0\r\nKeep-Alive: timeout=5\r\n"
    b"Cache-Control: no-cache\r\n"
    b"Date: Fri, 04 Dec 2026 00:00:00 GMT\r\nTransfer-Encoding: chunked\r\n\r\n"
)
EVENT = b"id: %d\ndata: " + b"t" * 80 + b"\n\n"
