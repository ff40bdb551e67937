"""The port to the platform's rating service."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec


class RatedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one answer that the service is asked to rate."""

    request_id: str
    service: str
    call: str
    version: str
    prompt: str
    answer: str


class Rating(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the verdict on one answer."""

    sequence: int
    request_id: str
    service: str
    call: str
    version: str
    good: bool


class RatingsPage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold ratings and the number from which to ask for the next."""

    ratings: list[Rating]
    next: int


class Ratings(Protocol):
    """Hand in answers and read their ratings, late or missing as they are."""

    async def submit(self, answers: Sequence[RatedAnswer]) -> None:
        """Hand in answers to be rated."""
        ...

    async def read(self, *, after: int) -> RatingsPage:
        """Return the ratings behind a sequence number."""
        ...
