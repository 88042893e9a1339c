"""Split a server-sent event stream into complete events and check their ids."""

import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024
# Comments and events without an id in a row; they do not advance a stream.
MAX_UNNUMBERED_BYTES = 16 * 1024
# Begins with a literal, for which the search is fastest.
_EVENT_END = re.compile(rb"\n\r?\n")
_MAX_EVENT_END_BYTES = 3

# What may stand between numbered events: comments and reconnection times.
_UNNUMBERED = re.compile(
    rb"(?:(?::|retry:)[^\r\n]*)?(?:\r?\n(?:(?::|retry:)[^\r\n]*)?)*"
)

# The fast path: an event as servers send it, with an id, optionally a name, and one
# line of data.
_SIMPLE_EVENT = re.compile(
    rb"id: ?([0-9]{1,15})\n(?:event:[^\r\n]*\n)?data: ?([^\r\n]*)\n\n"
)


_ID = re.compile(rb"[0-9]{1,15}")


class SequenceError(Exception):
    """Report an event that does not continue the stream."""


@attrs.frozen
class Event:
    """Hold one event's bytes as received, and its id."""

    raw: bytes
    id: int | None

    def data(self) -> bytes:
        """Return the event's data, its lines joined by line feeds."""
        lines = self.raw.splitlines()
        values = [line[5:] for line in lines if line.startswith(b"data:")]
        return b"\n".join(value.removeprefix(b" ") for value in values)


@attrs.define
class EventSplitter:
    """Split received bytes into events; incomplete events stay in ``buffer``.

    ``last_id`` is the id of the last complete event; the next one must follow it.
    ``event_count`` is the number of events that the last call returned.
    """

    last_id: int | None = None
    buffer: bytes = b""
    unnumbered_bytes: int = 0
    event_count: int = 0

    def split(self, data: bytes) -> bytes:
        """Return the bytes of the events that are now complete.

        Raises ``SequenceError``.
        """
        data, searched = self._join(data)
        end = self._scan(data, searched, [])
        if end == len(data):
            return data
        events = self._parse(data[end:], searched - end)
        self.event_count += len(events)
        return b"".join([data[:end], *(event.raw for event in events)])

    def split_data(self, data: bytes) -> list[bytes]:
        """Return the data of the events that are now complete, all with ids.

        Raises ``SequenceError``.
        """
        data, searched = self._join(data)
        texts: list[bytes] = []
        end = self._scan(data, searched, texts)
        if end < len(data):
            for event in self._parse(data[end:], searched - end):
                if event.id is None:
                    raise SequenceError("event without an id")
                texts.append(event.data())
        return texts

    def _join(self, data: bytes) -> tuple[bytes, int]:
        """Return the incomplete event with new data, and how much of it has no end."""
        searched = max(0, len(self.buffer) + 1 - _MAX_EVENT_END_BYTES)
        data, self.buffer = self.buffer + data, b""
        return data, searched

    def _scan(self, data: bytes, searched: int, texts: list[bytes]) -> int:
        """Consume leading simple events and collect their data; return their end."""
        end = 0
        # The start of a long event isn't looked at again with each part of it.
        if not searched or _EVENT_END.search(data, searched):
            while match := _SIMPLE_EVENT.match(data, end):
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

    def _parse(self, data: bytes, searched: int) -> list[Event]:
        """Return the complete events; the rest stays in ``buffer``.

        The first ``searched`` bytes are known to contain no end of an event.
        """
        events = []
        start = 0
        for match in _EVENT_END.finditer(data, max(0, searched)):
            events.append(self._parse_event(data[start : match.end()]))
            start = match.end()
        self.buffer = data[start:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise SequenceError("event too large")
        return events

    def _parse_event(self, raw: bytes) -> Event:
        number = None
        for line in raw.splitlines():
            if line.startswith(b"id:"):
                text = line[3:].strip()
                if not _ID.fullmatch(text):
                    raise SequenceError("event id is no number")
                number = int(text)
        if number is None:
            if not _UNNUMBERED.fullmatch(raw):
                raise SequenceError("event without an id")
            self.unnumbered_bytes += len(raw)
            if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES:
                raise SequenceError("too much without an event id")
        else:
            self.unnumbered_bytes = 0
            if self.last_id is not None and number != self.last_id + 1:
                raise SequenceError(f"event {number} follows event {self.last_id}")
            self.last_id = number
        return Event(raw, number)
