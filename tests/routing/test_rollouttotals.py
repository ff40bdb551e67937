"""Tests of when a leader lets sessions in, and a version take over."""

from __future__ import annotations

from baobabthread.routing.exposure import Exposure
from baobabthread.routing.progress import Progress
from baobabthread.routing.rollouttotals import ADMIT_WITHOUT_ALL_S, RolloutTotals
from tests.routing.rollouts import begin_rollout

NAMES = [f"i{number}" for number in range(20)]


def report(sums: RolloutTotals, count: int, now: float, *, exposed: int = 0) -> None:
    exposure = Exposure(requests=100, exposed=exposed, attempts=100)
    sums.update(begin_rollout(), [(make_progress(), exposure)] * count, now)


def make_progress(*, has_begun: bool = True) -> Progress:
    return Progress(
        service="s",
        number=1,
        elapsed_s=1.0,
        share=0.0,
        old_running=0,
        has_target_servers=has_begun,
    )


def make_totals(now: float = 0.0) -> RolloutTotals:
    sums = RolloutTotals()
    sums.update_members(NAMES, now)
    return sums


def test_let_nobody_in_before_all_know_the_order() -> None:
    """An instance that has not read it yet sends moved sessions to the old version."""
    sums, plan = make_totals(), begin_rollout(ready_at=1.0)
    report(sums, 18, 1.0)
    assert not sums.may_admit(plan, 1.0)
    report(sums, 19, 1.1)
    assert sums.may_admit(plan, 1.1)
    report(sums, 18, 1.2)
    assert not sums.may_admit(plan, 1.2)
    assert sums.may_admit(plan, 1.0 + ADMIT_WITHOUT_ALL_S)


def test_let_nobody_in_before_all_know_the_new_servers() -> None:
    sums, plan = make_totals(), begin_rollout(ready_at=1.0)
    exposure = Exposure(requests=100, attempts=100)
    words = [(make_progress(), exposure)] * 18
    words.append((make_progress(has_begun=False), exposure))
    sums.update(plan, words, 1.5)
    assert not sums.may_admit(plan, 1.5)


def test_let_nobody_in_while_many_are_cut_off() -> None:
    """They may have sessions in use that would seem to begin anew."""
    sums, plan = make_totals(), begin_rollout()
    report(sums, 19, 1.0)
    sums.update_members(NAMES[:17], 5.0)
    report(sums, 19, 5.0)
    assert not sums.may_admit(plan, 5.0)
    sums.update_members(NAMES[:19], 6.0)
    report(sums, 19, 6.0)
    assert sums.may_admit(plan, 6.0)


def test_let_nobody_in_beyond_the_plan() -> None:
    sums, plan = make_totals(), begin_rollout()
    report(sums, 19, 5.0, exposed=1)
    assert sums.may_admit(plan, 5.0)
    report(sums, 19, 6.0, exposed=30)
    assert not sums.may_admit(plan, 6.0)


def test_take_over_only_where_half_of_the_members_are_heard() -> None:
    """Instances that hear nobody each let the version take over by their own sums."""
    sums, plan = make_totals(), begin_rollout()
    sums.update_members(NAMES, 2.0)
    report(sums, 8, 20.0)
    assert not sums.has_quorum(plan, 20.0)
    report(sums, 9, 20.0)
    assert sums.has_quorum(plan, 20.0)
    sums.update_members(NAMES[:1], 20.5)
    report(sums, 0, 20.5)
    assert not sums.has_quorum(plan, 20.5)


def test_divide_the_end_among_those_that_decide() -> None:
    sums, plan = make_totals(), begin_rollout()
    report(sums, 19, 20.0)
    part = sums.find_final_quota(plan, 23.0)
    assert part > 0.0
    expected = sums.find(plan).find_final_budget(elapsed_s=23.0, left_s=1.0)
    assert part * len(NAMES) == expected
