"""Serve an ASGI application of a stand-in on loopback."""

import logging

import hypercorn.config
import hypercorn.trio
import quart
import trio

GRACEFUL_TIMEOUT_S = 1.0
KEEP_ALIVE_TIMEOUT_S = 75.0


async def serve(
    app: quart.Quart,
    address: str = "127.0.0.1:0",
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the base URL once listening."""
    config = hypercorn.config.Config()
    config.bind = [address]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = 1_000_000
    config.errorlog = logging.getLogger("hypercorn.error.standins")
    config.errorlog.setLevel("WARNING")
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(hypercorn.trio.serve, app, config)
        task_status.started(binds[0])
