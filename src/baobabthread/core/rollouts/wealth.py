"""A sequential bet that a rate of bad outcomes is above its reference."""

from __future__ import annotations

import math
from collections import deque
from operator import truediv

MAX_REFERENCE = 2000.0
"""Outcomes that a reference remembers before it halves them."""
REFERENCE_LAG = 60
"""Newest outcomes kept out of the reference: they are what is on trial."""
LEAST_REFERENCE = 60.0
"""Outcomes before which there is nothing to compare with."""
PRIOR_BAD = 1.0
PRIOR_SEEN = 12.0
HIGHEST_RATE = 0.9
LIFTS = (0.06, 0.12, 0.25, 0.45)
"""Rates that are bet on, as shares of the way from the reference to 1."""
WEIGHTS = (0.02, 0.08, 0.4, 0.5)
"""Shares of the stake; an error of the reference looks like a slight rise, so little is
staked on those."""
QUIET_BETS = (600.0, 150.0, 40.0, 15.0)
"""What each bet seldom exceeds while the rate is the usual one; those on a slight rise
wander more."""
MOST = 1e30
MOST_AT_ONCE = 100


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

    def find_rate(self, *, tolerance: float, errors: float) -> float:
        """Return the highest rate that still counts as usual.

        That is the estimate, raised by the tolerance and so many standard errors.
        """
        seen = self._seen + PRIOR_SEEN
        rate = (self._bad + PRIOR_BAD) / seen
        spread = math.sqrt(rate * (1 - rate) / seen)
        return min(HIGHEST_RATE, rate + tolerance + errors * spread)

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

    __slots__ = ("_bets", "suspicion")

    def __init__(self) -> None:
        self._bets = [0.0] * len(LIFTS)
        self.suspicion = 0.0
        """The highest bet as a multiple of what it seldom exceeds."""

    @property
    def value(self) -> float:
        """Give the wealth in all bets."""
        pairs = zip(self._bets, WEIGHTS, strict=True)
        return sum(bet * weight for bet, weight in pairs)

    def bet(self, *, seen: int, bad: int, rate: float, stake: float) -> None:
        """Take in outcomes whose usual rate of bad ones is at most `rate`."""
        for index, lift in enumerate(LIFTS):
            # Likelihood ratios of the rate `rate + lift * (1 - rate)` to `rate`.
            when_bad = 1 + lift * (1 - rate) / rate
            when_good = 1 - lift
            staked = self._bets[index] + stake * seen
            growth = when_bad ** min(bad, MOST_AT_ONCE) * when_good ** (seen - bad)
            self._bets[index] = min(MOST, staked * growth)
        self.suspicion = max(map(truediv, self._bets, QUIET_BETS))
