"""Timeouts of what others send, in a process that may stand still itself.

While a process gets no processor time, responses arrive that it reads only after the
timers that became due meanwhile. Others would pass for silent in this time.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

CHECKS = 4
"""Times that a standstill is looked for within a timeout."""
MIN_STANDSTILL_S = 0.01
"""Delay of a timer from which on the process has stood still; the loop's own work
delays timers by less."""


class _Extension:
    """Move a timeout by the time for which the event loop stood still."""

    __slots__ = (
        "_due_at",
        "_expected_at",
        "_handle",
        "_is_last",
        "_latest_at",
        "_step_s",
        "_timeout",
    )

    def __init__(self, *, timeout: asyncio.Timeout, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._due_at = loop.time() + seconds
        self._latest_at = self._due_at + seconds
        self._step_s = seconds / CHECKS
        self._is_last = False
        self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._expected_at = min(self._due_at, loop.time() + self._step_s)
        self._handle = loop.call_at(self._expected_at, self._check)

    def _check(self) -> None:
        time = asyncio.get_running_loop().time()
        late_s = time - self._expected_at
        if late_s >= MIN_STANDSTILL_S:
            self._due_at = min(self._due_at + late_s, self._latest_at)
            if time >= self._due_at and not self._is_last:
                # What arrived meanwhile is read in several turns of the loop.
                self._is_last = True
                self._due_at = time + self._step_s
        if time < self._due_at:
            self._schedule()
        else:
            self._timeout.reschedule(time)

    def cancel(self) -> None:
        """Leave the timeout alone from now on."""
        self._handle.cancel()


@contextlib.asynccontextmanager
async def limit_silence(seconds: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` once others were silent for a time, in seconds.

    The time for which this process stood still doesn't count, up to as much again. What
    arrived during a standstill at the end is read in a quarter of the time.
    """
    async with asyncio.timeout(None) as timeout:
        extension = _Extension(timeout=timeout, seconds=max(0.0, seconds))
        try:
            yield
        finally:
            extension.cancel()
