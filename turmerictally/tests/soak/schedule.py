"""Draw a schedule of faults from a seed; series come together and overlap."""

import random

import attrs

# What may be done to whom; see ``faults.Injector``, which has a method of each name.
KINDS = (
    "host_kill",
    "host_pause",
    "host_term",
    "host_hup",
    "hosts_kill_all",
    "hosts_term_in_turn",
    "store_slow",
    "store_pause",
    "store_busy",
    "store_lose_answers",
    "store_forget",
    "store_silent_to_host",
    "store_refuses_host",
    "server_kill",
    "server_pause",
    "server_term",
    "server_silent",
    "server_reset",
    "server_slow_link",
    "callers_reset",
    "callers_slow_link",
    "configuration_key",
    "configuration_route",
    "configuration_quota",
    "server_leave",
    "server_cut",
)
# Drawn apart, once in a run, so that the rest of a seed's schedule stays as it was.
EVACUATE = "domain_evacuate"
EVACUATED_S = 7.0  # longer than hosts have until nothing more may come
RELEASE = "release_servers"
RELEASE_S = 8.0
APART = {EVACUATE: ("evacuation", EVACUATED_S), RELEASE: ("release", RELEASE_S)}
FIRST_S = 2.0  # of traffic before the first fault
CALM_S = 14.0  # at the end, so that service must be back
SERIES = 3  # faults that come together, at most


@attrs.frozen
class Fault:
    """Hold one fault: when it begins, of which kind, for how long, and on whom."""

    at: float
    kind: str
    for_s: float
    pick: float


def draw(seed: int, seconds: float, kinds: tuple[str, ...] = KINDS) -> list[Fault]:
    """Return a run's faults in order of time."""
    rng = random.Random(seed)
    found = []
    drawn = [kind for kind in kinds if kind not in APART]
    now = FIRST_S
    while now < seconds - CALM_S:
        for _ in range(rng.randint(1, SERIES) if drawn else 0):
            kind = rng.choice(drawn)
            at = now + rng.uniform(0.0, 0.6)
            found.append(Fault(at, kind, rng.uniform(0.3, 3.0), rng.random()))
        # Now and then a pause, in which bounds in time count.
        now += rng.choice((rng.uniform(0.5, 3.0), rng.uniform(5.0, 8.0)))
    for kind in APART:
        if kinds == KINDS or kind in kinds:
            found += _draw_apart(kind, seed, seconds)
    return sorted(found, key=lambda fault: fault.at)


def _draw_apart(kind: str, seed: int, seconds: float) -> list[Fault]:
    name, for_s = APART[kind]
    latest = seconds - CALM_S - for_s
    if latest <= FIRST_S:
        return []
    rng = random.Random(f"{name} {seed}")
    at = rng.uniform(FIRST_S, latest)
    return [Fault(at, kind, for_s, rng.random())]
