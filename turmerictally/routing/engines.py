"""Speak the engines' control protocol: load, cache events, cancel and KV cache."""

import attrs
import httpx
import trio

from turmerictally import clock as clocks
from turmerictally import httpclient
from turmerictally.routing import load

CONTROL_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # a KV cache of a long request; reports are small
# Longest age a load report may claim, in seconds.
MAX_CLAIMED_AGE_S = 60.0
_MALFORMED = (KeyError, TypeError, ValueError, OverflowError)


class ControlError(Exception):
    """Signal a failed control call.

    ``refused`` is true when no connection could be made, ``server_responded`` when the
    server answered with a status below 500, for example for an unsupported call.
    """

    def __init__(
        self, reason: str, *, refused: bool = False, server_responded: bool = False
    ) -> None:
        self.refused = refused
        self.server_responded = server_responded
        super().__init__(reason)


@attrs.frozen
class LoadResponse:
    """Hold one load report with the instance that gave it."""

    report: load.LoadReport
    instance: str
    leaving: bool


@attrs.frozen
class CacheEvents:
    """Hold cache events and the last sequence number they cover."""

    events: list[dict]
    last: int


@attrs.frozen
class ExportedRequest:
    """Hold a stopped request's KV cache, opaque, and the tokens it produced."""

    kv: str
    tokens: list[str]


class EngineClient:
    """Call engines through a pool that requests never wait for."""

    def __init__(
        self, clock: clocks.Clock, transport: httpx.AsyncBaseTransport | None = None
    ) -> None:
        self.clock = clock
        self.client = httpclient.client(transport=transport, timeout=CONTROL_TIMEOUT_S)

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def load(self, address: str) -> LoadResponse:
        """Return a server's load report."""
        answer = await self._call(address, "GET", "/engine/load")
        try:
            return self._load(answer)
        except _MALFORMED as error:
            raise ControlError("malformed load report") from error

    async def events(self, address: str, after: int) -> CacheEvents:
        """Return the cache events after a sequence number."""
        answer = await self._call(address, "GET", f"/engine/events?after={after}")
        try:
            return CacheEvents(list(answer["events"]), int(answer["next"]))
        except _MALFORMED as error:
            raise ControlError("malformed events") from error

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request; cancelling an ended one succeeds."""
        await self._call(address, "POST", "/engine/cancel", request_id=request_id)

    async def export_kv(self, address: str, request_id: str) -> ExportedRequest:
        """Stop a request and return its KV cache and tokens."""
        path = "/engine/kv/export"
        answer = await self._call(address, "POST", path, request_id=request_id)
        tokens = answer.get("tokens")
        if not isinstance(tokens, list):
            raise ControlError("malformed export")
        return ExportedRequest(
            str(answer.get("kv", "")), [str(token) for token in tokens]
        )

    async def import_kv(self, address: str, request_id: str, kv: str) -> None:
        """Hand an exported KV cache to another server."""
        path = "/engine/kv/import"
        await self._call(address, "POST", path, request_id=request_id, kv=kv)

    async def _call(self, address: str, method: str, path: str, **body) -> dict:
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                url = f"http://{address}{path}"
                async with self.client.stream(method, url, json=body or None) as answer:
                    answer.stream = httpclient.Bounded(
                        answer.stream, MAX_RESPONSE_BYTES
                    )
                    await answer.aread()
            answer.raise_for_status()
            found = answer.json()
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise ControlError("connection refused", refused=True) from error
        except httpx.HTTPStatusError as error:
            lives = error.response.status_code < httpx.codes.INTERNAL_SERVER_ERROR
            raise ControlError("status", server_responded=lives) from error
        except (httpx.HTTPError, trio.TooSlowError, ValueError) as error:
            raise ControlError(type(error).__name__) from error
        if not isinstance(found, dict):
            raise ControlError("malformed answer")
        return found

    def _load(self, answer: dict) -> LoadResponse:
        age = min(MAX_CLAIMED_AGE_S, max(0.0, float(answer.get("at_age_s", 0.0))))
        report = load.LoadReport(
            running=int(answer["running"]),
            waiting=int(answer["waiting"]),
            capacity=max(1, int(answer["capacity"])),
            sampled_at=self.clock.monotonic() - age,
            batch_running=int(answer.get("batch_running", 0)),
        )
        instance = str(answer.get("instance", ""))
        return LoadResponse(report, instance, bool(answer.get("leaving", False)))
