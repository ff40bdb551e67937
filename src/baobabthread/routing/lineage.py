"""The version of a service that is in force beside the target of an order.

It cannot be derived from the listed servers: those of a version that was rolled back
stay listed for seconds, and can be as many as those of the version in force.
"""

from __future__ import annotations

import re
from collections.abc import Mapping


class Lineage:
    """Tracks the version in force across the orders of a service."""

    __slots__ = ("_target", "base", "rolled_back")

    def __init__(self) -> None:
        self._target: str | None = None
        self.base: str | None = None
        """Version in force beside the target, once known."""
        self.rolled_back: set[str] = set()
        """Targets of earlier orders that were rolled back."""

    def observe_listed(self, listed: Mapping[str, int]) -> None:
        """Update the version in force if only one version is listed."""
        if len(listed) == 1:
            self.base = next(iter(listed))

    def start_rollout(self, target: str) -> None:
        """Set the target of an order, which may have been rolled back before."""
        self._target = target
        self.rolled_back.discard(target)

    def end_rollout(self, target: str, *, has_succeeded: bool) -> None:
        """Record the outcome of an order that was replaced."""
        if has_succeeded:
            self.base = target
        else:
            self.rolled_back.add(target)

    def adopt_base(self, base: str | None) -> None:
        """Adopt the version in force reported by a peer if none is known here."""
        if self.base is None and base != self._target:
            self.base = base

    def find_base(self, listed: Mapping[str, int]) -> str | None:
        """Return the version in force, given the number of listed servers by version.

        A rolled-back version must not be returned: it would receive all traffic beside
        the canary's, and its failures would become the baseline.
        """
        found = [v for v in listed if v != self._target and v not in self.rolled_back]
        if self.base in found:
            return self.base
        # None was reported: assume that the version with the most servers is the
        # oldest, and among equals the one whose name sorts first.
        return min(found, key=lambda v: (-listed[v], _split(v)), default=None)


def _split(version: str) -> list[tuple[int, str]]:
    """Return a key for natural sorting of version names: v9 before v10."""
    return [
        (int(part), "") if part.isdigit() else (0, part)
        for part in re.split(r"(\d+)", version)
    ]
