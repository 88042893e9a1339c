"""Change and read the configuration on behalf of operators."""

import enum
import logging
import random
import secrets

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors
from turmerictally.config import audit, keys, model, rules, spread, store, sync
from turmerictally.store import table

logger = logging.getLogger(__name__)

COMMIT_ATTEMPTS = 20
ATTEMPT_DELAY_S = 0.02
RETRY_AFTER_S = 1.0


class Status(enum.Enum):
    """Name how far a committed change has come.

    ``ACCEPTED`` means that every host that may still serve has it in force.
    """

    ACCEPTED = "accepted"
    PENDING = "pending"


@attrs.frozen
class Outcome:
    """Report a committed change to the operator.

    ``pending`` names the hosts that have not confirmed it and until when each may
    still serve on the older version. ``hosts_known`` is False when the registered
    hosts could not be read. ``versions`` maps the hosts that answered to their
    version.
    """

    version: int
    status: Status
    in_force: int
    hosts: int
    pending: tuple[spread.Pending, ...]
    hosts_known: bool
    versions: dict[str, int]


@attrs.frozen
class GivenKey:
    """Hold a new key's secret, shown this once, with the outcome."""

    secret: keys.Secret
    outcome: Outcome


@attrs.frozen
class Draft:
    """Describe a wanted change; ``expected`` is the object's version it is based on."""

    id: str
    who: str
    kind: model.ItemKind
    name: str
    value: model.Item | None
    expected: int


class Operations:
    """Commit changes one after another and bring them in force everywhere.

    Every change raises ``errors.Error``: ``CONFLICT`` when the object was changed in
    the meantime, ``PLATFORM_UNAVAILABLE`` when the table does not answer (its
    ``ran`` tells whether the change may have been made), ``NOT_FOUND`` or
    ``BAD_REQUEST``. Refused changes are audited as well.
    """

    def __init__(
        self,
        synchronizer: sync.Synchronizer,
        spreader: spread.Spreader,
        trail: audit.Trail,
        clock: clocks.Clock,
    ) -> None:
        self.sync = synchronizer
        self.replica = synchronizer.replica
        self.store = synchronizer.store
        self.spread = spreader
        self.trail = trail
        self.clock = clock
        self.last_version = 0
        self.rng = random.Random(f"{synchronizer.me.id}/operations")

    async def put(
        self, who: str, item: model.Item, expected_version: int | None = None
    ) -> Outcome:
        """Create or change an object; ``expected_version`` 0 only creates."""
        kind = _kind_of(item)
        return await self._change(
            who, kind, rules.name_of(item), item, expected_version
        )

    async def remove(
        self,
        who: str,
        kind: model.ItemKind,
        name: str,
        expected_version: int | None = None,
    ) -> Outcome:
        """Remove an object that nothing depends on."""
        return await self._change(who, kind, name, None, expected_version)

    async def give_key(self, who: str, team: str) -> GivenKey:
        """Create a key of a team; its secret is in the answer only."""
        secret = keys.create(team)
        outcome = await self.put(who, secret.key, expected_version=0)
        return GivenKey(secret, outcome)

    async def withdraw_key(self, who: str, key_id: str) -> Outcome:
        """Withdraw a key; it ends requests that run on it."""
        return await self.remove(who, model.ItemKind.KEY, key_id)

    def list(self, kind: model.ItemKind) -> list[model.Item]:
        """Return this host's objects of a kind, ordered by name."""
        view = self.replica.view
        items = {
            model.ItemKind.CONTRACT: view.contracts,
            model.ItemKind.KEY: view.keys,
            model.ItemKind.SERVICE: view.services,
            model.ItemKind.ROUTE: view.routes,
            model.ItemKind.SERVER: view.servers,
        }[kind]
        return sorted(items.values(), key=rules.name_of)

    def show(self, kind: model.ItemKind, name: str) -> tuple[model.Item, int]:
        """Return an object and its version; raises ``NOT_FOUND``."""
        view = self.replica.view
        item = view.find(kind, name)
        if item is None:
            raise errors.Error(errors.Kind.NOT_FOUND)
        return item, view.object_version(kind, name)

    async def status(self, version: int | None = None) -> Outcome:
        """Ask every host for its version and report how far one change has come.

        Defaults to the newest change that this host knows.
        """
        newest = self.replica.view.version
        version = min(version, newest) if version else newest
        return _outcome(await self.spread.deliver(version))

    async def remove_host(self, who: str, host_id: str) -> bool:
        """Note that a host was destroyed, so that changes no longer wait for it.

        Only true if it no longer runs. Returns False when it was not registered.
        """
        logger.warning("Host %s is removed by %s.", host_id, who)
        try:
            return await self.store.deregister(host_id)
        except table.ConflictError as error:
            raise errors.Error(errors.Kind.CONFLICT) from error
        except table.UnavailableError as error:
            raise _platform_down(error) from error

    async def _change(
        self,
        who: str,
        kind: model.ItemKind,
        name: str,
        value: model.Item | None,
        expected: int | None,
    ) -> Outcome:
        if expected is None:
            expected = self.replica.view.object_version(kind, name)
        draft = Draft(secrets.token_hex(8), who, kind, name, value, expected)
        try:
            change = await self._commit(draft)
        except errors.Error as error:
            self._audit_refusal(draft, error)
            raise
        return _outcome(await self.spread.deliver(change.version))

    async def _commit(self, draft: Draft) -> model.Change:
        for attempt in range(COMMIT_ATTEMPTS):
            head = await self._newest()
            view = self.replica.view
            if head.version != view.version:
                continue
            self._check(draft, view)
            change = self._build(draft, head)
            entry = self._entry(draft, audit.Result.COMMITTED, head.version + 1)
            try:
                await self.store.commit(head, change, entry)
            except store.HeadMovedError:
                await trio.sleep(ATTEMPT_DELAY_S * attempt * self.rng.random())
                continue
            self.replica.apply([change])
            self.last_version = change.version
            return change
        raise errors.Error(
            errors.Kind.CONFLICT,
            "Too many changes at once.",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _newest(self) -> store.Head:
        try:
            return await self.sync.catch_up()
        except (table.UnavailableError, KeyError) as error:
            raise _platform_down(error) from error

    def _check(self, draft: Draft, view: model.View) -> None:
        if view.object_version(draft.kind, draft.name) != draft.expected:
            raise errors.Error(errors.Kind.CONFLICT)
        if draft.value is None:
            rules.check_removal(draft.kind, draft.name, view)
        else:
            rules.check(draft.value, view, self.replica.max_staleness_s)

    def _build(self, draft: Draft, head: store.Head) -> model.Change:
        return model.Change(
            version=head.version + 1,
            kind=draft.kind,
            name=draft.name,
            value=draft.value,
            who=draft.who,
            at=self.clock.wall(),
            id=draft.id,
        )

    def _entry(
        self, draft: Draft, result: audit.Result, version: int = 0, reason: str = ""
    ) -> audit.Entry:
        at = self.clock.wall()
        before = self.replica.view.find(draft.kind, draft.name)
        return audit.Entry(
            id=audit.entry_id(at),
            at=at,
            who=draft.who,
            host=self.sync.me.id,
            kind=draft.kind,
            name=draft.name,
            before=audit.redact(before),
            after=audit.redact(draft.value),
            result=result,
            version=version,
            change_id=draft.id,
            reason=reason,
        )

    def _audit_refusal(self, draft: Draft, error: errors.Error) -> None:
        result = audit.Result.REFUSED
        if error.ran is not errors.Ran.NOT_RUN:
            result = audit.Result.UNKNOWN
        entry = self._entry(draft, result, reason=error.kind.value)
        self.trail.add(entry)


def _outcome(delivery: spread.Delivery) -> Outcome:
    accepted = delivery.complete and not delivery.pending
    return Outcome(
        version=delivery.version,
        status=Status.ACCEPTED if accepted else Status.PENDING,
        in_force=delivery.in_force,
        hosts=delivery.hosts,
        pending=delivery.pending,
        hosts_known=delivery.complete,
        versions=delivery.versions,
    )


def _kind_of(item: model.Item) -> model.ItemKind:
    return next(k for k, type_ in model.ITEM_TYPES.items() if type(item) is type_)


def _platform_down(error: Exception) -> errors.Error:
    return errors.Error(
        errors.Kind.PLATFORM_UNAVAILABLE, str(error), retry_after_s=RETRY_AFTER_S
    )
