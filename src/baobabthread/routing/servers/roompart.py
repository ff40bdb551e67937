"""Part of a group's room that its owner has while some instances are not reached.

They may have gone, or be cut off and have an owner of their own, which assigns to the
same servers. So an owner starts with the part that its members are of all, and takes
more while the servers answer as fast as by its own requests there.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

GROWTH_PER_S = 0.05
"""Part of the room that is taken back a second while nobody else uses it."""
SHRINKAGE_PER_S = 0.2
"""Part of the room that is left to others a second while servers are slow."""
CROWDED_FACTOR = 1.05
"""Multiple of the usual time of responses from which on others use the servers."""
MAX_PASSED_S = 0.5
GONE_KEPT_S = 3600.0
"""Time for which an instance that is not reached may assign, too: regions are cut off
from each other for an hour now and then."""


class RoomPart:
    """Part of the room that an owner has, from its instances and its servers."""

    __slots__ = ("_at", "_least", "_usual", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self._least = 1.0
        self._usual = 1.0
        """Slowness of the servers while all instances were reached."""
        self._at = 0.0

    def set_least(self, least: float) -> None:
        """Set the part that the instances reached are of all."""
        # What was taken back before is kept only if no other instance was lost.
        kept = self.value if least >= self._least else 0.0
        self.value = max(least, kept)
        self._least = least

    def update(self, slowness: float, now: float) -> None:
        """Take more or less by how slow the servers are."""
        passed_s = min(MAX_PASSED_S, max(0.0, now - self._at))
        self._at = now
        if self._least >= 1.0:
            self._usual = max(1.0, slowness)
        elif slowness > CROWDED_FACTOR * self._usual:
            self.value = max(self._least, self.value - SHRINKAGE_PER_S * passed_s)
        else:
            self.value = min(1.0, self.value + GROWTH_PER_S * passed_s)


class ReachedInstances:
    """Instances that are reached, and those that no longer are, for a while."""

    __slots__ = ("_gone_at", "names")

    def __init__(self, *, names: Iterable[str]) -> None:
        self.names = list(names)
        self._gone_at: dict[str, float] = {}
        """When an instance was no longer reached."""

    def replace(self, names: list[str], left: Collection[str], now: float) -> set[str]:
        """Set the instances that are reached; return those that no longer are.

        Those among `left` said so and serve nobody.
        """
        gone = set(self.names).difference(names)
        self.names = names
        for name in names:
            self._gone_at.pop(name, None)
        self._gone_at.update(dict.fromkeys(gone.difference(left), now))
        return gone

    def compute_part(self, now: float) -> float:
        """Return the part that they are of all that may assign."""
        while self._gone_at:
            name, at = next(iter(self._gone_at.items()))
            if now - at < GONE_KEPT_S:
                break
            del self._gone_at[name]
        return len(self.names) / (len(self.names) + len(self._gone_at))
