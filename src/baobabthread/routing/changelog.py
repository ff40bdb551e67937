"""Log of the backend servers that changed recently, for incremental replication."""

from __future__ import annotations

from baobabthread.core.positions import BackendsPosition

MAX_CHANGES = 512
"""Maximum number of backend servers whose last change is kept."""


class ChangeLog:
    """Records the position at which each backend server last changed."""

    __slots__ = ("_complete_from", "_last_in_era", "_pending", "_positions", "newest")

    def __init__(self) -> None:
        self._positions: dict[str, BackendsPosition] = {}
        self._complete_from: BackendsPosition | None = None
        """Position from which the log is complete."""
        self._last_in_era: dict[int, BackendsPosition] = {}
        """Position of the last read, by era of the store."""
        self._pending: set[str] = set()
        self.newest = BackendsPosition()
        """Position of the latest read that changed anything."""

    @property
    def has_pending(self) -> bool:
        """Whether anything changed since the last read."""
        return bool(self._pending)

    def add(self, id: str) -> None:
        """Add a change, whatever its source."""
        self._pending.add(id)

    def record_read(self, position: BackendsPosition) -> None:
        """Assign the position of a read to all pending changes."""
        self._last_in_era[position.era] = position
        if self._complete_from is None:
            self._complete_from = position
            self._pending.clear()
            self.newest = position
        if self._pending:
            self.newest = position
        for id in self._pending:
            self._positions.pop(id, None)
            self._positions[id] = position
        self._pending.clear()
        while len(self._positions) > MAX_CHANGES:
            self._complete_from = self._positions.pop(next(iter(self._positions)))

    def list_since(self, position: BackendsPosition, *, limit: int) -> list[str] | None:
        """Return the ids changed since a position, or `None` if unknown or too many."""
        if self._complete_from is None or position < self._complete_from:
            return None
        if self._is_beyond_an_earlier_era(position):
            return None
        ids = [id for id, changed in self._positions.items() if changed > position]
        return ids if len(ids) <= limit else None

    def _is_beyond_an_earlier_era(self, position: BackendsPosition) -> bool:
        # Whoever read further before the store was restored may know servers that were
        # never known here, and whose records the store lost.
        if position.era >= max(self._last_in_era):
            return False
        last = self._last_in_era.get(position.era)
        return last is None or position > last
