"""Registries that decorators fill with the variants of one behaviour."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from baobabthread.errors import UsageError

V = TypeVar("V")


class Registry(Generic[V]):
    """Map the names of variants to the variants."""

    __slots__ = ("_variants", "_what")

    def __init__(self, *, what: str) -> None:
        self._what = what
        self._variants: dict[str, V] = {}

    def register(self, name: str) -> Callable[[V], V]:
        """Return a decorator that enters the decorated object under a name."""

        def enter(variant: V) -> V:
            if name in self._variants:
                raise ValueError(f"{self._what} {name!r} is registered twice")
            self._variants[name] = variant
            return variant

        return enter

    def get(self, name: str) -> V:
        """Return the variant of that name or raise an error that lists all names."""
        if name not in self._variants:
            raise UsageError(
                f"no {self._what} '{name}'",
                remedy=f"use one of: {', '.join(sorted(self._variants))}",
            )
        return self._variants[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._variants)

    def __contains__(self, name: object) -> bool:
        return name in self._variants
