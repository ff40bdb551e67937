"""Tests of when a version takes over, and how a roll-out ends."""

from __future__ import annotations

import msgspec

from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.evaluation import (
    evaluate_rollout,
    find_completion_s,
    may_begin_final_phase,
)
from baobabthread.routing.exposure import Exposure, ExposureTotals
from baobabthread.routing.progress import Progress
from baobabthread.routing.versions import VersionPlan
from tests.routing.rollouts import (
    BOUNDS,
    LIMIT_S,
    SESSIONS,
    begin_rollout,
    count_new,
    observe_responses,
)

LATE_S = LIMIT_S - find_completion_s(LIMIT_S) + 0.01
"""Time from which on a version that has taken over succeeds whatever still runs."""


FEW = Exposure(requests=2000, exposed=100)


def make_totals(*, per_s: float = 90.0) -> ExposureTotals:
    totals = ExposureTotals(bounds=BOUNDS)
    earlier = msgspec.structs.replace(FEW, requests=FEW.requests - int(per_s))
    totals.record([earlier], 9.0)
    totals.record([FEW], 10.0)
    return totals


def may_promote(plan: VersionPlan, now: float, *, per_s: float = 90.0) -> bool:
    return may_begin_final_phase(plan, make_totals(per_s=per_s), now)


def evaluate(
    plan: VersionPlan, others: list[Progress], members: int, now: float
) -> RolloutState:
    return evaluate_rollout(plan, others, members, now, totals=make_totals())


def test_stop_at_once_on_an_alarm_of_another_instance() -> None:
    plan = begin_rollout()
    plan.begin_final_phase(13.0)
    assert count_new(plan, 13.5) == len(SESSIONS)
    word = Progress(
        service="s", number=1, elapsed_s=13.0, share=0.3, old_running=0, alarm="errors"
    )
    plan.apply_progress(word, 13.6)
    assert count_new(plan, 13.7) == 0
    assert evaluate(plan, [], 0, 13.7) is RolloutState.REVERTED


def test_succeed_when_nothing_runs_on_the_old_version_anywhere() -> None:
    """The old version is stopped without draining when this is written.

    An instance that still streams from it would see its callers cut.
    """
    plan = begin_rollout()
    observe_responses(plan)
    now = LATE_S - 0.05
    plan.begin_final_phase(now - 1.0)
    plan.record_old_started("x", now - 0.9)
    done = Progress(service="s", number=1, elapsed_s=15.0, share=1.0, old_running=0)
    busy = Progress(service="s", number=1, elapsed_s=15.0, share=1.0, old_running=2)
    assert evaluate(plan, [done], 1, now) is RolloutState.RUNNING
    plan.record_old_ended("x", now)
    assert evaluate(plan, [busy], 1, now) is RolloutState.RUNNING
    assert evaluate(plan, [done], 2, now) is RolloutState.RUNNING
    assert evaluate(plan, [done], 1, now) is RolloutState.SUCCEEDED


def test_end_before_the_time_limit_though_something_runs_on() -> None:
    plan = begin_rollout()
    observe_responses(plan)
    plan.begin_final_phase(LATE_S - 1.0)
    busy = Progress(service="s", number=1, elapsed_s=20.0, share=1.0, old_running=2)
    assert evaluate(plan, [busy], 1, LATE_S - 0.05) is RolloutState.RUNNING
    assert evaluate(plan, [busy], 1, LATE_S) is RolloutState.SUCCEEDED


def test_end_no_sooner_than_what_comes_until_the_limit_is_bounded() -> None:
    """A lull lets the new version take over early, and then callers come back.

    Ended in the lull, the old version would be gone and nothing left to hold back with.
    """
    plan = begin_rollout()
    observe_responses(plan)
    plan.begin_final_phase(15.0)
    assert evaluate(plan, [], 0, 16.0) is RolloutState.RUNNING
    assert evaluate(plan, [], 0, LATE_S) is RolloutState.SUCCEEDED


def test_take_over_only_when_the_bound_lasts_to_the_limit() -> None:
    """A version that fails only under load passes a trial with few requests.

    Given all of them by the clock, it has had half of the service's requests before
    anybody knows.
    """
    plan = begin_rollout()
    observe_responses(plan)
    left_s = (0.2 * FEW.requests - FEW.exposed) / 90.0
    assert not may_promote(plan, 13.0)
    assert not may_promote(plan, LIMIT_S - left_s)
    assert may_promote(plan, LIMIT_S - 0.5 * left_s)
    assert not may_promote(plan, LIMIT_S - 0.5 * left_s, per_s=900.0)
    assert not may_promote(plan, LIMIT_S)


def test_take_over_nothing_while_answers_are_missing() -> None:
    """The instance that leads hears of no answer, or the version gives none."""
    plan = begin_rollout()
    assert not may_promote(plan, LIMIT_S - 0.5)
    observe_responses(plan)
    assert may_promote(plan, LIMIT_S - 0.5)
    fresh = begin_rollout(ready_at=LIMIT_S - 2.0)
    observe_responses(fresh)
    assert not may_promote(fresh, LIMIT_S - 0.5)


def test_take_back_what_could_not_take_over_in_time() -> None:
    plan = begin_rollout()
    assert evaluate(plan, [], 0, LIMIT_S - 0.1) is RolloutState.RUNNING
    assert evaluate(plan, [], 0, LIMIT_S + 0.1) is RolloutState.REVERTED


def test_hold_a_suspected_version_on_trial() -> None:
    """Six of sixty answers fail: too few for an alarm, too many to go on."""
    plan = begin_rollout()
    observe_responses(plan, bad=6)
    assert plan.analysis.alarm is None
    assert plan.analysis.looks_worse
    assert not may_promote(plan, LIMIT_S - 0.5)


def test_hold_a_version_that_has_only_failed() -> None:
    """Two requests came to a version that crashes under everything, and both failed."""
    plan = begin_rollout()
    observe_responses(plan, bad=1, seen=1)
    assert not plan.analysis.looks_worse
    observe_responses(plan, bad=1, seen=1)
    assert plan.analysis.looks_worse
    assert not may_promote(plan, LIMIT_S - 0.5)


def test_revert_what_shows_its_faults_only_with_all_of_the_traffic() -> None:
    """Under load one answer in ten fails, in the last second before the limit.

    Written as succeeded then, the old version would be stopped, and every caller left
    with the bad one.
    """
    plan = begin_rollout()
    observe_responses(plan)
    plan.begin_final_phase(LATE_S - 1.0)
    observe_responses(plan, bad=5, seen=40)
    assert plan.analysis.alarm is None
    assert evaluate(plan, [], 0, LATE_S) is RolloutState.REVERTED
