"""Call the engines' control API: load, cache events, cancellation, KV cache."""

import attrs
import httpx
import trio

from turmerictally import clock as clocks
from turmerictally import httpclient
from turmerictally.routing import load

CONTROL_TIMEOUT_S = 1.0
# Sized for the KV cache of a long request; reports are small.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# A reported sample age above this is clamped.
MAX_CLAIMED_AGE_S = 60.0
_MALFORMED = (KeyError, TypeError, ValueError, OverflowError)


class ControlError(Exception):
    """Report a failed control call.

    ``refused`` is true when no connection could be made, ``server_responded`` when
    the server answered with an error status below 500, as for an unsupported call.
    """

    def __init__(
        self, reason: str, *, refused: bool = False, server_responded: bool = False
    ) -> None:
        self.refused = refused
        self.server_responded = server_responded
        super().__init__(reason)


@attrs.frozen
class LoadResponse:
    """Hold a load report and the server instance that sent it."""

    report: load.LoadReport
    instance: str
    leaving: bool


@attrs.frozen
class CacheEvents:
    """Hold cache events and the last sequence number that they cover."""

    events: list[dict]
    last_seq: int


@attrs.frozen
class ExportedRequest:
    """Hold a stopped request's opaque KV cache and the tokens generated so far."""

    kv: str
    tokens: list[str]


class EngineClient:
    """Call the engines' control API over a connection pool of its own."""

    def __init__(
        self, clock: clocks.Clock, transport: httpx.AsyncBaseTransport | None = None
    ) -> None:
        self.clock = clock
        self.client = httpclient.client(transport=transport, timeout=CONTROL_TIMEOUT_S)

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def load(self, address: str) -> LoadResponse:
        """Fetch a server's load report."""
        response = await self._call(address, "GET", "/engine/load")
        try:
            return self._load(response)
        except _MALFORMED as error:
            raise ControlError(
                "malformed load report in the response to GET /engine/load"
            ) from error

    async def events(self, address: str, after: int) -> CacheEvents:
        """Fetch the cache events after a sequence number."""
        response = await self._call(address, "GET", f"/engine/events?after={after}")
        try:
            return CacheEvents(list(response["events"]), int(response["next"]))
        except _MALFORMED as error:
            raise ControlError(
                "malformed cache events in the response to GET /engine/events"
            ) from error

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request; succeeds for a request that has already ended."""
        await self._call(address, "POST", "/engine/cancel", request_id=request_id)

    async def export_kv(self, address: str, request_id: str) -> ExportedRequest:
        """Stop a request and export its KV cache and generated tokens."""
        path = "/engine/kv/export"
        response = await self._call(address, "POST", path, request_id=request_id)
        tokens = response.get("tokens")
        if not isinstance(tokens, list):
            raise ControlError(
                f"KV cache export: expected a token list, got {type(tokens).__name__}"
            )
        return ExportedRequest(
            str(response.get("kv", "")), [str(token) for token in tokens]
        )

    async def import_kv(self, address: str, request_id: str, kv: str) -> None:
        """Import a KV cache exported from another server."""
        path = "/engine/kv/import"
        await self._call(address, "POST", path, request_id=request_id, kv=kv)

    async def _call(self, address: str, method: str, path: str, **body) -> dict:
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                url = f"http://{address}{path}"
                async with self.client.stream(
                    method, url, json=body or None
                ) as response:
                    response.stream = httpclient.Bounded(
                        response.stream, MAX_RESPONSE_BYTES
                    )
                    await response.aread()
            response.raise_for_status()
            payload = response.json()
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise ControlError(f"no connection to {address}", refused=True) from error
        except httpx.HTTPStatusError as error:
            responded = error.response.status_code < httpx.codes.INTERNAL_SERVER_ERROR
            raise ControlError(
                f"{method} {path}: HTTP status {error.response.status_code}",
                server_responded=responded,
            ) from error
        except (httpx.HTTPError, trio.TooSlowError, ValueError) as error:
            raise ControlError(f"{method} {path}: {type(error).__name__}") from error
        if not isinstance(payload, dict):
            raise ControlError(
                f"{method} {path}: expected a JSON object, got {type(payload).__name__}"
            )
        return payload

    def _load(self, response: dict) -> LoadResponse:
        age = min(MAX_CLAIMED_AGE_S, max(0.0, float(response.get("at_age_s", 0.0))))
        report = load.LoadReport(
            running=int(response["running"]),
            waiting=int(response["waiting"]),
            capacity=max(1, int(response["capacity"])),
            sampled_at=self.clock.monotonic() - age,
            batch_running=int(response.get("batch_running", 0)),
        )
        instance = str(response.get("instance", ""))
        return LoadResponse(report, instance, bool(response.get("leaving", False)))
