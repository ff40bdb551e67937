"""A sequential bet that a rate of bad outcomes is above its reference."""

from __future__ import annotations

import math
from collections import deque

MAX_REFERENCE = 2000.0
"""Outcomes that a reference remembers before it halves them."""
REFERENCE_LAG = 60
"""Newest outcomes kept out of the reference: they are what is on trial."""
LEAST_REFERENCE = 60.0
"""Outcomes before which there is nothing to compare with."""
PRIOR_BAD = 1.0
PRIOR_SEEN = 12.0
ERRORS_ALLOWED = 1.0
"""Standard errors by which the reference is raised."""
HIGHEST_RATE = 0.9
LIFTS = (0.06, 0.12, 0.25, 0.5)
"""Rates that are bet on, as shares of the way from the reference to 1."""
MOST = 1e30


class Reference:
    """Estimate the usual rate of bad outcomes from those before the newest."""

    __slots__ = ("_bad", "_recent", "_recent_seen", "_seen")

    def __init__(self, *, seen: float = 0.0, bad: float = 0.0) -> None:
        self._seen = seen
        self._bad = bad
        self._recent: deque[tuple[int, int]] = deque()
        self._recent_seen = 0

    @property
    def seen(self) -> float:
        """Give how many outcomes the rate rests on."""
        return self._seen

    def add(self, *, seen: int, bad: int) -> None:
        """Take in outcomes; they count once newer ones have followed."""
        self._recent.append((seen, bad))
        self._recent_seen += seen
        while self._recent and self._recent_seen - self._recent[0][0] >= REFERENCE_LAG:
            old_seen, old_bad = self._recent.popleft()
            self._recent_seen -= old_seen
            self._seen += old_seen
            self._bad += old_bad
        if self._seen > MAX_REFERENCE:
            self._seen /= 2
            self._bad /= 2

    def find_rate(self, *, tolerance: float) -> float:
        """Return the highest rate that still counts as usual."""
        seen = self._seen + PRIOR_SEEN
        rate = (self._bad + PRIOR_BAD) / seen
        spread = math.sqrt(rate * (1 - rate) / seen)
        return min(HIGHEST_RATE, rate + tolerance + ERRORS_ALLOWED * spread)

    def copy(self, *, most: float) -> Reference:
        """Return a reference that rests on at most so many of the same outcomes."""
        share = min(1.0, most / self._seen) if self._seen else 0.0
        return Reference(seen=self._seen * share, bad=self._bad * share)


class Wealth:
    """Multiply a stake by likelihood ratios; a high wealth refutes the usual rate.

    Each outcome adds a fresh stake (a Shiryaev-Roberts e-detector), so that a change
    shows as fast after a long quiet time as after a short one. While the usual rate
    holds, the expected wealth after n outcomes is at most n stakes: the chance that it
    reaches 1 within them is at most n times the stake.
    """

    __slots__ = ("_bets",)

    def __init__(self) -> None:
        self._bets = [0.0] * len(LIFTS)

    @property
    def value(self) -> float:
        """Give the wealth, the mean of all bets."""
        return sum(self._bets) / len(self._bets)

    def bet(self, *, seen: int, bad: int, rate: float, stake: float) -> None:
        """Take in outcomes whose usual rate of bad ones is at most `rate`."""
        for index, lift in enumerate(LIFTS):
            higher = rate + lift * (1 - rate)
            growth = bad * math.log(higher / rate)
            growth += (seen - bad) * math.log((1 - higher) / (1 - rate))
            staked = self._bets[index] + stake * seen
            self._bets[index] = min(MOST, staked * math.exp(min(growth, 60.0)))
