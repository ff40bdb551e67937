"""Tests of comparing two tables of members."""

from __future__ import annotations

from baobabthread.core.membership.comparison import (
    answer_prints,
    answer_wants,
    list_known,
)
from baobabthread.core.membership.messages import Digest, MemberInfo, MemberState
from baobabthread.core.messages import Send


def make_member(number: int, state: MemberState = MemberState.ALIVE) -> MemberInfo:
    return MemberInfo(
        name=f"e{number}",
        address=f"10.0.0.{number}:1",
        peer_address=f"10.0.0.{number}:2",
        failure_domain="a",
        incarnation=f"e{number}",
        started_at=float(number),
        state=state,
    )


def compare(
    asked: list[MemberInfo], asker: list[MemberInfo]
) -> tuple[list[Send], list[Send]]:
    """Return what the one who asked is sent, and what it sends in return."""
    digest = Digest(sender=asked[0])
    prints = list_known(asked, "asker", digest).message
    sent = answer_prints(asker, prints, "asked", digest)
    returned = [
        answer
        for effect in sent
        for answer in answer_wants(asked, effect.message, "asker", digest)
    ]
    return returned, sent


def list_names(effects: list[Send]) -> list[str]:
    return [info.name for effect in effects for info in effect.message.members]


def test_send_each_side_what_it_lacks() -> None:
    both = [make_member(number) for number in range(5)]
    to_asker, to_asked = compare([*both, make_member(5)], [*both, make_member(6)])
    assert list_names(to_asker) == ["e5"]
    assert list_names(to_asked) == ["e6"]


def test_send_nothing_where_both_know_the_same() -> None:
    both = [make_member(number) for number in range(5)]
    assert compare(both, both[::-1]) == ([], [])


def test_send_another_state_of_a_member() -> None:
    """One side holds a member for suspect; the other one must hear so to refute it."""
    alive = [make_member(0), make_member(1)]
    suspect = [make_member(0), make_member(1, MemberState.SUSPECT)]
    to_asker, to_asked = compare(suspect, alive)
    assert list_names(to_asker) == list_names(to_asked) == ["e1"]


def test_split_what_no_datagram_holds() -> None:
    """An entry joins two hundred others.

    All of them in one message are more than a datagram holds, so that it never arrives
    and the entry takes itself for the only one.
    """
    known = [make_member(number) for number in range(200)]
    to_asker, _ = compare(known, known[:1])
    assert len(to_asker) == 4
    assert sorted(list_names(to_asker)) == sorted(info.name for info in known[1:])
