"""Shares of the memory and the descriptors of a process for each of its listeners."""

from __future__ import annotations

import enum

FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files."""
MIN_SOCKETS = 64
MIN_CONNECTIONS = 4
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
    RELAY = "relay"


INSTANCE_LISTENERS = (
    ListenerName.CALLERS,
    ListenerName.DIRECTORY,
    ListenerName.CONTROL,
    ListenerName.READINESS,
    ListenerName.METRICS,
    ListenerName.RELAY,
)
SOCKET_FRACTIONS = {
    ListenerName.CALLERS: 0.35,
    ListenerName.DIRECTORY: 0.08,
    ListenerName.CONTROL: 0.08,
    ListenerName.READINESS: 0.02,
    ListenerName.METRICS: 0.02,
    ListenerName.RELAY: 0.125,
}
"""Part of the sockets for the connections of each listener. A tunnel takes two sockets;
the rest is for connections to backend servers, the store and peers."""


def derive_connections(max_descriptors: int, listener: ListenerName) -> int:
    """Return how many connections a listener may have."""
    sockets = max(MIN_SOCKETS, max_descriptors - FILE_DESCRIPTORS)
    return max(MIN_CONNECTIONS, int(SOCKET_FRACTIONS[listener] * sockets))


def derive_memory(memory_mb: int) -> int:
    """Return the memory in bytes that the connections of a process may hold."""
    return int(MEMORY_FRACTION * BYTES_PER_MB * memory_mb)
