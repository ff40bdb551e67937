"""The servers of one service and version that may take new work."""

from __future__ import annotations

import math

from baobabthread.core.backends.backends import BalanceSettings, Health, Server

MASK = (1 << 64) - 1
MIX = 0x9E3779B97F4A7C15
MAX_CACHED_KEYS = 8192
PREFERRED = 2
"""Servers kept for each prefix: the first choice and the one that it spills to."""


class Pool:
    """Hold the servers that serve one service and version."""

    __slots__ = ("_groups", "_preferred", "changes_at", "probes", "turn", "usable")

    def __init__(self, *, servers: list[Server], settings: BalanceSettings) -> None:
        self.usable, self.probes = _choose_usable(servers, settings)
        waiting = [
            s.until for s in servers if s.health in (Health.EJECTED, Health.PROBING)
        ]
        self.changes_at = min(waiting, default=math.inf)
        self.turn = 0
        self._preferred: dict[int, tuple[Server, ...]] = {}
        size = max(1, len(self.usable) // settings.sample)
        count = 1 << (size.bit_length() - 1)
        self._groups: list[list[Server]] = [[] for _ in range(count)]
        for server in self.usable:
            self._groups[server.hash & (count - 1)].append(server)

    def preferred(self, prefix_key: int) -> tuple[Server, ...]:
        """Return the servers that a prefix belongs to, by rendezvous hash.

        A large pool is cut into groups by the servers' hashes, so that a new prefix
        costs one group's length and a change moves few prefixes.
        """
        found = self._preferred.get(prefix_key)
        if found is not None:
            return found
        if len(self._preferred) >= MAX_CACHED_KEYS:
            self._preferred.clear()
        found = _rank(self._group(prefix_key), prefix_key)
        self._preferred[prefix_key] = found
        return found

    def _group(self, prefix_key: int) -> list[Server]:
        count = len(self._groups)
        start = _mix(prefix_key) & (count - 1)
        for step in range(count):
            group = self._groups[(start + step) & (count - 1)]
            if group:
                return group
        return []


def _rank(group: list[Server], prefix_key: int) -> tuple[Server, ...]:
    """Return the first servers of a group in a prefix's own order."""
    weights = [(s.hash ^ prefix_key) * MIX & MASK for s in group]
    found = []
    for _ in range(min(PREFERRED, len(group))):
        index = weights.index(max(weights))
        weights[index] = -1
        found.append(group[index])
    return tuple(found)


def _mix(value: int) -> int:
    """Spread a 64-bit value over all bits."""
    value = (value ^ (value >> 32)) * MIX & MASK
    value = (value ^ (value >> 29)) * MIX & MASK
    return value ^ (value >> 32)


def _choose_usable(
    servers: list[Server], settings: BalanceSettings
) -> tuple[list[Server], list[Server]]:
    """Return the servers in use and those that are to be probed."""
    present = [s for s in servers if s.health is not Health.LEAVING]
    out = [s for s in present if s.health in (Health.EJECTED, Health.PROBING)]
    probes = [s for s in out if s.health is Health.PROBING]
    most = int(len(present) * (1.0 - settings.eject_floor))
    if len(out) <= most:
        return [s for s in present if s not in out], probes
    if len(out) == len(present):
        # Failure: every server fails alike, for a cause that they share, and the one
        # ejected last takes all traffic. With nothing good left, spread over all.
        return present, []
    # The last to be ejected come back until the floor holds.
    out.sort(key=lambda s: s.since)
    kept = set(out[:most])
    return [s for s in present if s not in kept], [s for s in probes if s in kept]
