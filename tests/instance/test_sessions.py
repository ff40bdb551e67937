"""Tests of the choice of a version for sessions during a roll-out."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec
import pytest

from baobabthread.core.rendezvous import rank
from baobabthread.instance import sessions
from baobabthread.instance.clock import now
from baobabthread.instance.sessions import (
    SessionCoordinator,
    SessionUseReport,
    VersionQuery,
    VersionReply,
)
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutOrder
from baobabthread.routing.exposure import FinalPhaseBudget
from baobabthread.routing.permission import Permission
from baobabthread.routing.versions import VersionPlan

NAMES = ["i1", "i2", "i3"]
ORDER = RolloutOrder(offset=1, service="s", target="v2", time_limit_s=60.0)


class Network:
    """A network that delivers messages between coordinators at once, or loses them."""

    def __init__(self) -> None:
        self.plans: dict[str, VersionPlan] = {}
        self.coordinators: dict[str, SessionCoordinator] = {}
        self.loses_all = False
        self.losses_left: Counter[type] = Counter()
        """Number of the next messages to lose, by type."""
        self.count = 0
        for name in NAMES:
            plan = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=1.0))
            plan.apply_order(ORDER, now() - 10.0)
            plan.update_target(usable=True, now=now() - 9.0)
            plan.permit(requested_at=now() + 60.0)
            self.restart(name, plan)

    def restart(self, name: str, plan: VersionPlan) -> None:
        """Start an instance anew that knows only this plan."""
        self.plans[name] = plan
        self.coordinators[name] = SessionCoordinator(
            me=name,
            send=lambda to, message: self.deliver(name, to, message),
            find_plan=lambda _: plan,
        )
        self.coordinators[name].set_members(NAMES)

    def deliver(self, sender: str, to: str, message: msgspec.Struct) -> None:
        self.count += 1
        if self.loses_all:
            return
        if self.losses_left[type(message)] > 0:
            self.losses_left[type(message)] -= 1
            return
        self.coordinators[to].handle(sender, message)


def find_contested(network: Network) -> list[str]:
    plan = network.plans["i1"]
    names = [f"s{n}" for n in range(60)]
    return [s for s in names if plan.needs_owner_decision(s, now())]


def find_remote_session(network: Network) -> tuple[str, str, str]:
    """Return a session that i1 has to query, and its two owners."""
    for session in find_contested(network):
        first, second, third = rank(session, NAMES)
        if third == "i1":
            return session, first, second
    raise AssertionError("no session")


def test_decide_alike_everywhere() -> None:
    """Two requests of a session reach two instances at the same time.

    Neither instance has seen the session, so one owner decides for both.
    """

    async def case() -> None:
        network = Network()
        for session in find_contested(network):
            decided = {
                await network.coordinators[name].decide(network.plans[name], session)
                for name in NAMES
            }
            assert decided == {True}

    asyncio.run(case())


def test_keep_a_session_seen_by_another_instance() -> None:
    async def case() -> None:
        network = Network()
        seen_at = "i2"
        plan = network.plans[seen_at]
        for session in find_contested(network):
            plan.record_old_started(session, now())
        network.coordinators[seen_at].report_in_use(plan)
        for session in find_contested(network):
            for name in NAMES:
                assert not await network.coordinators[name].decide(
                    network.plans[name], session
                )
        before = network.count
        network.coordinators[seen_at].report_in_use(plan)
        assert network.count == before

    asyncio.run(case())


def test_keep_the_old_version_without_a_reply() -> None:
    async def case() -> None:
        network = Network()
        network.loses_all = True
        contested = find_contested(network)
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        decided = [await coordinator.decide(plan, session) for session in contested[:6]]
        assert False in decided

    asyncio.run(case())


def test_resend_a_lost_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The datagram that lists the sessions in use is lost right after the order.

    Their owner would move them to the new version in the middle of a conversation.
    """

    async def case() -> None:
        network = Network()
        seen_at = "i2"
        plan, coordinator = network.plans[seen_at], network.coordinators[seen_at]
        contested = find_contested(network)
        for session in contested:
            plan.record_old_started(session, now())
        network.loses_all = True
        coordinator.report_in_use(plan)
        network.loses_all = False
        later = now() + sessions.RESEND_INTERVAL_S
        monkeypatch.setattr(sessions, "now", lambda: later)
        coordinator.tick()
        for session in contested:
            for name in NAMES:
                assert not await network.coordinators[name].decide(
                    network.plans[name], session
                )
        before = network.count
        coordinator.tick()
        assert network.count == before

    asyncio.run(case())


def test_query_the_second_owner_if_the_first_started_after_the_order() -> None:
    """The first owner is restarted in the first half of the roll-out.

    It knows no session in use, so by its decision all of them would move.
    """

    async def case() -> None:
        network = Network()
        seen_at = "i2"
        plan = network.plans[seen_at]
        contested = find_contested(network)
        for session in contested:
            plan.record_old_started(session, now())
        network.coordinators[seen_at].report_in_use(plan)
        fresh = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=1.0))
        fresh.apply_order(ORDER, now() - 10.0, served_before_order=False)
        fresh.update_target(usable=True, now=now() - 9.0)
        fresh.permit(requested_at=now() + 60.0)
        network.restart("i1", fresh)
        for session in contested:
            for name in NAMES:
                assert not await network.coordinators[name].decide(
                    network.plans[name], session
                )

    asyncio.run(case())


def test_stay_on_the_old_version_after_lost_replies() -> None:
    """An owner moves a session, and its replies are lost.

    The request stays on the old version, so the session's next request must stay too.
    """

    async def case() -> None:
        network = Network()
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        session = next(s for s in find_contested(network) if rank(s, NAMES)[0] == "i3")
        network.coordinators["i1"].set_members(["i1", "i3"])
        network.losses_left[VersionReply] = 2
        network.plans["i1"].served_before_order = False
        assert not await coordinator.decide(plan, session)
        assert not await network.coordinators["i2"].decide(network.plans["i2"], session)

    asyncio.run(case())


def test_query_again_before_a_session_stays() -> None:
    """Both owners are slow: a moved session would return to the old version."""

    async def case() -> None:
        network = Network()
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        session, _, _ = find_remote_session(network)
        assert await network.coordinators["i2"].decide(network.plans["i2"], session)
        network.losses_left[VersionQuery] = 2
        assert await coordinator.decide(plan, session)

    asyncio.run(case())


def test_keep_a_moved_session_without_its_owners() -> None:
    async def case() -> None:
        network = Network()
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        session, _, _ = find_remote_session(network)
        assert await coordinator.decide(plan, session)
        coordinator.report_new(plan, session)
        network.loses_all = True
        assert await coordinator.decide(plan, session)

    asyncio.run(case())


def test_report_moved_sessions_to_the_second_owner() -> None:
    """The first owner fails: the second one would send a moved session back."""

    async def case() -> None:
        network = Network()
        session, first, second = find_remote_session(network)
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        assert await coordinator.decide(plan, session)
        coordinator.report_new(plan, session)
        for each in network.plans.values():
            each.permit(requested_at=now(), admits=False)
        left = [name for name in NAMES if name != first]
        for name in left:
            network.coordinators[name].set_members(left)
        assert await network.coordinators[second].decide(network.plans[second], session)

    asyncio.run(case())


def test_report_moved_sessions_after_a_membership_change() -> None:
    """Both owners were killed and restart without knowing which sessions have moved."""

    async def case() -> None:
        network = Network()
        session, first, second = find_remote_session(network)
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        coordinator.report_in_use(plan)
        assert await coordinator.decide(plan, session)
        coordinator.report_new(plan, session)
        coordinator.set_members(["i1"])
        for name in (first, second):
            fresh = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=1.0))
            fresh.apply_order(ORDER, now() - 10.0, served_before_order=False)
            network.restart(name, fresh)
        coordinator.set_members(NAMES)
        assert network.plans[first].pins.is_admitted(session)
        assert network.plans[second].pins.is_admitted(session)

    asyncio.run(case())


def test_keep_ineligible_sessions_in_the_second_half() -> None:
    """All owners were restarted and know of no session that has moved.

    In the second half they would move sessions outside the canary share as well.
    """

    async def case() -> None:
        network = Network()
        fresh = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=0.1))
        fresh.apply_order(ORDER, now() - 55.0, served_before_order=False)
        fresh.update_target(usable=True, now=now() - 50.0)
        for name in NAMES:
            network.restart(name, fresh)
        outside = next(f"s{n}" for n in range(60) if not fresh.may_join_canary(f"s{n}"))
        assert fresh.needs_owner_decision(outside, now())
        assert not await network.coordinators["i1"].decide(fresh, outside)

    asyncio.run(case())


def test_keep_a_session_in_use_while_its_stream_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stream outlasts the idle time of its session and was only reported once."""

    async def case() -> None:
        network = Network()
        plan, coordinator = network.plans["i1"], network.coordinators["i1"]
        session = next(s for s in find_contested(network) if rank(s, NAMES)[0] == "i2")
        plan.record_old_started(session, now())
        coordinator.report_in_use(plan)
        began = now()
        for seconds in range(2, 20, 2):
            later = began + seconds
            monkeypatch.setattr(sessions, "now", lambda later=later: later)
            for each in network.plans.values():
                each.permit(requested_at=later)
            coordinator.tick()
        assert not await network.coordinators["i3"].decide(network.plans["i3"], session)

    asyncio.run(case())


def test_do_not_decide_right_after_a_partition() -> None:
    """An owner that was partitioned would move a session in use elsewhere."""

    async def case() -> None:
        network = Network()
        session, first, second = find_remote_session(network)
        plan = network.plans["i1"]
        plan.record_old_started(session, now())
        network.coordinators[second].handle(
            "i1",
            SessionUseReport(sequence=1, service="s", offset=1, ages={session: 0.0}),
        )
        permission = Permission()
        permission.permit(requested_at=now() - 9.0, admits=True)
        permission.permit(requested_at=now(), admits=True)
        network.plans[first].permission = permission
        assert not await network.coordinators["i1"].decide(plan, session)

    asyncio.run(case())


def test_report_sessions_in_use_after_a_membership_change() -> None:
    async def case() -> None:
        network = Network()
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        coordinator.report_in_use(plan)
        session, _, _ = find_remote_session(network)
        coordinator.set_members(["i1"])
        plan.record_old_started(session, now())
        coordinator.report_old(plan, session)
        coordinator.set_members(NAMES)
        for name in rank(session, NAMES)[:2]:
            assert network.plans[name].pins.is_in_use(session, now())

    asyncio.run(case())


def test_prefer_the_first_owner_for_sessions_that_it_moved() -> None:
    """A query to the first owner is lost in the final phase.

    The second owner would send the session back to the old version.
    """

    async def case() -> None:
        network = Network()
        session, first, second = find_remote_session(network)
        for plan in network.plans.values():
            plan.begin_final_phase(now(), quota=0.0)
        network.plans[first].final_budget = FinalPhaseBudget(quota=9.0)
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        assert await coordinator.decide(plan, session)
        network.losses_left[VersionQuery] = 1
        assert await coordinator.decide(plan, session)
        assert not network.plans[second].pins.is_admitted(session)

    asyncio.run(case())


def test_report_to_the_first_owner_what_the_second_moved() -> None:
    async def case() -> None:
        network = Network()
        session, first, second = find_remote_session(network)
        for plan in network.plans.values():
            plan.begin_final_phase(now(), quota=0.0)
        network.plans[second].final_budget = FinalPhaseBudget(quota=9.0)
        network.losses_left[VersionQuery] = 1
        coordinator, plan = network.coordinators["i1"], network.plans["i1"]
        assert await coordinator.decide(plan, session)
        coordinator.report_new(plan, session)
        assert network.plans[first].pins.is_admitted(session)
        assert await coordinator.decide(plan, session)

    asyncio.run(case())
