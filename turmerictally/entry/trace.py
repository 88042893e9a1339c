"""Write one structured line for each decision, bounded and without blocking."""

import collections
import json
import os
import time
import typing

import msgspec
import trio

# Lines that wait for the reader of standard output; about 2 MB.
MAX_WAITING = 8000
# Lines of one event a second before the rest are merged into a count; several
# times a host's usual requests a second.
MAX_PER_S = 200
FLUSH_S = 0.1  # how long a line may wait while the host is busy
WRITE_BYTES = 32 * 1024  # half of a pipe's usual buffer
MAX_LOGGED_S = 1e6  # JSON knows no infinity
ENCODER = msgspec.json.Encoder(enc_hook=str)


class Trace:
    """Collect lines and write them from a task of its own.

    A reader that stalls costs no request time: lines beyond ``MAX_WAITING`` are
    dropped, counted, and told once the reader goes on.
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
        """Add a line; ``fields`` are the inputs, their age or version, the outcome."""
        self.counts[event] += 1
        now = time.time()
        if int(now) != self.second:
            self._turn_second(int(now))
        self.written[event] += 1
        if self.written[event] > MAX_PER_S:
            self.merged[event] += 1
            return
        line = {"t": round(now, 3), "event": event}
        if request_id:
            line["request"] = request_id
        self._add(line | fields)

    def _turn_second(self, second: int) -> None:
        self.second = second
        self.written.clear()
        for event, count in self.merged.items():
            self._add({"t": second, "event": "lines_merged", "of": event, "n": count})
        self.merged.clear()

    def _add(self, line: dict) -> None:
        if len(self.waiting) >= MAX_WAITING:
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
        """Write what is left at the end, as far as the reader takes it at once."""
        data = b"\n".join([*self.waiting, b""])
        self.waiting.clear()
        while len(data) > 1:
            try:
                data = data[os.write(self.descriptor, data) :]
            except OSError:
                # The reader does not take more; the process ends now.
                return


def _encode(line: dict) -> bytes:
    try:
        return ENCODER.encode(line)
    except (TypeError, ValueError):
        # Text that is not UTF-8, or keys that JSON knows in other types only.
        return json.dumps(line, separators=(",", ":"), default=str).encode()


def seconds(value: float) -> float:
    """Return a time for a log line; one that never began is cut."""
    return round(min(value, MAX_LOGGED_S), 2)
