"""Give the callers' routes access to the parts of the host."""

import collections.abc
import typing

import attrs
import quart

from turmerictally import clock as clocks
from turmerictally import settings as settings_module
from turmerictally.metrics import host as metrics_host


@attrs.define
class Running:
    """Count the callers' requests that this host runs now."""

    count: int = 0

    def __enter__(self) -> "Running":
        self.count += 1
        return self

    def __exit__(self, *_: object) -> None:
        self.count -= 1


@attrs.define
class Services:
    """Hold what the callers' routes need of the host."""

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
    running: Running = attrs.Factory(Running)


def current() -> Services:
    """Return the parts of the host that serves the current request."""
    return quart.current_app.extensions["services"]
