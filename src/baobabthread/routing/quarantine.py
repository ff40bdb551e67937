"""Requests that are held back as backend servers crash under them.

The list is the same at all instances in the end: whatever one learns it tells, and for
one request the entry with the higher number wins, cleared before held.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec
import xxhash

HOLD_S = 600.0
"""Time for which a request is held at first: long against its callers' patience, short
enough that a service that was mended serves it again without anybody's help."""
MOST_HOLD_S = 86_400.0
"""Longest such time; each time anew is twice as long as the one before."""
RELAPSE_S = 3600.0
"""Time after it in which one crash is enough to hold the request again."""
LATE_S = 10.0
"""Time before an entry is forgotten in which it isn't taken over from others any more:
two instances would otherwise bring it back to each other for ever."""
MOST_HELD = 128
"""Entries that are kept, those that end last. Each one cost three servers first; all of
them fit into one datagram, some 12 KB."""


FindVersions = Callable[[str], Collection[str]]
"""Return the versions that a service has now."""


class Held(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
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
    def number(self) -> tuple[int, bool]:
        """Give what orders the entries for one request; the highest one counts."""
        return (self.times, self.is_cleared)


class _Entry:
    __slots__ = ("held", "until")

    def __init__(self, *, held: Held, until: float) -> None:
        self.held = held
        self.until = until


class Quarantine:
    """Keep which requests are held back, and merge what others know."""

    __slots__ = ("_digest", "_entries")

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._digest: int | None = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def digest(self) -> int:
        """Give a number that is the same where the same entries are known."""
        if self._digest is None:
            text = ",".join(
                f"{name}/{entry.held.times}/{entry.held.is_cleared:d}"
                for name, entry in sorted(self._entries.items())
            )
            self._digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1 if text else 0
        return self._digest

    def find(
        self, fingerprint: str, find_versions: FindVersions, now: float
    ) -> Held | None:
        """Return how a request is held, if it is."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.held.is_cleared or now >= entry.until:
            return None
        only = entry.held.versions
        if only and not set(find_versions(entry.held.service)) <= set(only):
            return None
        return _renew(entry, now)

    def hold(
        self, fingerprint: str, service: str, versions: tuple[str, ...], now: float
    ) -> Held:
        """Hold a request, longer each time."""
        before = self._entries.get(fingerprint)
        times = 1 + (before.held.times if before is not None else 0)
        held = Held(
            fingerprint=fingerprint,
            service=service,
            times=times,
            left_s=min(MOST_HOLD_S, HOLD_S * 2.0 ** min(times - 1, 16)),
            versions=versions,
        )
        self.take(held, now)
        return held

    def clear(self, fingerprint: str, now: float) -> Held | None:
        """Let a request go that was answered whole; return the entry that says so."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.held.is_cleared:
            return None
        cleared = msgspec.structs.replace(_renew(entry, now), is_cleared=True)
        self.take(cleared, now)
        return cleared

    def take(self, held: Held, now: float) -> bool:
        """Take over an entry; return whether it is news."""
        if held.left_s < LATE_S - RELAPSE_S:
            return False
        known = self._entries.get(held.fingerprint)
        if known is not None and known.held.number >= held.number:
            return False
        until = now + min(held.left_s, MOST_HOLD_S)
        self._entries[held.fingerprint] = _Entry(held=held, until=until)
        self._digest = None
        while len(self._entries) > MOST_HELD:
            first = min(self._entries, key=lambda name: self._entries[name].until)
            del self._entries[first]
        return True

    def expire(self, now: float) -> list[Held]:
        """Drop the entries that are over; return them."""
        over = [
            name
            for name, entry in self._entries.items()
            if now - entry.until > RELAPSE_S
        ]
        dropped = [_renew(self._entries.pop(name), now) for name in over]
        if dropped:
            self._digest = None
        return dropped

    def get(self, fingerprint: str, now: float) -> Held | None:
        """Return the entry for a request, also where it is over or cleared."""
        entry = self._entries.get(fingerprint)
        return None if entry is None else _renew(entry, now)

    def list(self, now: float) -> list[Held]:
        """Return all entries as they are now."""
        return [_renew(entry, now) for entry in self._entries.values()]

    def names(self, now: float) -> set[str]:
        """Return the fingerprints of what is held."""
        return {
            name
            for name, entry in self._entries.items()
            if now < entry.until and not entry.held.is_cleared
        }

    def relapsed(self, now: float) -> set[str]:
        """Return the fingerprints of what was held before and isn't any more."""
        return {
            name
            for name, entry in self._entries.items()
            if now >= entry.until and not entry.held.is_cleared
        }


def _renew(entry: _Entry, now: float) -> Held:
    return msgspec.structs.replace(entry.held, left_s=round(entry.until - now, 2))
