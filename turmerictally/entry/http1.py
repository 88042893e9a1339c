"""Read and write HTTP/1.1 messages, strictly by RFC 9112.

Heads go through a parser in C. Their bytes are checked before, as it is lenient in
places; the framing of bodies is read here, so that what follows a message stays apart.
"""

import enum
import re

import attrs
import httptools

Headers = list[tuple[bytes, bytes]]

MAX_LENGTH_DIGITS = 20  # of a body's length and of a chunk's size; 2 ** 64 has so many
MAX_CHUNK_HEAD_BYTES = 4 * 1024  # with its extensions, which nothing reads
MAX_TRAILER_BYTES = 16 * 1024  # after the last chunk
BODILESS_STATUSES = frozenset({204, 304})

_TOKEN = rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+"
# No control characters but tabs, so neither a bare line end nor a folded line passes.
_LINES = rb"(?:" + _TOKEN + rb":[\t\x20-\x7e\x80-\xff]*\r\n)*"
_REQUEST = re.compile(
    _TOKEN + rb" [\x21-\x7e]+ HTTP/1\.[01]\r\n" + _LINES + rb"\r\n",
)
_ANSWER = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n" + _LINES + rb"\r\n"
)
_TRAILERS = re.compile(_LINES + rb"\r\n")
_CHUNK = re.compile(
    rb"([0-9A-Fa-f]{1,%d})(?:;[\t\x20-\x7e\x80-\xff]{0,%d}|[ \t]{0,%d})\r\n"
    % (MAX_LENGTH_DIGITS, MAX_CHUNK_HEAD_BYTES, MAX_CHUNK_HEAD_BYTES)
)
_HEAD_END = b"\r\n\r\n"


class ProtocolError(Exception):
    """Report bytes that are no HTTP/1.1 message; ``too_large`` tells a head's size."""

    def __init__(self, reason: str, *, too_large: bool = False) -> None:
        self.too_large = too_large
        super().__init__(reason)


class Framing(enum.Enum):
    """Tell where a body ends."""

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    TO_END = "to the connection's end"


class Place(enum.Enum):
    """Tell which part of a chunked body comes next."""

    HEAD = "head"
    DATA = "data"
    DATA_END = "end of data"
    TRAILERS = "trailers"


# Reading a member of an enumeration each time costs as much as reading a chunk.
_NONE, _LENGTH, _CHUNKS, _TO_END = Framing
_CHUNK_HEAD, _DATA, _DATA_END, _LAST = Place


@attrs.define(eq=False)
class Head:
    """Hold a head; a request's ``status`` is 0, an answer's ``method`` is empty.

    ``headers`` are as sent, ``named`` holds the values by lower-case names, those of
    one name joined by commas. ``closes`` tells that its sender ends the connection.
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
        """Take the target, or a part of it."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        value = value.strip(b" \t")
        self.headers.append((name, value))
        lower = name.lower()
        before = self.values.get(lower)
        self.values[lower] = value if before is None else before + b", " + value

    def settle(self) -> None:
        """Read how the body is framed; raises ``ProtocolError``."""
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
    """Read messages from a connection's bytes, one after another.

    ``rest`` holds what was not read yet, ``ended`` that nothing more comes, and
    ``complete`` that the message begun by ``head`` is read to its end.
    """

    max_head_bytes: int
    reads_responses: bool
    request_method: bytes = b"GET"  # of the request that an answer answers
    buffer: bytes = b""
    eof: bool = False
    current: Head | None = None
    complete: bool = False
    framing: Framing = _NONE
    left: int = 0  # bytes of a counted body or chunk that are to come
    place: Place = _CHUNK_HEAD
    fault: ProtocolError | None = None
    searched: int = 0  # bytes of ``rest`` in which no head ends

    def feed(self, data: bytes) -> None:
        """Take bytes of the connection; none tell its end."""
        if data:
            self.buffer = self.buffer + data if self.buffer else data
        else:
            self.eof = True

    def expect_response(self, request_method: bytes) -> None:
        """Wait for the answer to a request of this method."""
        self.request_method = request_method
        self.current = None
        self.complete = False

    def head(self) -> Head | None:
        """Return the next head, None if it is not here; raises ``ProtocolError``."""
        end = self.buffer.find(_HEAD_END, max(0, self.searched - 3))
        if end < 0 or end + len(_HEAD_END) > self.max_head_bytes:
            self.searched = len(self.buffer)
            if end >= 0 or self.searched > self.max_head_bytes:
                raise ProtocolError("head too large", too_large=True)
            if self.eof:
                raise ProtocolError("connection ended")
            self._check_begin()
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

    def _check_begin(self) -> None:
        """Refuse at once what cannot become a head."""
        if self.buffer and not b"\x20" < self.buffer[:1] < b"\x7f":
            raise ProtocolError("no HTTP")
        if self.buffer.count(b"\n") != self.buffer.count(b"\r\n"):
            raise ProtocolError("bare line feed")

    def _begin(self, head: Head) -> None:
        self.current = head
        self.place = _CHUNK_HEAD
        self.left = 0
        self.fault = None
        self.framing = _NONE
        none = (
            head.status < 200
            or head.status in BODILESS_STATUSES
            or self.request_method == b"HEAD"
        )
        if self.reads_responses and none:
            pass
        elif head.chunked:
            self.framing = _CHUNKS
        elif head.length is not None:
            self.framing = _LENGTH
            self.left = head.length
        elif self.reads_responses:
            self.framing = _TO_END
        self.complete = self.framing is _NONE or (
            self.framing is _LENGTH and not self.left
        )

    def body(self) -> bytes:
        """Return the body's bytes that are here; raises ``ProtocolError``.

        What is wrong with the bytes is raised once all before it were returned.
        """
        if self.complete:
            return b""
        if self.fault is not None:
            raise self.fault
        if not self.buffer and not self.eof:
            return b""
        if self.framing is _CHUNKS:
            data = self._chunks()
        elif self.framing is _LENGTH:
            data = self.buffer[: self.left]
            self.buffer = self.buffer[len(data) :]
            self.left -= len(data)
            self.complete = not self.left
        else:
            data, self.buffer = self.buffer, b""
            self.complete = self.eof
        if self.eof and not self.complete:
            self.fault = self.fault or ProtocolError("message cut off")
        if self.fault is not None and not data:
            raise self.fault
        return data

    def _chunks(self) -> bytes:
        """Take the chunks' data that is here."""
        data, at = self.buffer, 0
        if self.place is _CHUNK_HEAD and (line := _CHUNK.match(data)):
            start = line.end()
            end = start + int(line[1], 16)
            if end > start and len(data) == end + 2 and data.endswith(b"\r\n"):
                # One whole chunk, as servers send their events.
                self.buffer = b""
                return data[start:end]
        found: list[bytes] = []
        while True:
            if self.place is _DATA:
                part = data[at : at + self.left]
                if not part:
                    break
                found.append(part)
                at += len(part)
                self.left -= len(part)
                if self.left:
                    break
                self.place = _DATA_END
            if self.place is _DATA_END:
                if not data.startswith(b"\r\n", at):
                    if not b"\r\n".startswith(data[at : at + 2]):
                        self.fault = ProtocolError("no end of a chunk")
                    break
                at += 2
                self.place = _CHUNK_HEAD
            if self.place is _CHUNK_HEAD:
                line = _CHUNK.match(data, at)
                if line is None:
                    self._check_chunk_head(data, at)
                    break
                at = line.end()
                self.left = int(line[1], 16)
                self.place = _DATA if self.left else _LAST
            if self.place is _LAST:
                at = self._trailers(data, at)
                break
        self.buffer = data[at:]
        return found[0] if len(found) == 1 else b"".join(found)

    def _check_chunk_head(self, data: bytes, at: int) -> None:
        """Note a fault unless a chunk's head may be on its way."""
        head = data[at : at + MAX_CHUNK_HEAD_BYTES]
        digits = re.match(rb"[0-9A-Fa-f]*", head).end()
        if (
            b"\n" in head
            or len(head) == MAX_CHUNK_HEAD_BYTES
            or digits > MAX_LENGTH_DIGITS
            or (head and not digits)
            or (digits < len(head) and head[digits] not in b" \t;\r")
        ):
            self.fault = ProtocolError("bad head of a chunk")

    def _trailers(self, data: bytes, at: int) -> int:
        """Pass over the lines after the last chunk; return where they end."""
        found = _TRAILERS.match(data, at, at + MAX_TRAILER_BYTES)
        if found is not None:
            self.complete = True
            return found.end()
        lines = data[at : at + MAX_TRAILER_BYTES]
        last = lines.rfind(b"\n") + 1
        if len(lines) == MAX_TRAILER_BYTES or (
            last and not re.fullmatch(_LINES, lines[:last])
        ):
            self.fault = ProtocolError("bad lines after the last chunk")
        return at

    def keeps_alive(self) -> bool:
        """Return whether another message may follow the one that is complete."""
        return self.complete and not self.eof and not self.current.closes_connection

    @property
    def needs_data(self) -> bool:
        """Return whether all that has come was returned and the message goes on."""
        return not self.complete and not self.buffer and self.fault is None


def parse_request_head(raw: bytes) -> Head:
    """Return the head of a request; raises ``ProtocolError``."""
    if not _REQUEST.fullmatch(raw):
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
    """Return the head of an answer; raises ``ProtocolError``."""
    if not _ANSWER.fullmatch(raw):
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
        # The caller offers another protocol; it is served in this one.
        pass
    except httptools.HttpParserError as error:
        raise ProtocolError(str(error)) from error
    head.version = parser.get_http_version().encode()
    head.settle()


def write_request_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    """Return a request's head; raises ``ProtocolError`` for what cannot be sent."""
    return _write(b"%b %b HTTP/1.1" % (method, target), headers, _REQUEST)


def write_response_head(status: int, headers: Headers) -> bytes:
    """Return an answer's head; raises ``ProtocolError`` for what cannot be sent."""
    return _write(b"HTTP/1.1 %d " % status, headers, _ANSWER)


def _write(first: bytes, headers: Headers, valid: re.Pattern[bytes]) -> bytes:
    lines = [first, *(b"%b: %b" % header for header in headers), b"", b""]
    raw = b"\r\n".join(lines)
    if not valid.fullmatch(raw):
        raise ProtocolError("head cannot be sent")
    return raw


def write_chunk(data: bytes) -> bytes:
    """Return a part of a body in chunks."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
