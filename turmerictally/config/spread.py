"""Bring a change in force on every host and learn who has not confirmed it."""

import collections.abc
import logging
import random

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.config import replica, store, sync, wire
from turmerictally.membership import members
from turmerictally.peers import calls
from turmerictally.store import table

logger = logging.getLogger(__name__)

# Recent changes sent along, so that a host one or two behind need not pull.
CHANGES_PER_PUSH = 4
RETRY_S = 0.25
# Share of the time left that a relay spends on the hosts behind it.
RELAY_TIME_SHARE = 0.75
DIRECT_TIMEOUT_S = 0.4
# Changes whose confirmations are remembered for later questions.
ROUNDS = 64
MIN_RELAYED = 3


@attrs.frozen
class Pending:
    """Name a host that has not confirmed a version.

    ``may_serve_until`` is in Unix seconds by the reporting host's clock; after it
    the host has either learned the version or refuses to serve.
    """

    host_id: str
    failure_domain: str
    state: str
    version: int
    may_serve_until: float


@attrs.frozen
class Delivery:
    """Report on how many of the known hosts a version is in force.

    ``complete`` is False when the registered hosts could not be read, so that
    others may be missing from the count.
    """

    version: int
    hosts: int
    in_force: int
    pending: tuple[Pending, ...]
    complete: bool
    versions: dict[str, int] = attrs.field(factory=dict)


class Round:
    """Collect the confirmations of one version.

    A confirmation counts for the start of a host that was waited for only, as an
    earlier start may run on.
    """

    def __init__(self, version: int, known: members.Members) -> None:
        self.version = version
        self.members = known
        self.targets: dict[str, wire.Target] = {}
        self.dependents: dict[str, wire.Target] = {}
        self.versions: dict[str, int] = {}
        self.confirmed: dict[str, wire.Confirmation] = {}

    def expect(self, targets: collections.abc.Iterable[wire.Target]) -> None:
        """Set whom to wait for, beside unregistered hosts that were named."""
        self.targets = {target.host_id: target for target in targets}
        for host_id, confirmed in list(self.confirmed.items()):
            target = self.targets.get(host_id)
            if target is not None and target.instance != confirmed.instance:
                del self.confirmed[host_id]
                del self.versions[host_id]
        for host_id, dependent in self.dependents.items():
            self.targets.setdefault(host_id, dependent)

    def take(self, confirmations: list[wire.Confirmation]) -> None:
        """Count confirmations; wait for the unregistered hosts they name, too."""
        for one in confirmations:
            target = self.targets.get(one.host_id)
            if target is not None and target.instance != one.instance:
                continue
            self.confirmed[one.host_id] = one
            known = self.versions.get(one.host_id, 0)
            self.versions[one.host_id] = max(known, one.version)
            for dependent in one.dependents:
                self.dependents[dependent.host_id] = dependent
                self.targets.setdefault(dependent.host_id, dependent)

    def hear(self) -> None:
        """Count the versions that hosts told in their pings."""
        for target in list(self.targets.values()):
            member = self.members.lookup(target.host_id)
            if member is None or member.config_version < self.version:
                continue
            version = member.config_version
            told = wire.Confirmation(member.id, member.instance, version)
            if self.versions.get(member.id, -1) < version:
                self.take([told])

    def missing(self) -> list[wire.Target]:
        """Return the hosts that have not confirmed the version."""
        self.hear()
        return [
            target
            for host_id, target in self.targets.items()
            if self.versions.get(host_id, -1) < self.version
        ]


class Spreader:
    """Push changes to all hosts, through one relay in each other failure domain.

    Whoever is not reached is tried directly, then through other hosts, until the
    deadline. Behind it stand the digests in pings, the polling of the platform, and
    versions that hosts recorded in the table as no push reached them.
    """

    def __init__(
        self,
        synchronizer: sync.Synchronizer,
        known: members.Members,
        peers: calls.Peers,
        config: settings.Config,
        clock: clocks.Clock,
    ) -> None:
        self.sync = synchronizer
        self.replica: replica.Replica = synchronizer.replica
        self.store: store.Store = synchronizer.store
        self.me = wire.target(synchronizer.me)
        self.members = known
        self.peers = peers
        self.config = config
        self.clock = clock
        self.rounds: dict[int, Round] = {}
        self.rng = random.Random(f"{self.me.host_id}/spread")
        peers.handle(calls.Kind.CONFIG_PUSH, self.on_push)

    async def deliver(self, version: int) -> Delivery:
        """Push up to ``version`` and return who has confirmed within the time-out.

        It returns sooner when every host has confirmed or is known to be dead.
        """
        self.sync.confirmed = max(self.sync.confirmed, version)
        registered, complete = await self._registered()
        round_ = self._round(version)
        round_.expect(self._targets(registered))
        round_.take([self._confirmation()])
        round_.take([_recorded(host) for host in registered])
        with trio.move_on_after(self.config.accept_timeout_s):
            await self._first_round(round_)
            await self._retry(round_)
        return self._report(round_, complete)

    async def on_push(self, caller: calls.Caller, body: bytes) -> bytes:
        """Apply pushed changes, pass them on, and confirm for all reached."""
        push = wire.decode_push(body)
        self.sync.confirmed = max(self.sync.confirmed, push.version)
        applied = self.replica.apply(push.changes)
        if not applied or self.replica.view.version < push.version:
            await self.sync.pull(push.sender)
        round_ = Round(push.version, self.members)
        round_.expect(push.relay_to)
        with trio.move_on_after(push.time_left_s * RELAY_TIME_SHARE):
            while missing := round_.missing():
                await self._push_each(missing, round_)
        round_.hear()
        relayed = round_.confirmed.values()
        extra = round_.dependents.values()
        mine = self._confirmation()
        mine = attrs.evolve(mine, dependents=mine.dependents + tuple(extra))
        return wire.encode_confirmations([mine, *relayed])

    async def _registered(self) -> tuple[list[store.Host], bool]:
        try:
            return await self.store.hosts(), True
        except table.UnavailableError:
            return [], False

    def _round(self, version: int) -> Round:
        """Return the round of a version; versions of a start never go down."""
        if version not in self.rounds:
            self.rounds[version] = Round(version, self.members)
            while len(self.rounds) > ROUNDS:
                del self.rounds[min(self.rounds)]
        return self.rounds[version]

    def _targets(self, registered: list[store.Host]) -> list[wire.Target]:
        targets = {host.id: wire.target(host) for host in registered}
        for member in self.members.by_id.values():
            if member.state is not members.State.DEAD:
                one = _target(member)
                targets.setdefault(member.id, one)
        targets.setdefault(self.me.host_id, self.me)
        return list(targets.values())

    async def _first_round(self, round_: Round) -> None:
        groups: dict[str, list[wire.Target]] = {}
        for target in round_.missing():
            groups.setdefault(target.failure_domain, []).append(target)
        async with trio.open_nursery() as nursery:
            for domain, group in groups.items():
                if domain == self.me.failure_domain or len(group) < MIN_RELAYED:
                    nursery.start_soon(self._push_each, group, round_)
                else:
                    nursery.start_soon(self._relay, group, round_)

    async def _retry(self, round_: Round) -> None:
        through_others = False
        while missing := self._worth_retrying(round_):
            if through_others:
                await self._push_through(missing, round_)
            else:
                await self._push_each(missing, round_)
            through_others = not through_others
            if self._worth_retrying(round_):
                await trio.sleep(RETRY_S)

    def _worth_retrying(self, round_: Round) -> list[wire.Target]:
        """Return who is missing but not known to be dead.

        So a region that is cut off costs one attempt a domain for each change.
        """
        return [target for target in round_.missing() if not self._is_dead(target)]

    def _is_dead(self, target: wire.Target) -> bool:
        member = self.members.lookup(target.host_id)
        if member is None or member.instance != target.instance:
            return False
        return member.state is members.State.DEAD

    async def _relay(self, group: list[wire.Target], round_: Round) -> None:
        relay = self._choose_relay(group)
        rest = tuple(target for target in group if target != relay)
        await self._push(relay, round_, rest, self.config.push_timeout_s)

    def _choose_relay(self, group: list[wire.Target]) -> wire.Target:
        healthy = [target for target in group if self._is_healthy(target)]
        return self.rng.choice(healthy or group)

    def _is_healthy(self, target: wire.Target) -> bool:
        member = self.members.lookup(target.host_id)
        if member is None:
            return False
        return member.reachable and member.state is members.State.LIVE

    async def _push_each(self, targets: list[wire.Target], round_: Round) -> None:
        async with trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(self._push, target, round_, (), DIRECT_TIMEOUT_S)

    async def _push_through(self, missing: list[wire.Target], round_: Round) -> None:
        """Have one host of each of several domains push to those missing."""
        helpers: dict[str, members.Member] = {}
        live = self.members.live()
        self.rng.shuffle(live)
        absent = {target.host_id for target in missing}
        for member in live:
            if member.reachable and member.id not in absent:
                helpers.setdefault(member.failure_domain, member)
        rest = tuple(missing)
        async with trio.open_nursery() as nursery:
            for member in helpers.values():
                one = _target(member)
                limit = self.config.push_timeout_s
                nursery.start_soon(self._push, one, round_, rest, limit)

    async def _push(
        self,
        target: wire.Target,
        round_: Round,
        relay_to: tuple[wire.Target, ...],
        timeout_s: float,
    ) -> None:
        push = wire.Push(
            changes=self._recent(),
            version=self.replica.view.version,
            relay_to=relay_to,
            time_left_s=timeout_s,
            sender=self.me.address,
        )
        deadline = self.clock.monotonic() + timeout_s
        body = wire.encode_push(push)
        kind = calls.Kind.CONFIG_PUSH
        try:
            reply = await self.peers.call(target.address, kind, body, deadline=deadline)
            round_.take(wire.decode_confirmations(reply))
        except errors.Error:
            self.members.record_call_result(target.address, ok=False)

    def _recent(self) -> tuple:
        recent = list(self.replica.recent)[-CHANGES_PER_PUSH:]
        return tuple(known.change for known in recent)

    def _confirmation(self) -> wire.Confirmation:
        version = self.replica.view.version
        dependents = self.sync.current_dependents()
        return wire.Confirmation(self.me.host_id, self.me.instance, version, dependents)

    def _report(self, round_: Round, complete: bool) -> Delivery:
        until = self.replica.lapses_at(round_.version)
        pending = ()
        if self.clock.monotonic() < until:
            pending = tuple(
                self._pending(target, round_, until) for target in round_.missing()
            )
        return Delivery(
            version=round_.version,
            hosts=len(round_.targets),
            in_force=len(round_.targets) - len(round_.missing()),
            pending=pending,
            complete=complete or self.clock.monotonic() >= until,
            versions=dict(round_.versions),
        )

    def _pending(self, target: wire.Target, round_: Round, until: float) -> Pending:
        member = self.members.lookup(target.host_id)
        return Pending(
            host_id=target.host_id,
            failure_domain=target.failure_domain,
            state="unknown" if member is None else member.state.name.lower(),
            version=round_.versions.get(target.host_id, 0),
            may_serve_until=self.clock.wall() + until - self.clock.monotonic(),
        )


def _target(member: members.Member) -> wire.Target:
    return wire.Target(
        member.id, member.address, member.failure_domain, member.instance
    )


def _recorded(host: store.Host) -> wire.Confirmation:
    return wire.Confirmation(host.id, host.instance, host.version)
