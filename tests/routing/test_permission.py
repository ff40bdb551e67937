"""Tests of the permission of one instance to continue a canary."""

from __future__ import annotations

from baobabthread.routing.permission import PERMIT_TTL_S, Permission


def test_sessions_stay_on_a_confirmation_of_the_store_without_admissions() -> None:
    """Sessions on the new version must not move back when the leader falls silent."""
    permission = Permission()
    assert permission.left_s(0.0) == 0.0
    permission.confirm(requested_at=1.0)
    assert permission.left_s(1.5) == PERMIT_TTL_S - 0.5
    assert not permission.may_admit(1.5)
    permission.permit(requested_at=2.0, admits=True)
    assert permission.may_admit(2.0 + PERMIT_TTL_S - 0.1)
    assert not permission.may_admit(2.0 + PERMIT_TTL_S)


def test_no_admission_without_the_consent_of_the_leader() -> None:
    permission = Permission()
    permission.permit(requested_at=1.0, admits=False)
    assert permission.left_s(1.0) == PERMIT_TTL_S
    assert not permission.may_admit(1.0)


def test_older_permit_does_not_shorten_a_newer_one() -> None:
    permission = Permission()
    permission.permit(requested_at=5.0, admits=True)
    permission.permit(requested_at=3.0, admits=True)
    assert permission.permitted_s(5.0) == PERMIT_TTL_S


def test_record_when_an_expired_permit_is_renewed() -> None:
    """An instance that was cut off has missed reports of sessions in use."""
    permission = Permission()
    permission.permit(requested_at=1.0, admits=True)
    permission.permit(requested_at=3.0, admits=True)
    assert permission.renewed_at < 0.0
    permission.permit(requested_at=9.0, admits=True)
    assert permission.renewed_at == 9.0
