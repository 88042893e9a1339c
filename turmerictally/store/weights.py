"""Define the interface of the platform's rate-limited weight store."""

import typing

import attrs


@attrs.frozen
class WeightsInfo:
    """Describe stored weights; ``size`` is in bytes."""

    name: str
    version: str
    size: int


class ThrottledError(Exception):
    """The weight store refused a download above its rate.

    ``retry_after_s`` counts from the response.
    """

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s
        super().__init__(f"weight store throttled, retry after {retry_after_s} s")


class WeightStore(typing.Protocol):
    """List model weights and adapters, and reserve their downloads."""

    async def list(self) -> list[WeightsInfo]:
        """Return every stored version of all weights."""

    async def reserve(self, name: str, version: str) -> WeightsInfo:
        """Reserve one download of a version.

        Raises ``ThrottledError`` above the store's rate, ``KeyError`` if the version
        does not exist, and ``table.UnavailableError`` during an outage.
        """
