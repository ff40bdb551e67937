"""Limits that callers may keep to: those in force now, and those shortly before."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from baobabthread.instance.clock import now
from baobabthread.routing.configuration import RequestLimits
from baobabthread.serving.groups import ClientLimits

SUPERSEDED_S = 15.0
"""Time for which limits count after another configuration has replaced them."""
UNKNOWN = RequestLimits(max_header_bytes=65_536)
"""Limits as long as no configuration is known."""


class CallerLimits:
    """The widest of the limits that a caller may have learnt."""

    __slots__ = ("_find_current", "_last", "_superseded", "_widest")

    def __init__(self, *, find_current: Callable[[], RequestLimits | None]) -> None:
        self._find_current = find_current
        self._last = UNKNOWN
        self._widest = UNKNOWN
        self._superseded: deque[tuple[float, RequestLimits]] = deque()

    def find(self) -> RequestLimits:
        """Return the widest limits that count now."""
        current = self._find_current() or UNKNOWN
        if current is not self._last:
            if self._last is not UNKNOWN:
                self._superseded.append((now(), self._last))
            self._last = current
            self._update()
        elif self._superseded and self._superseded[0][0] < now() - SUPERSEDED_S:
            self._update()
        return self._widest

    def find_client_limits(self) -> ClientLimits:
        """Return the limits on heads."""
        return ClientLimits(max_head_bytes=self.find().max_header_bytes)

    def _update(self) -> None:
        oldest = now() - SUPERSEDED_S
        while self._superseded and self._superseded[0][0] < oldest:
            self._superseded.popleft()
        known = [self._last, *(limits for _, limits in self._superseded)]
        self._widest = RequestLimits(
            max_header_bytes=max(each.max_header_bytes for each in known),
            max_body_bytes=max(each.max_body_bytes for each in known),
            idle_timeout_s=max(each.idle_timeout_s for each in known),
        )
