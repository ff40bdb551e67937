"""Tests of how long an engine's silence within a stream is borne."""

from __future__ import annotations

import random

from baobabthread.routing.gaps import MAX_TIMEOUT_S, MIN_TIMEOUT_S, InterEventGaps


def test_give_up_soon_where_events_come_quickly() -> None:
    pauses = InterEventGaps()
    for _ in range(500):
        pauses.observe("s", 0.02)
    assert pauses.timeout_s("s") == MIN_TIMEOUT_S
    assert pauses.timeout_s("unknown") == MIN_TIMEOUT_S


def test_bear_the_pauses_of_engines_that_read_long_prompts() -> None:
    """Engines read long prompts between the events of streams, for up to a second.

    Given up after a fixed 0.7 s, a third of the long streams were broken off and read
    again at another engine, which had as much to read.
    """
    rng = random.Random(1)
    pauses = InterEventGaps()
    given_up = 0
    for number in range(4000):
        pause_s = rng.expovariate(1 / 0.2)
        patience_s = pauses.timeout_s("s")
        if number >= 1000:
            given_up += pause_s > patience_s
        pauses.observe("s", min(pause_s, patience_s))
    assert pauses.timeout_s("s") > 1.2
    assert given_up <= 3000 * 0.002


def test_grow_by_no_more_than_callers_bear() -> None:
    """Engines go dark: each stream there is given up, and the next ones still are."""
    pauses = InterEventGaps()
    for _ in range(200):
        pauses.observe("s", pauses.timeout_s("s"))
    assert pauses.timeout_s("s") <= MAX_TIMEOUT_S
    for _ in range(3000):
        pauses.observe("s", 0.05)
    assert pauses.timeout_s("s") == MIN_TIMEOUT_S
