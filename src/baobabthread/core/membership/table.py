"""Table of the other entries: which description of each one is the newest."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import msgspec

from baobabthread.core.membership.fingerprints import find_print
from baobabthread.core.membership.messages import MemberInfo, MemberState

MAX_MEMBERS = 4_096
ENOUGH_SILENT = 3
"""Suspects of one failure domain from which all of it may be lost: as many that crash
at the same time by themselves are rare."""


class MemberTable:
    """Keep the newest description of each entry but this one."""

    __slots__ = (
        "_changed_at",
        "_checksum",
        "_checksum_version",
        "_heard_at",
        "_members",
        "_suspected_at",
        "troubled_at",
        "version",
    )

    def __init__(self) -> None:
        self._members: dict[str, MemberInfo] = {}
        self._heard_at: dict[str, float] = {}
        self._suspected_at: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._checksum = 0
        self._checksum_version = -1
        self.troubled_at = -1e9
        """When a member was last heard to have fallen silent."""
        self.version = 0
        """Raised whenever a member, its state or its address changes."""

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[MemberInfo]:
        return iter(self._members.values())

    def __contains__(self, name: object) -> bool:
        return name in self._members

    def get(self, name: str) -> MemberInfo | None:
        """Return what is known of an entry."""
        return self._members.get(name)

    def list_heard(self, *, since: float) -> list[str]:
        """Return the entries of which a message came in from a time on."""
        return [
            name
            for name, at in self._heard_at.items()
            if at >= since and name in self._members
        ]

    def was_heard(self, name: str, since: float) -> bool:
        """Tell whether a message of the entry itself came in from a time on."""
        return self._heard_at.get(name, since - 1) >= since

    def note_heard(self, name: str, now: float) -> None:
        """Note a message of the entry itself."""
        self._heard_at[name] = now

    def merge(self, info: MemberInfo, now: float) -> bool:
        """Take over a description that is newer; return whether a state changed."""
        held = self._members.get(info.name)
        if held is None:
            return self._add(info, now)
        if not self._is_newer(info, held):
            self._raise_offsets(info, held)
            return False
        if info.started_at == held.started_at:
            furthest = max(info.read_position, held.read_position)
            info = msgspec.structs.replace(
                info,
                leaving=info.leaving or held.leaving,
                generation=max(info.generation, held.generation),
                read_era=furthest.era,
                read_offset=furthest.offset,
            )
        self._set(info, now)
        return True

    def suspect(self, name: str, now: float) -> MemberInfo | None:
        """Mark a silent entry; return its new description unless it was marked."""
        held = self._members.get(name)
        if held is None or held.state in (MemberState.SUSPECT, MemberState.DEAD):
            return None
        return self._change(held, MemberState.SUSPECT, now)

    def bury_silent(self, *, since: float, now: float) -> list[MemberInfo]:
        """Declare dead the entries suspected since before a time; return them."""
        silent = [name for name, at in self._suspected_at.items() if at <= since]
        return [
            self._change(self._members[name], MemberState.DEAD, now) for name in silent
        ]

    def shift_suspicions(self, by: float) -> None:
        """Move all suspicions later by a time in which this process did not run."""
        for name in self._suspected_at:
            self._suspected_at[name] += by

    def forget_dead(self, *, before: float, only_left: bool) -> None:
        """Drop entries dead since before a time; `only_left` keeps crashed ones."""
        gone = [
            member.name
            for member in self._members.values()
            if member.state is MemberState.DEAD
            and self._changed_at[member.name] <= before
            and (member.leaving or not only_left)
        ]
        for name in gone:
            del self._members[name]
            del self._changed_at[name]
            self._heard_at.pop(name, None)
        if gone:
            self.version += 1

    def checksum(self, me: MemberInfo) -> int:
        """Return a number that equal tables share, dead entries left out."""
        if self._checksum_version != self.version:
            self._checksum_version = self.version
            self._checksum = 0
            for member in self.present():
                self._checksum ^= find_print(member)
        return self._checksum ^ find_print(me)

    def list_endangered(self) -> list[str]:
        """Return the serving members of failure domains with several suspects.

        A domain goes dark as a whole. Probed in a round of all, the last of its members
        would be named as serving for several seconds among hundreds.
        """
        suspects = self._count_suspects()
        if not suspects:
            return []
        domains = suspects.keys()
        return [
            member.name
            for member in self._members.values()
            if member.is_serving and member.failure_domain in domains
        ]

    def list_dark_domains(self) -> set[str]:
        """Return the domains half of whose members, and several, are suspects."""
        suspects = self._count_suspects()
        if not suspects:
            return set()
        members = Counter(member.failure_domain for member in self.present())
        return {d for d, count in suspects.items() if 2 * count >= members[d]}

    def _count_suspects(self) -> dict[str, int]:
        """Return the number of suspects of each failure domain that has several."""
        if len(self._suspected_at) < ENOUGH_SILENT:
            return {}
        suspects = Counter(
            self._members[name].failure_domain for name in self._suspected_at
        )
        return {d: count for d, count in suspects.items() if count >= ENOUGH_SILENT}

    def present(self) -> list[MemberInfo]:
        """Return the members that are not known to be gone."""
        return [m for m in self._members.values() if m.state is not MemberState.DEAD]

    def _add(self, info: MemberInfo, now: float) -> bool:
        # A dead entry that nobody here knows would come back from the gossip of those
        # who have not forgotten it yet, and never be forgotten by all.
        if info.state is MemberState.DEAD or len(self._members) >= MAX_MEMBERS:
            return False
        self._set(info, now)
        return True

    def _is_newer(self, info: MemberInfo, held: MemberInfo) -> bool:
        # Without the order by start and counter a late "suspect" of an earlier life
        # would take a serving entry out of the addresses again and again.
        return info.order > held.order

    def _raise_offsets(self, info: MemberInfo, held: MemberInfo) -> None:
        if info.incarnation != held.incarnation:
            return
        if info.read_position < held.read_position:
            return
        self._members[info.name] = msgspec.structs.replace(
            held,
            generation=max(info.generation, held.generation),
            read_era=info.read_era,
            read_offset=info.read_offset,
            head_age_s=info.head_age_s,
        )

    def _change(self, held: MemberInfo, state: MemberState, now: float) -> MemberInfo:
        changed = msgspec.structs.replace(held, state=state)
        self._set(changed, now)
        return changed

    def _set(self, info: MemberInfo, now: float) -> None:
        self._members[info.name] = info
        self._changed_at[info.name] = now
        self.version += 1
        if info.state in (MemberState.SUSPECT, MemberState.DEAD):
            self.troubled_at = now
        if info.state is MemberState.SUSPECT:
            self._suspected_at[info.name] = now
        else:
            self._suspected_at.pop(info.name, None)
