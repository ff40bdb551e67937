"""Tests of the assignment of sessions to versions."""

from __future__ import annotations

from baobabthread.routing.pins import MAX_SESSIONS, SessionPins


def make_pins() -> SessionPins:
    return SessionPins(idle_s=6.0)


def test_session_is_in_use_until_it_is_idle() -> None:
    pins = make_pins()
    pins.record_in_use({"s": 1.0}, 10.0)
    assert pins.is_in_use("s", 14.9)
    assert not pins.is_in_use("s", 15.0)
    pins.keep_old("s", 16.0)
    pins.record_in_use({"s": 9.0}, 16.0)
    assert pins.is_in_use("s", 21.9)


def test_admission_is_revoked_only_without_a_request_on_the_new_version() -> None:
    """A lost reply of an owner must not move back a session that ran on the new one."""
    pins = make_pins()
    for session in ("lost", "ran"):
        pins.admit(session)
    pins.record_moved(["ran"])
    pins.record_in_use({"lost": 0.0, "ran": 0.0}, 1.0)
    assert not pins.is_admitted("lost")
    assert pins.is_admitted("ran")


def test_track_the_sessions_on_the_new_version() -> None:
    pins = make_pins()
    assert pins.record_new("s", 1.0)
    assert not pins.record_new("s", 2.0)
    assert pins.is_on_new("s")
    assert pins.list_new(7.9) == ["s"]
    assert pins.list_new(8.0) == []


def test_reset_drops_decisions_but_keeps_sessions_in_use() -> None:
    pins = make_pins()
    pins.record_old_started("old", 1.0)
    pins.record_old_ended("old", 1.0)
    pins.record_new("new", 1.0)
    pins.admit("admitted")
    pins.reset()
    assert pins.list_old(2.0) == {"old": 1.0, "new": 1.0}
    assert not pins.is_on_new("new")
    assert pins.list_new(2.0) == []
    assert not pins.is_admitted("admitted")


def test_number_of_sessions_is_bounded() -> None:
    pins = make_pins()
    for number in range(2 * MAX_SESSIONS):
        pins.record_new(f"s{number}", number * 0.01)
    assert len(pins.list_new(2 * MAX_SESSIONS * 0.01)) <= 600


def test_session_is_in_use_while_its_stream_runs() -> None:
    """A stream outlasts the idle time; the session's next request must not move."""
    pins = make_pins()
    pins.record_old_started("s", 0.0)
    assert pins.list_old(20.0) == {"s": 20.0}
    assert pins.list_running_old() == ["s"]
    pins.record_old_ended("s", 21.0)
    assert pins.list_running_old() == []
    assert pins.list_old(26.9) == {"s": 21.0}
    assert pins.list_old(27.0) == {}
