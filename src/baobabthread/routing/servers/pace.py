"""How fast a backend server is, from the responses to all instances."""

from __future__ import annotations

import math
from collections.abc import Sequence

RECENT_HALF_LIFE_S = 0.25
"""Time in which a response loses half of its weight for how fast a server is now."""
USUAL_HALF_LIFE_S = 2.0
"""The same for how fast it usually is; a server that was slow is tried again."""
MAX_SLOWNESS = 8.0
MIN_SLOWNESS = 0.4
OVERDUE_WEIGHT = 3.0
"""Weight of a response that is overdue, in responses: it tells of now."""


class Pace:
    """How many times as long as expected a server's responses take."""

    __slots__ = ("_learnt_at", "_recent", "_recent_weight", "_usual", "_usual_weight")

    def __init__(self) -> None:
        self._recent = 0.0
        self._recent_weight = 0.0
        self._usual = 0.0
        self._usual_weight = 0.0
        self._learnt_at = 0.0

    def learn(self, ratio: float, now: float) -> None:
        """Take in the time of a response as a multiple of the expected one."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        age_s = max(0.0, now - self._learnt_at)
        recent = math.exp2(-age_s / RECENT_HALF_LIFE_S)
        usual = math.exp2(-age_s / USUAL_HALF_LIFE_S)
        self._recent = recent * self._recent + ratio
        self._recent_weight = recent * self._recent_weight + 1.0
        self._usual = usual * self._usual + ratio
        self._usual_weight = usual * self._usual_weight + 1.0
        self._learnt_at = now

    def compute(self, overdue: Sequence[float], now: float) -> float:
        """Return the slowness now, also by what takes longer than expected."""
        age_s = max(0.0, now - self._learnt_at)
        fade = math.exp2(-age_s / RECENT_HALF_LIFE_S)
        # What is usual weighs as much as one response.
        total = self.usual(now) + fade * self._recent + OVERDUE_WEIGHT * sum(overdue)
        weight = 1.0 + fade * self._recent_weight + OVERDUE_WEIGHT * len(overdue)
        return total / weight

    def usual(self, now: float) -> float:
        """Return the usual slowness."""
        age_s = max(0.0, now - self._learnt_at)
        fade = math.exp2(-age_s / USUAL_HALF_LIFE_S)
        return (1.0 + fade * self._usual) / (1.0 + fade * self._usual_weight)
