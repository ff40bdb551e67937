"""Tests of the search for prompt parts that crash servers, among sound ones."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread.routing.crashes import (
    MIN_CRASHES,
    MIN_CRASHES_IF_AMBIGUOUS,
    MIN_CRASHES_IF_PART_AMBIGUOUS,
    Crash,
    CrashAnalysis,
    CrashedRequest,
    Suspect,
)
from baobabthread.routing.fingerprints import (
    MAX_PARTS,
    fingerprint_parts,
    join_features,
)
from baobabthread.routing.quarantine import TENTATIVE_S, Quarantine
from baobabthread.routing.table import PromptPart

SENT_S = 0.1
"""Time from sending a request to the crash under it."""
GAP_S = 1.0
"""Time between two crashes."""
MANY_SERVERS = 100


def name(id: str) -> str:
    """Return the fingerprint of a part."""
    own = PromptPart(id="own", tokens=1)
    return fingerprint_parts((PromptPart(id=id, tokens=1), own))[0]


def make_crash(
    backend: str, *prompts: str, sent_s: float = SENT_S, **more: object
) -> Crash:
    """Return a report; each prompt lists the parts of one request, as in `a/b`."""
    parts = sorted({name(part) for prompt in prompts for part in prompt.split("/")})
    fields: dict[str, object] = {
        "backend": backend,
        "service": "engine",
        "version": "v1",
        "is_proven": True,
        "fresh": [f"{backend}-{n}" for n in range(len(prompts))],
        "older": [],
        "parts": parts,
        "requests": [
            CrashedRequest(
                sent_s, [parts.index(name(part)) for part in prompt.split("/")]
            )
            for prompt in prompts
        ],
    }
    return Crash(**(fields | more))  # type: ignore[arg-type]


def make_analysis(*crashes: Crash, left: int = MANY_SERVERS) -> CrashAnalysis:
    """Return an analysis of crashes, one after the other."""
    analysis = CrashAnalysis(count_backends=lambda service, crashed: left)
    for number, crash in enumerate(crashes):
        analysis.record(crash, GAP_S * number)
    return analysis


def find(
    analysis: CrashAnalysis, now: float = 100.0, *, canary: str = ""
) -> list[Suspect]:
    return analysis.find_suspects(
        now,
        quarantined=(),
        previously_quarantined=(),
        is_canary=lambda service, version: version == canary,
    )


def list_names(suspects: list[Suspect]) -> list[str]:
    return [suspect.fingerprint for suspect in suspects]


@pytest.mark.parametrize(
    "prompt", ["bad/{n}", "a/bad/{n}", "a/b/bad"], ids=["first", "middle", "last"]
)
def test_suspect_the_part_that_new_requests_share(prompt: str) -> None:
    """Requests that are alike in one part only are each taken for a new cause."""
    crashes = [
        make_crash(f"e{n}", prompt.format(n=n), f"a/b{n}") for n in range(MIN_CRASHES)
    ]
    analysis = make_analysis(*crashes)
    for part in ("a", "b"):
        analysis.clear(name(part), 10.0)
    (suspect,) = find(analysis)
    assert suspect.fingerprint == name("bad")
    assert not suspect.is_tentative
    assert len(suspect.backends) == MIN_CRASHES


def test_hold_parts_together_that_always_came_together() -> None:
    """A sound first part is held alone though requests without it crash nothing."""
    crashes = [make_crash(f"e{n}", "a/bad", f"c{n}") for n in range(MIN_CRASHES)]
    (suspect,) = find(make_analysis(*crashes))
    assert suspect.fingerprint == join_features([name("a"), name("bad")])


def make_row(*others: str, count: int = 5) -> list[Crash]:
    """Return crashes under one request's repeats, each beside one of the others."""
    return [
        make_crash(
            f"e{n}",
            "a/bad/c",
            *others[n : n + 1],
            f"sound{n}",
            fresh=["r", f"o{n}", f"s{n}"],
        )
        for n in range(count)
    ]


def test_name_the_part_that_other_requests_had_too() -> None:
    """All parts of a request that is repeated are held, whichever the cause is."""
    analysis = make_analysis(*make_row("d/bad", "f/bad", "g/bad"))
    suspects = {suspect.fingerprint: suspect for suspect in find(analysis)}
    suspect = suspects[join_features(map(name, ("a", "bad", "c")))]
    assert suspect.likely == name("bad")
    assert not suspect.is_tentative


@pytest.mark.parametrize(
    "others",
    [
        ("d/bad", "f/bad"),
        ("d/bad", "d/a", "f/c"),
        ("d/a/bad/c", "f/a/bad/c", "g/a/bad/c"),
    ],
    ids=["two", "each another", "all"],
)
def test_name_no_part_that_few_others_had(others: tuple[str, ...]) -> None:
    suspects = find(make_analysis(*make_row(*others)))
    assert join_features(map(name, ("a", "bad", "c"))) in list_names(suspects)
    assert not any(suspect.likely for suspect in suspects)


def test_name_no_part_that_one_other_repeats() -> None:
    """A sound request that is repeated meets several crashes whatever their cause."""
    crashes = [
        msgspec.structs.replace(crash, fresh=["r", "other", crash.fresh[-1]])
        for crash in make_row(*["d/bad"] * 3)
    ]
    suspects = find(make_analysis(*crashes))
    assert join_features(map(name, ("a", "bad", "c"))) in list_names(suspects)
    assert not any(suspect.likely for suspect in suspects)


def test_name_no_part_that_was_answered_shortly_before() -> None:
    analysis = make_analysis(*make_row("d/a", "f/a", "g/a"))
    analysis.clear(name("a"), -1.0)
    suspects = find(analysis)
    assert join_features(map(name, ("a", "bad", "c"))) in list_names(suspects)
    assert not any(suspect.likely for suspect in suspects)


def test_clear_parts_by_later_answers_only() -> None:
    """A part that was sound for long lives on its good name as it crashes servers."""
    crashes = [make_crash(f"e{n}", "bad", f"c{n}") for n in range(MIN_CRASHES)]
    analysis = make_analysis(*crashes)
    analysis.clear(name("bad"), -0.5)
    assert list_names(find(analysis)) == [name("bad")]
    analysis.clear(name("bad"), 50.0)
    assert find(analysis) == []


def test_suspect_two_parts_at_once() -> None:
    crashes = [
        make_crash(f"e{n}", f"a/{'bad' if n % 2 else 'worse'}", f"a/c{n}")
        for n in range(2 * MIN_CRASHES)
    ]
    analysis = make_analysis(*crashes)
    analysis.clear(name("a"), 50.0)
    assert set(list_names(find(analysis))) == {name("bad"), name("worse")}


def test_suspect_no_part_of_servers_that_are_lost_together() -> None:
    """A popular part is on all servers of a failure domain that loses power."""
    analysis = CrashAnalysis(count_backends=lambda service, crashed: MANY_SERVERS)
    for n in range(10):
        analysis.record(make_crash(f"e{n}", "a/popular", f"a/c{n}", sent_s=1.0), 0.0)
    assert find(analysis) == []


@pytest.mark.parametrize(
    ("others", "count"), [(["{n}"], MIN_CRASHES), (["b"], MIN_CRASHES_IF_AMBIGUOUS)]
)
def test_hold_a_request_briefly_if_its_servers_were_lost_together(
    others: list[str], count: int
) -> None:
    """A failure domain loses power while many callers send the same request."""
    analysis = CrashAnalysis(count_backends=lambda service, crashed: MANY_SERVERS)
    for n in range(count):
        fresh = ["hot", *(other.format(n=n) for other in others)]
        crash = make_crash(f"e{n}", "a", "a", sent_s=1.0, fresh=fresh, parts=[])
        analysis.record(crash, 0.01 * n)
    (suspect,) = find(analysis)
    assert suspect.is_tentative
    entry = Quarantine().add(
        suspect.fingerprint,
        "engine",
        (),
        100.0,
        is_tentative=suspect.is_tentative,
        is_simultaneous=suspect.is_simultaneous,
    )
    assert entry.left_s == TENTATIVE_S[0]


def test_hold_a_request_for_long_that_crashes_one_server_after_the_other() -> None:
    """Copies that come at once are sent on, and crash further servers."""
    analysis = CrashAnalysis(count_backends=lambda service, crashed: MANY_SERVERS)
    for n, sent_s in enumerate([1.0, 1.0, SENT_S]):
        crash = make_crash(f"e{n}", "a", sent_s=sent_s, fresh=["bad"], parts=[])
        analysis.record(crash, GAP_S if sent_s == SENT_S else 0.0)
    (suspect,) = find(analysis)
    assert (suspect.is_tentative, suspect.is_simultaneous) == (False, False)


def test_hold_a_part_tentatively_if_few_servers_are_left() -> None:
    """Nobody is left to answer sound requests with parts that were on all servers."""
    crashes = [make_crash(f"e{n}", "some", f"c{n}") for n in range(MIN_CRASHES)]
    (suspect,) = find(make_analysis(*crashes, left=1))
    assert suspect.is_tentative


def test_suspect_a_part_of_all_requests_last() -> None:
    """The system prompt of all requests explains more crashes than any cause."""
    crashes = [
        make_crash(f"e{n}", f"system/{'bad' if n % 2 else 'worse'}", f"system/c{n}")
        for n in range(2 * MIN_CRASHES)
    ]
    found = list_names(find(make_analysis(*crashes)))
    assert name("system") not in found
    assert len(found) == 2


@pytest.mark.parametrize(
    ("count", "is_found"),
    [
        (MIN_CRASHES_IF_PART_AMBIGUOUS - 1, False),
        (MIN_CRASHES_IF_PART_AMBIGUOUS, True),
    ],
)
def test_wait_for_more_crashes_under_parts_that_stand_alone(
    count: int, is_found: bool
) -> None:
    """Where nothing else is asked for, servers may crash by themselves as well."""
    analysis = make_analysis(*(make_crash(f"e{n}", "some") for n in range(count)))
    suspects = find(analysis)
    assert bool(suspects) == is_found
    assert all(suspect.is_tentative for suspect in suspects)


def test_blame_no_part_for_crashes_of_a_canary_alone() -> None:
    crashes = [
        make_crash(f"e{n}", "system", "system", version="v2")
        for n in range(2 * MIN_CRASHES_IF_PART_AMBIGUOUS)
    ]
    assert find(make_analysis(*crashes), canary="v2") == []


def test_blame_no_canary_for_a_part_that_crashes_other_versions_too() -> None:
    """A sound version is taken back as a part crashes its servers like all others."""
    crashes = [make_crash("o1", "a/bad"), make_crash("o2", "a/bad")]
    crashes += [make_crash("n1", "a/bad", version="v2", is_proven=False)]
    analysis = make_analysis(*crashes)
    analysis.clear(name("a"), 50.0)
    assert analysis.list_unproven_crashes(100.0, quarantined=()) == []


def test_relapse_only_by_requests_that_were_sent_since() -> None:
    """A request that ran when its part was held convicts it by another one's crash."""
    crashes = [make_crash(f"e{n}", "some", f"c{n}") for n in range(MIN_CRASHES)]
    analysis = make_analysis(*crashes, make_crash("e9", "some", sent_s=20.0))
    held: dict[str, object] = {
        "quarantined": (),
        "previously_quarantined": {name("some")},
        "is_canary": lambda service, version: False,
        "imposed_at": {name("some"): 2.5},
    }
    assert analysis.find_suspects(100.0, **held) == []  # type: ignore[arg-type]
    analysis.record(make_crash("e10", "some"), 100.0)
    (suspect,) = analysis.find_suspects(200.0, **held)  # type: ignore[arg-type]
    assert suspect.fingerprint == name("some")


def test_bound_the_parts_of_a_request() -> None:
    """A prompt of ten thousand parts costs as much as one of some dozens."""
    parts = tuple(PromptPart(id=f"{n}" * 99, tokens=1) for n in range(10_000))
    found = fingerprint_parts(parts)
    assert len(found) == MAX_PARTS
    assert len({len(each) for each in found}) == 1


def test_leave_out_the_last_part() -> None:
    """The last part belongs to one request, so that no other one can be held for it."""
    parts = tuple(PromptPart(id=id, tokens=1) for id in ("a", "b", "own"))
    assert fingerprint_parts(parts) == (name("a"), name("b"))
    assert fingerprint_parts(parts[-1:]) == ()


def test_suspect_a_request_again_whose_parts_are_suspected_too() -> None:
    """An evaluation never ends as a request explains a crash and its parts may, too."""
    analysis = make_analysis(make_crash("e1", "a/b"))
    suspects = analysis.find_suspects(
        100.0,
        quarantined=(),
        previously_quarantined={"e1-0"},
        is_canary=lambda service, version: False,
    )
    assert list_names(suspects) == ["e1-0"]
