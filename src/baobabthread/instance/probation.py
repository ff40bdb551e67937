"""Single requests that are let through after a quarantine.

Only the first owner of a service's crashes lets them through, one at a time: if each
instance did, a request that still crashes servers would crash one per instance.
"""

from __future__ import annotations

from baobabthread.instance.clock import now

TRIAL_INTERVAL_S = 1.0
"""Time from the end of a trial without an answer to the next one: by then a crash has
been analyzed, and the quarantine imposed again."""
MAX_TRIAL_INTERVAL_S = 30.0
"""Longest time between two trials of the same features; it doubles with each one that
is not answered."""


class Trials:
    """Trials that run, at most one for each service."""

    __slots__ = ("_failed", "_next_at", "_running")

    def __init__(self) -> None:
        self._running: dict[str, str] = {}
        """Features on trial by service."""
        self._next_at: dict[str, float] = {}
        """Time of the next trial by service, and by features."""
        self._failed: dict[str, int] = {}
        """Consecutive trials of features that were not answered."""

    def begin(self, service: str, fingerprint: str) -> bool:
        """Begin a trial unless one runs, or ended just now; return whether it began."""
        next_at = max(self._next_at.get(name, 0.0) for name in (service, fingerprint))
        if service in self._running or now() < next_at:
            return False
        self._running[service] = fingerprint
        return True

    def end(self, fingerprint: str) -> None:
        """End the trial of these features."""
        for service, running in list(self._running.items()):
            if running != fingerprint:
                continue
            del self._running[service]
            failed = self._failed[fingerprint] = self._failed.get(fingerprint, 0) + 1
            interval_s = TRIAL_INTERVAL_S * 2.0 ** min(failed - 1, 16)
            self._next_at[service] = now() + TRIAL_INTERVAL_S
            self._next_at[fingerprint] = now() + min(interval_s, MAX_TRIAL_INTERVAL_S)

    def end_answered(self, fingerprint: str) -> None:
        """End the trial of features that were answered; another one may follow."""
        for service, running in list(self._running.items()):
            if running == fingerprint:
                del self._running[service]
        self._failed.pop(fingerprint, None)
        self._next_at.pop(fingerprint, None)
