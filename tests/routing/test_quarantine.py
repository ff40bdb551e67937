"""Tests of the quarantine list and of merging the entries of peers."""

from __future__ import annotations

import itertools

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.routing.fingerprints import fingerprint
from baobabthread.routing.quarantine import (
    MAX_ENTRIES,
    MAX_QUARANTINE_S,
    QUARANTINE_S,
    RELAPSE_WINDOW_S,
    Quarantine,
    QuarantineEntry,
)
from baobabthread.routing.table import PromptPart

NO_VERSIONS: tuple[str, ...] = ()


def is_quarantined(
    quarantine: Quarantine, name: str, now: float = 0.0, *versions: str
) -> bool:
    return quarantine.find(name, lambda service: versions, now) is not None


def test_quarantine_lasts_longer_each_time() -> None:
    quarantine = Quarantine()
    first = quarantine.add("f1", "s", NO_VERSIONS, 0.0)
    assert (first.times, first.left_s) == (1, QUARANTINE_S)
    assert is_quarantined(quarantine, "f1", QUARANTINE_S - 1)
    assert not is_quarantined(quarantine, "f1", QUARANTINE_S)
    assert not is_quarantined(quarantine, "f2")
    assert quarantine.previously_quarantined(QUARANTINE_S) == {"f1"}
    again = quarantine.add("f1", "s", NO_VERSIONS, QUARANTINE_S)
    assert (again.times, again.left_s) == (2, 2 * QUARANTINE_S)
    for _ in range(40):
        again = quarantine.add("f1", "s", NO_VERSIONS, QUARANTINE_S)
    assert again.left_s == MAX_QUARANTINE_S


def test_answered_request_is_released() -> None:
    quarantine = Quarantine()
    quarantine.add("f1", "s", NO_VERSIONS, 0.0)
    before = quarantine.digest
    cleared = quarantine.release("f1", 1.0)
    assert cleared is not None
    assert not is_quarantined(quarantine, "f1", 1.0)
    assert quarantine.digest != before
    assert quarantine.release("f1", 1.0) is None
    assert quarantine.add("f1", "s", NO_VERSIONS, 2.0).times == 2


def test_other_version_suspends_a_quarantine() -> None:
    quarantine = Quarantine()
    quarantine.add("f1", "s", ("v2",), 0.0)
    assert is_quarantined(quarantine, "f1", 0.0, "v2")
    assert not is_quarantined(quarantine, "f1", 0.0, "v1", "v2")


def test_old_entries_are_dropped() -> None:
    quarantine = Quarantine()
    quarantine.add("f1", "s", NO_VERSIONS, 0.0)
    end = QUARANTINE_S + RELAPSE_WINDOW_S + 1.0
    (late,) = quarantine.list(end - 5.0)
    assert [entry.fingerprint for entry in quarantine.expire(end)] == ["f1"]
    assert (len(quarantine), quarantine.digest) == (0, 0)
    # A peer whose entry ends slightly later does not restore it.
    assert not quarantine.apply(late, end)


def test_number_of_entries_is_bounded() -> None:
    quarantine = Quarantine()
    for number in range(MAX_ENTRIES + 10):
        quarantine.add(f"f{number}", "s", NO_VERSIONS, float(number))
    assert len(quarantine) == MAX_ENTRIES
    assert not is_quarantined(quarantine, "f0", MAX_ENTRIES + 10.0)


def test_longest_list_fits_into_one_datagram() -> None:
    quarantine = Quarantine()
    for number in range(MAX_ENTRIES):
        quarantine.add(f"{number:016d}", "service-of-some-length", ("v1", "v2"), 0.0)
    assert len(msgspec.json.encode(quarantine.list(0.0))) < 30_000


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.booleans()), max_size=5
    )
)
def test_lists_converge_in_any_order(
    received: list[tuple[str, int, bool]],
) -> None:
    entries = [
        QuarantineEntry(
            fingerprint=f, service="s", times=times, left_s=9.0, is_cleared=cleared
        )
        for f, times, cleared in received
    ]
    digests = set()
    for order in itertools.permutations(entries):
        quarantine = Quarantine()
        for entry in order:
            quarantine.apply(entry, 0.0)
        digests.add(quarantine.digest)
    assert len(digests) == 1


def test_fingerprints_differ_for_different_requests() -> None:
    """No account can get another one's requests quarantined, nor its own others."""
    same = {
        "account": "metro",
        "method": "POST",
        "host": "a.example",
        "target": "/x/1?y",
        "body": b"b",
    }
    others = [
        {"account": "malls"},
        {"method": "PUT"},
        {"host": "b.example"},
        {"target": "/x/1?z"},
        {"body": b"c"},
        {"account": "", "body": b"metro"},
        {"target": "/x/1?yb", "body": b""},
        {"prompt": (PromptPart(id="a", tokens=1),)},
        {"prompt": (PromptPart(id="b", tokens=1),)},
        {"prompt": (PromptPart(id="b", tokens=1), PromptPart(id="a", tokens=1))},
    ]
    found = [fingerprint(**(same | other)) for other in others]  # type: ignore[arg-type]
    assert fingerprint(**same) not in found  # type: ignore[arg-type]
    assert len(set(found)) == len(others)
    assert fingerprint(**(same | {"host": "A.example"})) == fingerprint(**same)  # type: ignore[arg-type]
