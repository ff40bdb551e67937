"""What a conductor does next about one roll-out."""

from __future__ import annotations

import msgspec

from baobabthread.core.configuration.configuration import VersionState
from baobabthread.core.rollouts.rollout import (
    Phase,
    PlannedRollout,
    RolledBack,
    RolloutDone,
    RolloutLife,
    RolloutRecord,
    StepAdvanced,
)

LEAST_OUTCOMES = 30
"""Ratings of the new version that a step needs before the next one."""
LOADING_PATIENCE_S = 1800.0
"""How long engines may take to load before the roll-out is rolled back."""
HOLD_PATIENCE = 20.0
"""Holds that a step waits for its ratings before the roll-out is rolled back."""
LEAST_PATIENCE_S = 900.0


class Advance(msgspec.Struct, frozen=True, kw_only=True):
    """Go to a step."""

    step: int


class Hold(msgspec.Struct, frozen=True, kw_only=True):
    """Stay at the present step for now."""

    reason: str


class RollBack(msgspec.Struct, frozen=True, kw_only=True):
    """Give the old version all traffic again."""

    reason: str


class Done(msgspec.Struct, frozen=True, kw_only=True):
    """Finish: the new version has held all traffic long enough."""


Decision = Advance | Hold | RollBack | Done


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what a conductor sees of a roll-out's new version."""

    ready: bool
    """Whether enough engines have loaded it to serve the next step."""
    state: VersionState = VersionState.OFFERED
    barred: bool = False
    """Whether it is quarantined, for one call or for all."""
    alarm: str | None = None
    """Why a detector here calls it bad, before the quarantine is in the log."""
    suspected: bool = False
    """Whether a detector halves its traffic."""
    outcomes: int
    """Its ratings since the present step began, at all entries."""


def next_step(
    planned: PlannedRollout, life: RolloutLife, situation: Situation, *, now: float
) -> Decision:
    """Return what to do next; a successor decides the same from the stream."""
    if life.is_final:
        return Hold(reason="finished")
    bad = _find_fault(situation)
    if bad is not None:
        return RollBack(reason=bad)
    waited = now - life.since_s
    if life.step < 0:
        return _decide_loading(situation, waited)
    if waited < planned.plan.hold_s:
        return Hold(reason="the step has not lasted long enough")
    patience = max(LEAST_PATIENCE_S, HOLD_PATIENCE * planned.plan.hold_s)
    blocked = _find_block(situation)
    if blocked is not None:
        # A roll-out must not stop halfway for a person to notice; the old version
        # is the one whose quality is known, so waiting ends with it.
        if waited >= patience:
            return RollBack(reason=f"{blocked} for {waited:.0f} s")
        return Hold(reason=blocked)
    if life.step >= len(planned.plan.steps) - 1:
        return Done()
    return Advance(step=life.step + 1)


def _find_fault(situation: Situation) -> str | None:
    if situation.alarm is not None:
        return situation.alarm
    if situation.barred:
        return "the new version is quarantined"
    if situation.state is not VersionState.OFFERED:
        return f"the new version is {situation.state}"
    return None


def _decide_loading(situation: Situation, waited: float) -> Decision:
    if situation.ready:
        return Advance(step=0)
    if waited >= LOADING_PATIENCE_S:
        return RollBack(reason=f"not loaded after {waited:.0f} s")
    return Hold(reason=Phase.LOADING.value)


def _find_block(situation: Situation) -> str | None:
    if situation.suspected:
        return "the new version is suspected"
    if situation.outcomes < LEAST_OUTCOMES:
        return "too few ratings"
    if not situation.ready:
        return "too few engines have it"
    return None


def make_record(
    planned: PlannedRollout, decision: Decision, fence: int
) -> RolloutRecord | None:
    """Return the record that carries a decision out; a hold needs none."""
    service = planned.plan.service
    match decision:
        case Advance(step=step):
            return StepAdvanced(
                rollout=planned.id, service=service, step=step, fence=fence
            )
        case Done():
            return RolloutDone(rollout=planned.id, service=service, fence=fence)
        case RollBack(reason=reason):
            return RolledBack(
                rollout=planned.id, service=service, fence=fence, reason=reason
            )
    return None
