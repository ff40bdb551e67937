"""Check when an entry may conclude that its configuration is the newest."""

from __future__ import annotations

import pytest

from baobabthread.core.configuration.configuration import OnStale
from baobabthread.core.configuration.freshness import (
    Freshness,
    FreshnessSettings,
    FreshnessState,
    Reach,
)
from baobabthread.core.positions import OperatorsPosition

BOUND_S = 5.0
ALL = Reach(heard=5, asked=5, pool=5, known=5)
HALF = Reach(heard=2, asked=5, pool=5, known=5)


def _make(*, read_at: float = 0.0) -> Freshness:
    freshness = Freshness(settings=FreshnessSettings(bound_s=BOUND_S))
    freshness.fold_to(OperatorsPosition(offset=3))
    freshness.read_head(head=OperatorsPosition(offset=3), started_at=read_at)
    return freshness


def test_tell_an_outage_from_a_cut() -> None:
    freshness = _make()
    assert freshness.state(5.0) is FreshnessState.FRESH
    freshness.observe(ALL, now=5.1)
    assert freshness.state(5.1) is FreshnessState.LOG_OUTAGE
    assert freshness.may_serve(OnStale.REFUSE, 5.1)
    freshness.observe(HALF, now=5.2)
    assert freshness.state(5.2) is FreshnessState.CUT_OFF
    assert not freshness.may_serve(OnStale.REFUSE, 5.2)
    assert freshness.may_serve(OnStale.SERVE, 5.2)


def test_refuse_while_behind_a_fresh_peer() -> None:
    """A peer has read a withdrawal from the log; this entry lacks that record.

    It hears a majority, yet the log is not down: serving on would offer the withdrawn
    version, so that it refuses until it has folded as far.
    """
    freshness = _make()
    freshness.observe(ALL, now=8.0)
    freshness.hear(
        head_age_s=0.5, read_position=OperatorsPosition(offset=4), asked_at=8.0
    )
    assert freshness.state(8.0) is FreshnessState.CUT_OFF
    freshness.fold_to(OperatorsPosition(offset=4))
    assert freshness.state(8.0) is FreshnessState.FRESH
    assert freshness.head_age(8.0) == 0.5


def test_count_an_answer_from_its_question() -> None:
    """A paused process wakes and finds an answer that waited for a minute.

    Its age counts from when the question was sent; from its arrival it would look
    fresh, though a version may have been withdrawn meanwhile.
    """
    freshness = _make()
    freshness.observe(ALL, now=1.0)
    freshness.hear(
        head_age_s=0.1, read_position=OperatorsPosition(offset=3), asked_at=1.0
    )
    assert freshness.state(61.0) is FreshnessState.CUT_OFF


def test_begin_cut_off() -> None:
    freshness = Freshness()
    assert freshness.state(0.0) is FreshnessState.CUT_OFF


@pytest.mark.parametrize(
    ("heard", "asked", "pool", "known", "expected"),
    [
        (0, 0, 0, 0, True),
        (0, 0, 0, 5, False),
        (3, 5, 5, 5, True),
        (2, 5, 5, 5, False),
        (1, 1, 1, 1, True),
        (0, 1, 1, 1, False),
        (3, 3, 3, 5, True),
        (2, 2, 2, 5, False),
        (20, 20, 150, 399, False),
        (12, 20, 399, 399, True),
        (9, 20, 399, 399, False),
    ],
)
def test_estimate_a_majority(
    heard: int, asked: int, pool: int, known: int, expected: bool
) -> None:
    reach = Reach(heard=heard, asked=asked, pool=pool, known=known)
    assert reach.is_majority is expected
