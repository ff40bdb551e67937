"""Memory held for requests and responses, bounded over all connections."""

from __future__ import annotations

import sys

MEMORY_FRACTION = 0.15
"""Part of the instance's memory that large requests and responses may take."""
FREE_BYTES = 65_536
"""Bytes of each exchange that are not counted: usual ones must not notice the limit."""
BYTES_PER_MB = 1_000_000


class MemoryBudget:
    """Bytes that may be held in all beyond the free ones of each exchange."""

    __slots__ = ("held_bytes", "limit_bytes")

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def try_take(self, size: int) -> bool:
        """Take some bytes; return False if that exceeds the limit."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Give back bytes that were taken."""
        self.held_bytes -= size


class HeldBytes:
    """Bytes held for one exchange of a request and its response."""

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._size = 0

    def try_resize(self, size: int) -> bool:
        """Hold `size` bytes from now on; return False if there is no room for them."""
        more = _count(size) - _count(self._size)
        if more > 0 and not self._budget.try_take(more):
            return False
        if more < 0:
            self._budget.give_back(-more)
        self._size = size
        return True

    def try_grow(self, size: int) -> bool:
        """Hold some more bytes; return False if there is no room for them."""
        return self.try_resize(self._size + size)

    def shrink(self, size: int) -> None:
        """Hold some bytes no longer."""
        self.try_resize(self._size - size)

    def release(self) -> None:
        """Hold nothing any more."""
        self.try_resize(0)


def derive_limit(memory_mb: int) -> int:
    """Return the limit in bytes of an instance with some memory."""
    return int(MEMORY_FRACTION * BYTES_PER_MB * memory_mb)


def make_unbounded() -> HeldBytes:
    """Return an exchange for which any number of bytes may be held."""
    return HeldBytes(MemoryBudget(limit_bytes=sys.maxsize))


def _count(size: int) -> int:
    return max(0, size - FREE_BYTES)
