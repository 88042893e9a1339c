"""Measure batch throughput against harm to online requests.

Workload: both deployments of today (12 hosts before 10 and before 5 servers), eight
teams of unequal weight; online at 30% of the capacity with bursts of 2 s each 10 s
to 90%, for 60 s; batch without end. Baselines: batch switched off, and batch that
fills every server without yielding. Bounds: first token within 0.91 s at p95 with
yielding; its p99 below that without yielding; the worst-served team's p95 within
0.91 s; at least half of the batch throughput without yielding.
"""

import random

from turmerictally import settings
from turmerictally.bench import fleet, report, simulated
from turmerictally.online import queue
from turmerictally.routing import headroom, servers

NAME = "yielding"
SUMMARY = (
    "bursts on both deployments with endless batch; against batch off and no "
    "yielding; first token p95 within 0.91 s, half of the idle capacity used"
)
SEED = 11
HOSTS = 12
DEPLOYMENTS = {"dalisay": 10, "vanua": 5}
MODES = ("batch off", "batch alone", "no yielding", "yielding")
DURATION_S = 60.0
WARM_UP_S = 5.0
# Online requests a second for one server.
BASE_RATE = 3.3
BURST_RATE = 9.5
WEIGHTS = {"t0": 40.0, "t1": 30.0, "t2": 10.0} | {f"t{n}": 4.0 for n in range(3, 8)}
BATCH_PROMPT_TOKENS = 200
BATCH_OUTPUT_TOKENS = 60
TICK_S = 0.05
QUEUE_LENGTH = 256
QUEUE_WAIT_S = 60.0
TARGET_S = 0.91
HEADROOM_RATIO = settings.DEFAULTS["batch"]["headroom_ratio"]
WANTED = servers.ServerRequirements(fleet.SERVICE, fleet.MODEL)


class Run:
    """Drive one deployment in one mode."""

    def __init__(self, deployment: str, mode: str) -> None:
        self.deployment = deployment
        self.mode = mode
        self.servers = DEPLOYMENTS[deployment]
        self.fleet = fleet.Fleet(SEED, self.servers, HOSTS)
        self.timeline = self.fleet.timeline
        self.by_id = {host.id: host for host in self.fleet.hosts}
        self.online: list[simulated.Work] = []
        self.refused = 0
        self.batch_done = 0
        self.slots: dict = {}
        self.load = 0.0
        for host in self.fleet.hosts:
            self._equip(host)

    def figures(self) -> dict:
        """Run to the end and return the figures."""
        rng = random.Random(SEED)
        most = BURST_RATE * self.servers
        arrivals = simulated.poisson(rng, DURATION_S, self._rate, most)
        for at in arrivals if self.mode != "batch alone" else []:
            team = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
            work = simulated.Work(256, rng.randint(40, 120), team=team)
            self.timeline.at(at, self._arrive, rng.choice(self.fleet.hosts), work)
        self.timeline.run(DURATION_S)
        batch_done = self.batch_done
        busy = sum(engine.busy_s for engine in self.fleet.engines.values())
        slots = simulated.CAPACITY * self.servers
        self.load = busy / (DURATION_S * slots)
        self.timeline.run(DURATION_S + 10.0)
        return self._summarize(batch_done)

    def _rate(self, now: float) -> float:
        rate = BURST_RATE if now % 10.0 < 2.0 else BASE_RATE
        return rate * self.servers

    def _equip(self, host: fleet.Host) -> None:
        host.waiting = queue.FairQueue(
            lambda entry: self._place(host, entry), QUEUE_LENGTH, self.timeline
        )
        if self.mode == "batch off":
            return
        host.gate = headroom.BatchGate(
            host.id,
            host.router,
            self.fleet.options.batch,
            self.fleet.live,
            fleet.NoPeers(),
            clock=self.timeline,
        )
        # Calls to owners are made directly, after the time they take to arrive.
        host.gate.queue_preemption_request = lambda address: self._ask(host, address)
        if self.mode == "no yielding":
            host.gate.max_batch_items = lambda address, now: simulated.CAPACITY
            host.gate.preempt_excess = lambda address: 0
        self.timeline.after(self.fleet.rng.random() * TICK_S, self._fill, host)

    def _arrive(self, host: fleet.Host, work: simulated.Work) -> None:
        work.arrived = self.timeline.now
        if work.arrived >= WARM_UP_S:
            self.online.append(work)
        entry = queue.Entry(
            work.team, WEIGHTS[work.team], WANTED, work.arrived + QUEUE_WAIT_S
        )
        self.slots[entry] = work
        host.waiting.push(entry)

    def _place(self, host: fleet.Host, entry: queue.Entry) -> servers.Server | None:
        server = host.router.choose(WANTED, require_free_slot=True)
        if server is not None:
            host.router.request_started(server.address)
            self.fleet.send(host, server.address, self.slots.pop(entry))
        return server

    def _fill(self, host: fleet.Host) -> None:
        while (slot := host.gate.try_acquire(fleet.MODEL)) is not None:
            self._start(host, slot)
        self.timeline.after(TICK_S, self._fill, host)

    def _start(self, host: fleet.Host, slot: headroom.BatchSlot) -> None:
        work = simulated.Work(BATCH_PROMPT_TOKENS, BATCH_OUTPUT_TOKENS, batch=True)
        engine = self.fleet.engines[slot.server.address]

        def end(work: simulated.Work) -> None:
            self.batch_done += 1
            host.gate.release(slot)

        def stop() -> None:
            self.timeline.after(fleet.HOP_S, self._cancel, host, slot, engine, work)

        work.on_end = end
        slot.stop = stop
        self.timeline.after(fleet.HOP_S, engine.submit, work)

    def _cancel(self, host, slot, engine, work: simulated.Work) -> None:
        if work.produced < work.output_tokens:
            engine.cancel(work)
            host.gate.release(slot)

    def _ask(self, host: fleet.Host, address: str) -> None:
        server = host.router.servers.by_address[address]
        owner = headroom.batch_owner(address, server.failure_domain, self.fleet.live())
        started = host.router.loads.unreported_online(address)
        gate = self.by_id[owner.id].gate
        self.timeline.after(
            2 * fleet.HOP_S, gate.reserve_for_online, host.id, address, started
        )

    def _summarize(self, batch_done: int) -> dict:
        waits = {team: [] for team in WEIGHTS}
        for work in self.online:
            # An unanswered request counts as having waited until the end.
            first = work.first_token or self.timeline.now
            waits[work.team].append(first - work.arrived)
        together = [wait for each in waits.values() for wait in each]
        worst = max(simulated.percentile(each, 0.95) for each in waits.values())
        return {
            "deployment": self.deployment,
            "mode": self.mode,
            "online": len(self.online),
            "p50_s": round(simulated.percentile(together, 0.50), 4),
            "p95_s": round(simulated.percentile(together, 0.95), 4),
            "p99_s": round(simulated.percentile(together, 0.99), 4),
            "worst_team_p95_s": round(worst, 4),
            "batch_items_per_s": round(batch_done / DURATION_S, 2),
            "load": round(self.load, 4),
            "yielded": sum(h.gate.preempted_total for h in self.fleet.hosts if h.gate),
        }


def run(deployment: str, mode: str) -> dict:
    """Return the figures of one deployment in one mode."""
    return Run(deployment, mode).figures()


def main() -> report.Report:
    """Run every mode on both deployments."""
    found = report.Report(NAME)
    for deployment in DEPLOYMENTS:
        rows = [run(deployment, mode) for mode in MODES]
        found.rows.extend(rows)
        _check(found, deployment, *rows)
    return found


def _check(found: report.Report, deployment: str, off, alone, naive, mine) -> None:
    p95, worst = mine["p95_s"], mine["worst_team_p95_s"]
    found.check(f"{deployment}: first token p95", p95 <= TARGET_S, f"{p95} s")
    found.check(f"{deployment}: worst team's p95", worst <= TARGET_S, f"{worst} s")
    lower = mine["p99_s"] < naive["p99_s"]
    found.check(f"{deployment}: p99 below no yielding", lower, f"{naive['p99_s']} s")
    usable = 1.0 - HEADROOM_RATIO
    idle = max(0.0, 1.0 - off["load"] / usable)
    half = 0.5 * alone["batch_items_per_s"] * idle
    enough = mine["batch_items_per_s"] >= half
    found.check(f"{deployment}: batch throughput", enough, f"at least {half:.2f}/s")
