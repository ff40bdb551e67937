"""Tests of what instances know of sessions in use when the next order comes."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from bench._virtual import run_virtually

from baobabthread.instance.clock import now
from baobabthread.instance.sessions import SessionCoordinator
from baobabthread.instance.sessionuse import SessionUse
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from baobabthread.routing.versions import VersionPlan

SESSION = "s1"


class Deployment:
    """One instance that owns all sessions of a service."""

    def __init__(self) -> None:
        self.plan = VersionPlan(service="s", bounds=RoutingBounds(exposure_share=1.0))
        self.sessions = SessionCoordinator(
            me="i1", send=lambda to, message: None, find_plan=lambda name: self.plan
        )
        self.sessions.set_members(["i1"])

    def order(self, offset: int, target: str) -> None:
        """Begin a roll-out, as it is read from the store."""
        order = RolloutOrder(
            offset=offset, service="s", target=target, time_limit_s=60.0
        )
        self.plan.apply_order(order, now())
        self.sessions.report_in_use(self.plan)

    def succeed(self, offset: int, target: str) -> None:
        """End a roll-out."""
        status = RolloutStatus(
            service="s", target=target, state=RolloutState.SUCCEEDED, offset=offset
        )
        self.plan.apply_status(status, now())

    def begin_attempt(self, *, on_new_version: bool) -> SessionUse:
        """Begin an attempt of the session's request."""
        context: Any = SimpleNamespace(
            session=SESSION, is_sessionless=False, on_new_version=on_new_version
        )
        return SessionUse(context=context, plan=self.plan, sessions=self.sessions)

    @property
    def is_in_use(self) -> bool:
        """Whether the session stays on the old version."""
        return self.plan.pins.is_in_use(SESSION, now())


def test_know_sessions_that_a_roll_out_has_moved_at_the_next_one() -> None:
    """A second roll-out moved sessions in the middle of their requests."""
    site = Deployment()
    site.order(1, "v2")
    site.succeed(1, "v2")
    site.begin_attempt(on_new_version=True).end()
    site.order(2, "v3")
    assert site.is_in_use


def test_know_sessions_that_were_last_used_before_the_first_one_ended() -> None:
    site = Deployment()
    site.order(1, "v2")
    site.begin_attempt(on_new_version=True).end()
    site.succeed(1, "v2")
    site.order(2, "v3")
    assert site.is_in_use


def test_know_sessions_whose_request_runs_when_the_next_order_comes() -> None:
    site = Deployment()
    site.order(1, "v2")
    site.succeed(1, "v2")
    use = site.begin_attempt(on_new_version=True)
    site.order(2, "v3")
    assert site.is_in_use
    use.end()
    assert SESSION not in site.plan.pins.list_new(now())
    assert SESSION in site.plan.pins.list_old(now())


def test_report_no_session_as_moved_for_the_version_before() -> None:
    """A request of one roll-out's version ends after the next order came."""
    site = Deployment()
    site.order(1, "v2")
    use = site.begin_attempt(on_new_version=True)
    site.succeed(1, "v2")
    site.order(2, "v3")
    use.end()
    assert not site.plan.pins.is_on_new(SESSION)
    assert site.is_in_use


def test_know_a_session_whose_stream_outlasts_its_idle_time() -> None:
    """It began in the final phase of one roll-out and still runs at the next order."""

    async def case() -> None:
        site = Deployment()
        site.order(1, "v2")
        site.plan.begin_final_phase(now())
        use = site.begin_attempt(on_new_version=True)
        site.succeed(1, "v2")
        await asyncio.sleep(site.plan.pins.idle_s + 1.0)
        site.order(2, "v3")
        assert site.is_in_use
        use.end()
        assert site.plan.pins.running_old_count == 0

    run_virtually(case())
