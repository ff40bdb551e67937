"""A synthetic workload of answers: what each version would answer to each request."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
import numpy as np
from numpy.typing import NDArray

from baobabthread.core.models.escalation import Case, Step, describe_step, find_plan
from baobabthread.core.requests.attempts import VersionCost

FloatArray = NDArray[np.float64]

COSTS = (
    VersionCost(name="small", cost=1.0),
    VersionCost(name="medium", cost=4.0),
    VersionCost(name="large", cost=15.0),
)
"""Prices of 1,000 tokens, cheapest first."""
ABILITIES = (1.0, 1.9, 3.2)
"""How hard a request each version can still answer well."""


class CallKind(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one kind of call: how hard it is and how its signal misleads."""

    name: str
    share: float
    difficulty: float
    spread: float
    """Standard deviation of the difficulty."""
    tokens: float
    """Median tokens of an answer."""
    signal_slope: float
    signal_offset: float
    signal_noise: float
    """Noise of the signal, in the units of ability."""


CALLS = (
    CallKind(
        name="status",
        share=0.35,
        difficulty=-1.2,
        spread=1.0,
        tokens=40,
        signal_slope=0.9,
        signal_offset=1.2,
        signal_noise=0.5,
    ),
    CallKind(
        name="playlist",
        share=0.25,
        difficulty=0.0,
        spread=1.0,
        tokens=300,
        signal_slope=1.1,
        signal_offset=0.2,
        signal_noise=0.5,
    ),
    CallKind(
        name="translation",
        share=0.2,
        difficulty=0.4,
        spread=1.1,
        tokens=180,
        signal_slope=0.6,
        signal_offset=1.6,
        signal_noise=0.6,
    ),
    CallKind(
        name="summary",
        share=0.12,
        difficulty=0.9,
        spread=1.0,
        tokens=500,
        signal_slope=1.0,
        signal_offset=-0.4,
        signal_noise=0.5,
    ),
    CallKind(
        name="bulletin",
        share=0.08,
        difficulty=1.3,
        spread=1.0,
        tokens=160,
        signal_slope=0.7,
        signal_offset=2.0,
        signal_noise=0.7,
    ),
)
ABILITY_NOISE = 0.25
"""Standard deviation of a version's luck with one request."""
TOKEN_SPREAD = 0.4


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """Hold every answer of every version to every request, by request."""

    call: Sequence[int]
    good: Sequence[Sequence[bool]]
    """`good[request][version]`."""
    signal: Sequence[Sequence[float]]
    cost: Sequence[Sequence[float]]
    tokens: Sequence[int]


def draw_workload(
    *,
    count: int,
    seed: int,
    later_shares: Sequence[float] | None = None,
    noise: float = 1.0,
) -> Workload:
    """Return seeded requests.

    `later_shares` of the calls hold in the second half; `noise` scales the signal's.
    """
    generator = np.random.default_rng(seed)
    shares = [kind.share for kind in CALLS]
    half = count // 2
    first = generator.choice(len(CALLS), size=half, p=shares)
    second = generator.choice(len(CALLS), size=count - half, p=later_shares or shares)
    call = np.concatenate([first, second])
    difficulty = _pick("difficulty", call) + _pick("spread", call) * _normal(
        generator, (count,)
    )
    luck = ABILITY_NOISE * _normal(generator, (count, len(COSTS)))
    margin = np.array(ABILITIES)[None, :] - difficulty[:, None] + luck
    blur = (
        noise
        * _pick("signal_noise", call)[:, None]
        * _normal(generator, (count, len(COSTS)))
    )
    logit = _pick("signal_slope", call)[:, None] * (margin + blur)
    signal = 1 / (1 + np.exp(-(logit + _pick("signal_offset", call)[:, None])))
    tokens = _pick("tokens", call) * np.exp(TOKEN_SPREAD * _normal(generator, (count,)))
    tokens = np.maximum(1, np.rint(tokens))
    cost = tokens[:, None] * np.array([each.cost for each in COSTS])[None, :] / 1000
    return Workload(
        call=call.tolist(),
        good=(margin > 0).tolist(),
        signal=signal.tolist(),
        cost=cost.tolist(),
        tokens=tokens.astype(int).tolist(),
    )


def _pick(field: str, call: NDArray[np.int64]) -> FloatArray:
    values = np.array([getattr(kind, field) for kind in CALLS], dtype=np.float64)
    picked: FloatArray = values[call]
    return picked


def _normal(generator: np.random.Generator, shape: tuple[int, ...]) -> FloatArray:
    return generator.standard_normal(shape)


def take_later(workload: Workload) -> Workload:
    """Return the second half of the requests."""
    half = len(workload.call) // 2
    return Workload(
        call=workload.call[half:],
        good=workload.good[half:],
        signal=workload.signal[half:],
        cost=workload.cost[half:],
        tokens=workload.tokens[half:],
    )


def find_oracle_cost(workload: Workload, *, target: float) -> float:
    """Return the least cost of one answer each of which `target` are good.

    The oracle knows every rating in advance and pays only for the answer it serves:
    it starts from each request's cheapest answer and buys the good ones that cost
    least more until the target is met.
    """
    cost = np.array(workload.cost)
    good = np.array(workload.good)
    cheapest = cost.min(axis=1)
    good_cost = np.where(good, cost, np.inf).min(axis=1)
    extra = np.sort(good_cost - cheapest)
    needed = math.ceil(target * len(extra))
    return float(cheapest.sum() + extra[:needed].sum())


def find_rating_oracle_cost(workload: Workload, *, target: float) -> float:
    """Return the cost of a cascade that learns each rating with its answer.

    It pays for every attempt, as a rule does, but its signal is the rating itself: no
    rule that must generate an answer to judge it comes cheaper on average.
    """
    call = np.array(workload.call)
    good = np.array(workload.good)
    cost = np.array(workload.cost)
    cases = [
        _describe_case(good[call == index], cost[call == index], len(call))
        for index in range(len(CALLS))
        if (call == index).any()
    ]
    plan = find_plan(cases, target=target)
    mixes = ((plan.low, 1 - plan.high_share), (plan.high, plan.high_share))
    mean = sum(
        share * case.weight * each.cost
        for solutions, share in mixes
        for case, each in zip(cases, solutions, strict=True)
    )
    return mean * len(call)


def _describe_case(good: NDArray[np.bool_], cost: FloatArray, total: int) -> Case:
    rows = []
    for state in range(len(COSTS)):
        reached = ~good[:, state - 1] if state else np.ones(len(good), dtype=bool)
        if not reached.any():
            reached = ~reached
        rows.append(
            [
                _describe_known(good[reached, version], cost[reached, version])
                for version in range(state, len(COSTS))
            ]
        )
    return Case(weight=len(good) / total, steps=rows)


def _describe_known(good: NDArray[np.bool_], cost: FloatArray) -> Step:
    share = float(good.mean())
    return describe_step(
        cost=float(cost.mean()), shares=[1 - share, share], chances=[0.0, 1.0]
    )
