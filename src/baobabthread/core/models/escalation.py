"""The cheapest acceptance thresholds that meet a share of good answers."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Sequence

import msgspec

LOWEST_PRICE = 1e-2
HIGHEST_PRICE = 1e5
BISECTIONS = 18


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """Describe trying one version from one state of a cascade."""

    cost: float
    """Expected cost of the attempt."""
    chances: Sequence[float]
    """Chances of a good answer, ascending."""
    shares: Sequence[float]
    """Share of the answers with that chance or a higher one; one more entry of 0."""
    good_shares: Sequence[float]
    """Share of the answers that are good among those; one more entry of 0."""


def describe_step(
    *, cost: float, shares: Sequence[float], chances: Sequence[float]
) -> Step:
    """Return a step from the share and chance of each bin of the signal."""
    pairs = sorted(zip(chances, shares, strict=True))
    share_above = [0.0]
    good_above = [0.0]
    for chance, share in reversed(pairs):
        share_above.append(share_above[-1] + share)
        good_above.append(good_above[-1] + share * chance)
    return Step(
        cost=cost,
        chances=[chance for chance, _ in pairs],
        shares=share_above[::-1],
        good_shares=good_above[::-1],
    )


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one kind of request: a call and the versions allowed to it."""

    weight: float
    """Its share of the requests."""
    steps: Sequence[Sequence[Step]]
    """`steps[i][j]` tries version i + j after version i - 1; row 0 starts."""


class Solution(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the best decisions of one case at one price of a bad answer."""

    following: Sequence[int]
    """The version to try from each state; state 0 starts, state i + 1 follows i."""
    needed: Sequence[float]
    """The chance of a good answer at which each version's answer is accepted."""
    quality: float
    cost: float


def solve_case(case: Case, *, price: float) -> Solution:
    """Return the decisions of least cost when a bad answer costs `price`."""
    count = len(case.steps)
    values = [math.inf] * (count + 1)
    qualities = [0.0] * (count + 1)
    costs = [0.0] * (count + 1)
    following = [0] * count
    for state in range(count - 1, -1, -1):
        for version, step in enumerate(case.steps[state], start=state):
            after = version + 1
            needed = 1 - values[after] / price
            index = bisect_left(step.chances, needed)
            rejected = max(0.0, 1 - step.shares[index])
            quality = step.good_shares[index] + rejected * qualities[after]
            cost = step.cost + rejected * costs[after]
            value = cost + price * (1 - quality)
            if value < values[state]:
                values[state] = value
                qualities[state] = quality
                costs[state] = cost
                following[state] = version
    thresholds = [1 - value / price for value in values[1:]]
    return Solution(
        following=following, needed=thresholds, quality=qualities[0], cost=costs[0]
    )


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Hold two neighbouring prices and how to mix them to meet the target."""

    low: Sequence[Solution]
    high: Sequence[Solution]
    high_share: float
    """Share of the requests decided at the higher price."""


def find_plan(cases: Sequence[Case], *, target: float) -> Plan:
    """Return the cheapest decisions whose expected quality meets the target.

    The quality rises with the price of a bad answer, so the price is bisected. One
    price for all cases spends where a good answer costs least.
    """
    low, high = LOWEST_PRICE, HIGHEST_PRICE
    low_solutions = [solve_case(case, price=low) for case in cases]
    high_solutions = [solve_case(case, price=high) for case in cases]
    for _ in range(BISECTIONS):
        middle = math.sqrt(low * high)
        solutions = [solve_case(case, price=middle) for case in cases]
        if _mean_quality(cases, solutions) < target:
            low, low_solutions = middle, solutions
        else:
            high, high_solutions = middle, solutions
    below = _mean_quality(cases, low_solutions)
    above = _mean_quality(cases, high_solutions)
    share = 1.0
    if above > below:
        share = min(1.0, max(0.0, (target - below) / (above - below)))
    return Plan(low=low_solutions, high=high_solutions, high_share=share)


def _mean_quality(cases: Sequence[Case], solutions: Sequence[Solution]) -> float:
    total = sum(case.weight for case in cases)
    pairs = zip(cases, solutions, strict=True)
    return sum(case.weight * each.quality for case, each in pairs) / total
