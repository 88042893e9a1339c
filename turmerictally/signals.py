"""Turn signals into planned stops."""

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
