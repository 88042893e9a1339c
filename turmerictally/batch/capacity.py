"""Define what the worker needs from the online path: slots and a way to send."""

import collections.abc
import contextlib
import typing

import attrs

from turmerictally.batch import files


class Slot(typing.Protocol):
    """Admit one item at one backend server, until it is yielded.

    ``server`` is the server's address. A slot that must yield cancels the body of
    its ``async with`` block and leaves the block without an exception.
    """

    server: str


class Gate(typing.Protocol):
    """Admit batch items into capacity that online requests leave idle."""

    def free(self, model: str) -> int:
        """Return how many items of a model may start now."""

    def slot(self, model: str) -> contextlib.AbstractAsyncContextManager[Slot]:
        """Wait for a slot and hold it.

        Raises ``errors.Error``, ``UNKNOWN_MODEL`` among others.
        """


@attrs.frozen
class ItemResult:
    """Hold a backend server's whole answer; ``body`` is JSON-compatible."""

    status: int
    body: typing.Any


# Sends one item in a slot. Raises ``errors.Error``; ``ran`` must be true.
Send = collections.abc.Callable[
    [files.Item, Slot], collections.abc.Awaitable[ItemResult]
]
