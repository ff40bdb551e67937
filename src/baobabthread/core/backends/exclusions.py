"""Servers that a choice leaves out, without a copy for each choice."""

from __future__ import annotations

from collections.abc import Container


class ContainerUnion:
    """Contain what either of two containers does."""

    __slots__ = ("_first", "_second")

    def __init__(self, first: Container[str], second: Container[str]) -> None:
        self._first = first
        self._second = second

    def __contains__(self, name: object) -> bool:
        return name in self._first or name in self._second
