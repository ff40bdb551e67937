"""Changes of members that are being spread, a few with each message."""

from __future__ import annotations

from baobabthread.core.membership.messages import MemberInfo, MemberState
from baobabthread.core.membership.table import MemberTable


class UpdateQueue:
    """Choose which changes a message carries, the least spread ones first."""

    __slots__ = ("_sent", "_table")

    def __init__(self, *, table: MemberTable) -> None:
        self._table = table
        self._sent: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Spread what is now known of an entry."""
        self._sent[name] = 0

    def choose(self, *, to: str, limit: int, repeats: int) -> list[MemberInfo]:
        """Return changes for one message and count them as sent once."""
        chosen = self._list_own(to)
        for name in sorted(self._sent, key=lambda name: self._sent[name]):
            if len(chosen) >= limit:
                break
            member = self._table.get(name)
            if member is None:
                del self._sent[name]
            elif name != to:
                chosen.append(member)
                self._count(name, repeats)
        return chosen

    def _list_own(self, to: str) -> list[MemberInfo]:
        # Whoever is suspected learns it with the next message, whatever else waits:
        # it would be declared dead before it could refute.
        target = self._table.get(to)
        if target is None or target.state is MemberState.ALIVE:
            return []
        return [target]

    def _count(self, name: str, repeats: int) -> None:
        self._sent[name] += 1
        if self._sent[name] >= repeats:
            del self._sent[name]
