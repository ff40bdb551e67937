"""What an instance that was told to stop still takes."""

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
def test_take_nothing_whose_usual_answer_does_not_fit(
    grace_s: float, passed_s: float, usual_s: float, stood_still_s: float
) -> None:
    """A short grace was over before the time in which everything was taken."""
    sent_at = 100.0
    heard_at = sent_at + stood_still_s
    plan = plan_stop(grace_s=grace_s, now=heard_at, signalled_at=sent_at)
    moment = heard_at + passed_s
    if plan.can_finish(usual_s=usual_s, longest_s=usual_s, now=moment):
        left_s = sent_at + grace_s - END_MARGIN_S - moment
        assert LENGTH_FACTOR * usual_s + LENGTH_MARGIN_S < left_s


@pytest.mark.parametrize(("grace_s", "passed_s"), [(3.0, 1.1), (8.0, 2.6)])
def test_reckon_with_the_longest_answer_once_callers_know(
    grace_s: float, passed_s: float
) -> None:
    plan = plan_stop(grace_s=grace_s, now=100.0, signalled_at=100.0)
    early, late = 100.0 + 0.1, 100.0 + passed_s
    assert plan.can_finish(usual_s=0.1, longest_s=grace_s, now=early)
    assert not plan.can_finish(usual_s=0.1, longest_s=grace_s, now=late)


def test_know_that_a_signal_may_have_come_in_a_standstill() -> None:
    """The first beat after a standstill came before the signal was heard."""
    pulse = StallDetector(now=100.0)
    pulse.tick(100.1)
    pulse.tick(103.0)
    assert pulse.find_earliest_signal(103.01) == pytest.approx(100.1)
    assert pulse.find_earliest_signal(103.0 + SIGNAL_DELAY_S) == pytest.approx(
        103.0 + SIGNAL_DELAY_S
    )


def test_take_no_late_beat_for_a_standstill() -> None:
    pulse = StallDetector(now=100.0)
    for number in range(10):
        pulse.tick(100.0 + number * 0.9 * STALL_S)
    assert pulse.find_earliest_signal(104.1) == pytest.approx(104.1)


def test_notice_a_standstill_that_no_beat_ended() -> None:
    pulse = StallDetector(now=100.0)
    assert pulse.find_earliest_signal(102.0) == pytest.approx(100.0)


def test_let_what_was_taken_run_on_after_a_standstill() -> None:
    """The signal came while the process stood still; nobody knows at what moment."""
    plan = plan_stop(grace_s=8.0, now=105.0, signalled_at=100.0)
    assert plan.takes_until == pytest.approx(100.0 + 8.0 - END_MARGIN_S)
    assert plan.ends_at == pytest.approx(105.0 + 8.0 - END_MARGIN_S)
