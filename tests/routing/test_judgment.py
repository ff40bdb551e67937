"""Tests of when a version takes over, and how a roll-out ends."""

from __future__ import annotations

import msgspec

from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.exposure import Exposure, Totals
from baobabthread.routing.judgment import find_end_s, judge_rollout, may_begin_final
from baobabthread.routing.progress import Progress
from baobabthread.routing.versions import VersionPlan
from tests.routing.rollouts import (
    BOUNDS,
    LIMIT_S,
    SESSIONS,
    begin,
    count_new,
    prove,
)

LATE_S = LIMIT_S - find_end_s(LIMIT_S) + 0.01
"""Time from which on a version that has taken over succeeds whatever still runs."""


FEW = Exposure(requests=2000, exposed=100)


def add_up(*, per_s: float = 90.0) -> Totals:
    totals = Totals(bounds=BOUNDS)
    earlier = msgspec.structs.replace(FEW, requests=FEW.requests - int(per_s))
    totals.note([earlier], 9.0)
    totals.note([FEW], 10.0)
    return totals


def may_take_over(plan: VersionPlan, now: float, *, per_s: float = 90.0) -> bool:
    return may_begin_final(plan, add_up(per_s=per_s), now)


def judge(
    plan: VersionPlan, others: list[Progress], members: int, now: float
) -> RolloutState:
    return judge_rollout(plan, others, members, now, totals=add_up())


def test_stop_at_once_on_an_alarm_of_another_instance() -> None:
    plan = begin()
    plan.begin_final(13.0)
    assert count_new(plan, 13.5) == len(SESSIONS)
    word = Progress(
        service="s", number=1, elapsed_s=13.0, share=0.3, old_running=0, alarm="errors"
    )
    plan.take_progress(word, 13.6)
    assert count_new(plan, 13.7) == 0
    assert judge(plan, [], 0, 13.7) is RolloutState.REVERTED


def test_succeed_when_nothing_runs_on_the_old_version_anywhere() -> None:
    """The old version is stopped without draining when this is written.

    An instance that still streams from it would see its callers cut.
    """
    plan = begin()
    prove(plan)
    now = LATE_S - 0.05
    plan.begin_final(now - 1.0)
    plan.started_old("x", now - 0.9)
    done = Progress(service="s", number=1, elapsed_s=15.0, share=1.0, old_running=0)
    busy = Progress(service="s", number=1, elapsed_s=15.0, share=1.0, old_running=2)
    assert judge(plan, [done], 1, now) is RolloutState.RUNNING
    plan.ended_old("x", now)
    assert judge(plan, [busy], 1, now) is RolloutState.RUNNING
    assert judge(plan, [done], 2, now) is RolloutState.RUNNING
    assert judge(plan, [done], 1, now) is RolloutState.SUCCEEDED


def test_end_before_the_time_limit_though_something_runs_on() -> None:
    plan = begin()
    prove(plan)
    plan.begin_final(LATE_S - 1.0)
    busy = Progress(service="s", number=1, elapsed_s=20.0, share=1.0, old_running=2)
    assert judge(plan, [busy], 1, LATE_S - 0.05) is RolloutState.RUNNING
    assert judge(plan, [busy], 1, LATE_S) is RolloutState.SUCCEEDED


def test_end_no_sooner_than_what_comes_until_the_limit_is_bounded() -> None:
    """A lull lets the new version take over early, and then callers come back.

    Ended in the lull, the old version would be gone and nothing left to hold back with.
    """
    plan = begin()
    prove(plan)
    plan.begin_final(15.0)
    assert judge(plan, [], 0, 16.0) is RolloutState.RUNNING
    assert judge(plan, [], 0, LATE_S) is RolloutState.SUCCEEDED


def test_take_over_only_when_the_bound_lasts_to_the_limit() -> None:
    """A version that fails only under load passes a trial with few requests.

    Given all of them by the clock, it has had half of the service's requests before
    anybody knows.
    """
    plan = begin()
    prove(plan)
    left_s = (0.2 * FEW.requests - FEW.exposed) / 90.0
    assert not may_take_over(plan, 13.0)
    assert not may_take_over(plan, LIMIT_S - left_s)
    assert may_take_over(plan, LIMIT_S - 0.5 * left_s)
    assert not may_take_over(plan, LIMIT_S - 0.5 * left_s, per_s=900.0)
    assert not may_take_over(plan, LIMIT_S)


def test_take_over_nothing_while_answers_are_missing() -> None:
    """The instance that leads hears of no answer, or the version gives none."""
    plan = begin()
    assert not may_take_over(plan, LIMIT_S - 0.5)
    prove(plan)
    assert may_take_over(plan, LIMIT_S - 0.5)
    fresh = begin(ready_at=LIMIT_S - 2.0)
    prove(fresh)
    assert not may_take_over(fresh, LIMIT_S - 0.5)


def test_take_back_what_could_not_take_over_in_time() -> None:
    plan = begin()
    assert judge(plan, [], 0, LIMIT_S - 0.1) is RolloutState.RUNNING
    assert judge(plan, [], 0, LIMIT_S + 0.1) is RolloutState.REVERTED


def test_hold_a_suspected_version_on_trial() -> None:
    """Six of sixty answers fail: too few for an alarm, too many to go on."""
    plan = begin()
    prove(plan, bad=6)
    assert plan.trial.alarm is None
    assert plan.trial.looks_worse
    assert not may_take_over(plan, LIMIT_S - 0.5)


def test_hold_a_version_that_has_only_failed() -> None:
    """Two requests came to a version that crashes under everything, and both failed."""
    plan = begin()
    prove(plan, bad=1, seen=1)
    assert not plan.trial.looks_worse
    prove(plan, bad=1, seen=1)
    assert plan.trial.looks_worse
    assert not may_take_over(plan, LIMIT_S - 0.5)


def test_revert_what_shows_its_faults_only_with_all_of_the_traffic() -> None:
    """Under load one answer in ten fails, in the last second before the limit.

    Written as succeeded then, the old version would be stopped, and every caller left
    with the bad one.
    """
    plan = begin()
    prove(plan)
    plan.begin_final(LATE_S - 1.0)
    prove(plan, bad=5, seen=40)
    assert plan.trial.alarm is None
    assert judge(plan, [], 0, LATE_S) is RolloutState.REVERTED
