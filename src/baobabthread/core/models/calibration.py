"""Calibrated chances that an answer is good, learnt from sampled ratings."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence

import msgspec

SIGNAL_BINS = 16
BINS = SIGNAL_BINS + 1
"""One more bin holds the answers without a signal."""
LOWEST_LOGIT = -2.8
BIN_WIDTH = 0.4
EDGES = tuple(
    1 / (1 + math.exp(-(LOWEST_LOGIT + BIN_WIDTH * i))) for i in range(SIGNAL_BINS - 1)
)
"""Upper ends of the bins, equal in log-odds: engines crowd their signals near 1."""
MAX_ANSWERS = 4000.0
"""Answers that one entry remembers for a cell before it halves them."""
MAX_RATED = 600.0
"""Ratings that one entry remembers for a cell before it halves them."""
SCALE = 8
"""Fractions of a count kept on the wire."""


class CellKey(msgspec.Struct, frozen=True, kw_only=True):
    """Name the answers that are counted together."""

    call: str
    version: str
    after: str = ""
    """The version whose answer was turned down just before; empty for the first."""


class CellCounts(msgspec.Struct, frozen=True, array_like=True):
    """Hold one cell on the wire, in eighths and only for its bins in use."""

    call: str
    version: str
    after: str
    tokens: int
    bins: list[int]
    """Four numbers for each bin: its index, answers, rated, good."""


def find_bin(signal: float | None) -> int:
    """Return the bin of an engine's signal."""
    if signal is None or math.isnan(signal):
        return SIGNAL_BINS
    return bisect_right(EDGES, signal)


class Cell:
    """Count answers, ratings and good ratings by bin of the signal."""

    __slots__ = ("answers", "good", "rated", "tokens")

    def __init__(self) -> None:
        self.answers = [0.0] * BINS
        self.rated = [0.0] * BINS
        self.good = [0.0] * BINS
        self.tokens = 0.0

    def add_answer(self, *, bin_index: int, tokens: int) -> None:
        """Count one answer, and halve the old ones when there are many."""
        self.answers[bin_index] += 1
        self.tokens += tokens
        if sum(self.answers) > MAX_ANSWERS:
            self.answers = [count / 2 for count in self.answers]
            self.tokens /= 2

    def add_rating(self, *, bin_index: int, good: bool) -> None:
        """Count one rating, and halve the old ones when there are many."""
        self.rated[bin_index] += 1
        self.good[bin_index] += good
        # A version or the mix may change; without a bound on the memory the old
        # ratings outvote the new ones for hours and bad answers keep being accepted.
        if sum(self.rated) > MAX_RATED:
            self.rated = [count / 2 for count in self.rated]
            self.good = [count / 2 for count in self.good]

    def add(self, other: Cell, *, sign: float = 1.0) -> None:
        """Add another cell's counts, or take them off with a sign of -1."""
        self.answers = _add(self.answers, other.answers, sign)
        self.rated = _add(self.rated, other.rated, sign)
        self.good = _add(self.good, other.good, sign)
        self.tokens += sign * other.tokens

    def mean_tokens(self, *, default: float) -> float:
        """Return the tokens of a usual answer."""
        answers = sum(self.answers)
        return self.tokens / answers if answers >= 1 else default


def _add(counts: list[float], others: list[float], sign: float) -> list[float]:
    pairs = zip(counts, others, strict=True)
    return [count + sign * other for count, other in pairs]


def pack_cell(key: CellKey, cell: Cell) -> CellCounts:
    """Return the compact form of a cell."""
    bins: list[int] = []
    for index in range(BINS):
        if cell.answers[index] or cell.rated[index]:
            bins += [
                index,
                round(cell.answers[index] * SCALE),
                round(cell.rated[index] * SCALE),
                round(cell.good[index] * SCALE),
            ]
    return CellCounts(
        call=key.call,
        version=key.version,
        after=key.after,
        tokens=round(cell.tokens),
        bins=bins,
    )


def unpack_cell(counts: CellCounts) -> Cell:
    """Return the cell of a compact form; unknown bins are left out."""
    cell = Cell()
    cell.tokens = float(counts.tokens)
    values = iter(counts.bins)
    for index, answers, rated, good in zip(
        values, values, values, values, strict=False
    ):
        if 0 <= index < BINS:
            cell.answers[index] = answers / SCALE
            cell.rated[index] = rated / SCALE
            cell.good[index] = good / SCALE
    return cell


class CurvePrior(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is expected of a curve before there are ratings."""

    offset: float
    offset_spread: float
    slope: float = 1.0
    slope_spread: float = 0.7


FIRST_PRIOR = CurvePrior(offset=-1.0, offset_spread=1.5)
LAST_PRIOR = CurvePrior(offset=2.5, offset_spread=1.5, slope_spread=0.3)
"""Before any rating only the strongest version is trusted."""
AFTER_PRIOR = CurvePrior(offset=-0.7, offset_spread=0.7, slope_spread=0.3)
"""A request that another version failed is harder than others of its signal."""
CURVE_WEIGHT = 8.0
"""Ratings of one bin that its point on the curve counts for."""
NEWTON_STEPS = 8
MOST_LOGIT = 8.0
CENTRES = tuple(LOWEST_LOGIT + BIN_WIDTH * (i - 0.5) for i in range(SIGNAL_BINS))
"""Log-odds in the middle of each bin of the signal."""


def fit_chances(
    cell: Cell, *, prior: CurvePrior, base: Sequence[float] = ()
) -> list[float]:
    """Return the chance of a good answer for each bin, rising with the signal.

    A logistic curve with two parameters learns from few ratings; the bins' own ratings
    bend it where they are many, and bins that then fall against the signal are pooled
    (pool adjacent violators). The curve runs over the signal, or over the chances of
    `base` when they are given.
    """
    inputs = [_find_logit(chance) for chance in base[:SIGNAL_BINS]] or CENTRES
    offset, slope = _fit_curve(cell, inputs, prior)
    curve = [_find_chance(offset + slope * value) for value in inputs]
    weights = [rated + CURVE_WEIGHT for rated in cell.rated]
    chances = [
        (good + CURVE_WEIGHT * expected) / weight
        for good, expected, weight in zip(cell.good, curve, weights, strict=False)
    ]
    rated = sum(cell.rated)
    mean = (sum(cell.good) + _find_chance(prior.offset)) / (rated + 1)
    blind = (cell.good[-1] + CURVE_WEIGHT * mean) / weights[-1]
    return [*_pool(chances, weights[:SIGNAL_BINS]), blind]


def _find_chance(logit: float) -> float:
    return 1 / (1 + math.exp(-max(-MOST_LOGIT, min(MOST_LOGIT, logit))))


def _find_logit(chance: float) -> float:
    bounded = max(1e-4, min(1 - 1e-4, chance))
    return math.log(bounded / (1 - bounded))


def _fit_curve(
    cell: Cell, inputs: Sequence[float], prior: CurvePrior
) -> tuple[float, float]:
    """Return offset and slope of greatest posterior chance, by Newton's method."""
    offset, slope = prior.offset, prior.slope
    offset_weight = prior.offset_spread**-2
    slope_weight = prior.slope_spread**-2
    used = [
        (value, rated, good)
        for value, rated, good in zip(inputs, cell.rated, cell.good, strict=False)
        if rated > 0
    ]
    for _ in range(NEWTON_STEPS if used else 0):
        gradient_offset = (prior.offset - offset) * offset_weight
        gradient_slope = (prior.slope - slope) * slope_weight
        h_offset, h_cross, h_slope = offset_weight, 0.0, slope_weight
        for value, rated, good in used:
            chance = _find_chance(offset + slope * value)
            error = good - rated * chance
            gradient_offset += error
            gradient_slope += error * value
            weight = rated * chance * (1 - chance)
            h_offset += weight
            h_cross += weight * value
            h_slope += weight * value * value
        determinant = h_offset * h_slope - h_cross * h_cross
        offset += (h_slope * gradient_offset - h_cross * gradient_slope) / determinant
        slope += (h_offset * gradient_slope - h_cross * gradient_offset) / determinant
        slope = max(0.0, min(slope, MOST_LOGIT))
        offset = max(-MOST_LOGIT, min(offset, MOST_LOGIT))
    return offset, slope


def _pool(values: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Return the nearest non-decreasing sequence in weighted least squares."""
    blocks: list[_Block] = []
    for value, weight in zip(values, weights, strict=True):
        blocks.append(_Block(value, weight))
        while len(blocks) > 1 and blocks[-2].mean > blocks[-1].mean:
            blocks[-2].absorb(blocks.pop())
    return [block.mean for block in blocks for _ in range(block.size)]


class _Block:
    __slots__ = ("mean", "size", "weight")

    def __init__(self, mean: float, weight: float) -> None:
        self.mean = mean
        self.weight = weight
        self.size = 1

    def absorb(self, other: _Block) -> None:
        total = self.weight + other.weight
        self.mean = (self.mean * self.weight + other.mean * other.weight) / total
        self.weight = total
        self.size += other.size
