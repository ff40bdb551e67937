"""Tests of what a stopping instance still accepts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.routing.stopping import (
    END_MARGIN_S,
    LENGTH_FACTOR,
    LENGTH_MARGIN_S,
    SIGNAL_DELAY_S,
    STALL_S,
    StallDetector,
    plan_stop,
)

GRACES = st.floats(1.0, 30.0)
SPANS = st.floats(0.0, 30.0)


@given(GRACES, SPANS, SPANS, SPANS)
def test_accept_nothing_whose_usual_duration_does_not_fit(
    grace_s: float, passed_s: float, usual_s: float, stalled_s: float
) -> None:
    """A short grace period may end while all requests are still accepted."""
    sent_at = 100.0
    handled_at = sent_at + stalled_s
    plan = plan_stop(grace_s=grace_s, now=handled_at, signalled_at=sent_at)
    now = handled_at + passed_s
    if plan.can_finish(usual_s=usual_s, longest_s=usual_s, now=now):
        left_s = sent_at + grace_s - END_MARGIN_S - now
        assert LENGTH_FACTOR * usual_s + LENGTH_MARGIN_S < left_s


@pytest.mark.parametrize(("grace_s", "passed_s"), [(3.0, 1.1), (8.0, 2.6)])
def test_expect_the_longest_duration_once_callers_are_informed(
    grace_s: float, passed_s: float
) -> None:
    plan = plan_stop(grace_s=grace_s, now=100.0, signalled_at=100.0)
    early, late = 100.0 + 0.1, 100.0 + passed_s
    assert plan.can_finish(usual_s=0.1, longest_s=grace_s, now=early)
    assert not plan.can_finish(usual_s=0.1, longest_s=grace_s, now=late)


def test_signal_may_have_been_sent_during_a_stall() -> None:
    """The first tick after a stall runs before the signal is handled."""
    detector = StallDetector(now=100.0)
    detector.tick(100.1)
    detector.tick(103.0)
    assert detector.find_earliest_signal(103.01) == pytest.approx(100.1)
    assert detector.find_earliest_signal(103.0 + SIGNAL_DELAY_S) == pytest.approx(
        103.0 + SIGNAL_DELAY_S
    )


def test_late_tick_is_no_stall() -> None:
    detector = StallDetector(now=100.0)
    for number in range(10):
        detector.tick(100.0 + number * 0.9 * STALL_S)
    assert detector.find_earliest_signal(104.1) == pytest.approx(104.1)


def test_detect_a_stall_without_a_tick() -> None:
    detector = StallDetector(now=100.0)
    assert detector.find_earliest_signal(102.0) == pytest.approx(100.0)


def test_accepted_requests_continue_after_a_stall() -> None:
    """The signal was sent during a stall, at an unknown time."""
    plan = plan_stop(grace_s=8.0, now=105.0, signalled_at=100.0)
    assert plan.takes_until == pytest.approx(100.0 + 8.0 - END_MARGIN_S)
    assert plan.ends_at == pytest.approx(105.0 + 8.0 - END_MARGIN_S)
