"""Pace at which the events of one stream arrive."""

from __future__ import annotations

MIN_GAPS = 3
"""Gaps between events from which on a single long one doesn't tell the pace."""
DECIDING_GAPS = 8
"""Gaps after which the rest of a stream tells nothing more."""


class StreamPace:
    """Mean gap between a stream's events, without its longest one.

    A single long gap is a server's or a link's pause rather than a slow version.
    """

    __slots__ = ("_count", "_longest_s", "_total_s", "_waiting_from")

    def __init__(self, *, now: float) -> None:
        self._count = 0
        self._total_s = 0.0
        self._longest_s = 0.0
        self._waiting_from: float | None = now

    @property
    def is_decided(self) -> bool:
        """Whether enough gaps are known."""
        return self._count >= DECIDING_GAPS

    def begin_wait(self, now: float) -> None:
        """Record that the next event is awaited."""
        self._waiting_from = now

    def end_wait(self, now: float) -> None:
        """Record that an event has arrived."""
        if self._waiting_from is not None:
            gap_s = now - self._waiting_from
            self._count += 1
            self._total_s += gap_s
            self._longest_s = max(self._longest_s, gap_s)
        self._waiting_from = None

    @property
    def gap_count(self) -> int:
        """Number of gaps that have ended."""
        return self._count

    def find_total_s(self, now: float) -> float:
        """Return the sum of the gaps, with the one that still lasts."""
        return self._total_s + self.find_waited_s(now)

    def find_waited_s(self, now: float) -> float:
        """Return how long the next event has been awaited."""
        return now - self._waiting_from if self._waiting_from is not None else 0.0

    def find_mean_s(self, now: float) -> float | None:
        """Return the mean gap, with the one that still lasts; None with too few."""
        count, total_s, longest_s = self._count, self._total_s, self._longest_s
        if self._waiting_from is not None:
            waited_s = now - self._waiting_from
            count, total_s = count + 1, total_s + waited_s
            longest_s = max(longest_s, waited_s)
        if count < MIN_GAPS:
            return None
        return (total_s - longest_s) / (count - 1)
