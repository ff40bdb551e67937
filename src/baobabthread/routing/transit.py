"""Counts of what is sent and arrives later, over a sliding window."""

from __future__ import annotations

from collections import deque

import msgspec

BUCKET_S = 0.1
"""Time over which events are counted in one bucket."""


class _Bucket(msgspec.Struct):
    at: float
    """Time of its first event."""
    number: int = 0


class SlidingWindow:
    """Counter over a sliding window."""

    __slots__ = ("_buckets", "_length_s", "total")

    def __init__(self, *, length_s: float) -> None:
        self._length_s = length_s
        self._buckets: deque[_Bucket] = deque()
        self.total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        self.expire(now)
        if not self._buckets or now - self._buckets[-1].at >= BUCKET_S:
            self._buckets.append(_Bucket(at=now))
        self._buckets[-1].number += 1
        self.total += 1

    def expire(self, now: float) -> None:
        """Drop buckets that are older than the window."""
        while self._buckets and now - self._buckets[0].at >= self._length_s:
            self.total -= self._buckets.popleft().number


class Transit:
    """One event that was sent and may arrive until it is settled."""

    __slots__ = ("_window",)

    def __init__(self, *, window: TransitWindow) -> None:
        self._window: TransitWindow | None = window

    def settle(self, now: float) -> None:
        """Record that it has arrived by now, or no longer can."""
        if self._window is not None:
            self._window.settle_one(now)
            self._window = None


class TransitWindow:
    """Count of events that are in transit or were settled within a window.

    A partition may delay arrivals. All that can arrive within one window is counted
    here when the last of it is sent, however long the others were on their way.
    """

    __slots__ = ("_settled", "in_transit")

    def __init__(self, *, length_s: float) -> None:
        self._settled = SlidingWindow(length_s=length_s)
        self.in_transit = 0
        """Number of events that are not settled yet."""

    def start(self) -> Transit:
        """Count an event that is sent now."""
        self.in_transit += 1
        return Transit(window=self)

    def settle_one(self, now: float) -> None:
        """Record that an event in transit has arrived or no longer can."""
        self.in_transit -= 1
        self._settled.add(now)

    def count(self, now: float) -> int:
        """Return how many events are in transit or were settled within the window."""
        self._settled.expire(now)
        return self.in_transit + self._settled.total
