"""Tests of the totals by which a leader admits sessions and promotes a version."""

from __future__ import annotations

from baobabthread.routing.exposure import Exposure
from baobabthread.routing.progress import Progress
from baobabthread.routing.rollouttotals import ADMIT_WITHOUT_ALL_S, RolloutTotals
from tests.routing.rollouts import begin_rollout

NAMES = [f"i{number}" for number in range(20)]


def apply_reports(
    totals: RolloutTotals, count: int, now: float, *, exposed: int = 0
) -> None:
    exposure = Exposure(requests=100, exposed=exposed, attempts=100)
    totals.update(begin_rollout(), [(make_progress(), exposure)] * count, now)


def make_progress(*, has_target_servers: bool = True) -> Progress:
    return Progress(
        service="s",
        offset=1,
        elapsed_s=1.0,
        share=0.0,
        old_running=0,
        has_target_servers=has_target_servers,
    )


def make_totals(now: float = 0.0) -> RolloutTotals:
    totals = RolloutTotals()
    totals.update_members(NAMES, now)
    return totals


def test_no_admission_before_all_instances_know_the_order() -> None:
    """An instance without the order sends moved sessions to the old version."""
    totals, plan = make_totals(), begin_rollout(ready_at=1.0)
    apply_reports(totals, 18, 1.0)
    assert not totals.may_admit(plan, 1.0)
    apply_reports(totals, 19, 1.1)
    assert totals.may_admit(plan, 1.1)
    apply_reports(totals, 18, 1.2)
    assert not totals.may_admit(plan, 1.2)
    assert totals.may_admit(plan, 1.0 + ADMIT_WITHOUT_ALL_S)


def test_no_admission_before_all_instances_know_the_new_servers() -> None:
    totals, plan = make_totals(), begin_rollout(ready_at=1.0)
    exposure = Exposure(requests=100, attempts=100)
    reports = [(make_progress(), exposure)] * 18
    reports.append((make_progress(has_target_servers=False), exposure))
    totals.update(plan, reports, 1.5)
    assert not totals.may_admit(plan, 1.5)


def test_no_admission_while_many_instances_are_cut_off() -> None:
    """They may have sessions in use that would look new to the others."""
    totals, plan = make_totals(), begin_rollout()
    apply_reports(totals, 19, 1.0)
    totals.update_members(NAMES[:17], 5.0)
    apply_reports(totals, 19, 5.0)
    assert not totals.may_admit(plan, 5.0)
    totals.update_members(NAMES[:19], 6.0)
    apply_reports(totals, 19, 6.0)
    assert totals.may_admit(plan, 6.0)


def test_no_admission_beyond_the_planned_exposure() -> None:
    totals, plan = make_totals(), begin_rollout()
    apply_reports(totals, 19, 5.0, exposed=1)
    assert totals.may_admit(plan, 5.0)
    apply_reports(totals, 19, 6.0, exposed=30)
    assert not totals.may_admit(plan, 6.0)


def test_promotion_needs_reports_of_half_of_the_members() -> None:
    """Isolated instances would each promote the version by their own totals."""
    totals, plan = make_totals(), begin_rollout()
    totals.update_members(NAMES, 2.0)
    apply_reports(totals, 8, 20.0)
    assert not totals.has_quorum(plan, 20.0)
    apply_reports(totals, 9, 20.0)
    assert totals.has_quorum(plan, 20.0)
    totals.update_members(NAMES[:1], 20.5)
    apply_reports(totals, 0, 20.5)
    assert not totals.has_quorum(plan, 20.5)


def test_final_budget_is_divided_among_the_instances() -> None:
    totals, plan = make_totals(), begin_rollout()
    apply_reports(totals, 19, 20.0)
    quota = totals.find_final_quota(plan, 23.0)
    assert quota > 0.0
    expected = totals.find(plan).find_final_budget(elapsed_s=23.0, left_s=1.0)
    assert quota * len(NAMES) == expected
