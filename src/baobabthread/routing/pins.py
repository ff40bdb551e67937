"""Assignment of sessions to versions during a roll-out."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

NEVER_S = 1e9
MAX_SESSIONS = 4096


class SessionPins:
    """Tracks the sessions seen here and the sessions owned by this instance."""

    __slots__ = (
        "_admitted",
        "_in_use",
        "_on_new",
        "_on_old",
        "_running_new",
        "_running_old",
        "idle_s",
    )

    def __init__(self, *, idle_s: float) -> None:
        """Set the idle time after which a session may change its version."""
        self.idle_s = idle_s
        self._on_old: dict[str, float] = {}
        """Last use of sessions whose requests went to the old version from here. Kept
        before any order as well, which may come in the middle of a conversation."""
        self._running_old: Counter[str] = Counter()
        """Number of their requests that still run."""
        self._running_new: Counter[str] = Counter()
        """Number of running requests on the new version from here, by session."""
        self._on_new: dict[str, float] = {}
        """Last use of sessions whose requests went to the new version from here."""
        self._in_use: dict[str, float] = {}
        """Last use of owned sessions on the old version."""
        self._admitted: dict[str, bool] = {}
        """Owned sessions admitted to the new version; true if a request ran there."""

    def reset(self) -> None:
        """Discard the decisions made under an earlier order.

        Sessions that moved under it are in use on what may be the old version now.
        """
        for session, used_at in self._on_new.items():
            known_at = self._on_old.get(session, -NEVER_S)
            self._on_old[session] = max(used_at, known_at)
        self._running_old.update(self._running_new)
        self._running_new.clear()
        self._on_new.clear()
        self._in_use.clear()
        self._admitted.clear()

    @property
    def running_old_count(self) -> int:
        """Number of requests that run on the old version from here."""
        return self._running_old.total()

    def record_old_started(self, session: str, now: float) -> None:
        """Record the start of a request on the old version from here."""
        self._running_old[session] += 1
        self.record_old(session, now)

    def record_old_ended(self, session: str, now: float) -> None:
        """Record the end of a request on the old version from here."""
        _count_down(self._running_old, session)
        self.record_old(session, now)

    def record_old(self, session: str, used_at: float) -> None:
        """Record the last use of a session on the old version."""
        self._on_old[session] = max(used_at, self._on_old.get(session, -NEVER_S))
        if len(self._on_old) > MAX_SESSIONS:
            self._on_old = self._filter_recent(self._on_old, used_at)

    def record_new_started(self, session: str) -> None:
        """Record the start of a request on the new version from here."""
        self._running_new[session] += 1

    def record_new_ended(self, session: str) -> None:
        """Record the end of a request on the new version from here."""
        _count_down(self._running_new, session)

    def record_new(self, session: str, now: float) -> bool:
        """Record a request on the new version; return whether it is the first here."""
        is_first = session not in self._on_new
        self._on_new[session] = now
        if len(self._on_new) > MAX_SESSIONS:
            self._on_new = self._filter_recent(self._on_new, now)
        return is_first

    def is_on_new(self, session: str) -> bool:
        """Return whether a session is known to be on the new version."""
        return session in self._admitted or session in self._on_new

    def list_old(self, now: float) -> dict[str, float]:
        """Return the sessions in use on the old version here with their last use."""
        self._on_old = self._filter_recent(self._on_old, now)
        # A stream may run for longer than the idle time.
        return self._on_old | dict.fromkeys(self._running_old, now)

    def list_running_old(self) -> list[str]:
        """Return the sessions with a running request on the old version here."""
        return list(self._running_old)

    def list_new(self, now: float) -> list[str]:
        """Return the sessions in use on the new version here."""
        self._on_new = self._filter_recent(self._on_new, now)
        return list(self._on_new)

    @property
    def has_new(self) -> bool:
        """Whether any session is known to be on the new version."""
        return bool(self._admitted or self._on_new)

    # -- sessions owned by this instance --

    def is_in_use(self, session: str, now: float) -> bool:
        """Return whether a session is in use on the old version."""
        return now - self._in_use.get(session, -NEVER_S) < self.idle_s

    def keep_old(self, session: str, now: float) -> None:
        """Keep a session on the old version."""
        self._in_use[session] = now

    def admit(self, session: str) -> None:
        """Admit a session to the new version."""
        self._admitted.setdefault(session, False)

    def is_admitted(self, session: str) -> bool:
        """Return whether a session was admitted to the new version."""
        return session in self._admitted

    def record_in_use(self, ages: Mapping[str, float], now: float) -> None:
        """Record sessions on the old version with the seconds since their last use."""
        for session, age_s in ages.items():
            used_at = max(self._in_use.get(session, -NEVER_S), now - age_s)
            self._in_use[session] = used_at
            # The reply that admitted the session was lost: it stayed on the old one.
            if self._admitted.get(session) is False:
                del self._admitted[session]

    def record_moved(self, sessions: Iterable[str]) -> None:
        """Record sessions that had a request on the new version."""
        for session in sessions:
            self._admitted[session] = True

    def _filter_recent(self, seen: dict[str, float], now: float) -> dict[str, float]:
        cutoff = now - self.idle_s
        return {
            session: used_at for session, used_at in seen.items() if used_at > cutoff
        }


def _count_down(running: Counter[str], session: str) -> None:
    running[session] -= 1
    if running[session] <= 0:
        del running[session]
