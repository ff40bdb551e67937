"""Quarantine of requests that crash backend servers.

The list is eventually consistent: each instance publishes what it learns, and of two
entries for one request the one of higher precedence wins, cleared over quarantined.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec
import xxhash

QUARANTINE_S = 600.0
"""Time of the first quarantine of a request: longer than callers keep retrying, and
short enough that a repaired service soon serves it again without intervention."""
MAX_QUARANTINE_S = 86_400.0
"""Longest quarantine; each one lasts twice as long as the one before."""
RELAPSE_WINDOW_S = 3600.0
"""Time after a quarantine in which one crash is enough to quarantine again."""
MERGE_CUTOFF_S = 10.0
"""Time before an entry is dropped from which on it is no longer accepted from peers:
two instances would otherwise restore it at each other indefinitely."""
MAX_ENTRIES = 128
"""Number of entries kept, those that end last. Each one crashes three servers before it
is added; all of them fit into one datagram, at some 12 KB."""


FindVersions = Callable[[str], Collection[str]]
"""Return the versions that a service currently has."""


class QuarantineEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Quarantine of one request, or its release."""

    fingerprint: str
    service: str
    times: int
    """How often it has been quarantined, including this time."""
    left_s: float
    """Remaining time of the quarantine; negative once it is over."""
    is_cleared: bool = False
    """Whether it was released after a complete response."""
    versions: tuple[str, ...] = ()
    """If not empty, only in force while the service has no other versions."""

    @property
    def precedence(self) -> tuple[int, bool]:
        """Order of the entries for one request; the highest one is in force."""
        return (self.times, self.is_cleared)


class _Stored:
    __slots__ = ("entry", "until")

    def __init__(self, *, entry: QuarantineEntry, until: float) -> None:
        self.entry = entry
        self.until = until


class Quarantine:
    """Quarantined requests of this instance, merged with those of its peers."""

    __slots__ = ("_digest", "_entries")

    def __init__(self) -> None:
        self._entries: dict[str, _Stored] = {}
        self._digest: int | None = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def digest(self) -> int:
        """Digest of the entries; equal digests mean equal lists."""
        if self._digest is None:
            text = ",".join(
                f"{name}/{stored.entry.times}/{stored.entry.is_cleared:d}"
                for name, stored in sorted(self._entries.items())
            )
            self._digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1 if text else 0
        return self._digest

    def find(
        self, fingerprint: str, find_versions: FindVersions, now: float
    ) -> QuarantineEntry | None:
        """Return the entry by which a request is quarantined now, if any."""
        stored = self._entries.get(fingerprint)
        if stored is None or stored.entry.is_cleared or now >= stored.until:
            return None
        versions = stored.entry.versions
        if versions and not set(find_versions(stored.entry.service)) <= set(versions):
            return None
        return _with_time_left(stored, now)

    def add(
        self, fingerprint: str, service: str, versions: tuple[str, ...], now: float
    ) -> QuarantineEntry:
        """Quarantine a request, longer each time, and return the entry."""
        previous = self._entries.get(fingerprint)
        times = 1 + (previous.entry.times if previous is not None else 0)
        entry = QuarantineEntry(
            fingerprint=fingerprint,
            service=service,
            times=times,
            left_s=min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0 ** min(times - 1, 16)),
            versions=versions,
        )
        self.apply(entry, now)
        return entry

    def release(self, fingerprint: str, now: float) -> QuarantineEntry | None:
        """Release a request that was answered; return its entry, None if unchanged."""
        stored = self._entries.get(fingerprint)
        if stored is None or stored.entry.is_cleared:
            return None
        cleared = msgspec.structs.replace(_with_time_left(stored, now), is_cleared=True)
        self.apply(cleared, now)
        return cleared

    def apply(self, entry: QuarantineEntry, now: float) -> bool:
        """Apply an entry if it takes precedence; return whether it did."""
        if entry.left_s < MERGE_CUTOFF_S - RELAPSE_WINDOW_S:
            return False
        current = self._entries.get(entry.fingerprint)
        if current is not None and current.entry.precedence >= entry.precedence:
            return False
        until = now + min(entry.left_s, MAX_QUARANTINE_S)
        self._entries[entry.fingerprint] = _Stored(entry=entry, until=until)
        self._digest = None
        while len(self._entries) > MAX_ENTRIES:
            first = min(self._entries, key=lambda name: self._entries[name].until)
            del self._entries[first]
        return True

    def expire(self, now: float) -> list[QuarantineEntry]:
        """Drop entries whose relapse window is over and return them."""
        expired = [
            name
            for name, stored in self._entries.items()
            if now - stored.until > RELAPSE_WINDOW_S
        ]
        dropped = [_with_time_left(self._entries.pop(name), now) for name in expired]
        if dropped:
            self._digest = None
        return dropped

    def get(self, fingerprint: str, now: float) -> QuarantineEntry | None:
        """Return the entry for a request, even if it is over or cleared."""
        stored = self._entries.get(fingerprint)
        return None if stored is None else _with_time_left(stored, now)

    def list(self, now: float) -> list[QuarantineEntry]:
        """Return all entries with their current remaining time."""
        return [_with_time_left(stored, now) for stored in self._entries.values()]

    def quarantined(self, now: float) -> set[str]:
        """Return the fingerprints of the requests that are quarantined now."""
        return {
            name
            for name, stored in self._entries.items()
            if now < stored.until and not stored.entry.is_cleared
        }

    def previously_quarantined(self, now: float) -> set[str]:
        """Return the fingerprints of requests whose quarantine has run out."""
        return {
            name
            for name, stored in self._entries.items()
            if now >= stored.until and not stored.entry.is_cleared
        }


def _with_time_left(stored: _Stored, now: float) -> QuarantineEntry:
    return msgspec.structs.replace(stored.entry, left_s=round(stored.until - now, 2))
