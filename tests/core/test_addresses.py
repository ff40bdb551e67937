"""Check the addresses given to callers and the timing of a graceful stop."""

from __future__ import annotations

from collections import Counter

from baobabthread.core.membership.addresses import (
    AddressAnswer,
    AddressSettings,
    Departure,
    DepartureState,
    answer_addresses,
)
from baobabthread.core.membership.messages import MemberInfo

SETTINGS = AddressSettings(lifetime_s=10.0, margin_s=2.0, limit=4)


def _member(index: int) -> MemberInfo:
    return MemberInfo(
        name=f"e{index}",
        address=f"10.0.0.{index}:80",
        peer_address=f"10.0.0.{index}:81",
        failure_domain=f"d{index % 4}",
        incarnation=f"e{index}.1",
        started_at=0,
    )


MEMBERS = [_member(index) for index in range(8)]


def _answer(caller: str, near: str | None = None) -> AddressAnswer:
    return answer_addresses(
        me=MEMBERS[0],
        serving=MEMBERS,
        caller=caller,
        failure_domain=near,
        settings=SETTINGS,
    )


def test_give_near_ones_first_and_spread_callers() -> None:
    first = Counter(_answer(f"c{n}", "d2").addresses[0].name for n in range(200))
    assert set(first) == {"e2", "e6"}
    assert min(first.values()) > 60
    assert _answer("c1", "d2") == _answer("c1", "d2")
    assert len(_answer("c1", "nowhere").addresses) == 4
    assert _answer("c1").addresses[0].failure_domain == "d0"


def test_never_answer_with_one_failure_domain_only() -> None:
    near = [member for member in MEMBERS if member.failure_domain == "d1"]
    answer = answer_addresses(
        me=near[0],
        serving=[*near, MEMBERS[0]],
        caller="c",
        failure_domain="d1",
        settings=AddressSettings(limit=2),
    )
    assert {a.failure_domain for a in answer.addresses} == {"d0", "d1"}


def test_never_answer_with_nothing() -> None:
    answer = answer_addresses(
        me=MEMBERS[0], serving=[], caller="c", failure_domain=None, settings=SETTINGS
    )
    assert [address.name for address in answer.addresses] == ["e0"]


def test_stop_after_the_last_answer_has_run_out() -> None:
    """A caller got this address just before the entry left and keeps it 10 s.

    The entry is out of the addresses at once, yet takes its requests until then, and
    only stops when the last of them is done.
    """
    departure = Departure(settings=SETTINGS)
    assert not departure.accepts
    departure.open()
    assert departure.is_listed
    departure.leave(100.0)
    departure.leave(105.0)
    assert not departure.is_listed
    assert departure.accepts
    assert not departure.is_drained(in_flight=0, now=111.9)
    assert not departure.is_drained(in_flight=1, now=112.0)
    assert departure.is_drained(in_flight=0, now=112.0)
    departure.stop()
    departure.stop()
    assert departure.state is DepartureState.STOPPED
    assert not departure.accepts
