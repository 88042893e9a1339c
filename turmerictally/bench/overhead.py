"""Measure what an entry host adds to a direct call, by hand, over real sockets.

Workload: calls of one token one after another, and streams of 50 and 400 tokens, 20
at once, each kind in turn directly to an engine stand-in and through an entry host,
as ``examples/fleet.sh`` starts them (``HOST_URLS``, ``HOST_PIDS``, ``ENGINE_URL``,
``KEY``).
Baseline: the direct call of the same run.
Bound: the added latency at the 95th percentile is within a tenth of the 0.91 s to the
first token, and the CPU of a chunk allows the tokens a second of one host at the
target.
"""

import os
import pathlib
import time

import attrs
import httpx
import trio
from hdrh import histogram

from turmerictally import httpclient
from turmerictally.bench import report

NAME = "overhead"
SUMMARY = (
    "entry host against a direct call, by hand beside examples/fleet.sh; "
    "added p95 within 0.091 s; 14,000 tokens/s a host in the cores it may use"
)

CALLS = 200
STREAMS = 20
REPEATS = 3
SHORT_TOKENS = 50
LONG_TOKENS = 400
TIMEOUT_S = 60.0
CHAT = "/v1/chat/completions"
ADDED_P95_S = 0.091
TOKENS_PER_HOST_S = 5_600_000 / 400
HOST_CORES = 4.0  # cores of one entry host that may serve streams
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Way:
    """Name one way to an engine and the process whose CPU it costs."""

    name: str
    url: str
    pid: int | None
    headers: dict[str, str]

    def cpu(self) -> float:
        """Return the CPU seconds that the process has used."""
        if self.pid is None:
            return 0.0
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


@attrs.define
class Sample:
    """Hold latencies in microseconds and CPU seconds a unit."""

    latency: histogram.HdrHistogram = attrs.Factory(
        lambda: histogram.HdrHistogram(1, 60_000_000, 3)
    )
    cpu: list[float] = attrs.Factory(list)


def main() -> report.Report:
    """Run the measurement and return its report."""
    return trio.run(run)


async def run() -> report.Report:
    """Measure both ways in turn."""
    found = report.Report(NAME)
    ways = _ways()
    calls = {way.name: Sample() for way in ways}
    chunks = {way.name: Sample() for way in ways}
    async with httpclient.client(timeout=TIMEOUT_S) as client:
        for _ in range(REPEATS):
            for way in ways:
                await _calls(client, way, calls[way.name])
                await _chunks(client, way, chunks[way.name])
    for way in ways:
        found.rows.append(_row(way.name, calls[way.name], chunks[way.name]))
    _check(found, calls, chunks)
    return found


def _ways() -> list[Way]:
    key = os.environ["KEY"]
    host = os.environ["HOST_URLS"].split()[0]
    pid = int(os.environ["HOST_PIDS"].split()[0])
    direct = Way("direct", os.environ["ENGINE_URL"], None, {})
    through = Way("host", host, pid, {"authorization": f"Bearer {key}"})
    return [direct, through]


async def _calls(client: httpx.AsyncClient, way: Way, sample: Sample) -> None:
    began = way.cpu()
    for number in range(CALLS):
        at = time.perf_counter()
        answer = await client.post(
            way.url + CHAT, json=_body(f"call {number}", 1), headers=way.headers
        )
        answer.raise_for_status()
        sample.latency.record_value(round((time.perf_counter() - at) * 1e6))
    sample.cpu.append((way.cpu() - began) / CALLS)


async def _chunks(client: httpx.AsyncClient, way: Way, sample: Sample) -> None:
    """Take the CPU of a chunk from streams of two lengths."""
    short = await _streams(client, way, SHORT_TOKENS, None)
    long = await _streams(client, way, LONG_TOKENS, sample.latency)
    sample.cpu.append((long.cpu - short.cpu) / max(1, long.tokens - short.tokens))


@attrs.define
class Streamed:
    """Count tokens and CPU seconds of several streams."""

    tokens: int = 0
    cpu: float = 0.0


async def _streams(client, way: Way, count: int, gaps) -> Streamed:
    found = Streamed()
    began = way.cpu()
    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            nursery.start_soon(_stream, client, way, number, count, gaps, found)
    found.cpu = way.cpu() - began
    return found


async def _stream(client, way: Way, number: int, count: int, gaps, found) -> None:
    body = _body(f"stream {number}", count) | {"stream": True}
    url = way.url + CHAT
    last = None
    async with client.stream("POST", url, json=body, headers=way.headers) as answer:
        answer.raise_for_status()
        async for line in answer.aiter_lines():
            if not line.startswith("data: {"):
                continue
            found.tokens += 1
            now = time.perf_counter()
            if last is not None and gaps is not None:
                gaps.record_value(max(1, round((now - last) * 1e6)))
            last = now


def _body(text: str, count: int) -> dict:
    messages = [{"role": "user", "content": text}]
    wanted = {"max_tokens": count, "ignore_eos": True}
    return {"model": "small", "messages": messages} | wanted


def _row(name: str, calls: Sample, chunks: Sample) -> dict:
    return {
        "way": name,
        "call_p50_ms": calls.latency.get_value_at_percentile(50) / 1000,
        "call_p95_ms": calls.latency.get_value_at_percentile(95) / 1000,
        "call_cpu_ms": _spread(calls.cpu),
        "gap_p50_ms": chunks.latency.get_value_at_percentile(50) / 1000,
        "gap_p95_ms": chunks.latency.get_value_at_percentile(95) / 1000,
        "chunk_cpu_ms": _spread(chunks.cpu),
    }


def _spread(values: list[float]) -> str:
    return f"{min(values) * 1000:.3f}-{max(values) * 1000:.3f}"


def _check(found: report.Report, calls: dict, chunks: dict) -> None:
    direct, through = calls["direct"].latency, calls["host"].latency
    added = through.get_value_at_percentile(95) - direct.get_value_at_percentile(95)
    detail = f"{added / 1000:.1f} ms added at p95"
    found.check("added latency", added / 1e6 <= ADDED_P95_S, detail)
    cores = max(chunks["host"].cpu) * TOKENS_PER_HOST_S
    detail = f"{cores:.2f} cores for {TOKENS_PER_HOST_S:.0f} tokens/s"
    found.check("tokens of one host", cores <= HOST_CORES, detail)
