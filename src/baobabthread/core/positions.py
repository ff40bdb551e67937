"""Positions in the topics of the store."""

from __future__ import annotations

from typing import Self

import msgspec


class Position(msgspec.Struct, frozen=True, order=True):
    """Offset in one era of a topic.

    A store that is restored from a copy begins another era and gives offsets out
    again, so that any position of a later era comes after all those of an earlier one.
    Each topic has a type of its own; positions in two topics can't be compared.
    """

    era: int = 0
    """Era of the store; 0 if it names none."""
    offset: int = 0

    @classmethod
    def at(cls, position: Position) -> Self:
        """Return a position as one of the topic that this type stands for."""
        return cls(position.era, position.offset)

    def count_since(self, earlier: Self) -> int | None:
        """Return the records between two positions; None if the eras differ."""
        return self.offset - earlier.offset if self.era == earlier.era else None

    def is_copy(self, other: Self) -> bool:
        """Return whether a record here may be a copy of one at another position.

        A restored store holds the beginning of the log before, at the same offsets.
        """
        return self.offset == other.offset and self.era != other.era

    def __str__(self) -> str:
        return f"{self.era}:{self.offset}"


class OperatorsPosition(Position, frozen=True, order=True):
    """Position in the operators' log."""


NO_ORDER = OperatorsPosition(offset=-1)
"""Position before all orders."""


class BackendsPosition(Position, frozen=True, order=True):
    """Position in the log of the backend servers' records."""
