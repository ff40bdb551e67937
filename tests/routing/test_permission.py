"""Tests of until when a trial may go on at one instance."""

from __future__ import annotations

from baobabthread.routing.permission import PERMIT_TTL_S, Permission


def test_let_sessions_stay_on_the_stores_word_but_admit_none() -> None:
    """The leader falls silent; sessions on the new version must not go back for it."""
    permission = Permission()
    assert permission.left_s(0.0) == 0.0
    permission.confirm(requested_at=1.0)
    assert permission.left_s(1.5) == PERMIT_TTL_S - 0.5
    assert not permission.may_admit(1.5)
    permission.permit(requested_at=2.0, admits=True)
    assert permission.may_admit(2.0 + PERMIT_TTL_S - 0.1)
    assert not permission.may_admit(2.0 + PERMIT_TTL_S)


def test_admit_nobody_where_the_leader_lets_nobody_in() -> None:
    permission = Permission()
    permission.permit(requested_at=1.0, admits=False)
    assert permission.left_s(1.0) == PERMIT_TTL_S
    assert not permission.may_admit(1.0)


def test_shorten_no_permit_by_an_older_one() -> None:
    permission = Permission()
    permission.permit(requested_at=5.0, admits=True)
    permission.permit(requested_at=3.0, admits=True)
    assert permission.permitted_s(5.0) == PERMIT_TTL_S


def test_know_when_the_leader_was_heard_again() -> None:
    """An instance that was cut off missed which sessions are in use."""
    permission = Permission()
    permission.permit(requested_at=1.0, admits=True)
    permission.permit(requested_at=3.0, admits=True)
    assert permission.renewed_at < 0.0
    permission.permit(requested_at=9.0, admits=True)
    assert permission.renewed_at == 9.0
