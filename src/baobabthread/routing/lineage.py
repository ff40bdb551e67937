"""Which version of a service is in force beside the one that an order names.

It can't be told from what is listed: the servers of a version that was taken back stay
there for seconds, as many as those of the version in force.
"""

from __future__ import annotations

import re
from collections.abc import Mapping


class Lineage:
    """Keep what earlier orders have left in force."""

    __slots__ = ("_target", "base", "rolled_back")

    def __init__(self) -> None:
        self._target: str | None = None
        self.base: str | None = None
        """The version in force beside the target, once it is known."""
        self.rolled_back: set[str] = set()
        """Targets of earlier orders that were taken back."""

    def observe_listed(self, listed: Mapping[str, int]) -> None:
        """Learn the version in force while just one is listed."""
        if len(listed) == 1:
            self.base = next(iter(listed))

    def start_rollout(self, target: str) -> None:
        """Begin with an order's target; it may be one that was taken back before."""
        self._target = target
        self.rolled_back.discard(target)

    def end_rollout(self, target: str, *, has_succeeded: bool) -> None:
        """Note what became of the order before."""
        if has_succeeded:
            self.base = target
        else:
            self.rolled_back.add(target)

    def adopt_base(self, base: str | None) -> None:
        """Take another instance's word where nothing is known here."""
        if self.base is None and base != self._target:
            self.base = base

    def find_base(self, listed: Mapping[str, int]) -> str | None:
        """Return the version in force, among those listed with so many servers.

        Failure: taken for the version in force, one that was taken back gets all that
        isn't on trial, and its failures pass for the usual ones.
        """
        found = [v for v in listed if v != self._target and v not in self.rolled_back]
        if self.base in found:
            return self.base
        # Nobody told of it: the one with most servers has been there for longest, and
        # of two alike the one that was named first.
        return min(found, key=lambda v: (-listed[v], _split(v)), default=None)


def _split(version: str) -> list[tuple[int, str]]:
    """Return a version's name in the order in which people count: v9 before v10."""
    return [
        (int(part), "") if part.isdigit() else (0, part)
        for part in re.split(r"(\d+)", version)
    ]
