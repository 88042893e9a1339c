"""Read time, so that tests can run the same code in virtual time."""

import time

import trio


class Clock:
    """Give the local monotonic time and the wall time, both in seconds."""

    def monotonic(self) -> float:
        """Return seconds on this process's monotonic clock."""
        return trio.current_time()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def suspended(self) -> float:
        """Return the seconds that the machine slept, which ``monotonic`` leaves out."""
        boot = time.clock_gettime(time.CLOCK_BOOTTIME)
        return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


class VirtualClock(Clock):
    """Derive wall time from the running trio clock.

    ``epoch`` is the wall time, in Unix seconds, at trio time zero. ``rate`` and
    ``offset`` (seconds) skew the monotonic reading of one simulated host.
    """

    def __init__(
        self, epoch: float = 1_700_000_000.0, offset: float = 0.0, rate: float = 1.0
    ) -> None:
        self.epoch = epoch
        self.offset = offset
        self.rate = rate

    def monotonic(self) -> float:
        """Return the skewed virtual time in seconds."""
        return trio.current_time() * self.rate + self.offset

    def wall(self) -> float:
        """Return virtual Unix seconds."""
        return self.epoch + trio.current_time()
