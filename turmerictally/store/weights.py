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
    """Report that the weight store's rate is used up.

    ``retry_after_s`` is in seconds from now.
    """

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s
        super().__init__(f"weight store throttled, retry after {retry_after_s} s")


class WeightStore(typing.Protocol):
    """Reserve downloads of model weights and adapters."""

    async def list(self) -> list[WeightsInfo]:
        """Return every stored version."""

    async def reserve(self, name: str, version: str) -> WeightsInfo:
        """Reserve one download.

        Raises ``ThrottledError`` when the rate is used up, ``KeyError`` when the
        version does not exist, and ``table.UnavailableError`` on an outage.
        """
