"""Tests of when a leader lets sessions in, and a version take over."""

from __future__ import annotations

from baobabthread.routing.exposure import Exposure
from baobabthread.routing.progress import Progress
from baobabthread.routing.trialsums import KNOWN_S, TrialSums
from tests.routing.rollouts import begin

NAMES = [f"i{number}" for number in range(20)]


def tell(sums: TrialSums, count: int, now: float, *, exposed: int = 0) -> None:
    exposure = Exposure(requests=100, exposed=exposed, attempts=100)
    sums.count(begin(), [(make_progress(), exposure)] * count, now)


def make_progress(*, has_begun: bool = True) -> Progress:
    return Progress(
        service="s",
        number=1,
        elapsed_s=1.0,
        share=0.0,
        old_running=0,
        has_begun=has_begun,
    )


def make_sums(now: float = 0.0) -> TrialSums:
    sums = TrialSums()
    sums.note_members(NAMES, now)
    return sums


def test_let_nobody_in_before_all_know_the_order() -> None:
    """An instance that has not read it yet sends moved sessions to the old version."""
    sums, plan = make_sums(), begin(ready_at=1.0)
    tell(sums, 18, 1.0)
    assert not sums.admits(plan, 1.0)
    tell(sums, 19, 1.1)
    assert sums.admits(plan, 1.1)
    tell(sums, 18, 1.2)
    assert not sums.admits(plan, 1.2)
    assert sums.admits(plan, 1.0 + KNOWN_S)


def test_let_nobody_in_before_all_know_the_new_servers() -> None:
    sums, plan = make_sums(), begin(ready_at=1.0)
    exposure = Exposure(requests=100, attempts=100)
    words = [(make_progress(), exposure)] * 18
    words.append((make_progress(has_begun=False), exposure))
    sums.count(plan, words, 1.5)
    assert not sums.admits(plan, 1.5)


def test_let_nobody_in_while_many_are_cut_off() -> None:
    """They may have sessions in use that would seem to begin anew."""
    sums, plan = make_sums(), begin()
    tell(sums, 19, 1.0)
    sums.note_members(NAMES[:17], 5.0)
    tell(sums, 19, 5.0)
    assert not sums.admits(plan, 5.0)
    sums.note_members(NAMES[:19], 6.0)
    tell(sums, 19, 6.0)
    assert sums.admits(plan, 6.0)


def test_let_nobody_in_beyond_the_plan() -> None:
    sums, plan = make_sums(), begin()
    tell(sums, 19, 5.0, exposed=1)
    assert sums.admits(plan, 5.0)
    tell(sums, 19, 6.0, exposed=30)
    assert not sums.admits(plan, 6.0)


def test_take_over_only_where_half_of_the_members_are_heard() -> None:
    """Instances that hear nobody each let the version take over by their own sums."""
    sums, plan = make_sums(), begin()
    sums.note_members(NAMES, 2.0)
    tell(sums, 8, 20.0)
    assert not sums.hears_enough(plan, 20.0)
    tell(sums, 9, 20.0)
    assert sums.hears_enough(plan, 20.0)
    sums.note_members(NAMES[:1], 20.5)
    tell(sums, 0, 20.5)
    assert not sums.hears_enough(plan, 20.5)


def test_divide_the_end_among_those_that_decide() -> None:
    sums, plan = make_sums(), begin()
    tell(sums, 19, 20.0)
    part = sums.find_end_part(plan, 23.0)
    assert part > 0.0
    expected = sums.find(plan).find_end_room(elapsed_s=23.0, left_s=1.0)
    assert part * len(NAMES) == expected
