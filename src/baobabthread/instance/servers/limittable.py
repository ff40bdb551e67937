"""Limits that an instance knows of, with a log line for each change."""

from __future__ import annotations

from collections.abc import Callable

from baobabthread.instance.clock import now
from baobabthread.logs import log_event
from baobabthread.routing.servers.serverlimits import StatedLimit, StatedLimits

MAX_RATE_PER_S = 1e6
"""Limit from which on a server counts as unlimited; larger numbers overflow."""


class LimitTable:
    """Limits of backend servers by incarnation."""

    __slots__ = ("_limits", "_unreadable", "on_end")

    def __init__(self) -> None:
        self._limits = StatedLimits()
        self._unreadable: set[str] = set()
        """Servers whose limit was not readable, which is logged once."""
        self.on_end: Callable[[str], None] = lambda server: None
        """Called with a server whose limit has ended."""

    def find(self, server: str) -> float | None:
        """Return a server's limit in requests per second, if it states one."""
        return self._limits.find(server)

    @property
    def all(self) -> dict[str, float]:
        """Return the limits in force by server."""
        return self._limits.list()

    def record(self, server: str, limit: StatedLimit | None, sent_at: float) -> bool:
        """Record what a response states; return whether that is a new limit.

        `sent_at` is when its request was sent.
        """
        per_s = None if limit is None else limit.per_s
        if limit is not None and per_s is None:
            # The server is in need, so this neither ends nor changes its limit.
            self._log_unreadable(server)
            return False
        if per_s is not None and per_s >= MAX_RATE_PER_S:
            per_s = None
        if not self._limits.record(server, per_s, sent_at=sent_at, now=now()):
            return False
        self._log_change(server, "response")
        return per_s is not None

    def learn(self, server: str, per_s: float, source: str, *, told_at: float) -> None:
        """Record the word of an instance that was told at a time."""
        if self._limits.learn(server, per_s, told_at=told_at, now=now()):
            self._log_change(server, source)

    def adopt(self, server: str, per_s: float | None) -> None:
        """Record what a server's owner knows: its limit, or that it has none."""
        has_changed = (
            self._limits.end(server, now())
            if per_s is None
            else self._limits.adopt(server, per_s, now())
        )
        if has_changed:
            self._log_change(server, "owner")

    def told_age(self, server: str) -> float | None:
        """Return the time since a response stated a limit here; None if none did."""
        return self._limits.told_age(server, now())

    def retain(self, servers: set[str]) -> None:
        """Drop all servers except for these."""
        self._limits.retain(servers)
        self._unreadable &= servers

    def _log_unreadable(self, server: str) -> None:
        if server not in self._unreadable:
            self._unreadable.add(server)
            log_event("limit_unreadable", level="warning", backend=server)

    def _log_change(self, server: str, source: str) -> None:
        per_s = self._limits.find(server)
        if per_s is None:
            self.on_end(server)
            log_event("backend_limit_ended", backend=server, source=source)
        else:
            log_event(
                "backend_limited", backend=server, per_s=round(per_s, 3), source=source
            )
