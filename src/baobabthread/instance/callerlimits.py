"""Limits that callers may keep to: those in force now, and those shortly before."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from baobabthread.instance.clock import now
from baobabthread.routing.configuration import RequestLimits
from baobabthread.serving.groups import NETWORK_DELAY_S, ClientLimits

MIN_SUPERSEDED_S = 15.0
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
        elif self._superseded and self._superseded[0][0] < now() - self._kept_s:
            self._update()
        return self._widest

    def find_client_limits(self) -> ClientLimits:
        """Return the limits on heads and times."""
        limits = self.find()
        return ClientLimits(
            max_head_bytes=limits.max_header_bytes,
            head_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    @property
    def _kept_s(self) -> float:
        """Time after which no connection is left that was opened under old limits."""
        return max(MIN_SUPERSEDED_S, self._widest.idle_timeout_s + NETWORK_DELAY_S)

    def _update(self) -> None:
        oldest = now() - self._kept_s
        while self._superseded and self._superseded[0][0] < oldest:
            self._superseded.popleft()
        known = [self._last, *(limits for _, limits in self._superseded)]
        self._widest = RequestLimits(
            max_header_bytes=max(each.max_header_bytes for each in known),
            max_body_bytes=max(each.max_body_bytes for each in known),
            header_timeout_s=max(each.header_timeout_s for each in known),
            idle_timeout_s=max(each.idle_timeout_s for each in known),
        )
