"""Tests of who is held for a row of crashes, and who is not."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.routing.crashes import (
    MAX_CRASHES,
    MIN_CRASHES,
    MIN_CRASHES_IF_AMBIGUOUS,
    RETENTION_S,
    SETTLE_S,
    Crash,
    CrashAnalysis,
    Suspect,
)

LATER_S = SETTLE_S + 0.01


def make_crash(backend: str, *fresh: str, **more: object) -> Crash:
    fields: dict[str, object] = {
        "backend": backend,
        "service": "engine",
        "version": "v1",
        "is_proven": True,
        "fresh": list(fresh),
        "older": [],
    }
    return Crash(**(fields | more))  # type: ignore[arg-type]


def judge(
    ledger: CrashAnalysis,
    now: float = LATER_S,
    *,
    held: frozenset[str] = frozenset(),
    relapsed: frozenset[str] = frozenset(),
    trial: str = "",
) -> list[Suspect]:
    return ledger.find_suspects(
        now,
        quarantined=held,
        previously_quarantined=relapsed,
        is_canary=lambda service, version: version == trial,
    )


def find(crashes: list[Crash], **more: object) -> list[str]:
    """Return who is held once all of these crashes have settled."""
    ledger = CrashAnalysis()
    for crash in crashes:
        ledger.record(crash, 0.0)
    return [s.fingerprint for s in judge(ledger, **more)]  # type: ignore[arg-type]


def test_hold_the_one_that_was_at_all_crashes() -> None:
    crashes = [make_crash("e1", "bad", "a"), make_crash("e2", "bad", "a", "b")]
    assert find(crashes) == []
    assert find([*crashes, make_crash("e3", "bad", "b")]) == ["bad"]


def test_wait_for_the_next_crash_where_two_were_at_all() -> None:
    """A good request is tried again beside the bad one, three times in a row.

    Nothing tells them apart by then. The bad one comes again without it.
    """
    crashes = [make_crash(f"e{n}", "bad", "good") for n in range(MIN_CRASHES)]
    assert find(crashes) == []
    assert find([*crashes, make_crash("e9", "bad", "other")]) == ["bad"]


def test_hold_both_where_they_always_crash_together() -> None:
    crashes = [
        make_crash(f"e{n}", "bad", "worse") for n in range(MIN_CRASHES_IF_AMBIGUOUS)
    ]
    assert len(find(crashes)) == 1
    assert find(crashes, held=frozenset({"bad"})) == []


def test_hold_nobody_for_crashes_that_are_explained() -> None:
    crashes = [make_crash(f"e{n}", "bad", "good") for n in range(MIN_CRASHES)]
    assert find(crashes, held=frozenset({"bad"})) == []


def test_hold_nobody_for_crashes_by_themselves() -> None:
    crashes = [make_crash(f"e{n}", f"a{n}", f"b{n}", f"a{n + 1}") for n in range(20)]
    assert find(crashes) == []


def test_count_one_crash_that_several_instances_saw_once() -> None:
    assert find([make_crash("e1", "bad"), make_crash("e1", "bad")] * 3) == []


def test_wait_until_all_instances_have_told() -> None:
    """The instance that sends a good request is the first to tell of the third crash.

    Judged at once, the good request would be the only one that was at all of them.
    """
    ledger = CrashAnalysis()
    for name in ("e1", "e2"):
        ledger.record(make_crash(name, "good"), 0.0)
        ledger.record(make_crash(name, "bad"), 0.0)
    assert judge(ledger) == []
    ledger.record(make_crash("e3", "good"), 1.0)
    assert not ledger.is_due(1.0 + SETTLE_S / 2)
    assert judge(ledger, 1.0 + SETTLE_S / 2) == []
    ledger.record(make_crash("e3", "bad"), 1.0 + SETTLE_S / 2)
    assert judge(ledger, 1.0 + LATER_S) == []


def test_look_first_at_those_that_began_of_late() -> None:
    crashes = [
        make_crash("e1", "bad", older=["long"]),
        make_crash("e2", "bad", older=["long"]),
        make_crash("e3", "bad", older=["long"]),
    ]
    assert find(crashes) == ["bad"]
    crashes = [make_crash(f"e{n}", older=["long"]) for n in range(3)]
    assert find(crashes) == ["long"]


def test_forget_a_request_that_was_answered() -> None:
    ledger = CrashAnalysis()
    for n in range(3):
        ledger.record(make_crash(f"e{n}", "good"), 0.0)
    ledger.clear("good")
    assert judge(ledger) == []


def test_blame_a_version_that_crashes_under_everything() -> None:
    """A version that was rolled out crashes under whatever it is given.

    Each request that came to it was at three crashes. None is to blame; held, all good
    requests of these minutes would be refused long after the version was taken back.
    """
    crashes = [
        make_crash(f"e{n}", f"good{n // 3}", version="v2", is_proven=False)
        for n in range(9)
    ]
    assert find(crashes) == []


def test_hold_for_a_version_alone_where_it_never_answered() -> None:
    """The same request only, at a version that never answered: either may be to blame.

    It is held as long as there is no other version that might serve it.
    """
    ledger = CrashAnalysis()
    for n in range(3):
        ledger.record(make_crash(f"e{n}", "some", version="v2", is_proven=False), 0.0)
    (suspect,) = judge(ledger)
    assert suspect.versions == ("v2",)


def test_hold_nobody_for_crashes_on_trial_alone() -> None:
    crashes = [make_crash(f"e{n}", "some", version="v2") for n in range(4)]
    assert find(crashes, trial="v2") == []
    assert find([*crashes, make_crash("e9", "some")], trial="v2") == ["some"]


def test_hold_at_the_first_crash_of_a_relapse() -> None:
    crashes = [make_crash("e1", "bad", "good")]
    assert find(crashes, relapsed=frozenset({"bad"})) == ["bad"]


def test_forget_old_crashes() -> None:
    ledger = CrashAnalysis()
    ledger.record(make_crash("e1", "some"), 0.0)
    ledger.record(make_crash("e2", "some"), 0.0)
    ledger.record(make_crash("e3", "some"), RETENTION_S + 1.0)
    assert judge(ledger, RETENTION_S + 1.0 + LATER_S) == []


def test_bound_what_is_kept() -> None:
    ledger = CrashAnalysis()
    for n in range(MAX_CRASHES + 50):
        ledger.record(make_crash(f"e{n}", f"a{n}"), 0.0)
    assert len(ledger._crashes) == MAX_CRASHES
    assert not ledger._pending - ledger._crashes.keys()


@given(
    seed=st.integers(0, 10**9),
    servers=st.integers(3, 60),
    beside=st.integers(0, 40),
    tries=st.integers(1, 3),
)
def test_hold_only_what_crashes_servers(
    seed: int, servers: int, beside: int, tries: int
) -> None:
    """One bad request comes again and again among good ones, each tried a few times.

    Whatever the number of servers and of good requests on them: no good one is held, as
    it is answered or gives up, and the bad one is held after six crashes at the latest.
    """
    rng = random.Random(seed)
    ledger = CrashAnalysis()
    held: set[str] = set()
    moment, crashes, number = 0.0, 0, 0
    again: list[str] = []
    left: dict[str, int] = {}
    while "bad" not in held:
        moment += 1.0
        crashes += 1
        there = [good for good in again if rng.random() < 3 / servers]
        for _ in range(rng.randint(0, beside)):
            number += 1
            there.append(f"good{number}")
        ledger.record(make_crash(f"s{crashes}", "bad", *there), moment)
        again = []
        for good in there:
            left[good] = left.get(good, tries) - 1
            if left[good] > 0:
                again.append(good)
        found = judge(ledger, moment + LATER_S, held=frozenset(held))
        held.update(s.fingerprint for s in found)
        assert crashes <= MIN_CRASHES_IF_AMBIGUOUS
    assert held == {"bad"}


@pytest.mark.parametrize("rounds", [1, 5])
def test_judge_once_for_each_crash(rounds: int) -> None:
    ledger = CrashAnalysis()
    for n in range(rounds):
        ledger.record(make_crash(f"e{n}", "some", f"other{n}"), float(n))
        assert not ledger.is_due(n + SETTLE_S / 2)
        assert ledger.is_due(n + LATER_S)
        judge(ledger, n + LATER_S)
        assert not ledger.is_due(n + LATER_S)


def test_let_the_first_judge_conclude_first() -> None:
    ledger = CrashAnalysis(find_delay=lambda service: 1.0)
    for n in range(3):
        ledger.record(make_crash(f"e{n}", "bad"), 0.0)
    assert not ledger.is_due(LATER_S)
    assert judge(ledger, LATER_S) == []
    assert ledger.is_due(1.0 + LATER_S)
    assert len(judge(ledger, 1.0 + LATER_S)) == 1


def test_count_crashes_of_a_version_that_never_answered_once() -> None:
    ledger = CrashAnalysis()
    for n in range(2):
        ledger.record(make_crash(f"n{n}", "some", version="v2", is_proven=False), 0.0)
    ledger.record(make_crash("n2", "bad", version="v2", is_proven=False), 0.0)
    ledger.record(make_crash("e1", "other"), 0.0)
    assert ledger.list_unproven_crashes(SETTLE_S / 2, quarantined=()) == []
    assert (
        ledger.list_unproven_crashes(LATER_S, quarantined={"bad"})
        == [("engine", "v2")] * 2
    )
    assert ledger.list_unproven_crashes(LATER_S, quarantined=()) == []
