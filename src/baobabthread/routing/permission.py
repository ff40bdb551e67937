"""Permission of one instance to continue a canary, granted for a limited time."""

from __future__ import annotations

PERMIT_TTL_S = 2.5
"""Time for which a canary continues without a new permit or confirmation."""
NEVER_S = 1e9


class Permission:
    """Holds the latest permit of the leader and confirmation by the store.

    The leader's permit allows sessions to begin on the new version. For sessions that
    are already there, the store's confirmation suffices; without either, they must not
    stay.
    """

    __slots__ = ("_admits", "_confirmed_until", "_permitted_until", "renewed_at")

    def __init__(self) -> None:
        self.renewed_at = -NEVER_S
        """Time of the request that renewed an expired permit of the leader."""
        self._permitted_until = -NEVER_S
        self._confirmed_until = -NEVER_S
        self._admits = True

    def permit(self, *, requested_at: float, admits: bool) -> None:
        """Apply a permit of the leader, valid from the time of its request."""
        if -NEVER_S < self._permitted_until < requested_at:
            self.renewed_at = requested_at
        self._permitted_until = max(self._permitted_until, requested_at + PERMIT_TTL_S)
        self._admits = admits

    def confirm(self, *, requested_at: float) -> None:
        """Apply a confirmation by the store that the roll-out has not ended."""
        self._confirmed_until = max(self._confirmed_until, requested_at + PERMIT_TTL_S)

    def permitted_s(self, now: float) -> float:
        """Return the seconds until the leader's permit expires."""
        return max(0.0, self._permitted_until - now)

    def left_s(self, now: float) -> float:
        """Return the seconds until both permit and confirmation have expired."""
        return max(self.permitted_s(now), self._confirmed_until - now, 0.0)

    def may_admit(self, now: float) -> bool:
        """Return whether further sessions may begin on the new version."""
        return self._admits and self.permitted_s(now) > 0.0
