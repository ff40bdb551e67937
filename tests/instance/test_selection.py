"""Tests of which version and which server a request gets."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from bench._rollout_members import make_flight

from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.selection import Selection
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutOrder
from baobabthread.routing.mechanisms import Mechanism
from baobabthread.routing.permission import Permission
from baobabthread.routing.reasons import VersionReason
from baobabthread.routing.versions import VersionPlan


class Servers:
    """List servers of two versions; some of them are full."""

    def __init__(self) -> None:
        self.names = {
            "v1": ["old1", "old2"],
            "v2": ["canary", "new1", "new2"],
        }
        self.full: set[str] = set()

    def versions(self, service: str) -> dict[str, int]:
        return {version: len(names) for version, names in self.names.items() if names}

    def list_non_canaries(
        self, service: str, version: str, canaries: int
    ) -> frozenset[str]:
        return frozenset(self.names[version][1:])

    def pick(self, service: str, *, version: str, exclude: set[str], **_: Any) -> Any:
        names = [n for n in self.names[version] if n not in exclude | self.full]
        return SimpleNamespace(name=names[0]) if names else None


def make_selection(servers: Servers) -> Selection:
    nothing: Any = None
    backends: Any = servers
    return Selection(
        replica=nothing,
        backends=backends,
        estimates=Estimates(),
        placement=nothing,
        disabled=frozenset({Mechanism.LOAD_QUERIES, Mechanism.PROMPT_AFFINITY}),
    )


def make_plan() -> VersionPlan:
    plan = VersionPlan(service="content", bounds=RoutingBounds(exposure_share=0.1))
    plan.update_versions({"v1": 2})
    order = RolloutOrder(number=1, service="content", target="v2", time_limit_s=60.0)
    plan.apply_order(order, now() - 10.0)
    plan.update_target(usable=True, now=now() - 9.0)
    plan.permit(requested_at=now())
    return plan


def make_moved() -> RequestContext:
    flight = make_flight("s")
    flight.session_on_new_version = True
    return flight


def choose(servers: Servers, flight: RequestContext, plan: VersionPlan) -> str:
    link = asyncio.run(make_selection(servers).select(flight, plan))
    assert link is not None
    return link.name


def test_keep_a_session_on_the_new_version_when_its_few_servers_are_full() -> None:
    """The servers on trial are busy, and a session that has moved went back."""
    servers = Servers()
    assert choose(servers, make_moved(), make_plan()) == "canary"
    servers.full = {"canary"}
    assert choose(servers, make_moved(), make_plan()) == "new1"


def test_serve_a_session_on_the_old_version_when_no_new_server_is_left() -> None:
    servers = Servers()
    servers.full = set(servers.names["v2"])
    flight = make_moved()
    assert choose(servers, flight, make_plan()) == "old1"
    assert flight.version_reason is VersionReason.NO_SERVER


def test_tell_why_a_request_gets_its_version() -> None:
    servers, plan = Servers(), make_plan()
    flight = make_flight("s")
    assert choose(servers, flight, plan) == "old1"
    inside = plan.may_join_canary(flight.session)
    assert flight.version_reason is (
        VersionReason.KEPT if inside else VersionReason.NOT_CANARY
    )
    flight = make_moved()
    choose(servers, flight, plan)
    assert flight.version_reason is VersionReason.CANARY
    plan.analysis.alarm = "errors"
    flight = make_moved()
    assert choose(servers, flight, plan) == "old1"
    assert flight.version_reason is VersionReason.ROLLED_BACK


def test_leave_the_new_version_only_when_no_word_is_left() -> None:
    servers, plan = Servers(), make_plan()
    plan.permission = Permission()
    flight = make_moved()
    assert choose(servers, flight, plan) == "old1"
    assert flight.version_reason is VersionReason.NO_PERMIT
    plan.permission.confirm(requested_at=now())
    assert choose(servers, make_moved(), plan) == "canary"
