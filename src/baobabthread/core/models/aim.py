"""The quality to aim at so that the target is met in spite of what is unknown."""

from __future__ import annotations

import math

from baobabthread.core.models.evidence import SharedEvidence

MARGIN_ERRORS = 1.0
"""Standard errors of the quality that the target is raised by."""
FEEDBACK = 1.0
"""Share of a surplus or deficit of quality that the aim makes up for."""
LEAST_SERVED = 500.0
MOST_CREDIT = 0.0
"""Bound on how far past quality above the target lowers the aim."""
MOST_DEBT = 0.03
"""Bound on how far past quality under the target raises the aim."""
GRACE_S = 60.0
"""Age of the newest rating from which the margin widens."""
MARGIN_PER_S = 0.01 / 600
MAX_AGE_MARGIN = 0.5
"""Bound on the margin for age, as a share of what the target leaves to 1."""


def find_aim(evidence: SharedEvidence, *, target: float, now: float) -> float:
    """Return the target, raised by the margin and by a deficit of late."""
    margin = _find_thin_margin(evidence, target) + _find_age_margin(
        evidence, target, now
    )
    return min(1.0, target + margin - _find_surplus(evidence, target))


def _find_surplus(evidence: SharedEvidence, target: float) -> float:
    """Return how much the answers of late were better than the target."""
    served = evidence.add_served()
    if served.answers < LEAST_SERVED:
        return 0.0
    surplus = (served.quality - target) * FEEDBACK
    return max(-MOST_DEBT, min(surplus, MOST_CREDIT))


def _find_thin_margin(evidence: SharedEvidence, target: float) -> float:
    spread = target * (1 - target)
    return MARGIN_ERRORS * math.sqrt(spread / (evidence.count_all_rated() + 1))


def _find_age_margin(evidence: SharedEvidence, target: float, now: float) -> float:
    newest = evidence.last_rating_s
    if newest is None:
        return 0.0
    # With the rating service out a version may turn worse unseen. The last calibration
    # stays, and traffic drifts to stronger versions bit by bit: a jump would multiply
    # the cost in an outage that changed nothing.
    age = max(0.0, now - newest - GRACE_S)
    return min(MARGIN_PER_S * age, MAX_AGE_MARGIN * (1 - target))
