"""Requests that are held back as backend servers crash under them.

The list is the same at all instances in the end: whatever one learns it tells, and for
one request the entry with the higher number wins, cleared before held.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec
import xxhash

QUARANTINE_S = 600.0
"""Time for which a request is held at first: long against its callers' patience, short
enough that a service that was mended serves it again without anybody's help."""
MAX_QUARANTINE_S = 86_400.0
"""Longest such time; each time anew is twice as long as the one before."""
RELAPSE_WINDOW_S = 3600.0
"""Time after it in which one crash is enough to hold the request again."""
MERGE_CUTOFF_S = 10.0
"""Time before an entry is forgotten in which it isn't taken over from others any more:
two instances would otherwise bring it back to each other for ever."""
MAX_ENTRIES = 128
"""Entries that are kept, those that end last. Each one cost three servers first; all of
them fit into one datagram, some 12 KB."""


FindVersions = Callable[[str], Collection[str]]
"""Return the versions that a service has now."""


class QuarantineEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold one request back, or let it go again."""

    fingerprint: str
    service: str
    times: int
    """How often it was held, this time included."""
    left_s: float
    """Time for which it is held from now on; negative once that is over."""
    is_cleared: bool = False
    """Whether it was answered whole after all."""
    versions: tuple[str, ...] = ()
    """Where not empty: only while the service has no other version than these."""

    @property
    def precedence(self) -> tuple[int, bool]:
        """Give what orders the entries for one request; the highest one counts."""
        return (self.times, self.is_cleared)


class _Stored:
    __slots__ = ("entry", "until")

    def __init__(self, *, entry: QuarantineEntry, until: float) -> None:
        self.entry = entry
        self.until = until


class Quarantine:
    """Keep which requests are held back, and merge what others know."""

    __slots__ = ("_digest", "_entries")

    def __init__(self) -> None:
        self._entries: dict[str, _Stored] = {}
        self._digest: int | None = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def digest(self) -> int:
        """Give a number that is the same where the same entries are known."""
        if self._digest is None:
            text = ",".join(
                f"{name}/{entry.entry.times}/{entry.entry.is_cleared:d}"
                for name, entry in sorted(self._entries.items())
            )
            self._digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1 if text else 0
        return self._digest

    def find(
        self, fingerprint: str, find_versions: FindVersions, now: float
    ) -> QuarantineEntry | None:
        """Return how a request is held, if it is."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.entry.is_cleared or now >= entry.until:
            return None
        only = entry.entry.versions
        if only and not set(find_versions(entry.entry.service)) <= set(only):
            return None
        return _with_time_left(entry, now)

    def add(
        self, fingerprint: str, service: str, versions: tuple[str, ...], now: float
    ) -> QuarantineEntry:
        """Hold a request, longer each time."""
        before = self._entries.get(fingerprint)
        times = 1 + (before.entry.times if before is not None else 0)
        held = QuarantineEntry(
            fingerprint=fingerprint,
            service=service,
            times=times,
            left_s=min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0 ** min(times - 1, 16)),
            versions=versions,
        )
        self.apply(held, now)
        return held

    def release(self, fingerprint: str, now: float) -> QuarantineEntry | None:
        """Let a request go that was answered whole; return the entry that says so."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.entry.is_cleared:
            return None
        cleared = msgspec.structs.replace(_with_time_left(entry, now), is_cleared=True)
        self.apply(cleared, now)
        return cleared

    def apply(self, entry: QuarantineEntry, now: float) -> bool:
        """Take over an entry; return whether it is news."""
        if entry.left_s < MERGE_CUTOFF_S - RELAPSE_WINDOW_S:
            return False
        known = self._entries.get(entry.fingerprint)
        if known is not None and known.entry.precedence >= entry.precedence:
            return False
        until = now + min(entry.left_s, MAX_QUARANTINE_S)
        self._entries[entry.fingerprint] = _Stored(entry=entry, until=until)
        self._digest = None
        while len(self._entries) > MAX_ENTRIES:
            first = min(self._entries, key=lambda name: self._entries[name].until)
            del self._entries[first]
        return True

    def expire(self, now: float) -> list[QuarantineEntry]:
        """Drop the entries that are over; return them."""
        over = [
            name
            for name, entry in self._entries.items()
            if now - entry.until > RELAPSE_WINDOW_S
        ]
        dropped = [_with_time_left(self._entries.pop(name), now) for name in over]
        if dropped:
            self._digest = None
        return dropped

    def get(self, fingerprint: str, now: float) -> QuarantineEntry | None:
        """Return the entry for a request, also where it is over or cleared."""
        entry = self._entries.get(fingerprint)
        return None if entry is None else _with_time_left(entry, now)

    def list(self, now: float) -> list[QuarantineEntry]:
        """Return all entries as they are now."""
        return [_with_time_left(entry, now) for entry in self._entries.values()]

    def quarantined(self, now: float) -> set[str]:
        """Return the fingerprints of what is held."""
        return {
            name
            for name, entry in self._entries.items()
            if now < entry.until and not entry.entry.is_cleared
        }

    def previously_quarantined(self, now: float) -> set[str]:
        """Return the fingerprints of what was held before and isn't any more."""
        return {
            name
            for name, entry in self._entries.items()
            if now >= entry.until and not entry.entry.is_cleared
        }


def _with_time_left(entry: _Stored, now: float) -> QuarantineEntry:
    return msgspec.structs.replace(entry.entry, left_s=round(entry.until - now, 2))
