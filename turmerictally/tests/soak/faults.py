"""Carry out the faults of a schedule on a world, and heal them."""

import signal
import time

import attrs
import trio

from turmerictally.tests.soak import processes, schedule

RESTART_S = 0.3  # until a program that ended is started again
SLOW_LINK_S = 0.15
SLOW_STORE_S = 0.25
LOSE_ANSWERS = 0.3
IN_TURN = 2  # hosts that are stopped one after the other, each for several seconds
RELEASED = 2  # servers that are replaced in a release
RELEASE_STEPS = 4
RELEASE_GAP_S = 1.2  # enough for streams to be taken up before the next reset


@attrs.define(eq=False)
class Injector:
    """Hold what is harmed; each method named as a kind of fault carries it out."""

    world: object
    record: object
    nursery: trio.Nursery
    busy: set = attrs.Factory(set)
    store_faults: dict = attrs.Factory(dict)

    async def run(self, fault):
        """Carry out one fault; what is harmed already is left alone."""
        method = getattr(self, fault.kind)
        targets, things = self._targets(fault)
        if self.busy & targets:
            return
        self.busy |= targets
        begun = time.monotonic()
        entries = [[target, begun, float("inf")] for target in targets]
        self.record.touched += entries
        try:
            await method(things, fault.for_s)
        finally:
            for entry in entries:
                entry[2] = time.monotonic()
            self.busy -= targets

    def _targets(self, fault):
        """Return what a fault harms, and what its method needs to know of it."""
        group = fault.kind.partition("_")[0]
        if group == "hosts":
            return {f"host{n}" for n in self.world.hosts}, None
        if group == "host" or fault.kind.endswith("_host"):
            n = int(fault.pick * len(self.world.hosts))
            return {f"host{n}"}, n
        if group == "server":
            n = int(fault.pick * len(self.world.servers))
            return {f"server{n}"}, n
        if group == "callers":
            n = int(fault.pick * len(self.world.hosts))
            return {f"way{n}"}, n
        if group == "configuration":
            return {"operator"}, fault.pick
        if group in ("domain", "release"):
            return {group}, fault.pick
        return {group}, None

    # Hosts.

    async def host_kill(self, n, for_s):
        await self.world.hosts[n].kill()
        await trio.sleep(for_s)
        self.world.hosts[n].start()
        await trio.sleep(RESTART_S)

    async def host_pause(self, n, for_s):
        self.world.hosts[n].pause()
        await trio.sleep(for_s)
        self.world.hosts[n].wake()

    async def host_term(self, n, for_s):
        program = self.world.hosts[n]
        if not program.running:
            return
        complaint = await program.terminate()
        if complaint:
            self.record.exits.append(complaint)
        await trio.sleep(RESTART_S)
        program.start()

    async def host_hup(self, n, for_s):
        self.world.hosts[n].signal(signal.SIGHUP)
        await trio.sleep(0.05)
        self.world.hosts[n].signal(signal.SIGHUP)

    async def hosts_kill_all(self, _, for_s):
        self.record.kills.append(time.monotonic())
        async with trio.open_nursery() as nursery:
            for program in self.world.hosts.values():
                nursery.start_soon(program.kill)
        await trio.sleep(RESTART_S)
        for program in self.world.hosts.values():
            if not program.running:
                program.start()

    async def hosts_term_in_turn(self, _, for_s):
        for n in list(self.world.hosts)[:IN_TURN]:
            await self.host_term(n, for_s)

    # The store.

    def _order(self, **faults):
        self.store_faults.update(faults)
        self.world.order_store(**self.store_faults)

    async def store_slow(self, _, for_s):
        self._order(delay_s=SLOW_STORE_S)
        await trio.sleep(for_s)
        self._order(delay_s=0.0)

    async def store_pause(self, _, for_s):
        self.world.store.pause()
        await trio.sleep(for_s)
        self.world.store.wake()

    async def store_busy(self, _, for_s):
        self._order(busy=True)
        await trio.sleep(for_s)
        self._order(busy=False)

    async def store_lose_answers(self, _, for_s):
        self._order(lose_answer=LOSE_ANSWERS)
        await trio.sleep(for_s)
        self._order(lose_answer=0.0)

    async def store_forget(self, _, for_s):
        self.world.order_store(**self.store_faults | {"forget": True})
        await trio.sleep(0.0)

    async def store_silent_to_host(self, n, for_s):
        await self._harm(self.world.store_ways[n], for_s, silent="both")

    async def store_refuses_host(self, n, for_s):
        self.world.store_ways[n].reset()
        await self._harm(self.world.store_ways[n], for_s, refusing=True)

    async def _harm(self, way, for_s, **harm):
        for name, value in harm.items():
            setattr(way, name, value)
        await trio.sleep(for_s)
        way.heal()

    # Servers.

    async def server_kill(self, n, for_s):
        await self.world.servers[n].kill()
        await trio.sleep(for_s)
        await self.world.add_server(self.nursery, n)

    async def server_pause(self, n, for_s):
        self.world.servers[n].pause()
        await trio.sleep(for_s)
        self.world.servers[n].wake()

    async def server_term(self, n, for_s):
        await self._end_server(n, signal.SIGTERM)

    async def server_leave(self, n, for_s):
        await self._end_server(n, signal.SIGUSR1)

    async def _end_server(self, n, number):
        program = self.world.servers[n]
        program.told = True
        program.wake()
        program.signal(number)
        with trio.move_on_after(processes.GRACE_S):
            await program.ended()
        await program.kill()
        await self.world.add_server(self.nursery, n)

    async def release_servers(self, pick, for_s):
        """Reset callers, then replace servers in turn as well, and kill all hosts."""
        hosts, servers = len(self.world.hosts), len(self.world.servers)
        kill = schedule.Fault(0.0, "hosts_kill_all", for_s, pick)
        async with trio.open_nursery() as nursery:
            for step in range(RELEASE_STEPS):
                if step >= RELEASE_STEPS - RELEASED:
                    which = (pick + step / servers) % 1
                    fault = schedule.Fault(0.0, "server_term", for_s, which)
                    nursery.start_soon(self.run, fault)
                await trio.sleep(RELEASE_GAP_S)
                for n in range(hosts):
                    which = (n + 0.5) / hosts
                    await self.run(schedule.Fault(0.0, "callers_reset", 0.0, which))
            with trio.move_on_after(for_s):
                while self.busy & self._targets(kill)[0]:
                    await trio.sleep(processes.POLL_S)
            await self.run(kill)

    async def server_silent(self, n, for_s):
        await self._harm(self.world.server_ways[n], for_s, silent="down")

    async def server_cut(self, n, for_s):
        await self._harm(self.world.server_ways[n], for_s, holding=True)

    async def server_reset(self, n, for_s):
        for _ in range(3):
            self.world.server_ways[n].reset()
            await trio.sleep(for_s / 3)

    async def server_slow_link(self, n, for_s):
        await self._harm(self.world.server_ways[n], for_s, delay_s=SLOW_LINK_S)

    # Callers' connections.

    async def callers_reset(self, n, for_s):
        self.world.caller_ways[n].reset()
        await trio.sleep(0.0)

    async def callers_slow_link(self, n, for_s):
        await self._harm(self.world.caller_ways[n], for_s, delay_s=SLOW_LINK_S)

    # The operator.

    async def configuration_key(self, pick, for_s):
        # The first key stays, for those who read batch jobs.
        left = [k for k in self.world.keys[1:] if k not in self.world.withdrawn]
        if len(left) < 3:
            return
        key = left[int(pick * len(left))]
        at = await self.world.withdraw(key)
        if at is not None:
            self.record.withdrawn[key] = at

    async def configuration_route(self, pick, for_s):
        self.world.extra_routes += 1
        await self.world.configure()

    async def configuration_quota(self, pick, for_s):
        # The same quota in a new version.
        await self.world.configure()

    async def domain_evacuate(self, pick, for_s):
        domain = self.world.domains[int(pick * len(self.world.domains))]
        at = await self.world.evacuate(domain)
        await trio.sleep(for_s)
        over = time.monotonic()
        # Also when the answer was lost, as the row may be there.
        while await self.world.take_back(domain) is None:
            await trio.sleep(RESTART_S)
        if at is not None:
            self.record.evacuations.append((domain, at, over))
