"""Authenticate a caller and follow its key while the request runs."""

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

BEARER = "bearer "


@attrs.define(eq=False)
class Session:
    """Hold who runs a request; ``withdrawn`` is set when the key stops working."""

    identity: keys.Identity | None
    timer: metrics_host.Timer
    withdrawn: trio.Event = attrs.Factory(trio.Event)
    stack: contextlib.ExitStack = attrs.Factory(contextlib.ExitStack)

    @property
    def team(self) -> str:
        """Return the team, or an empty text on an open route."""
        return self.identity.team if self.identity else ""

    @property
    def contract(self) -> model.Contract | None:
        """Return the team's contract, or None on an open route."""
        return self.identity.contract if self.identity else None

    def close(self) -> None:
        """Stop following the key; harmless when repeated."""
        self.stack.close()


def authenticate() -> keys.Identity:
    """Return whose key came with the current request."""
    given = quart.request.headers.get("authorization", "")
    if not given.lower().startswith(BEARER):
        raise errors.Error(errors.Kind.UNAUTHENTICATED)
    secret = given[len(BEARER) :].strip()
    return services.current().keyring.authenticate(secret)


def open_session(identity: keys.Identity | None) -> Session:
    """Return a session that the caller of this function must close."""
    parts = services.current()
    team = identity.team if identity else ""
    quart.g.team = team
    started_at = quart.g.started_at
    timer = parts.metrics.start(team, latency.Work.ONLINE, started_at)
    session = Session(identity, timer)
    session.stack.enter_context(parts.running)
    if identity is not None:
        session.stack.enter_context(parts.keyring.follow(identity, session.withdrawn))
    return session


@contextlib.contextmanager
def session(
    identity: keys.Identity | None,
) -> collections.abc.Iterator[Session]:
    """Follow the key for the time of the context."""
    opened = open_session(identity)
    try:
        yield opened
    finally:
        opened.close()


@contextlib.contextmanager
def team_session() -> collections.abc.Iterator[keys.Identity]:
    """Authenticate, and cancel the body when the key stops working."""
    identity = authenticate()
    parts = services.current()
    with parts.running, parts.keyring.watch(identity):
        yield identity
