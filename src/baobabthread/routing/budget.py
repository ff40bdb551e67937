"""Repeats that one instance may send, so that the sum over all instances holds."""

from __future__ import annotations

import random

from baobabthread.core.limits.retries import RetryBudget, RetrySettings
from baobabthread.routing.bounds import RoutingBounds

MARGIN = 0.9
"""Part of the common bound that is used; the rest is for what only some see."""


def make_budget(
    bounds: RoutingBounds, *, entries: int, rng: random.Random
) -> RetryBudget:
    """Return a budget whose balance never exceeds this instance's part of the extra.

    Each instance earns by its own requests, so no talk is needed for the sum to hold:
    in any window it spends at most its balance at the start and what it earned since.
    """
    return RetryBudget(
        rng=rng,
        settings=RetrySettings(
            ratio=bounds.retry_ratio * MARGIN,
            floor_per_s=0.0,
            max_balance=max(1.0, bounds.retry_extra * MARGIN / max(1, entries)),
        ),
    )
