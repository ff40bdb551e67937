"""Search for the features that requests on crashed backend servers have in common.

Any feature of a request may crash servers: the request as such, or one part of its
prompt that other requests share. A feature is known by its fingerprint.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Sequence

import msgspec

from baobabthread.routing.fingerprints import is_part, join_features

MIN_WAVE_S = 0.02
"""Shortest time from sending a request until its server crashes under it. Connections
to servers that are lost together break within milliseconds of each other, and requests
are sent on to the next one in between."""
MIN_OTHERS = 3
"""Other requests with some parts of a suspect, and crashes with such requests, from
which on these parts are the likely cause. One that is retried is at up to three."""
MAX_FEATURES = 8
"""Features that one suspect has at most. With fewer features it applies to more
requests."""
MAX_SETS = 64
"""Sets of features that are compared at most."""


class PresentRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was on a backend server when it crashed."""

    features: frozenset[str]
    """All of its features."""
    suspected: frozenset[str]
    """Those under which no request was answered since the crash."""
    sent_at: float


class Hold(msgspec.Struct, frozen=True, kw_only=True):
    """Features that are quarantined together."""

    features: frozenset[str]
    is_tentative: bool


class ObservedCrash:
    """A crash with the requests that may have caused it."""

    __slots__ = ("broke_at", "features", "holds", "name", "requests", "service")

    def __init__(
        self,
        *,
        name: str,
        service: str,
        broke_at: float,
        requests: Sequence[PresentRequest],
        holds: Iterable[Hold],
    ) -> None:
        self.name = name
        self.service = service
        self.broke_at = broke_at
        self.requests = requests
        self.features = frozenset().union(*(each.suspected for each in requests))
        self.holds = [hold for hold in holds if self.had(hold.features)]
        """Quarantined features that explain the crash."""

    def had(self, features: frozenset[str], since: float = -math.inf) -> bool:
        """Return whether a request with all of these features was present.

        It was sent after `since`.
        """
        return any(
            features <= request.features and request.sent_at >= since
            for request in self.requests
        )

    def counts_for(self, feature: str) -> bool:
        """Return whether a feature may have caused the crash.

        Once it is explained it counts for other features only while that is tentative,
        or if they belong to the same request: any of its features may be the cause.
        """
        if feature not in self.features:
            return False
        if all(hold.is_tentative for hold in self.holds):
            return True
        return any(
            hold.features <= request.features
            for hold in self.holds
            for request in self.list_with(feature)
        )

    @property
    def is_explained(self) -> bool:
        """Return whether no further feature needs to be found.

        If one request explains it, any part of its prompt may still be the cause.
        """
        return any(
            all(is_part(feature) for feature in hold.features)
            or not self._has_suspected_parts(hold)
            for hold in self.holds
        )

    def _has_suspected_parts(self, hold: Hold) -> bool:
        return any(
            hold.features <= request.features and any(map(is_part, request.suspected))
            for request in self.requests
        )

    def list_with(self, feature: str) -> list[PresentRequest]:
        """Return the requests with a suspected feature."""
        return [each for each in self.requests if feature in each.suspected]


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """A feature, and the crashes at each of which it was present."""

    feature: str
    features: frozenset[str]
    """The features that always came with it, in one request."""
    crashes: list[ObservedCrash]
    is_ambiguous: bool
    """Whether other requests, or all of them, could explain the crashes as well."""
    is_universal: bool = False
    """Whether all requests at all of the crashes had it, as they have a system prompt
    in common."""
    is_relapse: bool = False
    """Whether the features were quarantined before."""

    @property
    def key(self) -> str:
        """Name of what is suspected: one request, or parts that came together."""
        if not is_part(self.feature):
            return self.feature
        others = sorted(each for each in self.features if is_part(each))
        others.remove(self.feature)
        return join_features([self.feature, *others[: MAX_FEATURES - 1]])

    def find_likely(self, known: Collection[str]) -> str:
        """Return the name of the parts that came without the rest as well, or nothing.

        They were at several crashes with requests that lack other features of the
        suspect. Features in `known` were answered shortly before.
        """
        if not is_part(self.feature):
            return ""
        parts = frozenset(filter(is_part, self.features))
        likely: frozenset[str] = frozenset()
        most = MIN_OTHERS - 1
        for feature in sorted(parts.difference(known)):
            if _is_universal(feature, self.crashes):
                continue
            others = [
                {
                    request.features
                    for request in crash.list_with(feature)
                    if not parts <= request.features
                }
                for crash in self.crashes
            ]
            found = frozenset().union(*others)
            if sum(map(bool, others)) >= MIN_OTHERS and len(found) > most:
                most = len(found)
                likely = parts.intersection(*found)
        return join_features(sorted(likely)[:MAX_FEATURES])

    def count_unexplained(self) -> int:
        """Return for how many of the crashes nothing is quarantined."""
        return sum(not crash.holds for crash in self.crashes)

    @property
    def span_s(self) -> float:
        """Time from the first crash to the last one."""
        return self.crashes[-1].broke_at - self.crashes[0].broke_at

    @property
    def is_simultaneous(self) -> bool:
        """Return whether none of the crashes followed a request sent after another one.

        Reports that don't tell when their requests were sent don't show it.
        """
        is_known = all(
            any(
                request.sent_at > -math.inf for request in crash.list_with(self.feature)
            )
            for crash in self.crashes
        )
        return is_known and self.count_waves() == 1

    def count_waves(self) -> int:
        """Return how many crashes followed a request that was sent after the last one.

        Servers that are lost together crash under the same requests as well.
        """
        waves = 1
        last_at = self.crashes[0].broke_at
        for crash in self.crashes[1:]:
            if any(
                last_at < request.sent_at <= crash.broke_at - MIN_WAVE_S
                for request in crash.list_with(self.feature)
            ):
                waves += 1
                last_at = crash.broke_at
        return waves


def count_features(crashes: Iterable[ObservedCrash]) -> Counter[str]:
    """Return for how many crashes each feature counts."""
    return Counter(
        feature
        for crash in crashes
        for feature in crash.features
        if crash.counts_for(feature)
    )


def explain(
    feature: str, crashes: Iterable[ObservedCrash], known: Collection[str] = ()
) -> Explanation:
    """Return how a feature explains the crashes for which it counts.

    Features in `known` were answered shortly before the crashes. They are no
    alternative to one that was not.
    """
    involved = [crash for crash in crashes if crash.counts_for(feature)]
    involved.sort(key=lambda crash: crash.broke_at)
    common = frozenset.intersection(*(crash.features for crash in involved))
    features = _find_companions(feature, common, involved)
    others = common if feature in known else common.difference(known)
    if is_part(feature):
        # A request that is retried follows the crashes whatever their cause is.
        others = frozenset(filter(is_part, others))
    return Explanation(
        feature=feature,
        features=features,
        crashes=involved,
        is_ambiguous=not others <= features,
        is_universal=_is_universal(feature, involved),
    )


def rank_suspects(
    candidates: Collection[str],
    counts: Counter[str],
    crashes: Iterable[ObservedCrash],
    known: Collection[str],
) -> list[str]:
    """Return features with those that are most likely the cause first.

    Features that were not answered shortly before go before others, then those of
    more crashes, then those of fewer requests.
    """
    requests = Counter(
        feature
        for crash in crashes
        for request in crash.requests
        for feature in request.suspected
        if feature in candidates
    )
    return sorted(
        candidates,
        key=lambda each: (each in known, -counts[each], requests[each], each),
    )


def _find_companions(
    feature: str, common: frozenset[str], crashes: Sequence[ObservedCrash]
) -> frozenset[str]:
    """Return the largest set of features that one request had at each crash."""
    found: set[frozenset[str]] = set()
    for number, crash in enumerate(crashes):
        present = {each.suspected & common for each in crash.list_with(feature)}
        found = {a & b for a in found for b in present} if number else present
        if len(found) > MAX_SETS:
            found = set(sorted(found, key=len, reverse=True)[:MAX_SETS])
    return max(found, key=lambda each: (len(each), sorted(each)))


def _is_universal(feature: str, crashes: Sequence[ObservedCrash]) -> bool:
    """Return whether all requests at all crashes had a prompt part."""
    return is_part(feature) and all(
        feature in request.features for crash in crashes for request in crash.requests
    )
