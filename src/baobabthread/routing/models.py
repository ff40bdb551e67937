"""Choice of the model for a request, and escalation to larger models."""

from __future__ import annotations

from typing import Protocol

import msgspec

from baobabthread.core.registry import Registry

MIN_ACCEPT_CONFIDENCE = 0.60
"""Confidence of the smallest model from which its response is accepted."""
LARGEST_MODEL_CONFIDENCE = 0.45
"""Confidence of the smallest model below which the largest one is asked directly."""
MIN_MIDDLE_CONFIDENCE = 0.35
"""Confidence of the smallest model from which an intermediate model helps. Below it,
the next response has a confidence over 0.5 in only 10 of 70 cases, from 0.40 on in 216
of 249."""
MIN_MIDDLE_ACCEPT_CONFIDENCE = 0.55
"""Confidence of an intermediate model below which the largest one is asked."""
LATE_VALUE = 0.4
"""Value of a good but late response relative to one in time. Responses of the smallest
model at the acceptance threshold that follows from it are good in about this fraction
of cases."""
TIGHT_FRACTION = 0.3
"""Fraction of the latency objective that must be left for a larger model's response to
count as certainly in time."""


class PendingResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response whose first part has arrived and is not yet passed on."""

    count: int
    """Number of candidate models, ordered from the smallest."""
    index: int
    """Index of the model that produced the response."""
    confidence: float | None
    """Confidence that the model reports, 0 to 1."""
    costs: tuple[float, ...] = ()
    """Current cost of the engine time for each model's response, as a fraction of a
    response's value; empty while engines are idle."""
    spare: float = 1.0
    """Time left after a larger model's first part, as a fraction of the objective."""

    def describe(self) -> str:
        """Return the cost of the largest model and the spare time, for the log."""
        return f"price {self.cost(self.count - 1):.2f} spare {self.spare:.2f}"

    def cost(self, index: int) -> float:
        """Return the cost of a model's response."""
        return self.costs[index] if self.costs else 0.0

    @property
    def value(self) -> float:
        """Value of a larger model's response: 1 if it is certainly in time."""
        in_time = min(1.0, max(0.0, self.spare / TIGHT_FRACTION))
        return LATE_VALUE + (1.0 - LATE_VALUE) * in_time


class ModelChoice(Protocol):
    """Strategy that chooses the first model and escalates to larger ones."""

    def choose_first(self, count: int) -> int:
        """Return the index of the first model to ask."""

    def escalate(self, response: PendingResponse) -> int | None:
        """Return the index of a larger model to ask, or `None` to accept."""


MODEL_CHOICES: Registry[ModelChoice] = Registry(what="model choice")


class Largest:
    """Always asks the largest model, as the quality baseline."""

    __slots__ = ()

    def choose_first(self, count: int) -> int:
        """Return the index of the largest model."""
        return count - 1

    def escalate(self, response: PendingResponse) -> int | None:
        """Accept every response."""
        return None


class Staged:
    """Asks the smallest model first and escalates by its reported confidence.

    A response that is dropped at its first part costs the prompt processing of a small
    model, a fraction of the cost of a complete response of the largest one.
    """

    __slots__ = ()

    def choose_first(self, count: int) -> int:
        """Return the index of the smallest model."""
        return 0

    def escalate(self, response: PendingResponse) -> int | None:
        """Return the largest model after a poor response, the next after a fair one."""
        last = response.count - 1
        if response.index >= last or response.confidence is None:
            return None
        # On overloaded engines, responses of larger models are late and delay others,
        # so a response that is already available is worth more.
        confidence = response.confidence / response.value
        if response.index > 0:
            return (
                last
                if confidence + response.cost(last) < MIN_MIDDLE_ACCEPT_CONFIDENCE
                else None
            )
        if confidence + response.cost(last) < LARGEST_MODEL_CONFIDENCE:
            return last
        if response.confidence < MIN_MIDDLE_CONFIDENCE:
            return None
        return 1 if confidence + response.cost(1) < MIN_ACCEPT_CONFIDENCE else None


MODEL_CHOICES.register("largest")(Largest())
MODEL_CHOICES.register("staged")(Staged())
