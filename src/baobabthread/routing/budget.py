"""Repeats that one instance may send, so that the sum over all instances holds."""

from __future__ import annotations

from collections import deque

import msgspec

from baobabthread.routing.bounds import RoutingBounds

USABLE_FRACTION = 0.85
"""Part of the common bound that is used; the rest is for what only some see."""
SHARED_FRACTION = 0.25
"""Part of the fixed bound that is divided, for views of the members that differ."""
SINGLE_INSTANCE_FRACTION = 0.425
"""Part of it that an instance takes to which settings name no other: killed and started
again, it has that part twice within a window."""
INITIAL_RETRIES = 1.0
"""Repeats that are allowed on top of the ratio, but never more than requests."""
BUCKET_S = 0.1
"""Time over which requests and repeats are counted together."""


STALL_S = 0.5
"""Pause between two ticks from which on an instance has stood still."""
BACKLOG_S = 1.0
"""Time after it in which requests are read that had come before."""


class ArrivalEstimator:
    """Tell when requests came that are read after an instance stood still.

    Failure: an instance that was frozen reads all that came meanwhile in one moment.
    Counted then, they allow repeats for a window in which nobody has sent them.
    """

    __slots__ = ("_backlog_until", "_stalled_at", "_ticked_at")

    def __init__(self) -> None:
        self._ticked_at: float | None = None
        self._stalled_at = 0.0
        self._backlog_until = 0.0

    def tick(self, now: float) -> None:
        """Note that the instance runs; call it several times a second."""
        self._detect_stall(now)
        self._ticked_at = now

    def estimate_arrival(self, now: float) -> float:
        """Return the earliest moment at which a request may have come."""
        self._detect_stall(now)
        return self._stalled_at if now < self._backlog_until else now

    def _detect_stall(self, now: float) -> None:
        if self._ticked_at is None or now - self._ticked_at < STALL_S:
            return
        self._stalled_at = self._ticked_at
        self._backlog_until = now + BACKLOG_S


class _Bucket(msgspec.Struct):
    at: float
    """When the time that this counts began."""
    number: int = 0


class _SlidingWindow:
    """Count what happened within a time that moves along."""

    __slots__ = ("_buckets", "_length_s", "total")

    def __init__(self, *, length_s: float) -> None:
        self._length_s = length_s
        self._buckets: deque[_Bucket] = deque()
        self.total = 0

    def add(self, now: float) -> None:
        """Count one."""
        self.expire(now)
        if not self._buckets or now - self._buckets[-1].at >= BUCKET_S:
            self._buckets.append(_Bucket(at=now))
        self._buckets[-1].number += 1
        self.total += 1

    def expire(self, now: float) -> None:
        """Leave out what is too long ago."""
        while self._buckets and now - self._buckets[0].at >= self._length_s:
            self.total -= self._buckets.popleft().number


class MemberCount:
    """Follow among how many instances the fixed part of a bound is divided.

    Failure: an instance that is cut off or has just started knows itself alone. It
    would take all of the fixed part, and after each start once more.
    """

    __slots__ = ("_is_single", "_max_seen", "_settled_at")

    def __init__(self, *, is_single: bool, settled_at: float) -> None:
        """Note whether there are no others, and when a whole window has passed."""
        self._is_single = is_single
        self._settled_at = settled_at
        self._max_seen = 1

    def record(self, count: int) -> None:
        """Note how many serve, this one included; a loss may be this one's own cut."""
        self._max_seen = max(self._max_seen, count)

    def compute_share(self, now: float) -> float:
        """Return the part of the fixed bound that falls to this instance."""
        if self._max_seen > 1:
            return SHARED_FRACTION / self._max_seen if now >= self._settled_at else 0.0
        return SINGLE_INSTANCE_FRACTION if self._is_single else 0.0


class RetryBudget:
    """Allow as many repeats in each window as its requests and a fixed share allow.

    Each instance counts only what it sees itself, so that the sum holds without talk.
    """

    __slots__ = ("_extra", "_members", "_ratio", "_requests", "_retries")

    def __init__(self, *, bounds: RoutingBounds, members: MemberCount) -> None:
        self._ratio = bounds.retry_ratio * USABLE_FRACTION
        self._extra = bounds.retry_extra
        self._members = members
        # A step is counted from its begin: requests are forgotten a step too early and
        # repeats a step too late, so that neither errs to the other side.
        self._requests = _SlidingWindow(length_s=bounds.retry_window_s - BUCKET_S)
        self._retries = _SlidingWindow(length_s=bounds.retry_window_s + BUCKET_S)

    def record_request(self, arrived_at: float) -> None:
        """Note a request, whose repeats or others' may follow."""
        self._requests.add(arrived_at)

    def remaining(self, now: float) -> float:
        """Return how many repeats are left now."""
        self._retries.expire(now)
        return self.limit(now) - self._retries.total

    def limit(self, now: float) -> float:
        """Return how many repeats were allowed if none had been sent."""
        self._requests.expire(now)
        requests = self._requests.total
        earned = min(requests, INITIAL_RETRIES + self._ratio * requests)
        return earned + self._extra * self._members.compute_share(now)

    def try_spend(self, now: float) -> bool:
        """Take a repeat out of the budget; return whether there was one."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.add(now)
        return True
