"""Tests of who decides on a session while a version is on trial."""

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
ORDER = RolloutOrder(number=1, service="s", target="v2", time_limit_s=60.0)


class Net:
    """Carry messages among desks at once, or lose them."""

    def __init__(self) -> None:
        self.plans: dict[str, VersionPlan] = {}
        self.desks: dict[str, SessionCoordinator] = {}
        self.lost = False
        self.lose: Counter[type] = Counter()
        """How many of the next messages are lost, by kind."""
        self.count = 0
        for name in NAMES:
            plan = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=1.0))
            plan.apply_order(ORDER, now() - 10.0)
            plan.update_target(usable=True, now=now() - 9.0)
            plan.permit(requested_at=now() + 60.0)
            self.restart(name, plan)

    def restart(self, name: str, plan: VersionPlan) -> None:
        """Put an instance in place that knows just this plan."""
        self.plans[name] = plan
        self.desks[name] = SessionCoordinator(
            me=name,
            send=lambda to, message: self.carry(name, to, message),
            find_plan=lambda _: plan,
        )
        self.desks[name].set_members(NAMES)

    def carry(self, sender: str, to: str, message: msgspec.Struct) -> None:
        self.count += 1
        if self.lost:
            return
        if self.lose[type(message)] > 0:
            self.lose[type(message)] -= 1
            return
        self.desks[to].handle(sender, message)


def find_contested(net: Net) -> list[str]:
    plan = net.plans["i1"]
    names = [f"s{n}" for n in range(60)]
    return [s for s in names if plan.needs_owner_decision(s, now())]


def find_asked(net: Net) -> tuple[str, str, str]:
    """Return a session that i1 has to ask about, and who decides on it."""
    for session in find_contested(net):
        first, second, third = rank(session, NAMES)
        if third == "i1":
            return session, first, second
    raise AssertionError("no session")


def test_decide_alike_everywhere() -> None:
    """Two requests of a session reach two instances in the same moment.

    Each by itself would see a session that it does not know; one decides for both.
    """

    async def case() -> None:
        net = Net()
        for session in find_contested(net):
            decided = {
                await net.desks[name].decide(net.plans[name], session) for name in NAMES
            }
            assert decided == {True}

    asyncio.run(case())


def test_keep_a_session_that_another_instance_saw() -> None:
    async def case() -> None:
        net = Net()
        seen_at = "i2"
        plan = net.plans[seen_at]
        for session in find_contested(net):
            plan.record_old_started(session, now())
        net.desks[seen_at].report_in_use(plan)
        for session in find_contested(net):
            for name in NAMES:
                assert not await net.desks[name].decide(net.plans[name], session)
        before = net.count
        net.desks[seen_at].report_in_use(plan)
        assert net.count == before

    asyncio.run(case())


def test_keep_the_old_version_when_nobody_answers() -> None:
    async def case() -> None:
        net = Net()
        net.lost = True
        contested = find_contested(net)
        desk, plan = net.desks["i1"], net.plans["i1"]
        decided = [await desk.decide(plan, session) for session in contested[:6]]
        assert False in decided

    asyncio.run(case())


def test_tell_again_when_word_of_sessions_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The datagram that names the sessions in use is lost right after the order.

    Their decider would move them to the new version in the middle of a conversation.
    """

    async def case() -> None:
        net = Net()
        seen_at = "i2"
        plan, desk = net.plans[seen_at], net.desks[seen_at]
        contested = find_contested(net)
        for session in contested:
            plan.record_old_started(session, now())
        net.lost = True
        desk.report_in_use(plan)
        net.lost = False
        later = now() + sessions.RESEND_INTERVAL_S
        monkeypatch.setattr(sessions, "now", lambda: later)
        desk.tick()
        for session in contested:
            for name in NAMES:
                assert not await net.desks[name].decide(net.plans[name], session)
        before = net.count
        desk.tick()
        assert net.count == before

    asyncio.run(case())


def test_ask_the_second_when_the_first_started_after_the_order() -> None:
    """The instance that decides is stopped in turn and is back before the first half.

    It knows no session in use. By its word all of them would move.
    """

    async def case() -> None:
        net = Net()
        seen_at = "i2"
        plan = net.plans[seen_at]
        contested = find_contested(net)
        for session in contested:
            plan.record_old_started(session, now())
        net.desks[seen_at].report_in_use(plan)
        fresh = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=1.0))
        fresh.apply_order(ORDER, now() - 10.0, served_before_order=False)
        fresh.update_target(usable=True, now=now() - 9.0)
        fresh.permit(requested_at=now() + 60.0)
        net.restart("i1", fresh)
        for session in contested:
            for name in NAMES:
                assert not await net.desks[name].decide(net.plans[name], session)

    asyncio.run(case())


def test_stay_on_the_old_version_after_a_lost_answer() -> None:
    """A decider moves a session, and nobody hears its answers.

    The request stays on the old version; the session's next one must stay as well.
    """

    async def case() -> None:
        net = Net()
        desk, plan = net.desks["i1"], net.plans["i1"]
        session = next(s for s in find_contested(net) if rank(s, NAMES)[0] == "i3")
        net.desks["i1"].set_members(["i1", "i3"])
        net.lose[VersionReply] = 2
        net.plans["i1"].served_before_order = False
        assert not await desk.decide(plan, session)
        assert not await net.desks["i2"].decide(net.plans["i2"], session)

    asyncio.run(case())


def test_ask_again_before_a_session_stays() -> None:
    """Both deciders are slow: a session that has moved went back to the old version."""

    async def case() -> None:
        net = Net()
        desk, plan = net.desks["i1"], net.plans["i1"]
        session, _, _ = find_asked(net)
        assert await net.desks["i2"].decide(net.plans["i2"], session)
        net.lose[VersionQuery] = 2
        assert await desk.decide(plan, session)

    asyncio.run(case())


def test_know_a_moved_session_without_its_deciders() -> None:
    async def case() -> None:
        net = Net()
        desk, plan = net.desks["i1"], net.plans["i1"]
        session, _, _ = find_asked(net)
        assert await desk.decide(plan, session)
        desk.report_new(plan, session)
        net.lost = True
        assert await desk.decide(plan, session)

    asyncio.run(case())


def test_tell_the_second_decider_what_has_moved() -> None:
    """The first decider is gone, and the second one sent a moved session back."""

    async def case() -> None:
        net = Net()
        session, first, second = find_asked(net)
        desk, plan = net.desks["i1"], net.plans["i1"]
        assert await desk.decide(plan, session)
        desk.report_new(plan, session)
        for each in net.plans.values():
            each.permit(requested_at=now(), admits=False)
        left = [name for name in NAMES if name != first]
        for name in left:
            net.desks[name].set_members(left)
        assert await net.desks[second].decide(net.plans[second], session)

    asyncio.run(case())


def test_tell_those_that_decide_once_members_have_changed() -> None:
    """Both deciders were killed and start anew: they know of no session that moved."""

    async def case() -> None:
        net = Net()
        session, first, second = find_asked(net)
        desk, plan = net.desks["i1"], net.plans["i1"]
        desk.report_in_use(plan)
        assert await desk.decide(plan, session)
        desk.report_new(plan, session)
        desk.set_members(["i1"])
        for name in (first, second):
            fresh = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=1.0))
            fresh.apply_order(ORDER, now() - 10.0, served_before_order=False)
            net.restart(name, fresh)
        desk.set_members(NAMES)
        assert net.plans[first].pins.is_admitted(session)
        assert net.plans[second].pins.is_admitted(session)

    asyncio.run(case())


def test_decide_nothing_in_the_second_half_that_none_could_have_moved() -> None:
    """Restarted deciders let all sessions onto the trial in its last part."""

    async def case() -> None:
        net = Net()
        fresh = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=0.1))
        fresh.apply_order(ORDER, now() - 55.0, served_before_order=False)
        fresh.update_target(usable=True, now=now() - 50.0)
        for name in NAMES:
            net.restart(name, fresh)
        outside = next(f"s{n}" for n in range(60) if not fresh.may_join_canary(f"s{n}"))
        assert fresh.needs_owner_decision(outside, now())
        assert not await net.desks["i1"].decide(fresh, outside)

    asyncio.run(case())


def test_keep_a_session_in_use_as_long_as_its_stream_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stream runs for longer than a pause; word of it was told at its begin only."""

    async def case() -> None:
        net = Net()
        plan, desk = net.plans["i1"], net.desks["i1"]
        session = next(s for s in find_contested(net) if rank(s, NAMES)[0] == "i2")
        plan.record_old_started(session, now())
        desk.report_in_use(plan)
        began = now()
        for seconds in range(2, 20, 2):
            later = began + seconds
            monkeypatch.setattr(sessions, "now", lambda later=later: later)
            for each in net.plans.values():
                each.permit(requested_at=later)
            desk.tick()
        assert not await net.desks["i3"].decide(net.plans["i3"], session)

    asyncio.run(case())


def test_decide_nothing_right_after_a_cut() -> None:
    """A decider that was cut off let a session move that was in use elsewhere."""

    async def case() -> None:
        net = Net()
        session, first, second = find_asked(net)
        plan = net.plans["i1"]
        plan.record_old_started(session, now())
        net.desks[second].handle(
            "i1",
            SessionUseReport(sequence=1, service="s", number=1, ages={session: 0.0}),
        )
        permission = Permission()
        permission.permit(requested_at=now() - 9.0, admits=True)
        permission.permit(requested_at=now(), admits=True)
        net.plans[first].permission = permission
        assert not await net.desks["i1"].decide(plan, session)

    asyncio.run(case())


def test_tell_of_uses_once_members_have_changed() -> None:
    async def case() -> None:
        net = Net()
        desk, plan = net.desks["i1"], net.plans["i1"]
        desk.report_in_use(plan)
        session, _, _ = find_asked(net)
        desk.set_members(["i1"])
        plan.record_old_started(session, now())
        desk.report_old(plan, session)
        desk.set_members(NAMES)
        for name in rank(session, NAMES)[:2]:
            assert net.plans[name].pins.is_in_use(session, now())

    asyncio.run(case())


def test_let_the_first_decider_answer_for_what_it_let_in() -> None:
    """A question is lost at the end; the second decider sent the session back."""

    async def case() -> None:
        net = Net()
        session, first, second = find_asked(net)
        for plan in net.plans.values():
            plan.begin_final_phase(now(), quota=0.0)
        net.plans[first].final_budget = FinalPhaseBudget(quota=9.0)
        desk, plan = net.desks["i1"], net.plans["i1"]
        assert await desk.decide(plan, session)
        net.lose[VersionQuery] = 1
        assert await desk.decide(plan, session)
        assert not net.plans[second].pins.is_admitted(session)

    asyncio.run(case())


def test_know_at_the_first_decider_what_the_second_let_in() -> None:
    async def case() -> None:
        net = Net()
        session, first, second = find_asked(net)
        for plan in net.plans.values():
            plan.begin_final_phase(now(), quota=0.0)
        net.plans[second].final_budget = FinalPhaseBudget(quota=9.0)
        net.lose[VersionQuery] = 1
        desk, plan = net.desks["i1"], net.plans["i1"]
        assert await desk.decide(plan, session)
        desk.report_new(plan, session)
        assert net.plans[first].pins.is_admitted(session)
        assert await desk.decide(plan, session)

    asyncio.run(case())
