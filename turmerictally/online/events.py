"""Parse an engine's server-sent events and track a stream's token offsets."""

import json
import re

import attrs

from turmerictally import errors

DONE = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1024 * 1024

_MALFORMED = (AttributeError, KeyError, TypeError, ValueError, OverflowError)
_EVENT_END = re.compile(rb"\r?\n\r?\n")


class StreamInterruptedError(Exception):
    """Raised if a stream breaks off; ``crossed`` marks data of another request."""

    def __init__(self, reason: str, *, crossed: bool = False) -> None:
        self.reason = reason
        self.crossed = crossed
        super().__init__(reason)


@attrs.define
class Parser:
    """Split bytes into events; an incomplete event is never returned."""

    partial: bytes = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the events completed by these bytes."""
        data = self.partial + data
        if b"\r" in data:
            *complete, self.partial = _EVENT_END.split(data)
        else:
            *complete, self.partial = data.split(b"\n\n")
        if len(self.partial) > MAX_EVENT_BYTES:
            raise StreamInterruptedError("event too large")
        payloads = [_event_data(event) for event in complete]
        return [event for event in payloads if event]


def _event_data(event: bytes) -> bytes:
    if b"\n" not in event and event.startswith(b"data:"):
        return event[5:].strip()
    lines = [line for line in event.splitlines() if line.startswith(b"data:")]
    return b"\n".join(line[5:].strip() for line in lines)


@attrs.define
class Progress:
    """Track what one stream has delivered and whether it is complete.

    ``next`` is the offset of the next expected token. ``resumable`` becomes False if
    the engine sends no offsets, tool calls or more than one choice.
    """

    id: str
    next: int = 0
    tokens: list[str] = attrs.Factory(list)
    finished: bool = False
    done: bool = False
    resumable: bool = True
    delivered: bool = False

    def accept(self, data: bytes) -> bytes | None:
        """Return the event to deliver, or None if it was already delivered.

        Raises ``StreamInterruptedError`` when the event does not continue this stream.
        """
        if data == b"[DONE]":
            return self._end()
        chunk = self._parse(data)
        try:
            continues = self._advance(chunk)
        except _MALFORMED as error:
            raise StreamInterruptedError("malformed event") from error
        if not continues:
            return None
        self.delivered = True
        return b"data: " + data + b"\n\n"

    def _end(self) -> bytes:
        if not self.finished:
            raise StreamInterruptedError("end without a finish reason")
        self.done = True
        return DONE

    def _parse(self, data: bytes) -> dict:
        try:
            chunk = json.loads(data)
            owner = str(chunk["id"])
        except (ValueError, KeyError, TypeError) as error:
            raise StreamInterruptedError("malformed event") from error
        if "error" in chunk:
            raise StreamInterruptedError("the engine reported an error")
        if not owner.endswith(self.id):
            raise StreamInterruptedError("event of another request", crossed=True)
        return chunk

    def _advance(self, chunk: dict) -> bool:
        """Advance by the chunk's tokens; return False if it was already delivered."""
        choices = chunk.get("choices") or []
        text = "".join(_text(choice) for choice in choices)
        if len(choices) > 1 or (text and "offset" not in chunk):
            self.resumable = False
        if any(_has_tool_calls(choice) for choice in choices):
            self.resumable = False
        elif self.next and choices and not text and not _has_finish_reason(choices):
            return False  # the opening chunk of a resumed stream, without text
        if text and self.resumable:
            count = int(chunk.get("tokens", 1))
            if not self._continues(int(chunk["offset"]), count):
                return False
            self.next += count
            self.tokens.append(text)
        if _has_finish_reason(choices):
            was_finished, self.finished = self.finished, True
            return not was_finished
        return True

    def _continues(self, offset: int, count: int) -> bool:
        if count < 1:
            raise StreamInterruptedError("text without a token")
        if offset == self.next:
            return True
        if offset + count <= self.next:
            return False
        raise StreamInterruptedError(f"token {offset} follows token {self.next}")


def _text(choice: dict) -> str:
    delta = choice.get("delta")
    if isinstance(delta, dict):
        return delta.get("content") or ""
    return choice.get("text") or ""


def _has_tool_calls(choice: dict) -> bool:
    delta = choice.get("delta")
    return isinstance(delta, dict) and bool(delta.get("tool_calls"))


def _has_finish_reason(choices: list[dict]) -> bool:
    return any(choice.get("finish_reason") for choice in choices)


def error_event(error: errors.Error) -> bytes:
    """Return the event that ends an incomplete stream."""
    body = json.dumps(error.body(), separators=(",", ":"))
    return b"data: " + body.encode() + b"\n\n"
