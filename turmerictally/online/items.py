"""Send batch items that may have to yield, and go on from where they stopped."""

import collections
import collections.abc
import contextlib
import json

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.online import forward, headers, messages
from turmerictally.routing import engines, load, servers

# Time in seconds an item must have run for its state to be worth an export.
WORTH_S = 0.5
EXPORT_TIMEOUT_S = 0.5
# Largest KV cache kept for one item; above it the tokens alone are kept.
MAX_KV_BYTES = 1024 * 1024
# Longest prefix that servers take in a header.
MAX_PREFIX_BYTES = 8192
MAX_KEPT_BYTES = 16 * 1024 * 1024


@attrs.frozen
class SavedState:
    """Hold what a yielded item had produced."""

    tokens: list[str]
    kv: str

    @property
    def size(self) -> int:
        """Return the bytes held, roughly."""
        return len(self.kv) + sum(len(token) for token in self.tokens)


@attrs.define
class ItemSender:
    """Send items of models to chosen servers."""

    forwarder: forward.Forwarder
    engines: engines.EngineClient
    loads: load.LoadTracker
    clock: clocks.Clock
    cancel: collections.abc.Callable[[servers.Server, str], None]
    saved_states: collections.OrderedDict[str, SavedState] = attrs.Factory(
        collections.OrderedDict
    )
    saved_bytes: int = 0

    async def send(
        self, request: messages.Request, server: servers.Server, key: str
    ) -> messages.Response:
        """Return the whole answer; raise ``forward.AttemptError``.

        ``key`` names the item over its attempts. When cancelled, what the engine has
        produced is kept for the next attempt.
        """
        started = self.clock.monotonic()
        attempt = await self._attempt(request, server, key)
        try:
            opened = await self.forwarder.open(attempt)
            self._take_load(opened)
            return await self.forwarder.finish(opened)
        except forward.AttemptError as error:
            if error.sent:
                self.cancel(server, attempt.id)
            raise
        except trio.Cancelled:
            await self._stop(attempt, key, started)
            raise

    async def _attempt(
        self, request: messages.Request, server: servers.Server, key: str
    ) -> forward.Attempt:
        attempt = forward.Attempt(request, server, request.request_id)
        found = self._pop(key)
        if found is None or not found.tokens:
            return attempt
        if found.kv and await self._import(attempt, found.kv):
            attempt.resume_offset = 0
        elif len(json.dumps(found.tokens)) <= MAX_PREFIX_BYTES:
            attempt.prefix = found.tokens
        return attempt

    async def _import(self, attempt: forward.Attempt, kv: str) -> bool:
        address = attempt.server.address
        try:
            await self.engines.import_kv(address, attempt.id, kv)
        except engines.ControlError:
            return False
        return True

    async def _stop(self, attempt: forward.Attempt, key: str, started: float) -> None:
        """Stop the engine's work, by an export when that is worth it."""
        ran_s = self.clock.monotonic() - started
        exported = None
        if ran_s >= WORTH_S and attempt.request.idempotent:
            exported = await self._export(attempt)
        if exported is None:
            self.cancel(attempt.server, attempt.id)
        elif exported.tokens:
            self._keep(key, exported)

    async def _export(self, attempt: forward.Attempt) -> SavedState | None:
        address = attempt.server.address
        with trio.CancelScope(shield=True, deadline=_deadline()):
            with contextlib.suppress(engines.ControlError):
                found = await self.engines.export_kv(address, attempt.id)
                kv = found.kv if len(found.kv) <= MAX_KV_BYTES else ""
                return SavedState(found.tokens, kv)
        return None

    def _keep(self, key: str, item: SavedState) -> None:
        self._pop(key)
        self.saved_states[key] = item
        self.saved_bytes += item.size
        while self.saved_bytes > MAX_KEPT_BYTES:
            self._pop(next(iter(self.saved_states)))

    def _pop(self, key: str) -> SavedState | None:
        found = self.saved_states.pop(key, None)
        if found is not None:
            self.saved_bytes -= found.size
        return found

    def _take_load(self, opened: forward.OpenResponse) -> None:
        text = opened.response.headers.get(headers.LOAD)
        if text:
            now = self.clock.monotonic()
            self.loads.record_piggybacked(opened.attempt.server.address, text, now)


def _deadline() -> float:
    return trio.current_time() + EXPORT_TIMEOUT_S
