"""Parse and write HTTP/1.1 messages, strictly by RFC 9112.

Heads go through httptools, a parser in C. As it is lenient in places, the bytes are
checked before. The framing of bodies is parsed here, so that bytes after a message
aren't mixed with it.
"""

import enum
import re

import attrs
import httptools

Headers = list[tuple[bytes, bytes]]

MAX_LENGTH_DIGITS = 20  # of a body's length and of a chunk's size; enough for 2 ** 64
MAX_CHUNK_HEAD_BYTES = 4 * 1024  # with chunk extensions, which are ignored
MAX_TRAILER_BYTES = 16 * 1024  # after the last chunk
BODILESS_STATUSES = frozenset({204, 304})

_TOKEN = rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+"
# No control characters but tabs, which excludes bare line feeds and folded lines.
_LINES = rb"(?:" + _TOKEN + rb":[\t\x20-\x7e\x80-\xff]*\r\n)*"
_REQUEST_HEAD = re.compile(
    _TOKEN + rb" [\x21-\x7e]+ HTTP/1\.[01]\r\n" + _LINES + rb"\r\n",
)
_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n" + _LINES + rb"\r\n"
)
_TRAILERS = re.compile(_LINES + rb"\r\n")
_CHUNK_HEAD = re.compile(
    rb"([0-9A-Fa-f]{1,%d})(?:;[\t\x20-\x7e\x80-\xff]{0,%d}|[ \t]{0,%d})\r\n"
    % (MAX_LENGTH_DIGITS, MAX_CHUNK_HEAD_BYTES, MAX_CHUNK_HEAD_BYTES)
)
_HEAD_END = b"\r\n\r\n"


class ProtocolError(Exception):
    """Report an invalid HTTP/1.1 message; ``too_large`` for a head over the limit."""

    def __init__(self, reason: str, *, too_large: bool = False) -> None:
        self.too_large = too_large
        super().__init__(reason)


class Framing(enum.Enum):
    """Name how the end of a body is determined."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunks"
    UNTIL_CLOSE = "to the connection's end"


class ChunkPart(enum.Enum):
    """Name which part of a chunked body comes next."""

    HEAD = "head"
    DATA = "data"
    DATA_END = "end of data"
    TRAILERS = "trailers"


# Looking up an enumeration member each time costs as much as parsing a chunk.
_NONE, _LENGTH, _CHUNKED, _UNTIL_CLOSE = Framing
_AT_HEAD, _AT_DATA, _AT_DATA_END, _AT_TRAILERS = ChunkPart


@attrs.define(eq=False)
class Head:
    """Hold the head of a message.

    A request's ``status`` is 0, a response's ``method`` is empty. ``headers`` are as
    sent; ``values`` maps lower-case names to values, repeated ones joined by commas.
    ``closes_connection`` is whether the sender closes the connection after the message.
    """

    headers: Headers = attrs.Factory(list)
    values: dict[bytes, bytes] = attrs.Factory(dict)
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    version: bytes = b"1.1"
    closes_connection: bool = False
    length: int | None = None
    chunked: bool = False

    def on_url(self, url: bytes) -> None:
        """Append to the target (httptools callback)."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (httptools callback)."""
        value = value.strip(b" \t")
        self.headers.append((name, value))
        lower = name.lower()
        previous = self.values.get(lower)
        self.values[lower] = value if previous is None else previous + b", " + value

    def parse_framing(self) -> None:
        """Determine how the body is framed; raises ``ProtocolError``."""
        length = self.values.get(b"content-length")
        if length is not None:
            lengths = {each.strip(b" \t") for each in length.split(b",")}
            length = lengths.pop()
            if lengths or not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
                raise ProtocolError("bad or conflicting lengths")
            self.length = int(length)
        coding = self.values.get(b"transfer-encoding")
        if coding is not None:
            if coding.lower() != b"chunked":
                raise ProtocolError("transfer encoding other than chunked")
            if length is not None:
                raise ProtocolError("both a length and a transfer encoding")
            self.chunked = True
        options = self.values.get(b"connection", b"").lower().split(b",")
        self.closes_connection = self.version == b"1.0" or any(
            option.strip(b" \t") == b"close" for option in options
        )


@attrs.define(eq=False)
class Reader:
    """Parse consecutive messages from a connection's bytes.

    ``buffer`` holds the bytes not parsed yet, ``eof`` is whether the other end has
    stopped sending, and ``complete`` whether ``current``, the message whose head was
    parsed last, was read to its end.
    """

    max_head_bytes: int
    reads_responses: bool
    request_method: bytes = b"GET"  # of the request that a response belongs to
    buffer: bytes = b""
    eof: bool = False
    current: Head | None = None
    complete: bool = False
    framing: Framing = _NONE
    remaining: int = 0  # bytes of a body with a length, or of a chunk
    chunk_part: ChunkPart = _AT_HEAD
    error: ProtocolError | None = None
    searched: int = 0  # bytes of ``buffer`` known to contain no end of a head

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty bytes mean the end of the connection."""
        if data:
            self.buffer = self.buffer + data if self.buffer else data
        else:
            self.eof = True

    def expect_response(self, request_method: bytes) -> None:
        """Prepare for the response to a request with this method."""
        self.request_method = request_method
        self.current = None
        self.complete = False

    def head(self) -> Head | None:
        """Return the next head, None if incomplete; raises ``ProtocolError``."""
        end = self.buffer.find(_HEAD_END, max(0, self.searched - 3))
        if end < 0 or end + len(_HEAD_END) > self.max_head_bytes:
            self.searched = len(self.buffer)
            if end >= 0 or self.searched > self.max_head_bytes:
                raise ProtocolError("head too large", too_large=True)
            if self.eof:
                raise ProtocolError("connection ended")
            self._check_partial_head()
            return None
        end += len(_HEAD_END)
        raw, self.buffer = self.buffer[:end], self.buffer[end:]
        self.searched = 0
        head = (
            parse_response_head(raw)
            if self.reads_responses
            else parse_request_head(raw)
        )
        self._begin(head)
        return head

    def _check_partial_head(self) -> None:
        """Fail early on bytes that cannot become a valid head."""
        if self.buffer and not b"\x20" < self.buffer[:1] < b"\x7f":
            raise ProtocolError("no HTTP")
        if self.buffer.count(b"\n") != self.buffer.count(b"\r\n"):
            raise ProtocolError("bare line feed")

    def _begin(self, head: Head) -> None:
        self.current = head
        self.chunk_part = _AT_HEAD
        self.remaining = 0
        self.error = None
        self.framing = _NONE
        bodiless = (
            head.status < 200
            or head.status in BODILESS_STATUSES
            or self.request_method == b"HEAD"
        )
        if self.reads_responses and bodiless:
            pass
        elif head.chunked:
            self.framing = _CHUNKED
        elif head.length is not None:
            self.framing = _LENGTH
            self.remaining = head.length
        elif self.reads_responses:
            self.framing = _UNTIL_CLOSE
        self.complete = self.framing is _NONE or (
            self.framing is _LENGTH and not self.remaining
        )

    def body(self) -> bytes:
        """Return the body's bytes received so far; raises ``ProtocolError``.

        An error is raised only after all bytes before it were returned.
        """
        if self.complete:
            return b""
        if self.error is not None:
            raise self.error
        if not self.buffer and not self.eof:
            return b""
        if self.framing is _CHUNKED:
            data = self._read_chunks()
        elif self.framing is _LENGTH:
            data = self.buffer[: self.remaining]
            self.buffer = self.buffer[len(data) :]
            self.remaining -= len(data)
            self.complete = not self.remaining
        else:
            data, self.buffer = self.buffer, b""
            self.complete = self.eof
        if self.eof and not self.complete:
            self.error = self.error or ProtocolError("message cut off")
        if self.error is not None and not data:
            raise self.error
        return data

    def _read_chunks(self) -> bytes:
        """Return the data of the chunks received so far."""
        data, at = self.buffer, 0
        if self.chunk_part is _AT_HEAD and (line := _CHUNK_HEAD.match(data)):
            start = line.end()
            end = start + int(line[1], 16)
            if end > start and len(data) == end + 2 and data.endswith(b"\r\n"):
                # The fast path: exactly one complete chunk, as servers send events.
                self.buffer = b""
                return data[start:end]
        parts: list[bytes] = []
        while True:
            if self.chunk_part is _AT_DATA:
                part = data[at : at + self.remaining]
                if not part:
                    break
                parts.append(part)
                at += len(part)
                self.remaining -= len(part)
                if self.remaining:
                    break
                self.chunk_part = _AT_DATA_END
            if self.chunk_part is _AT_DATA_END:
                if not data.startswith(b"\r\n", at):
                    if not b"\r\n".startswith(data[at : at + 2]):
                        self.error = ProtocolError("no end of a chunk")
                    break
                at += 2
                self.chunk_part = _AT_HEAD
            if self.chunk_part is _AT_HEAD:
                line = _CHUNK_HEAD.match(data, at)
                if line is None:
                    self._check_partial_chunk_head(data, at)
                    break
                at = line.end()
                self.remaining = int(line[1], 16)
                self.chunk_part = _AT_DATA if self.remaining else _AT_TRAILERS
            if self.chunk_part is _AT_TRAILERS:
                at = self._skip_trailers(data, at)
                break
        self.buffer = data[at:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _check_partial_chunk_head(self, data: bytes, at: int) -> None:
        """Set an error unless the bytes may become a valid chunk head."""
        head = data[at : at + MAX_CHUNK_HEAD_BYTES]
        digits = re.match(rb"[0-9A-Fa-f]*", head).end()
        if (
            b"\n" in head
            or len(head) == MAX_CHUNK_HEAD_BYTES
            or digits > MAX_LENGTH_DIGITS
            or (head and not digits)
            or (digits < len(head) and head[digits] not in b" \t;\r")
        ):
            self.error = ProtocolError("bad head of a chunk")

    def _skip_trailers(self, data: bytes, at: int) -> int:
        """Skip the trailers if complete; return the position to go on from."""
        trailers = _TRAILERS.match(data, at, at + MAX_TRAILER_BYTES)
        if trailers is not None:
            self.complete = True
            return trailers.end()
        lines = data[at : at + MAX_TRAILER_BYTES]
        last = lines.rfind(b"\n") + 1
        if len(lines) == MAX_TRAILER_BYTES or (
            last and not re.fullmatch(_LINES, lines[:last])
        ):
            self.error = ProtocolError("bad lines after the last chunk")
        return at

    def keeps_alive(self) -> bool:
        """Return whether another message may follow the complete one."""
        return self.complete and not self.eof and not self.current.closes_connection

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the connection's end tells that of the message."""
        return self.framing is _UNTIL_CLOSE

    @property
    def needs_data(self) -> bool:
        """Return whether the message is incomplete and all received was returned."""
        return not self.complete and not self.buffer and self.error is None


def parse_request_head(raw: bytes) -> Head:
    """Return the head of a request; raises ``ProtocolError``."""
    if not _REQUEST_HEAD.fullmatch(raw):
        raise ProtocolError("bad head of a request")
    head = Head()
    parser = httptools.HttpRequestParser(head)
    _parse(parser, head, raw)
    head.method = parser.get_method()
    hosts = sum(name.lower() == b"host" for name, _ in head.headers)
    if hosts > 1 or (not hosts and head.version != b"1.0"):
        raise ProtocolError("no host, or several")
    return head


def parse_response_head(raw: bytes) -> Head:
    """Return the head of a response; raises ``ProtocolError``."""
    if not _RESPONSE_HEAD.fullmatch(raw):
        raise ProtocolError("bad head of an answer")
    head = Head()
    parser = httptools.HttpResponseParser(head)
    _parse(parser, head, raw)
    head.status = parser.get_status_code()
    if head.status == 101:
        raise ProtocolError("change of protocol that nobody asked for")
    return head


def _parse(
    parser: httptools.HttpRequestParser | httptools.HttpResponseParser,
    head: Head,
    raw: bytes,
) -> None:
    try:
        parser.feed_data(raw)
    except httptools.HttpParserUpgrade:
        # The client offers another protocol; the offer is ignored.
        pass
    except httptools.HttpParserError as error:
        raise ProtocolError(str(error)) from error
    head.version = parser.get_http_version().encode()
    head.parse_framing()


def write_request_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    """Serialize a request's head; raises ``ProtocolError`` if it would be invalid."""
    return _write_head(b"%b %b HTTP/1.1" % (method, target), headers, _REQUEST_HEAD)


def write_response_head(status: int, headers: Headers) -> bytes:
    """Serialize a response's head; raises ``ProtocolError`` if it would be invalid."""
    return _write_head(b"HTTP/1.1 %d " % status, headers, _RESPONSE_HEAD)


def _write_head(
    first_line: bytes, headers: Headers, pattern: re.Pattern[bytes]
) -> bytes:
    lines = [first_line, *(b"%b: %b" % header for header in headers), b"", b""]
    raw = b"\r\n".join(lines)
    if not pattern.fullmatch(raw):
        raise ProtocolError("head cannot be sent")
    return raw


def write_chunk(data: bytes) -> bytes:
    """Frame data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
