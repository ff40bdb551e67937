"""Estimates of what each step of a cascade costs and brings."""

from __future__ import annotations

from collections.abc import Sequence

from baobabthread.core.models.calibration import (
    AFTER_PRIOR,
    BINS,
    FIRST_PRIOR,
    LAST_PRIOR,
    Cell,
    CellKey,
    fit_chances,
)
from baobabthread.core.models.escalation import Case, Step, describe_step
from baobabthread.core.models.evidence import MixKey, SharedEvidence
from baobabthread.core.requests.attempts import VersionCost

DEFAULT_TOKENS = 200.0
BASE_WEIGHT = 10.0
"""Answers that the spread of a version's first attempts counts for."""


class Estimates:
    """Work chances, costs and spreads out from the evidence, and remember them."""

    def __init__(
        self, *, evidence: SharedEvidence, costs: Sequence[VersionCost]
    ) -> None:
        self._evidence = evidence
        self._costs = {each.name: each.cost for each in costs}
        self._strongest = costs[-1].name if costs else ""
        self._chances: dict[CellKey, list[float]] = {}

    def clear(self) -> None:
        """Forget the estimates: the evidence changed."""
        self._chances.clear()

    def find_chances(self, key: CellKey) -> list[float]:
        """Return the chance of a good answer for each bin of the signal."""
        chances = self._chances.get(key)
        if chances is None:
            chances = self._chances[key] = self._fit(key)
        return chances

    def _fit(self, key: CellKey) -> list[float]:
        cell = self._evidence.find_total(key)
        if key.after:
            base = self.find_chances(CellKey(call=key.call, version=key.version))
            return fit_chances(cell, prior=AFTER_PRIOR, base=base)
        is_strongest = key.version == self._strongest
        return fit_chances(cell, prior=LAST_PRIOR if is_strongest else FIRST_PRIOR)

    def describe_case(self, kind: MixKey, *, weight: float) -> Case:
        """Return what each version would cost and bring to one kind of request."""
        rows = []
        for state in range(len(kind.versions)):
            after = kind.versions[state - 1] if state else ""
            row = [
                self._describe_step(kind.call, version, after)
                for version in kind.versions[state:]
            ]
            rows.append(row)
        return Case(weight=weight, steps=rows)

    def _describe_step(self, call: str, version: str, after: str) -> Step:
        first = CellKey(call=call, version=version)
        key = CellKey(call=call, version=version, after=after)
        cell = self._evidence.find_total(key)
        base = self._evidence.find_total(first)
        tokens = cell.mean_tokens(default=base.mean_tokens(default=DEFAULT_TOKENS))
        return describe_step(
            cost=self._costs.get(version, 0.0) * tokens / 1000,
            shares=_find_shares(cell, base),
            chances=self.find_chances(key),
        )


def _find_shares(cell: Cell, base: Cell) -> list[float]:
    """Return how the answers spread over the bins; those of `base` when few."""
    base_total = sum(base.answers) or 1.0
    counts = [
        own + BASE_WEIGHT * other / base_total
        for own, other in zip(cell.answers, base.answers, strict=True)
    ]
    total = sum(counts)
    if total <= 0:
        return [1.0 / BINS] * BINS
    return [count / total for count in counts]
