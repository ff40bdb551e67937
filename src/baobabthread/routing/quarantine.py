"""Quarantine of requests and prompt parts that crash backend servers.

An entry names features: the fingerprint of a request, or those of parts of prompts. It
applies to each request that has all of them. The list is eventually consistent: each
instance publishes what it learns, and of two entries for the same features the one of
higher precedence wins, cleared over quarantined.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec
import xxhash

from baobabthread.routing.fingerprints import is_part, split_features

QUARANTINE_S = 600.0
"""Time of the first quarantine of a request: longer than callers keep retrying, and
short enough that a repaired service soon serves it again without intervention."""
TENTATIVE_S = (2.0, 30.0)
"""Times of the first quarantines on evidence that a simultaneous loss of servers could
explain as well."""
PROBATION_S = 60.0
"""Time after a quarantine in which one request at a time is let through, until one is
answered: without it all instances would send such requests at the same moment."""
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
    """Quarantine of requests with certain features, or its release."""

    fingerprint: str
    """Fingerprint of one request, or those of prompt parts that occur together."""
    service: str
    times: int
    """How often it has been quarantined, including this time."""
    left_s: float
    """Remaining time of the quarantine; negative once it is over."""
    is_cleared: bool = False
    """Whether it was released after a complete response."""
    versions: tuple[str, ...] = ()
    """If not empty, only in force while the service has no other versions."""
    is_tentative: bool = False
    """Whether its evidence could be a coincidence."""
    first_crash_s: float = 0.0
    """Time since the first crash that it explains; 0 if that is not known."""

    @property
    def features(self) -> frozenset[str]:
        """Fingerprints that a request must have for the entry to apply to it."""
        return split_features(self.fingerprint)

    @property
    def is_of_parts(self) -> bool:
        """Whether it applies to all requests with certain prompt parts."""
        return is_part(self.fingerprint)

    @property
    def precedence(self) -> tuple[int, bool]:
        """Order of the entries for one request; the highest one is in force."""
        return (self.times, self.is_cleared)


class _Stored:
    __slots__ = ("entry", "features", "first_crash_at", "imposed_at", "until")

    def __init__(self, *, entry: QuarantineEntry, until: float, now: float) -> None:
        self.entry = entry
        self.features = entry.features
        self.until = until
        self.imposed_at = now
        self.first_crash_at = now - entry.first_crash_s

    def read(self, now: float) -> QuarantineEntry:
        """Return the entry with its times as of now."""
        return msgspec.structs.replace(
            self.entry,
            left_s=round(self.until - now, 2),
            first_crash_s=round(now - self.first_crash_at, 2),
        )


class Quarantine:
    """Quarantined requests of this instance, merged with those of its peers."""

    __slots__ = ("_by_feature", "_digest", "_entries")

    def __init__(self) -> None:
        self._entries: dict[str, _Stored] = {}
        self._digest: int | None = 0
        self._by_feature: dict[str, list[_Stored]] | None = {}
        """Entries by one of their features; None if it must be rebuilt."""

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
        return stored.read(now) if _is_in_force(stored, find_versions) else None

    def match(
        self,
        features: Collection[str],
        find_versions: FindVersions,
        now: float,
        *,
        except_for: str | None = None,
    ) -> QuarantineEntry | None:
        """Return an entry that applies to a request with these features, if any.

        Entries on probation apply as well, but not if they have all features of the one
        in `except_for`, or only such features: a trial of it is one of them, too.
        """
        if self._by_feature is None:
            self._index()
        assert self._by_feature is not None
        present = frozenset(features)
        exempt = split_features(except_for) if except_for is not None else frozenset()
        for feature in features:
            for stored in self._by_feature.get(feature, ()):
                if (
                    stored.features <= present
                    and now < stored.until + PROBATION_S
                    and not (
                        now >= stored.until and _are_nested(stored.features, exempt)
                    )
                    and _is_in_force(stored, find_versions)
                ):
                    return stored.read(now)
        return None

    def is_on_probation(self, fingerprint: str, now: float) -> bool:
        """Return whether single requests may be let through."""
        stored = self._entries.get(fingerprint)
        return stored is not None and stored.until <= now < stored.until + PROBATION_S

    def add(
        self,
        fingerprint: str,
        service: str,
        versions: tuple[str, ...],
        now: float,
        *,
        is_tentative: bool = False,
        is_simultaneous: bool = False,
        first_crash_at: float | None = None,
    ) -> QuarantineEntry:
        """Quarantine a request or parts, longer each time, and return the entry.

        The first times are short on tentative evidence against parts, and against a
        request if its crashes were simultaneous.
        """
        times = 1 + self._count_previous(fingerprint)
        previous = self._entries.get(fingerprint)
        was_cleared = previous is not None and previous.entry.is_cleared
        entry = QuarantineEntry(
            fingerprint=fingerprint,
            service=service,
            times=times,
            left_s=_find_duration(
                1 if is_tentative and was_cleared else times,
                is_tentative=is_tentative and (is_simultaneous or is_part(fingerprint)),
            ),
            versions=versions,
            is_tentative=is_tentative,
            first_crash_s=0.0 if first_crash_at is None else now - first_crash_at,
        )
        self.apply(entry, now)
        return entry

    def _count_previous(self, fingerprint: str) -> int:
        """Return how often it was quarantined, also together with other features."""
        features = split_features(fingerprint)
        return max(
            (
                stored.entry.times
                for name, stored in self._entries.items()
                if name == fingerprint
                or (features < stored.features and not stored.entry.is_cleared)
            ),
            default=0,
        )

    def _index(self) -> None:
        self._by_feature = {}
        for stored in self._entries.values():
            if not stored.entry.is_cleared:
                feature = min(stored.features)
                self._by_feature.setdefault(feature, []).append(stored)

    def _mark_changed(self) -> None:
        self._digest = None
        self._by_feature = None

    def release(self, fingerprint: str, now: float) -> QuarantineEntry | None:
        """Release a request that was answered; return its entry, None if unchanged."""
        stored = self._entries.get(fingerprint)
        if stored is None or stored.entry.is_cleared:
            return None
        cleared = msgspec.structs.replace(stored.read(now), is_cleared=True)
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
        stored = _Stored(entry=entry, until=until, now=now)
        self._entries[entry.fingerprint] = stored
        self._mark_changed()
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
        dropped = [self._entries.pop(name).read(now) for name in expired]
        if dropped:
            self._mark_changed()
        return dropped

    def get(self, fingerprint: str, now: float) -> QuarantineEntry | None:
        """Return the entry for a request, even if it is over or cleared."""
        stored = self._entries.get(fingerprint)
        return None if stored is None else stored.read(now)

    def list(self, now: float) -> list[QuarantineEntry]:
        """Return all entries with their current remaining time."""
        return [stored.read(now) for stored in self._entries.values()]

    def quarantined(self, now: float) -> set[str]:
        """Return the fingerprints of the requests that are quarantined now."""
        return {
            name
            for name, stored in self._entries.items()
            if now < stored.until and not stored.entry.is_cleared
        }

    def imposed_at(self) -> dict[str, float]:
        """Return when each entry was imposed, as far as this instance knows."""
        return {name: stored.imposed_at for name, stored in self._entries.items()}

    def tentative(self) -> set[str]:
        """Return the fingerprints whose quarantine is tentative."""
        return {
            name for name, stored in self._entries.items() if stored.entry.is_tentative
        }

    def previously_quarantined(self, now: float) -> set[str]:
        """Return the fingerprints of requests whose quarantine has run out."""
        return {
            name
            for name, stored in self._entries.items()
            if now >= stored.until and not stored.entry.is_cleared
        }


def _are_nested(features: frozenset[str], others: frozenset[str]) -> bool:
    return bool(others) and (features <= others or features >= others)


def _is_in_force(stored: _Stored, find_versions: FindVersions) -> bool:
    entry = stored.entry
    if entry.is_cleared:
        return False
    others = set(find_versions(entry.service)) - set(entry.versions)
    return not (entry.versions and others)


def _find_duration(times: int, *, is_tentative: bool) -> float:
    """Return for how long a quarantine lasts that is imposed for the n-th time."""
    if is_tentative:
        if times <= len(TENTATIVE_S):
            return TENTATIVE_S[times - 1]
        times -= len(TENTATIVE_S)
    return min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0 ** min(times - 1, 16))
