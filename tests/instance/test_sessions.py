"""Tests of who decides on a session while a version is on trial."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.sessions import (
    AskVersion,
    SessionDesk,
    SessionsInUse,
    VersionIs,
)
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutOrder
from baobabthread.routing.versions import VersionPlan

NAMES = ["i1", "i2", "i3"]
ORDER = RolloutOrder(number=1, service="s", target="v2", time_limit_s=60.0)


class Net:
    """Carry messages among desks at once, or lose them."""

    def __init__(self) -> None:
        self.plans: dict[str, VersionPlan] = {}
        self.desks: dict[str, SessionDesk] = {}
        self.lost = False
        self.count = 0
        for name in NAMES:
            plan = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=1.0))
            plan.take_order(ORDER, now() - 10.0)
            plan.note_target(usable=True, now=now() - 9.0)
            self.plans[name] = plan
            self.desks[name] = SessionDesk(
                me=name,
                tell=lambda to, message, me=name: self.carry(me, to, message),
                find_plan=lambda _, plan=plan: plan,
            )
            self.desks[name].set_members(NAMES)

    def carry(self, sender: str, to: str, message: msgspec.Struct) -> None:
        self.count += 1
        if self.lost:
            return
        desk: Any = self.desks[to]
        match message:
            case AskVersion():
                desk.answer(sender, message)
            case VersionIs():
                desk.take(message)
            case SessionsInUse():
                desk.take_uses(message)


def find_contested(net: Net) -> list[str]:
    plan = net.plans["i1"]
    sessions = [f"s{n}" for n in range(60)]
    return [s for s in sessions if plan.is_contested(s, now())]


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
            plan.started_old(session, now())
        net.desks[seen_at].begin(plan)
        for session in find_contested(net):
            for name in NAMES:
                assert not await net.desks[name].decide(net.plans[name], session)
        before = net.count
        net.desks[seen_at].begin(plan)
        assert net.count == before

    asyncio.run(case())


def test_keep_the_old_version_when_nobody_answers() -> None:
    async def case() -> None:
        net = Net()
        net.lost = True
        sessions = find_contested(net)
        desk, plan = net.desks["i1"], net.plans["i1"]
        decided = [await desk.decide(plan, session) for session in sessions[:6]]
        assert False in decided

    asyncio.run(case())
