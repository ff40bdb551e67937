"""Shares of the memory of a process for its listeners."""

from __future__ import annotations

import enum

BYTES_PER_MB = 1_000_000
MEMORY_FRACTION = 0.25
"""Part of the memory for what clients send and for small responses."""


class ListenerName(enum.StrEnum):
    """Listeners of an instance on the platform."""

    CALLERS = "callers"
    DIRECTORY = "directory"
    CONTROL = "control"
    READINESS = "readiness"
    METRICS = "metrics"


def derive_memory(memory_mb: int) -> int:
    """Return the memory in bytes that the connections of a process may hold."""
    return int(MEMORY_FRACTION * BYTES_PER_MB * memory_mb)
