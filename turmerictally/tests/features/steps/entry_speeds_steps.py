"""Steps for learned speeds among hosts."""

import behave
import trio

from turmerictally.entry import settings
from turmerictally.tests.support import users_platform


def ask(context, learns):
    async def main(world):
        world.slowness["s1"] = 4.0
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(users_platform.Caller(world).ask)
                await trio.sleep(0.05)
            context.learned = [
                served.inflight.loads("llm") for served in world.hosts.values()
            ]
            heard = world.hosts[1].hosts.peers["h0"].digest
            context.told = heard.speeds
        context.lines = world.lines("placed")

    scheduling = settings.Scheduling(learned_speeds=learns)
    users_platform.play(main, hosts=2, servers=3, settings={"scheduling": scheduling})


@behave.when("a host is asked by turns and one of three servers is 4 times slower")
def asked(context):
    ask(context, True)


@behave.when("the same happens without learned speeds")
def asked_without(context):
    ask(context, False)


@behave.then(
    "both hosts expect that server to take 3 to 5 times as long, and the others not"
)
def both_know(context):
    for loads in context.learned:
        found = {load.name: load.slowness for load in loads}
        assert 3.0 < found.pop("s1") < 5.0, found
        assert set(found.values()) == {1.0}, found


@behave.then(
    "the lines of placed requests tell it, with its age and on how much it rests"
)
def lines_tell(context):
    slow = [line for line in context.lines if line["server"] == "s1"]
    assert any(line.get("slowness", 0.0) > 3.0 for line in slow)
    for line in slow:
        assert {"slowness", "speed_hosts", "speed_age_s"} <= line.keys()


@behave.then("no digest tells speeds and no line does")
def nothing_told(context):
    assert not context.told
    assert not any("slowness" in line for line in context.lines)
    assert all(load.slowness == 1.0 for loads in context.learned for load in loads)
