"""Analysis of backend server crashes: finds what causes them.

A crash fails all requests on the server, and innocent ones may be retried into the next
crash. A request is only suspected if it alone was present at each of several crashes.
If others were present at all of them too, the next crash distinguishes them. The same
holds for each part of a prompt that requests share: what crashes servers may be in the
prompts of requests that are alike in nothing else.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from baobabthread.routing.fingerprints import is_part, split_features
from baobabthread.routing.suspects import (
    Explanation,
    Hold,
    ObservedCrash,
    PresentRequest,
    count_features,
    explain,
    rank_suspects,
)

MIN_CRASHES = 3
"""Crashes that one request must explain before it is quarantined. Two coincide by
chance when several servers are lost in a row, and each further one costs callers
another server."""
MIN_CRASHES_IF_AMBIGUOUS = 6
"""Crashes from which on a request is quarantined even if others were present at each of
them too. An innocent request does not get that far: its route limits its attempts, and
one of them succeeds."""
MIN_CRASHES_IF_PART_AMBIGUOUS = 5
"""The same for a prompt part, of which any number of requests may come."""
MIN_WAVES = 2
"""Crashes of which each followed a request with the prompt part that was sent after the
one before. Popular parts are on all servers of a failure domain that is lost."""
MIN_AMBIGUOUS_SPAN_S = 1.0
"""Time between the first and the last crash from which on an ambiguous prompt part is
quarantined: sound parts are answered in between, if any server is left."""
BURST_S = 3.0
"""Time within which crashes may leave too few servers to answer sound requests. If more
crash than are left, it is no proof against parts that were present at all of them."""
RIVAL_FRACTION = 0.6
"""Fraction of the crashes of one prompt part from which on another one is an
alternative to it. Parts of requests that are retried are at up to three of them."""
SETTLE_S = 0.15
"""Time from the first report of a crash until it is analyzed. Instances that detect it
later report more requests, without which the wrong one could be the only suspect."""
RETENTION_S = 600.0
"""Time for which a crash is kept as evidence."""
MAX_ANALYZED = 48
"""Crashes that are compared with each other, the newest ones: an evaluation holds up
all requests of its instance."""
MAX_CRASHES = 128
"""Number of crashes kept, the newest ones: twice the engines of one large service. With
128 requests on each that is some 2 MB at the service's owners."""
KNOWN_S = 60.0
"""Time before crashes in which an answer makes a feature less suspicious than another
one, though no less than that."""
MAX_ANSWERED = 4096
"""Features of which it is kept when a request with them was answered."""
MAX_SUSPECTED = 64
"""Features that are suspected at the same time, those of most crashes."""
MAX_REPORTED_PARTS = 512
"""Different prompt parts that one report lists: 10 KB."""

FindDelay = Callable[[str], float]
"""Return by how many seconds this owner of a service waits longer than the first."""
EMPTY: Mapping[str, float] = MappingProxyType({})
CountBackends = Callable[[str, Collection[str]], int]
"""Return the number of a service's backend servers, except for some incarnations."""
IsCanary = Callable[[str, str], bool]
"""Return whether a version of a service is a canary beside another version."""


class CrashedRequest(msgspec.Struct, frozen=True, array_like=True):
    """What is reported of a request beside its fingerprint."""

    sent_s: float
    """Time from sending it to the crash, in seconds."""
    parts: list[int] = []
    """Positions of its prompt parts in the report."""


class Crash(
    msgspec.Struct, frozen=True, kw_only=True, tag="crash.seen", omit_defaults=True
):
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
    age_s: float = 0.0
    """Time since the connections broke."""
    parts: list[str] = []
    """Fingerprints of the prompt parts of all these requests."""
    requests: list[CrashedRequest] = []
    """More on the fresh requests and, after them, the older ones."""
    answered: dict[str, float] = {}
    """Features of these requests that the sender saw answered, and how long ago the
    newest such response began."""

    def age(self, seconds: float) -> Crash:
        """Return the same report with its times as of some seconds later."""
        return msgspec.structs.replace(
            self,
            age_s=self.age_s + seconds,
            answered={each: s + seconds for each, s in self.answered.items()},
        )


class Suspect(msgspec.Struct, frozen=True, kw_only=True):
    """Request, or prompt parts, that explain a series of crashes."""

    fingerprint: str
    service: str
    versions: tuple[str, ...]
    """If not empty, it is only suspected while the service has no other versions."""
    backends: tuple[str, ...]
    is_tentative: bool = False
    """Whether a loss of most servers at once could explain the crashes as well."""
    is_simultaneous: bool = False
    """Whether all crashes were at one moment, so that their servers may have been lost
    together."""
    first_crash_at: float = 0.0
    likely: str = ""
    """Those of the parts that are the likely cause, as they came without the rest too;
    empty if nothing tells them apart."""


class SuspectedFeature(msgspec.Struct, frozen=True, kw_only=True):
    """Feature that was present at more than one crash, without an answer since."""

    feature: str
    service: str
    first_crash_at: float
    is_repeated: bool
    """Whether a request with it was sent on after a crash and met the next one."""


class _Evidence:
    """Evidence on one crash, merged from the reports of all instances."""

    __slots__ = (
        "broke_at",
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
        self.broke_at = now - crash.age_s
        self.service = crash.service
        self.version = crash.version
        self.is_proven = False
        self.is_counted = False
        """Whether it was counted against its version."""
        self.fresh: dict[str, _Present] = {}
        self.older: dict[str, _Present] = {}

    def add(self, crash: Crash, now: float) -> None:
        """Merge one instance's report."""
        self.is_proven = self.is_proven or crash.is_proven
        broke_at = now - crash.age_s
        self.broke_at = min(self.broke_at, broke_at)
        for number, fingerprint in enumerate((*crash.fresh, *crash.older)):
            is_fresh = number < len(crash.fresh)
            present = _decode_request(crash, number, broke_at)
            (self.fresh if is_fresh else self.older)[fingerprint] = present


class _Present(NamedTuple):
    """A request that was on a server, as kept for as long as the evidence."""

    parts: tuple[str, ...]
    sent_at: float


def _decode_request(crash: Crash, number: int, broke_at: float) -> _Present:
    if number >= len(crash.requests):
        return _Present(parts=(), sent_at=-math.inf)
    details = crash.requests[number]
    known = range(len(crash.parts))
    return _Present(
        parts=tuple(crash.parts[each] for each in details.parts if each in known),
        sent_at=broke_at - details.sent_s,
    )


class CrashAnalysis:
    """Recent crashes, and the search for the requests that explain them."""

    __slots__ = (
        "_answered_at",
        "_count_backends",
        "_crashes",
        "_find_delay",
        "_has_answers",
        "_pending",
    )

    def __init__(
        self,
        *,
        find_delay: FindDelay = lambda service: 0.0,
        count_backends: CountBackends = lambda service, crashed: 0,
    ) -> None:
        self._find_delay = find_delay
        self._count_backends = count_backends
        self._crashes: dict[str, _Evidence] = {}
        self._pending: set[str] = set()
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        """When the newest response began under a feature that was answered."""
        self._has_answers = False
        """Whether answers since the last analysis have left fewer suspects."""

    def record(self, crash: Crash, now: float) -> None:
        """Record one instance's report of a crash."""
        evidence = self._crashes.get(crash.backend)
        if evidence is None:
            evidence = self._crashes[crash.backend] = _Evidence(crash=crash, now=now)
        evidence.add(crash, now)
        self._pending.add(crash.backend)
        for feature, began_s in crash.answered.items():
            self.clear(feature, now - began_s)
        while len(self._crashes) > MAX_CRASHES:
            self._drop(next(iter(self._crashes)))

    def clear(self, feature: str, began_at: float) -> None:
        """Discard a feature as a cause of crashes before an answered request began.

        A response that began before a crash is no evidence: what it was to may have
        begun to crash servers since.
        """
        if began_at <= self._answered_at.get(feature, -math.inf):
            return
        self._answered_at[feature] = began_at
        self._answered_at.move_to_end(feature)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        self._has_answers = True

    def was_cleared(self, feature: str, since: float) -> bool:
        """Return whether a request with a feature was answered that began later."""
        return self._answered_at.get(feature, -math.inf) > since

    def is_due(self, now: float) -> bool:
        """Return whether any crash is ready for analysis."""
        has_settled = any(self._is_settled(name, now) for name in self._pending)
        return has_settled or (self._has_answers and bool(self._crashes))

    def find_suspects(
        self,
        now: float,
        *,
        quarantined: Collection[str],
        previously_quarantined: Collection[str],
        is_canary: IsCanary,
        tentative: Collection[str] = (),
        imposed_at: Mapping[str, float] = EMPTY,
    ) -> list[Suspect]:
        """Return what explains crashes that are not explained by `quarantined`.

        One crash after `imposed_at` is enough for what has been quarantined before.
        Crashes that only the entries in `tentative` explain are evidence against others
        as well.
        """
        self._drop_old(now)
        settled = [name for name in self._crashes if self._is_settled(name, now)]
        self._pending.difference_update(settled)
        self._has_answers = False
        holds = [
            Hold(features=split_features(name), is_tentative=name in tentative)
            for name in quarantined
        ]
        observed = [self._observe(name, holds) for name in settled[-MAX_ANALYZED:]]
        lapsed = {
            split_features(name): imposed_at.get(name, -math.inf)
            for name in previously_quarantined
        }
        for name in previously_quarantined:
            hold = Hold(features=split_features(name), is_tentative=name in tentative)
            _explain_until(observed, hold, imposed_at.get(name, -math.inf))
        unexplained = [crash for crash in observed if not crash.is_explained]
        self._exclude_bad_versions(unexplained)
        suspects: list[Suspect] = []
        while unexplained:
            found = self._find_explanation(observed, unexplained, lapsed, is_canary)
            if found is None:
                break
            suspect = self._make_suspect(found, tentative)
            suspects.append(suspect)
            hold = Hold(
                features=split_features(suspect.fingerprint),
                is_tentative=suspect.is_tentative,
            )
            _explain_until(observed, hold, math.inf)
            unexplained = [crash for crash in unexplained if not crash.is_explained]
        return suspects

    def list_suspected(
        self, now: float, quarantined: Collection[str]
    ) -> list[SuspectedFeature]:
        """Return the features that were present at more than one unexplained crash."""
        holds = [
            Hold(features=split_features(name), is_tentative=False)
            for name in quarantined
        ]
        settled = [name for name in self._crashes if self._is_settled(name, now)]
        observed = [self._observe(name, holds) for name in settled[-MAX_ANALYZED:]]
        found = []
        for feature, count in count_features(observed).most_common(MAX_SUSPECTED):
            if count < 2:
                continue
            explanation = explain(feature, observed)
            found.append(
                SuspectedFeature(
                    feature=feature,
                    service=explanation.crashes[-1].service,
                    first_crash_at=explanation.crashes[0].broke_at,
                    is_repeated=explanation.count_waves() >= MIN_WAVES,
                )
            )
        return found

    def list_unproven_crashes(
        self, now: float, quarantined: Collection[str]
    ) -> list[tuple[str, str]]:
        """Return service and version of crashes blamed on the version, each crash once.

        These are crashes of versions without recent responses, under requests that
        aren't quarantined and have no part in common with crashes of other versions:
        the version does not work, or no longer does.
        """
        unproven = []
        holds = [
            Hold(features=split_features(name), is_tentative=False)
            for name in quarantined
        ]
        for name, crash in self._crashes.items():
            if crash.is_counted or not self._is_settled(name, now):
                continue
            crash.is_counted = True
            if crash.is_proven or self._observe(name, holds).holds:
                continue
            if not self._has_parts_of_other_versions(name):
                unproven.append((crash.service, crash.version))
        return unproven

    def _has_parts_of_other_versions(self, name: str) -> bool:
        """Return whether a suspected part was present at crashes of other versions."""
        crash = self._crashes[name]
        parts = {each for each in self._observe(name, ()).features if is_part(each)}
        return any(
            not parts.isdisjoint(self._observe(other, ()).features)
            for other, evidence in self._crashes.items()
            if evidence.service == crash.service and evidence.version != crash.version
        )

    def _is_settled(self, name: str, now: float) -> bool:
        crash = self._crashes[name]
        return now - crash.first_seen_at >= SETTLE_S + self._find_delay(crash.service)

    def _drop_old(self, now: float) -> None:
        for name in [
            n for n, c in self._crashes.items() if now - c.first_seen_at > RETENTION_S
        ]:
            self._drop(name)

    def _drop(self, name: str) -> None:
        self._crashes.pop(name)
        self._pending.discard(name)

    def _observe(self, name: str, holds: Iterable[Hold]) -> ObservedCrash:
        """Return a crash with the requests that may have caused it.

        A request that crashes servers does so as it begins; requests that ran for a
        while are only considered if there were no others.
        """
        crash = self._crashes[name]
        requests = self._list_suspected(crash.fresh, crash.broke_at)
        if not requests:
            requests = self._list_suspected(crash.older, crash.broke_at)
        return ObservedCrash(
            name=name,
            service=crash.service,
            broke_at=crash.broke_at,
            requests=requests,
            holds=holds,
        )

    def _list_suspected(
        self, requests: Mapping[str, _Present], since: float
    ) -> list[PresentRequest]:
        """Return the requests with features that were not answered since a crash."""
        found = []
        for fingerprint, present in requests.items():
            features = frozenset([fingerprint, *present.parts])
            suspected = frozenset(
                each for each in features if not self.was_cleared(each, since)
            )
            if suspected:
                found.append(
                    PresentRequest(
                        features=features, suspected=suspected, sent_at=present.sent_at
                    )
                )
        return found

    def _exclude_bad_versions(self, crashes: list[ObservedCrash]) -> None:
        """Drop crashes of versions that crash under different requests.

        A faulty version that never answers crashes under any request. A feature can be
        at fault only if it was present at all crashes of such a version.
        """
        by_version: dict[tuple[str, str], list[ObservedCrash]] = {}
        for crash in crashes:
            version = self._crashes[crash.name].version
            by_version.setdefault((crash.service, version), []).append(crash)
        for group in by_version.values():
            if any(self._crashes[crash.name].is_proven for crash in group):
                continue
            if not frozenset.intersection(*(crash.features for crash in group)):
                for crash in group:
                    crashes.remove(crash)

    def _find_explanation(
        self,
        observed: Sequence[ObservedCrash],
        unexplained: Sequence[ObservedCrash],
        lapsed: Mapping[frozenset[str], float],
        is_canary: IsCanary,
    ) -> Explanation | None:
        counts = count_features(observed)
        held = {hold.features for crash in observed for hold in crash.holds}
        candidates = {
            feature
            for crash in unexplained
            for feature in crash.features
            if counts[feature] >= MIN_CRASHES and frozenset([feature]) not in held
        }
        known = self._list_known(candidates, observed)
        universal = []
        for feature in rank_suspects(candidates, counts, observed, known):
            found = explain(feature, observed, known)
            if not self._is_sufficient(found) or self._blames_canary(found, is_canary):
                continue
            if not found.is_universal:
                return found
            universal.append(found)
        if universal:
            return universal[0]
        for features, since in lapsed.items():
            # Requests that were sent before may still run on servers that crash.
            involved = [
                crash
                for crash in unexplained
                if crash.had(features, since)
                and all(hold.features != features for hold in crash.holds)
                and not self._has_other_suspects(crash, features, counts)
            ]
            if involved:
                found = Explanation(
                    feature=min(features),
                    features=features,
                    crashes=involved,
                    is_ambiguous=False,
                    is_relapse=True,
                )
                if not self._blames_canary(found, is_canary):
                    return found
        return None

    def _has_other_suspects(
        self, crash: ObservedCrash, features: frozenset[str], counts: Counter[str]
    ) -> bool:
        """Return whether another part of almost as many crashes was present."""
        least = max(
            float(MIN_CRASHES), RIVAL_FRACTION * min(counts[each] for each in features)
        )
        others = {
            each
            for each in crash.features - features
            if is_part(each) and counts[each] >= least
        }
        return bool(others - self._list_known(others, [crash]))

    def _list_known(
        self, features: Collection[str], crashes: Sequence[ObservedCrash]
    ) -> set[str]:
        """Return the features that were answered shortly before they were suspected."""
        first_at = min((crash.broke_at for crash in crashes), default=0.0)
        return {each for each in features if self.was_cleared(each, first_at - KNOWN_S)}

    def _is_sufficient(self, found: Explanation) -> bool:
        """Return whether an explanation is evidence enough for a quarantine."""
        of_parts = is_part(found.key)
        if of_parts and found.count_waves() < MIN_WAVES:
            return False
        if not found.is_ambiguous and not found.is_universal:
            return True
        if not of_parts:
            return len(found.crashes) >= MIN_CRASHES_IF_AMBIGUOUS
        count = len(found.crashes)
        if found.is_universal:
            count = found.count_unexplained()
        return (
            count >= MIN_CRASHES_IF_PART_AMBIGUOUS
            and found.span_s >= MIN_AMBIGUOUS_SPAN_S
        )

    def _blames_canary(self, found: Explanation, is_canary: IsCanary) -> bool:
        involved = [self._crashes[crash.name] for crash in found.crashes]
        return all(is_canary(crash.service, crash.version) for crash in involved)

    def _make_suspect(self, found: Explanation, tentative: Collection[str]) -> Suspect:
        involved = [self._crashes[crash.name] for crash in found.crashes]
        is_proven = any(crash.is_proven for crash in involved)
        versions = () if is_proven else tuple(sorted({c.version for c in involved}))
        if found.is_relapse:
            is_tentative = found.key in tentative
        elif is_part(found.key):
            is_burst = self._is_burst(found)
            is_doubtful = found.is_ambiguous or found.is_universal
            is_tentative = is_doubtful or is_burst or not is_proven
        else:
            is_tentative = found.is_ambiguous or found.is_simultaneous
        parts = filter(is_part, found.features)
        known = self._list_known(list(parts), found.crashes)
        return Suspect(
            fingerprint=found.key,
            service=involved[0].service,
            versions=versions,
            backends=tuple(crash.name for crash in found.crashes),
            is_tentative=is_tentative,
            is_simultaneous=not found.is_relapse and found.is_simultaneous,
            first_crash_at=found.crashes[0].broke_at,
            likely="" if found.is_relapse else found.find_likely(known),
        )

    def _is_burst(self, found: Explanation) -> bool:
        """Return whether most servers of a service crashed at about the same time."""
        crashed = self._crashes.keys()
        by_service: dict[str, list[float]] = {}
        for crash in found.crashes:
            by_service.setdefault(crash.service, []).append(crash.broke_at)
        return any(
            _count_in_window(times, BURST_S) > self._count_backends(service, crashed)
            for service, times in by_service.items()
        )


def _explain_until(crashes: Iterable[ObservedCrash], hold: Hold, until: float) -> None:
    """Let quarantined features explain the crashes up to a time."""
    for crash in crashes:
        if crash.broke_at <= until and crash.had(hold.features):
            crash.holds.append(hold)


def _count_in_window(times: Sequence[float], window_s: float) -> int:
    """Return the highest number of sorted times within a window."""
    return max(sum(t <= u < t + window_s for u in times) for t in times)
