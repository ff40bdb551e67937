"""Which backend servers changed lately, to be told to others one by one."""

from __future__ import annotations

MAX_CHANGES = 512
"""Backend servers whose last change is remembered."""


class ChangeLog:
    """Remember the offset at which each backend server was last seen to change."""

    __slots__ = ("_at", "_from", "_unread", "newest")

    def __init__(self) -> None:
        self._at: dict[str, int] = {}
        self._from: int | None = None
        """Offset from which on all changes are remembered."""
        self._unread: set[str] = set()
        self.newest = 0
        """Offset up to which reading last changed anything."""

    @property
    def has_unread(self) -> bool:
        """Tell whether anything changed since the last read."""
        return bool(self._unread)

    def add(self, id: str) -> None:
        """Note a change, by whatever made it known."""
        self._unread.add(id)

    def note_read(self, at: int) -> None:
        """Note that all that changed so far did so up to an offset."""
        if self._from is None:
            self._from = at
            self._unread.clear()
            self.newest = at
        if self._unread:
            self.newest = at
        for id in self._unread:
            self._at.pop(id, None)
            self._at[id] = at
        self._unread.clear()
        while len(self._at) > MAX_CHANGES:
            self._from = self._at.pop(next(iter(self._at)))

    def list_since(self, offset: int, *, most: int) -> list[str] | None:
        """Return what changed since an offset; nothing if that isn't known or long."""
        if self._from is None or offset < self._from:
            return None
        ids = [id for id, at in self._at.items() if at > offset]
        return ids if len(ids) <= most else None
