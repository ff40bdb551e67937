"""Helpers to start roll-outs in the tests of versions, canaries and evaluation."""

from __future__ import annotations

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.canary import CanaryAnalysis
from baobabthread.routing.configuration import RolloutOrder
from baobabthread.routing.versions import VersionPlan

BOUNDS = RoutingBounds(exposure_share=0.2, session_s=5.0)


SESSIONS = [f"s{number}" for number in range(500)]


LIMIT_S = 24.0


FAR_FUTURE_S = 1e6


def begin_rollout(
    *, ready_at: float | None = 1.0, permitted_at: float = FAR_FUTURE_S
) -> VersionPlan:
    plan = VersionPlan(service="s", bounds=BOUNDS)
    order = RolloutOrder(offset=1, service="s", target="v2", time_limit_s=LIMIT_S)
    assert plan.apply_order(order, 0.0)
    if ready_at is not None:
        plan.update_target(usable=True, now=ready_at)
    plan.permit(requested_at=permitted_at)
    return plan


def observe_responses(plan: VersionPlan, *, bad: int = 0, seen: int = 60) -> None:
    """Record responses of both versions, of which `bad` of the new one failed.

    The failures are spread evenly, so that the bets see no cluster.
    """
    for _ in range(200):
        observe_latency(plan.analysis, 0.1, is_canary=False)
    for number in range(seen):
        failed = bad > 0 and number % (seen // bad) == seen // bad - 1
        plan.analysis.observe_response(
            is_canary=True, call="c", kind="c", failed=failed, latency_s=0.1
        )


def observe_latency(
    analysis: CanaryAnalysis, latency_s: float, *, is_canary: bool
) -> None:
    analysis.observe_response(
        is_canary=is_canary, call="c", kind="c", failed=False, latency_s=latency_s
    )


def count_new(plan: VersionPlan, now: float) -> int:
    return sum(plan.choose(session, now) for session in SESSIONS)
