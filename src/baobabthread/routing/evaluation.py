"""When a version on trial takes over, succeeds or is taken back: the leader's part."""

from __future__ import annotations

from collections.abc import Iterable

from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.exposure import ExposureTotals
from baobabthread.routing.progress import Progress
from baobabthread.routing.versions import VersionPlan

MIN_CANARY_S = 2.5
"""Shortest trial before the new version takes over."""
MIN_RESPONSES = 12
"""Answers of the new version that are enough to be known before it takes over."""
MIN_KNOWN_FRACTION = 0.5
"""Part of the requests that it got whose answers must be known where they are fewer."""
COMPLETION_FRACTION = 0.02
MIN_COMPLETION_S = 0.35
MAX_COMPLETION_S = 0.6
"""Time before the limit at which the move is ended though some requests run on, as a
part of the limit, and its bounds: their streams can be resumed, a missed limit can't be
made good."""
EARLIEST_COMPLETION_FACTOR = 1.25
"""Times that time before the limit from which on a move may be ended at all."""


def evaluate_rollout(
    plan: VersionPlan,
    others: Iterable[Progress],
    members: int,
    now: float,
    *,
    totals: ExposureTotals,
) -> RolloutState:
    """Return what the conductor writes of a roll-out now.

    `others` are the other instances' latest words, `members` their number, `totals`
    what all have sent.
    """
    if plan.order is None or plan.state is not RolloutState.RUNNING:
        return plan.state
    if plan.analysis.alarm is not None:
        return RolloutState.REVERTED
    own = plan.progress(now)
    assert own is not None
    reports = [p for p in others if p.number == plan.order.number]
    if any(word.alarm is not None for word in reports):
        return RolloutState.REVERTED
    if not plan.is_final and totals.is_overdrawn(
        elapsed_s=plan.elapsed(now), left_s=plan.left_s(now)
    ):
        return RolloutState.REVERTED
    if not plan.is_final:
        # The version in force is known to be good; an operator may order anew.
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
        # Once the old version is stopped, nothing can be held back any more.
        return RolloutState.RUNNING
    # The old version is stopped at once when this is written: whoever still runs
    # something there would see it cut.
    moved = [w for w in reports if w.share >= 1.0 and w.old_running == 0]
    if own.old_running == 0 and len(moved) >= members:
        return RolloutState.SUCCEEDED
    return RolloutState.SUCCEEDED if left_s <= completion_s else RolloutState.RUNNING


def _has_enough_responses(plan: VersionPlan, totals: ExposureTotals) -> bool:
    """Tell whether enough answers of the new version are known to let it go on."""
    min_seen = min(MIN_RESPONSES, MIN_KNOWN_FRACTION * totals.total.exposed)
    return plan.analysis.seen >= min_seen


def find_completion_s(time_limit_s: float) -> float:
    """Return how long before a time limit a move is ended at the latest."""
    return min(
        MAX_COMPLETION_S, max(MIN_COMPLETION_S, COMPLETION_FRACTION * time_limit_s)
    )


def may_begin_final_phase(
    plan: VersionPlan, totals: ExposureTotals, now: float
) -> bool:
    """Tell whether the conductor lets the new version take over now."""
    if not plan.is_running or not plan.has_target_servers or plan.is_final:
        return False
    if plan.analysis.alarm is not None or plan.analysis.looks_worse:
        return False
    if plan.ready_s(now) < MIN_CANARY_S or not _has_enough_responses(plan, totals):
        return False
    if plan.left_s(now) > plan.promotion_window_s:
        return False
    return totals.may_promote(elapsed_s=plan.elapsed(now), left_s=plan.left_s(now))
