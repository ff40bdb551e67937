"""Rules that choose which versions answer a request and when to escalate."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from baobabthread.core.models.aim import find_aim
from baobabthread.core.models.calibration import CellKey, find_bin
from baobabthread.core.models.escalation import Plan, Solution, find_plan
from baobabthread.core.models.estimates import Estimates
from baobabthread.core.models.evidence import MixKey, SharedEvidence
from baobabthread.core.registry import Registry
from baobabthread.core.requests.attempts import (
    Attempt,
    Offer,
    Rating,
    Sampler,
    VersionCost,
    draw,
)

RATING_SHARE = 0.1
"""Share of the answers sent to the rating service once evidence is thick."""
THIN_RATINGS = 10.0
"""Ratings of a cell below which its answers are rated more often."""


class CascadeRule(Protocol):
    """Decide for one service at one entry; every method is deterministic."""

    def plan(
        self, *, key: str, call: str, versions: Sequence[str], now: float
    ) -> list[str]:
        """Return the versions to try in order, out of the allowed ones."""

    def accept(self, offer: Offer) -> bool:
        """Tell whether to serve an answer instead of trying the next version."""

    def wants_rating(
        self, attempt: Attempt, *, now: float, least_share: float = 0.0
    ) -> bool:
        """Count one attempt and tell whether to have it rated.

        `least_share` raises the sampled share, as a detector that suspects the
        version asks for.
        """

    def learn(self, rating: Rating, *, now: float) -> bool:
        """Take in a rating and tell whether this entry had asked for it."""

    def evidence(self) -> bytes:
        """Return this entry's counts for its peers; empty when it keeps none."""

    def merge(self, *, origin: str, evidence: bytes, now: float) -> None:
        """Take in a peer's counts; `origin` names its incarnation."""

    def reconfigure(self, *, costs: Sequence[VersionCost], target: float) -> None:
        """Take over the cascade and target of a newly accepted text."""


class RuleFactory(Protocol):
    """Build a rule for one service."""

    def __call__(
        self, *, costs: Sequence[VersionCost], target: float, random: random.Random
    ) -> CascadeRule:
        """Return a rule; `costs` are in cascade order, cheapest first."""


CASCADE_RULES: Registry[RuleFactory] = Registry(what="cascade rule")


class FixedRule:
    """Share what the rules without learning have in common."""

    def __init__(
        self, *, costs: Sequence[VersionCost], target: float, random: random.Random
    ) -> None:
        self._order = [each.name for each in costs]
        self._sampler = Sampler()

    def plan(
        self, *, key: str, call: str, versions: Sequence[str], now: float
    ) -> list[str]:
        """Return all allowed versions."""
        return list(versions)

    def accept(self, offer: Offer) -> bool:
        """Accept every answer."""
        return True

    def wants_rating(
        self, attempt: Attempt, *, now: float, least_share: float = 0.0
    ) -> bool:
        """Sample a fixed share of the answers; detectors need ratings too."""
        return self._sampler.ask(attempt, share=max(RATING_SHARE, least_share))

    def learn(self, rating: Rating, *, now: float) -> bool:
        """Match a rating; nothing is learnt."""
        return self._sampler.take(rating) is not None

    def evidence(self) -> bytes:
        """Return nothing to share."""
        return b""

    def merge(self, *, origin: str, evidence: bytes, now: float) -> None:
        """Ignore what other rules may have shared."""

    def reconfigure(self, *, costs: Sequence[VersionCost], target: float) -> None:
        """Take over the order of the versions."""
        self._order = [each.name for each in costs]


@CASCADE_RULES.register("cheap")
class CheapRule(FixedRule):
    """Serve the cheapest allowed version's answer."""

    def plan(
        self, *, key: str, call: str, versions: Sequence[str], now: float
    ) -> list[str]:
        """Return the first allowed version."""
        return list(versions[:1])


@CASCADE_RULES.register("strong")
class StrongRule(FixedRule):
    """Serve the strongest allowed version's answer."""

    def plan(
        self, *, key: str, call: str, versions: Sequence[str], now: float
    ) -> list[str]:
        """Return the last allowed version."""
        return list(versions[-1:])


FIXED_THRESHOLD = 0.85


@CASCADE_RULES.register("threshold")
class ThresholdRule(FixedRule):
    """Escalate when the engine's own signal is under a fixed threshold."""

    threshold = FIXED_THRESHOLD

    def accept(self, offer: Offer) -> bool:
        """Accept a signal over the threshold, or when nothing else can follow."""
        if offer.is_final:
            return True
        return offer.signal is not None and offer.signal >= self.threshold


REPLAN_S = 5.0
"""How long decisions stand before they are worked out again."""
REPLAN_REQUESTS = 400
"""Requests of this entry after which they are worked out sooner."""
MAX_KINDS = 40
"""Kinds of requests that are planned together, the most frequent ones."""
EXPLORED_SHARE = 0.01
"""Share of the requests that start with a version which the plan leaves out."""
THIN_EXPLORED_SHARE = 0.1
"""The same while that version has few ratings."""
FEW_RATINGS = 60.0


class _Decision:
    """Hold what was worked out for one kind of request."""

    __slots__ = ("high", "high_share", "low")

    def __init__(self, *, low: Solution, high: Solution, high_share: float) -> None:
        self.low = low
        self.high = high
        self.high_share = high_share


@CASCADE_RULES.register("calibrated")
class CalibratedRule:
    """Meet the service's share of good answers at the least expected cost.

    One price of a bad answer holds for all kinds of requests; it is set so that the
    expected quality of the present mix just meets the target.
    """

    def __init__(
        self, *, costs: Sequence[VersionCost], target: float, random: random.Random
    ) -> None:
        self._target = target
        self._sampler = Sampler()
        self._evidence = SharedEvidence()
        self._estimates = Estimates(evidence=self._evidence, costs=costs)
        self._decisions: dict[MixKey, _Decision] = {}
        self._planned_s = -REPLAN_S
        self._requests = 0
        self.aim = target
        """The quality aimed at: the target and its margin."""

    def plan(
        self, *, key: str, call: str, versions: Sequence[str], now: float
    ) -> list[str]:
        """Return the start of least expected cost and what follows it."""
        kind = MixKey(call, tuple(versions))
        self._evidence.count_request(kind)
        self._requests += 1
        self._replan_when_due(now)
        solution = self._choose_solution(key, kind)
        order = []
        state = 0
        while state < len(versions):
            chosen = solution.following[state]
            order.append(versions[chosen])
            state = chosen + 1
        return self._explore(key, call, versions, order)

    def _explore(
        self, key: str, call: str, versions: Sequence[str], order: list[str]
    ) -> list[str]:
        """Start some requests with a version that would get no ratings otherwise."""
        skipped = [each for each in versions if each not in order]
        if not skipped:
            return order
        number = draw("explore", key)
        chosen = skipped[int(draw("explored version", key) * len(skipped))]
        rated = self._evidence.count_rated(CellKey(call=call, version=chosen))
        share = THIN_EXPLORED_SHARE if rated < FEW_RATINGS else EXPLORED_SHARE
        if number >= share:
            return order
        place = versions.index(chosen)
        return [chosen, *(each for each in order if versions.index(each) > place)]

    def accept(self, offer: Offer) -> bool:
        """Accept when a better answer would cost more than it is worth."""
        # Escalating past the deadline loses the answer at hand and brings no other:
        # the caller sees a timeout. An answer in time is served, good or not.
        if offer.is_final:
            return True
        kind = MixKey(offer.call, tuple(offer.versions))
        solution = self._choose_solution(offer.key, kind)
        chances = self._estimates.find_chances(
            CellKey(call=offer.call, version=offer.version, after=offer.after)
        )
        needed = solution.needed[offer.versions.index(offer.version)]
        return chances[find_bin(offer.signal)] >= needed

    def wants_rating(
        self, attempt: Attempt, *, now: float, least_share: float = 0.0
    ) -> bool:
        """Count one attempt; sample it more often where ratings are few."""
        cell_key = _key_of(attempt)
        self._evidence.count_answer(
            cell_key, bin_index=find_bin(attempt.signal), tokens=attempt.tokens
        )
        rated = self._evidence.count_rated(cell_key)
        thin = THIN_RATINGS / (THIN_RATINGS + rated)
        share = max(least_share, min(1.0, RATING_SHARE + thin))
        chances = self._estimates.find_chances(cell_key)
        expected = chances[find_bin(attempt.signal)]
        if attempt.served:
            self._evidence.count_served(expected=expected)
        return self._sampler.ask(attempt, share=share, expected=expected)

    def learn(self, rating: Rating, *, now: float) -> bool:
        """Count a rating in the bin of the answer that it is about."""
        asked = self._sampler.take(rating)
        if asked is None:
            return False
        self._evidence.count_rating(
            _key_of(asked.attempt),
            bin_index=find_bin(asked.attempt.signal),
            good=rating.good,
            now=now,
        )
        if asked.attempt.served:
            self._evidence.count_surprise(
                weight=1 / asked.share, difference=rating.good - asked.expected
            )
        return True

    def evidence(self) -> bytes:
        """Return this entry's counts for its peers."""
        return self._evidence.pack()

    def merge(self, *, origin: str, evidence: bytes, now: float) -> None:
        """Take in a peer's counts; the newest of each origin replaces the last.

        Raises `msgspec.DecodeError` for bytes that are no evidence.
        """
        self._evidence.merge(origin=origin, evidence=evidence, now=now)

    def reconfigure(self, *, costs: Sequence[VersionCost], target: float) -> None:
        """Take over new costs and a new target; counts are kept."""
        self._estimates = Estimates(evidence=self._evidence, costs=costs)
        self._target = target
        self._planned_s = -REPLAN_S

    def _choose_solution(self, key: str, kind: MixKey) -> Solution:
        decision = self._decisions.get(kind)
        if decision is None:
            self._work_out([kind])
            decision = self._decisions[kind]
        high = draw("price", key) < decision.high_share
        return decision.high if high else decision.low

    def _replan_when_due(self, now: float) -> None:
        young = now - self._planned_s < REPLAN_S
        if young and self._requests < REPLAN_REQUESTS:
            return
        self._planned_s = now
        self._requests = 0
        self._evidence.forget_silent(now=now)
        self._estimates.clear()
        self._decisions.clear()
        self.aim = find_aim(self._evidence, target=self._target, now=now)
        mix = self._evidence.add_mix()
        # Many accounts with unlike versions make many kinds; working all of them out
        # at once would hold up every request. The rare ones are done when one comes.
        kinds = sorted(mix, key=lambda kind: -mix[kind])[:MAX_KINDS]
        self._work_out(kinds)

    def _work_out(self, kinds: Sequence[MixKey]) -> None:
        """Find the decisions for some kinds of requests together."""
        if not kinds:
            return
        weights = self._evidence.add_mix()
        cases = [
            self._estimates.describe_case(kind, weight=weights.get(kind, 1.0))
            for kind in kinds
        ]
        plan: Plan = find_plan(cases, target=self.aim)
        for kind, low, high in zip(kinds, plan.low, plan.high, strict=True):
            self._decisions[kind] = _Decision(
                low=low, high=high, high_share=plan.high_share
            )


def _key_of(attempt: Attempt) -> CellKey:
    return CellKey(call=attempt.call, version=attempt.version, after=attempt.after)
