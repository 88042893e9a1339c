"""Log from a thread where the event loop is while it does not get on.

While the loop runs one task, no other one runs: no request, no readiness check, no log
line.
"""

import contextlib
import json
import os
import sys
import threading
import time
import types

import attrs

from turmerictally.entry import host as hosts

STALL_S = 0.5  # of one pass of the loop, from which on the sampler looks at what runs
SAMPLE_S = 1.0  # each sample interrupts the loop for as long as the thread takes
REPORT_S = 5.0  # between two lines about one stall
MAX_FRAMES = 8  # of a sampled stack, the innermost
STANDARD_ERROR = 2


@attrs.define(eq=False)
class StallSampler:
    """Log where the loop's thread is while a pass of the loop takes long.

    Processor use tells a loop that computes from a process that was suspended.
    """

    monitor: hosts.LoopMonitor
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
