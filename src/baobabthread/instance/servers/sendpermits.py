"""Permissions to send single requests to limited servers."""

from __future__ import annotations

from collections.abc import Callable

from baobabthread.routing.servers.serverlimits import StatedLimit


class SendPermit:
    """Permission to send one request to a limited server, until it has arrived."""

    __slots__ = ("_on_end", "wait_s")

    def __init__(
        self, *, wait_s: float, on_end: Callable[[StatedLimit | None, bool], None]
    ) -> None:
        self.wait_s = wait_s
        """Time to wait before sending, in seconds."""
        self._on_end: Callable[[StatedLimit | None, bool], None] | None = on_end

    def settle(self, limit: StatedLimit | None = None, *, responded: bool) -> None:
        """Report that the request has arrived or no longer can."""
        if self._on_end is not None:
            self._on_end(limit, responded)
            self._on_end = None
