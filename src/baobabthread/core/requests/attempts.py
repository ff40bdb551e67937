"""Attempts at a request, their ratings, and which of them to have rated."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec
import xxhash

MAX_PENDING = 20_000
"""Answers awaiting their ratings; the oldest is given up beyond it."""
HASH_RANGE = 2.0**64


class VersionCost(msgspec.Struct, frozen=True, kw_only=True):
    """Name a version of a cascade and its price of 1,000 generated tokens."""

    name: str
    cost: float


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one whole answer of a version, accepted or not."""

    key: str
    """The request's id, as the rating service will return it."""
    call: str
    version: str
    after: str = ""
    """The version turned down just before; empty for the first attempt."""
    signal: float | None
    """The engine's confidence, 0 to 1."""
    tokens: int
    served: bool
    """Whether the caller gets this answer."""


class Offer(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an answer at hand, and whether another version could still follow."""

    key: str
    """The request's id."""
    call: str
    versions: Sequence[str]
    """The allowed versions, as they were given to the plan."""
    version: str
    after: str = ""
    """The version turned down just before; empty for the first attempt."""
    signal: float | None
    """The engine's confidence, 0 to 1."""
    is_last: bool
    remaining_s: float
    """Time to the deadline."""
    expected_next_s: float
    """Usual time of the version that would follow."""

    @property
    def is_final(self) -> bool:
        """Tell whether no other answer can follow in time."""
        return self.is_last or self.remaining_s <= self.expected_next_s


class Rating(msgspec.Struct, frozen=True, kw_only=True):
    """Report whether one answer was good."""

    request_id: str
    call: str
    version: str
    good: bool


def draw(purpose: str, key: str) -> float:
    """Return the number from 0 to 1 that a purpose and key have at every entry."""
    return xxhash.xxh3_64_intdigest(f"{purpose}/{key}".encode()) / HASH_RANGE


class AskedRating(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an answer that awaits its rating."""

    attempt: Attempt
    share: float
    """The chance with which the rating was asked for."""
    expected: float
    """The chance of a good answer at that time."""


class Sampler:
    """Choose which answers to have rated and match late ratings to them."""

    def __init__(self, *, capacity: int = MAX_PENDING) -> None:
        self._capacity = capacity
        self._pending: OrderedDict[tuple[str, str], AskedRating] = OrderedDict()

    def ask(self, attempt: Attempt, *, share: float, expected: float = 0.0) -> bool:
        """Tell whether to have an answer rated, a `share` of them."""
        if draw(f"rate/{attempt.version}", attempt.key) >= share:
            return False
        self._pending[attempt.key, attempt.version] = AskedRating(
            attempt=attempt, share=share, expected=expected
        )
        # Ratings may never come; without a bound an outage of the rating service
        # fills the memory. The oldest are the least likely to be answered.
        if len(self._pending) > self._capacity:
            self._pending.popitem(last=False)
        return True

    def take(self, rating: Rating) -> AskedRating | None:
        """Return what a rating is about, once; None when it wasn't asked for."""
        return self._pending.pop((rating.request_id, rating.version), None)
