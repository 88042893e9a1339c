"""Keep an engine stand-in's prefix cache and publish its events."""

import collections
import random

import attrs
import trio

from turmerictally.standins import tokens


@attrs.frozen
class Event:
    """Report one block stored or evicted; ``at`` is on the trio clock."""

    seq: int
    kind: str
    prefix: str
    at: float


class PrefixCache:
    """Hold blocks of prompt prefixes, evicting the least recently used.

    Events become visible ``lag_s`` seconds late, and each is lost with
    probability ``gap``; a lost event still uses up its sequence number.
    """

    def __init__(self, lag_s: float, gap: float, seed: int) -> None:
        self.lag_s = lag_s
        self.gap = gap
        self.rng = random.Random(seed)
        self.blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.events: collections.deque[Event] = collections.deque(maxlen=10_000)
        self.last_seq = 0

    @property
    def size(self) -> int:
        """Return the cached tokens."""
        return len(self.blocks) * tokens.BLOCK_TOKENS

    def match(self, hashes: list[str]) -> int:
        """Return how many tokens of a prompt are cached, and touch their blocks."""
        found = 0
        for block in hashes:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            found += tokens.BLOCK_TOKENS
        return found

    def store(self, hashes: list[str]) -> None:
        """Add a prompt's blocks."""
        for block in hashes:
            if block not in self.blocks:
                self._publish("stored", block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)

    def shrink(self, limit: int) -> None:
        """Evict blocks until at most ``limit`` tokens are cached."""
        while self.blocks and self.size > limit:
            block, _ = self.blocks.popitem(last=False)
            self._publish("evicted", block)

    def clear(self) -> None:
        """Forget everything without events, as a crash does."""
        self.blocks.clear()
        self.events.clear()
        self.last_seq = 0

    def after(self, seq: int) -> list[Event]:
        """Return the visible events that follow a sequence number."""
        horizon = trio.current_time() - self.lag_s
        return [e for e in self.events if e.seq > seq and e.at <= horizon]

    def _publish(self, kind: str, block: str) -> None:
        self.last_seq += 1
        if self.rng.random() < self.gap:
            return
        event = Event(self.last_seq, kind, block, trio.current_time())
        self.events.append(event)
