"""Track which servers probably have a prompt prefix in their KV cache."""

import collections
import hashlib
import json
import math

import attrs

BLOCK_TOKENS = 16
HASH_DIGITS = 16
MAX_PREFIXES = 20_000
MAX_SERVERS_PER_PREFIX = 4
# Longer bodies are not parsed, since parsing blocks the event loop.
MAX_BODY_BYTES = 256 * 1024
# Entries confirmed this recently are kept after a gap in the cache events.
GAP_TRUST_S = 30.0


def prefix_hash(model: str, body: bytes, tokens: int) -> str:
    """Return the engines' hash of a prompt's prefix, or "" if it has no full block.

    Engines identify each block of ``BLOCK_TOKENS`` tokens by a hash over the model
    name and all tokens up to the end of the block. The last full block within the
    first ``tokens`` tokens determines the prefix.
    """
    if len(body) > MAX_BODY_BYTES:
        return ""
    try:
        text = prompt_of(json.loads(body))
    except (ValueError, TypeError, AttributeError, KeyError):
        return ""
    words = text.split(maxsplit=tokens)[:tokens]
    complete_words = len(words) - len(words) % BLOCK_TOKENS
    if not complete_words:
        return ""
    digest = hashlib.sha256(model.encode())
    digest.update("\0".join(("", *words[:complete_words])).encode())
    return digest.hexdigest()[:HASH_DIGITS]


def prompt_of(request: dict) -> str:
    """Return the prompt of a chat or completion request as one string."""
    prompt = request.get("prompt")
    if isinstance(prompt, str):
        return prompt
    if isinstance(prompt, list):
        return "\n".join(str(part) for part in prompt)
    messages = request.get("messages", [])
    return "\n".join(f"{m['role']}: {m.get('content') or ''}" for m in messages)


@attrs.define
class EventFeed:
    """Hold the position in one server's stream of cache events.

    ``last_seq`` is the last sequence number applied. Entries confirmed at or before
    ``valid_after``, in monotonic seconds, are ignored.
    """

    last_seq: int = 0
    valid_after: float = -math.inf


class PrefixIndex:
    """Map prompt prefixes to servers, bounded by LRU eviction."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self.max_prefixes = max_prefixes
        self.servers_by_prefix: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.feeds: dict[str, EventFeed] = {}

    def add(self, prefix: str, address: str, now: float) -> None:
        """Record that a server has a prefix in its cache."""
        servers = self.servers_by_prefix.setdefault(prefix, {})
        self.servers_by_prefix.move_to_end(prefix)
        servers.pop(address, None)
        servers[address] = now
        if len(servers) > MAX_SERVERS_PER_PREFIX:
            del servers[next(iter(servers))]
        if len(self.servers_by_prefix) > self.max_prefixes:
            self.servers_by_prefix.popitem(last=False)

    def remove(self, prefix: str, address: str) -> None:
        """Record that a server evicted a prefix."""
        servers = self.servers_by_prefix.get(prefix)
        if servers is None:
            return
        servers.pop(address, None)
        if not servers:
            del self.servers_by_prefix[prefix]

    def lookup(self, prefix: str) -> list[str]:
        """Return the servers that probably have a prefix, latest confirmed first."""
        servers = self.servers_by_prefix.get(prefix)
        if not servers:
            return []
        valid = [a for a, at in servers.items() if at > self.feed(a).valid_after]
        return valid[::-1]

    def apply_events(
        self, address: str, events: list[dict], last_seq: int, now: float
    ) -> None:
        """Apply a server's events in sequence order; a gap invalidates old entries."""
        feed = self.feed(address)
        for event in sorted(events, key=lambda event: event["seq"]):
            self._apply_one(address, feed, event, now)
        self._advance(feed, last_seq, now)

    def forget_server(self, address: str, now: float) -> None:
        """Invalidate all entries of a server whose instance was replaced."""
        self.feeds[address] = EventFeed(valid_after=now)

    def feed(self, address: str) -> EventFeed:
        """Return a server's event feed, created on first use."""
        feed = self.feeds.get(address)
        if feed is None:
            feed = self.feeds[address] = EventFeed()
        return feed

    def _apply_one(
        self, address: str, feed: EventFeed, event: dict, now: float
    ) -> None:
        seq = event["seq"]
        if seq <= feed.last_seq:
            return
        self._advance(feed, seq - 1, now)
        feed.last_seq = seq
        if event["kind"] == "stored":
            self.add(event["prefix"], address, now)
        else:
            self.remove(event["prefix"], address)

    def _advance(self, feed: EventFeed, last_seq: int, now: float) -> None:
        # The missed events may include evictions, so older entries are invalidated.
        if feed.last_seq and last_seq > feed.last_seq:
            feed.valid_after = max(feed.valid_after, now - GAP_TRUST_S)
        feed.last_seq = max(feed.last_seq, last_seq)
