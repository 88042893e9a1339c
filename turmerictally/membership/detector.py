"""Detect failed hosts by pinging a constant number of members per round."""

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

MAX_UPDATES_PER_PING = 6
# One dead member is pinged every so many rounds, so that partitions heal.
ROUNDS_PER_DEAD_PING = 5
# Members of other failure domains to ping in each round.
OTHER_DOMAIN_TARGETS = 1
# Deadline of an indirect ping, as a multiple of the ping timeout.
INDIRECT_TIMEOUT_FACTOR = 3
# Members that a leaving host notifies directly; gossip informs the others.
LEAVE_TARGETS = 3

BYTES_PER_LISTED_HOST = 160
# Limits what one host spends on reading the platform's host list.
MAX_LIST_BYTES_PER_S = 1000.0


class VersionExchange(typing.Protocol):
    """Exchange configuration versions in pings and their replies."""

    def digest(self) -> tuple[int, float | None]:
        """Return the applied version and the seconds since it was last confirmed.

        The age is None when the time of the last confirmation is unknown.
        """

    def receive_digest(
        self, address: str, version: int, age_s: float | None, sent_at: float | None
    ) -> None:
        """Process another host's version and the age of its confirmation.

        ``sent_at`` is the local monotonic time just before the ping whose reply
        carried the digest; None if the digest came in the other host's own ping.
        """


class NullVersionExchange:
    """Exchange no versions, for hosts without a configuration."""

    def digest(self) -> tuple[int, float | None]:
        """Return version 0 and no age."""
        return 0, None

    def receive_digest(
        self, address: str, version: int, age_s: float | None, sent_at: float | None
    ) -> None:
        """Ignore the digest."""


class Detector:
    """Ping members, suspect those that do not reply, and merge others' claims.

    Each round pings the next few members of a shuffled order, mostly in this host's
    failure domain, so that the cost per host does not grow with the fleet.
    """

    def __init__(
        self,
        membership: members.Members,
        peers: calls.Peers,
        listing: hosts.HostList,
        config: settings.Membership,
        clock: clocks.Clock,
        versions: VersionExchange | None = None,
    ) -> None:
        self.members = membership
        self.peers = peers
        self.listing = listing
        self.config = config
        self.clock = clock
        self.versions = versions or NullVersionExchange()
        self.same_domain_order: list[str] = []
        self.other_domain_order: list[str] = []
        self.round_number = 0
        self.ids_being_probed: set[str] = set()
        peers.handle(calls.Kind.PING, self.on_ping)
        peers.handle(calls.Kind.PING_THROUGH, self.on_indirect_ping)
        peers.handle(calls.Kind.LEAVE, self.on_leave)

    async def run(self) -> None:
        """Poll the host list and ping members until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_host_list)
            nursery.start_soon(self._ping_seeds)
            while True:
                self.members.expire(self.config.forget_s)
                for member in self.next_targets():
                    nursery.start_soon(self.probe, member)
                await trio.sleep(self._jitter(self.config.ping_interval_s))

    async def leave(self) -> None:
        """Notify some members that this host is leaving; gossip informs the rest."""
        self.members.leave()
        body = wire.encode(self._build_ping(""))
        live = self.members.live()
        self.members.rng.shuffle(live)
        async with trio.open_nursery() as nursery:
            for member in live[:LEAVE_TARGETS]:
                nursery.start_soon(self._send, member.address, calls.Kind.LEAVE, body)

    def next_targets(self) -> list[members.Member]:
        """Return the members to ping in this round."""
        self.round_number += 1
        chosen = [self._pop_priority_probe()]
        count = self.config.ping_targets
        for _ in range(OTHER_DOMAIN_TARGETS):
            chosen.append(
                self._next_in_order(self.other_domain_order, same_domain=False)
            )
        while len(chosen) <= count:
            member = self._next_in_order(self.same_domain_order, same_domain=True)
            chosen.append(
                member
                or self._next_in_order(self.other_domain_order, same_domain=False)
            )
        if self.round_number % ROUNDS_PER_DEAD_PING == 0:
            chosen.append(self._pick_dead_member())
        unique = {m.id: m for m in chosen if m is not None}
        targets = [m for m in unique.values() if m.id not in self.ids_being_probed]
        return targets[: count + 1]

    async def probe(self, member: members.Member) -> None:
        """Ping a member directly, then indirectly; suspect it if no reply arrives."""
        self.ids_being_probed.add(member.id)
        try:
            replied = await self._ping_direct(member)
            member.reachable = replied
            if not replied and not await self._ping_indirect(member):
                self._suspect(member)
        finally:
            self.ids_being_probed.discard(member.id)

    async def on_ping(self, caller: calls.Caller, body: bytes) -> bytes:
        """Merge the claims of a ping and reply with this host's own."""
        ping = wire.decode(body)
        self._merge_ping(ping, None)
        reply = self._build_ping(ping.sender.id)
        if ping.wants_all_members:
            all_members = self.members.by_id.values()
            reply = attrs.evolve(reply, claims=tuple(m.claim for m in all_members))
        return wire.encode(reply)

    async def on_indirect_ping(self, caller: calls.Caller, body: bytes) -> bytes:
        """Relay a ping to its target on behalf of the caller."""
        ping_body, address, timeout_s = wire.decode_indirect_ping(body)
        deadline = self.clock.monotonic() + timeout_s
        reply = await self._send(address, calls.Kind.PING, ping_body, deadline)
        return wire.encode_indirect_reply(reply)

    async def on_leave(self, caller: calls.Caller, body: bytes) -> bytes:
        """Merge the claim that the caller is leaving."""
        self._merge_ping(wire.decode(body), None)
        return b""

    async def _ping_direct(self, member: members.Member) -> bool:
        sent_at = self.clock.monotonic()
        body = wire.encode(self._build_ping(member.id))
        reply = await self._send(member.address, calls.Kind.PING, body)
        if reply is None:
            return False
        self._merge_ping(wire.decode(reply), sent_at)
        return True

    async def _ping_indirect(self, member: members.Member) -> bool:
        relays = self.members.select_relays(member, self.config.indirect_targets)
        replies: list[bool] = []
        async with trio.open_nursery() as nursery:
            for relay in relays:
                nursery.start_soon(self._ping_through, relay, member, replies)
        return any(replies)

    async def _ping_through(
        self, relay: members.Member, member: members.Member, replies: list[bool]
    ) -> None:
        timeout_s = self.config.ping_timeout_s
        ping = self._build_ping(member.id)
        body = wire.encode_indirect_ping(ping, member.address, timeout_s)
        sent_at = self.clock.monotonic()
        deadline = sent_at + timeout_s * INDIRECT_TIMEOUT_FACTOR
        kind = calls.Kind.PING_THROUGH
        reply = await self._send(relay.address, kind, body, deadline)
        if reply is None:
            return
        target_reply = wire.decode_indirect_reply(reply)
        if target_reply is not None:
            replies.append(True)
            self._merge_ping(target_reply, sent_at)

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

    def _suspect(self, member: members.Member) -> None:
        if self.members.lookup(member.id) is member:
            self.members.suspect(member)

    def _merge_ping(self, ping: wire.Ping, sent_at: float | None) -> None:
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

    def _build_ping(self, target_id: str) -> wire.Ping:
        version, age_s = self.versions.digest()
        claims = self.members.select_updates(target_id, MAX_UPDATES_PER_PING)
        return wire.Ping(self.members.me, version, age_s, tuple(claims))

    def _pop_priority_probe(self) -> members.Member | None:
        while self.members.priority_probes:
            member = self.members.lookup(self.members.priority_probes.pop(0))
            if member is not None:
                return member
        return None

    def _next_in_order(
        self, order: list[str], same_domain: bool
    ) -> members.Member | None:
        if not order:
            order.extend(self._shuffled_ids(same_domain))
        while order:
            member = self.members.lookup(order.pop())
            if member is not None and member.state is not members.State.DEAD:
                return member
        return None

    def _shuffled_ids(self, same_domain: bool) -> list[str]:
        own_domain = self.members.me.failure_domain
        ids = [
            member.id
            for member in self.members.by_id.values()
            if (member.failure_domain == own_domain) is same_domain
        ]
        self.members.rng.shuffle(ids)
        return ids

    def _pick_dead_member(self) -> members.Member | None:
        all_members = self.members.by_id.values()
        dead = [m for m in all_members if m.state is members.State.DEAD]
        return self.members.rng.choice(dead) if dead else None

    def _jitter(self, interval_s: float) -> float:
        return interval_s * self.members.rng.uniform(0.9, 1.1)

    async def _poll_host_list(self) -> None:
        while True:
            try:
                listed = await self.listing.list(hosts.Role.ENTRY)
                self.members.merge_host_list(listed)
            except table.UnavailableError:
                logger.debug("The platform's host list is unavailable; retrying.")
            await trio.sleep(self._jitter(self.list_interval()))

    def list_interval(self) -> float:
        """Return the seconds between two reads of the platform's host list.

        It grows with the fleet, so that reading takes a bounded number of bytes per
        second; gossip reports changes in between.
        """
        list_bytes = (1 + len(self.members.by_id)) * BYTES_PER_LISTED_HOST
        return max(self.config.list_poll_s, list_bytes / MAX_LIST_BYTES_PER_S)

    async def _ping_seeds(self) -> None:
        """Ping the seed addresses until a member is known."""
        while not self.members.by_id:
            for address in self.config.seeds:
                if address == self.members.me.address:
                    continue
                sent_at = self.clock.monotonic()
                ping = attrs.evolve(self._build_ping(""), wants_all_members=True)
                body = wire.encode(ping)
                reply = await self._send(address, calls.Kind.PING, body)
                if reply is not None:
                    self._merge_ping(wire.decode(reply), sent_at)
            await trio.sleep(self._jitter(self.config.ping_interval_s))
