"""Starts of backend servers that are known to leave, apart from their records."""

from __future__ import annotations

from baobabthread.routing.servers.starts import MAX_STARTS


class Departures:
    """Remember which starts of backend servers leave, which none of them takes back.

    A record may lapse and come back as written before, or be read from a peer that is
    behind, so it can't tell that its server stays.
    """

    __slots__ = ("_names",)

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def add(self, name: str) -> bool:
        """Add a server by its incarnation; return whether it was not known to leave."""
        if name in self._names:
            return False
        self._names[name] = None
        if len(self._names) > MAX_STARTS:
            del self._names[next(iter(self._names))]
        return True
