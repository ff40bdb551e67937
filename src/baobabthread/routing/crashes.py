"""Analysis of backend server crashes: finds the request that causes them.

A crash fails all requests on the server, and innocent ones may be retried into the next
crash. A request is only suspected if it alone was present at each of several crashes.
If others were present at all of them too, the next crash distinguishes them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable

import msgspec

MIN_CRASHES = 3
"""Crashes that one request must explain before it is quarantined. Two coincide by
chance when several servers are lost in a row, and each further one costs callers
another server."""
MIN_CRASHES_IF_AMBIGUOUS = 6
"""Crashes from which on a request is quarantined even if others were present at each of
them too. An innocent request does not get that far: its route limits its attempts, and
one of them succeeds."""
SETTLE_S = 0.15
"""Time from the first report of a crash until it is analyzed. Instances that detect it
later report more requests, without which the wrong one could be the only suspect."""
RETENTION_S = 600.0
"""Time for which a crash is kept as evidence."""
MAX_CRASHES = 128
"""Number of crashes kept, the newest ones: twice the engines of one large service. With
128 requests on each that is some 2 MB at the service's owners."""

FindDelay = Callable[[str], float]
"""Return by how many seconds this owner of a service waits longer than the first."""
IsCanary = Callable[[str, str], bool]
"""Return whether a version of a service is a canary beside another version."""


class Crash(msgspec.Struct, frozen=True, kw_only=True, tag="crash.seen"):
    """Report of the requests that were on a backend server when it crashed."""

    backend: str
    """Incarnation of the backend server."""
    service: str
    version: str
    is_proven: bool
    """Whether the sender recently saw its version answer requests."""
    fresh: list[str]
    """Fingerprints of requests that began shortly before, or may not have begun."""
    older: list[str]
    """Fingerprints of requests that had been running for a while."""


class Suspect(msgspec.Struct, frozen=True, kw_only=True):
    """Request that explains a series of crashes."""

    fingerprint: str
    service: str
    versions: tuple[str, ...]
    """If not empty, it is only suspected while the service has no other versions."""
    backends: tuple[str, ...]


class _Evidence:
    """Evidence on one crash, merged from the reports of all instances."""

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
        """Whether it was counted against its version."""
        self.fresh: set[str] = set()
        self.older: set[str] = set()

    def add(self, crash: Crash) -> None:
        """Merge one instance's report."""
        self.is_proven = self.is_proven or crash.is_proven
        self.fresh.update(crash.fresh)
        self.older.update(crash.older)

    @property
    def candidates(self) -> set[str]:
        """Requests that may have caused the crash.

        A request that crashes servers does so as it begins; requests that ran for a
        while are only considered if there were no others.
        """
        return self.fresh or self.older


class CrashAnalysis:
    """Recent crashes, and the search for the requests that explain them."""

    __slots__ = ("_crashes", "_find_delay", "_pending")

    def __init__(self, *, find_delay: FindDelay = lambda service: 0.0) -> None:
        self._find_delay = find_delay
        self._crashes: dict[str, _Evidence] = {}
        self._pending: set[str] = set()

    def record(self, crash: Crash, now: float) -> None:
        """Record one instance's report of a crash."""
        evidence = self._crashes.get(crash.backend)
        if evidence is None:
            evidence = self._crashes[crash.backend] = _Evidence(crash=crash, now=now)
        evidence.add(crash)
        self._pending.add(crash.backend)
        while len(self._crashes) > MAX_CRASHES:
            self._drop(next(iter(self._crashes)))

    def clear(self, fingerprint: str) -> None:
        """Discard a request as a suspect, after it was answered completely."""
        for evidence in self._crashes.values():
            evidence.fresh.discard(fingerprint)
            evidence.older.discard(fingerprint)

    def is_due(self, now: float) -> bool:
        """Return whether any crash is ready for analysis."""
        return any(self._is_settled(name, now) for name in self._pending)

    def find_suspects(
        self,
        now: float,
        *,
        quarantined: Collection[str],
        previously_quarantined: Collection[str],
        is_canary: IsCanary,
    ) -> list[Suspect]:
        """Return the requests that explain crashes not explained by `quarantined`.

        One crash is enough for a request that has been quarantined before.
        """
        for name in [
            n for n, c in self._crashes.items() if now - c.first_seen_at > RETENTION_S
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
        suspects: list[Suspect] = []
        while True:
            suspect = self._find_suspect(unexplained, previously_quarantined, is_canary)
            if suspect is None:
                return suspects
            suspects.append(suspect)
            unexplained = {
                n: c for n, c in unexplained.items() if suspect.fingerprint not in c
            }

    def _is_settled(self, name: str, now: float) -> bool:
        crash = self._crashes[name]
        return now - crash.first_seen_at >= SETTLE_S + self._find_delay(crash.service)

    def list_unproven_crashes(
        self, now: float, quarantined: Collection[str]
    ) -> list[tuple[str, str]]:
        """Return service and version of crashes blamed on the version, each crash once.

        These are crashes of versions without recent responses, under requests that
        aren't quarantined: the version does not work, or no longer does.
        """
        unproven = []
        for name, crash in self._crashes.items():
            if crash.is_counted or not self._is_settled(name, now):
                continue
            crash.is_counted = True
            if not crash.is_proven and crash.candidates.isdisjoint(quarantined):
                unproven.append((crash.service, crash.version))
        return unproven

    def _drop(self, name: str) -> None:
        self._crashes.pop(name)
        self._pending.discard(name)

    def _exclude_bad_versions(self, crashes: dict[str, set[str]]) -> None:
        """Drop crashes of versions that crash under different requests.

        A faulty version that never answers crashes under any request. A request can be
        at fault only if it was present at all crashes of such a version.
        """
        by_version: dict[tuple[str, str], list[str]] = {}
        for name in crashes:
            crash = self._crashes[name]
            by_version.setdefault((crash.service, crash.version), []).append(name)
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
        counts = Counter(f for candidates in crashes.values() for f in candidates)
        for fingerprint, count in counts.most_common():
            if count < MIN_CRASHES and fingerprint not in previously_quarantined:
                continue
            names = [
                n for n, candidates in crashes.items() if fingerprint in candidates
            ]
            common = set.intersection(*(crashes[name] for name in names))
            is_unambiguous = len(common) == 1 or fingerprint in previously_quarantined
            if not is_unambiguous and count < MIN_CRASHES_IF_AMBIGUOUS:
                continue
            if self._blames_canary(names, is_canary):
                continue
            return self._make_suspect(fingerprint, names)
        return None

    def _blames_canary(self, names: Iterable[str], is_canary: IsCanary) -> bool:
        involved = [self._crashes[name] for name in names]
        return all(is_canary(crash.service, crash.version) for crash in involved)

    def _make_suspect(self, fingerprint: str, names: list[str]) -> Suspect:
        involved = [self._crashes[name] for name in names]
        is_proven = any(crash.is_proven for crash in involved)
        versions = () if is_proven else tuple(sorted({c.version for c in involved}))
        return Suspect(
            fingerprint=fingerprint,
            service=involved[0].service,
            versions=versions,
            backends=tuple(names),
        )
