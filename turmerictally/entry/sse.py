"""Split a stream into whole events and follow their ids."""

import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024
# Comments and other events without an id, which do not bring a stream forward.
MAX_UNNUMBERED_BYTES = 16 * 1024
_END = re.compile(rb"\r?\n\r?\n")

# An event as servers send them: its id, perhaps a name, one line of data.
_USUAL = re.compile(rb"id: ?([0-9]{1,15})\n(?:event:[^\r\n]*\n)?data: ?([^\r\n]*)\n\n")


class SequenceError(Exception):
    """Report an event that does not continue the stream."""


@attrs.frozen
class Event:
    """Hold one event as it was sent, and its id."""

    raw: bytes
    id: int | None

    def data(self) -> bytes:
        """Return the event's data, its lines joined by line feeds."""
        lines = self.raw.splitlines()
        found = [line[5:] for line in lines if line.startswith(b"data:")]
        return b"\n".join(line.removeprefix(b" ") for line in found)


@attrs.define
class EventSplitter:
    """Split bytes into events; an unfinished event is never passed on.

    ``last`` is the id of the last whole event; the next one must follow it.
    """

    last_id: int | None = None
    buffer: bytes = b""
    unnumbered_bytes: int = 0
    event_count: int = 0  # of the events that were taken last

    def split(self, data: bytes) -> bytes:
        """Return the bytes of the events that are now whole; raises as ``feed``."""
        data = self.buffer + data
        end = self._scan(data, [])
        if end == len(data):
            return data
        found = self.feed(data[end:])
        self.event_count += len(found)
        return b"".join([data[:end], *(event.raw for event in found)])

    def split_data(self, data: bytes) -> list[bytes]:
        """Return the data of the events that are now whole, all with ids.

        Raises as ``feed`` does.
        """
        data = self.buffer + data
        found: list[bytes] = []
        end = self._scan(data, found)
        if end < len(data):
            for event in self.feed(data[end:]):
                if event.id is None:
                    raise SequenceError("event without an id")
                found.append(event.data())
        return found

    def _scan(self, data: bytes, texts: list[bytes]) -> int:
        """Take the usual events at the beginning; return where they end."""
        self.buffer = b""
        end = 0
        while match := _USUAL.match(data, end):
            number = int(match[1])
            if self.last_id is not None and number != self.last_id + 1:
                break
            self.last_id = number
            texts.append(match[2])
            end = match.end()
        self.event_count = len(texts)
        if texts:
            self.unnumbered_bytes = 0
        return end

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are now whole; raises ``SequenceError``."""
        self.buffer += data
        found = []
        start = 0
        for match in _END.finditer(self.buffer):
            found.append(self._event(self.buffer[start : match.end()]))
            start = match.end()
        self.buffer = self.buffer[start:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise SequenceError("event too large")
        return found

    def _event(self, raw: bytes) -> Event:
        number = None
        for line in raw.splitlines():
            if line.startswith(b"id:"):
                text = line[3:].strip()
                if not text.isdigit():
                    raise SequenceError("event id is no number")
                number = int(text)
        if number is None:
            self.unnumbered_bytes += len(raw)
            if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES:
                raise SequenceError("too much without an event id")
        else:
            self.unnumbered_bytes = 0
            if self.last_id is not None and number != self.last_id + 1:
                raise SequenceError(f"event {number} follows event {self.last_id}")
            self.last_id = number
        return Event(raw, number)
