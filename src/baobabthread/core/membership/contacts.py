"""Addresses to join by, and what the platform's lagging roster says."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from baobabthread.core.membership.messages import Hint
from baobabthread.core.membership.table import MemberTable

MAX_HINTED = 512


class Contacts:
    """Keep the seeds of the settings and the entries that the roster lists."""

    __slots__ = ("_hinted", "_me", "_seeds", "_seeds_count", "leaving")

    def __init__(self, *, me: str, my_address: str, seeds: Sequence[str]) -> None:
        self._me = me
        self._seeds = [seed for seed in dict.fromkeys(seeds) if seed != my_address]
        self._seeds_count = True
        self._hinted: list[str] = []
        self.leaving: frozenset[str] = frozenset()
        """Names that the roster calls leaving."""

    def take_hints(self, hints: Iterable[Hint], table: MemberTable) -> None:
        """Take in the roster's present list."""
        # The roster lags: an entry that it lacks may just have started, and one that
        # it lists may be gone. It adds addresses to try; only probes decide on life.
        listed = [hint for hint in hints if hint.name != self._me]
        self.leaving = frozenset(hint.name for hint in listed if hint.leaving)
        unknown = [
            hint.peer_address
            for hint in listed
            if hint.name not in table and not hint.leaving
        ]
        self._hinted = unknown[:MAX_HINTED]

    def list_unmet(self, table: MemberTable) -> list[str]:
        """Return the addresses at which no known member is."""
        met = {member.peer_address for member in table}
        both = dict.fromkeys([*self._seeds, *self._hinted])
        return [address for address in both if address not in met]

    def count_unmet(self, table: MemberTable) -> int:
        """Return how many unmet addresses count as entries that may be there."""
        if self._seeds_count:
            return len(self.list_unmet(table))
        met = {member.peer_address for member in table}
        return sum(address not in met for address in self._hinted)

    def settle(self) -> None:
        """Stop counting unmet seeds, whose instances were replaced long ago."""
        self._seeds_count = False
