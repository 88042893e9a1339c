"""Detect failed hosts by pinging a constant number of members a second."""

import logging
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.membership import members, wire
from turmerictally.peers import calls
from turmerictally.store import hosts, table

logger = logging.getLogger(__name__)

CLAIMS_PER_PING = 6
# One ping in this many goes to a dead member, so that partitions heal.
DEAD_PING_ROUNDS = 5
# Share of a round's pings that go to other failure domains.
FAR_TARGETS = 1
INDIRECT_FACTOR = 3
LEAVE_TARGETS = 3

# Bytes of one listed host, and the bytes a second one host may spend on the list.
BYTES_PER_LISTED_HOST = 160
MAX_LIST_BYTES_PER_S = 1000.0


class VersionExchange(typing.Protocol):
    """Tell and hear configuration versions along with pings."""

    def digest(self) -> tuple[int, float | None]:
        """Return the version in force and the age of its freshness in seconds."""

    def receive_digest(
        self, address: str, version: int, age_s: float | None, sent_at: float | None
    ) -> None:
        """Take in another host's digest.

        ``sent_at`` is the local instant before the request whose reply brought the
        digest, or None when the other host sent it unasked.
        """


class NullVersionExchange:
    """Stand where no configuration is attached."""

    def digest(self) -> tuple[int, float | None]:
        """Return version 0 without freshness."""
        return 0, None

    def receive_digest(
        self, address: str, version: int, age_s: float | None, sent_at: float | None
    ) -> None:
        """Ignore the digest."""


class Detector:
    """Ping members, suspect those who do not answer, and merge what others claim.

    Each round takes the next members of a shuffled order, mostly from the own failure
    domain, so that a host's cost does not grow with the fleet.
    """

    def __init__(
        self,
        known: members.Members,
        peers: calls.Peers,
        listing: hosts.HostList,
        config: settings.Membership,
        clock: clocks.Clock,
        versions: VersionExchange | None = None,
    ) -> None:
        self.members = known
        self.peers = peers
        self.listing = listing
        self.config = config
        self.clock = clock
        self.versions = versions or NullVersionExchange()
        self.near: list[str] = []
        self.far: list[str] = []
        self.round = 0
        self.pinging: set[str] = set()
        peers.handle(calls.Kind.PING, self.on_ping)
        peers.handle(calls.Kind.PING_THROUGH, self.on_ping_through)
        peers.handle(calls.Kind.LEAVE, self.on_leave)

    async def run(self) -> None:
        """Read the list and ping until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_list)
            nursery.start_soon(self._ping_seeds)
            while True:
                self.members.expire(self.config.forget_s)
                for member in self.next_targets():
                    nursery.start_soon(self.probe, member)
                await trio.sleep(self._jitter(self.config.ping_interval_s))

    async def leave(self) -> None:
        """Tell some members that this host leaves; they pass it on."""
        self.members.leave()
        body = wire.encode(self._ping(""))
        live = self.members.live()
        self.members.rng.shuffle(live)
        async with trio.open_nursery() as nursery:
            for member in live[:LEAVE_TARGETS]:
                nursery.start_soon(self._send, member.address, calls.Kind.LEAVE, body)

    def next_targets(self) -> list[members.Member]:
        """Return the members to ping in this round."""
        self.round += 1
        chosen = [self._pop_urgent()]
        count = self.config.ping_targets
        for _ in range(FAR_TARGETS):
            chosen.append(self._next(self.far, near=False))
        while len(chosen) <= count:
            near = self._next(self.near, near=True)
            chosen.append(near or self._next(self.far, near=False))
        if self.round % DEAD_PING_ROUNDS == 0:
            chosen.append(self._pick_dead())
        unique = {m.id: m for m in chosen if m is not None}
        targets = [m for m in unique.values() if m.id not in self.pinging]
        return targets[: count + 1]

    async def probe(self, member: members.Member) -> None:
        """Ping one member, then through others, and suspect it if all fails."""
        self.pinging.add(member.id)
        try:
            reached = await self._ping_direct(member)
            member.reachable = reached
            if not reached and not await self._ping_indirect(member):
                self._fail(member)
        finally:
            self.pinging.discard(member.id)

    async def on_ping(self, caller: calls.Caller, body: bytes) -> bytes:
        """Answer a ping."""
        ping = wire.decode(body)
        self._take(ping, None)
        reply = self._ping(ping.sender.id)
        if ping.everyone:
            known = self.members.by_id.values()
            reply = attrs.evolve(reply, claims=tuple(m.claim for m in known))
        return wire.encode(reply)

    async def on_ping_through(self, caller: calls.Caller, body: bytes) -> bytes:
        """Ping a target on behalf of the caller."""
        inner, address, time_left_s = wire.decode_through(body)
        deadline = self.clock.monotonic() + time_left_s
        reply = await self._send(address, calls.Kind.PING, inner, deadline)
        return wire.encode_through_reply(reply)

    async def on_leave(self, caller: calls.Caller, body: bytes) -> bytes:
        """Note that the caller leaves."""
        self._take(wire.decode(body), None)
        return b""

    async def _ping_direct(self, member: members.Member) -> bool:
        sent_at = self.clock.monotonic()
        body = wire.encode(self._ping(member.id))
        reply = await self._send(member.address, calls.Kind.PING, body)
        if reply is None:
            return False
        self._take(wire.decode(reply), sent_at)
        return True

    async def _ping_indirect(self, member: members.Member) -> bool:
        helpers = self.members.select_relays(member, self.config.indirect_targets)
        answers: list[bool] = []
        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(self._ping_through, helper, member, answers)
        return any(answers)

    async def _ping_through(
        self, helper: members.Member, member: members.Member, answers: list[bool]
    ) -> None:
        timeout_s = self.config.ping_timeout_s
        ping = self._ping(member.id)
        body = wire.encode_through(ping, member.address, timeout_s)
        sent_at = self.clock.monotonic()
        deadline = sent_at + timeout_s * INDIRECT_FACTOR
        kind = calls.Kind.PING_THROUGH
        reply = await self._send(helper.address, kind, body, deadline)
        if reply is None:
            return
        answer = wire.decode_through_reply(reply)
        if answer is not None:
            answers.append(True)
            self._take(answer, sent_at)

    async def _send(
        self,
        address: str,
        kind: calls.Kind,
        body: bytes,
        deadline: float | None = None,
    ) -> bytes | None:
        if deadline is None:
            deadline = self.clock.monotonic() + self.config.ping_timeout_s
        try:
            return await self.peers.call(address, kind, body, deadline=deadline)
        except errors.Error:
            return None

    def _fail(self, member: members.Member) -> None:
        if self.members.lookup(member.id) is member:
            self.members.suspect(member)

    def _take(self, ping: wire.Ping, sent_at: float | None) -> None:
        sender = ping.sender
        self.members.merge(sender)
        for claim in ping.claims:
            self.members.merge(claim)
        member = self.members.lookup(sender.id)
        if member is not None and member.instance == sender.instance:
            member.config_version = max(member.config_version, ping.config_version)
        self.versions.receive_digest(
            sender.address, ping.config_version, ping.age_s, sent_at
        )

    def _ping(self, target_id: str) -> wire.Ping:
        version, age_s = self.versions.digest()
        claims = self.members.select_updates(target_id, CLAIMS_PER_PING)
        return wire.Ping(self.members.me, version, age_s, tuple(claims))

    def _pop_urgent(self) -> members.Member | None:
        while self.members.priority_probes:
            member = self.members.lookup(self.members.priority_probes.pop(0))
            if member is not None:
                return member
        return None

    def _next(self, order: list[str], near: bool) -> members.Member | None:
        if not order:
            order.extend(self._shuffled(near))
        while order:
            member = self.members.lookup(order.pop())
            if member is not None and member.state is not members.State.DEAD:
                return member
        return None

    def _shuffled(self, near: bool) -> list[str]:
        mine = self.members.me.failure_domain
        ids = [
            member.id
            for member in self.members.by_id.values()
            if (member.failure_domain == mine) is near
        ]
        self.members.rng.shuffle(ids)
        return ids

    def _pick_dead(self) -> members.Member | None:
        known = self.members.by_id.values()
        dead = [m for m in known if m.state is members.State.DEAD]
        return self.members.rng.choice(dead) if dead else None

    def _jitter(self, interval_s: float) -> float:
        return interval_s * self.members.rng.uniform(0.9, 1.1)

    async def _read_list(self) -> None:
        while True:
            try:
                listed = await self.listing.list(hosts.Role.ENTRY)
                self.members.merge_host_list(listed)
            except table.UnavailableError:
                logger.debug("The host list cannot be read.")
            await trio.sleep(self._jitter(self.list_interval()))

    def list_interval(self) -> float:
        """Return the seconds between two reads of the platform's list.

        It grows with the fleet, so that the list's bytes stay bounded; pings and what
        they carry tell of changes in between.
        """
        size = (1 + len(self.members.by_id)) * BYTES_PER_LISTED_HOST
        return max(self.config.list_poll_s, size / MAX_LIST_BYTES_PER_S)

    async def _ping_seeds(self) -> None:
        """Ping the seed addresses for as long as no member is known."""
        while not self.members.by_id:
            for address in self.config.seeds:
                if address == self.members.me.address:
                    continue
                sent_at = self.clock.monotonic()
                ping = attrs.evolve(self._ping(""), everyone=True)
                body = wire.encode(ping)
                reply = await self._send(address, calls.Kind.PING, body)
                if reply is not None:
                    self._take(wire.decode(reply), sent_at)
            await trio.sleep(self._jitter(self.config.ping_interval_s))
