"""Hold what one host knows about the fleet's entry hosts."""

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

# Times an update is passed on, as a multiple of log2 of the number of members.
RETRANSMIT_FACTOR = 3
# Time for the last probe, direct and indirect, before a death is claimed.
LAST_PROBE_S = 2.5
# A suspicion that another host raised lasts this much longer.
HEARSAY_FACTOR = 2.5
# Below every incarnation that a host claims for itself.
LISTED_INCARNATION = 0


class State(enum.IntEnum):
    """Rank the states of a member; at one incarnation the higher rank wins."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.frozen
class Claim:
    """State something about one member, as passed on between hosts.

    ``incarnation`` grows with each start of the host and each time that it refutes a
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
        """Return the order of claims about one member."""
        return (self.incarnation, self.state)


@attrs.define
class Member:
    """Hold one known host; instants are on the local monotonic clock.

    ``reachable`` is False while this host's own calls to the member fail, although
    others may reach it. ``suspect_until`` ends a suspicion; ``accused`` tells that
    this host raised it and ``probed`` that it made its last probe. ``dead_since``
    starts the time after which the member is forgotten.
    """

    claim: Claim
    config_version: int = 0
    reachable: bool = True
    listed: bool = False
    suspect_until: float = math.inf
    accused: bool = False
    probed: bool = False
    dead_since: float = math.inf

    @property
    def id(self) -> str:
        """Return the host's id."""
        return self.claim.id

    @property
    def instance(self) -> str:
        """Return which start of the host this is."""
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
        """Return the host's state as far as it is known."""
        return self.claim.state


@attrs.define
class PendingUpdate:
    """Count how often a claim was passed on."""

    claim: Claim
    sent: int = 0


class Members:
    """Merge claims, the platform's list and own evidence about every host.

    The host itself is not among its members; ``me`` is its own claim.
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
        self.event = trio.Event()
        self.rng = random.Random(f"{me.id}/{me.instance}/{seed}")
        self._spread(me)

    def live(self, domain: str | None = None) -> list[Member]:
        """Return members that take work: live or suspect, in one domain or all."""
        return [
            member
            for member in self.by_id.values()
            if member.state in (State.LIVE, State.SUSPECT)
            and domain in (None, member.failure_domain)
        ]

    def lookup(self, host_id: str) -> Member | None:
        """Return a member by its id, or None."""
        return self.by_id.get(host_id)

    @property
    def changed(self) -> trio.Event:
        """Return an event that is set at the next change of any member's state."""
        return self.event

    def record_call_result(self, address: str, ok: bool) -> None:
        """Note whether a call to a member succeeded; a failure has it pinged next."""
        member = self.by_address.get(address)
        if member is None:
            return
        member.reachable = ok
        doubtful = not ok or member.state is not State.LIVE
        if doubtful and member.id not in self.priority_probes:
            self.priority_probes.append(member.id)

    def merge(self, claim: Claim) -> bool:
        """Take in a claim; return whether it was news."""
        if claim.id == self.me.id:
            return self._answer(claim)
        known = self.by_id.get(claim.id)
        if known is None and claim.state is State.DEAD:
            return False
        if known is not None and claim.rank <= known.claim.rank:
            return False
        listed_only = known is not None and _confirms_list(claim, known)
        self._store(claim, known)
        if not listed_only:
            self._spread(claim)
        return True

    def suspect(self, member: Member) -> None:
        """Start to suspect a member that answered neither directly nor indirectly."""
        if member.state is State.LIVE:
            self.merge(attrs.evolve(member.claim, state=State.SUSPECT))
            member.accused = True
            member.suspect_until = self.clock.monotonic() + self.suspicion_s
        elif member.state is State.LEAVING:
            self.merge(attrs.evolve(member.claim, state=State.DEAD))

    def expire(self, forget_s: float) -> None:
        """End suspicions whose time is up; forget those dead for ``forget_s``.

        The host that raised a suspicion probes once more before it claims a death;
        the others wait longer for that claim.
        """
        now = self.clock.monotonic()
        for member in list(self.by_id.values()):
            if member.state is State.SUSPECT and now >= member.suspect_until:
                self._end_suspicion(member)
            if now >= member.dead_since + forget_s and not member.listed:
                self._forget(member)

    def leave(self) -> Claim:
        """Claim that this host is leaving, and return the claim."""
        claim = attrs.evolve(
            self.me, state=State.LEAVING, incarnation=self.me.incarnation + 1
        )
        self._assert(claim)
        return claim

    def merge_host_list(
        self, listed: collections.abc.Iterable[hosts.ListedHost]
    ) -> None:
        """Take in the platform's list, which is only a hint.

        It introduces unknown hosts and leaving ones. A host that is missing from it
        stays a member as long as it answers.
        """
        listed = [host for host in listed if host.id != self.me.id]
        present = {(host.id, host.instance) for host in listed}
        for member in self.by_id.values():
            member.listed = (member.id, member.instance) in present
        for host in listed:
            known = self.by_id.get(host.id)
            if known is None:
                self._introduce(host)
            elif known.instance == host.instance and _starts_leaving(host, known):
                self.merge(attrs.evolve(known.claim, state=State.LEAVING))
            elif known.state is State.DEAD and known.instance != host.instance:
                self.priority_probes.append(host.id)

    def select_updates(self, target_id: str, limit: int) -> list[Claim]:
        """Return the claims to send along, the least sent first.

        What is claimed about the target itself always goes along, so that it can
        refute it.
        """
        claims = []
        target = self.by_id.get(target_id)
        if target is not None and target.state is not State.LIVE:
            claims.append(target.claim)
        enough = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.by_id) + 2))
        waiting = sorted(self.pending_updates.values(), key=lambda rumour: rumour.sent)
        for rumour in waiting[:limit]:
            rumour.sent += 1
            claims.append(rumour.claim)
            if rumour.sent >= enough:
                del self.pending_updates[rumour.claim.id]
        return claims

    def select_relays(self, target: Member, count: int) -> list[Member]:
        """Return members to ping a target through, from several domains.

        One is outside both failure domains, as either may be cut off.
        """
        usable = [m for m in self.live() if m.reachable and m.id != target.id]
        self.rng.shuffle(usable)
        near = (self.me.failure_domain, target.failure_domain)
        outside = [m for m in usable if m.failure_domain not in near]
        chosen = outside[:1]
        for member in usable:
            if len(chosen) < count and member not in chosen:
                chosen.append(member)
        return chosen[:count]

    def _end_suspicion(self, member: Member) -> None:
        if member.accused and not member.probed:
            member.probed = True
            member.suspect_until += LAST_PROBE_S
            self.priority_probes.append(member.id)
            return
        self.merge(attrs.evolve(member.claim, state=State.DEAD))

    def _answer(self, claim: Claim) -> bool:
        """Refute a claim about this host, or one of an earlier start of it."""
        same = claim.instance == self.me.instance
        if same and claim.rank <= self.me.rank:
            return False
        if claim.incarnation < self.me.incarnation:
            return False
        incarnation = claim.incarnation + 1
        self._assert(attrs.evolve(self.me, incarnation=incarnation))
        return True

    def _assert(self, claim: Claim) -> None:
        self.me = claim
        self._spread(claim)

    def _introduce(self, host: hosts.ListedHost) -> None:
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
        self._store(claim, None)
        self.by_id[host.id].listed = True

    def _store(self, claim: Claim, known: Member | None) -> None:
        now = self.clock.monotonic()
        member = known
        if member is None or member.instance != claim.instance:
            member = Member(claim)
        before = known.state if known else None
        member.claim = claim
        self._index(claim, known, member)
        if claim.state is State.SUSPECT:
            member.suspect_until = now + HEARSAY_FACTOR * self.suspicion_s
            member.accused = member.probed = False
        if claim.state is not State.DEAD:
            member.dead_since = math.inf
        elif before is not State.DEAD:
            member.dead_since = now
        if claim.state is not before:
            logger.info("Host %s is %s.", claim.id, claim.state.name.lower())
            event, self.event = self.event, trio.Event()
            event.set()

    def _index(self, claim: Claim, known: Member | None, member: Member) -> None:
        if known is not None and self.by_address.get(known.address) is known:
            del self.by_address[known.address]
        self.by_id[claim.id] = member
        self.by_address[claim.address] = member

    def _forget(self, member: Member) -> None:
        del self.by_id[member.id]
        if self.by_address.get(member.address) is member:
            del self.by_address[member.address]
        self.pending_updates.pop(member.id, None)
        logger.info("Host %s is forgotten.", member.id)

    def _spread(self, claim: Claim) -> None:
        self.pending_updates[claim.id] = PendingUpdate(claim)


def _confirms_list(claim: Claim, known: Member) -> bool:
    """Tell whether a claim adds nothing to what the list told every host."""
    listed = known.claim.incarnation == LISTED_INCARNATION
    same = known.instance == claim.instance and known.state is claim.state
    return listed and same


def _starts_leaving(host: hosts.ListedHost, known: Member) -> bool:
    leaving = host.status is hosts.Status.LEAVING
    return leaving and known.state in (State.LIVE, State.SUSPECT)
