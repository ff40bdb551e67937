"""Tests of promotion and of the outcome of roll-outs."""

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
"""Time from which a promoted version succeeds even if old requests still run."""


FEW_EXPOSED = Exposure(requests=2000, exposed=100)


def make_totals(*, per_s: float = 90.0) -> ExposureTotals:
    totals = ExposureTotals(bounds=BOUNDS)
    earlier = msgspec.structs.replace(
        FEW_EXPOSED, requests=FEW_EXPOSED.requests - int(per_s)
    )
    totals.record([earlier], 9.0)
    totals.record([FEW_EXPOSED], 10.0)
    return totals


def may_promote(plan: VersionPlan, now: float, *, per_s: float = 90.0) -> bool:
    return may_begin_final_phase(plan, make_totals(per_s=per_s), now)


def evaluate(
    plan: VersionPlan, others: list[Progress], members: int, now: float
) -> RolloutState:
    return evaluate_rollout(plan, others, members, now, totals=make_totals())


def test_alarm_of_another_instance_rolls_back_at_once() -> None:
    plan = begin_rollout()
    plan.begin_final_phase(13.0)
    assert count_new(plan, 13.5) == len(SESSIONS)
    report = Progress(
        service="s", offset=1, elapsed_s=13.0, share=0.3, old_running=0, alarm="errors"
    )
    plan.apply_progress(report, 13.6)
    assert count_new(plan, 13.7) == 0
    assert evaluate(plan, [], 0, 13.7) is RolloutState.REVERTED


def test_success_requires_that_nothing_runs_on_the_old_version() -> None:
    """Success stops the old version without draining.

    Streams that still run on it at any instance would be cut.
    """
    plan = begin_rollout()
    observe_responses(plan)
    now = LATE_S - 0.05
    plan.begin_final_phase(now - 1.0)
    plan.record_old_started("x", now - 0.9)
    done = Progress(service="s", offset=1, elapsed_s=15.0, share=1.0, old_running=0)
    busy = Progress(service="s", offset=1, elapsed_s=15.0, share=1.0, old_running=2)
    assert evaluate(plan, [done], 1, now) is RolloutState.RUNNING
    plan.record_old_ended("x", now)
    assert evaluate(plan, [busy], 1, now) is RolloutState.RUNNING
    assert evaluate(plan, [done], 2, now) is RolloutState.RUNNING
    assert evaluate(plan, [done], 1, now) is RolloutState.SUCCEEDED


def test_complete_before_the_time_limit_with_requests_running() -> None:
    plan = begin_rollout()
    observe_responses(plan)
    plan.begin_final_phase(LATE_S - 1.0)
    busy = Progress(service="s", offset=1, elapsed_s=20.0, share=1.0, old_running=2)
    assert evaluate(plan, [busy], 1, LATE_S - 0.05) is RolloutState.RUNNING
    assert evaluate(plan, [busy], 1, LATE_S) is RolloutState.SUCCEEDED


def test_completion_waits_until_the_remaining_exposure_is_bounded() -> None:
    """The version is promoted early, in a lull, after which the load returns.

    Completed in the lull, the old version would be stopped and could not take the
    requests that exceed the bound.
    """
    plan = begin_rollout()
    observe_responses(plan)
    plan.begin_final_phase(15.0)
    assert evaluate(plan, [], 0, 16.0) is RolloutState.RUNNING
    assert evaluate(plan, [], 0, LATE_S) is RolloutState.SUCCEEDED


def test_promotion_requires_budget_until_the_time_limit() -> None:
    """A version that fails only under load passes as a canary with few requests.

    Promoted at a fixed time, it would receive half of the service's requests before its
    faults are known.
    """
    plan = begin_rollout()
    observe_responses(plan)
    left_s = (0.2 * FEW_EXPOSED.requests - FEW_EXPOSED.exposed) / 90.0
    assert not may_promote(plan, 13.0)
    assert not may_promote(plan, LIMIT_S - left_s)
    assert may_promote(plan, LIMIT_S - 0.5 * left_s)
    assert not may_promote(plan, LIMIT_S - 0.5 * left_s, per_s=900.0)
    assert not may_promote(plan, LIMIT_S)


def test_no_promotion_while_responses_are_missing() -> None:
    """The leader learns of no responses, or the version gives none."""
    plan = begin_rollout()
    assert not may_promote(plan, LIMIT_S - 0.5)
    observe_responses(plan)
    assert may_promote(plan, LIMIT_S - 0.5)
    fresh = begin_rollout(ready_at=LIMIT_S - 2.0)
    observe_responses(fresh)
    assert not may_promote(fresh, LIMIT_S - 0.5)


def test_version_not_promoted_in_time_is_rolled_back() -> None:
    plan = begin_rollout()
    assert evaluate(plan, [], 0, LIMIT_S - 0.1) is RolloutState.RUNNING
    assert evaluate(plan, [], 0, LIMIT_S + 0.1) is RolloutState.REVERTED


def test_suspicious_version_is_not_promoted() -> None:
    """Six of sixty responses fail: too few for an alarm, too many for promotion."""
    plan = begin_rollout()
    observe_responses(plan, bad=6)
    assert plan.analysis.alarm is None
    assert plan.analysis.looks_worse
    assert not may_promote(plan, LIMIT_S - 0.5)


def test_version_with_only_failures_is_not_promoted() -> None:
    """A version that crashes on every request received two, and both failed."""
    plan = begin_rollout()
    observe_responses(plan, bad=1, seen=1)
    assert not plan.analysis.looks_worse
    observe_responses(plan, bad=1, seen=1)
    assert plan.analysis.looks_worse
    assert not may_promote(plan, LIMIT_S - 0.5)


def test_failures_in_the_final_phase_roll_back() -> None:
    """One response in ten fails under load, in the last second before the limit.

    If the roll-out succeeded, the old version would be stopped and all callers would be
    left with the bad one.
    """
    plan = begin_rollout()
    observe_responses(plan)
    plan.begin_final_phase(LATE_S - 1.0)
    observe_responses(plan, bad=5, seen=40)
    assert plan.analysis.alarm is None
    assert evaluate(plan, [], 0, LATE_S) is RolloutState.REVERTED
