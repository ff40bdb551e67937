"""Repeats that one instance may send, so that the sum over all instances holds."""

from __future__ import annotations

from collections import deque

import msgspec

from baobabthread.routing.bounds import RoutingBounds

MARGIN = 0.85
"""Part of the common bound that is used; the rest is for what only some see."""
SHARE_MARGIN = 0.25
"""Part of the fixed bound that is divided, for views of the members that differ."""
SINGLE_MARGIN = 0.425
"""Part of it that an instance takes to which settings name no other: killed and started
again, it has that part twice within a window."""
FIRST = 1.0
"""Repeats that are allowed on top of the ratio, but never more than requests."""
STEP_S = 0.1
"""Time over which requests and repeats are counted together."""


STALL_S = 0.5
"""Pause between two ticks from which on an instance has stood still."""
BACKLOG_S = 1.0
"""Time after it in which requests are read that had come before."""


class Arrivals:
    """Tell when requests came that are read after an instance stood still.

    Failure: an instance that was frozen reads all that came meanwhile in one moment.
    Counted then, they allow repeats for a window in which nobody has sent them.
    """

    __slots__ = ("_backlog_until", "_began", "_ticked_at")

    def __init__(self) -> None:
        self._ticked_at: float | None = None
        self._began = 0.0
        self._backlog_until = 0.0

    def tick(self, now: float) -> None:
        """Note that the instance runs; call it several times a second."""
        self._find_stall(now)
        self._ticked_at = now

    def find(self, now: float) -> float:
        """Return the earliest moment at which a request may have come."""
        self._find_stall(now)
        return self._began if now < self._backlog_until else now

    def _find_stall(self, now: float) -> None:
        if self._ticked_at is None or now - self._ticked_at < STALL_S:
            return
        self._began = self._ticked_at
        self._backlog_until = now + BACKLOG_S


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


class Members:
    """Follow among how many instances the fixed part of a bound is divided.

    Failure: an instance that is cut off or has just started knows itself alone. It
    would take all of the fixed part, and after each start once more.
    """

    __slots__ = ("_is_single", "_known", "_settled_at")

    def __init__(self, *, is_single: bool, settled_at: float) -> None:
        """Note whether there are no others, and when a whole window has passed."""
        self._is_single = is_single
        self._settled_at = settled_at
        self._known = 1

    def note(self, count: int) -> None:
        """Note how many serve, this one included; a loss may be this one's own cut."""
        self._known = max(self._known, count)

    def find_part(self, now: float) -> float:
        """Return the part of the fixed bound that falls to this instance."""
        if self._known > 1:
            return SHARE_MARGIN / self._known if now >= self._settled_at else 0.0
        return SINGLE_MARGIN if self._is_single else 0.0


class RepeatBudget:
    """Allow as many repeats in each window as its requests and a fixed share allow.

    Each instance counts only what it sees itself, so that the sum holds without talk.
    """

    __slots__ = ("_extra", "_members", "_ratio", "_repeats", "_requests")

    def __init__(self, *, bounds: RoutingBounds, members: Members) -> None:
        self._ratio = bounds.retry_ratio * MARGIN
        self._extra = bounds.retry_extra
        self._members = members
        # A step is counted from its begin: requests are forgotten a step too early and
        # repeats a step too late, so that neither errs to the other side.
        self._requests = _Window(length_s=bounds.retry_window_s - STEP_S)
        self._repeats = _Window(length_s=bounds.retry_window_s + STEP_S)

    def count_request(self, arrived_at: float) -> None:
        """Note a request, whose repeats or others' may follow."""
        self._requests.add(arrived_at)

    def balance(self, now: float) -> float:
        """Return how many repeats are left now."""
        self._repeats.expire(now)
        return self.most(now) - self._repeats.total

    def most(self, now: float) -> float:
        """Return how many repeats were allowed if none had been sent."""
        self._requests.expire(now)
        requests = self._requests.total
        earned = min(requests, FIRST + self._ratio * requests)
        return earned + self._extra * self._members.find_part(now)

    def try_spend(self, now: float) -> bool:
        """Take a repeat out of the budget; return whether there was one."""
        if self.balance(now) < 1.0:
            return False
        self._repeats.add(now)
        return True
