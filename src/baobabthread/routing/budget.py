"""Repeats that one instance may send, so that the sum over all instances holds."""

from __future__ import annotations

from collections import deque

import msgspec

from baobabthread.routing.bounds import RoutingBounds

MARGIN = 0.85
"""Part of the common bound that is used; the rest is for what only some see."""
SHARE_MARGIN = 0.425
"""Part of the fixed bound that is divided: an instance that was killed and started
again has its share twice within a window, and the sum is still below the bound."""
STEP_S = 0.1
"""Time over which requests and repeats are counted together."""


class _Count(msgspec.Struct):
    at: float
    """When the time that this counts began."""
    number: int = 0


class _Window:
    """Count what happened within a time that moves along."""

    __slots__ = ("_counts", "_length_s", "total")

    def __init__(self, *, length_s: float) -> None:
        self._length_s = length_s
        self._counts: deque[_Count] = deque()
        self.total = 0

    def add(self, now: float) -> None:
        """Count one."""
        self.expire(now)
        if not self._counts or now - self._counts[-1].at >= STEP_S:
            self._counts.append(_Count(at=now))
        self._counts[-1].number += 1
        self.total += 1

    def expire(self, now: float) -> None:
        """Leave out what is too long ago."""
        while self._counts and now - self._counts[0].at >= self._length_s:
            self.total -= self._counts.popleft().number


class RepeatBudget:
    """Allow as many repeats in each window as its requests and a fixed share allow.

    Each instance counts its own requests, so no talk is needed for the sum to hold.
    With a balance that was capped at the share instead, two repeats among two hundred
    instances, what was earned was lost again: one of twenty doubtful answers of a calm
    day was passed on for want of a repeat while half of all repeats went unused.
    """

    __slots__ = ("_ratio", "_repeats", "_requests", "_share")

    def __init__(self, *, bounds: RoutingBounds, entries: int) -> None:
        self._ratio = bounds.retry_ratio * MARGIN
        # A step is counted from its begin: requests are forgotten a step too early and
        # repeats a step too late, so that neither errs to the other side.
        self._requests = _Window(length_s=bounds.retry_window_s - STEP_S)
        self._repeats = _Window(length_s=bounds.retry_window_s + STEP_S)
        self._share = 0.0
        """Repeats that are allowed without any request."""
        self.divide(bounds, entries=entries)

    def divide(self, bounds: RoutingBounds, *, entries: int) -> None:
        """Share the fixed part among so many instances; what was spent stays spent."""
        self._share = bounds.retry_extra * SHARE_MARGIN / max(1, entries)

    def count_request(self, now: float) -> None:
        """Note a request, whose repeats or others' may follow."""
        self._requests.add(now)

    def balance(self, now: float) -> float:
        """Return how many repeats are left now."""
        self._repeats.expire(now)
        return self.most(now) - self._repeats.total

    def most(self, now: float) -> float:
        """Return how many repeats were allowed if none had been sent."""
        self._requests.expire(now)
        return self._share + self._ratio * self._requests.total

    def try_spend(self, now: float) -> bool:
        """Take a repeat out of the budget; return whether there was one."""
        if self.balance(now) < 1.0:
            return False
        self._repeats.add(now)
        return True
