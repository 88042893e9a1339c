"""Stop a host as planned while its clients' answers have become longer than before."""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import platform2

CLIENTS = 4
EVENT_S = 0.05
SHORT, LONG, LONGEST = 14, 76, 92  # events: 0.7 s, 3.8 s and 4.6 s
PATH = "/lohu930/2f"
# The clients' requests are of one size: the answers' lengths are the model's.
USAGE = {"X_Token_Usage": "250,400"}
EXCUSED_S = 3.0  # after the SIGTERM
# An answer that ends later may have reached its deadline of 5 s, which excuses it.
DEADLINE_S = 4.8


class LengthServer(platform2.Server):
    """Answer with as many events as the prompt leads to."""

    def events_for(self, body):
        """Return how many events the prompt leads to."""
        return json.loads(body)["events"]


async def ask_all(channels, events):
    """Ask on all channels at once; return what the clients got."""
    body = json.dumps({"events": events}).encode()
    return await asyncio.gather(*(c.ask(PATH, body, **USAGE) for c in channels))


async def play(world, trouble):
    """Play the case; return the broken rule, or an empty text."""
    for number in range(3):
        world.add_server(number, "llm", LengthServer).event_s = EVENT_S
    config = {
        "routes": [platform2.stream_route("llm")],
        "services": [platform2.service("llm")],
    }
    await world.start(3, config)
    host = world.hosts[0]

    def note(of, line):
        if of is host and line["event"] in ("checked_in_stop", "response_cut"):
            fields = {k: v for k, v in line.items() if k not in ("t", "event")}
            world.record(f"log_{line['event']}", **fields)

    world.log_listeners.append(note)
    await asyncio.sleep(platform2.BOUNDS["stableMs"] / 1000 + 0.5)
    channels = [platform2.Channel(world, host) for _ in range(CLIENTS)]
    for _ in range(6):
        await ask_all(channels, SHORT)
    # Answers are longer now; each client has had two when the stop begins or ends.
    await ask_all(channels, LONG)
    running = asyncio.create_task(ask_all(channels, LONG))
    await asyncio.sleep(0.5)
    stopped_at = world.record.now()
    if trouble:
        host.signal(signal.SIGTERM)
    await running
    last = await ask_all(channels, LONGEST)
    await asyncio.sleep(1.0)
    cut = [
        got
        for got in last
        if not got["whole"]
        and world.record.of("server_runs", request=got["request"])
        and got["sent"] - stopped_at > EXCUSED_S
        and got["ended"] - got["sent"] < DEADLINE_S
    ]
    if not cut:
        return ""
    after = ", ".join(f"{got['sent'] - stopped_at:.2f} s" for got in cut)
    return (
        f"LOST: {len(cut)} requests, sent {after} after the SIGTERM, were passed on "
        "to sound servers and cut"
    )


if __name__ == "__main__":
    platform2.main(pathlib.Path(__file__).parent, play)
