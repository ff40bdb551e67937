"""Tests of which failure domains an instance takes for evacuated."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from baobabthread.routing.configuration import Evacuation
from baobabthread.routing.evacuations import Evacuations


def word(number: int, domain: str = "a", *, is_on: bool = True) -> Evacuation:
    return Evacuation(number=number, failure_domain=domain, is_on=is_on)


LOGS = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30).map(
    lambda rows: [word(n, domain, is_on=on) for n, (domain, on) in enumerate(rows)]
)


@given(LOGS, st.randoms())
def test_end_with_the_newest_word_in_whatever_order_they_come(
    log: list[Evacuation], rng: object
) -> None:
    """Answers of the store and words of peers overtake each other and come twice."""
    told = [*log, *log]
    rng.shuffle(told)  # type: ignore[attr-defined]
    known = Evacuations()
    for each in told:
        known.apply(each)
    newest = {each.failure_domain: each for each in log}
    assert known.domains == {d for d, each in newest.items() if each.is_on}


@given(LOGS, st.integers(0, 30))
def test_take_a_list_of_all_records_after_the_history_is_gone(
    log: list[Evacuation], known_to: int
) -> None:
    """An instance read so far, and finds the newest record of each key since."""
    known = Evacuations()
    known.apply_all(log[:known_to])
    newest = {each.failure_domain: each for each in log}
    listed = [each for each in newest.values() if each.is_on]
    known.apply_all(listed)
    known.reconcile({each.failure_domain for each in listed}, len(log))
    assert known.domains == {each.failure_domain for each in listed}
    again = word(len(log), "b")
    assert known.apply(again) == ("b" not in {e.failure_domain for e in listed})
    assert "b" in known.domains


def test_pass_on_also_what_was_taken_back() -> None:
    """A peer that is behind must not evacuate the domain again by its own word."""
    known, behind = Evacuations(), Evacuations()
    known.apply_all([word(3), word(5, is_on=False)])
    behind.apply(word(3))
    assert behind.apply_all(known.list())
    assert not known.apply_all([word(3)])
    assert not behind.domains
    assert not known.domains


def test_tell_whether_anything_changed() -> None:
    known = Evacuations()
    assert known.apply(word(1))
    assert not known.apply(word(2))
    assert not known.apply(word(1, is_on=False))
    assert known.apply(word(3, is_on=False))
