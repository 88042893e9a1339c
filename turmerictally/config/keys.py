"""Check callers' keys and end what runs on a key once it is withdrawn."""

import collections.abc
import contextlib
import hmac
import secrets

import attrs
import trio

from turmerictally import errors
from turmerictally.config import model, replica

SECRET_PREFIX = "tk-"
SECRET_BYTES = 32
ID_BYTES = 6
STALE_CHECK_S = 0.5
RETRY_AFTER_S = 5.0


@attrs.frozen
class Identity:
    """Name the key and the contract on which a request runs."""

    key: model.Key
    contract: model.Contract

    @property
    def team(self) -> str:
        """Return the team whose request it is."""
        return self.contract.team


@attrs.frozen
class Secret:
    """Hold a new key's secret, which is shown once and never stored."""

    key: model.Key
    text: str = attrs.field(repr=False)


@attrs.frozen
class Signal:
    """Set an event in place of cancelling a scope."""

    event: trio.Event

    def cancel(self) -> None:
        """Set the event."""
        self.event.set()


@attrs.define(eq=False)
class Watch:
    """Hold one piece of work that runs on a key, and why it was ended."""

    identity: Identity
    scope: trio.CancelScope | Signal
    ended: errors.Error | None = None

    def end(self, error: errors.Error) -> None:
        """Cancel the work and remember the reason."""
        self.ended = self.ended or error
        self.scope.cancel()


def create(team: str) -> Secret:
    """Return a new key of a team with its secret."""
    text = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
    key_id = "key-" + secrets.token_hex(ID_BYTES)
    return Secret(model.Key(key_id, team, model.digest(text)), text)


class KeyRing:
    """Authenticate secrets against the view in force."""

    def __init__(self, copy: replica.Replica) -> None:
        self.replica = copy
        self.watches: dict[str, set[Watch]] = {}
        copy.subscribe(self._on_move)

    def authenticate(self, secret: str) -> Identity:
        """Return whose key it is.

        Raises ``errors.Error`` with ``UNAUTHENTICATED`` or, when the view is too old
        to tell, ``CONFIGURATION_STALE`` or ``NOT_READY``. The time taken depends on
        the digest only, never on the secret's characters.
        """
        found = self._find(model.digest(secret))
        self._require_fresh(found.team if found else "")
        if found is None:
            raise errors.Error(errors.Kind.UNAUTHENTICATED)
        return found

    @contextlib.contextmanager
    def watch(self, identity: Identity) -> collections.abc.Iterator[Watch]:
        """Run a block that is cancelled when its key stops working.

        Raises ``errors.Error`` with ``KEY_WITHDRAWN`` or ``CONFIGURATION_STALE``
        after the cancelled block.
        """
        with trio.CancelScope() as scope:
            watch = Watch(identity, scope)
            key_id = identity.key.id
            self.watches.setdefault(key_id, set()).add(watch)
            self._check(watch)
            try:
                yield watch
            finally:
                self._remove(watch)
        if scope.cancelled_caught and watch.ended is not None:
            raise watch.ended

    @contextlib.contextmanager
    def follow(
        self, identity: Identity, withdrawn: trio.Event
    ) -> collections.abc.Iterator[Watch]:
        """Set an event, during the context, when the key stops working."""
        watch = Watch(identity, Signal(withdrawn))
        key_id = identity.key.id
        self.watches.setdefault(key_id, set()).add(watch)
        self._check(watch)
        try:
            yield watch
        finally:
            self._remove(watch)

    async def run(self) -> None:
        """End work whose team's staleness limit passes, until cancelled."""
        while True:
            await trio.sleep(STALE_CHECK_S)
            for watch in self._watches():
                self._check(watch)

    def _find(self, digest: str) -> Identity | None:
        key = self.replica.view.keys.get(digest)
        if key is None or not hmac.compare_digest(key.digest, digest):
            return None
        contract = self.replica.view.contracts.get(key.team)
        return None if contract is None else Identity(key, contract)

    def _require_fresh(self, team: str) -> None:
        if self.replica.freshness is None:
            raise errors.Error(errors.Kind.NOT_READY, retry_after_s=RETRY_AFTER_S)
        if self.replica.is_stale(team):
            raise _stale(errors.Ran.NOT_RUN)

    def _on_move(self, old: model.View, new: model.View) -> None:
        if old.keys == new.keys and old.contracts.keys() == new.contracts.keys():
            return
        for watch in self._watches():
            self._check(watch)

    def _check(self, watch: Watch) -> None:
        if self._find(watch.identity.key.digest) is None:
            watch.end(errors.Error(errors.Kind.KEY_WITHDRAWN))
        elif self.replica.is_stale(watch.identity.team):
            watch.end(_stale(errors.Ran.MAY_HAVE_RUN))

    def _watches(self) -> list[Watch]:
        return [watch for group in self.watches.values() for watch in group]

    def _remove(self, watch: Watch) -> None:
        key_id = watch.identity.key.id
        self.watches[key_id].discard(watch)
        if not self.watches[key_id]:
            del self.watches[key_id]


def _stale(ran: errors.Ran) -> errors.Error:
    return errors.Error(
        errors.Kind.CONFIGURATION_STALE, ran=ran, retry_after_s=RETRY_AFTER_S
    )
