"""Give the HTTP handlers access to the host's components."""

import collections.abc
import typing

import attrs
import quart

from turmerictally import clock as clocks
from turmerictally import settings as settings_module
from turmerictally.metrics import host as metrics_host


@attrs.define
class RunningRequests:
    """Count the callers' requests that are in progress on this host."""

    count: int = 0

    def __enter__(self) -> "RunningRequests":
        self.count += 1
        return self

    def __exit__(self, *_: object) -> None:
        self.count -= 1


@attrs.define
class Services:
    """Hold the host's components that the HTTP handlers use."""

    settings: settings_module.Settings
    clock: clocks.Clock
    replica: typing.Any
    keyring: typing.Any
    limiter: typing.Any
    pipeline: typing.Any
    batch: typing.Any
    executor: typing.Any
    peers: typing.Any
    readiness: collections.abc.Callable[[], str | None]
    metrics: metrics_host.Metrics
    running: RunningRequests = attrs.Factory(RunningRequests)


def current() -> Services:
    """Return the components of the host that serves the current request."""
    return quart.current_app.extensions["services"]
