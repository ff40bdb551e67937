"""Tests of the calibration, the shared evidence and the cheapest decisions."""

from __future__ import annotations

import random
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.core.models.calibration import (
    BINS,
    FIRST_PRIOR,
    LAST_PRIOR,
    MAX_RATED,
    SIGNAL_BINS,
    Cell,
    CellKey,
    find_bin,
    fit_chances,
)
from baobabthread.core.models.escalation import (
    Case,
    describe_step,
    find_plan,
    solve_case,
)
from baobabthread.core.models.evidence import MixKey, SharedEvidence

KEY = CellKey(call="draft", version="small-1")
RATED = st.lists(
    st.tuples(st.integers(0, BINS - 1), st.booleans()), min_size=1, max_size=300
)


def rate(evidence: SharedEvidence, *, good: int, bad: int, bin_index: int = 9) -> None:
    for number in range(good + bad):
        evidence.count_rating(KEY, bin_index=bin_index, good=number < good, now=1.0)


def test_bins_rise_with_the_signal_and_keep_a_missing_one_apart() -> None:
    indexes = [find_bin(number / 1000) for number in range(1001)]
    assert indexes == sorted(indexes)
    assert set(indexes) == set(range(SIGNAL_BINS))
    assert find_bin(None) == find_bin(float("nan")) == SIGNAL_BINS


@given(RATED)
def test_chances_never_fall_against_the_signal(rated: list[tuple[int, bool]]) -> None:
    cell = Cell()
    for bin_index, good in rated:
        cell.add_rating(bin_index=bin_index, good=good)
    chances = fit_chances(cell, prior=FIRST_PRIOR)
    assert all(low <= high for low, high in pairwise(chances[:SIGNAL_BINS]))
    assert all(0 <= chance <= 1 for chance in chances)


def test_chances_follow_a_signal_that_boasts() -> None:
    # The engine says 0.9 for answers of which a half are good.
    source = random.Random(3)
    cell = Cell()
    for _ in range(500):
        cell.add_rating(bin_index=find_bin(0.9), good=source.random() < 0.5)
        cell.add_rating(bin_index=find_bin(0.99), good=source.random() < 0.95)
    chances = fit_chances(cell, prior=FIRST_PRIOR)
    assert chances[find_bin(0.9)] == pytest.approx(0.5, abs=0.07)
    assert chances[find_bin(0.99)] == pytest.approx(0.95, abs=0.04)


def test_only_the_strongest_version_is_trusted_before_any_rating() -> None:
    at = find_bin(0.6)
    assert fit_chances(Cell(), prior=FIRST_PRIOR)[at] < 0.5
    assert fit_chances(Cell(), prior=LAST_PRIOR)[at] > 0.9


def test_a_cell_forgets_so_that_a_change_shows() -> None:
    cell = Cell()
    for good in (True, False):
        for _ in range(int(2 * MAX_RATED)):
            cell.add_rating(bin_index=5, good=good)
    assert sum(cell.rated) <= MAX_RATED
    assert fit_chances(cell, prior=FIRST_PRIOR)[5] < 0.3


def test_evidence_from_all_entries_adds_up_whatever_the_order() -> None:
    # Gossip is repeated and overtaken: counts of an older message must not replace
    # those of a newer one, and no message may count twice.
    sender = SharedEvidence()
    rate(sender, good=3, bad=1)
    older = sender.pack()
    rate(sender, good=5, bad=1)
    newer = sender.pack()
    receiver = SharedEvidence()
    rate(receiver, good=1, bad=0)
    for message in (newer, older, newer):
        receiver.merge(origin="entry-2/a", evidence=message, now=2.0)
    total = receiver.find_total(KEY)
    assert (total.rated[9], total.good[9]) == (11, 9)
    assert receiver.count_all_rated() == 11


def test_a_silent_origin_is_forgotten_whole() -> None:
    sender, receiver = SharedEvidence(), SharedEvidence()
    rate(sender, good=4, bad=2)
    receiver.merge(origin="entry-2/a", evidence=sender.pack(), now=0.0)
    receiver.forget_silent(now=10_000.0)
    assert receiver.count_all_rated() == 0


@pytest.mark.parametrize("junk", [b"", b"\xff", b"\x95\x01\x02\x03\x04\x05"])
def test_junk_is_refused(junk: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        SharedEvidence().merge(origin="entry-2/a", evidence=junk, now=0.0)


def test_evidence_of_a_busy_service_stays_small() -> None:
    evidence = SharedEvidence()
    source = random.Random(5)
    for number in range(20_000):
        after = "small-1" if number % 3 else ""
        key = CellKey(call=f"call-{number % 5}", version="large-1", after=after)
        bin_index = source.randrange(BINS)
        evidence.count_answer(key, bin_index=bin_index, tokens=100)
        evidence.count_rating(key, bin_index=bin_index, good=True, now=0.0)
        evidence.count_request(MixKey(key.call, ("small-1", "large-1")))
    assert len(evidence.pack()) < 2500


def two_versions(*, weight: float, cheap: float) -> Case:
    sure = describe_step(cost=10.0, shares=[1.0], chances=[0.99])
    signal = describe_step(cost=1.0, shares=[1 - cheap, cheap], chances=[0.1, 0.95])
    return Case(weight=weight, steps=[[signal, sure], [sure]])


def test_a_plan_meets_the_target_at_less_than_the_strongest_costs() -> None:
    cases = [two_versions(weight=0.7, cheap=0.8), two_versions(weight=0.3, cheap=0.3)]
    plan = find_plan(cases, target=0.9)
    low, high = (
        sum(case.weight * each.quality for case, each in zip(cases, found, strict=True))
        for found in (plan.low, plan.high)
    )
    quality = low + plan.high_share * (high - low)
    assert quality == pytest.approx(0.9, abs=1e-6)
    assert sum(each.cost for each in plan.high) < 20


def test_a_cheap_version_that_seldom_passes_is_skipped() -> None:
    solution = solve_case(two_versions(weight=1.0, cheap=0.02), price=100.0)
    assert solution.following[0] == 1
    solution = solve_case(two_versions(weight=1.0, cheap=0.5), price=100.0)
    assert solution.following[0] == 0


def test_a_target_out_of_reach_takes_the_best_there_is() -> None:
    plan = find_plan([two_versions(weight=1.0, cheap=0.5)], target=0.999)
    assert plan.high_share == 1.0
    assert plan.high[0].quality == pytest.approx(0.99)
