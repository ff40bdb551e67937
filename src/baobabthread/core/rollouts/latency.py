"""What is slow for a version, by the usual latency of each call."""

from __future__ import annotations

SLOW_FACTOR = 2.5
"""An answer is slow when it takes so many times the usual."""
LATENCY_MEMORY = 500.0


class SlowGauge:
    """Tell slow answers from usual ones, by a running mean of each call."""

    __slots__ = ("_usual",)

    def __init__(self) -> None:
        self._usual: dict[tuple[str, str], tuple[float, float]] = {}

    def judge(self, version: str, call: str, latency_s: float) -> bool:
        """Return whether an answer was slow, and count it towards the usual."""
        mean, seen = self._usual.get((version, call), (latency_s, 0.0))
        slow = latency_s > SLOW_FACTOR * mean
        seen = min(seen + 1, LATENCY_MEMORY)
        # One stuck answer would lift the mean so far that the next ones pass as usual.
        bounded = min(latency_s, SLOW_FACTOR * mean)
        self._usual[version, call] = (mean + (bounded - mean) / seen, seen)
        return slow

    def forget(self, version: str) -> None:
        """Drop what is usual for a version."""
        kept = {key: usual for key, usual in self._usual.items() if key[0] != version}
        self._usual = kept
