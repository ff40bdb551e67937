"""Number of events of streams, learnt from earlier ones of their route.

Servers that put the same number of tokens into each event make streams whose last event
is known beforehand. Where lengths vary otherwise, nothing is predicted.
"""

from __future__ import annotations

import math
import re
from fractions import Fraction

MAX_ROUTES = 10_000
"""Routes whose streams are remembered; configurations rename them again and again."""
_NUMBER = re.compile(r"\d{1,18}", re.ASCII)
MIN_STREAMS = 3
"""Streams of a route that must agree before the end of one is predicted."""


class _EventSize:
    """Range of the tokens in each event that agrees with the streams seen."""

    __slots__ = ("count", "high", "low")

    def __init__(self, *, low: Fraction, high: Fraction | None) -> None:
        self.low = low
        self.high = high
        """Exclusive; None if every larger number agrees."""
        self.count = 1


class StreamLengths:
    """Predicts the last event of streams by route and requested tokens."""

    __slots__ = ("_sizes",)

    def __init__(self) -> None:
        self._sizes: dict[str, _EventSize] = {}

    def observe(self, route: str, tokens: int, last_event: str | None) -> None:
        """Record the last event of a stream that has ended whole."""
        number = _parse(last_event)
        if number is None:
            return
        asked = max(1, tokens)
        low = Fraction(asked, number)
        high = Fraction(asked, number - 1) if number > 1 else None
        known = self._sizes.get(route)
        if known is not None:
            low = max(low, known.low)
            highs = [h for h in (high, known.high) if h is not None]
            high = min(highs, default=None)
        if known is None or (high is not None and low >= high):
            # Lengths that contradict each other begin anew with the newest one.
            low = Fraction(asked, number)
            high = Fraction(asked, number - 1) if number > 1 else None
            if len(self._sizes) >= MAX_ROUTES:
                self._sizes.clear()
            self._sizes[route] = _EventSize(low=low, high=high)
            return
        known.low, known.high = low, high
        known.count += 1

    def is_last(self, route: str, tokens: int, last_event: str | None) -> bool:
        """Return whether a stream is known to end with an event."""
        known = self._sizes.get(route)
        number = _parse(last_event)
        if known is None or known.count < MIN_STREAMS or number is None:
            return False
        asked = max(1, tokens)
        most = math.ceil(asked / known.low)
        least = 1 if known.high is None else math.floor(asked / known.high) + 1
        return number == most == least


def _parse(last_event: str | None) -> int | None:
    if last_event is None or not _NUMBER.fullmatch(last_event):
        return None
    return int(last_event) or None
