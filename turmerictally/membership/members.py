"""Keep one host's view of the fleet's entry hosts, merged from gossiped claims."""

import collections.abc
import enum
import logging
import math
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.store import hosts

logger = logging.getLogger(__name__)

# How often a host sends an update, as a multiple of log2 of the number of members.
RETRANSMIT_FACTOR = 3
# Time for the final probe, direct and indirect, before a member is declared dead.
FINAL_PROBE_S = 2.5
# Timeout of a suspicion that another host raised, as a multiple of ``suspicion_s``.
# It is longer since the host that raised the suspicion is to declare the death.
REMOTE_SUSPICION_FACTOR = 2.5
# Incarnation of hosts known only from the host list, lower than any host's own.
LISTED_INCARNATION = 0


class State(enum.IntEnum):
    """Rank a member's states; among claims of one incarnation the higher state wins."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.frozen
class Claim:
    """State and address of one member, as gossiped between hosts.

    ``incarnation`` increases with each start of the host and each time it refutes a
    claim about itself.
    """

    id: str
    instance: str
    address: str
    region: str
    failure_domain: str
    state: State
    incarnation: int

    @property
    def rank(self) -> tuple[int, int]:
        """Return the precedence among claims about one member; the highest wins."""
        return (self.incarnation, self.state)


@attrs.define
class Member:
    """Another entry host and its state; times are on the local monotonic clock.

    ``reachable`` is False while this host's own calls to the member fail, although
    other hosts may reach it. ``listed`` means that the platform's host list contains
    this instance. A suspicion times out at ``suspect_until``; ``suspected_locally``
    means that this host raised it and ``final_probe_queued`` that its final probe is
    queued or done. The member is removed some time after ``dead_since``.
    """

    claim: Claim
    config_version: int = 0
    reachable: bool = True
    listed: bool = False
    suspect_until: float = math.inf
    suspected_locally: bool = False
    final_probe_queued: bool = False
    dead_since: float = math.inf

    @property
    def id(self) -> str:
        """Return the host's id."""
        return self.claim.id

    @property
    def instance(self) -> str:
        """Return the id of this start of the host."""
        return self.claim.instance

    @property
    def address(self) -> str:
        """Return the peer listener's ``ip:port``."""
        return self.claim.address

    @property
    def region(self) -> str:
        """Return the host's region."""
        return self.claim.region

    @property
    def failure_domain(self) -> str:
        """Return the host's failure domain."""
        return self.claim.failure_domain

    @property
    def state(self) -> State:
        """Return the last known state of the host."""
        return self.claim.state


@attrs.define
class PendingUpdate:
    """A claim to gossip, and how often it was sent."""

    claim: Claim
    sent_count: int = 0


class Members:
    """Members by id and address, from claims, the host list and this host's calls.

    This host itself is not among them; ``me`` is its own claim.
    """

    def __init__(
        self, me: Claim, clock: clocks.Clock, suspicion_s: float, seed: int = 0
    ) -> None:
        self.me = me
        self.clock = clock
        self.suspicion_s = suspicion_s
        self.by_id: dict[str, Member] = {}
        self.by_address: dict[str, Member] = {}
        self.pending_updates: dict[str, PendingUpdate] = {}
        self.priority_probes: list[str] = []
        self.state_changed = trio.Event()
        self.rng = random.Random(f"{me.id}/{me.instance}/{seed}")
        self._enqueue_update(me)

    def live(self, domain: str | None = None) -> list[Member]:
        """Return live and suspect members, in one failure domain or in all."""
        return [
            member
            for member in self.by_id.values()
            if member.state in (State.LIVE, State.SUSPECT)
            and domain in (None, member.failure_domain)
        ]

    def lookup(self, host_id: str) -> Member | None:
        """Return the member with this id, or None."""
        return self.by_id.get(host_id)

    @property
    def changed(self) -> trio.Event:
        """Return an event that is set when the state of any member next changes."""
        return self.state_changed

    def record_call_result(self, address: str, ok: bool) -> None:
        """Record whether a call to a member succeeded.

        If it failed, or if the member is not live, the member is queued to be pinged
        ahead of the others.
        """
        member = self.by_address.get(address)
        if member is None:
            return
        member.reachable = ok
        needs_probe = not ok or member.state is not State.LIVE
        if needs_probe and member.id not in self.priority_probes:
            self.priority_probes.append(member.id)

    def merge(self, claim: Claim) -> bool:
        """Merge a claim; return whether it changed anything."""
        if claim.id == self.me.id:
            return self._refute(claim)
        current = self.by_id.get(claim.id)
        if current is None and claim.state is State.DEAD:
            return False
        if current is not None and claim.rank <= current.claim.rank:
            return False
        adds_nothing = current is not None and _repeats_list(claim, current)
        self._update_member(claim, current)
        if not adds_nothing:
            self._enqueue_update(claim)
        return True

    def suspect(self, member: Member) -> None:
        """Suspect a member that replied to neither direct nor indirect pings.

        A leaving member is declared dead at once.
        """
        if member.state is State.LIVE:
            self.merge(attrs.evolve(member.claim, state=State.SUSPECT))
            member.suspected_locally = True
            member.suspect_until = self.clock.monotonic() + self.suspicion_s
        elif member.state is State.LEAVING:
            self.merge(attrs.evolve(member.claim, state=State.DEAD))

    def expire(self, forget_s: float) -> None:
        """Process suspicions that timed out; remove members dead for ``forget_s``.

        The host that raised a suspicion probes once more before it declares the
        member dead; the others wait longer for that claim. Members on the platform's
        host list are not removed.
        """
        now = self.clock.monotonic()
        for member in list(self.by_id.values()):
            if member.state is State.SUSPECT and now >= member.suspect_until:
                self._handle_suspicion_timeout(member)
            if now >= member.dead_since + forget_s and not member.listed:
                self._forget(member)

    def leave(self) -> Claim:
        """Enqueue and return the claim that this host is leaving."""
        claim = attrs.evolve(
            self.me, state=State.LEAVING, incarnation=self.me.incarnation + 1
        )
        self._set_own_claim(claim)
        return claim

    def merge_host_list(
        self, listed: collections.abc.Iterable[hosts.ListedHost]
    ) -> None:
        """Merge the platform's host list, which may be out of date.

        It adds unknown hosts, marks leaving ones, and has a dead member pinged that is
        listed under a new instance. A host that is not on it remains a member as long
        as it replies to pings.
        """
        listed = [host for host in listed if host.id != self.me.id]
        listed_instances = {(host.id, host.instance) for host in listed}
        for member in self.by_id.values():
            member.listed = (member.id, member.instance) in listed_instances
        for host in listed:
            current = self.by_id.get(host.id)
            if current is None:
                self._add_listed(host)
            elif current.instance == host.instance and _starts_leaving(host, current):
                self.merge(attrs.evolve(current.claim, state=State.LEAVING))
            elif current.state is State.DEAD and current.instance != host.instance:
                self.priority_probes.append(host.id)

    def select_updates(self, target_id: str, limit: int) -> list[Claim]:
        """Return claims to send to a host, those sent least often first.

        A claim that the target itself is not live is always included, so that it can
        refute it.
        """
        claims = []
        target = self.by_id.get(target_id)
        if target is not None and target.state is not State.LIVE:
            claims.append(target.claim)
        max_sends = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.by_id) + 2))
        by_sent_count = sorted(
            self.pending_updates.values(), key=lambda update: update.sent_count
        )
        for update in by_sent_count[:limit]:
            update.sent_count += 1
            claims.append(update.claim)
            if update.sent_count >= max_sends:
                del self.pending_updates[update.claim.id]
        return claims

    def select_relays(self, target: Member, count: int) -> list[Member]:
        """Return members that can relay pings to a target.

        If possible, one is outside the failure domains of this host and of the target,
        since either may be cut off.
        """
        candidates = [m for m in self.live() if m.reachable and m.id != target.id]
        self.rng.shuffle(candidates)
        endpoint_domains = (self.me.failure_domain, target.failure_domain)
        outside = [m for m in candidates if m.failure_domain not in endpoint_domains]
        chosen = outside[:1]
        for member in candidates:
            if len(chosen) < count and member not in chosen:
                chosen.append(member)
        return chosen[:count]

    def _handle_suspicion_timeout(self, member: Member) -> None:
        if member.suspected_locally and not member.final_probe_queued:
            member.final_probe_queued = True
            member.suspect_until += FINAL_PROBE_S
            self.priority_probes.append(member.id)
            return
        self.merge(attrs.evolve(member.claim, state=State.DEAD))

    def _refute(self, claim: Claim) -> bool:
        """Refute a claim about this host or an earlier start; return whether it did."""
        same_instance = claim.instance == self.me.instance
        if same_instance and claim.rank <= self.me.rank:
            return False
        if claim.incarnation < self.me.incarnation:
            return False
        incarnation = claim.incarnation + 1
        self._set_own_claim(attrs.evolve(self.me, incarnation=incarnation))
        return True

    def _set_own_claim(self, claim: Claim) -> None:
        self.me = claim
        self._enqueue_update(claim)

    def _add_listed(self, host: hosts.ListedHost) -> None:
        state = State.LIVE
        if host.status is hosts.Status.LEAVING:
            state = State.LEAVING
        claim = Claim(
            id=host.id,
            instance=host.instance,
            address=host.address,
            region=host.region,
            failure_domain=host.failure_domain,
            state=state,
            incarnation=LISTED_INCARNATION,
        )
        self._update_member(claim, None)
        self.by_id[host.id].listed = True

    def _update_member(self, claim: Claim, previous: Member | None) -> None:
        now = self.clock.monotonic()
        member = previous
        if member is None or member.instance != claim.instance:
            member = Member(claim)
        old_state = previous.state if previous else None
        member.claim = claim
        self._index(claim, previous, member)
        if claim.state is State.SUSPECT:
            member.suspect_until = now + REMOTE_SUSPICION_FACTOR * self.suspicion_s
            member.suspected_locally = member.final_probe_queued = False
        if claim.state is not State.DEAD:
            member.dead_since = math.inf
        elif old_state is not State.DEAD:
            member.dead_since = now
        if claim.state is not old_state:
            logger.info("Host %s is %s.", claim.id, claim.state.name.lower())
            state_changed, self.state_changed = self.state_changed, trio.Event()
            state_changed.set()

    def _index(self, claim: Claim, previous: Member | None, member: Member) -> None:
        if previous is not None and self.by_address.get(previous.address) is previous:
            del self.by_address[previous.address]
        self.by_id[claim.id] = member
        self.by_address[claim.address] = member

    def _forget(self, member: Member) -> None:
        del self.by_id[member.id]
        if self.by_address.get(member.address) is member:
            del self.by_address[member.address]
        self.pending_updates.pop(member.id, None)
        logger.info("Host %s is removed from the members.", member.id)

    def _enqueue_update(self, claim: Claim) -> None:
        self.pending_updates[claim.id] = PendingUpdate(claim)


def _repeats_list(claim: Claim, member: Member) -> bool:
    """Return whether a claim adds nothing to the host list, which every host reads."""
    only_listed = member.claim.incarnation == LISTED_INCARNATION
    same_state = member.instance == claim.instance and member.state is claim.state
    return only_listed and same_state


def _starts_leaving(host: hosts.ListedHost, member: Member) -> bool:
    is_leaving = host.status is hosts.Status.LEAVING
    return is_leaving and member.state in (State.LIVE, State.SUSPECT)
