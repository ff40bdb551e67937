"""Work that runs beside the requests until it is cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

from baobabthread.logs import log_event

RESTART_DELAY_S = 0.1
"""Pause before work that failed goes on: long enough that a fault in each step can't
take the whole processor, short beside the time after which peers call a member dead."""

Work = Callable[[], Coroutine[Any, Any, None]]
"""Work that goes on until it is cancelled."""


def start_task(stack: AsyncExitStack, work: Coroutine[Any, Any, None]) -> None:
    """Run work that the stack cancels; tell how it ended."""
    task = asyncio.ensure_future(work)
    task.add_done_callback(_log_failure)
    stack.callback(task.cancel)


async def keep_running(work: Work) -> None:
    """Run work until it is cancelled, also when one of its steps fails.

    A fault in one step would otherwise end the probes or the reading of the store for
    good in a process that goes on to serve: it keeps addresses of instances that are
    gone and a share of the retry budget for members that it never meets.
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
