"""Serve an ASGI application on one listener address."""

import logging
import typing

import attrs
import hypercorn.trio
import trio

from turmerictally import settings, tls

logger = logging.getLogger(__name__)


@attrs.frozen
class Limits:
    """Bound one listener; times are in seconds, sizes in bytes."""

    idle_timeout_s: float = 75.0
    drain_s: float = 60.0
    max_header_bytes: int = 64 * 1024
    certificate_reload_s: float = 30.0


@attrs.frozen
class Whole:
    """Pass requests on to an application and send the end of answers shielded.

    The HTTP server restarts a connection's idle timer while it sends the end of an
    answer. The framework cancels the request at that moment, which would leave idle
    connections open for ever and hold up a planned stop.
    """

    app: typing.Any

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI connection."""

        async def send_whole(message) -> None:
            is_last = message["type"] == "http.response.body"
            is_last = is_last and not message.get("more_body", False)
            with trio.CancelScope(shield=is_last):
                await send(message)

        await self.app(scope, receive, send_whole)


@attrs.define
class Listener:
    """Serve one application until it is stopped; running requests end whole."""

    app: typing.Any
    address: str
    tls: settings.TlsFiles
    limits: Limits = attrs.Factory(Limits)
    stopping: trio.Event = attrs.Factory(trio.Event)
    stopped: trio.Event = attrs.Factory(trio.Event)
    url: str = ""

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until ``stop`` is called; report the bound URL when ready."""
        try:
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(self._serve)
                self.url = urls[0]
                task_status.started(self.url)
        finally:
            self.stopped.set()

    async def _serve(
        self, task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED
    ) -> None:
        config = self._config()
        async with trio.open_nursery() as nursery:
            if config.certificate is not None:
                nursery.start_soon(config.certificate.run)
            await hypercorn.trio.serve(
                Whole(self.app),
                config,
                shutdown_trigger=self.stopping.wait,
                task_status=task_status,
                mode="asgi",
            )
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Accept no new connections and let running requests end."""
        self.stopping.set()

    def _config(self) -> tls.Config:
        config = tls.Config()
        config.bind = [self.address]
        config.accesslog = None
        config.errorlog = logging.getLogger("turmerictally.listener")
        config.include_server_header = False
        config.keep_alive_timeout = self.limits.idle_timeout_s
        config.graceful_timeout = self.limits.drain_s
        config.shutdown_timeout = self.limits.drain_s
        config.h11_max_incomplete_size = self.limits.max_header_bytes
        config.backlog = 1024
        reload_s = self.limits.certificate_reload_s
        config.certificate = tls.certificate(self.tls, reload_s)
        return config
