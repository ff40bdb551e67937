"""Which model answers a request, and whether its answer is good enough to pass on."""

from __future__ import annotations

from typing import Protocol

import msgspec

from baobabthread.core.registry import Registry

MIN_ACCEPT_CONFIDENCE = 0.60
"""Confidence of the smallest model from which its answer is passed on."""
LARGEST_MODEL_CONFIDENCE = 0.45
"""Confidence of the smallest model below which only the largest one will do."""
MIN_MIDDLE_CONFIDENCE = 0.35
"""Confidence of the smallest model from which one in between helps at all. Below it the
next answer said over 0.5 of itself in 10 of 70 cases, from 0.40 on in 216 of 249 (the
logs of a day and of twelve seconds of a saturated one)."""
MIN_MIDDLE_ACCEPT_CONFIDENCE = 0.55
"""The same of a model in between, below which the largest one follows."""


LATE_VALUE = 0.4
"""What a good answer that comes late is worth beside one in time. An answer of the
smallest model at the threshold that follows is good about as often."""
TIGHT_FRACTION = 0.3
"""Part of the objective that must be left over for a larger model's answer to count as
surely in time."""


class PendingResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an answer whose first part is at hand and not yet passed on."""

    count: int
    """Number of models that may answer, smallest first."""
    index: int
    """The model that made this answer."""
    confidence: float | None
    """The model's own opinion of it, 0 to 1."""
    costs: tuple[float, ...] = ()
    """What the engine time of each model's answer is worth now, as a part of an
    answer's worth; empty where engines are idle."""
    spare: float = 1.0
    """Time that a larger model's first part would leave, as part of the objective."""

    def describe(self) -> str:
        """Return what speaks against a larger model, for the log."""
        return f"price {self.cost(self.count - 1):.2f} spare {self.spare:.2f}"

    def cost(self, index: int) -> float:
        """Return the price of a model's answer."""
        return self.costs[index] if self.costs else 0.0

    @property
    def value(self) -> float:
        """Give what a larger model's answer would be worth, 1 where it is in time."""
        in_time = min(1.0, max(0.0, self.spare / TIGHT_FRACTION))
        return LATE_VALUE + (1.0 - LATE_VALUE) * in_time


class ModelChoice(Protocol):
    """Choose the model to begin with and the one to go on with."""

    def choose_first(self, count: int) -> int:
        """Return the index of the first model to ask."""

    def escalate(self, response: PendingResponse) -> int | None:
        """Return the index of a larger model to ask instead, or nothing to accept."""


MODEL_CHOICES: Registry[ModelChoice] = Registry(what="model choice")


class Largest:
    """Ask the largest model at once; the baseline that is never wrong."""

    __slots__ = ()

    def choose_first(self, count: int) -> int:
        """Return the last one."""
        return count - 1

    def escalate(self, response: PendingResponse) -> int | None:
        """Accept."""
        return None


class Staged:
    """Ask the smallest model first and go on by what it says of its own answer.

    An answer that is dropped at its head costs the reading of the prompt by a small
    model, a fraction of what the largest one costs for the whole answer.
    """

    __slots__ = ()

    def choose_first(self, count: int) -> int:
        """Return the first one."""
        return 0

    def escalate(self, response: PendingResponse) -> int | None:
        """Return the largest one after a poor answer, the next after a middling one."""
        last = response.count - 1
        if response.index >= last or response.confidence is None:
            return None
        # Engines that are behind make larger answers late, and each of them puts the
        # others behind: then an answer that is there is worth more.
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
