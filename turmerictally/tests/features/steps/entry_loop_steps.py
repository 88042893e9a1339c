"""Steps for the event loop's busy times, in real time."""

import json
import os
import select
import time

import behave
import prometheus_client
import prometheus_client.parser
import trio

from turmerictally.entry import host, stall_sampler, trace
from turmerictally.metrics import exposition

MAX_HOLD_S = 60.0


def play(context, main):
    """Run ``main`` in a monitored loop; keep the lines of log and sampler."""
    reader, writer = os.pipe()
    log = trace.Trace("h0", writer)
    context.monitor = host.LoopMonitor(log)

    async def run():
        trio.lowlevel.add_instrument(context.monitor)
        stall_sampler.StallSampler(context.monitor, writer).start()
        await trio.lowlevel.checkpoint()  # the first pass began before
        await main(reader)

    trio.run(run)
    context.lines = [json.loads(line) for line in log.waiting]
    os.close(reader)
    # The sampler's thread may still write: the test's process ends with its features.


def hold_the_loop(reader):
    until = time.monotonic() + MAX_HOLD_S
    while time.monotonic() < until:
        if select.select([reader], [], [], 0)[0]:
            return os.read(reader, 65536)
    raise AssertionError("no line while the loop was held")


@behave.when("a function holds the event loop until a line about it is written")
def held(context):
    async def main(reader):
        context.stalled = json.loads(hold_the_loop(reader))
        await trio.sleep(0)

    play(context, main)


@behave.then("that line names the function")
def named(context):
    assert context.stalled["event"] == "loop_stalled"
    assert context.stalled["busy_s"] >= stall_sampler.STALL_S
    assert any("hold_the_loop" in call for call in context.stalled["stack"])


@behave.then("the line at the end of the pass names it too")
def named_at_end(context):
    (line,) = [line for line in context.lines if line["event"] == "loop_late"]
    assert line["busy_s"] >= host.LATE_PASS_S
    assert any("hold_the_loop" in call for call in line["stack"])


@behave.when("{count:d} passes of the event loop do next to nothing")
def short_passes(context, count):
    async def main(reader):
        for _ in range(count):
            await trio.sleep(0)

    play(context, main)


def buckets(monitor):
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    family = exposition.duration_family(
        "busy", "Busy.", monitor.busy_times, monitor.short_passes
    )
    registry.register(exposition.Families([family]))
    text = prometheus_client.generate_latest(registry).decode()
    (parsed,) = prometheus_client.parser.text_string_to_metric_families(text)
    return {x.labels["le"]: x.value for x in parsed.samples if "le" in x.labels}


@behave.then("only passes that the metrics count as long have a line")
def only_long(context):
    counts = buckets(context.monitor)
    assert len(context.lines) == counts["+Inf"] - counts["0.25"], context.lines


@behave.then("the metrics count one long pass of the loop")
def one_long(context):
    counts = buckets(context.monitor)
    assert counts["+Inf"] - counts["0.25"] == 1, counts


@behave.then("the metrics count at least {count:d} passes of the loop")
def many_short(context, count):
    assert buckets(context.monitor)["+Inf"] >= count
