"""Write the structured log: bounded, without blocking requests."""

import collections
import json
import os
import time
import traceback
import typing

import msgspec
import trio

# Lines buffered for the reader of standard output; about 2 MB.
MAX_BUFFERED_LINES = 8000
# Lines per event and second; the rest are merged into a count. Several times a host's
# typical request rate.
MAX_LINES_PER_S = 200
FLUSH_S = 0.1  # collects lines into larger writes; also the wait for a stalled reader
WRITE_BYTES = 32 * 1024  # half of a pipe's default buffer
MAX_LOGGED_S = 1e6  # JSON can't represent infinity
ENCODER = msgspec.json.Encoder(enc_hook=str)


class Trace:
    """Buffer log lines and write them from a background task.

    A stalled reader doesn't delay requests: lines beyond ``MAX_BUFFERED_LINES`` are
    dropped, and their count is logged once the reader continues.
    """

    def __init__(self, host_id: str, descriptor: int = 1) -> None:
        self.host_id = host_id
        self.descriptor = descriptor
        self.waiting: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self.second = 0
        self.written: collections.Counter[str] = collections.Counter()
        self.merged: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.wake = trio.Event()

    def emit(self, event: str, request_id: str = "", **fields: typing.Any) -> None:
        """Log a decision: its inputs, their ages or versions, and its outcome."""
        self.counts[event] += 1
        now = time.time()
        if int(now) != self.second:
            self._start_second(int(now))
        self.written[event] += 1
        if self.written[event] > MAX_LINES_PER_S:
            self.merged[event] += 1
            return
        line = {"t": round(now, 3), "event": event}
        if request_id:
            line["request"] = request_id
        self._add(line | fields)

    def _start_second(self, second: int) -> None:
        self.second = second
        self.written.clear()
        for event, count in self.merged.items():
            self._add({"t": second, "event": "lines_merged", "of": event, "n": count})
        self.merged.clear()

    def _add(self, line: dict) -> None:
        if len(self.waiting) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self.waiting.append(_encode(line))
        if not self.wake.is_set():
            self.wake.set()

    async def run(self) -> None:
        """Write lines until cancelled."""
        os.set_blocking(self.descriptor, False)
        while True:
            await self.wake.wait()
            await trio.sleep(FLUSH_S)
            self.wake = trio.Event()
            await self._drain()

    async def _drain(self) -> None:
        while self.waiting:
            block = []
            size = 0
            while self.waiting and size < WRITE_BYTES:
                line = self.waiting.popleft()
                block.append(line)
                size += len(line)
            await self._write(b"\n".join([*block, b""]))
            if self.dropped:
                count, self.dropped = self.dropped, 0
                self._add({"t": time.time(), "event": "lines_dropped", "n": count})

    async def _write(self, data: bytes) -> None:
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                await trio.sleep(FLUSH_S)

    def flush(self) -> None:
        """Write the remaining lines at exit, as far as the reader accepts them."""
        data = b"\n".join([*self.waiting, b""])
        self.waiting.clear()
        while len(data) > 1:
            try:
                data = data[os.write(self.descriptor, data) :]
            except OSError:
                # The reader is stalled or gone and the process is exiting.
                return


def _encode(line: dict) -> bytes:
    try:
        return ENCODER.encode(line)
    except (TypeError, ValueError):
        # msgspec rejects invalid UTF-8 and some key types that json accepts.
        return json.dumps(line, separators=(",", ":"), default=str).encode()


def seconds(value: float) -> float:
    """Round an age for a log line; an infinite one is capped."""
    return round(min(value, MAX_LOGGED_S), 2)


def locate(error: Exception) -> str:
    """Return an unexpected error's type and where it was raised, without content."""
    *_, frame = traceback.extract_tb(error.__traceback__)
    name = os.path.basename(frame.filename)
    return f"{type(error).__name__} at {name}:{frame.lineno}"
