"""Keep the tables of dispatched keys that stopped incarnations gave away."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import msgspec

from baobabthread.core.claims.keys import ClaimKey
from baobabthread.errors import Problem, Ran

KEYS_IN_PART = 200


class Outcome(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold how a dispatched request ended: an answer or a problem."""

    ran: Ran
    status: int = 200
    content_type: str = "application/json"
    body: bytes = b""
    problem: Problem | None = None


class HandedKey(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tell that a key was dispatched, and how it ended if that is known."""

    account: str
    key: str
    body_hash: str
    outcome: Outcome | None = None


class HandOver(msgspec.Struct, frozen=True, kw_only=True, tag="hand_over"):
    """Give a peer one part of the table of a stopping incarnation's keys."""

    incarnation: str
    floor: float
    """Keys minted at or before this unix time are no longer in the table."""
    part: int
    parts: int
    keys: list[HandedKey]


class _Table:
    __slots__ = ("floor", "keys", "missing")

    def __init__(self, *, parts: int, floor: float) -> None:
        self.floor = floor
        self.missing = set(range(parts))
        self.keys: dict[ClaimKey, HandedKey] = {}


class HandedTables:
    """Hold the tables by incarnation; one counts when all its parts are there."""

    __slots__ = ("_max_tables", "_tables")

    def __init__(self, *, max_tables: int = 64) -> None:
        self._max_tables = max_tables
        self._tables: dict[str, _Table] = {}

    def take(self, message: HandOver) -> None:
        """Add one part."""
        table = self._tables.get(message.incarnation)
        if table is None:
            table = _Table(parts=message.parts, floor=message.floor)
            self._tables[message.incarnation] = table
            self._bound_memory()
        table.missing.discard(message.part)
        for handed in message.keys:
            key = ClaimKey(account=handed.account, text=handed.key)
            table.keys[key] = handed

    def is_whole(self, incarnation: str) -> bool:
        """Tell whether the whole table of an incarnation is here."""
        # With a part missing, a key that is not found may still have run; saying
        # "not run" then would make the caller send it twice.
        table = self._tables.get(incarnation)
        return table is not None and not table.missing

    def get_floor(self, incarnation: str) -> float:
        """Return the mint time below which the table knows nothing."""
        return self._tables[incarnation].floor

    def get_key(self, incarnation: str, key: ClaimKey) -> HandedKey | None:
        """Return what is known of a dispatched key."""
        return self._tables[incarnation].keys.get(key)

    def _bound_memory(self) -> None:
        if len(self._tables) > self._max_tables:
            oldest = next(iter(self._tables))
            del self._tables[oldest]


def split_hand_over(
    *, incarnation: str, floor: float, keys: Sequence[HandedKey]
) -> list[HandOver]:
    """Split a table into messages of bounded size."""
    starts = range(0, len(keys), KEYS_IN_PART)
    chunks = [list(itertools.islice(keys, s, s + KEYS_IN_PART)) for s in starts] or [[]]
    return [
        HandOver(
            incarnation=incarnation,
            floor=floor,
            part=part,
            parts=len(chunks),
            keys=chunk,
        )
        for part, chunk in enumerate(chunks)
    ]
