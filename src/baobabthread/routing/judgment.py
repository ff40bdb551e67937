"""When a version on trial takes over, succeeds or is taken back: the leader's part."""

from __future__ import annotations

from collections.abc import Iterable

from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.exposure import Totals
from baobabthread.routing.progress import Progress
from baobabthread.routing.versions import VersionPlan

LEAST_TRIAL_S = 2.5
"""Shortest trial before the new version takes over."""
LEAST_SEEN = 12
"""Answers of the new version that are enough to be known before it takes over."""
KNOWN_PART = 0.5
"""Part of the requests that it got whose answers must be known where they are fewer."""
END_PART = 0.02
LEAST_END_S = 0.35
MOST_END_S = 0.6
"""Time before the limit at which the move is ended though some requests run on, as a
part of the limit, and its bounds: their streams can be resumed, a missed limit can't be
made good."""
EARLIEST_END = 1.25
"""Times that time before the limit from which on a move may be ended at all."""


def judge_rollout(
    plan: VersionPlan,
    others: Iterable[Progress],
    members: int,
    now: float,
    *,
    totals: Totals,
) -> RolloutState:
    """Return what the conductor writes of a roll-out now.

    `others` are the other instances' latest words, `members` their number, `totals`
    what all have sent.
    """
    if plan.order is None or plan.state is not RolloutState.RUNNING:
        return plan.state
    if plan.trial.alarm is not None:
        return RolloutState.REVERTED
    own = plan.progress(now)
    assert own is not None
    words = [p for p in others if p.number == plan.order.number]
    if any(word.alarm is not None for word in words):
        return RolloutState.REVERTED
    if not plan.is_final and totals.is_overdrawn(
        elapsed_s=plan.elapsed(now), left_s=plan.left_s(now)
    ):
        return RolloutState.REVERTED
    if not plan.is_final:
        # The version in force is known to be good; an operator may order anew.
        is_over = plan.left_s(now) <= 0.0
        return RolloutState.REVERTED if is_over else RolloutState.RUNNING
    if plan.trial.looks_worse:
        return RolloutState.REVERTED
    end_s = find_end_s(plan.order.time_limit_s)
    left_s = plan.left_s(now)
    if left_s > EARLIEST_END * end_s:
        return RolloutState.RUNNING
    if not _is_known(plan, totals) or not totals.may_end(
        elapsed_s=plan.elapsed(now), left_s=left_s
    ):
        # Once the old version is stopped, nothing can be held back any more.
        return RolloutState.RUNNING
    # The old version is stopped at once when this is written: whoever still runs
    # something there would see it cut.
    moved = [w for w in words if w.share >= 1.0 and w.old_running == 0]
    if own.old_running == 0 and len(moved) >= members:
        return RolloutState.SUCCEEDED
    return RolloutState.SUCCEEDED if left_s <= end_s else RolloutState.RUNNING


def _is_known(plan: VersionPlan, totals: Totals) -> bool:
    """Tell whether enough answers of the new version are known to let it go on."""
    least = min(LEAST_SEEN, KNOWN_PART * totals.total.exposed)
    return plan.trial.seen >= least


def find_end_s(time_limit_s: float) -> float:
    """Return how long before a time limit a move is ended at the latest."""
    return min(MOST_END_S, max(LEAST_END_S, END_PART * time_limit_s))


def may_begin_final(plan: VersionPlan, totals: Totals, now: float) -> bool:
    """Tell whether the conductor lets the new version take over now."""
    if not plan.is_running or not plan.has_begun or plan.is_final:
        return False
    if plan.trial.alarm is not None or plan.trial.looks_worse:
        return False
    if plan.ready_s(now) < LEAST_TRIAL_S or not _is_known(plan, totals):
        return False
    if plan.left_s(now) > plan.closing_s:
        return False
    return totals.may_take_over(elapsed_s=plan.elapsed(now), left_s=plan.left_s(now))
