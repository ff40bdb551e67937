"""Tests of the selection of requests for the new version."""

from __future__ import annotations

import pytest

from baobabthread.routing.configuration import RolloutOrder, RolloutState, RolloutStatus
from baobabthread.routing.exposure import find_canary_share
from baobabthread.routing.permission import PERMIT_TTL_S
from baobabthread.routing.progress import Progress
from baobabthread.routing.versions import VersionPlan
from tests.routing.rollouts import (
    BOUNDS,
    LIMIT_S,
    SESSIONS,
    begin_rollout,
    count_new,
)


def find_candidate(plan: VersionPlan, now: float) -> str:
    """Return a session that is selected for the canary."""
    return next(s for s in SESSIONS if plan.needs_owner_decision(s, now))


def test_no_rollout_before_an_order() -> None:
    plan = VersionPlan(service="s", bounds=BOUNDS)
    assert plan.order is None
    assert not plan.is_running


def test_canary_share_is_a_fraction_of_the_bound() -> None:
    plan = begin_rollout()
    assert count_new(plan, 0.5) == 0
    share = count_new(plan, 3.0) / len(SESSIONS)
    assert 0.5 * find_canary_share(BOUNDS, LIMIT_S) < share < 0.2


def test_no_share_without_servers_of_the_new_version() -> None:
    plan = begin_rollout(ready_at=None)
    assert count_new(plan, 20.0) == 0


def test_sessions_never_move_back_while_the_share_grows() -> None:
    plan = begin_rollout()
    moved: set[str] = set()
    for now in (3.0, 8.0, 12.5, 20.0, 22.5, 23.0):
        if now == 22.5:
            plan.begin_final_phase(now)
        new = {session for session in SESSIONS if plan.choose(session, now)}
        assert moved <= new
        moved = new
    assert moved == set(SESSIONS)


def test_session_in_use_stays_until_idle_or_the_final_phase() -> None:
    """A selected session ran a request on the old version two seconds ago.

    Moving it would change the version in the middle of a conversation. It may move once
    it is idle, or in the final phase.
    """
    plan = begin_rollout()
    session = find_candidate(plan, 3.0)
    plan.pins.record_in_use({session: 0.0}, 3.5)
    assert not plan.decide(session, 5.5)
    assert not plan.decide(session, 11.0)
    assert not plan.decide(session, 16.9)
    plan.begin_final_phase(17.0)
    assert plan.decide(session, 17.2)
    assert plan.decide(session, 23.9)
    other = begin_rollout()
    other.pins.record_in_use({session: 0.0}, 3.5)
    assert not other.decide(session, 4.0)
    assert other.decide(session, 10.1)
    assert other.decide(session, 10.2)


def test_report_the_sessions_seen_here() -> None:
    plan, owner = begin_rollout(), begin_rollout()
    session = find_candidate(plan, 3.0)
    outside = next(s for s in SESSIONS if not plan.needs_owner_decision(s, 3.0))
    for each in (session, outside):
        plan.record_old_started(each, 0.5)
        plan.record_old_ended(each, 1.0)
    uses = plan.list_session_ages(3.0)
    assert uses == {session: 2.0}
    owner.pins.record_in_use(uses, 3.0)
    assert not owner.decide(session, 4.0)


def test_no_canary_without_a_permit_of_the_leader() -> None:
    """An instance is cut off from its peers, which roll the version back.

    It still reaches the store and the callers, and would continue the canary on its
    own.
    """
    plan = begin_rollout(permitted_at=3.0)
    assert count_new(plan, 3.0 + PERMIT_TTL_S - 0.1) > 0
    assert count_new(plan, 3.0 + PERMIT_TTL_S) == 0
    plan.permit(requested_at=6.0)
    assert count_new(plan, 6.5) > 0


def test_rolled_back_version_is_not_in_force() -> None:
    """A bad version is rolled back, and the next order comes while its servers run.

    They are as many as those of the version in force. If the bad version is taken for
    that, it gets all requests beside the canary's and its failures become the baseline.
    """
    plan = VersionPlan(service="s", bounds=BOUNDS)
    plan.update_versions({"v1": 5})
    bad = RolloutOrder(offset=1, service="s", target="v2", time_limit_s=LIMIT_S)
    plan.apply_order(bad, 0.0)
    assert plan.lineage.find_base({"v1": 5, "v2": 7}) == "v1"
    plan.apply_status(
        RolloutStatus(service="s", target="v2", state=RolloutState.REVERTED, offset=1),
        2.0,
    )
    listed = {"v1": 5, "v2": 5, "v3": 5}
    assert plan.lineage.find_base(listed) == "v1"
    plan.apply_order(
        RolloutOrder(offset=2, service="s", target="v3", time_limit_s=LIMIT_S), 3.0
    )
    assert plan.lineage.find_base(listed) == "v1"
    assert plan.lineage.find_base({"v2": 5, "v3": 5}) is None
    plan.apply_status(
        RolloutStatus(service="s", target="v3", state=RolloutState.SUCCEEDED, offset=2),
        9.0,
    )
    plan.apply_order(
        RolloutOrder(offset=3, service="s", target="v4", time_limit_s=LIMIT_S), 9.5
    )
    assert plan.lineage.find_base({"v1": 5, "v3": 5, "v4": 9}) == "v3"


def replace_running_order() -> VersionPlan:
    """Return a plan whose order was replaced before its outcome was known."""
    plan = VersionPlan(service="s", bounds=BOUNDS)
    plan.update_versions({"v1": 5})
    for offset, target in ((1, "v2"), (2, "v3")):
        order = RolloutOrder(
            offset=offset, service="s", target=target, time_limit_s=LIMIT_S
        )
        plan.apply_order(order, float(offset))
    return plan


def test_a_version_whose_outcome_is_unknown_is_not_rolled_back() -> None:
    """The leader died as it stored that v2 succeeded, and v3 was ordered at once.

    All others took v2 for rolled back, sent half of the requests to v3 and, once that
    was rolled back, refused the service.
    """
    plan = replace_running_order()
    assert plan.lineage.find_base({"v1": 4, "v2": 4, "v3": 4}) == "v1"
    assert plan.lineage.find_base({"v2": 4, "v3": 4}) == "v2"
    plan.apply_status(
        RolloutStatus(service="s", target="v3", state=RolloutState.REVERTED, offset=2),
        9.0,
    )
    assert plan.lineage.find_base({"v2": 4, "v3": 4}) == "v2"
    assert not plan.is_unproven("v2")
    assert plan.is_unproven("v3")


@pytest.mark.parametrize(
    ("state", "base"), [(RolloutState.SUCCEEDED, "v2"), (RolloutState.REVERTED, "v1")]
)
def test_learn_late_how_a_replaced_order_ended(state: RolloutState, base: str) -> None:
    """Word of the end arrives after the next order, while all servers are listed."""
    plan = replace_running_order()
    plan.apply_status(
        RolloutStatus(service="s", target="v2", state=state, offset=1), 3.0
    )
    assert plan.lineage.find_base({"v1": 4, "v2": 4, "v3": 4}) == base
    assert plan.is_running


def test_rolled_back_version_stays_unproven() -> None:
    """Crash reports of a bad version arrive after its roll-out has ended."""
    plan = begin_rollout()
    assert plan.is_unproven("v2")
    assert not plan.is_unproven("v1")
    plan.apply_status(
        RolloutStatus(service="s", target="v2", state=RolloutState.REVERTED, offset=1),
        2.0,
    )
    assert plan.is_unproven("v2")
    plan.apply_order(
        RolloutOrder(offset=2, service="s", target="v3", time_limit_s=LIMIT_S), 3.0
    )
    assert plan.is_unproven("v2")
    plan.apply_status(
        RolloutStatus(service="s", target="v3", state=RolloutState.SUCCEEDED, offset=2),
        9.0,
    )
    assert not plan.is_unproven("v3")


def test_adopt_the_version_in_force_from_a_peer() -> None:
    """An instance starts during a roll-out, with three versions listed."""
    plan = VersionPlan(service="s", bounds=BOUNDS)
    assert plan.lineage.find_base({"v9": 4, "v10": 4}) == "v9"
    order = RolloutOrder(offset=2, service="s", target="v3", time_limit_s=LIMIT_S)
    plan.apply_order(order, 0.0, served_before_order=False)
    report = Progress(
        service="s", offset=2, elapsed_s=4.0, share=0.1, old_running=0, base="v1"
    )
    plan.apply_verdict(report, 0.2)
    assert plan.lineage.find_base({"v1": 3, "v2": 5, "v3": 5}) == "v1"


def test_restarted_instance_continues_a_rollout() -> None:
    plan = VersionPlan(service="s", bounds=BOUNDS)
    order = RolloutOrder(offset=1, service="s", target="v2", time_limit_s=LIMIT_S)
    plan.apply_order(order, 100.0)
    plan.apply_status(
        RolloutStatus(
            service="s",
            target="v2",
            state=RolloutState.RUNNING,
            offset=1,
            elapsed_s=9.0,
        ),
        100.0,
    )
    assert plan.elapsed(101.0) == 10.0
    plan.apply_status(
        RolloutStatus(service="s", target="v2", state=RolloutState.REVERTED, offset=1),
        102.0,
    )
    assert count_new(plan, 103.0) == 0
    plan.apply_status(
        RolloutStatus(service="s", target="v2", state=RolloutState.SUCCEEDED, offset=1),
        104.0,
    )
    assert plan.state is RolloutState.REVERTED


def test_later_order_starts_a_new_rollout() -> None:
    plan = begin_rollout()
    plan.analysis.alarm = "errors"
    order = RolloutOrder(offset=2, service="s", target="v3", time_limit_s=LIMIT_S)
    assert plan.apply_order(order, 50.0)
    assert plan.analysis.alarm is None
    assert plan.is_running


def test_sessions_stay_while_the_leader_is_silent() -> None:
    """An expired permit must not move sessions back without a rollback."""
    plan = begin_rollout(permitted_at=3.0)
    session = find_candidate(plan, 3.0)
    assert plan.decide(session, 3.0)
    late = 3.0 + PERMIT_TTL_S + 0.5
    assert not plan.may_stay(late)
    plan.permission.confirm(requested_at=late - 1.0)
    assert plan.may_stay(late)
    assert plan.decide(session, late)
    other = next(s for s in SESSIONS if plan.may_join_canary(s) and s != session)
    assert not plan.decide(other, late)


def test_no_admission_without_the_consent_of_the_leader() -> None:
    plan = begin_rollout()
    session = find_candidate(plan, 3.0)
    plan.permit(requested_at=3.0, admits=False)
    assert not plan.decide(session, 3.0)
    plan.permit(requested_at=3.1, admits=True)
    assert plan.decide(session, 3.1)
    plan.permit(requested_at=3.2, admits=False)
    assert plan.decide(session, 3.2)


def test_quota_bounds_the_admissions_of_the_final_phase() -> None:
    """Load rises during the promotion; sessions that were admitted stay."""
    plan = begin_rollout()
    plan.begin_final_phase(23.0, quota=20.4)
    admitted = [session for session in SESSIONS if plan.decide(session, 23.1)]
    assert 20 <= len(admitted) <= 21
    assert all(plan.decide(session, 23.2) for session in admitted)
    assert plan.decide(SESSIONS[-1], LIMIT_S + 0.1)


def test_owners_are_queried_for_all_sessions_before_a_promotion() -> None:
    """An instance that missed the promotion would move sessions of others back."""
    plan = begin_rollout()
    before, after = (
        LIMIT_S - plan.promotion_window_s - 1.0,
        LIMIT_S - plan.promotion_window_s,
    )
    outside = next(s for s in SESSIONS if not plan.needs_owner_decision(s, before))
    assert plan.needs_owner_decision(outside, after)
    assert not plan.decide(outside, after)


def test_rolled_back_version_gets_no_more_requests() -> None:
    plan = begin_rollout()
    session = find_candidate(plan, 3.0)
    assert plan.decide(session, 3.0)
    plan.analysis.alarm = "errors"
    assert not plan.may_stay(3.5)
    assert not plan.decide(session, 3.5)


def test_verdict_completes_a_rollout() -> None:
    """Old servers stop at once, but gossip to two hundred instances takes seconds.

    The verdict therefore carries the outcome.
    """
    plan = begin_rollout()
    report = Progress(
        service="s",
        offset=1,
        elapsed_s=23.0,
        share=1.0,
        old_running=0,
        is_final=True,
        state=RolloutState.SUCCEEDED,
    )
    plan.apply_verdict(report, 23.0)
    assert plan.state is RolloutState.SUCCEEDED
    assert plan.decide(SESSIONS[0], 23.1)
