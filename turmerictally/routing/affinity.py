"""Remember which servers probably hold a prompt prefix in their cache."""

import collections
import hashlib
import json
import math

import attrs

BLOCK_TOKENS = 16
HASH_DIGITS = 16
MAX_PREFIXES = 20_000
MAX_HOLDERS = 4
# Longer bodies are not parsed, so that they do not hold up other requests.
MAX_BODY_BYTES = 256 * 1024
# Age in seconds up to which a belief outlives a gap in the events.
GAP_TRUST_S = 30.0


def prefix_hash(model: str, body: bytes, tokens: int) -> str:
    """Return the engines' name of a prompt's first blocks, or "" if it is short.

    Engines name each block of ``BLOCK_TOKENS`` by a hash over the model and all
    blocks up to it; the last block within ``tokens`` is taken.
    """
    if len(body) > MAX_BODY_BYTES:
        return ""
    try:
        text = prompt_text(json.loads(body))
    except (ValueError, TypeError, AttributeError, KeyError):
        return ""
    words = text.split(maxsplit=tokens)[:tokens]
    whole = len(words) - len(words) % BLOCK_TOKENS
    if not whole:
        return ""
    running = hashlib.sha256(model.encode())
    running.update("\0".join(("", *words[:whole])).encode())
    return running.hexdigest()[:HASH_DIGITS]


def prompt_text(request: dict) -> str:
    """Return the prompt of a chat or completion request as one text."""
    prompt = request.get("prompt")
    if isinstance(prompt, str):
        return prompt
    if isinstance(prompt, list):
        return "\n".join(str(part) for part in prompt)
    messages = request.get("messages", [])
    return "\n".join(f"{m['role']}: {m.get('content') or ''}" for m in messages)


@attrs.define
class EventFeed:
    """Follow one server's cache events.

    ``last`` is the last sequence number seen. Beliefs count only when they
    were confirmed after ``valid_from``, in monotonic seconds.
    """

    last: int = 0
    valid_from: float = -math.inf


class PrefixIndex:
    """Keep a bounded map from prefixes to servers, least recently used first out."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self.max_prefixes = max_prefixes
        self.holders: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.feeds: dict[str, EventFeed] = {}

    def add(self, prefix: str, address: str, now: float) -> None:
        """Note that a server stored a prefix."""
        holders = self.holders.setdefault(prefix, {})
        self.holders.move_to_end(prefix)
        holders.pop(address, None)
        holders[address] = now
        if len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]
        if len(self.holders) > self.max_prefixes:
            self.holders.popitem(last=False)

    def remove(self, prefix: str, address: str) -> None:
        """Note that a server dropped a prefix."""
        holders = self.holders.get(prefix)
        if holders is None:
            return
        holders.pop(address, None)
        if not holders:
            del self.holders[prefix]

    def lookup(self, prefix: str) -> list[str]:
        """Return servers believed to hold a prefix, the latest first."""
        holders = self.holders.get(prefix)
        if not holders:
            return []
        valid = [a for a, at in holders.items() if at > self.feed(a).valid_from]
        return valid[::-1]

    def apply_events(
        self, address: str, events: list[dict], last: int, now: float
    ) -> None:
        """Apply a server's events in order; a gap drops older beliefs."""
        feed = self.feed(address)
        for event in sorted(events, key=lambda each: each["seq"]):
            self._apply_one(address, feed, event, now)
        self._advance(feed, last, now)

    def forget_server(self, address: str, now: float) -> None:
        """Drop everything about a server that was replaced."""
        self.feeds[address] = EventFeed(valid_from=now)

    def feed(self, address: str) -> EventFeed:
        """Return the event feed of a server."""
        found = self.feeds.get(address)
        if found is None:
            found = self.feeds[address] = EventFeed()
        return found

    def _apply_one(
        self, address: str, feed: EventFeed, event: dict, now: float
    ) -> None:
        seq = event["seq"]
        if seq <= feed.last:
            return
        self._advance(feed, seq - 1, now)
        feed.last = seq
        if event["kind"] == "stored":
            self.add(event["prefix"], address, now)
        else:
            self.remove(event["prefix"], address)

    def _advance(self, feed: EventFeed, last: int, now: float) -> None:
        # The lost events may have been evictions, so older beliefs are dropped.
        if feed.last and last > feed.last:
            feed.valid_from = max(feed.valid_from, now - GAP_TRUST_S)
        feed.last = max(feed.last, last)
