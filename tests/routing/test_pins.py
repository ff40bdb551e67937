"""Tests of which version each session is on."""

from __future__ import annotations

from baobabthread.routing.pins import MAX_SESSIONS, SessionPins


def make_pins() -> SessionPins:
    return SessionPins(idle_s=6.0)


def test_keep_a_session_in_use_until_it_pauses() -> None:
    pins = make_pins()
    pins.record_in_use({"s": 1.0}, 10.0)
    assert pins.is_in_use("s", 14.9)
    assert not pins.is_in_use("s", 15.0)
    pins.keep_old("s", 16.0)
    pins.record_in_use({"s": 9.0}, 16.0)
    assert pins.is_in_use("s", 21.9)


def test_take_back_only_what_never_ran_on_the_new_version() -> None:
    """A lost answer of a decider moved a session back that ran on the new version."""
    pins = make_pins()
    for session in ("lost", "ran"):
        pins.admit(session)
    pins.record_moved(["ran"])
    pins.record_in_use({"lost": 0.0, "ran": 0.0}, 1.0)
    assert not pins.is_admitted("lost")
    assert pins.is_admitted("ran")


def test_know_what_ran_here() -> None:
    pins = make_pins()
    assert pins.record_new("s", 1.0)
    assert not pins.record_new("s", 2.0)
    assert pins.is_on_new("s")
    assert pins.list_new(7.9) == ["s"]
    assert pins.list_new(8.0) == []


def test_forget_what_an_earlier_order_decided_but_not_who_is_in_use() -> None:
    pins = make_pins()
    pins.record_old_started("old", 1.0)
    pins.record_old_ended("old", 1.0)
    pins.record_new("new", 1.0)
    pins.admit("admitted")
    pins.reset()
    assert pins.list_old(2.0) == {"old": 1.0}
    assert not pins.is_on_new("new")
    assert not pins.is_admitted("admitted")


def test_hold_a_bounded_number_of_sessions() -> None:
    pins = make_pins()
    for number in range(2 * MAX_SESSIONS):
        pins.record_new(f"s{number}", number * 0.01)
    assert len(pins.list_new(2 * MAX_SESSIONS * 0.01)) <= 600


def test_take_a_stream_for_in_use_while_it_runs() -> None:
    """A stream outlasts a pause; its session's next request moved in the middle."""
    pins = make_pins()
    pins.record_old_started("s", 0.0)
    assert pins.list_old(20.0) == {"s": 20.0}
    assert pins.list_running_old() == ["s"]
    pins.record_old_ended("s", 21.0)
    assert pins.list_running_old() == []
    assert pins.list_old(26.9) == {"s": 21.0}
    assert pins.list_old(27.0) == {}
