"""Steps for an entry host's signal handling."""

import contextlib
import fcntl
import json
import os
import pathlib
import signal
import struct
import subprocess
import sys
import tempfile
import termios
import time

import behave

GOOD_SETTINGS = """
host_id: h0
failure_domain: a
listen: {callers: "127.0.0.1:0", health: "127.0.0.1:0", peers: "127.0.0.1:0",
         metrics: "127.0.0.1:0"}
store: {url: "http://127.0.0.1:1"}
stop: {grace_s: 0.5, unready_s: 0.1}
"""
OTHER_SETTINGS = GOOD_SETTINGS.replace("0.5", "0.6")
PLAIN = ["-m", "turmerictally.platform"]
# The same, with a signal at the first import of a library.
SIGNAL_AT_FIRST_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name in ("attrs", "trio"):
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.NAME)

sys.meta_path.insert(0, Finder())
runpy.run_module("turmerictally.platform", run_name="__main__")
"""
READER_WAIT_S = 30.0  # until a process that never opens its settings has failed


def at_first_import(name):
    return SIGNAL_AT_FIRST_IMPORT.replace("NAME", name)


@contextlib.contextmanager
def running(path, command):
    """Run an entry host's process; it is stopped as planned at the end."""
    process = subprocess.Popen(
        [sys.executable, *command],
        env={**os.environ, "TURMERICTALLY_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield process
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=60) == 0
    finally:
        process.kill()
        process.stdout.close()


@contextlib.contextmanager
def folder():
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def read_until(process, event):
    for line in process.stdout:
        found = json.loads(line)
        if found["event"] == event:
            return found
    raise AssertionError(f"ended with {process.wait()} before {event}")


@behave.when(
    "an entry host's process gets SIGHUP twice, with valid and with invalid settings"
)
def hangup(context):
    with folder() as parent:
        path = parent / "settings.yaml"
        path.write_text(GOOD_SETTINGS)
        with running(path, PLAIN) as process:
            context.lines = [read_until(process, "started")]
            path.write_text(OTHER_SETTINGS)
            process.send_signal(signal.SIGHUP)
            context.lines.append(read_until(process, "reloaded"))
            path.write_text("stop: 5")
            process.send_signal(signal.SIGHUP)
            context.lines.append(read_until(process, "reload_failed"))
            context.alive = process.poll() is None


@behave.then("it keeps running, applied the valid ones and logged the errors")
def runs_on(context):
    assert context.alive
    assert context.lines[1]["changed"] is True
    assert context.lines[1]["whole"] is True
    assert "stop" in context.lines[2]["reason"]


@behave.when("an entry host's process gets SIGHUP before its first module is imported")
def hangup_at_import(context):
    with folder() as parent:
        path = parent / "settings.yaml"
        path.write_text(GOOD_SETTINGS)
        with running(path, ["-c", at_first_import("SIGHUP")]) as process:
            context.line = read_until(process, "started")


@behave.when("an entry host's process gets SIGTERM before its first module is imported")
def term_at_import(context):
    command = [sys.executable, "-c", at_first_import("SIGTERM")]
    context.status = subprocess.run(command, timeout=READER_WAIT_S).returncode


@behave.then("it ends with status {status:d}")
def ends_with(context, status):
    assert context.status == status, context.status


@behave.then("it starts and serves")
def starts(context):
    assert context.line["host"] == "h0"


def open_when_read(path, process):
    """Open a named pipe for writing as soon as the process reads it."""
    give_up = time.monotonic() + READER_WAIT_S
    while time.monotonic() < give_up and process.poll() is None:
        with contextlib.suppress(OSError):
            return os.fdopen(os.open(path, os.O_WRONLY | os.O_NONBLOCK), "w")
        time.sleep(0.01)
    raise AssertionError(f"settings were not read; status {process.poll()}")


def wait_until_read(pipe):
    """Wait until the reader took all; it then waits for the pipe's end."""
    give_up = time.monotonic() + READER_WAIT_S
    while struct.unpack("i", fcntl.ioctl(pipe, termios.FIONREAD, bytes(4)))[0]:
        assert time.monotonic() < give_up, "settings were not read to their end"
        time.sleep(0.01)


@behave.when("the settings change and SIGHUP comes while a starting process reads them")
def hangup_at_settings(context):
    with folder() as parent:
        path = parent / "settings.yaml"
        os.mkfifo(path)
        with running(path, PLAIN) as process:
            with open_when_read(path, process) as pipe:
                pipe.write(GOOD_SETTINGS)
                pipe.flush()
                wait_until_read(pipe)
                process.send_signal(signal.SIGHUP)
                # Another pipe, so that the next text is not read as part of this one.
                path.unlink()
                os.mkfifo(path)
            # The process may read them again before its first line is written.
            with open_when_read(path, process) as pipe:
                pipe.write(OTHER_SETTINGS)
            context.line = read_until(process, "reloaded")


@behave.then("it starts with the old settings and applies the new ones")
def takes(context):
    assert context.line["changed"] is True
