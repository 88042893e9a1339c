"""Start, watch and stop the programs of a run; only those started here, by id."""

import contextlib
import ctypes
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

import attrs
import trio

PR_SET_PDEATHSIG = 1
POLL_S = 0.02
PORTS = (20_000, 32_000)  # below those that the system gives out by itself
GRACE_S = 8.0  # from SIGTERM to SIGKILL, as on the platform
GRACE_SLACK_S = 1.0
# A program that is told to stop before it handles signals ends by the signal; it has
# not begun to listen then.
STARTING_S = 3.0
libc = ctypes.CDLL(None)
given_ports = set()  # programs bind theirs later


def die_with_parent():
    """Let the kernel end a program when the soak itself is killed."""
    libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_ports(count):
    """Return ports that nothing listens at, nor gets for an outgoing connection."""
    found = set()
    while len(found) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in given_ports:
                found.add(port)
    given_ports.update(found)
    return list(found)


@attrs.define(eq=False)
class Program:
    """Hold one program, which may be started again."""

    name: str
    arguments: list
    folder: pathlib.Path
    environment: dict = attrs.Factory(dict)
    process: subprocess.Popen | None = None
    told: bool = False
    paused: bool = False
    started_at: float = 0.0

    @property
    def log(self):
        return self.folder / f"{self.name}.log"

    def start(self):
        self.told = False
        self.paused = False
        self.started_at = time.monotonic()
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.PIPE,
                stdout=out,
                stderr=subprocess.STDOUT,
                env=os.environ | self.environment,
                preexec_fn=die_with_parent,
            )

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    def pause(self):
        self.paused = True
        self.signal(signal.SIGSTOP)

    def wake(self):
        self.paused = False
        self.signal(signal.SIGCONT)

    async def kill(self):
        self.told = True
        self.signal(signal.SIGKILL)
        await self.ended()

    async def terminate(self):
        """Ask for a planned stop; return a complaint when it takes too long."""
        self.told = True
        self.wake()
        starting = time.monotonic() - self.started_at < STARTING_S
        self.signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_S + GRACE_SLACK_S):
            code = await self.ended()
            fine = code == 0 or (starting and code == -signal.SIGTERM)
            return None if fine else f"{self.name} ended with {code}"
        await self.kill()
        return f"{self.name} did not stop in {GRACE_S} s"

    async def ended(self):
        while self.running:
            await trio.sleep(POLL_S)
        return self.process.returncode if self.process else None

    def usage(self):
        """Return what the program takes of memory, descriptors and log."""
        proc = pathlib.Path("/proc") / str(self.process.pid)
        try:
            status = (proc / "status").read_text()
            descriptors = len(list((proc / "fd").iterdir()))
        except OSError:
            # It ended just now.
            return None
        lines = [line for line in status.splitlines() if line.startswith("VmHWM")]
        if not lines:
            return None
        alive_s = max(1.0, time.monotonic() - self.started_at)
        return {
            "host": self.name,
            "memory_mb": round(int(lines[0].split()[1]) / 1024),
            "descriptors": descriptors,
            "log_bytes_per_s": round(self.log.stat().st_size / alive_s),
        }
