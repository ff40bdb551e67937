"""Tests of single requests that are let through after a quarantine."""

from __future__ import annotations

import pytest

from baobabthread.instance import probation
from baobabthread.instance.probation import Trials


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    times = [100.0]
    monkeypatch.setattr(probation, "now", lambda: times[0])
    return times


def test_try_one_request_of_a_service_at_a_time(clock: list[float]) -> None:
    trials = Trials()
    assert trials.begin("s", "f1")
    assert not trials.begin("s", "f1")
    assert not trials.begin("s", "f2")
    assert trials.begin("other", "f3")


def test_wait_longer_after_each_trial_without_an_answer(clock: list[float]) -> None:
    """Each trial of a part that still crashes servers costs one more of them."""
    trials = Trials()
    waited = []
    for _ in range(7):
        assert trials.begin("s", "f1")
        trials.end("f1")
        ended_at = clock[0]
        while not trials.begin("s", "f1"):
            clock[0] += 0.5
        trials._running.clear()
        waited.append(clock[0] - ended_at)
    assert waited == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


def test_try_another_part_after_an_answer_at_once(clock: list[float]) -> None:
    trials = Trials()
    trials.begin("s", "f1")
    trials.end_answered("f1")
    trials.end("f1")
    assert trials.begin("s", "f2")
