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
        for index in range(BINS):
            self.answers[index] += sign * other.answers[index]
            self.rated[index] += sign * other.rated[index]
            self.good[index] += sign * other.good[index]
        self.tokens += sign * other.tokens

    def mean_tokens(self, *, default: float) -> float:
        """Return the tokens of a usual answer."""
        answers = sum(self.answers)
        return self.tokens / answers if answers >= 1 else default


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
    for index, answers, rated, good in zip(values, values, values, values, strict=True):
        if 0 <= index < BINS:
            cell.answers[index] = answers / SCALE
            cell.rated[index] = rated / SCALE
            cell.good[index] = good / SCALE
    return cell


def fit_chances(
    cell: Cell, *, prior: Sequence[float], prior_weight: float
) -> list[float]:
    """Return the chance of a good answer for each bin, rising with the signal.

    Each bin starts from `prior_weight` imagined ratings at the prior chance; bins
    that then fall against the signal are pooled (pool adjacent violators).
    """
    chances = [
        (cell.good[index] + prior_weight * prior[index])
        / (cell.rated[index] + prior_weight)
        for index in range(BINS)
    ]
    weights = [cell.rated[index] + prior_weight for index in range(SIGNAL_BINS)]
    return [*_pool(chances[:SIGNAL_BINS], weights), chances[SIGNAL_BINS]]


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
