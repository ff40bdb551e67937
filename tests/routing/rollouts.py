"""Roll-outs as the tests of versions, trials and judgment begin them."""

from __future__ import annotations

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutOrder
from baobabthread.routing.trial import Trial
from baobabthread.routing.versions import VersionPlan

BOUNDS = RoutingBounds(exposure_share=0.2, session_s=5.0)


SESSIONS = [f"s{number}" for number in range(500)]


LIMIT_S = 24.0


ALL_DAY_S = 1e6


def begin(
    *, ready_at: float | None = 1.0, permitted_at: float = ALL_DAY_S
) -> VersionPlan:
    plan = VersionPlan(service="s", bounds=BOUNDS)
    order = RolloutOrder(number=1, service="s", target="v2", time_limit_s=LIMIT_S)
    assert plan.take_order(order, 0.0)
    if ready_at is not None:
        plan.note_target(usable=True, now=ready_at)
    plan.permit(asked_at=permitted_at)
    return plan


def prove(plan: VersionPlan, *, bad: int = 0, seen: int = 60) -> None:
    """Let the trial see answers of both versions; so many of the new one fail.

    They lie apart, so that the bets take none of them for a row.
    """
    for _ in range(200):
        observe_latency(plan.trial, 0.1, on_trial=False)
    for number in range(seen):
        failed = bad > 0 and number % (seen // bad) == seen // bad - 1
        plan.trial.observe(
            on_trial=True, call="c", kind="c", failed=failed, latency_s=0.1
        )


def observe_latency(trial: Trial, latency_s: float, *, on_trial: bool) -> None:
    trial.observe(
        on_trial=on_trial, call="c", kind="c", failed=False, latency_s=latency_s
    )


def count_new(plan: VersionPlan, now: float) -> int:
    return sum(plan.choose(session, now) for session in SESSIONS)
