"""Tests of the evidence for and against a version on trial."""

from __future__ import annotations

import pytest

from baobabthread.routing.canary import CanaryAnalysis, SentAttempt
from baobabthread.routing.configuration import RolloutOrder
from baobabthread.routing.versions import VersionPlan
from tests.routing.rollouts import (
    BOUNDS,
    LIMIT_S,
    begin_rollout,
    observe_latency,
    observe_responses,
)


def feed(
    analysis: CanaryAnalysis, *, is_canary: bool, count: int, bad_every: int
) -> int:
    """Feed answers of which each so-many-th fails; return how many until the alarm."""
    for number in range(1, count + 1):
        analysis.observe_response(
            is_canary=is_canary,
            call="c",
            kind="c",
            failed=bool(bad_every) and number % bad_every == 0,
            latency_s=0.1,
        )
        if analysis.alarm is not None:
            return number
    return count + 1


def send(analysis: CanaryAnalysis, *, is_canary: bool, at: float) -> int:
    return analysis.start_attempt(
        SentAttempt(is_canary=is_canary, call="c", kind="c", at=at, expected_s=0.1)
    )


def make_analysis() -> CanaryAnalysis:
    """Return a trial for which the old version has answered in twice the least time."""
    trial = CanaryAnalysis(number=1)
    for _ in range(60):
        trial.finish_attempt(
            send(trial, is_canary=False, at=0.0), failed=False, now=0.2
        )
    return trial


def test_find_a_version_that_fails_a_third_of_its_requests() -> None:
    trial = CanaryAnalysis(number=1)
    feed(trial, is_canary=False, count=200, bad_every=0)
    assert feed(trial, is_canary=True, count=60, bad_every=3) <= 30


def test_bear_failures_that_the_old_version_has_too() -> None:
    trial = CanaryAnalysis(number=1)
    feed(trial, is_canary=False, count=300, bad_every=7)
    feed(trial, is_canary=True, count=300, bad_every=7)
    assert trial.alarm is None


def test_find_a_version_that_is_slow() -> None:
    trial = CanaryAnalysis(number=1)
    feed(trial, is_canary=False, count=50, bad_every=0)
    for _ in range(12):
        trial.observe_response(
            is_canary=True, call="c", kind="c", failed=False, latency_s=0.8
        )
    assert trial.alarm is not None
    assert "latency" in trial.alarm


def respond_after(
    analysis: CanaryAnalysis, latency_s: float, *, is_canary: bool, count: int
) -> None:
    """Let an answer that was expected within ten milliseconds take so long."""
    for _ in range(count):
        sent = SentAttempt(
            is_canary=is_canary, call="c", kind="c", at=0.0, expected_s=0.01
        )
        analysis.finish_attempt(
            analysis.start_attempt(sent), failed=False, now=latency_s
        )


@pytest.mark.parametrize(("new_s", "is_worse"), [(0.015, False), (0.09, True)])
def test_take_no_few_milliseconds_for_slow(new_s: float, is_worse: bool) -> None:
    """Servers of a good version answer short requests over their first connections.

    On a busy machine that took over twice the usual few milliseconds, and a good
    version was taken back for it.
    """
    trial = CanaryAnalysis(number=1)
    respond_after(trial, 0.003 if new_s < 0.02 else 0.0225, is_canary=False, count=200)
    respond_after(trial, new_s, is_canary=True, count=11)
    assert trial.looks_worse is is_worse


def test_bear_a_clump_of_slow_answers() -> None:
    """A server falls out while a good version takes over, and a dozen answers are late.

    The old version has as many late ones, spread out. In one clump they would win the
    bet and revert the version, though nine answers in ten are as fast as ever.
    """
    trial = CanaryAnalysis(number=1)
    for number in range(160):
        observe_latency(trial, 2.0 if number % 8 == 7 else 0.1, is_canary=False)
    for _ in range(109):
        observe_latency(trial, 0.1, is_canary=True)
    for _ in range(13):
        observe_latency(trial, 2.0, is_canary=True)
    assert trial.alarm is None


def test_raise_no_alarm_over_slow_answers_once_all_has_moved() -> None:
    """A burst comes as a good version takes over, and half of its answers are late.

    Nothing runs on the old version any more that would show the same.
    """
    plan = begin_rollout()
    observe_responses(plan)
    plan.begin_final_phase(23.0)
    for number in range(40):
        observe_latency(plan.analysis, 2.0 if number % 2 else 0.1, is_canary=True)
    assert plan.analysis.alarm is None


def test_count_as_slow_what_should_have_been_answered() -> None:
    """A version answers eight times slower, and takes over before its answers come.

    Only its fast answers would be known by then.
    """
    trial = make_analysis()
    tickets = [send(trial, is_canary=True, at=10.0) for _ in range(4)]
    trial.count_overdue(10.3)
    assert "new_latency" not in trial.describe()
    trial.count_overdue(10.6)
    assert "new_latency:4/4" in trial.describe()
    for ticket in tickets:
        trial.finish_attempt(ticket, failed=False, now=11.6)
    assert "new_latency:4/4" in trial.describe()
    assert "new_errors:0/4" in trial.describe()


def test_count_nothing_for_attempts_that_say_nothing() -> None:
    trial = make_analysis()
    trial.cancel_attempt(send(trial, is_canary=True, at=10.0))
    trial.finish_attempt(send(trial, is_canary=True, at=10.0), failed=None, now=10.1)
    trial.count_overdue(20.0)
    assert "new" not in trial.describe()
    trial.finish_attempt(send(trial, is_canary=True, at=20.0), failed=None, now=21.0)
    assert "new_latency:1/1" in trial.describe()


def test_expect_what_a_prompt_takes_that_nobody_has_kept() -> None:
    """Servers on trial read all of each prompt, three times as long as usual."""
    trial = make_analysis()
    for number in range(30):
        sent = SentAttempt(
            is_canary=True, call="c", kind="c", at=float(number), expected_s=0.3
        )
        trial.finish_attempt(trial.start_attempt(sent), failed=False, now=number + 0.6)
    assert "new_latency:0/30" in trial.describe()


def test_add_up_the_evidence_of_all_instances_once() -> None:
    """Three instances see two failures each; none would raise the alarm alone.

    Their counts come by gossip, late and more than once; each counts once.
    """
    trials = [CanaryAnalysis(number=1) for _ in range(3)]
    for trial in trials:
        feed(trial, is_canary=False, count=30, bad_every=0)
        feed(trial, is_canary=True, count=2, bad_every=1)
        assert trial.alarm is None
    first = trials[0]
    for _ in range(3):
        for number, other in enumerate(trials[1:]):
            first.merge(f"i{number}", other.evidence())
    assert first.seen == 6
    assert first.alarm is not None


def test_know_from_the_first_answer_on_what_is_slow() -> None:
    """A service has few requests, and a slow version is on trial for some seconds.

    Each instance first needed eight answers of the old version for each kind, so that
    six of fifteen answers were judged, two of them slow, and the version succeeded.
    """
    plan = VersionPlan(service="s", bounds=BOUNDS)
    for _ in range(8):
        plan.analysis.finish_attempt(
            send(plan.analysis, is_canary=False, at=0.0), failed=False, now=0.2
        )
    order = RolloutOrder(number=1, service="s", target="v2", time_limit_s=LIMIT_S)
    plan.apply_order(order, 1.0)
    for _ in range(3):
        plan.analysis.finish_attempt(
            send(plan.analysis, is_canary=True, at=2.0), failed=False, now=2.9
        )
    assert "new_latency:3/3" in plan.analysis.describe()
    assert "old" not in plan.analysis.describe()
    assert plan.analysis.looks_worse
