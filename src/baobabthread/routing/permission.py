"""Until when a trial may go on at one instance, and on whose word."""

from __future__ import annotations

PERMIT_TTL_S = 2.5
"""Time for which a trial goes on without another word that it has not ended."""
NEVER_S = 1e9


class Permission:
    """Hold the newest word on a trial, of its leader and of the store.

    The leader's word lets sessions begin on the new version. The store's word is enough
    for those that are there already: without any word, they must not stay.
    """

    __slots__ = ("_admits", "_confirmed_until", "_permitted_until", "renewed_at")

    def __init__(self) -> None:
        self.renewed_at = -NEVER_S
        """When the leader's word came again after it had lapsed."""
        self._permitted_until = -NEVER_S
        self._confirmed_until = -NEVER_S
        self._admits = True

    def permit(self, *, requested_at: float, admits: bool) -> None:
        """Take the leader's word, as of when it was asked."""
        if -NEVER_S < self._permitted_until < requested_at:
            self.renewed_at = requested_at
        self._permitted_until = max(self._permitted_until, requested_at + PERMIT_TTL_S)
        self._admits = admits

    def confirm(self, *, requested_at: float) -> None:
        """Take the store's word that the roll-out has not ended."""
        self._confirmed_until = max(self._confirmed_until, requested_at + PERMIT_TTL_S)

    def permitted_s(self, now: float) -> float:
        """Return the seconds until the leader's word lapses."""
        return max(0.0, self._permitted_until - now)

    def left_s(self, now: float) -> float:
        """Return the seconds until all words lapse."""
        return max(self.permitted_s(now), self._confirmed_until - now, 0.0)

    def may_admit(self, now: float) -> bool:
        """Tell whether further sessions may begin on the new version."""
        return self._admits and self.permitted_s(now) > 0.0
