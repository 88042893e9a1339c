"""Authenticate a caller and watch for its key's revocation during the request."""

import collections.abc
import contextlib

import attrs
import quart
import trio

from turmerictally import errors
from turmerictally.config import keys, model
from turmerictally.frontend import services
from turmerictally.metrics import host as metrics_host
from turmerictally.metrics import latency

BEARER_PREFIX = "bearer "


@attrs.define(eq=False)
class Session:
    """Hold a request's identity; ``withdrawn`` is set when its key is revoked."""

    identity: keys.Identity | None
    timer: metrics_host.Timer
    withdrawn: trio.Event = attrs.Factory(trio.Event)
    stack: contextlib.ExitStack = attrs.Factory(contextlib.ExitStack)

    @property
    def team(self) -> str:
        """Return the team, or an empty string on an open route (no key required)."""
        return self.identity.team if self.identity else ""

    @property
    def contract(self) -> model.Contract | None:
        """Return the team's contract, or None on an open route (no key required)."""
        return self.identity.contract if self.identity else None

    def close(self) -> None:
        """Stop watching the key and counting the request; may be repeated."""
        self.stack.close()


def authenticate() -> keys.Identity:
    """Return the identity of the current request's bearer token."""
    authorization = quart.request.headers.get("authorization", "")
    if not authorization.lower().startswith(BEARER_PREFIX):
        raise errors.Error(errors.Kind.UNAUTHENTICATED)
    secret = authorization[len(BEARER_PREFIX) :].strip()
    return services.current().keyring.authenticate(secret)


def open_session(identity: keys.Identity | None) -> Session:
    """Return a new session, which the calling function must close."""
    components = services.current()
    team = identity.team if identity else ""
    quart.g.team = team
    started_at = quart.g.started_at
    timer = components.metrics.start(team, latency.Work.ONLINE, started_at)
    session = Session(identity, timer)
    session.stack.enter_context(components.running)
    if identity is not None:
        session.stack.enter_context(
            components.keyring.follow(identity, session.withdrawn)
        )
    return session


@contextlib.contextmanager
def session(
    identity: keys.Identity | None,
) -> collections.abc.Iterator[Session]:
    """Open a session for the duration of the context."""
    opened = open_session(identity)
    try:
        yield opened
    finally:
        opened.close()


@contextlib.contextmanager
def team_session() -> collections.abc.Iterator[keys.Identity]:
    """Authenticate, and cancel the context's body when the key is revoked."""
    identity = authenticate()
    components = services.current()
    with components.running, components.keyring.watch(identity):
        yield identity
