"""Which version each session is on while a roll-out runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

NEVER_S = 1e9
MAX_SESSIONS = 4096


class SessionPins:
    """Remember the sessions seen here, and those that this instance decides on."""

    __slots__ = (
        "_admitted",
        "_in_use",
        "_on_new",
        "_on_old",
        "_running_old",
        "idle_s",
    )

    def __init__(self, *, idle_s: float) -> None:
        """Note the pause after which a session may change its version."""
        self.idle_s = idle_s
        self._on_old: dict[str, float] = {}
        """Sessions whose requests went to the old version from here, and when last;
        also before any order, which may come in the middle of a conversation."""
        self._running_old: Counter[str] = Counter()
        """Their requests that still run."""
        self._on_new: dict[str, float] = {}
        """The same for the new version."""
        self._in_use: dict[str, float] = {}
        """Sessions to decide on that are on the old version, and when last."""
        self._admitted: dict[str, bool] = {}
        """Those that were let onto the new one, and whether a request ran there."""

    def reset(self) -> None:
        """Forget what an earlier order has decided."""
        self._on_new.clear()
        self._in_use.clear()
        self._admitted.clear()

    def record_old_started(self, session: str, now: float) -> None:
        """Note a request on the old version from here."""
        self._running_old[session] += 1
        self._record_old(session, now)

    def record_old_ended(self, session: str, now: float) -> None:
        """Note its end."""
        self._running_old[session] -= 1
        if self._running_old[session] <= 0:
            del self._running_old[session]
        self._record_old(session, now)

    def _record_old(self, session: str, now: float) -> None:
        self._on_old[session] = now
        if len(self._on_old) > MAX_SESSIONS:
            self._on_old = self._find_recent(self._on_old, now)

    def record_new(self, session: str, now: float) -> bool:
        """Note a request on the new version from here; return whether it is news."""
        is_first = session not in self._on_new
        self._on_new[session] = now
        if len(self._on_new) > MAX_SESSIONS:
            self._on_new = self._find_recent(self._on_new, now)
        return is_first

    def is_on_new(self, session: str) -> bool:
        """Tell whether a session is known to be on the new version."""
        return session in self._admitted or session in self._on_new

    def list_old(self, now: float) -> dict[str, float]:
        """Return the sessions in use on the old version here, and when last."""
        self._on_old = self._find_recent(self._on_old, now)
        # A stream may last longer than a pause.
        return self._on_old | dict.fromkeys(self._running_old, now)

    def list_running_old(self) -> list[str]:
        """Return the sessions of which a request runs on the old version here."""
        return list(self._running_old)

    def list_new(self, now: float) -> list[str]:
        """Return the sessions in use on the new version here."""
        self._on_new = self._find_recent(self._on_new, now)
        return list(self._on_new)

    @property
    def has_new(self) -> bool:
        """Tell whether any session is known to be on the new version."""
        return bool(self._admitted or self._on_new)

    # -- decided here --

    def is_in_use(self, session: str, now: float) -> bool:
        """Tell whether a session is in use on the old version."""
        return now - self._in_use.get(session, -NEVER_S) < self.idle_s

    def keep_old(self, session: str, now: float) -> None:
        """Leave a session on the old version."""
        self._in_use[session] = now

    def admit(self, session: str) -> None:
        """Let a session onto the new version."""
        self._admitted.setdefault(session, False)

    def is_admitted(self, session: str) -> bool:
        """Tell whether a session was let onto the new version."""
        return session in self._admitted

    def record_in_use(self, ages: Mapping[str, float], now: float) -> None:
        """Note sessions on the old version and the seconds since their last request."""
        for session, age_s in ages.items():
            used_at = max(self._in_use.get(session, -NEVER_S), now - age_s)
            self._in_use[session] = used_at
            # Whoever asked did not get the answer and stayed on the old version.
            if self._admitted.get(session) is False:
                del self._admitted[session]

    def record_moved(self, sessions: Iterable[str]) -> None:
        """Note sessions of which a request ran on the new version."""
        for session in sessions:
            self._admitted[session] = True

    def _find_recent(self, seen: dict[str, float], now: float) -> dict[str, float]:
        cutoff = now - self.idle_s
        return {
            session: used_at for session, used_at in seen.items() if used_at > cutoff
        }
