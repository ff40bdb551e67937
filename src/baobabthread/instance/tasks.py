"""Background tasks that run until they are cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

from baobabthread.logs import log_event

RESTART_DELAY_S = 0.1
"""Delay before failed work is restarted: long enough that an error in each step can't
occupy the processor, and short compared with the time after which peers declare a
member dead."""

Work = Callable[[], Coroutine[Any, Any, None]]
"""Create the coroutine of a task that runs until it is cancelled."""


def start_task(stack: AsyncExitStack, work: Coroutine[Any, Any, None]) -> None:
    """Start a task that the stack cancels; log an exception that ends it."""
    task = asyncio.ensure_future(work)
    task.add_done_callback(_log_failure)
    stack.callback(task.cancel)


async def keep_running(work: Work) -> None:
    """Run work until it is cancelled, restarting it after an exception.

    An exception in one step would otherwise end the probes or the reads of the store in
    a process that continues to serve: it would keep listing failed instances and keep
    dividing the retry budget by an outdated number of members.
    """
    while True:
        try:
            await work()
        except Exception as error:
            log_event(
                "task_failed",
                level="error",
                work=work.__qualname__,
                reason=repr(error),
            )
        await asyncio.sleep(RESTART_DELAY_S)


def _log_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log_event("task_failed", level="error", reason=repr(error))
