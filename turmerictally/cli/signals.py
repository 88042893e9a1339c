"""Turn signals into planned stops and reloads."""

import collections.abc
import logging
import signal

import trio

logger = logging.getLogger(__name__)


async def stop_on_signal(
    stop: collections.abc.Callable[[], None],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Call ``stop`` on each SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        task_status.started()
        async for number in received:
            logger.info("Received %s.", signal.Signals(number).name)
            stop()


async def reload_on_signal(
    reload: collections.abc.Callable[[], None],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Call ``reload`` on each SIGHUP, which would end the process otherwise."""
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        task_status.started()
        async for _ in received:
            reload()
