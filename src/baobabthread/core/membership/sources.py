"""The member from which this entry fetches records that it lacks."""

from __future__ import annotations

from baobabthread.core.membership.messages import FetchRecords, MemberInfo
from baobabthread.core.membership.table import MemberTable
from baobabthread.core.messages import Effects
from baobabthread.core.positions import OperatorsPosition


class RecordSource:
    """Remember one member that is ahead, and ask it once."""

    __slots__ = ("_after_s", "_name", "_since")

    def __init__(self, *, after_s: float) -> None:
        self._after_s = after_s
        """Time for which records may still come by themselves."""
        self._name: str | None = None
        self._since = 0.0

    def note(self, member: MemberInfo, own: OperatorsPosition, now: float) -> None:
        """Note a member that may have read further than this entry."""
        if member.read_position > own and self._name is None:
            self._name = member.name
            self._since = now

    def next_due(self) -> float | None:
        """Return when to ask, if anybody is ahead."""
        return None if self._name is None else self._since + self._after_s

    def fetch(self, table: MemberTable, own: OperatorsPosition, now: float) -> Effects:
        """Ask when it is due and the member is still ahead."""
        member = table.get(self._name) if self._name else None
        if member is None or member.read_position <= own:
            self._name = None
            return []
        if now < self._since + self._after_s:
            return []
        # The next message names the next source: one that never answers is not asked
        # for ever while others have the records.
        self._name = None
        return [FetchRecords(peer=member.name, after=own.offset)]
