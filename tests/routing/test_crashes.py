"""Tests of which requests are suspected for a series of crashes, and which aren't."""

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


def find_suspects(
    analysis: CrashAnalysis,
    now: float = LATER_S,
    *,
    quarantined: frozenset[str] = frozenset(),
    previously_quarantined: frozenset[str] = frozenset(),
    canary: str = "",
) -> list[Suspect]:
    return analysis.find_suspects(
        now,
        quarantined=quarantined,
        previously_quarantined=previously_quarantined,
        is_canary=lambda service, version: version == canary,
    )


def suspected(crashes: list[Crash], **more: object) -> list[str]:
    """Return the fingerprints of the suspects once all crashes have settled."""
    analysis = CrashAnalysis()
    for crash in crashes:
        analysis.record(crash, 0.0)
    return [s.fingerprint for s in find_suspects(analysis, **more)]  # type: ignore[arg-type]


def test_suspect_the_request_present_at_all_crashes() -> None:
    crashes = [make_crash("e1", "bad", "a"), make_crash("e2", "bad", "a", "b")]
    assert suspected(crashes) == []
    assert suspected([*crashes, make_crash("e3", "bad", "b")]) == ["bad"]


def test_wait_for_the_next_crash_if_two_were_present_at_all() -> None:
    """A good request is retried next to the bad one, three times in a row.

    They are distinguished once the bad one is sent again without the good one.
    """
    crashes = [make_crash(f"e{n}", "bad", "good") for n in range(MIN_CRASHES)]
    assert suspected(crashes) == []
    assert suspected([*crashes, make_crash("e9", "bad", "other")]) == ["bad"]


def test_suspect_one_of_two_requests_present_at_many_crashes() -> None:
    crashes = [
        make_crash(f"e{n}", "bad", "worse") for n in range(MIN_CRASHES_IF_AMBIGUOUS)
    ]
    assert len(suspected(crashes)) == 1
    assert suspected(crashes, quarantined=frozenset({"bad"})) == []


def test_no_suspect_for_crashes_that_are_explained() -> None:
    crashes = [make_crash(f"e{n}", "bad", "good") for n in range(MIN_CRASHES)]
    assert suspected(crashes, quarantined=frozenset({"bad"})) == []


def test_no_suspect_for_unrelated_crashes() -> None:
    crashes = [make_crash(f"e{n}", f"a{n}", f"b{n}", f"a{n + 1}") for n in range(20)]
    assert suspected(crashes) == []


def test_crash_reported_by_several_instances_counts_once() -> None:
    assert suspected([make_crash("e1", "bad"), make_crash("e1", "bad")] * 3) == []


def test_wait_for_the_reports_of_all_instances() -> None:
    """The instance that sent a good request is the first to report the third crash.

    Analyzed at once, the good request would be the only one present at all of them.
    """
    analysis = CrashAnalysis()
    for name in ("e1", "e2"):
        analysis.record(make_crash(name, "good"), 0.0)
        analysis.record(make_crash(name, "bad"), 0.0)
    assert find_suspects(analysis) == []
    analysis.record(make_crash("e3", "good"), 1.0)
    assert not analysis.is_due(1.0 + SETTLE_S / 2)
    assert find_suspects(analysis, 1.0 + SETTLE_S / 2) == []
    analysis.record(make_crash("e3", "bad"), 1.0 + SETTLE_S / 2)
    assert find_suspects(analysis, 1.0 + LATER_S) == []


def test_requests_that_began_recently_are_suspected_first() -> None:
    crashes = [
        make_crash("e1", "bad", older=["long"]),
        make_crash("e2", "bad", older=["long"]),
        make_crash("e3", "bad", older=["long"]),
    ]
    assert suspected(crashes) == ["bad"]
    crashes = [make_crash(f"e{n}", older=["long"]) for n in range(3)]
    assert suspected(crashes) == ["long"]


@pytest.mark.parametrize(("began_at", "is_suspect"), [(0.5, False), (-0.5, True)])
def test_only_a_later_response_clears_a_request(
    began_at: float, is_suspect: bool
) -> None:
    """What was answered before the crashes may have begun to crash servers since."""
    analysis = CrashAnalysis()
    for n in range(3):
        analysis.record(make_crash(f"e{n}", "good"), 0.0)
    analysis.clear("good", began_at)
    assert bool(find_suspects(analysis)) == is_suspect


def test_blame_a_version_that_crashes_under_all_requests() -> None:
    """A new version crashes three times under each of several requests.

    No request is to blame. Quarantined, all of them would be rejected long after the
    version was rolled back.
    """
    crashes = [
        make_crash(f"e{n}", f"good{n // 3}", version="v2", is_proven=False)
        for n in range(9)
    ]
    assert suspected(crashes) == []


def test_suspect_is_bound_to_a_version_that_never_answered() -> None:
    """A version that never answered crashes under one request: either may be at fault.

    The request is quarantined while there is no other version that might serve it.
    """
    analysis = CrashAnalysis()
    for n in range(3):
        analysis.record(make_crash(f"e{n}", "some", version="v2", is_proven=False), 0.0)
    (suspect,) = find_suspects(analysis)
    assert suspect.versions == ("v2",)


def test_no_suspect_for_crashes_of_a_canary_alone() -> None:
    crashes = [make_crash(f"e{n}", "some", version="v2") for n in range(4)]
    assert suspected(crashes, canary="v2") == []
    assert suspected([*crashes, make_crash("e9", "some")], canary="v2") == ["some"]


def test_one_crash_suffices_after_an_earlier_quarantine() -> None:
    crashes = [make_crash("e1", "bad", "good")]
    assert suspected(crashes, previously_quarantined=frozenset({"bad"})) == ["bad"]


def test_old_crashes_are_dropped() -> None:
    analysis = CrashAnalysis()
    analysis.record(make_crash("e1", "some"), 0.0)
    analysis.record(make_crash("e2", "some"), 0.0)
    analysis.record(make_crash("e3", "some"), RETENTION_S + 1.0)
    assert find_suspects(analysis, RETENTION_S + 1.0 + LATER_S) == []


def test_number_of_crashes_is_bounded() -> None:
    analysis = CrashAnalysis()
    for n in range(MAX_CRASHES + 50):
        analysis.record(make_crash(f"e{n}", f"a{n}"), 0.0)
    assert len(analysis._crashes) == MAX_CRASHES
    assert not analysis._pending - analysis._crashes.keys()


@given(
    seed=st.integers(0, 10**9),
    servers=st.integers(3, 60),
    beside=st.integers(0, 40),
    tries=st.integers(1, 3),
)
def test_only_requests_that_crash_servers_are_quarantined(
    seed: int, servers: int, beside: int, tries: int
) -> None:
    """One bad request is sent repeatedly among good ones, each attempted a few times.

    For any number of servers and of good requests on them, no good request is
    quarantined, as it is answered or given up, and the bad one is quarantined after at
    most six crashes.
    """
    rng = random.Random(seed)
    analysis = CrashAnalysis()
    quarantined: set[str] = set()
    now, crashes, number = 0.0, 0, 0
    retried: list[str] = []
    attempts_left: dict[str, int] = {}
    while "bad" not in quarantined:
        now += 1.0
        crashes += 1
        present = [good for good in retried if rng.random() < 3 / servers]
        for _ in range(rng.randint(0, beside)):
            number += 1
            present.append(f"good{number}")
        analysis.record(make_crash(f"s{crashes}", "bad", *present), now)
        retried = []
        for good in present:
            attempts_left[good] = attempts_left.get(good, tries) - 1
            if attempts_left[good] > 0:
                retried.append(good)
        suspects = find_suspects(
            analysis, now + LATER_S, quarantined=frozenset(quarantined)
        )
        quarantined.update(s.fingerprint for s in suspects)
        assert crashes <= MIN_CRASHES_IF_AMBIGUOUS
    assert quarantined == {"bad"}


@pytest.mark.parametrize("rounds", [1, 5])
def test_each_crash_is_analyzed_once(rounds: int) -> None:
    analysis = CrashAnalysis()
    for n in range(rounds):
        analysis.record(make_crash(f"e{n}", "some", f"other{n}"), float(n))
        assert not analysis.is_due(n + SETTLE_S / 2)
        assert analysis.is_due(n + LATER_S)
        find_suspects(analysis, n + LATER_S)
        assert not analysis.is_due(n + LATER_S)


def test_later_owners_wait_for_the_first_one() -> None:
    analysis = CrashAnalysis(find_delay=lambda service: 1.0)
    for n in range(3):
        analysis.record(make_crash(f"e{n}", "bad"), 0.0)
    assert not analysis.is_due(LATER_S)
    assert find_suspects(analysis, LATER_S) == []
    assert analysis.is_due(1.0 + LATER_S)
    assert len(find_suspects(analysis, 1.0 + LATER_S)) == 1


def test_unproven_crashes_are_listed_once() -> None:
    analysis = CrashAnalysis()
    for n in range(2):
        analysis.record(make_crash(f"n{n}", "some", version="v2", is_proven=False), 0.0)
    analysis.record(make_crash("n2", "bad", version="v2", is_proven=False), 0.0)
    analysis.record(make_crash("e1", "other"), 0.0)
    assert analysis.list_unproven_crashes(SETTLE_S / 2, quarantined=()) == []
    assert (
        analysis.list_unproven_crashes(LATER_S, quarantined={"bad"})
        == [("engine", "v2")] * 2
    )
    assert analysis.list_unproven_crashes(LATER_S, quarantined=()) == []
