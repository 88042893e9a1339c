"""Steps for the loss of a host's paths to servers, without a network."""

import random

import behave

from turmerictally.scheduling import server_reach

SERVERS = [f"s{n}" for n in range(9)]
STEP_S = 0.05


class Scene:
    """Hold one host's view and the peers' answers in simulated time."""

    def __init__(self):
        self.now = 100.0
        self.reach = server_reach.ServerReach()
        self.peers_answered_at = self.now
        self.peers_lost = False
        self.were_lost = False
        self.reach.record_answer(self.now, self.now)

    def step(self, *, peers_answered=True):
        self.now += STEP_S
        if peers_answered:
            self.peers_answered_at = self.now

    def peers(self):
        return [server_reach.PeerReach(self.peers_answered_at, self.peers_lost)]

    def fail(self, server, *, connecting=True):
        self.reach.record_failure(
            server, SERVERS, self.peers, self.now, connecting=connecting
        )
        self.were_lost = self.were_lost or self.reach.lost_since is not None

    def answer(self, sent_s=0.0):
        self.reach.record_answer(self.now - sent_s, self.now)


def refuse_all(scene, seconds, **more):
    for number in range(int(seconds / STEP_S)):
        scene.step(**more)
        scene.fail(SERVERS[number % len(SERVERS)])


def refused(scene):
    refuse_all(scene, 1.0)


def refused_beside_streams(scene):
    for number in range(20):
        scene.step()
        scene.fail(SERVERS[number % len(SERVERS)])
        scene.answer(sent_s=3.0)


def refused_beside_connections(scene):
    for number in range(20):
        scene.step()
        scene.fail(SERVERS[number % len(SERVERS)])
        scene.answer()


def unanswered(scene):
    for number in range(20):
        scene.step()
        scene.fail(SERVERS[number % len(SERVERS)], connecting=False)


def one_server(scene):
    for number in range(100):
        scene.step()
        scene.fail("s0")
        if number % 10 == 0:
            scene.answer()


def three_end(scene):
    rng = random.Random(1)
    for _ in range(50):
        scene.step()
        scene.step()
        server = rng.choice(SERVERS)
        if server in SERVERS[:3]:
            scene.fail(server)
        else:
            scene.answer()


def some_fail(scene):
    rng = random.Random(2)
    for _ in range(1200):
        scene.step()
        if rng.random() < 0.02:
            scene.fail(rng.choice(SERVERS), connecting=False)
        else:
            scene.answer()


def all_end(scene):
    refuse_all(scene, 3.0, peers_answered=False)


def all_lose_paths(scene):
    scene.peers_lost = True
    refuse_all(scene, 3.0)


def rare_failures(scene):
    for number in range(9):
        for _ in range(40):
            scene.step()
        scene.fail(SERVERS[number])


def back(scene):
    refuse_all(scene, 1.0)
    scene.reach.record_connected()


SCENES = {
    "connections to server after server are refused for 1 s": refused,
    "connections to server after server are refused for 1 s, and old streams go on": (
        refused_beside_streams
    ),
    "connections to server after server are refused, and open ones are answered": (
        refused_beside_connections
    ),
    "requests to server after server get no answer for 1 s": unanswered,
    "connections to one server are refused for 5 s": one_server,
    "three of nine servers end at once, and each 0.1 s a request is tried on one": (
        three_end
    ),
    "one in fifty requests fails for 60 s": some_fail,
    "all servers end, and no peer is answered any more": all_end,
    "all hosts lose their paths at once": all_lose_paths,
    "one request fails each 2 s, each on another server": rare_failures,
    "connections are refused for 1 s and accepted then": back,
}


@behave.given("a host that uses 9 servers, and peers that are answered each 0.05 s")
def host(context):
    context.scene = Scene()


@behave.when("in its view {scene}")
def play(context, scene):
    SCENES[scene](context.scene)


@behave.then("the host concludes that {conclusion}")
def concludes(context, conclusion):
    scene = context.scene
    lost = scene.reach.lost_since is not None
    expected = {
        "its paths are lost": (True, True),
        "its paths are sound": (False, False),
        "its paths were lost and are back": (False, True),
    }[conclusion]
    assert (lost, scene.were_lost) == expected, scene.reach
