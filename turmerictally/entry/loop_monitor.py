"""Measure how long the event loop is busy between two waits, and tell what held it.

While the loop runs one task, no other one runs: no request, no readiness check, no log
line. A stall is therefore reported by a thread of its own.
"""

import contextlib
import json
import os
import sys
import threading
import time
import types

import attrs
import hdrh.histogram
import trio

from turmerictally.entry import trace as traces
from turmerictally.metrics import latency

SHORT_S = 0.005  # of one pass of the loop, up to which it is only counted
LATE_S = 0.25  # from which on it is logged
STALL_S = 0.5  # from which on the sampler looks at what runs
SAMPLE_S = 0.5
REPORT_S = 5.0  # between two lines about one stall
MAX_FRAMES = 8  # of a sampled stack, the innermost
STANDARD_ERROR = 2


@attrs.define(eq=False)
class LoopMonitor(trio.abc.Instrument):
    """Record the busy time of each pass of the event loop, and count wake-ups.

    ``short_passes`` counts those that ``busy_times`` leaves out. ``busy_since`` is the
    monotonic time at which the current pass began, None while the loop waits, and
    ``stack`` is where the sampler found it.
    """

    trace: traces.Trace
    wake_ups: int = 0
    busy_since: float | None = None
    short_passes: int = 0
    busy_times: hdrh.histogram.HdrHistogram = attrs.field(factory=latency.new_histogram)
    stack: list[str] = attrs.Factory(list)

    def after_io_wait(self, timeout: float) -> None:
        """Begin a pass; with a timeout of 0 other tasks were ready."""
        self.wake_ups += timeout > 0
        self.busy_since = time.monotonic()

    def before_io_wait(self, timeout: float) -> None:
        """End a pass, and log it if it took long."""
        if self.busy_since is None:
            return
        busy_s = time.monotonic() - self.busy_since
        self.busy_since = None
        if busy_s < SHORT_S:
            self.short_passes += 1
            return
        latency.record_seconds(self.busy_times, busy_s)
        if busy_s >= LATE_S:
            self.trace.emit("loop_late", busy_s=round(busy_s, 3), stack=self.stack)
            self.stack = []


@attrs.define(eq=False)
class StallSampler:
    """Log from a thread where the loop's thread is while a pass takes long.

    Processor use tells a loop that computes from a process that was suspended.
    """

    monitor: LoopMonitor
    descriptor: int = STANDARD_ERROR
    thread_id: int = attrs.field(factory=threading.get_ident)
    reported_pass: float | None = None
    next_report_at: float = float("-inf")

    def start(self) -> None:
        """Sample the calling thread's stalls for as long as the process lives."""
        threading.Thread(target=self._run, name="stall-sampler", daemon=True).start()

    def _run(self) -> None:
        sampled_at, cpu_s = time.monotonic(), time.process_time()
        while True:
            time.sleep(SAMPLE_S)
            now, cpu_now_s = time.monotonic(), time.process_time()
            self.sample(now, (cpu_now_s - cpu_s) / (now - sampled_at))
            sampled_at, cpu_s = now, cpu_now_s

    def sample(self, now: float, cores: float) -> None:
        """Log where the loop is if its pass is long; ``cores`` are in use."""
        began_at = self.monitor.busy_since
        if began_at is None or now - began_at < STALL_S:
            return
        frame = sys._current_frames().get(self.thread_id)
        if frame is None or self.monitor.busy_since != began_at:
            return
        self.monitor.stack = innermost_calls(frame)
        if self.reported_pass == began_at and now < self.next_report_at:
            return
        self.reported_pass, self.next_report_at = began_at, now + REPORT_S
        line = {
            "t": round(time.time(), 3),
            "event": "loop_stalled",
            "busy_s": round(now - began_at, 3),
            "cores": round(cores, 2),
            "stack": self.monitor.stack,
        }
        # A closed or stalled reader loses the line; the pass is logged at its end too.
        with contextlib.suppress(OSError):
            os.write(self.descriptor, json.dumps(line).encode() + b"\n")


def innermost_calls(frame: types.FrameType | None) -> list[str]:
    """Return the innermost functions of a stack with their lines, the current first."""
    calls = []
    while frame is not None and len(calls) < MAX_FRAMES:
        name = os.path.basename(frame.f_code.co_filename)
        calls.append(f"{name}:{frame.f_lineno} {frame.f_code.co_name}")
        frame = frame.f_back
    return calls
