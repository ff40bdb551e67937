"""Bounds on the number of log lines."""

from __future__ import annotations

from baobabthread.instance.clock import now

BURST_S = 5.0
"""Seconds of the rate that may be written at once."""


class LineRateLimiter:
    """Token bucket that limits the log lines of one kind."""

    __slots__ = ("_checked_at", "_level", "_rate", "suppressed")

    def __init__(self, *, per_s: float) -> None:
        self._rate = per_s
        self._level = per_s * BURST_S
        self._checked_at = now()
        self.suppressed = 0

    def try_acquire(self) -> bool:
        """Return whether one more line may be written."""
        checked_at = now()
        level = self._level + (checked_at - self._checked_at) * self._rate
        self._level = min(self._rate * BURST_S, level)
        self._checked_at = checked_at
        if self._level < 1.0:
            self.suppressed += 1
            return False
        self._level -= 1.0
        return True
