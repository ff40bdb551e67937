"""Shares of the memory and the descriptors of a process for each of its listeners."""

from __future__ import annotations

import enum
import os
import resource

FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files."""
MIN_SOCKETS = 64
MAX_DESCRIPTORS = 65_536
"""Descriptors to count with if the process has no limit."""
MIN_CONNECTIONS = 4
BYTES_PER_MB = 1_000_000
MEMORY_FRACTION = 0.25
"""Part of the memory for what clients send and for small responses."""


class ListenerName(enum.StrEnum):
    """Listeners of an instance on the platform, and of an entry."""

    CALLERS = "callers"
    DIRECTORY = "directory"
    CONTROL = "control"
    READINESS = "readiness"
    METRICS = "metrics"
    RELAY = "relay"
    ENTRY_CALLERS = "entry_callers"
    ENTRY_PEERS = "entry_peers"


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
    ListenerName.ENTRY_CALLERS: 0.5,
    ListenerName.ENTRY_PEERS: 0.25,
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


def find_descriptors() -> int:
    """Return how many descriptors this process may have."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


def find_memory_mb() -> int:
    """Return the memory of this machine in MB."""
    pages, page_bytes = os.sysconf("SC_PHYS_PAGES"), os.sysconf("SC_PAGE_SIZE")
    return pages * page_bytes // BYTES_PER_MB
