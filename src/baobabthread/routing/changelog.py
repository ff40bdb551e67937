"""Which backend servers changed lately, to be told to others one by one."""

from __future__ import annotations

MAX_CHANGES = 512
"""Backend servers whose last change is remembered."""


class ChangeLog:
    """Remember the offset at which each backend server was last seen to change."""

    __slots__ = ("_complete_from", "_offsets", "_pending", "newest")

    def __init__(self) -> None:
        self._offsets: dict[str, int] = {}
        self._complete_from: int | None = None
        """Offset from which on all changes are remembered."""
        self._pending: set[str] = set()
        self.newest = 0
        """Offset up to which reading last changed anything."""

    @property
    def has_pending(self) -> bool:
        """Tell whether anything changed since the last read."""
        return bool(self._pending)

    def add(self, id: str) -> None:
        """Note a change, by whatever made it known."""
        self._pending.add(id)

    def record_read(self, offset: int) -> None:
        """Note that all that changed so far did so up to an offset."""
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
        """Return what changed since an offset; nothing if that isn't known or long."""
        if self._complete_from is None or offset < self._complete_from:
            return None
        ids = [id for id, at in self._offsets.items() if at > offset]
        return ids if len(ids) <= limit else None
