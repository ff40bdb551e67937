"""Tests of the timeouts derived from inter-event gaps."""

from __future__ import annotations

import random

from baobabthread.routing.gaps import MAX_TIMEOUT_S, MIN_TIMEOUT_S, InterEventGaps


def test_short_gaps_lead_to_the_minimum_timeout() -> None:
    gaps = InterEventGaps()
    for _ in range(500):
        gaps.observe("s", 0.02)
    assert gaps.timeout_s("s") == MIN_TIMEOUT_S
    assert gaps.timeout_s("unknown") == MIN_TIMEOUT_S


def test_timeout_covers_gaps_while_engines_process_prompts() -> None:
    """Engines process long prompts between stream events, for up to a second.

    With a fixed timeout of 0.7 s, a third of the long streams were cut and processed
    again by another engine that was as busy.
    """
    rng = random.Random(1)
    gaps = InterEventGaps()
    timed_out = 0
    for number in range(4000):
        gap_s = rng.expovariate(1 / 0.2)
        timeout_s = gaps.timeout_s("s")
        if number >= 1000:
            timed_out += gap_s > timeout_s
        gaps.observe("s", min(gap_s, timeout_s))
    assert gaps.timeout_s("s") > 1.2
    assert timed_out <= 3000 * 0.002


def test_repeated_timeouts_do_not_exceed_the_maximum() -> None:
    """Streams on failed engines time out; the timeout must not grow without bound."""
    gaps = InterEventGaps()
    for _ in range(200):
        gaps.observe("s", gaps.timeout_s("s"))
    assert gaps.timeout_s("s") <= MAX_TIMEOUT_S
    for _ in range(3000):
        gaps.observe("s", 0.05)
    assert gaps.timeout_s("s") == MIN_TIMEOUT_S
