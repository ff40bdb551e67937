"""Tests of the pace of streams."""

from __future__ import annotations

import pytest

from baobabthread.routing.streampace import DECIDING_GAPS, MIN_GAPS, StreamPace


def make_pace(gaps: list[float]) -> tuple[StreamPace, float]:
    """Return a pace whose next event is awaited, and the time."""
    pace = StreamPace(now=10.0)
    at = 10.0
    for gap_s in gaps:
        at += gap_s
        pace.end_wait(at)
        pace.begin_wait(at)
    return pace, at


def test_know_no_pace_of_few_gaps() -> None:
    pace, at = make_pace([0.1] * (MIN_GAPS - 2))
    assert pace.find_mean_s(at) is None


def test_leave_out_a_single_long_gap() -> None:
    """A stream that was preempted once passed for a slow one."""
    pace, at = make_pace([0.1, 0.1, 3.0, 0.1])
    mean_s = pace.find_mean_s(at)
    assert mean_s is not None
    assert mean_s == pytest.approx(0.075)


def test_count_the_gap_that_still_lasts() -> None:
    pace, at = make_pace([1.0, 1.0])
    mean_s = pace.find_mean_s(at + 1.0)
    assert mean_s == pytest.approx(1.0)


def test_leave_out_the_time_that_a_caller_takes() -> None:
    """A caller that reads slowly made its stream pass for a slow one."""
    pace = StreamPace(now=10.0)
    for number in range(DECIDING_GAPS):
        pace.begin_wait(10.0 + number)
        pace.end_wait(10.1 + number)
    assert pace.is_decided
    mean_s = pace.find_mean_s(99.0)
    assert mean_s == pytest.approx(0.1)
