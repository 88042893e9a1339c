"""Send batch items that can be preempted, and resume them from saved state."""

import collections
import collections.abc
import contextlib
import json

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.online import forward, headers, messages
from turmerictally.routing import engines, load, servers

# Shortest run whose state is worth exporting; an item that ran for less restarts.
MIN_RUN_FOR_EXPORT_S = 0.5
EXPORT_TIMEOUT_S = 0.5
# Largest KV cache saved for one item; above it only the tokens are saved.
MAX_KV_BYTES = 1024 * 1024
# Longest prefix that servers accept in a header.
MAX_PREFIX_BYTES = 8192
MAX_SAVED_BYTES = 16 * 1024 * 1024


@attrs.frozen
class SavedState:
    """Hold the tokens and KV cache of a preempted item."""

    tokens: list[str]
    kv: str

    @property
    def size(self) -> int:
        """Return the approximate size in bytes."""
        return len(self.kv) + sum(len(token) for token in self.tokens)


@attrs.define
class ItemSender:
    """Send model items to chosen servers."""

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
        """Return the complete response; raise ``forward.AttemptError``.

        ``key`` identifies the item across attempts. On cancellation, the engine's
        output so far is saved for the next attempt.
        """
        started_at = self.clock.monotonic()
        attempt = await self._prepare_attempt(request, server, key)
        try:
            opened = await self.forwarder.open(attempt)
            self._record_load(opened)
            return await self.forwarder.finish(opened)
        except forward.AttemptError as error:
            if error.sent:
                self.cancel(server, attempt.id)
            raise
        except trio.Cancelled:
            await self._stop(attempt, key, started_at)
            raise

    async def _prepare_attempt(
        self, request: messages.Request, server: servers.Server, key: str
    ) -> forward.Attempt:
        attempt = forward.Attempt(request, server, request.request_id)
        state = self._pop(key)
        if state is None or not state.tokens:
            return attempt
        if state.kv and await self._import(attempt, state.kv):
            attempt.resume_offset = 0
        elif len(json.dumps(state.tokens)) <= MAX_PREFIX_BYTES:
            attempt.prefix = state.tokens
        return attempt

    async def _import(self, attempt: forward.Attempt, kv: str) -> bool:
        address = attempt.server.address
        try:
            await self.engines.import_kv(address, attempt.id, kv)
        except engines.ControlError:
            return False
        return True

    async def _stop(
        self, attempt: forward.Attempt, key: str, started_at: float
    ) -> None:
        """Stop the engine's work; export its state if the item ran long enough."""
        ran_s = self.clock.monotonic() - started_at
        exported = None
        if ran_s >= MIN_RUN_FOR_EXPORT_S and attempt.request.idempotent:
            exported = await self._export(attempt)
        if exported is None:
            self.cancel(attempt.server, attempt.id)
        elif exported.tokens:
            self._save(key, exported)

    async def _export(self, attempt: forward.Attempt) -> SavedState | None:
        address = attempt.server.address
        with trio.CancelScope(shield=True, deadline=_export_deadline()):
            with contextlib.suppress(engines.ControlError):
                state = await self.engines.export_kv(address, attempt.id)
                kv = state.kv if len(state.kv) <= MAX_KV_BYTES else ""
                return SavedState(state.tokens, kv)
        return None

    def _save(self, key: str, state: SavedState) -> None:
        self._pop(key)
        self.saved_states[key] = state
        self.saved_bytes += state.size
        while self.saved_bytes > MAX_SAVED_BYTES:
            self._pop(next(iter(self.saved_states)))

    def _pop(self, key: str) -> SavedState | None:
        state = self.saved_states.pop(key, None)
        if state is not None:
            self.saved_bytes -= state.size
        return state

    def _record_load(self, opened: forward.OpenResponse) -> None:
        text = opened.response.headers.get(headers.LOAD)
        if text:
            now = self.clock.monotonic()
            self.loads.record_piggybacked(opened.attempt.server.address, text, now)


def _export_deadline() -> float:
    return trio.current_time() + EXPORT_TIMEOUT_S
