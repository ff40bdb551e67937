"""Choice of the instance to query for what the store holds."""

from __future__ import annotations

from collections.abc import Sequence

from baobabthread.core.rendezvous import rank
from baobabthread.routing.readers import ReaderAssignment

TURNS_PER_READER = 3
"""Queries of a stale instance of which one goes to a reader. A reader pushes changes to
an instance for five query intervals: asked less often, it would not tell that the store
has returned."""


class SourceChoice:
    """Choose the readers in turn, and any other member while this instance is stale.

    The store may reject all readers while it serves other instances, or serve only
    some, so any fresh instance is a valid source. If only the readers were queried,
    this instance would reject every key while most instances know the keys.
    """

    __slots__ = (
        "_alive",
        "_me",
        "_missed_at",
        "_others",
        "_source",
        "_turns",
        "assignment",
        "misses",
    )

    def __init__(self, *, me: str) -> None:
        self._me = me
        self._alive: Sequence[str] = [me]
        self.assignment = ReaderAssignment(me=me, names=self._alive)
        self._others: list[str] = []
        """Other members, in this instance's own order; empty until it is needed."""
        self.misses = 0
        """Queries in a row without a fresh reply."""
        self._missed_at = -1e9
        """When a stale reply was last counted as unanswered."""
        self._source: str | None = None
        """Member that was fresh when this instance was stale."""
        self._turns = 0
        """Queries sent while stale without such a member."""

    def set_members(self, names: Sequence[str]) -> None:
        """Set the names of the serving instances, including this one."""
        self._alive = names
        self.assignment = ReaderAssignment(me=self._me, names=names)
        self._others = []

    @property
    def is_known(self) -> bool:
        """Whether a fresh member was found when this instance was stale."""
        return self._source is not None

    def record_silence(self) -> None:
        """Record that a query was not answered."""
        self.misses += 1
        self._source = None

    def record_reply(
        self, sender: str, *, is_stale: bool, is_fresh: bool, now: float, pause_s: float
    ) -> None:
        """Learn from a reply whose operators' records are stale, or all of it fresh.

        Stale replies within `pause_s` of each other count as one unanswered query, so
        that standbys read a store that is away no sooner for more frequent queries.
        """
        if not is_stale:
            self.misses = 0
        elif now - self._missed_at >= pause_s:
            self.misses += 1
            self._missed_at = now
        if not is_fresh:
            if sender == self._source:
                self._source = None
        elif self._source is None and sender not in self.assignment.readers:
            self._source = sender

    def choose(self, *, is_stale: bool) -> str | None:
        """Return the member to query next; None if there is no other."""
        if not is_stale:
            return self.assignment.choose_reader(self.misses)
        if self._source in self._alive:
            return self._source
        self._turns += 1
        reader_turns, is_other = divmod(self._turns, TURNS_PER_READER)
        if not is_other:
            reader = self.assignment.choose_reader(reader_turns - 1)
            if reader is not None:
                return reader
        if not self._others:
            self._others = [n for n in rank(self._me, self._alive) if n != self._me]
        if not self._others:
            return None
        return self._others[(self._turns - reader_turns) % len(self._others)]
