"""Log of the backend servers that changed recently, for incremental replication."""

from __future__ import annotations

MAX_CHANGES = 512
"""Maximum number of backend servers whose last change is kept."""


class ChangeLog:
    """Records the offset at which each backend server last changed."""

    __slots__ = ("_complete_from", "_offsets", "_pending", "newest")

    def __init__(self) -> None:
        self._offsets: dict[str, int] = {}
        self._complete_from: int | None = None
        """Offset from which the log is complete."""
        self._pending: set[str] = set()
        self.newest = 0
        """Offset of the latest read that changed anything."""

    @property
    def has_pending(self) -> bool:
        """Whether anything changed since the last read."""
        return bool(self._pending)

    def add(self, id: str) -> None:
        """Add a change, whatever its source."""
        self._pending.add(id)

    def record_read(self, offset: int) -> None:
        """Assign the offset of a read to all pending changes."""
        if self._complete_from is None:
            self._complete_from = offset
            self._pending.clear()
            self.newest = offset
        if self._pending:
            self.newest = offset
        for id in self._pending:
            self._offsets.pop(id, None)
            self._offsets[id] = offset
        self._pending.clear()
        while len(self._offsets) > MAX_CHANGES:
            self._complete_from = self._offsets.pop(next(iter(self._offsets)))

    def list_since(self, offset: int, *, limit: int) -> list[str] | None:
        """Return the ids changed since an offset, or `None` if unknown or too many."""
        if self._complete_from is None or offset < self._complete_from:
            return None
        ids = [id for id, changed_at in self._offsets.items() if changed_at > offset]
        return ids if len(ids) <= limit else None
