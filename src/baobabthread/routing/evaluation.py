"""The leader's decisions on a canary: promotion, completion and rollback."""

from __future__ import annotations

from collections.abc import Iterable

from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.exposure import ExposureTotals
from baobabthread.routing.progress import Progress
from baobabthread.routing.versions import VersionPlan

MIN_CANARY_S = 2.5
"""Minimum duration of the canary phase before a promotion."""
MIN_RESPONSES = 12
"""Responses of the new version that suffice for its promotion."""
MIN_KNOWN_FRACTION = 0.5
"""Fraction of the attempts on the new version whose responses suffice if that is fewer
than `MIN_RESPONSES`."""
COMPLETION_FRACTION = 0.02
MIN_COMPLETION_S = 0.35
MAX_COMPLETION_S = 0.6
"""Time before the limit at which a roll-out is completed even if requests still run on
the old version, as a fraction of the limit and with bounds. Their streams can be
resumed, whereas a missed limit cannot be repaired."""
EARLIEST_COMPLETION_FACTOR = 1.25
"""No roll-out is completed earlier than this multiple of that time before its limit."""


def evaluate_rollout(
    plan: VersionPlan,
    others: Iterable[Progress],
    members: int,
    now: float,
    *,
    totals: ExposureTotals,
) -> RolloutState:
    """Return the state that the leader writes for a roll-out now.

    `others` are the latest reports of the other instances, `members` is the number of
    other instances, and `totals` are the counts of all instances.
    """
    if plan.order is None or plan.state is not RolloutState.RUNNING:
        return plan.state
    if plan.analysis.alarm is not None:
        return RolloutState.REVERTED
    own = plan.progress(now)
    assert own is not None
    reports = [p for p in others if p.number == plan.order.number]
    if any(report.alarm is not None for report in reports):
        return RolloutState.REVERTED
    if not plan.is_final and totals.is_overdrawn(
        elapsed_s=plan.elapsed(now), left_s=plan.left_s(now)
    ):
        return RolloutState.REVERTED
    if not plan.is_final:
        # The version in force is known to be good, and an operator may order again.
        is_over = plan.left_s(now) <= 0.0
        return RolloutState.REVERTED if is_over else RolloutState.RUNNING
    if plan.analysis.looks_worse:
        return RolloutState.REVERTED
    completion_s = find_completion_s(plan.order.time_limit_s)
    left_s = plan.left_s(now)
    if left_s > EARLIEST_COMPLETION_FACTOR * completion_s:
        return RolloutState.RUNNING
    if not _has_enough_responses(plan, totals) or not totals.may_complete(
        elapsed_s=plan.elapsed(now), left_s=left_s
    ):
        # Once the old version is stopped, no request can be kept away from the new one.
        return RolloutState.RUNNING
    # The old version is stopped as soon as this is written, which would cut requests
    # that still run on it.
    moved = [r for r in reports if r.share >= 1.0 and r.old_running == 0]
    if own.old_running == 0 and len(moved) >= members:
        return RolloutState.SUCCEEDED
    return RolloutState.SUCCEEDED if left_s <= completion_s else RolloutState.RUNNING


def _has_enough_responses(plan: VersionPlan, totals: ExposureTotals) -> bool:
    """Return whether enough responses of the new version were seen to go on."""
    min_seen = min(MIN_RESPONSES, MIN_KNOWN_FRACTION * totals.total.exposed)
    return plan.analysis.seen >= min_seen


def find_completion_s(time_limit_s: float) -> float:
    """Return how long before its time limit a roll-out is completed at the latest."""
    return min(
        MAX_COMPLETION_S, max(MIN_COMPLETION_S, COMPLETION_FRACTION * time_limit_s)
    )


def may_begin_final_phase(
    plan: VersionPlan, totals: ExposureTotals, now: float
) -> bool:
    """Return whether the leader may promote the new version now."""
    if not plan.is_running or not plan.has_target_servers or plan.is_final:
        return False
    if plan.analysis.alarm is not None or plan.analysis.looks_worse:
        return False
    if plan.ready_s(now) < MIN_CANARY_S or not _has_enough_responses(plan, totals):
        return False
    if plan.left_s(now) > plan.promotion_window_s:
        return False
    return totals.may_promote(elapsed_s=plan.elapsed(now), left_s=plan.left_s(now))
