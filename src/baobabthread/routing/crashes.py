"""Which request crashes backend servers, from which ones were there at each crash.

A server that crashes takes everything on it along, and what is tried again may meet the
next crash as well. Only the request that explains a row of crashes is held: the one
that was at each of them while no other one was. Whoever else was at all of them is
told apart by the next crash.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable

import msgspec

MIN_CRASHES = 3
"""Crashes that one request must explain before it is held: two happen by chance where
servers are lost in a row, and each one more costs callers another server."""
MIN_CRASHES_IF_AMBIGUOUS = 6
"""Crashes from which all requests that were at each of them are held together. A good
one does not come that far: its route bounds its tries, and it is answered at last."""
SETTLE_S = 0.15
"""Time from the first word of a crash until it counts: instances that find it later
name more requests, and without them the wrong one could be the only one."""
RETENTION_S = 600.0
"""Time for which a crash is evidence."""
MAX_CRASHES = 128
"""Crashes that are kept, the newest: twice the engines of one large service, some 2 MB
at its judges where each had 128 requests on it."""

FindDelay = Callable[[str], float]
"""Return by how much longer this judge of a service waits than the first one."""
IsCanary = Callable[[str, str], bool]
"""Tell whether a version of a service is on trial beside another one."""


class Crash(msgspec.Struct, frozen=True, kw_only=True, tag="crash.seen"):
    """Tell which requests were on a backend server when it crashed."""

    backend: str
    """Its incarnation."""
    service: str
    version: str
    is_proven: bool
    """Whether its version answered requests of late, as far as the sender saw."""
    fresh: list[str]
    """Fingerprints of those that began shortly before, or maybe not yet."""
    older: list[str]
    """Fingerprints of those that had been running for a while."""


class Suspect(msgspec.Struct, frozen=True, kw_only=True):
    """Name a request that explains a row of crashes."""

    fingerprint: str
    service: str
    versions: tuple[str, ...]
    """Where it counts only while the service has no other version; else empty."""
    backends: tuple[str, ...]


class _Evidence:
    """Hold a crash with the words of all instances about it."""

    __slots__ = (
        "first_seen_at",
        "fresh",
        "is_counted",
        "is_proven",
        "older",
        "service",
        "version",
    )

    def __init__(self, *, crash: Crash, now: float) -> None:
        self.first_seen_at = now
        self.service = crash.service
        self.version = crash.version
        self.is_proven = False
        self.is_counted = False
        """Whether it was held against its version."""
        self.fresh: set[str] = set()
        self.older: set[str] = set()

    def add(self, crash: Crash) -> None:
        """Take in one instance's word."""
        self.is_proven = self.is_proven or crash.is_proven
        self.fresh.update(crash.fresh)
        self.older.update(crash.older)

    @property
    def candidates(self) -> set[str]:
        """Give the requests that may have caused it.

        A request that crashes servers does so as it begins; one that ran for a while is
        only looked at where nothing else was there.
        """
        return self.fresh or self.older


class CrashAnalysis:
    """Keep crashes and find the requests that explain them."""

    __slots__ = ("_crashes", "_find_delay", "_pending")

    def __init__(self, *, find_delay: FindDelay = lambda service: 0.0) -> None:
        self._find_delay = find_delay
        self._crashes: dict[str, _Evidence] = {}
        self._pending: set[str] = set()

    def record(self, crash: Crash, now: float) -> None:
        """Take in one instance's word of a crash."""
        seen = self._crashes.get(crash.backend)
        if seen is None:
            seen = self._crashes[crash.backend] = _Evidence(crash=crash, now=now)
        seen.add(crash)
        self._pending.add(crash.backend)
        while len(self._crashes) > MAX_CRASHES:
            self._drop(next(iter(self._crashes)))

    def clear(self, fingerprint: str) -> None:
        """Forget a request: it was answered whole."""
        for seen in self._crashes.values():
            seen.fresh.discard(fingerprint)
            seen.older.discard(fingerprint)

    def is_due(self, now: float) -> bool:
        """Tell whether crashes wait to be judged."""
        return any(self._is_settled(name, now) for name in self._pending)

    def find_suspects(
        self,
        now: float,
        *,
        quarantined: Collection[str],
        previously_quarantined: Collection[str],
        is_canary: IsCanary,
    ) -> list[Suspect]:
        """Return the requests that explain crashes which nothing held explains.

        One crash is enough for a request that was held before and is at it again.
        """
        for name in [
            n for n, s in self._crashes.items() if now - s.first_seen_at > RETENTION_S
        ]:
            self._drop(name)
        settled = {name for name in self._crashes if self._is_settled(name, now)}
        self._pending -= settled
        unexplained = {
            name: self._crashes[name].candidates
            for name in settled
            if self._crashes[name].candidates.isdisjoint(quarantined)
        }
        self._exclude_bad_versions(unexplained)
        found: list[Suspect] = []
        while True:
            suspect = self._find_suspect(unexplained, previously_quarantined, is_canary)
            if suspect is None:
                return found
            found.append(suspect)
            unexplained = {
                n: p for n, p in unexplained.items() if suspect.fingerprint not in p
            }

    def _is_settled(self, name: str, now: float) -> bool:
        seen = self._crashes[name]
        return now - seen.first_seen_at >= SETTLE_S + self._find_delay(seen.service)

    def list_unproven_crashes(
        self, now: float, quarantined: Collection[str]
    ) -> list[tuple[str, str]]:
        """Return service and version of crashes to hold against them, each one once.

        These are crashes of versions that answered nobody of late, under requests that
        aren't held: the version never works, or not any more.
        """
        found = []
        for name, seen in self._crashes.items():
            if seen.is_counted or not self._is_settled(name, now):
                continue
            seen.is_counted = True
            if not seen.is_proven and seen.candidates.isdisjoint(quarantined):
                found.append((seen.service, seen.version))
        return found

    def _drop(self, name: str) -> None:
        self._crashes.pop(name)
        self._pending.discard(name)

    def _exclude_bad_versions(self, crashes: dict[str, set[str]]) -> None:
        """Drop crashes of versions that crash under different requests.

        A version that never answers crashes under whatever it is given. Whether it or
        the request is to blame shows only while it is always the same request.
        """
        by_version: dict[tuple[str, str], list[str]] = {}
        for name in crashes:
            seen = self._crashes[name]
            by_version.setdefault((seen.service, seen.version), []).append(name)
        for names in by_version.values():
            if any(self._crashes[name].is_proven for name in names):
                continue
            if not set.intersection(*(crashes[name] for name in names)):
                for name in names:
                    del crashes[name]

    def _find_suspect(
        self,
        crashes: dict[str, set[str]],
        previously_quarantined: Collection[str],
        is_canary: IsCanary,
    ) -> Suspect | None:
        counts = Counter(f for present in crashes.values() for f in present)
        for fingerprint, count in counts.most_common():
            if count < MIN_CRASHES and fingerprint not in previously_quarantined:
                continue
            names = [n for n, present in crashes.items() if fingerprint in present]
            common = set.intersection(*(crashes[name] for name in names))
            alone = len(common) == 1 or fingerprint in previously_quarantined
            if not alone and count < MIN_CRASHES_IF_AMBIGUOUS:
                continue
            if self._blames_canary(names, is_canary):
                continue
            return self._make_suspect(fingerprint, names)
        return None

    def _blames_canary(self, names: Iterable[str], is_canary: IsCanary) -> bool:
        seen = [self._crashes[name] for name in names]
        return all(is_canary(each.service, each.version) for each in seen)

    def _make_suspect(self, fingerprint: str, names: list[str]) -> Suspect:
        seen = [self._crashes[name] for name in names]
        is_proven = any(each.is_proven for each in seen)
        versions = () if is_proven else tuple(sorted({each.version for each in seen}))
        return Suspect(
            fingerprint=fingerprint,
            service=seen[0].service,
            versions=versions,
            backends=tuple(names),
        )
